package bronzesteer

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

// events is a queue of simulation steps, ordered by time.
type events []event

type event struct {
	at time.Time
	do func()
}

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation is a site with a queue of simulation steps.
type simulation struct {
	*site
	events events
	rnd    *rand.Rand
}

func newSimulation(s *site) simulation {
	return simulation{site: s, rnd: rand.New(rand.NewPCG(5, 6))}
}

func (s *simulation) after(d time.Duration, do func()) {
	heap.Push(&s.events, event{s.now.Add(d), do})
}

// finish simulates until nothing is left to do.
func (s *simulation) finish() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

// firstFree returns the slot that is free first, and from when.
func (s *simulation) firstFree(slots []time.Time) (first int, start time.Time) {
	for i := range slots {
		if slots[i].Before(slots[first]) {
			first = i
		}
	}
	if slots[first].Before(s.now) {
		return first, s.now
	}
	return first, slots[first]
}

// queueSite is a site whose servers process two requests at a time and queue eight. Callers
// open a flow for each request, with up to two more tries if they are refused or the queue
// is full.
type queueSite struct {
	simulation
	// slots holds until when each slot of each server is in use.
	slots map[string][]time.Time

	requests, inTime, late, failed int
}

const (
	simWork      = 30 * time.Millisecond
	simObjective = 100 * time.Millisecond
	simQueue     = 8
	simTries     = 3
)

// newQueueSite returns a site with perZone servers in each of two zones.
func newQueueSite(t *testing.T, perZone int) *queueSite {
	q := &queueSite{simulation: newSimulation(newSite(t, perZone, perZone)), slots: map[string][]time.Time{}}
	q.node.Random = q.rnd.IntN
	pools := []bronzeroute.WeightedPool{{Pool: "live", Weight: 1}}
	q.directory.SetTable(&bronzeroute.Table{Version: 2, Routes: []bronzeroute.Route{
		{Name: "live", Service: live, Pools: pools, Idempotent: true, Objective: simObjective},
		{Name: "outline", Service: outline, Pools: pools, Objective: simObjective},
	}}, q.now)
	q.node.SetView(q.directory.View())
	for _, s := range q.node.View().Servers {
		q.slots[s.Instance] = make([]time.Time, s.Slots)
	}
	return q
}

// run simulates callers arriving at the given rate for d, until all have been served or
// have failed.
func (q *queueSite) run(service netip.AddrPort, perSecond float64, d time.Duration) {
	gap := time.Duration(float64(time.Second) / perSecond)
	for at := time.Duration(0); at < d; at += gap {
		q.after(at+time.Duration(q.rnd.Int64N(int64(gap))), func() {
			q.requests++
			q.try(service, q.now, simTries)
		})
	}
	for sweep := time.Duration(0); sweep < d; sweep += 100 * time.Millisecond {
		q.after(sweep, func() { q.node.Sweep(q.now) })
	}
	q.finish()
}

// try is one attempt of a caller whose request began at since.
func (q *queueSite) try(service netip.AddrPort, since time.Time, tries int) {
	if tries == 0 {
		q.failed++
		return
	}
	c, d := q.open(service)
	if d.Kind != Forward {
		q.after(time.Millisecond, func() { q.try(service, since, tries-1) })
		return
	}
	c.accept()
	c.request()
	slots := q.slots[c.server.Instance]
	first, start := q.firstFree(slots)
	// With eight requests queued, a slot is free after four rounds of work.
	if start.Sub(q.now) > simQueue/2*simWork {
		q.after(time.Millisecond, func() { q.try(service, since, tries-1) })
		return
	}
	work := simWork/2 + time.Duration(q.rnd.Int64N(int64(simWork)))
	slots[first] = start.Add(work)
	q.after(slots[first].Sub(q.now), func() {
		c.acknowledge()
		if q.now.Sub(since) <= simObjective {
			q.inTime++
		} else {
			q.late++
		}
	})
}

// Three times the usual callers arrive, a third more than the capacity. With all queues
// full, nearly all requests would be served late. Enough must be refused for most of the
// others to be served in time.
func TestOverloadGoodput(t *testing.T) {
	q := newQueueSite(t, 3)
	const capacity = 6 * 2 * float64(time.Second/simWork)
	q.run(live, 1.3*capacity, 8*time.Second)
	require.Equal(t, q.requests, q.inTime+q.late+q.failed)
	require.Greater(t, float64(q.inTime)/float64(q.requests), 0.75, "at most 1/1.3 is possible")
	require.Less(t, float64(q.late)/float64(q.requests), 0.02)
}

// The same with a pool so large that openings use a sample of the servers and a summary of
// the pool. An outdated summary would alternate between letting all callers in and refusing
// all.
func TestOverloadGoodputLargePool(t *testing.T) {
	const perZone = 30
	require.Greater(t, 2*perZone, maxFullScan)
	q := newQueueSite(t, perZone)
	const capacity = 2 * perZone * 2 * float64(time.Second/simWork)
	q.run(live, 1.3*capacity, 4*time.Second)
	require.Greater(t, float64(q.inTime)/float64(q.requests), 0.75, "at most 1/1.3 is possible")
	require.Less(t, float64(q.late)/float64(q.requests), 0.02)
}

// At half as many callers again as usual there are free slots, and none is refused.
func TestNoSheddingBelowCapacity(t *testing.T) {
	q := newQueueSite(t, 3)
	const capacity = 6 * 2 * float64(time.Second/simWork)
	q.run(live, 0.7*capacity, 8*time.Second)
	require.Zero(t, q.failed)
	require.Greater(t, float64(q.inTime)/float64(q.requests), 0.99)
}

// The pool's other endpoint has one caller per second, which doesn't cause the overload and
// must not be refused.
func TestNoSheddingForQuietEndpoint(t *testing.T) {
	q := newQueueSite(t, 3)
	for i := range 8 {
		q.after(time.Duration(i)*time.Second, func() {
			_, d := q.open(outline)
			require.Equal(t, Forward, d.Kind)
		})
	}
	const capacity = 6 * 2 * float64(time.Second/simWork)
	q.run(live, 1.3*capacity, 8*time.Second)
	require.NotZero(t, q.failed)
}
