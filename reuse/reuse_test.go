package reuse

import "testing"

// Guards against a call that may not be repeated on a connection where a refusal of it could be a copy, and against
// connections that are opened without need.
func TestChooseKeepsRefusalsFromBeingCopies(t *testing.T) {
	const rested, not = second, millisecond
	for _, c := range []struct {
		name       string
		idle       []Candidate
		repeatable bool
		want       int
	}{
		{"none", nil, true, -1},
		{"rested", []Candidate{{Rested: rested}}, false, 0},
		{"not rested, once", []Candidate{{Rested: not}}, false, -1},
		{"in step though not rested, once", []Candidate{{Rested: not, InStep: true}}, false, 0},
		{"refused, once", []Candidate{{Rested: rested, Refused: true}}, false, -1},
		{"not rested, repeatable", []Candidate{{Rested: 2 * not}, {Rested: not}}, true, 0},
		{"refused is left to the repeatable", []Candidate{{Rested: rested, Refused: true}, {Rested: rested}}, true, 0},
		{"the one used last", []Candidate{{Rested: 2 * rested}, {Rested: rested}}, true, 1},
		{"rested before not rested", []Candidate{{Rested: rested}, {Rested: not, Refused: true}}, true, 0},
	} {
		if got := (&Endpoint{}).Choose(c.idle, c.repeatable, false, 0); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
	if (&Endpoint{}).Choose([]Candidate{{Rested: rested, Refused: true}}, false, true, 0) != 0 {
		t.Error("a new connection where refusals can be told apart")
	}
	var r Refusals
	if r.Distinct() {
		t.Error("refusals are distinct before any was seen")
	}
	for range 20 {
		r.Read(false)
	}
	if !r.Distinct() {
		t.Error("refusals that all differ are not distinct")
	}
	r.Read(true)
	if r.Read(true); r.Distinct() {
		t.Error("refusals of which two in a row are alike are distinct")
	}
	e := &Endpoint{}
	e.OutOfStep(0)
	if e.Choose([]Candidate{{Rested: rested}}, true, true, second) != -1 {
		t.Error("a connection is reused just after answers were out of step")
	}
	e.OutOfStep(suspectFirst)
	if !e.Keeps(3*suspectFirst) || e.Keeps(3*suspectFirst-1) {
		t.Error("the second time does not last twice as long as the first")
	}
	if e.Rest() != restUnknown {
		t.Error("an endpoint that was never measured")
	}
	e.Answered(300 * millisecond)
	for range 100 {
		e.Answered(10 * millisecond)
	}
	if e.Rest() != restLeast {
		t.Errorf("one slow answer long ago makes it rest %d", e.Rest())
	}
}
