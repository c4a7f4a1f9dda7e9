package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// Bounds on what is counted, a little over today's counts. A cost that grows
// past its bound has to be weighed against docs/CAPACITY.md.
const (
	maxFlowHeap      = (128 << 20) / 500_000 // bytes a flow, 128 MB at 500,000
	maxCopyBytes     = 140                   // a copy and its acknowledgement
	maxCopyHeap      = 100                   // bytes a copy
	maxLoadItemBytes = 12
	maxFirstQueries  = 2  // former owners
	maxQueries       = 5  // the order without the owner, and three former owners
	maxOwnersHeap    = 32 // bytes for each pair of another node and a host
)

func TestDecisionDoesNotAllocate(t *testing.T) {
	d := deployments[0]
	b := d.balancer(t)
	key := d.key(0)
	id := open(t, b, key)
	out := make([]bronzecore.Action, 0, 4)
	ids := []bronzeflow.ServerID{id}
	data := bronzeflow.Packet{Key: key, Kind: bronzeflow.Data, Payload: 100}
	require.Zero(t, testing.AllocsPerRun(100, func() {
		out = b.FromCaller(&data, out[:0])
		out = b.FromServer(&data, ids, out[:0])
	}))
	require.Equal(t, bronzecore.Reply, out[0].Kind)
}

func TestRelayDoesNotAllocate(t *testing.T) {
	d := deployments[0]
	b := d.balancer(t)
	v := view(7)
	b.SetView(v)
	out := make([]bronzecore.Action, 0, 4)
	data := bronzeflow.Packet{Key: d.owned(v, 1, false)[0], Kind: bronzeflow.Data, Payload: 100}
	require.Zero(t, testing.AllocsPerRun(100, func() { out = b.FromCaller(&data, out[:0]) }))
	require.Equal(t, bronzecore.Relay, out[0].Kind)
}

func TestHeapOfFlow(t *testing.T) {
	const flows = 50_000
	d := deployments[0]
	heap := heapOf(func() *bronzecore.Balancer {
		b := d.balancer(t)
		for i := range flows {
			open(t, b, d.key(i))
		}
		return b
	})
	require.LessOrEqual(t, heap/flows, float64(maxFlowHeap))
}

func TestHeapOfCopy(t *testing.T) {
	const copies = 50_000
	heap := heapOf(func() *bronzecore.Balancer { return successor(copies) })
	require.LessOrEqual(t, heap/copies, float64(maxCopyHeap))
}

func TestBytesOfCopy(t *testing.T) {
	require.LessOrEqual(t, copyBytes(t, 1), maxCopyBytes)
}

func TestBytesOfLoad(t *testing.T) {
	for _, d := range deployments {
		empty := controlBytes(t, &bronzelink.Message{Load: &bronzelink.Load{Origin: self, Sequence: 1 << 40}})
		all := controlBytes(t, &bronzelink.Message{Load: d.ownLoad(t, self)})
		require.LessOrEqual(t, (all-empty)/float64(d.hosts), float64(maxLoadItemBytes))
	}
}

// TestQueriesOfRecovery looks for a flow in the largest fleet. Only the flow's
// former owners are asked, and if they don't know it the next in its order: a
// question to all would cost more bytes with each node.
func TestQueriesOfRecovery(t *testing.T) {
	d := deployments[0]
	b := d.balancer(t)
	v := view(targetNodes)
	b.SetView(v)
	for _, key := range d.owned(v, 20, true) {
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

// requireQueries checks that actions are queries, at least one and at most
// most.
func requireQueries(t *testing.T, actions []bronzecore.Action, most int) {
	require.NotEmpty(t, actions)
	require.LessOrEqual(t, len(actions), most)
	for _, a := range actions {
		require.NotNil(t, a.Message)
		require.NotNil(t, a.Message.Query)
	}
}

// TestHeapOfSharedCounts bounds what each node keeps of what another shares.
func TestHeapOfSharedCounts(t *testing.T) {
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
