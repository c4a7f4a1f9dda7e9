package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var small = Workload{Deployment: "d", Service: "s", Servers: 6, Lifetime: 30 * time.Second}

func TestModelDeterministic(t *testing.T) {
	setting := Setting{Placement: Bounded, Bound: 1.05}
	a := newModel(small, setting, 30, 7).run()
	require.Equal(t, a, newModel(small, setting, 30, 7).run())
	require.NotEqual(t, a, newModel(small, setting, 30, 8).run())
}

func TestFrontierTradeOff(t *testing.T) {
	hash := newModel(small, Setting{Placement: HashAlone}, 100, 1).run()
	loose := newModel(small, Setting{Placement: Bounded, Bound: 1.15}, 100, 1).run()
	tight := newModel(small, Setting{Placement: Bounded, Bound: 1.05}, 100, 1).run()
	require.Zero(t, hash.Exceptions)
	require.Less(t, loose.Exceptions, tight.Exceptions)
	require.Less(t, tight.Imbalance, loose.Imbalance)
	require.Less(t, loose.Imbalance, hash.Imbalance)
	require.InDelta(t, 6*100/Owners, tight.OwnedFlows, 12)
}

func TestModelLoads(t *testing.T) {
	m := newModel(small, Setting{Placement: Bounded, Bound: 1.02}, 50, 3)
	m.run()
	loads := make([]int, small.Servers)
	for _, f := range m.ends {
		loads[f.server]++
	}
	require.Equal(t, loads, m.loads)
	require.Len(t, m.ends, m.open)
}

func TestWriteAll(t *testing.T) {
	results := []Result{{Imbalance: 1.3}, {Imbalance: 1.1}, {Imbalance: 1.2}}
	var points []Point
	for _, flows := range flowsPerServer {
		for _, s := range settings() {
			points = append(points, newPoint(workloads[0], s, flows, results))
		}
	}
	require.Equal(t, Spread{Low: 1.1, Median: 1.2, High: 1.3}, points[0].Imbalance)
	dir := t.TempDir()
	require.NoError(t, writeAll(&options{Out: dir}, points))
	svg, err := os.ReadFile(filepath.Join(dir, "frontier.svg"))
	require.NoError(t, err)
	require.Contains(t, string(svg), "riga map-live, 14 servers")
	require.FileExists(t, filepath.Join(dir, "data", "frontier.json"))
}
