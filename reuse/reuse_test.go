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
		{"rested", []Candidate{{rested, false}}, false, 0},
		{"not rested, once", []Candidate{{not, false}}, false, -1},
		{"refused, once", []Candidate{{rested, true}}, false, -1},
		{"not rested, repeatable", []Candidate{{2 * not, false}, {not, false}}, true, 0},
		{"refused is left to the repeatable", []Candidate{{rested, true}, {rested, false}}, true, 0},
		{"the one used last", []Candidate{{2 * rested, false}, {rested, false}}, true, 1},
		{"rested before not rested", []Candidate{{rested, false}, {not, true}}, true, 0},
	} {
		if got := (&Endpoint{}).Choose(c.idle, c.repeatable, 0); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
	e := &Endpoint{}
	e.OutOfStep(0)
	if e.Choose([]Candidate{{rested, false}}, true, second) != -1 {
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
