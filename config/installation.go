// Package config reads what other installations turn on beside the plan: a YAML file, checked whole, that
// names each fault with line and column. The platform's plan stays JSON and knows nothing of it.
// docs/peer-reports.md and deploy/installation.yaml tell what may stand in it.
package config

import (
	"fmt"
	"maps"
	"net/netip"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"chalkring/cluster/peerreport"
	"chalkring/config/settings"
	"chalkring/config/strictyaml"
	"chalkring/opensearch/query"
)

const (
	fileMost    = 1 << 20        // bytes of the file: a thousand times what one needs
	refreshMost = 24 * time.Hour // longest time between askings that makes sense
	refreshLow  = time.Second    // shortest: a peer answers a name once a second
	rateLow     = 1024           // bytes a second under which no report comes through in time
	cpuMost     = 1.0            // seconds a second: one core is what a co-ordinator has
	indicesMost = 64             // indices of a front
	filesMost   = 64             // files and folders of hosts
	ownersMost  = 64             // owners in a process: cores of the machines there are
	jobsMost    = 64             // jobs of a kind at once
	defaultRate = 4 << 20        // bytes a second for peers: a report of 10,000 hosts in a quarter of a second
	defaultCPU  = 0.2            // seconds a second: searches keep the rest
	defaultJobs = 4              // askings at once
)

// File is what an installation turns on.
type File struct {
	Peers      *Peers                `yaml:"peers"`
	OpenSearch *OpenSearch           `yaml:"opensearch"`
	Hosts      map[string]HostKind   `yaml:"hosts"` // by the list's kind: those that do not speak the platform's frames
	Background map[string]WorkBudget `yaml:"background"`
	Members    *EndpointSources      `yaml:"members"`
	Store      string                `yaml:"store"`    // file that keeps what a restart can use; from the folder of the YAML file
	Settings   map[string]any        `yaml:"settings"` // over the plan's, in the plan's form
	Shadow     *Shadow               `yaml:"shadow"`
	Fleet      *Cluster              `yaml:"fleet"`
	Owners     int                   `yaml:"owners"` // co-ordinators in the process, one for each core it has; 1 where left out
	Log        Log                   `yaml:"log"`

	doc *strictyaml.Document // it was read from
}

// Peers are the co-ordinators that this one learns from, and those it tells.
type Peers struct {
	Name            string        `yaml:"name"`    // its own, the plan's where it is left out
	Locality        string        `yaml:"place"`   // where it stands; ways to zones are believed from the same place only
	Listen          string        `yaml:"listen"`  // where others ask; nothing listens where it is left out
	PollTargets     []Peer        `yaml:"ask"`     // whom it asks
	AllowedPeers    []string      `yaml:"allow"`   // who may ask, by name
	RefreshText     string        `yaml:"refresh"` // between askings after the first half minute; 0 asks no more
	RefreshInterval time.Duration `yaml:"-"`       // the same, read
	TLS             *TLS          `yaml:"tls"`     // without it all is plain text and names are believed
}

// OpenSearch is the front that speaks the OpenSearch-style API.
type OpenSearch struct {
	Listen  string  `yaml:"listen"`
	TLS     *TLS    `yaml:"tls"` // certificate and key; with authorities, clients need a certificate of theirs
	Indices []Index `yaml:"indices"`
}

// Index is one index: what its searches are to the co-ordinator.
type Index struct {
	Name   string `yaml:"name"`
	Type   string `yaml:"type"`    // of query, as the plan's settings name it
	Tenant string `yaml:"partner"` // likewise; left out where the plan names none
	Blocks []int  `yaml:"blocks"`  // member blocks

	Placement *query.Placement `yaml:"placed"` // the rule by which members are in them; left out where it is not the API's
}

// EndpointSources are sources of the host list beside discovery.
type EndpointSources struct {
	Files []string `yaml:"files"` // files, and folders of them; from the folder of the YAML file
}

// Shadow are settings that decisions are held against and that are not in force.
type Shadow struct {
	Settings map[string]any `yaml:"settings"`
}

// FlattenSettings names a file's settings as the plan's are named.
func FlattenSettings(values map[string]any) map[string]string {
	over := map[string]string{}
	settings.Flatten(over, "", values)
	for name := range over {
		if strings.HasSuffix(name, ".count") { // lists of objects set some of their places
			delete(over, name)
		}
	}
	return over
}

// HostKind is a kind of host that speaks the OpenSearch-style API.
type HostKind struct {
	Index     string           `yaml:"index"`  // in which it keeps members
	Placement *query.Placement `yaml:"placed"` // as an index's
}

// Peer is one to ask.
type Peer struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

// TLS names the files of mutual TLS, from the folder of the YAML file where they are not absolute.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authorities string `yaml:"authorities"`
}

// WorkBudget bounds one kind of background work: ask, answer or keep.
type WorkBudget struct {
	BytesPerSecond float64 `yaml:"bytes_per_second"`
	CPUPerSecond   float64 `yaml:"cpu_per_second"`
	MaxConcurrent  int     `yaml:"concurrent"`
}

