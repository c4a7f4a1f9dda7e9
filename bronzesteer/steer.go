package bronzesteer

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"bronzeusher.example/bronzeusher/bronzepool"
	"bronzeusher.example/bronzeusher/bronzeroute"
)

// Steerer decides what to do with the callers' packets of one node. Its exported fields
// must not change after the first use. The zero Steerer waits for a view. All methods may
// be called concurrently.
type Steerer struct {
	// AvailabilityZone and Region are the node's location. Regions maps each zone to its
	// region.
	AvailabilityZone string
	Region           string
	Regions          map[string]string
	// Name is the node's name. Node identifies the node in reports, which other nodes pass
	// on.
	Name string
	Node uint32
	// Memory is the number of bytes that the node may use in total, 0 if unknown.
	Memory int64
	// OnEvent is called when the node's assessment of a server changes. It must not call
	// the Steerer.
	OnEvent func(Event)
	// Random returns a number in [0, n). If nil, rand.IntN is used.
	Random func(n int) int

	state atomic.Pointer[viewState]
	// rules are what operators have ordered, nil for nothing.
	rules atomic.Pointer[Rules]
	// settingAdmission is held while a view or rules are put in force, so that pools get both
	// of the latest.
	settingAdmission sync.Mutex

	once   sync.Once
	start  time.Time
	shards [shardCount]shard

	admission bronzepool.Admission
	hedges    hedgeQueue
	// corrections are the openings to be sent again after their flows have opened.
	corrections correctionQueue
	stalled     stalledQueue
	health      localHealth
	// recordsUnconfirmed is set after a pause until the records are confirmed.
	recordsUnconfirmed atomic.Bool

	// lastAnswer is when any server was last seen to answer, relative to start.
	lastAnswer atomic.Int64

	mu        sync.Mutex
	zones     map[string]*zone
	peerLoads map[string]peerLoads
	poolStats map[string]*poolStats
	suspects  suspects
	// reportedBy holds the servers that each peer has recently reported.
	reportedBy map[uint32]reportedServers
	probes     probeTargets
	accounts   map[netip.AddrPort]*account
	// exemptLimits limits the openings of each endpoint that are exempt from refusal as
	// NoneAnswers or Overloaded.
	exemptLimits map[netip.AddrPort]*rate.Limiter
	// ownZone is the entry of the node's zone. It is set once.
	ownZone *zone

	// newReports is set if Reports has something that wasn't signaled yet.
	newReports atomic.Bool

	// peers is the number of other nodes.
	peers     atomic.Int64
	zonePeers zonePeers
	// ownLoads is what Loads returns.
	ownLoads atomic.Pointer[[]Load]
	demands  demandTable
	subsets  subsets
	// loadsUpdatedAt is when loads were last updated. Only Sweep uses it.
	loadsUpdatedAt time.Duration
}

// Event is a change in the node's assessment of a server.
type Event struct {
	// Kind is Avoided or Cleared.
	Kind EventKind
	// Instance and AvailabilityZone identify the server.
	Instance         string
	AvailabilityZone string
	// Unanswered is the number of flows left unanswered in a row, Silence the time since
	// the server was last seen to answer.
	Unanswered int
	Silence    time.Duration
	// AvoidedFor is how long the server is avoided.
	AvoidedFor time.Duration
	// Nodes is the number of other nodes with findings of the server, 0 if this node found
	// it itself.
	Nodes int
}

// EventKind is the kind of an Event.
type EventKind uint8

const (
	// Avoided means that new flows avoid the server for some time.
	Avoided EventKind = iota + 1
	// Cleared means that a server that was avoided has answered.
	Cleared
)

// String returns the kind's name.
func (k EventKind) String() string {
	if k == Cleared {
		return "Cleared"
	}
	return "Avoided"
}

