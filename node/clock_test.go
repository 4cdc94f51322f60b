package node

import (
	"errors"
	"testing"
	"time"
)

// fakeTimeSource provides clocks that are set by a test.
type fakeTimeSource struct {
	wall, monotonic int64
	bootID          string
	err             error
}

func (f *fakeTimeSource) source() timeSource {
	return timeSource{wallClock: func() int64 { return f.wall }, monotonic: func() (int64, error) { return f.monotonic, f.err },
		bootID: func() string { return f.bootID }}
}

// Guards against a time of day that follows a step of the wall clock within a boot, or steps back after a reboot.
func TestTimeOfDayIgnoresWallClockSteps(t *testing.T) {
	const second, hour = int64(time.Second), int64(time.Hour)
	near := func(what string, got, want int64) {
		t.Helper()
		if got < want || got > want+second/2 {
			t.Errorf("%s: time of day is off by %v", what, time.Duration(got-want))
		}
	}
	for _, step := range []int64{-hour, -5 * second, 5 * second, hour} {
		folder := t.TempDir()
		f := &fakeTimeSource{wall: 100 * hour, monotonic: 7 * hour, bootID: "one"}
		near("first start", newClock(folder, f.source()).timeOfDay(), 100*hour)
		f.wall, f.monotonic = f.wall+step+3*second, f.monotonic+3*second
		near("restart in the same boot", newClock(folder, f.source()).timeOfDay(), 100*hour+3*second)
		f.bootID, f.monotonic = "two", second
		f.wall = 100*hour + 10*second
		near("start after a reboot", newClock(folder, f.source()).timeOfDay(), 100*hour+10*second)
		f.bootID, f.wall = "three", 99*hour
		near("start after a reboot with the wall clock an hour behind", newClock(folder, f.source()).timeOfDay(), 100*hour+10*second)
		f.err = errors.New("clock not available")
		near("start without a monotonic clock", newClock(folder, f.source()).timeOfDay(), 99*hour)
	}
}

// Guards against events that are discarded early, or held for an hour too long, because the wall clock stepped between two
// starts.
func TestDeadlineSurvivesWallClockStep(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		env := newTestEnv(t)
		env.startNode()
		env.directory.mu.Lock()
		env.directory.knownDests[1], env.directory.knownDests[9] = struct{}{}, struct{}{} // destinations that were listed before
		env.directory.mu.Unlock()
		client := env.dial()
		client.submit(submitRequest("long", "charge", "1", 20000, ""))
		client.submit(submitRequest("short", "charge", "9", 1500, ""))

		restarted := newTestEnv(t)
		restarted.folder = copyAsKilled(t, env.folder)
		stepped := systemTimeSource()
		stepped.wallClock = func() int64 { return wallClock() + int64(step) }
		restarted.timeSource = &stepped
		endpoint := restarted.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
		start := time.Now()
		restarted.startNode()
		restarted.waitFor("all events are complete", restarted.journal.empty)
		if calls, _ := endpoint.counts(); calls != 1 {
			t.Errorf("step of %v: got %d calls, want 1", step, calls)
		}
		if took := time.Since(start); took > 1800*time.Millisecond || len(restarted.receivedNotices()) != 1 {
			t.Errorf("step of %v: all events were complete after %v with notices %q, want within 1.8s with one notice",
				step, took, restarted.receivedNotices())
		}
	}
}
