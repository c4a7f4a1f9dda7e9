package bronzecore_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// runSeeds runs a scenario for several seeds, each in its own synctest bubble.
func runSeeds(t *testing.T, nodes, servers int, scenario func(w *world)) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, seed, nodes, servers)
				scenario(w)
				w.requireInvariants()
			})
		})
	}
}

func (w *world) openMany(n int) {
	for range n {
		w.open()
	}
}

// Every packet of a flow may enter by a different node, which relays it to the
// owner until it has learned the flow's server. No flow ends.
func TestFlowPinnedAcrossNodes(t *testing.T) {
	runSeeds(t, 7, 5, func(w *world) {
		w.openMany(30)
		w.run(3 * time.Second)
		w.requireProgress(make([]int, len(w.flows)))
	})
}

// The owner dies after a caller has sent its opening, and the retransmission
// reaches the new owner. The acceptance of the first opening may still arrive.
// The flow opens at one server, without a refusal.
func TestOwnerDiesDuringOpening(t *testing.T) {
	runSeeds(t, 5, 5, func(w *world) {
		f := w.open()
		f.sentAt = time.Now().Add(-retransmit)
		w.step(f)
		w.kill(w.ownerOf(f))
		w.run(100 * time.Millisecond)
		w.setViews(w.names())
		w.run(3 * time.Second)
		w.requireProgress([]int{0})
	})
}

// The owner of established flows dies. Packets of flows that the other nodes
// have not learned reach a new owner, which looks in its copies, queries the
// other nodes and finally probes the servers. No flow ends.
func TestOwnerDiesDuringFlow(t *testing.T) {
	runSeeds(t, 5, 6, func(w *world) {
		w.openMany(40)
		w.run(600 * time.Millisecond)
		before := w.answeredCounts()
		w.kill(w.ownerOf(w.flows[0]))
		w.run(500 * time.Millisecond)
		w.setViews(w.names())
		w.run(3 * time.Second)
		w.requireProgress(before)
	})
}

// The owner dies together with the successor that held its copies. What the
// other nodes have learned and the servers' answers to probes suffice to recover
// the flows.
func TestOwnerAndSuccessorDie(t *testing.T) {
	runSeeds(t, 5, 6, func(w *world) {
		w.openMany(40)
		w.run(600 * time.Millisecond)
		before := w.answeredCounts()
		order, _ := w.nodes[w.names()[0]].view.Order(w.flows[0].key.Hash())
		w.kill(order[0], order[1])
		w.run(500 * time.Millisecond)
		w.setViews(w.names())
		w.run(4 * time.Second)
		w.requireProgress(before)
	})
}

// The owner is paused and declared dead, and its flows are taken over. It
// resumes, fenced, with its old entries while callers' packets enter by it
// immediately. Callers see at most a retransmission, and no flow moves.
func TestOwnerResumesAfterPause(t *testing.T) {
	runSeeds(t, 5, 6, func(w *world) {
		w.openMany(40)
		w.run(time.Second)
		owner := w.ownerOf(w.flows[0])
		w.nodes[owner].paused = true
		others := slices.DeleteFunc(w.names(), func(n string) bool { return n == owner })
		w.run(300 * time.Millisecond)
		w.setViews(others)
		w.openMany(5)
		w.run(4 * time.Second)
		before := w.answeredCounts()
		n := w.nodes[owner]
		n.paused = false
		fenced := *n.view
		fenced.Fenced = true
		n.SetView(&fenced)
		w.run(300 * time.Millisecond)
		w.setViews(w.names(), func(v *bronzefleet.View) { v.Fenced = false })
		w.run(4 * time.Second)
		w.requireProgress(before)
	})
}

// The owner of a flow dies before any other node has learned the flow. The new
// owner probes the servers, and the answer of the one that knows the flow enters
// by another node. That node must relay the answer and not learn from it,
// otherwise the owner never gets it and ends the flow seconds later.
func TestProbeAnswerRelayedToOwner(t *testing.T) {
	runSeeds(t, 3, 4, func(w *world) {
		f := w.openIdle()
		w.kill(w.ownerOf(f))
		w.setViews(w.names())
		owner := w.ownerOf(f)
		f.entryNodes = []string{owner}
		f.replyNodes = slices.DeleteFunc(w.names(), func(n string) bool { return n == owner })
		f.idle = false
		w.run(5 * time.Second)
		w.requireProgress([]int{0})
	})
}

