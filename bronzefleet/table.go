package bronzefleet

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// none is the index of no node.
const none = ^uint16(0)

// formerWindow is for how long a former owner of a slot is remembered when
// the slot changes again: longer than any flow waits for an answer, so that
// two changes in a row don't hide the owner before the first.
const formerWindow = 60 * time.Second

// node is a member with the hash that its scores are computed from.
type node struct {
	name string
	hash uint64
}

// order names nodes by their index, best first; unused places are none.
type order [OrderLength]uint16

var emptyOrder = order{none, none, none}

// table is the ownership of all slots. It is immutable once it is in a View.
type table struct {
	nodes   []node // by index; a node that is gone keeps its index for a while
	live    map[string]uint16
	dead    map[string]struct{}
	orders  []order
	former  []order // the owners before the last change
	changed []int64 // Unix nanoseconds, 0 for never
}

// newTable returns the table of owners with no change on record.
func newTable(owners map[string]struct{}) *table {
	t := &table{
		live:    make(map[string]uint16, len(owners)),
		orders:  slices.Repeat([]order{emptyOrder}, Slots),
		former:  slices.Repeat([]order{emptyOrder}, Slots),
		changed: make([]int64, Slots),
	}
	for _, name := range slices.Sorted(maps.Keys(owners)) {
		t.join(name)
	}
	return t
}

// update returns the table for owners, reusing t's work: a node that joined
// is compared with the order of each slot, and of a node that went only the
// slots that named it are computed again. Nodes of owners that t held as dead
// have come back. It returns t itself if nothing changed.
func (t *table) update(owners, dead map[string]struct{}, now time.Time) *table {
	var joined, back, gone []string
	for name := range owners {
		if _, ok := t.live[name]; ok {
			continue
		}
		joined = append(joined, name)
		if _, ok := t.dead[name]; ok {
			back = append(back, name)
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
	next := &table{nodes: t.nodes, live: t.live, dead: dead, orders: t.orders, former: t.former, changed: t.changed}
	if len(joined) == 0 && len(gone) == 0 {
		return next
	}
	next.nodes = slices.Clone(t.nodes)
	next.live = maps.Clone(t.live)
	next.orders = slices.Clone(t.orders)
	next.former = slices.Clone(t.former)
	next.changed = slices.Clone(t.changed)
	slices.Sort(joined)
	for _, name := range joined {
		next.join(name)
	}
	next.leave(gone) // after join, so that no index that prev's orders name is used again
	next.record(t, back, now)
	return next
}

// score is the rendezvous score of a node for a slot.
func (t *table) score(slot int, i uint16) uint64 {
	return bronzeflow.Mix(uint64(slot), t.nodes[i].hash)
}

// better reports whether node a comes before node b in the slot's order.
func (t *table) better(slot int, a, b uint16) bool {
	if b == none {
		return a != none
	}
	if a == none {
		return false
	}
	x, y := t.score(slot, a), t.score(slot, b)
	if x != y {
		return x > y
	}
	return t.nodes[a].name < t.nodes[b].name
}

// insert puts node i into its place in o, if it has one there.
func (t *table) insert(slot int, o *order, i uint16) {
	for k := range o {
		if o[k] == i {
			return
		}
		if t.better(slot, i, o[k]) {
			copy(o[k+1:], o[k:])
			o[k] = i
			return
		}
	}
}

// join adds a node to the orders that it belongs in.
func (t *table) join(name string) {
	i := t.index(name)
	t.live[name] = i
	for slot := range t.orders {
		t.insert(slot, &t.orders[slot], i)
	}
}

// index returns the index of name, which may be one that no order names.
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

// used tells which indexes are live or named by a former order.
func (t *table) used() []bool {
	used := make([]bool, len(t.nodes))
	for _, i := range t.live {
		used[i] = true
	}
	for slot := range t.former {
		for _, i := range t.former[slot] {
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
	for slot := range t.orders {
		for _, i := range t.orders[slot] {
			if i != none && gone[i] {
				t.orders[slot] = t.compute(slot)
				break
			}
		}
	}
}

// compute returns the order of a slot from all live nodes.
func (t *table) compute(slot int) order {
	o := emptyOrder
	for _, i := range t.live {
		t.insert(slot, &o, i)
	}
	return o
}

// record notes for each slot whose owner is no longer prev's who owned it
// before. The nodes in back were dead here and are alive: on the other side of
// a partition the best of them owned the slot, also where the owner on this
// side stays the same, so each slot is unsettled then.
func (t *table) record(prev *table, back []string, now time.Time) {
	at := now.UnixNano()
	for slot := range t.orders {
		was, is := prev.orders[slot][0], t.orders[slot][0]
		if was == is && len(back) == 0 {
			continue
		}
		if was == none && len(back) == 0 {
			continue // nobody owned it before
		}
		if at-t.changed[slot] >= int64(formerWindow) || t.changed[slot] == 0 {
			t.former[slot] = emptyOrder
		}
		t.former[slot] = t.formerOrder(slot, was, is, back)
		t.changed[slot] = at
	}
}

// formerOrder returns the former owners of a slot: the last one first, then the
// best of the earlier ones and of those that came back. The owner of now isn't
// among them.
func (t *table) formerOrder(slot int, was, is uint16, back []string) order {
	rest := emptyOrder
	for _, i := range t.former[slot] {
		if i != none && i != was && i != is {
			t.insert(slot, &rest, i)
		}
	}
	for _, name := range back {
		if i := t.live[name]; i != was && i != is {
			t.insert(slot, &rest, i)
		}
	}
	if was == none || was == is {
		return rest
	}
	return order{was, rest[0], rest[1]}
}
