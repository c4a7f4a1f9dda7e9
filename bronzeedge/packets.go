package bronzeedge

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzepool"
	"bronzeusher.example/bronzeusher/bronzesocket"
	"bronzeusher.example/bronzeusher/bronzesteer"
)

const (
	// batchSize is the maximum number of datagrams in one read.
	batchSize = 32
	// maxHeldPackets bounds the packets held until the first view.
	maxHeldPackets = 512
)

// worker handles packets on one goroutine.
type worker struct {
	edge *Edge
	in   []bronzesocket.Datagram
	out  []bronzesocket.Datagram
	// deadline is the current read deadline, zero for none. deadlinePassed says that a read
	// has timed out since the worker last hedged.
	deadline       time.Time
	deadlinePassed bool
	// delayed says that packets may still wait in the socket that arrived during a pause.
	delayed bool
}

// heldPackets are the packets that arrived before the first view.
type heldPackets struct {
	mu      sync.Mutex
	packets [][]byte
}

func (e *Edge) newWorker() *worker {
	return &worker{edge: e, out: make([]bronzesocket.Datagram, 0, batchSize)}
}

// readPackets handles callers' packets until the socket is closed.
func (e *Edge) readPackets(ctx context.Context) {
	w := e.newWorker()
	w.in = make([]bronzesocket.Datagram, batchSize)
	for i := range w.in {
		w.in[i].Buf = make([]byte, e.adapter.Wire.MaxDatagram)
	}
	for ctx.Err() == nil {
		w.setHedgeDeadline()
		n, err := e.data.ReadBatch(w.in)
		e.detectPause()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			w.readTimedOut()
			continue
		}
		if err != nil {
			e.log.Line("ReadFailed", Fields{"Error": err.Error()})
			continue
		}
		if e.dropOldPackets(n) {
			w.delayed = false
			continue
		}
		now := time.Now()
		delayed := w.readDelayed(&e.pauses, n, now)
		e.lastPacketAt.Store(int64(now.Sub(e.started)))
		for i := range w.in[:n] {
			w.handle(w.in[i].Buf[:w.in[i].N], delayed, now)
		}
		// The mean of the batch, so that the clock is read once for all its packets.
		e.counts.decisionTime.RecordDuration(time.Since(now) / time.Duration(max(n, 1)))
		w.flush()
		if w.deadlinePassed && n < len(w.in) {
			w.hedge()
		}
		e.spreadReports(now)
	}
}

// readDelayed reports whether the n packets just read may have waited during a pause. That is so
// for those read right after it, until a read finds no more.
func (w *worker) readDelayed(p *pauseDetector, n int, now time.Time) (delayed bool) {
	delayed = p.takeDelayedPackets(now) || w.delayed
	w.delayed = delayed && n == len(w.in)
	return delayed
}

// handle decides on one packet and carries out the decision. delayed says that the packet waited
// during a pause.
func (w *worker) handle(b []byte, delayed bool, now time.Time) {
	e := w.edge
	p, err := e.adapter.Wire.Parse(b)
	if err != nil {
		e.count("Malformed")
		return
	}
	if p.Open {
		p.Bytes, p.Delayed = b, delayed
	}
	d := e.steerer.Decide(&p, now)
	switch d.Kind {
	case bronzesteer.Forward:
		w.forward(b, &d)
	case bronzesteer.End:
		w.reset(&p)
	case bronzesteer.Wait:
		w.hold(b)
	}
	e.counts.decision(&d)
	if d.Reason == bronzesteer.Overloaded {
		e.count("Refused" + d.Verdict.Reason.String())
	}
	if d.TrackingDenial != bronzepool.Admitted {
		e.count("NotFollowed" + d.TrackingDenial.String())
	}
	if d.HandshakeTime > 0 {
		e.counts.openingTime.RecordDuration(d.HandshakeTime)
	}
	if d.Hedge != bronzesteer.NotHedged {
		e.count(d.Hedge.String())
	}
	if d.Adopted {
		e.count("FlowAdopted")
	}
	if d.Other != nil {
		e.count("OtherServersToken")
	}
	e.logDecision(&p, &d, now)
}

// forward sends a packet to the server that was chosen.
func (w *worker) forward(b []byte, d *bronzesteer.Decision) {
	to := w.nextDatagram(d.Server.Address)
	to.Buf = w.edge.adapter.Wire.AppendForward(to.Buf[:0], b, d.Server.Incarnation, d.Token)
	to.N = len(to.Buf)
}