// In a fleet too large to query every node, one node has learned a flow whose
// owner dies. The answer to the new owner's probe enters by just that node, which
// forwards it to the caller. All other servers deny the flow; the new owner
// pins it to the remaining one and doesn't end it.
func TestProbeAnswerForwardedToCaller(t *testing.T) {
	runSeeds(t, 18, 4, func(w *world) {
		f := w.open()
		order, _ := w.nodes["vm-0"].view.Order(f.key.Hash())
		others := slices.DeleteFunc(w.names(), func(n string) bool { return slices.Contains(order[:], n) })
		f.entryNodes, f.replyNodes = order[:1], others[len(others)-1:]
		w.run(time.Second)
		w.kill(order[0])
		w.setViews(w.names())
		after, _ := w.nodes["vm-0"].view.Order(f.key.Hash())
		require.NotContains(w.t, after, f.replyNodes[0], "the node that learned the flow would be queried")
		before := w.answeredCounts()
		f.entryNodes = others[:1]
		w.run(5 * time.Second)
		w.requireProgress(before)
	})
}

// In a partition, nodes notice within seconds of each other that a flow's owner
// is on the other side. The next node in order probes the servers, but all
// answers enter by a node that still relays them to that owner and are lost. That
// node notices half a second later. The caller retransmits for five seconds; the
// probes must be repeated meanwhile, or the flow ends although its ends can reach
// each other.
func TestProbesRepeatedOnRetransmission(t *testing.T) {
	runSeeds(t, 5, 4, func(w *world) {
		f := w.openIdle()
		gone := w.ownerOf(f)
		w.kill(gone)
		members := viewMembers(append(w.names(), gone))
		members[len(members)-1].Status = bronzelink.Suspect
		suspect := func(name string) {
			n := w.nodes[name]
			n.view = bronzefleet.NewView(name, members, n.view, time.Now())
			n.SetView(n.view)
		}
		order, _ := w.nodes[w.names()[0]].view.Order(f.key.Hash())
		late := slices.IndexFunc(w.names(), func(n string) bool { return !slices.Contains(order[:2], n) })
		back := w.names()[late]
		for _, name := range w.names() {
			if name != back {
				suspect(name)
			}
		}
		f.entryNodes, f.replyNodes = []string{order[1]}, []string{back}
		f.idle = false
		w.run(500 * time.Millisecond)
		suspect(back)
		w.run(2 * time.Second)
		w.requireProgress([]int{0})
	})
}

// The owner of flows that no other node has learned is dead, but so far only
// suspected. Callers would give up before it is confirmed dead, so the next node
// in order recovers their servers meanwhile.
func TestSuspectOwnerRecovery(t *testing.T) {
	runSeeds(t, 4, 4, func(w *world) {
		w.openMany(20)
		for _, f := range w.flows {
			f.idle = true
		}
		w.run(500 * time.Millisecond)
		gone := w.ownerOf(w.flows[0])
		w.kill(gone)
		for _, f := range w.flows {
			f.idle = false
		}
		members := viewMembers(append(w.names(), gone))
		members[len(members)-1].Status = bronzelink.Suspect
		for _, name := range w.names() {
			n := w.nodes[name]
			n.view = bronzefleet.NewView(name, members, n.view, time.Now())
			n.SetView(n.view)
		}
		w.run(2 * time.Second)
		w.requireProgress(make([]int, len(w.flows)))
	})
}

// The fleet is partitioned, each side has taken over the other's flows, and the
// fabric delivers packets of one flow to both sides. Established flows continue
// through both sides at their server. Payload of flows opened during the
// partition may not reach two servers, even if the sides choose differently.
func TestPartitionPacketsOnBothSides(t *testing.T) {
	runSeeds(t, 6, 6, func(w *world) {
		w.openMany(30)
		w.run(time.Second)
		before := w.answeredCounts()
		side := map[string]bool{"vm-0": true, "vm-1": true, "vm-2": true}
		w.cut = func(from, to string) bool {
			_, a := w.nodes[from]
			_, b := w.nodes[to]
			return a && b && side[from] != side[to]
		}
		w.run(500 * time.Millisecond)
		partitioned := func(v *bronzefleet.View) { v.Partitioned = true }
		w.setViews([]string{"vm-0", "vm-1", "vm-2"}, partitioned)
		w.setViews([]string{"vm-3", "vm-4", "vm-5"}, partitioned)
		w.run(3 * time.Second)
		w.requireProgress(before)
		w.openMany(30)
		w.run(3 * time.Second)
	})
}

