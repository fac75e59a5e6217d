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
	keysMost     = 4       // keys of a file: one in use, and those that others still use
	keyFileBytes = 1 << 12 // bytes of the file: ten times what it needs
)

// ReadKeyFile reads a key file: base64 of 16, 24 or 32 bytes a line. What is sent is under the first, what comes may be
// under any. Lines that begin with # say nothing.
func ReadKeyFile(path string) (key []byte, older [][]byte, err error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, nil, &InvalidKeyFileError{Path: path, Reason: err.Error()}
	}
	defer in.Close()
	text, err := io.ReadAll(io.LimitReader(in, keyFileBytes+1))
	if err != nil {
		return nil, nil, &InvalidKeyFileError{Path: path, Reason: err.Error()}
	}
	if len(text) > keyFileBytes {
		return nil, nil, &InvalidKeyFileError{Path: path, Reason: fmt.Sprintf("over %d bytes", keyFileBytes)}
	}
	var keys [][]byte
	lines := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		one, err := base64.StdEncoding.DecodeString(line)
		switch {
		case err != nil:
			return nil, nil, &InvalidKeyFileError{path, n, "is no base64"}
		case len(one) != 16 && len(one) != 24 && len(one) != 32:
			return nil, nil, &InvalidKeyFileError{path, n, fmt.Sprintf("%d bytes, 16, 24 or 32 are wanted", len(one))}
		case len(keys) == keysMost:
			return nil, nil, &InvalidKeyFileError{path, n, fmt.Sprintf("more than %d keys", keysMost)}
		}
		keys = append(keys, one)
	}
	if len(keys) == 0 {
		return nil, nil, &InvalidKeyFileError{Path: path, Reason: "holds no key"}
	}
	return keys[0], keys[1:], nil
}
