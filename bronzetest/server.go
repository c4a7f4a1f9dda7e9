package bronzetest

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// Mode is how a BackendServer behaves towards new flows.
type Mode int32

// The modes.
const (
	// Normal takes new flows and reports its load.
	Normal Mode = iota
	// Shedding refuses new flows with a reset.
	Shedding
	// Unresponsive drops the openings of new flows.
	Unresponsive
	// ReportingIdle takes new flows and reports that it is idle.
	ReportingIdle
	// Cold answers openings late.
	Cold
)

const (
	// coldDelay is how late a Cold server answers an opening.
	coldDelay = 100 * time.Millisecond
	// One answer in slowOneIn takes up to slowBy, longer than the caller
	// waits before it sends the request again.
	slowOneIn = 64
	slowBy    = 400 * time.Millisecond
	// leaveGrace is how long after its drain a server may get new flows.
	leaveGrace = 3 * time.Second
	// halfOpen is how long a server waits for the caller's confirmation.
	halfOpen = 10 * time.Second
)

// Server is a BackendServer: a UDP tunnel endpoint, and behind it as much of
// TCP as callers with one request at a time need.
type Server struct {
	Customer, Service, Instance, Zone string
	// Addresses are the service's own; a packet to another is misdelivered.
	Addresses []netip.Addr
	// Connections is how many flows it holds at once, 0 means no limit.
	Connections int

	fabric *Fabric
	id     bronzeflow.ServerID
	sock   *net.UDPConn
	mode   atomic.Int32
	held   atomic.Int64
	// drained is the time of the drain in Unix nanoseconds, 0 without.
	drained atomic.Int64

	mu    sync.Mutex
	flows map[bronzeflow.Key]*serverFlow
	// silent holds the flows that a balancer's packets don't reach.
	silent map[silentPath]bool
}

type silentPath struct {
	edge netip.AddrPort
	key  bronzeflow.Key
}

// serverFlow is a connection at its server.
type serverFlow struct {
	// syn and isn are the initial numbers of the caller and the server, next
	// is the number expected from the caller, sent the next to send.
	syn, isn, next, sent uint32
	confirmed            bool
	first, last          segment
}

// Start opens the tunnel endpoint and serves until Close.
func (s *Server) Start(f *Fabric) (err error) {
	defer annotate(&err, "start backend server "+s.Instance)
	s.fabric = f
	s.id = bronzeflow.NewServerID(s.Customer, s.Instance)
	s.flows = make(map[bronzeflow.Key]*serverFlow)
	s.silent = make(map[silentPath]bool)
	if s.sock, err = listen(); err != nil {
		return err
	}
	go s.serve()
	return nil
}

// Close ends the server.
func (s *Server) Close() { _ = s.sock.Close() }

// Address returns the tunnel endpoint.
func (s *Server) Address() netip.AddrPort { return addrPort(s.sock) }

// SetMode changes how new flows are met.
func (s *Server) SetMode(m Mode) { s.mode.Store(int32(m)) }

// Drain makes the server report that it is leaving; new flows that come
// later than leaveGrace are counted.
func (s *Server) Drain() { s.drained.Store(time.Now().UnixNano()) }

// FlowCount returns the number of flows that the server holds.
func (s *Server) FlowCount() int { return int(s.held.Load()) }

