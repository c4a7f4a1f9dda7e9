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

// View is an immutable snapshot of the fleet as one node knows it.
type View struct {
	// Version grows with each view of one process.
	Version uint64
	// Self is the name of the node that built the view.
	Self string
	// Members are the members that are Alive, Suspect or Leaving, by name.
	Members map[string]bronzelink.Member
	// Ready is false until the node has joined, which it does once it has
	// synchronized with a peer or the wait for that is over.
	Ready bool
	// Fenced is true while the node waits for a peer's answer after a pause;
	// it must not trust this view until then.
	Fenced bool
	// Partitioned is true while some member may be alive on the other side of
	// a network partition: it is dead here and never announced its leave.
	Partitioned bool

	// table is shared by views that have the same owners.
	table *table
}

// NewView returns the view of the node self over members. Members that are
// Alive or Suspect own flows; Leaving ones are kept in Members; those that are
// Dead or Left are not, but a Dead one that comes back later may still hold
// flows, and so is named by Previous. The result shares memory with prev, which
// may be nil. The slots whose owner differs from prev's are recorded as changed
// at now. Without prev, these are the slots that self owns, because self has
// just taken them over from others. Ready, Fenced and Partitioned are as in prev.
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

// owners returns the set of the members that own flows, without except.
func (v *View) owners(except string) map[string]struct{} {
	owners := make(map[string]struct{}, len(v.Members))
	for name := range v.Members {
		if owns(v.Members[name].Status) && name != except {
			owners[name] = struct{}{}
		}
	}
	return owners
}

// owns reports whether a member with status s owns flows. A Suspect member
// does until it is Dead, so that a wrong suspicion moves no flows.
func owns(s bronzelink.Status) bool {
	return s == bronzelink.Alive || s == bronzelink.Suspect
}

// Slot returns the slot of the flow hash.
func Slot(hash uint64) int { return int(hash >> slotShift) }

// Order returns the names of the n preferred nodes for the flow hash, the owner
// first. In a small fleet n is less than OrderLength. Nodes that are leaving or
// dead are not among them.
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

// Owner returns the first name of Order, or Self if Order has none.
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

// Unsettled reports whether the ownership of the slot of hash changed less than
// d ago: it got another owner, or a member came back that may have owned it on
// the other side of a partition.
func (v *View) Unsettled(hash uint64, d time.Duration) bool {
	if v.table == nil {
		return false
	}
	at := v.table.changed[Slot(hash)]
	return at != 0 && time.Now().UnixNano()-at < int64(d)
}

// Previous returns the names of the n nodes that owned or may have owned the
// slot of hash before it last became unsettled, the most likely first. Nodes
// that are leaving are among them; dead ones and those that have left are not.
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
