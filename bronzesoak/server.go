package bronzesoak

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/platform/standin"
)

const (
	serverSlots = 3
	serverQueue = 8
	// drainTime is how long a server runs on after it registered as draining.
	drainTime = 6 * time.Second
	// requestSize is the length of a request or a rejection in bytes: the request's
	// ID and one more byte, the number of the attempt. In an answer, the attempt is
	// shifted by one bit, and the lowest bit is answerDone or answerFull.
	requestSize = 9
)

// The outcome that an answer gives: the request was run, or there was no room.
const (
	answerDone byte = iota
	answerFull
)

// server is a stand-in of a BackendServer that runs serverSlots requests at once,
// queues serverQueue more and rejects others.
type server struct {
	soak *soak
	name string
	pool string
	zone string
	// incarnation is the number that forwarded packets must carry.
	incarnation uint64
	// conn is the socket at the registered address. proxy reads packets from it,
	// and answers are sent from it.
	conn        *net.UDPConn
	proxy       *datagramProxy
	disturbance disturbance

	mu    sync.Mutex
	flows map[flowKey]*serverFlow
	busy  int
	// drainedAt is when the server registered as draining, zero if it has not.
	drainedAt time.Time
	stopped   bool
}

type serverFlow struct {
	sequence     uint32 // of the server's next byte
	acknowledged uint32 // of the caller's next byte
	token        uint32
	open         bool
	answer       []byte // the last answer, for retransmitted requests
}

// receive parses a datagram from a node and handles its packet if it is for this
// server's incarnation.
func (s *server) receive(from string, b []byte) {
	n := s.soak.node(from)
	if n == nil || !s.soak.network.delivers(n.zone, s.zone) {
		return
	}
	incarnation, p, err := standin.ParseForwarded(b)
	if err != nil || !p.ChecksumValid {
		s.soak.violations.add(Altered, "server %s got %d bytes from %s: %v", s.name, len(b), from, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || incarnation != s.incarnation {
		return
	}
	s.handle(n, &p)
}

// handle handles a packet that is for this server; the caller holds the lock.
func (s *server) handle(n *node, p *standin.Packet) {
	key := flowKey{p.Source, p.Destination}
	r, ok := s.soak.tracker.route(p.Destination)
	if !ok || r.pool != s.pool {
		s.soak.violations.add(Misrouted, "server %s of pool %s got a packet for %s from %s", s.name, s.pool, p.Destination, n.name)
		return
	}
	if own := s.soak.tracker.recordPacket(key, s); own != nil && own.disturbance.settled() && n.disturbance.settled() {
		s.soak.violations.add(Strayed, "flow %v of server %s: its packets go to %s by %s", key, own.name, s.name, n.name)
	}
	f := s.flows[key]
	switch {
	case p.Accept:
		return
	case p.Open:
		s.handleOpen(n, key, f, p, &r)
	case f == nil:
		s.send(&standin.Packet{Source: p.Destination, Destination: p.Source, Reset: true, Sequence: p.Acknowledged})
	default:
		s.handleData(key, f, p, &r)
	}
}

// handleOpen accepts a flow. It answers a retransmitted opening packet as the
// first.
func (s *server) handleOpen(n *node, key flowKey, f *serverFlow, p *standin.Packet, r *route) {
	s.checkNewFlow(n, r)
	s.soak.tracker.recordUse(n.currentStart(), p.Destination)
	if p.Acknowledged == 0 && s.soak.plan.overloads() {
		s.soak.tracker.recordReached(key)
	}
	if f == nil {
		f = &serverFlow{sequence: rand.Uint32(), acknowledged: p.Sequence + 1}
		s.flows[key] = f
	}
	f.token = p.Token
	s.send(&standin.Packet{
		Source: p.Destination, Destination: p.Source, Open: true, Accept: true,
		Token: p.Token, Sequence: f.sequence, Acknowledged: f.acknowledged,
	})
}

// propagationTime is how long after a change a node may still apply the previous
// state. openRetransmitTime is how much later the last retransmission of an
// opening packet may arrive.
const (
	propagationTime    = 3 * time.Second
	openRetransmitTime = 700 * time.Millisecond
)

// checkNewFlow checks that a node may send this server a new flow by a route, if
// the node and the store have settled.
func (s *server) checkNewFlow(n *node, r *route) {
	if !n.disturbance.settled() || !s.soak.storeDisturbance.settled() {
		return
	}
	if !s.drainedAt.IsZero() && time.Since(s.drainedAt) > propagationTime+openRetransmitTime {
		s.soak.violations.add(NewOnDraining, "server %s, draining for %v, got a new flow by %s", s.name, time.Since(s.drainedAt), n.name)
	}
	if at := s.soak.zoneDrain.since(s.zone); !at.IsZero() && time.Since(at) > propagationTime+openRetransmitTime {
		s.soak.violations.add(NewInDrainedZone, "server %s got a new flow by %s, its zone %s drained for %v", s.name, n.name, s.zone, time.Since(at))
	}
	if !r.active() && time.Since(r.removedAt) > propagationTime+openRetransmitTime {
		s.soak.violations.add(OldTable, "%s forwarded to %s, withdrawn for %v", n.name, r.service, time.Since(r.removedAt))
	}
}

// handleData handles a packet of a flow that this server holds.
func (s *server) handleData(key flowKey, f *serverFlow, p *standin.Packet, r *route) {
	if !f.open {
		if p.Acknowledged != f.sequence+1 {
			return // the caller uses the acceptance of another server
		}
		f.open = true
		f.sequence++
		s.soak.tracker.recordOpen(key, s)
	}
	f.token = p.Token
	if p.Final || p.Reset {
		s.soak.tracker.recordClose(key, s)
		delete(s.flows, key)
		return
	}
	switch {
	case len(p.Payload) < requestSize:
	case p.Sequence != f.acknowledged:
		if f.answer != nil {
			s.sendBytes(p.Source, f.answer)
		}
	default:
		f.acknowledged += uint32(len(p.Payload))
		f.answer = nil
		s.handleRequest(key, f, p, r)
	}
}

// handleRequest runs a request, or rejects it if the queue is full.
func (s *server) handleRequest(key flowKey, f *serverFlow, p *standin.Packet, r *route) {
	id, slots := binary.LittleEndian.Uint64(p.Payload), s.soak.slots()
	a := attempt{id, p.Payload[8]}
	work := time.Duration((0.5 + rand.Float64()) * float64(s.soak.plan.WorkMS) * float64(time.Millisecond))
	if s.busy >= slots+serverQueue {
		s.reject(key, f, a, work)
		return
	}
	if s.soak.tracker.recordAttempt(a, ran) {
		s.soak.violations.add(RanRefused, "request %d ran at %s after attempt %d was refused or rejected", id, s.name, a.number)
	}
	if times := s.soak.tracker.recordExecution(id); times > 1 && !r.idempotent {
		s.soak.violations.add(RanTwice, "request %d ran %d times, last at %s", id, times, s.name)
	}
	s.busy++
	rounds := time.Duration(1 + (s.busy-1)/slots)
	time.AfterFunc(rounds*work, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.busy--
		if !s.stopped && s.flows[key] == f {
			s.answer(key, f, a, answerDone)
		}
	})
}

// reject answers that there is no room: at once, or after the given work in a plan
// with an Overload, as real servers do when a slot becomes free. The caller holds
// the lock.
func (s *server) reject(key flowKey, f *serverFlow, a attempt, work time.Duration) {
	if !s.soak.plan.overloads() {
		s.answer(key, f, a, answerFull)
		return
	}
	time.AfterFunc(work, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.stopped && s.flows[key] == f {
			s.answer(key, f, a, answerFull)
		}
	})
}

