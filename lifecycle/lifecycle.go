// Package lifecycle is the one place that decides what may be done with a request and with a client's connection:
// started, sent, repeated, ended, told and closed. Each transition is a method that checks the state it starts from.
// What was asked for and not allowed is counted; where the program itself is at fault it is a violation.
//
// The invariant of a request: its end is told, or acted on, only once every crash from then on recovers to a state in
// which nothing more is sent for it. That is so when the record of the end is written, when its deadline has passed,
// or when it was never stored.
package lifecycle

import (
	"errors"
	"fmt"
	"sync"

	"github.com/sirupsen/logrus"

	"jaspersill/logs"
	"jaspersill/metrics"
)

// Denial is why something may not be done with a request, though nobody is at fault: two things crossed.
type Denial struct{ Reason string }

func (d *Denial) Error() string { return "lifecycle: " + d.Reason }

// The denials.
var (
	ErrDeadlinePassed = &Denial{"its deadline has passed"}
	ErrEndDecided     = &Denial{"its end is decided"}
)

// ErrViolation tells that the program asked for what its own state forbids.
var ErrViolation = errors.New("lifecycle: violation")

const (
	transitionAttempt = "attempt"
	transitionSend    = "send"
	transitionOutcome = "outcome"
	transitionReport  = "tell"
	transitionStore   = "store"
	transitionClose   = "close"
	transitionConfirm = "confirm"
	denialsMetric     = "jaspersill_denied_transitions_total"
	denialsHelp       = "Transitions of requests that were not allowed because something else came first."
	violationsMetric  = "jaspersill_violations_total"
	violationsHelp    = "Transitions that the program asked for and its own state forbids: each one is a fault of the program."
	logPart           = "node"
	denialDeadline    = "deadline"
	denialEnded       = "ended"
)

var (
	violations = metrics.NewFamily(violationsMetric, violationsHelp, "transition", transitionAttempt, transitionSend,
		transitionOutcome, transitionReport, transitionStore, transitionClose, transitionConfirm)
	denials      = metrics.NewFamily(denialsMetric, denialsHelp, "reason", denialDeadline, denialEnded)
	denialLabels = map[*Denial]string{ErrDeadlinePassed: denialDeadline, ErrEndDecided: denialEnded}
)

// Violations is how many there were in this process.
func Violations() int64 { return violations.Total() }

// violation counts a violation and logs it with what it concerns.
func violation(transition, id, reason string) error {
	violations.With(transition).Add()
	logs.Event(logPart, id).WithFields(logrus.Fields{"transition": transition, "reason": reason}).Error("violation")
	return fmt.Errorf("%w: %s: %s", ErrViolation, transition, reason)
}

func denied(d *Denial) error {
	denials.With(denialLabels[d]).Add()
	return d
}

// State is how far a request has come.
type State uint8

// The states of a request.
const (
	Received    State = iota // read from its client
	Pending                  // stored: it is owed its end, and no attempt is out
	Recording                // an attempt is chosen, and its record is being written
	InFlight                 // bytes of an attempt may have gone out
	Provisional              // an answer ended it that may be another call's
	Ending                   // its end is decided
	Ended                    // its end is told
)

func (s State) String() string {
	return [...]string{"received", "pending", "recording", "in flight", "provisional", "ending", "ended"}[s]
}

// Request is the state of one request. It may be used by any goroutine.
type Request struct {
	mu                  sync.Mutex
	id                  string
	deadline            int64 // on the clock of those who call
	repeatable          bool
	state               State
	attemptState        State // Pending, Recording or InFlight: how far the newest attempt is, whatever became of the request
	mayHaveRun          bool
	stored              bool
	unconfirmedRefusals int // attempts that are said not to have run, by answers that may be another call's
}

// NewRequest is a request that was read. It may be repeated after an attempt that may have run if repeatable.
func NewRequest(id string, deadline int64, repeatable bool) *Request {
	return &Request{id: id, deadline: deadline, repeatable: repeatable, attemptState: Pending}
}

// RestoreRequest is one that a restart found pending.
func RestoreRequest(id string, deadline int64, repeatable, mayHaveRun bool) *Request {
	r := NewRequest(id, deadline, repeatable)
	r.state, r.stored, r.mayHaveRun = Pending, true, mayHaveRun
	return r
}

// State is how far the request has come.
func (r *Request) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// MarkStored notes that the request stands in the log.
func (r *Request) MarkStored() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Received {
		return violation(transitionStore, r.id, "it is "+r.state.String())
	}
	r.state, r.stored = Pending, true
	return nil
}

