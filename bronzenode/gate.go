package bronzenode

import (
	"sync/atomic"
	"time"
)

// gate blocks a node's activity, as if its process was stopped. The zero gate
// is open.
type gate struct {
	closed atomic.Pointer[chan struct{}]
}

// wait returns once the gate is open.
func (g *gate) wait() {
	for {
		closed := g.closed.Load()
		if closed == nil {
			return
		}
		<-*closed
	}
}

// closeFor closes the gate for d, unless it is closed already.
func (g *gate) closeFor(d time.Duration) {
	closed := make(chan struct{})
	if !g.closed.CompareAndSwap(nil, &closed) {
		return
	}
	time.AfterFunc(d, func() { g.release(&closed) })
}

// open ends a pause early, so that a paused node can be stopped.
func (g *gate) open() {
	if closed := g.closed.Load(); closed != nil {
		g.release(closed)
	}
}

func (g *gate) release(closed *chan struct{}) {
	if g.closed.CompareAndSwap(closed, nil) {
		close(*closed)
	}
}
