package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"chalkring/internal/advice"
)

// maxQuarantinedFiles limits the quarantined files beside a store: damage that recurs at each start must not fill the
// disk.
const maxQuarantinedFiles = 8

// openFile inspects the file at the store's path, quarantines or creates it if needed, and opens it.
func (s *Store) openFile() error {
	// A replacement file that is still there was never in use: the process was killed while it wrote the file.
	if err := os.Remove(s.path + replacementSuffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	found, err := s.inspectFile()
	switch {
	case errors.Is(err, fs.ErrNotExist):
		err = s.createEmpty()
	case advice.HasType[*CorruptedError](err):
		err = s.quarantine(err)
	case err == nil && s.options.Recreate:
		err = s.quarantine(errRecreateRequested)
	case err == nil && found.rolledBack:
		s.options.OnRecovery(&RolledBackError{s.path})
	}
	if err != nil {
		return err
	}
	if err := s.openDatabase(); err != nil {
		return err
	}
	if !found.needsCompaction() {
		return nil
	}
	// A failed compaction, for instance on a full disk, is an error only if it has closed the database; otherwise it has
	// changed nothing.
	if err := s.compact(); s.db == nil {
		return err
	}
	return nil
}

// inspectFile checks the file without changing it. An empty file counts as damaged: a store is never empty, not even
// before its first write.
func (s *Store) inspectFile() (*inspection, error) {
	info, err := os.Stat(s.path)
	switch {
	case err != nil:
		return nil, err
	case !info.Mode().IsRegular():
		return nil, &UnrecognizedFileError{s.path, "it is not a regular file"}
	case info.Size() == 0:
		return nil, &CorruptedError{s.path, "it is empty"}
	}
	file, err := os.Open(s.path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return inspect(s.path, file, info.Size())
}

// quarantine renames the file to a name that is not in use, and creates an empty store in its place.
func (s *Store) quarantine(cause error) error {
	for n := 1; n <= maxQuarantinedFiles; n++ {
		quarantinePath := fmt.Sprintf("%s.aside-%d", s.path, n)
		if _, err := os.Lstat(quarantinePath); !errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err := os.Rename(s.path, quarantinePath); err != nil {
			return err
		}
		s.options.OnRecovery(&QuarantinedError{s.path, quarantinePath, cause})
		return s.createEmpty()
	}
	return &QuarantineFullError{s.path, cause}
}
