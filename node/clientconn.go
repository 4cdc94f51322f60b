package node

import (
	"bufio"
	"errors"
	"os"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"jaspersill/errclass"
	"jaspersill/lifecycle"
	"jaspersill/logs"
	"jaspersill/membudget"
	"jaspersill/metrics"
)

const (
	lingerTimeout      = 300 * time.Millisecond // enough for one round trip: a client that sees the end of the stream closes too
	lingerPollInterval = 10 * time.Millisecond
	maxDiscardedBytes  = 16 << 10
)

// clientConn is a client's connection. It waits for a request in awaitRequest, is busy from the first byte of a
// request until markIdle, and is closed by closeGracefully. The state that decides whether waiting for bytes may be
// interrupted is guarded by the listener's lock.
type clientConn struct {
	*retryConn
	id              uint64
	requests        int               // number of requests read
	closeReason     clientCloseReason // empty while the connection is in use
	unproductive    *rate.Limiter     // of its requests that lead to no accepted event
	acceptances     *rate.Limiter     // of its accepted events, while ids are scarce
	receiveBuffer   int               // size of the socket's receive buffer in bytes, 0 for the kernel's default
	listener        *listener
	state           lifecycle.Connection
	acceptedAt      time.Time
	stateSince      time.Time // time of its last state change, such as the first byte of a request or the last response
	firstByte       [1]byte   // first byte of a request, read while waiting for one
	firstByteUnread bool      // firstByte was not yet returned by Read
	responseWritten bool      // at least part of a response was written
	departed        bool      // the client has closed the connection
	framingLost     bool      // the last input was not a valid request, so no request can be parsed from what follows

	busy            bool             // a request has started to arrive and its response is not yet written
	requestRead     bool             // that request was read completely
	hadValidRequest bool             // it has carried at least one request to submit an event or check readiness
	closing         bool             // asked to close, or being closed
	lingering       bool             // its responses are written and it waits for the client to close
	charge          membudget.Charge // of the request that is read or answered
	awaitingMemory  bool             // its request cannot be read for want of memory
	responding      bool             // a response is being written
	throttled       bool             // its response is held back, because it sends too much that is invalid or refused
	resume          chan struct{}    // ends the throttling when closed
	evicted         bool             // its remaining time was cut to make room for other connections
}

// clientCloseReason is the reason for closing a client connection, as the metrics and logs name it.
type clientCloseReason string

const (
	clientCloseRequested  clientCloseReason = "asked"       // to make room for other connections, or because the node drains
	clientCloseIdle       clientCloseReason = "idle"        // no request arrived within the idle timeout
	clientCloseByClient   clientCloseReason = "client"      // closed by the client, or broken
	clientCloseUnreadable clientCloseReason = "unreadable"  // the input was not a valid HTTP request
	clientCloseByHeader   clientCloseReason = "header"      // required by the Connection header or the HTTP version
	clientCloseDraining   clientCloseReason = "draining"    // the node is draining and this was the last request
	clientCloseNotWritten clientCloseReason = "not_written" // the response could not be written
	clientCloseNoMemory   clientCloseReason = "memory"      // there was no memory to read the request
)

var clientConnectionsClosed = metrics.NewCounterVec("jaspersill_client_connections_closed_total",
	"Clients' connections that ended, by reason.", "reason", string(clientCloseRequested), string(clientCloseIdle),
	string(clientCloseByClient), string(clientCloseUnreadable), string(clientCloseByHeader), string(clientCloseDraining),
	string(clientCloseNotWritten), string(clientCloseNoMemory))

// setCloseReason records why the connection closes; the first reason wins.
func (c *clientConn) setCloseReason(reason clientCloseReason) {
	if c.closeReason == "" {
		c.closeReason = reason
	}
}

// recordClose counts the closed connection and logs it at debug level.
func (c *clientConn) recordClose() {
	clientConnectionsClosed.With(string(c.closeReason)).Inc()
	if logs.DebugEnabled() {
		logs.Part("clients").WithFields(logrus.Fields{"connection": c.id, "requests": c.requests,
			"reason": string(c.closeReason)}).Debug("client connection closed")
	}
}

// evict ends the connection soon: an incomplete request is answered with 408 Request Timeout, a response that is not read is
// given up, and a throttled connection closes after the requests that were read from it. The listener's lock is held.
func (c *clientConn) evict() {
	c.evicted = true
	c.SetReadDeadline(pastDeadline)
	if c.responding {
		c.SetWriteDeadline(pastDeadline)
	}
	if c.resume != nil {
		close(c.resume)
		c.resume = nil
	}
}

// markDeparted records that the client was found to have left: no response is due, and nothing more is read.
func (c *clientConn) markDeparted() {
	c.departed = true
	c.state.MarkAnswered()
}

// requestClose asks an idle connection to close. Its reader does so, unless a request arrives first. The listener's
// lock is held.
func (c *clientConn) requestClose() {
	c.closing = true
	c.SetReadDeadline(pastDeadline)
}

// awaitRequest waits for the first byte of the next request. It returns false if none arrived in time, or if the
// connection was asked to close first. The listener's lock orders the two events.
func (c *clientConn) awaitRequest() bool {
	c.listener.mu.Lock()
	if c.closing {
		c.listener.mu.Unlock()
		c.setCloseReason(clientCloseRequested)
		return false
	}
	c.setReadTimeout(c.listener.idleTimeout)
	if c.responseWritten {
		c.delayedSince = time.Time{}
	}
	c.listener.mu.Unlock()
	n, err := c.retryConn.Read(c.firstByte[:])
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if n == 0 && c.hasUnread() { // a request has already arrived; closing now would leave it unanswered
		c.markRequestStarted()
		c.listener.mu.Unlock()
		n, _ = c.retryConn.Read(c.firstByte[:])
		c.listener.mu.Lock()
	}
	if n == 0 {
		c.setCloseReason(c.idleCloseReason(err))
		c.busy, c.closing = false, true
		return false
	}
	c.firstByteUnread = true
	c.markRequestStarted()
	return true
}

