package config

import (
	"net/netip"
	"path/filepath"
	"slices"
	"strings"

	"chalkring/cluster/peerreport"
	"chalkring/config/strictyaml"
)

// TLS holds file paths: of a certificate, of its private key, and of the certificates of the authorities that may have
// signed the other side's certificate.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authorities string `yaml:"authorities"`
}

// checker checks a decoded file and adds errors to its document. Paths of keys have the form of strictyaml, such as
// $.peers.ask[0].address.
type checker struct {
	document *strictyaml.Document
	dir      string // the folder that relative file paths are resolved against
}

func (c *checker) addError(path, format string, args ...any) {
	c.document.AddError(path, format, args...)
}

func (c *checker) addErrorWithRemedy(path, remedy, format string, args ...any) {
	c.document.AddErrorWithRemedy(path, remedy, format, args...)
}

func (c *checker) checkAddress(path, text string) {
	if address, err := netip.ParseAddrPort(text); err != nil || address.Port() == 0 {
		c.addError(path, "%q is not an IP address with a port, such as 127.0.0.1:7400", text)
	}
}

func (c *checker) checkName(path, text string) {
	isInvalid := func(r rune) bool { return r <= ' ' || r > '~' }
	if text == "" || len(text) > peerreport.MaxNameBytes || strings.ContainsFunc(text, isInvalid) {
		c.addError(path, "%.40q is not a valid name; expected 1 to %d printable ASCII characters without spaces", text, peerreport.MaxNameBytes)
	}
}

func (c *checker) checkOptionalName(path, text string) {
	if text != "" {
		c.checkName(path, text)
	}
}

// nameSet holds the names seen so far, to find duplicates.
type nameSet map[string]bool

func (c *checker) checkUnique(path, name string, seen nameSet) {
	if seen[name] {
		c.addError(path, "%q is given more than once", name)
	}
	seen[name] = true
}

// checkTLS checks that each required key of the section has a file path, and resolves all its file paths.
func (c *checker) checkTLS(path string, files *TLS, required ...string) {
	if files == nil {
		return
	}
	for _, file := range []struct {
		key  string
		name *string
	}{{"certificate", &files.Certificate}, {"key", &files.Key}, {"authorities", &files.Authorities}} {
		if *file.name == "" && slices.Contains(required, file.key) {
			c.addError(path+"."+file.key, "is missing")
		}
		c.resolvePaths(file.name)
	}
}

// resolvePaths resolves relative file paths against the checker's folder; empty ones stay empty.
func (c *checker) resolvePaths(files ...*string) {
	for _, file := range files {
		if *file != "" && !filepath.IsAbs(*file) {
			*file = filepath.Join(c.dir, *file)
		}
	}
}
