package bronzerecord

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// names returns the names of lost records.
func names(lost []LostRecord) (list []string) {
	for _, l := range lost {
		list = append(list, l.Record.Name)
	}
	return list
}

// newRestoredSet returns a set that has records which its store has lost in a restore,
// and the changes that it reported.
func newRestoredSet(t *testing.T) (s *Set, changes *[]Change) {
	s, changes = &Set{}, &[]Change{}
	s.OnChange = func(c Change) { *changes = append(*changes, c) }
	h := newHistory()
	h.change("kept", false)
	h.change("removed", false)
	copied := h.revision
	h.change("written", false)
	h.change("drained", false)
	h.change("removed", true)
	require.True(t, s.Apply(h.snapshot(h.revision-1)))
	require.True(t, s.Apply(h.delta(h.revision-1, h.revision)))
	require.True(t, s.Apply(h.restored(copied).snapshot(copied)))
	return s, changes
}

// Guards against dropping lost records too soon, and against keeping them for ever.
func TestLostRecordLifetime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, changes := newRestoredSet(t)
		lost := (*changes)[len(*changes)-1].Lost
		require.Equal(t, []string{"drained", "removed", "written"}, names(lost))
		require.Equal(t, []bool{false, true, false}, []bool{lost[0].Removed, lost[1].Removed, lost[2].Removed})
		require.Equal(t, []bool{true, false, true}, []bool{lost[0].Absent, lost[1].Absent, lost[2].Absent})

		require.True(t, s.Apply(Delta{Epoch: 1, From: 2, To: 3, Changed: []Record{{Name: "written", Revision: 3}}}))
		_, n := s.FormerPosition()
		require.Equal(t, 2, n)
		require.True(t, s.Apply(Delta{Epoch: 1, From: 3, To: 4, Removed: []Removal{{Name: "drained", Revision: 4}}}))
		require.Equal(t, []string{"drained"}, (*changes)[len(*changes)-1].Removed, "the removal is reported although the backup never had the record")
		time.Sleep(LostRetention - time.Nanosecond)
		_, n = s.FormerPosition()
		require.Equal(t, 1, n)
		time.Sleep(time.Nanosecond)
		former, n := s.FormerPosition()
		require.Zero(t, n)
		require.Equal(t, Position{Revision: 5}, former)
		_, ok := s.LostHistory()
		require.False(t, ok)
	})
}

// Guards against a peer that reports too little, or brings back what has been rewritten.
func TestMergeLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newRestoredSet(t)
		time.Sleep(LostRetention / 2)
		var whole Set
		d, ok := s.Since(Position{})
		require.True(t, ok)
		var lost []LostRecord
		whole.OnChange = func(c Change) { lost = c.Lost }
		require.True(t, whole.Apply(d))
		require.Equal(t, []string{"drained", "removed", "written"}, names(lost))

		var started Set
		require.True(t, started.Apply(Delta{Epoch: 1, Whole: true, To: 3, Changed: []Record{{Name: "written", Revision: 3}}}))
		r, ok := s.LostHistory()
		require.True(t, ok)
		require.True(t, started.MergeLostHistory(r))
		require.False(t, started.MergeLostHistory(r), "merged already")
		former, n := started.FormerPosition()
		require.Equal(t, 2, n)
		require.Equal(t, Position{Revision: 5}, former)

		later := Set{}
		require.True(t, later.Apply(Delta{Epoch: 2, Whole: true, To: 3}))
		require.False(t, later.MergeLostHistory(r), "another epoch")

		time.Sleep(LostRetention / 2)
		_, n = started.FormerPosition()
		require.Zero(t, n, "a later merge does not extend the retention")
	})
}

// Guards against a series of restores after which lost records are dropped, or kept
// without bound.
func TestLostRecordsRepeatedRestores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newRestoredSet(t)
		for epoch := uint64(2); epoch < 40; epoch++ {
			time.Sleep(LostRetention - time.Nanosecond)
			require.True(t, s.Apply(Delta{Epoch: epoch, Whole: true, To: 9, Changed: []Record{{Name: "written", Revision: 9, Body: []byte{byte(epoch)}}}}))
		}
		r, ok := s.LostHistory()
		require.True(t, ok)
		require.Subset(t, names(r.Lost), []string{"drained", "removed"})
		require.LessOrEqual(t, len(r.Lost), 4*maxLostStates)
	})
}
