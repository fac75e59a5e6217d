package frame

import (
	"bufio"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"chalkring/internal/golden"

	"github.com/stretchr/testify/require"
)

// goldenFrames returns frames as a coordinator writes them. Each line is a name and the quoted bytes of the frames.
func goldenFrames() string {
	var out strings.Builder
	add := func(name string, frames []byte) { fmt.Fprintf(&out, "%s %q\n", name, frames) }
	one := AppendShardRequest(Begin(nil, TypeBatch), "q-1.0", 0, []byte("d=240"), []byte("town:oslo"))
	add("call-one-shard", End(one, 0))
	two := AppendShardRequest(Begin(nil, TypeBatch), "q-1.3", 3, []byte("d=240"), []byte("two\nlines é"))
	two = AppendShardRequest(two, "q-1.12.r", 12, []byte("d=1,from=3+12,whole=0"), nil)
	add("call-two-shards", End(two, 0))
	add("cancel", AppendCancel(nil, "q-1.12.r"))
	add("cancel-behind-call", AppendCancel(End(AppendShardRequest(Begin(nil, TypeBatch), "a.1", 1, []byte("d=9"), []byte("x")), 0), "a.1"))
	return out.String()
}

// Guards against a change in the bytes of frames to replicas.
func TestGoldenFramesWritten(t *testing.T) {
	golden.Require(t, "frames_written.golden", goldenFrames())
}

// Guards against a change in how frames from replicas are parsed. Each line of the golden file is the quoted bytes of a
// frame, followed by the parsed parts or the kind of error.
func TestGoldenFramesRead(t *testing.T) {
	framed := func(frameType byte, payload string) string {
		return string(End(append(Begin(nil, frameType), payload...), 0))
	}
	var out strings.Builder
	for _, stream := range []string{
		"\x00\x00\x00\x1eqq-1.0 good 1840277719 -\nvalue", "\x00\x00\x00\x0fqq good -5 -\n\n\n",
		framed(TypeAnswer, "q.1 good +7 queue:2,x=1.5\nvalue\nof lines"), framed(TypeAnswer, "q.1 good 18446744073709551616 -\n"),
		framed(TypeAnswer, "q.1 bad - -\n"), framed(TypeAnswer, "q.1 later - RetryAfter:250,load=0.5\n"),
		framed(TypeAnswer, "q.1 later - broken\n"), framed(TypeAnswer, "q.1 good 5 a:nan\nv"), framed(TypeAnswer, "q.1 good x -\n"),
		framed(TypeAnswer, "q.1 good 5 -"), framed(TypeAnswer, " good 5 -\n"), framed(TypeReject, "cannot read that"),
		framed(TypeBatch, "q.1 3 d=240 4\ntext"), framed(TypeCancel, "q.1"),
		"\x00\x00\x00\x00", "\x00\x04\x00\x01q", "\x00\x00\x00\x09qshort", "\x00\x00",
	} {
		frameType, payload, err := Read(bufio.NewReader(strings.NewReader(stream)))
		fmt.Fprintf(&out, "%q", stream)
		if err != nil {
			fmt.Fprintf(&out, " unreadable\n")
			continue
		}
		fmt.Fprintf(&out, " letter=%c", frameType)
		if frameType != TypeAnswer {
			fmt.Fprintf(&out, " rest=%q\n", payload)
			continue
		}
		id, end, score, report, value, err := ParseAnswer(payload)
		if err != nil {
			fmt.Fprintf(&out, " unusable\n")
			continue
		}
		var pairs []string
		for name, v := range report {
			pairs = append(pairs, name+"="+strconv.FormatFloat(v, 'g', -1, 64))
		}
		slices.Sort(pairs)
		fmt.Fprintf(&out, " id=%q end=%q score=%q report=%q value=%q\n", id, end, score, strings.Join(pairs, ","), value)
	}
	golden.Require(t, "frames_read.golden", out.String())
}

// Guards against a reader that splits the frames of the golden file differently from how they were written.
func TestGoldenFramesReadBack(t *testing.T) {
	var got []string
	for line := range strings.Lines(string(golden.Read(t, "frames_written.golden"))) {
		name, quoted, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		frames, err := strconv.Unquote(quoted)
		require.NoError(t, err)
		source := bufio.NewReader(strings.NewReader(frames))
		for {
			frameType, payload, err := Read(source)
			if err != nil {
				break
			}
			got = append(got, fmt.Sprintf("%s %c %d", name, frameType, len(payload)))
		}
	}
	require.Equal(t, []string{
		"call-one-shard m 25", "call-two-shards m 65", "cancel n 8", "cancel-behind-call m 13",
		"cancel-behind-call n 3",
	}, got)
}
