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

// Mode is the behavior of a Server towards new flows.
type Mode int32

// The modes.
const (
	// Normal accepts new flows and reports the load.
	Normal Mode = iota
	// Shedding refuses new flows with a reset.
	Shedding
	// Unresponsive drops the openings of new flows.
	Unresponsive
	// ReportingIdle accepts new flows and reports that it has none.
	ReportingIdle
	// Cold answers openings late.
	Cold
)

const (
	// coldDelay is how late a Cold server answers an opening.
	coldDelay = 100 * time.Millisecond
	// One answer in slowAnswerOneIn is delayed by up to maxSlowDelay, which is
	// longer than firstRetransmit, so that some callers retransmit.
	slowAnswerOneIn = 64
	maxSlowDelay    = 400 * time.Millisecond
	// drainGrace is how long after its drain a server may get new flows.
	drainGrace = 3 * time.Second
	// halfOpenTimeout is how long a server waits for the caller to confirm a
	// flow.
	halfOpenTimeout = 10 * time.Second
)

// Server is a stand-in of a BackendServer: a UDP tunnel endpoint with as much
// of TCP as callers with one request at a time need.
type Server struct {
	Customer, Service, Instance, Zone string
	// Addresses are those of the service. A packet to another is misdelivered.
	Addresses []netip.Addr
	// Connections is the limit of concurrent flows. 0 means no limit.
	Connections int

	fabric    *Fabric
	id        bronzeflow.ServerID
	sock      *net.UDPConn
	mode      atomic.Int32
	flowCount atomic.Int64
	// drainedAt is the time of the drain in Unix nanoseconds, or 0.
	drainedAt atomic.Int64

	mu    sync.Mutex
	flows map[bronzeflow.Key]*serverFlow
	// blackholed has the flows whose packets from a balancer are dropped.
	blackholed map[balancerFlow]bool
}

type balancerFlow struct {
	edge netip.AddrPort
	key  bronzeflow.Key
}

// serverFlow is the server's side of a flow.
type serverFlow struct {
	// callerISN and isn are the initial sequence numbers of the caller and the
	// server. nextFromCaller is the next one expected, nextToCaller the next
	// one to send.
	callerISN, isn, nextFromCaller, nextToCaller uint32
	confirmed                                    bool
	synAck, lastAnswer                           segment
}

// Start opens the tunnel endpoint. The server runs until Close.
func (s *Server) Start(f *Fabric) (err error) {
	defer annotate(&err, "start backend server "+s.Instance)
	s.fabric = f
	s.id = bronzeflow.NewServerID(s.Customer, s.Instance)
	s.flows = make(map[bronzeflow.Key]*serverFlow)
	s.blackholed = make(map[balancerFlow]bool)
	if s.sock, err = listen(); err != nil {
		return err
	}
	go s.serve()
	return nil
}

// Close stops the server.
func (s *Server) Close() { _ = s.sock.Close() }

// Address returns the tunnel endpoint.
func (s *Server) Address() netip.AddrPort { return addrPort(s.sock) }

// SetMode changes the behavior towards new flows.
func (s *Server) SetMode(m Mode) { s.mode.Store(int32(m)) }

// Drain makes the server report that it is leaving. New flows that it accepts
// more than three seconds later are counted in NewFlowsOnLeaving.
func (s *Server) Drain() { s.drainedAt.Store(time.Now().UnixNano()) }

// FlowCount returns the number of flows that the server holds.
func (s *Server) FlowCount() int { return int(s.flowCount.Load()) }

