package bronzepool

import (
	"slices"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// exceptionChoices is the number of candidates among which the least loaded is
// chosen when a flow can't go to its first candidate. The least loaded of all
// servers would spread little better, and every owner would pick the same one.
const exceptionChoices = 5

// Candidates appends to dst the first n servers in rendezvous order for the
// flow hash, or fewer if the pool is smaller. Servers that are leaving are
// included: this is the order in which to look for an existing flow.
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
		for ; i > 0 && precedes(hash, id, top[i-1]); i-- {
			top[i] = top[i-1]
		}
		top[i] = id
		worst = score(hash, top[len(top)-1])
	}
	return dst
}

// precedes reports whether a comes before b in the order for hash.
func precedes(hash uint64, a, b bronzeflow.ServerID) bool {
	x, y := score(hash, a), score(hash, b)
	return x > y || x == y && a < b
}

func score(hash uint64, id bronzeflow.ServerID) uint64 {
	return bronzeflow.Mix(hash, uint64(id))
}

// Choose picks the server for a new flow, never one of tried. first is true if
// it is the flow's first candidate in the order of Candidates, so that other
// nodes can derive it. With ignoreLoad set it picks the first available
// candidate whatever its load, except that hard limits hold and servers that
// time out come last, so that both sides of a partition make the same
// choice. ok is false if no server may take the flow.
func (p *Pool) Choose(hash uint64, tried []bronzeflow.ServerID, ignoreLoad bool) (id bronzeflow.ServerID, first, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.refresh(now)
	top := p.topCandidate(hash)
	if top == nil {
		return 0, false, false
	}
	allowed := func(s *server) bool { return s.serving && !s.atCapacity() && !slices.Contains(tried, s.id) }
	s := p.pick(hash, top, allowed, ignoreLoad, now)
	if s == nil {
		return 0, false, false
	}
	p.countTrial(s, now)
	return s.id, s == top, true
}

// pick chooses among the allowed servers; top is the flow's first candidate.
func (p *Pool) pick(hash uint64, top *server, allowed func(*server) bool, ignoreLoad bool, now int64) *server {
	if ignoreLoad {
		return p.pickIgnoringLoad(hash, allowed, now)
	}
	ready := func(s *server) bool {
		return now >= s.retryAt && !s.closedByReport(now) && p.trialAllowed(s) && allowed(s)
	}
	if p.unshared {
		if s := p.firstAccepted(hash, ready); s != nil {
			return s
		}
		return p.earliestRetry(hash, allowed)
	}
	if p.fits(top) && ready(top) {
		return top
	}
	if s := p.pickException(hash, ready); s != nil {
		return s
	}
	// Every ready server is over its limit or its quota of recent flows. The
	// rendezvous order spreads as evenly as any other choice.
	if s := p.firstAccepted(hash, ready); s != nil {
		return s
	}
	return p.earliestRetry(hash, allowed)
}

// pickIgnoringLoad returns the first allowed server in the order that isn't
// known to time out. Trying a server that times out first would end at the same
// choice, but only after the caller has waited, and during a partition most
// servers time out.
func (p *Pool) pickIgnoringLoad(hash uint64, allowed func(*server) bool, now int64) *server {
	answers := func(s *server) bool { return (!s.silent || now >= s.retryAt) && allowed(s) }
	if s := p.firstAccepted(hash, answers); s != nil {
		return s
	}
	return p.firstAccepted(hash, allowed)
}

// topCandidate returns the first server in the order for hash, or nil if the
// pool is empty.
func (p *Pool) topCandidate(hash uint64) *server {
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

// firstAccepted returns the first server in the order for hash for which accept
// is true, or nil.
func (p *Pool) firstAccepted(hash uint64, accept func(*server) bool) *server {
	var best *server
	for _, s := range p.servers {
		if accept(s) && (best == nil || precedes(hash, s.id, best.id)) {
			best = s
		}
	}
	return best
}

// pickException returns the least loaded of the first candidates that are under
// their limit, or nil. A server with much less load than the others, actual or
// reported, would get every exception of every owner until the next exchange
// of counts, so none gets more than its quota of this node's recent flows.
func (p *Pool) pickException(hash uint64, ready func(*server) bool) *server {
	var order [exceptionChoices]*server
	n := 0
	for _, s := range p.servers {
		if !p.fits(s) || p.overQuota(s) || !ready(s) {
			continue
		}
		if n < len(order) {
			n++
		} else if !precedes(hash, s.id, order[n-1].id) {
			continue
		}
		i := n - 1
		for ; i > 0 && precedes(hash, s.id, order[i-1].id); i-- {
			order[i] = order[i-1]
		}
		order[i] = s
	}
	var best *server
	for _, s := range order[:n] {
		if best == nil || p.exceptionLoad(s)*best.weight < p.exceptionLoad(best)*s.weight {
			best = s
		}
	}
	return best
}

// exceptionLoad returns the load by which exceptions are compared: in this
// node's zone one flow less, so that among equally loaded servers a near one is
// chosen. The limit still holds, so the preference costs no fairness, and
// flows move to another zone, and back, one at a time.
func (p *Pool) exceptionLoad(s *server) float64 {
	if p.AvailabilityZone != "" && s.zone == p.AvailabilityZone {
		return s.load - 1
	}
	return s.load
}

// earliestRetry returns the allowed server whose back-off ends first, or nil.
// The back-off is only this node's guess, and no reason to refuse a flow that
// some server might accept.
func (p *Pool) earliestRetry(hash uint64, allowed func(*server) bool) *server {
	var best *server
	for _, s := range p.servers {
		if !allowed(s) {
			continue
		}
		if best == nil || s.retryAt < best.retryAt || s.retryAt == best.retryAt && precedes(hash, s.id, best.id) {
			best = s
		}
	}
	return best
}
