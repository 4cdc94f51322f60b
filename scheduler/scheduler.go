// Package choice decides for one delivery node when and where each event is sent, and how it ends.
// Call New once at start and Round once a round, with a feed that hands in all that came and a writer that
// takes the decisions. The interface is package port. The retry rule of docs/design.md decides the ordinary
// path: a told wait holds a whole lane; else an event's delays grow, with jitter, up to its cap of sends and
// its max age, under the companion pace. A lane shares one limit: a destination, or a route apart.
//
// Beside the design stand these mechanisms:
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

	refusalBaseDelay      = 5 * second   // longest base after a refusal: the source's default
	refusalBaseDivisor    = 10           // the base is at most this part of max age, so that several tries fit in
	refusalBackoff        = 1 * second   // first extra after a refusal, doubling: the source's default
	refusalBackoffDivisor = 50           // the extra is at most this part of max age, for the same reason
	errorBackoff          = second / 5   // first delay after other errors, doubling: one quick second look
	maxSpreadShare        = 0.4          // refused events are spread over at most this part of the time they have left
	jitterShare           = 0.5          // delays grow by chance by up to half: spreads nodes, still orders the tries
	paceCutInterval       = 1 * second   // a burst of refusals is one sign, not many: one cut a second
	paceCutFactor         = 0.5          // a refusal halves the pace: the design's figure
	minPace               = 1.0          // calls a second below which a pace never falls: keeps signs coming
	paceGrowth            = 0.1          // share by which a pace climbs each second while all is served
	minPaceShare          = 0.6          // least pace, in parts of our even part of a told limit: others are unpaced
	absoluteMinPace       = 0.1          // calls a second under which no pace falls: one in the life of most events
	exhaustedShare        = 0.15         // a refusal with less than this share of the limit left shows it used up
	paceRecovery          = 0.5          // below our even part of a told limit it climbs by so much of that a second
	maxGrowthSpan         = 3 * second   // time without an answer over which it climbs at most: nodes that seldom send
	paceIdleReset         = 60 * second  // a lane idle for a minute starts unpaced
	paceBurstSpan         = second / 2   // calls saved up while idle, in time at the pace: under the shortest span
	minFullRetryAfter     = second / 4   // least come-back time where there is no room: an answer or two frees some
	finalAnswerMargin     = second / 50  // final answers go out this long before max age: a few rounds' time
	wakeInterval          = second / 100 // next look: a fraction of any answer time

	dedupMargin            = second / 10    // a repeat leaves this long before its mark is forgotten: covers the way there
	attemptsPerDedupWindow = 2              // a send takes at most this part of its window: the rest is for a repeat
	minWatchRetry          = second / 2     // first delay before the directory is asked again, doubling
	maxWatchRetry          = 3 * second / 2 // longest such delay: what it has counts as told 6 s after it can be reached
	watchTimeout           = 4 * second     // a call that told nothing so long is asked again: sockets give up sooner
	firstListWait          = 1 * second     // sends wait so long for the first list, where lists are pushed
	coldBudgetShare        = 0.95           // part of the budget that is used: the told limit is under what they can do
	outageCallsShare       = 2.0            // calls an endpoint is sent in an outage, in parts of its limit: repeats too
	coldDeviations         = 1.5            // deviations of chance that many nodes leave free in the budget
	fewColdCalls           = 4.0            // a node's part of a cold budget under which one sign shows an outage
	minColdShare           = 0.2            // part of it that is used all the same: untried, an endpoint stays away
	defaultLimit           = 2.0            // calls a second taken where no limit is told: about the least there is

	ejectAfterFailures = 2              // failures in a row that set an endpoint aside: one alone may be chance
	ejectAfterResets   = 4              // resets do so: a network breaks connections too, and one that is down refuses
	unavailableWait    = 2 * second     // so does a told wait as long: a limit's count begins anew within less
	unavailableShare   = 0.8            // a refusal with this share of the limit left shows a destination that is shut
	latencyWeight      = 0.125          // weight of a new answer time: the usual figure for round trips
	overdueDeviations  = 4.0            // an answer is overdue this many deviations past the mean: the usual figure
	timeoutDeviations  = 8.0            // and a time-out twice as many
	minOverdue         = second / 2     // no answer is overdue before this: a stall of a moment is no sign
	minTimeout         = 3 * second / 2 // no time-out below this: stalls pass in less, and a repeat costs more
	defaultTimeout     = 4 * second     // time-out before any answer is measured
	timeoutMultiple    = 4              // time-outs are this much longer: late is worth more than twice
	backlogPerSlot     = 3              // events waiting for each slot that make silence cost more than a repeat
	scarceSlotsDivisor = 8              // slots are scarce with less than this part of them free: one or two
	priorityLookahead  = 2 * second     // an event's place in the queue weighs what it loses by waiting so long
	staleMinIdle       = second / 10    // calls lost after a shorter idle time are no sign of dead connections
	staleAcksPerLoss   = 3              // good answers for each call lost that clear idle connections of it
	idleLevels         = 8              // calls out at once up to which idle times are told apart: one connection each
	staleMinLosses     = 3              // signs that make it so: a crash may bring one or two
	staleDuration      = 30 * second    // idle connections are closed for so long after the last sign
	crowdedMinNodes    = 8              // fewer nodes do not fill an endpoint with an idle connection each
	removedRetention   = 30 * second    // an endpoint off the list is known so long: what follows it takes its outage
	rankInterval       = 1 * second     // the order of endpoints is renewed so often: a few answers come in between
	rankFillCalls      = 1              // calls out at an endpoint before the next in order is used: no queue there
)

