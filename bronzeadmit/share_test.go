package bronzeadmit

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// counts are the openings of one caller or Customer.
type counts struct{ Asked, Admitted, FairShare float64 }

// ask has p decide on openings that come evenly over the given seconds. opening returns the i-th
// request, and the key to count it by.
func ask(p *Pool, seconds, perSecond int, l Load, opening func(i int) (Request, string)) map[string]counts {
	byKey := make(map[string]counts)
	for i := range seconds * perSecond {
		at := time.Duration(i) * time.Second / time.Duration(perSecond)
		r, key := opening(i)
		c := byKey[key]
		c.Asked++
		switch v := p.Decide(r, l, at, start.Add(at)); {
		case v.Admit:
			c.Admitted++
		case v.Reason == FairShare:
			c.FairShare++
		}
		byKey[key] = c
	}
	return byKey
}

// Guards against a caller who gets more by asking a hundred times as often as 100 others, also
// among 10 others, and against others who are refused for it.
func TestFrequentCaller(t *testing.T) {
	for _, others := range []int{10, 100} {
		got := ask(new(Pool), 100, others+100, pressed(1.2), func(i int) (Request, string) {
			if j := i % (others + 100); j < others {
				return Request{Caller: caller(j)}, "others"
			}
			return Request{Caller: caller(1000)}, "frequent"
		})
		mean := got["others"].Admitted / float64(others)
		t.Logf("%d others: %.0f each of 100, the frequent caller %.0f of 10000", others, mean, got["frequent"].Admitted)
		require.Less(t, got["frequent"].Admitted, 7*mean)
		require.InDelta(t, 60, mean, 2)
		require.Zero(t, got["others"].FairShare)
	}
}

// Guards against usual callers who are taken for frequent ones: by one-time callers who share
// their counters, by a surge in which all ask nine times as often, and by unequal callers.
func TestUsualCallersAreNotFrequent(t *testing.T) {
	for name, opening := range map[string]func(i int) int{
		"one-time": func(i int) int {
			if i%50 == 0 {
				return i / 50 % 100
			}
			return 1000 + i
		},
		"thousands": func(i int) int { return 1000 + int(fraction(caller(i))*2500) },
		"surge":     func(i int) int { return 1000 + i%(4500-min(i/20000, 1)*4000) },
		"unequal":   func(i int) int { return int(1000 * math.Pow(fraction(caller(i)), 1.2)) },
	} {
		got := ask(new(Pool), 12, 5000, pressed(1.2), func(i int) (Request, string) {
			j := opening(i)
			if j >= 1000 && name == "one-time" {
				return Request{Caller: caller(j)}, "flood"
			}
			return Request{Caller: caller(j)}, "usual"
		})["usual"]
		t.Logf("%s: %.0f of %.0f", name, got.FairShare, got.Asked)
		require.LessOrEqual(t, got.FairShare, got.Asked/200, name)
	}
}

// Guards against a Customer that gets more than others by asking more, less than its guaranteed
// share, or more than its highest share while others are refused.
func TestCustomers(t *testing.T) {
	for name, c := range map[string]struct {
		a, b, urgent int // openings per second: of the level, and urgent ones of Customer a
		refused      float64
		shares       map[string]Share
		wantA, wantB float64
	}{
		"b asks little":         {a: 1000, b: 100, refused: 0.4, wantA: 560, wantB: 100},
		"both ask much":         {a: 4000, b: 400, refused: 0.9, wantA: 220, wantB: 220},
		"guaranteed":            {1000, 1000, 0, 0.5, map[string]Share{"a": {Guaranteed: 0.5}}, 750, 250},
		"guaranteed is unused":  {100, 1000, 0, 0.5, map[string]Share{"a": {Guaranteed: 0.5}}, 100, 450},
		"urgent ones count":     {500, 500, 500, 0.5, map[string]Share{"a": {Guaranteed: 0.5}}, 250, 250},
		"highest":               {1000, 1000, 0, 0.5, map[string]Share{"a": {Highest: 0.2}}, 200, 800},
		"highest is no reserve": {1000, 100, 0, 0.5, map[string]Share{"a": {Highest: 0.2}}, 450, 100},
		"too much guaranteed":   {1000, 1000, 0, 0.9, map[string]Share{"a": {Guaranteed: 3}, "b": {Guaranteed: 1}}, 150, 50},
	} {
		var p Pool
		p.SetLevels([]int{0, 1})
		p.SetRules(&Rules{Shares: c.shares})
		got := ask(&p, 24, c.a+c.b+c.urgent, pressed(1+c.refused/2), func(i int) (Request, string) {
			r := Request{Priority: 1, Caller: caller(i)}
			switch j := (i * 7919) % (c.a + c.b + c.urgent); {
			case j < c.a:
				r.Customer = "a"
			case j < c.a+c.b:
				r.Customer = "b"
			default:
				return Request{Customer: "a", Caller: caller(i)}, "urgent"
			}
			return r, r.Customer
		})
		t.Logf("%s: a %.0f, b %.0f", name, got["a"].Admitted/24, got["b"].Admitted/24)
		require.InEpsilon(t, c.wantA, got["a"].Admitted/24, 0.06, name)
		require.InEpsilon(t, c.wantB, got["b"].Admitted/24, 0.06, name)
		require.Equal(t, got["urgent"].Asked, got["urgent"].Admitted, name)
	}
}
