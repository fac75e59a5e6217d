package peerprotocol

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/cluster/peerreport"
)

// testAuthority is a certificate authority that writes the certificates it signs to files.
type testAuthority struct {
	t           *testing.T
	dir         string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func newTestAuthority(t *testing.T) *testAuthority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	a := &testAuthority{t: t, dir: t.TempDir(), key: key, certificate: &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}}
	der, err := x509.CreateCertificate(rand.Reader, a.certificate, a.certificate, &a.key.PublicKey, a.key)
	require.NoError(t, err)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *testAuthority) write(name, kind string, der []byte) {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	require.NoError(a.t, os.WriteFile(filepath.Join(a.dir, name), text, 0o600))
}

// issue writes name.pem and name.key for a certificate of subject.
func (a *testAuthority) issue(name, subject string, serial int64) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	certificate := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: subject}, DNSNames: []string{subject},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, certificate, a.certificate, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+".key", "EC PRIVATE KEY", keyDER)
}

func (a *testAuthority) credentials(name string, onReloadError func(error)) *Credentials {
	path := func(file string) string { return filepath.Join(a.dir, file) }
	credentials, err := NewCredentials(path(name+".pem"), path(name+".key"), path("ca.pem"), onReloadError)
	require.NoError(a.t, err)
	return credentials
}

func withCredentials(credentials *Credentials) func(*Client) {
	return func(c *Client) { c.Credentials = credentials }
}

// With credentials, a report is sent only to a client whose certificate is signed by a known authority and contains the
// name that the client gives, and accepted only from a server whose certificate contains the peer's name.
func TestMutualTLS(t *testing.T) {
	authority, otherAuthority := newTestAuthority(t), newTestAuthority(t)
	authority.issue("a", "a", 2)
	authority.issue("b", "b", 3)
	otherAuthority.issue("a", "a", 4)
	reloadErrors := make(chan error, 8)
	addr, lastRejection := startServer(t, 3, func(s *Server) {
		s.Credentials = authority.credentials("b", func(err error) { reloadErrors <- err })
	})

	result := fetchReport(addr, withCredentials(authority.credentials("a", nil)))
	require.NoError(t, result.err)
	require.Equal(t, peerreport.OutcomeReceived, result.outcome)
	require.Equal(t, 3, result.hostCount)

	result = fetchReport(addr, withCredentials(otherAuthority.credentials("a", nil)))
	require.Equal(t, peerreport.OutcomeFailed, result.outcome, "another authority")

	result = fetchReport(addr, nil)
	require.Equal(t, peerreport.OutcomeFailed, result.outcome, "no credentials")
	require.Eventually(t, func() bool { return strings.Contains(lastRejection(), "handshake") }, 10*time.Second, time.Millisecond)

	result = fetchReport(addr, withCredentials(authority.credentials("b", nil)))
	require.Equal(t, peerreport.OutcomeRejected, result.outcome, "the client's certificate contains another name")

	result = fetchReport(addr, func(c *Client) { c.Credentials, c.PeerName = authority.credentials("a", nil), "c" })
	require.Equal(t, peerreport.OutcomeFailed, result.outcome, "the server's certificate contains another name")
	require.Empty(t, reloadErrors)
}

// A half-replaced certificate must not cut off peers: while the files cannot be used, the last usable credentials stay
// active and the error is reported once. When the files can be used again, the new credentials are loaded.
func TestCredentialsAreReloaded(t *testing.T) {
	authority := newTestAuthority(t)
	authority.issue("a", "a", 2)
	authority.issue("b", "b", 3)
	addr, _ := startServer(t, 3, func(s *Server) { s.Credentials = authority.credentials("b", nil) })
	reloadErrors := make(chan error, 8)
	credentials := authority.credentials("a", func(err error) { reloadErrors <- err })

	before, _ := credentials.current()
	require.NoError(t, os.WriteFile(filepath.Join(authority.dir, "a.pem"), []byte("half"), 0o600))
	for range 3 {
		during, _ := credentials.current()
		require.Equal(t, before.Certificate, during.Certificate)
	}
	require.Len(t, reloadErrors, 1)
	var unusable *CredentialsError
	require.ErrorAs(t, <-reloadErrors, &unusable)

	authority.issue("a", "a", 5)
	after, _ := credentials.current()
	require.NotEqual(t, before.Certificate, after.Certificate)
	result := fetchReport(addr, withCredentials(credentials))
	require.NoError(t, result.err)
	require.Equal(t, peerreport.OutcomeReceived, result.outcome)
}
