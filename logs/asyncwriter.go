package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	queueCapacity = 1024                   // lines queued for a slow reader; further lines are dropped and counted
	flushTimeout  = 200 * time.Millisecond // limit for writing the last lines when the process exits
)

// AsyncWriter writes log lines from its own goroutine, so that logging never blocks on the reader of the log.
type AsyncWriter struct {
	out     io.Writer
	queue   chan queueItem
	dropped atomic.Int64
}

// queueItem is a line to write or, if flushed is set, a marker: flushed is closed once all earlier lines have
// been written.
type queueItem struct {
	text    []byte
	flushed chan<- struct{}
}

// NewAsyncWriter starts a writer that runs until the process exits.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, queue: make(chan queueItem, queueCapacity)}
	go w.run()
	return w
}

// Write queues a line. It never blocks and never returns an error.
func (w *AsyncWriter) Write(text []byte) (int, error) {
	select {
	case w.queue <- queueItem{text: append([]byte(nil), text...)}:
	default:
		w.dropped.Add(1)
	}
	return len(text), nil
}

func (w *AsyncWriter) run() {
	for item := range w.queue {
		if dropped := w.dropped.Swap(0); dropped > 0 {
			fmt.Fprintf(w.out, "level=warning msg=\"log lines dropped: the reader is too slow\" part=log times=%d\n", dropped)
		}
		if item.flushed != nil {
			close(item.flushed)
			continue
		}
		w.out.Write(item.text)
	}
}

// Flush waits until all lines queued so far have been written, for at most flushTimeout.
func (w *AsyncWriter) Flush() {
	flushed := make(chan struct{})
	timeout := time.After(flushTimeout)
	select {
	case w.queue <- queueItem{flushed: flushed}:
	case <-timeout:
		return
	}
	select {
	case <-flushed:
	case <-timeout:
	}
}
