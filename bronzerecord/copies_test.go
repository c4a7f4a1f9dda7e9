package bronzerecord

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fleetModel is a store and the copies of some nodes, which load and watch it and get deltas from each
// other in any order.
type fleetModel struct {
	t     *rapid.T
	store *fakeStore
	nodes []*Follower
	// pageStep is called before each page of a load.
	pageStep func()
	drawn    map[string]int
}

func newFleetModel(t *rapid.T, nodes int, drawn map[string]int) *fleetModel {
	m := &fleetModel{t: t, store: &fakeStore{h: newHistory(), pageSize: 2}, pageStep: func() {}, drawn: drawn}
	source := Source{
		Read: func(ctx context.Context, after string, stale bool) (Page, error) {
			m.pageStep()
			return m.store.read(ctx, after, stale)
		},
		Watch: func(_ context.Context, after uint64) (d Delta, err error) {
			m.store.locked(func() {
				switch {
				case after < m.store.compacted:
					err = ErrCompacted
				default:
					d = m.store.h.delta(after, m.store.h.revision)
				}
			})
			return d, err
		},
	}
	for range nodes {
		f := &Follower{Source: source, Set: &Set{}}
		f.OnEvent = func(e Event) { m.drawn[e.Kind]++ }
		m.nodes = append(m.nodes, f)
	}
	return m
}

// write changes or removes one of few records.
func (m *fleetModel) write() {
	name := fmt.Sprintf("r-%d", rapid.IntRange(0, 6).Draw(m.t, "Record"))
	_, exists := m.store.h.states[m.store.h.revision][name]
	remove := exists && rapid.Bool().Draw(m.t, "Remove")
	m.store.locked(func() { m.store.h.change(name, remove) })
	if remove {
		m.drawn["Removal"]++
	}
}

// dropHistory makes the store answer watches from before now that the history is gone.
func (m *fleetModel) dropHistory() {
	m.store.locked(func() { m.store.compacted = m.store.h.revision })
	m.drawn["Dropped"]++
}

// follow has a node call the store once. Between the pages of a load the store may change.
func (m *fleetModel) follow(f *Follower) {
	m.pageStep = func() {
		for range rapid.IntRange(0, 2).Draw(m.t, "Writes") {
			m.write()
		}
	}
	m.store.replicaLag = func() uint64 {
		lag := rapid.Uint64Range(0, 3).Draw(m.t, "Lag")
		if lag > 0 {
			m.drawn["StalePage"]++
		}
		return lag
	}
	f.step(m.t.Context())
	m.pageStep, m.store.replicaLag = func() {}, nil
}

// fetch has one node get what another has.
func (m *fleetModel) fetch(to, from *Follower) {
	d, ok := from.Set.Since(to.Set.Position())
	if !ok || !to.Set.Apply(d) {
		return
	}
	m.drawn["Fetched"]++
	if len(d.Gaps) > 0 {
		m.drawn["FetchedOverGap"]++
	}
}

// settle lets the nodes get up to date: from each other where they can, else from the store.
func (m *fleetModel) settle() {
	m.nodes[0].step(m.t.Context())
	for range 4 {
		m.nodes[0].step(m.t.Context())
	}
	for _, to := range m.nodes {
		for _, from := range m.nodes {
			m.fetch(to, from)
		}
	}
	for _, f := range m.nodes {
		for range 4 {
			if f.Set.Position().Revision < m.store.h.revision {
				f.step(m.t.Context())
			}
		}
	}
}

// A record is removed while a node loads the store page by page, and the history of the removal is gone
// before the node reads it. A copy that has the record must not keep it for good: once the store is
// quiet, all copies equal its contents, whatever they loaded, watched and got from each other.
func TestCopiesEqualStoreOnceQuiet(t *testing.T) {
	drawn := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(t, 3, drawn)
		node := func(label string) *Follower { return m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, label)] }
		t.Repeat(map[string]func(*rapid.T){
			"Write":       func(*rapid.T) { m.write() },
			"DropHistory": func(*rapid.T) { m.dropHistory() },
			"Follow":      func(*rapid.T) { m.follow(node("Follower")) },
			"Fetch":       func(*rapid.T) { m.fetch(node("To"), node("From")) },
		})
		m.write()
		m.settle()
		want := m.store.h.snapshot(m.store.h.revision).Changed
		for i, f := range m.nodes {
			require.Equal(t, m.store.h.revision, f.Set.Position().Revision, "node %d", i)
			require.Len(t, contents(f.Set), len(want), "node %d", i)
			for _, r := range want {
				require.Equal(t, r, f.Set.records[r.Name], "node %d", i)
			}
		}
	})
	t.Logf("drawn: %v", drawn)
	for _, kind := range []string{"Removal", "Dropped", "StalePage", PageRead, Loaded, Watched, Compacted, "Fetched", "FetchedOverGap"} {
		require.Greater(t, drawn[kind], 20, kind)
	}
}

// A record is removed after a node has read the first page and before its own, and the store has
// dropped the history when the node watches from the first page. A peer that has the record must not
// take the node's second load for a complete account of what has changed.
func TestRemovalBetweenPagesOfFirstLoad(t *testing.T) {
	for name, peerAt := range map[string]uint64{"AtFirstPage": 3, "BetweenLoads": 4} {
		t.Run(name, func(t *testing.T) {
			f := &fakeStore{h: newHistory(), pageSize: 2}
			for _, name := range []string{"a", "b", "c"} {
				f.h.change(name, false)
			}
			var peer, s Set
			require.True(t, peer.Apply(f.h.snapshot(3)))
			pages := 0
			source := f.source()
			source.Read = func(ctx context.Context, after string, stale bool) (Page, error) {
				if pages++; pages == 2 {
					f.h.change("a", false)
					f.h.change("c", true)
				}
				return f.read(ctx, after, stale)
			}
			follower := &Follower{Source: source, Set: &s}
			follower.step(t.Context())
			require.EqualValues(t, 3, s.Position().Revision)
			if peerAt > 3 {
				require.True(t, peer.Apply(f.h.delta(3, peerAt)))
			}
			f.h.change("b", false)
			f.compacted = f.h.revision
			follower.step(t.Context())
			follower.step(t.Context())
			require.Equal(t, f.h.revision, s.Position().Revision)
			if d, ok := s.Since(peer.Position()); ok {
				peer.Apply(d)
				require.NotContains(t, contents(&peer), "c")
			}
			for range 3 {
				(&Follower{Source: f.source(), Set: &peer}).step(t.Context())
			}
			follower = &Follower{Source: f.source(), Set: &peer, reload: true}
			follower.step(t.Context())
			require.NotContains(t, contents(&peer), "c")
		})
	}
}
