package main

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestFit fits a line to points that lie on it.
func TestFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Line{
			Intercept: rapid.Float64Range(1, 1000).Draw(t, "intercept"),
			Slope:     rapid.Float64Range(0, 1000).Draw(t, "slope"),
		}
		var points []Point
		for _, size := range []float64{7, 40, 82, 490} {
			points = append(points, Point{Size: size, Value: want.At(size)})
		}
		got := fit(points)
		require.InEpsilon(t, want.Intercept, got.Intercept, 1e-4)
		require.InDelta(t, want.Slope, got.Slope, 1e-6)
		require.Less(t, got.Spread, 1e-9)
	})
}

func TestFitSpread(t *testing.T) {
	l := fit([]Point{{Size: 1, Value: 9}, {Size: 1, Value: 11}, {Size: 3, Value: 9}, {Size: 3, Value: 11}})
	require.InDelta(t, 10, l.Intercept, 1e-9)
	require.Zero(t, l.Slope)
	require.InDelta(t, 0.1, l.Spread, 1e-9)
}

func TestParse(t *testing.T) {
	v := measurements{}
	err := v.parse([]byte("cpu: some\n" +
		"BenchmarkOpening/servers=4   \t 100\t 200 ns/op\t 3 B/op\n" +
		"BenchmarkOpening/servers=4   \t 100\t 400 ns/op\t 3 B/op\n" +
		"    bytes_test.go:165: 40 nodes: steady {sent:3268 received:3273 highest:3445}, with one replaced {sent:3372 received:3307 highest:3565}, loads\n" +
		"ok  \tbronzeusher.example/bronzeusher/bronzefleet\t34.153s\n"))
	require.NoError(t, err)
	require.Equal(t, measurements{
		"BenchmarkOpening/servers=4": {"ns/op": {200, 400}, "B/op": {3, 3}},
		"BytesPerNode/nodes=40":      {"B/s": {3268}, "B/s-replaced": {3372}},
	}, v)
}

// TestNewSeriesTooFewSizes checks that no line is fitted to fewer than four
// sizes.
func TestNewSeriesTooFewSizes(t *testing.T) {
	v := measurements{}
	for _, name := range []string{"BenchmarkOpening/servers=4", "BenchmarkOpening/servers=14", "BenchmarkOpening/servers=64"} {
		v.add(name, nanoseconds, 1)
	}
	c := selectCosts(costOpening)[0]
	_, err := newSeries(c, v)
	require.ErrorContains(t, err, "3 sizes")
	v.add("BenchmarkOpening/servers=256", nanoseconds, 1)
	s, err := newSeries(c, v)
	require.NoError(t, err)
	require.Len(t, s.Points, 4)
}
