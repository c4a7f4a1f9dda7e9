// Package bronzefleet knows which balancers form the fleet, and which of them
// owns a flow.
//
// A View is an immutable picture of the fleet. Each flow hash falls into one
// of Slots slots, and each slot has an order of nodes by rendezvous hashing:
// all nodes with the same members compute the same owner, and a node that
// joins or goes moves only the slots that it owns.
//
// # Usage
//
// Build a view from members and ask it for the owner of a flow:
//
//	v := bronzefleet.NewView("riga-a-1", members, nil, time.Now())
//	owner := v.Owner(key.Hash())
//	if v.Unsettled(key.Hash(), 2*time.Second) {
//		names, n := v.Previous(key.Hash())
//		...
//	}
package bronzefleet
