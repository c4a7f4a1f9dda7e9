package bronzenode

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzelink"
	"bronzeusher.example/bronzeusher/bronzesocket"
)

const (
	// readHeaderTimeout bounds how long an operator's connection may take to
	// send its request header.
	readHeaderTimeout = 5 * time.Second
	// vmListInterval is how often the list of VMs is read.
	vmListInterval = 5 * time.Second
	// missingInterval is how often the node checks for records in force whose
	// bodies are missing.
	missingInterval = time.Second
)

// Run serves until ctx is done or Leave or Kill ends it, and then returns nil.
// If a part of the node fails, Run ends and returns its error. It may be called
// once.
func (n *Node) Run(ctx context.Context) (err error) {
	defer close(n.done)
	defer annotate(&err, "run node "+n.cfg.Name)
	detach := context.AfterFunc(ctx, func() { n.stopWith(nil) })
	defer detach()
	r := newRunner(ctx, n)
	r.start()
	n.log.WithFields(logrus.Fields{
		"EdgeAddress":    n.EdgeAddress().String(),
		"ControlAddress": n.ControlAddress().String(),
		"HTTPAddress":    n.HTTPAddress().String(),
	}).Info("serving")
	<-n.stop
	r.shutDown()
	return n.runErr
}

// runner holds the goroutines of a running Node. They have a context of their
// own, not Run's, because an ending node still notifies its peers.
type runner struct {
	node   *Node
	pool   pond.Pool
	ctx    context.Context
	cancel context.CancelFunc
	// fleetStopped is closed when the fleet has notified its peers and ended.
	fleetStopped chan struct{}
	server       *http.Server
}

func newRunner(ctx context.Context, n *Node) *runner {
	r := &runner{node: n, pool: pond.NewPool(0, pond.WithoutPanicRecovery()), fleetStopped: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancel(context.WithoutCancel(ctx))
	r.server = &http.Server{Handler: n.handler(), ReadHeaderTimeout: readHeaderTimeout}
	return r
}

// start starts all goroutines.
func (r *runner) start() {
	n := r.node
	for range n.cfg.Readers {
		r.read(n.edge, (*worker).handleEdge)
		r.read(n.data, (*worker).handleData)
	}
	ticker := n.newWorker()
	r.every(bronzecore.TickInterval, ticker.tick)
	r.spawn(n.runFleet(r.fleetStopped))
	r.spawn(func(ctx context.Context) error { return n.mesh.Serve(ctx, n.control) })
	r.spawn(n.readPlatform)
	r.spawn(n.readVMs)
	r.every(missingInterval, n.requestMissing)
	r.spawn(n.reports.run)
	r.every(n.cfg.ShareInterval, n.share)
	r.every(metricsInterval, n.updateMetrics)
	r.spawn(func(context.Context) error { return n.serveHTTP(r.server) })
}

// every calls step at each interval in a goroutine of its own.
func (r *runner) every(interval time.Duration, step func()) {
	r.spawn(func(ctx context.Context) error { return r.node.every(ctx, interval, step) })
}

func (r *runner) read(s *bronzesocket.Socket, handle func(w *worker, from netip.AddrPort, b []byte)) {
	w := r.node.newWorker()
	r.spawn(func(context.Context) error {
		return w.read(s, func(from netip.AddrPort, b []byte) { handle(w, from, b) })
	})
}

// spawn runs f in a goroutine of its own; its error ends the node.
func (r *runner) spawn(f func(ctx context.Context) error) {
	r.pool.Submit(func() {
		if err := f(r.ctx); err != nil {
			r.node.stopWith(err)
		}
	})
}

// shutDown stops the parts in an order that lets the fleet notify its peers.
func (r *runner) shutDown() {
	n := r.node
	n.gate.open()
	r.cancel()
	<-r.fleetStopped
	_ = n.mesh.Close()
	_ = r.server.Close()
	n.closeAddresses()
	r.pool.StopAndWait()
	n.updateByteCounters()
	n.counters.publish()
	if err := n.counters.close(); err != nil {
		n.log.WithError(err).Warn("metrics not closed")
	}
}

// every calls step at each interval until ctx is done.
func (n *Node) every(ctx context.Context, interval time.Duration, step func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		n.gate.wait()
		step()
	}
}

// runFleet returns a function that runs the fleet and closes stopped at its
// end.
func (n *Node) runFleet(stopped chan struct{}) func(context.Context) error {
	return func(ctx context.Context) error {
		defer close(stopped)
		n.fleet.Join(n.seeds())
		return n.fleet.Run(ctx)
	}
}

func (n *Node) seeds() []bronzelink.Member {
	seeds := make([]bronzelink.Member, 0, len(n.cfg.Peers))
	for _, address := range n.cfg.Peers {
		if address != n.ControlAddress().String() {
			seeds = append(seeds, bronzelink.Member{ControlAddress: address})
		}
	}
	return seeds
}

// readPlatform reads the platform while readsPlatform selects this node.
func (n *Node) readPlatform(ctx context.Context) error {
	if n.cfg.Platform == "" {
		return nil
	}
	reader := bronzeconf.Reader{
		Platform: n.platform,
		Store:    &n.store,
		Active:   n.readsPlatform,
		Count:    n.counters.reasonFunc(countConfig),
		OnError:  func(err error) { n.log.WithError(err).Debug("platform not read") },
	}
	err := reader.Run(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// readVMs passes the platform's list of VMs to the fleet. A node that isn't
// ready reads it to find peers; otherwise the nodes that read the platform do.
func (n *Node) readVMs(ctx context.Context) error {
	if n.cfg.Platform == "" {
		return nil
	}
	n.readVMsOnce(ctx)
	return n.every(ctx, vmListInterval, func() {
		if !n.members.Load().view.Ready || n.readsPlatform() {
			n.readVMsOnce(ctx)
		}
	})
}

func (n *Node) readVMsOnce(ctx context.Context) {
	vms, err := n.platform.VMs(ctx)
	if err != nil {
		n.counters.withReason(countConfig, "VMsFailed").add(1)
		n.log.WithError(err).Debug("list of VMs not read")
		return
	}
	n.fleet.SetVMs(vms)
}

// updateMetrics publishes the counters and gauges.
func (n *Node) updateMetrics() {
	n.updateByteCounters()
	n.counters.publish()
	n.setGauges()
}
