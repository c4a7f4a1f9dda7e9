package bronzeedge

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"bronzeusher.example/bronzeusher/bronzesocket"
)

const (
	// suspendedLeast is how far the two clocks must have come apart for the VM to have
	// been suspended. Between readings of the two a thread may wait some milliseconds.
	suspendedLeast = 250 * time.Millisecond
	// pauseLeast is for how long no loop of the node must have gone on for it to have
	// stood still. One looks at timers every tickInterval; a node with a twentieth of a
	// core that reads all records gives its loops turns some 200 ms apart.
	pauseLeast = 500 * time.Millisecond
	// wantedFor is for how long a caller wants what it has sent: one whose opening nobody
	// accepted gives up after that, and data was repeated twice, by ways that routers have
	// found since.
	wantedFor = 1400 * time.Millisecond
)

// suspension finds the time for which the VM was suspended, which the steady clock
// doesn't count, and the clock since boot does. Without it a node that was suspended
// for seconds tells others that the store confirmed its records a moment ago.
type suspension struct {
	mu    sync.Mutex
	begun bool
	// apart is by how much the clock since boot is ahead.
	apart time.Duration
}

// gap returns for how long the VM was suspended since the last call, by the time
// since boot and that of the steady clock, both from any beginning.
func (s *suspension) gap(boot, steady time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	apart := boot - steady
	if !s.begun {
		s.begun, s.apart = true, apart
		return 0
	}
	gap := apart - s.apart
	if gap < suspendedLeast {
		return 0
	}
	s.apart = apart
	return gap
}

// pauses finds the times for which the process stood still while the steady clock ran
// on, and keeps what follows from the last pause. Its methods may be called concurrently.
type pauses struct {
	// looking is held while a pause is looked for and taken in, so that no loop goes on
	// before everything knows of it.
	looking sync.Mutex

	mu    sync.Mutex
	begun bool
	// ranAt is when a loop last went on, endedAt when the last pause was found, the zero
	// time if there was none, and unsure says that the records weren't confirmed since.
	ranAt   time.Time
	endedAt time.Time
	unsure  bool
	// oldPackets and oldNews say that what waits for reading came during a pause:
	// callers' packets, and other nodes' messages.
	oldPackets bool
	oldNews    bool
}

// begin has pauses be looked for from now on.
func (p *pauses) begin(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun, p.ranAt = true, now
}

// gap returns for how long no loop went on until now, 0 if that is no pause.
func (p *pauses) gap(now time.Time) (d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.begun {
		return 0
	}
	d = now.Sub(p.ranAt)
	p.ranAt = now
	if d < pauseLeast {
		return 0
	}
	return d
}

// end notes that a pause has ended that took d.
func (p *pauses) end(now time.Time, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endedAt, p.unsure = now, true
	p.oldPackets = p.oldPackets || d >= wantedFor
	p.oldNews = true
}

// since reports whether there was a pause in the last d.
func (p *pauses) since(now time.Time, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.endedAt.IsZero() && now.Sub(p.endedAt) <= d
}

// interrupts reports whether the loop that calls it stood still since any went on last.
func (p *pauses) interrupts(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.begun && now.Sub(p.ranAt) >= pauseLeast
}

// confirm takes in how long ago the store confirmed the records, and reports whether that
// is the first time since the pause, and how long after it.
func (p *pauses) confirm(now time.Time, ago time.Duration) (first bool, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	after = now.Sub(p.endedAt)
	if !p.unsure || ago >= after {
		return false, 0
	}
	p.unsure = false
	return true, after
}

// isUnsure reports whether the records may be out of date because of a pause.
func (p *pauses) isUnsure() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unsure
}

// dropsPackets reports, once after a pause, that what waits of callers' packets is old.
func (p *pauses) dropsPackets() (drops bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	drops, p.oldPackets = p.oldPackets, false
	return drops
}

// dropsNews is the same for other nodes' messages.
func (p *pauses) dropsNews() (drops bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	drops, p.oldNews = p.oldNews, false
	return drops
}

// lookForPause finds out whether the node has stood still, and has all that depends on
// time know it. Each loop calls it when it goes on, before it looks at what it has read:
// what waited there tells of times that are past.
func (e *Edge) lookForPause() {
	e.pauses.looking.Lock()
	defer e.pauses.looking.Unlock()
	suspended := e.suspendedFor()
	now := time.Now()
	paused := e.pauses.gap(now)
	if paused+suspended == 0 {
		return
	}
	e.pauses.end(now, paused+suspended)
	e.gossip.Paused(paused, suspended, now)
	aside := e.steerer.Paused(now)
	e.count("Paused")
	e.log.Line("Paused", Fields{
		"ForMS": (paused + suspended).Milliseconds(), "SuspendedMS": suspended.Milliseconds(),
		"Openings": aside.Openings, "Requests": aside.Requests, "Findings": aside.Findings,
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

// noteConfirmed ends the doubt in the records after a pause, once the store has confirmed
// them to any node.
func (e *Edge) noteConfirmed(now time.Time) {
	first, after := e.pauses.confirm(now, e.gossip.SinceConfirmed(now))
	if !first {
		return
	}
	e.steerer.RecordsConfirmed()
	e.log.Line("ConfirmedAfterPause", Fields{"AfterMS": after.Milliseconds()})
}

// dropOldPackets drops the callers' packets that waited in the socket during a pause, if
// there was one. Their callers have repeated them since, or gone elsewhere. Sent on,
// openings that nobody goes on with would take servers' connections, and let each of them
// seem silent.
func (e *Edge) dropOldPackets(read int) (dropped bool) {
	if !e.pauses.dropsPackets() {
		return false
	}
	n, err := e.data.Discard()
	e.logDropped("OldPacketsDropped", read+n, err)
	return true
}

// dropOldNews does the same with other nodes' messages. What they say is so many
// milliseconds old is older by the pause, the store's word and findings as well.
func (e *Edge) dropOldNews() (dropped bool) {
	if !e.pauses.dropsNews() {
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
