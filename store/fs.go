// Package store persists what a delivery node must remember across a crash: pending events with their attempts,
// backoffs and outages of destinations, and the IDs of completed events whose repetition would do harm. It is a
// segmented log with an in-memory index.
//
// A segment is a header followed by records. Each record is framed by its length, a checksum and its sequence number, so
// that truncation, gaps and files of another store can be detected. The latest state record of an item supersedes all
// earlier records of it. Compaction rewrites the states that are live in the oldest segment to the end of the log and
// then removes that segment. Nothing else is moved, so a crash at any point leaves at least one copy of each state.
package store

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// FS provides the files of a store. Tests substitute implementations that fail.
type FS interface {
	List() ([]string, error)
	Create(name string) (File, error) // opens an empty file for appending, truncating an existing one
	Append(name string) (File, error) // opens an existing file for appending
	Read(name string) ([]byte, error) // reads the whole file
	ReadAt(name string, at int64, to []byte) error
	Rename(from, to string) error
	Remove(name string) error
	Sync() error // makes created, renamed and removed names survive a power failure
	// Lock excludes other processes until the returned function is called. If another process holds the lock, the
	// error says which.
	Lock() (unlock func(), err error)
}

// File is a file open for appending.
type File interface {
	io.Writer
	Truncate(size int64) error
	Sync() error // makes written data survive a power failure
	io.Closer
}

const (
	fileMode = 0o600 // event bodies are private to the owner of the process
	lockName = "lock"
)

// Dir implements FS on a folder of the operating system's file system.
type Dir string

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// List returns the names of the regular files.
func (d Dir) List() (names []string, err error) {
	entries, err := os.ReadDir(string(d))
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// Create implements FS, as do the methods below.
func (d Dir) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

func (d Dir) Append(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_WRONLY|os.O_APPEND, fileMode)
}

func (d Dir) Read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

func (d Dir) ReadAt(name string, at int64, to []byte) error {
	f, err := os.Open(d.path(name))
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.ReadAt(to, at)
	return err
}

func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }
func (d Dir) Remove(name string) error     { return os.Remove(d.path(name)) }

func (d Dir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Lock takes the folder's lock file. The lock is released at the latest when the process exits.
func (d Dir) Lock() (unlock func(), err error) {
	f, err := os.OpenFile(d.path(lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		data, _ := os.ReadFile(d.path(lockName))
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			holder := "another process"
			if pid, parseErr := strconv.Atoi(strings.TrimSpace(string(data))); parseErr == nil {
				holder = fmt.Sprintf("process %d", pid)
			}
			return nil, fmt.Errorf("%s: locked by %s", d.path(lockName), holder)
		}
		return nil, err
	}
	if err = f.Truncate(0); err == nil {
		_, err = f.WriteAt([]byte(strconv.Itoa(os.Getpid())+"\n"), 0)
	}
	if err != nil && !errors.Is(err, fs.ErrClosed) {
		f.Close()
		return nil, err
	}
	return func() { f.Close() }, nil
}
