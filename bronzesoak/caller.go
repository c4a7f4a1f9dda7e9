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
	// connectTimeout is how long a caller waits for an acceptance, deadline for an
	// answer, both from the first packet.
	connectTimeout = 1400 * time.Millisecond
	requestTimeout = 2500 * time.Millisecond
	// retransmitDelay is after how long a packet is repeated first; the pause doubles.
	retransmitDelay = 200 * time.Millisecond
	// maxRequestsPerFlow is how many requests a flow has at most.
	maxRequestsPerFlow = 30
	// resetWindow is how far a reset may be from what the caller acknowledged.
	resetWindow = 76_800
)

// outcome is what became of a request.
type outcome int

const (
	served outcome = iota
	failed
	rejected
)

// callerHost is the address of some callers, with one socket for all their flows.
type callerHost struct {
	soak *soak
	zone string
	addr netip.Addr
	conn *net.UDPConn

	mu       sync.Mutex
	flows    map[uint16]*callerFlow
	nextPort uint16
}

// run hands packets to the flows that they are for.
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
		h.mu.Lock()
		f := h.flows[p.Destination.Port()]
		h.mu.Unlock()
		if f == nil || f.key.service != p.Source {
			continue
		}
		select {
		case f.inbox <- receivedPacket{p, from.Addr().Unmap()}:
		default: // as a full socket would
		}
	}
}

// receivedPacket is a packet for a caller, and who sent it.
type receivedPacket struct {
	standin.Packet
	from netip.Addr
}

// callerFlow is a flow as its caller sees it.
type callerFlow struct {
	host  *callerHost
	key   flowKey
	inbox chan receivedPacket
	// via is the node that the flow's packets are sent to, nil to ask the router.
	via          *node
	token        uint32
	sequence     uint32
	acknowledged uint32
	open         bool
}

// newFlow returns a flow from a port that isn't in use.
func (h *callerHost) newFlow(service netip.AddrPort, at *node) *callerFlow {
	h.mu.Lock()
	defer h.mu.Unlock()
	for h.nextPort == 0 || h.flows[h.nextPort] != nil {
		h.nextPort = max(h.nextPort+1, 1024)
	}
	f := &callerFlow{
		host: h, key: flowKey{netip.AddrPortFrom(h.addr, h.nextPort), service}, via: at,
		inbox: make(chan receivedPacket, 16), sequence: rand.Uint32(),
	}
	h.flows[h.nextPort] = f
	h.nextPort++
	return f
}

// close forgets the flow, and tells its server unless it has ended it.
func (f *callerFlow) close(tell bool) {
	if tell && f.open {
		f.send(standin.Packet{Final: true, Sequence: f.sequence, Acknowledged: f.acknowledged})
	}
	f.host.mu.Lock()
	delete(f.host.flows, f.key.caller.Port())
	f.host.mu.Unlock()
	f.host.soak.tracker.recordClose(f.key, nil)
}

// send sends a packet by whichever node the router chooses.
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
		// Datagrams may be lost.
		_, _ = f.host.conn.WriteToUDPAddrPort(p.Bytes(), n.data)
	}
}

// roundTrip sends a packet until it is answered, and returns the answer; ok is false
// if there was none in time. The pauses between copies double.
func (f *callerFlow) roundTrip(ctx context.Context, packet func(copied uint32) standin.Packet, limit time.Duration, most uint32, wanted func(*receivedPacket) bool) (a receivedPacket, ok bool) {
	end := time.NewTimer(limit)
	defer end.Stop()
	pause := retransmitDelay
	again := time.NewTimer(pause)
	defer again.Stop()
	f.send(packet(0))
	for copied := uint32(1); ; {
		select {
		case <-ctx.Done():
			return a, false
		case <-end.C:
			return a, false
		case <-again.C:
			if copied <= most {
				f.send(packet(copied))
				copied++
			}
			pause *= 2
			again.Reset(pause)
		case a = <-f.inbox:
			if wanted(&a) {
				return a, true
			}
		}
	}
}

// connect opens the flow. answered says that somebody said something.
func (f *callerFlow) connect(ctx context.Context) (opened, answered bool, by receivedPacket) {
	a, ok := f.roundTrip(ctx, func(copied uint32) standin.Packet {
		return standin.Packet{Open: true, Sequence: f.sequence, Acknowledged: copied}
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

// request makes a request in the open flow. last says that the flow has ended.
func (f *callerFlow) request(ctx context.Context, id uint64) (o outcome, last bool) {
	payload := append(binary.LittleEndian.AppendUint64(nil, id), 0)
	a, ok := f.roundTrip(ctx, func(uint32) standin.Packet {
		return standin.Packet{Sequence: f.sequence, Acknowledged: f.acknowledged, Payload: payload}
	}, requestTimeout, 4, func(a *receivedPacket) bool { return f.isReset(a) || f.isAnswer(a, id) })
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
	if a.Payload[8] == answerFull {
		return rejected, a.Final
	}
	return served, a.Final
}

// isReset reports whether the caller takes a packet for the flow's end.
func (f *callerFlow) isReset(a *receivedPacket) bool {
	off := int32(a.Sequence - f.acknowledged)
	return a.Reset && off >= -resetWindow && off <= resetWindow
}

// isAnswer reports whether a packet isAnswer the request.
func (f *callerFlow) isAnswer(a *receivedPacket, id uint64) bool {
	if a.Reset || a.Open || len(a.Payload) != requestSize {
		return false
	}
	if !a.ChecksumValid {
		f.host.soak.violations.add(Altered, "caller %v got an answer that its server did not write", f.key)
		return false
	}
	return binary.LittleEndian.Uint64(a.Payload) == id
}

// makeRequests makes requests until ctx is done: a flow for several, another one when it
// has ended. A request that may be repeated is, twice; one that may not is only
// if it can't have run.
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

func (h *callerHost) session(ctx context.Context, r route, pause time.Duration) {
	var f *callerFlow
	for range maxRequestsPerFlow {
		if ctx.Err() != nil {
			break
		}
		begun, id := time.Now(), h.soak.requestID()
		o := failed
		for tries := 0; tries < 3 && time.Since(begun) < requestTimeout && ctx.Err() == nil; tries++ {
			var again bool
			f, o, again = h.attempt(ctx, f, r, id)
			if !again {
				break
			}
		}
		if ctx.Err() == nil {
			h.soak.counts.add(begun, time.Since(begun), o)
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

// attempt makes one try of a request, in flow f or a new one. It returns the flow
// if it is still open.
func (h *callerHost) attempt(ctx context.Context, f *callerFlow, r route, id uint64) (open *callerFlow, o outcome, again bool) {
	if f == nil {
		f = h.newFlow(r.service, nil)
		if opened, _, _ := f.connect(ctx); !opened {
			f.close(false)
			return nil, failed, true
		}
	}
	o, last := f.request(ctx, id)
	if last {
		f.close(o == failed)
		f = nil
	}
	return f, o, o == rejected || o == failed && r.idempotent
}