// SetView puts a view in force. Calls must not overlap.
func (s *Steerer) SetView(v *bronzeroute.View) {
	s.init()
	vs := s.newViewState(v, s.state.Load())
	s.removeUnrouted(vs)
	s.settingAdmission.Lock()
	defer s.settingAdmission.Unlock()
	s.setAdmission(v, s.Rules())
	s.state.Store(vs)
}

// View returns the view in force, or nil.
func (s *Steerer) View() *bronzeroute.View {
	if vs := s.state.Load(); vs != nil {
		return vs.view
	}
	return nil
}

func (s *Steerer) init() {
	s.once.Do(func() {
		s.start = time.Now()
		s.zones = make(map[string]*zone)
		s.peerLoads = make(map[string]peerLoads)
		s.poolStats = make(map[string]*poolStats)
		s.suspects = make(suspects)
		s.reportedBy = make(map[uint32]reportedServers)
		s.accounts = make(map[netip.AddrPort]*account)
		s.admission.Open = flowLimit(s.Memory)
		s.admission.HalfOpen = int(halfOpenFraction * float64(s.admission.Open))
		s.exemptLimits = make(map[netip.AddrPort]*rate.Limiter)
		s.ownZone = s.zone(s.AvailabilityZone)
		for i := range s.shards {
			s.shards[i].flows = make(map[flowKey]*flow)
		}
	})
}

// sinceStart returns a time relative to the Steerer's start.
func (s *Steerer) sinceStart(now time.Time) time.Duration {
	return now.Sub(s.start)
}

func (s *Steerer) random(n int) int {
	if s.Random != nil {
		return s.Random(n)
	}
	return rand.IntN(n)
}

// Decide returns what to do with a packet that arrived at now.
func (s *Steerer) Decide(p *Packet, now time.Time) Decision {
	s.init()
	vs := s.state.Load()
	switch {
	case vs == nil:
		return Decision{Kind: Wait, Reason: NoView}
	case p.Returned, p.Open && p.Accept:
		return Decision{Reason: NotACaller}
	case p.Open && p.Delayed && p.Retransmits < callerRetransmits:
		return Decision{Reason: Delayed}
	case p.Open:
		return s.placeOpening(vs, p, now)
	default:
		return s.forwardByToken(vs, p, now)
	}
}

// placeOpening places an opening or handles its retransmission.
func (s *Steerer) placeOpening(vs *viewState, p *Packet, now time.Time) Decision {
	v := vs.view
	service := p.Key.ServiceAddrPort()
	route := v.Route(service)
	if route == nil {
		return s.ifConfirmed(Decision{Kind: End, Reason: NoRoute})
	}
	at := s.sinceStart(now)
	sh := s.shard(p)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if f := sh.flows[p.Key]; f != nil && f.isOpening(p, at) {
		return s.handleRetransmit(vs, route, f, p, at, now)
	}
	sh.remove(p.Key, at)
	elsewhere := sh.peerOpening(p)
	c := s.place(vs, route, p, elsewhere.lastServer(), at, now)
	server := c.server
	if server == nil {
		d := s.refuseNoServer(vs, route, p, now)
		if d.Kind == End && p.Retransmits == 0 {
			vs.countRefused(route, p, at)
		}
		return d
	}
	if d, ok := s.refusal(vs, route, p, c, now); ok {
		c.backend.stats.demand.add(at)
		return d
	}
	if t, ok := s.probe(vs, c, p, now); ok {
		c, server = t, t.server
	}
	token := v.Token(service, server)
	d := Decision{Kind: Forward, Reason: Placed, Server: server, Token: token}
	account := s.account(route)
	if d.TrackingDenial = account.Admit(); d.TrackingDenial == bronzepool.Admitted {
		f := &flow{
			account: account, backend: c.backend, token: token,
			idempotent: route.Idempotent, openedAt: at, seenAt: at,
			openingSequence: p.Sequence, sawOpening: true,
		}
		f.backend.addOpenings(1)
		sh.flows[p.Key] = f
		s.scheduleHedge(f, p, at)
		if elsewhere != nil && f.opening != nil {
			f.opening.merge(sh.takePeerOpening(p))
		}
	}
	return d
}

