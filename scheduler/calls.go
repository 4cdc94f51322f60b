package scheduler

import "jaspersill/delivery"

type call struct {
	endpoint                     int32
	startedAt, round, idleBefore int64 // idleBefore: how long nothing had been in flight to the endpoint
	events                       int   // outcomes still to come
	trial                        bool  // its endpoint was ejected when it was decided
	recorded, countedLost        bool  // its outcome has been recorded; it was counted as lost while overdue
}

// callOutcome is how a call ended, and what its response reported.
type callOutcome struct {
	outcome                  delivery.Outcome
	retryAfter, took         int64
	freeShare, reportedLimit float64
}

// recordCallOutcome updates the state of the limiter, the endpoint and its siblings with the outcome of a call.
func (s *Scheduler) recordCallOutcome(c *call, o callOutcome, ep, dest int32) {
	limiter := s.endpoints.limiter[ep]
	s.limiters.recordOutcome(limiter, s.now, o.outcome, o.retryAfter, o.freeShare, o.reportedLimit)
	s.recordConnectionState(c, o, ep)
	silent, credit := s.isSilent(c, o, ep), s.rng.float()
	if silent { // timeouts expire at different times on the nodes, so an immediate trial causes no surge
		credit = 1
	}
	limit := s.limiters.limit[limiter]
	smallBudget := s.endpoints.coldBudget(limit) < fewColdCalls*s.limiters.nodes
	// Some outcomes are conclusive on their own. With many nodes, each may see only one failure of an outage, such
	// as a refused connection, and would overload the destination when it returns. When a destination that is
	// unavailable asks for a wait, all nodes would return at its end. And where a single call waited out a
	// silence, the backlog would follow when the silence ends.
	conclusive := silent || o.retryAfter >= unavailableWait || (o.outcome == delivery.ConnectFailed &&
		(o.took >= minOverdue || (smallBudget && limit > 0 && s.now >= s.stale.crowdedUntil)))
	overLimit := o.reportedLimit > 0 && o.freeShare < unavailableShare
	wasEjected := s.endpoints.ejected[ep]
	s.endpoints.recordOutcome(ep, s.now, c.startedAt, o.outcome, o.took, overLimit, conclusive, credit)
	switch isEjected := s.endpoints.ejected[ep]; {
	case isEjected && !wasEjected:
		s.exec.Log("endpoint ejected", ep)
		if conclusive && (smallBudget || o.retryAfter >= unavailableWait) {
			s.ejectSiblings(ep, dest)
		}
	case wasEjected && !isEjected:
		s.exec.Log("endpoint restored, warming up", ep)
		if s.peerMessages {
			s.exec.AnnounceHealthy(ep, s.now-c.startedAt)
		}
	}
	s.delayCredit(limiter, dest)
}

// isSilent reports whether a call waited in vain for long, and nothing was answered by its endpoint meanwhile.
func (s *Scheduler) isSilent(c *call, o callOutcome, ep int32) bool {
	return (o.outcome == delivery.TimedOut && o.took >= unavailableWait ||
		o.outcome == delivery.Cancelled && o.took >= minTimeout) && s.endpoints.lastAckAt[ep] < c.startedAt
}

// recordConnectionState updates what is known of dead and of crowded connections.
func (s *Scheduler) recordConnectionState(c *call, o callOutcome, ep int32) {
	// A reset this soon suggests a dead connection; after a short idle time it must come sooner to count.
	soon := s.endpoints.latencyMean[ep] * min(0.5, float64(c.idleBefore)/1e9)
	if o.outcome == delivery.Acked || (o.outcome == delivery.Reset && float64(o.took) < soon) {
		s.stale.record(o.outcome == delivery.Reset, c.idleBefore, s.now)
	}
	// A connect that failed between answers indicates an endpoint with too few connections, not an outage.
	failures := s.endpoints.failures[ep]
	if o.outcome == delivery.Acked && (failures == 1 || (!s.endpoints.ejected[ep] && failures > 0)) &&
		s.endpoints.lastFailure[ep] == delivery.ConnectFailed && s.limiters.nodes >= crowdedMinNodes {
		s.stale.crowdedUntil = s.now + staleDuration
	}
}

// ejectSiblings ejects the endpoints under the same limit as an endpoint that has just been ejected, except those that have
// answered a call sent since its first failure. An outage affects all of them, and many nodes would try each.
func (s *Scheduler) ejectSiblings(ep, dest int32) {
	for _, sibling := range s.byDest[dest] {
		if s.endpoints.limiter[sibling] == s.endpoints.limiter[ep] &&
			s.endpoints.answeredSentAt[sibling] < s.endpoints.firstFailureAt[ep] {
			s.endpoints.eject(sibling, s.now, s.rng.float())
		}
	}
}

// delayCredit lets the credit of ejected endpoints grow only from the end of a requested wait: all nodes would spend what
// they saved during it at once.
func (s *Scheduler) delayCredit(limiter, dest int32) {
	for _, ep := range s.byDest[dest] {
		if s.endpoints.ejected[ep] && s.endpoints.limiter[ep] == limiter {
			s.endpoints.creditAt[ep] = max(s.endpoints.creditAt[ep], s.limiters.heldUntil[limiter])
		}
	}
}

// closeCall gives back what a call to an endpoint held, after the last outcome of its events.
func (s *Scheduler) closeCall(ep int32) {
	s.openCalls--
	s.endpoints.inFlight[ep]--
	s.limiters.inFlight[s.endpoints.limiter[ep]]--
	s.endpoints.lastActiveAt[ep][min(s.endpoints.inFlight[ep], idleLevels-1)] = s.now
	s.closeIdleIfCrowded(ep)
}
