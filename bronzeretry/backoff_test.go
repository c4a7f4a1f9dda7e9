package bronzeretry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBackoff(t *testing.T) {
	b := Backoff{Min: 100 * time.Millisecond, Max: time.Second}
	for _, bound := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
		bound *= time.Millisecond
		d := b.Next()
		require.GreaterOrEqual(t, d, bound/2)
		require.Less(t, d, bound)
	}
	b.Reset()
	require.Less(t, b.Next(), 100*time.Millisecond)
	var zero Backoff
	require.Zero(t, zero.Next())
}

func TestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		Pause(ctx, time.Minute)
		require.Equal(t, time.Second, time.Since(start))
		Pause(t.Context(), 0)
		require.Equal(t, time.Second, time.Since(start))
	})
}
