package bronzeedge

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzegossip"
	"bronzeusher.example/bronzeusher/bronzerecord"
	"bronzeusher.example/bronzeusher/bronzesocket"
	"bronzeusher.example/bronzeusher/bronzesteer"
)

const (
	// tickInterval is how often timers of the decisions and of the directory
	// are looked at.
	tickInterval = 100 * time.Millisecond
	// headerTimeout bounds how long a connection may take to ask.
	headerTimeout = 5 * time.Second
)

// Edge is the daemon of one entry VM. New makes one; Run runs it once.
type Edge struct {
	cfg      Config
	adapter  Adapter
	log      *Log
	counts   *counters
	started  time.Time
	steerer  bronzesteer.Steerer
	records  bronzerecord.Set
	follower bronzerecord.Follower
	book     book
	held     held
	cfgMu    sync.Mutex
	grace    time.Duration // guarded by cfgMu

	gossip   bronzegossip.Gossip
	fetching atomic.Bool
	fetches  *http.Client
	zipped   zipped
	copies   atomic.Int32 // copies of all records that are being sent
	reading  atomic.Bool  // whether this node reads the store, as last logged
	store    storeState   // used by the follower alone

	suspended suspension
	pauses    pauses

	data    *bronzesocket.Socket
	peers   *net.UDPConn
	ready   net.Listener
	control net.Listener
	metrics net.Listener // nil if there is no address for it, or it can't be had

	known     chan struct{} // closed at the first view
	knownOnce sync.Once
	leaving   chan struct{} // closed by Leave
	leaveOnce sync.Once
	// packetAt is when the last packet of a caller came, since started.
	packetAt atomic.Int64
}

// New opens the addresses of cfg.
func New(cfg Config, adapter Adapter, log *Log) (e *Edge, err error) {
	defer func() { err = errors.Wrap(err, "make an edge") }()
	if err = cfg.Check(); err != nil {
		return nil, err
	}
	e = &Edge{
		cfg: cfg, adapter: adapter, log: log, counts: newCounters(), started: time.Now(), grace: cfg.grace(),
		known: make(chan struct{}), leaving: make(chan struct{}),
	}
	e.steerer.AvailabilityZone = cfg.AvailabilityZone
	e.steerer.Region = cfg.Region
	e.steerer.Regions = cfg.Regions
	e.steerer.Memory = int64(cfg.MemoryMB * (1 << 20))
	e.steerer.OnEvent = e.onServerEvent
	e.records.OnChange = e.onRecords
	if err = e.listen(); err != nil {
		e.closeAddresses()
		return nil, err
	}
	bound := e.Addresses()
	e.cfg.DataAddress, e.cfg.PeerAddress, e.cfg.ControlAddress = bound.Data, bound.Peer, bound.Control
	e.connectPeers()
	e.follower = bronzerecord.Follower{
		Source: adapter.Source(e.counts.call), Set: &e.records, OnEvent: e.onStoreEvent, Active: e.reads,
		Yield: func() bool { return e.gossip.Yields(time.Now()) },
	}
	return e, nil
}

// listen opens all addresses.
func (e *Edge) listen() (err error) {
	if e.ready, err = net.Listen("tcp", e.cfg.ReadyAddress.String()); err != nil {
		return errors.Wrap(err, "ReadyAddress")
	}
	if e.control, err = net.Listen("tcp", e.cfg.ControlAddress.String()); err != nil {
		return errors.Wrap(err, "ControlAddress")
	}
	e.listenForMetrics()
	if e.peers, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(e.cfg.PeerAddress)); err != nil {
		return errors.Wrap(err, "PeerAddress")
	}
	e.data, err = bronzesocket.Listen(e.cfg.DataAddress.String())
	return errors.Wrap(err, "DataAddress")
}

// listenForMetrics opens the address for metrics, if there is one. Packets don't
// need it: if it can't be opened the node serves without, and says so. A node that
// ended for it would be started again and again, and serve nobody.
func (e *Edge) listenForMetrics() {
	if !e.cfg.MetricsAddress.IsValid() {
		return
	}
	l, err := net.Listen("tcp", e.cfg.MetricsAddress.String())
	if err != nil {
		e.log.Line("MetricsNotServed", Fields{"Address": e.cfg.MetricsAddress.String(), "Error": err.Error()})
		return
	}
	e.metrics = l
}

// closeAddresses closes whatever is open. What was closed before says so,
// which is of no interest.
func (e *Edge) closeAddresses() {
	if e.ready != nil {
		_ = e.ready.Close()
	}
	if e.control != nil {
		_ = e.control.Close()
	}
	if e.metrics != nil {
		_ = e.metrics.Close()
	}
	if e.peers != nil {
		_ = e.peers.Close()
	}
	if e.data != nil {
		_ = e.data.Close()
	}
}

// Addresses are what an Edge listens on.
type Addresses struct {
	Data, Peer, Ready, Control, Metrics netip.AddrPort
}

