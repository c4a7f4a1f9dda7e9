package bronzesocket

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

func listen(t testing.TB, address string) *Socket {
	s, err := Listen(address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func buffers(n int) []Datagram {
	ms := make([]Datagram, n)
	for i := range ms {
		ms[i].Buf = make([]byte, 64)
	}
	return ms
}

// send writes n numbered datagrams from s to addr.
func send(t testing.TB, s *Socket, addr netip.AddrPort, n int) {
	ms := buffers(n)
	for i := range ms {
		ms[i].Addr = addr
		ms[i].N = copy(ms[i].Buf, []byte{byte(i), byte(i >> 8)})
	}
	sent, err := s.WriteBatch(ms)
	require.NoError(t, err)
	require.Equal(t, n, sent)
}

func TestSocketBatches(t *testing.T) {
	for _, address := range []string{"127.0.0.1:0", "[::1]:0"} {
		t.Run(address, func(t *testing.T) {
			a, b := listen(t, address), listen(t, address)
			const count = 3*MaxBatch + 1
			send(t, a, b.LocalAddrPort(), count)
			ms := buffers(count)
			for next := 0; next < count; {
				n, err := b.ReadBatch(ms)
				require.NoError(t, err)
				require.LessOrEqual(t, n, MaxBatch)
				for i := range ms[:n] {
					require.Equal(t, []byte{byte(next), byte(next >> 8)}, ms[i].Buf[:ms[i].N])
					require.Equal(t, a.LocalAddrPort(), ms[i].Addr)
					next++
				}
			}
		})
	}
}

// One datagram of a batch can't be sent. The others belong to other flows and must not be
// lost with it, so the caller is told which one failed.
func TestWriteBatchErrorIndex(t *testing.T) {
	a, b := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
	ms := buffers(3)
	for i := range ms {
		ms[i].Addr = b.LocalAddrPort()
		ms[i].N = 1
	}
	ms[1].Buf = make([]byte, 1<<17)
	ms[1].N = len(ms[1].Buf)
	n, err := a.WriteBatch(ms)
	require.Error(t, err)
	require.Equal(t, 1, n)
	n, err = a.WriteBatch(ms[2:])
	require.NoError(t, err)
	require.Equal(t, 1, n)
}

func TestCloseEndsReadBatch(t *testing.T) {
	s := listen(t, "127.0.0.1:0")
	done := make(chan error)
	go func() {
		_, err := s.ReadBatch(buffers(1))
		done <- err
	}()
	require.NoError(t, s.Close())
	require.ErrorIs(t, <-done, net.ErrClosed)
	_, err := Listen("localhost")
	require.Error(t, err)
}

// x/net allocates the address of each datagram that is read; nothing else may be allocated
// per datagram.
func TestSocketAllocations(t *testing.T) {
	const count = 32
	a, b := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
	in, out := buffers(count), buffers(count)
	for i := range out {
		out[i].Addr = b.LocalAddrPort()
		out[i].N = 1
	}
	allocs := testing.AllocsPerRun(20, func() {
		if _, err := a.WriteBatch(out); err != nil {
			t.Error(err)
		}
		for left := count; left > 0; {
			n, err := b.ReadBatch(in)
			if err != nil {
				t.Error(err)
				return
			}
			left -= n
		}
	})
	require.LessOrEqual(t, allocs, float64(2*count+8))
}

// More datagrams wait than one read takes, as after a pause of the process. All are dropped
// without waiting for more, and a later one is read.
func TestDiscard(t *testing.T) {
	from, to := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
	for range 2 {
		send(t, from, to.LocalAddrPort(), 48)
	}
	n, err := to.Discard()
	require.NoError(t, err)
	require.Equal(t, 96, n)
	n, err = to.Discard()
	require.NoError(t, err)
	require.Zero(t, n)
	send(t, from, to.LocalAddrPort(), 1)
	n, err = to.ReadBatch(buffers(4))
	require.NoError(t, err)
	require.Equal(t, 1, n)
}
