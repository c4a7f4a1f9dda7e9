package bronzepool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeflow"
)

// newPools returns one pool of svc for each of several owners.
func newPools(svc *bronzeconf.Service, owners int) []*Pool {
	pools := make([]*Pool, owners)
	for i := range pools {
		pools[i] = &Pool{}
		pools[i].SetService(svc)
		pools[i].SetOwners(owners)
	}
	return pools
}

// place opens n flows, each at a random owner, and counts them by server.
func place(t *testing.T, pools []*Pool, rnd *rand.Rand, n int) map[bronzeflow.ServerID]int {
	placed := make(map[bronzeflow.ServerID]int)
	for range n {
		p := pools[rnd.IntN(len(pools))]
		id, _, ok := p.Choose(rnd.Uint64(), nil, false)
		require.True(t, ok)
		p.Opened(id)
		placed[id]++
	}
	return placed
}

// shareAll gives each owner the counts of the others.
func shareAll(pools []*Pool) {
	for i, from := range pools {
		owned := make(map[bronzeflow.ServerID]uint32)
		from.Owned(owned)
		for j, to := range pools {
			if i != j {
				to.SetOwned(fmt.Sprint(i), owned)
			}
		}
	}
}

func observeAll(pools []*Pool, r Report) {
	for _, p := range pools {
		p.Observe(r)
	}
}

// The report of one server is stale: it says idle, but the server has as many
// flows as the others. Seven owners read it at the same time, and no newer
// report comes while 700 flows are opened. If each owner sent its flows to the
// supposedly idle server, it would end up with eight times its load.
func TestStaleIdleReport(t *testing.T) {
	for _, shared := range []bool{true, false} {
		t.Run(fmt.Sprint("Shared", shared), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				svc := newService(14)
				pools := newPools(svc, 7)
				rnd := rand.New(rand.NewPCG(1, 2))
				place(t, pools, rnd, 1400)
				if shared {
					shareAll(pools)
				}
				for i, b := range svc.Pool {
					connections := 100
					if i == 5 {
						connections = 0
					}
					observeAll(pools, Report{Server: b.ID, Connections: connections, At: time.Now()})
				}
				placed := place(t, pools, rnd, 700)
				fair := 700 / len(svc.Pool)
				require.LessOrEqual(t, placed[svc.Pool[5].ID], 3*fair)
				for _, b := range svc.Pool {
					require.Greater(t, placed[b.ID], fair/4)
				}
			})
		})
	}
}

// A broken server reports no load and refuses every opening at once, faster than
// a healthy one serves. However long this lasts, callers must lose only a few
// attempts to it, and its reports must lose trust.
func TestServerReportsIdleAndRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := newService(4)
		broken := svc.Pool[1].ID
		var p Pool
		p.SetService(svc)
		rnd := rand.New(rand.NewPCG(3, 4))
		refused := 0
		for range 60_000 {
			time.Sleep(time.Millisecond)
			if time.Now().UnixMilli()%1000 == 0 {
				p.Observe(Report{Server: broken, At: time.Now()})
			}
			id, _, ok := p.Choose(rnd.Uint64(), nil, false)
			require.True(t, ok)
			if id == broken {
				refused++
				p.Refused(id, false)
				continue
			}
			p.Opened(id)
			p.Accepted(id, time.Millisecond)
			p.Ended(id)
		}
		require.LessOrEqual(t, refused, 20)
		load := p.Loads()[1]
		require.Less(t, load.Trust, minTrust)
		require.NotZero(t, load.Contradictions)

		// Once repaired, it is back with its first accepted trial.
		time.Sleep(2 * backoffMax)
		p.Accepted(broken, time.Millisecond)
		require.True(t, chooses(&p, rnd, broken))
	})
}

// chooses reports whether p now chooses the server id for any of 1000 random
// flows.
func chooses(p *Pool, rnd *rand.Rand, id bronzeflow.ServerID) bool {
	for range 1000 {
		if got, _, _ := p.Choose(rnd.Uint64(), nil, false); got == id {
			return true
		}
	}
	return false
}

// A server keeps reporting that all its connections are in use but accepts every
// flow. At first it gets only trials; as it accepts them, its reports lose trust
// and it gets its fair share again.
func TestServerReportsFullAndAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := newService(4)
		full := svc.Pool[2].ID
		var p Pool
		p.SetService(svc)
		rnd := rand.New(rand.NewPCG(5, 6))
		p.Observe(Report{Server: full, Connections: 2000, At: time.Now()})
		require.True(t, chooses(&p, rnd, full), "first trial")
		require.False(t, chooses(&p, rnd, full), "no flow until the next trial")
		for range 10 {
			time.Sleep(fullTrialInterval)
			if chooses(&p, rnd, full) {
				p.Accepted(full, time.Millisecond)
			}
			p.Observe(Report{Server: full, Connections: 2000, At: time.Now()})
		}
		require.Less(t, p.Loads()[2].Trust, minTrust)
		placed := place(t, []*Pool{&p}, rnd, 400)
		require.Greater(t, placed[full], 80)
	})
}

