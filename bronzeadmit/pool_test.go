package bronzeadmit

import (
	"math"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// start is a time at the beginning of an epoch.
var start = time.Unix(1_700_000_000, 0)

// caller returns the evenly distributed hash of caller i.
func caller(i int) uint64 { return mix(uint64(i+1) * goldenRatio) }

// pressed returns a load of the given pressure.
func pressed(pressure float64) Load { return Load{Waiting: 1.5 * pressure, Limit: 1.5} }

// Guards against an urgent opening that is refused while less urgent ones get in, whatever was
// asked before, and against levels whose refusals don't follow the pressure.
func TestLessUrgentIsRefusedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Pool
		p.SetLevels(rapid.SliceOfN(rapid.IntRange(0, 6), 0, 5).Draw(t, "levels"))
		p.SetRules(&Rules{Shares: map[string]Share{"a": {Guaranteed: 0.5}, "b": {Highest: 0.2}}})
		l := pressed(rapid.Float64Range(0.9, 3.2).Draw(t, "pressure"))
		mostUrgent, leastUrgent := 7, -1 // refused, admitted
		for i := range 600 {
			r := Request{Priority: i % 7, Customer: string(rune('a' + i%3)), Caller: caller(i * i % 90 * (i % 5))}
			v := p.Decide(r, l, time.Duration(i)*time.Millisecond, start)
			if !v.Admit {
				mostUrgent = min(mostUrgent, r.Priority)
			} else if v.Reason == Admitted {
				leastUrgent = max(leastUrgent, r.Priority)
			}
			require.True(t, v.Admit || v.Fraction > 0)
		}
		least, _ := p.levels.find(leastUrgent)
		most, _ := p.levels.find(mostUrgent)
		require.True(t, mostUrgent == 7 || leastUrgent == -1 || most <= least, "%d refused, %d admitted", mostUrgent, leastUrgent)
	})
}

// Guards against levels that begin or end at another pressure than the page says.
func TestLevels(t *testing.T) {
	require.Equal(t, levels{{1, 1, 1.5}}, newLevels([]int{1, 1}))
	require.Equal(t, levels{{2, 1, 1.5}, {0, 2, 3}}, newLevels([]int{0, 2}))
	require.Equal(t, levels{{9, 1, 1.4}, {4, 1.5, 1.9}, {1, 2, 3}}, newLevels([]int{4, 1, 9}))
	for priority, k := range map[int]int{-1: 1, 0: 1, 1: 0, 2: 0, 3: 0} {
		got, _ := newLevels([]int{0, 2}).find(priority)
		require.Equal(t, k, got, priority)
	}
}

// Guards against nodes that let in whom others refuse, and against callers whose turn doesn't
// come. The golden ratio keeps 25 epochs within 2.3 of the fair number, 88% within 1.
func TestPositions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var one, other Pool
		refused := rapid.Float64Range(0, 0.97).Draw(t, "refused")
		r := Request{Caller: rapid.Uint64().Draw(t, "caller")}
		l, admitted := pressed(1+refused/2), 0.0
		for epoch := range 25 {
			now := start.Add(time.Duration(epoch) * 4 * time.Second)
			v := one.Decide(r, l, 0, now)
			require.Equal(t, v, other.Decide(r, l, time.Hour+time.Duration(epoch), now.Add(3999*time.Millisecond)))
			if v.Admit {
				admitted++
			}
		}
		require.InDelta(t, 25*(1-refused), admitted, 2.3)
	})
}

// Guards against rules that don't hold, hold after their end or for more urgent openings, or
// refuse other callers than pressure does.
func TestRules(t *testing.T) {
	var p Pool
	p.SetRules(&Rules{Closed: true})
	require.Equal(t, Verdict{Reason: Closed, Fraction: 1}, p.Decide(Request{}, Load{}, 0, start))
	p.SetRules(&Rules{Shed: []ShedRule{
		{Priority: 2, Fraction: 0.5, Until: start.Add(time.Second)},
		{Priority: 2, Fraction: math.NaN(), Until: start.Add(time.Hour)},
		{Priority: 3, Fraction: 7, Until: start.Add(time.Hour)},
		{Priority: 0, Fraction: 1, Until: start},
	}})
	part := func(priority int, l Load, now time.Time) (refused float64) {
		for i := range 4000 {
			r := Request{Priority: priority, Caller: caller(i)}
			if v := p.Decide(r, l, 0, now); !v.Admit {
				require.Less(t, position(r.Caller, now), v.Fraction)
				refused++
			}
		}
		return refused / 4000
	}
	require.Zero(t, part(1, Load{}, start))
	require.InDelta(t, 0.5, part(2, Load{}, start), 0.02)
	require.Zero(t, part(2, Load{}, start.Add(time.Second)))
	require.InDelta(t, 0.7, part(2, pressed(1.2), start), 0.02)
	require.EqualValues(t, 1, part(3, Load{}, start))
	p.SetRules(nil)
	for _, none := range []Load{{}, {9, 0, 0}, {math.NaN(), 1, 0}, {9, math.NaN(), 0}, {-9, 1, 0}, {9, -1, 0}, {-9, -1, 0}, {1, math.Inf(1), 0}} {
		require.Zero(t, part(3, none, start))
	}
	// A clock that is wrong, before 1970 or at its zero value, refuses as many, and 1 in 50 gets in.
	for _, wrong := range []time.Time{start.Add(9999 * time.Hour), time.Unix(-7, 0), {}} {
		require.InDelta(t, 0.4, part(3, pressed(1.2), wrong), 0.02)
		require.InDelta(t, 0.98, part(3, pressed(99), wrong), 0.005)
	}
	require.Len(t, Reasons(), len(reasonNames))
	require.Equal(t, "Shed Unknown", Shed.String()+" "+ReasonCount.String())
}

// Guards against state that decisions share without the lock, and against allocations.
func TestConcurrentDecisions(t *testing.T) {
	var p Pool
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 2000 {
				p.SetLevels([]int{i / 500})
				p.Decide(Request{Customer: "c", Caller: caller(i * g)}, pressed(1.3), time.Duration(i-g)*time.Millisecond, start)
			}
		})
	}
	wg.Wait()
	require.Zero(t, testing.AllocsPerRun(100, func() { p.Decide(Request{Customer: "c"}, pressed(1.3), 0, start) }))
}
