package bronzesteer

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
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
	frequentCaller = 999 // isn't one of these
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
	// fresh has callers of both routes open a flow for each request. callers is their number in
	// each zone, contestCallers if 0. justStarted nodes have no knowledge of anything.
	fresh       bool
	callers     int
	justStarted bool
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
	// results is by route and by zone of the caller, for requests from measureFrom on.
	results     [2][3]tally
	measureFrom time.Time
	discarded   tally
	// frequent is the result of frequentCaller.
	frequent tally
	// reasons counts the decisions on openings, flows holds all flows.
	reasons [ReasonCount]int
	flows   map[flowKey]*contestFlow
	// cutZone is the zone that is cut off from the others, if any. report changes the demand
	// that a node sends, if set; nil isn't sent.
	cutZone string
	report  func(node int, sums []Sum) []Sum
}

type contestServer struct {
	free     []time.Time // until when each slot is in use
	requests int
	slowdown float64 // the factor by which work takes longer
	flows    int     // opened there
	// A silent server answers nothing, one that rejects rejects everything at once.
	silent, rejects bool
}

// contestFlow is an open flow of a caller. unacknowledged is the size of the answer that the
// caller has not acknowledged yet, answers the number of answers.
type contestFlow struct {
	*client
	unacknowledged, answers int
	idleSince               time.Time
	// lost, if set, continues a request that has been lost once the flow is ended.
	lost  func()
	ended bool
}

// contestRequest is a request of a caller.
type contestRequest struct {
	route, zone int
	caller      netip.Addr
	since       time.Time
	tries       int
	tally       *tally
}

