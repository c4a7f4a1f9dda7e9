package bronzesoak

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzeretry"
	"bronzeusher.example/bronzeusher/platform/standin"
)

const (
	// connectTimeout is how long a caller waits for its flow to be accepted,
	// requestTimeout for an answer, both from the first packet.
	connectTimeout = 1400 * time.Millisecond
	requestTimeout = 2500 * time.Millisecond
	// retransmitDelay is the delay before the first retransmission; it doubles
	// with each.
	retransmitDelay = 200 * time.Millisecond
	// maxRequestsPerFlow is the number of requests of a session, and therefore the
	// most that a flow has.
	maxRequestsPerFlow = 30
	// resetWindow is how far the sequence number of a reset may be from what the
	// caller has acknowledged, in bytes.
	resetWindow = 76_800
)

// outcome is the result of a request.
type outcome int

const (
	served outcome = iota
	failed
	rejected
)

// callerHost is an address that several callers share, with one socket for all
// their flows.
type callerHost struct {
	soak *soak
	zone string
	addr netip.Addr
	conn *net.UDPConn

	mu       sync.Mutex
	flows    map[uint16]*callerFlow
	nextPort uint16
}

// run dispatches received packets to their flows.
func (h *callerHost) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = h.conn.Close() })
	defer stop()
	b := make([]byte, standin.MaxDatagram)
	for {
		n, from, err := h.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, err := standin.ParsePacket(b[:n])
		if err != nil {
			h.soak.violations.add(Altered, "caller %s got %d bytes from %s: %v", h.addr, n, from, err)
			continue
		}
		h.checkAnswer(&p)
		h.mu.Lock()
		f := h.flows[p.Destination.Port()]
		h.mu.Unlock()
		if f == nil || f.key.service != p.Source {
			continue
		}
		select {
		case f.inbox <- receivedPacket{p, from.Addr().Unmap()}:
		default: // dropped, as by a full socket buffer
		}
	}
}

// receivedPacket is a packet for a caller with its sender's address.
type receivedPacket struct {
	standin.Packet
	from netip.Addr
}

// callerFlow is a flow as its caller sees it.
type callerFlow struct {
	host  *callerHost
	key   flowKey
	inbox chan receivedPacket
	// via is the node that the flow's packets are sent to, or nil if the router
	// chooses one for each packet.
	via          *node
	token        uint32
	sequence     uint32
	acknowledged uint32
	open         bool
}

// newFlow returns a flow from an unused port.
func (h *callerHost) newFlow(service netip.AddrPort, via *node) *callerFlow {
	h.mu.Lock()
	defer h.mu.Unlock()
	for h.nextPort == 0 || h.flows[h.nextPort] != nil {
		h.nextPort = max(h.nextPort+1, 1024)
	}
	f := &callerFlow{
		host: h, key: flowKey{netip.AddrPortFrom(h.addr, h.nextPort), service}, via: via,
		inbox: make(chan receivedPacket, 16), sequence: rand.Uint32(),
	}
	h.flows[h.nextPort] = f
	h.nextPort++
	return f
}

// close forgets the flow. If notify is true it tells the server, provided that
// the flow was open.
func (f *callerFlow) close(notify bool) {
	if notify && f.open {
		f.send(standin.Packet{Final: true, Sequence: f.sequence, Acknowledged: f.acknowledged})
	}
	f.host.mu.Lock()
	delete(f.host.flows, f.key.caller.Port())
	f.host.mu.Unlock()
	f.host.soak.tracker.recordClose(f.key, nil)
}

// send sends a packet to the flow's node, or to the one the router chooses.
func (f *callerFlow) send(p standin.Packet) {
	p.Source, p.Destination = f.key.caller, f.key.service
	if !p.Open {
		p.Token = f.token
	}
	n := f.via
	if n == nil {
		n = f.host.soak.router.pick(f.host.zone, f.key)
	}
	if n != nil {
		// Errors are ignored, as datagrams may be lost.
		_, _ = f.host.conn.WriteToUDPAddrPort(p.Bytes(), n.data)
	}
}

// roundTrip sends a packet and returns the first received packet that matches;
// ok is false if there is none before the timeout. The packet is retransmitted
// up to maxRetransmits times; the pauses between retransmissions double.
func (f *callerFlow) roundTrip(ctx context.Context, packet func(retransmits uint32) standin.Packet, timeout time.Duration, maxRetransmits uint32, matches func(*receivedPacket) bool) (a receivedPacket, ok bool) {
	end := time.NewTimer(timeout)
	defer end.Stop()
	pause := retransmitDelay
	retransmit := time.NewTimer(pause)
	defer retransmit.Stop()
	f.send(packet(0))
	for retransmits := uint32(1); ; {
		select {
		case <-ctx.Done():
			return a, false
		case <-end.C:
			return a, false
		case <-retransmit.C:
			if retransmits <= maxRetransmits {
				f.send(packet(retransmits))
				retransmits++
			}
			pause *= 2
			retransmit.Reset(pause)
		case a = <-f.inbox:
			if matches(&a) {
				return a, true
			}
		}
	}
}

