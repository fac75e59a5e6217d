// Package config reads the installation file: the YAML file in which an operator turns on what the platform's plan, a JSON
// file, does not know. deploy/installation.yaml and deploy/fleet.yaml show all keys; docs/peer-reports.md, docs/cluster.md
// and docs/opensearch.md explain them.
//
// Read checks the whole file and returns all errors together, each a strictyaml.InvalidFileError with line and column.
// Names of files in it are relative to its folder.
package config

import (
	"fmt"
	"maps"
	"path/filepath"
	"slices"

	"chalkring/config/strictyaml"
)

const (
	// maxFileBytes bounds the file: a thousand times what one needs.
	maxFileBytes = 1 << 20
	// maxEndpointSources bounds the files and folders of hosts.
	maxEndpointSources = 64
	// maxEventLoops bounds the event loops of a process: no machine in use has more cores.
	maxEventLoops = 64
)

// File is an installation file. The Go names of fields are free; the YAML keys are what operators write.
type File struct {
	Peers           *Peers                `yaml:"peers"`
	OpenSearch      *OpenSearch           `yaml:"opensearch"`
	Hosts           map[string]HostKind   `yaml:"hosts"` // by the kind in the endpoint list: hosts that do not speak the platform's frames
	Background      map[string]WorkBudget `yaml:"background"`
	EndpointSources *EndpointSources      `yaml:"members"`
	Store           string                `yaml:"store"`    // the file that keeps state for the next start; empty for none
	Settings        map[string]any        `yaml:"settings"` // replace the plan's, in the plan's form
	Shadow          *Shadow               `yaml:"shadow"`
	Cluster         *Cluster              `yaml:"fleet"`
	EventLoops      int                   `yaml:"owners"` // event loops in the process, one for each core that it has; 0 means 1
	Log             Log                   `yaml:"log"`

	document *strictyaml.Document // the file that it was read from; nil for none
}

// EndpointSources are sources of the endpoint list beside discovery.
type EndpointSources struct {
	Files []string `yaml:"files"` // files, and folders of them
}

// Log says how the log is written.
type Log struct {
	Format string `yaml:"format"` // text, json or terminal
	Level  string `yaml:"level"`  // debug, info, warn or error
}

// Defaults and choices of Log.
const (
	defaultLogFormat = "text"
	defaultLogLevel  = "info"
)

var (
	logFormats = []string{"text", "json", "terminal"}
	logLevels  = []string{"debug", "info", "warn", "error"}
)

// Read reads and checks a file.
func Read(path string) (*File, error) {
	text, err := strictyaml.ReadFile(path, maxFileBytes)
	if err != nil {
		return nil, err
	}
	file, err := Parse(text, filepath.Dir(path))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return file, nil
}

// Parse decodes and checks a file's text, fills in defaults, and resolves the relative names of files in it against dir.
func Parse(text []byte, dir string) (*File, error) {
	file := &File{}
	document, err := strictyaml.Decode(text, maxFileBytes, file)
	if err != nil {
		return nil, err
	}
	file.document = document
	c := &checker{document: document, dir: dir}
	c.checkPeers(file.Peers)
	c.checkOpenSearch(file.OpenSearch)
	c.checkCluster(file.Cluster)
	c.checkHostKinds(file.Hosts)
	c.checkBackground(file)
	c.checkLog(&file.Log)
	c.checkSettings("$.settings", file.Settings)
	c.checkShadow(file.Shadow)
	c.checkEndpointSources(file.EndpointSources)
	c.resolvePaths(&file.Store)
	if file.EventLoops < 0 || file.EventLoops > maxEventLoops {
		c.addError("$.owners", "%d is not from 1 to %d", file.EventLoops, maxEventLoops)
	}
	return file, document.Err()
}

func (c *checker) checkHostKinds(kinds map[string]HostKind) {
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		path := "$.hosts." + kind
		c.checkName(path+".index", kinds[kind].Index)
		c.checkPlacement(path+".placed", kinds[kind].Placement)
	}
}

func (c *checker) checkEndpointSources(sources *EndpointSources) {
	if sources == nil {
		return
	}
	if count := len(sources.Files); count == 0 || count > maxEndpointSources {
		c.addError("$.members.files", "%d files and folders, 1 to %d are wanted", count, maxEndpointSources)
	}
	for i := range sources.Files {
		if sources.Files[i] == "" {
			c.addError(fmt.Sprintf("$.members.files[%d]", i), "is empty")
		}
		c.resolvePaths(&sources.Files[i])
	}
}

func (c *checker) checkLog(log *Log) {
	if log.Format == "" {
		log.Format = defaultLogFormat
	}
	if !slices.Contains(logFormats, log.Format) {
		c.addError("$.log.format", "%q is not text, json or terminal", log.Format)
	}
	if log.Level == "" {
		log.Level = defaultLogLevel
	}
	if !slices.Contains(logLevels, log.Level) {
		c.addError("$.log.level", "%q is not debug, info, warn or error", log.Level)
	}
}
