package bronzesoak

import (
	"slices"
	"sync"
	"time"
)

// SecondStats counts the requests that callers began in one second, by outcome.
type SecondStats struct {
	Served   int
	Failed   int
	Rejected int
	// WorstMS is the 99th percentile of the latencies of served requests in
	// milliseconds.
	WorstMS int64

	latencies []time.Duration
}

func (s *SecondStats) total() int { return s.Served + s.Failed + s.Rejected }

// counts holds the outcomes of requests by the second in which they began.
type counts struct {
	mu      sync.Mutex
	start   time.Time
	seconds []SecondStats
}

// add counts a request that began at a time. Requests before the start of
// traffic are ignored.
func (c *counts) add(at time.Time, latency time.Duration, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := int(at.Sub(c.start) / time.Second)
	if i < 0 {
		return
	}
	for len(c.seconds) <= i {
		c.seconds = append(c.seconds, SecondStats{})
	}
	s := &c.seconds[i]
	switch o {
	case served:
		s.Served++
		s.latencies = append(s.latencies, latency)
	case rejected:
		s.Rejected++
	default:
		s.Failed++
	}
}

// worstQuantile is the quantile of latencies reported as WorstMS.
const worstQuantile = 0.99

// list returns the statistics of all seconds so far.
func (c *counts) list() []SecondStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := slices.Clone(c.seconds)
	for i := range list {
		s := &list[i]
		slices.Sort(s.latencies)
		if n := len(s.latencies); n > 0 {
			s.WorstMS = s.latencies[min(int(worstQuantile*float64(n)), n-1)].Milliseconds()
		}
	}
	return list
}

// sum adds up the counts of seconds; its WorstMS is the highest of theirs.
func sum(seconds []SecondStats) (total SecondStats) {
	for i := range seconds {
		total.Served += seconds[i].Served
		total.Failed += seconds[i].Failed
		total.Rejected += seconds[i].Rejected
		total.WorstMS = max(total.WorstMS, seconds[i].WorstMS)
	}
	return total
}