// One server never reports while all others do. The owners' counts must be
// enough to give it its fair share.
func TestServerWithoutReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := newService(4)
		pools := newPools(svc, 7)
		rnd := rand.New(rand.NewPCG(7, 8))
		totals := make(map[bronzeflow.ServerID]int)
		for range 100 {
			for id, n := range place(t, pools, rnd, 4) {
				totals[id] += n
			}
			shareAll(pools)
			for _, b := range svc.Pool[1:] {
				observeAll(pools, Report{Server: b.ID, Connections: totals[b.ID], At: time.Now()})
			}
			time.Sleep(time.Second)
		}
		for _, b := range svc.Pool {
			require.InDelta(t, 100, totals[b.ID], 6)
		}
	})
}

// A bad rollout marks every server of a pool as leaving at once, while the
// record still lists them as serving. New flows are refused at once, since a
// leaving server gets none. When the marks aren't renewed, they expire and flows
// are accepted again without intervention.
func TestWholePoolLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := newService(4)
		var p Pool
		p.SetService(svc)
		for i, b := range svc.Pool {
			if i%2 == 0 {
				p.Observe(Report{Server: b.ID, Leaving: true, At: time.Now()})
			} else {
				p.SetLeaving(b.ID, ReportedLeavingHold)
			}
		}
		for _, ignoreLoad := range []bool{true, false} {
			_, _, ok := p.Choose(42, nil, ignoreLoad)
			require.False(t, ok)
		}
		require.Len(t, p.Candidates(42, 4, nil), 4, "existing flows must still be found")

		// Neither a report without the flag nor a shorter hold ends the mark.
		time.Sleep(time.Second)
		p.Observe(Report{Server: svc.Pool[0].ID, At: time.Now()})
		p.SetLeaving(svc.Pool[1].ID, time.Second)
		_, _, ok := p.Choose(42, nil, false)
		require.False(t, ok)

		time.Sleep(ReportedLeavingHold)
		_, _, ok = p.Choose(42, nil, false)
		require.True(t, ok)
	})
}

// A third of the pool refuses flows until it has recovered. However the
// back-offs are spread, no caller may run out of retry budget, the refusing
// servers must get trials only, and they must return once they accept.
// Meanwhile the others carry more than a fair share of the whole pool; they must
// still share the load evenly among themselves.
func TestThirdOfPoolRefuses(t *testing.T) {
	for seed := range uint64(300) {
		jitter := rand.New(rand.NewPCG(seed, 21))
		testThirdOfPoolRefuses(t, jitter.Float64)
	}
	// The shortest back-offs lead to the most trials.
	testThirdOfPoolRefuses(t, func() float64 { return 0 })
}

func testThirdOfPoolRefuses(t *testing.T, jitter func() float64) {
	synctest.Test(t, func(t *testing.T) {
		svc := newService(18)
		refusing := make(map[bronzeflow.ServerID]bool)
		for i := 0; i < 18; i += 3 {
			refusing[svc.Pool[i].ID] = true
		}
		p := Pool{Jitter: jitter}
		p.SetService(svc)
		b := Budget{Share: 0.1}
		rnd := rand.New(rand.NewPCG(9, 10))
		givenUp := 0
		for range 1800 {
			time.Sleep(10 * time.Millisecond)
			b.CountOpen()
			var tried []bronzeflow.ServerID
			id, _, ok := p.Choose(rnd.Uint64(), tried, false)
			for ok && refusing[id] {
				p.Refused(id, false)
				if !b.TryRetry() {
					givenUp++
					break
				}
				tried = append(tried, id)
				id, _, ok = p.Choose(rnd.Uint64(), tried, false)
			}
			require.True(t, ok)
			p.Opened(id)
		}
		require.Zero(t, givenUp, "callers refused because the budget was used up")
		for _, l := range p.Loads() {
			if !refusing[l.Server] {
				require.InEpsilon(t, 150, l.Own, 0.06, "serving servers must share evenly")
			}
		}
		for _, b := range svc.Pool {
			if !refusing[b.ID] {
				continue
			}
			time.Sleep(2 * backoffMax)
			require.True(t, chooses(&p, rnd, b.ID), "no trial")
			p.Accepted(b.ID, time.Millisecond)
			require.True(t, chooses(&p, rnd, b.ID))
		}
	})
}

