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

// The number of requests allowed to a cold server in any second is excess times its limit,
// plus slack.
const (
	excess = 1.5
	slack  = 5
)

// warmupFleet is a fleet of nodes, each with callers of its own, whose servers restart.
// Nodes share nothing but records and names.
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
	// starts counts the starts of servers. Each start has its own name.
	starts int
	// sent holds the times of the openings that each server got while cold.
	sent map[string][]time.Time
	// names holds the names of the servers' last starts, coldUntil the end of each start's
	// cold time.
	names     map[int]string
	coldUntil map[string]time.Time
	// opened counts the callers' openings, refused those refused with ServersCold.
	opened, refused int
}

// warmupNode is a node with the names of its peers.
type warmupNode struct {
	*Steerer
	name string
	zone int
	// knownPeers holds the nodes of its zone that the node has learned of. An isolated node
	// learns of no more nodes, one with a staleView sees no more records.
	knownPeers map[string]bool
	isolated   bool
	staleView  bool
}

const warmupFor = 2 * time.Second

// newWarmupFleet returns a fleet of long-running nodes that all know each other. Nodes and
// servers are distributed over the zones.
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

// start registers a new start of a server that is cold for the given time.
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

// publish updates the views of all nodes, except those with a staleView.
func (f *warmupFleet) publish() {
	v := f.directory.View()
	for _, n := range f.nodes {
		if !n.staleView {
			n.SetView(v)
		}
	}
}

// join adds a node that knows no peers.
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

// learn records another node, and reports whether it is a new one in the zone.
func (n *warmupNode) learn(other *warmupNode) (added bool) {
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
	// The node may be the only one in its zone, but know of those in others.
	n.SetZonePeers(names, !n.isolated || len(names) > 0, now)
}

// gossip has each node learn of some others.
func (f *warmupFleet) gossip(names int) {
	for _, n := range f.nodes {
		added := false
		for range names {
			other := f.nodes[f.random.IntN(len(f.nodes))]
			added = !n.isolated && !other.isolated && n.learn(other) || added
		}
		if added {
			n.updatePeers(f.now)
		}
	}
}

// open sends one caller's opening to a node.
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
	// Some callers retransmit at once, as if the server were silent.
	p.Retransmits = 1
	f.count(n.Decide(&p, f.now))
}

// count records where an opening was sent.
func (f *warmupFleet) count(d Decision) {
	if d.Kind == Forward && f.isCold(d.Server.Instance) {
		f.sent[d.Server.Instance] = append(f.sent[d.Server.Instance], f.now)
	}
}

// isCold reports whether the server is actually cold.
func (f *warmupFleet) isCold(name string) bool { return f.now.Before(f.coldUntil[name]) }

// peakRate returns the most openings that any server got within a second while cold.
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

// requireWithinLimit checks that no server got more than is allowed.
func (f *warmupFleet) requireWithinLimit() {
	require.LessOrEqual(f.t, float64(f.peakRate()), excess*f.perSecond+slack)
}

// restart restarts each server with a probability of part quarters.
func (f *warmupFleet) restart(servers, part int) {
	for i := range servers {
		if f.random.IntN(4) < part {
			f.start(i, warmupFor)
		}
	}
	f.publish()
}

// Servers restart in bulk while callers arrive, nodes are isolated from their peers and
// partly from the store, new nodes join and learn the others' names gradually, and zones
// are drained and undrained. No cold server may get more requests from all nodes together
// than is allowed in any second, though nodes don't know each other's rates.
func TestWarmupRateLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		nodes := rapid.SampledFrom([]int{3, 9, 84, 295, 490}).Draw(r, "Nodes")
		zones := rapid.IntRange(1, 4).Draw(r, "Zones")
		servers := rapid.IntRange(1, 12).Draw(r, "Servers")
		perSecond := float64(rapid.IntRange(1, 40).Draw(r, "PerSecond"))
		f := newWarmupFleet(r, nodes, min(zones, nodes), servers, perSecond, rapid.Uint64().Draw(r, "Seed"))
		isolated := rapid.IntRange(0, nodes/3).Draw(r, "CutOff")
		for i := range isolated {
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

// injectEvent disturbs the fleet at certain steps.
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

// All servers have restarted, and callers exceed what cold servers can take. Most of the
// limit must be used, and the rest is refused at once.
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

// A node that knows no peers' names, because it has just started or is isolated, can't know
// its share of a cold server's limit. It must send nothing there: its callers are refused,
// or served by warm servers.
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

// Without a configured limit, cold servers get flows from all nodes, only fewer than warm
// ones.
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
