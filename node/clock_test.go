package node

import (
	"errors"
	"testing"
	"time"
)

// fakeMachine is one whose clocks a test sets.
type fakeMachine struct {
	wall, steady int64
	boot         string
	err          error
}

func (f *fakeMachine) machine() machine {
	return machine{wall: func() int64 { return f.wall }, steady: func() (int64, error) { return f.steady, f.err },
		boot: func() string { return f.boot }}
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
		f := &fakeMachine{wall: 100 * hour, steady: 7 * hour, boot: "one"}
		near("the first start", startClock(folder, f.machine()).day(), 100*hour)
		f.wall, f.steady = f.wall+step+3*second, f.steady+3*second
		near("a start on the same boot", startClock(folder, f.machine()).day(), 100*hour+3*second)
		f.boot, f.steady = "two", second
		f.wall = 100*hour + 10*second
		near("another boot", startClock(folder, f.machine()).day(), 100*hour+10*second)
		f.boot, f.wall = "three", 99*hour
		near("another boot, an hour back", startClock(folder, f.machine()).day(), 100*hour+10*second)
		f.err = errors.New("no such clock")
		near("no clock of the machine", startClock(folder, f.machine()).day(), 99*hour)
	}
}

// Guards against requests that are given up, or held for an hour, because the wall clock stepped between two starts.
func TestADeadlineOutlastsAStepOfTheWallClock(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		w := newWorld(t)
		w.run()
		w.directory.mu.Lock()
		w.directory.dests[1], w.directory.dests[9] = struct{}{}, struct{}{} // listed once
		w.directory.mu.Unlock()
		c := w.dial()
		c.hand(request("long", "charge", "1", 20000, ""))
		c.hand(request("short", "charge", "9", 1500, ""))

		again := newWorld(t)
		again.folder = copyAsKilled(t, w.folder)
		stepped := thisMachine()
		stepped.wall = func() int64 { return wall() + int64(step) }
		again.machine = &stepped
		at := again.endpoint(1, say(answerOf("200 OK", "", "")))
		began := time.Now()
		again.run()
		again.until("nothing is owed", again.journal.empty)
		if calls, _ := at.calls(); calls != 1 {
			t.Errorf("step of %v: %d calls", step, calls)
		}
		if took := time.Since(began); took > 1800*time.Millisecond || len(again.noticed()) != 1 {
			t.Errorf("step of %v: all ended after %v with notices %q", step, took, again.noticed())
		}
	}
}
