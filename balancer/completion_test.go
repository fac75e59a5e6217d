package balancer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// An answer is returned from the least share of the type on; a second step of a type without partial answers needs all
// of its requests.
func TestIsAnswerable(t *testing.T) {
	b := New(nil).(*balancer)
	b.settings = newSettings(map[string]string{settingNeededWeight: "0.8,1", settingMinWeight: "0.5,1"})
	for name, test := range map[string]struct {
		queryType, step int
		needed, weight  float64
		want            bool
	}{
		"nothing":                              {step: 1, needed: 0.8},
		"under the least share":                {step: 1, needed: 0.8, weight: 0.49},
		"over the least share":                 {step: 1, needed: 0.8, weight: 0.51, want: true},
		"all are needed, one is missing":       {queryType: 1, step: 1, needed: 1, weight: 0.9},
		"all are needed and answered":          {queryType: 1, step: 1, needed: 1, weight: 1, want: true},
		"second step may be partial":           {step: 2, needed: 1, weight: 0.51, want: true},
		"second step needs all, one missing":   {queryType: 1, step: 2, needed: 1, weight: 0.9},
		"second step needs all, all are there": {queryType: 1, step: 2, needed: 1, weight: 1, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := &search{queryType: test.queryType, step: test.step, neededWeight: test.needed}
			require.Equal(t, test.want, b.isAnswerable(s, test.weight))
		})
	}
}
