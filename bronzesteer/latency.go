package bronzesteer

import (
	"math"
	"time"
)

const (
	// minLatencyWeight is the least weight of one sample in the average latency, and
	// latencyTimeConstant the time after which earlier samples have lost most of their
	// weight. In a large fleet, a node sees an answer of a server only every few seconds:
	// with the least weight alone it would learn too late that the server has become slow.
	minLatencyWeight    = 0.1
	latencyTimeConstant = time.Second
	// An answer that takes less than 1/fastFailureRatio of the usual time counts as
	// fastFailurePenalty times the usual time. Servers that fail every request, or whose
	// queue is full, answer in a tenth of the time and would look like the fastest and
	// least loaded of their pool. Where all servers give some quick answers, none stands
	// out. Where servers are busy anyway (unqueuedUtilization), a full queue isn't the
	// server's fault: avoiding each one that refuses would fill the others in turn.
	fastFailureRatio   = 4
	fastFailurePenalty = 5
	// latencyDecayTime is the time constant with which a slow server's latency returns to
	// the usual one without new samples: while it gets no flows, nothing would show its
	// recovery.
	latencyDecayTime = 4 * time.Second
	// defaultLatency is used while no latency in the pool is known. It scales all loads
	// alike.
	defaultLatency = 30 * time.Millisecond
)

// latencyStats is how long a server takes to answer.
type latencyStats struct {
	// latency is the average time to the first part of an answer, observedAt the time of
	// the last sample.
	latency    time.Duration
	observedAt time.Duration
	// peerLatency is the average latency that peers report, 0 if none does.
	peerLatency time.Duration
}

// requestTimeout returns how long a request counts as in flight without a sign of its
// answer. Some callers acknowledge a single-packet answer only with their next request, so
// that after a multiple of the usual latency the answer has probably been received; a
// caller without an answer retransmits its request after 200 ms.
func (b *backend) requestTimeout() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.latency == 0 {
		return maxRequestTimeout
	}
	return min(max(3*b.latency, minRequestTimeout), maxRequestTimeout)
}

// fleetLatency returns the average latency seen by all nodes, 0 if unknown. The caller
// holds the lock. A node that sends a server one request in five seconds would alone take
// half a minute to notice that it has become slow.
func (b *backend) fleetLatency() time.Duration {
	switch {
	case b.peerLatency == 0:
		return b.latency
	case b.latency == 0:
		return b.peerLatency
	}
	own := b.rate / (b.rate + b.peerRate)
	return time.Duration(own*float64(b.latency) + (1-own)*float64(b.peerLatency))
}

// decayLatency moves the latency of a slow server towards the usual one, by the time that
// has passed. The caller holds the lock.
func (b *backend) decayLatency(passed time.Duration) {
	usual := time.Duration(b.stats.medianLatency.Load())
	if usual == 0 || b.latency <= usual {
		return
	}
	b.latency = usual + time.Duration(float64(b.latency-usual)*math.Exp(-float64(passed)/float64(latencyDecayTime)))
}

// observeLatency records the time from a request to its answer.
func (b *backend) observeLatency(took, at time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.latency == 0 {
		b.latency, b.observedAt = took, at
	}
	if usual := time.Duration(b.stats.medianLatency.Load()); took < usual/fastFailureRatio && b.utilization(usual) < unqueuedUtilization {
		took = fastFailurePenalty * usual
	}
	b.updateLatency(took, at)
}

// observeOverdue records that a request has been unanswered for age. It doesn't affect the
// service time.
func (b *backend) observeOverdue(age, at time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if age > b.latency {
		b.updateLatency(age, at)
	}
}

// updateLatency updates the average latency by one sample.
func (l *latencyStats) updateLatency(took, at time.Duration) {
	weight := max(minLatencyWeight, 1-math.Exp(-float64(at-l.observedAt)/float64(latencyTimeConstant)))
	l.latency += time.Duration(weight * float64(took-l.latency))
	l.observedAt = at
}
