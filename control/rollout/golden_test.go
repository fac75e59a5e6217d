package rollout

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"chalkring/internal/golden"

	"github.com/stretchr/testify/require"

	"chalkring/internal/advice"
)

// everyBucketStats returns counters with a different number in each field and bucket.
func everyBucketStats() ClassStats {
	c := ClassStats{Requests: 1001, Served: 1002, Late: 1003, Shed: 1004}
	for i := range c.Latencies {
		c.Latencies[i] = uint64(100 + i)
	}
	for i := range c.SubRequests {
		c.SubRequests[i] = uint64(200 + i)
	}
	return c
}

// goldenStatus returns a status message with a different value in each field.
func goldenStatus() StatusMessage {
	return StatusMessage{
		Instance: Instance{Name: "n0", Region: "eu", Zone: "eu-1"}, Incarnation: 21, Sequence: 22, ChangeNumber: 23, ChangeDigest: "0123456789abcdef",
		Verdict: Verdict{Epoch: 24, Order: OrderRollBack, Reason: "worse by served", DecidedBy: "n1"}, RosterDigest: "fedcba9876543210", ApprovalEpoch: 25, ApprovedSteps: 26,
		RunningNumber: 27, ServingFor: 28, PermitRequest: PermitRequest{Number: 29, TargetNumber: 30}, PermitGrants: []PermitGrant{{InstanceName: "n2", RequestNumber: 31}, {InstanceName: "n3", RequestNumber: 32}}, FailedEpoch: 33, UnplannedRestarts: 34,
		Stats: &InstanceStats{Classes: []ClassStats{everyBucketStats(), {Requests: 1}}, Connections: 35, MemoryBytes: 36},
	}
}

// goldenChange returns a change with a different value in each field.
func goldenChange() Change {
	return Change{
		Name: "c", Number: 41, BaseNumber: 40, Settings: map[string]string{"Safety.ExtraFloor": "0.5", "Classes.0.Name": "lookup"},
		Program: Program{Path: "/opt/chalkring", Version: "chalkring 2.5"},
		Stages:  []Stage{{Count: 1, WatchText: "not sent", WatchDuration: 42}, {Fraction: 0.25, WatchDuration: 43}, {Fraction: 1, WatchDuration: 44}}, MaxConcurrentFraction: 0.125, WarmUp: 45, ReadyTimeout: 46,
		SilenceTimeout: 47, MinSearches: 48, RegressionLimits: RegressionLimits{
			Served: 0.01, Late: 0.02, Shed: 0.03, Median: 0.04, Tail: 0.05, SubRequests: 0.06, Connections: 7,
			Memory: 8, Restarts: 9, Unreachable: 10, FalseStopProbability: 0.005,
		}, OnRegression: OrderStop,
	}
}

// Status messages and changes are encoded and decoded as instances of this version send and store them.
func TestGoldenRolloutMessages(t *testing.T) {
	const file = "messages.cbor.txt"
	fewestStatus := StatusMessage{Instance: Instance{Name: "n0", Region: "eu", Zone: "eu-1"}, Incarnation: 1, ServingFor: -1}
	status, change := goldenStatus(), goldenChange()
	fewestChange := Change{Name: "c", Number: 1, Settings: map[string]string{}, Stages: []Stage{{Fraction: 1}}, MaxConcurrentFraction: 1, OnRegression: OrderRollBack}
	var all strings.Builder
	for _, m := range []struct {
		name  string
		value any
	}{
		{"status, every field", &status},
		{"status, fewest fields", &fewestStatus},
		{"change, every field", &change},
		{"change, fewest fields", &fewestChange},
		{"verdict go", &Verdict{Epoch: 1, Order: OrderProceed}},
		{"verdict stop", &Verdict{Epoch: 2, Order: OrderStop, Reason: "w", DecidedBy: "n"}},
		{"verdict back", &Verdict{Epoch: 3, Order: OrderRollBack, Reason: "w", DecidedBy: "n"}},
	} {
		text, err := cborEncoder.Marshal(m.value)
		require.NoError(t, err)
		all.WriteString(golden.CBORMessage(t, m.name, text))
	}
	golden.Require(t, file, all.String())

	var gotStatus, gotFewest StatusMessage
	require.NoError(t, decodeEntry("k", golden.ReadCBORMessage(t, file, "status, every field"), &gotStatus))
	require.Equal(t, status, gotStatus)
	require.NoError(t, decodeEntry("k", golden.ReadCBORMessage(t, file, "status, fewest fields"), &gotFewest))
	require.Equal(t, fewestStatus, gotFewest)
	var gotChange Change
	require.NoError(t, decodeEntry("k", golden.ReadCBORMessage(t, file, "change, every field"), &gotChange))
	change.Stages[0].WatchText = ""
	require.Equal(t, change, gotChange)
	for name, order := range map[string]Order{"go": OrderProceed, "stop": OrderStop, "back": OrderRollBack} {
		var v Verdict
		require.NoError(t, decodeEntry("k", golden.ReadCBORMessage(t, file, "verdict "+name), &v))
		require.Equal(t, order, v.Order)
	}
}

