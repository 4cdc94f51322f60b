package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"jaspersill/delivery"
	"jaspersill/errclass"
	"jaspersill/lifecycle"
	"jaspersill/logs"
	"jaspersill/metrics"
)

// attempt is one attempt to deliver an event to an endpoint.
type attempt struct {
	event     *event
	number    int
	endpoint  int32
	startedAt int64
	timeout   int64
	terms     delivery.Terms
	call      *call
	revoked   atomic.Bool // the scheduler took it back before it was sent
}

// call is one HTTP exchange with an endpoint. It carries one or more attempts and ends once, for all of them.
type call struct {
	pool     *endpointPool
	endpoint int32
	attempts []*attempt
	bodySize int // bytes of the request body if the call carries several attempts

	mu             sync.Mutex
	cancelDial     context.CancelFunc // cancels connecting
	conn           *endpointConn
	progress       writeProgress
	ended          bool
	abandoned      bool             // if set while attempts are recorded or the request is written, the goroutine doing that ends the call
	abandonOutcome delivery.Outcome // the outcome of an abandoned call
	sentAt         int64            // when writing the request began

	timeoutExtended bool        // the call was to be abandoned while its response was arriving, and got responseReadTimeout more
	localFailure    atomic.Bool // connecting or writing last failed for a reason local to this machine
}

// writeProgress is how much of a call's request has been written.
type writeProgress uint8

const (
	progressNone      writeProgress = iota // connecting
	progressRecording                      // the attempts are being recorded in the journal
	progressWriting                        // the request is being written; only the writing goroutine knows how far
	progressWritten                        // the last byte was written, or may have been
)

var attemptsEnded = metrics.NewCounterVec("jaspersill_attempts_ended_total", "Attempts that ended, by outcome.", "outcome",
	delivery.Acked.String(), delivery.Errored.String(), delivery.Refused.String(), delivery.TimedOut.String(), delivery.ConnectFailed.String(),
	delivery.Reset.String(), delivery.Cancelled.String(), delivery.Unsent.String(), delivery.Unreadable.String())

// execute performs a call and reports the outcome of each of its attempts. A call is made once and never retried here.
func (p *endpointPool) execute(c *call) {
	defer p.callFinished(c.endpoint)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timeout := c.start(cancel)
	if timeout == 0 { // abandoned before it started
		return
	}
	timer := time.AfterFunc(time.Duration(timeout), func() { c.abandon(delivery.TimedOut) })
	defer timer.Stop()

	conn := c.prepare(ctx)
	if conn == nil {
		return
	}
	complete, err := c.write(conn, timeout)
	if abandoned := c.finishWrite(complete); abandoned || err != nil {
		c.finishWithoutResponse(conn, !complete, err)
		return
	}
	c.readResponse(conn)
}

// prepare obtains a connection for the call and records its attempts. It returns nil if the call has ended.
func (c *call) prepare(ctx context.Context) *endpointConn {
	conn, address := c.takeIdle(ctx)
	if conn == nil {
		if conn = c.connect(ctx, address); conn == nil {
			return nil
		}
	}
	if !c.recordAttempts(conn) {
		c.pool.returnUnused(conn)
		return nil
	}
	for {
		// Bytes that arrived while the attempts were being recorded cannot be a response to them.
		if state := inspectIdleConn(conn); state != idleConnOpen {
			c.pool.closeConn(conn, state.closeReason())
			if conn = c.connect(ctx, conn.address); conn == nil {
				return nil
			}
		}
		switch c.startWrite(conn) {
		case writeAllowed:
			return conn
		case writeDenied:
			c.pool.returnUnused(conn)
			return nil
		}
		time.Sleep(recordRetryInterval)
	}
}

// takeIdle takes an idle connection for the call, once it has paused. It returns nil and the address to connect to if there
// is none.
func (c *call) takeIdle(ctx context.Context) (conn *endpointConn, address string) {
	for {
		conn, pause, address := c.pool.takeIdle(c.endpoint, c.repeatable())
		if conn == nil || pause <= 0 {
			return conn, address
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(pause)):
		}
		if c.pool.checkTaken(conn) {
			return conn, address
		}
	}
}

