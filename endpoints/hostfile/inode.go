//go:build unix

package hostfile

import (
	"io/fs"
	"syscall"
)

// inode returns the file's inode number, which tells it from another file that was renamed to its path; 0 if unknown.
func inode(info fs.FileInfo) uint64 {
	if stat, ok := info.Sys().(*syscall.Stat_t); ok {
		return stat.Ino
	}
	return 0
}
