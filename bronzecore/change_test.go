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

// changes are the changes for which broken flows are counted.
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
		w.run(time.Second)
		w.setViews(w.names())
	}},
	{"kill during drain", func(w *world) {
		w.drain(0)
		w.kill(w.names()[0])
		w.run(time.Second)
		w.setViews(w.names())
	}},
	{"partition", func(w *world) {
		names := w.names()
		left, right := names[:len(names)/2], names[len(names)/2:]
		w.cut = func(from, to string) bool {
			return w.nodes[from] != nil && w.nodes[to] != nil && slices.Contains(left, from) != slices.Contains(left, to)
		}
		partitioned := func(v *bronzefleet.View) { v.Partitioned = true }
		w.setViews(left, partitioned)
		w.setViews(right, partitioned)
	}},
}

// firstCandidate returns the server that a stateless balancer computes by hash.
func (w *world) firstCandidate(f *flow) (best bronzeflow.ServerID) {
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

// countBroken makes a change while flows are open. It counts the flows that
// ended, and those that a stateless balancer would have moved to another server.
func countBroken(t *testing.T, nodes int, ownerTableOnly bool, change func(w *world)) (broken, hashAlone int) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, nodes, 6)
		w.ownerTableOnly = ownerTableOnly
		w.record.Retry["Idempotent"] = ownerTableOnly // disables learning from answers
		w.publish()
		w.openMany(60)
		w.run(300 * time.Millisecond)
		before := make([]bronzeflow.ServerID, len(w.flows))
		for i, f := range w.flows {
			before[i] = w.firstCandidate(f)
		}
		change(w)
		w.run(5 * time.Second)
		w.requireInvariants()
		for i, f := range w.flows {
			if f.refused || f.aborted {
				broken++
			}
			if w.firstCandidate(f) != before[i] {
				hashAlone++
			}
		}
	})
	return broken, hashAlone
}

// The fleet or the pool changes while flows are open. No flow may break,
// whatever the size of the fleet. For comparison, run with -v to log how many
// flows would break with an owner's table alone (no messages, no probes, nothing
// learned) and with hashing without a table.
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
