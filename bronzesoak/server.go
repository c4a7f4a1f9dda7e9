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
	// drainTime is how long a server goes on after it said that it drains.
	drainTime = 6 * time.Second
	// requestSize is the length of a request: its number, and whether it may be
	// repeated.
	requestSize = 9
)

// What an answer says of its request.
const (
	answerDone byte = iota
	answerFull
)

// server is a stand-in of a BackendServer.
type server struct {
	soak *soak
	name string
	pool string
	zone string
	// incarnation is what packets to it carry, conn where it answers from, proxy the
	// address that is registered.
	incarnation uint64
	conn        *net.UDPConn
	proxy       *datagramProxy
	disturbance disturbance

	mu    sync.Mutex
	flows map[flowKey]*serverFlow
	busy  int
	// drainedAt is when the store took in that it drains.
	drainedAt time.Time
	stopped   bool
}

type serverFlow struct {
	sequence     uint32 // of the server's next byte
	acknowledged uint32 // of the caller's next byte
	token        uint32
	open         bool
	answer       []byte // the last one, for repeated requests
}

// receive takes a datagram that a node sent.
func (s *server) receive(from string, b []byte) {
	n := s.soak.node(from)
	if n == nil || !s.soak.network.delivers(n.zone, s.zone) {
		return
	}
	number, p, err := standin.ParseForwarded(b)
	if err != nil || !p.ChecksumValid {
		s.soak.violations.add(Altered, "server %s got %d bytes from %s: %v", s.name, len(b), from, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || number != s.incarnation {
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

// handleOpen answers an opening.
func (s *server) handleOpen(n *node, key flowKey, f *serverFlow, p *standin.Packet, r *route) {
	s.checkNewFlow(n, r)
	s.soak.tracker.recordUse(n.currentStart(), p.Destination)
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

// propagationTime is how long after a change a node may go by what was before, and
// openRetransmitTime by how much later the last copy of an opening may come.
const (
	propagationTime    = 3 * time.Second
	openRetransmitTime = 700 * time.Millisecond
)

// checkNewFlow checks that this server may have a new flow.
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
			return // the caller goes on with another server's acceptance
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

// handleRequest runs a handleRequest, or says that there is no room.
func (s *server) handleRequest(key flowKey, f *serverFlow, p *standin.Packet, r *route) {
	id := binary.LittleEndian.Uint64(p.Payload)
	if s.busy >= serverSlots+serverQueue {
		s.answer(key, f, id, answerFull)
		return
	}
	if times := s.soak.tracker.recordExecution(id); times > 1 && !r.idempotent {
		s.soak.violations.add(RanTwice, "request %d ran %d times, last at %s", id, times, s.name)
	}
	s.busy++
	rounds := time.Duration(1 + (s.busy-1)/serverSlots)
	work := time.Duration((0.5 + rand.Float64()) * float64(s.soak.plan.WorkMS) * float64(time.Millisecond))
	time.AfterFunc(rounds*work, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.busy--
		if !s.stopped && s.flows[key] == f {
			s.answer(key, f, id, answerDone)
		}
	})
}

// answer answers the flow's request; a server that drains ends the flow with it.
func (s *server) answer(key flowKey, f *serverFlow, id uint64, outcome byte) {
	payload := binary.LittleEndian.AppendUint64(nil, id)
	a := standin.Packet{
		Source: key.service, Destination: key.caller, Token: f.token, Sequence: f.sequence, Acknowledged: f.acknowledged,
		Payload: append(payload, outcome), Final: !s.drainedAt.IsZero(),
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

// sendBytes sends a packet to a caller.
func (s *server) sendBytes(to netip.AddrPort, b []byte) {
	if !s.soak.network.delivers(s.zone, s.soak.callerZone(to.Addr())) {
		return
	}
	// Datagrams may be lost.
	_, _ = s.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(to.Addr(), s.soak.ports.data))
}

// registration is what the store has of the server.
func (s *server) registration() standin.Server {
	return standin.Server{
		Name: s.name, Pool: s.pool, Address: s.proxy.conn.LocalAddr().(*net.UDPAddr).AddrPort(),
		AvailabilityZone: s.zone, Slots: serverSlots, Draining: !s.drainedAt.IsZero(),
	}
}

// stop ends the server without a word.
func (s *server) stop() {
	s.mu.Lock()
	s.stopped = true
	clear(s.flows)
	s.mu.Unlock()
	s.disturbance.extend(time.Now())
	s.soak.tracker.recordServerGone(s)
}

// serverName returns the name of the i-th server of a run.
func serverName(i int) (name string, number uint64) {
	number = 0x7f3a0000 + uint64(i)
	return "i-" + strconv.FormatUint(number, 16), number
}
