package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzereport"
	"bronzeusher.example/bronzeusher/bronzetest"
)

// testExperiment returns an experiment of a run that kept its promises, one that
// broke a promise and one that failed.
func testExperiment() *Experiment {
	kill := bronzetest.Result{
		Deployment: "riga", Disturb: bronzetest.Kill, Seed: 1, Balancers: 7,
		Flows: 2000, Requests: 9000, BrokenFlows: 3, HashAloneBroken: 141,
		Imbalance:          map[string]float64{"b": 1.05, "a": 1.0211},
		HashAloneImbalance: map[string]float64{"b": 1.1, "a": 1.2},
		RelayedShare:       0.125, ControlBytesPerSecond: 1900.4, FurtherServers: 4, OpensTried: 2100,
	}
	drain := bronzetest.Result{Deployment: "riga", Disturb: bronzetest.Drain, Seed: 1, Balancers: 7, BrokenFlows: 8}
	none := bronzetest.Result{Deployment: "klang", Disturb: bronzetest.NoDisturbance, Seed: 1, Balancers: 7}
	return &Experiment{
		Source:    bronzereport.Source{Revision: "abc", Date: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)},
		Arguments: "--seeds 1", Seconds: 15,
		Runs: []Run{
			{Result: kill},
			{Result: drain, Faults: []string{"BrokenFlows is 8"}},
			{Result: none, Faults: []string{"run demo: no socket"}, Failed: true},
		},
	}
}

func TestTables(t *testing.T) {
	require.Equal(t, []string{
		"| deployment | disturbance | seed | balancers | BrokenFlows | HashAloneBroken | RelayedShare | control B/s | flow-message B/s | broken promises |",
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
		"| riga | kill | 1 | 7 | 3 | 141 | 12.5% | 1900 | 0 | none |",
		"| riga | drain | 1 | 7 | 8 | 0 | 0.0% | 0 | 0 | **BrokenFlows is 8** |",
		"| klang | none | 1 | 7 | - | - | - | - | - | **run demo: no socket** |",
		"",
	}, strings.Split(newTable(sizeColumns, testExperiment().Runs).Markdown(), "\n"))
	costs := newTable(costColumns, testExperiment().Runs).Markdown()
	require.Contains(t, costs, "| a 1.021 (1.200), b 1.050 (1.100) | 12.5% | 1900 | 0 | 4/2100 |")
	require.ErrorContains(t, failureError([]*Experiment{testExperiment()}), "2 of 3 runs")
	require.NoError(t, failureError([]*Experiment{{Runs: testExperiment().Runs[:1]}}))
}

// Writing from the data file gives the same page as the run did, and only the
// section of the page changes.
func TestWriteAllFromDataFile(t *testing.T) {
	opts := &options{Out: t.TempDir()}
	name := filepath.Join(opts.Out, "MEASUREMENTS.md")
	page := "before\n" + section.Begin + "\nold\n" + section.End + "\nafter\n"
	require.NoError(t, os.WriteFile(name, []byte(page), 0o600))
	data := &Data{Matrix: testExperiment(), Sizes: testExperiment()}
	require.NoError(t, writeAll(opts, data))
	first, err := os.ReadFile(name)
	require.NoError(t, err)
	require.Regexp(t, `(?s)^before\n<!-- bronzematrix:begin -->\n## The demo.*<!-- bronzematrix:end -->\nafter\n$`, string(first))
	require.Contains(t, string(first), newTable(promiseColumns, testExperiment().Runs).Markdown())
	svg, err := os.ReadFile(filepath.Join(opts.Out, "broken.svg"))
	require.NoError(t, err)
	require.Contains(t, string(svg), "hash alone")

	opts.From = dataPath(opts)
	again, err := load(opts)
	require.NoError(t, err)
	require.NoError(t, writeAll(opts, again))
	second, err := os.ReadFile(name)
	require.NoError(t, err)
	require.Equal(t, string(first), string(second))
}

// Measuring one part keeps the other part of the data file with its faults.
func TestDataPartialMeasurement(t *testing.T) {
	opts := &options{Out: t.TempDir()}
	data, err := load(opts)
	require.NoError(t, err)
	require.Empty(t, data.experiments())
	data.set(testExperiment(), false)
	require.NoError(t, bronzereport.SaveJSON(dataPath(opts), data))
	data, err = load(opts)
	require.NoError(t, err)
	data.set(&Experiment{}, true)
	require.Equal(t, testExperiment().Runs[1].Faults, data.Matrix.Runs[1].Faults)
	require.Len(t, data.experiments(), 2)
}

func TestDemosSizes(t *testing.T) {
	opts := &options{Deployments: []string{"riga"}, Balancers: 7, Sizes: []int{3, 16}, Seeds: 2, Duration: time.Second}
	all := demos(opts)
	require.Len(t, all, len(sizeDisturbances)*2*2)
	require.Equal(t, 16, all[len(all)-1].Balancers)
	require.Equal(t, "--deployments riga --sizes 3,16 --duration 1s --seeds 2", opts.arguments())
	opts.Sizes, opts.Disturbances = nil, bronzetest.Disturbances()
	require.Len(t, demos(opts), len(bronzetest.Disturbances())*2)
	require.Contains(t, opts.arguments(), "--disturbances all --balancers 7")
}