// connect opens the flow. answered is true if an acceptance or a reset was
// received; reply is the packet.
func (f *callerFlow) connect(ctx context.Context) (opened, answered bool, reply receivedPacket) {
	a, ok := f.roundTrip(ctx, func(retransmits uint32) standin.Packet {
		return standin.Packet{Open: true, Sequence: f.sequence, Acknowledged: retransmits}
	}, connectTimeout, 2, func(a *receivedPacket) bool { return a.Reset || a.Accept && a.Acknowledged == f.sequence+1 })
	if !ok || a.Reset {
		return false, ok, a
	}
	f.open, f.token = true, a.Token
	f.sequence++
	f.acknowledged = a.Sequence + 1
	f.send(standin.Packet{Sequence: f.sequence, Acknowledged: f.acknowledged})
	return true, true, a
}

// request makes a request in the open flow. ended is true if the caller must not
// use the flow any more.
func (f *callerFlow) request(ctx context.Context, r attempt) (o outcome, ended bool) {
	payload := append(binary.LittleEndian.AppendUint64(nil, r.id), r.number)
	a, ok := f.roundTrip(ctx, func(uint32) standin.Packet {
		return standin.Packet{Sequence: f.sequence, Acknowledged: f.acknowledged, Payload: payload}
	}, requestTimeout, 4, func(a *receivedPacket) bool { return f.isReset(a) || f.isAnswer(a, r) })
	switch {
	case !ok:
		return failed, true
	case a.Reset:
		f.host.soak.checkReset(f, &a)
		return failed, true
	}
	f.sequence += uint32(len(payload))
	f.acknowledged = a.Sequence + uint32(len(a.Payload))
	f.token = a.Token
	f.send(standin.Packet{Sequence: f.sequence, Acknowledged: f.acknowledged})
	if a.Payload[8]&1 == answerFull {
		return rejected, a.Final
	}
	return served, a.Final
}

// isReset reports whether the caller accepts a packet as a reset of the flow:
// its sequence number must be within resetWindow.
func (f *callerFlow) isReset(a *receivedPacket) bool {
	off := int32(a.Sequence - f.acknowledged)
	return a.Reset && off >= -resetWindow && off <= resetWindow
}

// isAnswer reports whether a packet answers an attempt of a request. An answer
// with an invalid checksum violates Altered.
func (f *callerFlow) isAnswer(a *receivedPacket, to attempt) bool {
	if a.Reset || a.Open || len(a.Payload) < requestSize {
		return false
	}
	if !a.ChecksumValid {
		f.host.soak.violations.add(Altered, "caller %v got an answer that its server did not write", f.key)
		return false
	}
	answered, _ := answerOf(&a.Packet)
	return answered == to
}

// makeRequests runs sessions until ctx is done, each for the route that pick
// returns.
func (h *callerHost) makeRequests(ctx context.Context, pick func() (route, bool), pause time.Duration) {
	for ctx.Err() == nil {
		r, ok := pick()
		if !ok {
			bronzeretry.Pause(ctx, pause)
			continue
		}
		h.session(ctx, r, pause)
	}
}

// session makes requests in one flow, or in a new one whenever it has ended. A
// request has up to three attempts, which begin within requestTimeout. One that
// is not idempotent is retried only if it cannot have run: its flow did not
// open, or the server rejected it.
func (h *callerHost) session(ctx context.Context, r route, pause time.Duration) {
	var f *callerFlow
	for range h.soak.requestsPerFlow(&r) {
		if ctx.Err() != nil {
			break
		}
		start, id := time.Now(), h.soak.requestID()
		o := failed
		for attempts := byte(0); attempts < 3 && time.Since(start) < requestTimeout && ctx.Err() == nil; attempts++ {
			var retry bool
			f, o, retry = h.attempt(ctx, f, r, attempt{id, attempts})
			if !retry {
				break
			}
		}
		if ctx.Err() == nil {
			h.soak.counts.add(start, time.Since(start), o)
		}
		if now, ok := h.soak.tracker.route(r.service); !ok || !now.active() {
			break
		}
		bronzeretry.Pause(ctx, time.Duration(rand.Float64()*2*float64(pause)))
	}
	if f != nil {
		f.close(true)
	}
}

// attempt makes one attempt of a request, in flow f or in a new one if f is nil.
// It returns the flow if it is still open, and whether the request may be
// retried.
func (h *callerHost) attempt(ctx context.Context, f *callerFlow, r route, a attempt) (open *callerFlow, o outcome, retry bool) {
	if f == nil {
		f = h.newFlow(r.service, nil)
		if opened, answered, reply := f.connect(ctx); !opened {
			if answered && !reply.ChecksumValid && h.soak.tracker.recordAttempt(a, denied) {
				h.soak.violations.add(RanRefused, "request %d had run when attempt %d was refused", a.id, a.number)
			}
			f.close(false)
			return nil, failed, true
		}
	}
	o, ended := f.request(ctx, a)
	if ended || o == rejected && h.soak.plan.overloads() {
		f.close(!ended || o == failed)
		f = nil
	}
	return f, o, o == rejected || o == failed && r.idempotent
}
