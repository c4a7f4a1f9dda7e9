package bronzerecord

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// history is a naive store that keeps the contents at every revision.
type history struct {
	epoch    uint64
	revision uint64
	states   []map[string]Record // by revision
	removals []Removal
}

func newHistory() *history { return &history{states: []map[string]Record{{}}} }

func (h *history) change(name string, remove bool) {
	h.revision++
	next := maps.Clone(h.states[len(h.states)-1])
	if remove {
		delete(next, name)
		h.removals = append(h.removals, Removal{Name: name, Revision: h.revision})
	} else {
		created := h.revision
		if old, ok := next[name]; ok {
			created = old.Created
		}
		next[name] = Record{Name: name, Revision: h.revision, Created: created}
	}
	h.states = append(h.states, next)
}

// restored returns the history of the store after a restore from a backup at a revision.
func (h *history) restored(at uint64) *history {
	next := &history{epoch: h.epoch + 1, revision: at, states: slices.Clone(h.states[:at+1])}
	for _, r := range h.removals {
		if r.Revision <= at {
			next.removals = append(next.removals, r)
		}
	}
	return next
}

func (h *history) snapshot(at uint64) (d Delta) {
	d = Delta{Epoch: h.epoch, Whole: true, To: at}
	for _, r := range h.states[at] {
		d.Changed = append(d.Changed, r)
	}
	return d
}

func (h *history) delta(from, to uint64) (d Delta) {
	d = Delta{Epoch: h.epoch, From: from, To: to}
	for _, r := range h.states[to] {
		if r.Revision > from {
			d.Changed = append(d.Changed, r)
		}
	}
	for _, r := range h.removals {
		if r.Revision > from && r.Revision <= to {
			d.Removed = append(d.Removed, r)
		}
	}
	return d
}

func contents(s *Set) map[string]Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.records)
}

// Whatever snapshots and deltas of any age and epoch reach three sets, from the store or
// from each other, each set must have exactly the contents that the store had at the
// set's position, and must never go back.
func TestSetContents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory()
		epochs := []*history{h}
		sets := [3]*Set{{}, {}, {}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "set")
			s, peer := sets[i], sets[(i+rapid.IntRange(1, 2).Draw(t, "peer"))%3]
			before := s.Position()
			source := epochs[rapid.IntRange(0, len(epochs)-1).Draw(t, "epoch")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				h.change(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "name")), rapid.Bool().Draw(t, "remove"))
			case 1:
				s.Apply(source.snapshot(rapid.Uint64Range(0, source.revision).Draw(t, "whole")))
			case 2:
				from := rapid.Uint64Range(0, source.revision).Draw(t, "from")
				s.Apply(source.delta(from, rapid.Uint64Range(from, source.revision).Draw(t, "to")))
			case 3:
				if d, ok := peer.Since(s.Position()); ok {
					require.True(t, s.Apply(d))
				}
			case 4:
				h = h.restored(rapid.Uint64Range(0, h.revision).Draw(t, "copy"))
				epochs = append(epochs, h)
			}
			require.False(t, s.Position().Before(before))
			for _, s := range sets {
				if p := s.Position(); !p.IsZero() {
					require.Equal(t, epochs[p.Epoch].states[p.Revision], contents(s), "position %v", p)
				}
			}
		}
	})
}

// Guards against every node processing all servers again after a restore.
func TestApplyNewEpochChanges(t *testing.T) {
	var s Set
	var changes []Change
	s.OnChange = func(c Change) { changes = append(changes, c) }
	require.True(t, s.Apply(Delta{Epoch: 1, Whole: true, To: 9, Changed: []Record{
		{Name: "a", Revision: 3, Body: []byte("as it was")},
		{Name: "b", Revision: 5, Body: []byte("as it was")},
		{Name: "c", Revision: 9},
	}}))
	require.True(t, s.Apply(Delta{Epoch: 2, Whole: true, To: 5, Changed: []Record{
		{Name: "a", Revision: 3, Body: []byte("as it was")},
		{Name: "b", Revision: 5, Body: []byte("another")},
	}}))
	require.Len(t, changes, 2)
	require.Equal(t, []Record{{Name: "b", Revision: 5, Body: []byte("another")}}, changes[1].Changed)
	require.Equal(t, []string{"c"}, changes[1].Removed)
	require.Equal(t, Position{Epoch: 2, Revision: 5}, changes[1].Position)
}

