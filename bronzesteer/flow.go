package bronzesteer

import (
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzepool"
	"bronzeusher.example/bronzeusher/bronzeroute"
)

const (
	shardCount = 16
	// idleFor is how long a flow without packets is followed. It only bounds
	// memory: the flow itself lives on.
	flowTimeout = 20 * time.Second
	// openingFor is the same for a flow that isn't open: callers repeat an
	// opening twice within 600 ms and give up after 1.4 s.
	openingTimeout = 3 * time.Second
	// repeatedBy is when a caller without an answer has repeated its request
	// at the latest.
	maxRetransmitDelay = 300 * time.Millisecond
	// workLeast and workMost bound how long a request counts as being worked
	// on without a sign of its answer.
	minRequestTimeout = 60 * time.Millisecond
	maxRequestTimeout = 250 * time.Millisecond
	// overdueMost is the age up to which a request without an answer says something of its
	// server. Most callers have given up by then.
	maxOverdueAge = 3 * time.Second
)

type flowKey = bronzeflow.Key

// shard is a part of the flows under a lock of its own.
type shard struct {
	mu    sync.Mutex
	flows map[flowKey]*flow
}

// flow is what this node has seen of a flow. Times are distances from the
// Steerer's start.
type flow struct {
	account    *bronzepool.Account
	backend    *backend
	token      uint32
	open       bool
	idempotent bool
	// struck tells that the flow's present silence is counted already.
	countedUnanswered bool
	// opening is set while the caller hasn't gone on.
	pending   *pendingOpening
	openedAt  time.Duration
	retriedAt time.Duration
	seenAt    time.Duration
	// askedAt is when the request was first seen that has no answer yet, 0 if
	// there is none, and working whether the server counts as working on it.
	requestAt time.Duration
	inFlight  bool
	// overdue is at what age the request was last found overdue.
	overdueAge time.Duration
	// sequence is the end of the data seen, acknowledged that of the answer.
	sequence     uint32
	acknowledged uint32
}

// sentAt returns when the present server was first asked.
func (f *flow) sentAt(openedAt time.Duration) time.Duration {
	return max(openedAt, f.retriedAt)
}

func (s *Steerer) shard(p *Packet) *shard {
	return &s.shards[p.Key.Hash()%shardCount]
}

// end forgets a flow.
func (sh *shard) remove(key flowKey) {
	f := sh.flows[key]
	if f == nil {
		return
	}
	f.release()
	delete(sh.flows, key)
}

// retry has another server asked for a flow that isn't open.
func (f *flow) retry(next choice, token uint32, at time.Duration) {
	f.backend.addOpenings(-1)
	f.backend, f.token, f.retriedAt = next.backend, token, at
	f.backend.addOpenings(1)
}

// release takes the flow out of its server's and its Customer's figures.
func (f *flow) release() {
	f.finishRequest()
	f.dropPending()
	f.account.Ended(f.open)
	if f.open {
		f.backend.addFlows(-1)
	} else {
		f.backend.addOpenings(-1)
	}
}

// finish notes that the server no longer works on the flow's request.
func (f *flow) finishRequest() {
	if f.inFlight {
		f.inFlight = false
		f.backend.finishRequest()
	}
}

// note takes in what a packet of an established flow tells of its server.
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
			f.backend.beginRequest()
		}
		return
	}
	if f.requestAt != 0 && at-f.requestAt >= minRetransmitAge && !f.countedUnanswered {
		f.countedUnanswered = true
		// It takes at least this long, which the answer would show only later.
		f.backend.observeLatency(at-f.requestAt, at)
		s.recordUnanswered(f.backend, f.requestAt, at, dataWeight)
	}
}

// established notes that the caller has taken a server's acceptance.
func (s *Steerer) handleEstablished(f *flow, b *backend, token uint32, p *Packet, at time.Duration) {
	f.account.Established()
	f.backend.addOpenings(-1)
	f.open, f.backend, f.token = true, b, token
	f.sequence, f.acknowledged = p.Sequence, p.Acknowledged
	b.addFlows(1)
	s.recordAnswer(b, at)
}

