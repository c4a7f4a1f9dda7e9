package bronzefleet

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzelink"
)

// OrderLength is how many nodes a View names for a flow: its owner, its
// successor, and the one after.
const OrderLength = 3

// Slots is the number of parts that the space of flow hashes is divided
// into; each slot has one order of nodes.
const Slots = 1 << slotBits

const (
	slotBits  = 15
	slotShift = 64 - slotBits
)

// View is what a node knows of the fleet at one moment: immutable.
type View struct {
	// Version grows with each view of one process.
	Version uint64
	// Self is the name of the node whose view it is.
	Self string
	// Members are the members that own or may own flows and those that are
	// leaving, by name.
	Members map[string]bronzelink.Member
	// Ready is false until the node has synchronized with a peer, or has
	// found that there is none.
	Ready bool
	// Fenced is true while the node checks its beliefs after a pause.
	Fenced bool
	// Partitioned is true while some member may be alive on the other side of a
	// network partition: it is dead here and never said that it was leaving.
	Partitioned bool

	// table is shared by views that have the same owners.
	table *table
}

// NewView returns the view of the node self over members. Members that are
// Alive or Suspect own flows; Leaving ones are kept in Members; those that
// are Dead or Left are not, but a Dead one that comes back later counts as
// one that may still hold flows. The result shares what it can with prev,
// which may be nil; the slots whose owner differs from prev's changed at now.
// Without prev, the slots that self owns changed at now, because self has
// just taken them from others. Ready, Fenced and Split are as in prev.
func NewView(self string, members []bronzelink.Member, prev *View, now time.Time) *View {
	v := &View{Version: 1, Self: self, Members: make(map[string]bronzelink.Member, len(members))}
	dead := map[string]struct{}{}
	for i := range members {
		switch members[i].Status {
		case bronzelink.Alive, bronzelink.Suspect, bronzelink.Leaving:
			v.Members[members[i].Name] = members[i]
		case bronzelink.Dead:
			dead[members[i].Name] = struct{}{}
		}
	}
	var from *table
	if prev == nil {
		from = newTable(v.owners(self))
	} else {
		v.Version = prev.Version + 1
		v.Ready, v.Fenced, v.Partitioned = prev.Ready, prev.Fenced, prev.Partitioned
		from = prev.table
	}
	v.table = from.update(v.owners(""), dead, now)
	return v
}

// owners returns the set of the members that own flows, but for except.
func (v *View) owners(except string) map[string]struct{} {
	owners := make(map[string]struct{}, len(v.Members))
	for name := range v.Members {
		if owns(v.Members[name].Status) && name != except {
			owners[name] = struct{}{}
		}
	}
	return owners
}

// owns reports whether a member in that state owns flows. A Suspect member
// does until it is Dead, so that a wrong suspicion moves no flow.
func owns(s bronzelink.Status) bool {
	return s == bronzelink.Alive || s == bronzelink.Suspect
}

// Slot returns the slot of the flow hash.
func Slot(hash uint64) int { return int(hash >> slotShift) }

// Order returns the names of the nodes for the flow hash in order of
// preference: the owner first. It has fewer than OrderLength names in a
// small fleet. Nodes that are leaving or dead are not in it.
func (v *View) Order(hash uint64) (names [OrderLength]string, n int) {
	if v.table == nil {
		return names, 0
	}
	for _, i := range v.table.orders[Slot(hash)] {
		if i != none {
			names[n] = v.table.nodes[i].name
			n++
		}
	}
	return names, n
}

// Owner returns the first name of Order, or Self if there is none.
func (v *View) Owner(hash uint64) string {
	if v.table == nil {
		return v.Self
	}
	i := v.table.orders[Slot(hash)][0]
	if i == none {
		return v.Self
	}
	return v.table.nodes[i].name
}

// Unsettled reports whether the owner for hash changed less than d ago, or
// a member that may have owned it on the other side of a partition came back
// less than d ago.
func (v *View) Unsettled(hash uint64, d time.Duration) bool {
	if v.table == nil {
		return false
	}
	at := v.table.changed[Slot(hash)]
	return at != 0 && time.Now().UnixNano()-at < int64(d)
}

// Previous returns the names of the nodes that owned or may have owned the
// slot of hash before it last became unsettled, the most likely first. Those
// that are leaving are among them; those that are gone are not.
func (v *View) Previous(hash uint64) (names [OrderLength]string, n int) {
	if v.table == nil {
		return names, 0
	}
	for _, i := range v.table.previous[Slot(hash)] {
		if i == none {
			continue
		}
		name := v.table.nodes[i].name
		if _, ok := v.Members[name]; ok {
			names[n] = name
			n++
		}
	}
	return names, n
}