// answer answers the flow's last request. A draining server closes the flow with
// it.
func (s *server) answer(key flowKey, f *serverFlow, to attempt, outcome byte) {
	payload := append(binary.LittleEndian.AppendUint64(nil, to.id), to.number<<1|outcome)
	if outcome == answerDone && s.soak.plan.overloads() {
		payload = append(payload, make([]byte, overloadAnswer-len(payload))...)
	}
	a := standin.Packet{
		Source: key.service, Destination: key.caller, Token: f.token, Sequence: f.sequence, Acknowledged: f.acknowledged,
		Payload: payload, Final: !s.drainedAt.IsZero(),
	}
	f.sequence += uint32(len(a.Payload))
	f.answer = a.Bytes()
	s.sendBytes(key.caller, f.answer)
	if a.Final {
		s.soak.tracker.recordClose(key, s)
		delete(s.flows, key)
	}
}

func (s *server) send(p *standin.Packet) { s.sendBytes(p.Destination, p.Bytes()) }

// sendBytes sends an encoded packet to a caller.
func (s *server) sendBytes(to netip.AddrPort, b []byte) {
	if !s.soak.network.delivers(s.zone, s.soak.callerZone(to.Addr())) {
		return
	}
	// Errors are ignored, as datagrams may be lost.
	_, _ = s.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(to.Addr(), s.soak.ports.data))
}

// registration returns the server's registration for the store.
func (s *server) registration() standin.Server {
	return standin.Server{
		Name: s.name, Pool: s.pool, Address: s.proxy.conn.LocalAddr().(*net.UDPAddr).AddrPort(),
		AvailabilityZone: s.zone, Slots: s.soak.slots(), Draining: !s.drainedAt.IsZero(),
	}
}

// stop stops the server at once: it drops its flows and ignores packets.
func (s *server) stop() {
	s.mu.Lock()
	s.stopped = true
	clear(s.flows)
	s.mu.Unlock()
	s.disturbance.extend(time.Now())
	s.soak.tracker.recordServerGone(s)
}

// serverName returns the name and the incarnation of the i-th server of a run.
func serverName(i int) (name string, incarnation uint64) {
	incarnation = 0x7f3a0000 + uint64(i)
	return "i-" + strconv.FormatUint(incarnation, 16), incarnation
}