// Fields that a later version adds to an entry are ignored; an entry that cannot be decoded is rejected.
func TestGoldenRolloutMessageDecoding(t *testing.T) {
	v := Verdict{}
	require.NoError(t, decodeEntry("k", []byte{0xa2, 0x01, 0x05, 0x18, 0x63, 0x01}, &v)) // {1: 5, 99: 1}
	require.EqualValues(t, 5, v.Epoch)
	require.EqualError(t, decodeEntry("rollout/word/n0", []byte{0xff}, &v), `replicated entry "rollout/word/n0": cbor: unexpected "break" code`)
	require.EqualError(t, decodeEntry("rollout/word/n0", make([]byte, 1<<20+1), &v), `replicated entry "rollout/word/n0": 1048577 bytes, more than an entry may have`)
}

// The keys of replicated entries, and the digests that all instances have to compute alike.
func TestGoldenRolloutNamesAndDigests(t *testing.T) {
	change := goldenChange()
	var all strings.Builder
	fmt.Fprintln(&all, "prefix", KeyPrefix)
	fmt.Fprintln(&all, "change key", changeKey(41, "0123456789abcdef"))
	fmt.Fprintln(&all, "roster key", rosterKey(41, "fedcba9876543210"))
	fmt.Fprintln(&all, "status key", StatusMessageKey("n0"))
	fmt.Fprintln(&all, "change digest", change.Digest())
	places := goldenInstances()
	r := newRoster("c/41", places)
	fmt.Fprintln(&all, "roster digest", r.digest)
	for _, p := range r.order {
		fmt.Fprintln(&all, "roster order", p.Name, p.Region, p.Zone)
	}
	for _, tenths := range []int64{-1, 0, 9, 10, 19, 20, 30, 40, 60, 1000, 10_000, 100_000, 1_000_000} {
		fmt.Fprintln(&all, "time bucket of", tenths, "is", LatencyBucket(tenths))
	}
	for _, n := range []int{-1, 0, 1, 2, 3, 4, 6, 100, 1024, 5000} {
		fmt.Fprintln(&all, "sub-request bucket of", n, "is", SubRequestBucket(n))
	}
	golden.Require(t, "names.txt", all.String())
	number, digest, ok := parseKeySuffix("00000000000000000041/0123456789abcdef")
	require.True(t, ok)
	require.EqualValues(t, 41, number)
	require.Equal(t, "0123456789abcdef", digest)
}

func goldenInstances() (all []Instance) {
	for i := range 7 {
		all = append(all, Instance{Name: fmt.Sprintf("n%d", i), Region: fmt.Sprintf("r%d", i%2), Zone: fmt.Sprintf("z%d", i%3)})
	}
	return all
}

// A roster that an earlier build compressed can be decoded. An encoded roster is compared uncompressed, since the bytes
// that a compressor writes are not part of the format.
func TestGoldenRolloutRoster(t *testing.T) {
	const file = "roster.cbor.txt"
	packed := encodeRoster(goldenInstances())
	text, err := io.ReadAll(flate.NewReader(bytes.NewReader(packed)))
	require.NoError(t, err)
	golden.Require(t, file, golden.CBORMessage(t, "roster, uncompressed", text))
	const compressed = "roster.flate"
	if _, err := os.Stat(filepath.Join("testdata", compressed)); golden.Updating() && os.IsNotExist(err) {
		golden.Write(t, compressed, packed)
	}
	got, err := decodeRoster("k", golden.Read(t, compressed))
	require.NoError(t, err)
	require.Equal(t, goldenInstances(), got)
}

