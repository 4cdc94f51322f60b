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
