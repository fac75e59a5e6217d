package gossip

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"fmt"
	"io"
	"os"
	"strings"
)

const (
	maxKeys         = 4       // keys of a file: the one in use, and those that others still use
	maxKeyFileBytes = 1 << 12 // ten times what a file needs
)

// ReadKeyFile reads a key file: one key a line, in base64, of 16, 24 or 32 bytes. The first key encrypts what is sent; what
// is received may be encrypted with any. Empty lines and those that begin with # are skipped.
func ReadKeyFile(path string) (key []byte, oldKeys [][]byte, err error) {
	text, err := readKeyFileText(path)
	if err != nil {
		return nil, nil, &InvalidKeyFileError{Path: path, Reason: err.Error()}
	}
	keys, err := parseKeys(path, text)
	if err != nil {
		return nil, nil, err
	}
	return keys[0], keys[1:], nil
}

func readKeyFileText(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxKeyFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxKeyFileBytes {
		return nil, fmt.Errorf("over %d bytes", maxKeyFileBytes)
	}
	return text, nil
}

func parseKeys(path string, text []byte) (keys [][]byte, err error) {
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lineNumber := 1; lines.Scan(); lineNumber++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		switch {
		case err != nil:
			return nil, &InvalidKeyFileError{path, lineNumber, "is no base64"}
		case len(key) != 16 && len(key) != 24 && len(key) != 32:
			return nil, &InvalidKeyFileError{path, lineNumber, keyLengthReason(len(key))}
		case len(keys) == maxKeys:
			return nil, &InvalidKeyFileError{path, lineNumber, fmt.Sprintf("more than %d keys", maxKeys)}
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, &InvalidKeyFileError{Path: path, Reason: "holds no key"}
	}
	return keys, nil
}

func keyLengthReason(length int) string {
	return fmt.Sprintf("%d bytes, 16, 24 or 32 are wanted", length)
}
