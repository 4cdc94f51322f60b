package node

import (
	"errors"
	"slices"

	"jaspersill/admission"
	"jaspersill/logs"
	"jaspersill/metrics"
)

// writePermission says whether a call may be written.
type writePermission uint8

const (
	writeDenied  writePermission = iota // the call has ended
	writeDelayed                        // not now, for a reason that passes
	writeAllowed
)

// sendStage is how far an attempt had come when it was denied. Its values appear in logs and as metric labels.
type sendStage string

const (
	stageRecording sendStage = "recording" // connected, not recorded yet
	stageSending   sendStage = "sending"   // recorded, no byte written
	stageWriting   sendStage = "writing"   // written in part
)

var (
	// errNotAdmitted means that a call must not be written, or not be written to its end.
	errNotAdmitted = errors.New("an attempt of the call may not be sent any more")
	// errNotAdmittedYet means that a call must not be written for the time being.
	errNotAdmittedYet = errors.New("an attempt of the call may not be sent yet")
)

var attemptsDenied = metrics.NewCounterVec("jaspersill_attempts_denied_total",
	"Attempts that were decided and not sent, because what allowed them had ended meanwhile, by reason.", "reason", denialLabels()...)

func denialLabels() (labels []string) {
	for _, denial := range admission.Denials() {
		labels = append(labels, string(denial))
	}
	return labels
}

// judge returns whether an attempt may be sent on a connection now, and otherwise why not.
func (c *call) judge(a *attempt, conn *endpointConn) admission.Denial {
	return c.pool.admission.Judge(admission.Attempt{Request: a.event.request, Endpoint: c.endpoint, Dest: a.event.dest,
		Address: conn.address, Terms: a.terms, Revoked: a.revoked.Load()}, c.pool.clock.now())
}

// dropDenied drops the attempts that may not be sent any more. It reports whether one of the others may not be sent yet. The caller
// holds c.mu.
func (c *call) dropDenied(conn *endpointConn) (delayed bool) {
	for _, a := range slices.Clone(c.attempts) {
		switch denial := c.judge(a, conn); {
		case denial.IsTemporary():
			delayed = true
		case denial != admission.Allowed:
			c.logDenial(a, denial, stageSending)
			c.dropAttempt(a)
		}
	}
	return delayed
}

// mayWrite is called right before each system call that writes bytes of the call. It returns an error if one of the attempts may
// not be sent any more, or not yet. It is called while the call's attempts don't change, and must not take c.mu: abandon closes the connection
// under that lock, which waits until the system call has returned.
func (c *call) mayWrite(conn *endpointConn) error {
	var err error
	for _, a := range c.attempts {
		switch denial := c.judge(a, conn); {
		case denial.IsTemporary():
			err = errNotAdmittedYet
		case denial != admission.Allowed:
			return errNotAdmitted
		}
	}
	return err
}

// logDenied logs which attempts stopped a call that is written in part. It is called while the call's attempts don't change.
func (c *call) logDenied(conn *endpointConn) {
	for _, a := range c.attempts {
		if denial := c.judge(a, conn); denial != admission.Allowed {
			c.logDenial(a, denial, stageWriting)
		}
	}
}

// logDenial logs and counts that an attempt is not sent.
func (c *call) logDenial(a *attempt, denial admission.Denial, stage sendStage) {
	attemptsDenied.With(string(denial)).Inc()
	logs.Event("endpoints", a.event.id).WithField("attempt", a.number).WithField("endpoint", c.endpoint).
		WithField("reason", string(denial)).WithField("stage", string(stage)).
		WithField("waited_ms", (c.pool.clock.now()-a.startedAt)/1e6).Info("attempt not sent: it is no longer allowed")
}
