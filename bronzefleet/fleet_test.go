package bronzefleet

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// sameOrders requires that the nodes agree on the owners of all slots.
func sameOrders(t *testing.T, nodes []*testNode) {
	t.Helper()
	for slot := range Slots {
		hash := uint64(slot) << slotShift
		want, _ := nodes[0].View().Order(hash)
		for _, p := range nodes[1:] {
			got, _ := p.View().Order(hash)
			require.Equal(t, want, got, p.Self.Name)
		}
	}
}

func TestSingleNodeIsReadyAfterJoinWait(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		p := n.add(testMember(0)).start()
		time.Sleep(DefaultJoinWait / 2)
		require.False(t, p.View().Ready)
		time.Sleep(DefaultJoinWait)
		require.True(t, p.View().Ready)
		require.Equal(t, p.Self.Name, p.View().Owner(0))
		require.False(t, p.View().Unsettled(0, time.Hour))
	})
}

// A balancer's VM dies. Callers whose flows it owned wait until the others have
// found out: its monitors get no answer, ask others, suspect it, and declare it
// dead when it doesn't refute. Until the time limit the fleet may be split, since
// nobody can tell a dead VM from one that is cut off.
func TestKilledNodeIsDeclaredDead(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		nodes := n.startAll(7)
		nodes[3].kill()
		time.Sleep(6 * time.Second)
		rest := slices.Concat(nodes[:3], nodes[4:])
		for _, p := range rest {
			require.NotContains(t, p.View().Members, nodes[3].Self.Name)
			require.True(t, p.View().Partitioned)
		}
		sameOrders(t, rest)
		time.Sleep(DefaultPartitionTimeout)
		require.False(t, rest[0].View().Partitioned)
	})
}

// A balancer's process dies while its VM goes on, so connections to it are
// refused. The first refusal makes its monitors ask others, who are refused too,
// and so it is declared dead sooner than one that is silent.
func TestCrashedNodeIsDeclaredDeadSooner(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		nodes := n.startAll(7)
		nodes[3].crash()
		took := awaitMembers(slices.Concat(nodes[:3], nodes[4:]), 6)
		t.Log("declared dead after", took)
		require.LessOrEqual(t, took, 3*time.Second)
	})
}

// One zone of four is cut off from the others. Most of the members that a node
// can no longer reach lie behind others on its rings, so it has to monitor more
// of them; both sides know who is cut off within the bound, in which flows that
// those own wait. The lists are the same again soon after the cut heals, without
// a member given up on the way, and neither takes more than a few kilobytes a
// second from any node.
func TestZoneIsCutOffAndComesBack(t *testing.T) {
	t.Parallel()
	const size = 82
	bubble(t, func(t *testing.T, n *network) {
		nodes := n.prime(size)
		time.Sleep(5 * time.Second)
		var zone, rest []*testNode
		for _, p := range nodes {
			if p.Self.AvailabilityZone == "riga-b" {
				zone = append(zone, p)
			} else {
				rest = append(rest, p)
			}
		}
		n.block(func(from, to bronzelink.Member) bool {
			return (from.AvailabilityZone == "riga-b") != (to.AvailabilityZone == "riga-b")
		})
		var detected, healed time.Duration
		cut := n.measure(nodes, time.Minute, func() {
			detected = awaitMembers(zone, len(zone))
			detected += awaitMembers(rest, len(rest))
			time.Sleep(time.Minute - detected)
		})
		died := n.counted(CountDied)
		for _, p := range nodes {
			p.seen()
		}
		n.block(nil)
		heal := n.measure(nodes, time.Minute, func() {
			healed = awaitMembers(nodes, size)
			time.Sleep(time.Minute - healed)
		})
		t.Logf("cut known after %v %+v, healed after %v %+v", detected, cut, healed, heal)
		require.LessOrEqual(t, detected, 30*time.Second)
		require.LessOrEqual(t, healed, 20*time.Second)
		require.LessOrEqual(t, cut.highest, 6<<10)
		require.LessOrEqual(t, heal.highest, 6<<10)
		require.Equal(t, died, n.counted(CountDied))
		for _, p := range nodes {
			requireNoFlap(t, p)
		}
	})
}

