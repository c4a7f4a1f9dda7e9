package bronzereport

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Source describes where, when and with which revision figures were measured.
type Source struct {
	Machine  Machine
	Revision string
	// Modified is set if Go files or go.mod had uncommitted changes.
	Modified bool
	Date     time.Time
}

// Machine describes the machine on which figures were measured.
type Machine struct {
	Processor string
	Cores     int
	GoVersion string
	// Load is the load average of the minute before the start.
	Load string
}

// NewSource returns the source of figures that are measured from now on. It runs
// git, so the working directory must be in the repository.
func NewSource(ctx context.Context) (s Source, err error) {
	defer annotate(&err, "find source")
	if s.Revision, err = git(ctx, "rev-parse", "--short", "HEAD"); err != nil {
		return s, err
	}
	status, err := git(ctx, "status", "--porcelain", "--untracked-files=no", "--", "*.go", "go.mod")
	if err != nil {
		return s, err
	}
	s.Machine = NewMachine()
	s.Modified = status != ""
	s.Date = time.Now().UTC().Truncate(time.Second)
	return s, nil
}

// NewMachine describes the machine that runs the process.
func NewMachine() Machine {
	return Machine{
		Processor: processor(),
		Cores:     runtime.NumCPU(),
		GoVersion: runtime.Version(),
		Load:      loadAverage(),
	}
}

func git(ctx context.Context, args ...string) (text string, err error) {
	b, err := exec.CommandContext(ctx, "git", args...).Output()
	return strings.TrimSpace(string(b)), err
}

// processor returns the model name of the processor from /proc/cpuinfo, or the
// architecture if it isn't available.
func processor() string {
	f, err := os.Open("/proc/cpuinfo")
	if err != nil {
		return runtime.GOARCH
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		key, value, ok := strings.Cut(lines.Text(), ":")
		if ok && strings.TrimSpace(key) == "model name" {
			return strings.TrimSpace(value)
		}
	}
	return runtime.GOARCH
}

// loadAverage returns the load average of the last minute, or "unknown".
func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	load, _, _ := strings.Cut(string(b), " ")
	return load
}

// annotate wraps the error that a function returns, if any, with what it
// attempted. It is meant for defer.
func annotate(err *error, what string) {
	if *err != nil {
		*err = errors.Wrap(*err, what)
	}
}
