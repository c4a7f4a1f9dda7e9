package bronzeedge

import (
	"io"
	"time"

	"bronzeusher.example/bronzeusher/bronzerecord"
)

// ApplyAll has a node that has just started take in all records, and its log write what
// there is.
func ApplyAll(adapter Adapter, d bronzerecord.Delta, out io.Writer) {
	e := newTaker(adapter, out)
	e.records.Apply(d)
	e.log.Close()
}

func newTaker(adapter Adapter, out io.Writer) *Edge {
	e := &Edge{adapter: adapter, log: NewLog(out), started: time.Now(), firstView: make(chan struct{}), counts: newCounters()}
	e.records.OnChange = e.onRecords
	return e
}

// ApplyRestored has a node that has all records take in those of a store that came back from a
// copy, and calls timed around that. It returns what a peer would get of it, compressed.
func ApplyRestored(adapter Adapter, d, restored bronzerecord.Delta, timed func(take func())) (sent []byte, err error) {
	e := newTaker(adapter, io.Discard)
	defer e.log.Close()
	e.records.Apply(d)
	timed(func() { e.records.Apply(restored) })
	whole, _ := e.records.Since(bronzerecord.Position{})
	return e.deltas.encode(whole)
}
