// Package bronzerecord keeps a copy of all records that a read-only store
// holds, and knows up to which revision of the store the copy is complete.
//
// A Set takes whole contents and deltas, from the store or from a peer's Set,
// and never goes back to an older position: of an earlier epoch of the store, or
// of a lower revision in the same one. A Follower keeps a Set up to date
// by one long poll over all records; its Source is two functions, so the
// package knows no protocol.
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
