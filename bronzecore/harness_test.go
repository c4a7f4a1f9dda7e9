package bronzecore_test

import (
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

const (
	customer   = "Registry"
	retransmit = 200 * time.Millisecond
)

var serviceAddr = netip.MustParseAddrPort("192.0.2.1:443")

// init fixes the seed of rapid, so that every run checks the same sequences.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// world simulates balancers, servers and callers in one synctest bubble.
// Everything sent is queued and delivered in random order.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	nodes   map[string]*node
	servers map[bronzeflow.ServerID]*server
	flows   []*flow
	queue   []func()
	record  record
	rev     uint64
	// datagram is the server that received the last datagram.
	datagram bronzeflow.ServerID
	// ownerTableOnly discards messages between nodes and probes, for
	// comparison.
	ownerTableOnly bool
	// cut reports whether what from sends to to is lost. The names are those
	// of nodes and instances, and "caller".
	cut func(from, to string) bool
	// runs is how often each request was run.
	runs map[uint64]int
}

type node struct {
	*bronzecore.Balancer
	view  *bronzefleet.View
	alive bool
	// paused nodes handle no packets and no ticks.
	paused bool
}

// server is a backend server that accepts all packets of a connection. It has no
// TCP sequence numbers that would make it reject packets meant for another
// server.
type server struct {
	name    string
	refuses bool
	silent  bool
	conns   map[bronzeflow.Key]*conn
	opened  int
}

type conn struct {
	echo uint32
	ran  map[uint64]bool
}

type flow struct {
	key        bronzeflow.Key
	accepted   bool
	echo       uint32
	request    uint64
	answered   int
	sentAt     time.Time
	refused    bool
	aborted    bool
	payloadAt  map[bronzeflow.ServerID]bool
	entryNodes []string // nodes that its packets may enter by, nil is all
	replyNodes []string // nodes that its answers may enter by, nil is entryNodes
	idle       bool     // sends nothing once it is accepted
}

// record is a service's record with schema version 2, or 3 with the fields at the
// end.
type record struct {
	SchemaVersion int
	Customer      string
	Brand         string
	Name          string
	Addresses     []string
	Rules         []map[string]any
	Pool          []map[string]any
	Retry         map[string]any
	Limits        map[string]any `json:",omitempty"`
	OpenDeadline  string
	Priority      int            `json:",omitempty"`
	Objective     string         `json:",omitempty"`
	Closed        bool           `json:",omitempty"`
	Shed          map[string]any `json:",omitempty"`
}

func newWorld(t *testing.T, seed uint64, nodes, servers int) *world {
	w := &world{
		t:       t,
		rng:     rand.New(rand.NewPCG(seed, seed)),
		nodes:   make(map[string]*node),
		servers: make(map[bronzeflow.ServerID]*server),
		runs:    make(map[uint64]int),
		cut:     func(string, string) bool { return false },
	}
	w.record = record{
		SchemaVersion: 2, Customer: customer, Brand: "Maps", Name: "live",
		Addresses:    []string{serviceAddr.Addr().String()},
		Rules:        []map[string]any{{"Protocol": "TCP", "Port": serviceAddr.Port()}},
		Retry:        map[string]any{"Budget": 0.5, "Attempts": 3},
		OpenDeadline: "3s",
	}
	for i := range servers {
		w.addServer(i)
	}
	for i := range nodes {
		w.nodes[nodeName(i)] = w.newNode(nodeName(i))
	}
	w.publish()
	w.setViews(w.names())
	return w
}

func nodeName(i int) string { return fmt.Sprintf("vm-%d", i) }

func (w *world) newNode(name string) *node {
	return &node{Balancer: &bronzecore.Balancer{Name: name}, alive: true}
}

