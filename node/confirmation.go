package node

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jaspersill/connreuse"
	"jaspersill/delivery"
	"jaspersill/lifecycle"
	"jaspersill/logs"
	"jaspersill/metrics"
	"jaspersill/store"
)

const (
	resultConfirmed = "confirmed"
	resultDoubted   = "doubted"
)

var (
	unconfirmedOutcomes = metrics.NewFamily("jaspersill_unconfirmed_outcomes_total",
		"Outcomes from answers that might have been another call's, by what the connection showed later.", "result", resultConfirmed, resultDoubted)
	outOfSyncConnections = metrics.New("jaspersill_endpoint_connections_out_of_step_total",
		"Connections to endpoints on which an answer came that no call waited for.")
)

// confirmation follows an outcome whose answer may be another call's, until the connection shows that it was in step, or
// until that can no longer show.
type confirmation struct {
	conn        *endpointConn
	id          string
	outcome     delivery.Outcome
	respondedAt int64
	timer       *time.Timer

	mu        sync.Mutex
	settled   bool
	confirmed bool
	onSettled func(confirmed bool)
}

// whenSettled has a function called once, with whether the outcome is confirmed. It may be called at once.
func (c *confirmation) whenSettled(then func(confirmed bool)) {
	c.mu.Lock()
	c.onSettled = then
	settled := c.settled
	c.mu.Unlock()
	if settled {
		then(c.confirmed)
	}
}

// settle ends the following; only the first call counts.
func (c *confirmation) settle(result bool, reason string) {
	c.mu.Lock()
	if c.settled {
		c.mu.Unlock()
		return
	}
	c.settled, c.confirmed = true, result
	then := c.onSettled
	c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
	}
	word := resultDoubted
	if result {
		word = resultConfirmed
	}
	unconfirmedOutcomes.With(word).Add()
	c.logResult(word, reason)
	if then != nil {
		then(result)
	}
}

// logResult writes what came of the outcome: a doubt may end in a notice that operators wonder at.
func (c *confirmation) logResult(result, reason string) {
	level := logrus.DebugLevel
	if result == resultDoubted {
		level = logrus.InfoLevel
	}
	if !logrus.IsLevelEnabled(level) {
		return
	}
	logs.Event("endpoints", c.id).WithFields(logrus.Fields{"connection": c.conn.id, "endpoint": c.conn.endpoint,
		"outcome": c.outcome.String(), "result": result, "reason": reason}).Log(level, "an outcome from an answer that may be another call's")
}

// settlement is a confirmation that is to be settled once no lock is held.
type settlement struct {
	*confirmation
	confirmed bool
	reason    string
}

// unlockAndSettle gives the lock up and settles what was found out while it was held.
func (p *endpointPool) unlockAndSettle() {
	settled := p.toSettle
	p.toSettle = nil
	p.mu.Unlock()
	for _, s := range settled {
		s.settle(s.confirmed, s.reason)
	}
}

// trackOutcome begins to trackOutcome an outcome of a send on a connection.
func (p *endpointPool) trackOutcome(conn *endpointConn, s *attempt, how delivery.Outcome) *confirmation {
	now := p.clock.now()
	c := &confirmation{conn: conn, id: s.event.id, outcome: how, respondedAt: now}
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.unconfirmed = append(conn.unconfirmed, c)
	p.unconfirmed++
	hold := connreuse.HoldUntil(s.startedAt, s.timeout, s.event.monoDeadline) - now
	c.timer = time.AfterFunc(time.Duration(max(hold, 0)), func() { p.holdExpired(c) })
	return c
}

// markInSync notes that a connection that carries a call is in step: its answer named the call's requests.
func (p *endpointPool) markInSync(conn *endpointConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.inSyncAt = p.clock.now()
}

// holdExpired settles an outcome that was held for long enough: it is confirmed if its connection has been in step since.
func (p *endpointPool) holdExpired(c *confirmation) {
	p.mu.Lock()
	defer p.unlockAndSettle()
	p.checkIdle(c.conn)
	for i, other := range c.conn.unconfirmed {
		if other == c {
			c.conn.unconfirmed = slices.Delete(c.conn.unconfirmed, i, i+1)
			p.queueSettlement(c, c.respondedAt <= c.conn.inSyncAt, "held_for_long_enough")
			return
		}
	}
}

