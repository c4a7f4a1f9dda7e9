package bronzeconf

import (
	"fmt"
	"net/netip"
	"testing"
)

// benchHosts are numbers of hosts in a deployment, with 16 in each service.
var benchHosts = []int{18, 320, 1600, 5100}

func benchRecords(b *testing.B, hosts int) (bodies []StoredRecord) {
	for i := 0; i < hosts; i += 16 {
		v := testService("agency", fmt.Sprint(i), 1)
		v.Addresses[0] = netip.AddrFrom4([4]byte{203, 0, byte(i >> 8), byte(i)})
		v.Pool = nil
		for j := i; j < min(i+16, hosts); j++ {
			s := testServer(fmt.Sprint(j), 1)
			s.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(j >> 8), byte(j)}), 6080)
			v.Pool = append(v.Pool, s)
		}
		bodies = append(bodies, StoredRecord{Name: fmt.Sprint(i), Revision: 1, Body: body(b, v)})
	}
	return bodies
}

// BenchmarkChange measures a change of one record among all, up to the Snapshot.
func BenchmarkChange(b *testing.B) {
	for _, hosts := range benchHosts {
		bodies := benchRecords(b, hosts)
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			s := &Store{}
			apply(b, s, 1, bodies...)
			b.ReportAllocs()
			for rev := uint64(2); b.Loop(); rev++ {
				bodies[0].Revision = rev
				_, _ = s.Apply(rev, versions(bodies...), bodies[:1])
			}
		})
	}
}

// BenchmarkStart measures a start from a peer's records.
func BenchmarkStart(b *testing.B) {
	for _, hosts := range benchHosts {
		bodies := benchRecords(b, hosts)
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				apply(b, &Store{}, 1, bodies...)
			}
		})
	}
}
