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

	"github.com/stretchr/testify/require"

	"chalkring/internal/advice"
)

// everyBucket is a class's sums with another number in each field and bucket.
func everyBucket() Class {
	c := Class{Asked: 1001, Served: 1002, Late: 1003, Shed: 1004}
	for i := range c.Times {
		c.Times[i] = uint64(100 + i)
	}
	for i := range c.Subs {
		c.Subs[i] = uint64(200 + i)
	}
	return c
}

// goldenWord is a status message with another value in each field.
func goldenWord() Word {
	return Word{Place: Place{Name: "n0", Region: "eu", Zone: "eu-1"}, Life: 21, Beat: 22, Number: 23, Digest: "0123456789abcdef",
		Verdict: Verdict{Turn: 24, Kind: Back, Why: "worse by served", By: "n1"}, Roster: "fedcba9876543210", Turn: 25, Stage: 26,
		Runs: 27, Since: 28, Ask: Ask{No: 29, To: 30}, Acks: []Ack{{Name: "n2", No: 31}, {Name: "n3", No: 32}}, Failed: 33, Starts: 34,
		Sums: &Sums{Classes: []Class{everyBucket(), {Asked: 1}}, Connects: 35, Memory: 36}}
}

// goldenChange is a change with another value in each field.
func goldenChange() Change {
	return Change{Name: "c", Number: 41, From: 40, Settings: map[string]string{"Safety.ExtraFloor": "0.5", "Classes.0.Name": "lookup"},
		Program: Program{Path: "/opt/chalkring", Version: "chalkring 2.5"},
		Stages:  []Stage{{Count: 1, Watch: "not sent", For: 42}, {Share: 0.25, For: 43}, {Share: 1, For: 44}}, Together: 0.125, Cold: 45, Ready: 46,
		Silent: 47, Searches: 48, Worse: Worse{Served: 0.01, Late: 0.02, Shed: 0.03, Median: 0.04, Tail: 0.05, Subs: 0.06, Connects: 7,
			Memory: 8, Restarts: 9, Unreached: 10, FalseStops: 0.005}, Then: Stop}
}

// Status messages and changes as instances of today's build send and keep them.
func TestGoldenRolloutMessages(t *testing.T) {
	const file = "messages.cbor.txt"
	least := Word{Place: Place{Name: "n0", Region: "eu", Zone: "eu-1"}, Life: 1, Since: -1}
	word, change := goldenWord(), goldenChange()
	own := Change{Name: "c", Number: 1, Settings: map[string]string{}, Stages: []Stage{{Share: 1}}, Together: 1, Then: Back}
	var all strings.Builder
	for _, m := range []struct {
		name  string
		value any
	}{{"status, every field", &word}, {"status, fewest fields", &least}, {"change, every field", &change}, {"change, fewest fields", &own},
		{"verdict go", &Verdict{Turn: 1, Kind: Go}}, {"verdict stop", &Verdict{Turn: 2, Kind: Stop, Why: "w", By: "n"}},
		{"verdict back", &Verdict{Turn: 3, Kind: Back, Why: "w", By: "n"}}} {
		text, err := encoding.Marshal(m.value)
		require.NoError(t, err)
		all.WriteString(cborLine(t, m.name, text))
	}
	requireGolden(t, file, []byte(all.String()))

	var gotWord, gotLeast Word
	require.NoError(t, decode("k", goldenCBOR(t, file, "status, every field"), &gotWord))
	require.Equal(t, word, gotWord)
	require.NoError(t, decode("k", goldenCBOR(t, file, "status, fewest fields"), &gotLeast))
	require.Equal(t, least, gotLeast)
	var gotChange Change
	require.NoError(t, decode("k", goldenCBOR(t, file, "change, every field"), &gotChange))
	change.Stages[0].Watch = ""
	require.Equal(t, change, gotChange)
	for name, kind := range map[string]Kind{"go": Go, "stop": Stop, "back": Back} {
		var v Verdict
		require.NoError(t, decode("k", goldenCBOR(t, file, "verdict "+name), &v))
		require.Equal(t, kind, v.Kind)
	}
}

