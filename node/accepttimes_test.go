package node

import (
	"testing"
	"time"
)

// Guards against first requests that are refused for a long wait, because their connection was accepted while others had waited for long.
func TestConnectionsWaitNoLongerThanTheBacklog(t *testing.T) {
	start := time.Now()
	at := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	times := newAcceptTimes(2)
	for n := range 10 {
		times.record(at(n))
	}
	for _, c := range []struct{ delayed, want time.Time }{{at(0), at(7)}, {at(8), at(8)}, {time.Time{}, time.Time{}}} {
		if got := times.earliestArrival(c.delayed); !got.Equal(c.want) {
			t.Errorf("delayed since %v: may have waited since %v, want %v", c.delayed.Sub(start), got.Sub(start), c.want.Sub(start))
		}
	}
	unknown := newAcceptTimes(0)
	unknown.record(at(5))
	if got := unknown.earliestArrival(at(1)); !got.Equal(at(1)) {
		t.Errorf("backlog of unknown size: %v", got.Sub(start))
	}
}
