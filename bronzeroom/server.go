package bronzeroom

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// minFactor keeps a little load on a server that rejects, so that its recovery is seen.
	minFactor = 0.1
	// recovery is the time constant of the factor's return to 1.
	recovery = time.Second
	// lackBits are those of the lack in a Server's state, and timeBits those of the time in
	// microseconds, enough for 8.9 years.
	lackBits = 16
	timeBits = 64 - lackBits
)

// Server is what a node knows of the room of one server. The zero Server works. All methods may
// be called concurrently and cost no allocation.
type Server struct {
	// state holds what the factor lacked to 1 after the last rejection in its high bits, and the
	// time of that rejection in its low bits; 0 if there was none.
	state atomic.Uint64
}

// Observe learns from one answer. A rejection halves the factor, down to 0.1.
func (s *Server) Observe(rejected bool, at time.Duration) {
	if !rejected {
		return
	}
	for {
		old := s.state.Load()
		factor := max(factorAt(old, at)/2, minFactor)
		lack := uint64((1 - factor) * (1 << lackBits))
		// A time that goes backwards doesn't undo what has recovered since.
		when := max(uint64(max(at, 0)/time.Microsecond), old&(1<<timeBits-1))
		if s.state.CompareAndSwap(old, lack<<timeBits|when) {
			return
		}
	}
}

// Factor returns the part of its usual room that the server gets, from 0.1 to 1.
func (s *Server) Factor(at time.Duration) float64 { return factorAt(s.state.Load(), at) }

func factorAt(state uint64, at time.Duration) float64 {
	if state == 0 {
		return 1
	}
	lack := float64(state>>timeBits) / (1 << lackBits)
	since := at - time.Duration(state&(1<<timeBits-1))*time.Microsecond
	return 1 - lack*math.Exp(-float64(max(since, 0))/float64(recovery))
}
