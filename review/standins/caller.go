package main

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bronzeusher.example/bronzeusher/platform/standin"
)

const (
	openTimeout     = 1400 * time.Millisecond
	requestTimeout  = 1500 * time.Millisecond
	retransmitDelay = 200 * time.Millisecond
	// openCopies is how often an opening is sent again, requestCopies the same for a
	// request.
	openCopies    = 2
	requestCopies = 4
	maxTries      = 3
	// resetWindow is how far a reset's number may be from what the caller has
	// acknowledged.
	resetWindow = 76_800
	// minPause and maxPause bound the pause between two requests on a flow.
	minPause = 400 * time.Millisecond
	maxPause = 6 * time.Second
	// requestsPerFlow is the number of requests after which a caller closes a flow.
	requestsPerFlow = 2
)

// caller is a machine of callers with one socket for all their flows.
type caller struct {
	d    *deployment
	zone string
	ip   netip.Addr
	conn *net.UDPConn

	mu       sync.Mutex
	flows    map[uint16]*callerFlow
	nextPort uint16
}

// callerFlow is a flow as its caller sees it.
type callerFlow struct {
	c            *caller
	key          flowKey
	inbox        chan standin.Packet
	closed       chan struct{}
	token        uint32
	sequence     uint32
	acknowledged uint32
	open         atomic.Bool
	// requestID is the request that waits for its answer, 0 if none does.
	requestID atomic.Uint64
	unsafe    bool
	// via is the node to which the flow's packets go, nil if the router chooses.
	via      *node
	openedAt time.Time
	answers  int
	// lastAck is acknowledged, for the goroutine that reads packets.
	lastAck atomic.Uint32
}

var requestCounter atomic.Uint64

func newCaller(d *deployment, zone string, ip netip.Addr) *caller {
	return &caller{d: d, zone: zone, ip: ip, flows: make(map[uint16]*callerFlow), nextPort: 1024}
}

func (c *caller) start(ctx context.Context) (err error) {
	address := netip.AddrPortFrom(c.ip, uint16(c.d.ports.data))
	if c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address)); err != nil {
		return err
	}
	go c.read()
	for i := range flowsPerCaller {
		c.d.workers.Add(1)
		go func() {
			defer c.d.workers.Done()
			c.session(ctx, i%2 == 1)
		}()
	}
	return nil
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// read dispatches received packets to their flows. A reset ends its flow at once.
func (c *caller) read() {
	b := make([]byte, standin.MaxDatagram)
	for {
		n, err := c.conn.Read(b)
		if err != nil {
			return
		}
		p, err := standin.ParsePacket(b[:n])
		if err != nil {
			c.d.rec.add("caller %s got %d bytes that are no packet", c.ip, n)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.Destination.Port()]
		c.mu.Unlock()
		if f == nil || f.key.endpoint != p.Source {
			continue
		}
		if p.Reset {
			f.handleReset(&p)
			continue
		}
		select {
		case f.inbox <- p:
		default:
		}
	}
}

// handleReset checks a reset against the rule on flows: while the server of an open
// flow lives, the caller gets no reset that the server didn't send. Servers' packets
// have a valid checksum, the system's resets have none.
func (f *callerFlow) handleReset(p *standin.Packet) {
	off := int32(p.Sequence - f.lastAck.Load())
	if f.open.Load() && (off < -resetWindow || off > resetWindow) {
		f.c.d.rec.add("caller %s ignores a reset outside the window", f.key.caller)
		return
	}
	if f.open.Load() && !p.ChecksumValid {
		for _, s := range f.c.d.servers {
			if s.holds(f.key) {
				f.c.d.rec.violation("FLOW: caller %s gets a reset of the system's on its open flow, %.1f s old; server %s lives and holds the flow; request %d waits, must not be repeated: %v",
					f.key.caller, time.Since(f.openedAt).Seconds(), s.id, f.requestID.Load(), f.unsafe)
			}
		}
	}
	f.c.forget(f)
}

// newFlow returns a flow from a new port.
func (c *caller) newFlow(endpoint netip.AddrPort, unsafe bool) *callerFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &callerFlow{
		c: c, key: flowKey{netip.AddrPortFrom(c.ip, c.nextPort), endpoint}, unsafe: unsafe,
		inbox: make(chan standin.Packet, 16), closed: make(chan struct{}), sequence: rand.Uint32(),
	}
	c.flows[c.nextPort] = f
	c.nextPort++
	return f
}

// forget ends the flow at the caller.
func (c *caller) forget(f *callerFlow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flows[f.key.caller.Port()] == f {
		delete(c.flows, f.key.caller.Port())
		close(f.closed)
	}
}

func (f *callerFlow) isClosed() bool {
	select {
	case <-f.closed:
		return true
	default:
		return false
	}
}

// send sends a packet to the node that the router chooses.
func (f *callerFlow) send(p standin.Packet) {
	p.Source, p.Destination = f.key.caller, f.key.endpoint
	if !p.Open {
		p.Token = f.token
	}
	n := f.via
	if n == nil {
		n = f.c.d.route(f.c.zone, f.key)
	}
	_, _ = f.c.conn.WriteToUDPAddrPort(p.Bytes(), netip.AddrPortFrom(n.ip, uint16(f.c.d.ports.data)))
}

