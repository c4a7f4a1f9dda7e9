package bronzesoak

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// regressions are seeds that once broke a promise, with the cause. Those with none
// are here because they have much in them: kills of all nodes at once, cuts of zones
// and of the store, servers replaced and addresses used again.
var regressions = []struct {
	seed   uint64
	length time.Duration
	cause  string
}{
	{seed: 12, length: 11 * time.Second, cause: "none, many events"},
	{seed: 34, length: 11 * time.Second, cause: "none, many events"},
	{seed: 4104, length: 11 * time.Second, cause: "a node was told to leave while it was stopped, and the check counted that time"},
}

// build returns the program under test.
func build(t *testing.T) (program string) {
	t.Helper()
	program = filepath.Join(t.TempDir(), "bronzeedge")
	out, err := exec.Command("go", "build", "-o", program, "bronzeusher.example/bronzeusher/cmd/bronzeedge").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return program
}

// Real processes of bronzeedge are harmed from outside, and keep what callers and
// servers are promised.
func TestPromisesHoldUnderFaults(t *testing.T) {
	program := build(t)
	for _, r := range regressions {
		t.Run(fmt.Sprint("Seed", r.seed), func(t *testing.T) {
			result, err := Run(t.Context(), NewPlan(r.seed, r.length), Options{Program: program, Dir: t.TempDir()})
			require.NoError(t, err)
			require.Empty(t, result.Broken, r.cause)
			require.Positive(t, result.Served)
		})
	}
}

// Guards against new flows at servers that leave just after the store fell back.
func TestServersLeaveAfterTheStoreFellBack(t *testing.T) {
	plan := Plan{
		Seconds: 13, Zones: 2, NodesPerZone: 2, ServersPerZone: 3, Callers: 40, PauseMS: 250, WorkMS: 15,
		Events: []Event{
			{AtMS: 800, Kind: AddRoute},
			{AtMS: 1000, ForMS: 2500, Kind: RestoreStore},
		},
	}
	for i := range 8 {
		plan.Events = append(plan.Events, Event{AtMS: 1200 + 200*i, Kind: AddRoute})
	}
	for i := range 3 {
		plan.Events = append(plan.Events, Event{AtMS: 5600, Kind: ReplaceServer, Target: 1 + 2*i})
	}
	result, err := Run(t.Context(), plan, Options{Program: build(t), Dir: t.TempDir()})
	require.NoError(t, err)
	require.Empty(t, result.Broken)
	require.Positive(t, result.Served)
}
