package bronzesteer

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzeroute"
)

const (
	// contestWork is the mean work of a request.
	contestWork    = 47 * time.Millisecond
	contestCallers = 400 // in each zone
	contestQueue   = 8
	contestTries   = 3
	// callerIdleTimeout is how long callers keep an idle flow open, ackDelay how late they
	// acknowledge an answer of a single packet of up to onePacket bytes.
	callerIdleTimeout = 12 * time.Second
	ackDelay          = 40 * time.Millisecond
	onePacket         = 1460
	rejectionBytes    = 175
)

// contestRoutes are the routes that compete for a pool. Callers of the first, the less urgent
// one, keep their flows open; those of the second open a flow for each request.
var contestRoutes = [2]bronzeroute.Route{
	{Name: "live", Service: live, Idempotent: true, Priority: 2, Objective: 500 * time.Millisecond},
	{Name: "outline", Service: outline, Priority: 1, Objective: 600 * time.Millisecond},
}

// contestOptions are the nodes and servers of a contest.
type contestOptions struct {
	nodes   int    // in each zone
	servers [3]int // by zone
	// lateRejections has servers send a rejection only when a slot becomes free.
	lateRejections bool
}

// tally counts what became of requests and of their tries.
type tally struct {
	asked, inTime, late, failed        int
	tries, arrivals, rejected, refused int
}

// contest simulates several nodes before servers that process two requests at a time, queue
// eight and reject the rest. A caller sends a request on an idle flow of its own if it has
// one, and retries on a new flow through any node of its zone.
type contest struct {
	simulation
	contestOptions
	sites    []*site // one for each node, by zone
	backends map[string]*contestServer
	idle     map[netip.Addr][]*contestFlow
	// results is by route and by zone of the caller.
	results [2][3]tally
}

type contestServer struct {
	free     []time.Time // until when each slot is in use
	requests int
	slowdown float64 // the factor by which work takes longer
}

// contestFlow is an open flow of a caller. unacknowledged is the size of the answer that the
// caller has not acknowledged yet, answers the number of answers.
type contestFlow struct {
	*client
	unacknowledged, answers int
	idleSince               time.Time
}

// contestRequest is a request of a caller.
type contestRequest struct {
	route, zone int
	caller      netip.Addr
	since       time.Time
	tries       int
}

func newContest(t *testing.T, o contestOptions) *contest {
	c := &contest{
		simulation: newSimulation(newSite(t, o.servers[:]...)), contestOptions: o,
		backends: make(map[string]*contestServer), idle: make(map[netip.Addr][]*contestFlow),
	}
	table := &bronzeroute.Table{Version: 2}
	for _, r := range contestRoutes {
		r.Pools = []bronzeroute.WeightedPool{{Pool: "live", Weight: 1}}
		table.Routes = append(table.Routes, r)
	}
	c.directory.SetTable(table, c.now)
	v := c.directory.View()
	for i := range 3 * o.nodes {
		n := &Steerer{
			AvailabilityZone: string(rune('a' + i/o.nodes)), Region: "r", Regions: map[string]string{"a": "r", "b": "r", "c": "r"},
			Name: fmt.Sprint("n", i), Node: uint32(i), Random: c.rnd.IntN,
		}
		n.SetView(v)
		n.start = c.now.Add(-time.Minute)
		n.SetPeerCount(3*o.nodes - 1)
		c.sites = append(c.sites, &site{t: t, node: n})
	}
	for _, s := range v.Servers {
		c.backends[s.Instance] = &contestServer{free: make([]time.Time, s.Slots), slowdown: 1}
	}
	return c
}

// capacity returns the requests per second that all servers can process if none is slow.
func (c *contest) capacity() float64 { return float64(2*len(c.backends)) / contestWork.Seconds() }

// ask adds requests of a zone's callers at a rate.
func (c *contest) ask(route, zone int, perSecond float64, from, until time.Duration) {
	for at := from; ; {
		at += time.Duration(c.rnd.ExpFloat64() / perSecond * float64(time.Second))
		if at >= until {
			return
		}
		n := c.rnd.IntN(contestCallers)
		r := &contestRequest{route: route, zone: zone, caller: netip.AddrFrom4([4]byte{100, byte(64 + zone), byte(n >> 8), byte(n)})}
		c.after(at, func() {
			r.since = c.now
			c.tally(r).asked++
			c.try(r)
		})
	}
}

func (c *contest) tally(r *contestRequest) *tally { return &c.results[r.route][r.zone] }

// total returns the sum of the results.
func (c *contest) total() (sum tally) {
	for _, byZone := range c.results {
		for _, t := range byZone {
			sum.asked, sum.inTime, sum.late, sum.failed = sum.asked+t.asked, sum.inTime+t.inTime, sum.late+t.late, sum.failed+t.failed
			sum.tries, sum.arrivals, sum.rejected, sum.refused = sum.tries+t.tries, sum.arrivals+t.arrivals, sum.rejected+t.rejected, sum.refused+t.refused
		}
	}
	return sum
}

// run simulates until all requests have been served or have failed. Each node sends its loads
// to three others twice per second, for d.
func (c *contest) run(d time.Duration) {
	for _, s := range c.sites {
		for at := time.Duration(c.rnd.IntN(100)) * time.Millisecond; at < d; at += 100 * time.Millisecond {
			c.after(at, func() { s.node.Sweep(c.now) })
		}
		for at := time.Duration(c.rnd.IntN(500)) * time.Millisecond; at < d; at += loadInterval {
			c.after(at, func() {
				for range gossipFanout {
					if to := c.sites[c.rnd.IntN(len(c.sites))]; to != s {
						to.node.SetLoads(s.node.Name, s.node.Loads(), c.now)
					}
				}
			})
		}
	}
	c.finish()
}

