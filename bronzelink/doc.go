// Package bronzelink is the inner protocol between balancers: the messages,
// their CBOR form, and the links that carry them.
//
// Control messages (Message) travel over WebSocket links with mutual TLS.
// Messages about single flows (FlowMessage) travel as datagrams, and are
// idempotent, so that a lost one is asked for again.
//
// Field names in the encoded form are those of the Go types. A field that the
// receiver doesn't know is skipped, and one that the sender didn't know has its
// zero value, so that two releases can meet during a rollout.
//
// # Usage
//
// Encode a message for a link, decode it on the other side, and look at which
// field is set:
//
//	b, err := bronzelink.Encode(&bronzelink.Message{Heartbeat: &heartbeat})
//	m, err := bronzelink.Decode(b)
//	switch {
//	case m.Heartbeat != nil:
//		...
//	}
//
// A Mesh does both, and keeps a link to each peer that messages go to:
//
//	mesh := bronzelink.Mesh{Self: self, CertFile: cert, KeyFile: key, CAFile: ca, OnMessage: handle}
//	go mesh.Serve(ctx, listener)
//	err := mesh.Send(peer, &bronzelink.Message{Heartbeat: &heartbeat})
package bronzelink