// Fifty openings are in flight to a server when it refuses flows for a moment,
// and all fifty are refused. The server recovers at once and must be back after
// the first step of the back-off.
func TestConcurrentRefusalsCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := newService(2)
		id := svc.Pool[0].ID
		var p Pool
		p.SetService(svc)
		rnd := rand.New(rand.NewPCG(19, 20))
		for range 50 {
			p.Refused(id, false)
		}
		require.False(t, chooses(&p, rnd, id))
		time.Sleep(2 * backoffBase)
		require.True(t, chooses(&p, rnd, id))

		// A failed trial counts as another failure.
		p.Refused(id, false)
		time.Sleep(backoffBase)
		require.False(t, chooses(&p, rnd, id))
	})
}

// A server joins a pool whose other servers hold long-lived flows, so it alone
// is under the bound. Its caches are cold: given all new flows at once, it would
// refuse them. Its share must grow gradually and never be most of the new flows.
func TestColdStartRamp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := newService(5)
		svc.Policy.ColdStart = 10 * time.Second
		before := *svc
		before.Pool = svc.Pool[:4]
		pools := newPools(&before, 1)
		rnd := rand.New(rand.NewPCG(11, 12))
		place(t, pools, rnd, 400)
		pools[0].SetService(svc)
		cold := svc.Pool[4].ID
		held := 0
		fair := 0.0
		for second := range 40 {
			got := place(t, pools, rnd, 40)[cold]
			held += got
			require.LessOrEqual(t, got, 20)
			fair = float64(400+40*(second+1)) / 5
			ramp := min(float64(second+1)/10, 1)
			require.LessOrEqual(t, float64(held), max(ramp*fair*1.06, ramp*fair+2))
			time.Sleep(time.Second)
		}
		require.InEpsilon(t, fair, held, 0.06)
	})
}

// A server restarts: its flows end at once, and it comes back as the same
// instance. All others hold long-lived flows and are now over the bound, as the
// mean has fallen. The server must not get all new flows: the cause of the
// restart may persist, and nearly all of them would be exceptions.
func TestRestartedServerFillRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := newService(14)
		pools := newPools(svc, 7)
		rnd := rand.New(rand.NewPCG(13, 14))
		place(t, pools, rnd, 1400)
		empty := svc.Pool[3].ID
		for _, p := range pools {
			owned := make(map[bronzeflow.ServerID]uint32)
			p.Owned(owned)
			for range owned[empty] {
				p.Ended(empty)
			}
		}
		held := 0
		for range 14 {
			shareAll(pools)
			got := place(t, pools, rnd, 70)[empty]
			require.LessOrEqual(t, got, 28)
			held += got
		}
		require.Greater(t, held, 70*3/2)
	})
}

// A partition separates a balancer from most of the pool. Every opening sent to
// an unreachable server costs its caller a timeout. Between trials, flows must
// go to servers that answer, also while load is ignored. When the partition
// heals, an accepted flow must bring each server back.
func TestSilentServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := newService(8)
		var p Pool
		p.SetService(svc)
		rnd := rand.New(rand.NewPCG(15, 16))
		cut := make(map[bronzeflow.ServerID]bool)
		for _, b := range svc.Pool[2:] {
			cut[b.ID] = true
		}
		timeouts := 0
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			if id, _, _ := p.Choose(rnd.Uint64(), nil, true); cut[id] {
				timeouts++
				p.Refused(id, true)
			}
		}
		require.LessOrEqual(t, timeouts, 6*6, "at most six in ten seconds per unreachable server")
		time.Sleep(2 * backoffMax)
		for id := range cut {
			p.Accepted(id, time.Millisecond)
			require.True(t, chooses(&p, rnd, id))
		}
	})
}

// The first candidate of a flow is over its bound. While the other servers are
// equally loaded, the owner chooses one in its own zone. When these have two
// flows more than the other zone's server, it chooses that one.
func TestChoosePrefersOwnZone(t *testing.T) {
	svc := newService(4)
	for i := range svc.Pool {
		svc.Pool[i].AvailabilityZone = fmt.Sprint("zone-", i%2)
	}
	full, other := svc.Pool[0].ID, svc.Pool[2].ID
	p := Pool{AvailabilityZone: "zone-1"}
	p.SetService(svc)
	hash := uint64(0)
	for p.Candidates(hash, 1, nil)[0] != full {
		hash++
	}
	loads := map[bronzeflow.ServerID]uint32{full: 150, svc.Pool[1].ID: 100, other: 100, svc.Pool[3].ID: 100}
	p.SetOwned("peer", loads)
	id, _, _ := p.Choose(hash, nil, false)
	require.Contains(t, []bronzeflow.ServerID{svc.Pool[1].ID, svc.Pool[3].ID}, id)

	loads[svc.Pool[1].ID], loads[svc.Pool[3].ID] = 102, 102
	p.SetOwned("peer", loads)
	id, _, _ = p.Choose(hash, nil, false)
	require.Equal(t, other, id)
}
