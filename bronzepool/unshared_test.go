package bronzepool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// The fleet is too large to share counts. This node knows few of the flows on
// each server; treating these as the whole load would move most new flows off
// their first candidates. Flows must go to the first candidate and skip only a
// server that refuses and one that is leaving.
func TestChooseWithoutSharedCounts(t *testing.T) {
	var p Pool
	p.SetService(newService(16))
	p.SetOwners(490)
	p.SetCountsShared(false)
	p.SetOwned("vm-2", map[bronzeflow.ServerID]uint32{1: 5})
	for hash := range uint64(2000) {
		hash = bronzeflow.Mix(hash, 1)
		id, first, ok := p.Choose(hash, nil, false)
		require.True(t, ok)
		require.True(t, first)
		p.Opened(id)
	}
	hash := bronzeflow.Mix(7, 7)
	order := p.Candidates(hash, 3, nil)
	p.Refused(order[0], false)
	p.SetLeaving(order[1], time.Minute)
	id, first, ok := p.Choose(hash, nil, false)
	require.True(t, ok)
	require.False(t, first)
	require.Equal(t, order[2], id)
}
