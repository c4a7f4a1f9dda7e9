package bronzegossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// livenessTimeout is how long a node counts as there after it was last heard,
	// directly or by others. With more than tellAll others it is largeHeardFor, and
	// heardForEach more for each of them: a node hears so many names a second, so of more
	// nodes it hears each less often. Taken for lost too soon, many would read the store
	// that needn't, and loads be taken for less than they are. That nodes which end count
	// for longer costs messages to them; who reads the store for them doesn't wait for it
	// (confirmedFor).
	livenessTimeout           = 2500 * time.Millisecond
	largeFleetLivenessTimeout = 5 * time.Second
	livenessTimeoutPerPeer    = 100 * time.Millisecond
	// forgetTimeout is how long a node that isn't heard any more is told now and
	// then: after a partition the two sides find each other by that. It is over
	// heardFor with 490 nodes.
	forgetTimeout = 3 * time.Minute
)

// Events of OnPeer.
const (
	// PeerFound: a node is heard of.
	PeerFound = "Met"
	// PeerLost: a node has not been heard of for some time.
	PeerLost = "Lost"
	// PeerLeft: a node has said that it ends.
	PeerLeft = "Left"
)

// peer is a node as this one knows it.
type peer struct {
	Peer
	hash      uint64 // of the name
	lastHeard time.Time
	lost      bool
}

// updateSender notes a node that was heard itself. That it is there needs no better
// proof: its incarnation may be lower than before if its clock went back.
func (g *Gossip) updateSender(p Peer, now time.Time) {
	p.HeardMS = 0
	if known := g.peers[p.Name]; known != nil {
		known.Incarnation = min(known.Incarnation, p.Incarnation)
	}
	g.updatePeer(p, now)
}

// updatePeer notes a node that was heard of HeardMS ago.
func (g *Gossip) updatePeer(p Peer, now time.Time) {
	if p.Name == "" || p.Name == g.Self.Name || !p.Address.IsValid() {
		return
	}
	heardAt := now.Add(-time.Duration(p.HeardMS) * time.Millisecond)
	if now.Sub(heardAt) > forgetTimeout {
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
	if p.Incarnation < known.Incarnation || !heardAt.After(known.lastHeard) {
		return
	}
	left := p.Leaving && !known.Leaving
	known.Peer, known.lastHeard = p, heardAt
	switch {
	case left:
		g.peerEvent(known, PeerLeft)
	case known.lost && now.Sub(heardAt) < g.livenessTimeout(now):
		known.lost = false
		g.peerEvent(known, PeerFound)
	}
}

// expire forgets nodes that were last heard of long ago.
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

// find returns where a name is in byName, or would be.
func (g *Gossip) find(name string) (i int, found bool) {
	return slices.BinarySearchFunc(g.byName, name, func(p *peer, name string) int { return cmp.Compare(p.Name, name) })
}

// livePeers returns the nodes that were livePeers of lately, by name, with how long
// ago that was.
func (g *Gossip) livePeers(now time.Time) (peers []Peer) {
	g.eachLive(now, func(p *peer) { peers = append(peers, p.advertised(now)) })
	return peers
}

// advertised returns what others are advertised of the node.
func (p *peer) advertised(now time.Time) Peer {
	q := p.Peer
	q.HeardMS = milliseconds(now.Sub(p.lastHeard))
	return q
}

// eachLive calls do with each node that was heard of lately and isn't leaving,
// by name.
func (g *Gossip) eachLive(now time.Time, do func(p *peer)) {
	limit := g.livenessTimeout(now)
	for _, p := range g.byName {
		if now.Sub(p.lastHeard) < limit && !p.Leaving {
			do(p)
		}
	}
}

// liveCount returns how many nodes were heard of lately.
func (g *Gossip) liveCount(now time.Time) (n int) {
	g.eachLive(now, func(*peer) { n++ })
	return n
}

// randomPeers returns up to n nodes that were heard of lately, at random.
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

// livenessTimeout returns how long a node counts as there after it was last heard. Time in which
// this one heard nobody doesn't count, until all have had time to be heard again.
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

// PeerCount returns how many nodes were heard of lately.
func (g *Gossip) PeerCount(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.liveCount(now)
}

// KnownPeers returns the names of the nodes of an AvailabilityZone that were heard of in the
// last minutes, whether they are there or not, in order, and how many nodes of all zones
// were.
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

// Peers returns the nodes that were heard of lately, by name.
func (g *Gossip) Peers(now time.Time) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.livePeers(now)
}
