package hostfile

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"chalkring/config/strictyaml"
	"chalkring/endpoints"
)

const (
	// pollInterval is the time between scans of all files, which find changes on file systems without notifications: a
	// host that was dropped from a file has to be out of use within 2 s.
	pollInterval = time.Second
	// settleTime is how long a file's stamp has to stay the same before the file is read.
	settleTime = 100 * time.Millisecond
	// maxSettleTime is the time after which a file that keeps changing is read anyway; it is read again after later changes.
	maxSettleTime = 700 * time.Millisecond
	maxFiles      = 256 // in all paths together
)

// Event reports a file's new content, or why it cannot be used.
type Event struct {
	Path   string
	Update endpoints.Update
	Text   []byte // instead of Update if Watcher.RawText is set
	Err    error
}

// Watcher watches files, and the files *.yaml, *.yml and *.json of directories. Its fields are set before Run.
type Watcher struct {
	Paths   []string
	RawText bool          // the files are not host files: events have their text, which is not parsed
	Notify  func(e Event) // called by Run's goroutine

	files       map[string]*watchedFile // by path
	updateCount int64
}

// Read reads and parses a file immediately, without waiting until it has settled.
func Read(path string) (endpoints.Update, error) {
	text, err := ReadText(path)
	if err != nil {
		return endpoints.Update{}, err
	}
	return Parse(path, text)
}

// ReadText reads a file's text. If the file is too large, it returns one byte more than Parse accepts.
func ReadText(path string) ([]byte, error) {
	return strictyaml.ReadFile(path, maxFileBytes)
}

// Run calls Notify for each file that exists, and then for each change, until ctx ends. It reports once that a file is
// missing or invalid; the receiver is expected to use the file's last valid content meanwhile.
func (w *Watcher) Run(ctx context.Context) {
	w.files = map[string]*watchedFile{}
	notifications := newNotifications()
	defer notifications.close()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	settled := time.NewTimer(0)
	defer settled.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case _, isOpen := <-notifications.errors:
			if !isOpen {
				notifications.errors = nil
			}
		case _, isOpen := <-notifications.events:
			if !isOpen {
				notifications.events = nil
			}
			settled.Reset(settleTime)
			continue
		case <-poll.C:
		case <-settled.C:
		}
		notifications.watch(w.directories())
		if w.scan(time.Now()) {
			settled.Reset(settleTime)
		}
	}
}

// directories returns the directories to watch: those that Paths names, and those that contain a path or the target of
// its symbolic links.
func (w *Watcher) directories() (directories []string) {
	add := func(directory string) {
		if !slices.Contains(directories, directory) {
			directories = append(directories, directory)
		}
	}
	for _, path := range w.Paths {
		add(filepath.Dir(path))
		if info, err := os.Stat(path); err == nil && info.IsDir() {
			add(path)
		}
		if target, err := filepath.EvalSymlinks(path); err == nil {
			add(filepath.Dir(target))
		}
	}
	return directories
}

// currentPaths returns the paths of the files: those in Paths, whether they exist or not, and those in its directories.
func (w *Watcher) currentPaths() (paths []string) {
	for _, path := range w.Paths {
		info, err := os.Stat(path)
		if err != nil || !info.IsDir() {
			paths = append(paths, path)
			continue
		}
		entries, _ := os.ReadDir(path) // uses what could be read; the next scan tries again
		for _, entry := range entries {
			if isHostFileName(entry.Name()) {
				paths = append(paths, filepath.Join(path, entry.Name()))
			}
		}
	}
	return paths[:min(len(paths), maxFiles)]
}

func isHostFileName(name string) bool {
	return !strings.HasPrefix(name, ".") && slices.Contains([]string{".yaml", ".yml", ".json"}, filepath.Ext(name))
}

// scan reads the files that have changed and settled. It reports whether a file has not settled yet.
func (w *Watcher) scan(now time.Time) (isUnsettled bool) {
	paths := w.currentPaths()
	for path, file := range w.files {
		if !slices.Contains(paths, path) {
			w.reportMissing(file, path, fmt.Errorf("%s: %w", path, fs.ErrNotExist))
		}
	}
	for _, path := range paths {
		if w.scanFile(now, path) {
			isUnsettled = true
		}
	}
	return isUnsettled
}

func (w *Watcher) scanFile(now time.Time, path string) (isUnsettled bool) {
	file := w.files[path]
	if file == nil {
		file = &watchedFile{stampSince: now}
		w.files[path] = file
	}
	stamp, err := stampOf(path)
	if err != nil {
		w.reportMissing(file, path, err)
		return false
	}
	file.isMissing = false
	file.observe(now, stamp)
	if stamp == file.readStamp {
		return false
	}
	if !file.isSettled(now) {
		return true
	}
	event := w.read(path)
	if after, err := stampOf(path); err != nil || after != stamp {
		file.discardRead(now, after)
		return true
	}
	file.readStamp = stamp
	w.reportRead(event)
	return false
}

// reportMissing reports a missing file, once until it exists again.
func (w *Watcher) reportMissing(file *watchedFile, path string, err error) {
	if file.isMissing {
		return
	}
	file.isMissing = true
	kind := "list"
	if w.RawText {
		kind = "text"
	}
	w.Notify(Event{Path: path, Err: fmt.Errorf("%w; its last %s remains in use", err, kind)})
}

func (w *Watcher) read(path string) Event {
	event := Event{Path: path}
	if w.RawText {
		event.Text, event.Err = ReadText(path)
	} else {
		event.Update, event.Err = Read(path)
	}
	return event
}

// reportRead reports a file that was read. It adds a version to an update, and the path to an error that has none.
func (w *Watcher) reportRead(event Event) {
	if event.Err != nil {
		var invalid endpoints.InvalidListError
		if !errors.As(event.Err, &invalid) {
			event.Err = fmt.Errorf("%s: %w", event.Path, event.Err)
		}
		w.Notify(Event{Path: event.Path, Err: event.Err})
		return
	}
	w.updateCount++
	event.Update.Version = w.updateCount
	w.Notify(event)
}