// What a shared entry of a later version adds is passed over; what cannot be read is refused.
func TestGoldenRolloutMessageReading(t *testing.T) {
	v := Verdict{}
	require.NoError(t, decode("k", []byte{0xa2, 0x01, 0x05, 0x18, 0x63, 0x01}, &v)) // {1: 5, 99: 1}
	require.EqualValues(t, 5, v.Turn)
	require.EqualError(t, decode("rollout/word/n0", []byte{0xff}, &v), `shared entry "rollout/word/n0": cbor: unexpected "break" code`)
	require.EqualError(t, decode("rollout/word/n0", make([]byte, 1<<20+1), &v), `shared entry "rollout/word/n0": 1048577 bytes`)
}

// The names of shared entries, and digests that all instances have to work out alike.
func TestGoldenRolloutNamesAndDigests(t *testing.T) {
	change := goldenChange()
	var all strings.Builder
	fmt.Fprintln(&all, "prefix", Prefix)
	fmt.Fprintln(&all, "change key", changeKey(41, "0123456789abcdef"))
	fmt.Fprintln(&all, "roster key", rosterKey(41, "fedcba9876543210"))
	fmt.Fprintln(&all, "status key", WordKey("n0"))
	fmt.Fprintln(&all, "change digest", change.Digest())
	places := goldenPlaces()
	r := rosterOf("c/41", places)
	fmt.Fprintln(&all, "roster digest", r.digest)
	for _, p := range r.order {
		fmt.Fprintln(&all, "roster order", p.Name, p.Region, p.Zone)
	}
	for _, tenths := range []int64{-1, 0, 9, 10, 19, 20, 30, 40, 60, 1000, 10_000, 100_000, 1_000_000} {
		fmt.Fprintln(&all, "time bucket of", tenths, "is", TimeBucket(tenths))
	}
	for _, n := range []int{-1, 0, 1, 2, 3, 4, 6, 100, 1024, 5000} {
		fmt.Fprintln(&all, "sub-request bucket of", n, "is", SubBucket(n))
	}
	requireGolden(t, "names.txt", []byte(all.String()))
	number, digest, ok := numbered("00000000000000000041/0123456789abcdef")
	require.True(t, ok)
	require.EqualValues(t, 41, number)
	require.Equal(t, "0123456789abcdef", digest)
}

func goldenPlaces() (all []Place) {
	for i := range 7 {
		all = append(all, Place{Name: fmt.Sprintf("n%d", i), Region: fmt.Sprintf("r%d", i%2), Zone: fmt.Sprintf("z%d", i%3)})
	}
	return all
}

// A roster is read as it was compressed by today's build. What is written is compared uncompressed, as the bytes of a
// compressor are no part of the form.
func TestGoldenRolloutRoster(t *testing.T) {
	const file = "roster.cbor.txt"
	packed := packRoster(goldenPlaces())
	text, err := io.ReadAll(flate.NewReader(bytes.NewReader(packed)))
	require.NoError(t, err)
	requireGolden(t, file, []byte(cborLine(t, "roster, uncompressed", text)))
	path := filepath.Join("testdata", "roster.flate")
	kept, err := os.ReadFile(path)
	if *writeGolden && os.IsNotExist(err) {
		require.NoError(t, os.WriteFile(path, packed, 0o644))
		t.Fatalf("%s was written: run again without -write-golden", path)
	}
	require.NoError(t, err)
	got, err := unpackRoster("k", kept)
	require.NoError(t, err)
	require.Equal(t, goldenPlaces(), got)
}

