package store

import (
	"errors"
	"io/fs"
	"strings"
	"syscall"

	berrors "go.etcd.io/bbolt/errors"

	"chalkring/internal/advice"
)

// classifyError turns an error of the system or of bbolt into one of this package's types. Errors that have advice
// already, and nil, are returned as they are.
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
		return &SizeLimitError{path, "the write would bring the file over its size limit"}
	case errors.Is(err, berrors.ErrChecksum), errors.Is(err, berrors.ErrInvalid), errors.Is(err, berrors.ErrVersionMismatch):
		return &CorruptedError{path, err.Error()}
	}
	return &IOError{path, err}
}

// isErrno tells whether err is one of these errors of the system. It also compares texts, since bbolt formats some
// errors of the system into texts without wrapping them.
func isErrno(err error, errnos ...syscall.Errno) bool {
	for _, errno := range errnos {
		if errors.Is(err, errno) || strings.HasSuffix(err.Error(), ": "+errno.Error()) {
			return true
		}
	}
	return false
}
