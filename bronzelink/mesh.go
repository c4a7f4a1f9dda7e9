package bronzelink

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"
)

// Errors of Send and of links.
var (
	ErrClosed           = errors.New("mesh is closed")
	ErrNoAddress        = errors.New("peer has no control address")
	ErrPlainNotLoopback = errors.New("links without certificates are for loopback addresses only")
	ErrQueueFull        = errors.New("send queue of the link is full")
	ErrSilent           = errors.New("no data from the peer within the liveness deadline")
	ErrWriteTimeout     = errors.New("writing to the peer timed out")
)

// Reasons passed to Mesh.Count.
const (
	CountDialFailed    = "LinkDialFailed"    // no connection to a peer's address
	CountTLSRefused    = "LinkTLSRefused"    // no certificate from the CA, or not for the peer's name
	CountHelloRefused  = "LinkHelloRefused"  // another fleet, no common version, or another failure of the hellos
	CountNameTaken     = "LinkNameTaken"     // the peer uses this node's name
	CountPlainRefused  = "LinkPlainRefused"  // no certificates and not a loopback address
	CountQueueFull     = "LinkQueueFull"     // a message was dropped, the peer is too slow
	CountSilent        = "LinkSilent"        // closed by the liveness deadline
	CountBadMessage    = "LinkBadMessage"    // closed because a message couldn't be decoded
	CountWriteTimeout  = "LinkWriteTimeout"  // closed because a write took too long
	CountDuplicate     = "LinkDuplicate"     // one of two links to one peer was retired
	CountReloadFailed  = "LinkReloadFailed"  // changed certificate files couldn't be used
	CountTooManySetups = "LinkTooManyDialed" // too many connections being set up
)

// Defaults of the fields of Mesh.
const (
	DefaultIdle         = 30 * time.Second
	DefaultLiveness     = 3 * time.Second
	DefaultSetupTimeout = 2 * time.Second
	DefaultWriteTimeout = 2 * time.Second
	DefaultQueueLength  = 256
)

const (
	// maxSetups bounds the concurrent connection setups in each direction, so
	// that many of them after a partition cause neither high memory use nor a
	// burst of handshakes.
	maxSetups = 32
	// duplicateGrace is how long the retired one of two links to one peer is
	// still read from, so that messages in flight are not lost.
	duplicateGrace = time.Second
	// linkPath is the request path of the WebSocket handshake.
	linkPath = "/link"
)

// Mesh maintains the links of one node to its peers: one for each peer that
// messages are sent to or come from, opened on demand and closed when idle.
// Its fields must not change after the first use; a zero duration or length
// means the default. Without certificate files it uses no TLS and links loopback
// addresses only.
type Mesh struct {
	// Self returns this node's own state, which is sent in its hellos.
	Self func() Member
	// Fleet is the name of the fleet; peers of another one are refused.
	Fleet string
	// Versions are the supported protocol versions, VersionMin to VersionMax
	// if empty.
	Versions []uint8

	// CertFile, KeyFile and CAFile are PEM files that are read again when they
	// change. A peer needs a certificate from the CA for its name.
	CertFile, KeyFile, CAFile string

	// Idle is the time without messages after which a link is closed.
	Idle time.Duration
	// Liveness is the time without any bytes from the peer, which is pinged
	// meanwhile, after which a link is closed.
	Liveness time.Duration
	// SetupTimeout bounds dialing and the handshakes together.
	SetupTimeout time.Duration
	// WriteTimeout bounds the writing of one message.
	WriteTimeout time.Duration
	// QueueLength is the maximum number of messages queued for one peer.
	QueueLength int

	// OnMessage is called for each message from the peer of that name, one at
	// a time for one link. It must not block for long.
	OnMessage func(from string, m *Message)
	// OnLost is called when the link to the peer failed or could not be
	// opened, with the peer's name, or its address if no name is known. The
	// error is ErrNameTaken if the peer knows another node of this name.
	OnLost func(name string, err error)
	// Accept may refuse a peer after its Hello was checked. It returns
	// ErrNameTaken if another node with the peer's name is alive.
	Accept func(peer Member) error
	// Count is called with the reason of each refusal and failure.
	Count func(reason string)
	// Dial opens a connection; net.Dialer is used if nil.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	once     sync.Once
	dials    pond.Pool
	ctx      context.Context
	cancel   context.CancelFunc
	tls      certificates
	sent     atomic.Uint64
	received atomic.Uint64

	mu     sync.Mutex
	closed bool
	links  map[string]*link // by peer name, or by address before it is known
	open   sync.WaitGroup
}

// init initializes the zero value on first use.
func (m *Mesh) init() {
	m.once.Do(func() {
		m.ctx, m.cancel = context.WithCancel(context.Background())
		m.dials = pond.NewPool(maxSetups, pond.WithContext(m.ctx))
		m.links = map[string]*link{}
		m.tls.files = [3]string{m.CertFile, m.KeyFile, m.CAFile}
		m.tls.count = m.count
	})
}

// BytesSent returns the bytes written to all connections so far, with the
// overhead of TLS and WebSocket but not of TCP and IP.
func (m *Mesh) BytesSent() uint64 { return m.sent.Load() }

