// Package logs formats the node's log lines for logrus. Each line names the part of the node that it comes from,
// each part can have its own level, and lines with the same message are rate-limited; the suppressed ones are counted.
package logs

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	partField       = "part"
	eventField      = "event"
	suppressedField = "held_back"
	maxMessages     = 256 // messages counted separately; any further ones share one count, to bound memory
	otherMessages   = "other messages"

	// timestampFormat includes milliseconds: a response and a call that must not be confused can be a few
	// milliseconds apart.
	timestampFormat = "2006-01-02T15:04:05.000Z07:00"
)

// Formatter is a logrus.Formatter that filters lines by level and rate. Use New; the zero value is not usable.
type Formatter struct {
	mu       sync.Mutex
	inner    logrus.Formatter
	level    logrus.Level
	parts    map[string]logrus.Level
	burst    int
	window   time.Duration
	now      func() time.Time
	messages map[string]*messageStats
}

// messageStats counts the lines of one message written and suppressed in the current window.
type messageStats struct {
	windowStart         time.Time
	written, suppressed int
	part                string
	level               logrus.Level
}

// New returns a formatter for text lines at level info.
func New() *Formatter {
	f := &Formatter{now: time.Now, messages: make(map[string]*messageStats)}
	f.Configure("text", "info", nil, 20, 10*time.Second)
	return f
}

// Configure changes the format, the levels and the rate limit. Unknown levels are treated as info. It is safe for
// concurrent use.
func (f *Formatter) Configure(format, level string, parts map[string]string, burst int, window time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inner = &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timestampFormat}
	if format == "json" {
		f.inner = &logrus.JSONFormatter{TimestampFormat: timestampFormat}
	}
	f.level, f.parts, f.burst, f.window = parseLevel(level), make(map[string]logrus.Level), burst, window
	for part, level := range parts {
		f.parts[part] = parseLevel(level)
	}
}

// MaxLevel returns the most verbose level in use by any part. Lines above it need not be created.
func (f *Formatter) MaxLevel() logrus.Level {
	f.mu.Lock()
	defer f.mu.Unlock()
	maxLevel := f.level
	for _, l := range f.parts {
		maxLevel = max(maxLevel, l)
	}
	return maxLevel
}

func parseLevel(level string) logrus.Level {
	if l, err := logrus.ParseLevel(level); err == nil {
		return l
	}
	return logrus.InfoLevel
}

// Format implements logrus.Formatter. It returns nil for a line that is filtered out.
func (f *Formatter) Format(e *logrus.Entry) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	part, _ := e.Data[partField].(string)
	maxLevel, ok := f.parts[part]
	if !ok {
		maxLevel = f.level
	}
	if e.Level > maxLevel {
		return nil, nil
	}
	if suppressed, ok := f.allow(part, e.Message, e.Level); !ok {
		return nil, nil
	} else if suppressed > 0 {
		e.Data[suppressedField] = suppressed
	}
	return f.inner.Format(e)
}

// allow reports whether a line may be written and, if it opens a new window, how many lines of its message were
// suppressed in the previous one. Without the limit, one line per event while a destination or the disk fails would
// use up the node's CPU.
func (f *Formatter) allow(part, message string, level logrus.Level) (suppressed int, ok bool) {
	m := f.messages[message]
	if m == nil {
		if len(f.messages) >= maxMessages {
			message = otherMessages
		}
		if m = f.messages[message]; m == nil {
			m = &messageStats{windowStart: f.now(), part: part}
			f.messages[message] = m
		}
	}
	m.level = level
	if now := f.now(); now.Sub(m.windowStart) >= f.window {
		suppressed, m.windowStart, m.written, m.suppressed = m.suppressed, now, 0, 0
	}
	if m.written >= f.burst {
		m.suppressed++
		return 0, false
	}
	m.written++
	return suppressed, true
}

// ReportSuppressed logs how many lines were suppressed in each expired window and discards those windows. Without
// it, suppressed lines of a message that does not occur again would never be reported.
func (f *Formatter) ReportSuppressed(to *logrus.Logger) {
	type line struct {
		message string
		stats   messageStats
	}
	var lines []line
	f.mu.Lock()
	for message, m := range f.messages {
		if f.now().Sub(m.windowStart) >= f.window {
			if m.suppressed > 0 {
				lines = append(lines, line{message, *m})
			}
			delete(f.messages, message)
		}
	}
	f.mu.Unlock()
	for _, l := range lines {
		to.WithFields(logrus.Fields{partField: l.stats.part, suppressedField: l.stats.suppressed}).
			Log(l.stats.level, l.message+" (lines suppressed)")
	}
}

// Run calls ReportSuppressed once a second until stop is closed.
func (f *Formatter) Run(to *logrus.Logger, stop <-chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			f.ReportSuppressed(to)
		}
	}
}

// Part returns a log entry for a part of the node.
func Part(name string) *logrus.Entry { return logrus.WithField(partField, name) }

// Event returns a log entry for a part of the node, about one event.
func Event(part, id string) *logrus.Entry {
	return logrus.WithFields(logrus.Fields{partField: part, eventField: id})
}

// DebugEnabled reports whether debug lines are written at all. Code on the request path checks it before it
// collects the fields of a line.
func DebugEnabled() bool { return logrus.IsLevelEnabled(logrus.DebugLevel) }