// ServeHTTP serves the health and load report.
func (s *Server) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	report := struct {
		Connections int
		Leaving     bool
	}{s.FlowCount(), s.drainedAt.Load() != 0}
	if Mode(s.mode.Load()) == ReportingIdle {
		report.Connections = 0
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// BlackholeExistingFlows makes the server drop the packets that the balancer at
// edge sends for the existing flows. Those of new flows pass.
func (s *Server) BlackholeExistingFlows(edge netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.flows {
		s.blackholed[balancerFlow{edge, key}] = true
	}
}

func (s *Server) serve() {
	buf := make([]byte, maxPacketBytes)
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
		if t := s.fabric.countArrival(edge, p.Mark); t != nil && !s.fabric.Reachable(t.zone, s.Zone) {
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
	if s.blackholed[balancerFlow{edge, key}] {
		return
	}
	f := s.flows[key]
	switch {
	case p.RST:
		s.handleReset(key, f, p)
	case p.SYN:
		s.handleOpening(key, f, p)
	case f == nil || !f.confirmed && p.Ack != f.nextToCaller:
		s.sendReset(p)
	case p.FIN:
		s.handleFIN(key, f, p)
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

// handleOpening accepts or refuses a new flow, or answers a repeated opening.
func (s *Server) handleOpening(key bronzeflow.Key, f *serverFlow, p segment) {
	if f != nil {
		s.repeatOpen(f, p)
		return
	}
	s.fabric.Ledger.recordAttempt(key.Hash(), s.id)
	full := s.Connections > 0 && s.FlowCount() >= s.Connections
	switch mode := Mode(s.mode.Load()); {
	case mode == Unresponsive:
		return
	case mode == Shedding || full:
		s.sendReset(p)
		return
	}
	if drained := s.drainedAt.Load(); drained != 0 && time.Since(time.Unix(0, drained)) > drainGrace {
		s.fabric.Ledger.NewFlowsOnLeaving.Add(1)
	}
	s.accept(key, p)
}

func (s *Server) repeatOpen(f *serverFlow, p segment) {
	if p.Seq == f.callerISN {
		s.reply(p, f.synAck, 0)
		return
	}
	s.reply(p, segment{ACK: true, Seq: f.nextToCaller, Ack: f.nextFromCaller}, 0)
}

// accept accepts a new flow. A request in the opening is answered in the same
// packet.
func (s *Server) accept(key bronzeflow.Key, p segment) {
	isn := rand.Uint32()
	f := &serverFlow{callerISN: p.Seq, isn: isn, nextFromCaller: p.Seq + 1, nextToCaller: isn + 1}
	s.flows[key] = f
	s.flowCount.Add(1)
	s.fabric.Ledger.recordAccept(key.Hash(), s.id)
	time.AfterFunc(halfOpenTimeout, func() { s.expire(key, f) })
	f.synAck = segment{SYN: true, ACK: true, Seq: isn}
	if len(p.Payload) > 0 {
		f.synAck.Payload = s.runRequest(f, p)
	}
	f.synAck.Ack = f.nextFromCaller
	delay := time.Duration(0)
	if Mode(s.mode.Load()) == Cold {
		delay = coldDelay
	}
	s.reply(p, f.synAck, delay)
}

// expire removes a flow that the caller hasn't confirmed.
func (s *Server) expire(key bronzeflow.Key, f *serverFlow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !f.confirmed && s.flows[key] == f {
		s.remove(key)
	}
}

// request runs the request of p and answers it. A retransmitted request is
// answered again without another run. An empty segment with the expected
// sequence number confirms the flow. Any other segment, such as a keep-alive
// probe, is acknowledged.
func (s *Server) request(f *serverFlow, p segment) {
	switch {
	case p.Seq == f.nextFromCaller && len(p.Payload) == 0:
		f.confirmed = true
	case p.Seq == f.nextFromCaller:
		s.answer(f, p)
	case len(p.Payload) > 0 && p.Seq+uint32(len(p.Payload)) == f.nextFromCaller:
		s.reply(p, f.lastAnswer, 0)
	default:
		s.reply(p, segment{ACK: true, Seq: f.nextToCaller, Ack: f.nextFromCaller}, 0)
	}
}

func (s *Server) answer(f *serverFlow, p segment) {
	f.confirmed = true
	f.lastAnswer = segment{ACK: true, Seq: f.nextToCaller}
	f.lastAnswer.Payload = s.runRequest(f, p)
	f.lastAnswer.Ack = f.nextFromCaller
	delay := time.Duration(0)
	if rand.IntN(slowAnswerOneIn) == 0 {
		delay = rand.N(maxSlowDelay)
	}
	s.reply(p, f.lastAnswer, delay)
}

// runRequest runs the request in p and returns its encoded answer.
func (s *Server) runRequest(f *serverFlow, p segment) []byte {
	f.nextFromCaller += uint32(len(p.Payload))
	r, ok := parseRequest(p.Payload)
	if !ok {
		s.fabric.Ledger.WrongAnswers.Add(1)
		return nil
	}
	s.fabric.Ledger.recordRun(r)
	b := Answer{Request: r, Server: s.id, Service: xxhash.Sum64String(s.Service)}.marshal()
	f.nextToCaller += uint32(len(b))
	return b
}

// handleFIN ends both directions and removes the flow. A retransmitted FIN is
// then answered by a reset, which ends the flow for the caller as well.
func (s *Server) handleFIN(key bronzeflow.Key, f *serverFlow, p segment) {
	if p.Seq != f.nextFromCaller {
		s.reply(p, segment{ACK: true, Seq: f.nextToCaller, Ack: f.nextFromCaller}, 0)
		return
	}
	s.reply(p, segment{ACK: true, FIN: true, Seq: f.nextToCaller, Ack: f.nextFromCaller + 1}, 0)
	s.remove(key)
}

// handleReset removes the flow if the reset has the expected sequence number.
func (s *Server) handleReset(key bronzeflow.Key, f *serverFlow, p segment) {
	if f != nil && p.Seq == f.nextFromCaller {
		s.remove(key)
	}
}

func (s *Server) remove(key bronzeflow.Key) {
	delete(s.flows, key)
	s.flowCount.Add(-1)
}

// sendReset answers p by a reset, as TCP answers a segment of no connection.
func (s *Server) sendReset(p segment) {
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

// reply sends r, after the delay, as the answer to p through any balancer.
func (s *Server) reply(p, r segment, delay time.Duration) {
	r.Src, r.Dst, r.Protocol = p.Dst, p.Src, p.Protocol
	if delay > 0 {
		time.AfterFunc(delay, func() { s.fabric.spray(s.sock, s.Zone, r) })
		return
	}
	s.fabric.spray(s.sock, s.Zone, r)
}
