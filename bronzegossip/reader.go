package bronzegossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// confirmedFor is how old the store's last word may get before the first
	// node of each zone reads the store itself: readers hear from it once a
	// second, and what they hear takes up to half a second to reach all. It
	// leaves a second of the three that a change may take.
	confirmedFor = 1900 * time.Millisecond
	// nextAfter is after how much longer each next node of the zone follows.
	nextAfter = 250 * time.Millisecond
)

// Reads reports whether this node is to read the store now.
func (g *Gossip) Reads(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.Records.Revision() == 0 {
		return true
	}
	order := g.order(now)
	if g.leaving {
		return false
	}
	if g.isReader(order) || g.isBehind(now) {
		return true
	}
	wait := confirmedFor
	for _, p := range order {
		if p.Name == g.Self.Name {
			break
		}
		if p.AvailabilityZone == g.Self.AvailabilityZone {
			wait += nextAfter
		}
	}
	return g.confirmed(now) >= wait
}

// Yields reports whether another node of this one's zone comes before it in the
// order that all agree on. Where all start at once and the store can't answer
// all, the first of each zone read it, and the others have the records from them.
func (g *Gossip) Yields(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.order(now) {
		if p.AvailabilityZone == g.Self.AvailabilityZone {
			return p.Name != g.Self.Name
		}
	}
	return false
}

// order returns all nodes that are there in an order that all agree on.
func (g *Gossip) order(now time.Time) []Peer {
	order := append(g.heard(now), g.Self)
	slices.SortFunc(order, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return order
}

// isReader reports whether this node is one of the two that always read: the
// first in the order, and the first of another zone.
func (g *Gossip) isReader(order []Peer) bool {
	first := order[0]
	if first.Name == g.Self.Name {
		return true
	}
	for _, p := range order[1:] {
		if p.AvailabilityZone != first.AvailabilityZone {
			return p.Name == g.Self.Name
		}
	}
	return len(order) > 1 && order[1].Name == g.Self.Name
}
