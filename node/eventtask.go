package node

import (
	"errors"
	"slices"
	"time"

	"jaspersill/delivery"
	"jaspersill/lifecycle"
	"jaspersill/logs"
	"jaspersill/membudget"
	"jaspersill/metrics"
	"jaspersill/store"
)

// refusalRecordTimeout bounds how long a client waits until the record of its refusal is written. Clients give up after
// 400 ms. After refusalRecordTimeout the client is told that its request was accepted, which is true, and the platform is
// notified of the refusal instead.
const refusalRecordTimeout = 200 * time.Millisecond

var refusedRequests = metrics.NewCounterVec("jaspersill_refused_requests_total",
	"Requests that their clients heard to be refused, by reason.", "reason", refusedJournalFull, refusedWriteFailed, refusedByPolicy,
	refusedAtCapacity, refusedUnlisted, refusedNoMemory, refusedIDShare)

const (
	refusedJournalFull = "full"     // the journal has no space for it
	refusedWriteFailed = "disk"     // writing it to the journal failed
	refusedByPolicy    = "policy"   // the scheduler declined it
	refusedAtCapacity  = "no_room"  // the node has its maximum number of events
	refusedUnlisted    = "unlisted" // the directory has never listed its destination
	refusedNoMemory    = "memory"   // requests and events take all the memory that they may
	refusedIDShare     = "id_share" // its connection has had more than its share of the remembered ids
)

// recordRefusal counts and logs that a client is told of the refusal of its request.
func recordRefusal(id, reason string) {
	refusedRequests.With(reason).Inc()
	if logs.DebugEnabled() {
		logs.Event("clients", id).WithField("reason", reason).Debug("request refused")
	}
}

// eventTask processes one event from its arrival to its end. The scheduler makes every choice, through the decision
// loop; the event's lifecycle.Request decides which state transitions are allowed.
type eventTask struct {
	node *Node
	*event
	clientWaiting    bool // the client still waits for its response
	attemptsInFlight int  // attempts that have not ended
	released         bool // its place among the active events was given back, and no further decision is made for it
	pending          pendingEnd
	deadlineTimer    *time.Timer
	endUnreported    bool            // the end is decided but not reported
	provisional      bool            // it is delivered according to a response that may belong to another call, and may be reopened
	attempts         []store.Attempt // all so far, in order
}

// pendingEnd is an end that is decided but may not be reported yet.
type pendingEnd struct {
	record        *store.PendingWrite
	written       <-chan struct{} // closed when the record is durable; nil once the end is reported
	toClient      bool            // report it as a refusal to the client, which still waits
	clientTimeout <-chan time.Time
}

// runEvent processes an event until its end.
func (n *Node) runEvent(e *event) {
	defer n.memory.Release(membudget.EventCharge(len(e.body)))
	t := &eventTask{node: n, event: e, clientWaiting: e.response != nil, attempts: slices.Clone(e.pastAttempts)}
	if t.clientWaiting && !t.accept() {
		return
	}
	if e.resolution != unresolved { // decided before a restart: only its notice remains to be sent
		t.reportRestoredEnd()
		return
	}
	if t.clientWaiting { // restored events were already added, in the order of their arrival
		n.decisions.addEvent(e)
	}
	t.run()
	n.decisions.removeEvent(t.event)
}

// accept stores the event. It returns false if the event was refused, or if the journal already has an event with its id;
// that one is processed on its own.
func (t *eventTask) accept() bool {
	began := time.Now()
	err := t.node.journal.accept(t.event, t.node.typeNames[t.typ], t.node.customerName(t.customer))
	if err == nil && time.Since(began) > slowStoreTime && t.hasClientLeft() {
		t.abandon()
		return false
	}
	if err == nil {
		t.request.MarkStored()
		return true
	}
	t.node.activeEvents.Add(-1)
	switch {
	case errors.Is(err, errAlreadyPending), errors.Is(err, errAlreadyCompleted): // it was accepted before a restart
		t.respond(statusAccepted, 0)
		return false
	case errors.Is(err, errFull):
		recordRefusal(t.id, refusedJournalFull)
	default:
		recordRefusal(t.id, refusedWriteFailed)
		t.node.journal.writeFailures.record(err)
		logs.Event("clients", t.id).WithError(err).Debug("request refused: storing the event failed")
	}
	t.respond(statusDeclined, t.node.decisions.fullRetryAfter())
	return false
}