// connect opens a connection for the call. If that fails, it ends the call and returns nil.
func (c *call) connect(ctx context.Context, address string) *endpointConn {
	conn, err := c.pool.connect(ctx, c.endpoint, address, &c.localFailure)
	if err != nil {
		c.finish(result{outcome: dialOutcome(err)})
		return nil
	}
	return conn
}

// repeatable reports whether all events of the call may be sent again after an attempt that may have run.
func (c *call) repeatable() bool {
	return !slices.ContainsFunc(c.attempts, func(a *attempt) bool { return a.event.safety == delivery.NonIdempotent })
}

// finishWithoutResponse ends a call that was abandoned or failed before or while its last byte was written.
func (c *call) finishWithoutResponse(conn *endpointConn, incomplete bool, err error) {
	var retryAfter int64
	reason := closeBroken
	switch {
	case err == nil:
		reason = closeGivenUp
	case errors.Is(err, errNotAdmitted):
		reason = closeRevoked
	case errors.Is(err, errEarlyResponse): // belongs to no call: an endpoint starts a call only once its last byte has arrived
		response := conn.reader.readResponse(c.attempts)
		c.holdForRetryAfter(response)
		reason, retryAfter = closeUnread, response.results[0].retryAfter
	}
	c.pool.closeConn(conn, reason)
	switch {
	case errors.Is(err, errNotAdmitted), errclass.Stream(err) == errclass.Transient: // no failure of the endpoint; the call never ran
		c.finish(result{outcome: delivery.Unsent})
	case incomplete: // the last byte was not written, so the call never ran
		c.finish(result{outcome: delivery.ConnectFailed, retryAfter: retryAfter})
	default:
		c.finish(result{outcome: delivery.Reset})
	}
}

// readResponse reads the response to a call that was written, and ends the call with it.
func (c *call) readResponse(conn *endpointConn) {
	dest := c.attempts[0].event.dest
	conn.onStall = func(on bool) { c.pool.admission.SetUnreadable(dest, on) }
	response := conn.reader.readResponse(c.attempts)
	c.holdForRetryAfter(response)
	refusedBefore := conn.responses.SawNotRun() && response.identity.NotRun
	attribution := conn.attribute(response)
	c.pool.observeResponse(conn, response, attribution)
	switch {
	case attribution == lifecycle.Unconfirmed:
		c.trackResponse(conn, response)
	case response.results[0].outcome == delivery.Acked:
		c.pool.recordDelivery(c.endpoint, c.pool.clock.now()-c.sentAt)
	}
	if refusedBefore {
		c.pool.recordRefusal(attribution == lifecycle.Unconfirmed)
	}
	switch finished := c.finish(response.results...); {
	case !finished:
		c.pool.closeConn(conn, closeGivenUp)
	case response.close != "":
		c.pool.closeConn(conn, response.close)
	default:
		c.pool.putIdle(conn, c.pool.clock.now()-c.sentAt)
	}
}

// holdForRetryAfter holds the sends that a response asks to hold, from now on: the scheduler hears of it with its next round only.
func (c *call) holdForRetryAfter(response callResponse) {
	for i := range response.results {
		if retryAfter := response.results[i].retryAfter; retryAfter > 0 {
			c.pool.admission.HoldUntil(c.endpoint, c.pool.clock.now()+retryAfter)
		}
	}
}

// trackResponse tracks the unconfirmed outcomes that would do harm if the response belonged to another call: those that
// complete their event, and those saying that an event which is not idempotent did not run.
func (c *call) trackResponse(conn *endpointConn, response callResponse) {
	for i := range response.results {
		r := &response.results[i] // a response with one status for all attempts has one result for each of them
		if r.ends() || (!r.outcome.MayHaveRun() && c.attempts[i].event.safety != delivery.Idempotent) {
			r.confirmation = c.pool.trackOutcome(conn, c.attempts[i], r)
		}
	}
}

// start stores the function that cancels connecting. It returns how long the call may take, which is the shortest
// remaining timeout of its attempts, or 0 if the call was already abandoned.
func (c *call) start(cancelDial context.CancelFunc) (timeout int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelDial = cancelDial; c.ended {
		return 0
	}
	now := c.pool.clock.now()
	timeout = c.attempts[0].startedAt + c.attempts[0].timeout - now
	for _, a := range c.attempts {
		timeout = min(timeout, a.startedAt+a.timeout-now)
	}
	return max(timeout, 1)
}

