package store

import (
	"errors"
	"io/fs"
	"strings"
	"syscall"

	berrors "go.etcd.io/bbolt/errors"

	"chalkring/internal/advice"
)

// classifyError converts an error of the system or of bbolt into one of this package's types. It returns nil, and errors
// that already give advice, unchanged.
func classifyError(path string, err error) error {
	switch {
	case err == nil || advice.HasType[advice.Provider](err):
		return err
	case isErrno(err, syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG):
		return &DiskFullError{path, err}
	case errors.Is(err, fs.ErrPermission) || isErrno(err, syscall.EROFS):
		return &ReadOnlyError{path, err}
	case errors.Is(err, berrors.ErrTimeout):
		return &LockedError{path}
	case errors.Is(err, berrors.ErrMaxSizeReached):
		return &SizeLimitError{path, "the write would make the file larger than its size limit"}
	case errors.Is(err, berrors.ErrChecksum), errors.Is(err, berrors.ErrInvalid), errors.Is(err, berrors.ErrVersionMismatch):
		return &CorruptedError{path, err.Error()}
	}
	return &IOError{path, err}
}

// isErrno reports whether err is one of these system errors. It also compares texts, since bbolt formats some system
// errors into its messages without wrapping them.
func isErrno(err error, errnos ...syscall.Errno) bool {
	for _, errno := range errnos {
		if errors.Is(err, errno) || strings.HasSuffix(err.Error(), ": "+errno.Error()) {
			return true
		}
	}
	return false
}