func (w *world) addServer(i int) bronzeflow.ServerID {
	name := fmt.Sprintf("host-%d", i)
	w.record.Pool = append(w.record.Pool, map[string]any{
		"Instance": name, "Address": fmt.Sprintf("198.51.100.%d:6080", i+1), "AvailabilityZone": "a",
		"Slots": 2, "Connections": 2000, "Status": "Serving",
	})
	id := bronzeflow.NewServerID(customer, name)
	w.servers[id] = &server{name: name, conns: make(map[bronzeflow.Key]*conn)}
	return id
}

// publish puts the record in force on the nodes in only, or on all nodes if there
// are none.
func (w *world) publish(only ...string) {
	w.rev++
	body, err := json.Marshal(w.record)
	require.NoError(w.t, err)
	s := bronzeconf.Build(w.rev, []bronzeconf.Record{{Name: "live", Body: body}})
	require.Empty(w.t, s.Refusals)
	for name, n := range w.nodes {
		if len(only) == 0 || slices.Contains(only, name) {
			n.SetSnapshot(s)
		}
	}
}

func (w *world) drain(i int, only ...string) {
	w.record.Pool[i]["Status"] = "Draining"
	w.publish(only...)
}

func (w *world) names() (names []string) {
	for name, n := range w.nodes {
		if n.alive {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// setViews gives the named nodes views whose members are exactly these nodes.
func (w *world) setViews(names []string, change ...func(v *bronzefleet.View)) {
	for _, name := range names {
		n := w.nodes[name]
		v := bronzefleet.NewView(name, viewMembers(names), n.view, time.Now())
		v.Ready = true
		for _, f := range change {
			f(v)
		}
		n.view = v
		n.SetView(v)
	}
}

func viewMembers(names []string) (members []bronzelink.Member) {
	for _, n := range names {
		members = append(members, bronzelink.Member{Name: n, Status: bronzelink.Alive})
	}
	return members
}

func (w *world) open() *flow {
	caller := netip.AddrPortFrom(netip.MustParseAddr("203.0.113.7"), uint16(1024+len(w.flows)))
	f := &flow{
		key:       bronzeflow.NewKey(bronzeflow.TCP, caller, serviceAddr),
		payloadAt: make(map[bronzeflow.ServerID]bool),
	}
	w.flows = append(w.flows, f)
	return f
}

// openIdle opens a flow whose caller sends nothing once it is open.
func (w *world) openIdle() *flow {
	f := w.open()
	f.idle = true
	w.run(500 * time.Millisecond)
	require.True(w.t, f.accepted)
	return f
}

// cutOwnerFromServers loses all packets from a flow's owner to the servers and
// returns the owner.
func (w *world) cutOwnerFromServers(f *flow) (owner string) {
	owner = w.ownerOf(f)
	w.cut = func(from, to string) bool { return from == owner && w.nodes[to] == nil }
	return owner
}

// reopen closes a flow and opens another one under its key.
func (w *world) reopen(f *flow) {
	w.fromCaller(f, bronzeflow.Packet{Key: f.key, Kind: bronzeflow.Close, Echo: f.echo})
	w.deliver()
	f.accepted, f.request, f.sentAt = false, 0, time.Time{}
	clear(f.payloadAt)
}

// run advances the simulation by d of the bubble's clock.
func (w *world) run(d time.Duration) {
	for range d / bronzecore.TickInterval {
		for _, f := range w.flows {
			w.step(f)
		}
		w.deliver()
		for _, name := range w.names() {
			if n := w.nodes[name]; !n.paused {
				w.apply(name, n.Tick(nil))
			}
		}
		w.deliver()
		<-time.After(bronzecore.TickInterval)
	}
}

// copyTime is enough for a few exceptions to be copied.
const copyTime = 6 * time.Second

// sendDatagrams sends a datagram of each flow and requires that it reaches the
// flow's server in servers. A server of 0 is set to the one that was reached.
func (w *world) sendDatagrams(servers map[bronzeflow.Key]bronzeflow.ServerID) {
	for key, want := range servers {
		p := bronzeflow.Packet{Key: key, Kind: bronzeflow.Datagram, Payload: 8}
		w.datagram = 0
		w.send("caller", w.pickNode(nil), func(n *node) []bronzecore.Action { return n.FromCaller(&p, nil) })
		w.run(200 * time.Millisecond)
		require.NotZero(w.t, w.datagram)
		if want != 0 {
			require.Equal(w.t, want, w.datagram)
		}
		servers[key] = w.datagram
	}
}

func (w *world) deliver() {
	for len(w.queue) > 0 {
		i := w.rng.IntN(len(w.queue))
		f := w.queue[i]
		w.queue = slices.Delete(w.queue, i, i+1)
		f()
	}
}

// step sends the packet of a caller that is due, if any.
func (w *world) step(f *flow) {
	if f.refused || f.aborted || time.Since(f.sentAt) < retransmit {
		return
	}
	f.sentAt = time.Now()
	if !f.accepted {
		w.fromCaller(f, bronzeflow.Packet{Key: f.key, Kind: bronzeflow.Open})
		return
	}
	if f.idle {
		return
	}
	if f.request == 0 {
		f.request = w.rng.Uint64() | 1
	}
	raw := binary.BigEndian.AppendUint64(nil, f.request)
	w.fromCaller(f, bronzeflow.Packet{
		Key: f.key, Kind: bronzeflow.Data, Payload: len(raw), Echo: f.echo, Sequence: uint32(f.request), Raw: raw,
	})
}

// pickNode picks the node that the fabric delivers a packet to.
func (w *world) pickNode(names []string) string {
	if names == nil {
		names = w.names()
	}
	return names[w.rng.IntN(len(names))]
}

func (w *world) fromCaller(f *flow, p bronzeflow.Packet) {
	w.send("caller", w.pickNode(f.entryNodes), func(n *node) []bronzecore.Action { return n.FromCaller(&p, nil) })
}

// send queues a call of f for the node to. It is lost if the node can't be
// reached when it is delivered.
func (w *world) send(from, to string, f func(n *node) []bronzecore.Action) {
	w.queue = append(w.queue, func() {
		n := w.nodes[to]
		if n == nil || !n.alive || n.paused || w.cut(from, to) {
			return
		}
		w.apply(to, f(n))
	})
}

// apply carries out the actions of a node.
func (w *world) apply(name string, out []bronzecore.Action) {
	for _, a := range out {
		if w.ownerTableOnly && (a.Kind == bronzecore.Send || a.Kind == bronzecore.Probe) {
			continue
		}
		p := a.Packet
		switch a.Kind {
		case bronzecore.Relay:
			w.send(name, a.Peer, func(n *node) []bronzecore.Action { return n.FromPeer(&p, name, nil) })
		case bronzecore.RelayReply:
			w.send(name, a.Peer, func(n *node) []bronzecore.Action { return n.ReplyFromPeer(&p, a.Server, nil) })
		case bronzecore.Send:
			w.send(name, a.Peer, func(n *node) []bronzecore.Action { return n.HandleMessage(a.Message, name, nil) })
		case bronzecore.Forward, bronzecore.Probe, bronzecore.Cancel:
			w.queue = append(w.queue, func() { w.serverReceives(name, a) })
		case bronzecore.Reply, bronzecore.Refuse, bronzecore.Abort:
			w.queue = append(w.queue, func() { w.callerReceives(a) })
		}
	}
}

func (w *world) flowOf(key bronzeflow.Key) *flow {
	return w.flows[int(key.CallerPort)-1024]
}

// serverReceives handles a packet, probe or cancellation that the node from
// sends to a backend server.
func (w *world) serverReceives(from string, a bronzecore.Action) {
	s := w.servers[a.Server]
	if s.silent || w.cut(from, s.name) {
		return
	}
	key := a.Packet.Key
	if key.Protocol == bronzeflow.UDP {
		w.datagram = a.Server
		return
	}
	c := s.conns[key]
	reply := bronzeflow.Packet{Key: key, Kind: bronzeflow.Data}
	switch {
	case a.Kind == bronzecore.Cancel || a.Packet.Kind == bronzeflow.Reset:
		delete(s.conns, key)
		return
	case a.Kind == bronzecore.Probe && c != nil && c.echo == a.Packet.Echo:
	case a.Packet.Kind == bronzeflow.Open && s.refuses, c == nil && a.Packet.Kind != bronzeflow.Open, a.Kind == bronzecore.Probe:
		reply.Kind = bronzeflow.Refuse
	case a.Packet.Kind == bronzeflow.Close:
		delete(s.conns, key)
		reply.Kind = bronzeflow.Close
	case a.Packet.Kind == bronzeflow.Open:
		if c == nil {
			c = &conn{echo: w.rng.Uint32() | 1, ran: make(map[uint64]bool)}
			s.conns[key] = c
			s.opened++
		}
		reply.Kind, reply.Echo = bronzeflow.Accept, c.echo
	default:
		id := binary.BigEndian.Uint64(a.Packet.Raw)
		w.flowOf(key).payloadAt[a.Server] = true
		if !c.ran[id] {
			c.ran[id] = true
			w.runs[id]++
		}
		reply.Payload, reply.Raw = len(a.Packet.Raw), a.Packet.Raw
	}
	w.fromServer(s, a.Server, reply)
}

func (w *world) fromServer(s *server, id bronzeflow.ServerID, p bronzeflow.Packet) {
	ids := []bronzeflow.ServerID{id}
	names := w.flowOf(p.Key).replyNodes
	if names == nil {
		names = w.flowOf(p.Key).entryNodes
	}
	w.send(s.name, w.pickNode(names), func(n *node) []bronzecore.Action { return n.FromServer(&p, ids, nil) })
}

// callerReceives handles a reply, refusal or abort that a node sends to a caller.
func (w *world) callerReceives(a bronzecore.Action) {
	f := w.flowOf(a.Packet.Key)
	switch {
	case a.Kind == bronzecore.Refuse:
		f.refused = true
		require.Empty(w.t, f.payloadAt, "caller was refused although payload was forwarded")
		require.Positive(w.t, a.RetryAfter)
	case a.Kind == bronzecore.Abort, a.Packet.Kind == bronzeflow.Refuse:
		f.aborted = true
	case a.Packet.Kind == bronzeflow.Accept && !f.accepted:
		f.accepted, f.echo = true, a.Packet.Echo
		f.sentAt = time.Time{}
	case a.Packet.Kind == bronzeflow.Data && a.Packet.Payload > 0 && f.request == binary.BigEndian.Uint64(a.Packet.Raw):
		f.request = 0
		f.answered++
		f.sentAt = time.Time{}
	}
}

// requireInvariants requires that no request ran twice and that no flow's
// payload reached two servers.
func (w *world) requireInvariants() {
	for id, n := range w.runs {
		require.Equal(w.t, 1, n, "request %d ran %d times", id, n)
	}
	for _, f := range w.flows {
		require.LessOrEqual(w.t, len(f.payloadAt), 1, "payload of one flow reached two servers")
	}
}

// requireProgress requires that no flow has ended and that each was answered
// more often than in before, a result of answeredCounts.
func (w *world) requireProgress(before []int) {
	for i, f := range w.flows {
		require.False(w.t, f.refused || f.aborted, "flow %d ended", i)
		require.Greater(w.t, f.answered, before[i], "flow %d makes no progress", i)
	}
}

func (w *world) answeredCounts() []int {
	n := make([]int, len(w.flows))
	for i, f := range w.flows {
		n[i] = f.answered
	}
	return n
}

// kill stops nodes without telling their peers.
func (w *world) kill(names ...string) {
	for _, name := range names {
		w.nodes[name].alive = false
	}
}

// ownerOf returns the owner of a flow in the view of the first live node.
func (w *world) ownerOf(f *flow) string {
	return w.nodes[w.names()[0]].view.Owner(f.key.Hash())
}