func newContest(t *testing.T, o contestOptions) *contest {
	c := &contest{
		simulation: newSimulation(newSite(t, o.servers[:]...)), contestOptions: o,
		backends: make(map[string]*contestServer), idle: make(map[netip.Addr][]*contestFlow),
		flows: make(map[flowKey]*contestFlow),
	}
	if o.callers == 0 {
		c.callers = contestCallers
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
		if n.start = c.now; !o.justStarted {
			n.start = c.now.Add(-time.Minute)
		}
		n.SetPeerCount(3*o.nodes - 1)
		c.sites = append(c.sites, &site{t: t, node: n})
	}
	for i, s := range c.sites {
		var peers []string
		for j, other := range c.sites {
			if i != j && s.node.AvailabilityZone == other.node.AvailabilityZone {
				peers = append(peers, other.node.Name)
			}
		}
		s.node.SetLivePeers(peers)
		s.node.SetZoneNodes(map[string]int{"a": o.nodes, "b": o.nodes, "c": o.nodes})
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
	c.askAs(route, zone, perSecond, from, until, func() int { return c.rnd.IntN(c.callers) })
}

// askAs adds requests of the drawn callers of a zone.
func (c *contest) askAs(route, zone int, perSecond float64, from, until time.Duration, draw func() int) {
	for at := from; perSecond > 0; {
		at += time.Duration(c.rnd.ExpFloat64() / perSecond * float64(time.Second))
		if at >= until {
			return
		}
		n := draw()
		r := &contestRequest{route: route, zone: zone, tally: &c.discarded, caller: netip.AddrFrom4([4]byte{100, byte(64 + zone), byte(n >> 8), byte(n)})}
		c.after(at, func() {
			if r.since = c.now; !c.now.Before(c.measureFrom) {
				if r.tally = &c.results[route][zone]; n == frequentCaller {
					r.tally = &c.frequent
				}
			}
			r.tally.asked++
			c.try(r)
		})
	}
}

// total returns the sum of the results.
func (c *contest) total() (sum tally) {
	for _, byZone := range c.results {
		sum.add(byZone[:]...)
	}
	return sum
}

func (sum *tally) add(list ...tally) {
	for _, t := range list {
		sum.asked, sum.inTime, sum.late, sum.failed = sum.asked+t.asked, sum.inTime+t.inTime, sum.late+t.late, sum.failed+t.failed
		sum.tries, sum.arrivals, sum.rejected, sum.refused = sum.tries+t.tries, sum.arrivals+t.arrivals, sum.rejected+t.rejected, sum.refused+t.refused
	}
}

// run simulates until all requests have been served or have failed. Each node sends its loads,
// reports and demand to three others twice per second, for d.
func (c *contest) run(d time.Duration) {
	for i, s := range c.sites {
		for at := time.Duration(c.rnd.IntN(100)) * time.Millisecond; at < d; at += 100 * time.Millisecond {
			c.after(at, func() {
				ended := s.node.Sweep(c.now)
				slices.SortFunc(ended, func(a, b EndedFlow) int { return cmp.Compare(a.Packet.Key.Hash(), b.Packet.Key.Hash()) })
				for _, e := range ended {
					c.flows[e.Packet.Key].end()
				}
			})
		}
		for at := time.Duration(c.rnd.IntN(500)) * time.Millisecond; at < d; at += loadInterval {
			c.after(at, func() {
				sums, reports := s.node.Demand(c.now), s.node.Reports(false, c.now)
				if c.report != nil {
					sums = c.report(i, sums)
				}
				for range gossipFanout {
					to := c.sites[c.rnd.IntN(len(c.sites))]
					if to == s || c.isCut(to.node.AvailabilityZone, s.node.AvailabilityZone) {
						continue
					}
					to.node.SetLoads(s.node.Name, s.node.Loads(), c.now)
					to.node.SetDemand(s.node.Name, s.node.AvailabilityZone, sums, c.now)
					to.node.MergeReports(reports, c.now)
				}
			})
		}
	}
	c.finish()
}

// try sends a request for the first time or again.
func (c *contest) try(r *contestRequest) {
	if r.tries == contestTries {
		r.tally.failed++
		return
	}
	r.tries++
	r.tally.tries++
	flows := c.idle[r.caller]
	if n := len(flows); n > 0 && r.tries == 1 && r.route == 0 && !c.fresh && !flows[n-1].ended && c.now.Sub(flows[n-1].idleSince) < callerIdleTimeout {
		c.idle[r.caller] = flows[:n-1]
		c.request(r, flows[n-1])
		return
	}
	c.port = max(c.port+1, 1024)
	s := c.sites[r.zone*c.nodes+c.rnd.IntN(c.nodes)]
	s.now = c.now
	key := bronzeflow.NewKey(bronzeflow.TCP, netip.AddrPortFrom(r.caller, c.port), contestRoutes[r.route].Service)
	f := &contestFlow{client: &client{site: s, packet: Packet{Key: key, Open: true, Sequence: 100}}}
	d := f.send()
	c.reasons[d.Reason]++
	if d.Kind != Forward {
		c.refused(r)
		return
	}
	c.flows[key] = f
	c.backends[f.server.Instance].flows++
	c.open(r, f, 0)
}

// retransmitDelays are the times between transmissions, after the last of which callers give up.
var retransmitDelays = [...]time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// open has the server accept an opening, or the caller send it again.
func (c *contest) open(r *contestRequest, f *contestFlow, sent int) {
	if c.reaches(f) {
		c.after(3*time.Millisecond, func() {
			f.site.now = c.now
			f.accept()
			c.request(r, f)
		})
		return
	}
	c.after(retransmitDelays[sent], func() {
		f.site.now = c.now
		switch {
		case sent == len(retransmitDelays)-1:
			c.try(r)
		case f.retransmit().Kind == End:
			c.refused(r)
		default:
			c.open(r, f, sent+1)
		}
	})
}

// isCut reports whether packets between two zones are lost.
func (c *contest) isCut(zone, other string) bool {
	return zone != other && (zone == c.cutZone || other == c.cutZone)
}

// reaches reports whether the flow's server answers.
func (c *contest) reaches(f *contestFlow) bool {
	return !c.backends[f.server.Instance].silent && !c.isCut(f.site.node.AvailabilityZone, f.server.AvailabilityZone)
}

// end ends the flow.
func (f *contestFlow) end() {
	f.ended = true
	if lost := f.lost; lost != nil {
		f.lost = nil
		lost()
	}
}

// lose has the caller send a lost request again until it gives up or its flow is ended.
func (c *contest) lose(r *contestRequest, f *contestFlow, sent int) {
	f.lost = func() { c.refused(r) }
	c.after(retransmitDelays[sent], func() {
		if f.lost == nil {
			return
		}
		f.lost = nil
		f.site.now = c.now
		switch {
		case sent == len(retransmitDelays)-1:
			c.try(r)
		case f.retransmitRequest().Kind == End:
			c.refused(r)
		default:
			c.serve(r, f, sent+1)
		}
	})
}

func (c *contest) refused(r *contestRequest) {
	r.tally.refused++
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
	c.serve(r, f, 0)
}

// serve has the server process a request that was sent as often, reject it, or never receive it.
func (c *contest) serve(r *contestRequest, f *contestFlow, sent int) {
	if !c.reaches(f) {
		c.lose(r, f, sent)
		return
	}
	t, s := r.tally, c.backends[f.server.Instance]
	t.arrivals++
	first, start := c.firstFree(s.free)
	if s.rejects || s.requests == len(s.free)+contestQueue {
		t.rejected++
		if s.rejects || !c.lateRejections {
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
		if !c.reaches(f) {
			c.lose(r, f, sent)
			return
		}
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
