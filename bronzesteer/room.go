package bronzesteer

import (
	"slices"
	"time"

	"bronzeusher.example/bronzeusher/bronzeadmit"
	"bronzeusher.example/bronzeusher/bronzeroom"
	"bronzeusher.example/bronzeusher/bronzeroute"
)

const (
	// busyWaiting is the number of requests waiting per slot from which a pool is busy. Below,
	// hardly any request waits for another, and exchanged rates tell the servers apart better
	// than the few requests that a node has in flight.
	busyWaiting = 0.25
	// maxWaitAge is how long a request counts as waiting at most. After that its server hangs.
	// One that its caller hasn't retransmitted by maxRetransmitDelay was answered, or given up.
	maxWaitAge = time.Second
)

// poolLoad returns the load of the pool of a choice, for a route. What waits counts as far as
// answer times in the zone of the choice confirm it. It is zero for a route without an objective
// in a pool without different priorities. If callers don't acknowledge answers when they receive
// them, nothing shows what waits, and the load is the time that the requests in flight will take,
// relative to the objective.
func (s *Steerer) poolLoad(route *bronzeroute.Route, c choice, at time.Duration) (l bronzeadmit.Load) {
	ps := c.backend.stats
	usual := ps.serviceTime()
	if usual <= 0 || !ps.isControlled(route) {
		return l
	}
	if !ps.acksPromptly() && route.Objective > 0 {
		return bronzeadmit.Load{Waiting: c.sum.inFlight.perSlot(), Limit: float64(route.Objective) / float64(usual)}
	}
	return bronzeadmit.Load{
		Waiting: s.waiting(ps, usual, c.sum.inFlight.slots, at) * c.backend.slowness.delayed(at),
		Limit:   ps.room.Limit(bronzeroom.Bounds{Usual: usual, Objective: route.Objective, At: at}),
		Ceiling: float64(route.Objective) / float64(usual),
	}
}

// isControlled reports whether the configuration asks for overload control: the route has an
// objective, or routes with different priorities share the pool.
func (ps *poolStats) isControlled(route *bronzeroute.Route) bool {
	return route.Objective > 0 || ps.competes.Load()
}

// waiting returns the number of requests that wait per slot, of all nodes.
func (s *Steerer) waiting(ps *poolStats, usual time.Duration, slots float64, at time.Duration) float64 {
	w := 0.0
	if own := ps.gauge.Waiting(usual, at); own > 0 && slots > 0 {
		w = own * s.fleetRatio(ps, at) / slots
	}
	ps.lastWaiting.Store(w)
	return w
}

// isBusy reports whether requests wait in a pool, or its servers have so much to do that they
// soon will.
func (s *Steerer) isBusy(ps *poolStats, sum summary, at time.Duration) bool {
	if sum.region.slots > 0 && sum.region.used/sum.region.slots > idleUtilization {
		return true
	}
	return s.waiting(ps, ps.serviceTime(), sum.inFlight.slots, at) > busyWaiting
}

// countWaiting counts a request that is sent to the server, unless it is avoided: what is left
// unanswered by a server that has failed doesn't wait for a slot.
func (f *flow) countWaiting(at time.Duration) {
	f.uncountWaiting(at)
	b := f.backend
	b.mu.Lock()
	defer b.mu.Unlock()
	if at < b.avoidUntil {
		return
	}
	b.waitingCount++
	f.waitingEpoch = b.waitingEpoch + 1
	b.stats.gauge.Begin(at)
}

// uncountWaiting ends the count of the flow's request.
func (f *flow) uncountWaiting(at time.Duration) {
	if f.waitingEpoch == 0 {
		return
	}
	b := f.backend
	b.mu.Lock()
	defer b.mu.Unlock()
	if f.waitingEpoch == b.waitingEpoch+1 {
		b.waitingCount--
		b.stats.gauge.Finish(at)
	}
	f.waitingEpoch = 0
}

// discountWaiting ends the count of all requests at the server, which begins to be avoided. The
// caller holds the lock.
func (b *backend) discountWaiting(at time.Duration) {
	for range b.waitingCount {
		b.stats.gauge.Finish(at)
	}
	b.waitingCount = 0
	b.waitingEpoch++
}

// observeAnswer learns from an answer of n bytes what the server and its pool have room for.
// It reports whether the answer looks like a rejection.
func (b *backend) observeAnswer(n int, at time.Duration) (rejected bool) {
	w := b.stats.lastWaiting.Load()
	rejected = b.stats.room.Observe(bronzeroom.Answer{At: at, Bytes: n, Waiting: w})
	b.room.Observe(rejected, at)
	if rejected {
		b.stats.rejected.Add(1)
	}
	return rejected
}

// setAdmission sets the priorities that compete in each pool, and what operators have ordered.
func (s *Steerer) setAdmission(v *bronzeroute.View, rules *Rules) {
	levels := make(map[string][]int)
	for i := range v.Table.Routes {
		route := &v.Table.Routes[i]
		for _, weighted := range route.Pools {
			if weighted.Weight > 0 {
				levels[weighted.Pool] = append(levels[weighted.Pool], rules.Priority(route))
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for pool, ps := range s.poolStats {
		list := levels[pool]
		ps.competes.Store(len(list) > 0 && slices.Min(list) != slices.Max(list))
		ps.admit.SetLevels(list)
		ps.admit.SetRules(rules.Pool(pool))
	}
}
