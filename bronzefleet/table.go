package bronzefleet

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// none marks an unused place in an order.
const none = ^uint16(0)

// previousWindow is how long the previous owners of a slot are remembered when
// the slot changes again. It is longer than any flow waits for an answer, so
// that after two changes in a row the owner before the first is still known.
const previousWindow = 60 * time.Second

// node is a member with the hash that its rendezvous scores are computed from.
type node struct {
	name string
	hash uint64
}

// order lists nodes by index, the highest score first; unused places are none.
type order [OrderLength]uint16

var emptyOrder = order{none, none, none}

// table holds the ownership of all slots. It is immutable once it is in a View.
type table struct {
	nodes    []node // by index; a node that is gone keeps its index until that is reused
	live     map[string]uint16
	dead     map[string]struct{}
	orders   []order
	previous []order // the owners before the last change, by slot
	changed  []int64 // by slot, in Unix nanoseconds, 0 for never
}

// newTable returns the table of owners with no changes recorded.
func newTable(owners map[string]struct{}) *table {
	t := &table{
		live:     make(map[string]uint16, len(owners)),
		orders:   slices.Repeat([]order{emptyOrder}, Slots),
		previous: slices.Repeat([]order{emptyOrder}, Slots),
		changed:  make([]int64, Slots),
	}
	t.join(slices.Sorted(maps.Keys(owners)))
	return t
}

// update returns the table for owners, computed incrementally from t: a node
// that joined is compared with the order of each slot, and for a node that is
// gone only the slots that listed it are computed again. Owners that are dead
// in t have come back. It returns t itself if nothing changed.
func (t *table) update(owners, dead map[string]struct{}, now time.Time) *table {
	var joined, returned, gone []string
	for name := range owners {
		if _, ok := t.live[name]; ok {
			continue
		}
		joined = append(joined, name)
		if _, ok := t.dead[name]; ok {
			returned = append(returned, name)
		}
	}
	for name := range t.live {
		if _, ok := owners[name]; !ok {
			gone = append(gone, name)
		}
	}
	if len(joined) == 0 && len(gone) == 0 && maps.Equal(t.dead, dead) {
		return t
	}
	next := &table{nodes: t.nodes, live: t.live, dead: dead, orders: t.orders, previous: t.previous, changed: t.changed}
	if len(joined) == 0 && len(gone) == 0 {
		return next
	}
	next.nodes = slices.Clone(t.nodes)
	next.live = maps.Clone(t.live)
	next.orders = slices.Clone(t.orders)
	next.previous = slices.Clone(t.previous)
	next.changed = slices.Clone(t.changed)
	slices.Sort(joined)
	next.join(joined)
	next.leave(gone) // after join, so that join reuses no index that t's orders contain
	next.record(t, returned, now)
	return next
}

// ranking is an order with the scores of its nodes.
type ranking struct {
	order  order
	scores [OrderLength]uint64
}

// rank returns the order o of a slot with the scores of its nodes.
func (t *table) rank(slot int, o order) ranking {
	r := ranking{order: o}
	for k, i := range o {
		if i != none {
			r.scores[k] = bronzeflow.Mix(uint64(slot), t.nodes[i].hash)
		}
	}
	return r
}

// insert adds node i to r at its rank, unless it is already in r or ranks too low.
func (t *table) insert(slot int, r *ranking, i uint16) {
	score := bronzeflow.Mix(uint64(slot), t.nodes[i].hash)
	if score < r.scores[OrderLength-1] && r.order[OrderLength-1] != none {
		return
	}
	for k := range r.order {
		if r.order[k] == i {
			return
		}
		if !t.ranksBefore(i, score, r, k) {
			continue
		}
		copy(r.order[k+1:], r.order[k:])
		copy(r.scores[k+1:], r.scores[k:])
		r.order[k], r.scores[k] = i, score
		return
	}
}

// ranksBefore reports whether node i with that score ranks higher than place k of r.
func (t *table) ranksBefore(i uint16, score uint64, r *ranking, k int) bool {
	if r.order[k] == none || score != r.scores[k] {
		return r.order[k] == none || score > r.scores[k]
	}
	return t.nodes[i].name < t.nodes[r.order[k]].name
}

