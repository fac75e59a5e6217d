package config

import (
	"maps"
	"slices"
	"strings"
)

const (
	// minBytesPerSecond is the rate below which no report is received within its timeout.
	minBytesPerSecond = 1024
	// maxCPUPerSecond is seconds of processor time per second: one core is what an event loop has.
	maxCPUPerSecond = 1.0
	// maxConcurrentJobs bounds the jobs of a kind that run at once.
	maxConcurrentJobs = 64

	defaultBytesPerSecond = 4 << 20 // a report of 10,000 hosts, 380 KB, in a tenth of a second
	defaultCPUPerSecond   = 0.2     // searches keep the rest
	defaultConcurrentJobs = 4
)

// WorkBudget bounds one kind of background work. A bound of 0 means its default.
type WorkBudget struct {
	BytesPerSecond float64 `yaml:"bytes_per_second"`
	CPUPerSecond   float64 `yaml:"cpu_per_second"` // seconds of processor time
	MaxConcurrent  int     `yaml:"concurrent"`
}

// BackgroundKinds are the kinds of background work that can be bounded: polling peers, answering them, saving state.
var BackgroundKinds = []string{"ask", "answer", "keep"}

// checkBackground checks the budgets and puts one in place for each kind.
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
	// The bounds are stated as what is valid, so that a NaN is not.
	isValidRate := budget.BytesPerSecond == 0 || budget.BytesPerSecond >= minBytesPerSecond
	isValidCPU := budget.CPUPerSecond == 0 || budget.CPUPerSecond > 0 && budget.CPUPerSecond <= maxCPUPerSecond
	switch {
	case !slices.Contains(BackgroundKinds, kind):
		c.addError(path, "no such kind of work; there are %s", strings.Join(BackgroundKinds, " and "))
	case !isValidRate:
		c.addError(path+".bytes_per_second", "%g is under %d", budget.BytesPerSecond, minBytesPerSecond)
	case !isValidCPU:
		c.addError(path+".cpu_per_second", "%g is not above 0 and up to %g", budget.CPUPerSecond, maxCPUPerSecond)
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
