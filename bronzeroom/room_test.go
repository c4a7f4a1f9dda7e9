package bronzeroom

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// replay lets requests with exponential times arrive for 8 s at 60 random servers of two slots. A
// node that sees a part of them estimates every 8 ms what waits per slot: by the requests in
// flight, by the latency above the usual and by the gauge. It returns the mean errors, the mean
// square errors, and when each estimate, and last what truly waits, first reached 1.5.
func replay(seed uint64, part float64, work, delay time.Duration, utilization func(time.Duration) float64) (bias, square [4]float64, reached [4]time.Duration) {
	var events [1001][]func() // by tick; the last holds those after 8 s
	add := func(at time.Duration, f func()) { i := min(at/tickSpan, 1000); events[i] = append(events[i], f) }
	var free [60][2]time.Duration
	var g Gauge
	var inFlight, waiting, excess float64
	usual, slots, r := work+delay/2, 120*part, rand.New(rand.NewPCG(seed, 0))
	for at := time.Duration(0); at < 8*time.Second; {
		at += time.Duration(r.ExpFloat64() * float64(work) / 120 / utilization(at))
		server := &free[r.IntN(len(free))]
		slices.Sort(server[:])
		start := max(at, server[0])
		server[0] = start + time.Duration(r.ExpFloat64()*float64(work))
		done := server[0] + time.Duration(r.Float64()*float64(delay))
		add(at, func() { waiting++ })
		add(start, func() { waiting-- })
		if r.Float64() < part {
			add(at, func() { inFlight++; g.Begin(at) })
			add(done, func() { inFlight--; g.Finish(done); excess += float64(done-at-usual) / float64(maxSmoothing) })
		}
	}
	for n, now := range events[:1000] {
		at := time.Duration(n+1) * tickSpan
		for _, apply := range now {
			apply()
		}
		excess *= 1 - weight(tickSpan, maxSmoothing)
		for i, x := range []float64{max(inFlight/slots-1, 0), max(excess/slots, 0), g.Waiting(usual, at) / slots, waiting / 120} {
			bias[i] += (x - waiting/120) / 1000
			square[i] += (x - waiting/120) * (x - waiting/120) / 1000
			if x >= 1.5 && reached[i] == 0 {
				reached[i] = at
			}
		}
	}
	return bias, square, reached
}

// Guards against an estimate that depends on how late callers acknowledge.
func TestGaugeMeanIsWhatWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u, seed := rapid.Float64Range(0.5, 0.8).Draw(t, "utilization"), rapid.Uint64().Draw(t, "seed")
		work, delay := rapid.IntRange(15, 60).Draw(t, "work"), rapid.IntRange(0, 80).Draw(t, "delay")
		bias, _, _ := replay(seed, 1, time.Duration(work)*ms, time.Duration(delay)*ms, func(time.Duration) float64 { return u })
		require.InDelta(t, 0, bias[2], 0.1)
	})
}

// Guards against a gauge that is noisier or slower than the estimate by latency, or biased, at a
// node that sees all requests or one in 60, in a steady load or a surge of 0.3 s.
func TestGaugeAgainstOtherEstimates(t *testing.T) {
	for i := range 16 {
		part, surge := []float64{1, 1. / 60}[i>>3], []float64{0.6, 2}[i&1]
		work, delay := []time.Duration{15, 47}[i>>2&1]*ms, time.Duration(i>>1&1)*80*ms
		bias, square, reached := replay(1, part, work, delay, func(at time.Duration) float64 {
			if at/(300*ms) == 13 {
				return surge
			}
			return 0.6
		})
		t.Logf("part %.3f, %v, late up to %v, surge %v: %.2f %.2f %v", part, work, delay, surge, bias, square, reached)
		require.InDelta(t, 0, bias[2], 0.2)
		require.Less(t, square[2], square[1]*1.1)
		require.True(t, surge < 1 || reached[2] < reached[1])
	}
}

// Guards against counts of an earlier turn of the ring and of a pause.
func TestGaugeAfterIdleTimeAndPause(t *testing.T) {
	var g Gauge
	g.Waiting(400*ms, 0)
	g.Begin(0)
	g.Begin(520 * ms)
	require.InDelta(t, 2, g.Waiting(400*ms, 2*time.Second), 0.01)
	g.Finish(2 * time.Second)
	require.Zero(t, g.Waiting(400*ms, time.Hour))
	require.InDelta(t, 1, g.Waiting(time.Hour, time.Hour+1900*ms), 0.01)
}

type fed struct {
	Room
	at time.Duration
}

// feed observes answers, of which each nth is a rejection, and returns the limit after them.
func (f *fed) feed(span time.Duration, perSecond, nth int, waiting float64) float64 {
	end := f.at + span
	for i := 1; f.at < end; i, f.at = i+1, f.at+time.Second/time.Duration(perSecond) {
		a := Answer{At: f.at, Bytes: 530 + i%300, Waiting: waiting}
		if nth > 0 && i%nth == 0 {
			a.Bytes = 175
		}
		f.Observe(a)
	}
	return f.Limit(Bounds{At: end})
}

