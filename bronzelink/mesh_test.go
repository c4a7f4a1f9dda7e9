package bronzelink_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzelink"
)

// peer is a mesh on a loopback socket that records messages, losses and counts.
type peer struct {
	*bronzelink.Mesh
	member   bronzelink.Member
	messages chan *bronzelink.Message
	lost     chan error
	mu       sync.Mutex
	counts   map[string]int
}

func (p *peer) counted(reason string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts[reason]
}

func (p *peer) receive(t *testing.T) *bronzelink.Message {
	t.Helper()
	select {
	case m := <-p.messages:
		return m
	case err := <-p.lost:
		require.NoError(t, err)
	case <-t.Context().Done():
	}
	return nil
}

// newPeer starts a mesh for a node with that name. If adjust is not nil, it is
// called before the start.
func newPeer(t *testing.T, name string, adjust func(m *bronzelink.Mesh)) *peer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &peer{
		member:   bronzelink.Member{Name: name, Incarnation: 1, ControlAddress: ln.Addr().String()},
		messages: make(chan *bronzelink.Message, 16),
		lost:     make(chan error, 16),
		counts:   map[string]int{},
	}
	p.Mesh = &bronzelink.Mesh{
		Self:      func() bronzelink.Member { return p.member },
		Fleet:     "riga",
		OnMessage: func(_ string, m *bronzelink.Message) { p.messages <- m },
		OnLost:    func(_ string, err error) { p.lost <- err },
		Count: func(reason string) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.counts[reason]++
		},
	}
	if adjust != nil {
		adjust(p.Mesh)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- p.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-served)
		require.NoError(t, p.Close())
	})
	return p
}

func heartbeat(n uint64) *bronzelink.Message {
	return &bronzelink.Message{Heartbeat: &bronzelink.Heartbeat{Sequence: n}}
}

// authority issues certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func newAuthority(t testing.TB) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "CA"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	a := &authority{cert: cert, key: key, file: filepath.Join(t.TempDir(), "ca.pem")}
	writePEM(t, a.file, "CERTIFICATE", der)
	return a
}

func writePEM(t testing.TB, file, kind string, der []byte) {
	t.Helper()
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	require.NoError(t, os.WriteFile(file, b, 0o600))
}

// issue writes a certificate for name and returns a function that makes a mesh
// use it.
func (a *authority) issue(t testing.TB, name string) func(m *bronzelink.Mesh) {
	t.Helper()
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	a.write(t, name, certFile, keyFile)
	return func(m *bronzelink.Mesh) { m.CertFile, m.KeyFile, m.CAFile = certFile, keyFile, a.file }
}

func (a *authority) write(t testing.TB, name, certFile, keyFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	writePEM(t, certFile, "CERTIFICATE", der)
	der, err = x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	writePEM(t, keyFile, "EC PRIVATE KEY", der)
}

func TestSendBothWays(t *testing.T) {
	ca := newAuthority(t)
	a := newPeer(t, "riga-a-1", ca.issue(t, "riga-a-1"))
	b := newPeer(t, "riga-b-1", ca.issue(t, "riga-b-1"))
	require.NoError(t, a.Send(bronzelink.Member{ControlAddress: b.member.ControlAddress}, heartbeat(1)))
	require.Equal(t, heartbeat(1), b.receive(t))
	require.NoError(t, b.Send(bronzelink.Member{Name: "riga-a-1"}, heartbeat(2)))
	require.Equal(t, heartbeat(2), a.receive(t))
	require.Equal(t, 1, a.Links())
	require.Equal(t, 1, b.Links())
	require.Positive(t, a.BytesSent())
	require.Eventually(t, func() bool { return b.BytesSent() == a.BytesReceived() }, time.Minute, time.Millisecond)
}

// A balancer is started with a certificate of another CA, with the certificate
// of another VM, or with none. Its link is refused: the peer counts the refusal
// and receives no message, because one wrong member would own a share of all
// flows.
func TestPeerAuthentication(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	b := newPeer(t, "riga-b-1", ca.issue(t, "riga-b-1"))
	for name, adjust := range map[string]func(m *bronzelink.Mesh){
		"other CA":   other.issue(t, "riga-a-1"),
		"other name": ca.issue(t, "riga-a-2"),
		"none":       nil,
	} {
		t.Run(name, func(t *testing.T) {
			before := b.counted(bronzelink.CountTLSRefused)
			a := newPeer(t, "riga-a-1", adjust)
			require.NoError(t, a.Send(b.member, heartbeat(1)))
			require.Error(t, <-a.lost)
			require.Eventually(t, func() bool { return b.counted(bronzelink.CountTLSRefused) == before+1 },
				time.Minute, time.Millisecond)
			require.Empty(t, b.messages)
		})
	}
}

