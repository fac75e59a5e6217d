// Package rollout decides how a change of settings or of the program goes through a fleet in stages, with nobody in
// charge: each instance runs a Desk over the same shared words and decides its own step. change.go is the operator's
// file, roster.go who is in which stage, worse.go the comparison of old and new, word.go what instances tell each other,
// desk.go the decisions. It has no I/O; what restarts the process and carries the words is handed in.
// docs/rollout.md tells the rules and why they hold. Times are tenths of a millisecond of the clock handed in.
package rollout

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"regexp"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"chalkring/config/settings"
	"chalkring/config/strictyaml"
)

const (
	fileMost     = 64 << 10               // bytes of a change file: settings and stages fit a few
	nameMost     = 64                     // bytes of a change's name: it stands in log lines
	stagesMost   = 16                     // stages that a file may name
	settingsMost = 256                    // settings that a change may lay over: a plan has under a hundred
	watchMost    = 24 * time.Hour         // longest watch: longer is two changes
	tenth        = 100 * time.Microsecond // unit of times
	second       = int64(time.Second / tenth)
	endMark      = "..." // last line of a file: one that is cut lacks it
)

// What an operator wants of a change.
type Order int

const (
	OrderProceed  Order = iota // on through the stages
	OrderStop                  // nobody takes it any more; who has it keeps it
	OrderRollBack              // who has it goes back to what was before it
)

// placeName is a setting that changes nothing: which class or tenant those beside it mean. Each instance holds it against its plan.
var placeName = regexp.MustCompile(`^(Classes|Tenants)\.\d+\.Name$`)

var kinds = map[string]Order{"": OrderProceed, "go": OrderProceed, "stop": OrderStop, "back": OrderRollBack}

func (k Order) String() string { return [...]string{"go", "stop", "back"}[k] }

// Stage is one step of a change: how much of the fleet has it then, and how long that is watched.
type Stage struct {
	Count         int     `yaml:"count" cbor:"1,keyasint,omitempty"` // instances, or
	Fraction      float64 `yaml:"share" cbor:"2,keyasint,omitempty"` // of all instances
	WatchText     string  `yaml:"watch" cbor:"-"`
	WatchDuration int64   `yaml:"-" cbor:"3,keyasint"` // the same, read
}

// RegressionLimits is how far the new side may lie behind the old before it counts as worse.
type RegressionLimits struct {
	Served               float64 `yaml:"served" cbor:"1,keyasint"`       // of the served share of searches
	Late                 float64 `yaml:"late" cbor:"2,keyasint"`         // more late answers, as a share
	Shed                 float64 `yaml:"shed" cbor:"3,keyasint"`         // more shed, as a share
	Median               float64 `yaml:"median" cbor:"4,keyasint"`       // more answers over the old side's median, as a share
	Tail                 float64 `yaml:"tail" cbor:"5,keyasint"`         // more over the time that 5% of the old side's exceed
	SubRequests          float64 `yaml:"sub_requests" cbor:"6,keyasint"` // more searches with over the old side's usual sub-requests
	Connections          float64 `yaml:"connects" cbor:"7,keyasint"`     // times the old side's connects a search
	Memory               float64 `yaml:"memory" cbor:"8,keyasint"`       // times the old side's median memory
	Restarts             int     `yaml:"restarts" cbor:"9,keyasint"`     // of one instance that nobody asked for
	Unreachable          int     `yaml:"unreached" cbor:"10,keyasint"`   // instances with the change that fell silent
	FalseStopProbability float64 `yaml:"false_stops" cbor:"11,keyasint"` // chance that a change no worse than that is stopped
}

// defaultRegressionLimits holds where a file says nothing.
var defaultRegressionLimits = RegressionLimits{
	Served: 0.01, Late: 0.03, Shed: 0.02, Median: 0.15, Tail: 0.05, SubRequests: 0.15, Connections: 3, Memory: 1.5,
	Restarts: 2, Unreachable: 1, FalseStopProbability: 0.02,
}

// Program is an executable and how what its `version` tells has to begin.
type Program struct {
	Path    string `yaml:"path" cbor:"1,keyasint"`
	Version string `yaml:"version" cbor:"2,keyasint"`
}

// form is a change file.
type form struct {
	Name     string           `yaml:"name"`
	Number   uint64           `yaml:"number"`
	Order    string           `yaml:"order"`
	Turn     uint64           `yaml:"turn"`
	Settings map[string]any   `yaml:"settings"`
	Program  *Program         `yaml:"program"`
	Stages   []Stage          `yaml:"stages"`
	Together float64          `yaml:"together"`
	Cold     string           `yaml:"cold"`
	Ready    string           `yaml:"ready"`
	Silent   string           `yaml:"silent"`
	Searches *int             `yaml:"searches"`
	Worse    RegressionLimits `yaml:"worse"`
	Then     string           `yaml:"then"`
}

