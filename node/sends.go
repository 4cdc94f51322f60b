package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/bytebufferpool"

	"jaspersill/errclass"
	"jaspersill/lifecycle"
	"jaspersill/logs"
	"jaspersill/metrics"
	"jaspersill/port"
)

// send is one send of one event.
type send struct {
	event    *event
	number   int
	endpoint int32
	began    int64
	timeout  int64
	call     *call
	recalled bool // while its record was being written
}

// call is one exchange with an endpoint, of one send or of several. It ends once, for all of them.
type call struct {
	of       *endpoints
	endpoint int32
	sends    []*send
	size     int // bytes of its body, if it has several

	mu     sync.Mutex
	abort  context.CancelFunc // while connecting
	conn   *endpointConn
	bytes  progress
	ended  bool
	gaveUp bool         // while its records or its bytes are being written: the writer ends it
	how    port.Outcome // when given up
	sentAt int64        // its first byte

	extended bool        // it timed out while its answer came, and has the time that the rest of one may take
	local    atomic.Bool // connecting fails for a reason of this machine
}

// progress is how much of a call has gone out.
type progress uint8

const (
	none      progress = iota // connecting
	recording                 // the records of its attempts are being written
	some                      // being written: the writer will know
	all                       // its last byte has gone, or may have
)

const (
	recordAgain = 10 * time.Millisecond // while the log cannot be written, before the next try
)

var attemptsEnded = metrics.NewFamily("jaspersill_attempts_ended_total", "Attempts that ended, by outcome.", "outcome",
	port.Acked.String(), port.Errored.String(), port.Declined.String(), port.TimedOut.String(), port.ConnectFailed.String(),
	port.Reset.String(), port.Cancelled.String(), port.Unsent.String(), port.Spoilt.String())

// carry makes a call and tells each send how it ended. A call is made once: nothing here repeats it.
func (p *endpoints) carry(c *call) {
	defer p.callEnds(c.endpoint)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timeout := c.begin(cancel)
	if timeout == 0 { // given up before it began
		return
	}
	timer := time.AfterFunc(time.Duration(timeout), func() { c.giveUp(port.TimedOut) })
	defer timer.Stop()

	conn := c.prepare(ctx)
	if conn == nil {
		return
	}
	whole, err := c.write(conn, timeout)
	if gaveUp := c.wrote(whole); gaveUp || err != nil {
		c.endUnanswered(conn, !whole, err)
		return
	}
	c.readAnswer(conn)
}

// prepare finds a connection for the call and records its attempts. It returns nil where the call ended.
func (c *call) prepare(ctx context.Context) *endpointConn {
	conn, dial := c.of.kept(c.endpoint, c.repeatable())
	if conn == nil {
		if conn = c.connect(ctx, dial); conn == nil {
			return nil
		}
	}
	if !c.recordAttempts() {
		c.of.close(conn, closeGivenUp)
		return nil
	}
	// What came while the attempts were recorded is no answer to them.
	if state := stateAtRest(conn); state != restQuiet {
		c.of.close(conn, state.closeReason())
		if conn = c.connect(ctx, conn.dial); conn == nil {
			return nil
		}
	}
	conn.begins()
	if !c.leave(conn) {
		c.of.close(conn, closeGivenUp)
		return nil
	}
	return conn
}

// connect opens a connection for the call, and ends the call where none comes up.
func (c *call) connect(ctx context.Context, dial string) *endpointConn {
	conn, err := c.of.connect(ctx, c.endpoint, dial, &c.local)
	if err != nil {
		c.finish(result{how: connectOutcome(err)})
		return nil
	}
	return conn
}

// repeatable tells whether all its sends may go out again after one that may have run.
func (c *call) repeatable() bool {
	return !slices.ContainsFunc(c.sends, func(s *send) bool { return s.event.safety == port.NonIdempotent })
}

// endUnanswered ends a call that was given up, or broke, before its last byte was written or as it was.
func (c *call) endUnanswered(conn *endpointConn, cut bool, err error) {
	var wait int64
	reason := closeBroken
	switch {
	case err == nil:
		reason = closeGivenUp
	case errors.Is(err, errEarlyAnswer): // to no call: an endpoint begins one when its last byte has come
		reason, wait = closeUnread, conn.in.read(c.sends).results[0].wait
	}
	c.of.close(conn, reason)
	switch {
	case errclass.Stream(err) == errclass.Momentary: // of this machine, and nothing went out
		c.finish(result{how: port.Unsent})
	case cut: // the call's last byte was not written: it never ran
		c.finish(result{how: port.ConnectFailed, wait: wait})
	default:
		c.finish(result{how: port.Reset})
	}
}

