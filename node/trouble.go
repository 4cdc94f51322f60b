package node

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// trouble logs that something fails when it begins to and when it is over. Danger: while a disk or the
// directory fails, a line for each event would drown all others.
type trouble struct {
	what string
	now  atomic.Bool
}

// note takes how the last try went.
func (t *trouble) note(err error) {
	switch {
	case err != nil && !t.now.Swap(true):
		logrus.WithError(err).Error(t.what + " fails")
	case err == nil && t.now.Swap(false):
		logrus.Info(t.what + " works again")
	}
}
