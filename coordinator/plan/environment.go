package plan

import (
	"cmp"
	"fmt"
	"io"
	"os"
)

// MaxFileSize is the largest size in bytes of a plan file, enough for 20,000 hosts. Decoding takes 26 times as much
// memory.
const MaxFileSize = 4 << 20

// Environment variables. The last three override the plan file's name, listen and discovery.
const (
	fileVariable      = "GW_CONFIG"
	nameVariable      = "GW_NAME"
	listenVariable    = "GW_LISTEN"
	discoveryVariable = "GW_DISCOVERY"
)

// Read reads the plan from the file that GW_CONFIG names. GW_NAME, GW_LISTEN and GW_DISCOVERY override the file if they
// are set.
func Read(env func(string) string) (*Plan, error) {
	path := env(fileVariable)
	if path == "" {
		return nil, &MissingVariableError{Variable: fileVariable}
	}
	text, err := readFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", fileVariable, err)
	}
	parsed, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", fileVariable, path, err)
	}
	for variable, member := range map[string]*string{
		nameVariable: &parsed.Name, listenVariable: &parsed.Listen, discoveryVariable: &parsed.Discovery,
	} {
		if value := env(variable); value != "" {
			*member = value
		}
		if *member == "" {
			return nil, &MissingVariableError{Variable: variable, InFile: true}
		}
	}
	// If the file has no discovery address, the variable's counts as the file's own, so that another file without one
	// does not look like a change of address at a reload.
	parsed.discoveryInFile = cmp.Or(parsed.discoveryInFile, parsed.Discovery)
	return parsed, nil
}

// readFile reads a plan file. The size limit protects a running coordinator: if GW_CONFIG names a wrong file when the
// plan is read again at SIGHUP, the file's text alone could exceed the memory limit.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, MaxFileSize+1))
	if err == nil && len(text) > MaxFileSize {
		err = &TooLargeError{path}
	}
	return text, err
}
