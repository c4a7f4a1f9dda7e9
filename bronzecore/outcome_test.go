package bronzecore_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
)

// newSingleNode returns a balancer with two servers and the key of a new flow.
func newSingleNode(t *testing.T) (w *world, b *bronzecore.Balancer, key bronzeflow.Key) {
	w = newWorld(t, 1, 1, 2)
	return w, w.nodes[nodeName(0)].Balancer, w.open().key
}

func kinds(out []bronzecore.Action) (k []bronzecore.ActionKind) {
	for i := range out {
		k = append(k, out[i].Kind)
	}
	return k
}

// The first server refuses the opening. No payload was forwarded, so the second
// server is tried and the caller notices nothing. Then the first server's
// acceptance of an older copy of the opening arrives. It must be dropped and
// cancelled and not reach the caller.
func TestLateAcceptanceAfterRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, b, key := newSingleNode(t)
		first := b.FromCaller(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Open}, nil)[0].Server
		out := b.FromServer(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Refuse}, []bronzeflow.ServerID{first}, nil)
		require.Equal(t, []bronzecore.ActionKind{bronzecore.Forward}, kinds(out))
		second := out[0].Server
		require.NotEqual(t, first, second)
		require.Equal(t, bronzecore.ServerRefused, out[0].Reason)
		accept := &bronzeflow.Packet{Key: key, Kind: bronzeflow.Accept, Echo: 7}
		out = b.FromServer(accept, []bronzeflow.ServerID{first}, nil)
		require.Equal(t, []bronzecore.ActionKind{bronzecore.Drop, bronzecore.Cancel}, kinds(out))
		require.Equal(t, first, out[1].Server)
		out = b.FromServer(accept, []bronzeflow.ServerID{second}, nil)
		require.Equal(t, []bronzecore.ActionKind{bronzecore.Reply}, kinds(out))
	})
}

// No server answers the opening. It is cancelled at each server before the next
// one is tried. After the last one the caller is refused immediately, with a
// time to retry after. A later answer does not reach the caller.
func TestAnswerAfterDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, b, key := newSingleNode(t)
		tried := []bronzeflow.ServerID{b.FromCaller(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Open}, nil)[0].Server}
		var cancelled []bronzeflow.ServerID
		var refused bool
		for range 1000 {
			<-time.After(bronzecore.TickInterval)
			for _, a := range b.Tick(nil) {
				switch a.Kind {
				case bronzecore.Forward:
					require.Equal(t, tried, cancelled, "next server tried before the previous one was cancelled")
					tried = append(tried, a.Server)
				case bronzecore.Cancel:
					cancelled = append(cancelled, a.Server)
				case bronzecore.Refuse:
					refused = true
					require.Positive(t, a.RetryAfter)
				}
			}
		}
		require.True(t, refused)
		require.Len(t, tried, 2)
		require.Equal(t, tried, cancelled)
		out := b.FromServer(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Accept}, tried[:1], nil)
		require.Equal(t, []bronzecore.ActionKind{bronzecore.Drop}, kinds(out))
	})
}

// The opening carries payload, and its server refuses the flow after the payload
// may have been run. No other server gets the opening, and the caller is not
// told that nothing was run.
func TestOpeningWithPayloadNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, b, key := newSingleNode(t)
		first := b.FromCaller(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Open, Payload: 10}, nil)[0].Server
		out := b.FromServer(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Refuse}, []bronzeflow.ServerID{first}, nil)
		require.Equal(t, []bronzecore.ActionKind{bronzecore.Abort}, kinds(out))
	})
}

// Data arrives for a flow that no node knows. It places no flow: the servers are
// probed, none knows the flow, and the caller's flow is aborted.
func TestUnknownFlowAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, _, _ := newSingleNode(t)
		f := w.flows[0]
		f.accepted, f.echo = true, 5
		w.run(time.Second)
		require.True(t, f.aborted)
		require.Empty(t, f.payloadAt)
		require.Zero(t, w.servers[bronzeflow.NewServerID(customer, "host-0")].opened)
	})
}

