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

// retransmitInterval is after what time a packet that had no effect is sent
// again. The network may lose it, and a node may not yet know what it needs;
// no test depends on how often that happens.
const retransmitInterval = 50 * time.Millisecond

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

// testEnv is the environment of the nodes under test: a platform with one
// service, the tunnel endpoints of its servers, and the fabric.
type testEnv struct {
	t        testing.TB
	platform *httptest.Server
	fabric   *net.UDPConn
	servers  []*net.UDPConn
	// tunnels are the servers' tunnel endpoints.
	tunnels  []netip.AddrPort
	arrivals chan arrival
	// pinned is the only server that may get payload from now on, unless -1.
	pinned int
	// heartbeat is the nodes' heartbeat interval, 0 selects the default.
	heartbeat time.Duration
	// configure, if set, changes the settings of the nodes.
	configure func(*Config)
	// refuse makes the servers refuse all openings.
	refuse bool
}

func newTestEnv(t testing.TB, servers int) *testEnv {
	env := &testEnv{t: t, arrivals: make(chan arrival, 1024), pinned: -1, heartbeat: 100 * time.Millisecond}
	env.fabric = env.listen(-1)
	for i := range servers {
		conn := env.listen(i)
		env.servers = append(env.servers, conn)
		env.tunnels = append(env.tunnels, conn.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	env.platform = httptest.NewServer(http.HandlerFunc(env.servePlatform))
	t.Cleanup(env.platform.Close)
	return env
}

// listen opens a socket, and passes on the packets that arrive there.
func (env *testEnv) listen(server int) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	require.NoError(env.t, err)
	env.t.Cleanup(func() { _ = conn.Close() })
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
				env.arrivals <- a
			}
		}
	}()
	return conn
}

// record returns the service's record.
func (env *testEnv) record() bronzeconf.ServiceV2 {
	v := bronzeconf.NewServiceV2()
	v.Customer, v.Brand, v.Name = "agency", "maps", "map-live"
	v.Addresses = []netip.Addr{service.Addr()}
	v.Rules = []bronzeconf.RuleV1{{Protocol: "TCP", Port: service.Port()}}
	v.Retry.Budget = 1
	for i, address := range env.tunnels {
		v.Pool = append(v.Pool, bronzeconf.BackendServerV1{
			Instance:         fmt.Sprintf("map-%d", i),
			Address:          address,
			AvailabilityZone: "riga-a",
		})
	}
	return v
}

func (env *testEnv) servePlatform(rw http.ResponseWriter, r *http.Request) {
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
		value = env.record()
	}
	rw.Header().Set(bronzeconf.RevisionHeader, "1")
	_ = json.NewEncoder(rw).Encode(value)
}

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// start starts a node that joins the others, and returns once it is ready and
// all know each other.
func (env *testEnv) start(name string, others ...*Node) *Node {
	cfg := Config{
		Name: name, Fleet: "test", AvailabilityZone: "riga-a",
		EdgeAddress: loopback, DataAddress: loopback, ControlAddress: loopback, HTTPAddress: loopback,
		FabricAddress: env.fabric.LocalAddr().(*net.UDPAddr).AddrPort(),
		Plain:         true,
		Heartbeat:     env.heartbeat,
		LeaveQuiet:    time.Millisecond,
		Log:           discardLog(),
	}
	if len(others) == 0 {
		cfg.Platform = env.platform.URL
		cfg.JoinWait = time.Millisecond
	}
	for _, o := range others {
		cfg.Peers = append(cfg.Peers, o.ControlAddress().String())
	}
	if env.configure != nil {
		env.configure(&cfg)
	}
	n, err := New(cfg)
	require.NoError(env.t, err)
	ended := make(chan error, 1)
	go func() { ended <- n.Run(context.Background()) }()
	env.t.Cleanup(func() {
		n.Kill()
		require.NoError(env.t, <-ended)
	})
	all := append([]*Node{n}, others...)
	for _, o := range all {
		await(func() bool { return o.Ready() && len(o.peers()) == len(all)-1 })
	}
	return n
}

// await returns once ok returns true.
func await(ok func() bool) {
	for !ok() {
		runtime.Gosched()
	}
}

