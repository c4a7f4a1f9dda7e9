package bronzelink

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// reloadInterval is the minimum time between two checks of the files.
const reloadInterval = time.Second

// certificates holds this node's certificate and the CA that must have issued
// those of peers.
type certificates struct {
	files [3]string // certificate, key, CA
	count func(reason string)

	mu        sync.Mutex
	lastCheck time.Time
	modTimes  [3]time.Time
	cert      *tls.Certificate
	roots     *x509.CertPool
}

// enabled reports whether certificate files are configured.
func (c *certificates) enabled() bool { return c.files != [3]string{} }

// check reads the files for the first time.
func (c *certificates) check() error {
	if !c.enabled() {
		return nil
	}
	_, _, err := c.current()
	return err
}

// current returns the certificate and roots. It reads the files again if one of
// them changed. If they can't be used, it keeps the old ones: otherwise a
// half-written file during a renewal would disconnect the node.
func (c *certificates) current() (cert *tls.Certificate, roots *x509.CertPool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); c.cert == nil || now.Sub(c.lastCheck) >= reloadInterval {
		c.lastCheck = now
		err = c.reload()
	}
	if c.cert == nil {
		return nil, nil, err
	}
	if err != nil {
		c.count(CountReloadFailed)
	}
	return c.cert, c.roots, nil
}

// reload reads the files if they changed.
func (c *certificates) reload() (err error) {
	defer annotate(&err, "reading certificates")
	var changes [3]time.Time
	for i, name := range c.files {
		info, err := os.Stat(name)
		if err != nil {
			return err
		}
		changes[i] = info.ModTime()
	}
	if changes == c.modTimes {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(c.files[0], c.files[1])
	if err != nil {
		return err
	}
	pem, err := os.ReadFile(c.files[2])
	if err != nil {
		return err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return errors.Errorf("no certificate in %s", c.files[2])
	}
	c.cert, c.roots, c.modTimes = &cert, roots, changes
	return nil
}

// checkName checks that the peer's certificate is for its name.
func (c *certificates) checkName(name string, state *tls.ConnectionState) error {
	if !c.enabled() {
		return nil
	}
	if state == nil || len(state.PeerCertificates) == 0 {
		return ErrCertificate
	}
	if err := state.PeerCertificates[0].VerifyHostname(name); err != nil {
		return errors.Wrap(ErrCertificate, err.Error())
	}
	return nil
}

// secureServer returns the listener's side of conn with its bytes counted, after
// the TLS handshake if TLS is enabled.
func (m *Mesh) secureServer(ctx context.Context, conn net.Conn) (net.Conn, error) {
	counted := m.counted(conn)
	if !m.tls.enabled() {
		if !loopback(conn.RemoteAddr().String()) {
			return nil, ErrPlainNotLoopback
		}
		return counted, nil
	}
	cert, roots, err := m.tls.current()
	if err != nil {
		return nil, err
	}
	t := tls.Server(counted, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    roots,
	})
	if err = t.HandshakeContext(ctx); err != nil {
		return nil, errors.Wrap(errHandshake, err.Error())
	}
	return t, nil
}

// secureClient returns the dialer's side of conn, after the TLS handshake if TLS
// is enabled. The chain is verified here; the name is verified when the peer's
// hello arrives, because a seed's name isn't known before.
func (m *Mesh) secureClient(ctx context.Context, conn net.Conn, name string) (net.Conn, error) {
	if !m.tls.enabled() {
		return conn, nil
	}
	cert, roots, err := m.tls.current()
	if err != nil {
		return nil, err
	}
	t := tls.Client(conn, &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{*cert},
		ServerName:         name,
		InsecureSkipVerify: true, // VerifyConnection verifies the chain instead
		VerifyConnection:   func(state tls.ConnectionState) error { return verifyChain(state, roots) },
	})
	if err = t.HandshakeContext(ctx); err != nil {
		return nil, errors.Wrap(errHandshake, err.Error())
	}
	return t, nil
}

// verifyChain checks that the peer's certificate comes from roots.
func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return ErrCertificate
	}
	options := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}
