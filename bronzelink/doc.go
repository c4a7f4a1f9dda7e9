// Package bronzelink implements the protocol between balancers: the messages,
// their CBOR encoding, and the links that carry them.
//
// Control messages (Message) are sent over WebSocket links with mutual TLS.
// Messages about single flows (FlowMessage) are sent as datagrams. They are
// idempotent, so that a request can be repeated if a datagram is lost.
//
// Field names in the encoded form are those of the Go types. The receiver skips
// fields that it doesn't know, and fields that the sender didn't know have their
// zero values, so that two releases can interoperate during a rollout.
//
// # Usage
//
// Encode a message for a link, decode it on the other side, and check which
// field is set:
//
//	b, err := bronzelink.Encode(&bronzelink.Message{Heartbeat: &heartbeat})
//	m, err := bronzelink.Decode(b)
//	switch {
//	case m.Heartbeat != nil:
//		...
//	}
//
// A Mesh does both, and maintains a link to each peer that messages are sent to:
//
//	mesh := bronzelink.Mesh{Self: self, CertFile: cert, KeyFile: key, CAFile: ca, OnMessage: handle}
//	go mesh.Serve(ctx, listener)
//	err := mesh.Send(peer, &bronzelink.Message{Heartbeat: &heartbeat})
package bronzelink
