package bronzegossip

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// confirmationTimeout is how old the store's last word may get before the first
	// node of each zone reads the store itself: readers hear from it once a
	// second, and what they hear takes up to half a second to reach all. It
	// leaves a second of the three that a change may take.
	confirmationTimeout = 1900 * time.Millisecond
	// takeOverStep is after how much longer each next node of the zone follows, and
	// inTurn how many do so at this pace. After them it takes twice as long for each:
	// that so many of a zone are gone at once is unlikely, that the store fails
	// everybody isn't, and then all of a large fleet would ask it.
	takeOverStep    = 250 * time.Millisecond
	linearTakeOvers = 3
	// discoveryDelay is how long a node that has started and has records waits to hear of others
	// before it takes itself for a reader. Otherwise each node that starts is the only one
	// that it knows of, and asks the store once more; of what changed meanwhile it hears
	// from its peers.
	discoveryDelay = 300 * time.Millisecond
)

// takeOverAfter returns how old the store's last word must be for a node to read the
// store that has so many of its zone before it.
func takeOverAfter(before int) time.Duration {
	after := confirmationTimeout + time.Duration(min(before, linearTakeOvers))*takeOverStep
	for i := linearTakeOvers; i < before && after < forgetTimeout; i++ {
		after += takeOverStep << (i - linearTakeOvers + 1)
	}
	return after
}

// ShouldRead reports whether this node is to read the store now.
func (g *Gossip) ShouldRead(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.Records.Position().IsZero() {
		return true
	}
	if g.leaving || now.Sub(g.startedAt) < discoveryDelay {
		return false
	}
	r := g.rank(now)
	return r.reader || g.isBehind(now) || g.unconfirmedFor(now) >= takeOverAfter(r.before)
}

// unconfirmedFor returns for how long this node could have heard the store's word and
// didn't.
func (g *Gossip) unconfirmedFor(now time.Time) time.Duration {
	return min(g.sinceConfirmed(now), now.Sub(g.resumedAt))
}

// Yields reports whether another node of this one's zone comes before it in the
// order that all agree on. Where all start at once and the store can't answer
// all, the first of each zone read it, and the others have the records from them.
func (g *Gossip) Yields(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rank(now).before > 0
}

// rank is a node's place in the order of all nodes that are there, which is by a
// hash of their names, so that all agree on it.
type rank struct {
	// reader says that the node is one of the two that always read: the first,
	// and the first of another zone.
	reader bool
	// before is how many nodes of its zone come before it.
	before int
}

// rank returns this node's rank. It looks at each node twice and sorts nothing:
// it is asked for ten times a second.
func (g *Gossip) rank(now time.Time) (r rank) {
	self := &peer{Peer: g.Self, hash: xxhash.Sum64String(g.Self.Name)}
	first := self
	g.eachLive(now, func(p *peer) {
		if p.precedes(first) {
			first = p
		}
		if p.AvailabilityZone == self.AvailabilityZone && p.precedes(self) {
			r.before++
		}
	})
	if first == self {
		r.reader = true
		return r
	}
	// The other reader is of another zone than the first, or just the next if
	// there is no other zone.
	r.reader = true
	elsewhere := self.AvailabilityZone != first.AvailabilityZone
	g.eachLive(now, func(p *peer) {
		switch {
		case p == first:
		case p.AvailabilityZone != first.AvailabilityZone:
			r.reader = r.reader && elsewhere && self.precedes(p)
		case !elsewhere:
			r.reader = r.reader && self.precedes(p)
		}
	})
	return r
}

// precedes reports whether p comes before q in the order.
func (p *peer) precedes(q *peer) bool {
	return p.hash < q.hash || p.hash == q.hash && p.Name < q.Name
}
