package coordinator

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"

	"chalkring/coordinator/plan"
)

// readBodyWithMaps is a simple implementation of readBody that decodes into maps, as the reference for FuzzReadBody.
func readBodyWithMaps(body []byte, shards int) (list []int, weights []float64, text string, ok bool) {
	all, err := plan.DecodeObject(body)
	if err != nil {
		return nil, nil, "", false
	}
	items, _ := all["ranges"].([]any)
	text, ok = all["predicate"].(string)
	if len(items) == 0 || !ok || !utf8.Valid(body) ||
		strings.ContainsRune(text, utf8.RuneError) && !bytes.ContainsRune(body, utf8.RuneError) {
		return nil, nil, "", false
	}
	seen, sum := map[int]bool{}, 0.0
	for _, item := range items {
		m, _ := item.(map[string]any)
		shard, ok1 := numberOf(m["range"])
		weight, ok2 := numberOf(m["portion"])
		n := int(shard)
		if !ok1 || !ok2 || shard != math.Trunc(shard) || n < 0 || n >= shards || seen[n] || weight <= 0 || weight > 1+weightTolerance {
			return nil, nil, "", false
		}
		seen[n], sum = true, sum+weight
		list, weights = append(list, n), append(weights, weight)
	}
	return list, weights, text, math.Abs(sum-1) <= weightTolerance
}

func numberOf(value any) (float64, bool) {
	number, ok := value.(json.Number)
	if !ok {
		return 0, false
	}
	f, err := number.Float64()
	return f, err == nil && !math.IsInf(f, 0)
}

// For any body, readBody accepts and returns the same as the simple implementation with maps.
func FuzzReadBody(f *testing.F) {
	for _, text := range []string{
		fourParts, `{}`, `[]`, `{"ranges":[],"predicate":"x"}`, `{"ranges":[{"range":0,"portion":1}]}`,
		`{"ranges":[{"range":0,"portion":1}],"predicate":"x"} `, `{"ranges":[{"range":0,"portion":1}],"predicate":"x"}{}`,
		`{"ranges":[{"range":0,"portion":1}],"predicate":"x","ranges":[{"range":1,"portion":1}]}`,
		`{"ranges":[{"range":0,"portion":1}],"predicate":"x","ranges":7}`, `{"ranges":[{"range":0,"range":1,"portion":1}],"predicate":"x"}`,
		`{"ranges":[{"range":0,"portion":1}],"predicate":7}`, `{"ranges":[{"range":0.5,"portion":1}],"predicate":"x"}`,
		`{"ranges":[{"range":-1,"portion":1}],"predicate":"x"}`, `{"ranges":[{"range":1e400,"portion":1}],"predicate":"x"}`,
		`{"ranges":[{"range":"0","portion":1}],"predicate":"x"}`, `{"ranges":[0],"predicate":"x"}`, `{"ranges":[null],"predicate":"x"}`,
		`{"ranges":[{"r\u0061nge":0,"portion":1.0}],"pr\u0065dicate":"\u00e9\n"}`, `{"ranges":[{"range":0,"portion":1}],"predicate":"\ud800"}`,
		`{"ranges":[{"range":0,"portion":1}],"predicate":"` + "\xff" + `"}`, `{"ranges":[{"range":0,"portion":1},],"predicate":"x"}`,
		`{"ranges":[{"range":0,"portion":0.5},{"range":0,"portion":0.5}],"predicate":"x"}`, `{"ranges":[{"range":1E0,"portion":1}],"predicate":"x"}`,
		`{"ranges":[{"range":-0,"portion":1}],"predicate":"x"}`, `{"ranges":[{"range":0,"portion":1}],"predicate":"x"`, ``, `null`,
		`{"ranges":[{"range":0,"portion":1,"hash":{"a":[1,{"b":null}]}}],"other":[[]],"predicate":""}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		list, weights, text, ok := readBodyWithMaps(body, 8)
		current := &search{}
		err := current.readBody(body, 8)
		require.Equal(t, ok, err == nil, "%q: %v", body, err)
		if ok {
			require.Equal(t, list, current.shards)
			require.Equal(t, weights, current.weights)
			require.Equal(t, text, string(current.text))
		}
	})
}
