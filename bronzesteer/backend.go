package bronzesteer

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

const (
	// latencyPart is the least weight of one observation in the average latency, and
	// latencyOver the time after which what was observed before has lost most of its own.
	// Of many nodes each sees an answer of a server every few seconds: with the least
	// weight alone they would learn too late that it has become slow.
	latencyPart = 0.1
	latencyOver = time.Second
	// refusedIn is the part of the usual time below which an answer counts as refusedAs
	// times as long as usual. Servers that fail everything, or whose queue is full, answer
	// in a tenth of the time, and would look like the quickest and idlest of their pool.
	// Where all servers give some quick answers, none stands out by them. Where
	// servers are busy anyway (freeUse), a full queue is no fault of theirs: to keep callers
	// away from each that refuses would fill the others, one after the other.
	refusedIn = 4
	refusedAs = 5
	// forgiveFor is in what time a server that counts as slow loses most of that without a
	// new observation: while nobody is sent there, nothing shows that it is well again.
	forgiveFor = 4 * time.Second
	// rateOver is the time that a request rate is averaged over.
	rateOver = 2 * time.Second
	// latencyUnknown stands for the latency of servers that none was observed
	// of. It only scales the load of all alike.
	latencyUnknown = 30 * time.Millisecond
)

// backend is what this node has seen of one start of a server. Times are
// distances from the Steerer's start.
type backend struct {
	instance string
	zoneName string
	zone     *zone
	service  *service
	slots    int
	// short stands for the server between nodes.
	short uint32
	// born is when the server started, the zero time if it doesn't tell, and next
	// what is seen of its next start once there is one.
	born time.Time
	next atomic.Pointer[backend]

	mu sync.Mutex
	// opening, flows and work count this node's openings without an answer,
	// open flows, and requests that are worked on.
	opening int
	flows   int
	work    int
	// goodAt is when it was last seen to answer.
	goodAt time.Duration
	// silent is the weight of what it left unanswered since.
	silent int
	// unanswered is how many flows it left unanswered since, openings how many of them
	// weren't open.
	unanswered int
	openings   int
	// silentSince is when the first of that was sent, silentAt when the last
	// was found unanswered.
	silentSince time.Duration
	silentAt    time.Duration
	avoidUntil  time.Duration
	avoidFor    time.Duration
	// found is what other nodes have found of it, by node, and othersGoodAt when it last
	// answered one of them as far as they tell. suspectedAt is since when this node knows
	// that anybody found it silent, refutedAt when that was last contradicted.
	found        map[uint32]finding
	othersGoodAt time.Duration
	suspectedAt  time.Duration
	// told says that nodes have told each other lately that it doesn't answer, and
	// disputedAt is when an answer last contradicted one of them.
	told       bool
	refutedAt  time.Duration
	disputedAt time.Duration
	// latency is the average time to the first part of an answer, observedAt when one was
	// last seen.
	latency    time.Duration
	observedAt time.Duration
	warmup     warmup
	// rate is the average of the requests that this node sends to it, and
	// others that of the other nodes as far as they tell, in requests a second.
	rate   float64
	others float64
	// othersLatency is the average latency that the other nodes tell of, 0 if none does.
	othersLatency time.Duration
}

// newBackend returns the entry of a server that is new.
func (s *Steerer) newBackend(server *bronzeroute.Server) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &backend{
		instance: server.Instance, zoneName: server.AvailabilityZone,
		zone: s.zone(server.AvailabilityZone), service: s.service(server.Pool), slots: server.Slots,
		short: shortID(server), born: server.Born,
	}
}

// service returns what is known of a pool's servers together; the caller holds
// the lock.
func (s *Steerer) service(pool string) *service {
	t := s.services[pool]
	if t == nil {
		t = &service{}
		s.services[pool] = t
	}
	return t
}

// forget drops what is known of endpoints and pools that are no more.
func (s *Steerer) forget(k *known) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetFree(k.view)
	s.forgetAccounts(k.view)
	for pool := range s.services {
		if k.pools[pool] == nil {
			delete(s.services, pool)
		}
	}
}

func (b *backend) addOpening(n int) {
	b.service.work.Add(int64(n))
	b.mu.Lock()
	b.opening += n
	b.mu.Unlock()
}

func (b *backend) addFlows(n int) {
	b.mu.Lock()
	b.flows += n
	b.mu.Unlock()
}

// begin notes that a request is sent to the server.
func (b *backend) begin() {
	b.service.work.Add(1)
	b.mu.Lock()
	b.work++
	b.rate += float64(time.Second) / float64(rateOver)
	b.mu.Unlock()
}

// finish notes that a request needs the server no longer.
func (b *backend) finish() {
	b.service.work.Add(-1)
	b.mu.Lock()
	b.work--
	b.mu.Unlock()
}

// workFor returns how long a request counts as being worked on without a sign
// of its answer. Some callers acknowledge an answer of one packet only with their
// next request, so that much more than the usual latency may say that the answer was
// short; a caller without an answer repeats itself after 200 ms.
func (b *backend) workFor() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.latency == 0 {
		return workMost
	}
	return min(max(3*b.latency, workLeast), workMost)
}

// fleetLatency returns the average latency that all nodes see, 0 if none does; the caller
// holds the lock. A node that sends a server one request in five seconds would find out
// alone only after half a minute that it has become slow.
func (b *backend) fleetLatency() time.Duration {
	switch {
	case b.othersLatency == 0:
		return b.latency
	case b.latency == 0:
		return b.othersLatency
	}
	own := b.rate / (b.rate + b.others)
	return time.Duration(own*float64(b.latency) + (1-own)*float64(b.othersLatency))
}

// forgive brings the latency of a server that counts as slow nearer to the usual one, for
// the time that has passed; the caller holds the lock.
func (b *backend) forgive(passed time.Duration) {
	usual := time.Duration(b.service.usual.Load())
	if usual == 0 || b.latency <= usual {
		return
	}
	b.latency = usual + time.Duration(float64(b.latency-usual)*math.Exp(-float64(passed)/float64(forgiveFor)))
}

// use returns what part of the server's slots is in use if its requests take so long; the
// caller holds the lock.
func (b *backend) use(latency time.Duration) float64 {
	return (b.rate + b.others) * latency.Seconds() / float64(max(b.slots, 1))
}

// observe takes in one time from a request to its answer.
func (b *backend) observe(took, at time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.latency == 0 {
		b.latency, b.observedAt = took, at
	}
	if b.use(b.latency) < freeUse {
		b.service.observe(took)
	}
	if usual := time.Duration(b.service.usual.Load()); took < usual/refusedIn && b.use(usual) < freeUse {
		took = refusedAs * usual
	}
	b.average(took, at)
}

// observeOverdue takes in that a request has been without an answer for so long. It says
// nothing of what the work itself takes.
func (b *backend) observeOverdue(age, at time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if age > b.latency {
		b.average(age, at)
	}
}

// average brings the latency up to date by one time; the caller holds the lock.
func (b *backend) average(took, at time.Duration) {
	part := max(latencyPart, 1-math.Exp(-float64(at-b.observedAt)/float64(latencyOver)))
	b.latency += time.Duration(part * float64(took-b.latency))
	b.observedAt = at
}
