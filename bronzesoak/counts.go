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

	took []time.Duration
}

func (s *SecondStats) total() int { return s.Served + s.Failed + s.Rejected }

// counts counts requests by the second in which they began.
type counts struct {
	mu      sync.Mutex
	begun   time.Time
	seconds []SecondStats
}

func (c *counts) add(at time.Time, took time.Duration, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := int(at.Sub(c.begun) / time.Second)
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
		s.took = append(s.took, took)
	case rejected:
		s.Rejected++
	default:
		s.Failed++
	}
}

// worst is the percentile of times that is reported.
const worst = 0.99

func (c *counts) list() []SecondStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := slices.Clone(c.seconds)
	for i := range list {
		s := &list[i]
		slices.Sort(s.took)
		if n := len(s.took); n > 0 {
			s.WorstMS = s.took[min(int(worst*float64(n)), n-1)].Milliseconds()
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
