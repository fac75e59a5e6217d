package fanout

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"chalkring/internal/golden"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"chalkring/cluster/crdt"
	"chalkring/control/subscribers"
	"chalkring/internal/advice"
)

func goldenDelivery() DeliveryMessage {
	return DeliveryMessage{
		Tenant: "acme", ID: "s1", Consent: 1, Number: subscribers.DeliveryNumber{Epoch: 2, Sequence: 3, Gateway: "n0"},
		Previous: subscribers.DeliveryNumber{Epoch: 4, Sequence: 5, Gateway: "n1"}, Period: 6,
		Values: []BlockValue{{Block: 7, Hash: "0123456789abcdef", Value: []byte("<value>")}, {Block: 8, Hash: "fedcba9876543210"}},
	}
}

// The HTTP request of a delivery (method, content type and body) must not change, nor which response statuses accept
// it.
func TestGoldenDeliveryRequest(t *testing.T) {
	var got bytes.Buffer
	status := http.StatusOK
	receiver := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got.Reset()
		fmt.Fprintf(&got, "%s %s\nContent-Type: %s\n\n", r.Method, r.URL.Path, r.Header.Get("Content-Type"))
		_, _ = io.Copy(&got, r.Body)
		got.WriteByte('\n')
		w.WriteHeader(status)
	}))
	defer httpClient.CloseIdleConnections()
	defer receiver.Close()
	deliver := DeliverByHTTP(receiver.URL + "/acme")
	require.NoError(t, deliver(t.Context(), goldenDelivery()))
	golden.Require(t, "delivery.http", got.Bytes())
	for code, accepted := range map[int]bool{200: true, 299: true, 300: false, 404: false, 500: false} {
		status = code
		if err := deliver(t.Context(), goldenDelivery()); accepted {
			require.NoError(t, err, code)
		} else {
			require.ErrorContains(t, err, fmt.Sprintf("delivery to %s/acme: %d ", receiver.URL, code))
		}
	}

	text, err := os.ReadFile(filepath.Join("testdata", "delivery.http"))
	require.NoError(t, err)
	_, body, _ := bytes.Cut(text, []byte("\n\n"))
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var message DeliveryMessage
	require.NoError(t, decoder.Decode(&message))
	require.Equal(t, goldenDelivery(), message)
}

// Log lines, as JSON and as text, that do not need a running instance.
func TestGoldenFanoutLogLines(t *testing.T) {
	withoutTime := &slog.HandlerOptions{ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return a
	}}
	var all bytes.Buffer
	for _, handler := range []slog.Handler{slog.NewJSONHandler(&all, withoutTime), slog.NewTextHandler(&all, withoutTime)} {
		g := New(Options{Self: subscribers.Member{Name: "n0", Region: "eu"}, FilePath: "eu.yaml", Log: slog.New(handler)})
		g.acceptFile(fileUpdate{err: errors.New("why")})
		g.acceptFile(fileUpdate{file: &subscribers.RegionFile{Region: "us"}})
		g.acceptFile(fileUpdate{file: &subscribers.RegionFile{Region: "eu", Generation: 7}})
		entry := crdt.Entry{Name: "sub/acme/s1", Siblings: []crdt.Sibling{{Value: []byte{0xff}}}}
		_, err := subscribers.ResolveEntry(entry)
		g.reportInvalidEntry(entry, err)
		g.reportInvalidEntry(entry, err) // logged once
		key := subscribers.Key{Tenant: "acme", ID: "s1"}
		g.warnLimited("subscriber_delivery_failed", advice.LogAttrs(&DeliveryFailedError{"http://receiver", errors.New("why")}, "subscriber", key, "number",
			subscribers.DeliveryNumber{Epoch: 1, Sequence: 2, Gateway: "n0"})...)
		g.suppressedWarnings.Store(5)
		g.warnLimited("subscriber_conflict", "subscriber", key, "kept", "one", "discarded", "other")
	}
	golden.Require(t, "log_lines.txt", all.Bytes())
}

