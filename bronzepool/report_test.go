package bronzepool

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// observeReports lets a pool observe a series of reports of its first server, a
// second apart. At report i this node has own[i] flows on that server.
func observeReports(t *testing.T, own, reported []int) ServerLoad {
	svc := newService(2)
	now := time.Unix(1000, 0)
	p := Pool{Now: func() time.Time { return now }}
	p.SetService(svc)
	id := svc.Pool[0].ID
	for i := range reported {
		for p.index[id].own < own[i] {
			p.Opened(id)
		}
		for p.index[id].own > own[i] {
			p.Ended(id)
		}
		p.Observe(Report{Server: id, Connections: reported[i], At: now})
		now = now.Add(time.Second)
	}
	l := p.Loads()[0]
	require.GreaterOrEqual(t, l.Total, float64(l.Own))
	return l
}

func TestReportContradictions(t *testing.T) {
	tests := map[string]struct {
		own, reported  []int
		contradictions uint64
	}{
		"Accurate":         {[]int{10, 20, 30, 20}, []int{70, 140, 210, 140}, 0},
		"LateByOne":        {[]int{10, 20, 30, 20}, []int{0, 10, 20, 30}, 0},
		"SameWhileSteady":  {[]int{10, 10, 11, 10, 9}, []int{70, 70, 70, 70, 70}, 0},
		"Frozen":           {[]int{10, 20, 30, 20, 10}, []int{70, 70, 70, 70, 70}, 2},
		"LessThanOurs":     {[]int{30, 30, 30}, []int{5, 6, 5}, 2},
		"FirstIsUnchecked": {[]int{30}, []int{5}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := observeReports(t, test.own, test.reported)
			require.Equal(t, test.contradictions, l.Contradictions)
			require.Equal(t, test.contradictions == 0, l.Trust == 1)
		})
	}
}

// The clock of a server or of its poller is an hour ahead. Its report must not
// block all reports of the next hour.
func TestReportFutureTime(t *testing.T) {
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

// Calls the methods concurrently, for the race detector; the counts must add up.
func TestPoolConcurrent(t *testing.T) {
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
