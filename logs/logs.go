// Package logs writes the node's lines through logrus: each names its part, each part has a level, and of one
// message only so many lines are written in a window of time, with the rest counted.
package logs

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	partField  = "part"
	eventField = "event"
	heldField  = "held_back"
	manyKinds  = 256 // messages told apart; beyond, the others share one count: memory stays bounded
	otherKinds = "other messages"

	// timestampFormat has milliseconds: answers and the calls that they are told apart from come within a few.
	timestampFormat = "2006-01-02T15:04:05.000Z07:00"
)

// Formatter decides which lines are written, and formats them. The zero value is not ready: use New.
type Formatter struct {
	mu     sync.Mutex
	inner  logrus.Formatter
	level  logrus.Level
	parts  map[string]logrus.Level
	burst  int
	window time.Duration
	now    func() time.Time
	kinds  map[string]*kind
}

// kind is one message: when its window began, and the lines written and held back in it.
type kind struct {
	began         time.Time
	written, held int
	part          string
	level         logrus.Level
}

// New returns a gate that writes text, at level info.
func New() *Formatter {
	g := &Formatter{now: time.Now, kinds: make(map[string]*kind)}
	g.Configure("text", "info", nil, 20, 10*time.Second)
	return g
}

// Configure changes what is written. Unknown levels count as info. It may be called at any time.
func (g *Formatter) Configure(format, level string, parts map[string]string, burst int, window time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inner = &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timestampFormat}
	if format == "json" {
		g.inner = &logrus.JSONFormatter{TimestampFormat: timestampFormat}
	}
	g.level, g.parts, g.burst, g.window = weight(level), make(map[string]logrus.Level), burst, window
	for part, level := range parts {
		g.parts[part] = weight(level)
	}
}

// MaxLevel is the level below which no part's lines are written: what is under it need not be made.
func (g *Formatter) MaxLevel() logrus.Level {
	g.mu.Lock()
	defer g.mu.Unlock()
	least := g.level
	for _, l := range g.parts {
		least = max(least, l)
	}
	return least
}

func weight(level string) logrus.Level {
	if l, err := logrus.ParseLevel(level); err == nil {
		return l
	}
	return logrus.InfoLevel
}

// Format implements logrus.Formatter. A line that is not to be written is nothing.
func (g *Formatter) Format(e *logrus.Entry) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	part, _ := e.Data[partField].(string)
	most, own := g.parts[part]
	if !own {
		most = g.level
	}
	if e.Level > most {
		return nil, nil
	}
	if held, ok := g.pass(part, e.Message, e.Level); !ok {
		return nil, nil
	} else if held > 0 {
		e.Data[heldField] = held
	}
	return g.inner.Format(e)
}

// pass tells whether a line may be written, and how many of its message were held back before it.
// Danger: a line for each event, while a partner or a disk fails, takes the CPU that the node was given.
func (g *Formatter) pass(part, message string, level logrus.Level) (held int, ok bool) {
	k := g.kinds[message]
	if k == nil {
		if len(g.kinds) >= manyKinds {
			message = otherKinds
		}
		if k = g.kinds[message]; k == nil {
			k = &kind{began: g.now(), part: part}
			g.kinds[message] = k
		}
	}
	k.level = level
	if now := g.now(); now.Sub(k.began) >= g.window {
		held, k.began, k.written, k.held = k.held, now, 0, 0
	}
	if k.written >= g.burst {
		k.held++
		return 0, false
	}
	k.written++
	return held, true
}

// ReportSuppressed writes how many lines were held back in windows that are over, and forgets messages that rest.
// Danger: what is held back last would never be told, as no line of its message follows.
func (g *Formatter) ReportSuppressed(to *logrus.Logger) {
	type line struct {
		message string
		kind    kind
	}
	var lines []line
	g.mu.Lock()
	for message, k := range g.kinds {
		if g.now().Sub(k.began) >= g.window {
			if k.held > 0 {
				lines = append(lines, line{message, *k})
			}
			delete(g.kinds, message)
		}
	}
	g.mu.Unlock()
	for _, l := range lines {
		to.WithFields(logrus.Fields{partField: l.kind.part, heldField: l.kind.held}).
			Log(l.kind.level, l.message+" (lines held back)")
	}
}

// Run calls Tell now and then until stop.
func (g *Formatter) Run(to *logrus.Logger, stop <-chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			g.ReportSuppressed(to)
		}
	}
}

// Part begins a line of a part.
func Part(name string) *logrus.Entry { return logrus.WithField(partField, name) }

// Event begins a line of a part about one event.
func Event(part, id string) *logrus.Entry {
	return logrus.WithFields(logrus.Fields{partField: part, eventField: id})
}

// DebugEnabled tells whether lines at level debug are written at all. Code that runs for every request asks before it
// gathers the fields of one.
func DebugEnabled() bool { return logrus.IsLevelEnabled(logrus.DebugLevel) }
