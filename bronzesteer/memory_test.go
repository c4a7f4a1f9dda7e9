package bronzesteer

import (
	"net/netip"
	"runtime"
	"testing"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// BenchmarkFlowMemory reports the memory used by one tracked open flow.
func BenchmarkFlowMemory(b *testing.B) {
	const flows = 100_000
	for b.Loop() {
		s := newSite(&testing.T{}, 4)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range flows {
			caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 16), byte(i >> 8)}), uint16(1024+i&0xff))
			p := Packet{Key: bronzeflow.NewKey(bronzeflow.TCP, caller, live), Open: true}
			p.Token = s.node.Decide(&p, s.now).Token
			p.Open = false
			s.node.Decide(&p, s.now)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "B/flow")
		runtime.KeepAlive(s)
	}
}
