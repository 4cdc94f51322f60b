package scheduler

import (
	"math"

	"jaspersill/delivery"
)

const (
	// Cold endpoints.

	coldBudgetShare     = 0.95 // share of the cold budget that is used; the reported limit is itself below the real capacity
	outageCallsMultiple = 2.0  // calls to an endpoint in an outage as a multiple of its limit, since repeats add to it
	coldDeviations      = 1.5  // headroom in the cold budget, in standard deviations of what many nodes send by chance
	fewColdCalls        = 4.0  // with a smaller cold budget per node, a single failure counts as an outage
	minColdShare        = 0.2  // share of the cold budget that is used in any case: an endpoint never tried stays ejected
	defaultLimit        = 2.0  // calls per second assumed where no limit is reported: about the lowest there is

	// Failure detection.

	ejectAfterFailures = 2              // consecutive failures that eject an endpoint: a single one may be chance
	ejectAfterResets   = 4              // the same for resets: networks cause them too, and a host that is down refuses connections
	unavailableWait    = 2 * second     // a requested wait this long ejects it too: a rate limit's window restarts sooner
	unavailableShare   = 0.8            // a refusal with this share of the limit left means the destination is unavailable
	latencyWeight      = 0.125          // weight of a new answer time in the averages, as is usual for round-trip times
	overdueDeviations  = 4.0            // an answer is overdue this many deviations past the mean, as is usual
	timeoutDeviations  = 8.0            // twice that many for a timeout
	minOverdue         = second / 2     // no answer is overdue sooner: a brief stall is not a failure
	minTimeout         = 3 * second / 2 // no timeout is shorter: stalls pass in less, and a repeat costs more
	defaultTimeout     = 4 * second     // timeout before any answer has been measured
	timeoutMultiple    = 4              // sends get this multiple of the timeout: a late result is worth more than a repeated send
	idleLevels         = 8              // calls in flight up to which idle times are tracked separately: one connection each
	removedRetention   = 30 * second    // an endpoint off the list is kept this long, so that its replacement inherits an outage
)

// endpoints holds the state of all endpoints, by endpoint index.
type endpoints struct {
	recovery delivery.Recovery

	limiter                             []int32             // -1: the endpoint is forgotten
	ready, ejected                      []bool              // ready: listed as ready
	lastFailure                         []delivery.Outcome  // outcome of the last failed call
	latencyMean, latencyDev, credit     []float64           // answer times; credit: calls allowed now while cold
	zone, inFlight, failures, timeouts  []int               // failures, timeouts: consecutive ones
	firstFailureAt, lastAckAt, creditAt []int64             // firstFailureAt: of the consecutive failures
	ejectedAt                           []int64             // when an outage was last noticed
	answeredSentAt                      []int64             // when the newest call that was answered had been sent
	lastActiveAt                        [][idleLevels]int64 // [i]: when more than i calls were last in flight; 0: never
	overdueAt, lastListedAt, restoredAt []int64             // overdueAt: of the oldest call, 0: none; restoredAt, -1: never
}

// reset sets an endpoint to the initial state.
func (p *endpoints) reset(ep int32) {
	p.limiter, p.zone, p.inFlight = setAt(p.limiter, ep, -1), setAt(p.zone, ep, 0), setAt(p.inFlight, ep, 0)
	p.ready, p.ejected, p.lastFailure = setAt(p.ready, ep, false), setAt(p.ejected, ep, false),
		setAt(p.lastFailure, ep, delivery.Acked)
	p.latencyMean, p.latencyDev, p.credit = setAt(p.latencyMean, ep, 0), setAt(p.latencyDev, ep, 0), setAt(p.credit, ep, 1)
	p.failures, p.timeouts, p.firstFailureAt = setAt(p.failures, ep, 0), setAt(p.timeouts, ep, 0),
		setAt(p.firstFailureAt, ep, 0)
	p.lastAckAt, p.overdueAt, p.restoredAt = setAt(p.lastAckAt, ep, -1), setAt(p.overdueAt, ep, 0), setAt(p.restoredAt, ep, -1)
	p.ejectedAt, p.answeredSentAt = setAt(p.ejectedAt, ep, 0), setAt(p.answeredSentAt, ep, -1)
	p.creditAt, p.lastListedAt, p.lastActiveAt = setAt(p.creditAt, ep, 0), setAt(p.lastListedAt, ep, 0),
		setAt(p.lastActiveAt, ep, [idleLevels]int64{})
}

