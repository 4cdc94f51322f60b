package lifecycle

import (
	"errors"
	"testing"
)

const (
	early    = int64(1)
	deadline = int64(100)
)

// Guards against a transition that is allowed in a state where it does harm, or denied in a state where it is needed.
func TestTransitionsDependOnState(t *testing.T) {
	const first, second, third = 0, 1, 2 // numbers of attempts
	attempt := func(r *Request, number int) error {
		return errors.Join(r.StartAttempt(number, early), r.SendAttempt(number, early))
	}
	for _, c := range []struct {
		name string
		run  func(r *Request) error
		want error
	}{
		{"attempt before the request is stored", func(r *Request) error { return r.StartAttempt(first, early) }, ErrViolation},
		{"stored twice", func(r *Request) error { return errors.Join(r.MarkStored(), r.MarkStored()) }, ErrViolation},
		{"single attempt", func(r *Request) error { return errors.Join(r.MarkStored(), attempt(r, first)) }, nil},
		{"two concurrent attempts", func(r *Request) error { r.MarkStored(); return errors.Join(attempt(r, first), attempt(r, second)) }, ErrViolation},
		{"sent without a record", func(r *Request) error { r.MarkStored(); return r.SendAttempt(first, early) }, ErrViolation},
		{"started after the deadline", func(r *Request) error { r.MarkStored(); return r.StartAttempt(first, deadline) }, ErrDeadlinePassed},
		{"sent after the deadline", func(r *Request) error {
			r.MarkStored()
			return errors.Join(r.StartAttempt(first, early), r.SendAttempt(first, deadline))
		}, ErrDeadlinePassed},
		{"sent after the end is decided", func(r *Request) error {
			r.MarkStored()
			r.StartAttempt(first, early)
			r.DecideEnd(Undelivered)
			return r.SendAttempt(first, early)
		}, ErrEndDecided},
		{"repeated although it may have run", func(r *Request) error {
			r.MarkStored()
			attempt(r, first)
			r.FinishAttempt(first, true)
			return attempt(r, second)
		}, ErrViolation},
		{"repeated after an attempt that did not run", func(r *Request) error {
			r.MarkStored()
			attempt(r, first)
			r.FinishAttempt(first, false)
			return attempt(r, second)
		}, nil},
		// Guards against a second attempt beside one in flight, let in by the end of one that was denied before it started.
		{"started after the end of an attempt that was denied because another is in flight", func(r *Request) error {
			r.MarkStored()
			attempt(r, first)
			r.StartAttempt(second, early)
			r.FinishAttempt(second, false)
			return r.StartAttempt(third, early)
		}, ErrViolation},
		{"reported before the end is decided", func(r *Request) error { r.MarkStored(); return r.ReportEnd(early, true) }, ErrViolation},
		{"reported before the record is written", func(r *Request) error { r.MarkStored(); r.DecideEnd(Undelivered); return r.ReportEnd(early, false) }, ErrViolation},
		{"reported after the record is written", func(r *Request) error { r.MarkStored(); r.DecideEnd(Undelivered); return r.ReportEnd(early, true) }, nil},
		{"reported after the deadline", func(r *Request) error { r.MarkStored(); r.DecideEnd(Undelivered); return r.ReportEnd(deadline, false) }, nil},
		{"reported without being stored", func(r *Request) error { r.DecideEnd(Undelivered); return r.ReportEnd(early, false) }, nil},
		{"reported twice", func(r *Request) error {
			r.DecideEnd(Undelivered)
			return errors.Join(r.ReportEnd(early, true), r.ReportEnd(early, true))
		}, ErrViolation},
		{"sent after a provisional end", func(r *Request) error {
			r.MarkStored()
			r.StartAttempt(first, early)
			r.EndProvisionally(Delivered, false)
			return r.SendAttempt(first, early)
		}, ErrEndDecided},
		{"repeated although a refusal is unconfirmed", func(r *Request) error {
			r.MarkStored()
			attempt(r, first)
			r.FinishUnconfirmedRefusal(first)
			return attempt(r, second)
		}, ErrViolation},
		{"repeated after a confirmed refusal", func(r *Request) error {
			r.MarkStored()
			attempt(r, first)
			r.FinishUnconfirmedRefusal(first)
			return errors.Join(r.ConfirmRefusal(), attempt(r, second))
		}, nil},
		{"confirmation without a refusal", func(r *Request) error { return r.ConfirmRefusal() }, ErrViolation},
		{"reported while provisional", func(r *Request) error {
			r.MarkStored()
			r.EndProvisionally(Delivered, false)
			return r.ReportEnd(early, true)
		}, ErrViolation},
		{"reported after a failed confirmation", func(r *Request) error {
			r.MarkStored()
			r.EndProvisionally(Delivered, false)
			return errors.Join(r.FailConfirmation(), r.ReportEnd(early, true))
		}, nil},
		{"end confirmed twice", func(r *Request) error {
			r.EndProvisionally(Delivered, false)
			return errors.Join(r.ConfirmEnd(), r.ConfirmEnd())
		}, ErrViolation},
		{"confirmation failed after the end was confirmed", func(r *Request) error {
			r.EndProvisionally(Delivered, false)
			return errors.Join(r.ConfirmEnd(), r.FailConfirmation())
		}, ErrViolation},
	} {
		before := Violations()
		err := c.run(NewRequest("x", deadline, false))
		if (c.want == nil && err != nil) || (c.want != nil && !errors.Is(err, c.want)) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
		if counted := Violations() > before; counted != errors.Is(err, ErrViolation) {
			t.Errorf("%s: counted as a violation: got %v", c.name, counted)
		}
	}
	var c Connection
	c.MarkRequestRead()
	if err := c.CheckClose("x"); !errors.Is(err, ErrViolation) {
		t.Errorf("closed with an unanswered request: got %v, want a violation", err)
	}
	c.MarkAnswered()
	if err := c.CheckClose("x"); err != nil {
		t.Errorf("closed after the response: %v", err)
	}
}

