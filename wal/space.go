package wal

import (
	"errors"
	"io"
	"os"
	"syscall"

	"github.com/rotisserie/eris"
)

// ErrDiskFull is returned by a write for which the file system has no room. Nothing of that write
// counts, the log or file is as it was before, and the write may be repeated. A failed sync of the log is
// never ErrDiskFull, whatever its cause: afterwards the content of the segment is unknown.
var ErrDiskFull = errors.New("the disk is full")

// File is a segment that is open for writing.
type File interface {
	io.WriteSeeker
	io.Closer
	Name() string
	Sync() error
	Truncate(size int64) error
}

// createFile creates a segment, which must not exist yet.
func createFile(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
}

// isOutOfSpace reports whether an operation failed because the file system, or the user's quota, has no room.
func isOutOfSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// diskFull returns ErrDiskFull with the step at which it was found and the system's error.
func diskFull(step, path string, cause error) error {
	return eris.Wrapf(ErrDiskFull, "%s %s: %v", step, path, cause)
}

// classify wraps the error of an operation that changes no durable data if it fails.
func classify(step, path string, err error) error {
	if isOutOfSpace(err) {
		return diskFull(step, path, err)
	}
	return eris.Wrapf(err, "%s %s", step, path)
}

// cutBack removes the remains of a failed write from the current segment, so that the next record
// begins where that write began.
func (l *Log) cutBack() error {
	if err := l.file.Truncate(l.size); err != nil {
		return l.recordError(eris.Wrapf(err, "cut a partly written record off log segment %s", l.file.Name()))
	}
	if _, err := l.file.Seek(l.size, io.SeekStart); err != nil {
		return l.recordError(eris.Wrapf(err, "go back to byte %d of log segment %s", l.size, l.file.Name()))
	}
	return nil
}

// failWrite handles the error of a write to the current segment. If the disk is full, it cuts the write's
// remains off and the log can be used further. Any other error is the log's last.
func (l *Log) failWrite(cause error) error {
	if !isOutOfSpace(cause) {
		return l.recordError(eris.Wrapf(cause, "write log segment %s", l.file.Name()))
	}
	if err := l.cutBack(); err != nil {
		return err
	}
	return diskFull("write log segment", l.file.Name(), cause)
}

// abandonSegment removes a segment that could not be begun for lack of room. Its removal is made durable before
// the earlier segment is written to again: recovery accepts a torn tail in the newest segment only.
func (l *Log) abandonSegment(file File, cause error) error {
	path := file.Name()
	if err := errors.Join(file.Close(), os.Remove(path), SyncFolder(l.options.Folder)); err != nil {
		return l.recordError(eris.Wrapf(err, "remove log segment %s, which could not be begun", path))
	}
	return diskFull("begin log segment", path, cause)
}
