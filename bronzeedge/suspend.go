package bronzeedge

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// suspendedLeast is how far the two clocks must have come apart for the VM to have
// been suspended. Between readings of the two a thread may wait some milliseconds.
const suspendedLeast = 250 * time.Millisecond

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

// noteSuspension takes a suspension of the VM into account. It is called before
// anything is said to other nodes.
func (e *Edge) noteSuspension() {
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		e.count("NoBootClock")
		return
	}
	gap := e.suspended.gap(time.Duration(boot.Nano()), time.Since(e.started))
	if gap == 0 {
		return
	}
	e.gossip.Suspended(gap)
	e.log.Line("Suspended", F{"ForMS": gap.Milliseconds()})
}