// Errors that are logged or returned by a call, with their advice.
func TestGoldenFanoutErrors(t *testing.T) {
	var all strings.Builder
	for _, err := range []error{
		&RegionMismatchError{FileRegion: "us", OwnRegion: "eu"}, &ZoneForbiddenError{Tenant: "acme", Zone: "us-1"}, &DeliveryFailedError{"http://receiver", errors.New("why")},
		&SearchFailedError{Reason: "shed"}, DeliverByHTTP("")(context.Background(), DeliveryMessage{}),
	} {
		fmt.Fprintln(&all, advice.Describe(err))
	}
	golden.Require(t, "errors.txt", all.String())
}

// The form of a region's file is recognized by its name, and a YAML region file by its keys.
func TestGoldenFanoutFileNames(t *testing.T) {
	folder := t.TempDir()
	lines := "{\"region\":\"eu\",\"generation\":1,\"count\":1}\n{\"tenant\":\"acme\",\"id\":\"s1\",\"type\":\"t\",\"query\":\"q\",\"every\":\"1s\"}\n"
	for name, text := range map[string]string{
		"a.jsonl": lines, "a.json": lines,
		"a.yaml": "region: eu\ngeneration: 1\ncount: 0\nsubscriptions: []\n",
	} {
		path := filepath.Join(folder, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		file, err := ReadRegionFile(path)
		require.NoError(t, err, name)
		require.Equal(t, "eu", file.Region)
		require.Equal(t, name == "a.yaml", IsRegionFile(path))
	}
}

var attribute = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)

// The entries that a running instance stores, and the attributes of each of its log events.
func TestGoldenFanoutEntriesAndEvents(t *testing.T) {
	t.Parallel()
	s := newTestSite(t)
	s1, s2 := "- {tenant: acme, id: s1, type: full-match, query: a, every: 1s}", "- {tenant: nobody, id: s2, type: full-match, query: a, every: 1s}"
	s.writeFile(1, s1, s2, "- {tenant: other, id: s3, type: full-match, query: a, every: 1s}")
	gateway, store, stop := s.start(1)
	s.await("served", func() bool { return len(s.deliveries("s1")) > 0 })
	s.await("search failed", s.logged("msg=subscriber_search_failed"))
	s.await("update rejected", s.logged("msg=subscriber_update_failed"))
	key := subscribers.Key{Tenant: "acme", ID: "s1"}
	s.await("checkpoint stored", func() bool {
		record, _ := gateway.Get(key)
		return len(record.Checkpoint.ValueHashes) > 0
	})
	var all strings.Builder
	for _, name := range []string{"sub/acme/s1", "subat/n0", "subfile/eu"} {
		entry, exists := store.Get(name)
		require.True(t, exists, name)
		require.Len(t, entry.Siblings, 1, name)
		var fields map[int]any
		require.NoError(t, cbor.Unmarshal(entry.Siblings[0].Value, &fields), name)
		fmt.Fprintln(&all, "entry", name, "has fields", slices.Sorted(maps.Keys(fields)))
	}
	s.rejectDeliveries.Store(true)
	s.valueVersion.Add(1)
	s.await("delivery failed", s.logged("msg=subscriber_delivery_failed"))
	s.rejectDeliveries.Store(false)
	require.NoError(t, gateway.Unsubscribe(t.Context(), key))
	s.writeFile(2, s1, s2)
	s.await("stale line", s.logged("msg=subscriber_line_stale"))
	s.await("status", s.logged("msg=subscribers_status "))
	stop()

	s.mu.Lock()
	lines := strings.Split(s.log.String(), "\n")
	s.mu.Unlock()
	events := map[string]bool{}
	for _, line := range lines {
		var names []string
		event := ""
		for _, match := range attribute.FindAllStringSubmatch(line, -1) {
			if match[1] == "msg" {
				event = match[2]
			} else if match[1] != "time" && match[1] != "left_out" {
				names = append(names, match[1])
			}
		}
		if strings.HasPrefix(event, "subscriber") {
			events[fmt.Sprint("event ", event, " ", names)] = true
		}
	}
	for _, event := range slices.Sorted(maps.Keys(events)) {
		fmt.Fprintln(&all, event)
	}
	golden.Require(t, "entries_and_events.txt", all.String())
}
