package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	waitingLines = 1024                   // lines that wait for a slow reader; beyond, they are dropped and counted
	flushWithin  = 200 * time.Millisecond // for the last lines at the end of the process
)

// AsyncWriter writes lines from a goroutine of its own, so that whoever logs never waits for the reader of the log.
type AsyncWriter struct {
	to      io.Writer
	waiting chan line
	dropped atomic.Int64
}

// line is a line to write, or a mark that tells that all before it is written.
type line struct {
	text    []byte
	written chan<- struct{}
}

// NewAsyncWriter begins to write lines, for as long as the process lasts.
func NewAsyncWriter(to io.Writer) *AsyncWriter {
	l := &AsyncWriter{to: to, waiting: make(chan line, waitingLines)}
	go l.run()
	return l
}

// Write takes a line. It never waits and never fails.
func (l *AsyncWriter) Write(text []byte) (int, error) {
	select {
	case l.waiting <- line{text: append([]byte(nil), text...)}:
	default:
		l.dropped.Add(1)
	}
	return len(text), nil
}

func (l *AsyncWriter) run() {
	for next := range l.waiting {
		if dropped := l.dropped.Swap(0); dropped > 0 {
			fmt.Fprintf(l.to, "level=warning msg=\"lines were dropped: their reader is slow\" part=log times=%d\n", dropped)
		}
		if next.written != nil {
			close(next.written)
			continue
		}
		l.to.Write(next.text)
	}
}

// Flush waits until what was taken before is written, for a moment at most.
func (l *AsyncWriter) Flush() {
	written := make(chan struct{})
	late := time.After(flushWithin)
	select {
	case l.waiting <- line{written: written}:
	case <-late:
		return
	}
	select {
	case <-written:
	case <-late:
	}
}
