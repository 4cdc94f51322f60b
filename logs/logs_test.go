package logs

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

func TestSuppressedLinesAreCountedAndReported(t *testing.T) {
	var out bytes.Buffer
	f, now := New(), time.Unix(1000, 0)
	f.now = func() time.Time { return now }
	f.Configure("json", "info", map[string]string{"clients": "debug", "journal": "error"}, 3, time.Second)
	l := &logrus.Logger{Out: &out, Formatter: f, Hooks: logrus.LevelHooks{}, Level: f.MaxLevel()}
	in := func(part string) *logrus.Entry { return l.WithField("part", part) }
	for range 10 {
		in("clients").Debug("fails")
		in("journal").Warn("below the part's level")
		in("node").Debug("below the general level")
	}
	in("node").Info("another message")
	if got := strings.Count(out.String(), "fails"); got != 3 || strings.Count(out.String(), "\n") != 4 {
		t.Errorf("%d lines of the message, want 3, in:\n%s", got, &out)
	}
	now = now.Add(time.Second)
	out.Reset()
	in("clients").Debug("fails")
	if !strings.Contains(out.String(), `"held_back":7`) {
		t.Errorf("the first line of the next window does not report 7 suppressed lines: %s", &out)
	}
	for range 9 {
		in("clients").Debug("fails")
	}
	now = now.Add(2 * time.Second)
	out.Reset()
	f.ReportSuppressed(l)
	if !strings.Contains(out.String(), `"held_back":7`) ||
		!strings.Contains(out.String(), `"part":"clients"`) {
		t.Errorf("the last 7 suppressed lines were not reported: %s", &out)
	}
	f.ReportSuppressed(l)
	if n := strings.Count(out.String(), "held_back"); n != 1 {
		t.Errorf("suppressed lines reported %d times, want 1", n)
	}
}

func TestDistinctMessagesStayBounded(t *testing.T) {
	var out bytes.Buffer
	f := New()
	l := &logrus.Logger{Out: &out, Formatter: f, Hooks: logrus.LevelHooks{}, Level: f.MaxLevel()}
	for i := range 20 * maxMessages {
		l.Info(fmt.Sprint("message ", i))
	}
	if lines := strings.Count(out.String(), "\n"); len(f.messages) > maxMessages+1 || lines > 2*maxMessages {
		t.Errorf("%d messages tracked, %d lines written", len(f.messages), lines)
	}
}

// Guards against a node that blocks on logging because the reader of its log has stopped reading.
func TestSlowReaderDoesNotBlockLogging(t *testing.T) {
	reader, writer := io.Pipe() // nobody reads
	async := NewAsyncWriter(writer)
	start := time.Now()
	for range 3 * queueCapacity {
		async.Write([]byte("a line\n"))
	}
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("writing took %v, want at most 1 s", elapsed)
	}
	text := make(chan string)
	go func() {
		all, _ := io.ReadAll(reader)
		text <- string(all)
	}()
	for deadline := time.Now().Add(10 * time.Second); len(async.queue) > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	async.Flush()
	writer.Close()
	got := <-text
	accounted := int64(strings.Count(got, "a line\n")) + async.dropped.Load()
	for line := range strings.Lines(got) {
		if _, times, ok := strings.Cut(line, "times="); ok {
			dropped, err := strconv.ParseInt(strings.TrimSpace(times), 10, 64)
			if err != nil {
				t.Errorf("%q: %v", line, err)
			}
			accounted += dropped
		}
	}
	if accounted != 3*queueCapacity || !strings.Contains(got, "lines dropped: the reader is too slow") {
		t.Errorf("%d of %d lines are written or counted as dropped", accounted, 3*queueCapacity)
	}
}