type event struct {
	typ, sends, refusals, errors                  int
	dest, call                                    int32 // call is -1 while nothing is out
	key                                           uint64
	arrivedAt, deadline, notBefore, sentAt, ranAt int64   // last send; first send that may have run
	slo                                           int64   // SLO time, stretched by its work where the type says so
	value, waitCost                               float64 // utility in time; what it loses by waiting on
	ranZone                                       int
	possiblyRan, live, cancelled, unsentCancelled bool
	unconfirmed                                   []unconfirmed
}

// unconfirmed is a send that is said not to have run by an answer that may be another call's.
type unconfirmed struct {
	send   int
	sentAt int64
	zone   int
}

type call struct {
	endpoint                     int32
	startedAt, round, idleBefore int64 // when it went out; idle: how long nothing was out to the endpoint before
	events                       int   // outcomes still to come
	recorded, countedLost        bool  // its fate is known; it was overdue
}

type Scheduler struct {
	exec   delivery.Executor
	rng    pcg
	types  []delivery.StreamType
	kinds  []delivery.DestinationKind
	limits delivery.Limits

	events                     []event
	waiting, destLimiter       []int32 // live events with nothing out, in order; a destination's lane, where shared
	calls                      []call  // those with no outcome to come are free to be used again
	openCalls                  int     // calls out
	now, round                 int64
	wakeAt, rankAt, orderPause int64 // pause: a key rests so long after a send that may still run

	dir          directory
	keyQueues    keyQueues
	peerMessages bool // peers may be told things
	stale        staleDetector
	limiters     limiters

	endpoints endpoints
	byDest    [][]int32 // a destination's endpoints, in their ranked order
}

func New(seed uint64, types []delivery.StreamType, kinds []delivery.DestinationKind, room delivery.Limits, back delivery.Recovery,
	dir delivery.Directory, fleet delivery.Cluster, orderPause int64) *Scheduler {
	return &Scheduler{rng: pcg(seed), types: types, kinds: append(kinds, delivery.DestinationKind{MaxEventsPerCall: 1}), limits: room,
		dir: directory{requiresWatch: dir.RequiresWatch, automatic: dir.Automatic}, keyQueues: keyQueues{}, orderPause: orderPause,
		peerMessages: fleet.PeerMessages, endpoints: endpoints{recovery: back}, limiters: limiters{nodes: float64(max(1, fleet.Nodes))}}
}

func (n *Scheduler) Round(now int64, feed delivery.Feed, out delivery.Executor) {
	n.now, n.exec, n.round = now, out, n.round+1
	feed.Deliver(n)
	n.dir.watchIfDue(now, out)
	n.endpoints.findOverdue(now, n.calls, &n.stale)
	if now >= n.rankAt { // the quickest first; by chance until measured, else all nodes begin with the same
		n.rankAt = now + rankInterval
		for d, list := range n.byDest {
			list = slices.DeleteFunc(list, func(ep int32) bool { return n.forgetIfRemoved(ep, d) })
			slices.SortStableFunc(list, func(a, b int32) int { return cmp.Compare(n.endpoints.latencyMean[a], n.endpoints.latencyMean[b]) })
			n.byDest[d] = list
		}
	}
	n.expire()
	n.dispatch()
	if n.wakeAt <= now {
		n.wakeAt = now + wakeInterval
		out.Wake(wakeInterval)
	}
}

func (n *Scheduler) Event(evt int32, typ, customer int, key uint64, left, work int64, dest int32) { // port.Intake
	n.ensureDestination(dest)
	t, age := &n.types[typ], n.types[typ].MaxAge-left // handed in before, it is no longer new
	n.events = setAt(n.events, evt, event{typ: typ, dest: dest, call: -1, key: key, arrivedAt: n.now - age,
		notBefore: n.now, deadline: n.now + left - finalAnswerMargin, live: true, value: t.Utility,
		slo: min(t.MaxAge, t.SLO+int64(t.SLOPerWork*float64(work)))})
	if t.Ordered && key != 0 {
		n.keyQueues.add(key, evt)
	}
	n.waiting = append(n.waiting, evt)
}

// Resumed: danger: sends before a restart count, and one that was out then may have run, and may run still.
func (n *Scheduler) Resumed(evt int32, sends int, mayRun bool, ago int64, zone int) {
	e := &n.events[evt]
	e.sends, e.possiblyRan, e.ranAt, e.ranZone = sends, mayRun, n.now-ago, zone
	if k := n.keyQueues[e.key]; k != nil && mayRun && n.types[e.typ].Ordered {
		k.freeAt = n.now + n.orderPause
	}
}

func (n *Scheduler) RetryAfter() int64 {
	return min(minFullRetryAfter+int64(n.rng.float()*float64(minFullRetryAfter)), n.limits.MaxRetryAfter)
}

func (n *Scheduler) ProcessingStarted(evt int32, send int) { n.events[evt].deadline = math.MaxInt64 } // no time runs any more

// Unconfirmed: an answer that may be another call's proves nothing of its send.
func (n *Scheduler) Unconfirmed(evt int32, send int) {
	e := &n.events[evt]
	if e.call >= 0 {
		e.unconfirmed = append(e.unconfirmed, unconfirmed{send, e.sentAt, n.endpoints.zone[n.calls[e.call].endpoint]})
	}
}

func (n *Scheduler) Confirmed(evt int32, send int) {
	e := &n.events[evt]
	e.unconfirmed = slices.DeleteFunc(e.unconfirmed, func(u unconfirmed) bool { return u.send == send })
}

