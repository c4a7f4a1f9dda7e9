package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// Bounds of the counts, a little above the actual values. If a cost exceeds its
// bound, check the effect on docs/CAPACITY.md before raising the bound.
const (
	maxFlowHeap      = (128 << 20) / 500_000 // bytes per flow: 128 MB at 500,000 flows
	maxCopyBytes     = 140                   // bytes of a copy and its acknowledgement
	maxCopyHeap      = 100                   // bytes per copy
	maxLoadItemBytes = 12                    // bytes per host
	maxFirstQueries  = 2                     // former owners
	maxQueries       = 5                     // the other nodes of the order, and three former owners
	maxOwnersHeap    = 32                    // bytes per pair of another node and a host
)

func TestDecisionAllocs(t *testing.T) {
	d := deployments[0]
	b := d.balancer(t)
	key := d.key(0)
	id := openFlow(t, b, key)
	out := make([]bronzecore.Action, 0, 4)
	ids := []bronzeflow.ServerID{id}
	data := bronzeflow.Packet{Key: key, Kind: bronzeflow.Data, Payload: 100}
	require.Zero(t, testing.AllocsPerRun(100, func() {
		out = b.FromCaller(&data, out[:0])
		out = b.FromServer(&data, ids, out[:0])
	}))
	require.Equal(t, bronzecore.Reply, out[0].Kind)
}

func TestRelayAllocs(t *testing.T) {
	d := deployments[0]
	b := d.balancer(t)
	v := view(7)
	b.SetView(v)
	out := make([]bronzecore.Action, 0, 4)
	data := bronzeflow.Packet{Key: d.keysByOwner(v, 1, false)[0], Kind: bronzeflow.Data, Payload: 100}
	require.Zero(t, testing.AllocsPerRun(100, func() { out = b.FromCaller(&data, out[:0]) }))
	require.Equal(t, bronzecore.Relay, out[0].Kind)
}

func TestFlowHeap(t *testing.T) {
	const flows = 50_000
	d := deployments[0]
	heap := heapOf(func() *bronzecore.Balancer {
		b := d.balancer(t)
		for i := range flows {
			openFlow(t, b, d.key(i))
		}
		return b
	})
	require.LessOrEqual(t, heap/flows, float64(maxFlowHeap))
}

func TestCopyHeap(t *testing.T) {
	const copies = 50_000
	heap := heapOf(func() *bronzecore.Balancer { return successor(copies) })
	require.LessOrEqual(t, heap/copies, float64(maxCopyHeap))
}

func TestCopyBytes(t *testing.T) {
	require.LessOrEqual(t, copyBytes(t, 1), maxCopyBytes)
}

func TestLoadBytes(t *testing.T) {
	for _, d := range deployments {
		empty := controlBytes(t, &bronzelink.Message{Load: &bronzelink.Load{Origin: self, Sequence: 1 << 40}})
		all := controlBytes(t, &bronzelink.Message{Load: d.ownLoad(t, self)})
		require.LessOrEqual(t, (all-empty)/float64(d.hosts), float64(maxLoadItemBytes))
	}
}

// TestRecoveryQueries recovers flows in the largest fleet. Only the former owners
// of a flow are queried, and if they don't know it the next nodes in its order:
// the bytes of queries to all nodes would grow with the fleet.
func TestRecoveryQueries(t *testing.T) {
	d := deployments[0]
	b := d.balancer(t)
	v := view(targetNodes)
	b.SetView(v)
	for _, key := range d.keysByOwner(v, 20, true) {
		out := b.FromCaller(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Data, Payload: 100}, nil)
		requireQueries(t, out, maxFirstQueries)
		var again []bronzecore.Action
		for _, a := range out {
			unknown := bronzelink.FlowMessage{Answer: &bronzelink.Mapping{Key: key}}
			again = b.HandleMessage(&unknown, a.Peer, again)
		}
		requireQueries(t, again, maxQueries)
	}
}

// requireQueries requires that actions are queries, at least one and at most
// most.
func requireQueries(t *testing.T, actions []bronzecore.Action, most int) {
	require.NotEmpty(t, actions)
	require.LessOrEqual(t, len(actions), most)
	for _, a := range actions {
		require.NotNil(t, a.Message)
		require.NotNil(t, a.Message.Query)
	}
}

// TestSharedCountsHeap bounds the heap of the counts that other nodes share.
func TestSharedCountsHeap(t *testing.T) {
	const others = 20
	d := deployments[1]
	counts := d.counts(t)
	b := d.balancer(t)
	heap := heapOf(func() *bronzecore.Balancer {
		for _, m := range members(others) {
			b.SetOwnedFlows(m.Name, counts)
		}
		return b
	})
	require.LessOrEqual(t, heap/float64(others*d.hosts), float64(maxOwnersHeap))
}