// BackgroundKinds are the kinds of background work that may be bounded.
var BackgroundKinds = []string{"ask", "answer", "keep"}

// Log says how the log is written.
type Log struct {
	Format string `yaml:"format"` // text, json or terminal
	Level  string `yaml:"level"`  // debug, info, warn or error
}

// Read reads a file and looks at all of it.
func Read(path string) (*File, error) {
	text, err := strictyaml.ReadFile(path, fileMost)
	if err != nil {
		return nil, err
	}
	f, err := Parse(text, filepath.Dir(path))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// Parse reads a file's text; relative names of files in it start from dir.
func Parse(text []byte, dir string) (*File, error) {
	f := &File{}
	doc, err := strictyaml.Decode(text, fileMost, f)
	if err != nil {
		return nil, err
	}
	f.doc = doc
	c := &checker{doc: doc}
	c.peers(f, dir)
	c.openSearch(f, dir)
	c.fleet(f, dir)
	for kind, h := range f.Hosts {
		c.name("$.hosts."+kind+".index", h.Index)
		c.placed("$.hosts."+kind+".placed", h.Placement)
	}
	c.background(f)
	c.log(f)
	c.settings("$.settings", f.Settings)
	if f.Shadow != nil {
		c.settings("$.shadow.settings", f.Shadow.Settings)
		if len(f.Shadow.Settings) == 0 {
			c.fault("$.shadow", "names no settings to hold decisions against")
		}
	}
	if f.Members != nil {
		if len(f.Members.Files) == 0 || len(f.Members.Files) > filesMost {
			c.fault("$.members.files", "%d files and folders, 1 to %d are wanted", len(f.Members.Files), filesMost)
		}
		for i, path := range f.Members.Files {
			if path == "" {
				c.fault(fmt.Sprintf("$.members.files[%d]", i), "is empty")
			}
			from(dir, &f.Members.Files[i])
		}
	}
	from(dir, &f.Store)
	if f.Owners < 0 || f.Owners > ownersMost {
		c.fault("$.owners", "%d is not from 1 to %d", f.Owners, ownersMost)
	}
	return f, c.doc.Err()
}

// from makes the names of files that are relative start from dir; those left out stay empty.
func from(dir string, files ...*string) {
	for _, file := range files {
		if *file != "" && !filepath.IsAbs(*file) {
			*file = filepath.Join(dir, *file)
		}
	}
}

// checker looks at what was read and notes what is wrong and where.
type checker struct{ doc *strictyaml.Document }

// fault names a fault at a path such as $.peers.ask[0].address.
func (c *checker) fault(path, format string, v ...any) { c.doc.AddError(path, format, v...) }

func (c *checker) address(path, text string) {
	if at, err := netip.ParseAddrPort(text); err != nil || at.Port() == 0 {
		c.fault(path, "%q is no address with a port, such as 127.0.0.1:7400", text)
	}
}

func (c *checker) name(path, text string) {
	if text == "" || len(text) > peerreport.MaxNameBytes || strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' }) {
		c.fault(path, "%.40q is no name: 1 to %d letters without blanks", text, peerreport.MaxNameBytes)
	}
}

func (c *checker) peers(f *File, dir string) {
	p := f.Peers
	if p == nil {
		return
	}
	if p.Name != "" {
		c.name("$.peers.name", p.Name)
	}
	if len(p.Locality) > peerreport.MaxNameBytes {
		c.fault("$.peers.place", "over %d letters", peerreport.MaxNameBytes)
	}
	if p.Listen != "" {
		c.address("$.peers.listen", p.Listen)
	}
	if p.Listen == "" && len(p.AllowedPeers) > 0 {
		c.fault("$.peers.allow", "names are allowed, but nothing listens")
	}
	if len(p.PollTargets) > peerreport.MaxPeers {
		c.fault("$.peers.ask", "%d peers, %d at the most", len(p.PollTargets), peerreport.MaxPeers)
	}
	seen := map[string]bool{}
	for i, one := range p.PollTargets {
		at := fmt.Sprintf("$.peers.ask[%d]", i)
		c.name(at+".name", one.Name)
		c.address(at+".address", one.Address)
		if seen[one.Name] {
			c.fault(at+".name", "%q is there twice", one.Name)
		}
		seen[one.Name] = true
	}
	for i, name := range p.AllowedPeers {
		c.name(fmt.Sprintf("$.peers.allow[%d]", i), name)
	}
	if p.RefreshText != "" {
		var err error
		if p.RefreshInterval, err = time.ParseDuration(p.RefreshText); err != nil {
			c.fault("$.peers.refresh", "%.40q is no time such as 30s", p.RefreshText)
		}
	}
	if p.RefreshInterval != 0 && (p.RefreshInterval < refreshLow || p.RefreshInterval > refreshMost) {
		c.fault("$.peers.refresh", "%v is not from %v to %v", p.RefreshInterval, refreshLow, refreshMost)
	}
	c.tls("$.peers.tls.", p.TLS, dir, "certificate", "key", "authorities")
}

