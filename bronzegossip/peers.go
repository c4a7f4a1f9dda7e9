package bronzegossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// livenessTimeout is how long a node counts as live after it was last heard from,
	// directly or through others. With more than smallFleet known peers it is
	// largeFleetLivenessTimeout, and livenessTimeoutPerPeer more for each of them: a node
	// hears of a limited number of peers a second, so the more there are, the less often
	// it hears of each. If peers were lost too soon, many nodes would read the store
	// unnecessarily, and loads would be underestimated. A long timeout costs messages to
	// nodes that have stopped. It doesn't delay the takeover from readers that stop,
	// which depends on confirmationTimeout.
	livenessTimeout           = 2500 * time.Millisecond
	largeFleetLivenessTimeout = 5 * time.Second
	livenessTimeoutPerPeer    = 100 * time.Millisecond
	// forgetTimeout is how long after a peer was last heard from it is remembered.
	// Requests go to lost peers now and then, so that the sides of a partition find each
	// other once it ends. The timeout is longer than the liveness timeout with 490 nodes.
	forgetTimeout = 3 * time.Minute
)

// Events passed to Gossip.OnPeer.
const (
	// PeerFound: a node is heard of for the first time, or again after it was lost.
	PeerFound = "Met"
	// PeerLost: a node has not been heard of for the liveness timeout.
	PeerLost = "Lost"
	// PeerLeft: a node has announced that it stops.
	PeerLeft = "Left"
)

// peer is what this node knows of another one.
type peer struct {
	Peer
	hash      uint64 // of the name
	lastHeard time.Time
	lost      bool
	// offset is that of the peer's clock.
	offset clockOffset
}

// updateSender updates the peer that sent a message. The message itself proves that the
// peer is live, so that its incarnation may be lower than the known one: its clock may
// have gone back.
func (g *Gossip) updateSender(p Peer, now time.Time) {
	if known := g.peers[p.Name]; known != nil {
		known.Incarnation = min(known.Incarnation, p.Incarnation)
	}
	g.updatePeer(p, now)
}

// updatePeer updates a peer that was last heard from p.HeardMS ago.
func (g *Gossip) updatePeer(p Peer, now time.Time) {
	if p.Name == "" || p.Name == g.Self.Name || !p.Address.IsValid() {
		return
	}
	lastHeard := now.Add(-time.Duration(p.HeardMS) * time.Millisecond)
	if now.Sub(lastHeard) > forgetTimeout {
		return
	}
	known := g.peers[p.Name]
	if known == nil {
		if g.peers == nil {
			g.peers = make(map[string]*peer)
		}
		known = &peer{Peer: p, hash: xxhash.Sum64String(p.Name), lost: true}
		g.peers[p.Name] = known
		i, _ := g.find(p.Name)
		g.byName = slices.Insert(g.byName, i, known)
	}
	// A node that leaves doesn't come back under the same incarnation.
	leaves := p.Leaving && !known.Leaving && p.Incarnation == known.Incarnation
	if p.Incarnation < known.Incarnation || !lastHeard.After(known.lastHeard) && !leaves {
		return
	}
	left := p.Leaving && !known.Leaving
	known.Peer, known.lastHeard = p, later(lastHeard, known.lastHeard)
	switch {
	case left:
		g.peerEvent(known, PeerLeft)
	case known.lost && now.Sub(lastHeard) < g.livenessTimeout(now):
		known.lost = false
		g.peerEvent(known, PeerFound)
	}
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// expire marks the peers lost that are past the liveness timeout, and forgets those past
// forgetTimeout.
func (g *Gossip) expire(now time.Time) {
	for name, p := range g.peers {
		age := now.Sub(p.lastHeard)
		if age >= g.livenessTimeout(now) && !p.lost {
			p.lost = true
			g.peerEvent(p, PeerLost)
		}
		if age > forgetTimeout {
			delete(g.peers, name)
			i, _ := g.find(name)
			g.byName = slices.Delete(g.byName, i, i+1)
		}
	}
}

func (g *Gossip) peerEvent(p *peer, event string) {
	if g.OnPeer != nil {
		g.OnPeer(p.Peer, event)
	}
}

// find returns the index of a name in byName, or the one at which to insert it.
func (g *Gossip) find(name string) (i int, found bool) {
	return slices.BinarySearchFunc(g.byName, name, func(p *peer, name string) int { return cmp.Compare(p.Name, name) })
}

// livePeers returns the live peers by name, as they are advertised.
func (g *Gossip) livePeers(now time.Time) (peers []Peer) {
	g.eachLive(now, func(p *peer) { peers = append(peers, p.advertised(now)) })
	return peers
}

// advertised returns the peer with the time since it was last heard from.
func (p *peer) advertised(now time.Time) Peer {
	q := p.Peer
	q.HeardMS, q.SentMS = milliseconds(now.Sub(p.lastHeard)), 0
	return q
}

// eachLive calls do with each live peer that isn't leaving, by name.
func (g *Gossip) eachLive(now time.Time, do func(p *peer)) {
	limit := g.livenessTimeout(now)
	for _, p := range g.byName {
		if now.Sub(p.lastHeard) < limit && !p.Leaving {
			do(p)
		}
	}
}

// liveCount returns the number of live peers.
func (g *Gossip) liveCount(now time.Time) (n int) {
	g.eachLive(now, func(*peer) { n++ })
	return n
}

// randomPeers returns up to n live peers at random. The result is valid until the next
// call.
func (g *Gossip) randomPeers(now time.Time, n int) []*peer {
	g.candidates = g.candidates[:0]
	g.eachLive(now, func(p *peer) { g.candidates = append(g.candidates, p) })
	n = min(n, len(g.candidates))
	for i := range n {
		j := i + g.random(len(g.candidates)-i)
		g.candidates[i], g.candidates[j] = g.candidates[j], g.candidates[i]
	}
	return g.candidates[:n]
}

// livenessTimeout returns how long a peer counts as live after it was last heard from. A
// pause of this node extends it until all peers have had time to be heard from again.
func (g *Gossip) livenessTimeout(now time.Time) (d time.Duration) {
	d = livenessTimeout
	if len(g.peers) > smallFleet {
		d = largeFleetLivenessTimeout + time.Duration(len(g.peers))*livenessTimeoutPerPeer
	}
	if now.Sub(g.resumedAt) < d {
		d += g.pausedFor
	}
	return d
}

// PeerCount returns the number of live peers.
func (g *Gossip) PeerCount(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.liveCount(now)
}

// KnownPeers returns the names of the peers in an AvailabilityZone that were heard of in
// the last minutes, live or not, in order. all is the number of such peers in all zones.
func (g *Gossip) KnownPeers(zone string) (names []string, all int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.byName {
		if p.AvailabilityZone == zone {
			names = append(names, p.Name)
		}
	}
	return names, len(g.byName)
}

// Peers returns the live peers by name.
func (g *Gossip) Peers(now time.Time) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.livePeers(now)
}
