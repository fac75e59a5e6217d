package config

import (
	"maps"
	"slices"
	"strings"
)

const (
	// minBytesPerSecond is the lowest allowed rate: below it, a report would not arrive within its timeout.
	minBytesPerSecond = 1024
	// maxCPUPerSecond is the largest allowed WorkBudget.CPUPerSecond: an event loop uses at most one core.
	maxCPUPerSecond = 1.0
	// maxConcurrentJobs is the largest allowed WorkBudget.MaxConcurrent.
	maxConcurrentJobs = 64

	defaultBytesPerSecond = 4 << 20 // enough for a report of 10,000 hosts, 380 KB, in a tenth of a second
	defaultCPUPerSecond   = 0.2     // the rest is left to searches
	defaultConcurrentJobs = 4
)

// WorkBudget limits one kind of background work. A value of 0 means the default.
type WorkBudget struct {
	BytesPerSecond float64 `yaml:"bytes_per_second"`
	CPUPerSecond   float64 `yaml:"cpu_per_second"` // seconds of CPU time per second
	MaxConcurrent  int     `yaml:"concurrent"`
}

// BackgroundKinds are the kinds of background work that can be limited: polling peers, answering their polls, saving
// state.
var BackgroundKinds = []string{"ask", "answer", "keep"}

// checkBackground checks the budgets and fills in the defaults for every kind.
func (c *checker) checkBackground(file *File) {
	for _, kind := range slices.Sorted(maps.Keys(file.Background)) {
		c.checkWorkBudget("$.background."+kind, kind, file.Background[kind])
	}
	budgets := map[string]WorkBudget{}
	for _, kind := range BackgroundKinds {
		budgets[kind] = file.Background[kind].withDefaults()
	}
	file.Background = budgets
}

func (c *checker) checkWorkBudget(path, kind string, budget WorkBudget) {
	// The conditions say what is valid rather than what is not, so that NaN is rejected.
	isValidRate := budget.BytesPerSecond == 0 || budget.BytesPerSecond >= minBytesPerSecond
	isValidCPU := budget.CPUPerSecond == 0 || budget.CPUPerSecond > 0 && budget.CPUPerSecond <= maxCPUPerSecond
	switch {
	case !slices.Contains(BackgroundKinds, kind):
		c.addError(path, "unknown kind of background work; expected one of %s", strings.Join(BackgroundKinds, ", "))
	case !isValidRate:
		c.addError(path+".bytes_per_second", "%g is less than the minimum of %d", budget.BytesPerSecond, minBytesPerSecond)
	case !isValidCPU:
		c.addError(path+".cpu_per_second", "%g is not greater than 0 and at most %g", budget.CPUPerSecond, maxCPUPerSecond)
	case budget.MaxConcurrent < 0 || budget.MaxConcurrent > maxConcurrentJobs:
		c.addError(path+".concurrent", "%d is not from 1 to %d", budget.MaxConcurrent, maxConcurrentJobs)
	}
}

func (b WorkBudget) withDefaults() WorkBudget {
	if b.BytesPerSecond == 0 {
		b.BytesPerSecond = defaultBytesPerSecond
	}
	if b.CPUPerSecond == 0 {
		b.CPUPerSecond = defaultCPUPerSecond
	}
	if b.MaxConcurrent == 0 {
		b.MaxConcurrent = defaultConcurrentJobs
	}
	return b
}
