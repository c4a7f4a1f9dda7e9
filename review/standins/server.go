package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/platform/standin"
)

const (
	serverSlots = 3
	serverQueue = 12
	// requestSize is the length of a request's payload: its identifier and whether it
	// must not be repeated.
	requestSize = 9
	// drainTime is how long a draining server runs on.
	drainTime = 5 * time.Second
)

// flowKey identifies a flow.
type flowKey struct{ caller, endpoint netip.AddrPort }

// server is a stand-in of a backend server.
type server struct {
	d       *deployment
	id      string
	number  uint64
	service string
	zone    string
	addr    netip.AddrPort
	born    time.Time
	conn    *net.UDPConn

	mu       sync.Mutex
	flows    map[flowKey]*serverFlow
	busy     int
	queue    []func()
	draining bool
	left     bool
	accepted int // flows opened so far

	// beatNow is sent to when the server writes its entry between two heartbeats.
	beatNow chan struct{}
}

// serverFlow is a flow that a server holds.
type serverFlow struct {
	open         bool
	token        uint32
	sequence     uint32
	acknowledged uint32
	answer       []byte
}

func newServer(d *deployment, service, zone string, ip netip.Addr) *server {
	number := rand.Uint64N(1 << 40)
	return &server{
		d: d, id: fmt.Sprintf("i-%010x", number), number: number, service: service, zone: zone,
		addr: netip.AddrPortFrom(ip, uint16(d.ports.server)), flows: make(map[flowKey]*serverFlow),
		beatNow: make(chan struct{}),
	}
}

func (s *server) start(ctx context.Context) (err error) {
	if s.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.addr)); err != nil {
		return err
	}
	s.born = time.Now()
	if err = s.register(); err != nil {
		return err
	}
	go s.beat(ctx)
	go s.read()
	return nil
}

// beat writes the server's entry every heartbeat, and when it changes. The entry in the
// store changes only if its contents do.
func (s *server) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.beatNow:
			ticker.Reset(heartbeat)
		case <-ticker.C:
		}
		if err := s.register(); err != nil {
			s.d.rec.add("server %s: %v", s.id, err)
		}
	}
}

func (s *server) register() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left {
		return nil
	}
	return s.d.store.PutServer(standin.Server{
		Name: s.id, Pool: s.service, Address: s.addr, AvailabilityZone: s.zone, Slots: serverSlots,
		Draining: s.draining, StartedAt: s.born,
	})
}

// drain announces that the server is leaving. It leaves after drainTime.
func (s *server) drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.beatNow <- struct{}{}
	s.d.rec.add("server %s (%s, %s) reports that it is draining", s.id, s.service, s.zone)
	time.AfterFunc(drainTime, func() {
		s.leave()
		s.d.store.RemoveServer(s.id)
		s.d.rec.add("server %s has left", s.id)
	})
}

// leave ends the server. It drops its flows.
func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left || s.conn == nil {
		return
	}
	s.left = true
	clear(s.flows)
	_ = s.conn.Close()
}

// holds reports whether the server lives and holds a flow as open.
func (s *server) holds(key flowKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[key]
	return !s.left && f != nil && f.open
}

// openFlows returns the number of open flows, and of flows opened so far.
func (s *server) openFlows() (open, accepted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.flows {
		if f.open {
			open++
		}
	}
	return open, s.accepted
}

// read handles datagrams until the server leaves.
func (s *server) read() {
	b := make([]byte, standin.MaxDatagram)
	for {
		n, err := s.conn.Read(b)
		if err != nil {
			return
		}
		number, p, err := standin.ParseForwarded(b[:n])
		if err != nil || !p.ChecksumValid {
			s.d.rec.add("server %s got a packet that its sender did not write", s.id)
			continue
		}
		if number != s.number && number != 0 {
			continue
		}
		s.mu.Lock()
		if !s.left {
			s.handle(&p)
		}
		s.mu.Unlock()
	}
}

