// Package lifecycle is the only place that decides which state transitions of a request and of a client connection are
// allowed: starting, sending and repeating attempts, ending a request, reporting its end, and closing a connection. Each
// transition is a method that checks the current state. Transitions that are not allowed are counted. Those caused by a
// bug in the program are violations.
//
// Invariant of a request: its end is reported, or acted on, only once recovery from a crash at any later time would send
// nothing more for it. That holds when the record of the end is durable, when the deadline has passed, or when the
// request was never stored.
package lifecycle

import (
	"errors"
	"fmt"
	"sync"

	"github.com/sirupsen/logrus"

	"jaspersill/logs"
	"jaspersill/metrics"
)

// Denial is the reason why a transition is not allowed although there is no bug: two concurrent operations raced.
type Denial struct{ Reason string }

func (d *Denial) Error() string { return "lifecycle: " + d.Reason }

var (
	ErrDeadlinePassed = &Denial{"deadline has passed"}
	ErrEndDecided     = &Denial{"end of the request is already decided"}
	ErrHandedOver     = &Denial{"request is left to the next process"}
)

// ErrViolation means that the program requested a transition which its own state forbids.
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
	denialHandedOver  = "handed_over"
)

var (
	violations = metrics.NewCounterVec(violationsMetric, violationsHelp, "transition", transitionAttempt, transitionSend,
		transitionOutcome, transitionReport, transitionStore, transitionClose, transitionConfirm)
	denials      = metrics.NewCounterVec(denialsMetric, denialsHelp, "reason", denialDeadline, denialEnded, denialHandedOver)
	denialLabels = map[*Denial]string{ErrDeadlinePassed: denialDeadline, ErrEndDecided: denialEnded, ErrHandedOver: denialHandedOver}
)

// Violations returns the number of violations in this process.
func Violations() int64 { return violations.Total() }

// violation counts and logs a violation and returns it as an error. id is the request, or the client of a connection.
func violation(transition, id, reason string) error {
	violations.With(transition).Inc()
	logs.Event(logPart, id).WithFields(logrus.Fields{"transition": transition, "reason": reason}).
		Error("lifecycle violation: forbidden state transition")
	return fmt.Errorf("%w: %s: %s", ErrViolation, transition, reason)
}

// denied counts a denial and returns it.
func denied(d *Denial) error {
	denials.With(denialLabels[d]).Inc()
	return d
}

// State is the progress of a request.
type State uint8

const (
	Received    State = iota // read from its client
	Pending                  // stored and unfinished, with no attempt in flight
	Recording                // an attempt was chosen and its record is being written
	InFlight                 // bytes of an attempt may have been sent
	Provisional              // ended by a response that may belong to another call
	Ending                   // its end is decided but not reported
	Ended                    // its end was reported, or nothing is left to report
)

func (s State) String() string {
	return [...]string{"received", "pending", "recording", "in flight", "provisional", "ending", "ended"}[s]
}

// Request is the state machine of one request. It is safe for concurrent use.
type Request struct {
	mu                  sync.Mutex
	id                  string
	deadline            int64 // on the caller's clock
	repeatable          bool
	state               State
	attempt             int   // number of the attempt that was started last
	attemptState        State // Pending, Recording or InFlight: progress of that attempt, independent of state
	mayHaveRun          bool
	stored              bool
	unconfirmedRefusals int    // attempts reported as not run by responses that may belong to another call
	end                 End    // how it ended, provisionally or for good
	sequel              Sequel // while it is ended provisionally: what follows if the end stays in doubt
	handedOver          bool
}

// NewRequest returns the state of a request that was just read. If repeatable, it may be sent again after an attempt that
// may have run.
func NewRequest(id string, deadline int64, repeatable bool) *Request {
	return &Request{id: id, deadline: deadline, repeatable: repeatable, attemptState: Pending}
}

// RestoreRequest returns the state of a request that was found pending in the store after a restart.
func RestoreRequest(id string, deadline int64, repeatable, mayHaveRun bool) *Request {
	r := NewRequest(id, deadline, repeatable)
	r.state, r.stored, r.mayHaveRun = Pending, true, mayHaveRun
	return r
}

// End returns how the request ended.
func (r *Request) End() End {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end
}

// State returns the progress of the request.
func (r *Request) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// MarkStored records that the request is in the store.
func (r *Request) MarkStored() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Received {
		return violation(transitionStore, r.id, "request is "+r.state.String())
	}
	r.state, r.stored = Pending, true
	return nil
}

// StartAttempt permits writing the record of the attempt with this number. The other methods on attempts take the number
// too, so that what becomes of an attempt that was denied cannot be taken for the end of the one in flight.
func (r *Request) StartAttempt(number int, now int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.endDecided():
		return denied(ErrEndDecided)
	case now >= r.deadline:
		return denied(ErrDeadlinePassed)
	case !r.stored:
		return violation(transitionAttempt, r.id, "request is not stored")
	case r.attemptState != Pending:
		return violation(transitionAttempt, r.id, "another attempt is "+r.attemptState.String())
	case (r.mayHaveRun || r.unconfirmedRefusals > 0) && !r.repeatable:
		return violation(transitionAttempt, r.id, "request may have run and is not repeatable")
	}
	r.state, r.attempt, r.attemptState = Recording, number, Recording
	return nil
}

// SendAttempt permits sending the first byte of an attempt whose record is written.
func (r *Request) SendAttempt(number int, now int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state := r.stateOf(number); {
	case state != Recording:
		return violation(transitionSend, r.id, "attempt is "+state.String())
	case r.endDecided():
		return denied(ErrEndDecided)
	case now >= r.deadline:
		return denied(ErrDeadlinePassed)
	}
	r.state, r.attemptState = InFlight, InFlight
	return nil
}

