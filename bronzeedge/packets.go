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
	// batchSize is how many datagrams are read at once.
	batchSize = 32
	// maxHeld bounds the packets that wait for the first view.
	maxHeld = 512
)

// worker handles packets of one goroutine.
type worker struct {
	edge *Edge
	in   []bronzesocket.Datagram
	out  []bronzesocket.Datagram
	// deadline is that of reading, the zero time for none, and overdue tells that it has
	// passed since an opening was last sent to a further server.
	deadline time.Time
	overdue  bool
}

// held are the packets that came before the first view.
type held struct {
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
		w.setDeadline()
		n, err := e.data.ReadBatch(w.in)
		e.lookForPause()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			w.waitedInVain()
			continue
		}
		if err != nil {
			e.log.Line("ReadFailed", Fields{"Error": err.Error()})
			continue
		}
		if e.dropOldPackets(n) {
			continue
		}
		now := time.Now()
		e.lastPacketAt.Store(int64(now.Sub(e.started)))
		for i := range w.in[:n] {
			w.handle(w.in[i].Buf[:w.in[i].N], now)
		}
		// One clock reading for all packets that were read at once.
		e.counts.deciding.RecordDuration(time.Since(now) / time.Duration(max(n, 1)))
		w.flush()
		if w.overdue && n < len(w.in) {
			w.hedge()
		}
		e.tellReports(now)
	}
}

// handle decides on one packet.
func (w *worker) handle(b []byte, now time.Time) {
	e := w.edge
	p, err := e.adapter.Wire.Parse(b)
	if err != nil {
		e.count("Malformed")
		return
	}
	if p.Open {
		p.Bytes = b
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
	if d.TrackingDenial != bronzepool.Admitted {
		e.count("NotFollowed" + d.TrackingDenial.String())
	}
	if d.HandshakeTime > 0 {
		e.counts.opening.RecordDuration(d.HandshakeTime)
	}
	if d.Hedge != bronzesteer.NotHedged {
		e.count(d.Hedge.String())
	}
	e.logDecision(&p, &d, now)
}

// forward sends a packet to the server that was decided on.
func (w *worker) forward(b []byte, d *bronzesteer.Decision) {
	to := w.next(d.Server.Address)
	to.Buf = w.edge.adapter.Wire.AppendForward(to.Buf[:0], b, d.Server.Incarnation, d.Token)
	to.N = len(to.Buf)
}

// reset sends a caller the end of its flow, in answer to p.
func (w *worker) reset(p *bronzesteer.Packet) {
	to := w.next(netip.AddrPortFrom(p.Key.CallerAddrPort().Addr(), w.edge.cfg.DataAddress.Port()))
	to.Buf = w.edge.adapter.Wire.AppendReset(to.Buf[:0], p)
	to.N = len(to.Buf)
}

// end ends a flow of which no packet came.
func (w *worker) end(ending *bronzesteer.EndedFlow) {
	w.reset(&ending.Packet)
	d := bronzesteer.Decision{Kind: bronzesteer.End, Reason: ending.Reason}
	w.edge.counts.decision(&d)
	w.edge.log.Line("Ended", Fields{
		"Caller": ending.Packet.Key.CallerAddrPort().String(), "Service": ending.Packet.Key.ServiceAddrPort().String(),
		"Server": ending.Instance, "Reason": ending.Reason.String(),
	})
}

// logDecision logs what is decided of a flow's beginning and end, with what
// decided it: the version of the routes, how long ago the store confirmed this
// node's records, and the servers.
func (e *Edge) logDecision(p *bronzesteer.Packet, d *bronzesteer.Decision, now time.Time) {
	if d.Reason == bronzesteer.Steered || d.Reason == bronzesteer.NoView {
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
	if d.ExpectedDelay > 0 {
		fields["TakesMS"] = d.ExpectedDelay.Milliseconds()
	}
	if !p.Open {
		fields["Token"] = p.Token
	}
	e.log.Line("Flow", fields)
}

// next returns an empty datagram to send, with a buffer of an earlier one.
func (w *worker) next(to netip.AddrPort) *bronzesocket.Datagram {
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

// flush sends what is to be sent. A datagram that can't be sent is lost, as
// any may be.
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

// hold keeps a packet until there is a view: dropped, its caller would repeat
// it only after 200 ms or more.
func (w *worker) hold(b []byte) {
	h := &w.edge.held
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.packets) < maxHeld {
		h.packets = append(h.packets, append([]byte(nil), b...))
	}
}

// releaseHeld handles the packets that waited, once there is a view.
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
		w.handle(b, time.Now())
	}
	w.flush()
	e.wakeReader()
}
