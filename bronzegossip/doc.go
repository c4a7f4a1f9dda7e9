// Package bronzegossip keeps the nodes of a fleet in step where nothing is
// written anywhere: each tells a few others, by datagrams, which revision of
// the store's records it has, how long ago some node heard that revision from
// the store itself, and which other nodes it knows. It opens no socket.
//
// From that each node works out whether it is to read the store. Two nodes in
// different zones do all the time. When the news that they spread get old,
// because they are gone, cut off or refused, the first node of each zone takes
// over, then the others one after the other. Two readers too many cost a few
// calls; none costs the time until the next in line is due.
//
// A node that hears of a higher revision fetches the difference from whoever
// named it. Small differences come with the news.
//
// Beside that the messages carry what nodes have on servers (Load), and what they found
// of servers that don't answer (Report), which each node passes on as it comes.
//
// Nobody is declared dead: a node that isn't heard of is no longer told, and
// nothing else depends on it. That is why this is not package bronzefleet,
// whose views decide who owns a flow.
//
// # Usage
//
//	g := &bronzegossip.Gossip{Self: self, Records: &records, Seeds: seeds, Send: send}
//	go every(bronzegossip.TickInterval, func() { g.Tick(time.Now()) })
//	g.Handle(b, time.Now()) // for each datagram
//	follower.Active = func() bool { return g.Reads(time.Now()) }
package bronzegossip
