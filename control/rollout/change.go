package rollout

import (
	"fmt"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// Order says what is to be done with a change.
type Order int

// The orders, lowest precedence first: of two verdicts in one epoch, the one with the higher order wins.
const (
	OrderProceed  Order = iota // continue through the stages
	OrderStop                  // no further instance applies the change; instances that have it keep it
	OrderRollBack              // instances that have the change return to its base
)

// orderNames are the values of an Order in change files and log lines.
var orderNames = [...]string{OrderProceed: "go", OrderStop: "stop", OrderRollBack: "back"}

// String returns the order's value in change files and log lines.
func (o Order) String() string { return orderNames[o] }

// Stage is one stage of a change: how many instances have the change at its end, and how long they are then watched.
type Stage struct {
	Count         int     `yaml:"count" cbor:"1,keyasint,omitempty"` // number of instances; exclusive with Fraction
	Fraction      float64 `yaml:"share" cbor:"2,keyasint,omitempty"` // fraction of all instances
	WatchText     string  `yaml:"watch" cbor:"-"`                    // the watch duration as written in the file
	WatchDuration int64   `yaml:"-" cbor:"3,keyasint"`               // the same, parsed
}

// RegressionLimits is how much worse instances with the change may be than the others before that counts as a
// regression.
type RegressionLimits struct {
	Served               float64 `yaml:"served" cbor:"1,keyasint"`       // loss of served searches, as a fraction of all
	Late                 float64 `yaml:"late" cbor:"2,keyasint"`         // increase of late answers, as a fraction
	Shed                 float64 `yaml:"shed" cbor:"3,keyasint"`         // increase of shed searches, as a fraction
	Median               float64 `yaml:"median" cbor:"4,keyasint"`       // increase of answers slower than the baseline's median, as a fraction
	Tail                 float64 `yaml:"tail" cbor:"5,keyasint"`         // increase of answers slower than the baseline's 95th percentile, as a fraction
	SubRequests          float64 `yaml:"sub_requests" cbor:"6,keyasint"` // increase of searches with more sub-requests than the baseline's 75th percentile, as a fraction
	Connections          float64 `yaml:"connects" cbor:"7,keyasint"`     // factor on the baseline's new connections for each search
	Memory               float64 `yaml:"memory" cbor:"8,keyasint"`       // factor on the baseline's median memory
	Restarts             int     `yaml:"restarts" cbor:"9,keyasint"`     // unplanned restarts of one instance
	Unreachable          int     `yaml:"unreached" cbor:"10,keyasint"`   // instances with the change that have become unreachable
	FalseStopProbability float64 `yaml:"false_stops" cbor:"11,keyasint"` // probability that a change within the limits is stopped
}

// Program is an executable and the prefix of what its `version` command has to print.
type Program struct {
	Path    string `yaml:"path" cbor:"1,keyasint"`
	Version string `yaml:"version" cbor:"2,keyasint"`
}

// Change is what a change file describes, merged over its base: the change before it, or the instances' own files. It
// is immutable once it is published.
type Change struct {
	Name                  string            `cbor:"1,keyasint"`
	Number                uint64            `cbor:"2,keyasint"` // higher than that of every earlier change
	BaseNumber            uint64            `cbor:"3,keyasint"` // number of the base, 0 for the instances' own files
	Settings              map[string]string `cbor:"4,keyasint"` // replace those of the instances' own files, and include the base's
	Program               Program           `cbor:"5,keyasint"` // empty for the installed program
	Stages                []Stage           `cbor:"6,keyasint"`
	MaxConcurrentFraction float64           `cbor:"7,keyasint"`  // largest fraction of the instances that may restart at once
	WarmUp                int64             `cbor:"8,keyasint"`  // time after a restart that is not compared
	ReadyTimeout          int64             `cbor:"9,keyasint"`  // time within which a restarted instance has to serve
	SilenceTimeout        int64             `cbor:"10,keyasint"` // time without a status message that makes an instance unreachable
	MinSearches           int               `cbor:"11,keyasint"` // searches with the change that have to be compared before the next step
	RegressionLimits      RegressionLimits  `cbor:"12,keyasint"`
	OnRegression          Order             `cbor:"13,keyasint"` // OrderStop or OrderRollBack
}

// Digest returns a hash that distinguishes the changes of one number.
func (c *Change) Digest() string {
	return fmt.Sprintf("%016x", xxhash.Sum64(encodeEntry(c)))
}

// mergedOver returns the change with the settings and the program of its base where it has none of its own. A nil base
// is the instances' own files.
func (c Change) mergedOver(base *Change) Change {
	if base == nil {
		return c
	}
	settings := maps.Clone(base.Settings)
	if settings == nil {
		settings = map[string]string{}
	}
	maps.Copy(settings, c.Settings)
	c.BaseNumber, c.Settings = base.Number, settings
	if c.Program.Path == "" {
		c.Program = base.Program
	}
	return c
}