// queueSettlement notes what came of an outcome; the lock is held.
func (p *endpointPool) queueSettlement(c *confirmation, result bool, reason string) {
	p.unconfirmed--
	p.toSettle = append(p.toSettle, settlement{c, result, reason})
}

// checkIdle finds out whether a connection that rests is in step; the lock is held. One that holds unread bytes, or has ended,
// is closed.
func (p *endpointPool) checkIdle(conn *endpointConn) (usable bool) {
	if !conn.idle {
		return false
	}
	if state := inspectIdleConn(conn); state != idleConnOpen {
		p.removeIdle(conn)
		p.closeLocked(conn, state.closeReason())
		return false
	}
	if p.clock.now()-conn.lastUsedAt >= p.reuse[conn.endpoint].QuietPeriod() {
		conn.inSyncAt = conn.lastUsedAt
		conn.responses.MarkInSync()
	}
	return true
}

// closeLocked closes a connection for a reason, and settles the outcomes that it told; the lock is held. Where an answer came
// that no call waited for, all of them are in doubt: which calls they belong to cannot be told.
func (p *endpointPool) closeLocked(conn *endpointConn, reason closeReason) {
	conn.closeWithReason(reason)
	surplus := reason == closeSurplus || reason == closeUnread
	if surplus && conn.callCount > 0 {
		p.recordOutOfSync(conn, reason)
	}
	for _, c := range conn.unconfirmed {
		p.queueSettlement(c, !surplus && c.respondedAt <= conn.inSyncAt, string(reason))
	}
	conn.unconfirmed = nil
}

func (p *endpointPool) recordOutOfSync(conn *endpointConn, reason closeReason) {
	outOfSyncConnections.Add()
	p.reuse[conn.endpoint].RecordOutOfSync(p.clock.now())
	logs.Part("endpoints").WithFields(logrus.Fields{"connection": conn.id, "endpoint": p.names[conn.endpoint], "calls": conn.callCount,
		"in_doubt": len(conn.unconfirmed), "reason": string(reason)}).Warn("an answer came that no call waits for")
}

// settleIdle settles the outcomes of connections that rest and are in step. With all, the others are settled too, as
// in doubt.
func (p *endpointPool) settleIdle(all bool) {
	p.mu.Lock()
	defer p.unlockAndSettle()
	for _, list := range p.idle {
		for _, conn := range slices.Clone(list) {
			if len(conn.unconfirmed) == 0 || !p.checkIdle(conn) {
				continue
			}
			kept := conn.unconfirmed[:0]
			for _, c := range conn.unconfirmed {
				if proven := c.respondedAt <= conn.inSyncAt; proven || all {
					p.queueSettlement(c, proven, "the_process_ends")
				} else {
					kept = append(kept, c)
				}
			}
			conn.unconfirmed = kept
		}
	}
}

// unconfirmedCount counts the outcomes that are followed.
func (p *endpointPool) unconfirmedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unconfirmed
}

// provisionalCompletion is the end of an event that an answer brought which may be another call's.
type provisionalCompletion struct {
	node    *Node
	id      string
	came    uint64
	due     int64
	request *lifecycle.Request
	record  *store.PendingWrite
}

// settle ends the event: nothing more is owed if the answer was its own, else a notice, which does no harm if it was.
func (e *provisionalCompletion) settle(confirmed bool) {
	if confirmed {
		e.request.ConfirmEnd()
		e.node.journal.completeByID(e.id, e.came)
		return
	}
	if e.request.FailConfirmation() != nil {
		return
	}
	e.node.unreportedEnds.Add(1)
	go e.notifyUndeliverable()
}

// notifyUndeliverable tells the platform that the event was not delivered, once a restart would respect it.
func (e *provisionalCompletion) notifyUndeliverable() {
	written := false
	if !e.request.MayReportEnd(e.node.clock.now(), false) {
		select {
		case <-e.record.Written():
			written = true
		case <-time.After(time.Duration(e.due - e.node.clock.now())):
		}
	}
	if e.request.ReportEnd(e.node.clock.now(), written) != nil {
		return
	}
	e.node.notices.enqueue(notice{id: e.id, verdict: discarded, onAcknowledged: func() {
		e.node.unreportedEnds.Add(-1)
		e.node.journal.completeByID(e.id, e.came)
	}})
}
