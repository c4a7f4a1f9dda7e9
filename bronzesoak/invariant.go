package bronzesoak

import (
	"fmt"
	"sync"
	"time"
)

// Invariant is something that callers or servers are promised.
type Invariant string

// The promises.
const (
	// Misrouted: a server got a packet for an endpoint whose routes never named
	// its pool.
	Misrouted Invariant = "Misrouted"
	// Altered: an end got a packet that the other end had not written so.
	Altered Invariant = "Altered"
	// BrokenFlow: the caller of an open flow was told its end by a node, though
	// its server was there.
	BrokenFlow Invariant = "BrokenFlow"
	// Strayed: packets of an open flow went to other servers for two seconds, and
	// none to its own.
	Strayed Invariant = "Strayed"
	// RanTwice: a request that must not be repeated ran twice.
	RanTwice Invariant = "RanTwice"
	// NewOnDraining: a server got a new flow three seconds after it said that it
	// drains.
	NewOnDraining Invariant = "NewOnDraining"
	// NewInDrainedZone: a server got a new flow three seconds after its zone was drained.
	NewInDrainedZone Invariant = "NewInDrainedZone"
	// OldTable: a node went by an older table three seconds after a newer one.
	OldTable Invariant = "OldTable"
	// WentBack: a node went by an older table after it had used a newer one.
	WentBack Invariant = "WentBack"
	// ReadyAgain: a node that leaves was ready again.
	ReadyAgain Invariant = "ReadyAgain"
	// LeftLate: a node that was told to end took longer than its grace.
	LeftLate Invariant = "LeftLate"
	// Exited: a node ended by itself.
	Exited Invariant = "Exited"
	// Unserved: of the requests at the end, when all has been well for seconds,
	// fewer than nine tenths were served.
	Unserved Invariant = "Unserved"
)

// Violation is a promise that did not hold.
type Violation struct {
	Promise Invariant
	// AtMS is when, from the start of traffic.
	AtMS int64
	What string
}

// String returns it as one line.
func (b Violation) String() string {
	return fmt.Sprintf("%.3f s %s: %s", float64(b.AtMS)/1000, b.Promise, b.What)
}

// maxViolations bounds what is kept of broken promises.
const maxViolations = 50

// violationLog keeps what was broken.
type violationLog struct {
	mu    sync.Mutex
	start time.Time
	list  []Violation
	total int
}

func (j *violationLog) add(p Invariant, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.total++
	if len(j.list) < maxViolations {
		j.list = append(j.list, Violation{Promise: p, AtMS: time.Since(j.start).Milliseconds(), What: fmt.Sprintf(format, args...)})
	}
}

// disturbance is since when something has been left alone.
type disturbance struct {
	mu    sync.Mutex
	until time.Time
}

// extend notes that something is done to it until a time.
func (c *disturbance) extend(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.until) {
		c.until = until
	}
}

// settleTime is how long something must have been left alone for promises with a
// bound in time to count.
const settleTime = 4 * time.Second

func (c *disturbance) settled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.until) >= settleTime
}