// A server is removed and its address is given to another Customer's server. The
// caller's flow ends; none of its packets goes to that address any more, and no
// answer from there reaches the caller.
func TestAddressReusedByAnotherCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, b, key := newSingleNode(t)
		open := b.FromCaller(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Open}, nil)
		old := []bronzeflow.ServerID{open[0].Server}
		b.FromServer(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Accept}, old, nil)
		other := []byte(`{"SchemaVersion": 1, "Customer": "Braille", "Brand": "B", "Name": "desk",
			"Addresses": ["192.0.2.9"], "Rules": [{"Protocol": "TCP", "Port": 443}], "Pool": [
			{"Instance": "host-0", "Address": "198.51.100.1:6080", "AvailabilityZone": "a",
			 "Slots": 2, "Connections": 20, "Status": "Serving"}]}`)
		live := []byte(`{"SchemaVersion": 1, "Customer": "Registry", "Brand": "M", "Name": "live",
			"Addresses": ["192.0.2.1"], "Rules": [{"Protocol": "TCP", "Port": 443}], "Pool": []}`)
		s := bronzeconf.Build(9, []bronzeconf.Record{{Name: "desk", Body: other}, {Name: "live", Body: live}})
		require.Empty(t, s.Refusals)
		b.SetSnapshot(s)
		out := b.FromCaller(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Data, Payload: 10}, nil)
		require.Equal(t, []bronzecore.ActionKind{bronzecore.Abort}, kinds(out))
		ids := []bronzeflow.ServerID{bronzeflow.NewServerID("Braille", "host-0")}
		out = b.FromServer(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Data, Payload: 10}, ids, nil)
		require.Equal(t, []bronzecore.ActionKind{bronzecore.Drop}, kinds(out))
		require.Equal(t, bronzecore.ForeignServer, out[0].Reason)
	})
}

// The owner of a flow is paused. Meanwhile the flow is taken over and closed, its
// server starts to drain, and the caller opens a new flow under the same key at
// another server. The old owner resumes with its old entry and gets the caller's
// packets. It must query before it forwards; the old server gets no payload.
func TestOwnerResumesAfterKeyMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 3, 4)
		f := w.open()
		w.run(time.Second)
		owner := w.ownerOf(f)
		w.nodes[owner].paused = true
		others := slices.DeleteFunc(w.names(), func(n string) bool { return n == owner })
		f.entryNodes = others
		w.setViews(others)
		w.run(time.Second)
		old := w.drainServerOf(f)
		w.reopen(f)
		w.run(3 * time.Second)
		require.Len(t, f.payloadAt, 1)
		require.NotContains(t, f.payloadAt, old)
		before := w.answeredCounts()
		n := w.nodes[owner]
		n.paused = false
		f.entryNodes = []string{owner}
		n.view.Fenced = true
		n.SetView(n.view)
		w.run(300 * time.Millisecond)
		w.setViews(w.names(), func(v *bronzefleet.View) { v.Fenced = false })
		w.run(2 * time.Second)
		w.requireInvariants()
		w.requireProgress(before)
	})
}

// A node has learned a flow and then gets no packet of it for longer than
// LearnedIdleTimeout. Meanwhile the flow is closed and its key opened at another
// server. The node must not use its old entry but relay to the owner again.
func TestOldLearnedEntryRechecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 3, 4)
		f := w.open()
		w.run(time.Second)
		f.entryNodes = slices.DeleteFunc(w.names(), func(n string) bool { return n == w.ownerOf(f) })[:1]
		w.run(time.Second)
		stale := f.entryNodes
		f.entryNodes = []string{w.ownerOf(f)}
		old := w.drainServerOf(f)
		cutOff := func(_, to string) bool { return to == stale[0] }
		w.cut = cutOff // messages to the node are lost
		w.reopen(f)
		w.run(40 * time.Second)
		require.NotContains(t, f.payloadAt, old)
		w.cut = func(string, string) bool { return false }
		before := w.answeredCounts()
		f.entryNodes = stale
		w.run(2 * time.Second)
		w.requireInvariants()
		w.requireProgress(before)
	})
}

