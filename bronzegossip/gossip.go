package bronzegossip

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzerecord"
)

const (
	// TickInterval is how often Tick is to be called.
	TickInterval = 100 * time.Millisecond
	// gossipInterval is how often a node tells others about itself when there is
	// nothing new, and largeInterval the same with more than tellAll others, whose
	// messages carry more loads.
	gossipInterval     = 400 * time.Millisecond
	largeFleetInterval = time.Second
	// fanout is how many others a node tells at a time. News that each passes on so
	// reaches a fleet in few steps.
	fanout = 3
	// smallFleet is up to how many others a node that has news tells all of them.
	smallFleet = 12
	// minConfirmationAdvance is by how much the store's last word must be newer than what was
	// known to be passed on at once.
	minConfirmationAdvance = 500 * time.Millisecond
	// startupFetchDelay is how long a node that has started waits for the store's
	// records, unless the store fails, before it asks a peer for them.
	startupFetchDelay = 500 * time.Millisecond
	// behindTimeout is how long a node may know of newer records before it
	// reads the store itself. A fetch takes some tens of milliseconds. behindEpochFor
	// is the same for records of a later epoch, which all nodes fetch whole, a few from
	// each that has them.
	behindTimeout      = 300 * time.Millisecond
	epochBehindTimeout = 1500 * time.Millisecond
	// peersPerMessage is how many other nodes a message names.
	peersPerMessage = 3
	// maxDeltaBytes bounds the records that come with the news, in bytes.
	maxDeltaBytes = 700
)

// Gossip is one node's part. Its exported fields must not change after the
// first use. All methods may be called concurrently.
type Gossip struct {
	// Self is this node. Incarnation is to be higher at each start.
	Self Peer
	// Seeds are addresses that may be nodes'; SetSeeds changes them.
	Seeds []netip.AddrPort
	// Records are this node's.
	Records *bronzerecord.Set
	// Send sends a datagram. It must not wait.
	Send func(to netip.AddrPort, b []byte)
	// Fetch is called when peer has newer records than this node, with the position of
	// this node's. It must not wait; calls while one is under way are to be
	// ignored.
	Fetch func(peer Peer, since bronzerecord.Position)
	// FetchLostHistory is called when peer remembers more than this node of what the store lost
	// by coming back from a copy. It is called like Fetch; nil if nothing is remembered.
	FetchLostHistory func(peer Peer)
	// Random returns a number in [0, n); rand.IntN if nil.
	Random func(n int) int
	// Loads returns this node's loads on servers, nil for none, and the latencies of the
	// same servers, in milliseconds.
	Loads func() (loads []Load, latencies []uint32)
	// OnLoads is called with another node's loads, and the latencies of their servers if
	// the node told them.
	OnLoads func(from string, loads []Load, latencies []uint32, now time.Time)
	// Reports returns what is to be told of servers, all there is or what is new since the
	// last call that asked for that.
	Reports func(all bool, now time.Time) []Report
	// OnReports is called with what another node tells of servers. Report passes on what
	// is new in it.
	OnReports func(reports []Report, now time.Time)
	// OnPeer is called when a node is heard of or no longer is.
	OnPeer func(p Peer, event string)
	// Count is called with the reason of each refusal.
	Count func(reason string)

	mu sync.Mutex
	// peers are all nodes known, byName the same by name. chosen is what choose
	// works with.
	peers      map[string]*peer
	byName     []*peer
	candidates []*peer
	// confirmedAt is when the store last said to some node that there is nothing newer
	// than this node's records.
	confirmedAt time.Time
	nextGossip  time.Time
	// nextReports is when reports may be passed on next, and reportsDue says that there
	// are some.
	nextReports time.Time
	reportsDue  bool
	startedAt   time.Time
	// behindSince is since when this node knows of the position missed, which it doesn't have;
	// the zero time if it has all that it knows of. highest is the latest that it knows of.
	behindSince time.Time
	awaited     bronzerecord.Position
	latest      bronzerecord.Position
	// newerPeer is the node that last told of newer records than this one's, and
	// storeFailed says that the store has failed this node.
	newerPeer   Peer
	storeFailed bool
	leaving     bool
	// resumedAt is when the node last went on after it stood still, and unheard for how long
	// it heard nobody by then.
	resumedAt time.Time
	pausedFor time.Duration
	outbox    []datagram
}

// datagram is a message that is sent after the lock is released.
type datagram struct {
	to netip.AddrPort
	m  Message
	// full says that the message is to have loads and other nodes.
	full bool
}

// Spread tells others what changed in this node's records.
func (g *Gossip) Spread(delta bronzerecord.Delta, now time.Time) {
	g.runLocked(now, func() {
		if estimateBytes(delta) <= maxDeltaBytes && !delta.Whole {
			g.spread(now, &delta)
			return
		}
		g.spread(now, nil)
	})
}

func estimateBytes(d bronzerecord.Delta) (n int) {
	for _, r := range d.Changed {
		n += len(r.Name) + len(r.Body) + 32
	}
	for _, r := range d.Removed {
		n += len(r.Name) + 16
	}
	return n
}

