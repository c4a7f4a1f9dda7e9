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

// requestIDSize is the length of a request's number, with which its payload and the answer begin.
const requestIDSize = 12

// client is a stand-in of a client's address, with one socket for all its flows.
type client struct {
	lab  *lab
	zone string
	addr netip.Addr
	conn *net.UDPConn

	// ports is the number of its source ports, 0 for as many as it needs.
	ports uint16
	// strict is set if it takes nothing, and no echo either, from an acceptance after the one
	// that it goes on with.
	strict bool

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*clientFlow
}

// firstPort is the first source port.
const firstPort = 40000

// clientFlow is a flow as its client sees it.
type clientFlow struct {
	client       *client
	key          flowKey
	inbox        chan arrival
	sequence     uint32
	acknowledged uint32

	mu     sync.Mutex
	echo   uint32 // the last one received on the flow
	isOpen bool
	via    *node // the node that took the last packet
}

// arrival is a packet with its sender.
type arrival struct {
	standin.Packet
	from netip.Addr
}

// addClient adds an address of clients.
func (l *lab) addClient(zone string) (err error) {
	c := &client{lab: l, zone: zone, addr: l.address(2, len(l.clients)+1), port: firstPort, flows: map[uint16]*clientFlow{}}
	if c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.addr, l.port))); err != nil {
		return err
	}
	_ = c.conn.SetReadBuffer(4 << 20)
	l.clients = append(l.clients, c)
	go c.serve()
	return nil
}

func (c *client) serve() {
	b := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, err := standin.ParsePacket(b[:n])
		if err != nil {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.Destination.Port()]
		c.mu.Unlock()
		if f == nil || f.key.service != p.Source {
			continue
		}
		if p.Reset {
			f.checkReset(from.Addr().Unmap())
		} else {
			f.mu.Lock()
			ignored := c.strict && f.isOpen && p.Accept
			if !ignored {
				f.echo = p.Token
			}
			f.mu.Unlock()
			if ignored {
				continue
			}
		}
		select {
		case f.inbox <- arrival{p, from.Addr().Unmap()}:
		default:
		}
	}
}

// sender names the host or node at an address.
func (l *lab) sender(a netip.Addr) string {
	for _, h := range l.hosts {
		if h.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr().Unmap() == a {
			return "host " + h.name
		}
	}
	for _, n := range l.nodes {
		if n.addr == a {
			return "node " + n.name
		}
	}
	return a.String()
}

// checkReset checks the rule FLOW (a): while a flow is open, only its host may reset it. It
// doesn't count where the node that took the flow's packet was disturbed of late.
func (f *clientFlow) checkReset(from netip.Addr) {
	l := f.client.lab
	by := l.sender(from)
	own := l.flows.hostOf(f.key)
	f.mu.Lock()
	via := f.via
	f.mu.Unlock()
	l.note("client: reset of %s by %s, last packet by node %s", f.key.client, by, via.name)
	l.count("resets")
	switch {
	case own == nil || by == "host "+own.name:
	case !via.inTouch():
		l.count("resets by way of a node out of touch")
	default:
		l.breaks("FLOW (a): flow %s is open at host %s, and the client gets a reset by %s, by way of node %s", f.key.client, own.name, by, via.name)
	}
}

// newFlow returns a flow from a new port, or from a port whose flow has ended if the client has
// only some: the one after the last. It returns nil if all are in use.
func (c *client) newFlow(service netip.AddrPort) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	for tries := uint16(0); c.ports > 0; tries++ {
		c.port = firstPort + (c.port-firstPort)%c.ports
		if c.flows[c.port] == nil {
			break
		}
		if tries == c.ports {
			return nil
		}
		c.port++
	}
	f := &clientFlow{client: c, key: flowKey{netip.AddrPortFrom(c.addr, c.port), service}, inbox: make(chan arrival, 64), sequence: rand.Uint32()}
	c.flows[c.port] = f
	return f
}

func (f *clientFlow) forget() {
	f.client.mu.Lock()
	delete(f.client.flows, f.key.client.Port())
	f.client.mu.Unlock()
}

func (f *clientFlow) send(p standin.Packet) {
	p.Source, p.Destination = f.key.client, f.key.service
	if !p.Open {
		f.mu.Lock()
		p.Token = f.echo
		f.mu.Unlock()
	}
	n := f.client.lab.route(f.client.zone, f.key)
	if n == nil || f.client.lab.lost() {
		return
	}
	f.mu.Lock()
	f.via = n
	f.mu.Unlock()
	_, _ = f.client.conn.WriteToUDPAddrPort(p.Bytes(), netip.AddrPortFrom(n.addr, f.client.lab.port))
}

// outcome is how a request or an opening ended.
type outcome string

const (
	served outcome = "answered"
	reset  outcome = "reset"
	late   outcome = "not answered"
)

// open opens the flow.
func (f *clientFlow) open() outcome {
	opening := standin.Packet{Open: true, Sequence: f.sequence}
	begin := time.Now()
	f.send(opening)
	copies := []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	for {
		select {
		case a := <-f.inbox:
			if a.Reset {
				return reset
			}
			if a.Accept && a.Acknowledged == f.sequence+1 {
				f.mu.Lock()
				f.isOpen = true
				f.mu.Unlock()
				f.sequence++
				f.acknowledged = a.Sequence + 1
				f.send(standin.Packet{Sequence: f.sequence, Acknowledged: f.acknowledged})
				return served
			}
		case <-time.After(copies[0] - time.Since(begin)):
			if copies = copies[1:]; len(copies) == 0 {
				return late
			}
			opening.Acknowledged++
			f.send(opening)
		}
	}
}

// request makes one request in the open flow.
func (f *clientFlow) request(id string, size int, deadline time.Duration) outcome {
	payload := make([]byte, size)
	copy(payload, id)
	p := standin.Packet{Sequence: f.sequence, Acknowledged: f.acknowledged, Payload: payload}
	end := time.After(deadline)
	pause := firstRetransmit
	f.send(p)
	retransmit := time.NewTimer(pause)
	defer retransmit.Stop()
	for {
		select {
		case <-end:
			return late
		case <-retransmit.C:
			f.send(p)
			pause = min(2*pause, maxRetransmit)
			retransmit.Reset(pause)
		case a := <-f.inbox:
			switch {
			case a.Reset:
				return reset
			case a.Sequence == f.acknowledged && len(a.Payload) >= requestIDSize && string(a.Payload[:requestIDSize]) == id:
				f.sequence += uint32(size)
				f.acknowledged += uint32(len(a.Payload))
				f.send(standin.Packet{Sequence: f.sequence, Acknowledged: f.acknowledged})
				return served
			case len(a.Payload) > 0:
				// A repeated answer of before.
				f.send(standin.Packet{Sequence: f.sequence, Acknowledged: f.acknowledged})
			}
		}
	}
}

// close ends the flow.
func (f *clientFlow) close() {
	f.send(standin.Packet{Final: true, Sequence: f.sequence, Acknowledged: f.acknowledged})
	f.client.lab.flows.closed(f.key)
	f.forget()
}

// requestID returns the text of a request's number.
func requestID(n int64) string { return fmt.Sprintf("request-%04x", n&0xffff) }
