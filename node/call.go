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

	"jaspersill/delivery"
	"jaspersill/errclass"
	"jaspersill/lifecycle"
	"jaspersill/logs"
	"jaspersill/metrics"
)

// attempt is one attempt of one event.
type attempt struct {
	event     *event
	number    int
	endpoint  int32
	startedAt int64
	timeout   int64
	call      *call
	recalled  bool // while its record was being written
}

// call is one exchange with an endpoint, of one send or of several. It ends once, for all of them.
type call struct {
	pool     *endpointPool
	endpoint int32
	attempts []*attempt
	bodySize int // bytes of its body, if it has several

	mu             sync.Mutex
	cancelDial     context.CancelFunc // while connecting
	conn           *endpointConn
	progress       writeProgress
	ended          bool
	abandoned      bool             // while its records or its bytes are being written: the writer ends it
	abandonOutcome delivery.Outcome // when given up
	sentAt         int64            // its first byte

	timeoutExtended bool        // it timed out while its answer came, and has the time that the rest of one may take
	localFailure    atomic.Bool // connecting fails for a reason of this machine
}

// writeProgress is how much of a call has gone out.
type writeProgress uint8

const (
	progressNone      writeProgress = iota // connecting
	progressRecording                      // the records of its attempts are being written
	progressWriting                        // being written: the writer will know
	progressWritten                        // its last byte has gone, or may have
)

const (
	recordRetryInterval = 10 * time.Millisecond // while the log cannot be written, before the next try
)

var attemptsEnded = metrics.NewFamily("jaspersill_attempts_ended_total", "Attempts that ended, by outcome.", "outcome",
	delivery.Acked.String(), delivery.Errored.String(), delivery.Refused.String(), delivery.TimedOut.String(), delivery.ConnectFailed.String(),
	delivery.Reset.String(), delivery.Cancelled.String(), delivery.Unsent.String(), delivery.Unreadable.String())

// execute makes a call and tells each send how it ended. A call is made once: nothing here repeats it.
func (p *endpointPool) execute(c *call) {
	defer p.callFinished(c.endpoint)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timeout := c.start(cancel)
	if timeout == 0 { // given up before it began
		return
	}
	timer := time.AfterFunc(time.Duration(timeout), func() { c.abandon(delivery.TimedOut) })
	defer timer.Stop()

	conn := c.prepare(ctx)
	if conn == nil {
		return
	}
	whole, err := c.write(conn, timeout)
	if gaveUp := c.finishWrite(whole); gaveUp || err != nil {
		c.finishWithoutResponse(conn, !whole, err)
		return
	}
	c.readResponse(conn)
}

// prepare finds a connection for the call and records its attempts. It returns nil where the call ended.
func (c *call) prepare(ctx context.Context) *endpointConn {
	conn, dial := c.pool.takeIdle(c.endpoint, c.repeatable())
	if conn == nil {
		if conn = c.connect(ctx, dial); conn == nil {
			return nil
		}
	}
	if !c.recordAttempts() {
		c.pool.closeConn(conn, closeGivenUp)
		return nil
	}
	// What came while the attempts were recorded is no answer to them.
	if state := inspectIdleConn(conn); state != idleConnOpen {
		c.pool.closeConn(conn, state.closeReason())
		if conn = c.connect(ctx, conn.address); conn == nil {
			return nil
		}
	}
	conn.countCall()
	if !c.startWrite(conn) {
		c.pool.closeConn(conn, closeGivenUp)
		return nil
	}
	return conn
}

// connect opens a connection for the call, and ends the call where none comes up.
func (c *call) connect(ctx context.Context, dial string) *endpointConn {
	conn, err := c.pool.connect(ctx, c.endpoint, dial, &c.localFailure)
	if err != nil {
		c.finish(result{outcome: dialOutcome(err)})
		return nil
	}
	return conn
}

// repeatable tells whether all its sends may go out again after one that may have run.
func (c *call) repeatable() bool {
	return !slices.ContainsFunc(c.attempts, func(s *attempt) bool { return s.event.safety == delivery.NonIdempotent })
}

// finishWithoutResponse ends a call that was given up, or broke, before its last byte was written or as it was.
func (c *call) finishWithoutResponse(conn *endpointConn, cut bool, err error) {
	var wait int64
	reason := closeBroken
	switch {
	case err == nil:
		reason = closeGivenUp
	case errors.Is(err, errEarlyAnswer): // to no call: an endpoint begins one when its last byte has come
		reason, wait = closeUnread, conn.reader.readResponse(c.attempts).results[0].retryAfter
	}
	c.pool.closeConn(conn, reason)
	switch {
	case errclass.Stream(err) == errclass.Transient: // of this machine, and nothing went out
		c.finish(result{outcome: delivery.Unsent})
	case cut: // the call's last byte was not written: it never ran
		c.finish(result{outcome: delivery.ConnectFailed, retryAfter: wait})
	default:
		c.finish(result{outcome: delivery.Reset})
	}
}

