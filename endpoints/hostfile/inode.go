//go:build unix

package hostfile

import (
	"io/fs"
	"syscall"
)

// inode tells a file that was renamed into a path from the one before it.
func inode(info fs.FileInfo) uint64 {
	if s, ok := info.Sys().(*syscall.Stat_t); ok {
		return uint64(s.Ino)
	}
	return 0
}
