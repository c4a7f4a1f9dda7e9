package bronzesoak

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// regressions are seeds that once had a violation, with its cause. Seeds without
// one cover many kinds of events: kills and restarts of nodes, cuts of zones,
// peers and the store, and changes of servers and routes.
var regressions = []struct {
	seed   uint64
	length time.Duration
	cause  string
}{
	{seed: 12, length: 11 * time.Second, cause: "none, many events"},
	{seed: 34, length: 11 * time.Second, cause: "none, many events"},
	{seed: 4104, length: 11 * time.Second, cause: "a node was told to leave while it was paused, and the check counted the pause"},
}

// buildProgram builds the program under test and returns its path.
func buildProgram(t *testing.T) (program string) {
	t.Helper()
	program = filepath.Join(t.TempDir(), "bronzeedge")
	out, err := exec.Command("go", "build", "-o", program, "bronzeusher.example/bronzeusher/cmd/bronzeedge").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return program
}

// Processes of bronzeedge keep all invariants under faults from outside.
func TestInvariantsUnderFaults(t *testing.T) {
	program := buildProgram(t)
	for _, r := range regressions {
		t.Run(fmt.Sprint("Seed", r.seed), func(t *testing.T) {
			result, err := Run(t.Context(), NewPlan(r.seed, r.length), Options{Program: program, Dir: t.TempDir()})
			require.NoError(t, err)
			require.Empty(t, result.Broken, r.cause)
			require.Positive(t, result.Served)
		})
	}
}

// Guards against new flows at servers that start to drain just after the store
// was restored from a backup.
func TestServersReplacedAfterStoreRestore(t *testing.T) {
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
	result, err := Run(t.Context(), plan, Options{Program: buildProgram(t), Dir: t.TempDir()})
	require.NoError(t, err)
	require.Empty(t, result.Broken)
	require.Positive(t, result.Served)
}
