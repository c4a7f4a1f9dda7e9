package bronzeedge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A VM is suspended for four seconds. Only the clock since boot shows it, and it
// must show once: the records are then as old as they are.
func TestSuspensionIsFoundOnce(t *testing.T) {
	var s suspension
	steady, apart := 5*time.Second, time.Hour
	require.Zero(t, s.gap(steady+apart, steady), "the clocks begin apart")
	steady += 100 * time.Millisecond
	require.Zero(t, s.gap(steady+apart+3*time.Millisecond, steady))
	apart += 4 * time.Second
	require.Equal(t, 4*time.Second, s.gap(steady+apart, steady))
	require.Zero(t, s.gap(steady+apart, steady))
}

// Clocks that drift by a millisecond a second don't add up to a suspension that was
// none until a quarter of a second has gathered, and are then taken as they are.
func TestSlowDriftIsNoSuspension(t *testing.T) {
	var s suspension
	s.gap(0, 0)
	for i := range 249 {
		require.Zero(t, s.gap(time.Duration(i)*(time.Second+time.Millisecond), time.Duration(i)*time.Second))
	}
}
