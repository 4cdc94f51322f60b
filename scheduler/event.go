package scheduler

import (
	"math"

	"jaspersill/delivery"
)

const (
	// Retries.

	refusalBaseDelay      = 5 * second  // longest base delay after a refusal; the default of the retry rule
	refusalBaseDivisor    = 10          // the base delay is at most max age / 10, to leave time for several attempts
	refusalBackoff        = 1 * second  // added after the first refusal, then doubling; the default of the retry rule
	refusalBackoffDivisor = 50          // the addition starts at no more than max age / 50, for the same reason
	errorBackoff          = second / 5  // delay after the first other error, then doubling: allows one quick retry
	maxSpreadShare        = 0.4         // refused events are spread over at most this share of their remaining time
	jitterShare           = 0.5         // delays grow randomly by up to half: spreads the nodes but keeps attempts in order
	finalAnswerMargin     = second / 50 // final answers are given this long before max age: the time of a few rounds

	// Deduplication windows.

	dedupMargin            = second / 10 // a repeat is sent at least this long before the dedup window ends, to cover transit
	attemptsPerDedupWindow = 2           // a send takes at most half of the dedup window, which leaves the rest for a repeat
)

// eventRef refers to one event. The index of an ended event is assigned again, its arrival number is not.
type eventRef struct {
	index   int32
	arrival uint64
}

type event struct {
	arrival                                       uint64 // number of the event since the start of the process
	typ, sends, refusals, errors                  int
	dest, call                                    int32 // call is -1 while no send is in flight
	key                                           uint64
	arrivedAt, deadline, notBefore, sentAt, ranAt int64   // sentAt: last send; ranAt: first send that may have run
	slo                                           int64   // SLO time, extended by the event's work where the type says so
	value, waitCost                               float64 // utility if in time; utility lost by waiting on
	ranZone                                       int
	possiblyRan, live, cancelled, unsentCancelled bool
	unconfirmed                                   []unconfirmed
}

// unconfirmed is a send that did not run according to an answer that may belong to another call.
type unconfirmed struct {
	send   int
	sentAt int64
	zone   int
}

// retry schedules the next send of an event after a failed one, or ends the event.
func (s *Scheduler) retry(evt, ep int32, outcome delivery.Outcome, retryAfter int64) {
	e, t := &s.events[evt], &s.types[s.events[evt].typ]
	delay := retryAfter
	switch {
	case outcome == delivery.Refused && retryAfter == 0:
		delay = min(refusalBaseDelay, t.MaxAge/refusalBaseDivisor) +
			min(refusalBackoff, t.MaxAge/refusalBackoffDivisor)<<min(e.refusals, 20)
		e.refusals++
	case outcome != delivery.Refused:
		delay = errorBackoff << min(e.errors, 20)
		e.errors++
	}
	if retryAfter == 0 {
		delay += int64(s.rng.float() * jitterShare * float64(delay))
	}
	// Events refused at many nodes together would all be retried at once. Spread them over the time in which this node's
	// part of the limit allows one call.
	if limit := s.limiters.limit[s.endpoints.limiter[ep]]; outcome == delivery.Refused && limit > 0 {
		maxSpread := maxSpreadShare * float64(max(0, s.lastSendTime(e)-s.now-delay))
		delay += int64(s.rng.float() * min(s.limiters.nodes/limit*float64(second), maxSpread))
	}
	e.notBefore = s.now + delay
	if e.notBefore >= s.lastSendTime(e) && !s.awaitsConfirmation(e) {
		s.finish(evt, delay)
		return
	}
	s.enqueue(evt)
}

// lastSendTime returns the time from which an event must not be sent any more: it would arrive too late, or could take
// effect twice because the destination no longer recognizes the duplicate, or never does.
func (s *Scheduler) lastSendTime(e *event) int64 {
	switch t := &s.types[e.typ]; {
	case s.awaitsConfirmation(e):
		return e.deadline
	case e.sends >= s.limits.MaxAttempts || (e.possiblyRan && t.Safety == delivery.NonIdempotent):
		return min(s.now, e.deadline)
	}
	return min(e.deadline, s.dedupWindowEnd(e))
}

// awaitsConfirmation reports whether an event may only be sent again once its refusals are confirmed. Until then it is
// neither sent nor ended: most of them are.
func (s *Scheduler) awaitsConfirmation(e *event) bool {
	return len(e.unconfirmed) > 0 && !e.possiblyRan && s.types[e.typ].Safety == delivery.NonIdempotent
}

// dedupWindowEnd returns the time until which a repeat of the event is safely recognized as a duplicate.
func (s *Scheduler) dedupWindowEnd(e *event) int64 {
	if t := &s.types[e.typ]; e.mayHaveRun() && t.Safety == delivery.Deduplicated {
		at, _ := e.firstPossibleRun()
		return at + t.DedupWindow - dedupMargin
	}
	return math.MaxInt64
}

// mayHaveRun reports whether a send may have taken effect.
func (e *event) mayHaveRun() bool { return e.possiblyRan || len(e.unconfirmed) > 0 }

// firstPossibleRun returns when, and to which zone, the first send left that may have run.
func (e *event) firstPossibleRun() (at int64, zone int) {
	at, zone = e.ranAt, e.ranZone
	if !e.possiblyRan {
		at = math.MaxInt64
	}
	for _, u := range e.unconfirmed {
		if u.sentAt < at {
			at, zone = u.sentAt, u.zone
		}
	}
	return at, zone
}

// finish ends an event now. It is declined, with a retry-after time, if no send can have taken effect, and otherwise
// discarded.
func (s *Scheduler) finish(evt int32, retryAfter int64) {
	if s.stopped {
		return
	}
	if e := &s.events[evt]; e.mayHaveRun() || e.call >= 0 {
		if e.call >= 0 { // a send that is still connecting must not leave after the client has its final answer
			s.exec.CancelUnsent(evt, e.sends-1)
		}
		s.exec.Discard(evt)
	} else {
		s.exec.Decline(evt, min(retryAfter, s.limits.MaxRetryAfter))
	}
	s.closeEvent(evt)
}

// closeEvent marks an event as ended. A send still in flight keeps its place in the key's queue until its outcome.
func (s *Scheduler) closeEvent(evt int32) {
	s.events[evt].live = false
	if e := &s.events[evt]; e.call < 0 {
		s.keyQueues.remove(e.key, evt, s.now)
	}
}
