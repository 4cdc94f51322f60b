package metrics

import "sync"

// CounterVec is counters of one name which a label's value tells apart. It may be used by any goroutine.
type CounterVec struct {
	name, help, label string

	mu       sync.Mutex
	counters map[string]*Counter
}

// NewCounterVec registers a family. The values named are reported from the start, others once they are counted.
func NewCounterVec(name, help, label string, values ...string) *CounterVec {
	f := &CounterVec{name: name, help: help, label: label, counters: map[string]*Counter{}}
	for _, value := range values {
		f.With(value)
	}
	return f
}

// With is the counter of a value.
func (f *CounterVec) With(value string) *Counter {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.counters[value]
	if c == nil {
		c = NewLabelledCounter(f.name, f.help, f.label, value)
		f.counters[value] = c
	}
	return c
}

// Total is the sum over all values.
func (f *CounterVec) Total() (total int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.counters {
		total += c.Value()
	}
	return total
}
