package bronzesteer

import (
	"sync"
	"time"
)

// localHealth tells whether the node's own findings can be trusted. They can't while its
// link or processor is overloaded, or after it was paused: packets are then delayed in both
// directions, and healthy servers seem silent. An upload of 80 KB takes a node with 10
// Mbit/s 65 ms, enough to end idle flows at a server that answered other nodes. All methods
// may be called concurrently.
type localHealth struct {
	mu sync.Mutex
	// falseSuspicions holds the times of the latest answers that refuted a finding made
	// just before.
	falseSuspicions [falseSuspicionLimit]time.Duration
	// delayedUntil is until when packets are assumed to be delayed here. suspendedUntil is
	// when the node has observed enough again after a pause.
	delayedUntil   time.Duration
	suspendedUntil time.Duration
}

const (
	// falseSuspicionLimit false suspicions within unhealthyTime make the node unhealthy; a
	// single one may come from a lost packet, of which there may be one in forty at times.
	// A server that answers within maxAnswerDelay was only late: one that has crashed is
	// back only after seconds.
	falseSuspicionLimit = 2
	unhealthyTime       = 2 * time.Second
	maxAnswerDelay      = 800 * time.Millisecond
)

// isHealthy reports whether the node's findings are to be trusted.
func (f *localHealth) isHealthy(at time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	oldest := f.falseSuspicions[0]
	return (oldest == 0 || at-oldest >= unhealthyTime) && at >= f.delayedUntil && at >= f.suspendedUntil
}

// recordFalseSuspicion records that a server has answered that was just found silent.
func (f *localHealth) recordFalseSuspicion(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	copy(f.falseSuspicions[:], f.falseSuspicions[1:])
	f.falseSuspicions[falseSuspicionLimit-1] = at
}

// recordDelay records that packets have been delayed in this node.
func (f *localHealth) recordDelay(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delayedUntil = at + unhealthyTime
}

// suspend suspends failure detection for settleTime.
func (f *localHealth) suspend(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspendedUntil = at + settleTime
}

// validFrom returns since when the node's findings count.
func (f *localHealth) validFrom() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.suspendedUntil
}
