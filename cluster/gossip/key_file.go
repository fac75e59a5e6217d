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
	maxKeys         = 4       // keys in a file: the one that encrypts and those that other instances still use
	maxKeyFileBytes = 1 << 12 // ten times the size of a full key file
)

// ReadKeyFile reads a key file, which has one key per line in base64, of 16, 24 or 32 bytes. The first key encrypts what is
// sent; what is received may be encrypted with any of the keys. Empty lines and lines that begin with # are skipped.
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
		return nil, fmt.Errorf("the file is larger than %d bytes", maxKeyFileBytes)
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
			return nil, &InvalidKeyFileError{path, lineNumber, "not valid base64"}
		case len(key) != 16 && len(key) != 24 && len(key) != 32:
			return nil, &InvalidKeyFileError{path, lineNumber, keyLengthReason(len(key))}
		case len(keys) == maxKeys:
			return nil, &InvalidKeyFileError{path, lineNumber, fmt.Sprintf("the file has more than %d keys", maxKeys)}
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, &InvalidKeyFileError{Path: path, Reason: "the file has no key"}
	}
	return keys, nil
}

func keyLengthReason(length int) string {
	return fmt.Sprintf("the key has %d bytes, expected 16, 24 or 32", length)
}