// readAnswer reads the answer to a call that is out, and ends the call with it.
func (c *call) readAnswer(conn *endpointConn) {
	dest := c.sends[0].event.dest
	conn.stalls = func(on bool) { c.of.stalls(dest, on) }
	answer := conn.in.read(c.sends)
	again := conn.answers.Refused() && answer.identity.NotRun
	attribution := conn.attribute(answer)
	switch {
	case attribution == lifecycle.Unconfirmed:
		c.followAnswer(conn, answer)
	case answer.identity.Named:
		c.of.prove(conn)
	}
	if again {
		c.of.learnRefusal(attribution == lifecycle.Unconfirmed)
	}
	switch finished := c.finish(answer.results...); {
	case !finished:
		c.of.close(conn, closeGivenUp)
	case answer.close != "":
		c.of.close(conn, answer.close)
	default:
		c.of.keep(conn, c.of.clock.now()-c.sentAt)
	}
}

// followAnswer has the outcomes followed that it would do harm to act on if the answer is another call's: those that end
// their event, and those that say that an event never ran which must not run twice.
func (c *call) followAnswer(conn *endpointConn, answer reply) {
	for i := range answer.results {
		r := &answer.results[i] // of several sends, an answer that says the same of all has one for each
		over := r.how == port.Acked || r.over
		if over || (!r.how.MayHaveRun() && c.sends[i].event.safety != port.Idempotent) {
			r.confirm = c.of.follow(conn, c.sends[i], r.how)
		}
	}
}

// begin notes what ends the call while it is connecting. It tells how long the call may take, which is as
// long as the least patient of its sends waits, and 0 if it was given up before.
func (c *call) begin(abort context.CancelFunc) (timeout int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abort = abort; c.ended {
		return 0
	}
	now := c.of.clock.now()
	timeout = c.sends[0].began + c.sends[0].timeout - now
	for _, s := range c.sends {
		timeout = min(timeout, s.began+s.timeout-now)
	}
	return max(timeout, 1)
}

// connectOutcome is how an attempt ended whose connection did not come up. A reason of this machine is not the
// endpoint's.
func connectOutcome(err error) port.Outcome {
	if errclass.Socket(err) == errclass.Momentary {
		return port.Unsent
	}
	return port.ConnectFailed
}

// recordAttempts writes that the call's attempts go out, just before their bytes do: the process may end while one is
// out, and one that a restart finds connecting has not run. Nothing is locked meanwhile, for the disk may be slow; who
// gives the call up or recalls an attempt leaves it to this goroutine. It tells false if the call has ended.
func (c *call) recordAttempts() bool {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return false
	}
	c.bytes = recording
	sends := slices.Clone(c.sends)
	c.mu.Unlock()
	recorded := make(map[*send]bool, len(sends))
	for _, s := range sends {
		recorded[s] = c.recordAttempt(s)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range sends {
		if !recorded[s] || s.recalled {
			c.drop(s)
		}
	}
	return !c.ended
}

// recordAttempt writes that one attempt goes out, for as long as it may. It tells whether that is written.
func (c *call) recordAttempt(s *send) bool {
	for c.of.stalled(s.event.dest) && c.awaitsRecord(s) { // an answer that tells to wait may stand there unread
		time.Sleep(recordAgain)
	}
	if s.event.request.StartAttempt(c.of.clock.now()) != nil {
		return false
	}
	for {
		err := c.of.journal.recordAttempt(s.event, s.number, c.of.clock.day(), c.of.site(c.endpoint))
		if err == nil {
			return true
		}
		if errors.Is(err, errNotPending) || !c.awaitsRecord(s) {
			return false
		}
		c.of.journal.writeFailures.note(err)
		time.Sleep(recordAgain)
	}
}

// awaitsRecord tells whether an attempt is still wanted while its record cannot be written.
func (c *call) awaitsRecord(s *send) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.gaveUp && !s.recalled && c.of.clock.now() < s.event.due
}

// drop takes an attempt out of a call that has sent nothing; the lock is held.
func (c *call) drop(s *send) {
	if i := slices.Index(c.sends, s); i >= 0 {
		c.sends = slices.Delete(c.sends, i, i+1)
		c.report(s, result{how: port.Unsent})
	}
	if c.ended = c.ended || len(c.sends) == 0; c.ended && c.abort != nil {
		c.abort()
	}
}

// leave lets the call's bytes go out on a connection; it tells false if none may.
func (c *call) leave(conn *endpointConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	if c.gaveUp {
		c.how = port.Unsent
		c.end(nil)
		return false
	}
	now := c.of.clock.now()
	for _, s := range slices.Clone(c.sends) {
		if s.recalled || s.event.request.SendAttempt(now) != nil {
			c.drop(s)
		}
	}
	if c.ended {
		return false
	}
	c.conn, c.bytes, c.sentAt = conn, some, now
	conn.expect()
	for _, s := range c.sends {
		c.logAttempt(s, "an attempt goes out", nil)
	}
	return true
}