// Keys of a change file, each with another value, and what holds where they are left out.
func TestGoldenRolloutFile(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "every_key.yaml"))
	require.NoError(t, err)
	f, err := Parse("every_key.yaml", text)
	require.NoError(t, err)
	require.Equal(t, &File{Change: Change{Name: "every-key", Number: 12, Settings: map[string]string{"Safety.ExtraFloor": "0.5"},
		Program: Program{Path: "/opt/chalkring/2.5/chalkring", Version: "chalkring 2.5"},
		Stages: []Stage{{Count: 2, Watch: "5m", For: 3_000_000}, {Share: 0.25, Watch: "90s", For: 900_000},
			{Share: 1, Watch: "2m", For: 1_200_000}},
		Together: 0.125, Cold: 310_000, Ready: 200_000, Silent: 1_800_000, Searches: 201,
		Worse: Worse{Served: 0.011, Late: 0.031, Shed: 0.021, Median: 0.151, Tail: 0.051, Subs: 0.152, Connects: 3.5, Memory: 1.6,
			Restarts: 4, Unreached: 5, FalseStops: 0.025},
		Then: Stop}, Order: Stop, Turn: 3}, f)

	text, err = os.ReadFile(filepath.Join("testdata", "fewest_keys.yaml"))
	require.NoError(t, err)
	f, err = Parse("fewest_keys.yaml", text)
	require.NoError(t, err)
	require.Equal(t, &File{Change: Change{Name: "fewest-keys", Number: 1, Settings: map[string]string{"Safety.ExtraFloor": "0.5"},
		Stages: []Stage{{Share: 1, For: 3_000_000}}, Together: 1, Cold: 300_000, Ready: 300_000, Silent: 2_400_000, Searches: 200,
		Worse: Worse{Served: 0.01, Late: 0.03, Shed: 0.02, Median: 0.15, Tail: 0.05, Subs: 0.15, Connects: 3, Memory: 1.5,
			Restarts: 2, Unreached: 1, FalseStops: 0.02},
		Then: Back}, Order: Go, Turn: 1}, f)
}

// Fault texts of change files, with place and advice. A value of the wrong type is left out: the YAML package names Go
// types in that text.
func TestGoldenRolloutFileFaults(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "every_key.yaml"))
	require.NoError(t, err)
	var all strings.Builder
	for _, change := range [][2]string{{"...\n", ""}, {"name: every-key", "name: every key"}, {"number: 12", "number: 0"},
		{"order: stop", "order: halt"}, {"turn: 3", "turn: 0"}, {"then: stop", "then: go"}, {"ExtraFloor: 0.5", "ExtraFlor: 0.5"},
		{"path: /opt", "path: opt"}, {", version: chalkring 2.5", ""}, {"count: 2", "count: 2, share: 0.1"}, {"watch: 90s", "watch: soon"},
		{"share: 1,", "share: 0.9,"}, {"together: 0.125", "together: 0"}, {"searches: 201", "searches: -1"}, {"silent: 3m", "silent: 1m"},
		{"served: 0.011", "served: 0.5"}, {"connects: 3.5", "connects: 1"}, {"restarts: 4", "restarts: 0"}, {"false_stops: 0.025", "false_stops: 0.5"},
		{"cold: 31s", "colder: 31s"}} {
		require.Contains(t, string(text), change[0])
		_, err := Parse("c.yaml", []byte(strings.Replace(string(text), change[0], change[1], 1)))
		require.Error(t, err, change[1])
		fmt.Fprintf(&all, "%s -> %s\n  %s\n", strings.TrimSpace(change[0]), change[1], strings.ReplaceAll(advice.Describe(err), "\n", "\n  "))
	}
	requireGolden(t, "file_faults.txt", []byte(all.String()))
}

// Failures that stand in the log, with their advice.
func TestGoldenRolloutErrors(t *testing.T) {
	verdict := Verdict{Turn: 2, Kind: Stop, Why: "why", By: "n1"}
	var all strings.Builder
	for _, err := range []error{&Stopped{Change: "c", Number: 1, Verdict: verdict}, &Differs{Number: 1, Digests: []string{"a", "b"}},
		&OldFile{Number: 1, Known: 2}, &OtherList{Number: 1, Theirs: 2, Ours: 3}, &NotTaken{Number: 1, Why: "why"},
		&TooBig{Number: 1, Bytes: 2}, &Waits{Number: 1, Step: 2, Why: "why"}, &EntryFault{"rollout/word/n0", errors.New("why")},
		&FileFault{"c.yaml", errors.New("why")}} {
		fmt.Fprintln(&all, advice.Describe(err))
	}
	fmt.Fprintln(&all, Go, Stop, Back)
	requireGolden(t, "errors.txt", []byte(all.String()))
}

