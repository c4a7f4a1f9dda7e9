package bronzeedge

import (
	"io"
	"time"

	"bronzeusher.example/bronzeusher/bronzerecord"
)

// TakeAll has a node that has just started take in all records, and its log write what
// there is.
func TakeAll(seams Seams, d bronzerecord.Delta, out io.Writer) {
	e := &Edge{seams: seams, log: NewLog(out), started: time.Now(), known: make(chan struct{}), counts: newCounters()}
	e.records.OnChange = e.onRecords
	e.records.Apply(d)
	e.log.Close()
}
