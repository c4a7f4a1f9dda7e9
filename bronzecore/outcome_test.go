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

// alone returns a balancer with two servers and the key of a new flow.
func alone(t *testing.T) (w *world, b *bronzecore.Balancer, key bronzeflow.Key) {
	w = newWorld(t, 1, 1, 2)
	return w, w.nodes[nodeName(0)].Balancer, w.open().key
}

func kinds(out []bronzecore.Action) (k []bronzecore.ActionKind) {
	for i := range out {
		k = append(k, out[i].Kind)
	}
	return k
}

// The first server refuses the opening; the caller sees nothing of it, since
// nothing was forwarded but the opening: the second server takes the flow.
// Then the first one's acceptance of an older copy of the opening arrives. It
// is dropped and cancelled, and reaches nobody.
func TestRefusalCrossesAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, b, key := alone(t)
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

// No server answers the opening. Each is told that it is given up before the
// next is tried; after the last the caller is refused at once, with a time to
// come back. An answer that comes after that reaches nobody.
func TestAnswerAfterDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, b, key := alone(t)
		tried := []bronzeflow.ServerID{b.FromCaller(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Open}, nil)[0].Server}
		var cancelled []bronzeflow.ServerID
		var refused bool
		for range 1000 {
			<-time.After(bronzecore.TickInterval)
			for _, a := range b.Tick(nil) {
				switch a.Kind {
				case bronzecore.Forward:
					require.Equal(t, tried, cancelled, "tried the next before the last was cancelled")
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

// The opening carries payload, and its server refuses it after it may have
// run. No other server gets it, and the caller is not told that it didn't run.
func TestOpeningWithPayloadIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, b, key := alone(t)
		first := b.FromCaller(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Open, Payload: 10}, nil)[0].Server
		out := b.FromServer(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Refuse}, []bronzeflow.ServerID{first}, nil)
		require.Equal(t, []bronzecore.ActionKind{bronzecore.Abort}, kinds(out))
	})
}

// A packet that opens nothing comes for a flow that nobody knows. It places
// nothing: the servers are asked, none knows it, and the caller's flow ends.
func TestUnknownFlowEndsAndPlacesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, _, _ := alone(t)
		f := w.flows[0]
		f.accepted, f.echo = true, 5
		w.settle(time.Second)
		require.True(t, f.aborted)
		require.Empty(t, f.payloadAt)
		require.Zero(t, w.servers[bronzeflow.NewServerID(customer, "host-0")].opened)
	})
}

// A server is removed and its address given to another Customer's server.
// The caller's flow ends; no packet of it goes to that address any more, and
// no answer from there reaches the caller.
func TestAddressReusedByAnotherCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, b, key := alone(t)
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

// The owner of a flow sleeps. Meanwhile its flow is taken over and closed, its
// server starts to leave, and the same caller opens a new flow under the same
// key, at another server. The sleeper wakes with its old entry and gets the
// caller's packets. It asks before it forwards; the old server gets nothing.
func TestOwnerWakesAfterKeyMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 3, 4)
		f := w.open()
		w.settle(time.Second)
		owner := w.ownerOf(f)
		w.nodes[owner].asleep = true
		others := slices.DeleteFunc(w.names(), func(n string) bool { return n == owner })
		f.via = others
		w.setViews(others)
		w.settle(time.Second)
		old := w.drainServerOf(f)
		w.reopen(f)
		w.settle(3 * time.Second)
		require.Len(t, f.payloadAt, 1)
		require.NotContains(t, f.payloadAt, old)
		mark := w.mark()
		n := w.nodes[owner]
		n.asleep = false
		f.via = []string{owner}
		n.view.Fenced = true
		n.SetView(n.view)
		w.settle(300 * time.Millisecond)
		w.setViews(w.names(), func(v *bronzefleet.View) { v.Fenced = false })
		w.settle(2 * time.Second)
		w.checkSafe()
		w.checkGoingOn(mark)
	})
}

// A node has learned a flow and then gets no packet of it for a minute. In
// that time the flow is closed and its key opened at another server. The
// node's entry is too old to act on: it asks the owner again.
func TestLearnedEntryIsCheckedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 3, 4)
		f := w.open()
		w.settle(time.Second)
		f.via = slices.DeleteFunc(w.names(), func(n string) bool { return n == w.ownerOf(f) })[:1]
		w.settle(time.Second)
		stale := f.via
		f.via = []string{w.ownerOf(f)}
		old := w.drainServerOf(f)
		cutOff := func(_, to string) bool { return to == stale[0] }
		w.cut = cutOff // what it is told meanwhile is lost
		w.reopen(f)
		w.settle(40 * time.Second)
		require.NotContains(t, f.payloadAt, old)
		w.cut = func(string, string) bool { return false }
		mark := w.mark()
		f.via = stale
		w.settle(2 * time.Second)
		w.checkSafe()
		w.checkGoingOn(mark)
	})
}

// drainServerOf makes the server of a flow leave.
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

// Random sequences of openings, kills, joins, pauses, splits, heals, drains,
// refusing and silent servers. Whatever the order: no request runs twice, no
// flow's payload reaches two servers, and nobody whose payload was forwarded
// is told that nothing ran. As long as only planned changes came, no flow
// ends.
func TestRandomChanges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		steps := rapid.SliceOfN(rapid.IntRange(0, 8), 1, 8).Draw(r, "steps")
		synctest.Test(t, func(t *testing.T) { randomStory(newWorld(t, seed, 4, 5), steps) })
	})
}

func randomStory(w *world, steps []int) {
	planned := true
	next, drained := 10, 0
	whole := func(string, string) bool { return false }
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
				w.settle(300 * time.Millisecond)
				w.setViews(w.names())
			}
		case 6: // a split that heals
			planned = false
			w.splitFor(time.Second)
			w.cut = whole
			w.setViews(w.names(), func(v *bronzefleet.View) { v.Partitioned = false })
		case 7: // a server refuses new flows
			planned = false
			w.servers[bronzeflow.NewServerID(customer, "host-3")].refuses = true
		case 8: // a server goes silent and comes back
			planned = false
			s := w.servers[bronzeflow.NewServerID(customer, "host-4")]
			s.silent = true
			w.settle(time.Second)
			s.silent = false
		}
		w.settle(500 * time.Millisecond)
	}
	mark := w.mark()
	w.settle(4 * time.Second)
	w.checkSafe()
	if planned {
		w.checkGoingOn(mark)
	}
}

// leave takes a node out as a rolling replacement does.
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
	w.settle(time.Second)
	w.kill(name)
}

// splitFor cuts the fleet in two for a while.
func (w *world) splitFor(d time.Duration) {
	names := w.names()
	half := len(names) / 2
	side := make(map[string]bool)
	for _, name := range names[:half] {
		side[name] = true
	}
	w.cut = func(from, to string) bool {
		return w.nodes[from] != nil && w.nodes[to] != nil && side[from] != side[to]
	}
	w.settle(300 * time.Millisecond)
	split := func(v *bronzefleet.View) { v.Partitioned = true }
	w.setViews(names[:half], split)
	w.setViews(names[half:], split)
	w.openMany(5)
	w.settle(d)
}