// drainServerOf drains the server of a flow and returns the server.
func (w *world) drainServerOf(f *flow) (id bronzeflow.ServerID) {
	for i := range w.record.Pool {
		id = bronzeflow.NewServerID(customer, w.record.Pool[i]["Instance"].(string))
		if f.payloadAt[id] {
			w.drain(i)
			return id
		}
	}
	return 0
}

// Random sequences of openings, joins, planned leaves, drains, kills, partitions
// that heal, and refusing and silent servers. In any order, no request may run
// twice, no flow's payload may reach two servers, and no caller whose payload was
// forwarded may be told that nothing was run. If all changes were planned, no
// flow may end.
func TestRandomChanges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		steps := rapid.SliceOfN(rapid.IntRange(0, 8), 1, 8).Draw(r, "steps")
		synctest.Test(t, func(t *testing.T) { runRandomChanges(newWorld(t, seed, 4, 5), steps) })
	})
}

func runRandomChanges(w *world, steps []int) {
	planned := true
	next, drained := 10, 0
	connected := func(string, string) bool { return false }
	for _, step := range steps {
		names := w.names()
		switch step {
		case 0, 1:
			w.openMany(5)
		case 2: // a node joins
			n := w.newNode(nodeName(next))
			next++
			w.nodes[n.Name] = n
			w.publish()
			w.setViews(w.names())
		case 3: // a node leaves gracefully
			if len(names) > 2 {
				w.leave(names[w.rng.IntN(len(names))])
			}
		case 4: // a server drains
			if drained < 3 {
				w.drain(drained)
				drained++
			}
		case 5: // a node dies
			if len(names) > 2 {
				planned = false
				w.kill(names[w.rng.IntN(len(names))])
				w.run(300 * time.Millisecond)
				w.setViews(w.names())
			}
		case 6: // a partition that heals
			planned = false
			w.partitionFor(time.Second)
			w.cut = connected
			w.setViews(w.names(), func(v *bronzefleet.View) { v.Partitioned = false })
		case 7: // a server refuses new flows
			planned = false
			w.servers[bronzeflow.NewServerID(customer, "host-3")].refuses = true
		case 8: // a server goes silent and comes back
			planned = false
			s := w.servers[bronzeflow.NewServerID(customer, "host-4")]
			s.silent = true
			w.run(time.Second)
			s.silent = false
		}
		w.run(500 * time.Millisecond)
	}
	before := w.answeredCounts()
	w.run(4 * time.Second)
	w.requireInvariants()
	if planned {
		w.requireProgress(before)
	}
}

// leave removes a node in the way a rolling replacement does.
func (w *world) leave(name string) {
	n := w.nodes[name]
	n.Leave()
	var stay []string
	for _, other := range w.names() {
		if other != name {
			stay = append(stay, other)
		}
	}
	w.setViews(stay)
	n.view = bronzefleet.NewView(name, viewMembers(stay), n.view, time.Now())
	n.view.Ready = true
	n.SetView(n.view)
	w.run(time.Second)
	w.kill(name)
}

// partitionFor partitions the fleet into two halves and runs it for d.
func (w *world) partitionFor(d time.Duration) {
	names := w.names()
	half := len(names) / 2
	side := make(map[string]bool)
	for _, name := range names[:half] {
		side[name] = true
	}
	w.cut = func(from, to string) bool {
		return w.nodes[from] != nil && w.nodes[to] != nil && side[from] != side[to]
	}
	w.run(300 * time.Millisecond)
	partitioned := func(v *bronzefleet.View) { v.Partitioned = true }
	w.setViews(names[:half], partitioned)
	w.setViews(names[half:], partitioned)
	w.openMany(5)
	w.run(d)
}
