package bronzepool

import (
	"slices"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// DefaultImbalanceBound holds where a Policy has none.
const DefaultImbalanceBound = 1.10

// minSlack is how many flows over its fair share a server may always have,
// so that a service with few flows doesn't have exceptions only.
const minSlack = 1

// Candidates appends to dst up to n servers for the flow hash in rendezvous
// order over the whole pool, those that are leaving included: the order in
// which to look for an existing flow.
func (p *Pool) Candidates(hash uint64, n int, dst []bronzeflow.ServerID) []bronzeflow.ServerID {
	ids := p.ids.Load()
	if ids == nil || n <= 0 {
		return dst
	}
	start := len(dst)
	for _, id := range *ids {
		top := dst[start:]
		if len(top) == n && !before(hash, id, top[n-1]) {
			continue
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
// may have work whatever its load (but for hard limits), so that both sides
// of a partition choose alike. ok is false if no server may take it.
func (p *Pool) Choose(hash uint64, tried []bronzeflow.ServerID, plain bool) (id bronzeflow.ServerID, first, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	fair := p.fair(now)
	var top, plainBest, best *server
	for _, s := range p.servers {
		if top == nil || before(hash, s.id, top.id) {
			top = s
		}
		if slices.Contains(tried, s.id) || s.leaving(now) {
			continue
		}
		load := p.estimate(s, now)
		if s.connections > 0 && load >= float64(s.connections) {
			continue
		}
		if plainBest == nil || before(hash, s.id, plainBest.id) {
			plainBest = s
		}
		if now < s.retryAt {
			continue
		}
		if load+1 > p.limit(s, fair, now) {
			continue
		}
		if best == nil || before(hash, s.id, best.id) {
			best = s
		}
	}
	s := best
	if plain || s == nil {
		s = plainBest
	}
	if s == nil {
		return 0, false, false
	}
	return s.id, s == top, true
}

// fair returns the load that one unit of weight would have if all servers
// that may have work were loaded alike, the new flow included.
func (p *Pool) fair(now int64) float64 {
	var load, weight float64
	for _, s := range p.servers {
		if s.leaving(now) {
			continue
		}
		load += p.estimate(s, now)
		weight += p.weight(s, now)
	}
	if weight == 0 {
		return 0
	}
	return (load + 1) / weight
}

// weight returns the capacity of s against that of the others.
func (p *Pool) weight(s *server, now int64) float64 {
	w := s.ramp(now, p.policy.ColdStart)
	if s.connections > 0 {
		w *= float64(s.connections)
	}
	return w
}

// limit returns how many flows s may have before it is passed over.
func (p *Pool) limit(s *server, fair float64, now int64) float64 {
	bound := p.policy.ImbalanceBound
	if bound < 1 {
		bound = DefaultImbalanceBound
	}
	share := fair * p.weight(s, now)
	return max(share*bound, share+minSlack)
}