// Change is what a file names, laid over what was in force before it. It never changes once it is told.
type Change struct {
	Name                  string            `cbor:"1,keyasint"`
	Number                uint64            `cbor:"2,keyasint"` // rises with each change
	BaseNumber            uint64            `cbor:"3,keyasint"` // the number in force before it, 0 for the instances' own files
	Settings              map[string]string `cbor:"4,keyasint"` // all that is laid over the instances' files, what From had among it
	Program               Program           `cbor:"5,keyasint"` // empty for the installed one
	Stages                []Stage           `cbor:"6,keyasint"`
	MaxConcurrentFraction float64           `cbor:"7,keyasint"`
	WarmUp                int64             `cbor:"8,keyasint"`
	ReadyTimeout          int64             `cbor:"9,keyasint"`
	SilenceTimeout        int64             `cbor:"10,keyasint"`
	MinSearches           int               `cbor:"11,keyasint"`
	RegressionLimits      RegressionLimits  `cbor:"12,keyasint"`
	OnRegression          Order             `cbor:"13,keyasint"`
}

// ChangeFile is a change file as one instance reads it: the change, and what the operator wants of it at present.
type ChangeFile struct {
	Change Change // without From, and with its own settings alone
	Order  Order
	Epoch  uint64 // rises with each new order
}

// InvalidChangeFileError is a change file that cannot be used, whole: nothing of it is taken.
type InvalidChangeFileError struct {
	Path string
	Err  error
}

func (f *InvalidChangeFileError) Error() string {
	return fmt.Sprintf("change file %s: %v", f.Path, f.Err)
}
func (f *InvalidChangeFileError) Unwrap() error { return f.Err }

// Advice tells an operator what to do.
func (f *InvalidChangeFileError) Advice() string {
	return "Mend the file, or write it whole and end it with a line of three dots; until then the change told before it holds."
}

// ParseChangeFile reads a change file's text.
func ParseChangeFile(path string, text []byte) (*ChangeFile, error) {
	f, err := parse(text)
	if err != nil {
		return nil, &InvalidChangeFileError{path, err}
	}
	return f, nil
}

func parse(text []byte) (*ChangeFile, error) {
	body, ok := bytes.CutSuffix(bytes.TrimRight(text, "\r\n\t "), []byte("\n"+endMark))
	if !ok { // guards against a file that is read while it is written
		return nil, &strictyaml.InvalidFileError{
			Problem: "the last line is not " + endMark + ", so the file may be cut",
			Remedy:  "End the file with a line of three dots.",
		}
	}
	v := form{Worse: defaultRegressionLimits, Together: 1, Turn: 1}
	d, err := strictyaml.Decode(body, fileMost, &v)
	if err != nil {
		return nil, err
	}
	c := Change{
		Name: v.Name, Number: v.Number, Settings: map[string]string{}, Stages: v.Stages, MaxConcurrentFraction: v.Together,
		MinSearches: 200, RegressionLimits: v.Worse,
	}
	if len(v.Name) > nameMost || !plain(v.Name) {
		d.AddError("$.name", "%.40q is no name of letters, digits and .-_ of %d at most", v.Name, nameMost)
	}
	if v.Number == 0 {
		d.AddError("$.number", "has to be 1 or more, and higher than any change before")
	}
	order, ok := kinds[v.Order]
	if !ok {
		d.AddError("$.order", "%.40q is none of go, stop and back", v.Order)
	}
	if v.Turn == 0 {
		d.AddError("$.turn", "has to be 1 or more, and higher with each new order")
	}
	then, ok := map[string]Order{"": OrderRollBack, "back": OrderRollBack, "stop": OrderStop}[v.Then]
	if !ok {
		d.AddError("$.then", "%.40q is neither back nor stop", v.Then)
	}
	c.OnRegression = then
	if err := settings.Flatten(c.Settings, "", v.Settings); err != nil {
		d.AddError("$.settings", "%v", err)
	}
	if len(v.Settings) == 0 {
		c.Settings = map[string]string{}
	}
	if len(c.Settings) > settingsMost {
		d.AddError("$.settings", "%d settings, over %d", len(c.Settings), settingsMost)
	}
	for name, value := range c.Settings {
		if err := settings.Validate(name, value); err != nil {
			d.AddError("$.settings."+name, "%v", err)
		} else if !settings.IsKnown(name) && !placeName.MatchString(name) {
			d.AddError("$.settings."+name, "no setting that the decision module reads")
		}
	}
	if v.Program != nil {
		if c.Program = *v.Program; c.Program.Path == "" || c.Program.Path[0] != '/' {
			d.AddError("$.program.path", "%.80q is no absolute path", c.Program.Path)
		}
		if c.Program.Version == "" {
			d.AddError("$.program.version", "is missing: what its `version` has to begin with")
		}
	} else if len(c.Settings) == 0 {
		d.AddError("$.settings", "neither settings nor a program: nothing would change")
	}
	if len(c.Stages) == 0 || len(c.Stages) > stagesMost {
		d.AddError("$.stages", "%d stages; 1 to %d are wanted", len(c.Stages), stagesMost)
	}
	for i := range c.Stages {
		s, at := &c.Stages[i], fmt.Sprintf("$.stages[%d]", i)
		if (s.Count > 0) == (s.Fraction > 0) || s.Count < 0 || !(s.Fraction >= 0 && s.Fraction <= 1) {
			d.AddError(at, "one of count (1 or more) and share (up to 1) is wanted")
		}
		s.WatchDuration = span(d, at+".watch", s.WatchText, 0, 5*time.Minute)
	}
	if n := len(c.Stages); n > 0 && c.Stages[n-1].Fraction != 1 {
		d.AddError(fmt.Sprintf("$.stages[%d]", n-1), "the last stage has to be share: 1")
	}
	if !(c.MaxConcurrentFraction > 0 && c.MaxConcurrentFraction <= 1) {
		d.AddError("$.together", "%g is no share above 0", c.MaxConcurrentFraction)
	}
	if v.Searches != nil {
		if c.MinSearches = *v.Searches; c.MinSearches < 0 {
			d.AddError("$.searches", "%d is under 0", c.MinSearches)
		}
	}
	c.WarmUp = span(d, "$.cold", v.Cold, 0, 30*time.Second)
	c.ReadyTimeout = span(d, "$.ready", v.Ready, 100*time.Millisecond, 30*time.Second)
	c.SilenceTimeout = span(d, "$.silent", v.Silent, time.Second, 4*time.Minute)
	if c.SilenceTimeout < leaseTimes*c.ReadyTimeout {
		d.AddError("$.silent", "has to be %d times ready at least: a restart and its way back have to fit", leaseTimes)
	}
	checkWorse(d, &c.RegressionLimits)
	return &ChangeFile{Change: c, Order: order, Epoch: v.Turn}, d.Err()
}

