package bronzepool

import (
	"slices"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// overflowChoices is how many candidates an exception is chosen from, by load.
// The least loaded of all would spread little better, and every owner would
// pick the same.
const overflowChoices = 5

// Candidates appends to dst up to n servers for the flow hash in rendezvous
// order over the whole pool, those that are leaving included: the order in
// which to look for an existing flow.
func (p *Pool) Candidates(hash uint64, n int, dst []bronzeflow.ServerID) []bronzeflow.ServerID {
	ids := p.ids.Load()
	if ids == nil || n <= 0 {
		return dst
	}
	start := len(dst)
	worst := uint64(0)
	for _, id := range *ids {
		top := dst[start:]
		if len(top) == n {
			if x := score(hash, id); x < worst || x == worst && id > top[n-1] {
				continue
			}
		}
		if len(top) < n {
			dst = append(dst, id)
			top = dst[start:]
		}
		i := len(top) - 1
		for ; i > 0 && before(hash, id, top[i-1]); i-- {
			top[i] = top[i-1]
		}
		top[i] = id
		worst = score(hash, top[len(top)-1])
	}
	return dst
}

// before reports whether a precedes b in the order for hash.
func before(hash uint64, a, b bronzeflow.ServerID) bool {
	x, y := score(hash, a), score(hash, b)
	return x > y || x == y && a < b
}

func score(hash uint64, id bronzeflow.ServerID) uint64 {
	return bronzeflow.Mix(hash, uint64(id))
}

// Choose picks the server for a new flow, never one of tried. first is true
// when it is the flow's first candidate in the order of Candidates, so that
// other nodes can derive it. With plain set it takes the first candidate that
// may have work whatever its load (but for hard limits and servers that are
// silent), so that both sides of a partition choose alike. ok is false if no
// server may take it.
func (p *Pool) Choose(hash uint64, tried []bronzeflow.ServerID, plain bool) (id bronzeflow.ServerID, first, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.weigh(now)
	top := p.top(hash)
	if top == nil {
		return 0, false, false
	}
	allowed := func(s *server) bool { return s.serving && !s.full() && !slices.Contains(tried, s.id) }
	s := p.pick(hash, top, allowed, plain, now)
	if s == nil {
		return 0, false, false
	}
	p.noteTrial(s, now)
	return s.id, s == top, true
}

// pick chooses among the servers that are allowed; top is the flow's first
// candidate.
func (p *Pool) pick(hash uint64, top *server, allowed func(*server) bool, plain bool, now int64) *server {
	if plain {
		return p.pickPlain(hash, allowed, now)
	}
	ready := func(s *server) bool { return now >= s.retryAt && !s.shut(now) && p.mayTry(s) && allowed(s) }
	if p.unshared {
		if s := p.first(hash, ready); s != nil {
			return s
		}
		return p.soonest(hash, allowed)
	}
	if p.fits(top) && ready(top) {
		return top
	}
	if s := p.overflow(hash, ready); s != nil {
		return s
	}
	// Every server that is ready is over its limit, or has had more than its
	// part of the recent flows. The order spreads as evenly as anything.
	if s := p.first(hash, ready); s != nil {
		return s
	}
	return p.soonest(hash, allowed)
}

// pickPlain returns the first server in the order that isn't known to be
// silent. Trying a silent one first would end at the same server, but only
// after its caller has waited, and across a partition most are silent.
func (p *Pool) pickPlain(hash uint64, allowed func(*server) bool, now int64) *server {
	answers := func(s *server) bool { return (!s.silent || now >= s.retryAt) && allowed(s) }
	if s := p.first(hash, answers); s != nil {
		return s
	}
	return p.first(hash, allowed)
}

// top returns the first server in the order for hash.
func (p *Pool) top(hash uint64) *server {
	ids := p.ids.Load()
	if ids == nil || len(*ids) == 0 {
		return nil
	}
	best, most := 0, uint64(0)
	for i, id := range *ids {
		x := score(hash, id)
		if x > most || x == most && id < (*ids)[best] {
			best, most = i, x
		}
	}
	return p.servers[best]
}

// first returns the first server in the order for hash that is accepted.
func (p *Pool) first(hash uint64, accept func(*server) bool) *server {
	var best *server
	for _, s := range p.servers {
		if accept(s) && (best == nil || before(hash, s.id, best.id)) {
			best = s
		}
	}
	return best
}

// overflow returns the least loaded of the first candidates that have room.
// A server that has much less load than the others, or is said to, would get
// every exception of every owner until the next share shows what they did;
// so none gets more than its part of what this node placed of late.
func (p *Pool) overflow(hash uint64, ready func(*server) bool) *server {
	var order [overflowChoices]*server
	n := 0
	for _, s := range p.servers {
		if !p.fits(s) || p.crowded(s) || !ready(s) {
			continue
		}
		if n < len(order) {
			n++
		} else if !before(hash, s.id, order[n-1].id) {
			continue
		}
		i := n - 1
		for ; i > 0 && before(hash, s.id, order[i-1].id); i-- {
			order[i] = order[i-1]
		}
		order[i] = s
	}
	var best *server
	for _, s := range order[:n] {
		if best == nil || p.pressure(s)*best.weight < p.pressure(best)*s.weight {
			best = s
		}
	}
	return best
}

// pressure returns the load of s as exceptions see it: in the own zone one
// flow less, so that of servers that are loaded alike the near one is taken.
// The bound holds all the same, so nearness costs no fairness, and a zone
// whose servers are full is left one flow at a time, and come back to so.
func (p *Pool) pressure(s *server) float64 {
	if p.AvailabilityZone != "" && s.zone == p.AvailabilityZone {
		return s.load - 1
	}
	return s.load
}

// soonest returns the allowed server whose back-off ends first. The back-off
// is a guess of ours, no reason to refuse a flow that some server might take.
func (p *Pool) soonest(hash uint64, allowed func(*server) bool) *server {
	var best *server
	for _, s := range p.servers {
		if !allowed(s) {
			continue
		}
		if best == nil || s.retryAt < best.retryAt || s.retryAt == best.retryAt && before(hash, s.id, best.id) {
			best = s
		}
	}
	return best
}
