package bronzegossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzerecord"
)

// Guards against higher revisions of an earlier epoch winning after a partition between
// zones.
func TestConvergeOnLaterEpoch(t *testing.T) {
	net, nodes := newNetwork(9)
	s := &store{epoch: 1, revision: 50}
	s.run(nodes, 3*time.Second)
	inZone := func(d *node) bool { return d.gossip.Self.AvailabilityZone == "a" }
	net.cut = func(from, to *node) bool { return inZone(from) != inZone(to) }
	for _, d := range nodes {
		d.storeReachable = !inZone(d)
	}
	s.epoch, s.revision = 2, 20
	s.run(nodes, 3*time.Second)
	for _, d := range nodes {
		require.Equal(t, inZone(d), d.records.Position() == bronzerecord.Position{Epoch: 1, Revision: 50})
	}
	net.cut = func(_, _ *node) bool { return false }
	s.run(nodes, 500*time.Millisecond)
	require.Zero(t, s.behind(nodes))
	s.revision = 21
	s.run(nodes, 500*time.Millisecond)
	require.Zero(t, s.behind(nodes))
}

// Guards against every node of a large fleet reading all records after a restore of the
// store.
func TestStoreCallsAfterRestore(t *testing.T) {
	_, nodes := newNetwork(300)
	s := &store{epoch: 1, revision: 50}
	s.run(nodes, 10*time.Second)
	require.Zero(t, s.behind(nodes))
	calls := func() (n int) {
		for _, d := range nodes {
			n += d.storeCalls
		}
		return n
	}
	before := calls()
	s.epoch, s.revision = 2, 20
	s.run(nodes, time.Second)
	require.Zero(t, s.behind(nodes))
	require.LessOrEqual(t, calls()-before, 10)
}

// Guards against nodes that start after a restore and know only what is in the backup.
func TestFetchLostHistoryAtStart(t *testing.T) {
	net, nodes := newNetwork(9)
	asked := make(map[*node]int)
	for _, d := range nodes {
		d.gossip.FetchLostHistory = func(peer Peer) {
			asked[d]++
			net.queue = append(net.queue, func() {
				if r, ok := net.nodes[peer.Address].records.LostHistory(); ok {
					d.records.MergeLostHistory(r)
				}
			})
		}
	}
	s := &store{epoch: 1, revision: 50}
	s.run(nodes, 3*time.Second)
	s.epoch, s.revision = 2, 20
	s.run(nodes, time.Second)
	require.Zero(t, s.behind(nodes))
	require.Empty(t, asked)

	started := nodes[0]
	started.records = bronzerecord.Set{}
	require.True(t, started.records.Apply(bronzerecord.Delta{Epoch: 2, Whole: true, To: 20}))
	s.run(nodes, 2*time.Second)
	former, lost := started.records.FormerPosition()
	require.Equal(t, bronzerecord.Position{Epoch: 1, Revision: 50}, former)
	require.Positive(t, lost)
	require.Equal(t, 1, asked[started])
	require.Len(t, asked, 1)
}
