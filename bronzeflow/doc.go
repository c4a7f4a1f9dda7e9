// Package bronzeflow defines the keys and hashes that identify flows on all
// balancers, the kinds of packets that the balancing logic distinguishes, and
// the Table in which a balancer keeps the state of its flows.
//
// A Key holds the caller's and the service's endpoints and nothing else of a
// transport header, so the balancing logic can be driven by real packets or by
// any other source. Hash and Mix return the same numbers in every process,
// since balancers agree on owners and candidates by each computing them.
//
// A Table is divided into Shards parts, each with its own lock, so that workers
// on different flows rarely contend. Its entries hold no pointers. Its size is
// bounded: when it is full, pending entries are evicted first, then closed ones,
// then those of flows that this balancer doesn't own. An established flow that
// it owns is never evicted.
//
// # Usage
//
// The zero Table is ready to use. The hash of a key is computed once for each
// packet and passed to all calls:
//
//	var t bronzeflow.Table
//	k := bronzeflow.NewKey(bronzeflow.TCP, caller, service)
//	hash := k.Hash()
//	if e, ok := t.Touch(&k, hash, now); ok {
//		forward(e.Server)
//		return
//	}
//	t.Put(&k, hash, bronzeflow.Entry{
//		Server: server,
//		Used:   now,
//		Opened: now,
//		State:  bronzeflow.Pending,
//		Flags:  bronzeflow.Owned,
//	})
//
// The table doesn't expire entries by itself. The caller does so with
// RangeShard, which visits one shard and deletes the entries that its function
// doesn't keep, so that each call costs a small part of the table.
package bronzeflow
