package bronzeedge

import (
	"io"
	"time"

	"bronzeusher.example/bronzeusher/bronzerecord"
)

// ApplyAll applies all records to a new node, as at its start, and waits until the log is
// written.
func ApplyAll(adapter Adapter, d bronzerecord.Delta, out io.Writer) {
	e := newRecordsNode(adapter, out)
	e.records.Apply(d)
	e.log.Close()
}

func newRecordsNode(adapter Adapter, out io.Writer) *Edge {
	e := &Edge{adapter: adapter, log: NewLog(out), started: time.Now(), firstView: make(chan struct{}), counts: newCounters()}
	e.records.OnChange = e.onRecords
	return e
}

// ApplyRestored applies the records of a store that was restored from a backup to a node
// that has all records, by the function that it passes to timed. It returns the compressed
// records that a peer would be sent.
func ApplyRestored(adapter Adapter, d, restored bronzerecord.Delta, timed func(apply func())) (sent []byte, err error) {
	e := newRecordsNode(adapter, io.Discard)
	defer e.log.Close()
	e.records.Apply(d)
	timed(func() { e.records.Apply(restored) })
	whole, _ := e.records.Since(bronzerecord.Position{})
	return e.deltas.encode(whole)
}
