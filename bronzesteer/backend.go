package bronzesteer

import (
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

const (
	// openingWeight and dataWeight are what an unanswered opening and
	// unanswered data count for; a server is avoided from avoidAt on. A server
	// accepts openings at once, whatever its load, so one is enough. Data that
	// is repeated may only wait for a slow answer.
	openingWeight = 2
	dataWeight    = 1
	avoidAt       = 2
	// avoidFirst is for how long a server is avoided at first, and avoidMost
	// after it left the flows that tried it again unanswered, too.
	avoidFirst = 1500 * time.Millisecond
	avoidMost  = 6 * time.Second
	// latencyPart is the weight of one observation in the average latency.
	latencyPart = 0.1
)

// backend is what this node has seen of one start of a server. Times are
// distances from the Steerer's start.
type backend struct {
	instance string
	zone     string

	mu sync.Mutex
	// opening, flows and work count this node's openings without an answer,
	// open flows, and requests that are worked on.
	opening int
	flows   int
	work    int
	// goodAt is when it was last seen to answer.
	goodAt time.Duration
	// silent is the weight of what it left unanswered since.
	silent     int
	unanswered int
	avoidUntil time.Duration
	avoidFor   time.Duration
	// latency is the average time to the first part of an answer.
	latency time.Duration
}

// backend returns the entry of a server.
func (s *Steerer) backend(server *bronzeroute.Server) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backends[server.Instance]
	if b == nil {
		b = &backend{instance: server.Instance, zone: server.AvailabilityZone}
		s.backends[server.Instance] = b
	}
	return b
}

// forget drops the entries of servers that no longer are in the view. Flows
// that still point at one keep it alive.
func (s *Steerer) forget(v *bronzeroute.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.backends {
		if v.ByName(name) == nil {
			delete(s.backends, name)
		}
	}
}

func (b *backend) addOpening(n int) {
	b.mu.Lock()
	b.opening += n
	b.mu.Unlock()
}

func (b *backend) addFlows(n int) {
	b.mu.Lock()
	b.flows += n
	b.mu.Unlock()
}

func (b *backend) addWork(n int) {
	b.mu.Lock()
	b.work += n
	b.mu.Unlock()
}

// observe takes in one time from a request to its answer.
func (b *backend) observe(took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.latency == 0 {
		b.latency = took
		return
	}
	b.latency += time.Duration(latencyPart * float64(took-b.latency))
}

// answeredSince reports whether the server was seen to answer after at.
func (b *backend) answeredSince(at time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.goodAt > at
}

// good notes that the server answers.
func (s *Steerer) good(b *backend, at time.Duration) {
	b.mu.Lock()
	avoided := at < b.avoidUntil
	silence := at - b.goodAt
	b.goodAt = at
	b.silent, b.unanswered = 0, 0
	b.avoidUntil, b.avoidFor = 0, 0
	b.mu.Unlock()
	if avoided {
		s.event(Event{Kind: Cleared, Instance: b.instance, AvailabilityZone: b.zone, Silence: silence})
	}
}

// unanswered notes that what was sent to the server at sent has no answer
// at at. It counts only if nobody else was answered meanwhile: then the server
// or the way to it is silent, and not just one packet lost.
func (s *Steerer) unanswered(b *backend, sent, at time.Duration, weight int) {
	b.mu.Lock()
	if b.goodAt > sent {
		b.mu.Unlock()
		return
	}
	b.silent += weight
	b.unanswered++
	if b.silent < avoidAt || at < b.avoidUntil {
		b.mu.Unlock()
		return
	}
	b.avoidFor = min(max(2*b.avoidFor, avoidFirst), avoidMost)
	b.avoidUntil = at + b.avoidFor
	e := Event{
		Kind: Avoided, Instance: b.instance, AvailabilityZone: b.zone,
		Unanswered: b.unanswered, Silence: at - b.goodAt, For: b.avoidFor,
	}
	b.mu.Unlock()
	s.event(e)
}

func (s *Steerer) event(e Event) {
	if s.OnEvent != nil {
		s.OnEvent(e)
	}
}