// readResponse reads the answer to a call that is out, and ends the call with it.
func (c *call) readResponse(conn *endpointConn) {
	dest := c.attempts[0].event.dest
	conn.onStall = func(on bool) { c.pool.setStalled(dest, on) }
	answer := conn.reader.readResponse(c.attempts)
	again := conn.responses.SawNotRun() && answer.identity.NotRun
	attribution := conn.attribute(answer)
	switch {
	case attribution == lifecycle.Unconfirmed:
		c.trackResponse(conn, answer)
	case answer.identity.NamesRequests:
		c.pool.markInSync(conn)
	}
	if again {
		c.pool.recordRefusal(attribution == lifecycle.Unconfirmed)
	}
	switch finished := c.finish(answer.results...); {
	case !finished:
		c.pool.closeConn(conn, closeGivenUp)
	case answer.close != "":
		c.pool.closeConn(conn, answer.close)
	default:
		c.pool.putIdle(conn, c.pool.clock.now()-c.sentAt)
	}
}

// trackResponse has the outcomes followed that it would do harm to act on if the answer is another call's: those that end
// their event, and those that say that an event never ran which must not run twice.
func (c *call) trackResponse(conn *endpointConn, answer callResponse) {
	for i := range answer.results {
		r := &answer.results[i] // of several sends, an answer that says the same of all has one for each
		over := r.outcome == delivery.Acked || r.final
		if over || (!r.outcome.MayHaveRun() && c.attempts[i].event.safety != delivery.Idempotent) {
			r.confirmation = c.pool.trackOutcome(conn, c.attempts[i], r.outcome)
		}
	}
}

// start notes what ends the call while it is connecting. It tells how long the call may take, which is as
// long as the least patient of its sends waits, and 0 if it was given up before.
func (c *call) start(abort context.CancelFunc) (timeout int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelDial = abort; c.ended {
		return 0
	}
	now := c.pool.clock.now()
	timeout = c.attempts[0].startedAt + c.attempts[0].timeout - now
	for _, s := range c.attempts {
		timeout = min(timeout, s.startedAt+s.timeout-now)
	}
	return max(timeout, 1)
}

// dialOutcome is how an attempt ended whose connection did not come up. A reason of this machine is not the
// endpoint's.
func dialOutcome(err error) delivery.Outcome {
	if errclass.Socket(err) == errclass.Transient {
		return delivery.Unsent
	}
	return delivery.ConnectFailed
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
	c.progress = progressRecording
	sends := slices.Clone(c.attempts)
	c.mu.Unlock()
	recorded := make(map[*attempt]bool, len(sends))
	for _, s := range sends {
		recorded[s] = c.recordAttempt(s)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range sends {
		if !recorded[s] || s.recalled {
			c.dropAttempt(s)
		}
	}
	return !c.ended
}

// recordAttempt writes that one attempt goes out, for as long as it may. It tells whether that is written.
func (c *call) recordAttempt(s *attempt) bool {
	for c.pool.stalled(s.event.dest) && c.recordStillWanted(s) { // an answer that tells to wait may stand there unread
		time.Sleep(recordRetryInterval)
	}
	if s.event.request.StartAttempt(c.pool.clock.now()) != nil {
		return false
	}
	for {
		err := c.pool.journal.recordAttempt(s.event, s.number, c.pool.clock.timeOfDay(), c.pool.site(c.endpoint))
		if err == nil {
			return true
		}
		if errors.Is(err, errNotPending) || !c.recordStillWanted(s) {
			return false
		}
		c.pool.journal.writeFailures.record(err)
		time.Sleep(recordRetryInterval)
	}
}

// recordStillWanted tells whether an attempt is still wanted while its record cannot be written.
func (c *call) recordStillWanted(s *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.abandoned && !s.recalled && c.pool.clock.now() < s.event.monoDeadline
}

// dropAttempt takes an attempt out of a call that has sent nothing; the lock is held.
func (c *call) dropAttempt(s *attempt) {
	if i := slices.Index(c.attempts, s); i >= 0 {
		c.attempts = slices.Delete(c.attempts, i, i+1)
		c.reportOutcome(s, result{outcome: delivery.Unsent})
	}
	if c.ended = c.ended || len(c.attempts) == 0; c.ended && c.cancelDial != nil {
		c.cancelDial()
	}
}

// startWrite lets the call's bytes go out on a connection; it tells false if none may.
func (c *call) startWrite(conn *endpointConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	if c.abandoned {
		c.abandonOutcome = delivery.Unsent
		c.finishLocked(nil)
		return false
	}
	now := c.pool.clock.now()
	for _, s := range slices.Clone(c.attempts) {
		if s.recalled || s.event.request.SendAttempt(now) != nil {
			c.dropAttempt(s)
		}
	}
	if c.ended {
		return false
	}
	c.conn, c.progress, c.sentAt = conn, progressWriting, now
	conn.expectAnswer()
	for _, s := range c.attempts {
		c.logAttempt(s, "an attempt goes out", nil)
	}
	return true
}

// write writes a call, and tells whether its last byte was written. While nothing of it can be written, for a reason of
// this machine, it asks each time whether the call may still go out, and which of its sends.
func (c *call) write(conn *endpointConn, timeout int64) (whole bool, err error) {
	text := bytebufferpool.Get()
	defer bytebufferpool.Put(text)
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		text.Reset()
		if err := writeCall(text, c.attempts, timeout); err != nil {
			logs.Part("endpoints").WithError(err).Error("a call cannot be written as HTTP")
			return false, err
		}
		size, err := conn.WriteIfReady(text.B)
		if size > 0 || errclass.Stream(err) != errclass.Transient {
			return size == text.Len(), err
		}
		transientFailures.With("write").Add()
		c.localFailure.Store(true)
		if !c.holdWrite() {
			return false, err
		}
		time.Sleep(pause)
		if !c.startWrite(conn) {
			return false, err
		}
	}
}

