package bronzesoak

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzeedge"
	"bronzeusher.example/bronzeusher/bronzeretry"
)

const (
	// leaveGrace is the time that nodes are given to leave, leaveTolerance how much
	// longer they may take on a busy machine before LeftLate is violated.
	leaveGrace     = 4 * time.Second
	leaveTolerance = 2 * time.Second
	// restartDelay is the time from a process leaving until its restart.
	restartDelay = 200 * time.Millisecond
)

// node is a node under test: its addresses, settings and current process.
type node struct {
	soak *soak
	name string
	zone string
	data netip.AddrPort
	cfg  bronzeedge.Config
	// disturbance covers faults and planned restarts of the node, faults only the
	// former.
	disturbance disturbance
	faults      disturbance

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{} // closed when cmd has exited
	starts int
	// leavingSince is when the process was told to leave, or when it resumed if it
	// was paused then; zero if it was not told.
	leavingSince time.Time
	// exitExpected is true if the process was killed or told to leave.
	exitExpected bool
}

func (n *node) settingsPath() string { return filepath.Join(n.soak.dir, n.name+".json") }

// writeSettings replaces the node's settings file atomically.
func (n *node) writeSettings() (err error) {
	b, err := json.Marshal(n.cfg)
	if err != nil {
		return err
	}
	if err = os.WriteFile(n.settingsPath()+".new", b, 0o600); err != nil {
		return err
	}
	return os.Rename(n.settingsPath()+".new", n.settingsPath())
}

// start starts the process unless it is running or ctx is done.
func (n *node) start(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "start "+n.name) }()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil || ctx.Err() != nil {
		return nil
	}
	if err = n.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.soak.dir, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(n.soak.program, "--settings", n.settingsPath())
	cmd.Stdout, cmd.Stderr = log, log
	if err = cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	n.cmd, n.exited = cmd, make(chan struct{})
	n.starts++
	n.leavingSince, n.exitExpected = time.Time{}, false
	go n.wait(cmd, n.exited, log)
	return nil
}

// wait waits until the process has exited. An unexpected exit violates Exited.
func (n *node) wait(cmd *exec.Cmd, exited chan struct{}, log *os.File) {
	err := cmd.Wait()
	_ = log.Close()
	n.mu.Lock()
	if !n.exitExpected {
		n.soak.violations.add(Exited, "%s ended by itself: %v", n.name, err)
	}
	n.cmd = nil
	n.mu.Unlock()
	close(exited)
}

// signal sends a signal to the process and returns a channel that is closed when
// it has exited, nil if it is not running.
func (n *node) signal(sig syscall.Signal) (exited <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return nil
	}
	switch sig {
	case syscall.SIGTERM:
		n.leavingSince, n.exitExpected = time.Now(), true
	case syscall.SIGKILL:
		n.exitExpected = true
	case syscall.SIGCONT:
		// A paused process receives SIGTERM only when it resumes.
		if !n.leavingSince.IsZero() {
			n.leavingSince = time.Now()
		}
	}
	if err := n.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		n.soak.fail(errors.Wrap(err, "signal "+n.name))
	}
	return n.exited
}

// currentStart returns the last start of the node.
func (n *node) currentStart() nodeStart {
	n.mu.Lock()
	defer n.mu.Unlock()
	return nodeStart{n.name, n.starts}
}

// leavingFor returns the time since leavingSince, 0 if the process was not told
// to leave.
func (n *node) leavingFor() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leavingSince.IsZero() {
		return 0
	}
	return time.Since(n.leavingSince)
}

// disturb records that the node is disturbed for d, by a fault unless it is
// planned.
func (n *node) disturb(d time.Duration, planned bool) {
	until := time.Now().Add(d)
	n.disturbance.extend(until)
	if !planned {
		n.faults.extend(until)
	}
}

// kill kills the process and restarts it after d.
func (n *node) kill(ctx context.Context, d time.Duration) {
	n.disturb(d+restartDelay, false)
	exited := n.signal(syscall.SIGKILL)
	if exited != nil {
		<-exited
	}
	bronzeretry.Pause(ctx, d)
	n.disturb(0, false)
	if err := n.start(ctx); err != nil {
		n.soak.fail(err)
	}
}

// leave tells the process to leave and waits until it has exited. It kills a
// process that has not after leaveGrace and leaveTolerance.
func (n *node) leave() {
	n.disturb(leaveGrace, true)
	exited := n.signal(syscall.SIGTERM)
	if exited == nil {
		return
	}
	timer := time.NewTimer(leaveGrace + leaveTolerance)
	defer timer.Stop()
	select {
	case <-exited:
	case <-timer.C:
		if n.faults.settled() {
			n.soak.violations.add(LeftLate, "%s has not left %v after it was told to", n.name, leaveGrace+leaveTolerance)
		}
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		<-exited
	}
}

// restart has the process leave and starts it again after restartDelay.
func (n *node) restart(ctx context.Context) {
	n.leave()
	bronzeretry.Pause(ctx, restartDelay)
	n.disturb(0, true)
	if err := n.start(ctx); err != nil {
		n.soak.fail(err)
	}
}

// pause suspends the process for d.
func (n *node) pause(ctx context.Context, d time.Duration) {
	n.disturb(d, false)
	n.signal(syscall.SIGSTOP)
	bronzeretry.Pause(ctx, d)
	n.disturb(0, false)
	n.signal(syscall.SIGCONT)
}

// reload writes changed settings and has the process reload them by SIGHUP.
func (n *node) reload() {
	n.mu.Lock()
	n.cfg.QuietSeconds += 0.001
	n.mu.Unlock()
	if err := n.writeSettings(); err != nil {
		n.soak.fail(err)
		return
	}
	n.signal(syscall.SIGHUP)
}
