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

// Busy is a store that another process holds.
type Busy struct{ Path string }

func (e *Busy) Error() string { return e.Path + " is held by another process" }

// Advice is what an operator can do, as with all errors here.
func (e *Busy) Advice() string {
	return "Give each process a store path of its own, or end the process that holds this one (its lock goes with it)."
}

// Damaged is a store with something in it that nobody wrote so.
type Damaged struct{ Path, What string }

func (e *Damaged) Error() string { return e.Path + " is damaged: " + e.What }
func (e *Damaged) Advice() string {
	return "Look at the disk and the machine's memory; a restart puts the file aside and begins anew from peers and sources."
}

// Aside is a store that was put under another name; the start went on with an empty one.
type Aside struct {
	Path, To string
	Why      error
}

func (e *Aside) Error() string { return fmt.Sprintf("%s was put aside as %s: %v", e.Path, e.To, e.Why) }
func (e *Aside) Unwrap() error { return e.Why }
func (e *Aside) Advice() string {
	return "Nothing has to be done for the service; keep the file that was put aside for a look at the disk, then remove it."
}

// errAnew is why a store that was asked to begin anew was put aside.
var errAnew = errors.New("it was asked to begin anew")

// Crowded is a store that would have to be put aside and has no name left for it.
type Crowded struct {
	Path string
	Why  error
}

func (e *Crowded) Error() string {
	return fmt.Sprintf("%s has to be put aside, and %d older ones lie there: %v", e.Path, asideMost, e.Why)
}
func (e *Crowded) Unwrap() error { return e.Why }
func (e *Crowded) Advice() string {
	return "Remove or move the files " + e.Path + ".aside-*, then restart."
}

// Rewound is a store of which the newest state could not be read; the one before it is whole and is used.
type Rewound struct{ Path string }

func (e *Rewound) Error() string {
	return e.Path + ": one of its two heads is damaged; the state of the other is used, at most one write older"
}
func (e *Rewound) Advice() string {
	return "Nothing has to be done for the service; look at the disk if it comes again without a loss of power."
}

// NotStore is a file that is something else. It is left alone.
type NotStore struct{ Path, What string }

func (e *NotStore) Error() string { return e.Path + " is no store: " + e.What }
func (e *NotStore) Advice() string {
	return "Name another store path in the installation file, or move this file away if it was a store that has lost its head."
}

// Newer is a store that a newer version of the program has written and that this one cannot read. It is left alone.
type Newer struct {
	Path     string
	Has, Can uint32
}

func (e *Newer) Error() string {
	return fmt.Sprintf("%s needs format %d, this program reads up to %d", e.Path, e.Has, e.Can)
}
func (e *Newer) Advice() string {
	return "Run the program that wrote it or a later one, or name another store path for this one."
}

// Full is a disk, or the bound of a file's size on it, without room.
type Full struct {
	Path string
	Err  error
}

func (e *Full) Error() string  { return fmt.Sprintf("no room on the disk for %s: %v", e.Path, e.Err) }
func (e *Full) Unwrap() error  { return e.Err }
func (e *Full) Advice() string { return "Make room on the disk; writing goes on by itself then." }

// Bounded is a write that would bring the store over its own bound.
type Bounded struct {
	Path string
	What string
}

func (e *Bounded) Error() string { return fmt.Sprintf("%s: %s", e.Path, e.What) }
func (e *Bounded) Advice() string {
	return "Look at what is kept (entries of the ledger, hosts) and drop what is not needed; what is in the store stays."
}

// ReadOnly is a store, folder or disk that may not be written.
type ReadOnly struct {
	Path string
	Err  error
}

func (e *ReadOnly) Error() string { return fmt.Sprintf("%s cannot be written: %v", e.Path, e.Err) }
func (e *ReadOnly) Unwrap() error { return e.Err }
func (e *ReadOnly) Advice() string {
	return "Give the program's user the right to write the folder of the store, or mount its disk for writing."
}

// Slow is a write that was not on the disk when its time ended; it may come to be.
type Slow struct {
	Path string
	Err  error
}

func (e *Slow) Error() string {
	return fmt.Sprintf("%s: a write is not on the disk in its time: %v", e.Path, e.Err)
}
func (e *Slow) Unwrap() error { return e.Err }
func (e *Slow) Advice() string {
	return "Look at the disk's load; searches do not wait for it, and the next write brings what this one had."
}

// Failed is any other failure of the disk or its file.
type Failed struct {
	Path string
	Err  error
}

func (e *Failed) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }
func (e *Failed) Unwrap() error { return e.Err }
func (e *Failed) Advice() string {
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
		return &Full{path, err}
	case errors.Is(err, fs.ErrPermission) || is(err, syscall.EROFS):
		return &ReadOnly{path, err}
	case errors.Is(err, berrors.ErrTimeout):
		return &Busy{path}
	case errors.Is(err, berrors.ErrMaxSizeReached):
		return &Bounded{path, "the write would bring it over its bound of size"}
	case errors.Is(err, berrors.ErrChecksum), errors.Is(err, berrors.ErrInvalid), errors.Is(err, berrors.ErrVersionMismatch):
		return &Damaged{path, err.Error()}
	}
	return &Failed{path, err}
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