// segment is a TCP segment of the test's only flow.
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
	opening  = segment{flags: bronzewire.SYN, seq: callerSeq}
	accept   = segment{flags: bronzewire.SYN | bronzewire.ACK, seq: serverSeq, ack: callerSeq + 1}
	refusal  = segment{flags: bronzewire.RST | bronzewire.ACK, ack: callerSeq + 1}
	request  = segment{flags: bronzewire.ACK | bronzewire.PSH, seq: callerSeq + 1, ack: serverSeq + 1, payload: "outline"}
	response = segment{flags: bronzewire.ACK | bronzewire.PSH, seq: serverSeq + 1, ack: callerSeq + 8, payload: "saved"}
)

// sendFromCaller sends a segment of the caller to a node.
func (env *testEnv) sendFromCaller(n *Node, s segment) {
	raw, err := bronzewire.BuildTCP(nil, caller, service, s.flags, s.seq, s.ack, []byte(s.payload))
	require.NoError(env.t, err)
	_, err = env.fabric.WriteToUDPAddrPort(raw, n.EdgeAddress())
	require.NoError(env.t, err)
}

// sendFromServer sends a segment of a server to a node.
func (env *testEnv) sendFromServer(server int, to netip.AddrPort, s segment) {
	raw, err := bronzewire.BuildTCP(nil, service, caller, s.flags, s.seq, s.ack, []byte(s.payload))
	require.NoError(env.t, err)
	_, err = env.servers[server].WriteToUDPAddrPort(raw, to)
	require.NoError(env.t, err)
}

// waitFor calls send repeatedly until a packet of that kind with that payload
// length arrives, at the fabric if fabric is set, otherwise at a server.
func (env *testEnv) waitFor(send func(), fabric bool, kind bronzeflow.Kind, payload int) arrival {
	for {
		send()
		again := time.NewTimer(retransmitInterval)
		a, ok := env.waitForArrival(again.C, fabric, kind, payload)
		again.Stop()
		if ok {
			return a
		}
	}
}

// waitForArrival waits for such a packet; ok is false if again fires first.
func (env *testEnv) waitForArrival(again <-chan time.Time, fabric bool, kind bronzeflow.Kind, payload int) (a arrival, ok bool) {
	for {
		select {
		case a = <-env.arrivals:
		case <-again:
			return a, false
		}
		env.handleArrival(&a)
		if (a.server < 0) == fabric && a.packet.Kind == kind && a.packet.Payload == payload {
			return a, true
		}
	}
}

// handleArrival sends the servers' replies to refused openings and to probes, and
// requires that payload reaches no server but the pinned one.
func (env *testEnv) handleArrival(a *arrival) {
	if a.server < 0 {
		return
	}
	switch {
	case a.packet.Kind == bronzeflow.Open && env.refuse:
		env.sendFromServer(a.server, a.from, refusal)
	case a.packet.Payload > 0 && env.pinned >= 0:
		require.Equal(env.t, env.pinned, a.server, "payload at another server")
	case a.packet.Kind == bronzeflow.Data && a.packet.Payload == 0 && a.server == env.pinned:
		env.sendFromServer(a.server, a.from, segment{flags: bronzewire.ACK, seq: serverSeq + 1, ack: callerSeq + 1})
	case a.packet.Kind == bronzeflow.Data && a.packet.Payload == 0:
		env.sendFromServer(a.server, a.from, segment{flags: bronzewire.RST, seq: serverSeq + 1})
	}
}

// openFlow establishes the flow, with the caller's packets sent to one node and
// the server's to another.
func (env *testEnv) openFlow(callers, servers *Node) {
	a := env.waitFor(func() { env.sendFromCaller(callers, opening) }, false, bronzeflow.Open, 0)
	env.pinned = a.server
	env.waitFor(func() { env.sendFromServer(a.server, servers.EdgeAddress(), accept) }, true, bronzeflow.Accept, 0)
}

// makeRequest makes a request through one node and answers it through another.
func (env *testEnv) makeRequest(callers, servers *Node) {
	env.waitFor(func() { env.sendFromCaller(callers, request) }, false, bronzeflow.Data, len(request.payload))
	env.waitFor(func() { env.sendFromServer(env.pinned, servers.EdgeAddress(), response) }, true, bronzeflow.Data, len(response.payload))
}

// getStatusCode returns the status code for a path of the node's HTTP address,
// or 0 if the request fails.
func (env *testEnv) getStatusCode(n *Node, path string) int {
	res, err := http.Get("http://" + n.HTTPAddress().String() + path)
	if errors.Is(err, io.EOF) || err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode
}
