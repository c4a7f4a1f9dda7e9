package bronzenode

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzelink"
)

// authority is a certificate authority that signs the nodes' certificates.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	var der []byte
	a.key, der = a.sign(template, template, nil)
	var err error
	a.cert, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	a.file = a.write("authority.pem", "CERTIFICATE", der)
	return a
}

// sign creates a key and a certificate for it, signed by signer, or self-signed
// if signer is nil.
func (a *authority) sign(template, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*ecdsa.PrivateKey, []byte) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	require.NoError(a.t, err)
	return key, der
}

func (a *authority) write(name, kind string, der []byte) string {
	file := filepath.Join(a.dir, name)
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	require.NoError(a.t, os.WriteFile(file, block, 0o600))
	return file
}

// issue writes a certificate and a key for the node called name.
func (a *authority) issue(name string) (certificate, key string) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	private, der := a.sign(template, a.cert, a.key)
	encoded, err := x509.MarshalECPrivateKey(private)
	require.NoError(a.t, err)
	return a.write(name+".pem", "CERTIFICATE", der), a.write(name+".key", "EC PRIVATE KEY", encoded)
}

// Two nodes with certificates of one authority form a fleet. A third node has a
// certificate of another authority: its links must be refused and counted under
// their own reason, and neither node may take it for a member.
func TestTLSLinks(t *testing.T) {
	env := newTestEnv(t, 1)
	ours, theirs := newAuthority(t), newAuthority(t)
	secure := func(from *authority) func(*Config) {
		return func(cfg *Config) {
			cfg.Plain = false
			cfg.Certificate, cfg.Key = from.issue(cfg.Name)
			cfg.Authority = from.file
		}
	}
	env.configure = secure(ours)
	a := env.start("a")
	b := env.start("b", a)

	cfg := b.cfg
	cfg.Name = "c"
	secure(theirs)(&cfg)
	c, err := New(cfg)
	require.NoError(t, err)
	ended := make(chan error)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { ended <- c.Run(ctx) }()
	refused := "Control." + bronzelink.CountTLSRefused
	await(func() bool { return a.Counters()[refused] > 0 })
	cancel()
	require.NoError(t, <-ended)
	require.Len(t, a.peers(), 1)
	require.Len(t, b.peers(), 1)
}
