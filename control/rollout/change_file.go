package rollout

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"time"

	"chalkring/config/settings"
	"chalkring/config/strictyaml"
	"chalkring/internal/guard"
)

const (
	maxFileBytes     = 64 << 10       // settings and stages take a few KiB
	maxNameBytes     = 64             // the name of a change appears in log lines
	maxStages        = 16             // stages that a file may have
	maxSettings      = 256            // settings that a change may set: a plan has fewer than a hundred
	maxDuration      = 24 * time.Hour // what has to be watched for longer should be two changes
	maxLimitFraction = 0.5            // exclusive upper bound of the limits that are fractions
	maxFalseStops    = 0.05           // largest probability of a false stop that a file may ask for
	endMarker        = "..."          // last line of a file, missing from a truncated one

	// minSilenceFactor is the least ratio of SilenceTimeout to ReadyTimeout. A permit is valid for SilenceTimeout, and
	// a failed restart and the restart back have to fit into half of it.
	minSilenceFactor = 4
)

// Defaults of the keys that a file leaves out, and minimum durations.
const (
	defaultEpoch          = 1
	defaultMaxConcurrent  = 1.0
	defaultMinSearches    = 200
	defaultWatch          = 5 * time.Minute
	defaultWarmUp         = 30 * time.Second
	defaultReadyTimeout   = 30 * time.Second
	defaultSilenceTimeout = 4 * time.Minute
	minReadyTimeout       = 100 * time.Millisecond
	minSilenceTimeout     = time.Second
)

// defaultRegressionLimits are the defaults of the limits that a file leaves out.
var defaultRegressionLimits = RegressionLimits{
	Served: 0.01, Late: 0.03, Shed: 0.02, Median: 0.15, Tail: 0.05, SubRequests: 0.15, Connections: 3, Memory: 1.5,
	Restarts: 2, Unreachable: 1, FalseStopProbability: 0.02,
}

// ordersByName are the values of the key `order`, regressionOrdersByName those of the key `then`.
var (
	ordersByName           = map[string]Order{"": OrderProceed, "go": OrderProceed, "stop": OrderStop, "back": OrderRollBack}
	regressionOrdersByName = map[string]Order{"": OrderRollBack, "back": OrderRollBack, "stop": OrderStop}
)

// classOrTenantName matches settings that change nothing by themselves. They name the class or tenant that the settings
// beside them are meant for, and each instance compares the name with its plan.
var classOrTenantName = regexp.MustCompile(`^(Classes|Tenants)\.\d+\.Name$`)

// changeFileKeys are the keys of a change file as it is written.
type changeFileKeys struct {
	Name                  string           `yaml:"name"`
	Number                uint64           `yaml:"number"`
	Order                 string           `yaml:"order"`
	Epoch                 uint64           `yaml:"turn"`
	Settings              map[string]any   `yaml:"settings"`
	Program               *Program         `yaml:"program"`
	Stages                []Stage          `yaml:"stages"`
	MaxConcurrentFraction float64          `yaml:"together"`
	WarmUp                string           `yaml:"cold"`
	ReadyTimeout          string           `yaml:"ready"`
	SilenceTimeout        string           `yaml:"silent"`
	MinSearches           *int             `yaml:"searches"`
	RegressionLimits      RegressionLimits `yaml:"worse"`
	OnRegression          string           `yaml:"then"`
}

// ChangeFile is a change file as one instance reads it: a change and the operator's current order for it.
type ChangeFile struct {
	Change Change // not merged over a base: BaseNumber is 0, and Settings are those of the file alone
	Order  Order
	Epoch  uint64 // rises with each new order
}

// ParseChangeFile reads the text of a change file; path is for error messages. Its errors are InvalidChangeFileError.
func ParseChangeFile(path string, text []byte) (*ChangeFile, error) {
	file, err := guard.Read(func() (*ChangeFile, error) { return parseChangeFile(text) })
	if err != nil {
		return nil, &InvalidChangeFileError{path, err}
	}
	return file, nil
}