// try sends a request for the first time or again.
func (c *contest) try(r *contestRequest) {
	t := c.tally(r)
	if r.tries == contestTries {
		t.failed++
		return
	}
	r.tries++
	t.tries++
	flows := c.idle[r.caller]
	if n := len(flows); n > 0 && r.tries == 1 && r.route == 0 && c.now.Sub(flows[n-1].idleSince) < callerIdleTimeout {
		c.idle[r.caller] = flows[:n-1]
		c.request(r, flows[n-1])
		return
	}
	c.port = max(c.port+1, 1024)
	s := c.sites[r.zone*c.nodes+c.rnd.IntN(c.nodes)]
	s.now = c.now
	key := bronzeflow.NewKey(bronzeflow.TCP, netip.AddrPortFrom(r.caller, c.port), contestRoutes[r.route].Service)
	f := &contestFlow{client: &client{site: s, packet: Packet{Key: key, Open: true, Sequence: 100}}}
	if f.send().Kind != Forward {
		c.refused(r)
		return
	}
	c.after(3*time.Millisecond, func() {
		s.now = c.now
		f.accept()
		c.request(r, f)
	})
}

func (c *contest) refused(r *contestRequest) {
	c.tally(r).refused++
	c.after(5*time.Millisecond, func() { c.try(r) })
}

// request sends a request on an open flow to the flow's server.
func (c *contest) request(r *contestRequest, f *contestFlow) {
	f.site.now = c.now
	f.takeAnswer()
	if f.client.request().Kind != Forward {
		c.refused(r)
		return
	}
	t, s := c.tally(r), c.backends[f.server.Instance]
	t.arrivals++
	first, start := c.firstFree(s.free)
	if s.requests == len(s.free)+contestQueue {
		t.rejected++
		if !c.lateRejections {
			start = c.now
		}
		c.after(start.Sub(c.now), func() {
			c.answer(r, f, rejectionBytes)
			c.after(5*time.Millisecond, func() { c.try(r) })
		})
		return
	}
	s.requests++
	s.free[first] = start.Add(time.Duration(c.work() * s.slowdown * float64(time.Second)))
	c.after(s.free[first].Sub(c.now), func() {
		s.requests--
		if c.now.Sub(r.since) <= contestRoutes[r.route].Objective {
			t.inTime++
		} else {
			t.late++
		}
		c.answer(r, f, 500+c.rnd.IntN(2000))
	})
}

// work draws the seconds of work of a request: log-normal, and seven times as long for 3%.
func (c *contest) work() float64 {
	const sigma = 0.47
	work := contestWork.Seconds() / (0.97 + 0.03*7) * math.Exp(sigma*c.rnd.NormFloat64()-sigma*sigma/2)
	if c.rnd.IntN(100) < 3 {
		work *= 7
	}
	return work
}

// answer delivers an answer to the caller, whose flow is idle from then on.
func (c *contest) answer(r *contestRequest, f *contestFlow, bytes int) {
	f.unacknowledged = bytes
	f.answers++
	n, late := f.answers, ackDelay
	if bytes > onePacket {
		late = 0
	}
	c.after(late, func() {
		if f.answers == n && f.unacknowledged > 0 {
			f.site.now = c.now
			f.takeAnswer()
			f.send()
		}
	})
	if r.route == 0 {
		f.idleSince = c.now
		c.idle[r.caller] = append(c.idle[r.caller], f)
	}
}

// takeAnswer has the caller's next packet acknowledge the last answer.
func (f *contestFlow) takeAnswer() {
	if f.unacknowledged > 0 {
		f.packet.Sequence += uint32(f.packet.Length)
		f.packet.Length = 0
		f.packet.Acknowledged += uint32(f.unacknowledged)
		f.unacknowledged = 0
	}
}

// Guards against requests or tries that are counted twice or not at all, and against decisions
// that depend on the order of a map: bounds on the results of a run would be meaningless.
func TestContestAccounts(t *testing.T) {
	for _, late := range []bool{false, true} {
		var results [2][2][3]tally
		for i := range results {
			c := newContest(t, contestOptions{nodes: 4, servers: [3]int{4, 3, 2}, lateRejections: late})
			c.backends["a-1"].slowdown = 3
			c.ask(0, 0, 0.9*c.capacity(), 0, 2*time.Second)
			c.ask(0, 1, 0.6*c.capacity(), time.Second, 2*time.Second)
			c.ask(1, 2, 0.2*c.capacity(), 0, 2*time.Second)
			c.run(2 * time.Second)
			for _, byZone := range c.results {
				for _, z := range byZone {
					require.Equal(t, z.asked, z.inTime+z.late+z.failed)
					require.Equal(t, z.tries, z.arrivals+z.refused)
					require.Equal(t, z.arrivals, z.inTime+z.late+z.rejected)
				}
			}
			require.NotZero(t, c.total().rejected)
			for _, s := range c.backends {
				require.Zero(t, s.requests)
			}
			results[i] = c.results
		}
		require.Equal(t, results[0], results[1])
	}
}