func (n *Scheduler) Outcome(evt int32, send int, ep int32, how delivery.Outcome, wait, took int64, ended bool,
	left, told float64) {
	e := &n.events[evt]
	if e.call >= 0 {
		c := &n.calls[e.call]
		// The events of a call may come to be sent in different ones, of which only one tells a wait.
		n.limiters.holdUntil(n.endpoints.limiter[ep], n.now+wait)
		if !c.recorded {
			c.recorded = true
			n.limiters.recordOutcome(n.endpoints.limiter[ep], n.now, how, wait, left, told)
			was := n.endpoints.ejected[ep]
			soon := n.endpoints.latencyMean[ep] * min(0.5, float64(c.idleBefore)/1e9) // after a short idle time it must be the quicker
			if how == delivery.Acked || (how == delivery.Reset && float64(took) < soon) {
				n.stale.record(how == delivery.Reset, c.idleBefore, n.now)
			}
			if how == delivery.Acked && (n.endpoints.failures[ep] == 1 || (!was && n.endpoints.failures[ep] > 0)) &&
				n.endpoints.lastFailure[ep] == delivery.ConnectFailed && n.limiters.nodes >= crowdedMinNodes { // no outage
				n.stale.crowdedUntil = n.now + staleDuration
			}
			// Danger: each of many nodes meets an outage but once, by a refused connection too, and pushes on the
			// destination when it is back; all come when the wait ends that a shut one told. And one call may
			// have sat out a silence alone: when it ends, the backlog follows.
			mute, luck := (how == delivery.TimedOut && took >= unavailableWait || how == delivery.Cancelled && took >= minTimeout) &&
				n.endpoints.lastAckAt[ep] < c.startedAt, n.rng.float()
			limit := n.limiters.limit[n.endpoints.limiter[ep]]
			many := n.endpoints.coldBudget(limit) < fewColdCalls*n.limiters.nodes
			sure := mute || wait >= unavailableWait || (how == delivery.ConnectFailed &&
				(took >= minOverdue || (many && limit > 0 && n.now >= n.stale.crowdedUntil)))
			if mute { // time-outs end apart from each other: one try at once brings no crowd
				luck = 1
			}
			n.endpoints.recordOutcome(ep, n.now, how, took, told > 0 && left < unavailableShare, sure, luck)
			if !was && n.endpoints.ejected[ep] {
				n.exec.Log("endpoint set aside", ep)
				for _, sib := range n.byDest[e.dest] { // danger: an outage takes all, and each is tried by many
					if sure && (many || wait >= unavailableWait) && n.endpoints.limiter[sib] == n.endpoints.limiter[ep] &&
						n.endpoints.lastAckAt[sib] < n.endpoints.firstFailureAt[ep] {
						n.endpoints.eject(sib, n.now, n.rng.float())
					}
				}
			} else if was && !n.endpoints.ejected[ep] {
				n.exec.Log("endpoint back, warming up", ep)
				if n.peerMessages {
					n.exec.AnnounceHealthy(ep)
				}
			}
			for _, sib := range n.byDest[e.dest] { // danger: saved up during a told wait, all spend credit at its end
				if n.endpoints.ejected[sib] && n.endpoints.limiter[sib] == n.endpoints.limiter[ep] {
					n.endpoints.creditAt[sib] = max(n.endpoints.creditAt[sib], n.limiters.waitUntil[n.endpoints.limiter[ep]])
				}
			}
		}
		if c.events--; c.events == 0 {
			lane := n.endpoints.limiter[ep]
			n.openCalls, n.endpoints.inFlight[ep], n.limiters.inFlight[lane] = n.openCalls-1, n.endpoints.inFlight[ep]-1, n.limiters.inFlight[lane]-1
			n.endpoints.lastInFlight[ep][min(n.endpoints.inFlight[ep], idleLevels-1)] = n.now
			n.closeIdleIfCrowded(ep)
		}
		e.call = -1
	}
	if how.MayHaveRun() && how != delivery.Acked {
		if !e.possiblyRan {
			e.possiblyRan, e.ranAt, e.ranZone = true, e.sentAt, n.endpoints.zone[ep]
		}
		if k := n.keyQueues[e.key]; k != nil && how != delivery.Errored && n.types[e.typ].Ordered {
			k.freeAt = n.now + n.orderPause // the send may still run: the key's next event must not overtake it
		}
	}
	if ended || !e.live {
		n.closeEvent(evt)
	} else {
		n.retry(evt, ep, how, wait)
	}
}

func (n *Scheduler) ListStarted(whole bool) {
	if whole {
		clear(n.endpoints.ready)
	}
}

func (n *Scheduler) EndpointListed(ep, dest int32, kind, zone int, state delivery.EndpointState, rate float64) {
	n.ensureDestination(dest)
	if int(ep) >= len(n.endpoints.limiter) || n.endpoints.limiter[ep] < 0 {
		n.endpoints.reset(ep)
		n.endpoints.zone[ep], n.endpoints.credit[ep], n.endpoints.creditAt[ep] = zone, n.rng.float(), n.now
		n.byDest[dest] = slices.Insert(n.byDest[dest], int(n.rng.float()*float64(len(n.byDest[dest])+1)), ep)
		partner := n.kinds[min(kind, len(n.kinds)-1)]
		if n.endpoints.limiter[ep] = n.destLimiter[dest]; partner.LimitPerEndpoint || n.destLimiter[dest] < 0 {
			n.endpoints.limiter[ep] = n.limiters.add(partner.MaxEventsPerCall, n.rng.float())
			n.destLimiter[dest] = n.endpoints.limiter[ep]
		}
		n.limiters.endpoints[n.endpoints.limiter[ep]]++
		n.limiters.limit[n.endpoints.limiter[ep]] = cmp.Or(n.limiters.limit[n.endpoints.limiter[ep]], rate)
		// Danger: a new endpoint of a destination in an outage gets the whole backlog at once. It comes cold.
		for _, sib := range n.byDest[dest] {
			n.endpoints.ejected[ep] = n.endpoints.ejected[ep] || n.endpoints.ejected[sib]
			n.endpoints.restoredAt[ep] = max(n.endpoints.restoredAt[ep], n.endpoints.restoredAt[sib])
		}
	}
	n.endpoints.ready[ep] = state == delivery.Ready
}

