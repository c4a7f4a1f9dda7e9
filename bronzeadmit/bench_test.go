package bronzeadmit

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkDecide measures a decision at 4,000 openings per second, with room and with a level
// refused in part, for 1 and 20 Customers.
func BenchmarkDecide(b *testing.B) {
	for name, l := range map[string]Load{"Room": {}, "Pressed": pressed(1.2)} {
		for _, n := range []int{1, 20} {
			b.Run(name+strconv.Itoa(n), func(b *testing.B) {
				var p Pool
				p.SetLevels([]int{1, 2})
				b.ReportAllocs()
				for i := range b.N {
					at := time.Duration(i) * 250 * time.Microsecond
					customer := "abcdefghijklmnopqrst"[i%n : i%n+1]
					p.Decide(Request{Priority: 1 + i/n%2, Customer: customer, Caller: caller(i % 3000)}, l, at, start.Add(at))
				}
			})
		}
	}
}
