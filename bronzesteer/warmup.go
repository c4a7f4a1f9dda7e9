package bronzesteer

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

// A server that has just started can take only a few requests per second from all nodes
// together, which don't coordinate. Therefore a few nodes of its AvailabilityZone share
// this limit equally: those that come first by a hash of the server's and their own names,
// so that all nodes with the same names choose the same ones. Other nodes send nothing to a
// cold server, and refuse openings that no other server can take.
//
// Nodes in the server's own zone reach it during any partition between zones. A node that
// is cut off keeps the names of its peers, so that it doesn't take over their share. One
// that has just started has no share until it has learned the names of all peers.
const (
	// warmupSenders is the number of nodes that share the limit of a cold server. All of
	// them may send one opening at the same moment, which must stay within the excess that
	// the server is allowed.
	warmupSenders = 3
	// warmupFraction is the fraction of the limit that is shared. The rest is for nodes
	// whose names aren't known everywhere yet, and for requests of flows opened just
	// before.
	warmupFraction = 0.7
	// peersSettleTime is how long a node must have learned no new name. It learns some of
	// them each second, new ones more rarely the fewer are missing.
	peersSettleTime = 5 * time.Second
)

// zonePeers holds the names of the other nodes in this node's zone. Nodes that have left
// stay in it for some minutes. All methods may be called concurrently.
type zonePeers struct {
	mu    sync.Mutex
	names []string
	// known is set if the node knows any other node, or there are none to learn of.
	known bool
	// addedAt is when a name was last added.
	addedAt time.Duration
	// version counts changes, to invalidate what is derived from the names.
	version uint64
}

// SetZonePeers sets the names of the other nodes in this node's zone. The Steerer keeps and
// sorts the slice. The parameter known is set if the node has learned of any other node in
// any zone, or there are none to learn of: a node that is isolated from the start can't
// tell.
func (s *Steerer) SetZonePeers(names []string, known bool, now time.Time) {
	s.init()
	zp := &s.zonePeers
	zp.mu.Lock()
	defer zp.mu.Unlock()
	zp.known = known
	slices.Sort(names)
	if slices.Equal(names, zp.names) {
		return
	}
	for _, name := range names {
		if _, known := slices.BinarySearch(zp.names, name); !known {
			zp.addedAt = s.sinceStart(now)
		}
	}
	zp.names = names
	zp.version++
}

// settled reports whether the node has learned all names, as far as it can tell. The caller
// holds the lock.
func (zp *zonePeers) settled(at time.Duration) bool {
	return zp.known && at >= zp.addedAt+peersSettleTime && at >= peersSettleTime
}

// isRateLimited reports whether the server may be sent only what a cold server can take.
// After a pause, the node doesn't know which servers have restarted meanwhile.
func (s *Steerer) isRateLimited(server *bronzeroute.Server, now time.Time) bool {
	return server.Warmup.RequestsPerSecond > 0 && (!server.Warm(now) || s.recordsUnconfirmed.Load())
}

// warmup is this node's share of the limit of a cold server.
type warmup struct {
	// interval is the time between two openings, 0 if the node has no share. It is derived
	// from the given version of the names, and valid if known is set.
	interval time.Duration
	version  uint64
	known    bool
	// nextAt is when the next opening may be sent.
	nextAt time.Duration
}

// canSendCold reports whether a cold server may be sent an opening at at.
func (s *Steerer) canSendCold(server *bronzeroute.Server, b *backend, at time.Duration) bool {
	interval := s.coldInterval(server, b, at)
	b.mu.Lock()
	defer b.mu.Unlock()
	return interval > 0 && at >= b.warmup.nextAt
}

// takeColdSend takes one opening from this node's share at a cold server. If ok is false,
// none is left.
func (s *Steerer) takeColdSend(server *bronzeroute.Server, b *backend, at time.Duration) (ok bool) {
	interval := s.coldInterval(server, b, at)
	b.mu.Lock()
	defer b.mu.Unlock()
	if interval == 0 || at < b.warmup.nextAt {
		return false
	}
	b.warmup.nextAt = at + interval
	return true
}

// coldInterval returns the time between two openings of this node at a cold server, 0 if it
// may send none.
func (s *Steerer) coldInterval(server *bronzeroute.Server, b *backend, at time.Duration) time.Duration {
	if server.AvailabilityZone != s.AvailabilityZone {
		return 0
	}
	zp := &s.zonePeers
	zp.mu.Lock()
	defer zp.mu.Unlock()
	if !zp.settled(at) {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &b.warmup
	if !w.known || w.version != zp.version {
		w.interval, w.version, w.known = zp.sendInterval(server, s.Name), zp.version, true
	}
	return w.interval
}

// sendInterval computes the time between two openings of the named node.
func (zp *zonePeers) sendInterval(server *bronzeroute.Server, name string) time.Duration {
	own := warmupRank(server, name)
	before := 0
	for _, other := range zp.names {
		if r := warmupRank(server, other); r < own || r == own && other < name {
			before++
		}
	}
	if before >= warmupSenders {
		return 0
	}
	nodes := min(warmupSenders, len(zp.names)+1)
	return time.Duration(float64(nodes) / (warmupFraction * server.Warmup.RequestsPerSecond) * float64(time.Second))
}

// warmupRank returns the rank of a node among those that may send to a cold server.
func warmupRank(server *bronzeroute.Server, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(server.Instance)
	_, _ = d.WriteString(name)
	return d.Sum64()
}
