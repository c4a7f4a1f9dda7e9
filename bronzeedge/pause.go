package bronzeedge

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"bronzeusher.example/bronzeusher/bronzesocket"
)

const (
	// minSuspension is how far the two clocks must diverge for the VM to count as
	// suspended. Between reading one clock and the other, a thread may wait some
	// milliseconds.
	minSuspension = 250 * time.Millisecond
	// minPause is how long no loop of the node must have run for the process to count as
	// paused. One loop runs every tickInterval; on a node with a twentieth of a core that
	// reads all records, loops run some 200 ms apart.
	minPause = 500 * time.Millisecond
	// callerTimeout is how long a caller still wants a packet that it sent. A caller whose
	// opening nobody accepts gives up after that; data has been retransmitted twice by
	// then, on paths that routers have found since.
	callerTimeout = 1400 * time.Millisecond
)

// suspensionDetector detects time during which the VM was suspended. The monotonic clock
// doesn't count that time, the clock since boot does. Undetected, a node that was suspended
// for seconds would tell others that the store confirmed its records a moment ago.
type suspensionDetector struct {
	mu      sync.Mutex
	started bool
	// offset is how far the clock since boot is ahead of the monotonic clock.
	offset time.Duration
}

// gap returns for how long the VM was suspended since the last call. boot and monotonic are
// readings of the two clocks, each from any origin.
func (s *suspensionDetector) gap(boot, monotonic time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := boot - monotonic
	if !s.started {
		s.started, s.offset = true, offset
		return 0
	}
	gap := offset - s.offset
	if gap < minSuspension {
		return 0
	}
	s.offset = offset
	return gap
}

// pauseDetector detects times during which the process didn't run while the monotonic clock
// went on, and keeps the consequences of the last pause. Its methods may be called
// concurrently.
type pauseDetector struct {
	// detecting is held while a pause is detected and handled, so that no loop goes on
	// before all components know of the pause.
	detecting sync.Mutex

	mu      sync.Mutex
	started bool
	// lastRunAt is when a loop last ran, and endedAt when the last pause was detected, zero
	// if there was none. unconfirmed says that the records weren't confirmed since.
	lastRunAt   time.Time
	endedAt     time.Time
	unconfirmed bool
	// oldPackets and oldMessages say that callers' packets and other nodes' messages that
	// wait to be read arrived during a pause, delayedPackets that callers' packets may have.
	oldPackets     bool
	oldMessages    bool
	delayedPackets bool
}

// start enables the detection of pauses.
func (p *pauseDetector) start(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.started, p.lastRunAt = true, now
}

// gap returns how long no loop has run before now, or 0 if that is too short for a pause.
func (p *pauseDetector) gap(now time.Time) (d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.started {
		return 0
	}
	d = now.Sub(p.lastRunAt)
	p.lastRunAt = now
	if d < minPause {
		return 0
	}
	return d
}

// pauseEnded records the end of a pause of length d.
func (p *pauseDetector) pauseEnded(now time.Time, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endedAt, p.unconfirmed = now, true
	p.oldPackets = p.oldPackets || d >= callerTimeout
	p.oldMessages, p.delayedPackets = true, true
}

// endedWithin reports whether a pause ended within the last d.
func (p *pauseDetector) endedWithin(now time.Time, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.endedAt.IsZero() && now.Sub(p.endedAt) <= d
}

// wasInterrupted reports whether there was a pause that gap hasn't detected yet.
func (p *pauseDetector) wasInterrupted(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started && now.Sub(p.lastRunAt) >= minPause
}

// confirm takes the time since the store confirmed the records. It reports whether that is
// the first confirmation since the pause, and how long after the pause it is now.
func (p *pauseDetector) confirm(now time.Time, ago time.Duration) (first bool, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	after = now.Sub(p.endedAt)
	if !p.unconfirmed || ago >= after {
		return false, 0
	}
	p.unconfirmed = false
	return true, after
}

// isUnconfirmed reports whether the records may be out of date because of a pause.
func (p *pauseDetector) isUnconfirmed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unconfirmed
}

// takeOldPackets reports, once after a pause, that waiting packets of callers are old.
func (p *pauseDetector) takeOldPackets() (old bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, p.oldPackets = p.oldPackets, false
	return old
}

// takeDelayedPackets reports, once after a pause, whether the packets just read may have waited
// during the pause.
func (p *pauseDetector) takeDelayedPackets(now time.Time) (delayed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delayed = p.delayedPackets && now.Sub(p.endedAt) <= tickInterval
	p.delayedPackets = false
	return delayed
}

// takeOldMessages reports, once after a pause, that waiting messages of other nodes are
// old.
func (p *pauseDetector) takeOldMessages() (old bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, p.oldMessages = p.oldMessages, false
	return old
}

// detectPause checks whether the node was paused or suspended, and informs all components
// that depend on time. Each loop calls it in every iteration, before it handles what it has
// read, since that may date from before or during the pause.
func (e *Edge) detectPause() {
	e.pauses.detecting.Lock()
	defer e.pauses.detecting.Unlock()
	suspended := e.suspendedFor()
	now := time.Now()
	paused := e.pauses.gap(now)
	if paused+suspended == 0 {
		return
	}
	e.pauses.pauseEnded(now, paused+suspended)
	e.gossip.Paused(paused, suspended, now)
	discarded := e.steerer.Paused(now)
	e.count("Paused")
	e.log.Line("Paused", Fields{
		"ForMS": (paused + suspended).Milliseconds(), "SuspendedMS": suspended.Milliseconds(),
		"Openings": discarded.Openings, "Requests": discarded.Requests, "Findings": discarded.Findings,
	})
}

// suspendedFor returns for how long the VM was suspended since the last call.
func (e *Edge) suspendedFor() time.Duration {
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		e.count("NoBootClock")
		return 0
	}
	return e.suspensions.gap(time.Duration(boot.Nano()), time.Since(e.started))
}

// checkConfirmed makes the steerer trust the records again after a pause, once the store
// has confirmed them to any node.
func (e *Edge) checkConfirmed(now time.Time) {
	first, after := e.pauses.confirm(now, e.gossip.SinceConfirmed(now))
	if !first {
		return
	}
	e.steerer.RecordsConfirmed()
	e.log.Line("ConfirmedAfterPause", Fields{"AfterMS": after.Milliseconds()})
}

// dropOldPackets drops callers' packets that waited in the socket during a pause, if one of
// callerTimeout or more has ended. Their callers have retransmitted them or gone elsewhere. If openings that nobody
// continues were forwarded, they would take up servers' connections and make each of those
// servers look silent.
func (e *Edge) dropOldPackets(read int) (dropped bool) {
	if !e.pauses.takeOldPackets() {
		return false
	}
	n, err := e.data.Discard()
	e.logDropped("OldPacketsDropped", read+n, err)
	return true
}

// dropOldMessages drops other nodes' messages that waited during a pause, if one has ended.
// The ages that they give, of the store's confirmation and of findings about servers, are
// too low by the length of the pause.
func (e *Edge) dropOldMessages() (dropped bool) {
	if !e.pauses.takeOldMessages() {
		return false
	}
	n, err := bronzesocket.Discard(e.peers)
	e.logDropped("OldNewsDropped", 1+n, err)
	return true
}

func (e *Edge) logDropped(message string, n int, err error) {
	fields := Fields{"Dropped": n}
	if err != nil {
		fields["Error"] = err.Error()
	}
	e.log.Line(message, fields)
}
