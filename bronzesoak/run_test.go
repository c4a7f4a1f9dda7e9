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

// Real processes of bronzeedge are harmed from outside, and keep what callers and
// servers are promised.
func TestPromisesHoldUnderFaults(t *testing.T) {
	program := filepath.Join(t.TempDir(), "bronzeedge")
	out, err := exec.Command("go", "build", "-o", program, "bronzeusher.example/bronzeusher/cmd/bronzeedge").CombinedOutput()
	require.NoError(t, err, "%s", out)
	for _, r := range regressions {
		t.Run(fmt.Sprint("Seed", r.seed), func(t *testing.T) {
			result, err := Run(t.Context(), NewPlan(r.seed, r.length), Options{Program: program, Dir: t.TempDir()})
			require.NoError(t, err)
			require.Empty(t, result.Broken, r.cause)
			require.Positive(t, result.Served)
		})
	}
}