// BytesReceived returns the bytes read from all connections so far.
func (m *Mesh) BytesReceived() uint64 { return m.received.Load() }

// Send queues msg for the peer to, whose name may be empty if only its control
// address is known. It doesn't block: a link is opened if there is none, and
// msg is dropped if that fails. The errors are ErrClosed, ErrNoAddress,
// ErrQueueFull and those of Encode.
func (m *Mesh) Send(to Member, msg *Message) (err error) {
	defer annotate(&err, "sending to "+to.Name)
	m.init()
	b, err := Encode(msg)
	if err != nil {
		return err
	}
	l, err := m.linkTo(to)
	if err != nil {
		return err
	}
	return l.push(b)
}

// linkTo returns the link to a peer, starting to open one if there is none.
func (m *Mesh) linkTo(to Member) (*link, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, ErrClosed
	}
	key := to.Name
	if key == "" {
		key = to.ControlAddress
	}
	if l := m.links[key]; l != nil {
		return l, nil
	}
	if to.ControlAddress == "" {
		return nil, ErrNoAddress
	}
	l := m.newLink()
	m.links[key] = l
	m.open.Add(1)
	if err := m.dials.Go(func() { m.dial(l, key, to) }); err != nil {
		delete(m.links, key)
		m.open.Done()
		return nil, err
	}
	return l, nil
}

// dial opens l and then runs it in a goroutine of its own.
func (m *Mesh) dial(l *link, key string, to Member) {
	err := m.connect(l, to)
	if err != nil {
		m.count(setupReason(err))
		if m.removeLink(key, l) {
			m.reportLost(key, err)
		}
		l.end(err)
		m.open.Done()
		return
	}
	if key != l.peer.Name {
		m.removeLink(key, l)
	}
	go func() {
		defer m.open.Done()
		m.run(l)
	}()
}

// Serve accepts links on ln until ctx is done, and closes ln.
func (m *Mesh) Serve(ctx context.Context, ln net.Listener) (err error) {
	defer annotate(&err, "serving links")
	m.init()
	if !m.tls.enabled() && !loopback(ln.Addr().String()) {
		m.count(CountPlainRefused)
		return errors.Wrap(ErrPlainNotLoopback, ln.Addr().String())
	}
	if err = m.tls.check(); err != nil {
		return err
	}
	secure := m.listen(ctx, ln)
	server := &http.Server{
		Handler:           http.HandlerFunc(m.accept),
		ReadHeaderTimeout: m.setupTimeout(),
		ConnContext:       withConn,
		ErrorLog:          discardLog,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = server.Serve(secure)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Close sends the queued messages, for at most WriteTimeout, and closes all
// links.
func (m *Mesh) Close() error {
	m.init()
	m.mu.Lock()
	m.closed = true
	for _, l := range m.links {
		l.finish()
	}
	m.mu.Unlock()
	timer := time.AfterFunc(m.writeTimeout(), m.cancel)
	m.open.Wait()
	timer.Stop()
	m.cancel()
	return nil
}

// Version returns the protocol version of the open link to the named peer.
func (m *Mesh) Version(name string) (version uint8, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[name]
	if l == nil || !l.registered {
		return 0, false
	}
	return l.version, true
}

// Links returns the number of links that are open or being opened.
func (m *Mesh) Links() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links)
}

// register makes l the link to its peer. If two nodes dial each other at the
// same time, both keep the link that the node with the lower name dialed.
// Otherwise the newer link is kept, because the peer has opened it to replace a
// link that it considered lost.
func (m *Mesh) register(l *link) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return ErrClosed
	}
	l.registered = true
	old := m.links[l.peer.Name]
	if old == l {
		return nil
	}
	if old == nil || !old.registered {
		m.links[l.peer.Name] = l
		if old != nil {
			old.moveTo(l)
		}
		return nil
	}
	kept, retired := l, old
	if time.Since(old.opened) < duplicateGrace && old.dialer < l.dialer {
		kept, retired = old, l
	}
	m.links[l.peer.Name] = kept
	retired.moveTo(kept)
	retired.retire()
	m.count(CountDuplicate)
	return nil
}

// removeLink removes l from the links and reports whether it was there under
// key.
func (m *Mesh) removeLink(key string, l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[key] != l {
		return false
	}
	delete(m.links, key)
	return true
}

func (m *Mesh) count(reason string) {
	if m.Count != nil {
		m.Count(reason)
	}
}

func (m *Mesh) reportLost(name string, err error) {
	if m.OnLost != nil {
		m.OnLost(name, err)
	}
}

func (m *Mesh) self() Member {
	if m.Self == nil {
		return Member{}
	}
	return m.Self()
}

func (m *Mesh) setupTimeout() time.Duration { return orDefault(m.SetupTimeout, DefaultSetupTimeout) }
func (m *Mesh) writeTimeout() time.Duration { return orDefault(m.WriteTimeout, DefaultWriteTimeout) }
func (m *Mesh) liveness() time.Duration     { return orDefault(m.Liveness, DefaultLiveness) }
func (m *Mesh) idle() time.Duration         { return orDefault(m.Idle, DefaultIdle) }

// orDefault returns v, or d if v is not positive.
func orDefault[T ~int | ~int64](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}
