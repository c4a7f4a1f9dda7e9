// Package bronzeflow names flows and remembers them: the keys and hashes by
// which all balancers know a flow, the kinds of packets that the decisions
// tell apart, and a Table of what one balancer knows of its flows.
//
// A Key has the caller's and the service's endpoints and nothing of a
// transport header, so the decisions can be driven by real packets or by any
// other source. Hash and Mix give the same numbers in every process, because
// balancers agree on owners and candidates by computing them alike.
//
// A Table is divided into Shards, each under its own lock, so that workers on
// different flows rarely meet. Its entries hold no pointers. It is bounded:
// when it is full, openings and forgotten flows give way first, and a flow
// that this balancer owns and that is established never does.
//
// # Usage
//
// The zero Table works; the hash of a key is computed once for each packet
// and serves all calls:
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
// Expiry is the caller's: RangeShard goes over one shard and deletes what its
// function doesn't keep, so that a tick costs a small part of the table.
package bronzeflow
