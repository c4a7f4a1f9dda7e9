package bronzenode

import (
	"net/netip"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzesocket"
)

// outbox collects datagrams for one socket, so that a batch of decisions takes
// one system call. It must not be used concurrently.
type outbox struct {
	socket      *bronzesocket.Socket
	partitioned func(from, to netip.AddrPort) bool
	refused     *uint64
	batch       []bronzesocket.Datagram
}

// put adds b, which must not change until the next flush. If the two addresses
// are partitioned, b is discarded.
func (o *outbox) put(to netip.AddrPort, b []byte) {
	if o.partitioned != nil && o.partitioned(o.socket.LocalAddrPort(), to) {
		return
	}
	o.batch = append(o.batch, bronzesocket.Datagram{Addr: to, Buf: b, N: len(b)})
}

// flush sends the collected datagrams. One that the kernel refuses is counted
// and skipped, as the network may lose any of them too.
func (o *outbox) flush() (err error) {
	rest := o.batch
	for len(rest) > 0 {
		n, sendErr := o.socket.WriteBatch(rest)
		if sendErr == nil {
			break
		}
		if isClosed(sendErr) {
			err = errors.Wrap(sendErr, "flush")
			break
		}
		*o.refused++
		rest = rest[min(n+1, len(rest)):]
	}
	clear(o.batch)
	o.batch = o.batch[:0]
	return err
}
