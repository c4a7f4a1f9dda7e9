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
func (s *Steerer) unresponsive(b *backend, waits bool, at time.Duration) bool {
	return s.canJudge(at) && (s.failed(b, waits, at) || b.recentlyUnanswered(at) && s.zoneUnreachable(b, at))
}

// answersNobody reports whether a new flow at the server would wait in vain.
func (s *Steerer) unavailable(b *backend, at time.Duration) bool {
	return s.canJudge(at) && (s.presumedFailed(b, at) || b.recentlyUnanswered(at) && s.zoneUnreachable(b, at))
}

// judges reports whether this node is in a state to judge servers.
func (s *Steerer) canJudge(at time.Duration) bool {
	return at >= max(settleTime, s.health.validFrom()) && at-time.Duration(s.lastAnswer.Load()) <= maxAnswerAge && !s.isDelayed(at)
}

// dead reports whether the server has left several flows unanswered, and answered
// nobody meanwhile, neither here nor, as far as other nodes tell, elsewhere, so that its
// flows may be ended. Others' word alone doesn't end a flow: this node must have asked the
// server itself, in vain. A node goes by itself alone only after longer.
func (s *Steerer) failed(b *backend, waits bool, at time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	f, ok := b.ownFinding(at, false, s.health.validFrom())
	if !ok || !s.health.isHealthy(at) {
		return false
	}
	if at-f.first >= minOwnSilence && s.failedByFleet(b, waits, at) {
		return true
	}
	u := suspicion{}
	u.add(f)
	return u.total >= minFailedFlows && at-u.first >= s.requiredSilence(&u)
}

// othersFind reports whether what all nodes together have found says that the server is
// dead, as far as news takes to contradict that. What others found counts if one of them
// is in the server's zone: otherwise the way there may be cut, and the server well. For a
// flow that waits for an answer itself less time is needed. The caller holds the server's
// lock.
func (s *Steerer) failedByFleet(b *backend, waits bool, at time.Duration) bool {
	u := b.suspicion(at, b.zoneName == s.AvailabilityZone, s.health.validFrom())
	return u.reporters >= minReporters && u.sameZone && u.openings > 0 && u.total >= s.minFleetEvidence() &&
		at-u.first >= minSilence && at-b.suspectedAt >= s.propagationTime(waits)
}

// believedDead reports whether no new flow has a chance at the server: it is dead, or
// others find it so.
func (s *Steerer) presumedFailed(b *backend, at time.Duration) bool {
	if s.failed(b, false, at) {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return s.failedByFleet(b, false, at)
}

// manyNodes reports whether news takes more than some milliseconds to all nodes.
func (s *Steerer) isLargeFleet() bool { return s.peers.Load() > smallFleetPeers }

// proof returns how many flows a server must have left unanswered at all nodes together
// to be dead. Where there are few nodes, each sees as much of it as they do.
func (s *Steerer) minFleetEvidence() int {
	if s.isLargeFleet() {
		return minFleetFlows
	}
	return minFailedFlows
}

// newsTakes returns how long it takes until nearly all nodes have heard of a finding, and
// this one of an answer that contradicts it. For a flow that waits for its answer itself,
// half of that is enough.
func (s *Steerer) propagationTime(waits bool) time.Duration {
	if !s.isLargeFleet() {
		return 0
	}
	steps := math.Ceil(math.Log(float64(s.peers.Load()+1)) / math.Log(gossipFanout+1))
	there := max(time.Duration(steps)*gossipStep, minPropagation)
	if waits {
		return there
	}
	return 2 * there
}

// longEnough returns how long a server must have been silent for a node to go by what it
// has found itself alone. One of many nodes sees too little of each server for that.
func (s *Steerer) requiredSilence(u *suspicion) time.Duration {
	switch {
	case s.isLargeFleet() && u.total < minFlowsAlone:
		return suspicionTimeout
	case s.isLargeFleet(), s.peers.Load() > 0 && u.total < minFlowsAlone:
		return minSilenceAlone
	case u.openings < minFailedOpenings:
		return minSilenceBusy
	default:
		return minSilence
	}
}

// isLate reports whether so many servers of the own zone are silent that it
// must be this node.
func (s *Steerer) isDelayed(at time.Duration) bool {
	z := s.ownZone
	z.mu.Lock()
	defer z.mu.Unlock()
	return float64(countRecent(z.silentNow, at)) > max(minSilentLimit, maxSilentFraction*float64(z.servers))
}

// zoneCut reports whether the way to the server's zone is cut. It never is to
// the node's own.
func (s *Steerer) zoneUnreachable(b *backend, at time.Duration) bool {
	return b.zoneName != s.AvailabilityZone && b.zone.unreachable(at)
}

func (s *Steerer) emit(e Event) {
	if s.OnEvent != nil {
		s.OnEvent(e)
	}
}
