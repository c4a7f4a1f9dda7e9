package bronzeflow

import (
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
)

var benchSizes = []int{1_000, 10_000, 100_000, 500_000}

type flow struct {
	key  Key
	hash uint64
}

func benchFlows(n int) []flow {
	fs := make([]flow, n)
	for i := range fs {
		fs[i].key = testKey(i)
		fs[i].hash = fs[i].key.Hash()
	}
	return fs
}

func fill(t *Table, fs []flow) {
	for i := range fs {
		t.Put(&fs[i].key, fs[i].hash, Entry{Server: ServerID(i), State: Established, Flags: Owned})
	}
}

func BenchmarkTouch(b *testing.B) {
	for _, n := range benchSizes {
		fs := benchFlows(n)
		var table Table
		fill(&table, fs)
		b.Run(fmt.Sprintf("Flows=%d/Serial", n), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				f := &fs[i%n]
				table.Touch(&f.key, f.hash, uint32(i>>20))
				i++
			}
		})
		b.Run(fmt.Sprintf("Flows=%d/Parallel", n), func(b *testing.B) {
			b.ReportAllocs()
			var workers atomic.Int64
			b.RunParallel(func(pb *testing.PB) {
				i := int(workers.Add(1)) * 104729
				for pb.Next() {
					f := &fs[i%n]
					table.Touch(&f.key, f.hash, uint32(i>>20))
					i++
				}
			})
		})
	}
}

// BenchmarkPutFull measures the insertion of a pending entry into a full table.
func BenchmarkPutFull(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("Flows=%d", n), func(b *testing.B) {
			fs := benchFlows(2 * n)
			table := Table{Capacity: n}
			fill(&table, fs[:n/2])
			i := n / 2
			for b.Loop() {
				f := &fs[i]
				table.Put(&f.key, f.hash, Entry{Used: uint32(i >> 10), State: Pending, Flags: Owned})
				i++
				if i == len(fs) {
					i = n / 2
				}
			}
		})
	}
}

// BenchmarkMemory reports the heap growth for each flow and in total.
func BenchmarkMemory(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("Flows=%d", n), func(b *testing.B) {
			fs := benchFlows(n)
			var bytes uint64
			for b.Loop() {
				before := heap()
				table := new(Table)
				fill(table, fs)
				bytes += heap() - before
				runtime.KeepAlive(table)
			}
			b.ReportMetric(float64(bytes)/float64(b.N)/float64(n), "B/flow")
			b.ReportMetric(float64(bytes)/float64(b.N)/(1<<20), "MB")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
