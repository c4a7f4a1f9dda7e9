package bronzeadmit

import (
	"testing"
	"time"
)

// BenchmarkDecide measures a decision with 4,000 openings per second, without pressure and with
// a level refused in part, for 1 and 20 Customers. Guards against allocations.
func BenchmarkDecide(b *testing.B) {
	for name, l := range map[string]Load{"Room": {}, "Pressed": pressed(1.2)} {
		for _, n := range []int{1, 20} {
			b.Run(name+"/"+string(rune('0'+n/10))+string(rune('0'+n%10)), func(b *testing.B) {
				var p Pool
				p.SetLevels([]int{1, 2})
				names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "q", "r", "s", "t"}[:n]
				b.ReportAllocs()
				for i := range b.N {
					at := time.Duration(i) * 250 * time.Microsecond
					p.Decide(Request{Priority: 1 + i%2, Customer: names[i%n], Caller: caller(i % 3000)}, l, at, start.Add(at))
				}
			})
		}
	}
}
