package bronzesteer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzepool"
	"bronzeusher.example/bronzeusher/bronzeroute"
)

const (
	shardCount = 16
	// flowTimeout is how long a flow without packets is tracked. It only bounds memory:
	// packets of an untracked flow are still forwarded.
	flowTimeout = 20 * time.Second
	// openingTimeout is the same for a flow that isn't open. Callers retransmit an opening
	// twice within 600 ms and give up after 1.4 s.
	openingTimeout = 3 * time.Second
	// maxRetransmitDelay is the time within which a caller without an answer has
	// retransmitted its request.
	maxRetransmitDelay = 300 * time.Millisecond
	// minRequestTimeout and maxRequestTimeout bound how long a request counts as in flight
	// without a sign of its answer.
	minRequestTimeout = 60 * time.Millisecond
	maxRequestTimeout = 250 * time.Millisecond
	// maxOverdueAge is the age up to which an unanswered request counts against its server.
	// Most callers have given up by then.
	maxOverdueAge = 3 * time.Second
)

type flowKey = bronzeflow.Key

// shard is a part of the flows with its own lock.
type shard struct {
	mu    sync.Mutex
	flows map[flowKey]*flow
	// peerOpenings are openings that stalled at other nodes, of flows that this node doesn't know.
	peerOpenings map[flowKey]*pendingOpening
}

// flow is what this node has seen of a flow. Times are relative to the Steerer's start.
type flow struct {
	account    *bronzepool.Account
	backend    *backend
	token      uint32
	open       bool
	idempotent bool
	// countedUnanswered is set once the pending request has been counted as unanswered.
	countedUnanswered bool
	// pending is set while the caller hasn't continued after its opening, opening as long as
	// servers may accept it.
	pending   *pendingOpening
	opening   *pendingOpening
	openedAt  time.Duration
	retriedAt time.Duration
	seenAt    time.Duration
	// requestAt is when the unanswered request was first seen, 0 if there is none. inFlight
	// says whether it counts as in flight at the server.
	requestAt time.Duration
	inFlight  bool
	// waitingEpoch is set while the request counts in the pool's gauge, to one more than the
	// server's at the time.
	waitingEpoch uint32
	// usualSample is the sample of usual times that the request belongs to, 0 if none.
	usualSample uint32
	// overdueAge is the age at which the request was last found overdue.
	overdueAge time.Duration
	// sequence is the end of the request data seen, acknowledged the end of the answer data
	// acknowledged.
	sequence     uint32
	acknowledged uint32
	// answeredUpTo is acknowledged at the time of the request.
	answeredUpTo uint32
	// openingSequence is the number of the opening, if this node has seen it. final is set
	// once the caller has sent its last byte.
	openingSequence uint32
	sawOpening      bool
	final           bool
}

// sentAt returns when the opening was first sent to the present server.
func (f *flow) sentAt(openedAt time.Duration) time.Duration {
	return max(openedAt, f.retriedAt)
}

func (s *Steerer) shard(p *Packet) *shard {
	return &s.shards[p.Key.Hash()%shardCount]
}

// remove stops tracking a flow.
func (sh *shard) remove(key flowKey, at time.Duration) {
	f := sh.flows[key]
	if f == nil {
		return
	}
	f.release(at)
	delete(sh.flows, key)
}

// retry assigns a flow that isn't open to another server.
func (f *flow) retry(next choice, token uint32, at time.Duration) {
	f.backend.addOpenings(-1)
	f.backend, f.token, f.retriedAt = next.backend, token, at
	f.backend.addOpenings(1)
	if f.opening != nil {
		f.opening.addServer(next.backend, token)
	}
}

// release removes the flow from the counts of its server and its Customer.
func (f *flow) release(at time.Duration) {
	f.finishRequest()
	f.uncountWaiting(at)
	f.dropPending()
	f.account.Ended(f.open)
	if f.open {
		f.backend.addFlows(-1)
	} else {
		f.backend.addOpenings(-1)
	}
}

// finishRequest records that the flow's request is no longer in flight.
func (f *flow) finishRequest() {
	if f.inFlight {
		f.inFlight = false
		f.backend.finishRequest()
	}
}

