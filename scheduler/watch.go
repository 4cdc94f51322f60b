package scheduler

import (
	"cmp"

	"jaspersill/delivery"
)

const (
	minWatchRetry = second / 2     // delay before the directory is asked again after one failure, then doubling
	maxWatchRetry = 3 * second / 2 // longest such delay: its changes count as known 6 s after it becomes reachable
	watchTimeout  = 4 * second     // a watch call without any result is repeated after this; sockets give up sooner
)

// directory tracks the watch on the list of endpoints.
type directory struct {
	requiresWatch, automatic              bool // as in delivery.Directory
	watched, firstCallEnded               bool // watched: the watch is confirmed; firstCallEnded: with success or not
	nextWatchAt, retryDelay, firstWatchAt int64
}

// watchIfDue asks for a watch until one is confirmed: changes count as known to this node even if it does not watch.
func (d *directory) watchIfDue(now int64, exec delivery.Executor) {
	if d.requiresWatch && !d.watched && now >= d.nextWatchAt {
		exec.Watch(true)
		d.nextWatchAt, d.firstWatchAt = now+watchTimeout, cmp.Or(d.firstWatchAt, now)
	}
}

// holdsSends reports whether sends wait for the first list. With an automatic directory, the changes since the list that was
// kept from before a restart count as known from the first moment, so nothing is sent by that list while the first call may
// still bring them. Once that call has failed, or could have been answered, accepted events are sent by the list that there
// is: the directory may stay unreachable for longer than they have left.
func (d *directory) holdsSends(now int64) bool {
	return d.automatic && !d.firstCallEnded && now < d.firstWatchAt+watchTimeout
}

// confirmed records that the newest watch has delivered a list.
func (d *directory) confirmed() {
	d.watched, d.firstCallEnded, d.retryDelay = true, true, 0
}

// failed schedules the next call. A failure does not say whether an earlier watch is still in force.
func (d *directory) failed(now int64, rng *pcg) {
	d.watched, d.firstCallEnded, d.retryDelay = false, true, min(max(minWatchRetry, 2*d.retryDelay), maxWatchRetry)
	d.nextWatchAt = now + d.retryDelay + int64(rng.float()*jitterShare*float64(d.retryDelay))
}
