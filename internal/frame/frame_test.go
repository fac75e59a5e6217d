package frame

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

func FuzzFrames(f *testing.F) {
	f.Add(End(append(Begin(nil, TypeAnswer), "q.1 good 1840277719 -\nvalue"...), 0))
	f.Add(End(append(Begin(nil, TypeAnswer), "q.1 later - a:1,b=2\n"...), 0))
	f.Add(AppendCancel(AppendShardRequest(Begin(nil, TypeBatch), "q.1", 3, []byte("d=240"), []byte("text")), "q.1"))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 'q'})
	f.Fuzz(func(t *testing.T, text []byte) {
		src := bufio.NewReader(bytes.NewReader(text))
		for {
			letter, rest, err := Read(src)
			if err != nil {
				require.True(t, errors.Is(err, ErrMalformed) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF))
				return
			}
			id, _, _, _, value, err := ParseAnswer(rest)
			if letter == TypeAnswer && err == nil {
				require.NotEmpty(t, id)
				require.True(t, bytes.HasSuffix(rest, value))
			}
		}
	})
}

func TestFrames(t *testing.T) {
	text := AppendShardRequest(AppendShardRequest(Begin(nil, TypeBatch), "q.3", 3, []byte("d=240"), []byte("two\nlines")), "q.9", 9, []byte("d=1"), nil)
	text = AppendCancel(End(text, 0), "q.3")
	require.Equal(t, "\x00\x00\x00\x24mq.3 3 d=240 9\ntwo\nlinesq.9 9 d=1 0\n\x00\x00\x00\x04nq.3", string(text))
	src := bufio.NewReader(bytes.NewReader(text))
	letter, rest, err := Read(src)
	require.NoError(t, err)
	require.Equal(t, byte(TypeBatch), letter)
	require.Len(t, rest, 0x23)
	letter, rest, err = Read(src)
	require.NoError(t, err)
	require.Equal(t, "n q.3", string(letter)+" "+string(rest))
	_, _, err = Read(src)
	require.Equal(t, io.EOF, err)
	id, end, score, report, value, err := ParseAnswer([]byte("q.1 good -5 queue:2,x=1.5\n\nv"))
	require.NoError(t, err)
	require.Equal(t, []string{"q.1", "good", "-5", "\nv"}, []string{string(id), string(end), string(score), string(value)})
	require.Equal(t, map[string]float64{"queue": 2, "x": 1.5}, report)
	for _, bad := range []string{"", "q.1 good 5 -", "q.1 good 5\n", " good 5 -\n", "q.1 good x -\n", "q.1 good  -\n", "q.1 good 5 - -\n", "q.1 good 1_0 -\n"} {
		_, _, _, _, _, err := ParseAnswer([]byte(bad))
		require.ErrorIs(t, err, ErrMalformed, bad)
	}
	for _, unread := range []string{"-", "", "load", "a:b", "a:nan", "a:1,b:-inf", "=,=", "%%%"} {
		_, _, _, report, value, err := ParseAnswer([]byte("q.1 good 5 " + unread + "\nv"))
		require.NoError(t, err, unread)
		require.Nil(t, report, unread)
		require.Equal(t, "v", string(value))
	}
	for behind, fits := range map[string]bool{
		"": true, "\x00": true, "\x00\x00\x00\x05": true,
		"\x00\x00\x00\x05q": true, "\x00\x00\x00\x05r": true, "\x00\x00\x00\x05m": false, "x": false,
		"\x00\x00\x00\x00": false, "\x00\xff\xff\xffq": false,
	} {
		src := bufio.NewReader(bytes.NewReader([]byte("\x00\x00\x00\x01q" + behind)))
		_, _, err := Read(src)
		require.NoError(t, err)
		require.Equal(t, fits, IsPlausibleReply(src), "%q", behind)
	}
}
