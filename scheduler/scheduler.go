// Package scheduler decides for one delivery node when and where each event is sent, and how it ends. It implements
// delivery.Scheduler: call New once at start and Round once a round, with a feed of all inputs since the last round and
// an executor for the decisions.
//
// The retry rule of docs/design.md governs the ordinary path. A wait that a destination asked for holds all sends under
// the same rate limit. Otherwise the delays of an event grow, with jitter, up to its maximum number of attempts and its
// max age, and an adaptive pace limits the calls. A limiter stands for one rate limit: that of a destination, or of an
// endpoint where each has its own.
//
// The comments on the other mechanisms name the failure that each of them prevents.
package scheduler

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"jaspersill/delivery"
)

const (
	second = int64(1e9)

	// Retries and pacing.

	refusalBaseDelay      = 5 * second   // longest base delay after a refusal; the default of the retry rule
	refusalBaseDivisor    = 10           // the base delay is at most max age / 10, to leave time for several attempts
	refusalBackoff        = 1 * second   // added after the first refusal, then doubling; the default of the retry rule
	refusalBackoffDivisor = 50           // the addition starts at no more than max age / 50, for the same reason
	errorBackoff          = second / 5   // delay after the first other error, then doubling: allows one quick retry
	maxSpreadShare        = 0.4          // refused events are spread over at most this share of their remaining time
	jitterShare           = 0.5          // delays grow randomly by up to half: spreads the nodes but keeps attempts in order
	paceCutInterval       = 1 * second   // a burst of refusals is one signal: at most one cut per second
	paceCutFactor         = 0.5          // a refusal halves the pace, as the design has it
	minPace               = 1.0          // calls per second below which a pace does not fall, so that feedback continues
	paceGrowth            = 0.1          // relative growth of the pace per second while calls are accepted
	minPaceShare          = 0.6          // minimum pace as a share of this node's equal part of a reported limit; below 1 as others may be unpaced
	absoluteMinPace       = 0.1          // lower bound of any pace, in calls per second: one call in the life of most events
	exhaustedShare        = 0.15         // a refusal with less than this share of the limit left means the limit is used up
	paceRecovery          = 0.5          // share of this node's equal part of a reported limit by which a lower pace grows per second
	maxGrowthSpan         = 3 * second   // longest time since the last answer that counts as growth, for nodes that send seldom
	paceIdleReset         = 60 * second  // a limiter idle for this long starts unpaced
	paceBurstSpan         = second / 2   // credit saved while idle, as time at the pace: below the shortest rate-limit window
	minFullRetryAfter     = second / 4   // shortest retry-after when there is no capacity: an answer or two frees some
	finalAnswerMargin     = second / 50  // final answers are given this long before max age: the time of a few rounds
	wakeInterval          = second / 100 // time until the next round: a fraction of any answer time

	// Deduplication windows.

	dedupMargin            = second / 10 // a repeat is sent at least this long before the dedup window ends, to cover transit
	attemptsPerDedupWindow = 2           // a send takes at most half of the dedup window, which leaves the rest for a repeat

	// Directory watches.

	minWatchRetry = second / 2     // delay before the directory is asked again after one failure, then doubling
	maxWatchRetry = 3 * second / 2 // longest such delay: its changes count as known 6 s after it becomes reachable
	watchTimeout  = 4 * second     // a watch call without any result is repeated after this; sockets give up sooner
	firstListWait = 1 * second     // sends wait this long for the first list where the directory is automatic

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
	backlogPerSlot     = 3              // waiting events per call slot beyond which silence costs more than a repeat
	scarceSlotsDivisor = 8              // slots are scarce when at most 1/8 of them are free: one or two
	priorityLookahead  = 2 * second     // the priority of an event is the utility it would lose by waiting this long
	staleMinIdle       = second / 10    // calls lost after a shorter idle time do not indicate dead connections
	staleAcksPerLoss   = 3              // answers per lost call that clear idle connections of the suspicion
	idleLevels         = 8              // calls in flight up to which idle times are tracked separately: one connection each
	staleMinLosses     = 3              // lost calls that indicate dead connections: a crash may cause one or two
	staleDuration      = 30 * second    // idle connections are closed for this long after the last sign
	crowdedMinNodes    = 8              // fewer nodes do not use up an endpoint's connections with one idle connection each
	removedRetention   = 30 * second    // an endpoint off the list is kept this long, so that its replacement inherits an outage
	rankInterval       = 1 * second     // interval between rankings of the endpoints: a few answers arrive in between
	rankFillCalls      = 1              // calls in flight at an endpoint before the next in rank is used: no queue forms there
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

type call struct {
	endpoint                     int32
	startedAt, round, idleBefore int64 // idleBefore: how long nothing had been in flight to the endpoint
	events                       int   // outcomes still to come
	recorded, countedLost        bool  // its outcome has been recorded; it was counted as lost while overdue
}

// Scheduler makes the decisions of one delivery node.
type Scheduler struct {
	exec   delivery.Executor
	rng    pcg
	types  []delivery.StreamType
	kinds  []delivery.DestinationKind
	limits delivery.Limits

	events                     []event
	waiting                    []eventRef // live events with no send in flight, in order
	arrivals                   uint64     // events so far
	destLimiter                []int32    // a destination's shared limiter
	calls                      []call     // entries with no outcomes to come are reused
	openCalls                  int
	now, round                 int64
	wakeAt, rankAt, orderPause int64 // orderPause: how long a key is held after a send that may still run

	dir          directory
	keyQueues    keyQueues
	peerMessages bool // the executor can send messages to peers
	stale        staleDetector
	limiters     limiters

	endpoints endpoints
	byDest    [][]int32 // endpoints of each destination by rank
}

// New returns a scheduler. orderPause is how long the next event of an ordered key is held after a send that may still
// be running.
func New(seed uint64, types []delivery.StreamType, kinds []delivery.DestinationKind, limits delivery.Limits,
	recovery delivery.Recovery, dir delivery.Directory, cluster delivery.Cluster, orderPause int64) *Scheduler {
	return &Scheduler{rng: pcg(seed), types: types, kinds: append(kinds, delivery.DestinationKind{MaxEventsPerCall: 1}),
		limits: limits, dir: directory{requiresWatch: dir.RequiresWatch, automatic: dir.Automatic}, keyQueues: keyQueues{},
		orderPause: orderPause, peerMessages: cluster.PeerMessages, endpoints: endpoints{recovery: recovery},
		limiters: limiters{nodes: float64(max(1, cluster.Nodes))}}
}

func (s *Scheduler) Round(now int64, feed delivery.Feed, exec delivery.Executor) {
	s.now, s.exec, s.round = now, exec, s.round+1
	feed.Deliver(s)
	s.dir.watchIfDue(now, exec)
	s.endpoints.findOverdue(now, s.calls, &s.stale)
	if now >= s.rankAt { // by latency; the order is random until measured, so that nodes do not all start with the same one
		s.rankAt = now + rankInterval
		for d, list := range s.byDest {
			list = slices.DeleteFunc(list, func(ep int32) bool { return s.forgetIfRemoved(ep, d) })
			slices.SortStableFunc(list, func(a, b int32) int {
				return cmp.Compare(s.endpoints.latencyMean[a], s.endpoints.latencyMean[b])
			})
			s.byDest[d] = list
		}
	}
	s.expire()
	s.dispatch()
	if s.wakeAt <= now {
		s.wakeAt = now + wakeInterval
		exec.Wake(wakeInterval)
	}
}

func (s *Scheduler) Event(evt int32, typ, customer int, key uint64, left, work int64, dest int32) {
	s.ensureDestination(dest)
	t, age := &s.types[typ], s.types[typ].MaxAge-left // one submitted again by its client, or accepted before a restart, is not new
	s.arrivals++
	s.events = setAt(s.events, evt, event{arrival: s.arrivals, typ: typ, dest: dest, call: -1, key: key, arrivedAt: s.now - age,
		notBefore: s.now, deadline: s.now + left - finalAnswerMargin, live: true, value: t.Utility,
		slo: min(t.MaxAge, t.SLO+int64(t.SLOPerWork*float64(work)))})
	if t.Ordered && key != 0 {
		s.keyQueues.add(key, evt)
	}
	s.enqueue(evt)
}

// Resumed counts sends before a restart towards the maximum. One that was in flight then may have run, and may still be
// running.
func (s *Scheduler) Resumed(evt int32, sends int, mayRun bool, ago int64, zone int) {
	e := &s.events[evt]
	e.sends, e.possiblyRan, e.ranAt, e.ranZone = sends, mayRun, s.now-ago, zone
	if k := s.keyQueues[e.key]; k != nil && mayRun && s.types[e.typ].Ordered {
		k.freeAt = s.now + s.orderPause
	}
}

func (s *Scheduler) RetryAfter() int64 {
	return min(minFullRetryAfter+int64(s.rng.float()*float64(minFullRetryAfter)), s.limits.MaxRetryAfter)
}

// ProcessingStarted removes the deadline of an event: no time limit applies once its processing has started.
func (s *Scheduler) ProcessingStarted(evt int32, send int) { s.events[evt].deadline = math.MaxInt64 }

// Unconfirmed notes that an answer proves nothing about its send, since it may belong to another call.
func (s *Scheduler) Unconfirmed(evt int32, send int) {
	e := &s.events[evt]
	if e.call >= 0 {
		e.unconfirmed = append(e.unconfirmed, unconfirmed{send, e.sentAt, s.endpoints.zone[s.calls[e.call].endpoint]})
	}
}

func (s *Scheduler) Confirmed(evt int32, send int) {
	e := &s.events[evt]
	e.unconfirmed = slices.DeleteFunc(e.unconfirmed, func(u unconfirmed) bool { return u.send == send })
}

func (s *Scheduler) Outcome(evt int32, send int, ep int32, outcome delivery.Outcome, retryAfter, took int64, ended bool,
	freeShare, reportedLimit float64) {
	e := &s.events[evt]
	if e.call >= 0 {
		c := &s.calls[e.call]
		// The executor may send the events of one call in several calls, only one of which is told to wait.
		s.limiters.holdUntil(s.endpoints.limiter[ep], s.now+retryAfter)
		if !c.recorded {
			c.recorded = true
			s.limiters.recordOutcome(s.endpoints.limiter[ep], s.now, outcome, retryAfter, freeShare, reportedLimit)
			wasEjected := s.endpoints.ejected[ep]
			// A reset this soon suggests a dead connection; after a short idle time it must come sooner to count.
			soon := s.endpoints.latencyMean[ep] * min(0.5, float64(c.idleBefore)/1e9)
			if outcome == delivery.Acked || (outcome == delivery.Reset && float64(took) < soon) {
				s.stale.record(outcome == delivery.Reset, c.idleBefore, s.now)
			}
			// A connect that failed between answers indicates an endpoint with too few connections, not an outage.
			if outcome == delivery.Acked && (s.endpoints.failures[ep] == 1 || (!wasEjected && s.endpoints.failures[ep] > 0)) &&
				s.endpoints.lastFailure[ep] == delivery.ConnectFailed && s.limiters.nodes >= crowdedMinNodes {
				s.stale.crowdedUntil = s.now + staleDuration
			}
			// Some outcomes are conclusive on their own. With many nodes, each may see only one failure of an outage, such
			// as a refused connection, and would overload the destination when it returns. When a destination that is
			// unavailable asks for a wait, all nodes would return at its end. And where a single call waited out a
			// silence, the backlog would follow when the silence ends.
			silent, credit := (outcome == delivery.TimedOut && took >= unavailableWait ||
				outcome == delivery.Cancelled && took >= minTimeout) &&
				s.endpoints.lastAckAt[ep] < c.startedAt, s.rng.float()
			limit := s.limiters.limit[s.endpoints.limiter[ep]]
			smallBudget := s.endpoints.coldBudget(limit) < fewColdCalls*s.limiters.nodes
			conclusive := silent || retryAfter >= unavailableWait || (outcome == delivery.ConnectFailed &&
				(took >= minOverdue || (smallBudget && limit > 0 && s.now >= s.stale.crowdedUntil)))
			if silent { // timeouts expire at different times on the nodes, so an immediate trial causes no surge
				credit = 1
			}
			s.endpoints.recordOutcome(ep, s.now, c.startedAt, outcome, took, reportedLimit > 0 && freeShare < unavailableShare, conclusive, credit)
			if !wasEjected && s.endpoints.ejected[ep] {
				s.exec.Log("endpoint ejected", ep)
				// An outage affects all endpoints under the limit, and many nodes would try each of them.
				for _, sibling := range s.byDest[e.dest] {
					if conclusive && (smallBudget || retryAfter >= unavailableWait) &&
						s.endpoints.limiter[sibling] == s.endpoints.limiter[ep] &&
						s.endpoints.answeredSentAt[sibling] < s.endpoints.firstFailureAt[ep] {
						s.endpoints.eject(sibling, s.now, s.rng.float())
					}
				}
			} else if wasEjected && !s.endpoints.ejected[ep] {
				s.exec.Log("endpoint restored, warming up", ep)
				if s.peerMessages {
					s.exec.AnnounceHealthy(ep, s.now-c.startedAt)
				}
			}
			// Credit starts to grow at the end of a requested wait: all nodes would spend what they saved during it at once.
			for _, sibling := range s.byDest[e.dest] {
				if s.endpoints.ejected[sibling] && s.endpoints.limiter[sibling] == s.endpoints.limiter[ep] {
					s.endpoints.creditAt[sibling] = max(s.endpoints.creditAt[sibling], s.limiters.heldUntil[s.endpoints.limiter[ep]])
				}
			}
		}
		if c.events--; c.events == 0 {
			limiter := s.endpoints.limiter[ep]
			s.openCalls, s.endpoints.inFlight[ep], s.limiters.inFlight[limiter] =
				s.openCalls-1, s.endpoints.inFlight[ep]-1, s.limiters.inFlight[limiter]-1
			s.endpoints.lastActiveAt[ep][min(s.endpoints.inFlight[ep], idleLevels-1)] = s.now
			s.closeIdleIfCrowded(ep)
		}
		e.call = -1
	}
	if outcome.MayHaveRun() && outcome != delivery.Acked {
		if !e.possiblyRan {
			e.possiblyRan, e.ranAt, e.ranZone = true, e.sentAt, s.endpoints.zone[ep]
		}
		if k := s.keyQueues[e.key]; k != nil && outcome != delivery.Errored && s.types[e.typ].Ordered {
			k.freeAt = s.now + s.orderPause // the send may still run, and the key's next event must not overtake it
		}
	}
	if ended || !e.live {
		s.closeEvent(evt)
	} else {
		s.retry(evt, ep, outcome, retryAfter)
	}
}

func (s *Scheduler) ListStarted(whole bool) {
	if whole {
		clear(s.endpoints.ready)
	}
}

func (s *Scheduler) EndpointListed(ep, dest int32, kind, zone int, state delivery.EndpointState, rate float64) {
	s.ensureDestination(dest)
	if int(ep) >= len(s.endpoints.limiter) || s.endpoints.limiter[ep] < 0 {
		s.endpoints.reset(ep)
		s.endpoints.zone[ep], s.endpoints.credit[ep], s.endpoints.creditAt[ep] = zone, s.rng.float(), s.now
		s.byDest[dest] = slices.Insert(s.byDest[dest], int(s.rng.float()*float64(len(s.byDest[dest])+1)), ep)
		destKind := s.kinds[min(kind, len(s.kinds)-1)]
		if s.endpoints.limiter[ep] = s.destLimiter[dest]; destKind.LimitPerEndpoint || s.destLimiter[dest] < 0 {
			s.endpoints.limiter[ep] = s.limiters.add(destKind.MaxEventsPerCall, s.rng.float())
			s.destLimiter[dest] = s.endpoints.limiter[ep]
		}
		s.limiters.endpointCount[s.endpoints.limiter[ep]]++
		s.limiters.limit[s.endpoints.limiter[ep]] = cmp.Or(s.limiters.limit[s.endpoints.limiter[ep]], rate)
		// A new endpoint of a destination in an outage starts as its siblings are, ejected or warming up; otherwise it
		// would get the whole backlog at once.
		for _, sibling := range s.byDest[dest] {
			s.endpoints.ejected[ep] = s.endpoints.ejected[ep] || s.endpoints.ejected[sibling]
			s.endpoints.restoredAt[ep] = max(s.endpoints.restoredAt[ep], s.endpoints.restoredAt[sibling])
			s.endpoints.ejectedAt[ep] = max(s.endpoints.ejectedAt[ep], s.endpoints.ejectedAt[sibling])
		}
	}
	s.endpoints.ready[ep] = state == delivery.Ready
}

func (s *Scheduler) ListEnded(fromNewestWatch bool) {
	if fromNewestWatch {
		s.dir.confirmed()
	}
}

func (s *Scheduler) Withdrawn(evt int32) { s.closeEvent(evt) }
func (s *Scheduler) ListFailed()         { s.dir.failed(s.now, &s.rng) }
func (s *Scheduler) Probed(ep int32, outcome delivery.Outcome, took int64, freeShare, limit float64) {
}
func (s *Scheduler) Woken() { s.wakeAt = 0 }

func (s *Scheduler) PeerReportedHealthy(peer int, ep int32, sentAgo int64) {
	if s.endpoints.suspect(ep, s.now) && s.now-sentAgo >= s.endpoints.ejectedAt[ep] { // it returns as a cold endpoint
		s.endpoints.restore(ep, s.now, s.rng.float())
	}
}

func (s *Scheduler) ensureDestination(dest int32) {
	if int(dest) >= len(s.byDest) {
		s.byDest, s.destLimiter = setAt(s.byDest, dest, nil), setAt(s.destLimiter, dest, -1)
	}
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
	if e.notBefore >= s.lastSendTime(e) {
		s.finish(evt, delay)
		return
	}
	s.enqueue(evt)
}

// lastSendTime returns the time from which an event must not be sent any more: it would arrive too late, or could take
// effect twice because the destination no longer recognizes the duplicate, or never does.
func (s *Scheduler) lastSendTime(e *event) int64 {
	switch t := &s.types[e.typ]; {
	case e.sends >= s.limits.MaxAttempts || (e.mayHaveRun() && t.Safety == delivery.NonIdempotent):
		return min(s.now, e.deadline)
	}
	return min(e.deadline, s.dedupWindowEnd(e))
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
		c := &s.calls[e.call]
		// A send may have to wait for its connection. By the time the connection is open, a requested wait, the list or the
		// dedup window may forbid the send.
		if !e.unsentCancelled && (s.now < s.limiters.heldUntil[s.endpoints.limiter[c.endpoint]] ||
			!s.endpoints.ready[c.endpoint] || s.now >= s.dedupWindowEnd(e)) {
			s.exec.CancelUnsent(int32(i), e.sends-1)
			e.unsentCancelled = true
		}
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
		if ordered := s.types[e.typ].Ordered; s.isWaiting(ref) && s.now >= e.notBefore &&
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
		s.calls = setAt(s.calls, e.call, call{endpoint: ep, startedAt: s.now, round: s.round, idleBefore: idle})
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
	s.exec.Send(evt, ep, timeout)
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

// admit reports whether an endpoint bears one more call. A cold one that is overloaded fails again, so the nodes that
// noticed its outage share its budget.
func (p *endpoints) admit(ep int32, now int64, rate, nodes float64) bool {
	warm, until := p.recovery.ColdShare, now
	if p.recovery.OverloadAfter <= 0 || p.recovery.OverloadFactor <= 0 { // cold endpoints do not fail from load
		return true
	}
	if !p.ejected[ep] {
		if until = p.restoredAt[ep]; until < 0 || now-until >= p.recovery.WarmupTime {
			return true
		}
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

// limiters holds the state of all rate limits, by limiter index.
type limiters struct {
	nodes float64

	maxEventsPerCall, inFlight                   []int     // inFlight: calls
	limit, endpointCount                         []float64 // limit: reported by the destination, in calls per second
	pace, credit                                 []float64 // pace: calls per second, 0 for unpaced; credit: calls allowed now
	heldUntil, creditAt, lastCutAt, lastGrowthAt []int64
	recentCalls                                  [][]int64  // start times within the last second
	lastCall                                     [][2]int32 // call opened last, by waitClass; -1: none
}

// add returns a new limiter. Its credit is random so that many nodes that are refused at once spread out.
func (l *limiters) add(maxEvents int, credit float64) int32 {
	i := int32(slices.Index(append(l.endpointCount, 0), 0)) // an index is free once all its endpoints are forgotten
	l.maxEventsPerCall, l.inFlight, l.endpointCount = setAt(l.maxEventsPerCall, i, maxEvents), setAt(l.inFlight, i, 0),
		setAt(l.endpointCount, i, 0)
	l.heldUntil, l.limit, l.recentCalls = setAt(l.heldUntil, i, 0), setAt(l.limit, i, 0), setAt(l.recentCalls, i, nil)
	l.pace, l.credit, l.creditAt = setAt(l.pace, i, 0), setAt(l.credit, i, credit), setAt(l.creditAt, i, 0)
	l.lastCutAt, l.lastGrowthAt = setAt(l.lastCutAt, i, -paceCutInterval), setAt(l.lastGrowthAt, i, 0)
	l.lastCall = setAt(l.lastCall, i, [2]int32{-1, -1})
	return i
}

// recordOutcome adapts the pace of a limiter to the outcome of a call.
func (l *limiters) recordOutcome(limiter int32, now int64, outcome delivery.Outcome, retryAfter int64, freeShare, limit float64) {
	l.limit[limiter] = cmp.Or(limit, l.limit[limiter])
	l.holdUntil(limiter, now+retryAfter)
	switch {
	case outcome == delivery.Acked && l.pace[limiter] > 0:
		span := float64(min(now-l.lastGrowthAt[limiter], maxGrowthSpan)) / float64(second)
		if fair := l.limit[limiter] / l.nodes; l.pace[limiter] < fair {
			l.pace[limiter] = min(fair, l.pace[limiter]+paceRecovery*fair*span)
		} else {
			l.pace[limiter] = min(l.pace[limiter]*(1+paceGrowth*span), cmp.Or(limit, math.MaxFloat64))
		}
		l.lastGrowthAt[limiter] = now
	case outcome == delivery.Refused && now >= l.lastCutAt[limiter]+paceCutInterval:
		l.lastCutAt[limiter], l.lastGrowthAt[limiter] = now, now
		cut := paceCutFactor * min(float64(l.callsInLastSecond(limiter, now)), cmp.Or(l.pace[limiter], math.MaxFloat64))
		if limit > 0 && freeShare < exhaustedShare { // the limit is used up, so this is not just a brief burst
			cut = min(cut, minPaceShare*limit/l.nodes)
		}
		// Where refused calls count against the limit, a minimum pace above this node's part would keep all calls refused.
		least := min(minPace, max(minPaceShare*cmp.Or(l.limit[limiter]/l.nodes, minPace/minPaceShare), absoluteMinPace))
		l.pace[limiter] = max(least, cut)
	}
}

// holdUntil holds the calls of a limiter until a time. It never shortens a hold.
func (l *limiters) holdUntil(limiter int32, until int64) {
	l.heldUntil[limiter] = max(l.heldUntil[limiter], until)
}

func (l *limiters) callsInLastSecond(limiter int32, now int64) int {
	l.recentCalls[limiter] = slices.DeleteFunc(l.recentCalls[limiter], func(at int64) bool { return at <= now-second })
	return len(l.recentCalls[limiter])
}

// admit takes the credit for one call, and reports whether the limiter's pace allowed it.
func (l *limiters) admit(limiter int32, now int64) bool {
	if l.pace[limiter] == 0 || now-l.creditAt[limiter] > paceIdleReset {
		l.pace[limiter], l.creditAt[limiter] = 0, now
		return true
	}
	depth := max(1, l.pace[limiter]*float64(paceBurstSpan)/float64(second))
	if !refill(&l.credit[limiter], &l.creditAt[limiter], now, l.pace[limiter], depth) {
		return false
	}
	l.credit[limiter]--
	return true
}

// staleDetector infers from calls lost after an idle time that idle connections are dead. Otherwise each call that uses
// one of them would be lost too.
type staleDetector struct {
	losses, acks                      int
	lastLossAt, minIdle, crowdedUntil int64 // minIdle: shortest before a loss; crowdedUntil: until then failed connects are no outage
}

func (s *staleDetector) record(lost bool, idle, now int64) {
	switch {
	case !lost && idle >= s.minIdle:
		s.acks++
	case lost && idle >= staleMinIdle:
		if s.losses == 0 || now-s.lastLossAt > staleDuration {
			s.losses, s.acks, s.minIdle = 0, 0, idle
		}
		s.losses, s.lastLossAt, s.minIdle = s.losses+1, now, min(s.minIdle, idle)
	}
}

func (s *staleDetector) isDead(idle, now int64) bool {
	return s.losses >= staleMinLosses && staleAcksPerLoss*s.losses > s.acks && now-s.lastLossAt <= staleDuration &&
		idle >= s.minIdle
}

// keyQueue holds the events of one key in the order of their arrival, and the time from which a new one may start.
type keyQueue struct {
	events []int32
	freeAt int64
}

type keyQueues map[uint64]*keyQueue

func (q keyQueues) add(key uint64, evt int32) {
	k := cmp.Or(q[key], &keyQueue{})
	q[key], k.events = k, append(k.events, evt)
}

func (q keyQueues) remove(key uint64, evt int32, now int64) {
	if k := q[key]; k != nil {
		k.events = slices.DeleteFunc(k.events, func(e int32) bool { return e == evt })
		if len(k.events) == 0 && now >= k.freeAt {
			delete(q, key)
		}
	}
}

func (q keyQueues) mayStart(key uint64, evt int32, started bool, now int64) bool {
	k := q[key]
	return k == nil || (k.events[0] == evt && (started || now >= k.freeAt))
}

// directory tracks the watch on the list of endpoints.
type directory struct {
	requiresWatch, automatic              bool // as in delivery.Directory
	watched, firstCallEnded               bool // watched: the watch is confirmed; firstCallEnded: with success or not
	nextWatchAt, retryDelay, firstWatchAt int64
}

// watchIfDue asks for a watch until one is confirmed: changes count as known to this node even if it does not watch.
func (d *directory) watchIfDue(now int64, exec delivery.Executor) {
	if d.requiresWatch && !d.watched && now >= d.nextWatchAt {
		exec.Watch(true)
		d.nextWatchAt, d.firstWatchAt = now+watchTimeout, cmp.Or(d.firstWatchAt, now)
	}
}

// holdsSends reports whether sends wait for the first list. The list kept from before a restart is outdated, and with
// an automatic directory later changes count as known from the first moment. A directory that cannot be reached must not
// hold back accepted events for long.
func (d *directory) holdsSends(now int64) bool {
	return d.automatic && !d.firstCallEnded && now < d.firstWatchAt+firstListWait
}

// confirmed records that the newest watch has delivered a list.
func (d *directory) confirmed() {
	d.watched, d.firstCallEnded, d.retryDelay = true, true, 0
}

// failed schedules the next call. A failure does not say whether an earlier watch is still in force.
func (d *directory) failed(now int64, rng *pcg) {
	d.watched, d.firstCallEnded, d.retryDelay = false, true, min(max(minWatchRetry, 2*d.retryDelay), maxWatchRetry)
	d.nextWatchAt = now + d.retryDelay + int64(rng.float()*jitterShare*float64(d.retryDelay))
}

// pcg is a permuted congruential generator (PCG-XSH-RR 64/32).
type pcg uint64

func (p *pcg) float() float64 {
	old := uint64(*p)
	*p = pcg(old*6364136223846793005 + 1442695040888963407)
	return float64(bits.RotateLeft32(uint32(((old>>18)^old)>>27), -int(old>>59))) / (1 << 32)
}
