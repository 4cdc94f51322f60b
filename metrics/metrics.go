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

// New registers a counter under a name.
func New(name, help string) *Counter { return NewLabelled(name, help, "", "") }

// NewLabelled registers one of several counters of a name, which a label's value tells apart.
func NewLabelled(name, help, label, value string) *Counter {
	c := &Counter{name: name, help: help, label: label, value: value}
	mu.Lock()
	defer mu.Unlock()
	counters = append(counters, c)
	return c
}

// Add counts one more.
func (c *Counter) Add() { c.count.Add(1) }

// Count is how many there were.
func (c *Counter) Count() int64 { return c.count.Load() }

// Write writes all counters in the text format that Prometheus reads.
func Write(to io.Writer) error {
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
