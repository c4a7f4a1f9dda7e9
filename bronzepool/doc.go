// Package bronzepool decides which backend server a new flow goes to, and
// whether the flow may be opened at all. It does no I/O and starts no
// goroutines.
//
// The candidates of a flow are the servers of its service's pool in rendezvous
// hashing order, which is the same on every node. A Pool chooses the first
// candidate unless the load of that server exceeds a bound relative to its
// fair share, so other nodes can derive the server of most flows from the key
// alone. The load is estimated from three sources: the flows that this node
// owns, the counts shared by the other owners, and the servers' own reports.
// Reports can be late or wrong, so the Pool weights them by a trust level that
// it keeps for each server.
//
// # Usage
//
// A Pool serves one service. Set the service and the number of nodes that
// place flows, then choose:
//
//	var p bronzepool.Pool
//	p.SetService(svc)
//	p.SetOwners(7)
//	id, first, ok := p.Choose(key.Hash(), nil, false)
//	if !ok {
//		// Refuse the flow: no server may take it.
//	}
//	p.Opened(id)
//	// Later: p.Accepted(id, after) or p.Refused(id, silent).
//	p.Ended(id)
//
// Share the counts from Owned with the other owners about once a
// second, and pass theirs to SetOwned.
package bronzepool
