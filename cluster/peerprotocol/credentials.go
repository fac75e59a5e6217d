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

var errNoCertificate = errors.New("no certificate in it")

// Credentials are a certificate, its key and the authorities that peers' certificates come from. The files are read
// again when they have changed. While they cannot be used, for instance because only one of certificate and key has
// been replaced yet, the last usable ones stay in force. All methods are safe for concurrent use.
type Credentials struct {
	certificateFile, keyFile, authoritiesFile string
	onReloadError                             func(err error)

	mu          sync.Mutex
	versions    [3]fileVersion // of the files as they were last looked at
	certificate tls.Certificate
	authorities *x509.CertPool
}

// fileVersion tells whether a file has changed.
type fileVersion struct {
	modifiedAt time.Time
	size       int64
}

// NewCredentials reads the files. onReloadError is called once for each later change of them that cannot be used, on the
// goroutine of a connection; it must not block. It returns a CredentialsError.
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

// current returns the credentials in force after reading the files that have changed.
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

// serverConfig is the configuration for one client's handshake. Its certificate must come from the authorities.
func (c *Credentials) serverConfig() *tls.Config {
	certificate, authorities := c.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}, ClientCAs: authorities,
		ClientAuth: tls.RequireAndVerifyClientCert, SessionTicketsDisabled: true,
	}
}

// clientConfig is the configuration for a connection to a peer, whose certificate must bear its name.
func (c *Credentials) clientConfig(peer string) *tls.Config {
	certificate, authorities := c.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}, RootCAs: authorities, ServerName: peer,
	}
}

// certifiedNamesOf returns the names that a peer's certificate proves.
func certifiedNamesOf(state tls.ConnectionState) []string {
	if len(state.PeerCertificates) == 0 {
		return nil
	}
	leaf := state.PeerCertificates[0]
	return append([]string{leaf.Subject.CommonName}, leaf.DNSNames...)
}
