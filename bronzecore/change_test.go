package bronzecore_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
)

// changes are the kinds of changes that flows are counted over.
var changes = []struct {
	name string
	do   func(w *world)
}{
	{"join", func(w *world) {
		w.nodes["vm-99"] = w.newNode("vm-99")
		w.publish()
		w.setViews(w.names())
	}},
	{"leave", func(w *world) { w.leave(w.names()[0]) }},
	{"drain", func(w *world) { w.drain(0); w.drain(1) }},
	{"rolling and drain", func(w *world) {
		for i, name := range w.names() {
			fresh := w.newNode(nodeName(50 + i))
			w.nodes[fresh.Name] = fresh
			w.publish()
			if i < 2 {
				w.drain(i)
			}
			w.leave(name)
		}
	}},
	{"kill", func(w *world) {
		w.kill(w.names()[0])
		w.settle(time.Second)
		w.setViews(w.names())
	}},
	{"kill during drain", func(w *world) {
		w.drain(0)
		w.kill(w.names()[0])
		w.settle(time.Second)
		w.setViews(w.names())
	}},
	{"split", func(w *world) {
		names := w.names()
		left, right := names[:len(names)/2], names[len(names)/2:]
		w.cut = func(from, to string) bool {
			return w.nodes[from] != nil && w.nodes[to] != nil && slices.Contains(left, from) != slices.Contains(left, to)
		}
		split := func(v *bronzefleet.View) { v.Partitioned = true }
		w.setViews(left, split)
		w.setViews(right, split)
	}},
}

// hashAlone returns the server that a balancer without memory computes.
func (w *world) hashAlone(f *flow) (best bronzeflow.ServerID) {
	hash := f.key.Hash()
	var top uint64
	for _, s := range w.record.Pool {
		id := bronzeflow.NewServerID(customer, s["Instance"].(string))
		if score := bronzeflow.Mix(hash, uint64(id)); s["Status"] == "Serving" && score >= top {
			best, top = id, score
		}
	}
	return best
}

// countBroken runs a change over open flows and counts those that ended, and
// those that a balancer without memory would have sent to another server.
func countBroken(t *testing.T, nodes int, bare bool, change func(w *world)) (broken, hashAlone int) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, nodes, 6)
		w.bare = bare
		w.record.Retry["Idempotent"] = bare // nothing is learned from answers
		w.publish()
		w.openMany(60)
		w.settle(300 * time.Millisecond)
		before := make([]bronzeflow.ServerID, len(w.flows))
		for i, f := range w.flows {
			before[i] = w.hashAlone(f)
		}
		change(w)
		w.settle(5 * time.Second)
		w.checkSafe()
		for i, f := range w.flows {
			if f.refused || f.aborted {
				broken++
			}
			if w.hashAlone(f) != before[i] {
				hashAlone++
			}
		}
	})
	return broken, hashAlone
}

// Flows are open when the fleet or the pool changes. Callers of this design
// see none of it, whatever the size. An owner's table alone (no messages, no
// probes, nothing learned) and hashing without a table show what would be
// lost: run with -v for the numbers.
func TestBrokenFlowsByChange(t *testing.T) {
	for _, c := range changes {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, nodes := range []int{3, 7, 16} {
				ours, hashAlone := countBroken(t, nodes, false, c.do)
				table, _ := countBroken(t, nodes, true, c.do)
				t.Logf("nodes %2d: of 60 flows broken %d, owner table alone %d, hash alone %d", nodes, ours, table, hashAlone)
				require.Zero(t, ours)
			}
		})
	}
}
