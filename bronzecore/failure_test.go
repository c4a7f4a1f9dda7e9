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

// inBubble runs a story for some seeds, each in a bubble of its own.
func inBubble(t *testing.T, nodes, servers int, story func(w *world)) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, seed, nodes, servers)
				story(w)
				w.checkSafe()
			})
		})
	}
}

func (w *world) openMany(n int) {
	for range n {
		w.open()
	}
}

// Callers see nothing: every packet of every flow enters by another node,
// which relays to the owner until it has learned the flow's server.
func TestSprayedFlowsStay(t *testing.T) {
	inBubble(t, 7, 5, func(w *world) {
		w.openMany(30)
		w.settle(3 * time.Second)
		w.checkGoingOn(make([]int, len(w.flows)))
	})
}

// A caller has sent its opening when the owner dies; its retransmission
// meets the new owner. The server's acceptance of the first may still come.
// The flow opens at one server, without a refusal.
func TestOwnerDiesMidOpen(t *testing.T) {
	inBubble(t, 5, 5, func(w *world) {
		f := w.open()
		f.sentAt = time.Now().Add(-retransmit)
		w.step(f)
		w.kill(w.ownerOf(f))
		w.settle(100 * time.Millisecond)
		w.setViews(w.names())
		w.settle(3 * time.Second)
		w.checkGoingOn([]int{0})
	})
}

// Callers go on with their flows while their owner dies. The packets of
// flows that the others have not learned meet a new owner, which asks the
// others, its copies, and at last the servers. No flow ends.
func TestOwnerDiesMidFlow(t *testing.T) {
	inBubble(t, 5, 6, func(w *world) {
		w.openMany(40)
		w.settle(600 * time.Millisecond)
		mark := w.mark()
		w.kill(w.ownerOf(w.flows[0]))
		w.settle(500 * time.Millisecond)
		w.setViews(w.names())
		w.settle(3 * time.Second)
		w.checkGoingOn(mark)
	})
}

// As before, but the owner dies together with the successor that held its
// copies. What the other nodes have learned and what the servers answer to
// probes is all that is left, and it is enough.
func TestOwnerAndSuccessorDie(t *testing.T) {
	inBubble(t, 5, 6, func(w *world) {
		w.openMany(40)
		w.settle(600 * time.Millisecond)
		mark := w.mark()
		order, _ := w.nodes[w.names()[0]].view.Order(w.flows[0].key.Hash())
		w.kill(order[0], order[1])
		w.settle(500 * time.Millisecond)
		w.setViews(w.names())
		w.settle(4 * time.Second)
		w.checkGoingOn(mark)
	})
}

// The owner sleeps, is declared dead, and its flows are taken over. It wakes
// with its old beliefs, fenced; callers' packets enter by it at once. They
// see a retransmission at the most, and no flow moves.
func TestOwnerPausesAndWakes(t *testing.T) {
	inBubble(t, 5, 6, func(w *world) {
		w.openMany(40)
		w.settle(time.Second)
		owner := w.ownerOf(w.flows[0])
		w.nodes[owner].asleep = true
		others := slices.DeleteFunc(w.names(), func(n string) bool { return n == owner })
		w.settle(300 * time.Millisecond)
		w.setViews(others)
		w.openMany(5)
		w.settle(4 * time.Second)
		mark := w.mark()
		n := w.nodes[owner]
		n.asleep = false
		fenced := *n.view
		fenced.Fenced = true
		n.SetView(&fenced)
		w.settle(300 * time.Millisecond)
		w.setViews(w.names(), func(v *bronzefleet.View) { v.Fenced = false })
		w.settle(4 * time.Second)
		w.checkGoingOn(mark)
	})
}

// An owner dies before anybody has learned a flow. The new owner probes the
// servers; the answer of the one that knows the flow enters by another node,
// which must pass it on and not keep it. Otherwise the owner waits in vain
// and ends the flow seconds later.
func TestProbeAnswerEntersElsewhere(t *testing.T) {
	inBubble(t, 3, 4, func(w *world) {
		f := w.openIdle()
		w.kill(w.ownerOf(f))
		w.setViews(w.names())
		owner := w.ownerOf(f)
		f.via = []string{owner}
		f.back = slices.DeleteFunc(w.names(), func(n string) bool { return n == owner })
		f.pause = false
		w.settle(5 * time.Second)
		w.checkGoingOn([]int{0})
	})
}

