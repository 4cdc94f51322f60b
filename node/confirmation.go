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
)

const (
	resultConfirmed = "confirmed"
	resultDoubted   = "doubted"
)

var (
	unconfirmedOutcomes = metrics.NewCounterVec("jaspersill_unconfirmed_outcomes_total",
		"Outcomes from answers that might have been another call's, by what the connection showed later.", "result", resultConfirmed, resultDoubted)
	outOfSyncConnections = metrics.NewCounter("jaspersill_endpoint_connections_out_of_step_total",
		"Connections to endpoints on which an answer came that no call waited for.")
)

// confirmation tracks an outcome whose response may belong to another call. It is settled once the connection shows whose
// response it was, or can show nothing more. Its evidence is guarded by endpointPool.mu.
type confirmation struct {
	conn     *endpointConn
	id       string
	outcome  delivery.Outcome
	deadline int64 // of the event
	evidence connreuse.Evidence
	refuted  bool // a later response ends no event, so that those behind it prove nothing
	awaited  bool // the event waits for the settlement, because it must not be repeated
	sawGone  bool // a response that no call waited for, and so may be the event's, says that an event is over
	timer    *time.Timer

	mu        sync.Mutex
	settled   bool
	confirmed bool
	onSettled func(confirmed bool)
}

// whenSettled registers a function that is called once, with whether the outcome is confirmed. If the outcome is already
// settled, the function is called immediately.
func (c *confirmation) whenSettled(onSettled func(confirmed bool)) {
	c.mu.Lock()
	c.onSettled = onSettled
	settled := c.settled
	c.mu.Unlock()
	if settled {
		onSettled(c.confirmed)
	}
}

// settle ends the tracking. Only the first call has an effect.
func (c *confirmation) settle(confirmed bool, reason string) {
	c.mu.Lock()
	if c.settled {
		c.mu.Unlock()
		return
	}
	c.settled, c.confirmed = true, confirmed
	onSettled := c.onSettled
	c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
	}
	result := resultDoubted
	if confirmed {
		result = resultConfirmed
	}
	unconfirmedOutcomes.With(result).Inc()
	c.logResult(result, reason)
	if onSettled != nil {
		onSettled(confirmed)
	}
}

// logResult logs the result. A doubted outcome is logged at info level, because it may lead to a notice that
// operators ask about.
func (c *confirmation) logResult(result, reason string) {
	level := logrus.DebugLevel
	if result == resultDoubted {
		level = logrus.InfoLevel
	}
	if !logrus.IsLevelEnabled(level) {
		return
	}
	logs.Event("endpoints", c.id).WithFields(logrus.Fields{"connection": c.conn.id, "endpoint": c.conn.endpoint,
		"outcome": c.outcome.String(), "claim": c.evidence.Claim.String(), "result": result, "reason": reason}).Log(level, "settled outcome of a response that may belong to another call")
}

// settlement is a confirmation that is to be settled once the pool's lock is released.
type settlement struct {
	*confirmation
	confirmed bool
	reason    string
}

// unlockAndSettle releases p.mu and settles the outcomes that were decided while it was held. Their callbacks do not
// run under the lock.
func (p *endpointPool) unlockAndSettle() {
	settled := p.toSettle
	p.toSettle = nil
	p.mu.Unlock()
	for _, s := range settled {
		s.settle(s.confirmed, s.reason)
	}
}

// trackOutcome starts to track an outcome of an attempt on a connection.
func (p *endpointPool) trackOutcome(conn *endpointConn, a *attempt, r *result) *confirmation {
	now := p.clock.now()
	claim := r.claim()
	c := &confirmation{conn: conn, id: a.event.id, outcome: r.outcome, deadline: a.event.monoDeadline,
		evidence: connreuse.Evidence{Claim: claim, Repeatable: a.event.reopenable,
			HoldUntil: connreuse.HoldUntil(now, a.startedAt, a.timeout, a.event.monoDeadline, claim)},
		awaited: claim == connreuse.NotRun && a.event.safety == delivery.NonIdempotent}
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.unconfirmed = append(conn.unconfirmed, c)
	p.unconfirmed++
	c.timer = time.AfterFunc(time.Duration(max(c.evidence.HoldUntil-now, 0)), func() { p.holdExpired(c) })
	return c
}

