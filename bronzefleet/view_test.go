package bronzefleet_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func member(i int, s bronzelink.Status) bronzelink.Member {
	return bronzelink.Member{Name: fmt.Sprintf("riga-%c-%d", 'a'+i%4, i), Incarnation: 1, Status: s}
}

// naiveOrder sorts all owners by score.
func naiveOrder(members []bronzelink.Member, hash uint64) []string {
	slot := uint64(bronzefleet.Slot(hash))
	var names []string
	for _, m := range members {
		if m.Status == bronzelink.Alive || m.Status == bronzelink.Suspect {
			names = append(names, m.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := bronzeflow.Mix(slot, xxhash.Sum64String(a)), bronzeflow.Mix(slot, xxhash.Sum64String(b))
		return cmp.Or(cmp.Compare(y, x), cmp.Compare(a, b))
	})
	return names[:min(len(names), bronzefleet.OrderLength)]
}

func TestOrderAgainstNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var prev *bronzefleet.View
		for range rapid.IntRange(1, 4).Draw(rt, "views") {
			var members []bronzelink.Member
			for i := range 12 {
				s := rapid.SampledFrom([]bronzelink.Status{
					bronzelink.Alive, bronzelink.Alive, bronzelink.Suspect, bronzelink.Leaving, bronzelink.Dead, bronzelink.Left,
				}).Draw(rt, "status")
				members = append(members, member(i, s))
			}
			v := bronzefleet.NewView("riga-a-0", members, prev, start)
			scratch := bronzefleet.NewView("riga-a-0", members, nil, start)
			for range 64 {
				hash := rapid.Uint64().Draw(rt, "hash")
				want := naiveOrder(members, hash)
				got, n := v.Order(hash)
				require.Equal(rt, want, append([]string(nil), got[:n]...))
				fresh, m := scratch.Order(hash)
				require.Equal(rt, got[:n], fresh[:m])
			}
			prev = v
		}
	})
}
