package bronzelink

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

// Errors of the handshake.
var (
	ErrVersion     = errors.New("no common version of the protocol")
	ErrFleet       = errors.New("peer belongs to another fleet")
	ErrNameTaken   = errors.New("peer uses this node's name")
	ErrWrongPeer   = errors.New("another node answers at the peer's address")
	ErrNoHello     = errors.New("peer didn't start with a hello")
	ErrCertificate = errors.New("peer's certificate doesn't fit")
	errDial        = errors.New("dialing failed")
	errHandshake   = errors.New("TLS handshake failed")
)

// discardLog drops the log of net/http: failures are counted by reason instead.
var discardLog = log.New(io.Discard, "", 0)

// setupReason returns the reason to count for an error in the setup of a link.
func setupReason(err error) string {
	switch {
	case errors.Is(err, ErrPlainNotLoopback):
		return CountPlainRefused
	case errors.Is(err, ErrCertificate), errors.Is(err, errHandshake):
		return CountTLSRefused
	case errors.Is(err, ErrNameTaken):
		return CountNameTaken
	case errors.Is(err, errDial):
		return CountDialFailed
	default:
		return CountHelloRefused
	}
}

// versions returns the versions that this node supports.
func (m *Mesh) versions() []uint8 {
	if len(m.Versions) > 0 {
		return m.Versions
	}
	var v []uint8
	for i := uint8(VersionMin); i <= VersionMax; i++ {
		v = append(v, i)
	}
	return v
}

// commonVersion returns the highest version in both lists.
func commonVersion(a, b []uint8) (version uint8, err error) {
	for _, v := range a {
		if slices.Contains(b, v) {
			version = max(version, v)
		}
	}
	if version == 0 {
		return 0, ErrVersion
	}
	return version, nil
}

// connect opens the connection of l to a peer and exchanges hellos with it.
func (m *Mesh) connect(l *link, to Member) (err error) {
	defer annotate(&err, "opening a link to "+to.Name+" at "+to.ControlAddress)
	ctx, cancel := context.WithTimeout(m.ctx, m.setupTimeout())
	defer cancel()
	if !m.tls.enabled() && !loopback(to.ControlAddress) {
		return ErrPlainNotLoopback
	}
	raw, err := m.dialRaw(ctx, to.ControlAddress)
	if err != nil {
		return errors.Wrap(errDial, err.Error())
	}
	l.raw = m.counted(raw)
	defer func() {
		if err != nil {
			_ = l.raw.Close()
		}
	}()
	conn, err := m.secureClient(ctx, l.raw, to.Name)
	if err != nil {
		return err
	}
	ws, err := dialWebSocket(ctx, conn)
	if err != nil {
		return errors.Wrap(errDial, err.Error())
	}
	return m.clientHello(ctx, l, ws, conn, to.Name)
}

