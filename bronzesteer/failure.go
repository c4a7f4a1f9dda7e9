package bronzesteer

import (
	"math"
	"time"
)

// silent reports whether the server answers nobody, so that flows there which
// can be repeated elsewhere are better ended: it left several flows unanswered,
// or one, and the way to its zone seems cut. Of a zone that this node sends
// little to, two servers that crash look like a cut; without a sign of its own
// a server that is well would lose its flows. A node that hears nobody says no:
// it would end the flows that other nodes could still take on. It is asked for a flow
// that waits for an answer itself, or for one that doesn't.
func (s *Steerer) silent(b *backend, waits bool, at time.Duration) bool {
	return s.judges(at) && (s.dead(b, waits, at) || b.asked(at) && s.zoneCut(b, at))
}

// answersNobody reports whether a new flow at the server would wait in vain.
func (s *Steerer) answersNobody(b *backend, at time.Duration) bool {
	return s.judges(at) && (s.believedDead(b, at) || b.asked(at) && s.zoneCut(b, at))
}

// judges reports whether this node is in a state to judge servers.
func (s *Steerer) judges(at time.Duration) bool {
	return at >= max(settling, s.fit.from()) && at-time.Duration(s.goodAt.Load()) <= hearingFor && !s.isLate(at)
}

// dead reports whether the server has left several flows unanswered, and answered
// nobody meanwhile, neither here nor, as far as other nodes tell, elsewhere, so that its
// flows may be ended. Others' word alone doesn't end a flow: this node must have asked the
// server itself, in vain. A node goes by itself alone only after longer.
func (s *Steerer) dead(b *backend, waits bool, at time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	f, ok := b.own(at, false, s.fit.from())
	if !ok || !s.fit.isFit(at) {
		return false
	}
	if at-f.first >= askedFor && s.othersFind(b, waits, at) {
		return true
	}
	u := suspicion{}
	u.add(f)
	return u.all >= silentFlows && at-u.first >= s.longEnough(&u)
}

// othersFind reports whether what all nodes together have found says that the server is
// dead, as far as news takes to contradict that. What others found counts if one of them
// is in the server's zone: otherwise the way there may be cut, and the server well. For a
// flow that waits for an answer itself less time is needed. The caller holds the server's
// lock.
func (s *Steerer) othersFind(b *backend, waits bool, at time.Duration) bool {
	u := b.suspicion(at, b.zoneName == s.AvailabilityZone, s.fit.from())
	return u.nodes >= deadNodes && u.near && u.openings > 0 && u.all >= s.proof() &&
		at-u.first >= silentFor && at-b.suspectedAt >= s.newsTakes(waits)
}

// believedDead reports whether no new flow has a chance at the server: it is dead, or
// others find it so.
func (s *Steerer) believedDead(b *backend, at time.Duration) bool {
	if s.dead(b, false, at) {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return s.othersFind(b, false, at)
}

// manyNodes reports whether news takes more than some milliseconds to all nodes.
func (s *Steerer) manyNodes() bool { return s.others.Load() > fewNodes }

// proof returns how many flows a server must have left unanswered at all nodes together
// to be dead. Where there are few nodes, each sees as much of it as they do.
func (s *Steerer) proof() int {
	if s.manyNodes() {
		return deadProof
	}
	return silentFlows
}

// newsTakes returns how long it takes until nearly all nodes have heard of a finding, and
// this one of an answer that contradicts it. For a flow that waits for its answer itself,
// half of that is enough.
func (s *Steerer) newsTakes(waits bool) time.Duration {
	if !s.manyNodes() {
		return 0
	}
	steps := math.Ceil(math.Log(float64(s.others.Load()+1)) / math.Log(newsFanout+1))
	there := max(time.Duration(steps)*newsStep, newsLeast)
	if waits {
		return there
	}
	return 2 * there
}

// longEnough returns how long a server must have been silent for a node to go by what it
// has found itself alone. One of many nodes sees too little of each server for that.
func (s *Steerer) longEnough(u *suspicion) time.Duration {
	switch {
	case s.manyNodes() && u.all < aloneProof:
		return suspicionFor
	case s.manyNodes(), s.others.Load() > 0 && u.all < aloneProof:
		return aloneFor
	case u.openings < deadOpenings:
		return busyFor
	default:
		return silentFor
	}
}

// isLate reports whether so many servers of the own zone are silent that it
// must be this node.
func (s *Steerer) isLate(at time.Duration) bool {
	z := s.own
	z.mu.Lock()
	defer z.mu.Unlock()
	return float64(recent(z.quiet, at)) > max(silentFew, silentMost*float64(z.servers))
}

// zoneCut reports whether the way to the server's zone is cut. It never is to
// the node's own.
func (s *Steerer) zoneCut(b *backend, at time.Duration) bool {
	return b.zoneName != s.AvailabilityZone && b.zone.cut(at)
}

func (s *Steerer) event(e Event) {
	if s.OnEvent != nil {
		s.OnEvent(e)
	}
}
