package node

import (
	"errors"
	"time"

	"jaspersill/lifecycle"
	"jaspersill/logs"
	"jaspersill/metrics"
	"jaspersill/port"
	"jaspersill/store"
)

// refusalWithin is how long a client may wait for the record of its refusal. It waits 400 ms in all; after this it
// hears that its request is taken on, which is true, and the refusal goes to the platform.
const refusalWithin = 200 * time.Millisecond

var refusals = metrics.NewFamily("jaspersill_refused_requests_total",
	"Requests that their clients heard to be refused, by reason.", "reason", refusedFull, refusedDisk, refusedByPolicy,
	refusedNoRoom, refusedUnlisted)

const (
	refusedFull     = "full"     // the log has no room for it
	refusedDisk     = "disk"     // it cannot be written down
	refusedByPolicy = "policy"   // the decision module gave it up
	refusedNoRoom   = "no_room"  // as many are held as may be
	refusedUnlisted = "unlisted" // its destination was never listed
)

// logRefusal notes that a client hears that its request is refused.
func logRefusal(id, reason string) {
	refusals.With(reason).Add()
	if logs.Debugging() {
		logs.Event("clients", id).WithField("reason", reason).Debug("a request is refused")
	}
}

// life carries one event from its coming to its end. Every choice is the module's, asked through the desk; what may
// be done when is asked of the event's request.
type life struct {
	node *Node
	*event
	client  bool // still waits for its answer
	out     int  // attempts that did not end yet
	over    bool // nothing more is decided for it
	end     pendingEnd
	timer   *time.Timer
	waiting bool // the end is decided and not told
}

// pendingEnd is an end that is decided and may not be told yet.
type pendingEnd struct {
	record   *store.PendingWrite
	written  <-chan struct{} // nil once it is told
	toClient bool            // by a refusal, while its client waits
	handOver <-chan time.Time
}

// life runs an event's life.
func (n *Node) life(e *event) {
	l := &life{node: n, event: e, client: e.answer != nil}
	if l.client && !l.accept() {
		return
	}
	if e.verdict != open { // decided before a restart: only the notice is owed
		l.tellFormer()
		return
	}
	if l.client { // one restored was handed in before, in the order of their coming
		n.desk.take(e)
	}
	l.run()
	n.desk.leave(e)
}

// accept stores the event. It tells false where its client was refused, or handed in what is owed already.
func (l *life) accept() bool {
	err := l.node.journal.accept(l.event, l.node.typeNames[l.typ], l.node.owner(l.customer))
	if err == nil {
		l.request.Store()
		return true
	}
	l.node.held.Add(-1)
	switch {
	case errors.Is(err, errAlreadyPending), errors.Is(err, errAlreadyCompleted): // it came before a restart
		l.answerClient(statusTaken, 0)
		return false
	case errors.Is(err, errFull):
		logRefusal(l.id, refusedFull)
	default:
		logRefusal(l.id, refusedDisk)
		l.node.journal.writeFailures.note(err)
		logs.Event("clients", l.id).WithError(err).Debug("refused: it cannot be stored")
	}
	l.answerClient(statusDeclined, l.node.desk.full())
	return false
}

func (l *life) answerClient(status int, comeBack int64) {
	if l.client {
		l.client = false
		l.answer <- answer{status: status, comeBack: comeBack}
	}
}

// tellFormer tells the platform of an end that a former process decided and recorded.
func (l *life) tellFormer() {
	l.finish()
	l.request.Decide()
	l.request.Tell(l.node.clock.now(), true)
	l.node.notices.post(l.notice())
	<-l.steps
	l.node.journal.complete(l.event)
}

// run takes one step after another until nothing more is owed and no attempt is out.
func (l *life) run() {
	shut := l.node.desk.done
	for !l.over || l.waiting || l.out > 0 {
		select {
		case s := <-l.steps:
			l.step(s)
		case <-l.end.written:
			l.tellEnd(true)
		case <-l.deadlinePassed():
			l.tellEnd(false)
		case <-l.end.handOver:
			l.handOverEnd()
		case <-shut: // its client must hear, though nothing is decided any more: the journal has it
			shut = nil
			if l.end.written == nil {
				l.answerClient(statusTaken, 0)
			}
		}
	}
	if l.timer != nil {
		l.timer.Stop()
	}
}