// Guards against a limit that doesn't follow rejections or use, or doesn't return.
func TestLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f fed
		rate := rapid.IntRange(14, 1000).Draw(t, "rate")
		require.InDelta(t, 1, f.feed(6*time.Second, rate, 0, 0), 1e-9)
		require.InDelta(t, 1.07, f.feed(time.Second, rate, 0, 3), 0.05, "growth per second")
		require.InDelta(t, 2, f.feed(9*time.Second, rate, 0, 3), 1e-9)
		require.InDelta(t, 1, f.feed(10*time.Second, rate, 0, 0.6), 1e-9)
		require.InDelta(t, 0.5, f.feed(12*time.Second, rate, 2, 5), 1e-9)
		require.InDelta(t, 1, f.feed(10*time.Second, rate, 0, 0.6), 1e-9)
		require.Greater(t, f.feed(40*time.Second, rate, 0, 3), 1.93)
		require.InDelta(t, 0.8, f.Limit(Bounds{Usual: 100 * ms, Objective: 400 * ms, At: time.Hour}), 1e-9)
	})
}

// Guards against one wrong sample that moves the limit by 2% or more, then or within 12 s.
func TestOneWrongSample(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, nth := rapid.IntRange(4, 500).Draw(t, "rate"), 2*rapid.IntRange(0, 1).Draw(t, "shrunk")
		waiting := rapid.Float64Range(0, 4-1.7*float64(nth)).Draw(t, "waiting")
		var limits [2][40]float64
		for i := range limits {
			var f fed
			f.feed(20*time.Second, rate, 0, 0)
			f.feed(9*time.Second, rate, nth, 0.5)
			f.feed(4*time.Second, rate, 0, 0.5)
			require.True(t, i == 0 || f.Observe(Answer{At: f.at, Bytes: 175, Waiting: waiting}))
			for k := range limits[i] {
				limits[i][k] = f.feed(300*ms, rate, 0, waiting)
				require.InEpsilon(t, limits[0][k], limits[i][k], 0.02)
			}
		}
	})
}

// Guards against rejections guessed among short answers, and usual answers that became shorter
// and count as rejections for good.
func TestDetection(t *testing.T) {
	var short, shorter Room
	for i := range 2000 {
		at := time.Duration(i) * ms
		require.False(t, short.Observe(Answer{At: at, Bytes: 1 + i%150, Waiting: float64(i % 2)}))
		rejected := shorter.Observe(Answer{At: at, Bytes: 800 - i/1000*500})
		require.True(t, rejected == (i >= 1000) || i > 1200)
		require.False(t, rejected && i > 1600)
	}
}

// Guards against a server that rejects everything and keeps its load, or never gets it back.
func TestServerFactor(t *testing.T) {
	var s Server
	for i, want := range []float64{1, 0.5, 0.25, 0.125, 0.1, 0.1} {
		s.Observe(i > 0, time.Hour-time.Duration(i)*ms)
		require.InDelta(t, want, s.Factor(time.Hour-time.Second), 1e-4)
	}
	require.InDelta(t, 0.669, s.Factor(time.Hour+time.Second), 0.001)
	require.InDelta(t, 1, s.Factor(1000*time.Hour), 1e-9)
}

// Guards against servers with more nodes than others, and nodes that disagree because they list
// the others in another order or with themselves.
func TestSubsetCoverage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, servers := rapid.IntRange(3, 600).Draw(t, "nodes"), rapid.IntRange(3, 1200).Draw(t, "servers")
		covered, names := make([]int, servers), make([]string, nodes)
		for i := range names {
			names[i] = fmt.Sprint("node-", i)
		}
		for i := range nodes {
			others := append(slices.Clone(names[i:]), names[:i]...)[i%2:]
			for k := range min(5, servers) {
				covered[(Subset(others, names[i], servers)+k)%servers]++
			}
		}
		require.LessOrEqual(t, slices.Max(covered)-slices.Min(covered), 1)
	})
}

// Guards against unsynchronized state, for the race detector, and against allocations.
func TestConcurrentUse(t *testing.T) {
	var g Gauge
	var r Room
	var s Server
	var wg sync.WaitGroup
	use := func() {
		for at := time.Duration(0); at < time.Second; at += ms {
			g.Begin(at)
			s.Observe(!r.Observe(Answer{At: at, Bytes: 500, Waiting: g.Waiting(time.Second, at)}), at)
			r.Limit(Bounds{At: at, Usual: time.Duration(s.Factor(at))})
			g.Finish(at)
		}
	}
	wg.Go(use)
	use()
	wg.Wait()
	require.Zero(t, g.inFlight)
	require.Zero(t, testing.AllocsPerRun(10, use))
}

func BenchmarkGaugeBeginFinish(b *testing.B) {
	var g Gauge
	for i := range b.N {
		g.Begin(time.Duration(i) * 40000)
		g.Finish(time.Duration(i) * 40000)
	}
}

func BenchmarkGaugeWaiting(b *testing.B) {
	var g Gauge
	for i := range b.N {
		g.Waiting(maxUsual, time.Duration(i)*40000)
	}
}
