package rollout

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Instances are compared within their zone if it has both sides, else within their region, else all together.
func TestMatchPlaces(t *testing.T) {
	samples := []Sample{
		{Region: "eu", Zone: "eu-1", HasChange: true},
		{Region: "eu", Zone: "eu-1"},
		{Region: "eu", Zone: "eu-2", HasChange: true},
		{Region: "eu", Zone: "eu-3"},
		{Region: "us", Zone: "us-1", HasChange: true},
		{Region: "ap", Zone: "ap-1"},
	}
	require.Equal(t, []place{
		{"eu", "eu-1"}, {"eu", "eu-1"}, {"eu", anyPlace}, {"eu", anyPlace}, {anyPlace, anyPlace}, {anyPlace, anyPlace},
	}, matchPlaces(samples))
	require.Equal(t, []place{{}}, matchPlaces(samples[4:5]), "only one side")
}
