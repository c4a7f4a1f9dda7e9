package bronzecore_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzeflow"
)

// benchSnapshot returns a snapshot with the given total numbers of services and
// servers.
func benchSnapshot(services, servers int) *bronzeconf.Snapshot {
	var records []bronzeconf.Record
	for i := range services {
		r := record{
			SchemaVersion: 2, Customer: fmt.Sprintf("c%d", i), Brand: "B", Name: "s",
			Addresses:    []string{netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}).String()},
			Rules:        []map[string]any{{"Protocol": "TCP", "Port": 443}},
			Retry:        map[string]any{"Budget": 0.1, "Attempts": 2},
			OpenDeadline: "3s",
			Limits:       map[string]any{"HalfOpen": 0, "Open": 0, "NewPerSecond": 0},
		}
		for j := range max(servers/services, 1) {
			r.Pool = append(r.Pool, map[string]any{
				"Instance": fmt.Sprint(j), "Address": fmt.Sprintf("10.%d.%d.%d:6080", i&127, i>>7*16+j>>8, j&255),
				"AvailabilityZone": "a", "Slots": 2, "Connections": 1000000, "Status": "Serving",
			})
		}
		body, err := json.Marshal(r)
		if err != nil {
			panic(err)
		}
		records = append(records, bronzeconf.Record{Name: fmt.Sprint(i), Body: body})
	}
	return bronzeconf.Build(1, records)
}

func benchKey(i, services int) bronzeflow.Key {
	s := i % services
	service := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(s >> 8), byte(s)}), 443)
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 20), byte(i >> 12), byte(i >> 4)}), uint16(i&15+1024))
	return bronzeflow.NewKey(bronzeflow.TCP, caller, service)
}

// benchFlows returns a balancer that holds n established flows.
func benchFlows(n, services, servers int) (*bronzecore.Balancer, []bronzeflow.Key) {
	b := &bronzecore.Balancer{Name: "vm-0"}
	b.SetSnapshot(benchSnapshot(services, servers))
	keys := make([]bronzeflow.Key, n)
	var out []bronzecore.Action
	for i := range keys {
		keys[i] = benchKey(i, services)
		out = b.FromCaller(&bronzeflow.Packet{Key: keys[i], Kind: bronzeflow.Open}, out[:0])
		id := []bronzeflow.ServerID{out[0].Server}
		out = b.FromServer(&bronzeflow.Packet{Key: keys[i], Kind: bronzeflow.Accept, Echo: 1}, id, out[:0])
		if out[0].Kind != bronzecore.Reply {
			panic(out[0].Reason.String())
		}
	}
	return b, keys
}

func benchPackets(b *testing.B, n, services, servers int) {
	bal, keys := benchFlows(n, services, servers)
	out := make([]bronzecore.Action, 0, 4)
	p := bronzeflow.Packet{Kind: bronzeflow.Data, Payload: 100}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		p.Key = keys[i]
		if i++; i == len(keys) {
			i = 0
		}
		out = bal.FromCaller(&p, out[:0])
	}
}

// BenchmarkDecision measures the decision on one packet of an established flow,
// by the number of flows in the table and the size of the configuration.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000, 500_000} {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) { benchPackets(b, n, 4, 18) })
	}
	b.Run("services=320/servers=5100", func(b *testing.B) { benchPackets(b, 10_000, 320, 5100) })
}

// BenchmarkDecisionParallel measures the same decision on all cores.
func BenchmarkDecisionParallel(b *testing.B) {
	bal, keys := benchFlows(100_000, 4, 18)
	var start atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		out := make([]bronzecore.Action, 0, 4)
		p := bronzeflow.Packet{Kind: bronzeflow.Data, Payload: 100}
		i := int(start.Add(7919)) % len(keys)
		for pb.Next() {
			p.Key = keys[i]
			if i++; i == len(keys) {
				i = 0
			}
			out = bal.FromCaller(&p, out[:0])
		}
	})
}

// BenchmarkOpening measures one flow from its opening to its reset, by the size
// of the pool.
func BenchmarkOpening(b *testing.B) {
	for _, servers := range []int{4, 14, 64, 256} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			bal, _ := benchFlows(0, 1, servers)
			out := make([]bronzecore.Action, 0, 8)
			ids := make([]bronzeflow.ServerID, 1)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				key := benchKey(i, 1)
				i++
				out = bal.FromCaller(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Open}, out[:0])
				ids[0] = out[0].Server
				out = bal.FromServer(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Accept, Echo: 1}, ids, out[:0])
				out = bal.FromCaller(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Reset}, out[:0])
			}
		})
	}
}

// BenchmarkMemory measures the heap that one open flow takes at its owner.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{10_000, 50_000, 100_000, 500_000} {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				bal, _ := benchFlows(n, 4, 18)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(bal)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/flow")
			b.ReportMetric(0, "ns/op")
		})
	}
}
