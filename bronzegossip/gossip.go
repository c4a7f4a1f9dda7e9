package bronzegossip

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bronzeusher.example/bronzeusher/bronzerecord"
)

const (
	// TickInterval is the interval at which Tick should be called.
	TickInterval = 100 * time.Millisecond
	// gossipInterval is the mean time between two rounds of requests to peers.
	// largeFleetInterval applies with more than smallFleet known peers, whose messages
	// carry more loads.
	gossipInterval     = 400 * time.Millisecond
	largeFleetInterval = time.Second
	// fanout is the number of peers that a node sends to in a round. Each receiver
	// forwards news to as many, so it reaches the whole fleet in a few rounds.
	fanout = 3
	// smallFleet is the number of known peers up to which news goes to all of them
	// instead of fanout.
	smallFleet = 12
	// minConfirmationAdvance is how much newer than the last known one a confirmation by
	// the store must be to be forwarded at once.
	minConfirmationAdvance = 500 * time.Millisecond
	// startupFetchDelay is how long a starting node without records waits for the store
	// before it fetches them from a peer whose records have no recent confirmation. After
	// a failure of the store it doesn't wait.
	startupFetchDelay = 500 * time.Millisecond
	// behindTimeout is how long a node may know of newer records before it reads the
	// store itself. A fetch from a peer takes some tens of milliseconds.
	// epochBehindTimeout applies to records of a later epoch, which every node fetches as
	// a snapshot, a few nodes from each peer that has it.
	behindTimeout      = 300 * time.Millisecond
	epochBehindTimeout = 1500 * time.Millisecond
	// peersPerMessage is the number of peers that a full message names.
	peersPerMessage = 3
	// maxDeltaBytes is the size of the largest delta that is sent along with a new
	// position. Peers fetch larger ones.
	maxDeltaBytes = 700
)

// Gossip runs the protocol for one node. Its exported fields must not change after the
// first use. All methods may be called concurrently.
type Gossip struct {
	// Self describes this node. Its Incarnation must be higher at each start.
	Self Peer
	// Seeds are addresses at which there may be other nodes. SetSeeds replaces them.
	Seeds []netip.AddrPort
	// Records is this node's copy of the store's records.
	Records *bronzerecord.Set
	// Send sends a datagram. It must not block.
	Send func(to netip.AddrPort, b []byte)
	// Fetch is called when peer has newer records than this node, whose position is
	// since. It must not block, and must ignore calls while a fetch is in progress.
	Fetch func(peer Peer, since bronzerecord.Position)
	// FetchLostHistory is called, like Fetch, when peer knows more than this node of the
	// history that the store lost when it was restored from a backup. It is nil if lost
	// history isn't kept.
	FetchLostHistory func(peer Peer)
	// Random returns a number in [0, n); rand.IntN if nil.
	Random func(n int) int
	// Loads returns this node's loads on servers, nil if there are none, and the
	// latencies of the same servers in milliseconds.
	Loads func() (loads []Load, latencies []uint32)
	// OnLoads is called with a peer's loads, and with the latencies of the same servers
	// if the message has them.
	OnLoads func(from string, loads []Load, latencies []uint32, now time.Time)
	// Sums returns this node's own demand for pools, at most four of them.
	Sums func(now time.Time) []Sum
	// OnSums is called with a peer's demand for pools and the peer's AvailabilityZone.
	OnSums func(from, zone string, sums []Sum, now time.Time)
	// Reports returns the reports on servers to send: all of them, or those that are new
	// since the last call with all false.
	Reports func(all bool, now time.Time) []Report
	// OnReports is called with a peer's reports on servers. SpreadReports forwards those
	// that are new.
	OnReports func(reports []Report, now time.Time)
	// OnOpenings is called with a peer's stalled openings.
	OnOpenings func(openings []Opening, now time.Time)
	// OnPeer is called with PeerFound, PeerLost or PeerLeft when the state of a peer
	// changes.
	OnPeer func(p Peer, event string)
	// Count is called with the reason for each message that is dropped.
	Count func(reason string)
	// OnDelay is called with how much later than the first message about an answer of the
	// store a message arrived that repeats it.
	OnDelay func(d time.Duration)

	mu sync.Mutex
	// peers holds all known peers by name, byName the same in the order of names.
	// candidates is reused by randomPeers.
	peers      map[string]*peer
	byName     []*peer
	candidates []*peer
	// confirmations are the store's answers to any node that there is nothing newer than
	// this node's records. loading are its answers to nodes that read all records and have
	// more of them to read. ownAnswers numbers those to this node.
	confirmations answers
	loading       answers
	ownAnswers    uint64
	nextGossip    time.Time
	// nextReports is the earliest time of the next round of reports. reportsDue is set if
	// there are reports to send.
	nextReports time.Time
	reportsDue  bool
	startedAt   time.Time
	// behindSince is since when this node has known of the position awaited, which it
	// hasn't reached, or zero if it has reached latest, the highest position that it
	// knows of.
	behindSince time.Time
	awaited     bronzerecord.Position
	latest      bronzerecord.Position
	// newerPeer is the peer that last advertised newer records than this node's.
	// storeFailed is set once the store has failed this node.
	newerPeer   Peer
	storeFailed bool
	leaving     bool
	// resumedAt is when the node last resumed after a pause, and pausedFor how long it
	// had received nothing by then.
	resumedAt time.Time
	pausedFor time.Duration
	// clockBegin is when clock was first read, suspendedFor the time since for which the node
	// was suspended.
	clockBegin   time.Time
	suspendedFor time.Duration
	outbox       []datagram
	// openingLimit limits the messages with openings.
	openingLimit *rate.Limiter
}

