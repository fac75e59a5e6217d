package config

import (
	"net/netip"
	"path/filepath"
	"slices"
	"strings"

	"chalkring/cluster/peerreport"
	"chalkring/config/strictyaml"
)

// TLS names the files of a certificate, its key and the authorities of the other side.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authorities string `yaml:"authorities"`
}

// checker checks a decoded file and adds what is wrong to its document. Paths are those of strictyaml, such as
// $.peers.ask[0].address.
type checker struct {
	document *strictyaml.Document
	dir      string // what relative names of files are relative to
}

func (c *checker) addError(path, format string, args ...any) {
	c.document.AddError(path, format, args...)
}

func (c *checker) addErrorWithRemedy(path, remedy, format string, args ...any) {
	c.document.AddErrorWithRemedy(path, remedy, format, args...)
}

func (c *checker) checkAddress(path, text string) {
	if address, err := netip.ParseAddrPort(text); err != nil || address.Port() == 0 {
		c.addError(path, "%q is no address with a port, such as 127.0.0.1:7400", text)
	}
}

func (c *checker) checkName(path, text string) {
	isNoLetter := func(r rune) bool { return r <= ' ' || r > '~' }
	if text == "" || len(text) > peerreport.MaxNameBytes || strings.ContainsFunc(text, isNoLetter) {
		c.addError(path, "%.40q is no name: 1 to %d letters without blanks", text, peerreport.MaxNameBytes)
	}
}

func (c *checker) checkOptionalName(path, text string) {
	if text != "" {
		c.checkName(path, text)
	}
}

// nameSet finds names that are given twice.
type nameSet map[string]bool

func (c *checker) checkUnique(path, name string, seen nameSet) {
	if seen[name] {
		c.addError(path, "%q is there twice", name)
	}
	seen[name] = true
}

// checkTLS checks that the required files are named, by their keys, and resolves all.
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

// resolvePaths makes relative names of files relative to the process; empty ones stay empty.
func (c *checker) resolvePaths(files ...*string) {
	for _, file := range files {
		if *file != "" && !filepath.IsAbs(*file) {
			*file = filepath.Join(c.dir, *file)
		}
	}
}
