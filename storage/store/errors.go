package store

import (
	"errors"
	"fmt"
)

// Causes in QuarantinedError and IOError that are not errors of the system or of bbolt.
var (
	errRecreateRequested = errors.New("a new store was requested")
	errClosed            = errors.New("the store is closed")
)

// LockedError reports a store that another process has locked.
type LockedError struct{ Path string }

func (e *LockedError) Error() string { return e.Path + " is locked by another process" }

// Advice implements advice.Provider.
func (e *LockedError) Advice() string {
	return "Give each process a store path of its own, or end the process that has locked this one; its lock is released when it ends."
}

// CorruptedError reports a store whose content differs from what was written.
type CorruptedError struct{ Path, Reason string }

func (e *CorruptedError) Error() string { return e.Path + " is damaged: " + e.Reason }

// Advice implements advice.Provider.
func (e *CorruptedError) Advice() string {
	return "Check the disk and the machine's memory; a restart quarantines the file and starts with what peers and other sources report."
}

// QuarantinedError reports a store that was renamed to QuarantinePath; Open went on with an empty one.
type QuarantinedError struct {
	Path, QuarantinePath string
	Cause                error
}

func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("%s was quarantined as %s: %v", e.Path, e.QuarantinePath, e.Cause)
}
func (e *QuarantinedError) Unwrap() error { return e.Cause }

// Advice implements advice.Provider.
func (e *QuarantinedError) Advice() string {
	return "The service needs no action; keep the quarantined file until the disk has been checked, then remove it."
}

// QuarantineFullError reports a store that has to be quarantined while all names for quarantined files are in use. The
// file is left unchanged.
type QuarantineFullError struct {
	Path  string
	Cause error
}

func (e *QuarantineFullError) Error() string {
	return fmt.Sprintf("%s has to be quarantined, but all %d names for quarantined files are in use: %v", e.Path, maxQuarantinedFiles, e.Cause)
}
func (e *QuarantineFullError) Unwrap() error { return e.Cause }

// Advice implements advice.Provider.
func (e *QuarantineFullError) Advice() string {
	return "Remove or move the files " + e.Path + ".aside-*, then restart."
}

// RolledBackError reports a store with one damaged meta page; the state of the other meta page is valid and is used.
type RolledBackError struct{ Path string }

func (e *RolledBackError) Error() string {
	return e.Path + ": one of its two meta pages is damaged; the state of the other, which is at most one write older, is used"
}

// Advice implements advice.Provider.
func (e *RolledBackError) Advice() string {
	return "The service needs no action; check the disk if this happens again without a loss of power."
}

// UnrecognizedFileError reports a file that is not a store. The file is left unchanged.
type UnrecognizedFileError struct{ Path, Reason string }

func (e *UnrecognizedFileError) Error() string { return e.Path + " is not a store: " + e.Reason }

// Advice implements advice.Provider.
func (e *UnrecognizedFileError) Advice() string {
	return "Set another store path in the installation file, or move this file away if it was a store that lost its meta pages."
}

// NewerFormatError reports a store that a newer version of the program wrote and that this one cannot read. The file is
// left unchanged.
type NewerFormatError struct {
	Path                        string
	FileFormat, SupportedFormat uint32
}

func (e *NewerFormatError) Error() string {
	return fmt.Sprintf("%s can only be read by programs that support format %d; this program supports formats up to %d", e.Path, e.FileFormat, e.SupportedFormat)
}

// Advice implements advice.Provider.
func (e *NewerFormatError) Advice() string {
	return "Run the version of the program that wrote it or a later one, or set another store path for this version."
}

// DiskFullError reports a full disk, an exceeded quota, or a limit of the system on the size of files.
type DiskFullError struct {
	Path string
	Err  error
}

func (e *DiskFullError) Error() string {
	return fmt.Sprintf("no space left on the disk for %s: %v", e.Path, e.Err)
}
func (e *DiskFullError) Unwrap() error { return e.Err }

// Advice implements advice.Provider.
func (e *DiskFullError) Advice() string {
	return "Make room on the disk; the next write tries again by itself."
}

// SizeLimitError reports a write that exceeds a limit of the store.
type SizeLimitError struct {
	Path   string
	Reason string
}

func (e *SizeLimitError) Error() string { return fmt.Sprintf("%s: %s", e.Path, e.Reason) }

// Advice implements advice.Provider.
func (e *SizeLimitError) Advice() string {
	return "Check what is stored (replicated entries, hosts) and delete what is not needed; what is already in the store is kept."
}

// ReadOnlyError reports a store, folder or disk that the process has no permission to write.
type ReadOnlyError struct {
	Path string
	Err  error
}

func (e *ReadOnlyError) Error() string { return fmt.Sprintf("%s cannot be written: %v", e.Path, e.Err) }
func (e *ReadOnlyError) Unwrap() error { return e.Err }

// Advice implements advice.Provider.
func (e *ReadOnlyError) Advice() string {
	return "Give the program's user write permission on the store's folder, or mount its disk for writing."
}

// WriteTimeoutError reports a write that was not on the disk when its context ended. The write may still be committed.
type WriteTimeoutError struct {
	Path string
	Err  error
}

func (e *WriteTimeoutError) Error() string {
	return fmt.Sprintf("%s: a write was not on the disk before its context ended: %v", e.Path, e.Err)
}
func (e *WriteTimeoutError) Unwrap() error { return e.Err }

// Advice implements advice.Provider.
func (e *WriteTimeoutError) Advice() string {
	return "Check the disk's load; searches do not wait for the disk, and the next write includes what this one contained."
}

// IOError reports any other failure of the disk or the file, and a call after Close.
type IOError struct {
	Path string
	Err  error
}

func (e *IOError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }
func (e *IOError) Unwrap() error { return e.Err }

// Advice implements advice.Provider.
func (e *IOError) Advice() string {
	return "Check the disk and its file system's log; the next write tries again."
}
