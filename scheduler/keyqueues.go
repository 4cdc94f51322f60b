package scheduler

import (
	"cmp"
	"slices"
)

// keyQueue holds the events of one key in the order of their arrival, and the time from which a new one may start.
type keyQueue struct {
	events []int32
	freeAt int64
}

type keyQueues map[uint64]*keyQueue

func (q keyQueues) add(key uint64, evt int32) {
	k := cmp.Or(q[key], &keyQueue{})
	q[key], k.events = k, append(k.events, evt)
}

func (q keyQueues) remove(key uint64, evt int32, now int64) {
	if k := q[key]; k != nil {
		k.events = slices.DeleteFunc(k.events, func(e int32) bool { return e == evt })
		if len(k.events) == 0 && now >= k.freeAt {
			delete(q, key)
		}
	}
}

func (q keyQueues) mayStart(key uint64, evt int32, started bool, now int64) bool {
	k := q[key]
	return k == nil || (k.events[0] == evt && (started || now >= k.freeAt))
}
