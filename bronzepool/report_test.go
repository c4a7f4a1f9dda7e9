package bronzepool

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// reports gives the pool a series of reports, a second apart, of its first
// server, on which this node has as many flows as own says at each of them.
func reports(t *testing.T, own, said []int) ServerLoad {
	svc := newService(2)
	now := time.Unix(1000, 0)
	p := Pool{Now: func() time.Time { return now }}
	p.SetService(svc)
	id := svc.Pool[0].ID
	for i := range said {
		for p.index[id].own < own[i] {
			p.Opened(id)
		}
		for p.index[id].own > own[i] {
			p.Ended(id)
		}
		p.Observe(Report{Server: id, Connections: said[i], At: now})
		now = now.Add(time.Second)
	}
	l := p.Loads()[0]
	require.GreaterOrEqual(t, l.Total, float64(l.Own))
	return l
}

func TestReportsThatContradict(t *testing.T) {
	tests := map[string]struct {
		own, said      []int
		contradictions uint64
	}{
		"True":             {[]int{10, 20, 30, 20}, []int{70, 140, 210, 140}, 0},
		"LateByOne":        {[]int{10, 20, 30, 20}, []int{0, 10, 20, 30}, 0},
		"SameAndQuiet":     {[]int{10, 10, 11, 10, 9}, []int{70, 70, 70, 70, 70}, 0},
		"SameForEver":      {[]int{10, 20, 30, 20, 10}, []int{70, 70, 70, 70, 70}, 2},
		"LessThanOurs":     {[]int{30, 30, 30}, []int{5, 6, 5}, 2},
		"FirstIsUnchecked": {[]int{30}, []int{5}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := reports(t, test.own, test.said)
			require.Equal(t, test.contradictions, l.Contradictions)
			require.Equal(t, test.contradictions == 0, l.Trust == 1)
		})
	}
}

// A server's clock, or a poller's, is an hour ahead. Its report must not shut
// out all that come in the next hour.
func TestReportFromTheFuture(t *testing.T) {
	svc := newService(1)
	now := time.Unix(1000, 0)
	p := Pool{Now: func() time.Time { return now }}
	p.SetService(svc)
	id := svc.Pool[0].ID
	p.Observe(Report{Server: id, Connections: 100, At: now.Add(time.Hour)})
	now = now.Add(time.Second)
	p.Observe(Report{Server: id, Connections: 7, At: now})
	require.Equal(t, 7, p.Loads()[0].Reported)
	p.Observe(Report{Server: id, Connections: 9, At: now.Add(-time.Second / 2)})
	require.Equal(t, 7, p.Loads()[0].Reported, "older than the last")
}

// All methods at once, for the race detector; the counts must add up.
func TestPoolConcurrently(t *testing.T) {
	svc := newService(6)
	var p Pool
	p.SetService(svc)
	var wg sync.WaitGroup
	for worker := range 8 {
		wg.Go(func() {
			for i := range 300 {
				id, _, ok := p.Choose(bronzeflow.Mix(uint64(i), uint64(worker)), nil, i%7 == 0)
				if !ok {
					continue
				}
				p.Opened(id)
				p.Accepted(id, time.Millisecond)
				p.Candidates(uint64(i), 3, nil)
				p.SetOwned("peer", map[bronzeflow.ServerID]uint32{id: 1})
				p.Observe(Report{Server: id, Connections: i, At: time.Now()})
				if i%50 == 0 {
					p.SetService(svc)
					p.SetOwners(1 + i%3)
				}
				p.Ended(id)
			}
		})
	}
	wg.Wait()
	for _, l := range p.Loads() {
		require.Zero(t, l.Own)
	}
}
