package metrics

import "sync"

// Gauge is a value that can go up and down. It is read when the metrics are written, and safe for concurrent use.
type Gauge struct {
	name, help string

	mu   sync.Mutex
	read func() int64 // nil until the value can be read
}

// NewGauge registers a gauge. It is left out of the output until Set.
func NewGauge(name, help string) *Gauge {
	g := &Gauge{name: name, help: help}
	mu.Lock()
	defer mu.Unlock()
	gauges = append(gauges, g)
	return g
}

// Set sets the function that returns the value.
func (g *Gauge) Set(read func() int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.read = read
}

// value returns the current value and whether it can be read.
func (g *Gauge) value() (int64, bool) {
	g.mu.Lock()
	read := g.read
	g.mu.Unlock()
	if read == nil {
		return 0, false
	}
	return read(), true
}
