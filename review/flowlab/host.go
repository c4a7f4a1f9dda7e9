package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/platform/standin"
)

// host is a stand-in of a server.
type host struct {
	lab         *lab
	name        string
	pool        string
	zone        string
	incarnation uint64
	conn        *net.UDPConn
	slots       chan struct{}
	work        time.Duration
	answerBytes int
	// closesAfter is the number of answers after which the host closes a flow, 0 for never.
	closesAfter int

	mu        sync.Mutex
	draining  bool
	drainedAt time.Time // when the store has taken that, zero if it hasn't
	flows     map[flowKey]*hostFlow
	ran       map[string]int
}

// hostFlow is a flow at a host, open or not.
type hostFlow struct {
	sequence     uint32 // of the host's next byte
	acknowledged uint32 // of the client's next byte
	echo         uint32
	open         bool
	openingAt    time.Time
	answers      int
	closed       bool            // by the host
	answer       *standin.Packet // the last one, until the client has it
	retransmit   *time.Timer
}

const (
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = 1600 * time.Millisecond
	maxRetransmits  = 8
)

// addHost starts a host and registers it.
func (l *lab) addHost(pool, zone string, work time.Duration) (err error) {
	i := len(l.hosts) + 1
	h := &host{
		lab: l, pool: pool, zone: zone, incarnation: 0x7f3a0000 + uint64(i), slots: make(chan struct{}, 2), work: work,
		answerBytes: 600, flows: map[flowKey]*hostFlow{}, ran: map[string]int{},
	}
	h.name = fmt.Sprintf("i-%x", h.incarnation)
	if h.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(l.address(3, i), 0))); err != nil {
		return err
	}
	_ = h.conn.SetReadBuffer(4 << 20)
	l.hosts = append(l.hosts, h)
	go h.serve()
	return h.register()
}

// register writes the host's entry.
func (h *host) register() error {
	h.mu.Lock()
	draining := h.draining
	h.mu.Unlock()
	return h.lab.store.PutServer(standin.Server{
		Name: h.name, Pool: h.pool, Address: h.conn.LocalAddr().(*net.UDPAddr).AddrPort(), AvailabilityZone: h.zone,
		Slots: cap(h.slots), Draining: draining,
	})
}

func (h *host) serve() {
	b := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		incarnation, p, err := standin.ParseForwarded(b[:n])
		if err != nil || incarnation != h.incarnation || h.lab.lost() {
			continue
		}
		h.handle(&p)
	}
}

// send sends a packet to its client.
func (h *host) send(p *standin.Packet) {
	if h.lab.lost() {
		if p.Accept {
			h.lab.note("network: an acceptance by %s to %s is lost", h.name, p.Destination)
		}
		return
	}
	_, _ = h.conn.WriteToUDPAddrPort(p.Bytes(), netip.AddrPortFrom(p.Destination.Addr(), h.lab.port))
}

func (h *host) handle(p *standin.Packet) {
	key := flowKey{p.Source, p.Destination}
	if !p.Open {
		if own, stray := h.lab.flows.reached(key, h); stray {
			h.lab.breaks("FLOW (b): flow %s is open at %s, and its packets reach %s for %v", key.client, own.name, h.name, flowTimeout)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[key]
	switch {
	case p.Accept:
	case p.Open:
		h.accept(key, f, p)
	case f != nil && (f.open || p.Acknowledged == f.sequence+1):
		h.receive(key, f, p)
	default:
		// It doesn't hold this flow, as the client has acknowledged no number of its own.
		h.send(&standin.Packet{Source: p.Destination, Destination: p.Source, Reset: true, Sequence: p.Acknowledged})
	}
}

// accept answers an opening, and repeats the answer until the client continues.
func (h *host) accept(key flowKey, f *hostFlow, p *standin.Packet) {
	if f != nil && f.open {
		return
	}
	if f == nil {
		f = &hostFlow{sequence: rand.Uint32(), acknowledged: p.Sequence + 1, openingAt: time.Now()}
		h.flows[key] = f
		h.repeatAcceptance(key, f, 1, firstRetransmit)
		h.lab.count("openings accepted")
	}
	f.echo = p.Token
	h.send(f.acceptance(key))
}

func (f *hostFlow) acceptance(key flowKey) *standin.Packet {
	return &standin.Packet{
		Source: key.service, Destination: key.client, Open: true, Accept: true,
		Token: f.echo, Sequence: f.sequence, Acknowledged: f.acknowledged,
	}
}

func (h *host) repeatAcceptance(key flowKey, f *hostFlow, try int, after time.Duration) {
	f.retransmit = time.AfterFunc(after, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if f.open || h.flows[key] != f {
			return
		}
		if try > maxRetransmits {
			delete(h.flows, key)
			return
		}
		h.send(f.acceptance(key))
		h.repeatAcceptance(key, f, try+1, min(2*after, maxRetransmit))
	})
}

// receive handles a packet of a flow that the host holds, or that opens with it.
func (h *host) receive(key flowKey, f *hostFlow, p *standin.Packet) {
	f.echo = p.Token
	if !f.open {
		f.open = true
		f.sequence++
		f.retransmit.Stop()
		h.lab.flows.opened(key, h)
		h.lab.count("flows opened")
		h.checkDrain(key, f)
	}
	if p.Reset || p.Final {
		h.lab.flows.closed(key)
		delete(h.flows, key)
		if p.Final {
			h.send(&standin.Packet{Source: key.service, Destination: key.client, Final: !f.closed, Token: f.echo, Sequence: f.sequence, Acknowledged: p.Sequence + 1})
		}
		return
	}
	if f.answer != nil && p.Acknowledged == f.sequence {
		f.answer = nil
		f.retransmit.Stop()
	}
	switch {
	case len(p.Payload) == 0:
	case p.Sequence == f.acknowledged:
		f.acknowledged += uint32(len(p.Payload))
		go h.runRequest(key, f, string(p.Payload[:requestIDSize]))
	case f.answer != nil:
		h.send(f.answer)
	}
}

// runRequest does the work of a request in one of the slots and answers.
func (h *host) runRequest(key flowKey, f *hostFlow, id string) {
	h.slots <- struct{}{}
	h.lab.note("host %s: runs %s", h.name, id)
	time.Sleep(time.Duration((0.5 + h.lab.float()) * float64(h.work)))
	<-h.slots
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ran[id]++
	if h.flows[key] != f {
		return
	}
	payload := make([]byte, h.answerBytes)
	copy(payload, id)
	f.answers++
	f.answer = &standin.Packet{
		Source: key.service, Destination: key.client, Token: f.echo, Sequence: f.sequence, Acknowledged: f.acknowledged, Payload: payload,
		Final: f.answers == h.closesAfter || h.draining,
	}
	f.sequence += uint32(len(payload))
	f.closed = f.answer.Final
	h.send(f.answer)
	h.repeatAnswer(key, f, f.answer, 1, firstRetransmit)
}

func (h *host) repeatAnswer(key flowKey, f *hostFlow, answer *standin.Packet, try int, after time.Duration) {
	f.retransmit = time.AfterFunc(after, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if f.answer != answer || h.flows[key] != f || try > maxRetransmits {
			return
		}
		h.send(answer)
		h.repeatAnswer(key, f, answer, try+1, min(2*after, maxRetransmit))
	})
}