// What a look finds worse is sent as the verdict's reason.
func TestGoldenRolloutEvidence(t *testing.T) {
	sides := func(oldNow, newNow Sums) string {
		e := NewEvidence(usualWorse)
		sample := func(name string, isNew bool, s Sums) Sample {
			return Sample{Name: name, Region: "eu", Zone: "eu-1", New: isNew, Life: 1, Sums: s}
		}
		zero := Sums{Classes: make([]Class, 1)}
		for _, s := range [][2]Sums{{zero, zero}, {oldNow, newNow}} {
			e.Look([]Sample{sample("a", false, s[0]), sample("b", false, s[0]), sample("c", false, s[0]), sample("d", true, s[1])})
		}
		return e.Found()
	}
	class := func(asked, served uint64) []Class { return []Class{{Asked: asked, Served: served}} }
	var all strings.Builder
	fmt.Fprintln(&all, "same:", sides(Sums{Classes: class(500, 499)}, Sums{Classes: class(500, 499)}))
	fmt.Fprintln(&all, "served:", sides(Sums{Classes: class(1000, 1000)}, Sums{Classes: class(1000, 500)}))
	fmt.Fprintln(&all, "connects:", sides(Sums{Classes: class(500, 500), Connects: 50}, Sums{Classes: class(500, 500), Connects: 5000}))
	fmt.Fprintln(&all, "memory:", sides(Sums{Classes: class(1, 1), Memory: 100 << 20}, Sums{Classes: class(1, 1), Memory: 900 << 20}))
	for m := range metrics {
		fmt.Fprintln(&all, "metric", bet{slot{class: 1, place: [2]string{"eu", "*"}}, m})
	}
	requireGolden(t, "evidence.txt", []byte(all.String()))
}

// One listed instance takes a change, and another takes it back: its shared entries and log events, look by look.
func TestGoldenRolloutEntriesAndEvents(t *testing.T) {
	text := "name: c\nnumber: 1\norder: %s\nturn: %d\nsettings: {Safety: {ExtraFloor: 0.5}}\nstages:\n  - {share: 1, watch: 1s}\ncold: 1s\nready: 1s\nsilent: 10s\n...\n"
	file := func(order string, turn int) *File {
		f, err := Parse("c.yaml", fmt.Appendf(nil, text, order, turn))
		require.NoError(t, err)
		return f
	}
	now := int64(1)
	var all strings.Builder
	look := func(d *Desk, times int) (step *Step) {
		for range times {
			now += second / 2
			out := d.Look(now)
			fmt.Fprintf(&all, "look at %d\n", now)
			for _, key := range slices.Sorted(maps.Keys(out.Put)) {
				value := out.Put[key]
				if strings.HasPrefix(key, rosterPrefix) {
					value, _ = io.ReadAll(flate.NewReader(bytes.NewReader(value)))
				}
				all.WriteString(cborLine(t, "put "+key, value))
			}
			for _, key := range out.Delete {
				fmt.Fprintln(&all, "delete", key)
			}
			for _, n := range out.Notes {
				fmt.Fprintln(&all, "event", n.Event, n.Attrs, n.Err)
			}
			if out.Step != nil {
				fmt.Fprintln(&all, "restart into", out.Step.To, "turn", out.Step.Turn, "ready", out.Step.Ready)
				return out.Step
			}
		}
		return nil
	}
	start := Start{Me: Place{Name: "n0", Region: "eu", Zone: "eu-1"}, Life: 1, Listed: []string{"n0"}, Now: now}
	d := New(start)
	d.File(file("go", 1))
	d.Serves(now)
	require.NotNil(t, look(d, 20))
	start.Life, start.Runs, start.Now = 2, 1, now
	entries := map[string][]byte{}
	c := d.cur
	entries[changeKey(1, c.Digest())], _ = encoding.Marshal(c)
	entries[rosterKey(1, d.me.Roster)] = packRoster([]Place{start.Me})
	entries[WordKey("n0")], _ = encoding.Marshal(&d.me)
	d = New(start)
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		require.NoError(t, d.Heard(now, key, entries[key]))
	}
	d.File(file("back", 2))
	d.Serves(now)
	require.NotNil(t, look(d, 20))
	requireGolden(t, "entries_and_events.txt", []byte(all.String()))
}