// Suspended takes into account that the clock has stood still for d while the node
// didn't run: the store's last word is older by that.
func (g *Gossip) Suspended(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.confirmedAt.IsZero() {
		g.confirmedAt = g.confirmedAt.Add(-d)
	}
}

// Paused takes into account that the node didn't run until now: for paused by its clock,
// and for suspended that the clock didn't count. It heard nobody meanwhile, and nobody is
// lost for that. Otherwise a node that woke would take itself for the only one and the
// store's last word for lost, and read the store with all others that woke.
func (g *Gossip) Paused(paused, suspended time.Duration, now time.Time) {
	g.Suspended(suspended)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resumedAt, g.pausedFor = now, paused
}

// Leave tells all nodes known that this one is about to end.
func (g *Gossip) Leave(now time.Time) {
	g.runLocked(now, func() {
		g.leaving = true
		for _, p := range g.livePeers(now) {
			g.queueUpdate(p.Address, now, nil)
		}
	})
}

// SetSeeds replaces the seeds.
func (g *Gossip) SetSeeds(seeds []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Seeds = seeds
}

// Tick does what is due.
func (g *Gossip) Tick(now time.Time) {
	g.runLocked(now, func() {
		if g.startedAt.IsZero() {
			g.startedAt = now
		}
		g.expire(now)
		g.sendDueReports(now)
		if now.Before(g.nextGossip) {
			return
		}
		every := g.interval()
		g.nextGossip = now.Add(every/2 + time.Duration(g.random(int(every))))
		for _, to := range g.targets(now, fanout) {
			g.queueRequest(to, now)
		}
		g.probeLost(now)
		g.probeSeeds(now)
	})
}

func (g *Gossip) interval() time.Duration {
	if len(g.peers) > smallFleet {
		return largeFleetInterval
	}
	return gossipInterval
}

func (g *Gossip) random(n int) int {
	if g.Random != nil {
		return g.Random(n)
	}
	return rand.IntN(n)
}

// probeLost asks one of the nodes that are no longer heard of. After a
// partition its sides find each other by that.
func (g *Gossip) probeLost(now time.Time) {
	var lost []*peer
	for _, p := range g.byName {
		if p.lost && !p.Leaving {
			lost = append(lost, p)
		}
	}
	if len(lost) > 0 {
		g.queueRequest(lost[g.random(len(lost))].Address, now)
	}
}

// probeSeeds asks the seeds while few nodes are heard of. Seeds may be
// stale; among the nodes heard of are soon better ones.
func (g *Gossip) probeSeeds(now time.Time) {
	if g.liveCount(now) >= fanout {
		return
	}
	for _, seed := range g.Seeds {
		if seed != g.Self.Address {
			g.queueRequest(seed, now)
		}
	}
}

// Handle takes a datagram of another node.
func (g *Gossip) Handle(b []byte, now time.Time) {
	m, err := decode(b)
	if err != nil {
		g.count("Malformed")
		return
	}
	if m.From.Name == g.Self.Name {
		return
	}
	applied := m.Delta != nil && g.Records.Apply(*m.Delta)
	g.runLocked(now, func() { g.merge(&m, applied, now) })
	if g.OnLoads != nil && len(m.Loads) > 0 {
		g.OnLoads(m.From.Name, m.Loads, m.Latencies, now)
	}
	if g.OnReports != nil && len(m.Reports) > 0 {
		g.OnReports(m.Reports, now)
	}
	if own := g.Records.Position(); own.Before(m.position()) && g.shouldFetch(own, &m, now) {
		g.Fetch(m.From, own)
	}
	if g.FetchLostHistory != nil && g.needsLostHistory(&m) {
		g.FetchLostHistory(m.From)
	}
}

// needsLostHistory reports whether the sender of a message remembers earlier epochs further than this
// node, which may have started since.
func (g *Gossip) needsLostHistory(m *Message) bool {
	if m.former().IsZero() || m.Epoch != g.Records.Position().Epoch {
		return false
	}
	former, _ := g.Records.FormerPosition()
	return former.Before(m.former())
}

// StoreFailed notes that the store didn't answer this node. A node that has no
// records yet has them from a peer at once then: its callers wait for them.
func (g *Gossip) StoreFailed() {
	g.mu.Lock()
	g.storeFailed = true
	ahead := g.newerPeer
	g.mu.Unlock()
	if g.Fetch != nil && ahead.Name != "" && g.Records.Position().IsZero() {
		g.Fetch(ahead, bronzerecord.Position{})
	}
}

// shouldFetch reports whether to fetch records from the sender of a message. A node that has
// none reads the store at its start, and ends that when it has them from a peer: from one
// whose records the store has confirmed of late, which is there sooner than a dozen pages.
// Where all start at once nobody's are, and hundreds that asked each other for all records
// would only be slower.
func (g *Gossip) shouldFetch(own bronzerecord.Position, m *Message, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.Fetch == nil {
		return false
	}
	confirmed := time.Duration(m.ContactMS)*time.Millisecond < confirmationTimeout
	return !own.IsZero() || confirmed || g.storeFailed || now.Sub(g.startedAt) >= startupFetchDelay
}

