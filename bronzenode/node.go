package bronzenode

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
	"bronzeusher.example/bronzeusher/bronzesocket"
)

// Bounds on the flows of all Customers on one node, of which each Customer may
// use what the others leave. maxHalfOpen is the number of openings that the
// decisions have room for; maxOpen is half of the default flow table, which
// leaves room for learned flows.
const (
	maxHalfOpen = 16 << 10
	maxOpen     = bronzeflow.DefaultCapacity / 2
)

// Node is one balancer: a bronzecore.Balancer with sockets, peers, platform
// and metrics. New creates it; Run may be called once.
type Node struct {
	cfg         Config
	log         *logrus.Entry
	balancer    bronzecore.Balancer
	fleet       bronzefleet.Fleet
	mesh        bronzelink.Mesh
	store       bronzeconf.Store
	platform    bronzeconf.Platform
	counters    *counters
	reports     *reportPoller
	sharedLoads sharedLoads
	missing     missingRecords
	gate        gate
	started     time.Time

	edge    *bronzesocket.Socket
	data    *bronzesocket.Socket
	control net.Listener
	http    net.Listener

	tunnels atomic.Pointer[tunnels]
	members atomic.Pointer[members]
	// revision is that of the configuration that the Balancer has.
	revision atomic.Uint64
	// quietSince is when the last batch with a caller's packet from the fabric
	// was handled, or when leaving began, in Unix nanoseconds.
	quietSince atomic.Int64
	leaving    atomic.Bool
	killed     atomic.Bool

	// stop is closed when the node is to end, done when Run has returned.
	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}
	runErr   error // set before stop is closed
}