// In a fleet too large to ask every node, one node has learned a flow whose
// owner dies. The new owner's probe is answered by way of just that node, which
// takes the answer for the caller's. All other servers deny the flow; the new
// owner settles on the one that is left, and doesn't end the flow.
func TestProbeAnswerIsTakenForTheCallers(t *testing.T) {
	inBubble(t, 18, 4, func(w *world) {
		f := w.open()
		order, _ := w.nodes["vm-0"].view.Order(f.key.Hash())
		others := slices.DeleteFunc(w.names(), func(n string) bool { return slices.Contains(order[:], n) })
		f.via, f.back = order[:1], others[len(others)-1:]
		w.settle(time.Second)
		w.kill(order[0])
		w.setViews(w.names())
		after, _ := w.nodes["vm-0"].view.Order(f.key.Hash())
		require.NotContains(w.t, after, f.back[0], "the node that learned the flow would be asked")
		mark := w.mark()
		f.via = others[:1]
		w.settle(5 * time.Second)
		w.checkGoingOn(mark)
	})
}

// A fleet is cut in two. Nodes notice within seconds of each other that a flow's owner
// is on the other side: the next in line probes the servers, whose answers all enter
// by a node that still relays them to that owner, so none arrives. Half a second later
// that node knows as well. The caller repeats its request meanwhile, as it does for
// five seconds; the probes must be repeated too, or its flow ends between two ends
// that reach each other.
func TestProbesAreRepeatedWithTheCaller(t *testing.T) {
	inBubble(t, 5, 4, func(w *world) {
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
		f.via, f.back = []string{order[1]}, []string{back}
		f.pause = false
		w.settle(500 * time.Millisecond)
		suspect(back)
		w.settle(2 * time.Second)
		w.checkGoingOn([]int{0})
	})
}

// The owner of flows that no other node has learned is gone, but so far only
// suspected. Their callers would give up before it is declared dead. The next
// node in line finds their servers meanwhile; openings wait.
func TestSuspectOwnerIsBridged(t *testing.T) {
	inBubble(t, 4, 4, func(w *world) {
		w.openMany(20)
		for _, f := range w.flows {
			f.pause = true
		}
		w.settle(500 * time.Millisecond)
		gone := w.ownerOf(w.flows[0])
		w.kill(gone)
		for _, f := range w.flows {
			f.pause = false
		}
		members := viewMembers(append(w.names(), gone))
		members[len(members)-1].Status = bronzelink.Suspect
		for _, name := range w.names() {
			n := w.nodes[name]
			n.view = bronzefleet.NewView(name, members, n.view, time.Now())
			n.SetView(n.view)
		}
		w.settle(2 * time.Second)
		w.checkGoingOn(make([]int, len(w.flows)))
	})
}

// The fleet splits and the fabric hands packets of one flow to both sides.
// Each side has taken the other's flows over. Flows that were open go on on
// both sides at their server; of flows that are opened now no payload may
// reach two servers, even where the sides choose differently.
func TestPartitionSprayed(t *testing.T) {
	inBubble(t, 6, 6, func(w *world) {
		w.openMany(30)
		w.settle(time.Second)
		mark := w.mark()
		side := map[string]bool{"vm-0": true, "vm-1": true, "vm-2": true}
		w.cut = func(from, to string) bool {
			_, a := w.nodes[from]
			_, b := w.nodes[to]
			return a && b && side[from] != side[to]
		}
		w.settle(500 * time.Millisecond)
		split := func(v *bronzefleet.View) { v.Partitioned = true }
		w.setViews([]string{"vm-0", "vm-1", "vm-2"}, split)
		w.setViews([]string{"vm-3", "vm-4", "vm-5"}, split)
		w.settle(3 * time.Second)
		w.checkGoingOn(mark)
		w.openMany(30)
		w.settle(3 * time.Second)
	})
}

// As above, and one side can't reach the flows' first candidate, so that it
// opens them elsewhere: the caller has taken the other side's acceptance, and
// its packets to this side are dropped by their echo, not run here.
func TestPartitionSidesDiffer(t *testing.T) {
	inBubble(t, 4, 3, func(w *world) {
		side := map[string]bool{"vm-0": true, "vm-1": true}
		w.cut = func(from, to string) bool {
			_, a := w.nodes[from]
			_, b := w.nodes[to]
			cutHost := to == "host-0" && !side[from] || from == "host-0" && !side[to]
			return a && b && side[from] != side[to] || cutHost
		}
		split := func(v *bronzefleet.View) { v.Partitioned = true }
		w.setViews([]string{"vm-0", "vm-1"}, split)
		w.setViews([]string{"vm-2", "vm-3"}, split)
		w.openMany(20)
		w.settle(6 * time.Second)
	})
}

