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

// A view that was updated incrementally must have the same orders in all slots
// as one that is built from scratch.
func TestOrderIncremental(t *testing.T) {
	t.Parallel()
	members := make([]bronzelink.Member, 40)
	var v *bronzefleet.View
	for round := range 10 {
		for i := range members {
			members[i] = member(i, bronzelink.Alive)
			if (i*7+round*3)%5 == 0 || round > 6 && i%9 == round%9 {
				members[i].Status = bronzelink.Left
			}
		}
		v = bronzefleet.NewView("riga-a-0", members, v, start)
		scratch := bronzefleet.NewView("riga-a-0", members, nil, start)
		for slot := range uint64(bronzefleet.Slots) {
			hash := slot * (1 << 49)
			want, _ := scratch.Order(hash)
			got, _ := v.Order(hash)
			require.Equal(t, want, got)
		}
	}
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

func TestOrderNaive(t *testing.T) {
	t.Parallel()
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
			for range 64 {
				hash := rapid.Uint64().Draw(rt, "hash")
				want := naiveOrder(members, hash)
				got, n := v.Order(hash)
				require.Equal(rt, want, append([]string(nil), got[:n]...))
			}
			prev = v
		}
	})
}
