// Package bronzerecord keeps a copy of all records of a read-only store, and the position in
// the store's history up to which the copy is complete.
//
// A Set applies snapshots and deltas, from the store or from a peer's Set. It never goes back
// to an older position: one in an earlier epoch of the store, or one at a lower revision of
// the same epoch. A Follower keeps a Set up to date by one long poll over all records. Its
// Source is two functions, so the package depends on no protocol.
//
// # Usage
//
//	var set bronzerecord.Set
//	set.OnChange = func(c bronzerecord.Change) { ... }
//	f := bronzerecord.Follower{Source: source, Set: &set}
//	err := f.Run(ctx)
//
// Bring a set to the state of a peer's:
//
//	delta, ok := peer.Since(set.Position())
//	set.Apply(delta)
package bronzerecord
