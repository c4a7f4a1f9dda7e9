package main

import (
	"bytes"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
	"bronzeusher.example/bronzeusher/bronzewire"
)

// heldFlows is the number of flows in benchmarks that vary something else.
const heldFlows = 10_000

// cycle returns a function that returns the elements of list in turn, over and
// over.
func cycle[T any](list []T) func() T {
	next := -1
	return func() T {
		next++
		if next == len(list) {
			next = 0
		}
		return list[next]
	}
}

// BenchmarkDecisionHosts measures the decision about a packet of an established
// flow for several sizes of the configuration.
func BenchmarkDecisionHosts(b *testing.B) {
	for _, d := range deployments {
		b.Run(fmt.Sprintf("hosts=%d", d.hosts), func(b *testing.B) {
			bal := d.balancer(b)
			var keys []bronzeflow.Key
			for i := range heldFlows {
				keys = append(keys, d.key(i))
				openFlow(b, bal, keys[i])
			}
			benchDecisions(b, bal, keys, bronzecore.Forward)
		})
	}
}

// benchDecisions measures the decisions about callers' packets of the given flows
// in turn. The last decision must be of kind want.
func benchDecisions(b *testing.B, bal *bronzecore.Balancer, keys []bronzeflow.Key, want bronzecore.ActionKind) {
	next := cycle(keys)
	out := make([]bronzecore.Action, 0, 4)
	p := bronzeflow.Packet{Kind: bronzeflow.Data, Payload: 100}
	b.ReportAllocs()
	for b.Loop() {
		p.Key = next()
		out = bal.FromCaller(&p, out[:0])
	}
	require.Equal(b, want, out[0].Kind)
}

// BenchmarkRelay measures the decision to relay a packet of a flow that another
// node owns.
func BenchmarkRelay(b *testing.B) {
	d := deployments[0]
	for _, n := range fleets {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			bal := d.balancer(b)
			v := view(n)
			bal.SetView(v)
			benchDecisions(b, bal, d.keysByOwner(v, heldFlows, false), bronzecore.Relay)
		})
	}
}

// BenchmarkLearn measures the handling of a server's packet from which the node
// learns a flow that another node owns.
func BenchmarkLearn(b *testing.B) {
	d := deployments[0]
	for _, n := range fleets {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			bal := d.balancer(b)
			v := view(n)
			bal.SetView(v)
			next := cycle(d.keysByOwner(v, heldFlows, false))
			out := make([]bronzecore.Action, 0, 4)
			p := bronzeflow.Packet{Kind: bronzeflow.Data, Payload: 100}
			forget := bronzelink.FlowMessage{}
			snapshot := d.store(b).Snapshot()
			ids := make([]bronzeflow.ServerID, 1)
			b.ReportAllocs()
			for b.Loop() {
				p.Key = next()
				ids[0] = snapshot.Match(&p.Key).Pool[0].ID
				out = bal.FromServer(&p, ids, out[:0])
				forget.Forget = &p.Key
				out = bal.HandleMessage(&forget, "", out)
			}
			require.Equal(b, bronzecore.Reply, out[0].Kind)
		})
	}
}

// BenchmarkRecovery measures how a new owner handles the first packet of a flow
// that it doesn't know: the queries, their answers, and the adoption. All queried
// nodes answer, and the last one knows the flow.
func BenchmarkRecovery(b *testing.B) {
	d := deployments[0]
	snapshot := d.store(b).Snapshot()
	for _, n := range fleets {
		v := view(n)
		keys := d.keysByOwner(v, heldFlows, true)
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			out := make([]bronzecore.Action, 0, 16)
			encoded := 0
			i := len(keys)
			var bal *bronzecore.Balancer
			for b.Loop() {
				if i == len(keys) {
					b.StopTimer()
					bal = d.balancer(b)
					bal.SetView(v)
					i, encoded = 0, 0
					b.StartTimer()
				}
				key := keys[i]
				i++
				out = bal.FromCaller(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Data, Payload: 100}, out[:0])
				encoded += answerQueries(b, bal, out, key, snapshot.Match(&key).Pool[0].ID)
			}
			b.ReportMetric(float64(encoded)/float64(i), "B/flow")
		})
	}
}

// answerQueries answers the queries in actions and returns the bytes of the
// queries and the answers. Only the last answer knows the flow.
func answerQueries(b *testing.B, bal *bronzecore.Balancer, actions []bronzecore.Action, key bronzeflow.Key, id bronzeflow.ServerID) (n int) {
	var out []bronzecore.Action
	for i, a := range actions {
		m := bronzelink.Mapping{Key: key}
		if i == len(actions)-1 {
			m.Server, m.State = id, bronzeflow.Established
		}
		answer := &bronzelink.FlowMessage{Answer: &m}
		n += frameBytes(b, a.Message) + frameBytes(b, answer)
		out = bal.HandleMessage(answer, a.Peer, out[:0])
	}
	require.Equal(b, bronzecore.Forward, out[0].Kind)
	return n
}

// udpBytes is the length of the headers of IPv4 and UDP.
const udpBytes = 20 + 8

// frameBytes returns the bytes of a flow message on the network.
func frameBytes(t testing.TB, m *bronzelink.FlowMessage) int {
	body, err := bronzelink.EncodeFlow(m)
	require.NoError(t, err)
	return len(body) + bronzewire.FrameHeaderLen + udpBytes
}

