package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"jaspersill/logs"
)

// failureLog logs that something fails when it begins to and when it is over. Danger: while a disk or the
// directory fails, a line for each event would drown all others.
type failureLog struct {
	part, operation string
	failing         atomic.Bool
}

// record takes how the last try went.
func (t *failureLog) record(err error) {
	switch {
	case err != nil && !t.failing.Swap(true):
		logs.Part(t.part).WithError(err).Error(t.operation + " fails")
	case err == nil && t.failing.Swap(false):
		logs.Part(t.part).Info(t.operation + " works again")
	}
}

// throttledLog logs how often something happened that others can make happen at will, with the last case. Danger: as
// many lines would fill the disk and take the CPU; none would hide it.
type throttledLog struct {
	part, message string

	mu         sync.Mutex
	count      int
	lastLogged time.Time // of the last line
}

const throttleInterval = 10 * time.Second

// record takes one more case; the first is logged at once.
func (t *throttledLog) record(last string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
	if now := time.Now(); now.Sub(t.lastLogged) >= throttleInterval {
		logs.Part(t.part).WithFields(logrus.Fields{"times": t.count, "last": last}).Warn(t.message)
		t.count, t.lastLogged = 0, now
	}
}
