package shadow

import (
	"slices"
	"strconv"
	"strings"
)

// Names of the settings that are compared.
const (
	requiredWeightSetting = "Specifics.NeedByClass" // for a complete answer, by search type
	minimumWeightSetting  = "Specifics.ClassFloor"  // for a partial answer, by search type
	followUpSetting       = "Specifics.FollowUp"    // by search type
	maxAttemptsSetting    = "Permissions.MaxAttempts"
	hedgingSetting        = "Permissions.SecondCopies"
	retryAfterSetting     = "Permissions.RetryAfter"
	maxRetryAfterSetting  = "Permissions.MaxRetryAfter"
	slowStartSetting      = "Safety.Cold"
	drainGraceSetting     = "Safety.DrainGrace"
	retryWindowSetting    = "Safety.LookBack"
	retryFloorSetting     = "Safety.ExtraFloor"
	retryRatioSetting     = "Safety.FurtherRatio"
)

const (
	// weightTolerance is by how much sums of rounded weights may fall short of a limit; the balancer uses the same one.
	weightTolerance = 1e-4

	ticksPerMillisecond = 10 // settings are in milliseconds
)

// settings is one set of settings, by name. Its methods check the balancer's actions against this set.
type settings map[string]string

func (s settings) float(name string, defaultValue float64) float64 {
	return parseFloat(s[name], defaultValue)
}

// floatAt returns one item of a comma-separated list.
func (s settings) floatAt(name string, index int, defaultValue float64) float64 {
	items := strings.Split(s[name], ",")
	if index >= len(items) {
		return defaultValue
	}
	return parseFloat(items[index], defaultValue)
}

func parseFloat(text string, defaultValue float64) float64 {
	if value, err := strconv.ParseFloat(text, 64); err == nil {
		return value
	}
	return defaultValue
}

func (s settings) bool(name string) bool { return s[name] == "true" || s[name] == "1" }

// duration returns a duration in tenths of a millisecond, 0 if it is missing.
func (s settings) duration(name string) int64 { return int64(s.float(name, 0) * ticksPerMillisecond) }

// retryAfter returns the Retry-After that the client of a shed search gets, given the one that the balancer chose; 0 for
// none.
func (s settings) retryAfter(intended int64) int64 {
	if !s.bool(retryAfterSetting) {
		return 0
	}
	return min(intended, s.duration(maxRetryAfterSetting))
}

func (s settings) requiredWeight(searchType int) float64 {
	return s.floatAt(requiredWeightSetting, searchType, 1)
}

// checkAnswer reports whether a search may be answered once shard requests with this total weight are answered, and
// whether that answer is complete.
func (s settings) checkAnswer(searchType int, weight float64) (allowed, complete bool) {
	required, minimum := s.requiredWeight(searchType), s.floatAt(minimumWeightSetting, searchType, 1)
	return weight > 0 && weight >= min(required, minimum)-weightTolerance, weight >= required-weightTolerance
}

// isWarmingUp reports whether a replica that started at startedAt is in its slow start.
func (s settings) isWarmingUp(now, startedAt int64) bool {
	return startedAt > 0 && now < startedAt+s.duration(slowStartSetting)
}

// isPastDrainGrace reports whether a replica that has been draining since drainingSince should get no more attempts. The
// time is 0 if it is not draining.
func (s settings) isPastDrainGrace(now, drainingSince int64) bool {
	return drainingSince > 0 && now > drainingSince+s.duration(drainGraceSetting)
}

// allowsRetry reports whether one more retry stays within the budget, given the times of earlier requests and retries.
func (s settings) allowsRetry(now int64, requestTimes, retryTimes []int64) bool {
	window := s.duration(retryWindowSetting)
	if window == 0 {
		return true
	}
	recentRequests, recentRetries := countAfter(requestTimes, now-window), countAfter(retryTimes, now-window)
	budget := s.float(retryFloorSetting, 0) + s.float(retryRatioSetting, 0)*float64(recentRequests)
	return float64(recentRetries+1) <= budget
}

// countAfter returns how many of the ascending times are later than a limit.
func countAfter(times []int64, limit int64) int {
	first, _ := slices.BinarySearch(times, limit+1)
	return len(times) - first
}