func checkWorse(d *strictyaml.Document, w *RegressionLimits) {
	for name, v := range map[string]float64{
		"served": w.Served, "late": w.Late, "shed": w.Shed, "median": w.Median,
		"tail": w.Tail, "sub_requests": w.SubRequests,
	} {
		if !(v > 0 && v < 0.5) {
			d.AddError("$.worse."+name, "%g is no share above 0 and under 0.5", v)
		}
	}
	for name, v := range map[string]float64{"connects": w.Connections, "memory": w.Memory} {
		if !(v > 1) || math.IsInf(v, 0) {
			d.AddError("$.worse."+name, "%g is no factor above 1", v)
		}
	}
	if w.Restarts < 1 || w.Unreachable < 1 {
		d.AddError("$.worse", "restarts and unreached have to be 1 or more")
	}
	if !(w.FalseStopProbability > 0 && w.FalseStopProbability <= 0.05) {
		d.AddError("$.worse.false_stops", "%g is no chance above 0 and up to 0.05", w.FalseStopProbability)
	}
}

// span reads a length of time, in tenths of a millisecond.
func span(d *strictyaml.Document, path, text string, least, usual time.Duration) int64 {
	if text == "" {
		return int64(usual / tenth)
	}
	v, err := time.ParseDuration(text)
	if err != nil || v < least || v > watchMost {
		d.AddError(path, "%.40q is no time of %v to %v, such as 90s", text, least, watchMost)
	}
	return int64(v / tenth)
}

func plain(name string) bool {
	for _, c := range []byte(name) {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '.' && c != '-' && c != '_' {
			return false
		}
	}
	return name != ""
}

// over is the change with what was in force before under it.
func (c Change) over(before *Change) Change {
	if before == nil {
		return c
	}
	c.BaseNumber = before.Number
	values := maps.Clone(before.Settings)
	if values == nil {
		values = map[string]string{}
	}
	maps.Copy(values, c.Settings)
	if c.Settings = values; c.Program.Path == "" {
		c.Program = before.Program
	}
	return c
}

var (
	cborEncoder, _ = cbor.CoreDetEncOptions().EncMode()
	cborDecoder, _ = cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 12}.DecMode()
)

// Digest tells changes of one number apart.
func (c *Change) Digest() string {
	text, _ := cborEncoder.Marshal(c) // plain types cannot fail
	return fmt.Sprintf("%016x", xxhash.Sum64(text))
}
