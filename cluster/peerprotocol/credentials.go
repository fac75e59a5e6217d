package peerprotocol

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

var errNoCertificate = errors.New("the file contains no PEM certificate")

// Credentials hold a certificate, its key and the authorities that sign peers' certificates. Before each connection the
// files are read again if they have changed. If they cannot be used, for instance because only one of certificate
// and key has been replaced so far, the last usable ones stay active. All methods are safe for concurrent use.
type Credentials struct {
	certificateFile, keyFile, authoritiesFile string
	onReloadError                             func(err error)

	mu          sync.Mutex
	versions    [3]fileVersion // of the files when they were last checked
	certificate tls.Certificate
	authorities *x509.CertPool
}

// fileVersion is compared to detect that a file has changed.
type fileVersion struct {
	modifiedAt time.Time
	size       int64
}

// NewCredentials reads the files and returns a CredentialsError if they cannot be used. onReloadError is called once for
// each later change after which the files cannot be used. It is called on the goroutine of a connection and must not
// block.
func NewCredentials(certificateFile, keyFile, authoritiesFile string, onReloadError func(err error)) (*Credentials, error) {
	c := &Credentials{
		certificateFile: certificateFile, keyFile: keyFile, authoritiesFile: authoritiesFile, onReloadError: onReloadError,
	}
	c.versions, _ = c.fileVersions() // a missing file is reported by load
	return c, c.load()
}

func (c *Credentials) fileVersions() (versions [3]fileVersion, err error) {
	for i, path := range []string{c.certificateFile, c.keyFile, c.authoritiesFile} {
		info, statErr := os.Stat(path)
		if statErr != nil {
			err = errors.Join(err, statErr)
			continue
		}
		versions[i] = fileVersion{modifiedAt: info.ModTime(), size: info.Size()}
	}
	return versions, err
}

func (c *Credentials) load() error {
	certificate, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		return &CredentialsError{Files: fmt.Sprintf("certificate %s with key %s", c.certificateFile, c.keyFile), Err: err}
	}
	text, err := os.ReadFile(c.authoritiesFile)
	if err != nil {
		return &CredentialsError{Files: "authorities", Err: err}
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return &CredentialsError{Files: "authorities " + c.authoritiesFile, Err: errNoCertificate}
	}
	c.certificate, c.authorities = certificate, authorities
	return nil
}

// current returns the active credentials. It first reads the files again if any of them has changed.
func (c *Credentials) current() (tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	versions, err := c.fileVersions()
	if versions == c.versions {
		return c.certificate, c.authorities
	}
	c.versions = versions
	if err == nil {
		err = c.load()
	} else {
		err = &CredentialsError{Files: "certificate, key and authorities", Err: err}
	}
	if err != nil {
		c.onReloadError(err)
	}
	return c.certificate, c.authorities
}

// serverConfig returns the configuration for one client's handshake. The client's certificate must be signed by one of
// the authorities.
func (c *Credentials) serverConfig() *tls.Config {
	certificate, authorities := c.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}, ClientCAs: authorities,
		ClientAuth: tls.RequireAndVerifyClientCert, SessionTicketsDisabled: true,
	}
}

// clientConfig returns the configuration for a connection to a peer, whose certificate must contain the peer's name.
func (c *Credentials) clientConfig(peer string) *tls.Config {
	certificate, authorities := c.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}, RootCAs: authorities, ServerName: peer,
	}
}

// certifiedNamesOf returns the names in a peer's certificate: its common name and its DNS names.
func certifiedNamesOf(state tls.ConnectionState) []string {
	if len(state.PeerCertificates) == 0 {
		return nil
	}
	leaf := state.PeerCertificates[0]
	return append([]string{leaf.Subject.CommonName}, leaf.DNSNames...)
}
