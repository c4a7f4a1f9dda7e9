// Package bronzeretry provides pauses between attempts that fail, with exponential backoff.
//
// # Usage
//
//	backoff := bronzeretry.Backoff{Min: 100 * time.Millisecond, Max: 2 * time.Second}
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

// Backoff returns pauses that grow with each consecutive failure. Its zero value returns
// none.
type Backoff struct {
	// Min is the bound of the first pause, Max that of every pause.
	Min, Max time.Duration

	bound time.Duration
}

// Next returns the pause after a failure: half of its bound, and up to as much again at
// random, so that nodes don't all retry at the same time. The bound starts at Min and
// doubles with each call, up to Max.
func (b *Backoff) Next() time.Duration {
	b.bound = min(max(2*b.bound, b.Min), b.Max)
	half := b.bound / 2
	if half <= 0 {
		return 0
	}
	return half + rand.N(half)
}

// Reset gives the next pause the bound of the first one. Call it after a success.
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
