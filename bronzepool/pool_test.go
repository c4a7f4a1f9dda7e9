package bronzepool

import (
	"cmp"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// naiveOrder sorts the whole pool by score.
func naiveOrder(hash uint64, ids []bronzeflow.ServerID) []bronzeflow.ServerID {
	order := slices.Clone(ids)
	slices.SortFunc(order, func(a, b bronzeflow.ServerID) int {
		if c := cmp.Compare(bronzeflow.Mix(hash, uint64(b)), bronzeflow.Mix(hash, uint64(a))); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return order
}

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
