package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	queueCapacity = 1024                   // lines that wait for a slow reader; beyond, they are dropped and counted
	flushTimeout  = 200 * time.Millisecond // for the last lines at the end of the process
)

// AsyncWriter writes lines from a goroutine of its own, so that whoever logs never waits for the reader of the log.
type AsyncWriter struct {
	out     io.Writer
	queue   chan queueItem
	dropped atomic.Int64
}

// queueItem is a queueItem to write, or a mark that tells that all before it is written.
type queueItem struct {
	text    []byte
	flushed chan<- struct{}
}

// NewAsyncWriter begins to write lines, for as long as the process lasts.
func NewAsyncWriter(to io.Writer) *AsyncWriter {
	l := &AsyncWriter{out: to, queue: make(chan queueItem, queueCapacity)}
	go l.run()
	return l
}

// Write takes a line. It never waits and never fails.
func (l *AsyncWriter) Write(text []byte) (int, error) {
	select {
	case l.queue <- queueItem{text: append([]byte(nil), text...)}:
	default:
		l.dropped.Add(1)
	}
	return len(text), nil
}

func (l *AsyncWriter) run() {
	for next := range l.queue {
		if dropped := l.dropped.Swap(0); dropped > 0 {
			fmt.Fprintf(l.out, "level=warning msg=\"lines were dropped: their reader is slow\" part=log times=%d\n", dropped)
		}
		if next.flushed != nil {
			close(next.flushed)
			continue
		}
		l.out.Write(next.text)
	}
}

// Flush waits until what was taken before is written, for a moment at most.
func (l *AsyncWriter) Flush() {
	written := make(chan struct{})
	late := time.After(flushTimeout)
	select {
	case l.queue <- queueItem{flushed: written}:
	case <-late:
		return
	}
	select {
	case <-written:
	case <-late:
	}
}
