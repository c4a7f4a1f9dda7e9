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

	mu    sync.Mutex
	cut   map[string]int           // zones that are cut off, by how many events
	lossy map[string]int           // zones whose packets to others get lost
	peers map[string]int           // nodes that are cut off from other nodes
	store map[string][]FailureMode // how each node's connections to the store fail
	down  []FailureMode            // how everybody's do
	nodes map[netip.Addr]string
	zones map[string]string // of the nodes
	wake  chan struct{}     // closed when something changes
	// silenced counts how often each node's connections to the store went
	// silent. Those that were open then stay so for good.
	silenced map[string]int
}

func newNetwork() *network {
	return &network{
		random: rand.Float64,
		cut:    map[string]int{}, lossy: map[string]int{}, peers: map[string]int{}, store: map[string][]FailureMode{},
		nodes: map[netip.Addr]string{}, zones: map[string]string{}, wake: make(chan struct{}), silenced: map[string]int{},
	}
}

// change changes what reaches what.
func (n *network) change(do func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do()
	for node := range n.zones {
		if n.mode(node) == Silent {
			n.silenced[node]++
		}
	}
	close(n.wake)
	n.wake = make(chan struct{})
}

// lossShare is the part of packets that a lossy zone loses, strayLoss the part
// that any network does, which is no excuse for anybody.
const (
	lossShare = 0.03
	strayLoss = 0.003
)

// passes reports whether a packet gets from one zone to another.
func (n *network) passes(from, to string) bool {
	if n.random() < strayLoss {
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
	return n.lossy[from]+n.lossy[to] == 0 || n.random() >= lossShare
}

// passesPeers reports whether a datagram of one node gets to another.
func (n *network) passesPeers(from, to string) bool {
	n.mu.Lock()
	cut := n.peers[from] > 0 || n.peers[to] > 0
	a, b := n.zones[from], n.zones[to]
	n.mu.Unlock()
	return !cut && n.passes(a, b)
}

// nodeAt returns the node with an address.
func (n *network) nodeAt(a netip.Addr) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[a]
}

// modeOf returns how a node's connections to the store fail now, "" if they
// don't, and how often they went silent.
func (n *network) modeOf(node string) (mode FailureMode, silenced int, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mode(node), n.silenced[node], n.wake
}

// mode does the same; the caller holds the lock.
func (n *network) mode(node string) FailureMode {
	switch {
	case n.cut[n.zones[node]] > 0:
		return Silent
	case len(n.store[node]) > 0:
		return n.store[node][len(n.store[node])-1]
	case len(n.down) > 0:
		return n.down[len(n.down)-1]
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

// slowBy is what a slow connection adds to each answer.
const slowBy = 250 * time.Millisecond

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
	_, born, _ := p.network.modeOf(p.node)
	var dialer net.Dialer
	up, err := dialer.DialContext(ctx, "tcp", p.store)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close(); _ = up.Close() })
	defer stop()
	go p.watch(ctx, conn, up)
	go func() {
		p.carry(ctx, up, conn, born, false)
		_ = up.Close()
	}()
	p.carry(ctx, conn, up, born, true)
}

// watch resets the connection when the link's mode says so.
func (p *storeProxy) watch(ctx context.Context, conn *net.TCPConn, up net.Conn) {
	for ctx.Err() == nil {
		mode, _, changed := p.network.modeOf(p.node)
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

// carry copies from src to dst as far as the link's mode lets it. born is how
// often the link had gone silent when the connection was opened; answers says
// that what is copied is the store's.
func (p *storeProxy) carry(ctx context.Context, dst io.Writer, src io.Reader, born int, answers bool) {
	b := make([]byte, 32<<10)
	for {
		n, err := src.Read(b)
		if n > 0 && p.pass(ctx, born, answers) {
			if _, err := dst.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pass waits until what was read may be passed on. A silent link keeps it for
// good: its connection stays open and carries nothing more.
func (p *storeProxy) pass(ctx context.Context, born int, answers bool) bool {
	mode, silenced, _ := p.network.modeOf(p.node)
	switch {
	case mode == Silent, silenced != born, mode == AnswersLost && answers:
		<-ctx.Done()
		return false
	case mode == Slow && answers:
		bronzeretry.Pause(ctx, slowBy)
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
