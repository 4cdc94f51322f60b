// Package metrics provides the delivery node's counters and gauges and writes them in the Prometheus text format for /metrics.
package metrics

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Counter is a monotonically increasing counter. It is safe for concurrent use.
type Counter struct {
	name, help, label, value string
	count                    atomic.Int64
}

var (
	mu       sync.Mutex
	counters []*Counter
	gauges   []*Gauge
)

// NewCounter registers a counter without labels.
func NewCounter(name, help string) *Counter { return NewLabelledCounter(name, help, "", "") }

// NewLabelledCounter registers the counter for one label value of a metric.
func NewLabelledCounter(name, help, label, value string) *Counter {
	c := &Counter{name: name, help: help, label: label, value: value}
	mu.Lock()
	defer mu.Unlock()
	counters = append(counters, c)
	return c
}

// Inc increments the counter by one.
func (c *Counter) Inc() { c.count.Add(1) }

// Add increments the counter by n.
func (c *Counter) Add(n int64) { c.count.Add(n) }

// Value returns the current count.
func (c *Counter) Value() int64 { return c.count.Load() }

// WriteText writes all registered counters and gauges in the Prometheus text format.
func WriteText(w io.Writer) error {
	mu.Lock()
	defer mu.Unlock()
	for _, g := range gauges {
		if value, known := g.value(); known {
			if _, err := fmt.Fprintf(w, "# HELP %[1]s %[2]s\n# TYPE %[1]s gauge\n%[1]s %[3]d\n", g.name, g.help, value); err != nil {
				return err
			}
		}
	}
	described := map[string]bool{}
	for _, c := range counters {
		if !described[c.name] {
			described[c.name] = true
			if _, err := fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s counter\n", c.name, c.help, c.name); err != nil {
				return err
			}
		}
		labels := ""
		if c.label != "" {
			labels = fmt.Sprintf("{%s=%q}", c.label, c.value)
		}
		if _, err := fmt.Fprintf(w, "%s%s %d\n", c.name, labels, c.count.Load()); err != nil {
			return err
		}
	}
	return nil
}
