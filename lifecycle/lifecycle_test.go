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
		{"stored twice", func(r *Request) error { return errors.Join(r.MarkStored(), r.MarkStored()) }, ErrViolation},
		{"an attempt", func(r *Request) error { return errors.Join(r.MarkStored(), attempt(r)) }, nil},
		{"two attempts at once", func(r *Request) error { r.MarkStored(); return errors.Join(attempt(r), attempt(r)) }, ErrViolation},
		{"sent without a record", func(r *Request) error { r.MarkStored(); return r.SendAttempt(early) }, ErrViolation},
		{"started after the deadline", func(r *Request) error { r.MarkStored(); return r.StartAttempt(deadline) }, ErrDeadlinePassed},
		{"sent after the deadline", func(r *Request) error {
			r.MarkStored()
			return errors.Join(r.StartAttempt(early), r.SendAttempt(deadline))
		}, ErrDeadlinePassed},
		{"sent after the end", func(r *Request) error {
			r.MarkStored()
			r.StartAttempt(early)
			r.DecideEnd()
			return r.SendAttempt(early)
		}, ErrEndDecided},
		{"repeated though it may have run", func(r *Request) error {
			r.MarkStored()
			attempt(r)
			r.FinishAttempt(true)
			return attempt(r)
		}, ErrViolation},
		{"repeated after it never ran", func(r *Request) error {
			r.MarkStored()
			attempt(r)
			r.FinishAttempt(false)
			return attempt(r)
		}, nil},
		{"told before its end", func(r *Request) error { r.MarkStored(); return r.ReportEnd(early, true) }, ErrViolation},
		{"told before its record", func(r *Request) error { r.MarkStored(); r.DecideEnd(); return r.ReportEnd(early, false) }, ErrViolation},
		{"told with its record", func(r *Request) error { r.MarkStored(); r.DecideEnd(); return r.ReportEnd(early, true) }, nil},
		{"told after the deadline", func(r *Request) error { r.MarkStored(); r.DecideEnd(); return r.ReportEnd(deadline, false) }, nil},
		{"told, never stored", func(r *Request) error { r.DecideEnd(); return r.ReportEnd(early, false) }, nil},
		{"told twice", func(r *Request) error {
			r.DecideEnd()
			return errors.Join(r.ReportEnd(early, true), r.ReportEnd(early, true))
		}, ErrViolation},
		{"sent after a provisional end", func(r *Request) error {
			r.MarkStored()
			r.StartAttempt(early)
			r.EndProvisionally()
			return r.SendAttempt(early)
		}, ErrEndDecided},
		{"repeated though a refusal is unconfirmed", func(r *Request) error {
			r.MarkStored()
			attempt(r)
			r.FinishUnconfirmedRefusal()
			return attempt(r)
		}, ErrViolation},
		{"repeated after a confirmed refusal", func(r *Request) error {
			r.MarkStored()
			attempt(r)
			r.FinishUnconfirmedRefusal()
			return errors.Join(r.ConfirmRefusal(), attempt(r))
		}, nil},
		{"a refusal confirmed that was none", func(r *Request) error { return r.ConfirmRefusal() }, ErrViolation},
		{"told while provisional", func(r *Request) error { r.MarkStored(); r.EndProvisionally(); return r.ReportEnd(early, true) }, ErrViolation},
		{"told after a doubt", func(r *Request) error {
			r.MarkStored()
			r.EndProvisionally()
			return errors.Join(r.FailConfirmation(), r.ReportEnd(early, true))
		}, nil},
		{"confirmed twice", func(r *Request) error {
			r.EndProvisionally()
			return errors.Join(r.ConfirmEnd(), r.ConfirmEnd())
		}, ErrViolation},
		{"doubted after it was confirmed", func(r *Request) error {
			r.EndProvisionally()
			return errors.Join(r.ConfirmEnd(), r.FailConfirmation())
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
	c.MarkRequestRead()
	if err := c.CheckClose("x"); !errors.Is(err, ErrViolation) {
		t.Errorf("closed with a request unanswered: %v", err)
	}
	c.MarkAnswered()
	if err := c.CheckClose("x"); err != nil {
		t.Errorf("closed after its answer: %v", err)
	}
}

// Guards against an answer that is believed to be a call's though it may be a copy of an earlier one.
func TestAnAnswerIsCertainOnlyWhereItCanBeNoCopy(t *testing.T) {
	const prove = "prove"
	ok, full, named := Answer{Digest: 1}, Answer{Digest: 2, NotRun: true}, Answer{Digest: 3, NamesRequests: true}
	for _, c := range []struct {
		name string
		play []any
		want Attribution // of the last
	}{
		{"the first", []any{ok}, Certain},
		{"another after it", []any{ok, full}, Certain},
		{"the same after it", []any{ok, ok}, Unconfirmed},
		{"the same after a rest", []any{ok, prove, ok}, Unconfirmed},
		{"another behind one that may be a copy", []any{ok, ok, full}, Unconfirmed},
		{"another behind it, after a rest", []any{ok, ok, prove, full}, Certain},
		{"one that names its requests", []any{ok, ok, named}, Certain},
		{"another behind one that names its requests", []any{ok, ok, named, full}, Certain},
		{"one that names them for the second time", []any{named, named}, Unconfirmed},
	} {
		var s AnswerTracker
		got := Certain
		for _, step := range c.play {
			if answer, read := step.(Answer); read {
				got = s.Observe(answer)
			} else {
				s.MarkInSync()
			}
		}
		if got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
	var s AnswerTracker
	for i := range uint64(2 * maxSeenAnswers) {
		s.Observe(Answer{Digest: 10 + i})
		s.MarkInSync()
	}
	var cut AnswerTracker
	if cut.ObserveTruncated() != Certain || s.ObserveTruncated() != Unconfirmed {
		t.Error("half an answer is certain only where it is the first")
	}
	if s.Observe(full) != Unconfirmed || !s.SawNotRun() || len(s.seen) > maxSeenAnswers {
		t.Error("a connection with too many answers to know them all takes one for new")
	}
}
