package node

import (
	"errors"
	"time"

	"jaspersill/delivery"
	"jaspersill/lifecycle"
	"jaspersill/logs"
	"jaspersill/metrics"
	"jaspersill/store"
)

// refusalRecordTimeout is how long a client may wait for the record of its refusal. It waits 400 ms in all; after this it
// hears that its request is taken on, which is true, and the refusal goes to the platform.
const refusalRecordTimeout = 200 * time.Millisecond

var refusedRequests = metrics.NewFamily("jaspersill_refused_requests_total",
	"Requests that their clients heard to be refused, by reason.", "reason", refusedJournalFull, refusedWriteFailed, refusedByPolicy,
	refusedAtCapacity, refusedUnlisted)

const (
	refusedJournalFull = "full"     // the log has no room for it
	refusedWriteFailed = "disk"     // it cannot be written down
	refusedByPolicy    = "policy"   // the decision module gave it up
	refusedAtCapacity  = "no_room"  // as many are held as may be
	refusedUnlisted    = "unlisted" // its destination was never listed
)

// recordRefusal notes that a client hears that its request is refused.
func recordRefusal(id, reason string) {
	refusedRequests.With(reason).Add()
	if logs.Debugging() {
		logs.Event("clients", id).WithField("reason", reason).Debug("a request is refused")
	}
}

// eventTask carries one event from its coming to its end. Every choice is the module's, asked through the desk; what may
// be done when is asked of the event's request.
type eventTask struct {
	node *Node
	*event
	clientWaiting bool // still waits for its answer
	sendsInFlight int  // attempts that did not end yet
	released      bool // nothing more is decided for it
	pending       pendingEnd
	deadlineTimer *time.Timer
	endUnreported bool // the end is decided and not told
}

// pendingEnd is an end that is decided and may not be told yet.
type pendingEnd struct {
	record        *store.PendingWrite
	written       <-chan struct{} // nil once it is told
	toClient      bool            // by a refusal, while its client waits
	clientTimeout <-chan time.Time
}

// runEvent runs an event's runEvent.
func (n *Node) runEvent(e *event) {
	l := &eventTask{node: n, event: e, clientWaiting: e.response != nil}
	if l.clientWaiting && !l.accept() {
		return
	}
	if e.resolution != unresolved { // decided before a restart: only the notice is owed
		l.reportRestoredEnd()
		return
	}
	if l.clientWaiting { // one restored was handed in before, in the order of their coming
		n.decisions.addEvent(e)
	}
	l.run()
	n.decisions.removeEvent(e)
}

// accept stores the event. It tells false where its client was refused, or handed in what is owed already.
func (l *eventTask) accept() bool {
	err := l.node.journal.accept(l.event, l.node.typeNames[l.typ], l.node.customerName(l.customer))
	if err == nil {
		l.request.MarkStored()
		return true
	}
	l.node.activeEvents.Add(-1)
	switch {
	case errors.Is(err, errAlreadyPending), errors.Is(err, errAlreadyCompleted): // it came before a restart
		l.answerClient(statusAccepted, 0)
		return false
	case errors.Is(err, errFull):
		recordRefusal(l.id, refusedJournalFull)
	default:
		recordRefusal(l.id, refusedWriteFailed)
		l.node.journal.writeFailures.record(err)
		logs.Event("clients", l.id).WithError(err).Debug("refused: it cannot be stored")
	}
	l.answerClient(statusDeclined, l.node.decisions.fullRetryAfter())
	return false
}

func (l *eventTask) answerClient(status int, comeBack int64) {
	if l.clientWaiting {
		l.clientWaiting = false
		l.response <- clientResponse{status: status, retryAfter: comeBack}
	}
}

// reportRestoredEnd tells the platform of an end that a former process decided and recorded.
func (l *eventTask) reportRestoredEnd() {
	l.release()
	l.request.DecideEnd()
	l.request.ReportEnd(l.node.clock.now(), true)
	l.node.notices.enqueue(l.newNotice())
	<-l.updates
	l.node.journal.complete(l.event)
}

// run takes one step after another until nothing more is owed and no attempt is out.
func (l *eventTask) run() {
	shut := l.node.decisions.done
	for !l.released || l.endUnreported || l.sendsInFlight > 0 {
		select {
		case s := <-l.updates:
			l.handle(s)
		case <-l.pending.written:
			l.reportEnd(true)
		case <-l.deadlineReached():
			l.reportEnd(false)
		case <-l.pending.clientTimeout:
			l.redirectToPlatform()
		case <-shut: // its client must hear, though nothing is decided any more: the journal has it
			shut = nil
			if l.pending.written == nil {
				l.answerClient(statusAccepted, 0)
			}
		}
	}
	if l.deadlineTimer != nil {
		l.deadlineTimer.Stop()
	}
}

