package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"jaspersill/logs"
)

// failureLog logs when an operation starts to fail and when it recovers. While a disk or the directory fails, a line for
// each event would drown all others.
type failureLog struct {
	part, operation string
	failing         atomic.Bool
}

// record takes the result of the latest try.
func (l *failureLog) record(err error) {
	switch {
	case err != nil && !l.failing.Swap(true):
		logs.Part(l.part).WithError(err).Error(l.operation + " failed")
	case err == nil && l.failing.Swap(false):
		logs.Part(l.part).Info(l.operation + " recovered")
	}
}

// throttledLog logs occurrences that others can cause at will: their number, and details of the latest one. A line for
// each would fill the disk and take CPU time; no line at all would hide them.
type throttledLog struct {
	part, message string

	mu         sync.Mutex
	count      int // since the last line
	lastLogged time.Time
}

const throttleInterval = 10 * time.Second

// record counts one occurrence; the first one is logged at once.
func (l *throttledLog) record(details string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	if now := time.Now(); now.Sub(l.lastLogged) >= throttleInterval {
		logs.Part(l.part).WithFields(logrus.Fields{"times": l.count, "last": details}).Warn(l.message)
		l.count, l.lastLogged = 0, now
	}
}
