// Package bronzeretry paces attempts that fail.
//
// # Usage
//
//	backoff := bronzeretry.Backoff{Least: 100 * time.Millisecond, Most: 2 * time.Second}
//	for try() != nil {
//		bronzeretry.Pause(ctx, backoff.Next())
//	}
//	backoff.Reset()
package bronzeretry

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff gives pauses that grow with each failure in a row.
type Backoff struct {
	// Min is the bound of the first pause, Max that of all.
	Min, Max time.Duration

	bound time.Duration
}

// Next returns the pause after a failure: half of its bound, and as much again
// at random, so that nodes don't come back all at once. The bound doubles.
func (b *Backoff) Next() time.Duration {
	b.bound = min(max(2*b.bound, b.Min), b.Max)
	half := b.bound / 2
	if half <= 0 {
		return 0
	}
	return half + rand.N(half)
}

// Reset makes the next pause the first again, after a success.
func (b *Backoff) Reset() { b.bound = 0 }

// Pause waits for d or until ctx is done.
func Pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