// RevertSend records that no byte of an attempt was sent after all. SendAttempt must be called again before the next try.
func (r *Request) RevertSend(number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stateOf(number) != InFlight {
		return
	}
	r.attemptState = Recording
	if r.state == InFlight {
		r.state = Recording
	}
}

// FinishAttempt records that an attempt has finished or was not sent after all. It has no effect on the state if that
// attempt was not started.
func (r *Request) FinishAttempt(number int, mayHaveRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishAttempt(number, mayHaveRun)
}

// finishAttempt is FinishAttempt with the lock held by the caller.
func (r *Request) finishAttempt(number int, mayHaveRun bool) {
	state := r.stateOf(number)
	if mayHaveRun && state != InFlight {
		violation(transitionOutcome, r.id, "attempt may have run but is "+state.String())
	}
	r.mayHaveRun = r.mayHaveRun || mayHaveRun
	if state == Pending {
		return
	}
	r.attemptState = Pending
	if r.state == Recording || r.state == InFlight {
		r.state = Pending
	}
}

// stateOf returns the progress of an attempt, which is Pending for all but the one that was started last. The caller holds
// the lock.
func (r *Request) stateOf(number int) State {
	if number != r.attempt {
		return Pending
	}
	return r.attemptState
}

// endDecided reports whether no further attempt may follow. The caller holds the lock.
func (r *Request) endDecided() bool {
	return r.state == Provisional || r.state == Ending || r.state == Ended
}

// FinishUnconfirmedRefusal records that an attempt was finished by a response which states that it was not executed, and
// which may belong to another call.
func (r *Request) FinishUnconfirmedRefusal(number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishAttempt(number, false)
	r.unconfirmedRefusals++
}

// ConfirmRefusal records that a response passed to FinishUnconfirmedRefusal did belong to its attempt.
func (r *Request) ConfirmRefusal() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unconfirmedRefusals == 0 {
		return violation(transitionConfirm, r.id, "no refusal awaits confirmation")
	}
	r.unconfirmedRefusals--
	return nil
}

// MayHaveRun reports whether an attempt may have taken effect. Unconfirmed refusals count as may have run.
func (r *Request) MayHaveRun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayHaveRun || r.unconfirmedRefusals > 0
}

// EndProvisionally records that the request was ended by a response that may belong to another call. It returns what follows
// if that stays in doubt, which is also what a record of the request has to allow for until then: a restart leaves it in doubt. It
// returns false if the end was already decided. resendable tells whether the request may be sent again and is kept for that.
func (r *Request) EndProvisionally(end End, resendable bool) (sequel Sequel, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endDecided() {
		return NoSequel, false
	}
	if sequel = end.inDoubt(resendable && r.repeatable); sequel == NoSequel {
		violation(transitionConfirm, r.id, "request cannot be "+end.String()+" by a response")
		return NoSequel, false
	}
	r.state, r.end, r.sequel = Provisional, end, sequel
	return sequel, true
}

// ConfirmEnd records that the response which ended the request provisionally did belong to it: nothing is left to do.
func (r *Request) ConfirmEnd() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Provisional {
		return violation(transitionConfirm, r.id, "request is "+r.state.String())
	}
	r.state = Ended
	return nil
}

// FailConfirmation records that the response which ended the request provisionally could not be confirmed: the end still
// has to be reported.
func (r *Request) FailConfirmation() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Provisional {
		return violation(transitionConfirm, r.id, "request is "+r.state.String())
	}
	r.state, r.end = Ending, Undelivered
	return nil
}

// Reopen records that the response which ended the request provisionally could not be confirmed, and that the request is
// pending again: it may have run, and may be repeated. It is the only transition that undoes an end.
func (r *Request) Reopen(now int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.state != Provisional:
		return violation(transitionConfirm, r.id, "request is "+r.state.String())
	case r.sequel != RepeatSends:
		return violation(transitionConfirm, r.id, "request is "+r.end.String()+" and must not be sent again")
	case r.handedOver:
		return denied(ErrHandedOver)
	case now >= r.deadline:
		return denied(ErrDeadlinePassed)
	}
	r.state, r.end, r.sequel, r.mayHaveRun = Pending, NotEnded, NoSequel, true
	return nil
}

// HandOver records that this process decides nothing more: a request that has not ended is left to the next process, as its
// record says. An attempt that was chosen before may still be sent, and end the request.
func (r *Request) HandOver() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handedOver = true
}

// DecideEnd records that the end of the request is decided: it was delivered, or a notice or a refusal is still to be
// reported. It returns false if the end was already decided.
func (r *Request) DecideEnd(end End) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endDecided() {
		return false
	}
	r.state, r.end = Ending, end
	return true
}

// Withdraw records that the client left before it was told that the request is accepted. Nothing is owed.
func (r *Request) Withdraw() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Received {
		return violation(transitionStore, r.id, "request is "+r.state.String())
	}
	r.state, r.end = Ended, Withdrawn
	return nil
}

// MayReportEnd reports whether the end may be reported now, which is so once no restart would send anything more for the
// request. written tells whether the record of the end is durable.
func (r *Request) MayReportEnd(now int64, written bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayReportEnd(now, written)
}

func (r *Request) mayReportEnd(now int64, written bool) bool {
	return written || now >= r.deadline || !r.stored
}

// ReportEnd records that the end is being reported, to the client or to the platform.
func (r *Request) ReportEnd(now int64, written bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.state != Ending:
		return violation(transitionReport, r.id, "request is "+r.state.String())
	case !r.mayReportEnd(now, written):
		return violation(transitionReport, r.id, "a restart would still send the request")
	}
	r.state = Ended
	return nil
}
