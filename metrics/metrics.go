// Package metrics counts what a delivery node does and refuses to do. Counters are read as text at /metrics.
package metrics

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Counter is a number that only grows. It may be used by any goroutine.
type Counter struct {
	name, help, label, value string
	count                    atomic.Int64
}

var (
	mu       sync.Mutex
	counters []*Counter
)

// NewCounter registers a counter under a name.
func NewCounter(name, help string) *Counter { return NewLabelledCounter(name, help, "", "") }

// NewLabelledCounter registers one of several counters of a name, which a label's value tells apart.
func NewLabelledCounter(name, help, label, value string) *Counter {
	c := &Counter{name: name, help: help, label: label, value: value}
	mu.Lock()
	defer mu.Unlock()
	counters = append(counters, c)
	return c
}

// Inc counts one more.
func (c *Counter) Inc() { c.count.Add(1) }

// Value is how many there were.
func (c *Counter) Value() int64 { return c.count.Load() }

// WriteText writes all counters in the text format that Prometheus reads.
func WriteText(to io.Writer) error {
	mu.Lock()
	defer mu.Unlock()
	named := map[string]bool{}
	for _, c := range counters {
		if !named[c.name] {
			named[c.name] = true
			if _, err := fmt.Fprintf(to, "# HELP %s %s\n# TYPE %s counter\n", c.name, c.help, c.name); err != nil {
				return err
			}
		}
		labels := ""
		if c.label != "" {
			labels = fmt.Sprintf("{%s=%q}", c.label, c.value)
		}
		if _, err := fmt.Fprintf(to, "%s%s %d\n", c.name, labels, c.count.Load()); err != nil {
			return err
		}
	}
	return nil
}
