// Package bronzeconf reads the configuration that operators publish: records of
// services, in three schema versions that may be mixed, and the index that
// lists them.
//
// A record describes one service as a JSON object. Decode is strict and returns
// every fault of a record with the path of its field. Build combines records
// into a Snapshot, in which no two services claim the same address, protocol and
// port, and no server belongs to two customers. Conflicts are resolved by the
// records alone, so that every balancer builds the same Snapshot.
//
// A Store keeps the last good version of each record. Whether an index comes
// from the platform or from a peer, revisions never decrease, and an old copy
// doesn't bring back what was removed.
//
// # Usage
//
// Check records before they are published:
//
//	for _, r := range bronzeconf.CheckRecords(records) {
//		fmt.Println(r)
//	}
//
// Follow the platform and apply each Snapshot:
//
//	store := &bronzeconf.Store{OnChange: balancer.SetSnapshot}
//	client := bronzeconf.HTTPPlatform{Base: "http://192.0.2.1:8500"}
//	reader := bronzeconf.Reader{Platform: client.Platform(), Store: store}
//	err := reader.Run(ctx)
//
// Bring a store to the state of a peer's store:
//
//	rev, present, bodies := peer.Diff(store.Have())
//	changed, err := store.Apply(rev, present, bodies)
//
// docs/RECORDS.md lists the fields of all schema versions.
package bronzeconf
