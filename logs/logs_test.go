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
	g, now := New(), time.Unix(1000, 0)
	g.now = func() time.Time { return now }
	g.Configure("json", "info", map[string]string{"clients": "debug", "journal": "error"}, 3, time.Second)
	l := &logrus.Logger{Out: &out, Formatter: g, Hooks: logrus.LevelHooks{}, Level: g.MaxLevel()}
	in := func(part string) *logrus.Entry { return l.WithField("part", part) }
	for range 10 {
		in("clients").Debug("fails")
		in("journal").Warn("quiet part")
		in("node").Debug("under the level")
	}
	in("node").Info("another message")
	if got := strings.Count(out.String(), "fails"); got != 3 || strings.Count(out.String(), "\n") != 4 {
		t.Errorf("%d lines of the message, want 3, in:\n%s", got, &out)
	}
	now = now.Add(time.Second)
	out.Reset()
	in("clients").Debug("fails")
	if !strings.Contains(out.String(), `"held_back":7`) {
		t.Errorf("the next line does not tell of 7: %s", &out)
	}
	for range 9 {
		in("clients").Debug("fails")
	}
	now = now.Add(2 * time.Second)
	out.Reset()
	g.ReportSuppressed(l)
	if !strings.Contains(out.String(), `"held_back":7`) ||
		!strings.Contains(out.String(), `"part":"clients"`) {
		t.Errorf("nobody told of the last 7: %s", &out)
	}
	g.ReportSuppressed(l)
	if n := strings.Count(out.String(), "held_back"); n != 1 {
		t.Errorf("told %d times", n)
	}
}

func TestDistinctMessagesStayBounded(t *testing.T) {
	var out bytes.Buffer
	g := New()
	l := &logrus.Logger{Out: &out, Formatter: g, Hooks: logrus.LevelHooks{}, Level: g.MaxLevel()}
	for i := range 20 * manyKinds {
		l.Info(fmt.Sprint("message ", i))
	}
	if lines := strings.Count(out.String(), "\n"); len(g.kinds) > manyKinds+1 || lines > 2*manyKinds {
		t.Errorf("%d messages known, %d lines", len(g.kinds), lines)
	}
}

// Guards against a node that stands still because the reader of its log lines does.
func TestSlowReaderDoesNotBlockLogging(t *testing.T) {
	reader, writer := io.Pipe() // nobody reads
	lines := NewAsyncWriter(writer)
	began := time.Now()
	for range 3 * waitingLines {
		lines.Write([]byte("a line\n"))
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("it took %v", took)
	}
	text := make(chan string)
	go func() {
		all, _ := io.ReadAll(reader)
		text <- string(all)
	}()
	for deadline := time.Now().Add(10 * time.Second); len(lines.waiting) > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	lines.Flush()
	writer.Close()
	got := <-text
	accounted := int64(strings.Count(got, "a line\n")) + lines.dropped.Load()
	for line := range strings.Lines(got) {
		if _, times, told := strings.Cut(line, "times="); told {
			dropped, err := strconv.ParseInt(strings.TrimSpace(times), 10, 64)
			if err != nil {
				t.Errorf("%q: %v", line, err)
			}
			accounted += dropped
		}
	}
	if accounted != 3*waitingLines || !strings.Contains(got, "lines were dropped") {
		t.Errorf("%d lines are written or counted as dropped, of %d", accounted, 3*waitingLines)
	}
}