// roundTrip sends a packet, again after 200 ms and after twice as long each time, and
// returns the first one received that matches.
func (f *callerFlow) roundTrip(ctx context.Context, packet func(copies uint32) standin.Packet, timeout time.Duration, maxCopies uint32, matches func(*standin.Packet) bool) (a standin.Packet, ok bool) {
	end := time.NewTimer(timeout)
	defer end.Stop()
	pause := retransmitDelay
	retransmit := time.NewTimer(pause)
	defer retransmit.Stop()
	f.send(packet(0))
	for copies := uint32(1); ; {
		select {
		case <-ctx.Done():
			return a, false
		case <-f.closed:
			return a, false
		case <-end.C:
			return a, false
		case <-retransmit.C:
			if copies <= maxCopies {
				f.send(packet(copies))
				copies++
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

// connect opens the flow.
func (f *callerFlow) connect(ctx context.Context) bool {
	a, ok := f.roundTrip(ctx, func(copies uint32) standin.Packet {
		return standin.Packet{Open: true, Sequence: f.sequence, Acknowledged: copies}
	}, openTimeout, openCopies, func(a *standin.Packet) bool { return a.Accept && a.Acknowledged == f.sequence+1 })
	if !ok {
		return false
	}
	f.sequence++
	f.token, f.acknowledged, f.openedAt = a.Token, a.Sequence+1, time.Now()
	f.lastAck.Store(f.acknowledged)
	f.open.Store(true)
	f.send(standin.Packet{Sequence: f.sequence, Acknowledged: f.acknowledged})
	return true
}

// request makes a request on the open flow.
func (f *callerFlow) request(ctx context.Context, id uint64) (answered, ran bool) {
	payload := append(binary.LittleEndian.AppendUint64(nil, id), 0)
	if f.unsafe {
		payload[8] = 1
	}
	f.requestID.Store(id)
	defer f.requestID.Store(0)
	a, ok := f.roundTrip(ctx, func(uint32) standin.Packet {
		return standin.Packet{Sequence: f.sequence, Acknowledged: f.acknowledged, Payload: payload}
	}, requestTimeout, requestCopies, func(a *standin.Packet) bool {
		return !a.Open && len(a.Payload) == requestSize && binary.LittleEndian.Uint64(a.Payload) == id
	})
	if !ok {
		return false, false
	}
	f.answers++
	f.sequence += uint32(len(payload))
	f.token, f.acknowledged = a.Token, a.Sequence+uint32(len(a.Payload))
	f.lastAck.Store(f.acknowledged)
	if a.Final {
		f.send(standin.Packet{Sequence: f.sequence, Acknowledged: f.acknowledged, Final: true})
		f.c.forget(f)
		return true, a.Payload[8] == 1
	}
	f.send(standin.Packet{Sequence: f.sequence, Acknowledged: f.acknowledged})
	return true, a.Payload[8] == 1
}

// session makes requests on long flows, with pauses between them, until ctx is done.
func (c *caller) session(ctx context.Context, unsafe bool) {
	endpoint := safeEndpoint
	if unsafe {
		endpoint = unsafeEndpoint
	}
	var f *callerFlow
	for sleep(ctx, minPause+rand.N(maxPause-minPause)) == nil {
		id := requestCounter.Add(1)
		var served bool
		f, served = c.serve(ctx, f, endpoint, unsafe, id)
		if ctx.Err() != nil {
			return
		}
		c.d.rec.outcome(served)
		if !served {
			c.d.rec.add("request %d is not served, must not be repeated: %v", id, unsafe)
		}
		if f != nil && f.answers == requestsPerFlow && !f.isClosed() {
			f.send(standin.Packet{Sequence: f.sequence, Acknowledged: f.acknowledged, Final: true})
			c.forget(f)
		}
	}
}

// serve makes one request, with further tries where they are allowed, and returns the
// flow if it is still open. A request that must not be repeated is tried again only if
// its flow never opened or the server didn't run it.
func (c *caller) serve(ctx context.Context, f *callerFlow, endpoint netip.AddrPort, unsafe bool, id uint64) (open *callerFlow, served bool) {
	for range maxTries {
		if f != nil && f.isClosed() {
			f = nil
		}
		if f == nil {
			f = c.newFlow(endpoint, unsafe)
			if !f.connect(ctx) {
				c.d.rec.add("caller %s: its flow for request %d did not open", f.key.caller, id)
				c.forget(f)
				f = nil
				continue
			}
		}
		c.d.rec.add("caller %s sends request %d to %s, must not be repeated: %v", f.key.caller, id, endpoint, unsafe)
		answered, ran := f.request(ctx, id)
		if ran {
			c.d.rec.add("caller %s gets the answer to request %d", f.key.caller, id)
			return f, true
		}
		if !answered && ctx.Err() == nil {
			c.d.rec.add("caller %s gets no answer to request %d, flow closed: %v", f.key.caller, id, f.isClosed())
			c.forget(f)
			f = nil
			if unsafe {
				return nil, false
			}
		}
	}
	return f, false
}