// observePacket updates the server's state by a packet of an established flow.
func (s *Steerer) observePacket(f *flow, b *backend, token uint32, p *Packet, at time.Duration) {
	f.seenAt = at
	if !f.open {
		s.handleEstablished(f, b, token, p, at)
	}
	if advance := int32(p.Acknowledged - f.acknowledged); advance > 0 {
		f.acknowledged = p.Acknowledged
		s.handleAnswer(f, p, at)
	}
	if p.Length == 0 {
		return
	}
	if end := p.Sequence + uint32(p.Length); int32(end-f.sequence) > 0 {
		f.sequence = end
		if f.requestAt == 0 {
			f.requestAt, f.inFlight, f.overdueAge = at, true, 0
			f.backend.beginRequest(at)
			f.countWaiting(at)
			f.usualSample = f.backend.stats.usual.Begin(at)
			f.answeredUpTo = f.acknowledged
		}
		return
	}
	if f.requestAt != 0 && at-f.requestAt >= minRetransmitAge && !f.countedUnanswered {
		f.countedUnanswered = true
		// The answer will take at least this long, but would show it only later.
		f.backend.observeLatency(at-f.requestAt, at)
		s.recordUnanswered(f.backend, f.requestAt, at, dataWeight)
	}
}

// handleEstablished records that the caller has taken the server's acceptance.
func (s *Steerer) handleEstablished(f *flow, b *backend, token uint32, p *Packet, at time.Duration) {
	f.account.Established()
	f.backend.addOpenings(-1)
	f.open, f.backend, f.token = true, b, token
	f.sequence, f.acknowledged = p.Sequence, p.Acknowledged
	b.addFlows(1)
	s.recordAnswer(b, at)
}

// handleAnswer records that the caller has received more of the answer.
func (s *Steerer) handleAnswer(f *flow, p *Packet, at time.Duration) {
	f.countedUnanswered = false
	s.recordAnswer(f.backend, at)
	if f.requestAt == 0 {
		return
	}
	f.uncountWaiting(at)
	rejected := f.backend.observeAnswer(int(p.Acknowledged-f.answeredUpTo), at)
	f.backend.stats.recordAck(p.Length == 0)
	if p.Length == 0 {
		f.backend.slowness.observe(at-f.requestAt, f.backend.stats.serviceTime(), rejected, at)
		// An acknowledgement without data is sent at once; one that comes with new data may
		// be late.
		f.backend.observeLatency(at-f.requestAt, at)
		if !rejected {
			f.backend.stats.usual.Answered(f.usualSample, at-f.requestAt, at)
		}
	} else {
		f.backend.stats.usual.Dropped(f.usualSample, at)
	}
	f.requestAt = 0
	f.finishRequest()
}

// EndedFlow is a flow that Sweep has ended without a packet of it.
type EndedFlow struct {
	Packet   Packet
	Instance string
	Reason   Reason
}

// Sweep expires idle flows and overdue requests, and updates loads. Call it about every 100
// ms. It returns the flows that have been ended: idle ones at a server that is gone, has
// restarted or has failed, and those with a pending request that may be retried at a server
// that has failed. Their callers would otherwise notice only with their next request, which
// would be lost if it must not be retried.
func (s *Steerer) Sweep(now time.Time) (ended []EndedFlow) {
	s.init()
	vs := s.state.Load()
	if vs == nil {
		return nil
	}
	at := s.sinceStart(now)
	s.signalQueuedReports()
	lost := s.failedServers(at)
	if at-s.loadsUpdatedAt >= loadInterval {
		if !s.recordsUnconfirmed.Load() {
			vs.addGoneServers(lost)
		}
		s.expireReported(at)
		s.updateLoads(vs, at)
	}
	for i := range s.shards {
		endedHere, stalled := s.shards[i].sweep(at, now, lost)
		ended = append(ended, endedHere...)
		s.stalled.add(stalled)
	}
	return ended
}

// loss is why a server's flows are ended. If certain is set, also those are ended that
// don't wait for an answer.
type loss struct {
	reason  Reason
	certain bool
}