// A balancer leaves gracefully and nothing breaks: it tells its neighbours, is
// asked for the flows it owned while it stays, and is forgotten without ever
// being suspected.
func TestLeave(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		nodes := n.startAll(7)
		name := nodes[2].Self.Name
		require.NoError(t, nodes[2].Leave(t.Context()))
		time.Sleep(100 * time.Millisecond)
		v := nodes[5].View()
		require.Equal(t, bronzelink.Leaving, v.Members[name].Status)
		asked := false
		for slot := range Slots {
			hash := uint64(slot) << slotShift
			require.NotEqual(t, name, v.Owner(hash))
			names, _ := v.Previous(hash)
			asked = asked || v.Unsettled(hash, time.Second) && names[0] == name
		}
		require.True(t, asked)
		nodes[2].cancel()
		time.Sleep(5 * time.Second)
		require.NotContains(t, nodes[5].View().Members, name)
		require.False(t, nodes[5].View().Partitioned)
		require.Zero(t, n.counted(CountSuspected))
	})
}

// A zone is cut off for a minute. Each side declares the other dead and goes on,
// knowing that the fleet may be split. When the cut heals, all members are back
// within seconds, all nodes agree on the owners again, no live member is given
// up by anybody on the way, and all slots ask the former owners of both sides.
func TestPartitionAndHeal(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		nodes := n.startAll(8)
		n.block(func(from, to bronzelink.Member) bool {
			return (from.AvailabilityZone == "riga-a") != (to.AvailabilityZone == "riga-a")
		})
		time.Sleep(time.Minute)
		require.Len(t, nodes[0].View().Members, 2)
		require.Len(t, nodes[1].View().Members, 6)
		require.True(t, nodes[0].View().Partitioned)
		require.True(t, nodes[1].View().Partitioned)
		died := n.counted(CountDied)
		for _, p := range nodes {
			p.seen()
		}
		n.block(nil)
		time.Sleep(20 * time.Second)
		require.Equal(t, died, n.counted(CountDied))
		sameOrders(t, nodes)
		for _, p := range nodes {
			require.Len(t, p.View().Members, 8)
			require.False(t, p.View().Partitioned)
			require.True(t, p.View().Unsettled(1<<63, 25*time.Second))
			requireNoFlap(t, p)
		}
	})
}

// requireNoFlap requires that no member went away in the views of p.
func requireNoFlap(t *testing.T, p *testNode) {
	t.Helper()
	views := p.seen()
	for i := 1; i < len(views); i++ {
		for name := range views[i-1].Members {
			if _, ok := views[i].Members[name]; !ok {
				require.Fail(t, "member went away", "%s at %s", name, p.Self.Name)
			}
		}
	}
}

// An owner's VM is frozen for 20 seconds; the others declare it dead and own its
// slots. When it wakes, its lease is over before it looks at a packet; its first
// round fences it until a peer has told it that it was dead. It comes back
// under a new incarnation, and its own slots ask those that owned them meanwhile.
func TestPausedNodeIsFenced(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		nodes := n.startAll(7)
		p := nodes[4]
		p.pause()
		time.Sleep(20 * time.Second)
		require.NotContains(t, nodes[0].View().Members, p.Self.Name)
		require.True(t, time.Now().After(p.Lease()))
		p.seen()
		p.wake()
		time.Sleep(5 * time.Second)
		require.True(t, p.seen()[0].Fenced)
		require.False(t, p.View().Fenced)
		require.True(t, time.Now().Before(p.Lease()))
		require.Zero(t, p.counted(CountSuspected))
		require.Zero(t, p.counted(CountFenceUnanswered))
		sameOrders(t, nodes)
		for slot := range Slots {
			hash := uint64(slot) << slotShift
			if p.View().Owner(hash) == p.Self.Name {
				require.True(t, p.View().Unsettled(hash, 6*time.Second))
			}
		}
	})
}

