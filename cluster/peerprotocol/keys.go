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

// Credentials holds a certificate, its key and the authorities that peers' certificates come from, in files that are read
// again when they change. Guards against a pair that is half replaced: what cannot be used leaves the last good
// one in force and is told once.
type Credentials struct {
	cert, key, authorities string
	complain               func(err error)

	mu    sync.Mutex
	seen  [3]mark
	pair  tls.Certificate
	roots *x509.CertPool
}

type mark struct {
	at   time.Time
	size int64
}

// NewCredentials reads the files a first time; complain is told of later ones that cannot be used, and must not wait.
func NewCredentials(cert, key, authorities string, complain func(err error)) (*Credentials, error) {
	k := &Credentials{cert: cert, key: key, authorities: authorities, complain: complain}
	k.seen, _ = k.marks()
	return k, k.load()
}

func (k *Credentials) marks() (m [3]mark, err error) {
	for i, name := range []string{k.cert, k.key, k.authorities} {
		info, e := os.Stat(name)
		if e != nil {
			err = errors.Join(err, e)
			continue
		}
		m[i] = mark{info.ModTime(), info.Size()}
	}
	return m, err
}

func (k *Credentials) load() error {
	pair, err := tls.LoadX509KeyPair(k.cert, k.key)
	if err != nil {
		return fmt.Errorf("certificate %s with key %s: %w", k.cert, k.key, err)
	}
	text, err := os.ReadFile(k.authorities)
	if err != nil {
		return err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return fmt.Errorf("authorities %s: no certificate in it", k.authorities)
	}
	k.pair, k.roots = pair, roots
	return nil
}

// current reads what has changed since the last time.
func (k *Credentials) current() (tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if m, err := k.marks(); m != k.seen {
		if err == nil {
			err = k.load()
		}
		if k.seen = m; err != nil {
			k.complain(err)
		}
	}
	return k.pair, k.roots
}

// server is the present configuration for one asker's handshake: its certificate must come from the authorities.
func (k *Credentials) server() (*tls.Config, error) {
	pair, roots := k.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, ClientCAs: roots,
		ClientAuth: tls.RequireAndVerifyClientCert, SessionTicketsDisabled: true,
	}, nil
}

// client is the present configuration for asking a peer, whose certificate must bear its name.
func (k *Credentials) client(peer string) (*tls.Config, error) {
	pair, roots := k.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: roots,
		ServerName: peer,
	}, nil
}

// names are those that a peer's certificate proves.
func names(state tls.ConnectionState) []string {
	if len(state.PeerCertificates) == 0 {
		return nil
	}
	leaf := state.PeerCertificates[0]
	return append([]string{leaf.Subject.CommonName}, leaf.DNSNames...)
}
