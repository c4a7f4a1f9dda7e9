package bronzesocket

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkSocket sends datagrams over loopback; ns/op is per datagram.
func BenchmarkSocket(b *testing.B) {
	for _, batch := range []int{1, 8, MaxBatch} {
		b.Run(fmt.Sprintf("Batch=%d", batch), func(b *testing.B) {
			b.ReportAllocs()
			from, to := listen(b, "127.0.0.1:0"), listen(b, "127.0.0.1:0")
			in, out := buffers(batch), buffers(batch)
			for i := range out {
				out[i].Addr = to.LocalAddrPort()
				out[i].N = len(out[i].Buf)
			}
			for moved := 0; moved < b.N; {
				n, err := from.WriteBatch(out)
				require.NoError(b, err)
				moved += n
				for n > 0 {
					k, err := to.ReadBatch(in)
					require.NoError(b, err)
					n -= k
				}
			}
		})
	}
}
