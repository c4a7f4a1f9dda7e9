package bronzesteer

import (
	"math"
	"time"
)

const (
	// latencyPart is the least weight of one observation in the average latency, and
	// latencyOver the time after which what was observed before has lost most of its own.
	// Of many nodes each sees an answer of a server every few seconds: with the least
	// weight alone they would learn too late that it has become slow.
	minLatencyWeight    = 0.1
	latencyTimeConstant = time.Second
	// refusedIn is the part of the usual time below which an answer counts as refusedAs
	// times as long as usual. Servers that fail everything, or whose queue is full, answer
	// in a tenth of the time, and would look like the quickest and idlest of their pool.
	// Where all servers give some quick answers, none stands out by them. Where
	// servers are busy anyway (freeUse), a full queue is no fault of theirs: to keep callers
	// away from each that refuses would fill the others, one after the other.
	fastFailureRatio   = 4
	fastFailurePenalty = 5
	// forgiveFor is in what time a server that counts as slow loses most of that without a
	// new observation: while nobody is sent there, nothing shows that it is well again.
	latencyDecayTime = 4 * time.Second
	// latencyUnknown stands for the latency of servers that none was observed
	// of. It only scales the load of all alike.
	defaultLatency = 30 * time.Millisecond
)

// responseTime is how long a server takes to answer.
type latencyStats struct {
	// latency is the average time to the first part of an answer, observedAt when one was
	// last seen.
	latency    time.Duration
	observedAt time.Duration
	// othersLatency is the average latency that the other nodes tell of, 0 if none does.
	peerLatency time.Duration
}

// workFor returns how long a request counts as being worked on without a sign
// of its answer. Some callers acknowledge an answer of one packet only with their
// next request, so that much more than the usual latency may say that the answer was
// short; a caller without an answer repeats itself after 200 ms.
func (b *backend) requestTimeout() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.latency == 0 {
		return maxRequestTimeout
	}
	return min(max(3*b.latency, minRequestTimeout), maxRequestTimeout)
}

// fleetLatency returns the average latency that all nodes see, 0 if none does; the caller
// holds the lock. A node that sends a server one request in five seconds would find out
// alone only after half a minute that it has become slow.
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

// forgive brings the latency of a server that counts as slow nearer to the usual one, for
// the time that has passed; the caller holds the lock.
func (b *backend) decayLatency(passed time.Duration) {
	usual := time.Duration(b.stats.medianLatency.Load())
	if usual == 0 || b.latency <= usual {
		return
	}
	b.latency = usual + time.Duration(float64(b.latency-usual)*math.Exp(-float64(passed)/float64(latencyDecayTime)))
}

// observe takes in one time from a request to its answer.
func (b *backend) observeLatency(took, at time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.latency == 0 {
		b.latency, b.observedAt = took, at
	}
	if b.utilization(b.latency) < unqueuedUtilization {
		b.stats.observe(took)
	}
	if usual := time.Duration(b.stats.medianLatency.Load()); took < usual/fastFailureRatio && b.utilization(usual) < unqueuedUtilization {
		took = fastFailurePenalty * usual
	}
	b.updateLatency(took, at)
}

// observeOverdue takes in that a request has been without an answer for so long. It says
// nothing of what the work itself takes.
func (b *backend) observeOverdue(age, at time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if age > b.latency {
		b.updateLatency(age, at)
	}
}

// average brings the latency up to date by one time.
func (r *latencyStats) updateLatency(took, at time.Duration) {
	part := max(minLatencyWeight, 1-math.Exp(-float64(at-r.observedAt)/float64(latencyTimeConstant)))
	r.latency += time.Duration(part * float64(took-r.latency))
	r.observedAt = at
}
