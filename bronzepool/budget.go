package bronzepool

import (
	"math/rand/v2"
	"sync"
	"time"
)

// DefaultBurst is the Burst of a Budget that has none.
const DefaultBurst = 10

// Budget bounds retries to a share of opens, as a token bucket that opens
// fill and retries empty. It doesn't fill with time: when callers stop
// opening, nothing is left to retry for. The zero value allows no retry. All
// methods may be called concurrently.
type Budget struct {
	// Share is the part of opens that may be attempted again, 0 to 1. It is
	// set before the first call; afterwards by SetShare.
	Share float64
	// Burst is the most retries that can be saved up, and the number that a
	// new Budget holds. 0 means DefaultBurst.
	Burst float64

	mu      sync.Mutex
	started bool
	tokens  float64
}

// SetShare changes Share. What was saved up is kept.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	b.Share = share
}

// CountOpen notes a first attempt to open a flow.
func (b *Budget) CountOpen() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	b.tokens = min(b.tokens+b.Share, b.burst())
}

// TryRetry reports whether a further attempt is inside the budget, and takes
// it from the budget if so.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	if b.Share <= 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) start() {
	if b.started {
		return
	}
	b.started = true
	b.tokens = b.burst()
}

func (b *Budget) burst() float64 {
	if b.Burst > 0 {
		return b.Burst
	}
	return DefaultBurst
}

// Backoff returns how long to wait before the given attempt, the first retry
// being attempt 1: it doubles from base up to limit, and is drawn from the
// upper half, so that those who failed together don't come back together.
func Backoff(attempt int, base, limit time.Duration) time.Duration {
	d := base
	for i := 1; i < attempt && d < limit; i++ {
		d *= 2
	}
	d = min(d, limit)
	if d <= 0 {
		return 0
	}
	half := d / 2
	return half + rand.N(d-half+1)
}
