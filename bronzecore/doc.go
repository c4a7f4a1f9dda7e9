// Package bronzecore makes the decisions of one balancer: which service a
// packet is for, which backend server its flow is pinned to, whether it goes
// straight there, to the flow's owner among the nodes, or nowhere, and how a
// flow is found again after the nodes or the pool have changed.
//
// It opens no socket and starts no goroutine. Its inputs are packets as
// [bronzeflow.Packet], messages of other nodes, configurations, views of the
// fleet and the clock of the runtime; its outputs are values of type [Action]
// that a driver carries out. Every method appends its actions to a slice and
// returns it, so that a driver can reuse one slice for all packets.
//
// # Rules that every decision keeps
//
//   - The owner of a flow alone places it. Others relay to the owner until
//     they have learned where the flow is pinned.
//   - Payload goes only to a server that is confirmed for the flow: it
//     accepted, or another node or the server itself knows the flow.
//   - The first forwarded payload commits the flow to its server for ever,
//     unless the service's record says that its requests are idempotent.
//   - A caller is told that nothing ran ([Refuse]) only if no payload of the
//     flow was forwarded; otherwise its flow is ended without a claim
//     ([Abort]).
//
// # Usage
//
//	b := &bronzecore.Balancer{Name: "vm-1"}
//	b.SetSnapshot(snapshot)
//	b.SetView(view)
//	var out []bronzecore.Action
//	for p := range packets {
//		out = b.FromCaller(p, out[:0])
//		for i := range out {
//			do(&out[i])
//		}
//	}
//
// and, every [TickInterval]:
//
//	out = b.Tick(out[:0])
package bronzecore
