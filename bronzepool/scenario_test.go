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

// newPools returns the pools of several owners of one service.
func newPools(svc *bronzeconf.Service, owners int) []*Pool {
	pools := make([]*Pool, owners)
	for i := range pools {
		pools[i] = &Pool{}
		pools[i].SetService(svc)
		pools[i].SetOwners(owners)
	}
	return pools
}

// place opens n flows, each at an owner of its own, and counts them by server.
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

// shareAll tells each owner what the others have.
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

// One server's report says that it is idle, and it is old: the server has as
// many flows as the others. Seven owners read it at the same moment, and no
// news comes while 700 callers arrive. If each owner sent its callers to the
// idle server, it would end with eight times its load.
func TestOwnersDoNotHerdOnStaleReport(t *testing.T) {
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

// A broken server reports no load at all and refuses every opening at once,
// faster than a healthy one serves. Callers must not lose more than a few
// attempts to it, however long it goes on, and its reports must lose trust.
func TestServerThatReportsIdleAndRefuses(t *testing.T) {
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

		// Mended, it is back with its first accepted trial.
		time.Sleep(2 * backoffMax)
		p.Accepted(broken, time.Millisecond)
		require.True(t, chooses(&p, rnd, broken))
	})
}

// chooses reports whether p chooses the server id now for some flow.
func chooses(p *Pool, rnd *rand.Rand, id bronzeflow.ServerID) bool {
	for range 1000 {
		if got, _, _ := p.Choose(rnd.Uint64(), nil, false); got == id {
			return true
		}
	}
	return false
}

// A server's endpoint says for ever that all its connections are in use, but
// it accepts whatever comes. At first it is spared; the trials that it
// accepts show that the figure is wrong, and it gets its share again.
func TestServerThatReportsFullAndAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := newService(4)
		full := svc.Pool[2].ID
		var p Pool
		p.SetService(svc)
		rnd := rand.New(rand.NewPCG(5, 6))
		p.Observe(Report{Server: full, Connections: 2000, At: time.Now()})
		require.True(t, chooses(&p, rnd, full), "one trial")
		require.False(t, chooses(&p, rnd, full), "spared until the next trial")
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

// All servers report but one, whose endpoint never answers. Its callers must
// see no difference: the owners' own counts are enough to spread fairly.
func TestServerThatReportsNothing(t *testing.T) {
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

// A bad roll-out tells every server of a pool to leave at once, while the
// record still lists them as serving. New callers are refused early, since a
// server that leaves gets no new work; when nobody repeats the claim they
// are served again without anybody's help.
func TestWholePoolLeavesAtOnce(t *testing.T) {
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
		for _, plain := range []bool{true, false} {
			_, _, ok := p.Choose(42, nil, plain)
			require.False(t, ok)
		}
		require.Len(t, p.Candidates(42, 4, nil), 4, "running flows are still found")

		// A report to the contrary doesn't bring new work back.
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

// A third of the pool sheds load: it refuses until it has recovered. Every
// caller must find a server with few attempts, the servers that shed must
// be left alone but for trials, and come back when they accept, however the
// back-offs happen to be spread. Meanwhile the
// others carry more than a fair share of the whole pool; they must still be
// held to a fair share of what there is.
func TestThirdOfPoolSheds(t *testing.T) {
	for seed := range uint64(300) {
		jitter := rand.New(rand.NewPCG(seed, 21))
		thirdOfPoolSheds(t, jitter.Float64)
	}
	// The shortest back-offs of all bring the most trials.
	thirdOfPoolSheds(t, func() float64 { return 0 })
}

func thirdOfPoolSheds(t *testing.T, jitter func() float64) {
	synctest.Test(t, func(t *testing.T) {
		svc := newService(18)
		sheds := make(map[bronzeflow.ServerID]bool)
		for i := 0; i < 18; i += 3 {
			sheds[svc.Pool[i].ID] = true
		}
		p := Pool{Jitter: jitter}
		p.SetService(svc)
		b := Budget{Share: 0.1}
		rnd := rand.New(rand.NewPCG(9, 10))
		given := 0
		for range 1800 {
			time.Sleep(10 * time.Millisecond)
			b.CountOpen()
			var tried []bronzeflow.ServerID
			id, _, ok := p.Choose(rnd.Uint64(), tried, false)
			for ok && sheds[id] {
				p.Refused(id, false)
				if !b.TryRetry() {
					given++
					break
				}
				tried = append(tried, id)
				id, _, ok = p.Choose(rnd.Uint64(), tried, false)
			}
			require.True(t, ok)
			p.Opened(id)
		}
		require.Zero(t, given, "callers refused for the budget")
		for _, l := range p.Loads() {
			if !sheds[l.Server] {
				require.InEpsilon(t, 150, l.Own, 0.06, "those that serve share alike")
			}
		}
		for _, b := range svc.Pool {
			if !sheds[b.ID] {
				continue
			}
			time.Sleep(2 * backoffMax)
			require.True(t, chooses(&p, rnd, b.ID), "a trial")
			p.Accepted(b.ID, time.Millisecond)
			require.True(t, chooses(&p, rnd, b.ID))
		}
	})
}

// Fifty callers are on their way to a server when it sheds load for a moment:
// all fifty are refused within a millisecond. The server is well again at
// once, and must be back after the first step of the back-off.
func TestOneIncidentIsOneFailure(t *testing.T) {
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

		// A trial that fails is another failure.
		p.Refused(id, false)
		time.Sleep(backoffBase)
		require.False(t, chooses(&p, rnd, id))
	})
}

// A server joins a pool whose others hold long flows, so it alone is under
// the bound. Its caches are cold: given all new callers at once it would
// refuse them. It must get a growing share, and never most of them.
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
// instance. All others hold long flows and are over the bound now, as the
// mean has fallen. It must not get all new callers: what ended its flows may
// not be over, and every one of them would be an exception.
func TestEmptiedServerIsFilledSlowly(t *testing.T) {
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

// A partition cuts a zone's balancers off from most of the pool. The servers
// behind the cut don't answer, and every opening that goes there costs its
// caller a timeout. After one timeout for each, callers must go to servers
// that answer, also while owners choose whatever the load; when the
// partition heals, a trial brings each server back.
func TestSilentServersArePassedOver(t *testing.T) {
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
		require.LessOrEqual(t, timeouts, 6*6, "at most six in ten seconds for each server")
		time.Sleep(2 * backoffMax)
		for id := range cut {
			p.Accepted(id, time.Millisecond)
			require.True(t, chooses(&p, rnd, id))
		}
	})
}

// A flow's first candidate is over its bound and the others are loaded alike:
// its owner takes one in its own zone. When those have two flows more than
// the rest, the caller gets the better served one in the other zone.
func TestOwnZoneFirstAmongEquals(t *testing.T) {
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
