package store

import (
	"errors"
	"fmt"
	"io/fs"
	"strings"
	"syscall"

	berrors "go.etcd.io/bbolt/errors"

	"chalkring/internal/advice"
)

// LockedError is a store that another process holds.
type LockedError struct{ Path string }

func (e *LockedError) Error() string { return e.Path + " is held by another process" }

// Advice is what an operator can do, as with all errors here.
func (e *LockedError) Advice() string {
	return "Give each process a store path of its own, or end the process that holds this one (its lock goes with it)."
}

// CorruptedError is a store with something in it that nobody wrote so.
type CorruptedError struct{ Path, What string }

func (e *CorruptedError) Error() string { return e.Path + " is damaged: " + e.What }
func (e *CorruptedError) Advice() string {
	return "Look at the disk and the machine's memory; a restart puts the file aside and begins anew from peers and sources."
}

// QuarantinedError is a store that was put under another name; the start went on with an empty one.
type QuarantinedError struct {
	Path, QuarantinePath string
	Cause                error
}

func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("%s was put aside as %s: %v", e.Path, e.QuarantinePath, e.Cause)
}
func (e *QuarantinedError) Unwrap() error { return e.Cause }
func (e *QuarantinedError) Advice() string {
	return "Nothing has to be done for the service; keep the file that was put aside for a look at the disk, then remove it."
}

// errAnew is why a store that was asked to begin anew was put aside.
var errAnew = errors.New("it was asked to begin anew")

// QuarantineFullError is a store that would have to be put aside and has no name left for it.
type QuarantineFullError struct {
	Path  string
	Cause error
}

func (e *QuarantineFullError) Error() string {
	return fmt.Sprintf("%s has to be put aside, and %d older ones lie there: %v", e.Path, asideMost, e.Cause)
}
func (e *QuarantineFullError) Unwrap() error { return e.Cause }
func (e *QuarantineFullError) Advice() string {
	return "Remove or move the files " + e.Path + ".aside-*, then restart."
}

// RolledBackError is a store of which the newest state could not be read; the one before it is whole and is used.
type RolledBackError struct{ Path string }

func (e *RolledBackError) Error() string {
	return e.Path + ": one of its two heads is damaged; the state of the other is used, at most one write older"
}

func (e *RolledBackError) Advice() string {
	return "Nothing has to be done for the service; look at the disk if it comes again without a loss of power."
}

// UnrecognizedFileError is a file that is something else. It is left alone.
type UnrecognizedFileError struct{ Path, What string }

func (e *UnrecognizedFileError) Error() string { return e.Path + " is no store: " + e.What }
func (e *UnrecognizedFileError) Advice() string {
	return "Name another store path in the installation file, or move this file away if it was a store that has lost its head."
}

// NewerFormatError is a store that a newer version of the program has written and that this one cannot read. It is left alone.
type NewerFormatError struct {
	Path                        string
	FileFormat, SupportedFormat uint32
}

func (e *NewerFormatError) Error() string {
	return fmt.Sprintf("%s needs format %d, this program reads up to %d", e.Path, e.FileFormat, e.SupportedFormat)
}

func (e *NewerFormatError) Advice() string {
	return "Run the program that wrote it or a later one, or name another store path for this one."
}

// DiskFullError is a disk, or the bound of a file's size on it, without room.
type DiskFullError struct {
	Path string
	Err  error
}

func (e *DiskFullError) Error() string {
	return fmt.Sprintf("no room on the disk for %s: %v", e.Path, e.Err)
}
func (e *DiskFullError) Unwrap() error { return e.Err }
func (e *DiskFullError) Advice() string {
	return "Make room on the disk; writing goes on by itself then."
}

// SizeLimitError is a write that would bring the store over its own bound.
type SizeLimitError struct {
	Path   string
	Reason string
}

func (e *SizeLimitError) Error() string { return fmt.Sprintf("%s: %s", e.Path, e.Reason) }
func (e *SizeLimitError) Advice() string {
	return "Look at what is kept (entries of the ledger, hosts) and drop what is not needed; what is in the store stays."
}

// ReadOnlyError is a store, folder or disk that may not be written.
type ReadOnlyError struct {
	Path string
	Err  error
}

func (e *ReadOnlyError) Error() string { return fmt.Sprintf("%s cannot be written: %v", e.Path, e.Err) }
func (e *ReadOnlyError) Unwrap() error { return e.Err }
func (e *ReadOnlyError) Advice() string {
	return "Give the program's user the right to write the folder of the store, or mount its disk for writing."
}

// WriteTimeoutError is a write that was not on the disk when its time ended; it may come to be.
type WriteTimeoutError struct {
	Path string
	Err  error
}

func (e *WriteTimeoutError) Error() string {
	return fmt.Sprintf("%s: a write is not on the disk in its time: %v", e.Path, e.Err)
}
func (e *WriteTimeoutError) Unwrap() error { return e.Err }
func (e *WriteTimeoutError) Advice() string {
	return "Look at the disk's load; searches do not wait for it, and the next write brings what this one had."
}

// IOError is any other failure of the disk or its file.
type IOError struct {
	Path string
	Err  error
}

func (e *IOError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }
func (e *IOError) Unwrap() error { return e.Err }
func (e *IOError) Advice() string {
	return "Look at the disk and its file system's log; the next write tries again."
}

// errClosed is for calls that come after Close.
var errClosed = errors.New("the store is closed")

// told puts an error of the system or the library in one of the types above.
func (s *Store) told(err error) error { return typed(s.path, err) }

func typed(path string, err error) error {
	switch {
	case err == nil || advice.HasType[advice.Provider](err):
		return err
	case is(err, syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG):
		return &DiskFullError{path, err}
	case errors.Is(err, fs.ErrPermission) || is(err, syscall.EROFS):
		return &ReadOnlyError{path, err}
	case errors.Is(err, berrors.ErrTimeout):
		return &LockedError{path}
	case errors.Is(err, berrors.ErrMaxSizeReached):
		return &SizeLimitError{path, "the write would bring it over its bound of size"}
	case errors.Is(err, berrors.ErrChecksum), errors.Is(err, berrors.ErrInvalid), errors.Is(err, berrors.ErrVersionMismatch):
		return &CorruptedError{path, err.Error()}
	}
	return &IOError{path, err}
}

// is looks for errors of the system, also by their words: the library wraps some in words alone.
func is(err error, any ...syscall.Errno) bool {
	for _, one := range any {
		if errors.Is(err, one) || strings.HasSuffix(err.Error(), ": "+one.Error()) {
			return true
		}
	}
	return false
}