func parseChangeFile(text []byte) (*ChangeFile, error) {
	body, ok := bytes.CutSuffix(bytes.TrimRight(text, "\r\n\t "), []byte("\n"+endMarker))
	if !ok { // the file may be read while it is being written
		return nil, &strictyaml.InvalidFileError{
			Problem: "the last line is not " + endMarker + ", so the file may be truncated",
			Remedy:  "End the file with a line of three dots.",
		}
	}
	keys := changeFileKeys{RegressionLimits: defaultRegressionLimits, MaxConcurrentFraction: defaultMaxConcurrent, Epoch: defaultEpoch}
	document, err := strictyaml.Decode(body, maxFileBytes, &keys)
	if err != nil {
		return nil, err
	}
	parser := changeFileParser{Document: document, keys: &keys}
	file := parser.parse()
	return file, document.Err()
}

// changeFileParser turns the keys of a file into a change. It records each error in the document and continues, so that
// an operator sees all errors at once.
type changeFileParser struct {
	*strictyaml.Document
	keys *changeFileKeys
}

func (p *changeFileParser) parse() *ChangeFile {
	keys := p.keys
	p.checkIdentity()
	file := &ChangeFile{Epoch: keys.Epoch, Order: p.parseOrder()}
	file.Change = Change{
		Name: keys.Name, Number: keys.Number, MaxConcurrentFraction: keys.MaxConcurrentFraction, MinSearches: defaultMinSearches,
		RegressionLimits: keys.RegressionLimits, OnRegression: p.parseRegressionOrder(), Settings: p.parseSettings(),
	}
	change := &file.Change
	change.Program = p.parseProgram(len(change.Settings) > 0)
	change.Stages = p.parseStages()
	if !(change.MaxConcurrentFraction > 0 && change.MaxConcurrentFraction <= 1) { // also for NaN
		p.AddError("$.together", "%g is not a share above 0 and up to 1", change.MaxConcurrentFraction)
	}
	if keys.MinSearches != nil {
		if change.MinSearches = *keys.MinSearches; change.MinSearches < 0 {
			p.AddError("$.searches", "%d is below 0", change.MinSearches)
		}
	}
	change.WarmUp = p.parseDuration("$.cold", keys.WarmUp, 0, defaultWarmUp)
	change.ReadyTimeout = p.parseDuration("$.ready", keys.ReadyTimeout, minReadyTimeout, defaultReadyTimeout)
	change.SilenceTimeout = p.parseDuration("$.silent", keys.SilenceTimeout, minSilenceTimeout, defaultSilenceTimeout)
	if change.SilenceTimeout < minSilenceFactor*change.ReadyTimeout {
		p.AddError("$.silent", "has to be at least %d times as long as ready, to cover a failed restart and the restart back", minSilenceFactor)
	}
	p.checkRegressionLimits()
	return file
}

func (p *changeFileParser) checkIdentity() {
	if name := p.keys.Name; len(name) > maxNameBytes || !isPlainName(name) {
		p.AddError("$.name", "%.40q is not a name of letters, digits and .-_ with at most %d characters", name, maxNameBytes)
	}
	if p.keys.Number == 0 {
		p.AddError("$.number", "has to be 1 or more, and higher than that of every earlier change")
	}
}

func (p *changeFileParser) parseOrder() Order {
	order, ok := ordersByName[p.keys.Order]
	if !ok {
		p.AddError("$.order", "%.40q is none of go, stop and back", p.keys.Order)
	}
	if p.keys.Epoch == 0 {
		p.AddError("$.turn", "has to be 1 or more, and higher with each new order")
	}
	return order
}

func (p *changeFileParser) parseRegressionOrder() Order {
	order, ok := regressionOrdersByName[p.keys.OnRegression]
	if !ok {
		p.AddError("$.then", "%.40q is neither back nor stop", p.keys.OnRegression)
	}
	return order
}