// One monitor of a member no longer gets its answers, as when a link went silent
// one way. It asks others, who reach the member, so the member is not even
// suspected and keeps its flows.
func TestOneAccuserKillsNobody(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		nodes := n.startAll(7)
		watched := nodes[0].targets()[0].Name
		n.block(func(from, to bronzelink.Member) bool {
			return from.Name == watched && to.Name == nodes[0].Self.Name
		})
		time.Sleep(time.Minute)
		require.Positive(t, n.counted(CountReached))
		require.Zero(t, n.counted(CountDied))
		for _, p := range nodes {
			require.Contains(t, p.View().Members, watched)
		}
	})
}

// A node hears nobody, though its own messages arrive. It suspects everybody and
// says so; those that it names refute, and nobody else gives up a member.
func TestDeafNodeKillsNobody(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		nodes := n.startAll(7)
		deaf := nodes[6].Self.Name
		n.block(func(_, to bronzelink.Member) bool { return to.Name == deaf })
		time.Sleep(time.Minute)
		for _, p := range nodes[:6] {
			for _, o := range nodes[:6] {
				require.Contains(t, p.View().Members, o.Self.Name)
			}
		}
	})
}

// Two processes are started under one name by mistake. The second finds the
// first alive and waits, without owning anything; when the first is gone, it
// takes the name over. If the first stays, the second ends with ErrNameTaken.
func TestTwoProcessesUnderOneName(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		nodes := n.startAll(7)
		second := testMember(9)
		second.Name = nodes[1].Self.Name
		second.Incarnation += 1 << 40
		third := testMember(10)
		third.Name = nodes[2].Self.Name
		third.Incarnation += 1 << 40
		b, c := n.add(second), n.add(third)
		seeds := []bronzelink.Member{{ControlAddress: nodes[0].Self.ControlAddress}}
		b.Join(seeds)
		c.Join(seeds)
		b.start()
		c.start()
		time.Sleep(20 * time.Second)
		require.False(t, b.View().Ready)
		require.Positive(t, b.counted(CountNameTaken))
		require.Equal(t, nodes[1].Self.ControlAddress, nodes[0].View().Members[second.Name].ControlAddress)

		nodes[1].kill()
		time.Sleep(20 * time.Second)
		require.True(t, b.View().Ready)
		require.Equal(t, second.ControlAddress, nodes[0].View().Members[second.Name].ControlAddress)
		require.ErrorIs(t, <-c.result, ErrNameTaken)
	})
}

// A balancer starts while the platform lists a VM that is gone and lacks one that
// lives, and its peers have a newer configuration. It isn't ready, and nobody
// gives it flows, before it has the peers' list and their configuration.
func TestJoinWithColdPlatform(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		nodes := n.startAll(5)
		for _, p := range nodes {
			p.SetRevision(7)
		}
		p := n.add(testMember(5))
		behind := make(chan bronzelink.Member, 64)
		p.OnBehind = func(peer bronzelink.Member) { behind <- peer }
		gone, lives := testMember(77), testMember(3)
		p.SetVMs([]bronzeconf.VM{
			{Name: gone.Name, ControlAddress: gone.ControlAddress},
			{Name: lives.Name, ControlAddress: lives.ControlAddress},
		})
		p.start()
		<-behind
		require.False(t, p.View().Ready)
		require.Len(t, p.View().Members, 5)
		require.NotContains(t, nodes[0].View().Members, p.Self.Name)
		p.SetRevision(7)
		require.True(t, p.View().Ready)
		time.Sleep(time.Second)
		sameOrders(t, append(nodes, p))
	})
}
