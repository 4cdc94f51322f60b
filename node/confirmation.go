package node

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jaspersill/lifecycle"
	"jaspersill/logs"
	"jaspersill/metrics"
	"jaspersill/port"
	"jaspersill/reuse"
	"jaspersill/store"
)

const (
	confirmed = "confirmed"
	doubted   = "doubted"
)

var (
	unconfirmedOutcomes = metrics.NewFamily("jaspersill_unconfirmed_outcomes_total",
		"Outcomes from answers that might have been another call's, by what the connection showed later.", "result", confirmed, doubted)
	outOfStep = metrics.New("jaspersill_endpoint_connections_out_of_step_total",
		"Connections to endpoints on which an answer came that no call waited for.")
)

// confirmation follows an outcome whose answer may be another call's, until the connection shows that it was in step, or
// until that can no longer show.
type confirmation struct {
	conn       *endpointConn
	id         string
	how        port.Outcome
	answeredAt int64
	timer      *time.Timer

	mu      sync.Mutex
	settled bool
	result  bool
	then    func(confirmed bool)
}

// whenSettled has a function called once, with whether the outcome is confirmed. It may be called at once.
func (c *confirmation) whenSettled(then func(confirmed bool)) {
	c.mu.Lock()
	c.then = then
	settled := c.settled
	c.mu.Unlock()
	if settled {
		then(c.result)
	}
}

// settle ends the following; only the first call counts.
func (c *confirmation) settle(result bool, reason string) {
	c.mu.Lock()
	if c.settled {
		c.mu.Unlock()
		return
	}
	c.settled, c.result = true, result
	then := c.then
	c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
	}
	word := doubted
	if result {
		word = confirmed
	}
	unconfirmedOutcomes.With(word).Add()
	c.log(word, reason)
	if then != nil {
		then(result)
	}
}

// log writes what came of the outcome: a doubt may end in a notice that operators wonder at.
func (c *confirmation) log(result, reason string) {
	level := logrus.DebugLevel
	if result == doubted {
		level = logrus.InfoLevel
	}
	if !logrus.IsLevelEnabled(level) {
		return
	}
	logs.Event("endpoints", c.id).WithFields(logrus.Fields{"connection": c.conn.id, "endpoint": c.conn.endpoint,
		"outcome": c.how.String(), "result": result, "reason": reason}).Log(level, "an outcome from an answer that may be another call's")
}

// settlement is a confirmation that is to be settled once no lock is held.
type settlement struct {
	*confirmation
	result bool
	reason string
}

// unlock gives the lock up and settles what was found out while it was held.
func (p *endpoints) unlock() {
	settled := p.settled
	p.settled = nil
	p.mu.Unlock()
	for _, s := range settled {
		s.settle(s.result, s.reason)
	}
}

// follow begins to follow an outcome of a send on a connection.
func (p *endpoints) follow(conn *endpointConn, s *send, how port.Outcome) *confirmation {
	now := p.clock.now()
	c := &confirmation{conn: conn, id: s.event.id, how: how, answeredAt: now}
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.pending = append(conn.pending, c)
	p.pending++
	hold := reuse.HoldUntil(s.began, s.timeout, s.event.due) - now
	c.timer = time.AfterFunc(time.Duration(max(hold, 0)), func() { p.expireHold(c) })
	return c
}

// prove notes that a connection that carries a call is in step: its answer named the call's requests.
func (p *endpoints) prove(conn *endpointConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.provenAt = p.clock.now()
}

// expireHold settles an outcome that was held for long enough: it is confirmed if its connection has been in step since.
func (p *endpoints) expireHold(c *confirmation) {
	p.mu.Lock()
	defer p.unlock()
	p.look(c.conn)
	for i, other := range c.conn.pending {
		if other == c {
			c.conn.pending = slices.Delete(c.conn.pending, i, i+1)
			p.settleLater(c, c.answeredAt <= c.conn.provenAt, "held_for_long_enough")
			return
		}
	}
}

