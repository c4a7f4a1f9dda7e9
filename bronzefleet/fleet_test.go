package bronzefleet

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// requireSameOrders requires that the nodes agree on the orders of all slots.
func requireSameOrders(t *testing.T, nodes []*testNode) {
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

func TestJoinSingleNode(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *network) {
		p := n.add(testMember(0)).start()
		time.Sleep(DefaultJoinWait / 2)
		require.False(t, p.View().Ready)
		time.Sleep(DefaultJoinWait)
		require.True(t, p.View().Ready)
		require.Equal(t, p.Self.Name, p.View().Owner(0))
		require.False(t, p.View().Unsettled(0, time.Hour))
	})
}

// The VM of a balancer dies. Callers whose flows it owned wait until the others
// have detected that: its monitors get no answer, ask other members to check it,
// suspect it, and declare it dead when it doesn't refute. For PartitionTimeout
// the fleet counts as partitioned, since a dead VM can't be told from one that is
// unreachable.
func TestKilledNode(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *network) {
		nodes := n.startAll(7)
		nodes[3].kill()
		time.Sleep(6 * time.Second)
		rest := slices.Concat(nodes[:3], nodes[4:])
		for _, p := range rest {
			require.NotContains(t, p.View().Members, nodes[3].Self.Name)
			require.True(t, p.View().Partitioned)
		}
		requireSameOrders(t, rest)
		time.Sleep(DefaultPartitionTimeout)
		require.False(t, rest[0].View().Partitioned)
	})
}

// The process of a balancer dies while its VM keeps running, so connections to
// it are refused. The first refusal makes its monitors ask other members, which
// are refused too, so it is declared dead sooner than a silent one.
func TestCrashedNode(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *network) {
		nodes := n.startAll(7)
		nodes[3].crash()
		took := awaitMembers(slices.Concat(nodes[:3], nodes[4:]), 6)
		t.Log("declared dead after", took)
		require.LessOrEqual(t, took, 3*time.Second)
	})
}

// One zone of four is partitioned from the others. Most of the members that a
// node can no longer reach come after others on its rings, so it has to monitor
// more of them. Both sides detect within the bound which members are
// unreachable; until then the flows that those own wait. Soon after the
// partition heals the member lists are the same again, without a member declared
// dead meanwhile. In both phases no node sends more than a few kilobytes per
// second.
func TestPartitionTraffic(t *testing.T) {
	t.Parallel()
	const size = 82
	runInBubble(t, func(t *testing.T, n *network) {
		nodes := n.startJoined(size)
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
			p.takeViews()
		}
		n.block(nil)
		heal := n.measure(nodes, time.Minute, func() {
			healed = awaitMembers(nodes, size)
			time.Sleep(time.Minute - healed)
		})
		t.Logf("partition detected after %v %+v, healed after %v %+v", detected, cut, healed, heal)
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

// A balancer leaves gracefully: it tells its neighbours, is named as the previous
// owner of its slots while it is leaving, and is removed without being suspected.
func TestLeave(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *network) {
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

// A zone is partitioned from the others for a minute. Each side declares the
// other dead and continues, with views marked as partitioned. After the partition
// heals, all members are back within seconds, all nodes agree on the owners, no
// node declares a live member dead meanwhile, and all slots are unsettled, so
// that the previous owners on both sides are asked.
func TestPartitionAndHeal(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *network) {
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
			p.takeViews()
		}
		n.block(nil)
		time.Sleep(20 * time.Second)
		require.Equal(t, died, n.counted(CountDied))
		requireSameOrders(t, nodes)
		for _, p := range nodes {
			require.Len(t, p.View().Members, 8)
			require.False(t, p.View().Partitioned)
			require.True(t, p.View().Unsettled(1<<63, 25*time.Second))
			requireNoFlap(t, p)
		}
	})
}

// requireNoFlap requires that no member disappeared from one view of p to the
// next.
func requireNoFlap(t *testing.T, p *testNode) {
	t.Helper()
	views := p.takeViews()
	for i := 1; i < len(views); i++ {
		for name := range views[i-1].Members {
			if _, ok := views[i].Members[name]; !ok {
				require.Fail(t, "member disappeared", "%s from a view of %s", name, p.Self.Name)
			}
		}
	}
}

// The VM of an owner is paused for 20 seconds; the others declare it dead and
// take over its slots. When it resumes, its lease has expired before it handles a
// packet, and its first tick fences it until a peer has told it that it was dead.
// It returns under a new incarnation, and its own slots are unsettled, so that
// their owners during the pause are asked.
func TestPausedNode(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *network) {
		nodes := n.startAll(7)
		p := nodes[4]
		p.pause()
		time.Sleep(20 * time.Second)
		require.NotContains(t, nodes[0].View().Members, p.Self.Name)
		require.True(t, time.Now().After(p.Lease()))
		p.takeViews()
		p.wake()
		time.Sleep(5 * time.Second)
		require.True(t, p.takeViews()[0].Fenced)
		require.False(t, p.View().Fenced)
		require.True(t, time.Now().Before(p.Lease()))
		require.Zero(t, p.counted(CountSuspected))
		require.Zero(t, p.counted(CountFenceUnanswered))
		requireSameOrders(t, nodes)
		for slot := range Slots {
			hash := uint64(slot) << slotShift
			if p.View().Owner(hash) == p.Self.Name {
				require.True(t, p.View().Unsettled(hash, 6*time.Second))
			}
		}
	})
}

// One monitor of a member no longer receives its answers, as when a link fails in
// one direction. It asks other members, which reach the member, so the member
// isn't declared dead and keeps its flows.
func TestOneWayLinkFailure(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *network) {
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

// A node receives nothing, though its own messages arrive. It suspects all other
// members and spreads that; they refute, and no other node declares one dead.
func TestNodeWithoutInboundMessages(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *network) {
		nodes := n.startAll(7)
		isolated := nodes[6].Self.Name
		n.block(func(_, to bronzelink.Member) bool { return to.Name == isolated })
		time.Sleep(time.Minute)
		for _, p := range nodes[:6] {
			for _, o := range nodes[:6] {
				require.Contains(t, p.View().Members, o.Self.Name)
			}
		}
	})
}

// Two processes are started under one name by mistake. The second finds the
// first alive and waits without owning slots; when the first is gone, it takes
// over the name. If the first stays, the second ends with ErrNameTaken.
func TestJoinNameTaken(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *network) {
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

// A balancer starts while the platform's list contains a VM that is gone and
// lacks some that are alive, and its peers have a newer configuration. It isn't
// ready, and the others don't know it as a member, before it has the peers' list
// and their configuration.
func TestJoinOutdatedVMList(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *network) {
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
		requireSameOrders(t, append(nodes, p))
	})
}
