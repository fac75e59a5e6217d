package hostfile

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// watchedFile is the state of one file at the last scan.
type watchedFile struct {
	stamp        fileStamp
	stampSince   time.Time // since when the stamp is the same
	differsSince time.Time // since when the stamp differs from readStamp
	readStamp    fileStamp // when the file was read last, zero for never
	isMissing    bool
}

// fileStamp distinguishes the states of a file, also after a rename or after a symbolic link was replaced.
type fileStamp struct {
	size       int64
	modifiedAt time.Time
	identity   string // target of a symbolic link, and inode
}

func stampOf(path string) (fileStamp, error) {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}, err
	}
	target, _ := filepath.EvalSymlinks(path) // the file may vanish now; the next scan sees that
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

// isSettled reports whether the file may be read: it has not changed for a while, or has changed for too long.
func (f *watchedFile) isSettled(now time.Time) bool {
	return now.Sub(f.stampSince) >= settleTime || now.Sub(f.differsSince) >= maxSettleTime
}

// discardRead records that the file has changed while it was read.
func (f *watchedFile) discardRead(now time.Time, stamp fileStamp) {
	f.stamp, f.stampSince = stamp, now
	if now.Sub(f.differsSince) >= maxSettleTime {
		f.differsSince = now
	}
}