// setAt sets list[i] to v, extending the list if needed.
func setAt[T any](list []T, i int32, v T) []T {
	list = append(list, make([]T, max(0, int(i)+1-len(list)))...)
	list[i] = v
	return list
}

// findOverdue finds the overdue calls, so that silence is noticed before any timeout expires.
func (p *endpoints) findOverdue(now int64, calls []call, stale *staleDetector) {
	clear(p.overdueAt)
	for i := range calls {
		if c := &calls[i]; c.events > 0 && c.startedAt > p.lastAckAt[c.endpoint] && !stale.isDead(c.idleBefore, now) {
			at := c.startedAt + max(minOverdue, int64(p.latencyMean[c.endpoint]+overdueDeviations*p.latencyDev[c.endpoint]))
			if now >= c.startedAt+p.timeout(c.endpoint) && !c.countedLost && c.idleBefore >= minOverdue {
				c.countedLost = true
				stale.record(true, c.idleBefore, now)
			}
			if p.overdueAt[c.endpoint] == 0 || at < p.overdueAt[c.endpoint] {
				p.overdueAt[c.endpoint] = at
			}
		}
	}
}

func (p *endpoints) suspect(ep int32, now int64) bool {
	return p.ejected[ep] || (p.overdueAt[ep] > 0 && now >= p.overdueAt[ep])
}

func (p *endpoints) timeout(ep int32) int64 {
	t := defaultTimeout
	if p.latencyMean[ep] > 0 {
		t = max(minTimeout, int64(p.latencyMean[ep]+timeoutDeviations*p.latencyDev[ep]))
	}
	return t << min(p.timeouts[ep], 6)
}

// recordOutcome updates the state of an endpoint with the outcome of a call that was sent at sentAt. overLimit says that a
// refusal was due to the rate limit, conclusive that the outcome shows an outage on its own.
func (p *endpoints) recordOutcome(ep int32, now, sentAt int64, outcome delivery.Outcome, took int64,
	overLimit, conclusive bool, credit float64) {
	switch {
	case outcome == delivery.Unsent, outcome == delivery.Unreadable,
		!conclusive && (outcome == delivery.Cancelled || outcome == delivery.Refused && overLimit):
		// The silence before a cancellation may be the network's; an unreadable answer shows that the endpoint responds;
		// a refusal over the limit does not show that it is unavailable.
		return
	case outcome == delivery.Acked:
		p.recordAnswer(ep, now, sentAt, took, credit)
		return
	case outcome == delivery.TimedOut:
		p.timeouts[ep]++
	}
	if p.lastFailure[ep], p.failures[ep] = outcome, p.failures[ep]+1; p.failures[ep] == 1 {
		p.firstFailureAt[ep] = now
	}
	enough := p.failures[ep] >= ejectAfterFailures && (outcome != delivery.Reset || p.failures[ep] >= ejectAfterResets)
	if conclusive || (enough && (outcome != delivery.Refused || now-p.firstFailureAt[ep] >= paceCutInterval)) {
		p.eject(ep, now, credit)
	}
}

// recordAnswer updates the state of an endpoint that answered a call normally.
func (p *endpoints) recordAnswer(ep int32, now, sentAt, took int64, credit float64) {
	if p.latencyMean[ep] == 0 {
		p.latencyMean[ep], p.latencyDev[ep] = float64(took), float64(took)/2
	}
	p.latencyDev[ep] += latencyWeight * (math.Abs(float64(took)-p.latencyMean[ep]) - p.latencyDev[ep])
	p.latencyMean[ep] += latencyWeight * (float64(took) - p.latencyMean[ep])
	p.lastAckAt[ep], p.answeredSentAt[ep] = now, max(p.answeredSentAt[ep], sentAt)
	switch {
	case !p.ejected[ep]:
		p.failures[ep], p.timeouts[ep] = 0, 0
	case sentAt >= p.ejectedAt[ep]: // an endpoint that takes no new calls still answers those sent before its outage
		p.restore(ep, now, credit)
	}
}

