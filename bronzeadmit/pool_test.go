package bronzeadmit

import (
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
