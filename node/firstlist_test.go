package node

import (
	"testing"
	"time"
)

// Guards against sending by the list from before a restart while a slow directory, whose lists are pushed, has not told yet that the
// endpoint was replaced: another destination may answer at its address.
func TestSlowFirstListKeepsSendsFromReplacedEndpoint(t *testing.T) {
	for _, delay := range []time.Duration{1100 * time.Millisecond, 1800 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.pushedLists = true
			env.beforeList = func() bool { time.Sleep(delay); return true }
			replaced := env.addEndpoint(1, respond(httpResponse("400 Bad Request", "", "")))
			env.knownHosts, env.hosts = env.hosts, nil
			replacement := env.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
			env.startNode()
			env.dial().submit(submitRequest("x", "alert", "1", 8000, "x"))
			env.waitFor("the event is delivered", env.journal.empty)
			if calls, _ := replacement.counts(); calls != 1 {
				t.Errorf("the replacement got %d calls, want 1", calls)
			}
			if calls, _ := replaced.counts(); calls != 0 {
				t.Errorf("the replaced endpoint's address got %d calls", calls)
			}
		})
	}
}

// Guards against holding accepted events back until their deadline because the directory hangs or is down when the node starts.
func TestUnreachableDirectoryAtStartKeepsNoEventBack(t *testing.T) {
	for name, beforeList := range map[string]func() bool{
		"hangs": func() bool { select {} },
		"down":  func() bool { return false },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.pushedLists, env.beforeList = true, beforeList
			endpoint := env.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
			env.startNode()
			env.dial().submit(submitRequest("x", "alert", "1", 4000, "x"))
			env.waitFor("the event has ended", env.journal.empty)
			if calls, _ := endpoint.counts(); calls != 1 || env.hasNotice("x") {
				t.Errorf("%d calls, want 1, or a notice came", calls)
			}
		})
	}
}

// Guards against losing, or sending to the replaced endpoint, what a process accepted that was killed before its first list came.
func TestKillBeforeFirstListKeepsAcceptedEvents(t *testing.T) {
	env := newTestEnv(t)
	env.pushedLists = true
	env.beforeList = func() bool { select {} }
	replaced := env.addEndpoint(1, respond(httpResponse("400 Bad Request", "", "")))
	env.startNode()
	env.dial().submit(submitRequest("x", "charge", "1", 8000, "x"))
	time.Sleep(800 * time.Millisecond)
	folder := copyAsKilled(t, env.folder)
	env.SetDrainTimes(0, 0, 0)
	env.stop()
	env.waitFor("the first process has stopped", func() bool { return env.Phase() == Stopped })

	next := newTestEnv(t)
	next.folder, next.knownHosts, next.pushedLists = folder, env.hosts, true
	next.beforeList = func() bool { time.Sleep(1100 * time.Millisecond); return true }
	replacement := next.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
	next.startNode()
	next.waitFor("the event is delivered", next.journal.empty)
	calls, _ := replacement.counts()
	misplaced, _ := replaced.counts()
	if calls != 1 || misplaced != 0 {
		t.Errorf("the replacement got %d calls, want 1, and the replaced endpoint's address %d", calls, misplaced)
	}
}