// answered notes that the caller has more of the answer.
func (s *Steerer) handleAnswer(f *flow, p *Packet, at time.Duration) {
	f.countedUnanswered = false
	s.recordAnswer(f.backend, at)
	if f.requestAt == 0 {
		return
	}
	f.backend.stats.recordAck(p.Length == 0)
	if p.Length == 0 {
		// With new data the acknowledgement says only that the answer came
		// some time before.
		f.backend.observeLatency(at-f.requestAt, at)
	}
	f.requestAt = 0
	f.finishRequest()
}

// EndedFlow is a flow that is to be ended though no packet of it came.
type EndedFlow struct {
	Packet   Packet
	Instance string
	Reason   Reason
}

// Sweep forgets flows without packets and work without answers, and brings
// loads up to date. It is to be called about every 100 ms. It returns the flows
// that are to be ended: those without a request at a server that is gone, has
// started again, or answers nobody, and those whose request may be repeated at one that
// answers nobody. Callers would find out by their next request, which would be lost if it
// must not be repeated.
func (s *Steerer) Sweep(now time.Time) (endings []EndedFlow) {
	s.init()
	k := s.state.Load()
	if k == nil {
		return nil
	}
	at := s.sinceStart(now)
	s.signalQueuedReports()
	lost := s.failedServers(at)
	if at-s.loadsUpdatedAt >= loadInterval {
		if !s.recordsUnconfirmed.Load() {
			k.addGoneServers(lost)
		}
		s.expireReported(at)
		s.updateLoads(k, at)
	}
	for i := range s.shards {
		endings = append(endings, s.shards[i].sweep(at, now, lost)...)
	}
	return endings
}

// loss is what has become of a server, and whether it is known so well that flows are ended
// there that don't wait for an answer.
type loss struct {
	reason  Reason
	certain bool
}

// silentServers returns the servers that answer nobody.
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

// addGoneServers adds the servers that are no more.
func (k *viewState) addGoneServers(lost map[*backend]loss) {
	for _, m := range k.members {
		if m.server.Status == bronzeroute.Gone {
			lost[m.backend] = loss{reason: ServerGone, certain: true}
		}
	}
}

func (sh *shard) sweep(at time.Duration, now time.Time, lost map[*backend]loss) (endings []EndedFlow) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for key, f := range sh.flows {
		limit := flowTimeout
		if !f.open {
			limit = openingTimeout
		}
		if at-f.seenAt > limit {
			sh.remove(key)
			continue
		}
		l, ended := lost[f.backend]
		if f.endedByRestart(at, now) {
			l, ended = loss{reason: ServerReborn, certain: true}, true
		}
		if ended && f.open && f.mayReset(l, at) {
			p := Packet{Key: key, Token: f.token, Sequence: f.sequence, Acknowledged: f.acknowledged}
			endings = append(endings, EndedFlow{Packet: p, Instance: f.backend.instance, Reason: l.reason})
			sh.remove(key)
			continue
		}
		f.checkOverdue(at)
	}
	return endings
}

// waitOn takes in for how long the flow's request has been without an answer, now and each
// time that its age has doubled: so long the server takes at least. Otherwise one that
// accepts openings and hangs with a part of its requests is forgotten with each of them,
// looks idle, and draws more.
func (f *flow) checkOverdue(at time.Duration) {
	if f.requestAt == 0 || f.countedUnanswered {
		return
	}
	age := at - f.requestAt
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

// mayEnd reports whether the flow may be ended for what has become of its server. One with
// a request at a silent server may if that may be repeated: its caller would ask again
// only 400 or 800 ms after the last time, and have no time left to be served elsewhere.
func (f *flow) mayReset(l loss, at time.Duration) bool {
	if l.reason == ServerSilent && f.idempotent && f.countedUnanswered {
		return true
	}
	if l.reason == ServerSilent && f.idempotent && f.requestAt != 0 {
		return l.certain
	}
	return l.certain && f.idle(at)
}

// idle reports whether the flow has no request that waits for its answer. The
// acknowledgement of a short answer comes only with the next request, but a
// caller without an answer repeats its request after 200 ms.
func (f *flow) idle(at time.Duration) bool {
	return !f.countedUnanswered && (f.requestAt == 0 || at-f.seenAt > maxRetransmitDelay)
}
