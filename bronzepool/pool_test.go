package bronzepool

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

func TestCandidatesAgainstSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 40).Draw(t, "Servers")
		svc := newService(n)
		var p Pool
		p.SetService(svc)
		hash := rapid.Uint64().Draw(t, "Hash")
		want := rapid.IntRange(0, 45).Draw(t, "N")
		naive := naiveOrder(hash, serverIDs(svc))
		prefix := []bronzeflow.ServerID{7}
		got := p.Candidates(hash, want, prefix)
		require.Equal(t, append([]bronzeflow.ServerID{7}, naive[:min(want, n)]...), got)
	})
}

func TestCandidatesAllocs(t *testing.T) {
	var p Pool
	p.SetService(newService(64))
	dst := make([]bronzeflow.ServerID, 0, 8)
	require.Zero(t, testing.AllocsPerRun(100, func() { p.Candidates(42, 8, dst) }))
	require.Zero(t, testing.AllocsPerRun(100, func() { p.Choose(42, dst, false) }))
}

// Applies random sequences of calls to a Pool and compares each choice with that
// of a model that recomputes everything from the history.
func TestChooseAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		svc := newService(rapid.IntRange(1, 9).Draw(t, "Servers"))
		svc.Policy.ImbalanceBound = rapid.SampledFrom([]float64{1.01, 1.05, 1.25}).Draw(t, "Bound")
		for i := range svc.Pool {
			svc.Pool[i].Connections = rapid.SampledFrom([]int{8, 8, 8, 16}).Draw(t, "Connections")
		}
		n := newNaive(svc)
		ids := serverIDs(svc)
		anyID := rapid.SampledFrom(ids)
		t.Repeat(map[string]func(*rapid.T){
			"Open": func(t *rapid.T) {
				hash := rapid.Uint64().Draw(t, "Hash")
				tried := rapid.SliceOfNDistinct(anyID, 0, min(2, len(ids)), rapid.ID).Draw(t, "Tried")
				n.open(t, hash, tried, rapid.Bool().Draw(t, "Plain"))
			},
			"End":   func(t *rapid.T) { n.end(anyID.Draw(t, "Server")) },
			"Share": func(t *rapid.T) { n.share(t, ids) },
			"Owners": func(t *rapid.T) {
				n.owners = rapid.IntRange(1, 5).Draw(t, "Owners")
				n.pool.SetOwners(n.owners)
			},
			"Leave":   func(t *rapid.T) { n.leave(anyID.Draw(t, "Server")) },
			"Refuse":  func(t *rapid.T) { n.pool.Refused(anyID.Draw(t, "Server"), rapid.Bool().Draw(t, "Silent")) },
			"Advance": func(t *rapid.T) { n.advance(rapid.IntRange(1, 5000).Draw(t, "Milliseconds")) },
		})
	})
}

func TestSetServiceKeepsCounts(t *testing.T) {
	svc := newService(3)
	var p Pool
	p.SetService(svc)
	a, c := svc.Pool[0].ID, svc.Pool[2].ID
	p.Opened(a)
	p.Opened(c)
	p.SetOwned("peer", map[bronzeflow.ServerID]uint32{a: 5, c: 7})
	smaller := *svc
	smaller.Pool = slices.Clone(svc.Pool[:2])
	p.SetService(&smaller)
	require.Equal(t, 6.0, p.Loads()[0].Total)

	// A server that is added again starts without its former counts, and the
	// ends of its old flows don't make its count negative.
	p.SetService(svc)
	p.Ended(c)
	require.Equal(t, 0.0, p.Loads()[2].Total)
	p.SetOwned("peer", nil)
	require.Equal(t, 1.0, p.Loads()[0].Total)
	owned := make(map[bronzeflow.ServerID]uint32)
	p.Owned(owned)
	require.Equal(t, map[bronzeflow.ServerID]uint32{a: 1}, owned)
}