// abandon withdraws an event that was stored while its client left: nobody was told that it is accepted, and its client may submit
// it again.
func (t *eventTask) abandon() {
	t.request.Withdraw()
	t.node.journal.withdraw(t.event)
	t.node.activeEvents.Add(-1)
	t.clientWaiting = false
	t.response <- clientResponse{abandoned: true}
}

// respond sends the response to the client, unless that was done before.
func (t *eventTask) respond(status int, retryAfter int64) {
	if t.clientWaiting {
		t.clientWaiting = false
		t.response <- clientResponse{status: status, retryAfter: retryAfter}
	}
}

// reportRestoredEnd notifies the platform of an end that an earlier process decided and recorded.
func (t *eventTask) reportRestoredEnd() {
	t.release()
	t.request.DecideEnd(lifecycle.Undelivered)
	t.request.ReportEnd(t.node.clock.now(), true)
	t.node.notices.enqueue(t.newNotice())
	<-t.updates
	t.node.journal.complete(t.event)
}

// run handles updates until the end is decided for good and reported, and no attempt is in flight.
func (t *eventTask) run() {
	sendingStopped := t.node.decisions.sendingStopped
	for !t.released || t.endUnreported || t.provisional || t.attemptsInFlight > 0 {
		select {
		case u := <-t.updates:
			t.handle(u)
		case <-t.pending.written:
			t.reportEnd(true)
		case <-t.deadlineReached():
			t.reportEnd(false)
		case <-t.pending.clientTimeout:
			t.redirectToPlatform()
		case <-sendingStopped: // the client still needs a response: the event is in the journal, so it counts as accepted
			sendingStopped = nil
			if t.pending.written == nil {
				t.respond(statusAccepted, 0)
			}
		}
	}
	if t.deadlineTimer != nil {
		t.deadlineTimer.Stop()
	}
}

func (t *eventTask) handle(u eventUpdate) {
	switch u.kind {
	case updateKept:
		t.respond(statusAccepted, 0)
	case updateAttemptStarted:
		t.attemptsInFlight++
		t.attempts = append(t.attempts, store.Attempt{StartedAt: t.node.clock.timeOfDay() - (t.node.clock.now() - u.attempt.startedAt),
			Zone: t.node.endpoints.zone(u.attempt.endpoint)})
	case updateAttemptEnded:
		t.attemptsInFlight--
		t.handleOutcome(u.attempt, u.result)
		t.node.decisions.reportOutcome(t.event, u.attempt, u.result)
	case updateRefusalSettled:
		t.settleRefusal(u)
	case updateDeliverySettled:
		t.settleDelivery(u.confirmed, u.mayBeGone)
	case updateDecline:
		t.endUndelivered(declined, u.retryAfter)
	case updateDiscard:
		t.endUndelivered(discarded, 0)
	case updateNoticeAcknowledged:
		t.endUnreported = false
		t.node.unreportedEnds.Add(-1)
		t.node.journal.complete(t.event)
	}
}

// release gives back the place that admit reserved for the event.
func (t *eventTask) release() {
	if !t.released {
		t.released = true
		t.node.activeEvents.Add(-1)
	}
}

// handleOutcome handles the end of an attempt. If its response may belong to another call, it does only what is safe either
// way: after a delivery no attempt follows until it is settled whose response it was; a refusal is not recorded, so that
// after a restart, too, the attempt counts as one that may have run.
func (t *eventTask) handleOutcome(a *attempt, r result) {
	switch {
	case r.ends() && r.confirmation != nil:
		t.completeProvisionally(r.end(), r.confirmation)
	case r.ends(): // one record: without it, a kill leaves an attempt that may have run
		t.complete(r.end())
	case r.confirmation != nil:
		updates := t.updates
		r.confirmation.whenSettled(func(confirmed bool) {
			updates <- eventUpdate{kind: updateRefusalSettled, attempt: a, result: result{outcome: r.outcome}, confirmed: confirmed}
		})
	default:
		t.recordOutcome(a, r.outcome)
	}
}

