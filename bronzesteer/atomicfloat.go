package bronzesteer

import (
	"math"
	"sync/atomic"
)

// atomicFloat is a float64 that may be read and written concurrently.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) Load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) Store(x float64) { f.bits.Store(math.Float64bits(x)) }