// merge takes a message in, and passes on what is new in it.
func (g *Gossip) merge(m *Message, applied bool, now time.Time) {
	g.updateSender(m.From, now)
	for _, p := range m.Peers {
		g.updatePeer(p, now)
	}
	if g.Records.Position().Before(m.position()) {
		g.newerPeer = m.From
	}
	g.noteLatest(m.position(), now)
	news := g.mergeConfirmation(m.position(), now.Add(-time.Duration(m.ContactMS)*time.Millisecond), now)
	switch {
	case applied:
		g.spread(now, m.Delta)
	case news:
		g.spread(now, nil)
	case m.Answer:
		g.queueReply(m.From.Address, now)
	}
}

// spread tells some others, or all if they are few.
func (g *Gossip) spread(now time.Time, delta *bronzerecord.Delta) {
	n := fanout
	if len(g.peers) <= smallFleet {
		n = smallFleet
	}
	for _, to := range g.targets(now, n) {
		g.queueUpdate(to, now, delta)
	}
}

// targets returns the addresses of up to n nodes that were heard of lately.
func (g *Gossip) targets(now time.Time, n int) (to []netip.AddrPort) {
	for _, p := range g.randomPeers(now, n) {
		to = append(to, p.Address)
	}
	return to
}

// queueRequest queues a message that has all there is and wants the same back, answer
// one that has it; the caller holds the lock.
func (g *Gossip) queueRequest(to netip.AddrPort, now time.Time) {
	g.queue(to, now, Message{Answer: true}, true)
}

func (g *Gossip) queueReply(to netip.AddrPort, now time.Time) {
	g.queue(to, now, Message{}, true)
}

// queueUpdate queues news alone.
func (g *Gossip) queueUpdate(to netip.AddrPort, now time.Time, delta *bronzerecord.Delta) {
	g.queue(to, now, Message{Delta: delta}, false)
}

func (g *Gossip) queue(to netip.AddrPort, now time.Time, m Message, whole bool) {
	m.From = g.Self
	m.From.Leaving = g.leaving
	own := g.Records.Position()
	m.Epoch, m.Revision = own.Epoch, own.Revision
	if former, lost := g.Records.FormerPosition(); lost > 0 {
		m.FormerEpoch, m.FormerRevision = former.Epoch, former.Revision
	}
	m.ContactMS = g.confirmationAgeMS(now)
	if whole {
		m.Peers = g.samplePeers(now)
	}
	g.outbox = append(g.outbox, datagram{to: to, m: m, full: whole})
}

// samplePeers returns a few nodes to name to others.
func (g *Gossip) samplePeers(now time.Time) (peers []Peer) {
	for _, p := range g.randomPeers(now, peersPerMessage) {
		peers = append(peers, p.advertised(now))
	}
	return peers
}

// runLocked runs a step under the lock and sends what it left to be sent.
func (g *Gossip) runLocked(now time.Time, step func()) {
	g.mu.Lock()
	step()
	out := g.outbox
	g.outbox = nil
	g.mu.Unlock()
	g.fillFull(out, now)
	for i := range out {
		b, err := out[i].m.encodeBounded()
		if err != nil {
			g.count("NotEncoded")
			continue
		}
		g.Send(out[i].to, b)
	}
}

// fillFull puts into the messages that have all there is what is gathered once for all of them.
func (g *Gossip) fillFull(out []datagram, now time.Time) {
	if !slices.ContainsFunc(out, func(d datagram) bool { return d.full }) {
		return
	}
	var loads []Load
	var latencies []uint32
	if g.Loads != nil {
		loads, latencies = g.Loads()
	}
	reports := g.reports(true, now)
	for i := range out {
		if out[i].full {
			out[i].m.Loads, out[i].m.Latencies, out[i].m.Reports = loads, latencies, reports
		}
	}
}

// encodeBounded returns the bytes of m, without reports and then without what else may be long if
// they are too many.
func (m *Message) encodeBounded() (b []byte, err error) {
	b, err = encode(m)
	if err == nil && len(b) > MaxMessageBytes {
		m.Reports = nil
		b, err = encode(m)
	}
	if err == nil && len(b) > MaxMessageBytes {
		m.Delta, m.Loads, m.Latencies = nil, nil, nil
		b, err = encode(m)
	}
	return b, err
}

func (g *Gossip) count(reason string) {
	if g.Count != nil {
		g.Count(reason)
	}
}

// neverConfirmedMS is the age of the store's last word to a node that has heard none, in
// milliseconds: 24 days. The time since its start must not stand for it. Others
// would take it for the store's word, and while nodes start one after the other
// never find that those that read the store are cut off from it.
const neverConfirmedMS = 1 << 31

// confirmationAgeMS returns how long ago the store's last word was, for others.
func (g *Gossip) confirmationAgeMS(now time.Time) uint32 {
	if g.confirmedAt.IsZero() {
		return neverConfirmedMS
	}
	return milliseconds(now.Sub(g.confirmedAt))
}

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), neverConfirmedMS))
}
