package bronzesteer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzeroute"
)

// What the users allow a cold server in excess of what it bears, in any second.
const (
	excess = 1.5
	slack  = 5
)

// warming is a fleet whose servers start, each node with callers of its own. Nothing but
// their records and names is known to several nodes.
type warmupFleet struct {
	t         require.TestingT
	directory bronzeroute.Directory
	random    *rand.Rand
	zones     []string
	nodes     []*warmupNode
	now       time.Time
	port      uint16
	caller    int
	perSecond float64
	// starts counts the starts of servers. Each has a name of its own.
	starts int
	// sent are the openings that each server got while it was cold.
	sent map[string][]time.Time
	// names are those of the servers' last starts, coldUntil until when each is cold.
	names     map[int]string
	coldUntil map[string]time.Time
	// asked and refused count the openings of callers, and those refused as servers are cold.
	opened, refused int
}

// warmingNode is a node with the names that it knows.
type warmupNode struct {
	*Steerer
	name string
	zone int
	// knows are the nodes of its zone that it has heard of. Isolated says that it hears no
	// more of them, blind that it sees no more records.
	knownPeers map[string]bool
	isolated   bool
	staleView  bool
}

const warmupFor = 2 * time.Second

// newWarming returns a fleet of nodes and servers that are spread over the zones, all of
// which have been there for long and know each other.
func newWarmupFleet(t require.TestingT, nodes, zones, servers int, perSecond float64, seed uint64) *warmupFleet {
	f := &warmupFleet{
		t: t, random: rand.New(rand.NewPCG(seed, 2)), now: begin, port: 1024, perSecond: perSecond,
		sent: make(map[string][]time.Time), names: make(map[int]string), coldUntil: make(map[string]time.Time),
	}
	table := &bronzeroute.Table{
		Version: 1,
		Routes:  []bronzeroute.Route{{Name: "live", Service: live, Pools: []bronzeroute.WeightedPool{{Pool: "live", Weight: 1}}}},
		Warmups: map[string]bronzeroute.Warmup{"live": {Duration: warmupFor, RequestsPerSecond: perSecond}},
	}
	f.directory.SetTable(table, f.now)
	for i := range zones {
		f.zones = append(f.zones, string(rune('a'+i)))
	}
	for i := range servers {
		f.start(i, 0)
	}
	for i := range nodes {
		f.join(fmt.Sprintf("node-%d", i), i%zones)
	}
	for _, n := range f.nodes {
		for _, other := range f.nodes {
			n.learn(other)
		}
		n.updatePeers(f.now)
		n.start = f.now.Add(-time.Hour)
		n.zonePeers.addedAt = 0
	}
	return f
}

// start registers a server, cold for some time.
func (f *warmupFleet) start(i int, cold time.Duration) {
	zone := f.zones[i%len(f.zones)]
	f.starts++
	name := fmt.Sprintf("server-%d-%d", i, f.starts)
	f.end(f.names[i])
	f.names[i], f.coldUntil[name] = name, f.now.Add(cold)
	f.directory.Register(bronzeroute.Server{
		BackendServer: bronzeconf.BackendServer{
			ID: bronzeflow.NewServerID("live", name), Instance: name, AvailabilityZone: zone, Slots: 2,
		},
		Pool: "live", RegisteredRevision: uint64(i), WarmupLeft: cold, ReceivedAt: f.now,
	})
}

// end has a server leave.
func (f *warmupFleet) end(name string) {
	if f.directory.View() == nil || f.directory.View().ByName(name) == nil {
		return
	}
	left := *f.directory.View().ByName(name)
	left.Draining = true
	f.directory.Register(left)
	f.directory.Unregister(name, f.now)
}

// publish has all nodes but those that are blind see the records.
func (f *warmupFleet) publish() {
	v := f.directory.View()
	for _, n := range f.nodes {
		if !n.staleView {
			n.SetView(v)
		}
	}
}

