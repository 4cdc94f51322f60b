package node

import (
	"errors"
	"testing"
	"time"
)

// fakeTimeSource is one whose clocks a test sets.
type fakeTimeSource struct {
	wall, monotonic int64
	bootID          string
	err             error
}

func (f *fakeTimeSource) source() timeSource {
	return timeSource{wallClock: func() int64 { return f.wall }, monotonic: func() (int64, error) { return f.monotonic, f.err },
		bootID: func() string { return f.bootID }}
}

// Guards against a time of day that goes along when the wall clock steps.
func TestTheTimeOfDayDoesNotStepWithTheWallClock(t *testing.T) {
	const second, hour = int64(time.Second), int64(time.Hour)
	near := func(what string, got, want int64) {
		t.Helper()
		if got < want || got > want+second/2 {
			t.Errorf("%s: %v from what was wanted", what, time.Duration(got-want))
		}
	}
	for _, step := range []int64{-hour, -5 * second, 5 * second, hour} {
		folder := t.TempDir()
		f := &fakeTimeSource{wall: 100 * hour, monotonic: 7 * hour, bootID: "one"}
		near("the first start", newClock(folder, f.source()).timeOfDay(), 100*hour)
		f.wall, f.monotonic = f.wall+step+3*second, f.monotonic+3*second
		near("a start on the same boot", newClock(folder, f.source()).timeOfDay(), 100*hour+3*second)
		f.bootID, f.monotonic = "two", second
		f.wall = 100*hour + 10*second
		near("another boot", newClock(folder, f.source()).timeOfDay(), 100*hour+10*second)
		f.bootID, f.wall = "three", 99*hour
		near("another boot, an hour back", newClock(folder, f.source()).timeOfDay(), 100*hour+10*second)
		f.err = errors.New("no such clock")
		near("no clock of the machine", newClock(folder, f.source()).timeOfDay(), 99*hour)
	}
}

// Guards against requests that are given up, or held for an hour, because the wall clock stepped between two starts.
func TestADeadlineOutlastsAStepOfTheWallClock(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		w := newTestEnv(t)
		w.startNode()
		w.directory.mu.Lock()
		w.directory.knownDests[1], w.directory.knownDests[9] = struct{}{}, struct{}{} // listed once
		w.directory.mu.Unlock()
		c := w.dial()
		c.submit(submitRequest("long", "charge", "1", 20000, ""))
		c.submit(submitRequest("short", "charge", "9", 1500, ""))

		again := newTestEnv(t)
		again.folder = copyAsKilled(t, w.folder)
		stepped := systemTimeSource()
		stepped.wallClock = func() int64 { return wallClock() + int64(step) }
		again.timeSource = &stepped
		at := again.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
		began := time.Now()
		again.startNode()
		again.waitFor("nothing is owed", again.journal.empty)
		if calls, _ := at.counts(); calls != 1 {
			t.Errorf("step of %v: %d calls", step, calls)
		}
		if took := time.Since(began); took > 1800*time.Millisecond || len(again.receivedNotices()) != 1 {
			t.Errorf("step of %v: all ended after %v with notices %q", step, took, again.receivedNotices())
		}
	}
}
