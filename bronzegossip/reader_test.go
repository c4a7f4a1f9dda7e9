package bronzegossip

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzerecord"
)

// naiveRank sorts all live nodes and looks up the rank of g's own.
func naiveRank(g *Gossip, now time.Time) (r rank) {
	order := append(g.livePeers(now), g.Self)
	slices.SortFunc(order, func(a, b Peer) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	readers := []string{order[0].Name}
	for _, p := range order[1:] {
		if p.AvailabilityZone != order[0].AvailabilityZone {
			readers = append(readers, p.Name)
			break
		}
	}
	if len(readers) == 1 && len(order) > 1 {
		readers = append(readers, order[1].Name)
	}
	r.reader = slices.Contains(readers, g.Self.Name)
	for _, p := range order {
		if p.Name == g.Self.Name {
			return r
		}
		if p.AvailabilityZone == g.Self.AvailabilityZone {
			r.before++
		}
	}
	return r
}

// newGossipWithPeers returns a node that has heard of n peers, some of them long ago or
// leaving.
func newGossipWithPeers(n, zones int, now time.Time, age func() time.Duration, leaving func() bool) *Gossip {
	address := netip.MustParseAddrPort("10.0.0.1:7000")
	g := &Gossip{Self: Peer{Name: "self", Address: address, AvailabilityZone: "0"}, Records: &bronzerecord.Set{}}
	for i := range n {
		g.updatePeer(Peer{
			Name: fmt.Sprint("node-", i), Incarnation: 1, Address: address, AvailabilityZone: fmt.Sprint(i % zones),
			HeardMS: milliseconds(age()), Leaving: leaving(),
		}, now)
	}
	return g
}

func TestRankAgainstNaive(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	rapid.Check(t, func(t *rapid.T) {
		g := newGossipWithPeers(rapid.IntRange(0, 30).Draw(t, "Nodes"), rapid.IntRange(1, 4).Draw(t, "Zones"), now,
			func() time.Duration {
				return time.Duration(rapid.IntRange(0, 8000).Draw(t, "AgeMS")) * time.Millisecond
			},
			func() bool { return rapid.IntRange(0, 5).Draw(t, "Leaving") == 0 })
		require.Equal(t, naiveRank(g, now), g.rank(now))
	})
}

// BenchmarkShouldRead measures how long a node takes to decide whether it reads the
// store, which it does ten times a second.
func BenchmarkShouldRead(b *testing.B) {
	now := time.Now()
	g := newGossipWithPeers(489, 6, now, func() time.Duration { return 0 }, func() bool { return false })
	g.Records.Apply(bronzerecord.Delta{Whole: true, To: 1})
	b.ReportAllocs()
	for b.Loop() {
		g.ShouldRead(now)
	}
}

// While servers are replaced the store changes ten times a second. A node fetches each
// change from a peer a moment after it hears of it, so there is always one that it
// doesn't have yet. It must not read the store for that, as every other node would, but
// it must if no peer provides a change.
func TestIsBehindFrequentChanges(t *testing.T) {
	var records bronzerecord.Set
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := Gossip{Self: Peer{Name: "z"}, Records: &records}
	has := func(revision uint64) {
		records.Apply(bronzerecord.Delta{From: records.Position().Revision, To: revision})
	}
	g.Tick(now)
	for revision := uint64(1); revision < 50; revision++ {
		g.noteLatest(bronzerecord.Position{Revision: revision}, now)
		now = now.Add(step)
		g.noteLatest(bronzerecord.Position{Revision: revision + 1}, now)
		require.False(t, g.isBehind(now))
		has(revision)
		require.False(t, g.isBehind(now))
	}
	require.False(t, g.isBehind(now.Add(behindTimeout-step)))
	require.True(t, g.isBehind(now.Add(behindTimeout)))
	has(50)
	require.False(t, g.isBehind(now.Add(behindTimeout)))
}
