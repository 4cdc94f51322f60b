package scheduler

import (
	"cmp"
	"math"
	"slices"

	"jaspersill/delivery"
)

const (
	backlogPerSlot     = 3          // waiting events per call slot beyond which silence costs more than a repeat
	scarceSlotsDivisor = 8          // slots are scarce when at most 1/8 of them are free: one or two
	priorityLookahead  = 2 * second // the priority of an event is the utility it would lose by waiting this long
	admissionDivisor   = 20         // a call admitted by a slow start leaves within 1/20 of the time for which calls are counted
	rankFillCalls      = 1          // calls in flight at an endpoint before the next in rank is used: no queue forms there
)

// expire ends events whose time is up, and cancels sends that are unlikely to be answered: silent calls would otherwise
// hold all slots.
func (s *Scheduler) expire() {
	scarce := scarceSlotsDivisor*(s.limits.MaxConcurrentCalls-s.openCalls) <= s.limits.MaxConcurrentCalls &&
		len(s.waiting) > backlogPerSlot*s.limits.MaxConcurrentCalls
	for i := range s.events {
		e := &s.events[i]
		if e.live && (s.now >= e.deadline || (e.call < 0 && s.now >= s.lastSendTime(e))) {
			s.finish(int32(i), 0)
		}
		if !e.live || e.call < 0 {
			continue
		}
		s.revokeIfForbidden(int32(i))
		c := &s.calls[e.call]
		if e.cancelled || !s.limits.CanCancel {
			continue
		}
		late := s.now-c.startedAt >= s.endpoints.timeout(c.endpoint)
		dead := s.stale.isDead(c.idleBefore, s.now) && s.types[e.typ].Safety != delivery.NonIdempotent
		if (late && (dead || scarce)) || (!s.endpoints.ready[c.endpoint] && s.endpoints.suspect(c.endpoint, s.now)) {
			s.exec.Cancel(int32(i), e.sends-1)
			e.cancelled = true
		}
	}
}

// revokeUnsent takes back the sends that have not left yet and are no longer allowed.
func (s *Scheduler) revokeUnsent() {
	for i := range s.events {
		if e := &s.events[i]; e.live && e.call >= 0 {
			s.revokeIfForbidden(int32(i))
		}
	}
}

// revokeIfForbidden takes back an event's send in flight, if it has not left, once it is no longer allowed. A send may have to wait for its
// connection, its record or its socket, and by then a requested wait, the list, the dedup window or an outage may forbid it. The calls at an
// endpoint in an outage are counted, and those from before it would come on top.
func (s *Scheduler) revokeIfForbidden(evt int32) {
	e := &s.events[evt]
	c := &s.calls[e.call]
	if e.unsentCancelled || (s.now >= s.limiters.heldUntil[s.endpoints.limiter[c.endpoint]] && s.endpoints.ready[c.endpoint] &&
		s.now < s.dedupWindowEnd(e) && (c.trial || !s.endpoints.ejected[c.endpoint])) {
		return
	}
	s.exec.CancelUnsent(evt, e.sends-1)
	e.unsentCancelled = true
}

// enqueue adds an event to those that wait to be sent.
func (s *Scheduler) enqueue(evt int32) {
	s.waiting = append(s.waiting, eventRef{index: evt, arrival: s.events[evt].arrival})
}

// isWaiting reports whether the event that a reference was made for still waits to be sent.
func (s *Scheduler) isWaiting(ref eventRef) bool {
	e := &s.events[ref.index]
	return e.arrival == ref.arrival && e.live && e.call < 0
}

// dispatch sends the waiting events that are due, and forgets those that wait no longer.
func (s *Scheduler) dispatch() {
	if !s.dir.holdsSends(s.now) {
		s.sendDue()
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(ref eventRef) bool { return !s.isWaiting(ref) })
}

// sendDue sends the waiting events that are due, those that lose most utility by waiting first. In the order of their
// arrival, events that lose it fast would wait behind a backlog of those that lose little.
func (s *Scheduler) sendDue() {
	for _, ref := range s.waiting {
		e, t := &s.events[ref.index], &s.types[s.events[ref.index].typ]
		e.waitCost = e.value * (utilityShare(t, e.slo, s.now-e.arrivedAt) -
			utilityShare(t, e.slo, s.now-e.arrivedAt+priorityLookahead))
	}
	slices.SortStableFunc(s.waiting, func(a, b eventRef) int {
		x, y := &s.events[a.index], &s.events[b.index]
		return cmp.Or(cmp.Compare(y.waitCost, x.waitCost), cmp.Compare(x.arrivedAt, y.arrivedAt))
	})
	for _, ref := range s.waiting {
		e := &s.events[ref.index]
		if ordered := s.types[e.typ].Ordered; s.isWaiting(ref) && s.now >= e.notBefore && !s.awaitsConfirmation(e) &&
			(!ordered || s.keyQueues.mayStart(e.key, ref.index, e.sends > 0, s.now)) {
			if ep := s.pickEndpoint(e); ep >= 0 {
				s.send(ref.index, ep)
			}
		}
	}
}

// utilityShare returns the share of an event's utility that is left at an age.
func utilityShare(t *delivery.StreamType, slo, age int64) float64 {
	late := float64(max(0, age-slo))
	switch {
	case age >= t.MaxAge:
		return 0
	case t.ExponentialDecay:
		return max(t.LateUtility, math.Pow(0.5, late/float64(slo)))
	}
	return 1 - (1-t.LateUtility)*late/float64(max(1, t.MaxAge-slo))
}

