// Package store keeps what a delivery node must remember across a crash: events that are owed an end, with
// their sends; waits in force and outages; ids whose repeat would do harm. It is a log of segments with an
// index in memory.
//
// A segment is a head and a row of records; a record is framed by its length, a checksum and its sequence
// number, so that a cut, a gap and an old file all show. The newest whole record of an item, its state,
// stands for all before it; the oldest segment is emptied by writing the states that still stand in it anew
// at the end, and then removed. Nothing else is ever moved, so a crash at any moment leaves each state at
// least once.
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

// FS is the files that a store stands on; tests put one that fails in its place.
type FS interface {
	List() ([]string, error)
	Create(name string) (File, error) // an empty file to append to; one of that name is emptied
	Append(name string) (File, error) // an existing file to append to
	Read(name string) ([]byte, error) // all of it
	ReadAt(name string, at int64, to []byte) error
	Rename(from, to string) error
	Remove(name string) error
	Sync() error // names that were made, changed or removed outlast a loss of power
	// Lock keeps other processes out until the release it returns is called. The error names the holder.
	Lock() (release func(), err error)
}

// File is one file that is written.
type File interface {
	io.Writer
	Truncate(size int64) error
	Sync() error // what was written outlasts a loss of power
	io.Closer
}

const (
	fileMode = 0o600 // the bodies are nobody else's
	lockName = "lock"
)

// Dir is a folder of the operating system.
type Dir string

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// List lists the files.
func (d Dir) List() (names []string, err error) {
	entries, err := os.ReadDir(string(d))
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// Create implements Folder, as do the methods below.
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

// Lock takes the folder's lock, which ends with the process.
func (d Dir) Lock() (release func(), err error) {
	f, err := os.OpenFile(d.path(lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		text, _ := os.ReadFile(d.path(lockName))
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			holder := "another process"
			if pid, bad := strconv.Atoi(strings.TrimSpace(string(text))); bad == nil {
				holder = fmt.Sprintf("process %d", pid)
			}
			return nil, fmt.Errorf("%s: held by %s", d.path(lockName), holder)
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
