package frame

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against panics and unexpected kinds of errors on arbitrary input, and against answers whose id is empty or
// whose value is not the end of the payload.
func FuzzRead(f *testing.F) {
	f.Add(End(append(Begin(nil, TypeAnswer), "q.1 good 1840277719 -\nvalue"...), 0))
	f.Add(End(append(Begin(nil, TypeAnswer), "q.1 later - a:1,b=2\n"...), 0))
	f.Add(AppendCancel(AppendShardRequest(Begin(nil, TypeBatch), "q.1", 3, []byte("d=240"), []byte("text")), "q.1"))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 'q'})
	f.Fuzz(func(t *testing.T, stream []byte) {
		source := bufio.NewReader(bytes.NewReader(stream))
		for {
			frameType, payload, err := Read(source)
			if err != nil {
				require.True(t, errors.Is(err, ErrMalformed) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF))
				return
			}
			id, _, _, _, value, err := ParseAnswer(payload)
			if frameType == TypeAnswer && err == nil {
				require.NotEmpty(t, id)
				require.True(t, bytes.HasSuffix(payload, value))
			}
		}
	})
}

// Guards against a change in the bytes of written frames, and against a reader that finds other frame boundaries.
func TestWrittenFramesAreRead(t *testing.T) {
	stream := AppendShardRequest(Begin(nil, TypeBatch), "q.3", 3, []byte("d=240"), []byte("two\nlines"))
	stream = AppendShardRequest(stream, "q.9", 9, []byte("d=1"), nil)
	stream = AppendCancel(End(stream, 0), "q.3")
	require.Equal(t, "\x00\x00\x00\x24mq.3 3 d=240 9\ntwo\nlinesq.9 9 d=1 0\n\x00\x00\x00\x04nq.3", string(stream))
	source := bufio.NewReader(bytes.NewReader(stream))
	frameType, payload, err := Read(source)
	require.NoError(t, err)
	require.Equal(t, byte(TypeBatch), frameType)
	require.Len(t, payload, 0x23)
	frameType, payload, err = Read(source)
	require.NoError(t, err)
	require.Equal(t, "n q.3", string(frameType)+" "+string(payload))
	_, _, err = Read(source)
	require.Equal(t, io.EOF, err)
}

// Guards against mixing up the parts of an answer, and against a value that loses its leading line break.
func TestParseAnswer(t *testing.T) {
	id, end, score, report, value, err := ParseAnswer([]byte("q.1 good -5 queue:2,x=1.5\n\nv"))
	require.NoError(t, err)
	require.Equal(t, []string{"q.1", "good", "-5", "\nv"}, []string{string(id), string(end), string(score), string(value)})
	require.Equal(t, map[string]float64{"queue": 2, "x": 1.5}, report)
}

// Guards against accepting answers with missing or surplus parts or with a score that is not an integer.
func TestMalformedAnswersAreRejected(t *testing.T) {
	for _, payload := range []string{"", "q.1 good 5 -", "q.1 good 5\n", " good 5 -\n", "q.1 good x -\n", "q.1 good  -\n", "q.1 good 5 - -\n", "q.1 good 1_0 -\n"} {
		_, _, _, _, _, err := ParseAnswer([]byte(payload))
		require.ErrorIs(t, err, ErrMalformed, payload)
	}
}

// Guards against losing an answer because its load report is invalid, and against using infinite or NaN values.
func TestInvalidLoadReportsAreIgnored(t *testing.T) {
	for _, invalid := range []string{"-", "", "load", "a:b", "a:nan", "a:1,b:-inf", "=,=", "%%%"} {
		_, _, _, report, value, err := ParseAnswer([]byte("q.1 good 5 " + invalid + "\nv"))
		require.NoError(t, err, invalid)
		require.Nil(t, report, invalid)
		require.Equal(t, "v", string(value))
	}
}

// Guards against rejecting a partly received reply, and against taking other bytes for the beginning of one.
func TestIsPlausibleReply(t *testing.T) {
	for buffered, want := range map[string]bool{
		"": true, "\x00": true, "\x00\x00\x00\x05": true,
		"\x00\x00\x00\x05q": true, "\x00\x00\x00\x05r": true, "\x00\x00\x00\x05m": false, "x": false,
		"\x00\x00\x00\x00": false, "\x00\xff\xff\xffq": false,
	} {
		source := bufio.NewReader(bytes.NewReader([]byte("\x00\x00\x00\x01q" + buffered)))
		_, _, err := Read(source)
		require.NoError(t, err)
		require.Equal(t, want, IsPlausibleReply(source), "%q", buffered)
	}
}