func (n *Scheduler) ListEnded() {
	n.dir.watched, n.dir.retryDelay = n.dir.nextWatchAt > 0, 0
	n.dir.firstCallEnded = n.dir.watched
}

func (n *Scheduler) Withdrawn(evt int32)                                             { n.closeEvent(evt) }
func (n *Scheduler) ListFailed()                                                     { n.dir.failed(n.now, &n.rng) }
func (n *Scheduler) Probed(ep int32, how delivery.Outcome, took int64, l, r float64) {}
func (n *Scheduler) Woken()                                                          { n.wakeAt = 0 }

func (n *Scheduler) PeerReportedHealthy(peer int, ep int32) {
	if n.endpoints.suspect(ep, n.now) { // it comes back, cold
		n.endpoints.restore(ep, n.now, n.rng.float())
	}
}

func (n *Scheduler) ensureDestination(dest int32) {
	if int(dest) >= len(n.byDest) {
		n.byDest, n.destLimiter = setAt(n.byDest, dest, nil), setAt(n.destLimiter, dest, -1)
	}
}

// retry plans an event's next send after a failed one, or ends it.
func (n *Scheduler) retry(evt, ep int32, how delivery.Outcome, wait int64) {
	e, t := &n.events[evt], &n.types[n.events[evt].typ]
	delay := wait
	switch {
	case how == delivery.Refused && wait == 0:
		delay = min(refusalBaseDelay, t.MaxAge/refusalBaseDivisor) + min(refusalBackoff, t.MaxAge/refusalBackoffDivisor)<<min(e.refusals, 20)
		e.refusals++
	case how != delivery.Refused:
		delay = errorBackoff << min(e.errors, 20)
		e.errors++
	}
	if wait == 0 {
		delay += int64(n.rng.float() * jitterShare * float64(delay))
	}
	// Danger: a clump refused at many nodes comes back at once. It is spread until our part brings a call.
	if l := n.limiters.limit[n.endpoints.limiter[ep]]; how == delivery.Refused && l > 0 {
		left := maxSpreadShare * float64(max(0, n.lastSendTime(e)-n.now-delay))
		delay += int64(n.rng.float() * min(n.limiters.nodes/l*float64(second), left))
	}
	e.notBefore = n.now + delay
	if e.notBefore >= n.lastSendTime(e) {
		n.finish(evt, delay)
		return
	}
	n.waiting = append(n.waiting, evt)
}

// lastSendTime: danger: past it a send comes too late or takes effect twice, its mark being forgotten or missing.
func (n *Scheduler) lastSendTime(e *event) int64 {
	switch t := &n.types[e.typ]; {
	case e.sends >= n.limits.MaxAttempts || (e.mayHaveRun() && t.Safety == delivery.NonIdempotent):
		return min(n.now, e.deadline)
	}
	return min(e.deadline, n.dedupWindowEnd(e))
}

// dedupWindowEnd is the end of the time in which a repeat is known by its mark.
func (n *Scheduler) dedupWindowEnd(e *event) int64 {
	if t := &n.types[e.typ]; e.mayHaveRun() && t.Safety == delivery.Deduplicated {
		at, _ := e.firstPossibleRun()
		return at + t.DedupWindow - dedupMargin
	}
	return math.MaxInt64
}

// mayHaveRun tells whether a send may have taken effect.
func (e *event) mayHaveRun() bool { return e.possiblyRan || len(e.unconfirmed) > 0 }

// firstPossibleRun is when, and to which zone, the first send went out that may have run.
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

// finish ends an event at once: declined, with the time to come back, where nothing can have run.
func (n *Scheduler) finish(evt int32, comeBack int64) {
	if e := &n.events[evt]; e.mayHaveRun() || e.call >= 0 {
		if e.call >= 0 { // danger: what still connects must not go out after the end was told
			n.exec.CancelUnsent(evt, e.sends-1)
		}
		n.exec.Discard(evt)
	} else {
		n.exec.Decline(evt, min(comeBack, n.limits.MaxRetryAfter))
	}
	n.closeEvent(evt)
}

func (n *Scheduler) closeEvent(evt int32) { // a send still out keeps its key's turn until its outcome
	n.events[evt].live = false
	if e := &n.events[evt]; e.call < 0 {
		n.keyQueues.remove(e.key, evt, n.now)
	}
}

