package metrics

import "sync"

// CounterVec is a set of counters that share a name and differ in the value of one label. It is safe for
// concurrent use.
type CounterVec struct {
	name, help, label string

	mu       sync.Mutex
	counters map[string]*Counter
}

// NewCounterVec registers a counter vector. The given label values are reported from the start, others from
// their first use.
func NewCounterVec(name, help, label string, values ...string) *CounterVec {
	v := &CounterVec{name: name, help: help, label: label, counters: map[string]*Counter{}}
	for _, value := range values {
		v.With(value)
	}
	return v
}

// With returns the counter for a label value, registering it on first use.
func (v *CounterVec) With(value string) *Counter {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.counters[value]
	if c == nil {
		c = NewLabelledCounter(v.name, v.help, v.label, value)
		v.counters[value] = c
	}
	return c
}

// Total returns the sum over all label values.
func (v *CounterVec) Total() (total int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, c := range v.counters {
		total += c.Value()
	}
	return total
}