// Every key of a change file is read, and those that are left out have their defaults.
func TestGoldenChangeFile(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "every_key.yaml"))
	require.NoError(t, err)
	f, err := ParseChangeFile("every_key.yaml", text)
	require.NoError(t, err)
	require.Equal(t, &ChangeFile{Change: Change{
		Name: "every-key", Number: 12, Settings: map[string]string{"Safety.ExtraFloor": "0.5"},
		Program: Program{Path: "/opt/chalkring/2.5/chalkring", Version: "chalkring 2.5"},
		Stages: []Stage{
			{Count: 2, WatchText: "5m", WatchDuration: 3_000_000},
			{Fraction: 0.25, WatchText: "90s", WatchDuration: 900_000},
			{Fraction: 1, WatchText: "2m", WatchDuration: 1_200_000},
		},
		MaxConcurrentFraction: 0.125, WarmUp: 310_000, ReadyTimeout: 200_000, SilenceTimeout: 1_800_000, MinSearches: 201,
		RegressionLimits: RegressionLimits{
			Served: 0.011, Late: 0.031, Shed: 0.021, Median: 0.151, Tail: 0.051, SubRequests: 0.152, Connections: 3.5, Memory: 1.6,
			Restarts: 4, Unreachable: 5, FalseStopProbability: 0.025,
		},
		OnRegression: OrderStop,
	}, Order: OrderStop, Epoch: 3}, f)

	text, err = os.ReadFile(filepath.Join("testdata", "fewest_keys.yaml"))
	require.NoError(t, err)
	f, err = ParseChangeFile("fewest_keys.yaml", text)
	require.NoError(t, err)
	require.Equal(t, &ChangeFile{Change: Change{
		Name: "fewest-keys", Number: 1, Settings: map[string]string{"Safety.ExtraFloor": "0.5"},
		Stages: []Stage{{Fraction: 1, WatchDuration: 3_000_000}}, MaxConcurrentFraction: 1, WarmUp: 300_000, ReadyTimeout: 300_000, SilenceTimeout: 2_400_000, MinSearches: 200,
		RegressionLimits: RegressionLimits{
			Served: 0.01, Late: 0.03, Shed: 0.02, Median: 0.15, Tail: 0.05, SubRequests: 0.15, Connections: 3, Memory: 1.5,
			Restarts: 2, Unreachable: 1, FalseStopProbability: 0.02,
		},
		OnRegression: OrderRollBack,
	}, Order: OrderProceed, Epoch: 1}, f)
}

// Errors in change files are reported with position and advice. Values of the wrong type are not tested, since the YAML
// package names Go types in their errors.
func TestGoldenChangeFileErrors(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "every_key.yaml"))
	require.NoError(t, err)
	var all strings.Builder
	for _, edit := range [][2]string{
		{"...\n", ""},
		{"name: every-key", "name: every key"},
		{"number: 12", "number: 0"},
		{"order: stop", "order: halt"},
		{"turn: 3", "turn: 0"},
		{"then: stop", "then: go"},
		{"ExtraFloor: 0.5", "ExtraFlor: 0.5"},
		{"path: /opt", "path: opt"},
		{", version: chalkring 2.5", ""},
		{"count: 2", "count: 2, share: 0.1"},
		{"watch: 90s", "watch: soon"},
		{"share: 1,", "share: 0.9,"},
		{"together: 0.125", "together: 0"},
		{"searches: 201", "searches: -1"},
		{"silent: 3m", "silent: 1m"},
		{"served: 0.011", "served: 0.5"},
		{"connects: 3.5", "connects: 1"},
		{"restarts: 4", "restarts: 0"},
		{"false_stops: 0.025", "false_stops: 0.5"},
		{"cold: 31s", "colder: 31s"},
	} {
		require.Contains(t, string(text), edit[0])
		_, err := ParseChangeFile("c.yaml", []byte(strings.Replace(string(text), edit[0], edit[1], 1)))
		require.Error(t, err, edit[1])
		fmt.Fprintf(&all, "%s -> %s\n  %s\n", strings.TrimSpace(edit[0]), edit[1], strings.ReplaceAll(advice.Describe(err), "\n", "\n  "))
	}
	golden.Require(t, "file_faults.txt", all.String())
}

// Errors as they are logged, with their advice.
func TestGoldenRolloutErrors(t *testing.T) {
	verdict := Verdict{Epoch: 2, Order: OrderStop, Reason: "why", DecidedBy: "n1"}
	var all strings.Builder
	for _, err := range []error{
		&ChangeStoppedError{Change: "c", Number: 1, Verdict: verdict}, &ConflictingChangesError{Number: 1, Digests: []string{"a", "b"}},
		&StaleChangeFileError{Number: 1, CurrentNumber: 2}, &MemberListMismatchError{Number: 1, RemoteCount: 2, LocalCount: 3}, &ChangeNotAppliedError{Number: 1, Reason: "why"},
		&ChangeTooLargeError{Number: 1, Bytes: 2}, &StepDelayedError{Number: 1, Step: 2, Reason: "why"}, &InvalidEntryError{"rollout/word/n0", errors.New("why")},
		&InvalidChangeFileError{"c.yaml", errors.New("why")},
	} {
		fmt.Fprintln(&all, advice.Describe(err))
	}
	fmt.Fprintln(&all, OrderProceed, OrderStop, OrderRollBack)
	golden.Require(t, "errors.txt", all.String())
}

