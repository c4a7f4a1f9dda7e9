package bronzenode

import (
	"sync/atomic"
	"time"
)

// gate holds up everything that a node does, as if its process was stopped.
// The zero gate is open.
type gate struct {
	shut atomic.Pointer[chan struct{}]
}

// pass returns once the gate is open.
func (g *gate) pass() {
	for {
		shut := g.shut.Load()
		if shut == nil {
			return
		}
		<-*shut
	}
}

// close shuts the gate for d, unless it is shut already.
func (g *gate) close(d time.Duration) {
	shut := make(chan struct{})
	if !g.shut.CompareAndSwap(nil, &shut) {
		return
	}
	time.AfterFunc(d, func() { g.release(&shut) })
}

// open ends a pause early, so that a node can be ended while it is paused.
func (g *gate) open() {
	if shut := g.shut.Load(); shut != nil {
		g.release(shut)
	}
}

func (g *gate) release(shut *chan struct{}) {
	if g.shut.CompareAndSwap(shut, nil) {
		close(*shut)
	}
}
