// Package config reads the installation file: the YAML file in which an operator turns on features that the platform's
// plan, a JSON file, has no settings for. deploy/installation.yaml and deploy/fleet.yaml show all keys;
// docs/peer-reports.md, docs/cluster.md and docs/opensearch.md explain them.
//
// Read checks the whole file and returns all errors together, each a strictyaml.InvalidFileError with line and column.
// Relative file paths in it are relative to its folder.
package config

import (
	"fmt"
	"maps"
	"path/filepath"
	"slices"

	"chalkring/config/strictyaml"
	"chalkring/internal/guard"
)

const (
	// maxFileBytes limits the size of the file. It is a thousand times what an installation file needs.
	maxFileBytes = 1 << 20
	// maxEndpointSources limits the files and folders in EndpointSources.
	maxEndpointSources = 64
	// maxEventLoops limits the event loops of a process: no machine in use has more cores.
	maxEventLoops = 64
)

// File is an installation file. Only the YAML keys are fixed, because operators write them; the Go names may change.
type File struct {
	Peers           *Peers                `yaml:"peers"`
	OpenSearch      *OpenSearch           `yaml:"opensearch"`
	Hosts           map[string]HostKind   `yaml:"hosts"` // hosts that do not speak the platform's frame protocol, keyed by their kind in the endpoint list
	Background      map[string]WorkBudget `yaml:"background"`
	EndpointSources *EndpointSources      `yaml:"members"`
	Store           string                `yaml:"store"`    // file that keeps state across restarts; empty means none
	Settings        map[string]any        `yaml:"settings"` // override the plan's settings and have the same form
	Shadow          *Shadow               `yaml:"shadow"`
	Cluster         *Cluster              `yaml:"fleet"`
	EventLoops      int                   `yaml:"owners"` // event loops of the process, one for each core it may use; 0 means 1
	Log             Log                   `yaml:"log"`

	document *strictyaml.Document // collects the errors that checks find; nil if the File was not made by Parse
}

// EndpointSources are sources of the endpoint list in addition to discovery.
type EndpointSources struct {
	Files []string `yaml:"files"` // host files, and folders of host files
}

// Includes reports whether a path is one of the host files, or in one of the folders. s may be nil.
func (s *EndpointSources) Includes(path string) bool {
	return s != nil && (slices.Contains(s.Files, path) || slices.Contains(s.Files, filepath.Dir(path)))
}

// Log selects the format and the level of the log.
type Log struct {
	Format string `yaml:"format"` // text, json or terminal
	Level  string `yaml:"level"`  // debug, info, warn or error
}

// Defaults of Log.
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

// Parse decodes and checks a file's text, fills in defaults, and resolves the relative file paths in it against dir.
func Parse(text []byte, dir string) (*File, error) {
	return guard.Read(func() (*File, error) { return parse(text, dir) })
}

func parse(text []byte, dir string) (*File, error) {
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
		c.addError("$.members.files", "%d files and folders; expected 1 to %d", count, maxEndpointSources)
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
