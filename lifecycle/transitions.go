package lifecycle

import (
	"errors"
	"fmt"

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