// holdWrite notes that no byte of a call has gone out, so that it can be given up and its attempts recalled.
func (c *call) holdWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.abandoned {
		return false
	}
	c.progress = progressRecording
	for _, s := range c.attempts {
		s.event.request.RevertSend()
	}
	return true
}

// finishWrite notes whether a call was written to its last byte, and tells whether it was given up meanwhile.
func (c *call) finishWrite(whole bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.progress = progressNone; whole {
		c.progress = progressWritten
	}
	return c.abandoned
}

// abandon stops waiting for a call, by closing its connection: the protocol has no other way. A call of several sends is
// given up as a whole: what becomes of the others would be up to the endpoint.
func (c *call) abandon(how delivery.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.abandoned {
		return
	}
	if how == delivery.TimedOut && c.progress == progressWritten && !c.timeoutExtended && c.conn.answerStarted() { // its answer has begun to come
		c.timeoutExtended = true
		time.AfterFunc(responseReadTimeout, func() { c.abandon(delivery.TimedOut) })
		return
	}
	c.abandoned, c.abandonOutcome = true, how
	if c.cancelDial != nil {
		c.cancelDial()
	}
	if c.conn != nil {
		c.conn.Close()
	}
	if c.progress != progressWriting && c.progress != progressRecording { // told now, it might be called unsent with its last byte gone
		c.finishLocked(nil)
	}
}

// recall takes a send out of a call of which no byte has gone yet.
func (c *call) recall(s *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended:
	case c.progress == progressRecording:
		s.recalled = true
	case c.progress == progressNone:
		c.dropAttempt(s)
	}
}

// finish ends a call in which each send fared as told, or all the same; it tells false if it had ended.
func (c *call) finish(results ...result) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.finishLocked(results)
	return true
}

// finishLocked tells each send's life how it ended, once. Of a call that was given up, what came since does not
// count; if its last byte was not written when its connection was closed, it never ran.
func (c *call) finishLocked(results []result) {
	c.ended = true
	how := c.abandonOutcome
	switch {
	case c.progress == progressWriting || c.progress == progressWritten:
	case how == delivery.TimedOut && c.progress == progressNone && !c.localFailure.Load():
		how = delivery.ConnectFailed
	default:
		how = delivery.Unsent
	}
	for i, s := range c.attempts {
		r := result{outcome: how}
		if !c.abandoned {
			r = results[min(i, len(results)-1)]
		}
		c.reportOutcome(s, r)
	}
}

// reportOutcome tells a send's life how it ended.
func (c *call) reportOutcome(s *attempt, r result) {
	r.duration = c.pool.clock.now() - s.startedAt
	c.logAttempt(s, "an attempt ended", logrus.Fields{"outcome": r.outcome.String(), "took_ms": r.duration / 1e6, "wait_ms": r.retryAfter / 1e6})
	attemptsEnded.With(r.outcome.String()).Add()
	if r.confirmation != nil && !r.outcome.MayHaveRun() && !r.final {
		s.event.request.FinishUnconfirmedRefusal()
	} else {
		s.event.request.FinishAttempt(r.outcome.MayHaveRun() && c.progress != progressNone && c.progress != progressRecording)
	}
	s.event.updates <- eventUpdate{kind: updateSendEnded, send: s, result: r}
}

// logAttempt writes a line about an attempt, with the connection that it goes out on.
func (c *call) logAttempt(s *attempt, message string, fields logrus.Fields) {
	if !logs.Debugging() {
		return
	}
	line := logs.Event("endpoints", s.event.id).WithFields(fields).
		WithFields(logrus.Fields{"attempt": s.number, "endpoint": c.endpoint})
	if c.conn != nil {
		line = line.WithFields(logrus.Fields{"connection": c.conn.id, "call": c.conn.callCount})
	}
	line.Debug(message)
}