// manyJoins is the number of joining nodes from which it is cheaper to compute
// all orders from scratch.
const manyJoins = 8

// join adds nodes to the orders in which they rank high enough.
func (t *table) join(names []string) {
	indexes := make([]uint16, len(names))
	for k, name := range names {
		indexes[k] = t.index(name)
		t.live[name] = indexes[k]
	}
	rebuild := len(names) >= manyJoins
	if rebuild {
		indexes = t.indexes()
	}
	for slot := range t.orders {
		r := ranking{order: emptyOrder}
		if !rebuild {
			r = t.rank(slot, t.orders[slot])
		}
		for _, i := range indexes {
			t.insert(slot, &r, i)
		}
		t.orders[slot] = r.order
	}
}

// indexes returns the indexes of all live nodes.
func (t *table) indexes() []uint16 { return slices.Sorted(maps.Values(t.live)) }

// index returns the index of name. A new name gets a free index if there is one.
func (t *table) index(name string) uint16 {
	free := -1
	used := t.used()
	for i := range t.nodes {
		if t.nodes[i].name == name {
			return uint16(i)
		}
		if free < 0 && !used[i] {
			free = i
		}
	}
	n := node{name: name, hash: xxhash.Sum64String(name)}
	if free < 0 {
		t.nodes = append(t.nodes, n)
		return uint16(len(t.nodes) - 1)
	}
	t.nodes[free] = n
	return uint16(free)
}

// used reports for each index whether it is live or in a previous order.
func (t *table) used() []bool {
	used := make([]bool, len(t.nodes))
	for _, i := range t.live {
		used[i] = true
	}
	for slot := range t.previous {
		for _, i := range t.previous[slot] {
			if i != none {
				used[i] = true
			}
		}
	}
	return used
}

// leave removes nodes from all orders.
func (t *table) leave(names []string) {
	if len(names) == 0 {
		return
	}
	gone := make([]bool, len(t.nodes))
	for _, name := range names {
		gone[t.live[name]] = true
		delete(t.live, name)
	}
	rest := t.indexes()
	for slot := range t.orders {
		if slices.ContainsFunc(t.orders[slot][:], func(i uint16) bool { return i != none && gone[i] }) {
			t.orders[slot] = t.compute(slot, rest)
		}
	}
}

// compute returns the order of a slot from the live nodes.
func (t *table) compute(slot int, live []uint16) order {
	r := ranking{order: emptyOrder}
	for _, i := range live {
		t.insert(slot, &r, i)
	}
	return r.order
}

// record records the previous owners of each slot whose owner differs from
// prev's. The nodes in returned were dead here and are alive again: on the other
// side of a partition the one with the highest score owned the slot, even where
// the owner on this side stays the same, so then every slot is unsettled.
func (t *table) record(prev *table, returned []string, now time.Time) {
	at := now.UnixNano()
	for slot := range t.orders {
		oldOwner, newOwner := prev.orders[slot][0], t.orders[slot][0]
		if oldOwner == newOwner && len(returned) == 0 {
			continue
		}
		if oldOwner == none && len(returned) == 0 {
			continue // nobody owned it before
		}
		if at-t.changed[slot] >= int64(previousWindow) || t.changed[slot] == 0 {
			t.previous[slot] = emptyOrder
		}
		t.previous[slot] = t.previousOrder(slot, oldOwner, newOwner, returned)
		t.changed[slot] = at
	}
}

// previousOrder returns the previous owners of a slot: the last one first, then
// those with the highest scores among the earlier ones and the nodes that came
// back. The current owner isn't among them.
func (t *table) previousOrder(slot int, oldOwner, newOwner uint16, returned []string) order {
	rest := ranking{order: emptyOrder}
	for _, i := range t.previous[slot] {
		if i != none && i != oldOwner && i != newOwner {
			t.insert(slot, &rest, i)
		}
	}
	for _, name := range returned {
		if i := t.live[name]; i != oldOwner && i != newOwner {
			t.insert(slot, &rest, i)
		}
	}
	if oldOwner == none || oldOwner == newOwner {
		return rest.order
	}
	return order{oldOwner, rest.order[0], rest.order[1]}
}
