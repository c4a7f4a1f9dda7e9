package bronzefleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// Members come, leave and die one after the other, faster than slots settle. At
// each change the new owner of a slot must know to ask the last owner, or it
// would place a flow that lives at another server. The index of a node that is
// gone is used again, so a stale index would name the wrong node.
func TestPreviousNamesTheLastOwner(t *testing.T) {
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

// requirePrevious checks the slots of some hashes whose owner changed.
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

// A partition heals. On the other side the best of its members owned each slot,
// also those slots that stay with their owner here, so each slot has to ask it
// before a flow is placed anew.
func TestMembersThatComeBackArePrevious(t *testing.T) {
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
	split := bronzefleet.NewView("riga-a-0", members, whole, now.Add(-time.Hour))
	far := bronzefleet.NewView("riga-a-4", other, nil, now)
	for i := range other {
		members[4+i] = other[i]
	}
	healed := bronzefleet.NewView("riga-a-0", members, split, now)
	for k := range uint64(1024) {
		hash := k << 54
		require.True(t, healed.Unsettled(hash, time.Hour))
		names, n := healed.Previous(hash)
		asked := append(names[:n:n], healed.Owner(hash))
		require.Contains(t, asked, split.Owner(hash))
		require.Contains(t, asked, far.Owner(hash))
	}
}