// failedServers returns the servers found to have failed.
func (s *Steerer) failedServers(at time.Duration) (lost map[*backend]loss) {
	lost = make(map[*backend]loss)
	if !s.canJudge(at) {
		return lost
	}
	suspects := s.suspectsToReport(true)
	s.updateProbes(suspects, at)
	for _, b := range suspects {
		if s.failed(b, true, at) {
			lost[b] = loss{reason: ServerSilent, certain: s.failed(b, false, at)}
		}
	}
	return lost
}

// addGoneServers adds the servers that no longer exist.
func (vs *viewState) addGoneServers(lost map[*backend]loss) {
	for _, m := range vs.members {
		if m.server.Status == bronzeroute.Gone {
			lost[m.backend] = loss{reason: ServerGone, certain: true}
		}
	}
}

func (sh *shard) sweep(at time.Duration, now time.Time, lost map[*backend]loss) (endedFlows []EndedFlow, stalled []StalledOpening) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.expirePeerOpenings(at)
	var pending []*flow
	for key, f := range sh.flows {
		if o, ok := f.takeStalled(at); ok {
			stalled = append(stalled, o)
		}
		limit := flowTimeout
		if !f.open {
			limit = openingTimeout
		}
		if at-f.seenAt > limit {
			sh.remove(key, at)
			continue
		}
		if f.open && f.opening != nil && at-f.openedAt > acceptTimeout {
			f.opening = nil
		}
		l, ended := lost[f.backend]
		if f.endedByRestart(at, now) {
			l, ended = loss{reason: ServerReborn, certain: true}, true
		}
		if ended && f.open && f.mayReset(l, at) {
			p := Packet{Key: key, Token: f.token, Sequence: f.sequence, Acknowledged: f.acknowledged}
			if !f.isOver() {
				endedFlows = append(endedFlows, EndedFlow{Packet: p, Instance: f.backend.instance, Reason: l.reason})
			}
			sh.remove(key, at)
			continue
		}
		if f.requestAt != 0 {
			pending = append(pending, f)
		}
	}
	// Each overdue request changes its server's latency, which the next one is judged by. In
	// the order of the map, the same packets would lead to different decisions in each run.
	slices.SortFunc(pending, func(a, b *flow) int { return cmp.Compare(a.requestAt, b.requestAt) })
	for _, f := range pending {
		f.checkOverdue(at)
	}
	return endedFlows, stalled
}

// checkOverdue records the age of an unanswered request as a lower bound of the server's
// latency, each time that the age has doubled. Otherwise a server that accepts openings but
// hangs on some requests would look idle, and attract more flows.
func (f *flow) checkOverdue(at time.Duration) {
	age := at - f.requestAt
	if age > maxWaitAge || age > maxRetransmitDelay && !f.countedUnanswered {
		f.uncountWaiting(at)
	}
	if f.countedUnanswered {
		return
	}
	due := age >= 2*f.overdueAge && age < maxOverdueAge
	if !f.inFlight && !due || age <= f.backend.requestTimeout() {
		return
	}
	f.finishRequest()
	if due && f.backend.stats.acksPromptly() {
		f.overdueAge = age
		f.backend.observeOverdue(age, at)
	}
}

// mayReset reports whether the flow may be ended for the loss of its server. At a failed
// server, that includes a flow with a pending request that may be retried: its caller would
// retransmit it only 400 or 800 ms after the last time, too late to be served elsewhere.
func (f *flow) mayReset(l loss, at time.Duration) bool {
	if l.reason == ServerSilent && f.idempotent && f.countedUnanswered {
		return true
	}
	if l.reason == ServerSilent && f.idempotent && f.requestAt != 0 {
		return l.certain
	}
	return l.certain && f.idle(at)
}

// idle reports whether the flow has no pending request. A short answer may be acknowledged
// only with the next request, but a caller without an answer retransmits its request after
// 200 ms.
func (f *flow) idle(at time.Duration) bool {
	return !f.countedUnanswered && (f.requestAt == 0 || at-f.seenAt > maxRetransmitDelay)
}
