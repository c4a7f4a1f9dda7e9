package bronzenode

import (
	"context"
	"net"
	"net/netip"
	"sync"
)

// dial opens a control link to address. If the two are partitioned, it blocks
// until ctx is done, as in a network that drops packets.
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
	return &partitionedConn{Conn: conn, partitioned: n.cfg.Partitioned, from: n.ControlAddress(), to: to, closed: make(chan struct{})}, nil
}

// partitionedConn is a connection that stays silent once a partition has
// affected it: writes are discarded, and reads block until Close.
type partitionedConn struct {
	net.Conn
	partitioned func(from, to netip.AddrPort) bool
	from, to    netip.AddrPort
	once        sync.Once
	closed      chan struct{}

	mu     sync.Mutex
	silent bool
}

// Read returns no data that arrives after the connection went silent.
func (c *partitionedConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if c.isPartitioned(c.to, c.from) {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write discards b if the connection is silent.
func (c *partitionedConn) Write(b []byte) (n int, err error) {
	if c.isPartitioned(c.from, c.to) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection and unblocks a Read that waits on a silent one.
func (c *partitionedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// isPartitioned reports whether the connection is silent; once true, it stays
// so.
func (c *partitionedConn) isPartitioned(from, to netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = c.silent || c.partitioned(from, to)
	return c.silent
}