func (l *life) step(s step) {
	switch s.what {
	case stepHeld:
		l.answerClient(statusTaken, 0)
	case stepBegun:
		l.out++
	case stepOutcome:
		l.out--
		l.endAttempt(s.send, s.result)
		l.node.desk.tell(l.event, s.send, s.result)
	case stepConfirmed:
		l.request.ConfirmRefusal()
		l.node.journal.recordOutcome(l.event, s.send.number, s.result.how)
		l.node.desk.confirm(l.event, s.send)
	case stepDecline:
		l.decide(declined, s.comeBack)
	case stepDiscard:
		l.decide(discarded, 0)
	case stepNoticed:
		l.waiting = false
		l.node.ending.Add(-1)
		l.node.journal.complete(l.event)
	}
}

// finish gives back the event's place.
func (l *life) finish() {
	if !l.over {
		l.over = true
		l.node.held.Add(-1)
	}
}

// endAttempt takes in how an attempt ended. Where its answer may be another call's, only what is safe both ways is done:
// no attempt follows a delivery, and its notice is held back; a refusal is not recorded, so that a restart, too, takes the
// attempt for one that may have run.
func (l *life) endAttempt(s *send, r result) {
	over := r.how == port.Acked || r.over
	switch {
	case over && r.confirm != nil:
		l.completeProvisionally(r.confirm)
	case over:
		l.node.journal.recordOutcome(l.event, s.number, r.how)
		l.complete()
	case r.confirm != nil:
		event := l.event
		r.confirm.whenSettled(func(confirmed bool) {
			if confirmed {
				event.steps <- step{what: stepConfirmed, send: s, result: result{how: r.how}}
			}
		})
	default:
		l.node.journal.recordOutcome(l.event, s.number, r.how)
	}
}

// completeProvisionally ends an event by an answer that may be another call's. What is kept of it until that is known is
// what its notice needs.
func (l *life) completeProvisionally(c *confirmation) {
	if l.over {
		return
	}
	l.finish()
	l.answerClient(statusTaken, 0)
	if !l.request.EndProvisionally() {
		return
	}
	end := &provisionalEnd{node: l.node, id: l.id, came: l.came, due: l.due, request: l.request,
		record: l.node.journal.recordVerdictAndTrim(l.event, discarded)}
	c.whenSettled(end.settle)
}

// complete ends an event of which the endpoint's side says that it is over. What an attempt brings after another end
// changes nothing.
func (l *life) complete() {
	if l.over {
		return
	}
	l.finish()
	l.answerClient(statusTaken, 0)
	l.request.Decide()
	l.node.journal.complete(l.event)
	l.request.Tell(l.node.clock.now(), true) // the endpoint knows
}

// notice is the notice of the event's end; its life hears when the platform has it.
func (l *life) notice() notice {
	e := l.event
	return notice{id: e.id, verdict: e.verdict, after: e.comeBack, told: func() { e.steps <- step{what: stepNoticed} }}
}

// decide ends an event that is not delivered. Where its client still waits, a refusal is all it needs to hear; else
// the platform hears of it. Both only once a restart would respect it.
func (l *life) decide(v verdict, comeBack int64) {
	l.finish()
	if !l.request.Decide() {
		return
	}
	l.verdict, l.comeBack = v, comeBack
	l.waiting = true
	l.node.ending.Add(1)
	if l.client && v == declined {
		l.end = pendingEnd{record: l.node.journal.complete(l.event), toClient: true, handOver: time.After(refusalWithin)}
	} else {
		l.answerClient(statusTaken, 0)
		l.end = pendingEnd{record: l.node.journal.recordVerdict(l.event)}
	}
	l.end.written = l.end.record.Written()
	if l.request.MayTell(l.node.clock.now(), false) {
		l.tellEnd(false)
		return
	}
	l.timer = time.NewTimer(time.Duration(l.due - l.node.clock.now()))
}

// deadlinePassed tells when the event's deadline makes its end safe to tell; nil for an end that is told.
func (l *life) deadlinePassed() <-chan time.Time {
	if l.end.written == nil || l.timer == nil {
		return nil
	}
	return l.timer.C
}

// tellEnd tells the end that is pending, to the client or to the platform.
func (l *life) tellEnd(written bool) {
	if err := l.request.Tell(l.node.clock.now(), written); errors.Is(err, lifecycle.ErrViolation) {
		return
	}
	l.end.written, l.end.handOver = nil, nil
	if !l.end.toClient {
		l.node.notices.post(l.notice())
		return
	}
	logRefusal(l.id, refusedByPolicy)
	l.answerClient(statusDeclined, l.comeBack)
	l.waiting = false
	l.node.ending.Add(-1)
}

// handOverEnd has the platform hear of a refusal whose record takes too long for its client to wait.
func (l *life) handOverEnd() {
	l.end.toClient, l.end.handOver = false, nil
	l.answerClient(statusTaken, 0)
}
