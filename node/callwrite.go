package node

import (
	"errors"
	"slices"
	"time"

	"github.com/valyala/bytebufferpool"

	"jaspersill/delivery"
	"jaspersill/errclass"
	"jaspersill/logs"
)

// startWrite permits the call to be written to a connection, without the attempts that may not be sent any more.
func (c *call) startWrite(conn *endpointConn) writePermission {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return writeDenied
	}
	if c.abandoned {
		c.abandonOutcome = delivery.Unsent
		c.finishLocked(nil)
		return writeDenied
	}
	delayed := c.dropDenied(conn)
	switch {
	case c.ended:
		return writeDenied
	case delayed:
		return writeDelayed
	}
	now := c.pool.clock.now()
	for _, a := range slices.Clone(c.attempts) {
		if a.event.request.SendAttempt(a.number, now) != nil {
			c.dropAttempt(a)
		}
	}
	if c.ended {
		return writeDenied
	}
	if c.conn == nil { // not a retry of the write
		conn.countCall()
	}
	c.conn, c.progress, c.sentAt = conn, progressWriting, now
	conn.expectResponse()
	for _, a := range c.attempts {
		c.logAttempt(a, "sending attempt", nil)
	}
	return writeAllowed
}

// write writes the request and reports whether its last byte was written. While not a single byte can be written, for a
// reason local to this machine, it checks before each retry whether the call, and each of its attempts, may still be sent.
func (c *call) write(conn *endpointConn, timeout int64) (complete bool, err error) {
	buf := bytebufferpool.Get()
	defer bytebufferpool.Put(buf)
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		buf.Reset()
		if err := writeCall(buf, c.attempts, timeout); err != nil {
			logs.Part("endpoints").WithError(err).Error("failed to serialize call as HTTP request")
			return false, err
		}
		n, err := conn.WriteIfReady(buf.B, func() error { return c.mayWrite(conn) })
		switch {
		case n > 0:
			if errors.Is(err, errNotAdmitted) {
				c.logDenied(conn)
			}
			return n == buf.Len(), err
		case errclass.Stream(err) == errclass.Transient:
			transientFailures.With("write").Inc()
			c.localFailure.Store(true)
		case !errors.Is(err, errNotAdmitted) && !errors.Is(err, errNotAdmittedYet):
			return false, err
		}
		if !c.holdWrite() || !c.resumeWrite(conn, pause) {
			return false, err
		}
	}
}

// resumeWrite waits, and then until the call may be written. It returns false if it may not be written any more.
func (c *call) resumeWrite(conn *endpointConn, pause time.Duration) bool {
	for {
		time.Sleep(pause)
		switch c.startWrite(conn) {
		case writeAllowed:
			return true
		case writeDenied:
			return false
		}
	}
}

// holdWrite records that no byte of the call has been written, so that it can be abandoned and its attempts recalled. It
// returns false if the call has ended or was abandoned.
func (c *call) holdWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.abandoned {
		return false
	}
	c.progress = progressRecording
	for _, a := range c.attempts {
		a.event.request.RevertSend(a.number)
	}
	return true
}

// finishWrite records whether the request was written completely, and reports whether the call was abandoned meanwhile.
func (c *call) finishWrite(complete bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.progress = progressNone; complete {
		c.progress = progressWritten
	}
	return c.abandoned
}
