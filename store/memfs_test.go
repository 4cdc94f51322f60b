package store

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"sync"
	"syscall"
)

// errCrash is what every call gets from the moment that the process is gone.
var errCrash = errors.New("the process is gone")

var errNoSpace = errors.New("no space left")

// how a call goes wrong.
type crashMode uint8

const (
	crashBeforeCall crashMode = iota // the process is gone before the call does anything
	crashAfterCall                   // it is gone after the call did all
	crashMidWrite                    // half of what is written is, then it is gone
	failNoSpace                      // the call fails, half written, and the process goes on
)

// failureMode is how calls in a row fail while the process goes on.
type failureMode uint8

const (
	failNothingDone failureMode = iota // nothing is done
	failPartlyDone                     // half of what is written is
	failFullyDone                      // all is done, and the call fails all the same
)

// memFS is a folder in memFS. At a chosen call that changes something it fails in a chosen way.
type memFS struct {
	mu        sync.Mutex
	files     map[string]*memBlob
	callCount int
	faultCall int // the call that fails, 0 for none
	faultMode crashMode
	crashed   bool
	locked    bool
	onReadAt  func() // called at each ReadAt, where set

	failFrom, failCount int // so many calls in a row fail, from this one on
	failMode            failureMode
	failKind            string // the kind of call, or empty for all
}

// failNext has the next calls fail, of one kind or of all.
func (m *memFS) failNext(count int, only string, how failureMode) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failFrom, m.failCount, m.failKind, m.failMode = m.callCount+1, count, only, how
}

// shouldFail tells whether a call is one that fails while the process goes on; the lock is held.
func (m *memFS) shouldFail(kind string) bool {
	if m.failCount == 0 || m.callCount < m.failFrom || (m.failKind != "" && m.failKind != kind) {
		return false
	}
	m.failCount--
	return true
}

// memBlob is a file: it keeps its handles when its name changes.
type memBlob struct{ text, synced []byte }

func newMemFS() *memFS { return &memFS{files: map[string]*memBlob{}} }

// putFile has a file hold a text.
func (m *memFS) putFile(name string, text []byte) { m.files[name] = &memBlob{text: text} }

// afterRestart is the folder as the next process finds it.
func (m *memFS) afterRestart() *memFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := newMemFS()
	for name, b := range m.files {
		n.putFile(name, slices.Clone(b.text))
	}
	return n
}

// mutate counts a call that changes something, and fails it when it is its turn. do does all of it, part half of
// it.
func (m *memFS) mutate(kind string, do, part func()) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed {
		return errCrash
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
	return errCrash
}

func nothing() {}

func (m *memFS) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.shouldFail("names") {
		return nil, syscall.EIO
	}
	return slices.Sorted(maps.Keys(m.files)), nil
}

func (m *memFS) Create(name string) (File, error) {
	b := &memBlob{}
	err := m.mutate("create", func() { m.files[name] = b }, nothing)
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
	return slices.Clone(b.text), nil
}

func (m *memFS) ReadAt(name string, at int64, to []byte) error {
	if m.onReadAt != nil {
		m.onReadAt()
	}
	text, err := m.Read(name)
	if err == nil && copy(to, text[min(at, int64(len(text))):]) < len(to) {
		err = errors.New("short")
	}
	return err
}

func (m *memFS) Rename(from, to string) error {
	return m.mutate("rename", func() { m.files[to] = m.files[from]; delete(m.files, from) }, nothing)
}

func (m *memFS) Remove(name string) error {
	return m.mutate("remove", func() { delete(m.files, name) }, nothing)
}

func (m *memFS) Sync() error { return m.mutate("sync", nothing, nothing) }

func (m *memFS) Lock() (func(), error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.shouldFail("lock") {
		return nil, syscall.EINTR
	}
	if m.locked {
		return nil, errors.New("held by process 1")
	}
	m.locked = true
	return func() { m.mu.Lock(); m.locked = false; m.mu.Unlock() }, nil
}

type memFile struct {
	m *memFS
	b *memBlob
}

// Write fails wholly as a lying call would: all bytes are there and it names none of them.
func (f *memFile) Write(p []byte) (n int, err error) {
	write := func(p []byte) func() {
		return func() { f.b.text = append(f.b.text, p...); n = len(p) }
	}
	err = f.m.mutate("write", write(p), write(p[:len(p)/2]))
	if err != nil && f.m.failMode == failFullyDone {
		n = 0
	}
	return n, err
}

func (f *memFile) Truncate(size int64) error {
	return f.m.mutate("truncate", func() { f.b.text = f.b.text[:size] }, nothing)
}

func (f *memFile) Sync() error {
	return f.m.mutate("sync", func() { f.b.synced = slices.Clone(f.b.text) }, nothing)
}

func (f *memFile) Close() error { return nil }