// A drain is published while the fleet is split, so that one side has not
// heard of it; then the sides meet again. No established flow ends, and the
// leaving server gets nothing new once both sides know.
func TestPartitionHealsDuringDrain(t *testing.T) {
	inBubble(t, 6, 6, func(w *world) {
		w.openMany(30)
		w.settle(time.Second)
		mark := w.mark()
		left, right := []string{"vm-0", "vm-1", "vm-2"}, []string{"vm-3", "vm-4", "vm-5"}
		w.cut = func(from, to string) bool {
			_, a := w.nodes[from]
			_, b := w.nodes[to]
			return a && b && slices.Contains(left, from) != slices.Contains(left, to)
		}
		w.setViews(left)
		w.setViews(right)
		w.drain(0, left...)
		w.settle(2 * time.Second)
		w.cut = func(string, string) bool { return false }
		w.publish()
		w.setViews(w.names())
		leaving := w.servers[bronzeflow.NewServerID(customer, "host-0")]
		opened := leaving.opened
		w.openMany(20)
		w.settle(3 * time.Second)
		w.checkGoingOn(append(mark, make([]int, 20)...))
		require.Equal(w.t, opened, leaving.opened)
	})
}

// Every node is replaced, one after the other, while half of the servers
// start to leave one by one. Callers see no change at all.
func TestRollingReplacementDuringDrain(t *testing.T) {
	inBubble(t, 4, 6, func(w *world) {
		w.openMany(40)
		w.settle(time.Second)
		for i, old := range w.names() {
			fresh := w.newNode(nodeName(100 + i))
			w.nodes[fresh.Name] = fresh
			w.publish()
			mark := w.mark()
			if i < 3 {
				w.drain(i)
			}
			w.leave(old)
			w.openMany(3)
			w.settle(2 * time.Second)
			w.checkGoingOn(append(mark, 0, 0, 0))
		}
	})
}

// The path from a flow's owner to its server has lost track of the flow, and
// the caller's packets enter by a node that relays them to the owner. The
// caller sends its request again; the owner sees that, and tells the others
// where the flow is. The next try goes to the same server by another path.
func TestSilentPathIsGoneAround(t *testing.T) {
	inBubble(t, 3, 4, func(w *world) {
		f := w.openIdle()
		owner := w.loseThePathOf(f)
		f.via = slices.DeleteFunc(w.names(), func(n string) bool { return n == owner })[:1]
		f.pause = false
		w.settle(2 * time.Second)
		w.checkGoingOn([]int{0})
	})
}

// The same, but the caller's first two tries enter at the owner itself, whose path to
// the server is silent. It forwards both, and both are lost. It must have told others
// by then where the flow is, so that the third try, which enters elsewhere, goes by
// another path: with pauses that double, a caller has no more than six tries.
func TestSilentPathIsGoneAroundFromTheOwnerItself(t *testing.T) {
	inBubble(t, 3, 4, func(w *world) {
		f := w.openIdle()
		owner := w.loseThePathOf(f)
		others := slices.DeleteFunc(w.names(), func(n string) bool { return n == owner })
		f.via, f.back, f.pause = []string{owner}, others, false
		w.settle(2*retransmit + 50*time.Millisecond)
		require.Zero(w.t, f.answered)
		f.via = others
		w.settle(retransmit)
		w.checkGoingOn([]int{0})
	})
}

// The owner hears the others, but what it sends to them is lost. Relayed
// openings reach their server, whose acceptance enters anywhere and is
// relayed to the owner, which lets it through itself.
func TestLinkSilentOneWay(t *testing.T) {
	inBubble(t, 3, 4, func(w *world) {
		w.openMany(10)
		mute := w.ownerOf(w.flows[0])
		w.cut = func(from, to string) bool { return from == mute && w.nodes[to] != nil }
		w.settle(3 * time.Second)
		w.checkGoingOn(make([]int, len(w.flows)))
	})
}
