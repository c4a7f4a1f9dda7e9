package bronzesteer

import (
	"sync"
	"time"
)

// localHealth tells whether the node's own findings can be trusted. They can't while its
// link or processor is overloaded, or after it was paused: packets are then delayed in both
// directions, and healthy servers seem silent. Without this check, a node with 10 Mbit/s,
// which takes 65 ms for each upload of 80 KB, ends idle flows at servers that answer other
// nodes. All methods may be called concurrently.
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
func (h *localHealth) isHealthy(at time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	oldest := h.falseSuspicions[0]
	return (oldest == 0 || at-oldest >= unhealthyTime) && at >= h.delayedUntil && at >= h.suspendedUntil
}

// recordFalseSuspicion records that a server has answered that was just found silent.
func (h *localHealth) recordFalseSuspicion(at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	copy(h.falseSuspicions[:], h.falseSuspicions[1:])
	h.falseSuspicions[falseSuspicionLimit-1] = at
}

// recordDelay records that packets have been delayed in this node.
func (h *localHealth) recordDelay(at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delayedUntil = at + unhealthyTime
}

// suspend suspends failure detection for settleTime.
func (h *localHealth) suspend(at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspendedUntil = at + settleTime
}

// validFrom returns since when the node's findings count.
func (h *localHealth) validFrom() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.suspendedUntil
}
