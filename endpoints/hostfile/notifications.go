package hostfile

import (
	"slices"

	"github.com/fsnotify/fsnotify"
)

// notifications are the operating system's notifications of changes in directories. If the system has none, both channels
// are nil and the watcher finds the changes by polling.
type notifications struct {
	watcher *fsnotify.Watcher // nil without notifications
	events  chan fsnotify.Event
	errors  chan error
	watched map[string]bool // by directory: whether the last attempt to watch it succeeded
}

func newNotifications() *notifications {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return &notifications{}
	}
	return &notifications{watcher: watcher, events: watcher.Events, errors: watcher.Errors, watched: map[string]bool{}}
}

// watch starts to watch the directories that are not watched yet, or no longer watched because they were removed and
// created again.
func (n *notifications) watch(directories []string) {
	if n.watcher == nil {
		return
	}
	for _, directory := range directories {
		if !n.watched[directory] || !slices.Contains(n.watcher.WatchList(), directory) {
			n.watched[directory] = n.watcher.Add(directory) == nil
		}
	}
}

func (n *notifications) close() {
	if n.watcher != nil {
		_ = n.watcher.Close() // there is nothing to do about an error, and nothing was written
	}
}
