package lifecycle

import (
	"errors"
	"testing"
)

const (
	early    = int64(1)
	deadline = int64(100)
)

// Guards against transitions that are allowed from a state in which they do harm, or denied where they are owed.
func TestTransitionsAreAllowedOnlyFromTheirStates(t *testing.T) {
	attempt := func(r *Request) error { return errors.Join(r.StartAttempt(early), r.SendAttempt(early)) }
	for _, c := range []struct {
		name string
		play func(r *Request) error
		want error
	}{
		{"an attempt before it is stored", func(r *Request) error { return r.StartAttempt(early) }, ErrViolation},
		{"stored twice", func(r *Request) error { return errors.Join(r.Store(), r.Store()) }, ErrViolation},
		{"an attempt", func(r *Request) error { return errors.Join(r.Store(), attempt(r)) }, nil},
		{"two attempts at once", func(r *Request) error { r.Store(); return errors.Join(attempt(r), attempt(r)) }, ErrViolation},
		{"sent without a record", func(r *Request) error { r.Store(); return r.SendAttempt(early) }, ErrViolation},
		{"started after the deadline", func(r *Request) error { r.Store(); return r.StartAttempt(deadline) }, ErrDeadline},
		{"sent after the deadline", func(r *Request) error {
			r.Store()
			return errors.Join(r.StartAttempt(early), r.SendAttempt(deadline))
		}, ErrDeadline},
		{"sent after the end", func(r *Request) error {
			r.Store()
			r.StartAttempt(early)
			r.Decide()
			return r.SendAttempt(early)
		}, ErrEnded},
		{"repeated though it may have run", func(r *Request) error {
			r.Store()
			attempt(r)
			r.FinishAttempt(true)
			return attempt(r)
		}, ErrViolation},
		{"repeated after it never ran", func(r *Request) error {
			r.Store()
			attempt(r)
			r.FinishAttempt(false)
			return attempt(r)
		}, nil},
		{"told before its end", func(r *Request) error { r.Store(); return r.Tell(early, true) }, ErrViolation},
		{"told before its record", func(r *Request) error { r.Store(); r.Decide(); return r.Tell(early, false) }, ErrViolation},
		{"told with its record", func(r *Request) error { r.Store(); r.Decide(); return r.Tell(early, true) }, nil},
		{"told after the deadline", func(r *Request) error { r.Store(); r.Decide(); return r.Tell(deadline, false) }, nil},
		{"told, never stored", func(r *Request) error { r.Decide(); return r.Tell(early, false) }, nil},
		{"told twice", func(r *Request) error {
			r.Decide()
			return errors.Join(r.Tell(early, true), r.Tell(early, true))
		}, ErrViolation},
	} {
		before := Violations()
		err := c.play(NewRequest("x", deadline, false))
		if (c.want == nil && err != nil) || (c.want != nil && !errors.Is(err, c.want)) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
		if counted := Violations() > before; counted != errors.Is(err, ErrViolation) {
			t.Errorf("%s: counted as a violation: %v", c.name, counted)
		}
	}
	var c Connection
	c.ReadRequest()
	if err := c.Close("x"); !errors.Is(err, ErrViolation) {
		t.Errorf("closed with a request unanswered: %v", err)
	}
	c.Answer()
	if err := c.Close("x"); err != nil {
		t.Errorf("closed after its answer: %v", err)
	}
}
