package bronzeroom

import (
	"cmp"
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

// replay lets requests with exponential times arrive at 60 random servers with two slots each for
// 8 s. A node that sees a part of them estimates every 8 ms what waits per slot: by the requests
// in flight, by the latency above the usual and by the gauge. It returns the mean errors, the mean
// square errors, and when each of them, and last what truly waits, first reached 1.5.
func replay(seed uint64, part float64, work, delay time.Duration, utilization func(time.Duration) float64) (bias, square [3]float64, reached [4]time.Duration) {
	type event struct {
		at    time.Duration
		apply func()
	}
	var events []event
	var free [60][2]time.Duration
	var g Gauge
	var inFlight, waiting, excess float64
	usual, r := work+delay/2, rand.New(rand.NewPCG(seed, 0))
	for at := time.Duration(0); at < 8*time.Second; at += time.Duration(r.ExpFloat64() * float64(work) / 120 / utilization(at)) {
		slots := &free[r.IntN(len(free))]
		slices.Sort(slots[:])
		start := max(at, slots[0])
		slots[0] = start + time.Duration(r.ExpFloat64()*float64(work))
		done := slots[0] + time.Duration(r.Float64()*float64(delay))
		events = append(events, event{at, func() { waiting++ }}, event{start, func() { waiting-- }})
		if r.Float64() < part {
			events = append(events, event{at, func() { inFlight++; g.Begin(at) }}, event{done, func() {
				inFlight--
				g.Finish(done)
				excess += float64(done-at-usual) / float64(smoothing)
			}})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	for at := time.Duration(0); at < 8*time.Second; at += tickSpan {
		excess *= 1 - tickWeight
		for ; len(events) > 0 && events[0].at < at; events = events[1:] {
			events[0].apply()
		}
		truth, slots := waiting/120, 120*part
		for i, x := range []float64{max(inFlight/slots-1, 0), max(excess/slots, 0), g.Waiting(usual, at) / slots, truth} {
			if x >= safeWaiting && reached[i] == 0 {
				reached[i] = at
			}
			if i < 3 {
				bias[i] += (x - truth) / 1000
				square[i] += (x - truth) * (x - truth) / 1000
			}
		}
	}
	return bias, square, reached
}

// Guards against an estimate that depends on how late callers acknowledge.
func TestGaugeMeanIsWhatWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := rapid.Float64Range(0.5, 0.8).Draw(t, "utilization")
		work, delay := rapid.IntRange(15, 60).Draw(t, "work"), rapid.IntRange(0, 80).Draw(t, "delay")
		bias, _, _ := replay(rapid.Uint64().Draw(t, "seed"), 1, time.Duration(work)*ms, time.Duration(delay)*ms, func(time.Duration) float64 { return u })
		require.InDelta(t, 0, bias[2], 0.1)
	})
}

// Guards against an estimate that is worse than the others, at a node that sees all requests or
// one in 60, in a steady load or a surge of 0.3 s. docs/design/room.md has the figures.
func TestGaugeAgainstOtherEstimates(t *testing.T) {
	for i := range 16 {
		part, work, delay, surge := []float64{1, 1. / 60}[i>>3], []time.Duration{15, 47}[i>>2&1]*ms, time.Duration(i>>1&1)*80*ms, i&1 == 1
		bias, square, reached := replay(1, part, work, delay, func(at time.Duration) float64 {
			if surge && at > 4*time.Second && at < 4300*ms {
				return 2
			}
			return 0.6
		})
		t.Logf("part %.3f work %v delay %v surge %v: bias %.2f, square %.2f, reached %v", part, work, delay, surge, bias, square, reached)
		require.Less(t, square[2], square[1]*1.1)
		require.True(t, !surge || reached[2] < reached[1])
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
	g.Finish(time.Hour + 1890*ms)
	require.InDelta(t, 0, g.Waiting(400*ms, time.Hour+3800*ms), 0.01)
}

// feed lets a room observe answers, of which each nth is a rejection, and returns the limit.
func feed(r *Room, from *time.Duration, span time.Duration, perSecond, nth int, waiting float64) float64 {
	end := *from + span
	for i := 1; *from < end; i, *from = i+1, *from+time.Second/time.Duration(perSecond) {
		a := Answer{At: *from, Bytes: 530 + i%300, Waiting: waiting}
		if nth > 0 && i%nth == 0 {
			a.Bytes = 175
		}
		r.Observe(a)
	}
	return r.Limit(Bounds{At: end})
}

// Guards against a limit that doesn't follow rejections or use, or doesn't return.
func TestLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Room
		var at time.Duration
		rate := rapid.IntRange(14, 1000).Draw(t, "rate")
		require.InDelta(t, 1.5, feed(&r, &at, 6*time.Second, rate, 0, 0), 1e-9)
		require.InDelta(t, 1.6, feed(&r, &at, time.Second, rate, 0, 3), 0.07, "growth per second")
		require.InDelta(t, 3, feed(&r, &at, 9*time.Second, rate, 0, 3), 1e-9)
		require.InDelta(t, 1.5, feed(&r, &at, 10*time.Second, rate, 0, 1), 1e-9)
		require.InDelta(t, 0.75, feed(&r, &at, 12*time.Second, rate, 2, 5), 1e-9)
		require.InDelta(t, 1.5, feed(&r, &at, 10*time.Second, rate, 0, 1), 1e-9)
		require.Greater(t, feed(&r, &at, 40*time.Second, rate, 0, 3), 2.9)
		at += time.Hour
		require.InDelta(t, 1, r.Limit(Bounds{Usual: 100 * ms, Objective: 400 * ms, At: at}), 1e-9)
	})
}