// reset sends the caller of p a reset that ends its flow.
func (w *worker) reset(p *bronzesteer.Packet) {
	to := w.nextDatagram(netip.AddrPortFrom(p.Key.CallerAddrPort().Addr(), w.edge.cfg.DataAddress.Port()))
	to.Buf = w.edge.adapter.Wire.AppendReset(to.Buf[:0], p)
	to.N = len(to.Buf)
}

// endFlow resets a flow that is ended although no packet of it came.
func (w *worker) endFlow(ended *bronzesteer.EndedFlow) {
	w.reset(&ended.Packet)
	d := bronzesteer.Decision{Kind: bronzesteer.End, Reason: ended.Reason}
	w.edge.counts.decision(&d)
	w.edge.log.Line("Ended", Fields{
		"Caller": ended.Packet.Key.CallerAddrPort().String(), "Service": ended.Packet.Key.ServiceAddrPort().String(),
		"Server": ended.Instance, "Reason": ended.Reason.String(),
	})
}

// logDecision logs a decision, except for packets that are steered by their own server's token and
// those before the first view. The line has what the decision was based on: the version of the
// table, the time since the store confirmed this node's records, and the servers.
func (e *Edge) logDecision(p *bronzesteer.Packet, d *bronzesteer.Decision, now time.Time) {
	if d.Reason == bronzesteer.Steered && d.Other == nil || d.Reason == bronzesteer.NoView {
		return
	}
	fields := Fields{
		"Caller": p.Key.CallerAddrPort().String(), "Service": p.Key.ServiceAddrPort().String(),
		"Decision": d.Kind.String(), "Reason": d.Reason.String(), "Open": p.Open, "Copy": p.Retransmits,
		"ConfirmedMS": e.gossip.SinceConfirmed(now).Milliseconds(),
	}
	if v := e.steerer.View(); v != nil {
		fields["Version"] = v.Table.Version
	}
	if d.Server != nil {
		fields["Server"] = d.Server.Instance
		fields["ServerZone"] = d.Server.AvailabilityZone
	}
	if d.Tried != nil {
		fields["Tried"] = d.Tried.Instance
		fields["TriedStatus"] = d.Tried.Status.String()
	}
	if d.Other != nil {
		fields["Other"] = d.Other.Instance
	}
	if d.Reason == bronzesteer.Overloaded {
		fields["Cause"] = d.Verdict.Reason.String()
		fields["Priority"] = d.Priority
		fields["Fraction"] = d.Verdict.Fraction
		fields["Waiting"] = d.Load.Waiting
		fields["Limit"] = d.Load.Limit
	}
	if !p.Open {
		fields["Token"] = p.Token
	}
	e.log.Line("Flow", fields)
}

// nextDatagram returns the next free datagram of the output batch, reusing its buffer. It
// flushes a full batch first.
func (w *worker) nextDatagram(to netip.AddrPort) *bronzesocket.Datagram {
	if len(w.out) == cap(w.out) {
		w.flush()
	}
	w.out = w.out[:len(w.out)+1]
	d := &w.out[len(w.out)-1]
	d.Addr = to
	if d.Buf == nil {
		d.Buf = make([]byte, 0, w.edge.adapter.Wire.MaxDatagram)
	}
	return d
}

// flush sends the output batch. A datagram that can't be sent is skipped: UDP may lose any
// datagram.
func (w *worker) flush() {
	for out := w.out; len(out) > 0; {
		n, err := w.edge.data.WriteBatch(out)
		if err == nil {
			break
		}
		w.edge.count("SendFailed")
		out = out[min(n+1, len(out)):]
	}
	w.out = w.out[:0]
}

// hold keeps a packet until the first view. If it were dropped, its caller would retransmit
// it only after 200 ms or more.
func (w *worker) hold(b []byte) {
	h := &w.edge.held
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.packets) < maxHeldPackets {
		h.packets = append(h.packets, append([]byte(nil), b...))
	}
}

// releaseHeld handles the held packets once there is a view.
func (e *Edge) releaseHeld(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-e.firstView:
	}
	e.held.mu.Lock()
	packets := e.held.packets
	e.held.packets = nil
	e.held.mu.Unlock()
	w := e.newWorker()
	for _, b := range packets {
		w.handle(b, false, time.Now())
	}
	w.flush()
	e.wakeReader()
}
