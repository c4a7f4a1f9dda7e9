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
	// tickInterval is how often the timers of the gossip, the steerer and the directory are
	// checked.
	tickInterval = 100 * time.Millisecond
	// headerTimeout bounds the time to read the headers of a request.
	headerTimeout = 5 * time.Second
)

// Edge is the balancer daemon of one entry VM. Create it with New and call Run once.
type Edge struct {
	cfg      Config
	adapter  Adapter
	log      *Log
	counts   *counters
	started  time.Time
	steerer  bronzesteer.Steerer
	records  bronzerecord.Set
	follower bronzerecord.Follower
	routing  routingState
	held     heldPackets
	cfgMu    sync.Mutex // guards cfg.Seeds and grace
	grace    time.Duration

	gossip      bronzegossip.Gossip
	fetching    atomic.Bool
	fetchClient *http.Client
	deltas      deltaCache
	fullCopies  atomic.Int32 // full copies of the records being sent to peers
	wasReading  atomic.Bool  // last result of readsStore, as logged
	store       storeState   // used only by the follower

	suspensions suspensionDetector
	pauses      pauseDetector

	data    *bronzesocket.Socket
	peers   *net.UDPConn
	ready   net.Listener
	control net.Listener
	metrics net.Listener // nil if not configured or not opened

	firstView     chan struct{} // closed when the first view is published
	firstViewOnce sync.Once
	leaving       chan struct{} // closed by Leave
	leaveOnce     sync.Once
	// lastPacketAt is when the last caller's packet was read, as time since started.
	lastPacketAt atomic.Int64
}

// New creates an Edge and opens the addresses in cfg.
func New(cfg Config, adapter Adapter, log *Log) (e *Edge, err error) {
	defer func() { err = errors.Wrap(err, "create edge") }()
	if err = cfg.Check(); err != nil {
		return nil, err
	}
	e = &Edge{
		cfg: cfg, adapter: adapter, log: log, counts: newCounters(), started: time.Now(), grace: cfg.grace(),
		firstView: make(chan struct{}), leaving: make(chan struct{}),
	}
	e.steerer.AvailabilityZone = cfg.AvailabilityZone
	e.steerer.Region = cfg.Region
	e.steerer.Regions = cfg.Regions
	e.steerer.Memory = int64(cfg.MemoryMB * (1 << 20))
	e.steerer.OnEvent = e.onServerEvent
	e.steerer.SetRules(cfg.Overload.Rules())
	e.records.OnChange = e.onRecords
	if err = e.listen(); err != nil {
		e.closeListeners()
		return nil, err
	}
	bound := e.Addresses()
	e.cfg.DataAddress, e.cfg.PeerAddress, e.cfg.ControlAddress = bound.Data, bound.Peer, bound.Control
	e.setUpGossip()
	e.follower = bronzerecord.Follower{
		Source: adapter.Source(e.counts.call), Set: &e.records, OnEvent: e.onStoreEvent, Active: e.readsStore,
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
	e.listenMetrics()
	if e.peers, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(e.cfg.PeerAddress)); err != nil {
		return errors.Wrap(err, "PeerAddress")
	}
	e.data, err = bronzesocket.Listen(e.cfg.DataAddress.String())
	return errors.Wrap(err, "DataAddress")
}

