package bronzetest

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// passingResult returns a result that breaks no promise.
func passingResult(disturb string) *Result {
	return &Result{
		Disturb: disturb, Balancers: 3, Requests: 1, ConfigSeconds: 1,
		Imbalance: map[string]float64{"s": 1.04}, FlowsPerHost: map[string]float64{"s": 60},
		maxImbalance: map[string]float64{"s": 1.05},
	}
}

// Each change of a passing result breaks one promise, which is reported.
func TestResultViolations(t *testing.T) {
	cases := []struct {
		disturb string
		change  func(*Result)
		want    string
	}{
		{NoDisturbance, func(r *Result) { r.Requests = 0 }, "no request was answered"},
		{NoDisturbance, func(r *Result) { r.BrokenFlows = 1 }, "BrokenFlows"},
		{Rolling, func(r *Result) { r.BrokenFlows = 1 }, "BrokenFlows"},
		{Partition, func(r *Result) { r.BrokenFlows = 1 }, "BrokenFlows"},
		{Kill, func(r *Result) { r.BrokenFlows, r.HashAloneBroken = 25, 100 }, "BrokenFlows"},
		{Pause, func(r *Result) { r.DoubleRuns = 1 }, "DoubleRuns"},
		{Silent, func(r *Result) { r.Misdelivered = 1 }, "Misdelivered"},
		{Reject, func(r *Result) { r.FalseRefusals = 1 }, "FalseRefusals"},
		{Reject, func(r *Result) { r.OpensTried, r.FurtherServers = 100, 41 }, "FurtherServers"},
		{Both, func(r *Result) { r.WrongAnswers = 1 }, "WrongAnswers"},
		{Drain, func(r *Result) { r.NewFlowsOnLeaving = 1 }, "NewFlowsOnLeaving"},
		{PlatformDown, func(r *Result) { r.UnopenedFlows = 1 }, "UnopenedFlows"},
		{PlatformDown, func(r *Result) { r.ConfigSeconds = 6.1 }, "ConfigSeconds"},
		{NoDisturbance, func(r *Result) { r.ConfigSeconds = -1 }, "ConfigSeconds"},
		{NoDisturbance, func(r *Result) { r.Imbalance["s"] = 1.06 }, "Imbalance of s"},
		{NoDisturbance, func(r *Result) { r.ControlBytesPerSecond = 7000 }, "ControlBytesPerSecond"},
		{NoDisturbance, func(r *Result) { r.RefusedFlows = 1 }, "RefusedFlows"},
	}
	for _, c := range cases {
		r := passingResult(c.disturb)
		require.Empty(t, r.Violations())
		c.change(r)
		require.Len(t, r.Violations(), 1, c.want)
		require.Contains(t, r.Violations()[0], c.want)
	}
}

func TestResultViolationsSmallService(t *testing.T) {
	r := passingResult(NoDisturbance)
	r.Imbalance["s"], r.FlowsPerHost["s"] = 2, minFlowsForImbalance-1
	require.Empty(t, r.Violations())
}

// Callers get all answers through real balancers, of which each gets any packet
// of a flow with equal probability. The callers' timeout is a minute, so that
// the result doesn't depend on the speed of the machine.
func TestDemo(t *testing.T) {
	for name := range deployments {
		d := Demo{Deployment: name, Balancers: 3, Flows: 60, Duration: time.Second, callerTimeout: time.Minute}
		result, err := d.Run(context.Background())
		require.NoError(t, err)
		require.Positive(t, result.Requests)
		require.GreaterOrEqual(t, result.Flows, int64(d.Flows))
		require.Zero(t, result.BrokenFlows+result.RefusedFlows+result.UnopenedFlows)
		require.Zero(t, result.Misdelivered+result.DoubleRuns+result.FalseRefusals+result.WrongAnswers)
		require.Positive(t, result.RelayedShare)
		var table bytes.Buffer
		require.NoError(t, result.WriteTable(&table))
		require.Contains(t, table.String(), "BrokenFlows")
		_, err = json.Marshal(result)
		require.NoError(t, err)
	}
}

func TestDemoInvalid(t *testing.T) {
	_, err := Demo{Deployment: "nowhere"}.Run(context.Background())
	require.ErrorContains(t, err, "Deployment")
	_, err = Demo{Disturb: "nothing"}.Run(context.Background())
	require.ErrorContains(t, err, "Disturb")
	_, err = Demo{Flows: -1}.Run(context.Background())
	require.ErrorContains(t, err, "Flows")
}

// The demo is interrupted as it starts. Its result has no samples of the
// imbalance and must still be encodable as JSON.
func TestDemoInterrupted(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := &run{
		Demo:   Demo{Balancers: 1, Flows: 1, Duration: time.Second, Disturb: NoDisturbance},
		ledger: &Ledger{}, baseline: &HashBaseline{}, platform: &Platform{},
	}
	require.NoError(t, r.measure(ctx))
	_, err := json.Marshal(&r.result)
	require.NoError(t, err)
	require.NotEmpty(t, r.result.Violations())
}
