// Package bronzefleet knows which balancers form the fleet, and which of them
// owns a flow.
//
// A View is an immutable picture of the fleet. Each flow hash falls into one
// of Slots slots, and each slot has an order of nodes by rendezvous hashing:
// all nodes with the same members compute the same owner, and a node that
// joins or goes moves only the slots that it owns. For a slot that moved, the
// view names the nodes that owned it before.
//
// A Fleet makes the views. It is a membership protocol without shared state:
//
//   - Each node sends heartbeats to the next member on each of four rings by
//     hash, two of the whole fleet and two of its availability zone, and is
//     monitored by the previous ones. These are its neighbours; their number
//     doesn't grow with the fleet.
//   - A member that doesn't answer is asked for by others. If nobody reaches
//     it, it is suspect, which is spread as news; it refutes that with a higher
//     incarnation, or is dead after a while. A suspect goes on owning flows.
//   - News goes to all neighbours once. What is lost on the way shows in the
//     digests that heartbeats carry, and the parts of the lists that differ
//     are exchanged.
//   - A dead member is tried again now and then, so that the sides of a
//     partition find each other when it heals.
//   - A process that finds by the clock that it was paused for longer than its
//     lease is fenced until a peer has told it what it missed.
//
// Beside that a Fleet spreads a small Load of each node to all others, inside a
// budget of bytes.
//
// # Usage
//
// Set the functions that a Fleet calls, hand it what peers send, and run it:
//
//	f := bronzefleet.Fleet{Self: self, Send: mesh.Send, OnView: balancer.SetView}
//	mesh.OnMessage = f.Handle
//	mesh.OnLost = f.LinkLost
//	mesh.Accept = f.Admit
//	f.Join(seeds)
//	err := f.Run(ctx)
//
// Or build a view from members and ask it for the owner of a flow:
//
//	v := bronzefleet.NewView("riga-a-1", members, nil, time.Now())
//	owner := v.Owner(key.Hash())
//	if v.Unsettled(key.Hash(), 2*time.Second) {
//		names, n := v.Previous(key.Hash())
//		...
//	}
package bronzefleet
