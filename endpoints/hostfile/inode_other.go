//go:build !unix

package hostfile

import "io/fs"

// inode returns 0: the system has no such number.
func inode(fs.FileInfo) uint64 { return 0 }
