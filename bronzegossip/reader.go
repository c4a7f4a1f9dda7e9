package bronzegossip

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// confirmationTimeout is how old the last confirmation by the store may get before
	// the first node of each zone reads the store itself. Readers hear from the store
	// once a second, and their confirmations take up to half a second to reach all nodes.
	// The timeout leaves one second of the three that a change may take.
	confirmationTimeout = 1900 * time.Millisecond
	// takeOverStep is the further delay of each subsequent node of the zone, for the
	// first linearTakeOvers of them. After these the step doubles with each node. It is
	// unlikely that so many nodes of a zone are gone at once, but a failing store fails
	// for every node, and otherwise the whole of a large fleet would call it.
	takeOverStep    = 250 * time.Millisecond
	linearTakeOvers = 3
	// discoveryDelay is how long a starting node that has records waits to discover peers
	// before it may read the store. Otherwise each starting node would know of no other
	// and ask the store once more. Its peers tell it what has changed meanwhile.
	discoveryDelay = 300 * time.Millisecond
	// maxLoadTime is how old the last confirmation may get while a node reads all records
	// before other nodes read the store as well.
	maxLoadTime = 5 * time.Second
)

// takeOverAfter returns the confirmation age at which a node reads the store that has the
// given number of nodes of its zone before it.
func takeOverAfter(before int) time.Duration {
	after := confirmationTimeout + time.Duration(min(before, linearTakeOvers))*takeOverStep
	for i := linearTakeOvers; i < before && after < forgetTimeout; i++ {
		after += takeOverStep << (i - linearTakeOvers + 1)
	}
	return after
}

// ShouldRead reports whether this node should read the store now.
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
	return r.reader || g.isBehind(now) || g.readersSilentFor(now) >= takeOverAfter(r.before)
}

// readersSilentFor returns for how long the store has answered no reader as far as this
// node knows. That a node is still reading all records counts as an answer: if other nodes
// took over, they would have to read all records too.
func (g *Gossip) readersSilentFor(now time.Time) time.Duration {
	unconfirmed := g.unconfirmedFor(now)
	if unconfirmed >= maxLoadTime {
		return unconfirmed
	}
	return min(unconfirmed, now.Sub(g.loading.lastAt))
}

// unconfirmedFor returns for how long this node could have received a confirmation and
// didn't. A pause and the time before it don't count.
func (g *Gossip) unconfirmedFor(now time.Time) time.Duration {
	return min(g.sinceConfirmed(now), now.Sub(g.resumedAt))
}

// Yields reports whether another live node of this node's zone precedes it. When all
// nodes start at once and the store can't serve them all, the first node of each zone
// reads the store, and the others get the records from these.
func (g *Gossip) Yields(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rank(now).before > 0
}

// rank is a node's place in the order of all live nodes by the hash of their names, which
// is the same on every node.
type rank struct {
	// reader is set for the two nodes that always read the store: the first of all, and
	// the first one in another zone.
	reader bool
	// before is the number of nodes of the same zone that come before it.
	before int
}

// rank returns this node's rank. It is called ten times a second, so it passes over the
// peers twice instead of sorting them.
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
	// The other reader is in another zone than the first, or the next node if there is no
	// other zone.
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

// precedes reports whether p comes before q in the order of nodes.
func (p *peer) precedes(q *peer) bool {
	return p.hash < q.hash || p.hash == q.hash && p.Name < q.Name
}
