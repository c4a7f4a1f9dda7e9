package bronzepool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := float64(rapid.IntRange(0, 100).Draw(t, "Percent")) / 100
		burst := rapid.IntRange(1, 20).Draw(t, "Burst")
		b := Budget{Share: share, Burst: float64(burst)}
		opens, retries := 0, 0
		for _, open := range rapid.SliceOf(rapid.Bool()).Draw(t, "Opens") {
			if open {
				b.CountOpen()
				opens++
			} else if b.TryRetry() {
				retries++
			}
			require.LessOrEqual(t, float64(retries), share*float64(opens)+float64(burst)+1e-9)
		}
		if share == 0 {
			require.Zero(t, retries)
		}
	})
}

// A third of the servers refuse flows, so one attempt in three fails, retries
// included. Unlimited retries would add half as much load again to a pool that
// is already short of capacity. The budget limits them to its share of the
// first attempts.
func TestBudgetRetryStorm(t *testing.T) {
	const opens, attempts = 9000, 4
	b := Budget{Share: 0.1}
	tries, retries := 0, 0
	for range opens {
		b.CountOpen()
		for attempt := 1; ; attempt++ {
			tries++
			refused := tries%3 == 0
			if !refused || attempt == attempts || !b.TryRetry() {
				break
			}
			retries++
		}
	}
	require.LessOrEqual(t, retries, opens/10+DefaultBurst)
	require.GreaterOrEqual(t, retries, opens/10, "the budget must be used")
}

func TestBackoffBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempt := rapid.IntRange(1, 100).Draw(t, "Attempt")
		d := Backoff(attempt, 10*time.Millisecond, time.Second)
		full := min(10*time.Millisecond<<min(attempt-1, 10), time.Second)
		require.GreaterOrEqual(t, d, full/2)
		require.LessOrEqual(t, d, full)
	})
}