// dialOutcome returns the outcome of an attempt whose connection could not be opened. A failure local to this machine is
// not attributed to the endpoint.
func dialOutcome(err error) delivery.Outcome {
	if errclass.Socket(err) == errclass.Transient {
		return delivery.Unsent
	}
	return delivery.ConnectFailed
}

// abandon stops waiting for a call by closing its connection; the protocol has no other way to cancel one. A call with
// several attempts is abandoned as a whole: the endpoint alone would decide what becomes of the remaining ones.
func (c *call) abandon(outcome delivery.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.abandoned {
		return
	}
	if c.progress == progressWritten && !c.timeoutExtended && c.conn.responseStarted() { // it may end the event
		c.timeoutExtended = true
		time.AfterFunc(responseReadTimeout, func() { c.abandon(outcome) })
		return
	}
	c.abandoned, c.abandonOutcome = true, outcome
	if c.cancelDial != nil {
		c.cancelDial()
	}
	if c.conn != nil {
		c.conn.Close()
	}
	// While the request is being written, an outcome reported here could be Unsent although the last byte was written.
	if c.progress != progressWriting && c.progress != progressRecording {
		c.finishLocked(nil)
	}
}

// recall takes back an attempt of a call whose last byte has not been written yet. The goroutine that records or writes the call drops it,
// which has no effect if the last byte is being written.
func (c *call) recall(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended:
	case c.progress == progressRecording, c.progress == progressWriting:
		a.revoked.Store(true)
	case c.progress == progressNone:
		c.dropAttempt(a)
	}
}

// finish ends a call with one result for each attempt, or one result for all of them. It returns false if the call had
// already ended.
func (c *call) finish(results ...result) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.finishLocked(results)
	return true
}

// finishLocked reports the result of each attempt, once. For an abandoned call the results are ignored; if its last byte
// was not written when its connection was closed, it never ran. The caller holds c.mu.
func (c *call) finishLocked(results []result) {
	c.ended = true
	outcome := c.abandonOutcome
	switch {
	case c.progress == progressWriting || c.progress == progressWritten:
	case outcome == delivery.TimedOut && c.progress == progressNone && !c.localFailure.Load():
		outcome = delivery.ConnectFailed
	default:
		outcome = delivery.Unsent
	}
	for i, a := range c.attempts {
		r := result{outcome: outcome}
		if !c.abandoned {
			r = results[min(i, len(results)-1)]
		}
		c.reportOutcome(a, r)
	}
}

// reportOutcome logs, counts and records the result of an attempt and passes it to the goroutine that handles the event.
func (c *call) reportOutcome(a *attempt, r result) {
	r.duration = c.pool.clock.now() - a.startedAt
	c.logAttempt(a, "attempt finished", logrus.Fields{"outcome": r.outcome.String(), "took_ms": r.duration / 1e6, "wait_ms": r.retryAfter / 1e6})
	attemptsEnded.With(r.outcome.String()).Inc()
	if r.confirmation != nil && !r.outcome.MayHaveRun() && !r.ends() {
		a.event.request.FinishUnconfirmedRefusal(a.number)
	} else {
		a.event.request.FinishAttempt(a.number, r.outcome.MayHaveRun() && c.progress != progressNone && c.progress != progressRecording)
	}
	a.event.updates <- eventUpdate{kind: updateAttemptEnded, attempt: a, result: r}
}

// logAttempt logs a message about an attempt, with the connection that carries it.
func (c *call) logAttempt(a *attempt, message string, fields logrus.Fields) {
	if !logs.DebugEnabled() {
		return
	}
	line := logs.Event("endpoints", a.event.id).WithFields(fields).
		WithFields(logrus.Fields{"attempt": a.number, "endpoint": c.endpoint})
	if c.conn != nil {
		line = line.WithFields(logrus.Fields{"connection": c.conn.id, "call": c.conn.callCount})
	}
	line.Debug(message)
}
