package rollout

import "math"

// fractionRounding keeps a stage's fraction of the instances from being rounded up for the imprecision of floats.
const fractionRounding = 1e-9

// step is the part of a stage that restarts at once.
type step struct {
	end   int   // number of instances of the roster that have the change after the step
	watch int64 // time for which the step is watched before the next one
}

// steps are a change's stages over a number of instances. A stage of more instances than may restart at once is split
// into several steps.
func (c *Change) steps(instanceCount int) (steps []step) {
	covered := 0
	maxConcurrent := max(1, int(c.MaxConcurrentFraction*float64(instanceCount)))
	for _, stage := range c.Stages {
		byFraction := int(math.Ceil(stage.Fraction*float64(instanceCount) - fractionRounding))
		end := min(instanceCount, max(stage.Count, byFraction))
		if end <= covered { // a stage without new instances prolongs the watch of the one before it
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

// stepAtPosition is the step, counted from 1, in which the instance at a position of the roster applies the change.
func stepAtPosition(steps []step, position int) int {
	for i, step := range steps {
		if position < step.end {
			return i + 1
		}
	}
	return len(steps)
}