// handleRetransmit handles another opening of a flow that this node has placed. If the
// first server has answered any flow since, the opening was probably lost and is sent to
// the same server; otherwise it is sent to another one.
func (s *Steerer) handleRetransmit(vs *viewState, route *bronzeroute.Route, f *flow, p *Packet, at time.Duration, now time.Time) Decision {
	v := vs.view
	f.seenAt = at
	server := v.ByName(f.backend.instance)
	if f.open {
		if server == nil || server.Status == bronzeroute.Gone {
			return s.ifConfirmed(Decision{Kind: End, Reason: ServerGone})
		}
		if server.Status == bronzeroute.Draining {
			return Decision{Reason: NoServer, Tried: server}
		}
		return Decision{Kind: Forward, Reason: Repeated, Server: server, Token: f.token}
	}
	if server != nil && server.Status == bronzeroute.Serving && s.arrivedTogether(f, p, at) {
		return s.resend(server, f, at, now)
	}
	if server != nil && server.Status == bronzeroute.Serving && f.backend.answeredSince(f.sentAt(f.openedAt)) {
		return s.resend(server, f, at, now)
	}
	s.recordUnanswered(f.backend, f.sentAt(f.openedAt), at, openingWeight)
	next := s.place(vs, route, p, f.backend, at, now)
	if next.server == nil {
		if server == nil || server.Status == bronzeroute.Gone {
			return Decision{Kind: End, Reason: NoServer}
		}
		return s.resend(server, f, at, now)
	}
	f.retry(next, v.Token(route.Service, next.server), at)
	return Decision{Kind: Forward, Reason: Retried, Server: next.server, Token: f.token, Tried: server}
}

// resend sends a retransmitted opening to the server that was sent the first, unless that
// server may take no openings. It is then dropped and not refused, because the first may
// have arrived.
func (s *Steerer) resend(server *bronzeroute.Server, f *flow, at time.Duration, now time.Time) Decision {
	switch {
	case server.ZoneDrained:
		return Decision{Reason: ZoneDrained, Tried: server}
	case server.Status == bronzeroute.Draining:
		return Decision{Reason: NoServer, Tried: server}
	case s.isRateLimited(server, now) && !s.takeColdSend(server, f.backend, at):
		return Decision{Reason: ServersCold, Tried: server}
	default:
		return Decision{Kind: Forward, Reason: Repeated, Server: server, Token: f.token}
	}
}

// arrivedTogether reports whether a retransmitted opening says nothing about the server,
// since it came too soon after the first. If it is the caller's own retransmission, this
// node is delayed: after a pause or an overload, the queued openings are those of callers
// that have long given up. No caller would continue at the servers that these are sent to,
// and all of the servers would seem silent.
func (s *Steerer) arrivedTogether(f *flow, p *Packet, at time.Duration) bool {
	if at-f.openedAt >= minRetransmitGap {
		return false
	}
	if p.Retransmits > 0 {
		s.health.recordDelay(at)
		f.dropPending()
	}
	return true
}

// ifConfirmed returns a decision to refuse a packet because of the records, or drops the
// packet while the records are unconfirmed.
func (s *Steerer) ifConfirmed(d Decision) Decision {
	if s.recordsUnconfirmed.Load() {
		return Decision{Reason: Unsure}
	}
	return d
}

