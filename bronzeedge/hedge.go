package bronzeedge

import "time"

// finalReadWait is how long the node keeps reading after an opening is overdue, before it
// hedges the opening. A read whose deadline has passed doesn't check for packets at all, so
// if the node itself was late, the answers may already wait in the socket.
const finalReadWait = time.Millisecond

// setHedgeDeadline makes reading end when the next opening is overdue or the next correction is
// due.
func (w *worker) setHedgeDeadline() {
	if w.deadlinePassed {
		return
	}
	at, ok := w.edge.steerer.NextHedge()
	if due, waits := w.edge.steerer.NextCorrection(); waits && (!ok || due.Before(at)) {
		at, ok = due, true
	}
	if !ok {
		at = time.Time{}
	}
	w.setReadDeadline(at)
}

func (w *worker) setReadDeadline(at time.Time) {
	if at.Equal(w.deadline) {
		return
	}
	w.deadline = at
	if err := w.edge.data.SetReadDeadline(at); err != nil {
		w.edge.count("NoReadDeadline")
	}
}

// readTimedOut handles a read that ended at its deadline without a packet. The first time
// it allows finalReadWait for packets that already wait in the socket; then it hedges.
func (w *worker) readTimedOut() {
	if w.deadlinePassed {
		w.hedge()
		return
	}
	w.deadlinePassed = true
	w.setReadDeadline(time.Now().Add(finalReadWait))
}

// hedge sends overdue openings to further servers, and corrections that are due. The socket must
// hold no unread packets.
func (w *worker) hedge() {
	w.deadlinePassed = false
	now := time.Now()
	for _, h := range append(w.edge.steerer.Hedges(now), w.edge.steerer.Corrections(now)...) {
		w.forward(h.Packet.Bytes, &h.Decision)
		w.edge.counts.decision(&h.Decision)
		w.edge.logDecision(&h.Packet, &h.Decision, now)
	}
	w.flush()
	w.edge.spreadReports(now)
}

// wakeReader interrupts the goroutine that reads packets, so that it sets its deadline for
// openings that another goroutine has handled.
func (e *Edge) wakeReader() {
	if err := e.data.SetReadDeadline(time.Now()); err != nil {
		e.count("NoReadDeadline")
	}
}
