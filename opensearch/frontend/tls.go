package frontend

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// LoadTLS reads a listener's certificate and key files. If authorities names a file, clients must present a
// certificate issued by one of the authorities in it.
func LoadTLS(certificate, key, authorities string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("certificate %s with key %s: %w", certificate, key, err)
	}
	conf := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}
	if authorities == "" {
		return conf, nil
	}
	text, err := os.ReadFile(authorities)
	if err != nil {
		return nil, err
	}
	conf.ClientCAs, conf.ClientAuth = x509.NewCertPool(), tls.RequireAndVerifyClientCert
	if !conf.ClientCAs.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("authorities %s: the file has no PEM certificate", authorities)
	}
	return conf, nil
}