// Addresses returns what was bound, where the settings have port 0.
func (e *Edge) Addresses() (a Addresses) {
	a.Data = e.data.LocalAddrPort()
	a.Peer = e.peers.LocalAddr().(*net.UDPAddr).AddrPort()
	a.Ready = e.ready.Addr().(*net.TCPAddr).AddrPort()
	a.Control = e.control.Addr().(*net.TCPAddr).AddrPort()
	if e.metrics != nil {
		a.Metrics = e.metrics.Addr().(*net.TCPAddr).AddrPort()
	}
	return a
}

// Run serves until ctx is done or Leave has ended it.
func (e *Edge) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "run "+e.cfg.Name) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.log.Line("Started", Fields{"Name": e.cfg.Name, "AvailabilityZone": e.cfg.AvailabilityZone})
	pool := pond.NewPool(0, pond.WithoutPanicRecovery())
	pool.Submit(func() { _ = e.follower.Run(ctx) })
	// The store's answer is on its way while the rest is set up: 5 ms sooner on a
	// node with one core, for which callers wait after a power cut.
	runtime.Gosched()
	pool.Submit(func() { e.readPackets(ctx) })
	pool.Submit(func() { e.releaseHeld(ctx) })
	pool.Submit(func() { e.readPeers(ctx) })
	pool.Submit(func() { e.tick(ctx) })
	servers := e.serve(pool)
	select {
	case <-ctx.Done():
	case <-e.leaving:
		e.waitUntilQuiet(ctx)
	}
	cancel()
	for _, server := range servers {
		_ = server.Close()
	}
	e.closeAddresses()
	pool.StopAndWait()
	e.log.Line("Stopped", Fields{"Name": e.cfg.Name})
	return nil
}

// serve answers routers, other nodes and operators by HTTP until the servers that
// it returns are closed.
func (e *Edge) serve(pool pond.Pool) (servers []*http.Server) {
	begin := func(l net.Listener, handler http.Handler) {
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		servers = append(servers, server)
		pool.Submit(func() { _ = server.Serve(l) })
	}
	begin(e.ready, e.readyHandler())
	begin(e.control, e.controlHandler())
	if e.metrics != nil {
		begin(e.metrics, e.metricsHandler())
	}
	return servers
}

// Leave makes the node not ready for good and ends it when no more packets
// come, or its grace is over.
func (e *Edge) Leave() {
	e.leaveOnce.Do(func() {
		e.log.Line("Leaving", Fields{"Name": e.cfg.Name})
		close(e.leaving)
		e.gossip.Leave(time.Now())
	})
}

// Reload takes in changed settings. Those that name this node or its addresses
// are in force from the next start on. Settings with an error leave the old
// ones in force.
func (e *Edge) Reload(cfg Config, err error) {
	if err != nil {
		e.log.Line("SettingsRefused", Fields{"Error": err.Error()})
		return
	}
	e.cfgMu.Lock()
	e.grace = cfg.grace()
	e.cfgMu.Unlock()
	e.gossip.SetSeeds(e.peerAddresses(cfg.Seeds))
	e.log.Line("SettingsInForce", Fields{"Seeds": cfg.Seeds, "GraceSeconds": cfg.GraceSeconds, "NextStart": e.cfg.restartFields(&cfg)})
}

const (
	// leaveLeast is the least time of leaving: routers must have asked twice.
	leaveLeast = 1200 * time.Millisecond
	// leaveMargin is how long before the end of its grace a node ends by
	// itself.
	leaveMargin = 500 * time.Millisecond
)

func (e *Edge) waitUntilQuiet(ctx context.Context) {
	begun := time.Now()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		passed := time.Since(begun)
		quiet := time.Since(e.started) - time.Duration(e.packetAt.Load())
		if passed >= e.graceTime()-leaveMargin || passed >= leaveLeast && quiet >= e.cfg.quiet() {
			return
		}
	}
}

func (e *Edge) graceTime() time.Duration {
	e.cfgMu.Lock()
	defer e.cfgMu.Unlock()
	return e.grace
}

// isLeaving reports whether Leave was called.
func (e *Edge) isLeaving() bool {
	select {
	case <-e.leaving:
		return true
	default:
		return false
	}
}

// tick looks at timers until ctx is done.
func (e *Edge) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	w := e.newWorker()
	now := time.Now()
	e.pauses.begin(now)
	// The seeds are asked at once: a peer may have all records before the store has
	// answered for them.
	e.gossip.Tick(now)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.lookForPause()
		now := time.Now()
		e.gossip.Tick(now)
		e.noteConfirmed(now)
		e.counts.knowledge.RecordDuration(e.gossip.SinceConfirmed(now))
		for _, ending := range e.steerer.Sweep(now) {
			w.end(&ending)
		}
		w.flush()
		e.tellReports(now)
		e.tellNear(now)
		e.advance(now)
	}
}