// handle handles a caller's packet. The caller holds the lock.
func (s *server) handle(p *standin.Packet) {
	key := flowKey{p.Source, p.Destination}
	f := s.flows[key]
	switch {
	case p.Accept:
	case p.Open:
		if f == nil {
			f = &serverFlow{sequence: rand.Uint32(), acknowledged: p.Sequence + 1}
			s.flows[key] = f
		}
		f.token = p.Token
		s.send(&standin.Packet{
			Source: key.endpoint, Destination: key.caller, Open: true, Accept: true,
			Token: f.token, Sequence: f.sequence, Acknowledged: f.acknowledged,
		})
	case f == nil && p.Final:
		s.send(&standin.Packet{Source: key.endpoint, Destination: key.caller, Sequence: p.Acknowledged, Acknowledged: p.Sequence + 1})
	case f == nil:
		if !p.Reset && len(p.Payload) > 0 {
			s.send(&standin.Packet{Source: key.endpoint, Destination: key.caller, Reset: true, Sequence: p.Acknowledged})
		}
	default:
		s.handleData(key, f, p)
	}
}

func (s *server) handleData(key flowKey, f *serverFlow, p *standin.Packet) {
	if !f.open {
		if p.Acknowledged != f.sequence+1 {
			return
		}
		f.open = true
		f.sequence++
		s.accepted++
	}
	f.token = p.Token
	if p.Final || p.Reset {
		delete(s.flows, key)
		if p.Final {
			s.send(&standin.Packet{
				Source: key.endpoint, Destination: key.caller, Token: f.token, Sequence: f.sequence, Acknowledged: p.Sequence + 1, Final: true,
			})
		}
		return
	}
	switch {
	case len(p.Payload) != requestSize:
	case p.Sequence != f.acknowledged:
		if f.answer != nil {
			s.sendBytes(key.caller, f.answer)
		}
	default:
		f.acknowledged += uint32(len(p.Payload))
		f.answer = nil
		s.enqueue(key, f, p.Payload)
	}
}

// enqueue runs a request in a slot, or when one becomes free. A full server doesn't
// run it and says so.
func (s *server) enqueue(key flowKey, f *serverFlow, request []byte) {
	id, unsafe := binary.LittleEndian.Uint64(request), request[8] == 1
	work := func() {
		s.d.rec.add("server %s runs request %d", s.id, id)
		time.AfterFunc(workTime(unsafe), func() { s.finish(key, f, id) })
	}
	switch {
	case s.busy < serverSlots:
		s.busy++
		work()
	case len(s.queue) < serverQueue:
		s.queue = append(s.queue, work)
	default:
		s.answer(key, f, id, false)
	}
}

func (s *server) finish(key flowKey, f *serverFlow, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left {
		return
	}
	if len(s.queue) > 0 {
		s.queue[0]()
		s.queue = s.queue[1:]
	} else {
		s.busy--
	}
	if s.flows[key] == f {
		s.answer(key, f, id, true)
	}
}

// answer answers a request. A draining server closes the flow with it. The caller
// holds the lock.
func (s *server) answer(key flowKey, f *serverFlow, id uint64, ran bool) {
	payload := binary.LittleEndian.AppendUint64(nil, id)
	payload = append(payload, 0)
	if ran {
		payload[8] = 1
	}
	a := standin.Packet{
		Source: key.endpoint, Destination: key.caller, Token: f.token, Sequence: f.sequence, Acknowledged: f.acknowledged,
		Payload: payload, Final: s.draining,
	}
	f.sequence += uint32(len(payload))
	f.answer = a.Bytes()
	s.d.rec.add("server %s answers request %d, ran: %v, closes the flow: %v", s.id, id, ran, a.Final)
	s.sendBytes(key.caller, f.answer)
	if a.Final {
		delete(s.flows, key)
	}
}

func (s *server) send(p *standin.Packet) { s.sendBytes(p.Destination, p.Bytes()) }

// sendBytes sends a packet to a caller, at the port of the nodes' data address.
func (s *server) sendBytes(to netip.AddrPort, b []byte) {
	_, _ = s.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(to.Addr(), uint16(s.d.ports.data)))
}

// workTime draws how long a request takes, with the means and bounds of titik-hq.
func workTime(unsafe bool) time.Duration {
	mean, longest := 40.0, 240.0
	if unsafe {
		mean, longest = 52, 310
	}
	const spread = 0.5
	ms := mean * math.Exp(spread*rand.NormFloat64()-spread*spread/2)
	return time.Duration(min(ms, longest) * float64(time.Millisecond))
}