// pickEndpoint returns the endpoint for an event, or -1 for none: the first in rank with a call that the event can join,
// else the first without a call in flight, else the one with the fewest calls. A suspect endpoint gets one trial call at
// a time.
func (s *Scheduler) pickEndpoint(e *event) int32 {
	best, trial, t := int32(-1), int32(-1), &s.types[e.typ]
	_, ranZone := e.firstPossibleRun()
	for _, ep := range s.byDest[e.dest] {
		limiter := s.endpoints.limiter[ep]
		switch {
		case !s.endpoints.ready[ep] || s.now < s.limiters.heldUntil[limiter]:
		case e.mayHaveRun() && t.DedupPerZone && s.endpoints.zone[ep] != ranZone: // would not recognize the duplicate
		case s.joinableCall(ep, t) >= 0:
			return ep
		case !s.endpoints.admit(ep, s.now, cmp.Or(s.limiters.limit[limiter], defaultLimit)/s.limiters.endpointCount[limiter],
			s.limiters.nodes):
		case s.endpoints.suspect(ep, s.now):
			if s.endpoints.inFlight[ep] == 0 &&
				(trial < 0 || s.endpoints.firstFailureAt[ep] < s.endpoints.firstFailureAt[trial]) {
				trial = ep
			}
		case best < 0 || (s.endpoints.inFlight[best] >= rankFillCalls && s.endpoints.inFlight[ep] < s.endpoints.inFlight[best]):
			best = ep
		}
	}
	// A trial at a silent endpoint loses a non-idempotent event, and costs any other a full timeout.
	if trial < 0 || (best >= 0 && e.errors > 0) ||
		(t.Safety == delivery.NonIdempotent && s.endpoints.lastFailure[trial].MayHaveRun() && s.now-e.arrivedAt <= t.MaxAge/2) {
		return best
	}
	return trial
}

func (s *Scheduler) send(evt, ep int32) {
	e, l, limiter := &s.events[evt], &s.limiters, s.endpoints.limiter[ep]
	t := &s.types[e.typ]
	if e.call = s.joinableCall(ep, t); e.call < 0 {
		// A destination that answers late or never would fill all slots. None gets more than half of those that the others
		// leave free.
		if l.inFlight[limiter] >= s.limits.MaxConcurrentCalls-s.openCalls || !l.admit(limiter, s.now) {
			return
		}
		e.call = int32(slices.IndexFunc(append(s.calls, call{}), func(c call) bool { return c.events == 0 }))
		// 0 for a first call
		idle := s.now - cmp.Or(s.endpoints.lastActiveAt[ep][min(s.endpoints.inFlight[ep], idleLevels-1)], s.now)
		if s.stale.isDead(idle, s.now) {
			s.exec.CloseIdle(ep)
			idle = 0
		}
		s.calls = setAt(s.calls, e.call, call{endpoint: ep, startedAt: s.now, round: s.round, idleBefore: idle,
			trial: s.endpoints.ejected[ep]})
		s.openCalls, s.endpoints.inFlight[ep], l.inFlight[limiter] =
			s.openCalls+1, s.endpoints.inFlight[ep]+1, l.inFlight[limiter]+1
		s.endpoints.credit[ep] = max(0, s.endpoints.credit[ep]-1)
		l.lastCall[limiter][waitClass(t)] = e.call
		l.callsInLastSecond(limiter, s.now)
		l.recentCalls[limiter] = append(l.recentCalls[limiter], s.now)
	}
	s.calls[e.call].events++
	e.sends, e.sentAt, e.cancelled, e.unsentCancelled = e.sends+1, s.now, false, false
	timeout, short := e.deadline-s.now, s.endpoints.timeout(ep)
	switch t.Safety { // a non-idempotent event waits until its deadline, since a timeout would end it
	case delivery.Idempotent:
		timeout = min(timeout, timeoutMultiple*short)
	case delivery.Deduplicated: // past the dedup window no repeat is allowed, and the event would be lost
		timeout = min(timeout, timeoutMultiple*short, max(short, t.DedupWindow/attemptsPerDedupWindow))
	}
	s.exec.Send(evt, ep, timeout, s.terms(e, ep))
}

// terms returns what a send to an endpoint is decided on. The calls that a slow start admits are spread in time, so one that waits for
// long before it leaves must not come on top of those admitted later.
func (s *Scheduler) terms(e *event, ep int32) (terms delivery.Terms) {
	t := &s.types[e.typ]
	if end := s.dedupWindowEnd(e); end != math.MaxInt64 {
		terms.WindowEnd = end
	}
	if e.mayHaveRun() && t.DedupPerZone {
		_, zone := e.firstPossibleRun()
		terms.Grouped, terms.Zone = true, zone
	}
	if s.endpoints.inSlowStart(ep, s.now) {
		terms.AdmittedUntil = s.now + s.endpoints.recovery.OverloadAfter/admissionDivisor
	}
	return terms
}

// joinableCall returns the call to an endpoint that was opened in this round and has room for one more event, or -1. A
// call ends as a whole, so events that must wait for their answer do not share one with events that are repeated soon.
func (s *Scheduler) joinableCall(ep int32, t *delivery.StreamType) int32 {
	last := s.limiters.lastCall[s.endpoints.limiter[ep]][waitClass(t)]
	if last >= 0 && s.calls[last].round == s.round && s.calls[last].endpoint == ep &&
		s.calls[last].events < s.limiters.maxEventsPerCall[s.endpoints.limiter[ep]] {
		return last
	}
	return -1
}

// waitClass returns 1 for events that must wait for their answer, 0 for those that may be repeated.
func waitClass(t *delivery.StreamType) int {
	if t.Safety == delivery.NonIdempotent {
		return 1
	}
	return 0
}
