package bronzesoak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzeretry"
)

// network knows what reaches what. Zones are named; the store's is "".
type network struct {
	// random returns a number in [0,1), by which packets are lost.
	random func() float64

	mu            sync.Mutex
	cut           map[string]int           // zones that are cut off, by how many events
	lossy         map[string]int           // zones whose packets to others get lost
	isolated      map[string]int           // nodes that are cut off from other nodes
	storeFailures map[string][]FailureMode // how each node's connections to the store fail
	storeOutages  []FailureMode            // how everybody's do
	nodes         map[netip.Addr]string
	zones         map[string]string // of the nodes
	changed       chan struct{}     // closed when something changes
	// silences counts how often each node's connections to the store went
	// silent. Those that were open then stay so for good.
	silences map[string]int
}

func newNetwork() *network {
	return &network{
		random: rand.Float64,
		cut:    map[string]int{}, lossy: map[string]int{}, isolated: map[string]int{}, storeFailures: map[string][]FailureMode{},
		nodes: map[netip.Addr]string{}, zones: map[string]string{}, changed: make(chan struct{}), silences: map[string]int{},
	}
}

// update changes what reaches what.
func (n *network) update(do func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do()
	for node := range n.zones {
		if n.failureModeLocked(node) == Silent {
			n.silences[node]++
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// lossyZoneLoss is the part of packets that a lossy zone loses, backgroundLoss the part
// that any network does, which is no excuse for anybody.
const (
	lossyZoneLoss  = 0.03
	backgroundLoss = 0.003
)

// delivers reports whether a packet gets from one zone to another.
func (n *network) delivers(from, to string) bool {
	if n.random() < backgroundLoss {
		return false
	}
	if from == to {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[from] > 0 || n.cut[to] > 0 {
		return false
	}
	return n.lossy[from]+n.lossy[to] == 0 || n.random() >= lossyZoneLoss
}

// deliversToPeer reports whether a datagram of one node gets to another.
func (n *network) deliversToPeer(from, to string) bool {
	n.mu.Lock()
	cut := n.isolated[from] > 0 || n.isolated[to] > 0
	a, b := n.zones[from], n.zones[to]
	n.mu.Unlock()
	return !cut && n.delivers(a, b)
}

// nodeAt returns the node with an address.
func (n *network) nodeAt(a netip.Addr) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[a]
}

// failureMode returns how a node's connections to the store fail now, "" if they
// don't, and how often they went silent.
func (n *network) failureMode(node string) (mode FailureMode, silenced int, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.failureModeLocked(node), n.silences[node], n.changed
}

// failureModeLocked does the same; the caller holds the lock.
func (n *network) failureModeLocked(node string) FailureMode {
	switch {
	case n.cut[n.zones[node]] > 0:
		return Silent
	case len(n.storeFailures[node]) > 0:
		return n.storeFailures[node][len(n.storeFailures[node])-1]
	case len(n.storeOutages) > 0:
		return n.storeOutages[len(n.storeOutages)-1]
	default:
		return ""
	}
}

// storeProxy stands between a node and the store.
type storeProxy struct {
	network  *network
	node     string
	store    string
	listener net.Listener
}

// slowDelay is what a slow connection adds to each answer.
const slowDelay = 250 * time.Millisecond

func (p *storeProxy) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = p.listener.Close() })
	defer stop()
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(ctx, conn.(*net.TCPConn))
	}
}

// serve carries one connection until an end closes it.
func (p *storeProxy) serve(ctx context.Context, conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	_, born, _ := p.network.failureMode(p.node)
	var dialer net.Dialer
	up, err := dialer.DialContext(ctx, "tcp", p.store)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close(); _ = up.Close() })
	defer stop()
	go p.resetOnFailure(ctx, conn, up)
	go func() {
		p.forward(ctx, up, conn, born, false)
		_ = up.Close()
	}()
	p.forward(ctx, conn, up, born, true)
}

// resetOnFailure resets the connection when the link's mode says so.
func (p *storeProxy) resetOnFailure(ctx context.Context, conn *net.TCPConn, up net.Conn) {
	for ctx.Err() == nil {
		mode, _, changed := p.network.failureMode(p.node)
		if mode == Reset {
			_ = conn.SetLinger(0)
			_ = conn.Close()
			_ = up.Close()
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// forward copies from src to dst as far as the link's mode lets it. born is how
// often the link had gone silent when the connection was opened; answers says
// that what is copied is the store's.
func (p *storeProxy) forward(ctx context.Context, dst io.Writer, src io.Reader, born int, answers bool) {
	b := make([]byte, 32<<10)
	for {
		n, err := src.Read(b)
		if n > 0 && p.mayForward(ctx, born, answers) {
			if _, err := dst.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// mayForward waits until what was read may be passed on. A silent link keeps it for
// good: its connection stays open and carries nothing more.
func (p *storeProxy) mayForward(ctx context.Context, born int, answers bool) bool {
	mode, silenced, _ := p.network.failureMode(p.node)
	switch {
	case mode == Silent, silenced != born, mode == AnswersLost && answers:
		<-ctx.Done()
		return false
	case mode == Slow && answers:
		bronzeretry.Pause(ctx, slowDelay)
	}
	return ctx.Err() == nil
}

// datagramProxy passes datagrams from nodes on.
type datagramProxy struct {
	conn *net.UDPConn
	// deliver takes a datagram of a node.
	deliver func(from string, b []byte)
	network *network
}

func (p *datagramProxy) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	defer stop()
	b := make([]byte, 64<<10)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p.deliver(p.network.nodeAt(from.Addr().Unmap()), b[:n])
	}
}
