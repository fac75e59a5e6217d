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

	"github.com/fsnotify/fsnotify"

	"chalkring/config/strictyaml"
	"chalkring/endpoints"
)

const (
	pollEach  = time.Second            // look at all files, for file systems that tell nothing: a dropped host has 2 s
	settle    = 100 * time.Millisecond // that size and change time stay as they are before a file is read
	settleMax = 700 * time.Millisecond // after which one that never rests is read all the same, and again later
	filesMost = 256                    // files of all paths
)

// Event is what has become of a file: a list, or its text, or why there is none.
type Event struct {
	Path   string
	Update endpoints.Update
	Text   []byte // where texts are told
	Err    error
}

// Watcher watches files, and folders of them (*.yaml, *.yml and *.json).
type Watcher struct {
	Paths   []string
	RawText bool // files of another kind: their texts are told as they are, and whoever hears of them reads them
	Notify  func(e Event)

	seen  map[string]*file
	count int64
}

// file is one file as it was last looked at.
type file struct {
	stamp   stamp
	since   time.Time // that its stamp is as it is
	changed time.Time // since when it differs from what was read
	read    stamp     // when it was read, zero for never
	gone    bool
}

// stamp tells one state of a file from another, a swapped link and a renamed file too.
type stamp struct {
	size int64
	at   time.Time
	info string
}

// Read reads a file as it is, without waiting for it to rest.
func Read(path string) (endpoints.Update, error) {
	text, err := ReadText(path)
	if err != nil {
		return endpoints.Update{}, err
	}
	return Parse(path, text)
}

// ReadText is a file's text as it is, cut a byte beyond the most that is read.
func ReadText(path string) ([]byte, error) {
	return strictyaml.ReadFile(path, fileMost)
}

// Run tells of each file that is there, and then of each change, until ctx ends. What a file told last holds while it is
// away or cannot be used: each such state is told once.
func (w *Watcher) Run(ctx context.Context) error {
	w.seen = map[string]*file{}
	notify, err := fsnotify.NewWatcher()
	if err != nil {
		notify = &fsnotify.Watcher{} // the poll sees all, only later
	} else {
		defer notify.Close()
	}
	watched := map[string]bool{}
	poll := time.NewTicker(pollEach)
	defer poll.Stop()
	soon := time.NewTimer(0)
	defer soon.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-notify.Errors:
		case _, ok := <-notify.Events:
			if !ok {
				notify.Events = nil
			}
			soon.Reset(settle)
			continue
		case <-poll.C:
		case <-soon.C:
		}
		if err == nil {
			for _, dir := range w.dirs() {
				if !watched[dir] || !slices.Contains(notify.WatchList(), dir) { // a folder that came back is another
					watched[dir] = notify.Add(dir) == nil
				}
			}
		}
		if w.look(time.Now()) {
			soon.Reset(settle)
		}
	}
}

func (w *Watcher) kind() string {
	if w.RawText {
		return "text"
	}
	return "list"
}

// dirs are the folders to watch: of the files, and of what links point to.
func (w *Watcher) dirs() (all []string) {
	add := func(dir string) {
		if !slices.Contains(all, dir) {
			all = append(all, dir)
		}
	}
	for _, path := range w.Paths {
		add(filepath.Dir(path))
		if info, err := os.Stat(path); err == nil && info.IsDir() {
			add(path)
		}
		if to, err := filepath.EvalSymlinks(path); err == nil {
			add(filepath.Dir(to))
		}
	}
	return all
}

// paths are the files there are now.
func (w *Watcher) paths() (all []string) {
	for _, path := range w.Paths {
		info, err := os.Stat(path)
		if err != nil || !info.IsDir() {
			all = append(all, path)
			continue
		}
		entries, _ := os.ReadDir(path)
		for _, e := range entries {
			name := e.Name()
			if !strings.HasPrefix(name, ".") && slices.Contains([]string{".yaml", ".yml", ".json"}, filepath.Ext(name)) {
				all = append(all, filepath.Join(path, name))
			}
		}
	}
	return all[:min(len(all), filesMost)]
}

// look reads files that are at rest in another state than they were read in. True where one is not at rest yet.
func (w *Watcher) look(now time.Time) (again bool) {
	paths := w.paths()
	for path, f := range w.seen {
		if !slices.Contains(paths, path) && !f.gone {
			f.gone = true
			w.Notify(Event{Path: path, Err: fmt.Errorf("%s: %w; its last %s holds", path, fs.ErrNotExist, w.kind())})
		}
	}
	for _, path := range paths {
		f := w.seen[path]
		if f == nil {
			f = &file{since: now}
			w.seen[path] = f
		}
		s, err := stampOf(path)
		if err != nil {
			if !f.gone {
				f.gone = true
				w.Notify(Event{Path: path, Err: fmt.Errorf("%w; its last %s holds", err, w.kind())})
			}
			continue
		}
		if f.gone = false; s != f.stamp {
			if f.stamp == f.read {
				f.changed = now
			}
			f.stamp, f.since = s, now
		}
		if s == f.read {
			continue
		}
		if now.Sub(f.since) < settle && now.Sub(f.changed) < settleMax {
			again = true
			continue
		}
		e := Event{Path: path}
		if w.RawText {
			e.Text, err = ReadText(path)
		} else {
			e.Update, err = Read(path)
		}
		if after, fault := stampOf(path); fault != nil || after != s { // it changed under the reading
			f.stamp, f.since, again = after, now, true
			if now.Sub(f.changed) >= settleMax {
				f.changed = now
			}
			continue
		}
		f.read = s
		if err != nil {
			var fault endpoints.InvalidListError
			if !errors.As(err, &fault) {
				err = fmt.Errorf("%s: %w", path, err)
			}
			w.Notify(Event{Path: path, Err: err})
			continue
		}
		w.count++
		e.Update.Version = w.count
		w.Notify(e)
	}
	return again
}

func stampOf(path string) (stamp, error) {
	info, err := os.Stat(path)
	if err != nil {
		return stamp{}, err
	}
	to, _ := filepath.EvalSymlinks(path)
	return stamp{info.Size(), info.ModTime(), to + fmt.Sprint(inode(info))}, nil
}
