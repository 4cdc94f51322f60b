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
type fault uint8

const (
	before fault = iota // the process is gone before the call does anything
	after               // it is gone after the call did all
	half                // half of what is written is, then it is gone
	noRoom              // the call fails, half written, and the process goes on
)

// refusal is how calls in a row fail while the process goes on.
type refusal uint8

const (
	refused refusal = iota // nothing is done
	partly                 // half of what is written is
	wholly                 // all is done, and the call fails all the same
)

// memory is a folder in memory. At a chosen call that changes something it fails in a chosen way.
type memory struct {
	mu      sync.Mutex
	files   map[string]*blob
	calls   int
	at      int // the call that fails, 0 for none
	how     fault
	gone    bool
	locked  bool
	reading func() // called at each ReadAt, where set

	failFrom, failCount int // so many calls in a row fail, from this one on
	failHow             refusal
	failOnly            string // the kind of call, or empty for all
}

// failNext has the next calls fail, of one kind or of all.
func (m *memory) failNext(count int, only string, how refusal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failFrom, m.failCount, m.failOnly, m.failHow = m.calls+1, count, only, how
}

// refuses tells whether a call is one that fails while the process goes on; the lock is held.
func (m *memory) refuses(kind string) bool {
	if m.failCount == 0 || m.calls < m.failFrom || (m.failOnly != "" && m.failOnly != kind) {
		return false
	}
	m.failCount--
	return true
}

// blob is a file: it keeps its handles when its name changes.
type blob struct{ text, synced []byte }

func newMemory() *memory { return &memory{files: map[string]*blob{}} }

// put has a file hold a text.
func (m *memory) put(name string, text []byte) { m.files[name] = &blob{text: text} }

// restarted is the folder as the next process finds it.
func (m *memory) restarted() *memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := newMemory()
	for name, b := range m.files {
		n.put(name, slices.Clone(b.text))
	}
	return n
}

// act counts a call that changes something, and fails it when it is its turn. do does all of it, part half of
// it.
func (m *memory) act(kind string, do, part func()) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone {
		return errCrash
	}
	m.calls++
	if m.refuses(kind) {
		switch m.failHow {
		case partly:
			part()
		case wholly:
			do()
		}
		return syscall.EIO
	}
	if m.calls != m.at {
		do()
		return nil
	}
	switch m.how {
	case after:
		do()
	case half:
		part()
	case noRoom:
		part()
		return errNoSpace
	}
	m.gone = true
	return errCrash
}

func nothing() {}

func (m *memory) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refuses("names") {
		return nil, syscall.EIO
	}
	return slices.Sorted(maps.Keys(m.files)), nil
}

func (m *memory) Create(name string) (File, error) {
	b := &blob{}
	err := m.act("create", func() { m.files[name] = b }, nothing)
	return &memoryFile{m, b}, err
}

func (m *memory) Append(name string) (File, error) { return &memoryFile{m, m.files[name]}, nil }

func (m *memory) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refuses("read") {
		return nil, syscall.EIO
	}
	b, ok := m.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(b.text), nil
}

func (m *memory) ReadAt(name string, at int64, to []byte) error {
	if m.reading != nil {
		m.reading()
	}
	text, err := m.Read(name)
	if err == nil && copy(to, text[min(at, int64(len(text))):]) < len(to) {
		err = errors.New("short")
	}
	return err
}

func (m *memory) Rename(from, to string) error {
	return m.act("rename", func() { m.files[to] = m.files[from]; delete(m.files, from) }, nothing)
}

func (m *memory) Remove(name string) error {
	return m.act("remove", func() { delete(m.files, name) }, nothing)
}

func (m *memory) Sync() error { return m.act("sync", nothing, nothing) }

func (m *memory) Lock() (func(), error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refuses("lock") {
		return nil, syscall.EINTR
	}
	if m.locked {
		return nil, errors.New("held by process 1")
	}
	m.locked = true
	return func() { m.mu.Lock(); m.locked = false; m.mu.Unlock() }, nil
}

type memoryFile struct {
	m *memory
	b *blob
}

// Write fails wholly as a lying call would: all bytes are there and it names none of them.
func (f *memoryFile) Write(p []byte) (n int, err error) {
	write := func(p []byte) func() {
		return func() { f.b.text = append(f.b.text, p...); n = len(p) }
	}
	err = f.m.act("write", write(p), write(p[:len(p)/2]))
	if err != nil && f.m.failHow == wholly {
		n = 0
	}
	return n, err
}

func (f *memoryFile) Truncate(size int64) error {
	return f.m.act("truncate", func() { f.b.text = f.b.text[:size] }, nothing)
}

func (f *memoryFile) Sync() error {
	return f.m.act("sync", func() { f.b.synced = slices.Clone(f.b.text) }, nothing)
}

func (f *memoryFile) Close() error { return nil }