func TestCertificateReload(t *testing.T) {
	ca := newAuthority(t)
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	ca.write(t, "riga-a-9", certFile, keyFile) // not the name of the node
	a := newPeer(t, "riga-a-1", func(m *bronzelink.Mesh) { m.CertFile, m.KeyFile, m.CAFile = certFile, keyFile, ca.file })
	b := newPeer(t, "riga-b-1", ca.issue(t, "riga-b-1"))
	require.NoError(t, a.Send(b.member, heartbeat(1)))
	require.ErrorIs(t, <-a.lost, bronzelink.ErrCertificate)

	ca.write(t, "riga-a-1", certFile, keyFile)
	later := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(certFile, later, later))
	require.Eventually(t, func() bool {
		_ = a.Send(b.member, heartbeat(2))
		select {
		case <-b.messages:
			return true
		default:
			return false
		}
	}, time.Minute, 100*time.Millisecond)
}

func TestPlainLoopbackOnly(t *testing.T) {
	a := newPeer(t, "riga-a-1", nil)
	require.NoError(t, a.Send(bronzelink.Member{Name: "far", ControlAddress: "192.0.2.1:1"}, heartbeat(1)))
	require.ErrorIs(t, <-a.lost, bronzelink.ErrPlainNotLoopback)
	require.Equal(t, 1, a.counted(bronzelink.CountPlainRefused))

	ln, err := net.Listen("tcp", "0.0.0.0:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	var m bronzelink.Mesh
	require.ErrorIs(t, m.Serve(t.Context(), ln), bronzelink.ErrPlainNotLoopback)
}

// A release that supports versions 1 and 2 links to one that supports 1, and to
// one that supports only 3. It uses version 1 with the first, and the link to the
// second fails on either side with ErrVersion.
func TestVersionNegotiation(t *testing.T) {
	speak := func(v ...uint8) func(m *bronzelink.Mesh) {
		return func(m *bronzelink.Mesh) { m.Versions = v }
	}
	a := newPeer(t, "riga-a-1", nil)
	old := newPeer(t, "riga-a-2", speak(1))
	later := newPeer(t, "riga-a-3", speak(3))
	require.NoError(t, a.Send(old.member, heartbeat(1)))
	require.Equal(t, heartbeat(1), old.receive(t))
	version, ok := a.Version("riga-a-2")
	require.True(t, ok)
	require.EqualValues(t, 1, version)

	require.NoError(t, later.Send(a.member, heartbeat(1)))
	require.ErrorIs(t, <-later.lost, bronzelink.ErrVersion)
	require.NoError(t, a.Send(later.member, heartbeat(1)))
	require.ErrorIs(t, <-a.lost, bronzelink.ErrVersion)
}

// Two balancers are started under one name. The links of the second are refused
// with ErrNameTaken, because with two owners under one name a flow would be
// placed twice.
func TestNameTaken(t *testing.T) {
	a := newPeer(t, "riga-a-1", nil)
	b := newPeer(t, "riga-b-1", func(m *bronzelink.Mesh) {
		m.Accept = func(p bronzelink.Member) error {
			if p.Name == "riga-a-1" && p.Incarnation != 1 {
				return bronzelink.ErrNameTaken
			}
			return nil
		}
	})
	second := newPeer(t, "riga-a-1", nil)
	second.member.Incarnation = 2
	require.NoError(t, second.Send(bronzelink.Member{ControlAddress: a.member.ControlAddress}, heartbeat(1)))
	require.ErrorIs(t, <-second.lost, bronzelink.ErrNameTaken)
	require.NoError(t, second.Send(b.member, heartbeat(1)))
	require.ErrorIs(t, <-second.lost, bronzelink.ErrNameTaken)
	require.NoError(t, a.Send(b.member, heartbeat(1)))
	require.Equal(t, heartbeat(1), b.receive(t))
}