func (p *changeFileParser) parseSettings() map[string]string {
	values := map[string]string{}
	if err := settings.Flatten(values, "", p.keys.Settings); err != nil {
		p.AddError("$.settings", "%v", err)
	}
	if len(p.keys.Settings) == 0 {
		values = map[string]string{}
	}
	if len(values) > maxSettings {
		p.AddError("$.settings", "%d settings, more than %d", len(values), maxSettings)
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if err := settings.Validate(name, values[name]); err != nil {
			p.AddError("$.settings."+name, "%v", err)
		} else if !settings.IsKnown(name) && !classOrTenantName.MatchString(name) {
			p.AddError("$.settings."+name, "not a setting that the balancer reads")
		}
	}
	return values
}

func (p *changeFileParser) parseProgram(hasSettings bool) Program {
	if p.keys.Program == nil {
		if !hasSettings {
			p.AddError("$.settings", "neither settings nor a program: nothing would change")
		}
		return Program{}
	}
	program := *p.keys.Program
	if program.Path == "" || program.Path[0] != '/' {
		p.AddError("$.program.path", "%.80q is not an absolute path", program.Path)
	}
	if program.Version == "" {
		p.AddError("$.program.version", "is missing: the prefix of what the program's `version` command prints")
	}
	return program
}

func (p *changeFileParser) parseStages() []Stage {
	stages := p.keys.Stages
	if len(stages) == 0 || len(stages) > maxStages {
		p.AddError("$.stages", "%d stages; there have to be 1 to %d", len(stages), maxStages)
	}
	for i := range stages {
		stage, path := &stages[i], fmt.Sprintf("$.stages[%d]", i)
		hasCount, hasFraction := stage.Count > 0, stage.Fraction > 0
		if hasCount == hasFraction || stage.Count < 0 || !(stage.Fraction >= 0 && stage.Fraction <= 1) {
			p.AddError(path, "needs either count (1 or more) or share (above 0 and up to 1)")
		}
		stage.WatchDuration = p.parseDuration(path+".watch", stage.WatchText, 0, defaultWatch)
	}
	if last := len(stages) - 1; last >= 0 && stages[last].Fraction != 1 {
		p.AddError(fmt.Sprintf("$.stages[%d]", last), "the last stage has to have share: 1")
	}
	return stages
}

func (p *changeFileParser) checkRegressionLimits() {
	limits := &p.keys.RegressionLimits
	for _, fraction := range []struct {
		key   string
		value float64
	}{
		{"served", limits.Served},
		{"late", limits.Late},
		{"shed", limits.Shed},
		{"median", limits.Median},
		{"tail", limits.Tail},
		{"sub_requests", limits.SubRequests},
	} {
		if !(fraction.value > 0 && fraction.value < maxLimitFraction) {
			p.AddError("$.worse."+fraction.key, "%g is not a share above 0 and below %g", fraction.value, maxLimitFraction)
		}
	}
	for _, factor := range []struct {
		key   string
		value float64
	}{
		{"connects", limits.Connections},
		{"memory", limits.Memory},
	} {
		if !(factor.value > 1) || math.IsInf(factor.value, 0) {
			p.AddError("$.worse."+factor.key, "%g is not a factor above 1", factor.value)
		}
	}
	if limits.Restarts < 1 || limits.Unreachable < 1 {
		p.AddError("$.worse", "restarts and unreached have to be 1 or more")
	}
	if !(limits.FalseStopProbability > 0 && limits.FalseStopProbability <= maxFalseStops) {
		p.AddError("$.worse.false_stops", "%g is not a probability above 0 and up to %g", limits.FalseStopProbability, maxFalseStops)
	}
}

// parseDuration returns a duration from minimum to maxDuration, in timeUnit; the default for an empty text.
func (p *changeFileParser) parseDuration(path, text string, minimum, byDefault time.Duration) int64 {
	if text == "" {
		return int64(byDefault / timeUnit)
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration < minimum || duration > maxDuration {
		p.AddError(path, "%.40q is not a duration from %v to %v, such as 90s", text, minimum, maxDuration)
	}
	return int64(duration / timeUnit)
}

// isPlainName reports whether a name is not empty and has only letters, digits, dots, dashes and underscores.
func isPlainName(name string) bool {
	for _, c := range []byte(name) {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '.' && c != '-' && c != '_' {
			return false
		}
	}
	return name != ""
}
