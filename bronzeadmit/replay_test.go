package bronzeadmit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// tally counts the requests of a level in a replay. A Failed one was refused or rejected with all
// of its three tries. Callers counts those with one in an epoch.
type tally struct{ Requests, Tries, Failed, Rejected, Callers float64 }

// replay has 3,000 callers make requests to 60 slots that do 1,200 requests/s together and reject
// what finds more than four waiting per slot. Each try goes to one of 20 nodes; admit decides with
// the offers of the last second. offered returns the requests of a level as a part of the capacity.
func replay(seconds int, offered func(k, second int) float64, admit func(p *Pool, k int, r Request, l Load, offers [2]float64, at time.Duration) bool) (t [2]tally) {
	const capacity, slots, step = 1200, 60, 10 * time.Millisecond
	type try struct{ k, caller, n int }
	var nodes [20]Pool
	var waiting float64
	var offers, before [2]float64
	var epoch [2][3000]int // the last with a failure, by caller
	random := rand.New(rand.NewPCG(1, 2))
	tries := make(map[int][]try)
	for now := range seconds * 100 {
		waiting = max(waiting-capacity/100, 0)
		for k := range epoch {
			for range int(offered(k, now/100)*capacity/100 + random.Float64()) {
				tries[now] = append(tries[now], try{k: k, caller: random.IntN(3000)})
				t[k].Requests++
			}
		}
		if now%100 == 0 {
			before, offers = offers, [2]float64{}
		}
		random.Shuffle(len(tries[now]), func(i, j int) { tries[now][i], tries[now][j] = tries[now][j], tries[now][i] })
		for _, x := range tries[now] {
			t[x.k].Tries++
			offers[x.k]++
			l := Load{Waiting: waiting / slots, Limit: 1.5}
			admitted := admit(&nodes[random.IntN(len(nodes))], x.k, Request{Priority: 1 - x.k, Caller: caller(x.caller + 3000*x.k)}, l, before, time.Duration(now)*step)
			switch {
			case admitted && l.Waiting < 4:
				waiting++
				continue
			case admitted:
				t[x.k].Rejected++
			}
			if x.n++; x.n < 3 {
				next := now + 20 + random.IntN(20)
				tries[next] = append(tries[next], x)
				continue
			}
			t[x.k].Failed++
			if e := 1 + now/400; epoch[x.k][x.caller] != e {
				epoch[x.k][x.caller] = e
				t[x.k].Callers++
			}
		}
		delete(tries, now)
	}
	return t
}

// Guards against tries that shared positions should save over an independent draw for each try.
func TestReplayDraws(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for _, load := range []float64{1.5, 2} {
		offered := func(k, _ int) float64 { return load * float64(1-k) }
		draws := replay(60, offered, func(p *Pool, _ int, _ Request, l Load, _ [2]float64, _ time.Duration) bool {
			_, refused := p.levels.refused(0, l.pressure(), 0)
			return random.Float64() >= refused
		})[0]
		positions := replay(60, offered, func(p *Pool, _ int, r Request, l Load, _ [2]float64, at time.Duration) bool {
			return p.Decide(r, l, at, start.Add(at)).Admit
		})[0]
		for name, x := range map[string]tally{"draws": draws, "positions": positions} {
			t.Logf("%.1f %s: %.2f tries per request, %.1f%% failed, %.0f callers per epoch, %.0f rejected", load, name, x.Tries/x.Requests, 100*x.Failed/x.Requests, x.Callers/15, x.Rejected)
		}
		require.Less(t, positions.Tries, 0.92*draws.Tries)
		require.Less(t, positions.Callers, 0.8*draws.Callers)
		require.InDelta(t, draws.Failed, positions.Failed, 0.02*draws.Requests)
	}
}

// Guards against an urgent level that suffers from a surge of the other or, in one of its own,
// less than weights of 3 to 1 give it.
func TestReplayBands(t *testing.T) {
	bands := func(p *Pool, _ int, r Request, l Load, _ [2]float64, at time.Duration) bool {
		p.SetLevels([]int{0, 1})
		return p.Decide(r, l, at, start.Add(at)).Admit
	}
	weights := func(_ *Pool, k int, r Request, l Load, offers [2]float64, at time.Duration) bool {
		// The part of both that is admitted is split 3 to 1 for level 1, what one leaves goes to the other.
		all := (offers[0] + offers[1]) * (1 - min(max(l.pressure()-1, 0), 1))
		urgent := min(offers[1], max(0.75*all, all-offers[0]))
		given := [2]float64{all - urgent, urgent}
		return position(r.Caller, start.Add(at)) >= 1-given[k]/max(offers[k], 1)
	}
	for name, surge := range map[string][2]float64{"less urgent x9": {0.5 * 9, 0.3}, "both x4": {2, 1.2}} {
		offered := func(k, second int) float64 {
			if second >= 10 && second < 30 {
				return surge[k]
			}
			return []float64{0.5, 0.3}[k]
		}
		strict, weighted := replay(40, offered, bands), replay(40, offered, weights)
		for way, x := range map[string][2]tally{"bands": strict, "weights": weighted} {
			for k := range x {
				t.Logf("%s, %s, level %d: %.3f served, %.2f tries, %.0f of %.0f tries rejected", name, way, k, 1-x[k].Failed/x[k].Requests, x[k].Tries/x[k].Requests, x[k].Rejected, x[k].Tries)
			}
		}
		require.LessOrEqual(t, strict[1].Failed, weighted[1].Failed)
	}
}
