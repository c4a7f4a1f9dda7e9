// Package bronzecore implements the decisions of one balancer: which service
// a packet is for, which backend server its flow is pinned to, whether the
// packet is forwarded to that server, relayed to the node that owns the flow,
// or dropped, and how the server of a flow is recovered after the fleet or the
// pool has changed.
//
// The package opens no sockets and starts no goroutines. Its inputs are
// packets ([bronzeflow.Packet]), messages from other nodes, configuration
// snapshots, views of the fleet and the runtime's clock. Its outputs are
// values of type [Action], which a driver carries out. The methods that decide
// append their actions to a slice and return it, so that a driver can reuse
// one slice for all packets.
//
// # Invariants
//
//   - Only the owner of a flow places it. Other nodes relay to the owner until
//     they have learned which server the flow is pinned to.
//   - Payload is forwarded only to a server that is confirmed for the flow: it
//     accepted the flow, or another node or the server itself knows the flow.
//   - The first forwarded payload commits the flow to its server permanently,
//     unless the service's record declares its requests idempotent.
//   - A caller is told that nothing was run ([Refuse]) only if no payload of
//     the flow was forwarded. Otherwise its flow is ended without that claim
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
// In addition, every [TickInterval]:
//
//	out = b.Tick(out[:0])
package bronzecore