// New opens the addresses of cfg and returns the Node that will serve them.
// If cfg is invalid, the error wraps a *FieldError.
func New(cfg Config) (n *Node, err error) {
	defer annotate(&err, "create node")
	if err = cfg.Check(); err != nil {
		return nil, err
	}
	n = &Node{
		cfg:      cfg.withDefaults(),
		counters: newCounters(),
		started:  time.Now(),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
	n.log = n.cfg.Log.WithField("Node", cfg.Name)
	n.tunnels.Store(newTunnels(&bronzeconf.Snapshot{}))
	if err = n.listen(); err != nil {
		n.closeAddresses()
		return nil, err
	}
	n.connect()
	return n, nil
}

// listen opens all addresses.
func (n *Node) listen() (err error) {
	if n.edge, err = bronzesocket.Listen(n.cfg.EdgeAddress.String()); err != nil {
		return errors.Wrap(err, "EdgeAddress")
	}
	if n.data, err = bronzesocket.Listen(n.cfg.DataAddress.String()); err != nil {
		return errors.Wrap(err, "DataAddress")
	}
	if n.control, err = net.Listen("tcp", n.cfg.ControlAddress.String()); err != nil {
		return errors.Wrap(err, "ControlAddress")
	}
	n.http, err = net.Listen("tcp", n.cfg.HTTPAddress.String())
	return errors.Wrap(err, "HTTPAddress")
}

// connect configures the parts of the node and connects them to each other.
func (n *Node) connect() {
	n.balancer.Name = n.cfg.Name
	n.balancer.AvailabilityZone = n.cfg.AvailabilityZone
	n.balancer.Capacity = n.cfg.Capacity
	n.balancer.HalfOpenLimit = maxHalfOpen
	n.balancer.OpenLimit = maxOpen
	n.balancer.Timing = n.cfg.Timing
	n.balancer.Lease = n.fleet.Lease
	n.store.OnChange = n.onSnapshot
	n.store.Count = n.counters.reasonFunc(countConfig)
	n.reports = newReportPoller(n)
	if n.cfg.Platform != "" {
		n.platform = bronzeconf.HTTPPlatform{Base: n.cfg.Platform, Client: n.cfg.Client}.Platform()
	}
	n.connectFleet()
	n.connectMesh()
	n.fleet.View() // makes the first view, which calls onView
}

func (n *Node) connectFleet() {
	f := &n.fleet
	f.Self = bronzelink.Member{
		Name:             n.cfg.Name,
		Incarnation:      newIncarnation(n.started),
		Status:           bronzelink.Alive,
		AvailabilityZone: n.cfg.AvailabilityZone,
		Region:           n.cfg.Region,
		ControlAddress:   n.ControlAddress().String(),
		DataAddress:      n.DataAddress().String(),
	}
	f.Interval = n.cfg.Heartbeat
	f.JoinWait = n.cfg.JoinWait
	f.Send = n.sendControl
	f.OnView = n.onView
	f.OnLoad = n.onLoad
	f.OnBehind = n.onBehind
	f.OnRecordsRequest = n.onRecordsRequest
	f.OnRecords = n.onRecords
	f.Count = n.counters.reasonFunc(countControl)
}

func (n *Node) connectMesh() {
	m := &n.mesh
	m.Self = n.self
	m.Fleet = n.cfg.Fleet
	m.CertFile, m.KeyFile, m.CAFile = n.cfg.Certificate, n.cfg.Key, n.cfg.Authority
	m.OnMessage = n.onMessage
	m.OnLost = n.onLost
	m.Accept = n.fleet.Admit
	m.Count = n.counters.reasonFunc(countControl)
	m.Dial = n.dial
}

// incarnationShift leaves room below the start time of a process, in
// milliseconds, for the fleet to increment the incarnation.
const incarnationShift = 16

func newIncarnation(started time.Time) uint64 {
	return uint64(started.UnixMilli()) << incarnationShift
}

// self returns this node as it describes itself to its peers.
func (n *Node) self() bronzelink.Member {
	if m, ok := n.fleet.View().Members[n.cfg.Name]; ok {
		return m
	}
	m := n.fleet.Self
	m.Revision = n.Revision()
	return m
}

// EdgeAddress returns the bound address that takes encapsulated packets.
func (n *Node) EdgeAddress() netip.AddrPort { return n.edge.LocalAddrPort() }

// DataAddress returns the bound address that takes frames of other nodes.
func (n *Node) DataAddress() netip.AddrPort { return n.data.LocalAddrPort() }

// ControlAddress returns the bound address that takes control links.
func (n *Node) ControlAddress() netip.AddrPort { return boundAddress(n.control) }

// HTTPAddress returns the bound address that serves metrics, health and status.
func (n *Node) HTTPAddress() netip.AddrPort { return boundAddress(n.http) }

func boundAddress(l net.Listener) netip.AddrPort {
	a := l.Addr().(*net.TCPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Pause suspends all activity of the node for d, as if its process was
// stopped: what arrives meanwhile is queued and handled late.
func (n *Node) Pause(d time.Duration) { n.gate.closeFor(d) }

// Counters returns all counts by name. Those of refusals and drops have the
// reason in the name, as in "Refuse.RateLimit" and "Drop.NoService".
func (n *Node) Counters() map[string]uint64 {
	n.updateByteCounters()
	return n.counters.snapshot()
}

// updateByteCounters copies the byte counts of the control links.
func (n *Node) updateByteCounters() {
	n.counters.named(countControlSent).value.Store(n.mesh.BytesSent())
	n.counters.named(countControlReceived).value.Store(n.mesh.BytesReceived())
}

// Revision returns the revision of the configuration in force.
func (n *Node) Revision() uint64 { return n.revision.Load() }

// onView puts a new view in force.
func (n *Node) onView(v *bronzefleet.View) {
	n.gate.wait()
	before := n.members.Swap(newMembers(v))
	n.balancer.SetView(v)
	if n.leaving.Load() {
		n.balancer.Leave()
	}
	if before == nil {
		return
	}
	for name := range before.view.Members {
		if _, ok := v.Members[name]; !ok {
			n.balancer.SetOwnedFlows(name, nil)
			n.sharedLoads.forget(name)
		}
	}
}

// onMessage passes a peer's message to the fleet.
func (n *Node) onMessage(from string, m *bronzelink.Message) {
	n.gate.wait()
	n.fleet.Handle(from, m)
}

func (n *Node) onLost(name string, err error) {
	n.gate.wait()
	n.log.WithError(err).WithField("Peer", name).Debug("link lost")
	n.fleet.LinkLost(name, err)
}

// trySendControl sends m to a peer and counts a failure. If it fails, a later
// heartbeat shows again which node is behind.
func (n *Node) trySendControl(to bronzelink.Member, m *bronzelink.Message) {
	if err := n.sendControl(to, m); err != nil {
		n.counters.withReason(countControl, bronzefleet.CountSendFailed).add(1)
	}
}

// sendControl sends m on the control link to a peer.
func (n *Node) sendControl(to bronzelink.Member, m *bronzelink.Message) error {
	n.gate.wait()
	if n.killed.Load() {
		return net.ErrClosed
	}
	return n.mesh.Send(to, m)
}

// stopWith makes Run end and return err. Only the first call has an effect.
func (n *Node) stopWith(err error) {
	n.stopOnce.Do(func() {
		n.runErr = err
		close(n.stop)
	})
}

// Kill ends the node abruptly: its sockets are closed and its peers aren't
// notified.
func (n *Node) Kill() {
	n.killed.Store(true)
	n.stopWith(nil)
	n.closeAddresses()
	n.gate.open()
}

// closeAddresses closes all open sockets. Some may be closed already, so the
// errors are ignored.
func (n *Node) closeAddresses() {
	if n.edge != nil {
		_ = n.edge.Close()
	}
	if n.data != nil {
		_ = n.data.Close()
	}
	if n.control != nil {
		_ = n.control.Close()
	}
	if n.http != nil {
		_ = n.http.Close()
	}
}
