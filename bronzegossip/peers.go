package bronzegossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// heardFor is how long a node counts as there after it was last heard,
	// directly or by others. With more than tellAll others it is largeHeardFor, and
	// heardForEach more for each of them: a node hears so many names a second, so of more
	// nodes it hears each less often. Taken for lost too soon, many would read the store
	// that needn't, and loads be taken for less than they are. That nodes which end count
	// for longer costs messages to them; who reads the store for them doesn't wait for it
	// (confirmedFor).
	heardFor      = 2500 * time.Millisecond
	largeHeardFor = 5 * time.Second
	heardForEach  = 100 * time.Millisecond
	// rememberFor is how long a node that isn't heard any more is told now and
	// then: after a partition the two sides find each other by that. It is over
	// heardFor with 490 nodes.
	rememberFor = 3 * time.Minute
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
	hash    uint64 // of the name
	heardAt time.Time
	lost    bool
}

// meet notes a node that was heard itself. That it is there needs no better
// proof: its incarnation may be lower than before if its clock went back.
func (g *Gossip) meet(p Peer, now time.Time) {
	p.HeardMS = 0
	if known := g.peers[p.Name]; known != nil {
		known.Incarnation = min(known.Incarnation, p.Incarnation)
	}
	g.hearOf(p, now)
}

// hearOf notes a node that was heard of HeardMS ago.
func (g *Gossip) hearOf(p Peer, now time.Time) {
	if p.Name == "" || p.Name == g.Self.Name || !p.Address.IsValid() {
		return
	}
	heardAt := now.Add(-time.Duration(p.HeardMS) * time.Millisecond)
	if now.Sub(heardAt) > rememberFor {
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
	if p.Incarnation < known.Incarnation || !heardAt.After(known.heardAt) {
		return
	}
	left := p.Leaving && !known.Leaving
	known.Peer, known.heardAt = p, heardAt
	switch {
	case left:
		g.peerEvent(known, PeerLeft)
	case known.lost && now.Sub(heardAt) < g.heardFor(now):
		known.lost = false
		g.peerEvent(known, PeerFound)
	}
}

// expire forgets nodes that were last heard of long ago.
func (g *Gossip) expire(now time.Time) {
	for name, p := range g.peers {
		age := now.Sub(p.heardAt)
		if age >= g.heardFor(now) && !p.lost {
			p.lost = true
			g.peerEvent(p, PeerLost)
		}
		if age > rememberFor {
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

// heard returns the nodes that were heard of lately, by name, with how long
// ago that was.
func (g *Gossip) heard(now time.Time) (peers []Peer) {
	g.eachThere(now, func(p *peer) { peers = append(peers, p.told(now)) })
	return peers
}

// told returns what others are told of the node.
func (p *peer) told(now time.Time) Peer {
	q := p.Peer
	q.HeardMS = milliseconds(now.Sub(p.heardAt))
	return q
}

// eachThere calls do with each node that was heard of lately and isn't leaving,
// by name.
func (g *Gossip) eachThere(now time.Time, do func(p *peer)) {
	limit := g.heardFor(now)
	for _, p := range g.byName {
		if now.Sub(p.heardAt) < limit && !p.Leaving {
			do(p)
		}
	}
}

// there returns how many nodes were heard of lately.
func (g *Gossip) there(now time.Time) (n int) {
	g.eachThere(now, func(*peer) { n++ })
	return n
}

// choose returns up to n nodes that were heard of lately, at random.
func (g *Gossip) choose(now time.Time, n int) []*peer {
	g.chosen = g.chosen[:0]
	g.eachThere(now, func(p *peer) { g.chosen = append(g.chosen, p) })
	n = min(n, len(g.chosen))
	for i := range n {
		j := i + g.random(len(g.chosen)-i)
		g.chosen[i], g.chosen[j] = g.chosen[j], g.chosen[i]
	}
	return g.chosen[:n]
}

// heardFor returns how long a node counts as there after it was last heard. Time in which
// this one heard nobody doesn't count, until all have had time to be heard again.
func (g *Gossip) heardFor(now time.Time) (d time.Duration) {
	d = heardFor
	if len(g.peers) > tellAll {
		d = largeHeardFor + time.Duration(len(g.peers))*heardForEach
	}
	if now.Sub(g.resumed) < d {
		d += g.unheard
	}
	return d
}

// PeerCount returns how many nodes were heard of lately.
func (g *Gossip) PeerCount(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.there(now)
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
	return g.heard(now)
}
