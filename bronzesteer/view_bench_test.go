package bronzesteer

import (
	"fmt"
	"net/netip"
	"testing"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzeroute"
)

// BenchmarkChange measures the cost of one change of the servers: the new view and its
// state, and a sweep, for services of 16 servers.
func BenchmarkChange(b *testing.B) {
	const perService = 16
	for _, n := range []int{150, 600, 2400, 5100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var d bronzeroute.Directory
			t := &bronzeroute.Table{Version: 1}
			for i := range n/perService + 1 {
				service := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
				pools := []bronzeroute.WeightedPool{{Pool: fmt.Sprint(i), Weight: 1}}
				t.Routes = append(t.Routes, bronzeroute.Route{Service: service, Pools: pools})
			}
			d.SetTable(t, begin)
			for i := range n {
				name := fmt.Sprintf("host-%d", i)
				d.Register(bronzeroute.Server{Pool: fmt.Sprint(i / perService), BackendServer: bronzeconf.BackendServer{
					ID: bronzeflow.NewServerID("", name), Instance: name, AvailabilityZone: "a", Slots: 2,
				}})
			}
			s := &Steerer{AvailabilityZone: "a"}
			b.Run("view", func(b *testing.B) {
				b.ReportAllocs()
				draining := false
				for b.Loop() {
					draining = !draining
					d.Register(bronzeroute.Server{Pool: "0", Draining: draining, BackendServer: bronzeconf.BackendServer{
						Instance: "host-1", AvailabilityZone: "a", Slots: 2,
					}})
					s.SetView(d.View())
				}
			})
			b.Run("sweep", func(b *testing.B) {
				s.SetPeerCount(489)
				now := s.start
				for b.Loop() {
					now = now.Add(loadInterval)
					s.Sweep(now)
				}
			})
		})
	}
}

// BenchmarkOpen measures an opening by the size of its service.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{4, 16, 64, 256, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newSite(&testing.T{}, n/2, n/2)
			var i uint32
			for b.Loop() {
				i++
				caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 22), byte(i >> 14)}), uint16(1024+i&0x3fff))
				p := Packet{Key: bronzeflow.NewKey(bronzeflow.TCP, caller, live), Open: true}
				s.node.Decide(&p, s.now)
			}
		})
	}
}

// BenchmarkSummary measures the summary of a large service, which is recomputed every
// summaryMaxAge.
func BenchmarkSummary(b *testing.B) {
	for _, n := range []int{100, 1000, 2400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newSite(&testing.T{}, n/2, n/2)
			p := s.node.state.Load().pools["live"]
			b.ReportAllocs()
			at := s.node.sinceStart(s.now)
			for b.Loop() {
				at += summaryMaxAge
				s.node.summary(p, at, s.now)
			}
		})
	}
}
