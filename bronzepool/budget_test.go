package bronzepool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestBudgetNeverExceedsShare(t *testing.T) {
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

// A third of the servers sheds. Callers see one refusal in three at the first
// attempt; each is tried again, and again refused in a third of cases. Left
// alone, the retries would add half as much load to a pool that is short of
// it already. The budget holds them at its share of the opens.
func TestRetryStormStaysInsideBudget(t *testing.T) {
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
	require.GreaterOrEqual(t, retries, opens/10, "the budget is there to be used")
}

func TestBackoffIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempt := rapid.IntRange(1, 100).Draw(t, "Attempt")
		d := Backoff(attempt, 10*time.Millisecond, time.Second)
		full := min(10*time.Millisecond<<min(attempt-1, 10), time.Second)
		require.GreaterOrEqual(t, d, full/2)
		require.LessOrEqual(t, d, full)
	})
}
