package connreuse

import "testing"

// Guards against a call that may not be repeated on a connection where a refusal of it could be a copy, and against
// connections that are opened without need.
func TestChooseAvoidsAmbiguousRefusals(t *testing.T) {
	const rested, not = second, millisecond
	for _, c := range []struct {
		name       string
		idle       []Candidate
		repeatable bool
		want       int
	}{
		{"none", nil, true, -1},
		{"rested", []Candidate{{IdleTime: rested}}, false, 0},
		{"not rested, once", []Candidate{{IdleTime: not}}, false, -1},
		{"in step though not rested, once", []Candidate{{IdleTime: not, InSync: true}}, false, 0},
		{"refused, once", []Candidate{{IdleTime: rested, RefusedBefore: true}}, false, -1},
		{"not rested, repeatable", []Candidate{{IdleTime: 2 * not}, {IdleTime: not}}, true, 0},
		{"refused is left to the repeatable", []Candidate{{IdleTime: rested, RefusedBefore: true}, {IdleTime: rested}}, true, 0},
		{"the one used last", []Candidate{{IdleTime: 2 * rested}, {IdleTime: rested}}, true, 1},
		{"rested before not rested", []Candidate{{IdleTime: rested}, {IdleTime: not, RefusedBefore: true}}, true, 0},
	} {
		if got := (&EndpointStats{}).Choose(c.idle, c.repeatable, false, 0); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
	if (&EndpointStats{}).Choose([]Candidate{{IdleTime: rested, RefusedBefore: true}}, false, true, 0) != 0 {
		t.Error("a new connection where refusals can be told apart")
	}
	var r RefusalStats
	if r.Distinguishable() {
		t.Error("refusals are distinct before any was seen")
	}
	for range 20 {
		r.Record(false)
	}
	if !r.Distinguishable() {
		t.Error("refusals that all differ are not distinct")
	}
	r.Record(true)
	if r.Record(true); r.Distinguishable() {
		t.Error("refusals of which two in a row are alike are distinct")
	}
	e := &EndpointStats{}
	e.RecordOutOfSync(0)
	if e.Choose([]Candidate{{IdleTime: rested}}, true, true, second) != -1 {
		t.Error("a connection is reused just after answers were out of step")
	}
	e.RecordOutOfSync(suspectFirst)
	if !e.ReuseAllowed(3*suspectFirst) || e.ReuseAllowed(3*suspectFirst-1) {
		t.Error("the second time does not last twice as long as the first")
	}
	if e.QuietPeriod() != restUnknown {
		t.Error("an endpoint that was never measured")
	}
	e.RecordAnswer(300 * millisecond)
	for range 100 {
		e.RecordAnswer(10 * millisecond)
	}
	if e.QuietPeriod() != restLeast {
		t.Errorf("one slow answer long ago makes it rest %d", e.QuietPeriod())
	}
}
