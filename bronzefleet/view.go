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
const Slots = 1 << 15

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

	nodes   []string
	orders  [][OrderLength]uint16
	changed []int64
}

// Order returns the names of the nodes for the flow hash in order of
// preference: the owner first. It has fewer than OrderLength names in a
// small fleet. Nodes that are leaving or dead are not in it.
func (v *View) Order(hash uint64) (names [OrderLength]string, n int) { return names, 0 }

// Owner returns the first name of Order, or Self if there is none.
func (v *View) Owner(hash uint64) string { return v.Self }

// Unsettled reports whether the order for hash changed less than d ago.
func (v *View) Unsettled(hash uint64, d time.Duration) bool { return false }
