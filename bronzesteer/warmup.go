package bronzesteer

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

// A server that has just started bears few requests a second, of all nodes together, and
// nobody counts them. So some nodes of its AvailabilityZone share what it bears, in equal
// parts: those that come first by a hash of the server and their names. All nodes that know
// the same names choose the same ones without a word. The others send it nothing while it
// is cold, and turn callers away if no other server can take them.
//
// Nodes of its own zone reach it whatever zones are cut off from each other. A node that is
// cut off from the others keeps their names, and so doesn't take their part. One that has
// just started takes none until it has heard all names, however many there are.
const (
	// warmupNodes is how many nodes share what a cold server bears. Each may send one at
	// any moment, all of them in the same second, which has to stay within what the
	// server is allowed in excess.
	warmupSenders = 3
	// warmupPart is the part of it that they share. The rest is for nodes whose names
	// some haven't heard yet, and for what flows ask that were opened just before.
	warmupFraction = 0.7
	// namesSettle is for how long a node must have heard no new name. A node hears some
	// of them each second, new ones the more rarely the fewer are missing.
	peersSettleTime = 5 * time.Second
)

// nearNodes are the names of the other nodes of this node's zone, those that aren't there
// any more among them for some minutes. All methods may be called concurrently.
type zonePeers struct {
	mu    sync.Mutex
	names []string
	// known says that the node knows of others, or can't have heard of any.
	known bool
	// grewAt is when a name was last added.
	addedAt time.Duration
	// version counts changes, for what is worked out from the names.
	version uint64
}

// SetZonePeers tells the names of the other nodes in this node's zone, which the Steerer keeps.
// Known says that the node has heard of some anywhere, or that there are none to hear of:
// one that hears nobody can't tell.
func (s *Steerer) SetZonePeers(names []string, known bool, now time.Time) {
	s.init()
	n := &s.zonePeers
	n.mu.Lock()
	defer n.mu.Unlock()
	n.known = known
	slices.Sort(names)
	if slices.Equal(names, n.names) {
		return
	}
	for _, name := range names {
		if _, known := slices.BinarySearch(n.names, name); !known {
			n.addedAt = s.sinceStart(now)
		}
	}
	n.names = names
	n.version++
}

// settled reports whether the node has heard all names, as far as it can know; the caller
// holds the lock.
func (n *zonePeers) settled(at time.Duration) bool {
	return n.known && at >= n.addedAt+peersSettleTime && at >= peersSettleTime
}

// isLimited reports whether the server may be given only what a cold one bears. A node that
// stood still doesn't know which have started meanwhile.
func (s *Steerer) isRateLimited(server *bronzeroute.Server, now time.Time) bool {
	return server.Warmup.RequestsPerSecond > 0 && (!server.Warm(now) || s.recordsUnconfirmed.Load())
}

// warmup is this node's part of what a cold server bears.
type warmup struct {
	// every is the pause between two openings, 0 if the node has no part, as of version
	// of the names.
	interval time.Duration
	version  uint64
	known    bool
	// next is when the server may be sent the next.
	nextAt time.Duration
}

// mayWarm reports whether a cold server may be sent an opening at at.
func (s *Steerer) canSendCold(server *bronzeroute.Server, b *backend, at time.Duration) bool {
	every := s.coldInterval(server, b, at)
	b.mu.Lock()
	defer b.mu.Unlock()
	return every > 0 && at >= b.warmup.nextAt
}

// takeWarm takes the part of an opening that is sent to a cold server; ok is false if none
// is left.
func (s *Steerer) takeColdSend(server *bronzeroute.Server, b *backend, at time.Duration) (ok bool) {
	every := s.coldInterval(server, b, at)
	b.mu.Lock()
	defer b.mu.Unlock()
	if every == 0 || at < b.warmup.nextAt {
		return false
	}
	b.warmup.nextAt = at + every
	return true
}

// warmupEvery returns the pause between two openings of this node at a cold server, 0 if it
// is to send none.
func (s *Steerer) coldInterval(server *bronzeroute.Server, b *backend, at time.Duration) time.Duration {
	if server.AvailabilityZone != s.AvailabilityZone {
		return 0
	}
	n := &s.zonePeers
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.settled(at) {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &b.warmup
	if !w.known || w.version != n.version {
		w.interval, w.version, w.known = n.sendInterval(server, s.Name), n.version, true
	}
	return w.interval
}

// every works out the pause between two openings of the node of a name.
func (n *zonePeers) sendInterval(server *bronzeroute.Server, name string) time.Duration {
	own := warmupRank(server, name)
	before := 0
	for _, other := range n.names {
		if r := warmupRank(server, other); r < own || r == own && other < name {
			before++
		}
	}
	if before >= warmupSenders {
		return 0
	}
	nodes := min(warmupSenders, len(n.names)+1)
	return time.Duration(float64(nodes) / (warmupFraction * server.Warmup.RequestsPerSecond) * float64(time.Second))
}

// warmupRank is a node's place in the order of those that may send to a cold server.
func warmupRank(server *bronzeroute.Server, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(server.Instance)
	_, _ = d.WriteString(name)
	return d.Sum64()
}
