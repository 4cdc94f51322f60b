package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"jaspersill/logs"
)

// trouble logs that something fails when it begins to and when it is over. Danger: while a disk or the
// directory fails, a line for each event would drown all others.
type trouble struct {
	part, what string
	now        atomic.Bool
}

// note takes how the last try went.
func (t *trouble) note(err error) {
	switch {
	case err != nil && !t.now.Swap(true):
		logs.Part(t.part).WithError(err).Error(t.what + " fails")
	case err == nil && t.now.Swap(false):
		logs.Part(t.part).Info(t.what + " works again")
	}
}

// tally logs how often something happened that others can make happen at will, with the last case. Danger: as
// many lines would fill the disk and take the CPU; none would hide it.
type tally struct {
	part, what string

	mu    sync.Mutex
	count int
	at    time.Time // of the last line
}

const tallyEvery = 10 * time.Second

// note takes one more case; the first is logged at once.
func (t *tally) note(last string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
	if now := time.Now(); now.Sub(t.at) >= tallyEvery {
		logs.Part(t.part).WithFields(logrus.Fields{"times": t.count, "last": last}).Warn(t.what)
		t.count, t.at = 0, now
	}
}
