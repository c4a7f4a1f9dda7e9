package bronzenode

import (
	"context"
	"net"
	"net/netip"
	"sync"
)

// dial opens a control link to address. Where Cut loses it, the dial hangs
// as in a network that drops packets.
func (n *Node) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	if n.cfg.Partitioned == nil {
		return d.DialContext(ctx, "tcp", address)
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	if n.cfg.Partitioned(n.ControlAddress(), to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: conn, cut: n.cfg.Partitioned, from: n.ControlAddress(), to: to, closed: make(chan struct{})}, nil
}

// cutConn is a connection that goes silent for good once Cut loses it: what
// is written vanishes, and nothing more is read.
type cutConn struct {
	net.Conn
	cut      func(from, to netip.AddrPort) bool
	from, to netip.AddrPort
	once     sync.Once
	closed   chan struct{}

	mu     sync.Mutex
	silent bool
}

// Read returns nothing that arrives after the connection went silent.
func (c *cutConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if c.isCut(c.to, c.from) {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write takes b and loses it after the connection went silent.
func (c *cutConn) Write(b []byte) (n int, err error) {
	if c.isCut(c.from, c.to) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close ends also a Read that waits in silence.
func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *cutConn) isCut(from, to netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = c.silent || c.cut(from, to)
	return c.silent
}
