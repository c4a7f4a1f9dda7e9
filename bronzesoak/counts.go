package bronzesoak

import (
	"slices"
	"sync"
	"time"
)

// SecondStats is what became of the requests that callers began in one second.
type SecondStats struct {
	Served   int
	Failed   int
	Rejected int
	// WorstMS is the 99th percentile of the times of those served.
	WorstMS int64

	latencies []time.Duration
}

func (s *SecondStats) total() int { return s.Served + s.Failed + s.Rejected }

// counts counts requests by the second in which they began.
type counts struct {
	mu      sync.Mutex
	start   time.Time
	seconds []SecondStats
}

func (c *counts) add(at time.Time, took time.Duration, o outcome) {
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
		s.latencies = append(s.latencies, took)
	case rejected:
		s.Rejected++
	default:
		s.Failed++
	}
}

// worstQuantile is the percentile of times that is reported.
const worstQuantile = 0.99

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

// sum adds seconds up.
func sum(seconds []SecondStats) (total SecondStats) {
	for i := range seconds {
		total.Served += seconds[i].Served
		total.Failed += seconds[i].Failed
		total.Rejected += seconds[i].Rejected
		total.WorstMS = max(total.WorstMS, seconds[i].WorstMS)
	}
	return total
}
