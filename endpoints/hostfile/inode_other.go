//go:build !unix

package hostfile

import "io/fs"

// inode returns 0: this system has no inode numbers.
func inode(fs.FileInfo) uint64 { return 0 }
