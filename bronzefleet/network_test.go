package bronzefleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzelink"
)

// network connects fleets by in-memory links with random delays, so that
// messages are reordered. It runs in a synctest bubble.
type network struct {
	t       *testing.T
	mu      sync.Mutex
	random  *rand.Rand
	nodes   map[string]*testNode // by control address
	blocked func(from, to bronzelink.Member) bool
	done    sync.WaitGroup
}

// testNode is one process on the network.
type testNode struct {
	*Fleet
	net      *network
	cancel   context.CancelFunc
	result   chan error
	stopped  bool
	refuses  bool          // its address refuses connections
	resume   chan struct{} // not nil while the process is paused
	counts   map[string]int
	sent     int
	received int
	loads    map[string]int // the last round received from each origin
	views    []*View
}

func newNetwork(t *testing.T) *network {
	return &network{t: t, random: rand.New(rand.NewPCG(1, 2)), nodes: map[string]*testNode{}}
}

// testMember returns the member number i, in one of four zones.
func testMember(i int) bronzelink.Member {
	zone := fmt.Sprintf("riga-%c", 'a'+i%4)
	return bronzelink.Member{
		Name:             fmt.Sprintf("%s-%d", zone, i),
		Incarnation:      uint64(time.Now().UnixMilli()+int64(i)) << startShift,
		AvailabilityZone: zone,
		Region:           "riga",
		ControlAddress:   fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		DataAddress:      fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250),
	}
}

// add adds a node to the network; start runs it.
func (n *network) add(m bronzelink.Member) *testNode {
	p := &testNode{net: n, counts: map[string]int{}, loads: map[string]int{}, result: make(chan error, 1)}
	p.Fleet = &Fleet{
		Self: m,
		Send: p.send,
		OnView: func(v *View) {
			n.mu.Lock()
			defer n.mu.Unlock()
			p.views = append(p.views, v)
		},
		OnLoad: func(l *bronzelink.Load) {
			n.mu.Lock()
			defer n.mu.Unlock()
			p.loads[l.Origin] = int(l.Reported[0].Count)
		},
		Count: func(reason string) {
			n.mu.Lock()
			defer n.mu.Unlock()
			p.counts[reason]++
		},
		Sent: func(b int) {
			n.mu.Lock()
			defer n.mu.Unlock()
			p.sent += b + frameBytes
		},
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[m.ControlAddress] = p
	return p
}

func (p *testNode) start() *testNode {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.net.done.Go(func() { p.result <- p.Run(ctx) })
	return p
}

// kill stops a process without a message to its peers.
func (p *testNode) kill() {
	p.net.mu.Lock()
	p.stopped = true
	p.net.mu.Unlock()
	p.cancel()
}

// crash ends a process whose VM keeps running, so that connections to it are
// refused.
func (p *testNode) crash() {
	p.net.mu.Lock()
	p.refuses = true
	p.net.mu.Unlock()
	p.kill()
}

// pause pauses the process until wake: it neither sends nor receives.
func (p *testNode) pause() {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.resume = make(chan struct{})
}

func (p *testNode) wake() {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	close(p.resume)
	p.resume = nil
}

// awaitResume blocks while the process is paused.
func (p *testNode) awaitResume() {
	p.net.mu.Lock()
	resume := p.resume
	p.net.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

func (p *testNode) send(to bronzelink.Member, m *bronzelink.Message) error {
	p.awaitResume()
	b, err := bronzelink.Encode(m)
	require.NoError(p.net.t, err)
	n := p.net
	n.mu.Lock()
	defer n.mu.Unlock()
	target := n.find(to)
	if target == nil || p.stopped {
		return nil
	}
	delay := time.Millisecond + time.Duration(n.random.IntN(20))*time.Millisecond
	n.done.Add(1)
	time.AfterFunc(delay, func() {
		defer n.done.Done()
		target.receive(p.Self, b)
	})
	return nil
}

// find returns the process at a member's address or, as with an open link, the
// one with its name.
func (n *network) find(to bronzelink.Member) *testNode {
	if p := n.nodes[to.ControlAddress]; p != nil {
		return p
	}
	for _, p := range n.nodes {
		if p.Self.Name == to.Name {
			return p
		}
	}
	return nil
}

func (p *testNode) receive(from bronzelink.Member, b []byte) {
	p.awaitResume()
	p.net.mu.Lock()
	if p.refuses {
		p.net.mu.Unlock()
		p.net.refuse(from, p.Self.Name, syscall.ECONNREFUSED)
		return
	}
	lost := p.stopped || p.net.blocked != nil && p.net.blocked(from, p.Self)
	p.received += len(b) + frameBytes
	p.net.mu.Unlock()
	if lost {
		return
	}
	if err := p.Admit(from); err != nil {
		p.net.refuse(from, p.Self.Name, err) // as a Mesh refuses the link
		return
	}
	m, err := bronzelink.Decode(b)
	require.NoError(p.net.t, err)
	p.Handle(from.Name, m)
}

// refuse reports to a process that its link to the named peer was refused.
func (n *network) refuse(from bronzelink.Member, name string, err error) {
	n.mu.Lock()
	p := n.nodes[from.ControlAddress]
	n.mu.Unlock()
	p.LinkLost(name, err)
}

// takeViews returns the views since the last call.
func (p *testNode) takeViews() (views []*View) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	views, p.views = p.views, nil
	return views
}

func (p *testNode) counted(reason string) int {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	return p.counts[reason]
}

// counted returns how often a reason was counted on all nodes.
func (n *network) counted(reason string) (sum int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.nodes {
		sum += p.counts[reason]
	}
	return sum
}

// block drops the messages for which blocked returns true, or none if it is nil.
func (n *network) block(blocked func(from, to bronzelink.Member) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = blocked
}

// startAll starts size nodes that have the first as their seed, waits, and
// requires that all know each other.
func (n *network) startAll(size int) []*testNode {
	var nodes []*testNode
	for i := range size {
		p := n.add(testMember(i))
		p.Join([]bronzelink.Member{{ControlAddress: testMember(0).ControlAddress}})
		nodes = append(nodes, p.start())
	}
	time.Sleep(10 * time.Second)
	for _, p := range nodes {
		require.Len(n.t, p.View().Members, size, p.Self.Name)
		require.True(n.t, p.View().Ready)
		require.False(n.t, p.View().Partitioned)
	}
	return nodes
}

// awaitMembers waits until each of the nodes knows count members, but at most a
// minute, and returns how long it waited.
func awaitMembers(nodes []*testNode, count int) time.Duration {
	begin := time.Now()
	all := func(p *testNode) bool { return len(p.View().Members) == count }
	for time.Since(begin) < time.Minute {
		done := true
		for _, p := range nodes {
			done = done && all(p)
		}
		if done {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(begin)
}

// runInBubble runs a test on a network in a synctest bubble, and then stops all
// nodes.
func runInBubble(t *testing.T, test func(t *testing.T, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		defer n.stop()
		test(t, n)
	})
}

// stop ends all processes.
func (n *network) stop() {
	n.mu.Lock()
	for _, p := range n.nodes {
		if p.resume != nil {
			close(p.resume)
			p.resume = nil
		}
		if p.cancel != nil {
			p.stopped = true
			p.cancel()
		}
	}
	n.mu.Unlock()
	n.done.Wait()
}