// During a partition one side can't reach the flows' first candidate and opens
// the flows at other servers. Callers have taken the other side's acceptance;
// their packets through this side are dropped by their echo and not run.
func TestPartitionSidesChooseDifferently(t *testing.T) {
	runSeeds(t, 4, 3, func(w *world) {
		side := map[string]bool{"vm-0": true, "vm-1": true}
		w.cut = func(from, to string) bool {
			_, a := w.nodes[from]
			_, b := w.nodes[to]
			cutHost := to == "host-0" && !side[from] || from == "host-0" && !side[to]
			return a && b && side[from] != side[to] || cutHost
		}
		partitioned := func(v *bronzefleet.View) { v.Partitioned = true }
		w.setViews([]string{"vm-0", "vm-1"}, partitioned)
		w.setViews([]string{"vm-2", "vm-3"}, partitioned)
		w.openMany(20)
		w.run(6 * time.Second)
	})
}

// A server's drain is published during a partition, so that only one side knows
// of it, and then the partition heals. No established flow ends, and the draining
// server gets no new flows once both sides know.
func TestPartitionHealsDuringDrain(t *testing.T) {
	runSeeds(t, 6, 6, func(w *world) {
		w.openMany(30)
		w.run(time.Second)
		before := w.answeredCounts()
		left, right := []string{"vm-0", "vm-1", "vm-2"}, []string{"vm-3", "vm-4", "vm-5"}
		w.cut = func(from, to string) bool {
			_, a := w.nodes[from]
			_, b := w.nodes[to]
			return a && b && slices.Contains(left, from) != slices.Contains(left, to)
		}
		w.setViews(left)
		w.setViews(right)
		w.drain(0, left...)
		w.run(2 * time.Second)
		w.cut = func(string, string) bool { return false }
		w.publish()
		w.setViews(w.names())
		leaving := w.servers[bronzeflow.NewServerID(customer, "host-0")]
		opened := leaving.opened
		w.openMany(20)
		w.run(3 * time.Second)
		w.requireProgress(append(before, make([]int, 20)...))
		require.Equal(w.t, opened, leaving.opened)
	})
}

// Every node is replaced, one after the other, while half of the servers start
// to drain one by one. No flow ends.
func TestRollingReplacementDuringDrain(t *testing.T) {
	runSeeds(t, 4, 6, func(w *world) {
		w.openMany(40)
		w.run(time.Second)
		for i, old := range w.names() {
			fresh := w.newNode(nodeName(100 + i))
			w.nodes[fresh.Name] = fresh
			w.publish()
			before := w.answeredCounts()
			if i < 3 {
				w.drain(i)
			}
			w.leave(old)
			w.openMany(3)
			w.run(2 * time.Second)
			w.requireProgress(append(before, 0, 0, 0))
		}
	})
}

// The path from a flow's owner to its server silently drops the flow's packets,
// and the caller's packets enter by a node that relays them to the owner. The
// owner notices the caller's retransmission and sends the flow's mapping to the
// other nodes, so that the next one reaches the server by another path.
func TestSilentPathFromOwner(t *testing.T) {
	runSeeds(t, 3, 4, func(w *world) {
		f := w.openIdle()
		owner := w.cutOwnerFromServers(f)
		f.entryNodes = slices.DeleteFunc(w.names(), func(n string) bool { return n == owner })[:1]
		f.idle = false
		w.run(2 * time.Second)
		w.requireProgress([]int{0})
	})
}

// The caller's first two packets enter at the owner itself, whose path to the
// server is silent, and both are lost. The owner must have sent the mapping to
// other nodes by then, so that the third packet, which enters elsewhere, goes by
// another path. With intervals that double, a caller sends at most six.
func TestSilentPathPacketsEnterAtOwner(t *testing.T) {
	runSeeds(t, 3, 4, func(w *world) {
		f := w.openIdle()
		owner := w.cutOwnerFromServers(f)
		others := slices.DeleteFunc(w.names(), func(n string) bool { return n == owner })
		f.entryNodes, f.replyNodes, f.idle = []string{owner}, others, false
		w.run(2*retransmit + 50*time.Millisecond)
		require.Zero(w.t, f.answered)
		f.entryNodes = others
		w.run(retransmit)
		w.requireProgress([]int{0})
	})
}

// The owner receives from other nodes, but what it sends to them is lost.
// Relayed openings still reach their server, whose acceptance may enter by any
// node and is relayed to the owner, which sends it to the caller itself.
func TestLinkSilentOneWay(t *testing.T) {
	runSeeds(t, 3, 4, func(w *world) {
		w.openMany(10)
		oneWay := w.ownerOf(w.flows[0])
		w.cut = func(from, to string) bool { return from == oneWay && w.nodes[to] != nil }
		w.run(3 * time.Second)
		w.requireProgress(make([]int, len(w.flows)))
	})
}