// BenchmarkResident reports the resident memory of all open flows.
func BenchmarkResident(b *testing.B) {
	d := deployments[0]
	for _, n := range []int{10_000, 50_000, 100_000, 500_000} {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			grown := 0
			for b.Loop() {
				before := resident(b)
				bal := d.balancer(b)
				for i := range n {
					openFlow(b, bal, d.key(i))
				}
				grown = resident(b) - before
				runtime.KeepAlive(bal)
			}
			b.ReportMetric(float64(grown), "B-resident")
		})
	}
}

// BenchmarkFlowHeap reports the heap of all open flows.
func BenchmarkFlowHeap(b *testing.B) {
	d := deployments[0]
	for _, n := range []int{10_000, 50_000, 100_000, 500_000} {
		benchHeap(b, fmt.Sprintf("flows=%d", n), func() *bronzecore.Balancer {
			bal := d.balancer(b)
			for i := range n {
				openFlow(b, bal, d.key(i))
			}
			return bal
		})
	}
}

// resident returns the resident memory of this process in bytes, after returning
// unused memory to the operating system.
func resident(b *testing.B) int {
	debug.FreeOSMemory()
	statm, err := os.ReadFile("/proc/self/statm")
	require.NoError(b, err)
	pages, err := strconv.Atoi(string(bytes.Fields(statm)[1]))
	require.NoError(b, err)
	return pages * os.Getpagesize()
}

// sweepTicks is the number of ticks of a complete sweep.
const sweepTicks = bronzeflow.Shards/3 + 1

// BenchmarkSweep measures a change of the view and the sweep of the table after
// it, for several numbers of owned flows.
func BenchmarkSweep(b *testing.B) {
	d := deployments[0]
	alone := view(1)
	other := members(2)
	other[1].Status = bronzelink.Leaving
	both := bronzefleet.NewView(self, other, alone, time.Now())
	for _, n := range []int{1000, 10_000, 50_000, 100_000} {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			bal := d.balancer(b)
			bal.SetView(alone)
			for i := range n {
				openFlow(b, bal, d.key(i))
			}
			next := cycle([]*bronzefleet.View{both, alone})
			out := make([]bronzecore.Action, 0, 64)
			for b.Loop() {
				bal.SetView(next())
				for range sweepTicks {
					out = bal.Tick(out[:0])
				}
			}
		})
	}
}

// BenchmarkSweepLearned is BenchmarkSweep for several numbers of learned flows,
// which other nodes own. The view stays the same.
func BenchmarkSweepLearned(b *testing.B) {
	d := deployments[0]
	snapshot := d.store(b).Snapshot()
	v := view(targetNodes)
	for _, n := range []int{10_000, 50_000, 100_000, 500_000} {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			bal := d.balancer(b)
			bal.SetView(v)
			out := make([]bronzecore.Action, 0, 64)
			for _, key := range d.keysByOwner(v, n, false) {
				ids := []bronzeflow.ServerID{snapshot.Match(&key).Pool[0].ID}
				out = bal.FromServer(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Data, Payload: 100}, ids, out[:0])
			}
			for b.Loop() {
				bal.SetView(v)
				for range sweepTicks {
					out = bal.Tick(out[:0])
				}
			}
		})
	}
}

// BenchmarkCopies reports the heap of the copies that a successor holds.
func BenchmarkCopies(b *testing.B) {
	for _, n := range []int{1000, 10_000, 50_000, 100_000} {
		benchHeap(b, fmt.Sprintf("copies=%d", n), func() *bronzecore.Balancer { return successor(n) })
	}
}

// successor returns a Balancer that holds n copies.
func successor(n int) *bronzecore.Balancer {
	bal := &bronzecore.Balancer{Name: self}
	var out []bronzecore.Action
	for i := range n {
		item := bronzelink.CopyItem{Hash: bronzeflow.Mix(uint64(i), 1), Server: 1}
		out = bal.HandleMessage(&bronzelink.FlowMessage{Copies: []bronzelink.CopyItem{item}}, "vm", out[:0])
	}
	return bal
}

// BenchmarkCopyBytes reports the bytes on the network of a message with copies
// and of its acknowledgement.
func BenchmarkCopyBytes(b *testing.B) {
	for _, n := range []int{1, 8, 24, 48} {
		b.Run(fmt.Sprintf("items=%d", n), func(b *testing.B) {
			total := 0
			for b.Loop() {
				total = copyBytes(b, n)
			}
			b.ReportMetric(float64(total), "B")
		})
	}
}

// copyBytes returns the bytes on the network of a message with n copies and of
// its acknowledgement.
func copyBytes(t testing.TB, n int) int {
	var copies, acks bronzelink.FlowMessage
	for i := range n {
		hash := bronzeflow.Mix(uint64(i+1), 1)
		id := bronzeflow.ServerID(bronzeflow.Mix(uint64(i+1), 2))
		copies.Copies = append(copies.Copies, bronzelink.CopyItem{Hash: hash, Server: id})
		acks.CopyAcks = append(acks.CopyAcks, hash)
	}
	return frameBytes(t, &copies) + frameBytes(t, &acks)
}
