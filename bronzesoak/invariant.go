package bronzesoak

import (
	"fmt"
	"sync"
	"time"
)

// Invariant names a guarantee to callers or servers that a run checks.
type Invariant string

// The invariants. Each comment describes a violation.
const (
	// Misrouted: a server received a packet for an endpoint that was never routed
	// to its pool.
	Misrouted Invariant = "Misrouted"
	// Altered: a caller or server received a packet that the other end had not
	// written in this form.
	Altered Invariant = "Altered"
	// BrokenFlow: a node reset an open flow although its server was running and
	// its route active.
	BrokenFlow Invariant = "BrokenFlow"
	// Strayed: for two seconds or more, packets of an open flow went to other
	// servers and none to its own.
	Strayed Invariant = "Strayed"
	// RanTwice: a request that is not idempotent ran more than once.
	RanTwice Invariant = "RanTwice"
	// NewOnDraining: a server received a new flow more than 3.7 seconds
	// (propagationTime and openRetransmitTime) after it registered as draining.
	NewOnDraining Invariant = "NewOnDraining"
	// NewInDrainedZone: a server received a new flow more than 3.7 seconds after
	// its zone was drained.
	NewInDrainedZone Invariant = "NewInDrainedZone"
	// OldTable: a node refused a route more than three seconds after it was added,
	// or forwarded by one more than 3.7 seconds after it was withdrawn.
	OldTable Invariant = "OldTable"
	// WentBack: a node refused a route that it had used before.
	WentBack Invariant = "WentBack"
	// ReadyAgain: a leaving node reported that it was ready one second or more
	// after it was told to leave.
	ReadyAgain Invariant = "ReadyAgain"
	// LeftLate: a node took longer to exit than its grace period and a tolerance
	// of two seconds after it was told to leave.
	LeftLate Invariant = "LeftLate"
	// Exited: a node process exited although it had been neither killed nor told
	// to leave.
	Exited Invariant = "Exited"
	// RanRefused: a server ran an attempt of a request whose opening a node reset or
	// which a server rejected.
	RanRefused Invariant = "RanRefused"
	// AnsweredRefused: an attempt was answered with a success after its caller was
	// told that it was refused or rejected.
	AnsweredRefused Invariant = "AnsweredRefused"
	// RefusedOpen: a node refused for lack of room a retransmitted opening, or one
	// whose first packet a server had received.
	RefusedOpen Invariant = "RefusedOpen"
	// RefusedUrgent: a node refused an urgent opening at a load at which it still
	// admitted a part of the less urgent ones of the pool, less than two seconds
	// before.
	RefusedUrgent Invariant = "RefusedUrgent"
	// Unserved: fewer than nine tenths of the requests near the end of the run,
	// when generated plans start no more events, were served.
	Unserved Invariant = "Unserved"
)

// Violation is an observation that contradicts an invariant. Results call it a
// broken promise.
type Violation struct {
	// Promise is the violated invariant.
	Promise Invariant
	// AtMS is the time since the start of traffic in milliseconds.
	AtMS int64
	// What describes the observation.
	What string
}

// String returns the violation as one line of text.
func (v Violation) String() string {
	return fmt.Sprintf("%.3f s %s: %s", float64(v.AtMS)/1000, v.Promise, v.What)
}

// maxViolations is how many violations of a run are kept; all are counted.
const maxViolations = 50

// violationLog holds the violations of a run.
type violationLog struct {
	mu    sync.Mutex
	start time.Time
	list  []Violation
	total int
}

func (l *violationLog) add(invariant Invariant, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	if len(l.list) < maxViolations {
		l.list = append(l.list, Violation{Promise: invariant, AtMS: time.Since(l.start).Milliseconds(), What: fmt.Sprintf(format, args...)})
	}
}

// disturbance records until when a component was last disturbed.
type disturbance struct {
	mu    sync.Mutex
	until time.Time
}

// extend records that the component is disturbed until a time.
func (d *disturbance) extend(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until.After(d.until) {
		d.until = until
	}
}

// settleTime is how long a component must have been undisturbed for invariants
// with a time bound to be checked.
const settleTime = 4 * time.Second

// settled reports whether the component has been undisturbed for settleTime.
func (d *disturbance) settled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.until) >= settleTime
}
