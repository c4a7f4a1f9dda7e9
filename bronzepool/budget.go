package bronzepool

import (
	"math/rand/v2"
	"sync"
	"time"
)

// DefaultBurst is used if Budget.Burst is 0.
const DefaultBurst = 10

// Budget limits retries to a share of first attempts. It is a token bucket that
// first attempts fill and retries drain. It doesn't fill with time: when callers
// stop opening flows, there is nothing to retry. The zero value allows no
// retries. All methods are safe for concurrent use.
type Budget struct {
	// Share is the number of retries allowed for each first attempt, 0 to 1.
	// Set it before the first call; later changes need SetShare.
	Share float64
	// Burst is the capacity of the bucket in retries. A new Budget starts
	// full. 0 means DefaultBurst.
	Burst float64

	mu      sync.Mutex
	started bool
	tokens  float64
}

// SetShare changes Share and keeps the tokens in the bucket.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	b.Share = share
}

// CountOpen counts a first attempt to open a flow.
func (b *Budget) CountOpen() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	b.tokens = min(b.tokens+b.Share, b.burst())
}

// TryRetry reports whether the budget allows a retry, and if so takes it from
// the budget.
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

// Backoff returns how long to wait before the given attempt, where the first
// retry is attempt 1. The delay doubles from base up to limit and is drawn at
// random from its upper half, so that callers that failed together don't retry
// together.
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