func (m *Mesh) dialRaw(ctx context.Context, address string) (net.Conn, error) {
	if m.Dial != nil {
		return m.Dial(ctx, address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// dialWebSocket upgrades conn to a WebSocket connection.
func dialWebSocket(ctx context.Context, conn net.Conn) (ws *websocket.Conn, err error) {
	transport := &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil },
	}
	client := &http.Client{Transport: transport}
	ws, _, err = websocket.Dial(ctx, "ws://peer"+linkPath, &websocket.DialOptions{HTTPClient: client}) //nolint:bodyclose // the body is the connection
	return ws, err
}

// clientHello is the dialer's side of the hello exchange.
func (m *Mesh) clientHello(ctx context.Context, l *link, ws *websocket.Conn, conn net.Conn, name string) error {
	ws.SetReadLimit(MaxMessageBytes)
	self := m.self()
	if err := m.sendHello(ctx, ws, self); err != nil {
		return err
	}
	hello, err := readHello(ctx, ws)
	if err != nil {
		return err
	}
	if name != "" && hello.Member.Name != name {
		return errors.Wrap(ErrWrongPeer, hello.Member.Name)
	}
	if err = m.checkHello(hello, self, conn); err != nil {
		return err
	}
	return l.establish(ws, hello, self.Name, m)
}

// accept handles the WebSocket requests of dialers.
func (m *Mesh) accept(w http.ResponseWriter, r *http.Request) {
	raw, ok := r.Context().Value(connKey{}).(*countedConn)
	if !ok || r.URL.Path != linkPath {
		http.NotFound(w, r)
		return
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		m.count(CountHelloRefused)
		return
	}
	l := m.newLink()
	l.raw = raw
	err = m.serverHello(l, ws, r.TLS) //nolint:contextcheck // a link outlives its request
	if err != nil {
		m.count(setupReason(err))
		_ = ws.Close(closeCode(err), closeReason(err))
		return
	}
	m.mu.Lock()
	closed := m.closed
	if !closed {
		m.open.Add(1)
	}
	m.mu.Unlock()
	if closed {
		_ = ws.CloseNow()
		return
	}
	defer m.open.Done()
	m.run(l) //nolint:contextcheck // a link outlives its request
}

// closeCodes are the close codes that tell a dialer why it was refused.
var closeCodes = map[websocket.StatusCode]error{
	4001: ErrNameTaken,
	4002: ErrVersion,
	4003: ErrFleet,
	4004: ErrCertificate,
}

// closeCode returns the close code for err.
func closeCode(err error) websocket.StatusCode {
	for code, known := range closeCodes {
		if errors.Is(err, known) {
			return code
		}
	}
	return websocket.StatusPolicyViolation
}

// maxCloseReason bounds the reason in a WebSocket close frame, in bytes.
const maxCloseReason = 120

// closeReason returns the reason that is sent to a refused peer.
func closeReason(err error) string {
	s := err.Error()
	return s[:min(len(s), maxCloseReason)]
}

// serverHello is the listener's side of the hello exchange.
func (m *Mesh) serverHello(l *link, ws *websocket.Conn, state *tls.ConnectionState) error {
	ws.SetReadLimit(MaxMessageBytes)
	ctx, cancel := context.WithTimeout(m.ctx, m.setupTimeout())
	defer cancel()
	hello, err := readHello(ctx, ws)
	if err != nil {
		return err
	}
	self := m.self()
	if err = m.checkPeer(hello, self, state); err != nil {
		return err
	}
	if err = m.sendHello(ctx, ws, self); err != nil {
		return err
	}
	return l.establish(ws, hello, hello.Member.Name, m)
}

// establish sets the fields of l that follow from the hellos.
func (l *link) establish(ws *websocket.Conn, hello *Hello, dialer string, m *Mesh) (err error) {
	l.version, err = commonVersion(m.versions(), hello.Versions)
	l.conn, l.peer, l.dialer = ws, hello.Member, dialer
	l.opened = time.Now()
	l.lastMessage = l.opened
	return err
}

func (m *Mesh) sendHello(ctx context.Context, ws *websocket.Conn, self Member) error {
	b, err := Encode(&Message{Hello: &Hello{Versions: m.versions(), Fleet: m.Fleet, Member: self}})
	if err != nil {
		return err
	}
	return ws.Write(ctx, websocket.MessageBinary, b)
}

func readHello(ctx context.Context, ws *websocket.Conn) (*Hello, error) {
	_, b, err := ws.Read(ctx)
	if known := closeCodes[websocket.CloseStatus(err)]; known != nil {
		return nil, errors.Wrap(known, "refused by the peer")
	}
	if err != nil {
		return nil, err
	}
	msg, err := Decode(b)
	if err != nil {
		return nil, err
	}
	if msg.Hello == nil || msg.Hello.Member.Name == "" {
		return nil, ErrNoHello
	}
	return msg.Hello, nil
}

// checkHello checks the hello of the peer on conn.
func (m *Mesh) checkHello(h *Hello, self Member, conn net.Conn) error {
	t, ok := conn.(*tls.Conn)
	if !ok {
		return m.checkPeer(h, self, nil)
	}
	state := t.ConnectionState()
	return m.checkPeer(h, self, &state)
}

// checkPeer checks a hello against this node's settings and the peer's
// certificate.
func (m *Mesh) checkPeer(h *Hello, self Member, state *tls.ConnectionState) error {
	if h.Fleet != m.Fleet {
		return errors.Wrap(ErrFleet, h.Fleet)
	}
	if h.Member.Name == self.Name {
		return errors.Wrap(ErrNameTaken, self.Name)
	}
	if _, err := commonVersion(m.versions(), h.Versions); err != nil {
		return err
	}
	if err := m.tls.checkName(h.Member.Name, state); err != nil {
		return err
	}
	if m.Accept != nil {
		return m.Accept(h.Member)
	}
	return nil
}
