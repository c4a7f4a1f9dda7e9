// Package bronzefleet maintains the membership of the fleet of balancers and
// determines which of them owns a flow.
//
// A View is an immutable snapshot of the fleet. Each flow hash falls into one
// of Slots slots, and rendezvous hashing gives each slot an order of nodes:
// all nodes with the same members compute the same owner, and a node that
// joins or leaves changes the owner of its own slots only. For a slot whose
// owner changed, the view names the previous owners.
//
// A Fleet makes the views. It runs a gossip protocol in the manner of SWIM,
// without shared state:
//
//   - Each node sends heartbeats to the next member on each of four hash
//     rings, two of the whole fleet and two of its availability zone, and is
//     monitored by the previous member on each. These are its neighbours;
//     their number doesn't grow with the fleet.
//   - If a member doesn't answer, its monitor asks other members to check it.
//     If none of them reaches it, it becomes suspect. It refutes the suspicion
//     with a higher incarnation, or is declared dead after a timeout. A
//     suspect keeps owning its flows.
//   - Updates about members are sent once to each neighbour, or along the
//     first ring only while there are many. Lost updates show in the digests
//     that heartbeats carry, and the parts of the member lists that differ
//     are then exchanged.
//   - Dead members are contacted again at intervals, so that the sides of a
//     partition find each other when it heals.
//   - A process that detects by the clock that it was paused for longer than
//     its lease is fenced until a peer has told it what it missed.
//
// A Fleet also spreads the Load of each node to all others, within a budget of
// bytes per second.
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
// Or build a view from a list of members and look up the owner of a flow:
//
//	v := bronzefleet.NewView("riga-a-1", members, nil, time.Now())
//	owner := v.Owner(key.Hash())
//	if v.Unsettled(key.Hash(), 2*time.Second) {
//		names, n := v.Previous(key.Hash())
//		...
//	}
package bronzefleet