// Guards against one wrong sample that moves the limit by 2% or more, then or within 12 s.
func TestOneWrongSample(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rooms [2]Room
		rate, waiting := rapid.IntRange(4, 500).Draw(t, "rate"), rapid.Float64Range(0, 4).Draw(t, "waiting")
		shrunk := rapid.Bool().Draw(t, "shrunk")
		var limits [2][40]float64
		for i := range rooms {
			var at time.Duration
			feed(&rooms[i], &at, 20*time.Second, rate, 0, 0)
			if shrunk {
				waiting = 0.5
				feed(&rooms[i], &at, 9*time.Second, rate, 2, 5)
				feed(&rooms[i], &at, 4*time.Second, rate, 0, 1)
			}
			require.Equal(t, i == 1, i == 1 && rooms[i].Observe(Answer{At: at, Bytes: 175, Waiting: waiting}))
			for k := range limits[i] {
				limits[i][k] = feed(&rooms[i], &at, 300*ms, rate, 0, waiting)
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
	require.InDelta(t, 1-0.9/2.71828, s.Factor(time.Hour+time.Second), 1e-3)
	require.InDelta(t, 1, s.Factor(1000*time.Hour), 1e-9)
}

// Guards against servers with more nodes than others, and nodes that disagree because they list
// the others in another order or with themselves.
func TestSubsetCoverage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, servers := rapid.IntRange(3, 600).Draw(t, "nodes"), rapid.IntRange(3, 1200).Draw(t, "servers")
		names, covered := make([]string, nodes), make([]int, servers)
		for i := range names {
			names[i] = fmt.Sprint("node-", i)
		}
		for i, self := range slices.Clone(names) {
			others := slices.Clone(names)
			if i%2 == 0 {
				others = slices.Delete(others, i, i+1)
			}
			slices.Reverse(others[:i/2])
			for k := range min(5, servers) {
				covered[(Subset(others, self, servers)+k)%servers]++
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
	use := func(at time.Duration) {
		g.Begin(at)
		s.Observe(!r.Observe(Answer{At: at, Bytes: 500, Waiting: g.Waiting(time.Second, at)}), at)
		r.Limit(Bounds{At: at, Usual: time.Duration(s.Factor(at))})
		g.Finish(at)
	}
	for range 4 {
		wg.Go(func() {
			for i := range 2000 {
				use(time.Duration(i) * ms)
			}
		})
	}
	wg.Wait()
	require.Zero(t, g.inFlight)
	require.Zero(t, testing.AllocsPerRun(1000, func() { use(3 * time.Second) }))
}

func BenchmarkGaugeBeginFinish(b *testing.B) {
	var g Gauge
	for i := range b.N {
		g.Begin(time.Duration(i) * 40 * time.Microsecond)
		g.Finish(time.Duration(i) * 40 * time.Microsecond)
	}
}

func BenchmarkGaugeWaiting(b *testing.B) {
	var g Gauge
	for i := range b.N {
		g.Waiting(maxUsual, time.Duration(i)*40*time.Microsecond)
	}
}