// datagram is a message to be sent after the lock is released.
type datagram struct {
	to netip.AddrPort
	m  Message
	// full messages also carry loads, latencies, reports and sums.
	full bool
}

// Spread sends peers what changed in this node's records: the delta itself if it is small
// and has no gaps, which not all nodes know, and only the new position otherwise.
func (g *Gossip) Spread(delta bronzerecord.Delta, now time.Time) {
	g.runLocked(now, func() {
		if estimateBytes(delta) <= maxDeltaBytes && !delta.Whole && len(delta.Gaps) == 0 {
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

// Suspended accounts for the clock having stopped for d while the node was suspended: the
// last confirmation by the store and its last answer to a node that reads all records are
// older by d.
func (g *Gossip) Suspended(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspendedFor += d
	g.confirmations.suspended(d)
	g.loading.suspended(d)
}

// Paused accounts for a pause of this node that ends now. It lasted for paused by the
// clock, and for suspended that the clock didn't count. The node received nothing
// meanwhile, so no peer is lost for that time. Otherwise a resumed node would consider
// itself the only one and the store's confirmation too old, and would read the store
// together with all other nodes that resumed.
func (g *Gossip) Paused(paused, suspended time.Duration, now time.Time) {
	g.Suspended(suspended)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resumedAt, g.pausedFor = now, paused
}

// Leave tells all live peers that this node is about to stop.
func (g *Gossip) Leave(now time.Time) {
	g.runLocked(now, func() {
		g.leaving = true
		for _, p := range g.livePeers(now) {
			g.queueUpdate(p.Address, now, nil)
		}
	})
}

// SetSeeds replaces Seeds.
func (g *Gossip) SetSeeds(seeds []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Seeds = seeds
}

// Tick does the periodic work: it expires peers, sends reports that are due and starts a
// round of requests when it is time.
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

// probeLost sends a request to one of the lost peers, so that the sides of a partition
// find each other once it ends.
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

// probeSeeds sends requests to the seeds while few peers are live. Seeds may be stale,
// and the live peers soon include better ones.
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

// Handle processes a datagram from another node.
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
	if g.OnSums != nil && len(m.Sums) > 0 {
		g.OnSums(m.From.Name, m.From.AvailabilityZone, m.Sums, now)
	}
	if g.OnReports != nil && len(m.Reports) > 0 {
		g.OnReports(m.Reports, now)
	}
	if g.OnOpenings != nil && len(m.Openings) > 0 {
		g.OnOpenings(m.Openings, now)
	}
	if own := g.Records.Position(); own.Before(m.position()) && g.shouldFetch(own, &m, now) {
		g.Fetch(m.From, own)
	}
	if g.FetchLostHistory != nil && g.needsLostHistory(&m) {
		g.FetchLostHistory(m.From)
	}
}

// needsLostHistory reports whether the sender of m is in the same epoch and knows earlier
// ones up to a later position than this node, which may have started since.
func (g *Gossip) needsLostHistory(m *Message) bool {
	if m.former().IsZero() || m.Epoch != g.Records.Position().Epoch {
		return false
	}
	former, _ := g.Records.FormerPosition()
	return former.Before(m.former())
}

// StoreFailed notes that the store didn't answer this node. A node that has no records
// yet then fetches them from a peer at once, because its callers are waiting for them.
func (g *Gossip) StoreFailed() {
	g.mu.Lock()
	g.storeFailed = true
	newerPeer := g.newerPeer
	g.mu.Unlock()
	if g.Fetch != nil && newerPeer.Name != "" && g.Records.Position().IsZero() {
		g.Fetch(newerPeer, bronzerecord.Position{})
	}
}

// shouldFetch reports whether to fetch records from the sender of m. A starting node
// without records reads the store, and stops when it has them from a peer. It fetches
// from a peer whose records the store has confirmed recently, which takes less time than
// loading a dozen pages. When all nodes start at once no peer's records are confirmed,
// and hundreds of nodes that fetch everything from each other would only be slower.
func (g *Gossip) shouldFetch(own bronzerecord.Position, m *Message, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.Fetch == nil {
		return false
	}
	confirmed := time.Duration(m.ContactMS)*time.Millisecond < confirmationTimeout
	return !own.IsZero() || confirmed || g.storeFailed || now.Sub(g.startedAt) >= startupFetchDelay
}

// merge updates the node's state from a message and forwards what is new. The caller
// holds the lock.
func (g *Gossip) merge(m *Message, applied bool, now time.Time) {
	g.correctAges(m, now)
	g.updateSender(m.From, now)
	for _, p := range m.Peers {
		g.updatePeer(p, now)
	}
	if g.Records.Position().Before(m.position()) {
		g.newerPeer = m.From
	}
	g.noteLatest(m.position(), now)
	forward := g.mergeConfirmation(m, now)
	forward = g.mergeLoading(m, now) || forward
	switch {
	case applied:
		g.spread(now, m.Delta)
	case forward:
		g.spread(now, nil)
	case m.Answer:
		g.queueReply(m.From.Address, now)
	}
}

// spread queues an update for fanout random live peers, or for all of them in a small
// fleet.
func (g *Gossip) spread(now time.Time, delta *bronzerecord.Delta) {
	n := fanout
	if len(g.peers) <= smallFleet {
		n = smallFleet
	}
	for _, to := range g.targets(now, n) {
		g.queueUpdate(to, now, delta)
	}
}

// targets returns the addresses of up to n random live peers.
func (g *Gossip) targets(now time.Time, n int) (to []netip.AddrPort) {
	for _, p := range g.randomPeers(now, n) {
		to = append(to, p.Address)
	}
	return to
}

// queueRequest queues a full message that asks for a full reply. The caller holds the
// lock, as for queueReply and queueUpdate.
func (g *Gossip) queueRequest(to netip.AddrPort, now time.Time) {
	g.queue(to, now, Message{Answer: true}, true)
}

func (g *Gossip) queueReply(to netip.AddrPort, now time.Time) {
	g.queue(to, now, Message{}, true)
}

// queueUpdate queues a message with this node's position and, unless it is nil, the delta
// that led there.
func (g *Gossip) queueUpdate(to netip.AddrPort, now time.Time, delta *bronzerecord.Delta) {
	g.queue(to, now, Message{Delta: delta}, false)
}

func (g *Gossip) queue(to netip.AddrPort, now time.Time, m Message, whole bool) {
	m.From = g.Self
	m.From.Leaving, m.From.SentMS = g.leaving, g.sentMS(now)
	own := g.Records.Position()
	m.Epoch, m.Revision = own.Epoch, own.Revision
	if former, lost := g.Records.FormerPosition(); lost > 0 {
		m.FormerEpoch, m.FormerRevision = former.Epoch, former.Revision
	}
	m.ContactMS, m.Confirmation = g.confirmationAgeMS(now), g.confirmations.last
	if m.LoadingMS = g.loadingAgeMS(now); m.LoadingMS != 0 {
		m.Loading = g.loading.last
	}
	if whole {
		m.Peers = g.samplePeers(now)
	}
	g.outbox = append(g.outbox, datagram{to: to, m: m, full: whole})
}

// samplePeers returns a few random live peers to name in a message.
func (g *Gossip) samplePeers(now time.Time) (peers []Peer) {
	for _, p := range g.randomPeers(now, peersPerMessage) {
		peers = append(peers, p.advertised(now))
	}
	return peers
}

// runLocked runs step under the lock and then sends the messages that it queued.
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

// fillFull adds loads, latencies, reports and sums to the full messages. They are
// collected once for all of them.
func (g *Gossip) fillFull(out []datagram, now time.Time) {
	if !slices.ContainsFunc(out, func(d datagram) bool { return d.full }) {
		return
	}
	var loads []Load
	var latencies []uint32
	if g.Loads != nil {
		loads, latencies = g.Loads()
	}
	var sums []Sum
	if g.Sums != nil {
		sums = g.Sums(now)
		sums = sums[:min(len(sums), maxSums)]
	}
	reports := g.reports(true, now)
	for i := range out {
		if out[i].full {
			out[i].m.Loads, out[i].m.Latencies, out[i].m.Reports = loads, latencies, reports
			out[i].m.Sums = sums
		}
	}
}

// encodeBounded returns the encoding of m. If it is longer than MaxMessageBytes, m loses
// its sums, then its reports, and if that isn't enough its delta, loads and latencies.
func (m *Message) encodeBounded() (b []byte, err error) {
	b, err = encode(m)
	if err == nil && len(b) > MaxMessageBytes {
		m.Sums = nil
		b, err = encode(m)
	}
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

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), neverConfirmedMS))
}
