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

// inSplit marks a view as that of one side of a split.
func inSplit(v *bronzefleet.View) { v.Partitioned = true }

// A node joins while an opening is pending at its former owner, which has
// been refused by the first server and waits for the second. The caller's
// repeated opening meets the new owner. It asks, and goes on with the second
// server; placing the flow anew would open it at the first one too.
func TestNewOwnerTakesPendingOpeningOver(t *testing.T) {
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

// While the fleet is split, flows that are opened on both sides must meet the
// same server, though the sides don't know each other's loads. So all go to
// the first candidate, which the bound on imbalance would not allow.
func TestSplitPlacesByTheHashAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 1, 5)
		w.setViews(w.names(), inSplit)
		for range 200 {
			f := w.open()
			out := w.nodes["vm-0"].FromCaller(&bronzeflow.Packet{Key: f.key, Kind: bronzeflow.Open}, nil)
			require.Equal(t, w.hashAlone(f), out[0].Server)
		}
	})
}

// Every server refuses an opening on one side of a split. The other side may
// have opened the same flow and run a request of it, so its caller must not be
// told that nothing ran.
func TestSplitMakesNoClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 1, 2)
		w.setViews(w.names(), inSplit)
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

// A flow lives on one side of a split, and for some seconds all its packets
// enter by the other, which reaches neither the nodes that know it nor its
// server. It must not be ended: when the split heals it goes on.
func TestFlowOfTheOtherSideIsNotEnded(t *testing.T) {
	inBubble(t, 4, 4, func(w *world) {
		f := w.open()
		here, there := w.names()[:2], w.names()[2:]
		f.via = here
		w.settle(time.Second)
		right := map[string]bool{there[0]: true, there[1]: true}
		w.cut = func(from, to string) bool { return right[from] != right[to] && to != "caller" && from != "caller" }
		w.setViews(here, inSplit)
		w.setViews(there, inSplit)
		for _, name := range there {
			w.nodes[name].Balancer = &bronzecore.Balancer{Name: name}
		}
		w.publish(there...)
		w.setViews(there, inSplit)
		f.via = there
		w.settle(8 * time.Second)
		require.False(w.t, f.aborted || f.refused)
		mark := w.mark()
		w.cut = func(string, string) bool { return false }
		w.setViews(w.names(), func(v *bronzefleet.View) { v.Partitioned = false })
		w.settle(4 * time.Second)
		w.checkGoingOn(mark)
	})
}
