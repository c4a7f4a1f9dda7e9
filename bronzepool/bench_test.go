package bronzepool

import (
	"fmt"
	"runtime"
	"testing"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

var benchSizes = []int{4, 14, 64, 256}

// newLoadedPool returns one owner's pool of n servers with about 100 flows
// each, of which six other owners hold 14 each.
func newLoadedPool(n int) *Pool {
	var p Pool
	svc := newService(n)
	p.SetService(svc)
	p.SetOwners(7)
	shared := make(map[bronzeflow.ServerID]uint32)
	for i := range svc.Pool {
		shared[svc.Pool[i].ID] = 14
	}
	for i := range 6 {
		p.SetOwned(fmt.Sprint(i), shared)
	}
	for i := range 16 * n {
		id, _, _ := p.Choose(bronzeflow.Mix(uint64(i), 1), nil, false)
		p.Opened(id)
	}
	return &p
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("Servers", n), func(b *testing.B) {
			p := newLoadedPool(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p.Choose(bronzeflow.Mix(uint64(i), 2), nil, false)
			}
		})
	}
}

func BenchmarkCandidates(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("Servers", n), func(b *testing.B) {
			p := newLoadedPool(n)
			dst := make([]bronzeflow.ServerID, 0, 4)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p.Candidates(bronzeflow.Mix(uint64(i), 2), 4, dst)
			}
		})
	}
}

func BenchmarkSetService(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("Servers", n), func(b *testing.B) {
			p := newLoadedPool(n)
			svc := newService(n)
			b.ReportAllocs()
			for b.Loop() {
				p.SetService(svc)
			}
		})
	}
}

func BenchmarkSetOwned(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("Servers", n), func(b *testing.B) {
			p := newLoadedPool(n)
			shared := make(map[bronzeflow.ServerID]uint32)
			p.Owned(shared)
			b.ReportAllocs()
			for b.Loop() {
				p.SetOwned("0", shared)
			}
		})
	}
}

// BenchmarkPoolMemory reports the heap for each server of a pool with six other
// owners.
func BenchmarkPoolMemory(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("Servers", n), func(b *testing.B) {
			pools := make([]*Pool, b.N)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for i := range pools {
				pools[i] = newLoadedPool(n)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			perServer := float64(after.HeapAlloc-before.HeapAlloc) / float64(b.N*n)
			b.ReportMetric(perServer, "B/server")
			runtime.KeepAlive(pools)
		})
	}
}

func BenchmarkAdmit(b *testing.B) {
	var a Admission
	acc := a.SetService(newService(1))
	b.ReportAllocs()
	for b.Loop() {
		acc.Admit()
		acc.Established()
		acc.Ended(true)
	}
}
