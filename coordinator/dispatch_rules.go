package coordinator

import (
	"fmt"
	"strconv"

	"chalkring/coordinator/plan"
)

// dispatchRules are the settings for sending attempts, read once at the start. Slices have one element per class.
type dispatchRules struct {
	blockCount           int
	streamsPerConnection int // batches in flight on one connection
	attemptsPerBatch     int
	maxAttempts          int     // of one shard request
	allowsSecondCopies   bool    // a shard request may run twice at the same time
	keyedClasses         []bool  // replicas drop a repeat while they remember the first attempt
	repeatWindows        []int64 // ticks for which they remember it
	followUpCounts       []int   // shard requests of the second step; 0 for no second step
}

func newDispatchRules(initial *plan.Plan) dispatchRules {
	rules := dispatchRules{
		blockCount: initial.BlockCount(), streamsPerConnection: int(initial.Number("Permissions.StreamsPerConn")),
		attemptsPerBatch: int(initial.Number("Specifics.PerCall")), maxAttempts: int(initial.Number("Permissions.MaxAttempts")),
	}
	secondCopies := initial.Settings["Permissions.SecondCopies"]
	rules.allowsSecondCopies = secondCopies == "true" || secondCopies == "1"
	followUps := initial.List("Specifics.FollowUp")
	for i := range initial.Count("Classes") {
		count, _ := strconv.ParseFloat(followUps[i], 64)
		window := initial.Duration(fmt.Sprintf("Classes.%d.RepeatWindow", i))
		rules.followUpCounts = append(rules.followUpCounts, int(count))
		rules.keyedClasses = append(rules.keyedClasses, initial.Settings[fmt.Sprintf("Classes.%d.Effect", i)] == "dedup")
		rules.repeatWindows = append(rules.repeatWindows, int64(window/tick))
	}
	return rules
}
