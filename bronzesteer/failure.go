package bronzesteer

import (
	"math"
	"time"
)

// unresponsive reports whether the server answers nobody, so that flows which can be
// retried elsewhere are better ended. Either it has failed, or it has recently left
// something unanswered itself and its zone is unreachable. A node that isn't answered by any
// server reports false, since other nodes may still serve the flows. The parameter waiting
// is set for a flow that itself waits for an answer.
func (s *Steerer) unresponsive(b *backend, waiting bool, at time.Duration) bool {
	return s.canJudge(at) && (s.failed(b, waiting, at) || b.recentlyUnanswered(at) && s.zoneUnreachable(b, at))
}

// unavailable reports whether a new flow at the server would get no answer.
func (s *Steerer) unavailable(b *backend, at time.Duration) bool {
	return s.canJudge(at) && (s.presumedFailed(b, at) || b.recentlyUnanswered(at) && s.zoneSuspected(b, at))
}

// canJudge reports whether this node is in a state to detect failures.
func (s *Steerer) canJudge(at time.Duration) bool {
	return at >= max(settleTime, s.health.validFrom()) && at-time.Duration(s.lastAnswer.Load()) <= maxAnswerAge && !s.isDelayed(at)
}

// failed reports whether flows at the server may be ended: it has left several flows
// unanswered, and answered nobody meanwhile, neither this node nor, as far as reported, a
// peer. Reports alone don't end a flow; this node must have something unanswered itself.
// Without confirmation by peers, a longer silence is required.
func (s *Steerer) failed(b *backend, waiting bool, at time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	f, ok := b.ownFinding(at, false, s.health.validFrom())
	if !ok || !s.health.isHealthy(at) {
		return false
	}
	if at-f.first >= minOwnSilence && s.failedByFleet(b, waiting, at) {
		return true
	}
	u := suspicion{}
	u.add(f)
	return u.total >= minFailedFlows && at-u.first >= s.requiredSilence(&u)
}

// failedByFleet reports whether the combined findings of all nodes show that the server has
// failed, and have stood long enough for contradicting answers to arrive. At least one
// finding must come from the server's zone: otherwise the server may be healthy behind a
// partition. A flow that itself waits for an answer needs less time. The caller holds the
// server's lock.
func (s *Steerer) failedByFleet(b *backend, waiting bool, at time.Duration) bool {
	u := b.suspicion(at, b.zoneName == s.AvailabilityZone, s.health.validFrom())
	return u.reporters >= minReporters && u.sameZone && u.openings > 0 && u.total >= s.minFleetEvidence() &&
		at-u.first >= minSilence && at-b.suspectedAt >= s.propagationTime(waiting)
}

// presumedFailed reports whether new flows have no chance at the server: it has failed, or
// the fleet finds so.
func (s *Steerer) presumedFailed(b *backend, at time.Duration) bool {
	if s.failed(b, false, at) {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return s.failedByFleet(b, false, at)
}

// isLargeFleet reports whether messages take more than a few milliseconds to reach all
// nodes.
func (s *Steerer) isLargeFleet() bool { return s.peers.Load() > smallFleetPeers }

// minFleetEvidence returns how many flows a server must have left unanswered at all nodes
// together to count as failed. In a small fleet each node sees about as much as its peers.
func (s *Steerer) minFleetEvidence() int {
	if s.isLargeFleet() {
		return minFleetFlows
	}
	return minFailedFlows
}

// propagationTime returns how long it takes for nearly all nodes to learn of a finding, and
// for a contradicting answer to come back. A flow that itself waits for an answer needs
// only half of it.
func (s *Steerer) propagationTime(waiting bool) time.Duration {
	if !s.isLargeFleet() {
		return 0
	}
	steps := math.Ceil(math.Log(float64(s.peers.Load()+1)) / math.Log(gossipFanout+1))
	oneWay := max(time.Duration(steps)*gossipStep, minPropagation)
	if waiting {
		return oneWay
	}
	return 2 * oneWay
}

// requiredSilence returns how long a server must have been silent for this node to rely on
// its own findings alone. A node of a large fleet sees too little of each server for that.
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

// isDelayed reports whether so many servers of the node's own zone are silent that the node
// itself must be the cause.
func (s *Steerer) isDelayed(at time.Duration) bool {
	z := s.ownZone
	z.mu.Lock()
	defer z.mu.Unlock()
	return float64(countRecent(z.silentNow, at)) > max(minSilentLimit, maxSilentFraction*float64(z.servers))
}

// zoneSuspected reports whether the server's zone may be unreachable, so that new flows
// avoid it. The node's own zone never is.
func (s *Steerer) zoneSuspected(b *backend, at time.Duration) bool {
	return b.zoneName != s.AvailabilityZone && b.zone.suspected(at)
}

// zoneUnreachable reports whether the server's zone is unreachable, so that flows there may
// be ended. The node's own zone never is.
func (s *Steerer) zoneUnreachable(b *backend, at time.Duration) bool {
	return b.zoneName != s.AvailabilityZone && b.zone.unreachable(at)
}

func (s *Steerer) emit(e Event) {
	if s.OnEvent != nil {
		s.OnEvent(e)
	}
}
