// Package bronzeconf reads what operators publish: records of services, in
// two schema versions that live side by side, and the index that names them.
//
// A record is one service as a JSON object. Decode is strict and returns every
// fault of a record with the path of its field. Build puts records together
// into a Snapshot, in which no two services claim the same address, protocol
// and port, and no server belongs to two customers; what wins depends on the
// records alone, so that every balancer comes to the same Snapshot.
//
// A Store keeps the last good version of each record. Whether an index comes
// from the platform or from a peer, revisions never fall, and what was removed
// doesn't come back with an old copy.
//
// # Usage
//
// Check records before they are published:
//
//	for _, r := range bronzeconf.CheckRecords(records) {
//		fmt.Println(r)
//	}
//
// Follow the platform, and act on each Snapshot:
//
//	store := &bronzeconf.Store{OnChange: balancer.SetSnapshot}
//	client := bronzeconf.HTTPPlatform{Base: "http://192.0.2.1:8500"}
//	reader := bronzeconf.Reader{Platform: client.Platform(), Store: store}
//	err := reader.Run(ctx)
//
// Bring a store to the state of a peer's:
//
//	rev, present, bodies := peer.Diff(store.Have())
//	changed, err := store.Apply(rev, present, bodies)
//
// docs/RECORDS.md lists the fields of both schema versions.
package bronzeconf
