package connreuse

import "testing"

// Guards against sending a non-repeatable call on a connection where a duplicate of an earlier refusal could be taken
// for its own, and against opening connections needlessly.
func TestChooseAvoidsAmbiguousRefusals(t *testing.T) {
	const quiet, recent = second, millisecond
	for _, c := range []struct {
		name       string
		idle       []Candidate
		repeatable bool
		want       int
	}{
		{"none", nil, true, -1},
		{"quiet", []Candidate{{IdleTime: quiet}}, false, 0},
		{"recently used, non-repeatable", []Candidate{{IdleTime: recent}}, false, -1},
		{"recently used but in sync, non-repeatable", []Candidate{{IdleTime: recent, InSync: true}}, false, 0},
		{"refused before, non-repeatable", []Candidate{{IdleTime: quiet, RefusedBefore: true}}, false, -1},
		{"recently used, repeatable", []Candidate{{IdleTime: 2 * recent}, {IdleTime: recent}}, true, 0},
		{"repeatable prefers one refused before", []Candidate{{IdleTime: quiet, RefusedBefore: true}, {IdleTime: quiet}}, true, 0},
		{"most recently used", []Candidate{{IdleTime: 2 * quiet}, {IdleTime: quiet}}, true, 1},
		{"quiet preferred to recently used", []Candidate{{IdleTime: quiet}, {IdleTime: recent, RefusedBefore: true}}, true, 0},
	} {
		if got := (&EndpointStats{}).Choose(c.idle, c.repeatable, false, 0); got != c.want {
			t.Errorf("%s: chose %d, want %d", c.name, got, c.want)
		}
	}
	if (&EndpointStats{}).Choose([]Candidate{{IdleTime: quiet, RefusedBefore: true}}, false, true, 0) != 0 {
		t.Error("a new connection was chosen although refusals are distinguishable")
	}
	var r RefusalStats
	if r.Distinguishable() {
		t.Error("refusals are distinguishable before any was recorded")
	}
	for range 20 {
		r.Record(false)
	}
	if !r.Distinguishable() {
		t.Error("refusals that all differ are not distinguishable")
	}
	r.Record(true)
	if r.Record(true); r.Distinguishable() {
		t.Error("refusals are distinguishable after two similar ones in a row")
	}
	e := &EndpointStats{}
	e.RecordOutOfSync(0)
	if e.Choose([]Candidate{{IdleTime: quiet}}, true, true, second) != -1 {
		t.Error("a connection was reused right after an unexpected answer")
	}
	e.RecordOutOfSync(minSuspectTime)
	if !e.ReuseAllowed(3*minSuspectTime) || e.ReuseAllowed(3*minSuspectTime-1) {
		t.Error("the second suspension does not last twice as long as the first")
	}
	if chosen := e.Choose([]Candidate{{IdleTime: quiet, Awaited: true}}, true, true, 3*minSuspectTime); chosen != -1 {
		t.Error("a connection was reused while an event waits for what it shows")
	}
	if e.QuietPeriod() != defaultQuiet {
		t.Error("an endpoint without measurements does not use the default quiet period")
	}
	e.RecordAnswer(300 * millisecond)
	for range 100 {
		e.RecordAnswer(10 * millisecond)
	}
	if e.QuietPeriod() != minQuiet {
		t.Errorf("quiet period %d after one slow answer long ago, want the minimum", e.QuietPeriod())
	}
}

// Guards against a copy that follows an answer at once and is read as the answer to the next call, and against opening connections
// although one only has to pause.
func TestConnectionsPauseBeforeReuse(t *testing.T) {
	const recent = millisecond
	e := &EndpointStats{}
	if e.ReusePause() != 0 {
		t.Error("a pause before any delivery was measured")
	}
	e.RecordDelivery(80 * millisecond)
	e.RecordDelivery(60 * millisecond)
	e.RecordDelivery(70 * millisecond)
	if want := 60 * millisecond / pauseDivisor; e.ReusePause() != want {
		t.Errorf("pause of %d, want %d", e.ReusePause(), want)
	}
	paused := e.ReusePause()
	for _, c := range []struct {
		name string
		idle []Candidate
		want int
	}{
		{"most recently used of those that paused", []Candidate{{IdleTime: 2 * paused, InSync: true}, {IdleTime: paused, InSync: true}, {IdleTime: recent, InSync: true}}, 1},
		{"in sync but used just now", []Candidate{{IdleTime: paused, InSync: true}, {IdleTime: recent, InSync: true}}, 0},
		{"none has paused", []Candidate{{IdleTime: 2 * recent}, {IdleTime: recent}}, 0},
	} {
		if got := e.Choose(c.idle, true, false, 0); got != c.want {
			t.Errorf("%s: chose %d, want %d", c.name, got, c.want)
		}
	}
	if e.RecordDelivery(second); e.ReusePause() > maxPause {
		t.Error("the pause exceeds its maximum")
	}
}

// Guards against accepting an answer as its call's because its connection rests, which it also does while the endpoint hangs.
func TestEvidenceAtClose(t *testing.T) {
	const now = 10 * second
	held := Evidence{Claim: Delivered, Rested: true, Repeatable: true, HoldUntil: now + second}
	over := Evidence{Claim: Delivered, Rested: true, Repeatable: true, HoldUntil: now - second}
	once := Evidence{Claim: Delivered, Rested: true, HoldUntil: now + second}
	proven := Evidence{Claim: Delivered, Repeatable: true, LaterEnds: confirmingEnds, HoldUntil: now + second}
	unproven := Evidence{Claim: Delivered, LaterEnds: confirmingEnds - 1, HoldUntil: now + second}
	for _, c := range []struct {
		name                   string
		evidence               Evidence
		here, there, atTheExit bool // whether it is accepted when the node or the endpoint closes the connection, and when the process ends
	}{
		{"repeatable, its call could still be answered", held, true, false, false},
		{"repeatable, held long enough", over, true, false, true},
		{"not repeatable", once, true, false, true},
		{"not rested", Evidence{Claim: Delivered, HoldUntil: now - second}, false, false, false},
		{"proven", proven, true, true, true},
		{"one delivery short of proven", unproven, false, false, false},
		{"event is over", Evidence{Claim: Gone, Rested: true, Repeatable: true, HoldUntil: now - second}, false, false, false},
		{"event is over, proven", Evidence{Claim: Gone, LaterEnds: confirmingEnds, HoldUntil: now + second}, true, true, true},
		{"refusal", Evidence{Rested: true, LaterEnds: confirmingEnds}, true, true, true},
		{"refusal, not rested", Evidence{LaterEnds: confirmingEnds}, false, false, false},
	} {
		if here, there := c.evidence.AcceptAtClose(false), c.evidence.AcceptAtClose(true); here != c.here || there != c.there {
			t.Errorf("%s: %v and %v at close, want %v and %v", c.name, here, there, c.here, c.there)
		}
		if got := c.evidence.AcceptAtShutdown(now); got != c.atTheExit {
			t.Errorf("%s: %v at shutdown, want %v", c.name, got, c.atTheExit)
		}
	}
	if until := HoldUntil(now, now-second, 3*second, now+second, Delivered); until != now+second {
		t.Errorf("a delivery is held until %d, after the deadline", until)
	}
	if until := HoldUntil(now, now-second, 20*second, now+20*second, NotRun); until != now+refusalHold {
		t.Errorf("a refusal is held until %d", until)
	}
}