// tls makes the names of files whole; those that are needed have to be there.
func (c *checker) tls(at string, t *TLS, dir string, needed ...string) {
	if t == nil {
		return
	}
	for name, file := range map[string]*string{"certificate": &t.Certificate, "key": &t.Key, "authorities": &t.Authorities} {
		if *file == "" && slices.Contains(needed, name) {
			c.fault(at+name, "is missing")
		}
		from(dir, file)
	}
}

func (c *checker) openSearch(f *File, dir string) {
	o := f.OpenSearch
	if o == nil {
		return
	}
	c.address("$.opensearch.listen", o.Listen)
	c.tls("$.opensearch.tls.", o.TLS, dir, "certificate", "key")
	if len(o.Indices) == 0 || len(o.Indices) > indicesMost {
		c.fault("$.opensearch.indices", "%d indices, 1 to %d are wanted", len(o.Indices), indicesMost)
	}
	seen := map[string]bool{}
	for i, x := range o.Indices {
		at := fmt.Sprintf("$.opensearch.indices[%d]", i)
		c.name(at+".name", x.Name)
		if strings.HasPrefix(x.Name, "_") || strings.ContainsAny(x.Name, ",*/?#") || x.Name != strings.ToLower(x.Name) {
			c.fault(at+".name", "%q: small letters, no leading _, none of , * / ? #", x.Name)
		}
		if seen[x.Name] {
			c.fault(at+".name", "%q is there twice", x.Name)
		}
		seen[x.Name] = true
		c.name(at+".type", x.Type)
		if len(x.Blocks) == 0 {
			c.fault(at+".blocks", "names no block")
		}
		sorted := slices.Clone(x.Blocks)
		slices.Sort(sorted)
		if len(slices.Compact(sorted)) < len(x.Blocks) || len(sorted) > 0 && sorted[0] < 0 {
			c.fault(at+".blocks", "a block is there twice or under 0")
		}
		c.placed(at+".placed", x.Placement)
		if x.Placement != nil && len(sorted) > 0 && sorted[len(sorted)-1] >= x.Placement.Shards {
			c.fault(at+".placed", "block %d is not under number_of_shards", sorted[len(sorted)-1])
		}
	}
}

func (c *checker) placed(at string, p *query.Placement) {
	if p != nil && !p.IsValid() {
		c.fault(at, "number_of_shards is from 1 to 1024, number_of_routing_shards a multiple of it or left out")
	}
}

func (c *checker) background(f *File) {
	for name, w := range f.Background {
		at := "$.background." + name
		known := false
		for _, kind := range BackgroundKinds {
			known = known || kind == name
		}
		switch {
		case !known:
			c.fault(at, "no such kind of work; there are %s", strings.Join(BackgroundKinds, " and "))
		case w.BytesPerSecond != 0 && !(w.BytesPerSecond >= rateLow):
			c.fault(at+".bytes_per_second", "%g is under %d", w.BytesPerSecond, rateLow)
		case w.CPUPerSecond != 0 && !(w.CPUPerSecond > 0 && w.CPUPerSecond <= cpuMost):
			c.fault(at+".cpu_per_second", "%g is not above 0 and up to %g", w.CPUPerSecond, cpuMost)
		case w.MaxConcurrent < 0 || w.MaxConcurrent > jobsMost:
			c.fault(at+".concurrent", "%d is not from 1 to %d", w.MaxConcurrent, jobsMost)
		}
	}
	all := map[string]WorkBudget{}
	for _, kind := range BackgroundKinds {
		w := f.Background[kind]
		if w.BytesPerSecond == 0 {
			w.BytesPerSecond = defaultRate
		}
		if w.CPUPerSecond == 0 {
			w.CPUPerSecond = defaultCPU
		}
		if w.MaxConcurrent == 0 {
			w.MaxConcurrent = defaultJobs
		}
		all[kind] = w
	}
	f.Background = all
}

// settings have to be such as the module reads, each by itself; lists by query type are held against the plan later.
func (c *checker) settings(at string, values map[string]any) {
	if err := settings.Flatten(map[string]string{}, "", values); err != nil {
		c.fault(at, "%v", err)
	}
	over := FlattenSettings(values)
	for _, name := range slices.Sorted(maps.Keys(over)) {
		path := at + "." + index.ReplaceAllString(name, "[$1]")
		if !settings.IsKnown(name) {
			c.fault(path, "no such setting")
		} else if err := settings.Validate(name, over[name]); err != nil {
			c.fault(path, "%v", err)
		}
	}
}

var index = regexp.MustCompile(`\.(\d+)`)

func (c *checker) log(f *File) {
	switch f.Log.Format {
	case "":
		f.Log.Format = "text"
	case "text", "json", "terminal":
	default:
		c.fault("$.log.format", "%q is not text, json or terminal", f.Log.Format)
	}
	switch f.Log.Level {
	case "":
		f.Log.Level = "info"
	case "debug", "info", "warn", "error":
	default:
		c.fault("$.log.level", "%q is not debug, info, warn or error", f.Log.Level)
	}
}
