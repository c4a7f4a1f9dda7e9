package bronzenode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzewire"
)

// retransmit is when a packet that had no effect is sent again. The network
// may lose it, and a node may not know yet what it needs; how often that
// happens decides nothing.
const retransmit = 50 * time.Millisecond

var (
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
	caller   = netip.MustParseAddrPort("192.0.2.7:4001")
	service  = netip.MustParseAddrPort("198.51.100.1:443")
)

// arrival is a packet that reached a backend server or the fabric.
type arrival struct {
	server int // -1 for the fabric
	from   netip.AddrPort
	packet bronzeflow.Packet
}

// world is what surrounds the nodes of a test: a platform with one service,
// the tunnel endpoints of its servers, and the fabric.
type world struct {
	t        testing.TB
	platform *httptest.Server
	fabric   *net.UDPConn
	servers  []*net.UDPConn
	// tunnels are the servers' tunnel endpoints.
	tunnels  []netip.AddrPort
	arrivals chan arrival
	// pinned is the only server that may get packets from now on, if not -1.
	pinned int
	// heartbeat is the nodes', 0 means the default.
	heartbeat time.Duration
	// change, if set, changes the settings of the nodes.
	change func(*Config)
	// refuse makes the servers refuse all openings.
	refuse bool
}

func newWorld(t testing.TB, servers int) *world {
	w := &world{t: t, arrivals: make(chan arrival, 1024), pinned: -1, heartbeat: 100 * time.Millisecond}
	w.fabric = w.listen(-1)
	for i := range servers {
		conn := w.listen(i)
		w.servers = append(w.servers, conn)
		w.tunnels = append(w.tunnels, conn.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	w.platform = httptest.NewServer(http.HandlerFunc(w.servePlatform))
	t.Cleanup(w.platform.Close)
	return w
}

// listen opens a socket, and hands over what arrives there.
func (w *world) listen(server int) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	require.NoError(w.t, err)
	w.t.Cleanup(func() { _ = conn.Close() })
	go func() {
		var parser bronzewire.Parser
		for {
			buf := make([]byte, maxPacketBytes)
			n, from, err := conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			a := arrival{server: server, from: from}
			if server < 0 {
				err = parser.FromServer(buf[:n], &a.packet)
			} else {
				err = parser.FromCaller(buf[:n], &a.packet)
			}
			if err == nil {
				w.arrivals <- a
			}
		}
	}()
	return conn
}

// record is the service's record.
func (w *world) record() bronzeconf.ServiceV2 {
	v := bronzeconf.NewServiceV2()
	v.Customer, v.Brand, v.Name = "agency", "maps", "map-live"
	v.Addresses = []netip.Addr{service.Addr()}
	v.Rules = []bronzeconf.RuleV1{{Protocol: "TCP", Port: service.Port()}}
	v.Retry.Budget = 1
	for i, address := range w.tunnels {
		v.Pool = append(v.Pool, bronzeconf.BackendServerV1{
			Instance:         fmt.Sprintf("map-%d", i),
			Address:          address,
			AvailabilityZone: "riga-a",
		})
	}
	return v
}

func (w *world) servePlatform(rw http.ResponseWriter, r *http.Request) {
	var value any
	switch {
	case r.URL.Path == "/VMs":
		value = []bronzeconf.VM{}
	case r.URL.Query().Get("After") == "1":
		rw.Header().Set(bronzeconf.RevisionHeader, "1")
		<-r.Context().Done()
		return
	case strings.HasSuffix(r.URL.Path, bronzeconf.IndexName):
		value = bronzeconf.Index{Revision: 1, Records: []bronzeconf.RecordVersion{{Name: "map-live", Revision: 1}}}
	default:
		value = w.record()
	}
	rw.Header().Set(bronzeconf.RevisionHeader, "1")
	_ = json.NewEncoder(rw).Encode(value)
}

func quietLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// start starts a node that joins the others, and returns once it is ready
// and all know each other.
func (w *world) start(name string, others ...*Node) *Node {
	cfg := Config{
		Name: name, Fleet: "test", AvailabilityZone: "riga-a",
		EdgeAddress: loopback, DataAddress: loopback, ControlAddress: loopback, HTTPAddress: loopback,
		FabricAddress: w.fabric.LocalAddr().(*net.UDPAddr).AddrPort(),
		Plain:         true,
		Heartbeat:     w.heartbeat,
		LeaveQuiet:    time.Millisecond,
		Log:           quietLog(),
	}
	if len(others) == 0 {
		cfg.Platform = w.platform.URL
		cfg.JoinWait = time.Millisecond
	}
	for _, o := range others {
		cfg.Peers = append(cfg.Peers, o.ControlAddress().String())
	}
	if w.change != nil {
		w.change(&cfg)
	}
	n, err := New(cfg)
	require.NoError(w.t, err)
	ended := make(chan error, 1)
	go func() { ended <- n.Run(context.Background()) }()
	w.t.Cleanup(func() {
		n.Kill()
		require.NoError(w.t, <-ended)
	})
	all := append([]*Node{n}, others...)
	for _, o := range all {
		await(func() bool { return o.Ready() && len(o.peers()) == len(all)-1 })
	}
	return n
}

// await returns once ok does.
func await(ok func() bool) {
	for !ok() {
		runtime.Gosched()
	}
}

// segment is a TCP segment of the test's one flow.
type segment struct {
	flags    bronzewire.TCPFlags
	seq, ack uint32
	payload  string
}

const (
	callerSeq = 1000
	serverSeq = 5000
)

var (
	opening = segment{flags: bronzewire.SYN, seq: callerSeq}
	accept  = segment{flags: bronzewire.SYN | bronzewire.ACK, seq: serverSeq, ack: callerSeq + 1}
	refusal = segment{flags: bronzewire.RST | bronzewire.ACK, ack: callerSeq + 1}
	request = segment{flags: bronzewire.ACK | bronzewire.PSH, seq: callerSeq + 1, ack: serverSeq + 1, payload: "outline"}
	answer1 = segment{flags: bronzewire.ACK | bronzewire.PSH, seq: serverSeq + 1, ack: callerSeq + 8, payload: "saved"}
)

// call sends a segment of the caller to a node.
func (w *world) call(n *Node, s segment) {
	raw, err := bronzewire.BuildTCP(nil, caller, service, s.flags, s.seq, s.ack, []byte(s.payload))
	require.NoError(w.t, err)
	_, err = w.fabric.WriteToUDPAddrPort(raw, n.EdgeAddress())
	require.NoError(w.t, err)
}

// reply sends a segment of a server to a node.
func (w *world) reply(server int, to netip.AddrPort, s segment) {
	raw, err := bronzewire.BuildTCP(nil, service, caller, s.flags, s.seq, s.ack, []byte(s.payload))
	require.NoError(w.t, err)
	_, err = w.servers[server].WriteToUDPAddrPort(raw, to)
	require.NoError(w.t, err)
}

// until calls send, again and again, until a packet of that kind, with payload
// or without, arrives at a server or (fabric) the fabric.
func (w *world) until(send func(), fabric bool, kind bronzeflow.Kind, payload int) arrival {
	for {
		send()
		again := time.NewTimer(retransmit)
		a, ok := w.collect(again.C, fabric, kind, payload)
		again.Stop()
		if ok {
			return a
		}
	}
}

func (w *world) collect(again <-chan time.Time, fabric bool, kind bronzeflow.Kind, payload int) (a arrival, ok bool) {
	for {
		select {
		case a = <-w.arrivals:
		case <-again:
			return a, false
		}
		w.check(&a)
		if (a.server < 0) == fabric && a.packet.Kind == kind && a.packet.Payload == payload {
			return a, true
		}
	}
}

// check plays the servers' part in what no test waits for, and requires that
// payload reaches no other server than the pinned one.
func (w *world) check(a *arrival) {
	if a.server < 0 {
		return
	}
	switch {
	case a.packet.Kind == bronzeflow.Open && w.refuse:
		w.reply(a.server, a.from, refusal)
	case a.packet.Payload > 0 && w.pinned >= 0:
		require.Equal(w.t, w.pinned, a.server, "payload at another server")
	case a.packet.Kind == bronzeflow.Data && a.packet.Payload == 0 && a.server == w.pinned:
		w.reply(a.server, a.from, segment{flags: bronzewire.ACK, seq: serverSeq + 1, ack: callerSeq + 1})
	case a.packet.Kind == bronzeflow.Data && a.packet.Payload == 0:
		w.reply(a.server, a.from, segment{flags: bronzewire.RST, seq: serverSeq + 1})
	}
}

// open establishes the flow with its caller's packets at one node and the
// server's at another.
func (w *world) open(callers, servers *Node) {
	a := w.until(func() { w.call(callers, opening) }, false, bronzeflow.Open, 0)
	w.pinned = a.server
	w.until(func() { w.reply(a.server, servers.EdgeAddress(), accept) }, true, bronzeflow.Accept, 0)
}

// ask makes a request through one node and has it answered through another.
func (w *world) ask(callers, servers *Node) {
	w.until(func() { w.call(callers, request) }, false, bronzeflow.Data, len(request.payload))
	w.until(func() { w.reply(w.pinned, servers.EdgeAddress(), answer1) }, true, bronzeflow.Data, len(answer1.payload))
}

// get returns the status code of a path of the node's HTTP address, 0 if
// nobody listens there.
func (w *world) get(n *Node, path string) int {
	res, err := http.Get("http://" + n.HTTPAddress().String() + path)
	if errors.Is(err, io.EOF) || err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode
}