// idleCloseReason returns why a connection closes on which no request arrived. The listener's lock is held.
func (c *clientConn) idleCloseReason(err error) clientCloseReason {
	switch {
	case c.closing:
		return clientCloseRequested
	case errors.Is(err, os.ErrDeadlineExceeded):
		return clientCloseIdle
	}
	return clientCloseByClient
}

// markRequestStarted records that a request has started to arrive and withdraws any demand to close, because closing
// now would leave the request unanswered. The listener's lock is held.
func (c *clientConn) markRequestStarted() {
	c.busy, c.requestRead, c.closing, c.stateSince = true, false, false, time.Now()
	c.setReadTimeout(c.listener.requestTimeout)
}

// startNextRequest records that a pipelined request follows the last one.
func (c *clientConn) startNextRequest() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.markRequestStarted()
}

// setReadTimeout limits the time that the client has for its next input. Until its first valid request, the limit is
// also firstRequestTimeout from accepting the connection; otherwise a client that sends a byte now and then, or
// nothing, would hold its connection for good.
func (c *clientConn) setReadTimeout(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	if first := c.acceptedAt.Add(c.listener.firstRequestTimeout); !c.hadValidRequest && deadline.After(first) {
		deadline = first
	}
	c.SetReadDeadline(deadline)
}

// Read implements net.Conn. It first returns the byte that awaitRequest has read.
func (c *clientConn) Read(b []byte) (int, error) {
	if c.firstByteUnread && len(b) > 0 {
		c.firstByteUnread = false
		b[0] = c.firstByte[0]
		return 1, nil
	}
	return c.retryConn.Read(b)
}

// markRequestRead records that a request was read completely; valid says whether it was correctly framed and sent to
// a known path for clients.
func (c *clientConn) markRequestRead(valid bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.requestRead, c.hadValidRequest = true, c.hadValidRequest || valid
	c.requests++
	c.state.MarkRequestRead()
}

// respond writes a response. It fails if the client does not read it in time.
func (c *clientConn) respond(response []byte) error {
	c.listener.mu.Lock()
	c.responding, c.stateSince = true, time.Now()
	c.SetWriteDeadline(c.stateSince.Add(clientWriteTimeout))
	c.listener.mu.Unlock()
	_, err := c.Write(response)
	c.state.MarkAnswered() // either the response was written in full or the client is gone
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.responding = false
	return err
}

// markIdle records that the response was written, and that the connection may now be closed to make room.
func (c *clientConn) markIdle() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.busy, c.stateSince = false, time.Now()
	c.listener.trimIdle()
	if len(c.listener.conns) >= c.listener.maxConns {
		c.listener.roomChanged.Signal()
	}
}

// Write implements net.Conn. It records that a response was written, which closing the connection must not discard.
func (c *clientConn) Write(b []byte) (int, error) {
	c.responseWritten = true
	return c.retryConn.Write(b)
}

// closeGracefully closes a connection whose responses are written. Closing a socket that has unread input resets the
// connection, which discards responses in flight. The connection is therefore half closed and lingers until the client
// closes too or has had time to read. Nothing more is read from it: a request that crosses the close stays unread, and
// its client submits it again. Only after invalid input the rest is read and discarded, since no request can be parsed
// from it.
func (c *clientConn) closeGracefully() {
	c.listener.mu.Lock()
	c.busy, c.closing, c.lingering, c.stateSince = false, true, true, time.Now()
	c.SetReadDeadline(c.stateSince.Add(lingerTimeout))
	linger := c.responseWritten && !c.evicted
	c.listener.mu.Unlock()
	if linger && c.CloseWrite() == nil {
		if c.framingLost {
			c.discardInput()
		}
		c.awaitPeerClose()
	}
	c.state.CheckClose(c.RemoteAddr().String())
	c.recordClose()
	c.Conn.Close()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	delete(c.listener.conns, c)
	c.listener.roomChanged.Signal()
}

// discardInput reads and discards the rest of an invalid request, up to maxDiscardedBytes: a client that sends without end must
// not keep the node reading.
func (c *clientConn) discardInput() {
	in := readerPool.Get().(*bufio.Reader)
	defer readerPool.Put(in)
	in.Reset(c.retryConn)
	defer in.Reset(nil)
	in.Discard(maxDiscardedBytes)
}

// receiveDelay returns how long the last request may have waited before it was read, or 0 if reading and accepting
// were not delayed.
func (c *clientConn) receiveDelay() time.Duration {
	if c.delayedSince.IsZero() {
		return 0
	}
	return time.Since(c.delayedSince)
}

// awaitPeerClose waits until the client has closed its side, the linger timeout has passed or the connection is
// evicted. It consumes no input.
func (c *clientConn) awaitPeerClose() {
	for c.waitReadable() {
		if time.Since(c.stateSince) >= lingerTimeout || c.isEvicted() {
			return
		}
		time.Sleep(lingerPollInterval)
	}
}

// waitReadable waits until the connection is readable, and reports whether input is available, which it does not
// consume. It returns false at the end of the stream and after errors that are not transient.
func (c *clientConn) waitReadable() (unread bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = n > 0 || errclass.Socket(err) == errclass.Transient
		return !errors.Is(err, syscall.EAGAIN)
	})
	return unread
}

func (c *clientConn) isEvicted() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.evicted
}
