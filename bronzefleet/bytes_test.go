package bronzefleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

const (
	// frameBytes is the overhead of TLS and WebSocket on one message: a
	// record's header, type and tag, and a frame's header and mask.
	frameBytes = 22 + 8
	// replaceInterval is the time between replacements: 1,800 a day.
	replaceInterval = 48 * time.Second
	// sharedServers is the number of servers whose load each node shares.
	sharedServers = 18
)

// membersOnly is NewView without the orders, which at 490 nodes in one process
// take more memory than the membership.
func membersOnly(self string, members []bronzelink.Member, prev *View, _ time.Time) *View {
	v := &View{Version: 1, Self: self, Members: map[string]bronzelink.Member{}}
	if prev != nil {
		v.Version = prev.Version + 1
	}
	for _, m := range members {
		if m.Status < bronzelink.Dead {
			v.Members[m.Name] = m
		}
	}
	return v
}

// startJoined starts size nodes that know each other from the beginning.
func (n *network) startJoined(size int) []*testNode {
	var nodes []*testNode
	for i := range size {
		nodes = append(nodes, n.add(testMember(i)))
	}
	for _, p := range nodes {
		p.newView = membersOnly
		p.do(func(now time.Time) {
			for _, o := range nodes {
				if o != p {
					m := o.Self
					m.Status = bronzelink.Alive
					p.entries[m.Name] = &entry{m: m, statusSince: now, lastHeard: now}
				}
			}
			p.completeJoin(now)
		})
		p.start()
	}
	return nodes
}

// shareLoads makes each node share its load once a second for d.
func shareLoads(nodes []*testNode, d time.Duration) {
	for round := range int(d / time.Second) {
		for i, p := range nodes {
			p.Share(testLoad(i, round))
		}
		time.Sleep(time.Second)
	}
	synctest.Wait()
}

// testLoad returns a load whose counts all change with each round.
func testLoad(node, round int) (l bronzelink.Load) {
	for s := range sharedServers {
		l.Owned = append(l.Owned, bronzelink.LoadItem{
			Server: bronzeflow.ServerID(1<<63 + uint64(s)),
			Count:  uint32(100 + (node+round+s)%50),
		})
	}
	l.Reported = []bronzelink.LoadItem{{Server: 1, Count: uint32(round)}}
	return l
}

// traffic is the mean number of bytes that one node sends and receives per
// second, and the highest number that any node sends.
type traffic struct{ sent, received, highest int }

// measure returns the traffic of the nodes while run runs for d.
func (n *network) measure(nodes []*testNode, d time.Duration, run func()) (t traffic) {
	n.mu.Lock()
	for _, p := range nodes {
		p.sent, p.received = 0, 0
	}
	n.mu.Unlock()
	run()
	n.mu.Lock()
	defer n.mu.Unlock()
	seconds := int(d / time.Second)
	for _, p := range nodes {
		t.sent += p.sent / seconds
		t.received += p.received / seconds
		t.highest = max(t.highest, p.sent/seconds)
	}
	t.sent /= len(nodes)
	t.received /= len(nodes)
	return t
}

// known returns the share of ordered pairs of nodes in which one has the other's
// load, and the mean age of these loads in rounds of one second, after the given
// number of rounds.
func known(nodes []*testNode, rounds int) (share, age float64) {
	pairs := 0
	for _, p := range nodes {
		for _, o := range nodes {
			if o == p {
				continue
			}
			pairs++
			if round, ok := p.loads[o.Self.Name]; ok {
				share++
				age += float64(rounds - round)
			}
		}
	}
	return share / float64(pairs), age / share
}

// replaceOne kills a node and starts a new one that joins.
func (n *network) replaceOne(nodes []*testNode, i int) {
	nodes[i].kill()
	p := n.add(testMember(len(n.nodes)))
	p.newView = membersOnly
	p.Join([]bronzelink.Member{nodes[(i+1)%len(nodes)].Self})
	nodes[i] = p.start()
}

// A BackendServer begins to drain, which only the balancer that polls it knows
// from the server. The others open new flows there until they know too, which
// must not take longer than three seconds, though the byte budget of 40 balancers
// is enough for only one Load of each in eight seconds.
func TestLeavingServerLatency(t *testing.T) {
	t.Parallel()
	runInBubble(t, func(t *testing.T, n *network) {
		nodes := n.startJoined(40)
		known := 0 // guarded by n.mu
		for _, p := range nodes {
			p.OnLoad = func(l *bronzelink.Load) {
				n.mu.Lock()
				defer n.mu.Unlock()
				known += len(l.Leaving)
			}
		}
		shareLoads(nodes, 30*time.Second)
		nodes[5].Share(testLoad(5, 30))
		ownSent := func() time.Time {
			nodes[5].load.mu.Lock()
			defer nodes[5].load.mu.Unlock()
			return nodes[5].load.ownSent
		}
		for time.Since(ownSent()) > 200*time.Millisecond {
			time.Sleep(100 * time.Millisecond)
		}
		load := testLoad(5, 31)
		load.Leaving = []bronzeflow.ServerID{1 << 63}
		nodes[5].Share(load)
		time.Sleep(3 * time.Second)
		n.mu.Lock()
		defer n.mu.Unlock()
		require.Equal(t, len(nodes)-1, known)
	})
}

func TestBytesPerNode(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		size     int
		duration time.Duration
		steady   int // bounds in bytes sent a second by the highest node
		replaced int
		share    float64 // of pairs that know the other's load
		age      float64 // bound on its mean age in seconds
	}{
		{7, 48 * time.Second, 4 << 10, 4 << 10, 1, 2},
		{40, 48 * time.Second, 4 << 10, 4 << 10, 1, 8},
		{82, 48 * time.Second, 4 << 10, 4 << 10, 1, 16},
		// At this size an origin sends a Load every 107 s, longer than the test.
		{490, 48 * time.Second, 4 << 10, 4 << 10, 0.7, 48},
	} {
		if testing.Short() && c.size > 82 {
			continue
		}
		runInBubble(t, func(t *testing.T, n *network) {
			nodes := n.startJoined(c.size)
			shareLoads(nodes, 4*time.Second)
			steady := n.measure(nodes, c.duration, func() { shareLoads(nodes, c.duration) })
			share, age := known(nodes, int(c.duration/time.Second))
			require.Zero(t, n.counted(CountSuspected))
			rest := nodes[1:]
			replaced := n.measure(rest, replaceInterval, func() {
				n.replaceOne(nodes, 0)
				shareLoads(nodes, replaceInterval)
			})
			t.Logf("%d nodes: steady %+v, with one replaced %+v, loads known %.2f, %.1f s old, lists exchanged %d",
				c.size, steady, replaced, share, age, n.counted(CountSynced))
			require.LessOrEqual(t, steady.highest, c.steady)
			require.LessOrEqual(t, replaced.highest, c.replaced)
			require.GreaterOrEqual(t, share, c.share)
			require.LessOrEqual(t, age, c.age)
			for _, p := range nodes {
				require.Len(t, p.View().Members, c.size)
			}
		})
	}
}