// A node that has just started is asked for a delta by a node that is one record behind.
// It can't know what was removed in between. Sending all records to each node that asks
// would fill a slow link for a second and delay callers' packets.
func TestSinceWithoutTombstones(t *testing.T) {
	h := newHistory()
	h.change("a", false)
	h.change("b", false)
	var s Set
	require.True(t, s.Apply(h.snapshot(2)))
	_, ok := s.Since(Position{Revision: 1})
	require.False(t, ok)
	d, ok := s.Since(Position{})
	require.True(t, ok)
	require.True(t, d.Whole)

	h.change("a", true)
	require.True(t, s.Apply(h.delta(2, 3)))
	d, ok = s.Since(Position{Revision: 2})
	require.True(t, ok)
	require.Equal(t, []Removal{{Name: "a", Revision: 3}}, d.Removed)
	require.Empty(t, d.Changed)
}

// Guards against servers that stay registered at a peer of a node that never had them.
func TestSinceRemovalOfUnknownRecord(t *testing.T) {
	h := newHistory()
	h.change("a", false)
	var s, peer Set
	require.True(t, s.Apply(h.snapshot(1)))
	h.change("b", false)
	require.True(t, peer.Apply(h.snapshot(2)))
	h.change("b", true)
	require.True(t, s.Apply(h.delta(1, 3)))
	d, ok := s.Since(peer.Position())
	require.True(t, ok)
	require.True(t, peer.Apply(d))
	require.Equal(t, h.states[3], contents(&peer))
}

// A node reads everything again because the store has lost its history. Its peers must get
// the changes from it: if they had to read everything too, a fleet of hundreds of nodes
// would fill the store's link for seconds, while callers get the old routes.
func TestSinceAcrossReload(t *testing.T) {
	for _, at := range []uint64{3, 5, 6} {
		h := newHistory()
		for _, name := range []string{"a", "b", "c"} {
			h.change(name, false)
		}
		var s, peer, third Set
		require.True(t, s.Apply(h.snapshot(3)))
		require.True(t, peer.Apply(h.snapshot(3)))
		require.True(t, third.Apply(h.snapshot(3)))
		h.change("d", false)
		h.change("e", false)
		h.change("a", true)
		if at > 3 {
			require.True(t, peer.Apply(h.delta(3, at)))
		}
		h.change("d", true)
		h.change("b", false)
		require.True(t, s.Apply(h.snapshot(h.revision)))

		d, ok := s.Since(peer.Position())
		require.True(t, ok)
		require.False(t, d.Whole)
		require.LessOrEqual(t, len(d.Changed), 2)
		require.True(t, peer.Apply(d))
		require.Equal(t, h.states[h.revision], contents(&peer))

		require.True(t, third.Apply(h.delta(3, 6)))
		d, ok = peer.Since(third.Position())
		require.True(t, ok)
		require.True(t, third.Apply(d))
		require.Equal(t, h.states[h.revision], contents(&third))
	}
}

func TestMaxTombstones(t *testing.T) {
	h := newHistory()
	h.change("first", false)
	var s Set
	s.Apply(h.snapshot(1))
	for i := range uint64(maxTombstones + 10) {
		s.Apply(Delta{From: 1 + 2*i, To: 2 + 2*i, Changed: []Record{{Name: "x", Revision: 2 + 2*i}}})
		s.Apply(Delta{From: 2 + 2*i, To: 3 + 2*i, Removed: []Removal{{Name: "x", Revision: 3 + 2*i}}})
	}
	require.Len(t, s.tombstones, maxTombstones)
	_, ok := s.Since(Position{Revision: 2})
	require.False(t, ok)
	_, ok = s.Since(Position{Revision: s.Position().Revision - 3})
	require.True(t, ok)
}

func TestMaxGaps(t *testing.T) {
	var s Set
	for to := range uint64(2 * maxGaps) {
		require.True(t, s.Apply(Delta{Whole: true, To: 10 * (to + 1), Changed: []Record{{Name: "x", Revision: 10*to + 5, Created: 10*to + 5}}}))
	}
	require.Len(t, s.gaps, maxGaps)
	_, ok := s.Since(Position{Revision: 100})
	require.False(t, ok)
	d, ok := s.Since(Position{Revision: s.Position().Revision - 15})
	require.True(t, ok)
	require.Len(t, d.Gaps, 2)
	require.Len(t, d.Changed, 1)
}
