package rollout

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Any prefix of a roster holds about the same fraction of each zone, whatever the change's name.
func TestStepsSpreadOverZones(t *testing.T) {
	var instances []Instance
	for i := range 300 {
		instances = append(instances, Instance{fmt.Sprint("n", i), fmt.Sprint("r", i%3), fmt.Sprint("z", i%6/3)})
	}
	for seed := range 50 {
		roster := newRoster(fmt.Sprint("change", seed), instances)
		for _, length := range []int{12, 75, 150} {
			zones := map[string]int{}
			for _, instance := range roster.order[:length] {
				zones[instance.Region+instance.Zone]++
			}
			for zone, count := range zones {
				require.InDelta(t, float64(length)/6, count, 1, "%s of %d", zone, length)
			}
		}
	}
}
