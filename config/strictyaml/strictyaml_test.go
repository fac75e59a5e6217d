package strictyaml

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFaultsNameTheirPlace(t *testing.T) {
	var v struct {
		Stages []struct{ Share float64 }
	}
	d, err := Decode([]byte("stages:\n  - share: 0.1\n  - share: 3\n"), 1000, &v)
	require.NoError(t, err)
	require.NoError(t, d.Err())
	d.AddError("$.stages[1].share", "%g is over 1", v.Stages[1].Share)
	d.AddErrorWithRemedy("$.stages[0].watch", "Say how long.", "is missing")
	require.EqualError(t, d.Err(), "[3:12] stages[1].share: 3 is over 1\n[2:10] stages[0].watch: is missing")
	var f *InvalidFileError
	require.ErrorAs(t, d.Err(), &f)
	require.NotEmpty(t, f.Advice())
}

func TestWhatCannotBeReadIsRefused(t *testing.T) {
	for name, text := range map[string]string{
		"field": "other: 1\n", "documents": "a: 1\n---\na: 2\n", "form": "a: [1\n",
		"size": "a: 10000000000\n",
	} {
		var v struct{ A int8 }
		_, err := Decode([]byte(text), 12, &v)
		var f *InvalidFileError
		require.ErrorAs(t, err, &f, name)
		require.NotEmpty(t, f.Advice(), name)
	}
}
