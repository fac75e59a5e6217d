package hostfile

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// watchedFile is the state of one file as of the last scan.
type watchedFile struct {
	stamp        fileStamp
	stampSince   time.Time // when the stamp last changed
	differsSince time.Time // since when the stamp has differed from readStamp
	readStamp    fileStamp // the stamp when the file was last read, zero if never
	isMissing    bool
}

// fileStamp differs if the content at a path has changed, also if another file was renamed to the path or a symbolic link
// was replaced.
type fileStamp struct {
	size       int64
	modifiedAt time.Time
	identity   string // the path after resolving symbolic links, and the inode
}

func stampOf(path string) (fileStamp, error) {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}, err
	}
	target, _ := filepath.EvalSymlinks(path) // the file may disappear now; the next scan notices that
	return fileStamp{info.Size(), info.ModTime(), target + fmt.Sprint(inode(info))}, nil
}

// observe records the file's stamp at a scan.
func (f *watchedFile) observe(now time.Time, stamp fileStamp) {
	if stamp == f.stamp {
		return
	}
	if f.stamp == f.readStamp {
		f.differsSince = now
	}
	f.stamp, f.stampSince = stamp, now
}

// isSettled reports whether the file may be read: it has not changed for settleTime, or has kept changing for
// maxSettleTime.
func (f *watchedFile) isSettled(now time.Time) bool {
	return now.Sub(f.stampSince) >= settleTime || now.Sub(f.differsSince) >= maxSettleTime
}

// discardRead records that the file changed while it was read, so that what was read is not used.
func (f *watchedFile) discardRead(now time.Time, stamp fileStamp) {
	f.stamp, f.stampSince = stamp, now
	if now.Sub(f.differsSince) >= maxSettleTime {
		f.differsSince = now
	}
}
