package store

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"sync"
	"syscall"
)

// errCrashed is returned by every call from the simulated crash on.
var errCrashed = errors.New("simulated crash")

var errNoSpace = errors.New("no space left")

// crashMode is how the chosen call goes wrong.
type crashMode uint8

const (
	crashBeforeCall crashMode = iota // the process crashes before the call takes effect
	crashAfterCall                   // the process crashes after the call took full effect
	crashMidWrite                    // the process crashes after half of the data is written
	failNoSpace                      // the call fails with half of the data written, and the process continues
)

// failureMode is how consecutive calls fail while the process continues.
type failureMode uint8

const (
	failNothingDone failureMode = iota // the call has no effect
	failPartlyDone                     // half of the data is written
	failFullyDone                      // the call takes full effect but returns an error
)

// memFS is an in-memory FS. A chosen modifying call fails in a chosen way.
type memFS struct {
	mu        sync.Mutex
	files     map[string]*memBlob
	callCount int
	faultCall int // number of the call that fails, 0 for none
	faultMode crashMode
	crashed   bool
	locked    bool
	onReadAt  func() // called on each ReadAt if not nil

	failFrom, failCount int // failCount calls fail, from call number failFrom on
	failMode            failureMode
	failKind            string // the kind of call that fails, or empty for all kinds
}

// failNext makes the next calls fail, of one kind or of all kinds if kind is empty.
func (m *memFS) failNext(count int, kind string, mode failureMode) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failFrom, m.failCount, m.failKind, m.failMode = m.callCount+1, count, kind, mode
}

// shouldFail reports whether a call is to fail while the process continues. The caller holds mu.
func (m *memFS) shouldFail(kind string) bool {
	if m.failCount == 0 || m.callCount < m.failFrom || (m.failKind != "" && m.failKind != kind) {
		return false
	}
	m.failCount--
	return true
}

// memBlob is the content of a file. Open handles stay valid when the file is renamed.
type memBlob struct{ data, syncedData []byte }

func newMemFS() *memFS { return &memFS{files: map[string]*memBlob{}} }

// putFile sets the content of a file.
func (m *memFS) putFile(name string, data []byte) { m.files[name] = &memBlob{data: data} }

// afterRestart returns a copy of the folder as the next process finds it.
func (m *memFS) afterRestart() *memFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := newMemFS()
	for name, b := range m.files {
		n.putFile(name, slices.Clone(b.data))
	}
	return n
}

// change counts a modifying call, and fails it if it is the chosen one. do applies all of its effect, part half of it.
func (m *memFS) change(kind string, do, part func()) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed {
		return errCrashed
	}
	m.callCount++
	if m.shouldFail(kind) {
		switch m.failMode {
		case failPartlyDone:
			part()
		case failFullyDone:
			do()
		}
		return syscall.EIO
	}
	if m.callCount != m.faultCall {
		do()
		return nil
	}
	switch m.faultMode {
	case crashAfterCall:
		do()
	case crashMidWrite:
		part()
	case failNoSpace:
		part()
		return errNoSpace
	}
	m.crashed = true
	return errCrashed
}

func noop() {}

func (m *memFS) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.shouldFail("list") {
		return nil, syscall.EIO
	}
	return slices.Sorted(maps.Keys(m.files)), nil
}

func (m *memFS) Create(name string) (File, error) {
	b := &memBlob{}
	err := m.change("create", func() { m.files[name] = b }, noop)
	return &memFile{m, b}, err
}

func (m *memFS) Append(name string) (File, error) { return &memFile{m, m.files[name]}, nil }

func (m *memFS) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.shouldFail("read") {
		return nil, syscall.EIO
	}
	b, ok := m.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(b.data), nil
}

func (m *memFS) ReadAt(name string, at int64, to []byte) error {
	if m.onReadAt != nil {
		m.onReadAt()
	}
	data, err := m.Read(name)
	if err == nil && copy(to, data[min(at, int64(len(data))):]) < len(to) {
		err = errors.New("short read")
	}
	return err
}

func (m *memFS) Rename(from, to string) error {
	return m.change("rename", func() { m.files[to] = m.files[from]; delete(m.files, from) }, noop)
}

func (m *memFS) Remove(name string) error {
	return m.change("remove", func() { delete(m.files, name) }, noop)
}

func (m *memFS) Sync() error { return m.change("sync", noop, noop) }

func (m *memFS) Lock() (func(), error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.shouldFail("lock") {
		return nil, syscall.EINTR
	}
	if m.locked {
		return nil, errors.New("locked by process 1")
	}
	m.locked = true
	return func() { m.mu.Lock(); m.locked = false; m.mu.Unlock() }, nil
}

type memFile struct {
	m *memFS
	b *memBlob
}

// Write with failFullyDone writes all bytes but reports that it wrote none.
func (f *memFile) Write(p []byte) (n int, err error) {
	write := func(p []byte) func() {
		return func() { f.b.data = append(f.b.data, p...); n = len(p) }
	}
	err = f.m.change("write", write(p), write(p[:len(p)/2]))
	if err != nil && f.m.failMode == failFullyDone {
		n = 0
	}
	return n, err
}

func (f *memFile) Truncate(size int64) error {
	return f.m.change("truncate", func() { f.b.data = f.b.data[:size] }, noop)
}

func (f *memFile) Sync() error {
	return f.m.change("sync", func() { f.b.syncedData = slices.Clone(f.b.data) }, noop)
}

func (f *memFile) Close() error { return nil }
