package node

import (
	"errors"
	"slices"
	"time"

	"jaspersill/lifecycle"
	"jaspersill/logs"
	"jaspersill/metrics"
	"jaspersill/store"
)

var (
	reopenedEvents = metrics.NewCounter("jaspersill_reopened_events_total",
		"Events that were sent again because a response that said they were delivered may have belonged to another call.")
	noticesInDoubt = metrics.NewCounterVec("jaspersill_notices_in_doubt_total",
		"Notices for events that a response ended which may have belonged to another call, by that end.", "end",
		lifecycle.Delivered.String(), lifecycle.Gone.String())
)

// logDoubtedEnd logs what follows the end of an event that stays in doubt. Operators look for it when a partner says that an event came
// twice, or asks about a notice.
func logDoubtedEnd(id string, end lifecycle.End, message string) {
	logs.Event("node", id).WithField("end", end.String()).Info(message)
}

// maxReopenableBytes is the size of the largest body that is kept after a delivery that is still to be confirmed.
const maxReopenableBytes = 16 << 10

// reopenable reports whether an event is sent again if its delivery cannot be confirmed. One with an order would come behind
// later events of its key.
func (n *Node) reopenable(e *event) bool {
	ordered := e.typ < len(n.types) && n.types[e.typ].Ordered
	return n.repeatable(e.typ) && !ordered && len(e.body) <= maxReopenableBytes
}

// completeProvisionally ends an event after a response that may belong to another call. If the event is sent again should that
// stay in doubt, it is kept, also in the journal, until it is settled. Otherwise only the data that its notice would need is kept.
func (t *eventTask) completeProvisionally(end lifecycle.End, c *confirmation) {
	if t.released {
		return
	}
	t.release()
	t.respond(statusAccepted, 0)
	sequel, ok := t.request.EndProvisionally(end, t.reopenable)
	if !ok {
		return
	}
	if sequel == lifecycle.RepeatSends {
		t.provisional = true
		updates := t.updates
		c.whenSettled(func(confirmed bool) {
			updates <- eventUpdate{kind: updateDeliverySettled, confirmed: confirmed, mayBeGone: c.sawGone}
		})
		return
	}
	completion := &provisionalCompletion{node: t.node, id: t.id, arrivalSeq: t.arrivalSeq, deadline: t.monoDeadline, request: t.request,
		record: t.node.journal.recordResolutionAndTrim(t.event, discarded)}
	c.whenSettled(completion.settle)
}

// settleDelivery handles what became of a delivery that might have belonged to another call. If it is doubted, the event is
// handed to the scheduler once more, as one whose attempts may have run. One whose deadline has passed, or which may be gone, is ended by a
// notice, and one that is doubted when nothing more is decided waits in the journal for the next process.
func (t *eventTask) settleDelivery(confirmed, mayBeGone bool) {
	t.provisional = false
	if confirmed {
		t.request.ConfirmEnd()
		t.node.journal.complete(t.event)
		return
	}
	if mayBeGone {
		t.tellDoubtedDelivery()
		return
	}
	if t.node.decisions.hasStoppedSending() {
		t.request.HandOver()
	}
	switch err := t.request.Reopen(t.node.clock.now()); {
	case err == nil:
		t.sendAgain()
	case errors.Is(err, lifecycle.ErrDeadlinePassed):
		t.tellDoubtedDelivery()
	}
}

// tellDoubtedDelivery ends an event whose delivery is doubted by a notice.
func (t *eventTask) tellDoubtedDelivery() {
	if t.request.FailConfirmation() != nil {
		return
	}
	noticesInDoubt.With(lifecycle.Delivered.String()).Inc()
	logDoubtedEnd(t.id, lifecycle.Delivered, "end in doubt, sending a notice")
	t.reportUndelivered(discarded, 0, false)
}

// sendAgain hands an event that was reopened to the scheduler.
func (t *eventTask) sendAgain() {
	reopenedEvents.Inc()
	logDoubtedEnd(t.id, lifecycle.Delivered, "end in doubt, sending the event again")
	t.released = false
	t.node.activeEvents.Add(1)
	t.node.decisions.removeEvent(t.event)
	reopened := *t.event // the scheduler's index for it is new, and attempts of before refer to the old one
	reopened.pastAttempts = slices.Clone(t.attempts)
	t.event = &reopened
	t.node.decisions.addEvent(t.event)
}

// provisionalCompletion is the completion of an event by a response that may belong to another call.
type provisionalCompletion struct {
	node       *Node
	id         string
	arrivalSeq uint64
	deadline   int64
	request    *lifecycle.Request
	record     *store.PendingWrite
}

// settle completes the event. If the response is confirmed as its own, nothing more is to be done; otherwise the
// platform is sent a notice, which does no harm if the event was delivered after all.
func (p *provisionalCompletion) settle(confirmed bool) {
	if confirmed {
		p.request.ConfirmEnd()
		p.node.journal.completeByID(p.id, p.arrivalSeq)
		return
	}
	end := p.request.End()
	if p.request.FailConfirmation() != nil {
		return
	}
	noticesInDoubt.With(end.String()).Inc()
	logDoubtedEnd(p.id, end, "end in doubt, sending a notice")
	p.node.unreportedEnds.Add(1)
	go p.notifyUndeliverable()
}

// notifyUndeliverable notifies the platform that the event was not delivered. It waits until this is recorded or the event's
// deadline has passed, so that a restart cannot send the event again after the notice.
func (p *provisionalCompletion) notifyUndeliverable() {
	written := false
	if !p.request.MayReportEnd(p.node.clock.now(), false) {
		select {
		case <-p.record.Written():
			written = true
		case <-time.After(time.Duration(p.deadline - p.node.clock.now())):
		}
	}
	if p.request.ReportEnd(p.node.clock.now(), written) != nil {
		return
	}
	p.node.notices.enqueue(notice{id: p.id, resolution: discarded, onAcknowledged: func() {
		p.node.unreportedEnds.Add(-1)
		p.node.journal.completeByID(p.id, p.arrivalSeq)
	}})
}
