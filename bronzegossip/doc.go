// Package bronzegossip keeps the nodes of a fleet in sync by gossip, without writing to the
// store. Each node tells a few peers by datagram which revision of the store's records it
// has, how long ago the store confirmed that revision to any node, and which peers it knows.
// The package opens no socket.
//
// From this each node decides whether it should read the store. Two nodes in different zones
// always do. When the confirmations that they spread get too old, because the readers are
// gone, cut off or refused by the store, the first node of each zone takes over, and the
// others follow one by one. Two readers too many cost a few calls; having none costs the time
// until the next node takes over.
//
// Confirmations and other observations are relayed many times, by messages that may wait on
// their way, and must not become more recent by that. The measured delay of a message is added
// to the ages in it. Confirmations are also identified by the node that got them, so that the
// earliest time counts that any message gives.
//
// A node that hears of a higher revision fetches the difference from the peer that named it.
// Small differences are part of the message.
//
// The messages also carry the loads that nodes put on servers (Load), what callers ask of
// pools (Sum), and what nodes have observed of servers that don't answer (Report), which
// each node forwards.
//
// No node is declared dead: one that isn't heard of gets no more news, only a request now and
// then, and nothing else depends on it. Package bronzefleet, whose views decide which node
// owns a flow, is separate for that reason.
//
// # Usage
//
//	g := &bronzegossip.Gossip{Self: self, Records: &records, Seeds: seeds, Send: send}
//	go every(bronzegossip.TickInterval, func() { g.Tick(time.Now()) })
//	g.Handle(b, time.Now()) // for each datagram
//	follower.Active = func() bool { return g.ShouldRead(time.Now()) }
package bronzegossip