// forwardByToken forwards a packet of an established flow to the server of its token.
func (s *Steerer) forwardByToken(vs *viewState, p *Packet, now time.Time) Decision {
	v := vs.view
	service := p.Key.ServiceAddrPort()
	route := v.Route(service)
	if route == nil {
		if v.Withdrawn(service) {
			return s.ifConfirmed(Decision{Kind: End, Reason: RouteWithdrawn})
		}
		return Decision{Reason: NoRoute}
	}
	at := s.sinceStart(now)
	sh := s.shard(p)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	f := sh.flows[p.Key]
	token := p.Token
	if f != nil && token != 0 && !f.contains(p) {
		// The caller has used its port again: the flow is another one.
		sh.remove(p.Key, at)
		f = nil
	}
	var other *bronzeroute.Server
	if f != nil && f.open {
		// Two servers may have accepted transmissions of the opening. The caller continues
		// with the one whose acceptance came first, but the acceptance of the other may
		// still change the token that the caller sends back.
		token = f.token
		other = s.recordLateAccept(vs, f, p, at)
	}
	if token == 0 {
		return Decision{Reason: NoToken}
	}
	server := v.ByToken(service, token)
	switch {
	case server == nil:
		return Decision{Reason: TokenUnknown}
	case server.Status == bronzeroute.Gone && s.recordsUnconfirmed.Load():
		return Decision{Reason: Unsure}
	case server.Status == bronzeroute.Gone:
		sh.remove(p.Key, at)
		return Decision{Kind: End, Reason: ServerGone, Tried: server}
	}
	b := vs.backendOf(server, f)
	adopted := f == nil
	if adopted {
		account := s.account(route)
		if denial := account.Admit(); denial != bronzepool.Admitted {
			return Decision{Kind: Forward, Reason: Steered, Server: server, Token: token, TrackingDenial: denial}
		}
		f = adopt(sh, route, account, p, b, token, at)
	}
	handshakeTime, hedge := time.Duration(0), NotHedged
	if !f.open {
		handshakeTime = at - f.openedAt
		hedge = f.settle(b, at)
	}
	opened := !f.open || adopted && f.opening != nil
	s.observePacket(f, b, token, p, at)
	if opened {
		s.correctAll(f, at)
	}
	if f.idempotent && p.Length > 0 && s.unresponsive(b, f.countedUnanswered, at) {
		sh.remove(p.Key, at)
		return Decision{Kind: End, Reason: ServerSilent, Tried: server}
	}
	f.final = f.final || p.Final
	if p.Abort {
		sh.remove(p.Key, at)
	}
	return Decision{
		Kind: Forward, Reason: Steered, Server: server, Token: token, HandshakeTime: handshakeTime, Hedge: hedge,
		Adopted: adopted, Other: other,
	}
}

// recordLateAccept records that a further server has accepted a flow's opening, as the
// token sent back by the caller shows: that server was late, not silent. It returns the server,
// or nil if the token is that of the flow's own.
func (s *Steerer) recordLateAccept(vs *viewState, f *flow, p *Packet, at time.Duration) (other *bronzeroute.Server) {
	if p.Token == f.token || p.Token == 0 {
		return nil
	}
	other = vs.view.ByToken(p.Key.ServiceAddrPort(), p.Token)
	if other == nil || other.Status == bronzeroute.Gone {
		return nil
	}
	b := vs.backendOf(other, nil)
	if b == f.backend {
		return nil
	}
	if !b.answeredSince(f.openedAt) {
		s.recordAnswer(b, at)
	}
	s.correctLateAccept(f, b, p.Token, at)
	return other
}

// adopt starts tracking a flow that another node has opened.
func adopt(sh *shard, route *bronzeroute.Route, account *bronzepool.Account, p *Packet, b *backend, token uint32, at time.Duration) *flow {
	f := &flow{
		account: account, token: token, backend: b, open: true,
		openedAt: at, seenAt: at,
		sequence: p.Sequence, acknowledged: p.Acknowledged,
		idempotent: route.Idempotent,
	}
	if f.opening = sh.takePeerOpening(p); f.opening != nil {
		f.opening.addServer(b, token)
	}
	account.Established()
	f.backend.addFlows(1)
	sh.flows[p.Key] = f
	return f
}