func (l *eventTask) handle(s eventUpdate) {
	switch s.kind {
	case updateKept:
		l.answerClient(statusAccepted, 0)
	case updateSendStarted:
		l.sendsInFlight++
	case updateSendEnded:
		l.sendsInFlight--
		l.handleOutcome(s.send, s.result)
		l.node.decisions.reportOutcome(l.event, s.send, s.result)
	case updateRefusalConfirmed:
		l.request.ConfirmRefusal()
		l.node.journal.recordOutcome(l.event, s.send.number, s.result.outcome)
		l.node.decisions.reportConfirmed(l.event, s.send)
	case updateDecline:
		l.endUndelivered(declined, s.retryAfter)
	case updateDiscard:
		l.endUndelivered(discarded, 0)
	case updateNoticeAcknowledged:
		l.endUnreported = false
		l.node.unreportedEnds.Add(-1)
		l.node.journal.complete(l.event)
	}
}

// release gives back the event's place.
func (l *eventTask) release() {
	if !l.released {
		l.released = true
		l.node.activeEvents.Add(-1)
	}
}

// handleOutcome takes in how an attempt ended. Where its answer may be another call's, only what is safe both ways is done:
// no attempt follows a delivery, and its notice is held back; a refusal is not recorded, so that a restart, too, takes the
// attempt for one that may have run.
func (l *eventTask) handleOutcome(s *attempt, r result) {
	over := r.outcome == delivery.Acked || r.final
	switch {
	case over && r.confirmation != nil:
		l.completeProvisionally(r.confirmation)
	case over:
		l.node.journal.recordOutcome(l.event, s.number, r.outcome)
		l.complete()
	case r.confirmation != nil:
		event := l.event
		r.confirmation.whenSettled(func(confirmed bool) {
			if confirmed {
				event.updates <- eventUpdate{kind: updateRefusalConfirmed, send: s, result: result{outcome: r.outcome}}
			}
		})
	default:
		l.node.journal.recordOutcome(l.event, s.number, r.outcome)
	}
}

// completeProvisionally ends an event by an answer that may be another call's. What is kept of it until that is known is
// what its notice needs.
func (l *eventTask) completeProvisionally(c *confirmation) {
	if l.released {
		return
	}
	l.release()
	l.answerClient(statusAccepted, 0)
	if !l.request.EndProvisionally() {
		return
	}
	end := &provisionalCompletion{node: l.node, id: l.id, came: l.arrivalSeq, due: l.monoDeadline, request: l.request,
		record: l.node.journal.recordVerdictAndTrim(l.event, discarded)}
	c.whenSettled(end.settle)
}

// complete ends an event of which the endpoint's side says that it is over. What an attempt brings after another end
// changes nothing.
func (l *eventTask) complete() {
	if l.released {
		return
	}
	l.release()
	l.answerClient(statusAccepted, 0)
	l.request.DecideEnd()
	l.node.journal.complete(l.event)
	l.request.ReportEnd(l.node.clock.now(), true) // the endpoint knows
}

// newNotice is the newNotice of the event's end; its life hears when the platform has it.
func (l *eventTask) newNotice() notice {
	e := l.event
	return notice{id: e.id, verdict: e.resolution, retryAfter: e.retryAfter, onAcknowledged: func() { e.updates <- eventUpdate{kind: updateNoticeAcknowledged} }}
}

// endUndelivered ends an event that is not delivered. Where its client still waits, a refusal is all it needs to hear; else
// the platform hears of it. Both only once a restart would respect it.
func (l *eventTask) endUndelivered(v resolution, comeBack int64) {
	l.release()
	if !l.request.DecideEnd() {
		return
	}
	l.resolution, l.retryAfter = v, comeBack
	l.endUnreported = true
	l.node.unreportedEnds.Add(1)
	if l.clientWaiting && v == declined {
		l.pending = pendingEnd{record: l.node.journal.complete(l.event), toClient: true, clientTimeout: time.After(refusalRecordTimeout)}
	} else {
		l.answerClient(statusAccepted, 0)
		l.pending = pendingEnd{record: l.node.journal.recordVerdict(l.event)}
	}
	l.pending.written = l.pending.record.Written()
	if l.request.MayReportEnd(l.node.clock.now(), false) {
		l.reportEnd(false)
		return
	}
	l.deadlineTimer = time.NewTimer(time.Duration(l.monoDeadline - l.node.clock.now()))
}

// deadlineReached tells when the event's deadline makes its end safe to tell; nil for an end that is told.
func (l *eventTask) deadlineReached() <-chan time.Time {
	if l.pending.written == nil || l.deadlineTimer == nil {
		return nil
	}
	return l.deadlineTimer.C
}

// reportEnd tells the end that is pending, to the client or to the platform.
func (l *eventTask) reportEnd(written bool) {
	if err := l.request.ReportEnd(l.node.clock.now(), written); errors.Is(err, lifecycle.ErrViolation) {
		return
	}
	l.pending.written, l.pending.clientTimeout = nil, nil
	if !l.pending.toClient {
		l.node.notices.enqueue(l.newNotice())
		return
	}
	recordRefusal(l.id, refusedByPolicy)
	l.answerClient(statusDeclined, l.retryAfter)
	l.endUnreported = false
	l.node.unreportedEnds.Add(-1)
}

// redirectToPlatform has the platform hear of a refusal whose record takes too long for its client to wait.
func (l *eventTask) redirectToPlatform() {
	l.pending.toClient, l.pending.clientTimeout = false, nil
	l.answerClient(statusAccepted, 0)
}
