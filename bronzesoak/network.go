package bronzesoak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzeretry"
)

// network decides which packets are delivered and how connections to the store
// fail.
type network struct {
	// random returns a number in [0,1) that decides on packet loss.
	random func() float64

	mu            sync.Mutex
	cut           map[string]int           // number of events that cut off each zone
	lossy         map[string]int           // number of events that make each zone lossy
	isolated      map[string]int           // number of events that cut off each node from its peers
	storeFailures map[string][]FailureMode // failures of each node's connections to the store
	storeOutages  []FailureMode            // failures of all nodes' connections to the store
	nodes         map[netip.Addr]string    // names of nodes by address
	zones         map[string]string        // zones of nodes by name
	changed       chan struct{}            // closed at the next update
	// silences counts the updates that left each node's connections to the store
	// silent. Connections that were open at one stay silent for good.
	silences map[string]int
}

func newNetwork() *network {
	return &network{
		random: rand.Float64,
		cut:    map[string]int{}, lossy: map[string]int{}, isolated: map[string]int{}, storeFailures: map[string][]FailureMode{},
		nodes: map[netip.Addr]string{}, zones: map[string]string{}, changed: make(chan struct{}), silences: map[string]int{},
	}
}

// update calls change with the lock held and notifies those who wait for changed.
func (n *network) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	for node := range n.zones {
		if n.failureModeLocked(node) == Silent {
			n.silences[node]++
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// lossyZoneLoss is the share of packets lost between a lossy zone and others,
// backgroundLoss the share lost everywhere. The latter is normal: it does not
// count as a disturbance.
const (
	lossyZoneLoss  = 0.03
	backgroundLoss = 0.003
)

// delivers reports whether a packet from one zone to another is delivered.
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

// deliversToPeer reports whether a datagram from one node to another is
// delivered.
func (n *network) deliversToPeer(from, to string) bool {
	n.mu.Lock()
	cut := n.isolated[from] > 0 || n.isolated[to] > 0
	a, b := n.zones[from], n.zones[to]
	n.mu.Unlock()
	return !cut && n.delivers(a, b)
}

// nodeAt returns the name of the node with the given address, "" if there is
// none.
func (n *network) nodeAt(a netip.Addr) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[a]
}

// failureMode returns how a node's connections to the store fail now, "" if they
// do not, its count of silences, and a channel that the next update closes.
func (n *network) failureMode(node string) (mode FailureMode, silences int, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.failureModeLocked(node), n.silences[node], n.changed
}

// failureModeLocked returns how a node's connections to the store fail now; the
// caller holds the lock.
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

// withoutMode returns modes without one occurrence of mode. Of two failures that overlap,
// either may end first.
func withoutMode(modes []FailureMode, mode FailureMode) []FailureMode {
	i := slices.Index(modes, mode)
	return slices.Delete(slices.Clone(modes), i, i+1)
}

// storeProxy forwards a node's TCP connections to the store and has them fail.
type storeProxy struct {
	network  *network
	node     string
	store    string
	listener net.Listener
}

// slowDelay is the delay of answers in the mode Slow.
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

// serve forwards one connection until either end closes it.
func (p *storeProxy) serve(ctx context.Context, conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	_, silences, _ := p.network.failureMode(p.node)
	var dialer net.Dialer
	upstream, err := dialer.DialContext(ctx, "tcp", p.store)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close(); _ = upstream.Close() })
	defer stop()
	go p.resetOnFailure(ctx, conn, upstream)
	go func() {
		p.forwardRequests(ctx, upstream, conn, silences)
		_ = upstream.Close()
	}()
	p.forward(ctx, conn, upstream, silences, true)
}

// refusal is the answer of a store that refuses a request.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

// forwardRequests forwards a node's requests. While the failure mode is Refused, it answers
// them itself: a request is so short that one read returns it whole.
func (p *storeProxy) forwardRequests(ctx context.Context, upstream io.Writer, conn io.ReadWriter, silences int) {
	p.forward(ctx, writerFunc(func(request []byte) (int, error) {
		if mode, _, _ := p.network.failureMode(p.node); mode != Refused {
			return upstream.Write(request)
		}
		_, err := io.WriteString(conn, refusal)
		return len(request), err
	}), conn, silences, false)
}

// writerFunc is an io.Writer that is a function.
type writerFunc func(b []byte) (n int, err error)

func (f writerFunc) Write(b []byte) (n int, err error) { return f(b) }

// resetOnFailure resets the connection once the failure mode is Reset.
func (p *storeProxy) resetOnFailure(ctx context.Context, conn *net.TCPConn, upstream net.Conn) {
	for ctx.Err() == nil {
		mode, _, changed := p.network.failureMode(p.node)
		if mode == Reset {
			_ = conn.SetLinger(0)
			_ = conn.Close()
			_ = upstream.Close()
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// forward copies from src to dst as far as the failure mode permits. silences is
// the count of silences when the connection was opened; answers is true in the
// direction from the store to the node.
func (p *storeProxy) forward(ctx context.Context, dst io.Writer, src io.Reader, silences int, answers bool) {
	b := make([]byte, 32<<10)
	for {
		n, err := src.Read(b)
		if n > 0 && p.mayForward(ctx, silences, answers) {
			if _, err := dst.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// mayForward reports whether data may be forwarded, after a delay if answers are
// slow. If the connection is silent or its answers are lost it blocks until ctx
// is done, so that the connection stays open and carries nothing more.
func (p *storeProxy) mayForward(ctx context.Context, silences int, answers bool) bool {
	mode, current, _ := p.network.failureMode(p.node)
	switch {
	case mode == Silent, current != silences, mode == AnswersLost && answers:
		<-ctx.Done()
		return false
	case mode == Slow && answers:
		bronzeretry.Pause(ctx, slowDelay)
	}
	return ctx.Err() == nil
}

// datagramProxy receives the datagrams that nodes send to an address.
type datagramProxy struct {
	conn *net.UDPConn
	// deliver is called with each datagram and the name of the node that sent it,
	// "" if the sender is no node.
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
