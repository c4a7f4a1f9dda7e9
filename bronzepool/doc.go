// Package bronzepool decides which backend server a new flow goes to, and
// whether it may be opened at all. It opens no socket and starts no
// goroutine.
//
// A flow's candidates are a rendezvous order over its service's pool, which
// every node computes alike. A Pool takes the first candidate unless its load
// is over a bound relative to the fair share, so most flows can be derived
// from their key. A Pool knows the load from three sources: the flows that
// this node owns, the counts that other owners share, and what the servers
// report of themselves. Reports lag and mislead, so each server's are trusted
// by degree.
//
// # Usage
//
// One Pool serves one service. Tell it what is in force and how many nodes
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
// Share what Owned gives with the other owners about once a second, and pass
// theirs to SetOwned.
package bronzepool