// Guards against a response being attributed to a call although it may be a duplicate of an earlier response.
func TestResponseIsCertainOnlyIfItCannotBeDuplicate(t *testing.T) {
	ok, full, named := Response{Digest: 1}, Response{Digest: 2, NotRun: true}, Response{Digest: 3, NamesRequests: true}
	for _, c := range []struct {
		name  string
		steps []Response
		want  Attribution // of the last response
	}{
		{"first response", []Response{ok}, Certain},
		{"different response after it", []Response{ok, full}, Certain},
		{"same response after it", []Response{ok, ok}, Unconfirmed},
		{"different response after a possible duplicate", []Response{ok, ok, full}, Unconfirmed},
		{"response that names its requests", []Response{ok, ok, named}, Certain},
		{"different response after one that names its requests", []Response{ok, ok, named, full}, Certain},
		{"duplicate of a response that names its requests", []Response{named, named}, Unconfirmed},
	} {
		var tracker ResponseTracker
		got := Certain
		for _, response := range c.steps {
			got = tracker.Observe(response)
		}
		if got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
	var tracker ResponseTracker
	for i := range uint64(2 * maxSeenResponses) {
		tracker.Observe(Response{Digest: 10 + i})
	}
	if !tracker.Seen(10) || tracker.Seen(10+2*maxSeenResponses) {
		t.Error("a response that was observed does not count as seen, or one that was not does")
	}
	var fresh ResponseTracker
	if fresh.ObserveTruncated() != Certain || tracker.ObserveTruncated() != Unconfirmed {
		t.Error("truncated response: want certain if it is the first on its connection, else unconfirmed")
	}
	if tracker.Observe(full) != Unconfirmed || !tracker.SawNotRun() || len(tracker.seen) > maxSeenResponses {
		t.Error("response after maxSeenResponses distinct ones: want unconfirmed, remembered responses bounded")
	}
}