// expire answers events whose time is up. Danger: silent calls hold all slots; those without hope end.
func (n *Scheduler) expire() {
	scarce := scarceSlotsDivisor*(n.limits.MaxConcurrentCalls-n.openCalls) <= n.limits.MaxConcurrentCalls && len(n.waiting) > backlogPerSlot*n.limits.MaxConcurrentCalls
	for i := range n.events {
		e := &n.events[i]
		if e.live && (n.now >= e.deadline || (e.call < 0 && n.now >= n.lastSendTime(e))) {
			n.finish(int32(i), 0)
		}
		if !e.live || e.call < 0 {
			continue
		}
		c := &n.calls[e.call]
		// Danger: a send waits for its connection; a wait, the list or its window may forbid it when that stands.
		if !e.unsentCancelled && (n.now < n.limiters.waitUntil[n.endpoints.limiter[c.endpoint]] || !n.endpoints.ready[c.endpoint] ||
			n.now >= n.dedupWindowEnd(e)) {
			n.exec.CancelUnsent(int32(i), e.sends-1)
			e.unsentCancelled = true
		}
		if e.cancelled || !n.limits.CanCancel {
			continue
		}
		late := n.now-c.startedAt >= n.endpoints.timeout(c.endpoint)
		dead := n.stale.isDead(c.idleBefore, n.now) && n.types[e.typ].Safety != delivery.NonIdempotent
		if (late && (dead || scarce)) || (!n.endpoints.ready[c.endpoint] && n.endpoints.suspect(c.endpoint, n.now)) {
			n.exec.Cancel(int32(i), e.sends-1)
			e.cancelled = true
		}
	}
}

// closeIdleIfCrowded: danger: where endpoints take few connections, those many nodes keep idle shut out the others.
func (n *Scheduler) closeIdleIfCrowded(ep int32) {
	if n.now < n.stale.crowdedUntil && n.endpoints.inFlight[ep] == 0 && n.endpoints.lastInFlight[ep][0] > 0 {
		n.exec.CloseIdle(ep)
		n.endpoints.lastInFlight[ep] = [idleLevels]int64{}
	}
}

// forgetIfRemoved frees the index of an endpoint off the list. Danger: where all are new, what is kept of them grows.
func (n *Scheduler) forgetIfRemoved(ep int32, dest int) bool {
	if n.closeIdleIfCrowded(ep); n.endpoints.ready[ep] || n.endpoints.inFlight[ep] > 0 {
		n.endpoints.lastListedAt[ep] = n.now
	}
	lane := n.endpoints.limiter[ep]
	old := n.now >= max(n.endpoints.lastListedAt[ep]+removedRetention, n.limiters.waitUntil[lane])
	if old {
		if n.limiters.endpoints[lane]--; n.limiters.endpoints[lane] == 0 && n.destLimiter[dest] == lane {
			n.destLimiter[dest] = -1
		}
		n.endpoints.limiter[ep] = -1
		n.exec.Forget(ep)
	}
	return old
}

func (n *Scheduler) dispatch() {
	if n.dir.holdsSends(n.now) {
		return
	}
	for _, evt := range n.waiting {
		e, t := &n.events[evt], &n.types[n.events[evt].typ]
		e.waitCost = e.value * (utilityShare(t, e.slo, n.now-e.arrivedAt) - utilityShare(t, e.slo, n.now-e.arrivedAt+priorityLookahead))
	}
	// Danger: in the order of coming, those that lose fast wait behind a backlog of those that lose little.
	slices.SortStableFunc(n.waiting, func(a, b int32) int {
		x, y := &n.events[a], &n.events[b]
		return cmp.Or(cmp.Compare(y.waitCost, x.waitCost), cmp.Compare(x.arrivedAt, y.arrivedAt))
	})
	for _, evt := range n.waiting {
		e := &n.events[evt]
		if ordered := n.types[e.typ].Ordered; e.live && n.now >= e.notBefore &&
			(!ordered || n.keyQueues.mayStart(e.key, evt, e.sends > 0, n.now)) {
			if ep := n.pickEndpoint(e); ep >= 0 {
				n.send(evt, ep)
			}
		}
	}
	n.waiting = slices.DeleteFunc(n.waiting, func(evt int32) bool {
		return !n.events[evt].live || n.events[evt].call >= 0
	})
}

func utilityShare(t *delivery.StreamType, slo, age int64) float64 { // the share of its utility left at an age
	late := float64(max(0, age-slo))
	switch {
	case age >= t.MaxAge:
		return 0
	case t.ExponentialDecay:
		return max(t.LateUtility, math.Pow(0.5, late/float64(slo)))
	}
	return 1 - (1-t.LateUtility)*late/float64(max(1, t.MaxAge-slo))
}

// pickEndpoint picks one for an event, -1 for none: the first with room, else the least used; set aside singly.
func (n *Scheduler) pickEndpoint(e *event) int32 {
	best, trial, t := int32(-1), int32(-1), &n.types[e.typ]
	_, ranZone := e.firstPossibleRun()
	for _, ep := range n.byDest[e.dest] {
		lane := n.endpoints.limiter[ep]
		switch {
		case !n.endpoints.ready[ep] || n.now < n.limiters.waitUntil[lane]:
		case e.mayHaveRun() && t.DedupPerZone && n.endpoints.zone[ep] != ranZone: // it does not know the mark
		case n.joinableCall(ep, t) >= 0:
			return ep
		case !n.endpoints.admit(ep, n.now, cmp.Or(n.limiters.limit[lane], defaultLimit)/n.limiters.endpoints[lane], n.limiters.nodes):
		case n.endpoints.suspect(ep, n.now):
			if n.endpoints.inFlight[ep] == 0 && (trial < 0 || n.endpoints.firstFailureAt[ep] < n.endpoints.firstFailureAt[trial]) {
				trial = ep
			}
		case best < 0 || (n.endpoints.inFlight[best] >= rankFillCalls && n.endpoints.inFlight[ep] < n.endpoints.inFlight[best]):
			best = ep
		}
	}
	// Danger: a trial at a silent endpoint costs a non-idempotent event its life, and any other its time-out.
	if trial < 0 || (best >= 0 && e.errors > 0) ||
		(t.Safety == delivery.NonIdempotent && n.endpoints.lastFailure[trial].MayHaveRun() && n.now-e.arrivedAt <= t.MaxAge/2) {
		return best
	}
	return trial
}