// join adds a node that knows nobody.
func (f *warmupFleet) join(name string, zone int) *warmupNode {
	regions := make(map[string]string)
	for _, z := range f.zones {
		regions[z] = "r"
	}
	n := &warmupNode{
		Steerer: &Steerer{AvailabilityZone: f.zones[zone], Region: "r", Regions: regions, Name: name, Random: f.random.IntN},
		name:    name, zone: zone, knownPeers: make(map[string]bool),
	}
	n.SetView(f.directory.View())
	n.start = f.now
	f.nodes = append(f.nodes, n)
	return n
}

// hear notes another node, and reports whether it is a new one of the zone.
func (n *warmupNode) learn(other *warmupNode) (news bool) {
	if other == n || other.zone != n.zone || n.knownPeers[other.name] {
		return false
	}
	n.knownPeers[other.name] = true
	return true
}

func (n *warmupNode) updatePeers(now time.Time) {
	names := make([]string, 0, len(n.knownPeers))
	for name := range n.knownPeers {
		names = append(names, name)
	}
	// Of one zone, the node may be the only one: it hears those of others.
	n.SetZonePeers(names, !n.isolated || len(names) > 0, now)
}

// gossip has each node hear of some others, as messages bring their names.
func (f *warmupFleet) gossip(names int) {
	for _, n := range f.nodes {
		news := false
		for range names {
			other := f.nodes[f.random.IntN(len(f.nodes))]
			news = !n.isolated && !other.isolated && n.learn(other) || news
		}
		if news {
			n.updatePeers(f.now)
		}
	}
}

// ask sends one caller's opening to a node.
func (f *warmupFleet) open(n *warmupNode) {
	f.caller++
	caller := callerAddr(f.caller)
	p := Packet{Key: bronzeflow.NewKey(bronzeflow.TCP, caller, live), Open: true, Bytes: []byte("opening")}
	f.opened++
	d := n.Decide(&p, f.now)
	if d.Kind == End && d.Reason == ServersCold {
		f.refused++
	}
	f.count(d)
	if f.random.IntN(4) > 0 {
		return
	}
	// Some callers repeat themselves at once, as if the server was silent.
	p.Retransmits = 1
	f.count(n.Decide(&p, f.now))
}

// count notes where an opening went.
func (f *warmupFleet) count(d Decision) {
	if d.Kind == Forward && f.isCold(d.Server.Instance) {
		f.sent[d.Server.Instance] = append(f.sent[d.Server.Instance], f.now)
	}
}

// isCold reports whether the server is cold in truth, whatever nodes believe.
func (f *warmupFleet) isCold(name string) bool { return f.now.Before(f.coldUntil[name]) }

