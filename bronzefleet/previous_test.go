package bronzefleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// Members join, start to leave and leave one after the other, faster than slots
// settle. At each change the view must name the last owner of a slot to its new
// owner, which would otherwise place a flow again that is pinned to another
// server. The index of a node that is gone is reused, so a stale index would name
// the wrong node.
func TestPreviousLastOwner(t *testing.T) {
	t.Parallel()
	statuses := []bronzelink.Status{bronzelink.Alive, bronzelink.Leaving, bronzelink.Left}
	rapid.Check(t, func(t *rapid.T) {
		var members []bronzelink.Member
		for i := range 10 {
			members = append(members, member(i, bronzelink.Alive))
		}
		now := time.Now()
		v := bronzefleet.NewView("riga-a-0", members, nil, now)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			i := rapid.IntRange(1, len(members)-1).Draw(t, "member")
			members[i].Status = rapid.SampledFrom(statuses).Draw(t, "status")
			if rapid.Bool().Draw(t, "replace") && members[i].Status == bronzelink.Left {
				members[i] = member(i+len(members), bronzelink.Alive)
			}
			if members[i].Status == bronzelink.Leaving && rapid.Bool().Draw(t, "join") {
				members = append(members, member(len(members)+len(members), bronzelink.Alive))
			}
			now = now.Add(time.Second)
			next := bronzefleet.NewView("riga-a-0", members, v, now)
			requirePrevious(t, v, next)
			v = next
		}
	})
}

// requirePrevious checks the previous owners of slots whose owner changed.
func requirePrevious(t *rapid.T, v, next *bronzefleet.View) {
	for k := range uint64(256) {
		hash := k << 56
		was, is := v.Owner(hash), next.Owner(hash)
		if was == is {
			continue
		}
		require.True(t, next.Unsettled(hash, time.Hour))
		names, n := next.Previous(hash)
		require.NotContains(t, names[:n], is)
		if _, ok := next.Members[was]; ok {
			require.Positive(t, n)
			require.Equal(t, was, names[0])
		}
	}
}

// A partition heals. On the other side, one of its members owned each slot, even
// the slots whose owner on this side stays the same. So for each slot the view
// must name it, so that it is asked before a flow is placed again.
func TestPreviousAfterPartition(t *testing.T) {
	members := make([]bronzelink.Member, 8)
	for i := range members {
		members[i] = member(i, bronzelink.Alive)
	}
	now := time.Now()
	whole := bronzefleet.NewView("riga-a-0", members, nil, now.Add(-time.Hour))
	other := make([]bronzelink.Member, 0, 4)
	for i := 4; i < 8; i++ {
		other = append(other, members[i])
		members[i].Status = bronzelink.Dead
	}
	partitioned := bronzefleet.NewView("riga-a-0", members, whole, now.Add(-time.Hour))
	far := bronzefleet.NewView("riga-a-4", other, nil, now)
	for i := range other {
		members[4+i] = other[i]
	}
	healed := bronzefleet.NewView("riga-a-0", members, partitioned, now)
	for k := range uint64(1024) {
		hash := k << 54
		require.True(t, healed.Unsettled(hash, time.Hour))
		names, n := healed.Previous(hash)
		asked := append(names[:n:n], healed.Owner(hash))
		require.Contains(t, asked, partitioned.Owner(hash))
		require.Contains(t, asked, far.Owner(hash))
	}
}
