// Package clienttest drives the OpenSearch-style front with the API's published Go client. It is a module of its own,
// so that the client is no dependency of the program.
package clienttest

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/opensearch-project/opensearch-go/v4"
	"github.com/opensearch-project/opensearch-go/v4/opensearchapi"
	"github.com/stretchr/testify/require"

	"chalkring/internal/benchmark"
)

func TestPublishedClient(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := ln.Addr().String()
	ln.Close()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- benchmark.ServeDemo(ctx, addr) }()
	defer func() { stop(); require.NoError(t, <-ended) }()
	require.Eventually(t, func() bool {
		res, err := http.Get("http://" + addr + "/_cluster/health")
		if err == nil {
			res.Body.Close()
		}
		return err == nil
	}, 20*time.Second, 20*time.Millisecond)
	client, err := opensearchapi.NewClient(opensearchapi.Config{Client: opensearch.Config{Addresses: []string{"http://" + addr}}})
	require.NoError(t, err)

	found, err := client.Search(ctx, &opensearchapi.SearchReq{
		Indices: []string{"members"},
		Body: strings.NewReader(`{"query":{"term":{"town":"oslo"}},"sort":["age"],"size":5,"track_total_hits":true,
			"aggs":{"mean":{"avg":{"field":"age"}}}}`),
	})
	require.NoError(t, err)
	require.Len(t, found.Hits.Hits, 5)
	require.Equal(t, 8, found.Shards.Successful)
	require.Contains(t, string(found.Aggregations), "mean")
	require.Equal(t, "members", found.Hits.Hits[0].Index)

	count, err := client.Indices.Count(ctx, &opensearchapi.IndicesCountReq{
		Indices: []string{"members"},
		Body:    strings.NewReader(`{"query":{"term":{"town":"oslo"}}}`),
	})
	require.NoError(t, err)
	require.Equal(t, found.Hits.Total.Value, count.Count)

	many, err := client.MSearch(ctx, opensearchapi.MSearchReq{Body: strings.NewReader(`{"index":"members"}
{"query":{"ids":{"values":["m00001"]}}}
{"index":"picks"}
{"size":0}
`)})
	require.NoError(t, err)
	require.Len(t, many.Responses, 2)
	require.Len(t, many.Responses[0].Hits.Hits, 1)

	for body, status := range map[string]int{`{"query":{"wildcard":{"a":"b*"}}}`: 400, `{"nonsense":1}`: 400} {
		_, err = client.Search(ctx, &opensearchapi.SearchReq{Indices: []string{"members"}, Body: strings.NewReader(body)})
		var told *opensearch.StructError
		require.True(t, errors.As(err, &told), "%T %v", err, err)
		require.Equal(t, status, told.Status)
		require.NotEmpty(t, told.Err.RootCause)
	}
	_, err = client.Search(ctx, &opensearchapi.SearchReq{Indices: []string{"nowhere"}, Body: strings.NewReader(`{}`)})
	var told *opensearch.StructError
	require.True(t, errors.As(err, &told), "%T %v", err, err)
	require.Equal(t, 404, told.Status)
	require.Equal(t, "index_not_found_exception", told.Err.Type)
}