// ServeHTTP is the health and load endpoint.
func (s *Server) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	report := struct {
		Connections int
		Leaving     bool
	}{s.FlowCount(), s.drained.Load() != 0}
	if Mode(s.mode.Load()) == ReportingIdle {
		report.Connections = 0
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// BlackholeExistingFlows loses from now on the packets that the balancer at edge sends for
// the flows that exist; those of new flows pass.
func (s *Server) BlackholeExistingFlows(edge netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.flows {
		s.silent[silentPath{edge, key}] = true
	}
}

func (s *Server) serve() {
	buf := make([]byte, maxPacket)
	for {
		n, edge, err := s.sock.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, err := parseSegment(append([]byte(nil), buf[:n]...))
		if err != nil {
			s.fabric.Ledger.Misdelivered.Add(1)
			continue
		}
		if t := s.fabric.arrived(edge, p.Mark); t != nil && !s.fabric.Reachable(t.zone, s.Zone) {
			continue
		}
		s.receive(edge, p)
	}
}

func (s *Server) receive(edge netip.AddrPort, p segment) {
	if !s.owns(p.Dst.Addr()) {
		s.fabric.Ledger.Misdelivered.Add(1)
		return
	}
	key := bronzeflow.NewKey(p.Protocol, p.Src, p.Dst)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent[silentPath{edge, key}] {
		return
	}
	f := s.flows[key]
	switch {
	case p.RST:
		s.forget(key, f, p)
	case p.SYN:
		s.open(key, f, p)
	case f == nil || !f.confirmed && p.Ack != f.sent:
		s.reset(p)
	case p.FIN:
		s.finish(key, f, p)
	default:
		s.request(f, p)
	}
}

func (s *Server) owns(a netip.Addr) bool {
	for _, own := range s.Addresses {
		if own == a {
			return true
		}
	}
	return false
}

// open takes a new flow or repeats the acceptance of a known one.
func (s *Server) open(key bronzeflow.Key, f *serverFlow, p segment) {
	if f != nil {
		s.repeatOpen(f, p)
		return
	}
	s.fabric.Ledger.tried(key.Hash(), s.id)
	full := s.Connections > 0 && s.FlowCount() >= s.Connections
	switch mode := Mode(s.mode.Load()); {
	case mode == Unresponsive:
		return
	case mode == Shedding || full:
		s.reset(p)
		return
	}
	if drained := s.drained.Load(); drained != 0 && time.Since(time.Unix(0, drained)) > leaveGrace {
		s.fabric.Ledger.NewFlowsOnLeaving.Add(1)
	}
	s.accept(key, p)
}

func (s *Server) repeatOpen(f *serverFlow, p segment) {
	if p.Seq == f.syn {
		s.reply(p, f.first, 0)
		return
	}
	s.reply(p, segment{ACK: true, Seq: f.sent, Ack: f.next}, 0)
}

// accept takes a new flow. An opening that carries a request is answered
// together with the acceptance.
func (s *Server) accept(key bronzeflow.Key, p segment) {
	isn := rand.Uint32()
	f := &serverFlow{syn: p.Seq, isn: isn, next: p.Seq + 1, sent: isn + 1}
	s.flows[key] = f
	s.held.Add(1)
	s.fabric.Ledger.accepted(key.Hash(), s.id)
	time.AfterFunc(halfOpen, func() { s.expire(key, f) })
	f.first = segment{SYN: true, ACK: true, Seq: isn}
	if len(p.Payload) > 0 {
		f.first.Payload = s.run(f, p)
	}
	f.first.Ack = f.next
	delay := time.Duration(0)
	if Mode(s.mode.Load()) == Cold {
		delay = coldDelay
	}
	s.reply(p, f.first, delay)
}

// expire forgets a flow whose caller never confirmed it.
func (s *Server) expire(key bronzeflow.Key, f *serverFlow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !f.confirmed && s.flows[key] == f {
		s.remove(key)
	}
}

// request runs the request of p once and answers; what came before is
// answered again without another run, and a keep-alive probe is confirmed.
func (s *Server) request(f *serverFlow, p segment) {
	switch {
	case p.Seq == f.next && len(p.Payload) == 0:
		f.confirmed = true
	case p.Seq == f.next:
		s.answer(f, p)
	case len(p.Payload) > 0 && p.Seq+uint32(len(p.Payload)) == f.next:
		s.reply(p, f.last, 0)
	default:
		s.reply(p, segment{ACK: true, Seq: f.sent, Ack: f.next}, 0)
	}
}

func (s *Server) answer(f *serverFlow, p segment) {
	f.confirmed = true
	f.last = segment{ACK: true, Seq: f.sent}
	f.last.Payload = s.run(f, p)
	f.last.Ack = f.next
	delay := time.Duration(0)
	if rand.IntN(slowOneIn) == 0 {
		delay = rand.N(slowBy)
	}
	s.reply(p, f.last, delay)
}

// run runs the request in p and returns its answer.
func (s *Server) run(f *serverFlow, p segment) []byte {
	f.next += uint32(len(p.Payload))
	r, ok := parseRequest(p.Payload)
	if !ok {
		s.fabric.Ledger.WrongAnswers.Add(1)
		return nil
	}
	s.fabric.Ledger.ran(r)
	b := Answer{Request: r, Server: s.id, Service: xxhash.Sum64String(s.Service)}.marshal()
	f.sent += uint32(len(b))
	return b
}

// finish ends both directions. The flow is forgotten: a repeated FIN is
// answered by a reset, which tells the caller the same.
func (s *Server) finish(key bronzeflow.Key, f *serverFlow, p segment) {
	if p.Seq != f.next {
		s.reply(p, segment{ACK: true, Seq: f.sent, Ack: f.next}, 0)
		return
	}
	s.reply(p, segment{ACK: true, FIN: true, Seq: f.sent, Ack: f.next + 1}, 0)
	s.remove(key)
}

// forget ends the flow on a reset that belongs to it.
func (s *Server) forget(key bronzeflow.Key, f *serverFlow, p segment) {
	if f != nil && p.Seq == f.next {
		s.remove(key)
	}
}

func (s *Server) remove(key bronzeflow.Key) {
	delete(s.flows, key)
	s.held.Add(-1)
}

// reset answers p as TCP answers what belongs to no connection.
func (s *Server) reset(p segment) {
	r := segment{RST: true, Seq: p.Ack}
	if !p.ACK {
		r.ACK = true
		r.Ack = p.Seq + uint32(len(p.Payload))
		if p.SYN {
			r.Ack++
		}
	}
	s.reply(p, r, 0)
}

// reply sends r as the answer to p through any balancer.
func (s *Server) reply(p, r segment, delay time.Duration) {
	r.Src, r.Dst, r.Protocol = p.Dst, p.Src, p.Protocol
	if delay > 0 {
		time.AfterFunc(delay, func() { s.fabric.spray(s.sock, s.Zone, r) })
		return
	}
	s.fabric.spray(s.sock, s.Zone, r)
}