// listenMetrics opens the metrics address, if configured. Forwarding doesn't depend on it,
// so a failure is logged and the node runs without metrics: a node that exited instead
// would be restarted again and again and serve nobody.
func (e *Edge) listenMetrics() {
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

// closeListeners closes whatever is open. Errors are ignored: it may be closed already.
func (e *Edge) closeListeners() {
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

// Addresses are the addresses that an Edge listens on.
type Addresses struct {
	Data, Peer, Ready, Control, Metrics netip.AddrPort
}

// Addresses returns the bound addresses. Where the settings have port 0, they have the
// actual port.
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

// Run serves until ctx is done, or until the node has left after a call of Leave.
func (e *Edge) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "run "+e.cfg.Name) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.log.Line("Started", Fields{"Name": e.cfg.Name, "AvailabilityZone": e.cfg.AvailabilityZone})
	pool := pond.NewPool(0, pond.WithoutPanicRecovery())
	pool.Submit(func() { _ = e.follower.Run(ctx) })
	// Let the request to the store go out before the rest is set up. After a power cut this
	// gets the records 5 ms sooner on a node with one core, while callers wait.
	runtime.Gosched()
	pool.Submit(func() { e.readPackets(ctx) })
	pool.Submit(func() { e.releaseHeld(ctx) })
	pool.Submit(func() { e.readPeerMessages(ctx) })
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
	e.closeListeners()
	pool.StopAndWait()
	e.log.Line("Stopped", Fields{"Name": e.cfg.Name})
	return nil
}

// serve starts the HTTP servers for routers, other nodes and operators. The caller closes
// them.
func (e *Edge) serve(pool pond.Pool) (servers []*http.Server) {
	start := func(l net.Listener, handler http.Handler) {
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		servers = append(servers, server)
		pool.Submit(func() { _ = server.Serve(l) })
	}
	start(e.ready, e.readyHandler())
	start(e.control, e.controlHandler())
	if e.metrics != nil {
		start(e.metrics, e.metricsHandler())
	}
	return servers
}

// Leave makes the node permanently not ready. Run returns once packets stop coming or the
// grace time is over.
func (e *Edge) Leave() {
	e.leaveOnce.Do(func() {
		e.log.Line("Leaving", Fields{"Name": e.cfg.Name})
		close(e.leaving)
		e.gossip.Leave(time.Now())
	})
}

// Reload applies changed settings. Only Seeds, GraceSeconds and Overload change in a running
// node; other fields take effect at the next start. If err is not nil, the old settings stay
// in force.
func (e *Edge) Reload(cfg Config, err error) {
	if err != nil {
		e.log.Line("SettingsRefused", Fields{"Error": err.Error()})
		return
	}
	e.cfgMu.Lock()
	e.grace = cfg.grace()
	e.cfg.Seeds = cfg.Seeds
	e.cfgMu.Unlock()
	e.gossip.SetSeeds(e.peerAddresses(cfg.Seeds))
	e.steerer.SetRules(cfg.Overload.Rules())
	e.log.Line("SettingsInForce", Fields{
		"Seeds": cfg.Seeds, "GraceSeconds": cfg.GraceSeconds, "Overload": &cfg.Overload,
		"Unknown": e.unknownNames(&cfg.Overload), "NextStart": e.cfg.restartFields(&cfg),
	})
}

const (
	// minLeaveTime is the least time that leaving takes, unless the grace time ends sooner:
	// routers must have polled readiness twice.
	minLeaveTime = 1200 * time.Millisecond
	// leaveMargin is how long before the end of the grace time a node exits by itself.
	leaveMargin = 500 * time.Millisecond
)

func (e *Edge) waitUntilQuiet(ctx context.Context) {
	start := time.Now()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		elapsed := time.Since(start)
		quiet := time.Since(e.started) - time.Duration(e.lastPacketAt.Load())
		if elapsed >= e.graceTime()-leaveMargin || elapsed >= minLeaveTime && quiet >= e.cfg.quiet() {
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

// tick runs the periodic work until ctx is done.
func (e *Edge) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	w := e.newWorker()
	now := time.Now()
	e.pauses.start(now)
	// Contact the seeds at once: a peer may have all records before the store has answered
	// with them.
	e.gossip.Tick(now)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.detectPause()
		now := time.Now()
		e.gossip.Tick(now)
		e.checkConfirmed(now)
		e.counts.confirmationAge.RecordDuration(e.gossip.SinceConfirmed(now))
		for _, ended := range e.steerer.Sweep(now) {
			w.endFlow(&ended)
		}
		w.flush()
		e.announceOpenings(now)
		e.spreadReports(now)
		e.updateZonePeers(now)
		e.updateZoneNodes(now)
		e.advanceDirectory(now)
	}
}
