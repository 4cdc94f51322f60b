package store

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"sync"
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
func (m *memory) act(do, part func()) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone {
		return errCrash
	}
	if m.calls++; m.calls != m.at {
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

func (m *memory) Names() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.files)), nil
}

func (m *memory) Create(name string) (File, error) {
	b := &blob{}
	err := m.act(func() { m.files[name] = b }, nothing)
	return &memoryFile{m, b}, err
}

func (m *memory) Append(name string) (File, error) { return &memoryFile{m, m.files[name]}, nil }

func (m *memory) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
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
	return m.act(func() { m.files[to] = m.files[from]; delete(m.files, from) }, nothing)
}

func (m *memory) Remove(name string) error { return m.act(func() { delete(m.files, name) }, nothing) }

func (m *memory) Sync() error { return m.act(nothing, nothing) }

func (m *memory) Lock() (func(), error) {
	m.mu.Lock()
	defer m.mu.Unlock()
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

func (f *memoryFile) Write(p []byte) (n int, err error) {
	write := func(p []byte) func() {
		return func() { f.b.text = append(f.b.text, p...); n = len(p) }
	}
	err = f.m.act(write(p), write(p[:len(p)/2]))
	return n, err
}

func (f *memoryFile) Truncate(size int64) error {
	return f.m.act(func() { f.b.text = f.b.text[:size] }, nothing)
}

func (f *memoryFile) Sync() error {
	return f.m.act(func() { f.b.synced = slices.Clone(f.b.text) }, nothing)
}

func (f *memoryFile) Close() error { return nil }
