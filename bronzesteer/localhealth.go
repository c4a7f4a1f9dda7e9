package bronzesteer

import (
	"sync"
	"time"
)

// fitness tells whether a node can judge servers: it can't while its link or its
// processor has too much to do, nor after it stood still. What is sent through it is then
// late both ways, and servers that are well seem silent until their answers come. A node
// with 10 Mbit/s takes 65 ms for each upload of 80 KB: it reset callers' idle flows at a
// server that other nodes had answers from. All methods may be called concurrently.
type localHealth struct {
	mu sync.Mutex
	// wrong is when the last servers answered that had been found silent just before.
	falseSuspicions [falseSuspicionLimit]time.Duration
	// lateUntil is until when packets count as having waited here, and restedAt when the
	// node has seen enough again after it stood still.
	delayedUntil   time.Duration
	suspendedUntil time.Duration
}

const (
	// wrongMost is how many servers may have been found silent wrongly in wrongFor, and
	// wrongBy how soon their answers come that are only late. One packet in forty may be
	// lost now and then, and servers that have crashed are back after seconds.
	falseSuspicionLimit = 2
	unhealthyTime       = 2 * time.Second
	maxAnswerDelay      = 800 * time.Millisecond
)

// isFit reports whether the node's findings are to be believed.
func (f *localHealth) isHealthy(at time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	oldest := f.falseSuspicions[0]
	return (oldest == 0 || at-oldest >= unhealthyTime) && at >= f.delayedUntil && at >= f.suspendedUntil
}

// wasWrong notes that a server has answered that was found silent.
func (f *localHealth) recordFalseSuspicion(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	copy(f.falseSuspicions[:], f.falseSuspicions[1:])
	f.falseSuspicions[falseSuspicionLimit-1] = at
}

// wasLate notes that packets have waited in this node.
func (f *localHealth) recordDelay(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delayedUntil = at + unhealthyTime
}

// rest has the node judge nothing until it has run for settling.
func (f *localHealth) suspend(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspendedUntil = at + settleTime
}

// from returns since when what the node finds counts.
func (f *localHealth) validFrom() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.suspendedUntil
}
