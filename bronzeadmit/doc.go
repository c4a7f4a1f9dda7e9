// Package bronzeadmit decides which openings are admitted to a pool that has no room for all of
// them: by the priority of the route, then fairly between Customers and callers. It does no I/O,
// reads no clock and starts no goroutines.
//
// Nodes exchange no messages to agree. Each derives from the caller's address and the Unix time
// the position of the caller in an order that changes every 4 s, and refuses those with the
// lowest positions. So a caller that one node refuses isn't admitted by another, and gets its
// turn later.
//
// # Usage
//
// A Pool serves one pool of servers on one node. Set the priorities of its routes, and decide on
// the first transmission of each opening:
//
//	var p bronzeadmit.Pool
//	p.SetLevels([]int{1, 2})
//	load := bronzeadmit.Load{Waiting: 1.8, Limit: 1.0, Ceiling: 8}
//	request := bronzeadmit.Request{Priority: 2, Customer: "map-live", Caller: xxhash.Sum64(address)}
//	v := p.Decide(request, load, time.Since(started), time.Now())
//	if !v.Admit {
//		// Refuse the opening, and log v.Reason and v.Fraction.
//	}
//
// Decide also counts the opening, so call it for all first transmissions, also while the pool
// has room: who asks more often than others is known only from what was counted before.
package bronzeadmit