// write writes a call, and tells whether its last byte was written. While nothing of it can be written, for a reason of
// this machine, it asks each time whether the call may still go out, and which of its sends.
func (c *call) write(conn *endpointConn, timeout int64) (whole bool, err error) {
	text := bytebufferpool.Get()
	defer bytebufferpool.Put(text)
	for pause := callAgain; ; pause = min(2*pause, callAgainMost) {
		text.Reset()
		if err := writeCall(text, c.sends, timeout); err != nil {
			logs.Part("endpoints").WithError(err).Error("a call cannot be written as HTTP")
			return false, err
		}
		size, err := conn.WriteUnlessFailing(text.B)
		if size > 0 || errclass.Stream(err) != errclass.Momentary {
			return size == text.Len(), err
		}
		momentaryFailures.With("write").Add()
		c.local.Store(true)
		if !c.hold() {
			return false, err
		}
		time.Sleep(pause)
		if !c.leave(conn) {
			return false, err
		}
	}
}

// hold notes that no byte of a call has gone out, so that it can be given up and its attempts recalled.
func (c *call) hold() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.gaveUp {
		return false
	}
	c.bytes = recording
	for _, s := range c.sends {
		s.event.request.HoldAttempt()
	}
	return true
}

// wrote notes whether a call was written to its last byte, and tells whether it was given up meanwhile.
func (c *call) wrote(whole bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bytes = none; whole {
		c.bytes = all
	}
	return c.gaveUp
}

// giveUp stops waiting for a call, by closing its connection: the protocol has no other way. A call of several sends is
// given up as a whole: what becomes of the others would be up to the endpoint.
func (c *call) giveUp(how port.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.gaveUp {
		return
	}
	if how == port.TimedOut && c.bytes == all && !c.extended && c.conn.answerBegun() { // its answer has begun to come
		c.extended = true
		time.AfterFunc(restWithin, func() { c.giveUp(port.TimedOut) })
		return
	}
	c.gaveUp, c.how = true, how
	if c.abort != nil {
		c.abort()
	}
	if c.conn != nil {
		c.conn.Close()
	}
	if c.bytes != some && c.bytes != recording { // told now, it might be called unsent with its last byte gone
		c.end(nil)
	}
}

// recall takes a send out of a call of which no byte has gone yet.
func (c *call) recall(s *send) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended:
	case c.bytes == recording:
		s.recalled = true
	case c.bytes == none:
		c.drop(s)
	}
}

// finish ends a call in which each send fared as told, or all the same; it tells false if it had ended.
func (c *call) finish(results ...result) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.end(results)
	return true
}

// end tells each send's life how it ended, once. Of a call that was given up, what came since does not
// count; if its last byte was not written when its connection was closed, it never ran.
func (c *call) end(results []result) {
	c.ended = true
	how := c.how
	switch {
	case c.bytes == some || c.bytes == all:
	case how == port.TimedOut && c.bytes == none && !c.local.Load():
		how = port.ConnectFailed
	default:
		how = port.Unsent
	}
	for i, s := range c.sends {
		r := result{how: how}
		if !c.gaveUp {
			r = results[min(i, len(results)-1)]
		}
		c.report(s, r)
	}
}

// report tells a send's life how it ended.
func (c *call) report(s *send, r result) {
	r.took = c.of.clock.now() - s.began
	c.logAttempt(s, "an attempt ended", logrus.Fields{"outcome": r.how.String(), "took_ms": r.took / 1e6, "wait_ms": r.wait / 1e6})
	attemptsEnded.With(r.how.String()).Add()
	if r.confirm != nil && !r.how.MayHaveRun() && !r.over {
		s.event.request.FinishRefused()
	} else {
		s.event.request.FinishAttempt(r.how.MayHaveRun() && c.bytes != none && c.bytes != recording)
	}
	s.event.steps <- step{what: stepOutcome, send: s, result: r}
}

// logAttempt writes a line about an attempt, with the connection that it goes out on.
func (c *call) logAttempt(s *send, message string, fields logrus.Fields) {
	if !logs.Debugging() {
		return
	}
	line := logs.Event("endpoints", s.event.id).WithFields(fields).
		WithFields(logrus.Fields{"attempt": s.number, "endpoint": c.endpoint})
	if c.conn != nil {
		line = line.WithFields(logrus.Fields{"connection": c.conn.id, "call": c.conn.calls})
	}
	line.Debug(message)
}