// The description of a regression is published as the verdict's reason.
func TestGoldenRolloutEvidence(t *testing.T) {
	describe := func(baseline, changed InstanceStats) string {
		analysis := NewRegressionAnalysis(defaultRegressionLimits)
		sample := func(name string, hasChange bool, s InstanceStats) Sample {
			return Sample{Name: name, Region: "eu", Zone: "eu-1", HasChange: hasChange, Incarnation: 1, Stats: s}
		}
		zero := InstanceStats{Classes: make([]ClassStats, 1)}
		for _, s := range [][2]InstanceStats{{zero, zero}, {baseline, changed}} {
			analysis.AddSamples([]Sample{sample("a", false, s[0]), sample("b", false, s[0]), sample("c", false, s[0]), sample("d", true, s[1])})
		}
		return analysis.DescribeRegression()
	}
	class := func(requests, served uint64) []ClassStats { return []ClassStats{{Requests: requests, Served: served}} }
	var all strings.Builder
	fmt.Fprintln(&all, "same:", describe(InstanceStats{Classes: class(500, 499)}, InstanceStats{Classes: class(500, 499)}))
	fmt.Fprintln(&all, "served:", describe(InstanceStats{Classes: class(1000, 1000)}, InstanceStats{Classes: class(1000, 500)}))
	fmt.Fprintln(&all, "connects:", describe(InstanceStats{Classes: class(500, 500), Connections: 50}, InstanceStats{Classes: class(500, 500), Connections: 5000}))
	fmt.Fprintln(&all, "memory:", describe(InstanceStats{Classes: class(1, 1), MemoryBytes: 100 << 20}, InstanceStats{Classes: class(1, 1), MemoryBytes: 900 << 20}))
	for m := range metricCount {
		fmt.Fprintln(&all, "metric", bet{stratum{class: 1, place: place{"eu", "*"}}, m})
	}
	golden.Require(t, "evidence.txt", all.String())
}

// The entries and log events of the only member of a cluster at each decision, while it applies a change, restarts and
// rolls the change back.
func TestGoldenRolloutEntriesAndEvents(t *testing.T) {
	text := "name: c\nnumber: 1\norder: %s\nturn: %d\nsettings: {Safety: {ExtraFloor: 0.5}}\nstages:\n  - {share: 1, watch: 1s}\ncold: 1s\nready: 1s\nsilent: 10s\n...\n"
	file := func(order string, turn int) *ChangeFile {
		f, err := ParseChangeFile("c.yaml", fmt.Appendf(nil, text, order, turn))
		require.NoError(t, err)
		return f
	}
	now := int64(1)
	var all strings.Builder
	decide := func(c *Controller, times int) (restart *Restart) {
		for range times {
			now += second / 2
			decision := c.Decide(now)
			fmt.Fprintf(&all, "look at %d\n", now)
			for _, key := range slices.Sorted(maps.Keys(decision.Put)) {
				value := decision.Put[key]
				if strings.HasPrefix(key, rosterPrefix) {
					value, _ = io.ReadAll(flate.NewReader(bytes.NewReader(value)))
				}
				all.WriteString(golden.CBORMessage(t, "put "+key, value))
			}
			for _, key := range decision.Delete {
				fmt.Fprintln(&all, "delete", key)
			}
			for _, event := range decision.Events {
				fmt.Fprintln(&all, "event", event.Name, event.Attrs, event.Err)
			}
			if decision.Restart != nil {
				fmt.Fprintln(&all, "restart into", decision.Restart.TargetNumber, "turn", decision.Restart.Epoch, "ready", decision.Restart.ReadyTimeout)
				return decision.Restart
			}
		}
		return nil
	}
	start := InitialState{Self: Instance{Name: "n0", Region: "eu", Zone: "eu-1"}, Incarnation: 1, Members: []string{"n0"}, Now: now}
	c := New(start)
	c.SetFile(file("go", 1))
	c.MarkServing(now)
	require.NotNil(t, decide(c, 20))
	start.Incarnation, start.RunningNumber, start.Now = 2, 1, now
	entries := map[string][]byte{}
	change := c.active.Change
	entries[changeKey(1, change.Digest())], _ = cborEncoder.Marshal(change)
	entries[rosterKey(1, c.status.RosterDigest)] = encodeRoster([]Instance{start.Self})
	entries[StatusMessageKey("n0")], _ = cborEncoder.Marshal(&c.status)
	c = New(start)
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		require.NoError(t, c.HandleEntry(now, key, entries[key]))
	}
	c.SetFile(file("back", 2))
	c.MarkServing(now)
	require.NotNil(t, decide(c, 20))
	golden.Require(t, "entries_and_events.txt", all.String())
}
