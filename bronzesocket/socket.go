package bronzesocket

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"
)

// MaxBatch is the maximum number of datagrams in one system call.
const MaxBatch = 64

// socketBufferSize is the requested size of the kernel's socket buffers, in bytes; the
// kernel may grant less. The buffers hold packets that arrive while the process is paused
// by the scheduler or the garbage collector.
const socketBufferSize = 4 << 20

// Datagram is one UDP datagram of a batch.
type Datagram struct {
	// Addr is the source of a received datagram, or the destination of one to send.
	Addr netip.AddrPort
	// Buf[:N] holds the content. Reads use the whole length of Buf and truncate datagrams
	// that don't fit.
	Buf []byte
	N   int
}

// Socket is a UDP socket that reads and writes datagrams in batches. Its methods may be
// called concurrently.
type Socket struct {
	conn    *net.UDPConn
	packets *ipv4.PacketConn
	batches sync.Pool
}

// batch holds the arguments of a batch system call, reused between calls.
type batch struct {
	messages [MaxBatch]ipv4.Message
	buffers  [MaxBatch][1][]byte
	addrs    [MaxBatch]net.UDPAddr
	ips      [MaxBatch][16]byte
}

// Listen opens a socket on address, an IP address with a port. Port 0 means any free port.
func Listen(address string) (s *Socket, err error) {
	defer func() { err = errors.Wrap(err, "listen on UDP "+address) }()
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP(networkName(ap.Addr()), net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, err
	}
	// ipv4.PacketConn's batch calls support addresses of both families.
	s = &Socket{conn: conn, packets: ipv4.NewPacketConn(conn)}
	if err := s.setBufferSizes(); err != nil {
		return nil, errors.WithMessage(err, closeMessage(conn))
	}
	return s, nil
}

func networkName(a netip.Addr) string {
	if a.Unmap().Is4() {
		return "udp4"
	}
	return "udp6"
}

func closeMessage(conn *net.UDPConn) string {
	if err := conn.Close(); err != nil {
		return "close: " + err.Error()
	}
	return "socket closed"
}

func (s *Socket) setBufferSizes() error {
	if err := s.conn.SetReadBuffer(socketBufferSize); err != nil {
		return err
	}
	return s.conn.SetWriteBuffer(socketBufferSize)
}

// LocalAddrPort returns the address that the socket is bound to.
func (s *Socket) LocalAddrPort() netip.AddrPort {
	ap := s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}

// ReadBatch waits for at least one datagram, fills ms from its start, and returns how many
// it filled. After Close the error wraps net.ErrClosed.
func (s *Socket) ReadBatch(ms []Datagram) (n int, err error) {
	defer func() { err = errors.Wrap(err, "read a batch") }()
	if len(ms) == 0 {
		return 0, nil
	}
	b := s.batch()
	defer s.batches.Put(b)
	ms = ms[:min(len(ms), MaxBatch)]
	for i := range ms {
		b.buffers[i][0] = ms[i].Buf
		b.messages[i] = ipv4.Message{Buffers: b.buffers[i][:]}
	}
	defer b.release(len(ms))
	n, err = s.packets.ReadBatch(b.messages[:len(ms)], 0)
	if err != nil {
		return 0, err
	}
	for i := range ms[:n] {
		ms[i].N = b.messages[i].N
		ms[i].Addr = addrPort(b.messages[i].Addr)
	}
	return n, nil
}

// WriteBatch sends each Buf[:N] of ms to its Addr, in order and whole, in as few system
// calls as possible. On an error, n datagrams were sent and ms[n] was rejected; the caller
// may continue after it.
func (s *Socket) WriteBatch(ms []Datagram) (n int, err error) {
	defer func() { err = errors.Wrap(err, "write a batch") }()
	b := s.batch()
	defer s.batches.Put(b)
	for n < len(ms) {
		sent, err := s.write(b, ms[n:min(len(ms), n+MaxBatch)])
		n += sent
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func (s *Socket) write(b *batch, ms []Datagram) (n int, err error) {
	for i := range ms {
		b.buffers[i][0] = ms[i].Buf[:ms[i].N]
		b.messages[i] = ipv4.Message{Buffers: b.buffers[i][:], Addr: b.addr(i, ms[i].Addr)}
	}
	n, err = s.packets.WriteBatch(b.messages[:len(ms)], 0)
	b.release(len(ms))
	return max(n, 0), err
}

// SetReadDeadline makes a ReadBatch that waits until at, now or later, return an error that
// wraps os.ErrDeadlineExceeded. The zero time means no deadline.
func (s *Socket) SetReadDeadline(at time.Time) (err error) {
	defer func() { err = errors.Wrap(err, "set a read deadline") }()
	return s.conn.SetReadDeadline(at)
}

// Close closes the socket and ends a waiting ReadBatch.
func (s *Socket) Close() (err error) {
	defer func() { err = errors.Wrap(err, "close a UDP socket") }()
	return s.conn.Close()
}

func (s *Socket) batch() *batch {
	if b, ok := s.batches.Get().(*batch); ok {
		return b
	}
	return new(batch)
}

// release drops the references to the memory of the first n datagrams.
func (b *batch) release(n int) {
	for i := range n {
		b.buffers[i][0] = nil
		b.messages[i].Addr = nil
	}
}

// addr converts a to a net.UDPAddr that uses the memory of entry i of b.
func (b *batch) addr(i int, a netip.AddrPort) *net.UDPAddr {
	u := &b.addrs[i]
	b.ips[i] = a.Addr().As16()
	u.IP = b.ips[i][:]
	u.Port = int(a.Port())
	u.Zone = a.Addr().Zone()
	return u
}

func addrPort(a net.Addr) netip.AddrPort {
	u, ok := a.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	ap := u.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}