func (n *Scheduler) send(evt, ep int32) {
	e, l, lane := &n.events[evt], &n.limiters, n.endpoints.limiter[ep]
	t := &n.types[e.typ]
	if e.call = n.joinableCall(ep, t); e.call < 0 {
		// Danger: a destination that answers late or never fills the slots. Each leaves half of those it finds.
		if l.inFlight[lane] >= n.limits.MaxConcurrentCalls-n.openCalls || !l.admit(lane, n.now) {
			return
		}
		e.call = int32(slices.IndexFunc(append(n.calls, call{}), func(c call) bool { return c.events == 0 }))
		idle := n.now - cmp.Or(n.endpoints.lastInFlight[ep][min(n.endpoints.inFlight[ep], idleLevels-1)], n.now) // 0 for a first call
		if n.stale.isDead(idle, n.now) {
			n.exec.CloseIdle(ep)
			idle = 0
		}
		n.calls = setAt(n.calls, e.call, call{endpoint: ep, startedAt: n.now, round: n.round, idleBefore: idle})
		n.openCalls, n.endpoints.inFlight[ep], l.inFlight[lane] = n.openCalls+1, n.endpoints.inFlight[ep]+1, l.inFlight[lane]+1
		n.endpoints.credit[ep] = max(0, n.endpoints.credit[ep]-1)
		l.lastCall[lane][waitClass(t)] = e.call
		l.callsInLastSecond(lane, n.now)
		l.recentCalls[lane] = append(l.recentCalls[lane], n.now)
	}
	n.calls[e.call].events++
	e.sends, e.sentAt, e.cancelled, e.unsentCancelled = e.sends+1, n.now, false, false
	timeout, short := e.deadline-n.now, n.endpoints.timeout(ep)
	switch t.Safety { // for non-idempotent ones it would be the end
	case delivery.Idempotent:
		timeout = min(timeout, timeoutMultiple*short)
	case delivery.Deduplicated: // danger: past its window no repeat is allowed, and the event is lost
		timeout = min(timeout, timeoutMultiple*short, max(short, t.DedupWindow/attemptsPerDedupWindow))
	}
	n.exec.Send(evt, ep, timeout)
}

// joinableCall is the call opened in this round to an endpoint, if it has room for one more event, -1 for none.
// Danger: a call ends as a whole, so events that must wait for their answer share none with those that are
// soon repeated.
func (n *Scheduler) joinableCall(ep int32, t *delivery.StreamType) int32 {
	last := n.limiters.lastCall[n.endpoints.limiter[ep]][waitClass(t)]
	if last >= 0 && n.calls[last].round == n.round && n.calls[last].endpoint == ep &&
		n.calls[last].events < n.limiters.maxEventsPerCall[n.endpoints.limiter[ep]] {
		return last
	}
	return -1
}

func waitClass(t *delivery.StreamType) int {
	if t.Safety == delivery.NonIdempotent {
		return 1
	}
	return 0
}

type endpoints struct {
	recovery delivery.Recovery

	limiter                             []int32
	ready, ejected                      []bool              // listed as ready; set aside
	lastFailure                         []delivery.Outcome  // how the last call that failed ended
	latencyMean, latencyDev, credit     []float64           // answer times; calls that may go while cold
	zone, inFlight, failures, timeouts  []int               // fails, timeouts: in a row
	firstFailureAt, lastAckAt, creditAt []int64             // first of the failures in a row; last good answer
	lastInFlight                        [][idleLevels]int64 // when it last had a call more than so many out, 0 for never
	overdueAt, lastListedAt, restoredAt []int64             // oldest call overdue, 0: none; last listed; back, -1: never
}

func (p *endpoints) reset(ep int32) { // as one that was never heard of
	p.limiter, p.zone, p.inFlight = setAt(p.limiter, ep, -1), setAt(p.zone, ep, 0), setAt(p.inFlight, ep, 0)
	p.ready, p.ejected, p.lastFailure = setAt(p.ready, ep, false), setAt(p.ejected, ep, false), setAt(p.lastFailure, ep, delivery.Acked)
	p.latencyMean, p.latencyDev, p.credit = setAt(p.latencyMean, ep, 0), setAt(p.latencyDev, ep, 0), setAt(p.credit, ep, 1)
	p.failures, p.timeouts, p.firstFailureAt = setAt(p.failures, ep, 0), setAt(p.timeouts, ep, 0), setAt(p.firstFailureAt, ep, 0)
	p.lastAckAt, p.overdueAt, p.restoredAt = setAt(p.lastAckAt, ep, -1), setAt(p.overdueAt, ep, 0), setAt(p.restoredAt, ep, -1)
	p.creditAt, p.lastListedAt, p.lastInFlight = setAt(p.creditAt, ep, 0), setAt(p.lastListedAt, ep, 0), setAt(p.lastInFlight, ep, [idleLevels]int64{})
}

func setAt[T any](list []T, i int32, v T) []T { // sets a figure, also of the next new index
	list = append(list, make([]T, max(0, int(i)+1-len(list)))...)
	list[i] = v
	return list
}

