package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// A request of the class quick is late if it is answered after a retransmission. One of the
// class slow is still in time if it is answered after the first retransmission.
var (
	quick = Class{Name: "quick", Share: 1, AimMS: 150, DeadlineMS: 1000, WorkMS: 30, Worth: 1, LateWorth: 0.1}
	slow  = Class{Name: "slow", Share: 1, AimMS: 500, DeadlineMS: 3000, WorkMS: 5, Worth: 1, LateWorth: 0.1}
)

// TestMaxEarned checks that a request that is sent while no node is up is answered after the
// caller's next retransmission.
func TestMaxEarned(t *testing.T) {
	require.InDelta(t, 1, quick.maxEarned(0), 1e-9)
	require.InDelta(t, 0.1, quick.maxEarned(100), 1e-9, "after 234 ms")
	require.InDelta(t, 0.1, quick.maxEarned(599), 1e-9, "after 634 ms")
	require.InDelta(t, 0, quick.maxEarned(700), 1e-9, "after 1,434 ms, past its deadline")
	require.InDelta(t, 1, slow.maxEarned(200), 1e-9)
	require.InDelta(t, 0.1, slow.maxEarned(201), 1e-9)
}

func TestLossesUnavoidable(t *testing.T) {
	d := Day{
		Classes: []Class{quick}, Dark: []Interval{{FromS: 2, ToS: 3}},
		Windows: []Window{{FromS: 0, ToS: 2, Asked: 200, Late: 10}, {FromS: 2, ToS: 4, Asked: 200, Late: 80, Lost: 60}},
	}
	list := d.Losses()
	require.InDelta(t, 9, list[0].Total, 1e-9)
	require.Zero(t, list[0].Unavoidable)
	require.InDelta(t, 132, list[1].Total, 1e-9)
	// 40 of the 100 are sent 600 ms or more before a node is up, and earn nothing.
	require.InDelta(t, 40+60*0.9, list[1].Unavoidable, 2)
	require.InDelta(t, list[1].Total-list[1].Unavoidable, list[1].Avoidable(), 1e-9)
}

func TestRunInvalidField(t *testing.T) {
	file := filepath.Join(t.TempDir(), "days.json")
	for body, field := range map[string]string{
		`[{}]`:           "Name",
		`[{"Name":"d"}]`: "Classes",
		`[{"Name":"d","Classes":[{"Worth":1}],"Windows":[{}]}]`: "Windows[0].ToS",
		`[{"Name":"d","Classes":[{}]}]`:                         "Classes[0]",
	} {
		require.NoError(t, os.WriteFile(file, []byte(body), 0o600))
		require.ErrorContains(t, run(&options{File: file}, &bytes.Buffer{}), field)
	}
}

func TestRunRows(t *testing.T) {
	file := filepath.Join(t.TempDir(), "days.json")
	body := `[{"Deployment":"s","Name":"d","Classes":[{"Name":"c","Share":1,"AimMS":150,"DeadlineMS":1000,"Worth":1}],
		"Windows":[{"FromS":0,"ToS":2,"Asked":10,"Lost":1}]}]`
	require.NoError(t, os.WriteFile(file, []byte(body), 0o600))
	var out bytes.Buffer
	require.NoError(t, run(&options{File: file}, &out))
	require.Contains(t, out.String(), "| s | d | 10 | 1 | 0 | 1 | 1 at 0 s |")
	out.Reset()
	require.NoError(t, run(&options{File: file, Windows: true}, &out))
	require.Contains(t, out.String(), "| s | d | 0 | 10 | 0 | 1 | 0 | 1 |")
}