// coldBudget returns the number of calls that a cold destination with the given limit bears within OverloadAfter.
func (p *endpoints) coldBudget(limit float64) float64 {
	return p.recovery.OverloadFactor * p.recovery.ColdShare * limit * float64(p.recovery.OverloadAfter) / float64(second)
}

func (p *endpoints) eject(ep int32, now int64, credit float64) {
	p.ejectedAt[ep] = now
	if p.restoredAt[ep] = -1; !p.ejected[ep] {
		p.ejected[ep], p.credit[ep], p.creditAt[ep] = true, credit, now
	}
}

func (p *endpoints) restore(ep int32, now int64, credit float64) {
	p.credit[ep], p.creditAt[ep] = credit, now // all peers hear of the return, and would spend what they saved
	p.ejected[ep], p.restoredAt[ep], p.failures[ep], p.timeouts[ep], p.lastAckAt[ep] = false, now, 0, 0, now
}

// inSlowStart reports whether an endpoint is in an outage, or warming up after one, and fails if it gets too many calls then.
func (p *endpoints) inSlowStart(ep int32, now int64) bool {
	if p.recovery.OverloadAfter <= 0 || p.recovery.OverloadFactor <= 0 { // cold endpoints do not fail from load
		return false
	}
	warming := p.restoredAt[ep] >= 0 && now-p.restoredAt[ep] < p.recovery.WarmupTime
	return p.ejected[ep] || warming
}

// admit reports whether an endpoint bears one more call. A cold one that is overloaded fails again, so the nodes that
// noticed its outage share its budget.
func (p *endpoints) admit(ep int32, now int64, rate, nodes float64) bool {
	warm, until := p.recovery.ColdShare, now
	if !p.inSlowStart(ep, now) {
		return true
	}
	if !p.ejected[ep] {
		until = p.restoredAt[ep]
		warm += (1 - warm) * float64(now-until) / float64(p.recovery.WarmupTime)
	}
	window := float64(p.recovery.OverloadAfter) / float64(second)
	// The share of nodes that are likely to have sent a call during the outage.
	noticed := -math.Expm1(-outageCallsMultiple * rate / nodes * (float64(until-p.firstFailureAt[ep])/float64(second) + window))
	budget := p.recovery.OverloadFactor * warm * rate * window
	if nodes*noticed > budget { // with less than one call for each node, several may by chance send theirs together
		budget = max(minColdShare*budget, budget-coldDeviations*math.Sqrt(budget))
	}
	return refill(&p.credit[ep], &p.creditAt[ep], now, coldBudgetShare*budget/window/max(1, nodes*noticed), 1)
}

// refill adds the credit that a rate has earned since the last refill, up to depth, and reports whether a call may go.
func refill(credit *float64, at *int64, now int64, rate, depth float64) bool {
	*credit = min(depth, *credit+rate*float64(now-*at)/float64(second))
	*at = now
	return *credit >= 1
}

// closeIdleIfCrowded closes the idle connections to an endpoint that accepts few: those kept idle by many nodes lock
// out the others.
func (s *Scheduler) closeIdleIfCrowded(ep int32) {
	if s.now < s.stale.crowdedUntil && s.endpoints.inFlight[ep] == 0 && s.endpoints.lastActiveAt[ep][0] > 0 {
		s.exec.CloseIdle(ep)
		s.endpoints.lastActiveAt[ep] = [idleLevels]int64{}
	}
}

// forgetIfRemoved frees the index of an endpoint that left the list long enough ago, and reports whether it did. The
// state would otherwise grow without bound where endpoints are replaced all the time.
func (s *Scheduler) forgetIfRemoved(ep int32, dest int) bool {
	if s.closeIdleIfCrowded(ep); s.endpoints.ready[ep] || s.endpoints.inFlight[ep] > 0 {
		s.endpoints.lastListedAt[ep] = s.now
	}
	limiter := s.endpoints.limiter[ep]
	expired := s.now >= max(s.endpoints.lastListedAt[ep]+removedRetention, s.limiters.heldUntil[limiter])
	if expired {
		if s.limiters.endpointCount[limiter]--; s.limiters.endpointCount[limiter] == 0 && s.destLimiter[dest] == limiter {
			s.destLimiter[dest] = -1
		}
		s.endpoints.limiter[ep] = -1
		s.exec.Forget(ep)
	}
	return expired
}