// settleLater notes what came of an outcome; the lock is held.
func (p *endpoints) settleLater(c *confirmation, result bool, reason string) {
	p.pending--
	p.settled = append(p.settled, settlement{c, result, reason})
}

// look finds out whether a connection that rests is in step; the lock is held. One that holds unread bytes, or has ended,
// is closed.
func (p *endpoints) look(conn *endpointConn) (usable bool) {
	if !conn.resting {
		return false
	}
	if state := stateAtRest(conn); state != restQuiet {
		p.remove(conn)
		p.end(conn, state.closeReason())
		return false
	}
	if p.clock.now()-conn.used >= p.reuse[conn.endpoint].Rest() {
		conn.provenAt = conn.used
		conn.answers.Prove()
	}
	return true
}

// end closes a connection for a reason, and settles the outcomes that it told; the lock is held. Where an answer came
// that no call waited for, all of them are in doubt: which calls they belong to cannot be told.
func (p *endpoints) end(conn *endpointConn, reason closeReason) {
	conn.end(reason)
	surplus := reason == closeSurplus || reason == closeUnread
	if surplus && conn.calls > 0 {
		p.noteOutOfStep(conn, reason)
	}
	for _, c := range conn.pending {
		p.settleLater(c, !surplus && c.answeredAt <= conn.provenAt, string(reason))
	}
	conn.pending = nil
}

func (p *endpoints) noteOutOfStep(conn *endpointConn, reason closeReason) {
	outOfStep.Add()
	p.reuse[conn.endpoint].OutOfStep(p.clock.now())
	logs.Part("endpoints").WithFields(logrus.Fields{"connection": conn.id, "endpoint": p.names[conn.endpoint], "calls": conn.calls,
		"in_doubt": len(conn.pending), "reason": string(reason)}).Warn("an answer came that no call waits for")
}

// settleRested settles the outcomes of connections that rest and are in step. With all, the others are settled too, as
// in doubt.
func (p *endpoints) settleRested(all bool) {
	p.mu.Lock()
	defer p.unlock()
	for _, list := range p.idle {
		for _, conn := range slices.Clone(list) {
			if len(conn.pending) == 0 || !p.look(conn) {
				continue
			}
			kept := conn.pending[:0]
			for _, c := range conn.pending {
				if proven := c.answeredAt <= conn.provenAt; proven || all {
					p.settleLater(c, proven, "the_process_ends")
				} else {
					kept = append(kept, c)
				}
			}
			conn.pending = kept
		}
	}
}

// unsettled counts the outcomes that are followed.
func (p *endpoints) unsettled() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pending
}

// provisionalEnd is the end of an event that an answer brought which may be another call's.
type provisionalEnd struct {
	node    *Node
	id      string
	came    uint64
	due     int64
	request *lifecycle.Request
	record  *store.PendingWrite
}

// settle ends the event: nothing more is owed if the answer was its own, else a notice, which does no harm if it was.
func (e *provisionalEnd) settle(confirmed bool) {
	if confirmed {
		e.request.Confirm()
		e.node.journal.completeByID(e.id, e.came)
		return
	}
	if e.request.Doubt() != nil {
		return
	}
	e.node.ending.Add(1)
	go e.tell()
}

// tell tells the platform that the event was not delivered, once a restart would respect it.
func (e *provisionalEnd) tell() {
	written := false
	if !e.request.MayTell(e.node.clock.now(), false) {
		select {
		case <-e.record.Written():
			written = true
		case <-time.After(time.Duration(e.due - e.node.clock.now())):
		}
	}
	if e.request.Tell(e.node.clock.now(), written) != nil {
		return
	}
	e.node.notices.post(notice{id: e.id, verdict: discarded, told: func() {
		e.node.ending.Add(-1)
		e.node.journal.completeByID(e.id, e.came)
	}})
}