// busiest returns the most openings that any server got in a second while cold.
func (f *warmupFleet) peakRate() (most int) {
	for _, at := range f.sent {
		first := 0
		for i := range at {
			for at[i].Sub(at[first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// requireKept checks that no server got more than it is allowed.
func (f *warmupFleet) requireWithinLimit() {
	require.LessOrEqual(f.t, float64(f.peakRate()), excess*f.perSecond+slack)
}

// restart has a part of the servers start again, those of one zone or of all.
func (f *warmupFleet) restart(servers, part int) {
	for i := range servers {
		if f.random.IntN(4) < part {
			f.start(i, warmupFor)
		}
	}
	f.publish()
}

// Servers start again in herds, at the worst time: callers press, nodes are cut off from
// all others, or from the store too, new ones join and hear the names of the rest little by little, zones are
// drained and taken back. No cold server gets more requests in any second than it is
// allowed, of all nodes together, though no node knows what the others send.
func TestWarmupRateLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		nodes := rapid.SampledFrom([]int{3, 9, 84, 295, 490}).Draw(r, "Nodes")
		zones := rapid.IntRange(1, 4).Draw(r, "Zones")
		servers := rapid.IntRange(1, 12).Draw(r, "Servers")
		perSecond := float64(rapid.IntRange(1, 40).Draw(r, "PerSecond"))
		f := newWarmupFleet(r, nodes, min(zones, nodes), servers, perSecond, rapid.Uint64().Draw(r, "Seed"))
		cut := rapid.IntRange(0, nodes/3).Draw(r, "CutOff")
		for i := range cut {
			f.nodes[i].isolated, f.nodes[i].staleView = true, i%2 == 0
		}
		joins := rapid.IntRange(0, nodes/8+1).Draw(r, "Joins")
		f.restart(servers, rapid.IntRange(1, 4).Draw(r, "Part"))
		for step := range 40 {
			f.now = f.now.Add(time.Duration(20+f.random.IntN(60)) * time.Millisecond)
			f.injectEvent(r, step, servers, joins)
			for range 60 {
				f.open(f.nodes[f.random.IntN(len(f.nodes))])
			}
		}
		f.requireWithinLimit()
	})
}

// disturb has something happen at some steps.
func (f *warmupFleet) injectEvent(r *rapid.T, step, servers, joins int) {
	switch {
	case step%20 == 10:
		f.restart(servers, 4)
	case step == 15:
		for i := range joins {
			f.join(fmt.Sprintf("new-%d", i), i%len(f.zones))
		}
	case step%20 == 5:
		f.directory.DrainZone(f.zones[0])
		f.publish()
	case step%20 == 8:
		f.directory.UndrainZone(f.zones[0], f.now)
		f.publish()
	case step == 33 && rapid.Bool().Draw(r, "Pause"):
		f.nodes[0].Paused(f.now)
	}
	f.gossip(4)
}

// All servers of a service have started again, and callers ask for much more than they
// bear. What they bear is used well, and the rest is refused at once.
func TestWarmupUtilization(t *testing.T) {
	for _, c := range []struct {
		nodes     int
		perSecond float64
	}{{3, 1}, {3, 40}, {9, 10}, {84, 1}, {84, 40}, {295, 10}, {490, 1}, {490, 40}} {
		const servers = 30
		f := newWarmupFleet(t, c.nodes, 3, servers, c.perSecond, 7)
		f.restart(servers, 4)
		const step = 20 * time.Millisecond
		for passed := time.Duration(0); passed < warmupFor; passed += step {
			for _, n := range f.nodes {
				for range max(1, servers/c.nodes) {
					f.open(n)
				}
			}
			f.now = f.now.Add(step)
		}
		total := 0
		for _, at := range f.sent {
			total += len(at)
		}
		used := float64(total) / (c.perSecond * warmupFor.Seconds() * servers)
		t.Logf("%d nodes, %v a second: %.2f used, busiest second %d of %v", c.nodes, c.perSecond, used, f.peakRate(), excess*c.perSecond+slack)
		require.Greater(t, used, 0.6)
		f.requireWithinLimit()
	}
}

// A node that has just started, or that has heard of nobody though it was told whom to
// join, doesn't know how many others send to a cold server. It sends nothing there: its
// callers are refused, or go to servers that are warm.
func TestWarmupUnknownPeers(t *testing.T) {
	f := newWarmupFleet(t, 3, 1, 2, 10, 1)
	f.restart(2, 4)
	n := f.join("new", 0)
	n.isolated = true
	n.updatePeers(f.now)
	f.now = f.now.Add(time.Second)
	f.open(n)
	require.Equal(t, f.opened, f.refused)

	f.directory.Register(bronzeroute.Server{
		BackendServer: bronzeconf.BackendServer{
			ID: bronzeflow.NewServerID("live", "warm"), Instance: "warm", AvailabilityZone: "a", Slots: 2,
		},
		Pool: "live", RegisteredRevision: 99,
	})
	f.publish()
	f.refused = 0
	f.open(n)
	require.Zero(t, f.refused)
}

// The configuration tells no limit. Servers are slow after a start all the same: they get
// flows from all nodes, half as many as others.
func TestWarmupNoLimit(t *testing.T) {
	f := newWarmupFleet(t, 3, 1, 2, 0, 1)
	f.restart(2, 4)
	for range 20 {
		f.open(f.nodes[2])
	}
	require.Zero(t, f.refused)
}

// callerAddr returns the address of the n-th caller.
func callerAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), uint16(1024+n>>16))
}
