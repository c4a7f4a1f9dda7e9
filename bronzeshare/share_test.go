package bronzeshare

import (
	"flag"
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Property tests draw the same values in every run, so that results depend on the code only.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Guards against parts that don't add up to 1, zones filled unequally, and demand that leaves
// its zone without need. Some zones are drained or have no callers.
func TestSharesFillZonesWithLeastCrossing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(0.1, 1e4))
		zones := make([]Zone, rapid.IntRange(1, 6).Draw(t, "Zones"))
		demand, capacity := 0.0, 0.0
		for i := range zones {
			zones[i] = Zone{Name: fmt.Sprint(i), Demand: rate.Draw(t, "Demand"), Capacity: rate.Draw(t, "Capacity")}
			demand += zones[i].Demand
			capacity += zones[i].Capacity
		}
		level := max(keptUtilization, demand/capacity)
		used := make([]float64, len(zones))
		crossing, least := 0.0, 0.0
		for i, z := range zones {
			parts, ok := Shares(z.Name, zones)
			require.Equal(t, capacity > 0, ok)
			if !ok {
				return
			}
			total := 0.0
			for j, part := range parts {
				require.GreaterOrEqual(t, part, 0.0)
				total += part
				used[j] += part * z.Demand
			}
			require.InDelta(t, 1, total, 1e-9)
			crossing += (1 - parts[i]) * z.Demand
			least += max(z.Demand-level*z.Capacity, 0)
		}
		require.InDelta(t, least, crossing, 1e-6)
		for i, z := range zones {
			require.LessOrEqual(t, used[i], level*z.Capacity+1e-6)
			if demand > keptUtilization*capacity {
				require.InDelta(t, level*z.Capacity, used[i], 1e-6, "utilization must be equal")
			}
		}
	})
}

// Guards against wrong parts from values that no zone has, and allocation beyond the result.
func TestSharesInvalid(t *testing.T) {
	zones := []Zone{{"a", 9, 5}, {"b", 1, 5}, {"c", 1, 5}}
	require.Equal(t, 1.0, testing.AllocsPerRun(100, func() { Shares("a", zones) }))
	for _, bad := range []float64{-1, math.NaN(), math.Inf(1), math.MaxFloat64} {
		for _, z := range []Zone{{"b", bad, 1}, {"b", 1, bad}} {
			_, ok := Shares("a", []Zone{zones[0], z})
			require.False(t, ok)
		}
	}
	_, ok := Shares("d", zones)
	require.False(t, ok)
}
