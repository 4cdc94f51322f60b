package lifecycle

import (
	"errors"
	"testing"
)

// Guards against an end that is undone: a request that is forwarded again, or ended a second time, after an endpoint, a notice, its client's
// refusal or departure, its deadline or the end of the process ended it.
func TestEndsAreUndoneOnlyWhereAllowed(t *testing.T) {
	type request = *Request
	provisionally := func(end End, resendable bool) func(request) {
		return func(r request) { r.EndProvisionally(end, resendable) }
	}
	decided := func(end End) func(request) { return func(r request) { r.DecideEnd(end) } }
	then := func(steps ...func(request)) func(request) {
		return func(r request) {
			for _, step := range steps {
				step(r)
			}
		}
	}
	confirm := func(r request) { r.ConfirmEnd() }
	fail := func(r request) { r.FailConfirmation() }
	report := func(r request) { r.ReportEnd(early, true) }
	nothing := func(request) {}
	for _, c := range []struct {
		name       string
		repeatable bool
		reach      func(request) // the end, of a request that is stored and was sent
		now        int64
		attempt    error // of another attempt
		reopen     error
		notice     error // of a notice, after the end is reported to stay in doubt
		endsAgain  bool  // whether another end can be decided
	}{
		{"no end", true, nothing, early, nil, ErrViolation, ErrViolation, true},
		{"no end, deadline passed", true, nothing, deadline, ErrDeadlinePassed, ErrViolation, ErrViolation, true},
		{"no end, handed over", true, request.HandOver, early, nil, ErrViolation, ErrViolation, true},
		{"200, certain", true, decided(Delivered), early, ErrEndDecided, ErrViolation, ErrViolation, false},
		{"200, reported", true, then(decided(Delivered), report), early, ErrEndDecided, ErrViolation, ErrViolation, false},
		{"200, in doubt", true, provisionally(Delivered, true), early, ErrEndDecided, nil, nil, false},
		{"200, in doubt, confirmed", true, then(provisionally(Delivered, true), confirm), early, ErrEndDecided, ErrViolation, ErrViolation, false},
		{"200, in doubt, to be told", true, then(provisionally(Delivered, true), fail), early, ErrEndDecided, ErrViolation, ErrViolation, false},
		{"200, in doubt, deadline passed", true, provisionally(Delivered, true), deadline, ErrEndDecided, ErrDeadlinePassed, nil, false},
		{"200, in doubt, handed over", true, then(provisionally(Delivered, true), request.HandOver), early, ErrEndDecided, ErrHandedOver, nil, false},
		{"200, in doubt, not kept", true, provisionally(Delivered, false), early, ErrEndDecided, ErrViolation, nil, false},
		{"200, in doubt, not repeatable", false, provisionally(Delivered, true), early, ErrEndDecided, ErrViolation, nil, false},
		{"410, certain", true, decided(Gone), early, ErrEndDecided, ErrViolation, ErrViolation, false},
		{"410, in doubt", true, provisionally(Gone, true), early, ErrEndDecided, ErrViolation, nil, false},
		{"410, in doubt, deadline passed", true, provisionally(Gone, true), deadline, ErrEndDecided, ErrViolation, nil, false},
		{"410, in doubt, handed over", true, then(provisionally(Gone, true), request.HandOver), early, ErrEndDecided, ErrViolation, nil, false},
		{"410, in doubt, confirmed", true, then(provisionally(Gone, true), confirm), early, ErrEndDecided, ErrViolation, ErrViolation, false},
		{"410, in doubt, told", true, then(provisionally(Gone, true), fail, report), early, ErrEndDecided, ErrViolation, ErrViolation, false},
		{"410, in doubt, not repeatable", false, provisionally(Gone, true), early, ErrEndDecided, ErrViolation, nil, false},
		{"notice decided", true, decided(Undelivered), early, ErrEndDecided, ErrViolation, ErrViolation, false},
		{"notice sent", true, then(decided(Undelivered), report), early, ErrEndDecided, ErrViolation, ErrViolation, false},
		{"refusal decided", true, decided(Refused), early, ErrEndDecided, ErrViolation, ErrViolation, false},
		{"refusal sent", true, then(decided(Refused), report), early, ErrEndDecided, ErrViolation, ErrViolation, false},
	} {
		inState := func() *Request {
			r := RestoreRequest("x", deadline, c.repeatable, false)
			c.reach(r)
			return r
		}
		check := func(what string, got, want error) {
			if (want == nil && got != nil) || (want != nil && !errors.Is(got, want)) {
				t.Errorf("%s: %s: %v, want %v", c.name, what, got, want)
			}
		}
		check("another attempt", inState().StartAttempt(0, c.now), c.attempt)
		reopened := inState()
		check("sent again", reopened.Reopen(c.now), c.reopen)
		if c.reopen == nil {
			check("attempt after it is reopened", reopened.StartAttempt(0, c.now), nil)
		}
		check("told by notice", inState().FailConfirmation(), c.notice)
		if got := inState().DecideEnd(Undelivered); got != c.endsAgain {
			t.Errorf("%s: another end decided: %v, want %v", c.name, got, c.endsAgain)
		}
		if _, got := inState().EndProvisionally(Gone, true); got != c.endsAgain {
			t.Errorf("%s: another end by a response: %v, want %v", c.name, got, c.endsAgain)
		}
	}
	withdrawn := NewRequest("x", deadline, true)
	if err := withdrawn.Withdraw(); err != nil || withdrawn.End() != Withdrawn {
		t.Errorf("withdrawn before it is stored: %v, end %v", err, withdrawn.End())
	}
	if err := withdrawn.StartAttempt(0, early); !errors.Is(err, ErrEndDecided) {
		t.Errorf("attempt of a withdrawn request: %v", err)
	}
	if err := RestoreRequest("x", deadline, true, false).Withdraw(); !errors.Is(err, ErrViolation) {
		t.Errorf("withdrawn after it was accepted: %v", err)
	}
}

// Guards against a record that lets a restart forward a request again which must not be, or forget one whose end is in doubt.
func TestEndInDoubtLeavesRecordForRestart(t *testing.T) {
	for _, c := range []struct {
		end        End
		resendable bool
		want       Sequel
	}{
		{Delivered, true, RepeatSends},
		{Delivered, false, SendNotice},
		{Gone, true, SendNotice},
		{Gone, false, SendNotice},
		{NotEnded, true, NoSequel},
		{Undelivered, true, NoSequel},
		{Refused, true, NoSequel},
		{Withdrawn, true, NoSequel},
	} {
		r := RestoreRequest("x", deadline, true, false)
		if got, ok := r.EndProvisionally(c.end, c.resendable); got != c.want || ok != (c.want != NoSequel) {
			t.Errorf("%v, resendable %v: %v, %v, want %v", c.end, c.resendable, got, ok, c.want)
		}
	}
}