// StartAttempt allows an attempt's record to be written.
func (r *Request) StartAttempt(now int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.endDecided():
		return denied(ErrEndDecided)
	case now >= r.deadline:
		return denied(ErrDeadlinePassed)
	case !r.stored:
		return violation(transitionAttempt, r.id, "it is not stored")
	case r.attemptState != Pending:
		return violation(transitionAttempt, r.id, "another one is "+r.attemptState.String())
	case (r.mayHaveRun || r.unconfirmedRefusals > 0) && !r.repeatable:
		return violation(transitionAttempt, r.id, "it may have run and may not be repeated")
	}
	r.state, r.attemptState = Recording, Recording
	return nil
}

// SendAttempt allows the first byte of an attempt whose record is written.
func (r *Request) SendAttempt(now int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.attemptState != Recording:
		return violation(transitionSend, r.id, "its attempt is "+r.attemptState.String())
	case r.endDecided():
		return denied(ErrEndDecided)
	case now >= r.deadline:
		return denied(ErrDeadlinePassed)
	}
	r.state, r.attemptState = InFlight, InFlight
	return nil
}

// RevertSend notes that no byte of an attempt went out after all. SendAttempt is asked again before the next try.
func (r *Request) RevertSend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attemptState == InFlight {
		r.attemptState = Recording
	}
	if r.state == InFlight {
		r.state = Recording
	}
}

// FinishAttempt notes that an attempt is over, or was not sent after all. One that never started has nothing to note.
func (r *Request) FinishAttempt(mayHaveRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if mayHaveRun && r.attemptState != InFlight {
		violation(transitionOutcome, r.id, "it may have run though it is "+r.attemptState.String())
	}
	r.mayHaveRun = r.mayHaveRun || mayHaveRun
	r.attemptState = Pending
	if r.state == Recording || r.state == InFlight {
		r.state = Pending
	}
}

// endDecided tells whether no attempt may follow; the lock is held.
func (r *Request) endDecided() bool {
	return r.state == Provisional || r.state == Ending || r.state == Ended
}

// FinishUnconfirmedRefusal notes that an attempt is over by an answer which says that it never ran, and which may be another call's.
func (r *Request) FinishUnconfirmedRefusal() {
	r.FinishAttempt(false)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unconfirmedRefusals++
}

// ConfirmRefusal notes that such an answer was the attempt's own.
func (r *Request) ConfirmRefusal() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unconfirmedRefusals == 0 {
		return violation(transitionConfirm, r.id, "no refusal is unconfirmed")
	}
	r.unconfirmedRefusals--
	return nil
}

// MayHaveRun tells whether an attempt may have taken effect, for all that is surely known.
func (r *Request) MayHaveRun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayHaveRun || r.unconfirmedRefusals > 0
}

// EndProvisionally notes that an answer ended the request which may be another call's. No attempt follows. It tells false
// where its end was decided before.
func (r *Request) EndProvisionally() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endDecided() {
		return false
	}
	r.state = Provisional
	return true
}

// ConfirmEnd notes that the answer was the request's own: nothing more is owed for it.
func (r *Request) ConfirmEnd() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Provisional {
		return violation(transitionConfirm, r.id, "it is "+r.state.String())
	}
	r.state = Ended
	return nil
}

// FailConfirmation notes that the answer may have been another call's: the end is still to be told.
func (r *Request) FailConfirmation() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Provisional {
		return violation(transitionConfirm, r.id, "it is "+r.state.String())
	}
	r.state = Ending
	return nil
}

// DecideEnd notes how the request ends: delivered, or by a notice or a refusal that is still to be told. It tells false
// where that was decided before.
func (r *Request) DecideEnd() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endDecided() {
		return false
	}
	r.state = Ending
	return true
}

// MayReportEnd tells whether the end may be told now: no restart would send anything for the request any more.
func (r *Request) MayReportEnd(now int64, written bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayReportEnd(now, written)
}

func (r *Request) mayReportEnd(now int64, written bool) bool {
	return written || now >= r.deadline || !r.stored
}

// ReportEnd notes that the end is told now, to the client or to the platform.
func (r *Request) ReportEnd(now int64, written bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.state != Ending:
		return violation(transitionReport, r.id, "it is "+r.state.String())
	case !r.mayReportEnd(now, written):
		return violation(transitionReport, r.id, "a restart would still send it")
	}
	r.state = Ended
	return nil
}
