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
	// openFor is how long a caller waits for an acceptance, deadline for an
	// answer, both from the first packet.
	openFor  = 1400 * time.Millisecond
	deadline = 2500 * time.Millisecond
	// firstAgain is after how long a packet is repeated first; the pause doubles.
	firstAgain = 200 * time.Millisecond
	// requestsPerFlow is how many requests a flow has at most.
	requestsPerFlow = 30
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

// host is the address of some callers, with one socket for all their flows.
type host struct {
	soak *soak
	zone string
	addr netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	ports map[uint16]*callerFlow
	next  uint16
}

// run hands packets to the flows that they are for.
func (h *host) run(ctx context.Context) {
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
			h.soak.journal.add(Altered, "caller %s got %d bytes from %s: %v", h.addr, n, from, err)
			continue
		}
		h.mu.Lock()
		f := h.ports[p.Destination.Port()]
		h.mu.Unlock()
		if f == nil || f.key.service != p.Source {
			continue
		}
		select {
		case f.inbox <- arrival{p, from.Addr().Unmap()}:
		default: // as a full socket would
		}
	}
}

// arrival is a packet for a caller, and who sent it.
type arrival struct {
	standin.Packet
	from netip.Addr
}

// callerFlow is a flow as its caller sees it.
type callerFlow struct {
	host  *host
	key   flowKey
	inbox chan arrival
	// at is the node that the flow's packets are sent to, nil to ask the router.
	at           *node
	token        uint32
	sequence     uint32
	acknowledged uint32
	open         bool
}

// newFlow returns a flow from a port that isn't in use.
func (h *host) newFlow(service netip.AddrPort, at *node) *callerFlow {
	h.mu.Lock()
	defer h.mu.Unlock()
	for h.next == 0 || h.ports[h.next] != nil {
		h.next = max(h.next+1, 1024)
	}
	f := &callerFlow{
		host: h, key: flowKey{netip.AddrPortFrom(h.addr, h.next), service}, at: at,
		inbox: make(chan arrival, 16), sequence: rand.Uint32(),
	}
	h.ports[h.next] = f
	h.next++
	return f
}

// end forgets the flow, and tells its server unless it has ended it.
func (f *callerFlow) end(tell bool) {
	if tell && f.open {
		f.send(standin.Packet{Final: true, Sequence: f.sequence, Acknowledged: f.acknowledged})
	}
	f.host.mu.Lock()
	delete(f.host.ports, f.key.caller.Port())
	f.host.mu.Unlock()
	f.host.soak.ledger.end(f.key, nil)
}

// send sends a packet by whichever node the router chooses.
func (f *callerFlow) send(p standin.Packet) {
	p.Source, p.Destination = f.key.caller, f.key.service
	if !p.Open {
		p.Token = f.token
	}
	n := f.at
	if n == nil {
		n = f.host.soak.router.pick(f.host.zone, f.key)
	}
	if n != nil {
		// Datagrams may be lost.
		_, _ = f.host.conn.WriteToUDPAddrPort(p.Bytes(), n.data)
	}
}

// await sends a packet until it is answered, and returns the answer; ok is false
// if there was none in time. The pauses between copies double.
func (f *callerFlow) await(ctx context.Context, packet func(copied uint32) standin.Packet, limit time.Duration, most uint32, wanted func(*arrival) bool) (a arrival, ok bool) {
	end := time.NewTimer(limit)
	defer end.Stop()
	pause := firstAgain
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
func (f *callerFlow) connect(ctx context.Context) (opened, answered bool, by arrival) {
	a, ok := f.await(ctx, func(copied uint32) standin.Packet {
		return standin.Packet{Open: true, Sequence: f.sequence, Acknowledged: copied}
	}, openFor, 2, func(a *arrival) bool { return a.Reset || a.Accept && a.Acknowledged == f.sequence+1 })
	if !ok || a.Reset {
		return false, ok, a
	}
	f.open, f.token = true, a.Token
	f.sequence++
	f.acknowledged = a.Sequence + 1
	f.send(standin.Packet{Sequence: f.sequence, Acknowledged: f.acknowledged})
	return true, true, a
}

// ask makes a request in the open flow. last says that the flow has ended.
func (f *callerFlow) ask(ctx context.Context, id uint64) (o outcome, last bool) {
	payload := append(binary.LittleEndian.AppendUint64(nil, id), 0)
	a, ok := f.await(ctx, func(uint32) standin.Packet {
		return standin.Packet{Sequence: f.sequence, Acknowledged: f.acknowledged, Payload: payload}
	}, deadline, 4, func(a *arrival) bool { return f.isReset(a) || f.answers(a, id) })
	switch {
	case !ok:
		return failed, true
	case a.Reset:
		f.host.soak.judgeReset(f, &a)
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
func (f *callerFlow) isReset(a *arrival) bool {
	off := int32(a.Sequence - f.acknowledged)
	return a.Reset && off >= -resetWindow && off <= resetWindow
}

// answers reports whether a packet answers the request.
func (f *callerFlow) answers(a *arrival, id uint64) bool {
	if a.Reset || a.Open || len(a.Payload) != requestSize {
		return false
	}
	if !a.ChecksumValid {
		f.host.soak.journal.add(Altered, "caller %v got an answer that its server did not write", f.key)
		return false
	}
	return binary.LittleEndian.Uint64(a.Payload) == id
}

// call makes requests until ctx is done: a flow for several, another one when it
// has ended. A request that may be repeated is, twice; one that may not is only
// if it can't have run.
func (h *host) call(ctx context.Context, pick func() (route, bool), pause time.Duration) {
	for ctx.Err() == nil {
		r, ok := pick()
		if !ok {
			bronzeretry.Pause(ctx, pause)
			continue
		}
		h.session(ctx, r, pause)
	}
}

func (h *host) session(ctx context.Context, r route, pause time.Duration) {
	var f *callerFlow
	for range requestsPerFlow {
		if ctx.Err() != nil {
			break
		}
		begun, id := time.Now(), h.soak.requestID()
		o := failed
		for tries := 0; tries < 3 && time.Since(begun) < deadline && ctx.Err() == nil; tries++ {
			var again bool
			f, o, again = h.attempt(ctx, f, r, id)
			if !again {
				break
			}
		}
		if ctx.Err() == nil {
			h.soak.counts.add(begun, time.Since(begun), o)
		}
		if now, ok := h.soak.ledger.route(r.service); !ok || !now.inForce() {
			break
		}
		bronzeretry.Pause(ctx, time.Duration(rand.Float64()*2*float64(pause)))
	}
	if f != nil {
		f.end(true)
	}
}

// attempt makes one try of a request, in flow f or a new one. It returns the flow
// if it is still open.
func (h *host) attempt(ctx context.Context, f *callerFlow, r route, id uint64) (open *callerFlow, o outcome, again bool) {
	if f == nil {
		f = h.newFlow(r.service, nil)
		if opened, _, _ := f.connect(ctx); !opened {
			f.end(false)
			return nil, failed, true
		}
	}
	o, last := f.ask(ctx, id)
	if last {
		f.end(o == failed)
		f = nil
	}
	return f, o, o == rejected || o == failed && r.idempotent
}
