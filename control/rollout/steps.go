package rollout

import "math"

// fractionRounding keeps the imprecision of floats from adding an instance to a stage's fraction of the instances.
const fractionRounding = 1e-9

// step is a part of a stage whose instances may restart at once.
type step struct {
	end   int   // how many instances, in roster order, have the change after the step
	watch int64 // time for which the step is watched before the next one begins
}

// steps returns the steps of a change for a number of instances. A stage with more instances than may restart at once
// is split into several steps, of which the last one is watched.
func (c *Change) steps(instanceCount int) (steps []step) {
	covered := 0
	maxConcurrent := max(1, int(c.MaxConcurrentFraction*float64(instanceCount)))
	for _, stage := range c.Stages {
		byFraction := int(math.Ceil(stage.Fraction*float64(instanceCount) - fractionRounding))
		end := min(instanceCount, max(stage.Count, byFraction))
		if end <= covered { // a stage without new instances may prolong the watch of the one before it
			if last := len(steps) - 1; last >= 0 {
				steps[last].watch = max(steps[last].watch, stage.WatchDuration)
			}
			continue
		}
		for covered < end {
			covered = min(end, covered+maxConcurrent)
			steps = append(steps, step{end: covered})
		}
		steps[len(steps)-1].watch = stage.WatchDuration
	}
	return steps
}

// stepAtPosition returns the step, counted from 1, in which the instance at a position of the roster applies the
// change.
func stepAtPosition(steps []step, position int) int {
	for i, step := range steps {
		if position < step.end {
			return i + 1
		}
	}
	return len(steps)
}
