//go:build unix

package hostfile

import (
	"io/fs"
	"syscall"
)

// inode returns the number that distinguishes a file from one that was renamed into its path, 0 where it is not known.
func inode(info fs.FileInfo) uint64 {
	if stat, ok := info.Sys().(*syscall.Stat_t); ok {
		return stat.Ino
	}
	return 0
}
