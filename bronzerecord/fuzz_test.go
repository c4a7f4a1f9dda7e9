package bronzerecord

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// Deltas and lost histories come from other nodes. Whatever is in them, a set must never
// go back, must keep no lost record longer than LostRetention, and must return a delta
// that leads others to its own position.
func FuzzDeltas(f *testing.F) {
	lost := LostHistory{Epoch: 2, Former: Position{Epoch: 1, Revision: 9}, Lost: []LostRecord{
		{Record: Record{Name: "a", Revision: 9}, Epoch: 1, Since: 3}, {Record: Record{Name: "b"}, Removed: true, Age: -1},
	}}
	deltas := []Delta{
		{Epoch: 1, Whole: true, To: 7, Changed: []Record{{Name: "a", Revision: 3, Body: []byte("x")}}},
		{Epoch: 1, From: 7, To: 8, Removed: []Removal{{Name: "a", Revision: 8}}},
		{Epoch: 2, Whole: true, To: 5, Recollection: &lost},
	}
	for _, first := range deltas {
		for _, second := range deltas {
			a, err := cbor.Marshal(first)
			require.NoError(f, err)
			b, err := cbor.Marshal(second)
			require.NoError(f, err)
			f.Add(a, b)
		}
	}
	f.Fuzz(func(t *testing.T, a, b []byte) {
		var s Set
		for _, body := range [][]byte{a, b} {
			var d Delta
			if cbor.Unmarshal(body, &d) != nil {
				continue
			}
			before := s.Position()
			s.Apply(d)
			require.False(t, s.Position().Before(before))
			if d.Recollection != nil {
				s.MergeLostHistory(*d.Recollection)
			}
		}
		r, _ := s.LostHistory()
		for i := range r.Lost {
			require.GreaterOrEqual(t, r.Lost[i].Age.Nanoseconds(), int64(0))
			require.Less(t, r.Lost[i].Age, LostRetention)
		}
		var peer Set
		if d, ok := s.Since(peer.Position()); ok {
			require.True(t, peer.Apply(d))
			require.Equal(t, s.Position(), peer.Position())
		}
	})
}
