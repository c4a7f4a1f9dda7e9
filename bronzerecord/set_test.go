package bronzerecord

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// history is a naive store: it keeps every revision.
type history struct {
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
		next[name] = Record{Name: name, Revision: h.revision, Created: h.revision}
	}
	h.states = append(h.states, next)
}

func (h *history) whole(at uint64) (d Delta) {
	d = Delta{Whole: true, To: at}
	for _, r := range h.states[at] {
		d.Changed = append(d.Changed, r)
	}
	return d
}

func (h *history) delta(from, to uint64) (d Delta) {
	d = Delta{From: from, To: to}
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

// Whatever copies and deltas of whatever age reach two sets, from the store
// or from each other, each holds exactly what the store held at the revision
// that the set says it has, and never goes back.
func TestSetsHoldWhatTheStoreHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory()
		sets := [2]*Set{{}, {}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "set")
			s, peer := sets[i], sets[1-i]
			before := s.Revision()
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				h.change(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "name")), rapid.Bool().Draw(t, "remove"))
			case 1:
				s.Apply(h.whole(rapid.Uint64Range(0, h.revision).Draw(t, "whole")))
			case 2:
				from := rapid.Uint64Range(0, h.revision).Draw(t, "from")
				s.Apply(h.delta(from, rapid.Uint64Range(from, h.revision).Draw(t, "to")))
			case 3:
				if d, ok := peer.Since(s.Revision()); ok {
					require.True(t, s.Apply(d))
				}
			}
			require.GreaterOrEqual(t, s.Revision(), before)
			for _, s := range sets {
				if s.Revision() > 0 {
					require.Equal(t, h.states[s.Revision()], contents(s), "revision %d", s.Revision())
				}
			}
		}
	})
}

// A node that has just started is asked by one that is a record behind. It
// can't know what was removed in between; sending everything to each that asks
// filled a slow link for a second, and callers' packets waited.
func TestSetWithoutHistoryAnswersNothing(t *testing.T) {
	h := newHistory()
	h.change("a", false)
	h.change("b", false)
	var s Set
	require.True(t, s.Apply(h.whole(2)))
	_, ok := s.Since(1)
	require.False(t, ok)
	d, ok := s.Since(0)
	require.True(t, ok)
	require.True(t, d.Whole)

	h.change("a", true)
	require.True(t, s.Apply(h.delta(2, 3)))
	d, ok = s.Since(2)
	require.True(t, ok)
	require.Equal(t, []Removal{{Name: "a", Revision: 3}}, d.Removed)
	require.Empty(t, d.Changed)
}

func TestSetRemembersABoundedNumberOfRemovals(t *testing.T) {
	h := newHistory()
	h.change("first", false)
	var s Set
	s.Apply(h.whole(1))
	for i := range uint64(maxRemoved + 10) {
		s.Apply(Delta{From: 1 + 2*i, To: 2 + 2*i, Changed: []Record{{Name: "x", Revision: 2 + 2*i}}})
		s.Apply(Delta{From: 2 + 2*i, To: 3 + 2*i, Removed: []Removal{{Name: "x", Revision: 3 + 2*i}}})
	}
	require.Len(t, s.removed, maxRemoved)
	_, ok := s.Since(2)
	require.False(t, ok)
	_, ok = s.Since(s.Revision() - 3)
	require.True(t, ok)
}