// findOverdue finds the overdue calls: silence shows before any time-out ends.
func (p *endpoints) findOverdue(now int64, calls []call, s *staleDetector) {
	clear(p.overdueAt)
	for i := range calls {
		if c := &calls[i]; c.events > 0 && c.startedAt > p.lastAckAt[c.endpoint] && !s.isDead(c.idleBefore, now) {
			at := c.startedAt + max(minOverdue, int64(p.latencyMean[c.endpoint]+overdueDeviations*p.latencyDev[c.endpoint]))
			if now >= c.startedAt+p.timeout(c.endpoint) && !c.countedLost && c.idleBefore >= minOverdue {
				c.countedLost = true
				s.record(true, c.idleBefore, now)
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

func (p *endpoints) recordOutcome(ep int32, now int64, how delivery.Outcome, took int64, full, sure bool, luck float64) {
	switch {
	case how == delivery.Unsent, how == delivery.Unreadable,
		!sure && (how == delivery.Cancelled || how == delivery.Refused && full):
		return // called off, the silence may be of the way there; spoilt, it answers; over a limit, it is not shut
	case how == delivery.Acked:
		if p.ejected[ep] {
			p.restore(ep, now, luck)
		}
		p.failures[ep], p.timeouts[ep], p.lastAckAt[ep] = 0, 0, now
		if p.latencyMean[ep] == 0 {
			p.latencyMean[ep], p.latencyDev[ep] = float64(took), float64(took)/2
		}
		p.latencyDev[ep] += latencyWeight * (math.Abs(float64(took)-p.latencyMean[ep]) - p.latencyDev[ep])
		p.latencyMean[ep] += latencyWeight * (float64(took) - p.latencyMean[ep])
		return
	case how == delivery.TimedOut:
		p.timeouts[ep]++
	}
	if p.lastFailure[ep], p.failures[ep] = how, p.failures[ep]+1; p.failures[ep] == 1 {
		p.firstFailureAt[ep] = now
	}
	enough := p.failures[ep] >= ejectAfterFailures && (how != delivery.Reset || p.failures[ep] >= ejectAfterResets)
	if sure || (enough && (how != delivery.Refused || now-p.firstFailureAt[ep] >= paceCutInterval)) {
		p.eject(ep, now, luck)
	}
}

// coldBudget is the calls that a cold destination of some limit bears in the rule's window.
func (p *endpoints) coldBudget(limit float64) float64 {
	return p.recovery.OverloadFactor * p.recovery.ColdShare * limit * float64(p.recovery.OverloadAfter) / float64(second)
}

func (p *endpoints) eject(ep int32, now int64, luck float64) {
	if p.restoredAt[ep] = -1; !p.ejected[ep] {
		p.ejected[ep], p.credit[ep], p.creditAt[ep] = true, luck, now
	}
}

func (p *endpoints) restore(ep int32, now int64, luck float64) {
	p.credit[ep], p.creditAt[ep] = luck, now // danger: all peers hear of a return and spend what they saved up
	p.ejected[ep], p.restoredAt[ep], p.failures[ep], p.timeouts[ep], p.lastAckAt[ep] = false, now, 0, 0, now
}

// admit tells if a cold endpoint bears one more call. Danger: pushed over it stays down. All that met it share.
func (p *endpoints) admit(ep int32, now int64, rate, nodes float64) bool {
	warm, until := p.recovery.ColdShare, now
	if p.recovery.OverloadAfter <= 0 || p.recovery.OverloadFactor <= 0 { // nothing falls there
		return true
	}
	if !p.ejected[ep] {
		if until = p.restoredAt[ep]; until < 0 || now-until >= p.recovery.WarmupTime {
			return true
		}
		warm += (1 - warm) * float64(now-until) / float64(p.recovery.WarmupTime)
	}
	window := float64(p.recovery.OverloadAfter) / float64(second)
	met := -math.Expm1(-outageCallsShare * rate / nodes * (float64(until-p.firstFailureAt[ep])/float64(second) + window))
	budget := p.recovery.OverloadFactor * warm * rate * window
	if nodes*met > budget { // danger: with less than a call for each of many nodes, chance brings them together
		budget = max(minColdShare*budget, budget-coldDeviations*math.Sqrt(budget))
	}
	return refill(&p.credit[ep], &p.creditAt[ep], now, coldBudgetShare*budget/window/max(1, nodes*met), 1)
}

// refill adds the calls that a rate has brought since the last look, up to a depth, and tells if one may go.
func refill(credit *float64, at *int64, now int64, rate, depth float64) bool {
	*credit = min(depth, *credit+rate*float64(now-*at)/float64(second))
	*at = now
	return *credit >= 1
}

type limiters struct {
	nodes float64

	maxEventsPerCall, inFlight                   []int     // events in a call, calls out
	limit, endpoints                             []float64 // calls a second that the destination told; endpoints
	pace, credit                                 []float64 // calls a second, 0 for unpaced; calls that may go now
	waitUntil, creditAt, lastCutAt, lastGrowthAt []int64
	recentCalls                                  [][]int64  // sends of the last second
	lastCall                                     [][2]int32 // the call opened last, and the last that is patient
}

func (l *limiters) add(perCall int, credit float64) int32 { // by chance: many nodes refused at once spread out
	i := int32(slices.Index(append(l.endpoints, 0), 0)) // one is free once all its endpoints are forgotten
	l.maxEventsPerCall, l.inFlight, l.endpoints = setAt(l.maxEventsPerCall, i, perCall), setAt(l.inFlight, i, 0), setAt(l.endpoints, i, 0)
	l.waitUntil, l.limit, l.recentCalls = setAt(l.waitUntil, i, 0), setAt(l.limit, i, 0), setAt(l.recentCalls, i, nil)
	l.pace, l.credit, l.creditAt = setAt(l.pace, i, 0), setAt(l.credit, i, credit), setAt(l.creditAt, i, 0)
	l.lastCutAt, l.lastGrowthAt = setAt(l.lastCutAt, i, -paceCutInterval), setAt(l.lastGrowthAt, i, 0)
	l.lastCall = setAt(l.lastCall, i, [2]int32{-1, -1})
	return i
}

func (l *limiters) recordOutcome(lane int32, now int64, how delivery.Outcome, wait int64, left, limit float64) {
	l.limit[lane] = cmp.Or(limit, l.limit[lane])
	l.holdUntil(lane, now+wait)
	switch {
	case how == delivery.Acked && l.pace[lane] > 0:
		span := float64(min(now-l.lastGrowthAt[lane], maxGrowthSpan)) / float64(second)
		if fair := l.limit[lane] / l.nodes; l.pace[lane] < fair {
			l.pace[lane] = min(fair, l.pace[lane]+paceRecovery*fair*span)
		} else {
			l.pace[lane] = min(l.pace[lane]*(1+paceGrowth*span), cmp.Or(limit, math.MaxFloat64))
		}
		l.lastGrowthAt[lane] = now
	case how == delivery.Refused && now >= l.lastCutAt[lane]+paceCutInterval:
		l.lastCutAt[lane], l.lastGrowthAt[lane] = now, now
		cut := paceCutFactor * min(float64(l.callsInLastSecond(lane, now)), cmp.Or(l.pace[lane], math.MaxFloat64))
		if limit > 0 && left < exhaustedShare { // no burst of a moment: the limit is used up
			cut = min(cut, minPaceShare*limit/l.nodes)
		}
		// Danger: where refused calls use up the limit, a least pace over our part of it keeps all refused.
		least := min(minPace, max(minPaceShare*cmp.Or(l.limit[lane]/l.nodes, minPace/minPaceShare), absoluteMinPace))
		l.pace[lane] = max(least, cut)
	}
}

// holdUntil notes that a lane was told to holdUntil until a time. It never makes a holdUntil shorter.
func (l *limiters) holdUntil(lane int32, until int64) {
	l.waitUntil[lane] = max(l.waitUntil[lane], until)
}

func (l *limiters) callsInLastSecond(lane int32, now int64) int {
	l.recentCalls[lane] = slices.DeleteFunc(l.recentCalls[lane], func(at int64) bool { return at <= now-second })
	return len(l.recentCalls[lane])
}

// admit takes the credit for one call where the lane's pace leaves it.
func (l *limiters) admit(lane int32, now int64) bool {
	if l.pace[lane] == 0 || now-l.creditAt[lane] > paceIdleReset {
		l.pace[lane], l.creditAt[lane] = 0, now
		return true
	}
	depth := max(1, l.pace[lane]*float64(paceBurstSpan)/float64(second))
	if !refill(&l.credit[lane], &l.creditAt[lane], now, l.pace[lane], depth) {
		return false
	}
	l.credit[lane]--
	return true
}

// staleDetector learns from calls lost after an idle time that idle connections are dead. Danger: each next is lost.
type staleDetector struct {
	losses, acks                      int
	lastLossAt, minIdle, crowdedUntil int64 // last call lost; shortest idle time before one; connects fail till then
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
	return s.losses >= staleMinLosses && staleAcksPerLoss*s.losses > s.acks && now-s.lastLossAt <= staleDuration && idle >= s.minIdle
}

// keyQueue is the line of one key: its events in the order of their coming, and when a new one may start.
type keyQueue struct {
	events []int32
	freeAt int64
}

type keyQueues map[uint64]*keyQueue

func (t keyQueues) add(key uint64, evt int32) {
	k := cmp.Or(t[key], &keyQueue{})
	t[key], k.events = k, append(k.events, evt)
}

func (t keyQueues) remove(key uint64, evt int32, now int64) {
	if k := t[key]; k != nil {
		k.events = slices.DeleteFunc(k.events, func(e int32) bool { return e == evt })
		if len(k.events) == 0 && now >= k.freeAt {
			delete(t, key)
		}
	}
}

func (t keyQueues) mayStart(key uint64, evt int32, begun bool, now int64) bool {
	k := t[key]
	return k == nil || (k.events[0] == evt && (begun || now >= k.freeAt))
}

type directory struct {
	requiresWatch, automatic              bool // changes must be asked for; they count as told although nobody asked
	watched, firstCallEnded               bool // a watch was confirmed; the first call has ended, for good or bad
	nextWatchAt, retryDelay, firstWatchAt int64
}

// watchIfDue asks for changes until a watch stands: what is not asked for counts as told all the same.
func (d *directory) watchIfDue(now int64, out delivery.Executor) {
	if d.requiresWatch && !d.watched && now >= d.nextWatchAt {
		out.Watch(true)
		d.nextWatchAt, d.firstWatchAt = now+watchTimeout, cmp.Or(d.firstWatchAt, now)
	}
}

// holdsSends: danger: the list kept from before a restart is old, and where lists are pushed, what came since
// counts from the first moment. One that cannot be reached must not hold back what is owed.
func (d *directory) holdsSends(now int64) bool {
	return d.automatic && !d.firstCallEnded && now < d.firstWatchAt+firstListWait
}

// failed plans the next call: the notice does not say whether a watch still stands.
func (d *directory) failed(now int64, chance *pcg) {
	d.watched, d.firstCallEnded, d.retryDelay = false, true, min(max(minWatchRetry, 2*d.retryDelay), maxWatchRetry)
	d.nextWatchAt = now + d.retryDelay + int64(chance.float()*jitterShare*float64(d.retryDelay))
}

type pcg uint64 // a permuted congruential generator (PCG-XSH-RR 64/32)

func (p *pcg) float() float64 {
	old := uint64(*p)
	*p = pcg(old*6364136223846793005 + 1442695040888963407)
	return float64(bits.RotateLeft32(uint32(((old>>18)^old)>>27), -int(old>>59))) / (1 << 32)
}
