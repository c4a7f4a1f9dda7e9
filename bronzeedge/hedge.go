package bronzeedge

import "time"

// drainWait is how long a node reads on after an opening is overdue before it sends it
// to a further server. A read that begins after its deadline doesn't look for packets at
// all: of a node that was late, the answers may wait in the socket.
const drainWait = time.Millisecond

// setDeadline has reading end when the next opening is overdue.
func (w *worker) setDeadline() {
	if w.overdue {
		return
	}
	at, ok := w.edge.steerer.NextHedge()
	if !ok {
		at = time.Time{}
	}
	w.readUntil(at)
}

func (w *worker) readUntil(at time.Time) {
	if at.Equal(w.deadline) {
		return
	}
	w.deadline = at
	if err := w.edge.data.SetReadDeadline(at); err != nil {
		w.edge.count("NoReadDeadline")
	}
}

// waitedInVain notes that no packet came before reading was to end.
func (w *worker) waitedInVain() {
	if w.overdue {
		w.hedge()
		return
	}
	w.overdue = true
	w.readUntil(time.Now().Add(drainWait))
}

// hedge sends openings that are overdue to further servers. No packet waits in the socket.
func (w *worker) hedge() {
	w.overdue = false
	now := time.Now()
	for _, h := range w.edge.steerer.Hedges(now) {
		w.forward(h.Packet.Bytes, &h.Decision)
		w.edge.counts.decision(&h.Decision)
		w.edge.logDecision(&h.Packet, &h.Decision, now)
	}
	w.flush()
	w.edge.tellReports(now)
}

// wakeReader has the goroutine that reads packets look for openings to wait for, which
// another one has taken.
func (e *Edge) wakeReader() {
	if err := e.data.SetReadDeadline(time.Now()); err != nil {
		e.count("NoReadDeadline")
	}
}