// observeResponse tells the tracked outcomes of a connection about a later response on it. A response that names its requests
// proves that all earlier ones belonged to their calls.
func (p *endpointPool) observeResponse(conn *endpointConn, response callResponse, attribution lifecycle.Attribution) {
	p.mu.Lock()
	defer p.unlockAndSettle()
	ends := response.endsAll()
	named := response.identity.NamesRequests && attribution == lifecycle.Certain
	conn.unconfirmed = slices.DeleteFunc(conn.unconfirmed, func(c *confirmation) bool {
		if c.refuted = c.refuted || !ends; !c.refuted {
			c.evidence.LaterEnds++
		}
		if !named && !c.evidence.Proven() {
			return false
		}
		p.queueSettlement(c, true, "later_response")
		return true
	})
}

// holdExpired looks at an outcome whose hold time has passed. A delivery that nothing speaks against is held on until the
// event's deadline, since an endpoint may hang for longer than its call was to wait.
func (p *endpointPool) holdExpired(c *confirmation) {
	p.mu.Lock()
	defer p.unlockAndSettle()
	p.checkIdle(c.conn)
	i := slices.Index(c.conn.unconfirmed, c)
	if i < 0 {
		return
	}
	trusted := c.evidence.Trusted()
	if remaining := c.deadline - p.clock.now(); trusted && c.evidence.Claim == connreuse.Delivered && remaining > 0 {
		c.timer = time.AfterFunc(time.Duration(remaining), func() { p.holdExpired(c) })
		return
	}
	c.conn.unconfirmed = slices.Delete(c.conn.unconfirmed, i, i+1)
	p.queueSettlement(c, trusted, "hold_expired")
}

// awaitsSettlement reports whether an event waits for what the connection shows of its response. The caller holds
// endpointPool.mu.
func (c *endpointConn) awaitsSettlement() bool {
	return slices.ContainsFunc(c.unconfirmed, func(u *confirmation) bool { return u.awaited })
}

// queueSettlement queues the result of an outcome until the lock is released. The caller holds p.mu.
func (p *endpointPool) queueSettlement(c *confirmation, confirmed bool, reason string) {
	p.unconfirmed--
	p.toSettle = append(p.toSettle, settlement{c, confirmed, reason})
}

// checkIdle reports whether an idle connection is still usable, and records whether it has rested. A connection that has
// unread bytes or was closed by the remote side is closed. The caller holds p.mu.
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
		for _, c := range conn.unconfirmed {
			c.evidence.Rested = true
		}
	}
	return true
}

// closeLocked closes a connection for a reason and settles the outcomes read on it. If a response arrived that no call was
// waiting for, all of them are doubted, since it is unknown which calls the responses belong to. The caller holds p.mu.
func (p *endpointPool) closeLocked(conn *endpointConn, reason closeReason) {
	unexpected := reason == closeSurplus || reason == closeUnread
	sawGone := unexpected && conn.unreadSaysGone()
	conn.closeWithReason(reason)
	if unexpected && conn.callCount > 0 {
		p.recordOutOfSync(conn, reason)
	}
	byEndpoint := reason == closeEnded || reason == closeBroken
	for _, c := range conn.unconfirmed {
		c.sawGone = sawGone
		p.queueSettlement(c, !unexpected && c.evidence.AcceptAtClose(byEndpoint), string(reason))
	}
	conn.unconfirmed = nil
}

func (p *endpointPool) recordOutOfSync(conn *endpointConn, reason closeReason) {
	outOfSyncConnections.Inc()
	p.reuse[conn.endpoint].RecordOutOfSync(p.clock.now())
	logs.Part("endpoints").WithFields(logrus.Fields{"connection": conn.id, "endpoint": p.names[conn.endpoint], "calls": conn.callCount,
		"unconfirmed": len(conn.unconfirmed), "reason": string(reason)}).Warn("received a response that no call is waiting for")
}

// settleAll settles the outcomes of all idle connections: nothing more is read on them.
func (p *endpointPool) settleAll() {
	p.mu.Lock()
	defer p.unlockAndSettle()
	now := p.clock.now()
	for _, list := range p.idle {
		for _, conn := range slices.Clone(list) {
			if !p.checkIdle(conn) {
				continue
			}
			for _, c := range conn.unconfirmed {
				p.queueSettlement(c, c.evidence.AcceptAtShutdown(now), "shutdown")
			}
			conn.unconfirmed = nil
		}
	}
}

// unconfirmedCount returns the number of tracked outcomes that are not settled yet.
func (p *endpointPool) unconfirmedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unconfirmed
}
