package bronzesoak

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNetworkDelivery(t *testing.T) {
	n := newNetwork()
	draw := 1.0
	n.random = func() float64 { return draw }
	n.zones["node-0"], n.zones["node-1"], n.zones["node-2"] = "a", "b", "b"
	require.True(t, n.delivers("a", "b"))
	n.update(func() { n.cut["a"]++ })
	require.False(t, n.delivers("a", "b"))
	require.False(t, n.delivers("b", "a"))
	require.True(t, n.delivers("a", "a"))
	require.False(t, n.deliversToPeer("node-0", "node-1"))
	require.True(t, n.deliversToPeer("node-1", "node-2"))
	mode, _, _ := n.failureMode("node-0")
	require.Equal(t, Silent, mode)
	n.update(func() { n.cut["a"]--; n.isolated["node-2"]++; n.lossy["a"]++ })
	require.False(t, n.deliversToPeer("node-1", "node-2"))
	draw = lossyZoneLoss / 2
	require.False(t, n.delivers("a", "b"))
	require.True(t, n.delivers("b", "b"))
	draw = 0
	require.False(t, n.delivers("b", "b"), "background loss within a zone")
}

// storeLink is a store behind a proxy.
type storeLink struct {
	network   *network
	address   string
	requested chan string
	cancel    context.CancelFunc
}

func newStoreLink(t *testing.T) *storeLink {
	l := &storeLink{network: newNetwork(), requested: make(chan string, 8)}
	l.network.zones["node-0"] = "a"
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { l.requested <- r.URL.Path }))
	t.Cleanup(server.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l.address = listener.Addr().String()
	var ctx context.Context
	ctx, l.cancel = context.WithCancel(t.Context())
	t.Cleanup(l.cancel)
	p := &storeProxy{network: l.network, node: "node-0", store: strings.TrimPrefix(server.URL, "http://"), listener: listener}
	go p.run(ctx)
	return l
}

func (l *storeLink) setModes(modes ...FailureMode) {
	l.network.update(func() { l.network.storeFailures["node-0"] = modes })
}

func (l *storeLink) dial(t *testing.T) net.Conn {
	conn, err := net.Dial("tcp", l.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func sendRequest(t *testing.T, conn net.Conn, path string) {
	_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: store\r\n\r\n")
	require.NoError(t, err)
}

// checkWorks checks that a request on a new connection is answered, and returns
// the connection.
func (l *storeLink) checkWorks(t *testing.T) (conn net.Conn, r *bufio.Reader) {
	conn = l.dial(t)
	sendRequest(t, conn, "/works")
	r = bufio.NewReader(conn)
	res, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Equal(t, http.StatusOK, res.StatusCode)
	require.Equal(t, "/works", <-l.requested)
	return conn, r
}

// A connection that was open during a silence carries nothing more, even when new
// connections work again.
func TestSilentConnectionStaysSilent(t *testing.T) {
	l := newStoreLink(t)
	conn, r := l.checkWorks(t)
	l.setModes(Silent)
	l.setModes()
	sendRequest(t, conn, "/silent")
	l.checkWorks(t)
	l.cancel()
	b, _ := io.ReadAll(r)
	require.Empty(t, b)
}

// Guards against a fault that nodes don't notice: the requests of the node that is refused
// must fail, and only those.
func TestRefused(t *testing.T) {
	l := newStoreLink(t)
	conn, r := l.checkWorks(t)
	l.setModes(Refused)
	sendRequest(t, conn, "/refused")
	res, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	l.setModes()
	sendRequest(t, conn, "/again")
	res, err = http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Equal(t, "/again", <-l.requested)
}

// A short failure begins during a long one of another mode. Its end must not end the long
// one.
func TestOverlappingFailuresEnd(t *testing.T) {
	modes := []FailureMode{Silent, Reset, Silent}
	require.Equal(t, []FailureMode{Silent, Silent}, withoutMode(modes, Reset))
	require.Equal(t, []FailureMode{Reset, Silent}, withoutMode(modes, Silent))
}

func TestAnswersLost(t *testing.T) {
	l := newStoreLink(t)
	l.setModes(AnswersLost)
	conn := l.dial(t)
	sendRequest(t, conn, "/lost")
	require.Equal(t, "/lost", <-l.requested)
	l.cancel()
	b, _ := io.ReadAll(conn)
	require.Empty(t, b)
}

func TestResetClosesConnections(t *testing.T) {
	l := newStoreLink(t)
	conn := l.dial(t)
	sendRequest(t, conn, "/before")
	<-l.requested
	l.setModes(Reset)
	_, err := io.ReadAll(conn)
	require.Error(t, err)
	l.setModes()
	l.checkWorks(t)
}
