package bronzecore_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
)

// setPartitioned marks a view as that of one side of a partition.
func setPartitioned(v *bronzefleet.View) { v.Partitioned = true }

// A node joins and becomes the owner of a flow whose opening is pending at the
// former owner. That owner was refused by the first server and waits for the
// second. The caller's retransmission reaches the new owner, which must query the
// former one and continue with the second server. Placing the flow again would
// open it at the first one too.
func TestPendingOpeningHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 2, 3)
		old, fresh := w.nodes["vm-0"], w.nodes["vm-1"]
		f := w.open()
		for w.ownerOf(f) != fresh.Name {
			f = w.open()
		}
		old.view, fresh.view = nil, nil
		w.setViews([]string{old.Name})
		opening := &bronzeflow.Packet{Key: f.key, Kind: bronzeflow.Open}
		first := old.FromCaller(opening, nil)[0].Server
		refusal := &bronzeflow.Packet{Key: f.key, Kind: bronzeflow.Refuse}
		second := old.FromServer(refusal, []bronzeflow.ServerID{first}, nil)[0].Server
		w.setViews([]string{old.Name, fresh.Name})
		query := fresh.FromCaller(opening, nil)
		require.Equal(t, []bronzecore.ActionKind{bronzecore.Send}, kinds(query))
		require.Equal(t, old.Name, query[0].Peer)
		answer := old.HandleMessage(query[0].Message, fresh.Name, nil)
		out := fresh.HandleMessage(answer[0].Message, old.Name, nil)
		require.Equal(t, []bronzecore.ActionKind{bronzecore.Forward}, kinds(out))
		require.Equal(t, second, out[0].Server)
	})
}

// While the fleet is partitioned, flows opened on both sides must reach the same
// server although the sides don't know each other's loads. So all flows go to
// their first candidate, which the bound on imbalance would otherwise prevent.
func TestPartitionPlacesByHash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 1, 5)
		w.setViews(w.names(), setPartitioned)
		for range 200 {
			f := w.open()
			out := w.nodes["vm-0"].FromCaller(&bronzeflow.Packet{Key: f.key, Kind: bronzeflow.Open}, nil)
			require.Equal(t, w.firstCandidate(f), out[0].Server)
		}
	})
}

// Every server refuses an opening on one side of a partition. The other side may
// have opened the same flow and run a request of it, so the caller must not be
// told that nothing was run.
func TestPartitionAbortsInsteadOfRefusing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 1, 2)
		w.setViews(w.names(), setPartitioned)
		b, key := w.nodes["vm-0"], w.open().key
		out := b.FromCaller(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Open}, nil)
		for out[0].Kind == bronzecore.Forward {
			refusal := &bronzeflow.Packet{Key: key, Kind: bronzeflow.Refuse}
			out = b.FromServer(refusal, []bronzeflow.ServerID{out[0].Server}, nil)
		}
		require.Equal(t, []bronzecore.ActionKind{bronzecore.Abort}, kinds(out))
		w.record.Limits = map[string]any{"HalfOpen": 1, "Open": 1, "NewPerSecond": 0}
		w.publish()
		for _, want := range []bronzecore.ActionKind{bronzecore.Forward, bronzecore.Abort} {
			out = b.FromCaller(&bronzeflow.Packet{Key: w.open().key, Kind: bronzeflow.Open}, nil)
			require.Equal(t, []bronzecore.ActionKind{want}, kinds(out))
		}
	})
}

// A flow is known on one side of a partition, and for some seconds all its
// packets enter by the other side, which reaches neither the nodes that know the
// flow nor its server. The flow must not be ended, and continues after the
// partition heals.
func TestPartitionKeepsFlowOfOtherSide(t *testing.T) {
	runSeeds(t, 4, 4, func(w *world) {
		f := w.open()
		here, there := w.names()[:2], w.names()[2:]
		f.entryNodes = here
		w.run(time.Second)
		right := map[string]bool{there[0]: true, there[1]: true}
		w.cut = func(from, to string) bool { return right[from] != right[to] && to != "caller" && from != "caller" }
		w.setViews(here, setPartitioned)
		w.setViews(there, setPartitioned)
		for _, name := range there {
			w.nodes[name].Balancer = &bronzecore.Balancer{Name: name}
		}
		w.publish(there...)
		w.setViews(there, setPartitioned)
		f.entryNodes = there
		w.run(8 * time.Second)
		require.False(w.t, f.aborted || f.refused)
		before := w.answeredCounts()
		w.cut = func(string, string) bool { return false }
		w.setViews(w.names(), func(v *bronzefleet.View) { v.Partitioned = false })
		w.run(4 * time.Second)
		w.requireProgress(before)
	})
}
