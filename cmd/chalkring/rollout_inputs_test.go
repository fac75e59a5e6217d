package main

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/control/rollout"
)

// A change file is read again only after the interval, and logged only if it has changed.
func TestChangeFileReader(t *testing.T) {
	const text = "name: c\nnumber: 1\nstages: [{share: 1}]\nsettings: {Classes.0.Aim: 5}\n...\n"
	var log bytes.Buffer
	reader := changeFileReader{path: filepath.Join(t.TempDir(), "rollout.yaml"), log: slog.New(slog.NewTextHandler(&log, nil))}
	controller := rollout.New(rollout.InitialState{Self: rollout.Instance{Name: "a"}, Incarnation: 1, Members: []string{"a"}})
	update := func(isDue bool) (logged string) {
		if isDue {
			reader.readAt = time.Time{}
		}
		log.Reset()
		reader.update(controller)
		return log.String()
	}
	require.Empty(t, update(true), "no file")
	require.NoError(t, os.WriteFile(reader.path, []byte(text), 0o600))
	require.Empty(t, update(false), "too early")
	require.Contains(t, update(true), "msg=rollout_file change=c number=1 order=go turn=1")
	require.Empty(t, update(true), "unchanged")
	require.NoError(t, os.WriteFile(reader.path, []byte(strings.TrimSuffix(text, "...\n")), 0o600))
	require.Contains(t, update(true), "level=WARN msg=rollout_file")
	require.Empty(t, update(true), "the error is logged once")
	require.NoError(t, os.Remove(reader.path))
	require.Empty(t, update(true), "removed")
	require.NoError(t, os.WriteFile(reader.path, []byte(text), 0o600))
	require.Contains(t, update(true), "msg=rollout_file change=c")
}