// recordOutcome records how an attempt ended.
func (t *eventTask) recordOutcome(a *attempt, outcome delivery.Outcome) {
	if a.number < len(t.attempts) {
		t.attempts[a.number].Ended, t.attempts[a.number].Outcome = true, outcome
	}
	t.node.journal.recordOutcome(t.event, a.number, outcome)
}

// settleRefusal handles what became of a refusal that might have belonged to another call.
func (t *eventTask) settleRefusal(u eventUpdate) {
	if !u.confirmed {
		t.node.decisions.reportDoubted(t.event, u.attempt)
		return
	}
	t.request.ConfirmRefusal()
	t.recordOutcome(u.attempt, u.result.outcome)
	t.node.decisions.reportConfirmed(t.event, u.attempt)
}

// complete ends an event after a response that says that it was delivered or needs no further attempt. The outcome of an
// attempt that arrives after the end of the event has no effect.
func (t *eventTask) complete(end lifecycle.End) {
	if t.released {
		return
	}
	t.release()
	t.respond(statusAccepted, 0)
	t.request.DecideEnd(end)
	t.node.journal.complete(t.event)
	t.request.ReportEnd(t.node.clock.now(), true) // the endpoint already knows the end
}

// newNotice returns the notice of the event's end. The event's task is informed once the platform has received it.
func (t *eventTask) newNotice() notice {
	e := t.event
	return notice{id: e.id, resolution: e.resolution, retryAfter: e.retryAfter,
		onAcknowledged: func() { e.updates <- eventUpdate{kind: updateNoticeAcknowledged} }}
}

// endUndelivered ends an event that is not delivered. A refusal is reported to the client if it still waits, any other end
// to the platform. Either is reported only once a restart would no longer send the event.
func (t *eventTask) endUndelivered(end resolution, retryAfter int64) {
	t.release()
	toClient := t.clientWaiting && end == declined
	if !t.request.DecideEnd(undeliveredEnd(toClient)) {
		return
	}
	t.reportUndelivered(end, retryAfter, toClient)
}

// undeliveredEnd returns how an event ends that is not delivered.
func undeliveredEnd(toClient bool) lifecycle.End {
	if toClient {
		return lifecycle.Refused
	}
	return lifecycle.Undelivered
}

// reportUndelivered reports the end of an event that is decided, to the client or to the platform.
func (t *eventTask) reportUndelivered(end resolution, retryAfter int64, toClient bool) {
	t.resolution, t.retryAfter = end, retryAfter
	t.endUnreported = true
	t.node.unreportedEnds.Add(1)
	if toClient {
		t.pending = pendingEnd{record: t.node.journal.complete(t.event), toClient: true, clientTimeout: time.After(refusalRecordTimeout)}
	} else {
		t.respond(statusAccepted, 0)
		t.pending = pendingEnd{record: t.node.journal.recordResolution(t.event)}
	}
	t.pending.written = t.pending.record.Written()
	if t.request.MayReportEnd(t.node.clock.now(), false) {
		t.reportEnd(false)
		return
	}
	t.deadlineTimer = time.NewTimer(time.Duration(t.monoDeadline - t.node.clock.now()))
}

// deadlineReached returns a channel that fires when the deadline makes it safe to report the end. It is nil if no end is
// pending.
func (t *eventTask) deadlineReached() <-chan time.Time {
	if t.pending.written == nil || t.deadlineTimer == nil {
		return nil
	}
	return t.deadlineTimer.C
}

// reportEnd reports the pending end to the client or to the platform.
func (t *eventTask) reportEnd(written bool) {
	if err := t.request.ReportEnd(t.node.clock.now(), written); errors.Is(err, lifecycle.ErrViolation) {
		return
	}
	t.pending.written, t.pending.clientTimeout = nil, nil
	if !t.pending.toClient {
		t.node.notices.enqueue(t.newNotice())
		return
	}
	recordRefusal(t.id, refusedByPolicy)
	t.respond(statusDeclined, t.retryAfter)
	t.endUnreported = false
	t.node.unreportedEnds.Add(-1)
}

// redirectToPlatform lets the platform receive a refusal whose record takes longer to write than its client can wait.
func (t *eventTask) redirectToPlatform() {
	t.pending.toClient, t.pending.clientTimeout = false, nil
	t.respond(statusAccepted, 0)
}
