package node

import (
	"errors"
	"slices"
	"time"

	"jaspersill/admission"
	"jaspersill/delivery"
)

const recordRetryInterval = 10 * time.Millisecond // between tries while the journal cannot be written

// recordAttempts writes the call's attempts to the journal just before the request is written: the process may end while
// an attempt is in flight, and after a restart an attempt without a record counts as not run. No lock is held meanwhile,
// since the disk may be slow; abandon and recall leave ending the call or dropping the attempt to this goroutine. An
// attempt that may no longer be sent on the connection is dropped without a record. It returns false if the call has ended.
func (c *call) recordAttempts(conn *endpointConn) bool {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return false
	}
	c.progress = progressRecording
	attempts := slices.Clone(c.attempts)
	c.mu.Unlock()
	recorded := make(map[*attempt]bool, len(attempts))
	for _, a := range attempts {
		recorded[a] = c.recordAttempt(a, conn)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range attempts {
		if !recorded[a] || a.revoked.Load() {
			c.dropAttempt(a)
		}
	}
	return !c.ended
}

// recordAttempt writes one attempt to the journal, retrying for as long as the attempt is wanted. It reports whether the
// record was written.
func (c *call) recordAttempt(a *attempt, conn *endpointConn) bool {
	denial := c.judge(a, conn)
	for ; denial.IsTemporary() && c.recordStillWanted(a); denial = c.judge(a, conn) {
		time.Sleep(recordRetryInterval)
	}
	if denial != admission.Allowed {
		c.logDenial(a, denial, stageRecording)
		return false
	}
	if a.event.request.StartAttempt(a.number, c.pool.clock.now()) != nil {
		return false
	}
	for {
		err := c.pool.journal.recordAttempt(a.event, a.number, c.pool.clock.timeOfDay(), c.pool.zone(c.endpoint))
		if err == nil {
			return true
		}
		if errors.Is(err, errNotPending) || !c.recordStillWanted(a) {
			return false
		}
		c.pool.journal.writeFailures.record(err)
		time.Sleep(recordRetryInterval)
	}
}

// recordStillWanted reports whether an attempt whose record could not be written yet is still to be sent.
func (c *call) recordStillWanted(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.abandoned && !a.revoked.Load() && c.pool.clock.now() < a.event.monoDeadline
}

// dropAttempt removes an attempt from a call of which nothing has been sent. The caller holds c.mu.
func (c *call) dropAttempt(a *attempt) {
	if i := slices.Index(c.attempts, a); i >= 0 {
		c.attempts = slices.Delete(c.attempts, i, i+1)
		c.reportOutcome(a, result{outcome: delivery.Unsent})
	}
	if c.ended = c.ended || len(c.attempts) == 0; c.ended && c.cancelDial != nil {
		c.cancelDial()
	}
}
