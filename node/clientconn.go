package node

import (
	"errors"
	"os"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"jaspersill/errclass"
	"jaspersill/lifecycle"
	"jaspersill/logs"
	"jaspersill/metrics"
)

const (
	lingerTimeout      = 300 * time.Millisecond // a client that heard of the end closes too: there and back
	lingerPollInterval = 10 * time.Millisecond
)

// clientConn is a client's connection. It waits in rest, is busy from the first byte of a request until
// idle, and ends with end. What may end its waiting for bytes is decided under the listener's lock.
type clientConn struct {
	*retryConn
	id              uint64
	requests        int               // that were read
	closeReason     clientCloseReason // why it ends, empty while it goes on
	listener        *listener
	state           lifecycle.Connection
	acceptedAt      time.Time
	stateSince      time.Time // of its first byte, or of its last answer
	firstByte       [1]byte   // the first byte of a request
	firstByteUnread bool      // that byte was not read on yet
	responseWritten bool      // something was answered
	framingLost     bool      // what was read last is no request: what follows it is none either

	busy            bool // bytes of a request have been read and its answer is not written
	requestRead     bool // all of them
	hadValidRequest bool // it has brought an event, or asked how we are
	closing         bool // asked to close, or closing
	lingering       bool // its answers are written, and what still comes is read out
	evicted         bool // it has no more time
}

// clientCloseReason is why a client's connection ends.
type clientCloseReason string

const (
	clientCloseRequested  clientCloseReason = "asked"       // others need its place, or the node drains
	clientCloseIdle       clientCloseReason = "idle"        // no request came for so long
	clientCloseByClient   clientCloseReason = "client"      // its client closed it, or it broke
	clientCloseUnreadable clientCloseReason = "unreadable"  // what came is no request
	clientCloseByHeader   clientCloseReason = "header"      // the request, or the protocol's version, says that it ends
	clientCloseDraining   clientCloseReason = "draining"    // it carried its last request while the node drains
	clientCloseNotWritten clientCloseReason = "not_written" // the answer could not be written
)

var clientConnectionsClosed = metrics.NewFamily("jaspersill_client_connections_closed_total",
	"Clients' connections that ended, by reason.", "reason", string(clientCloseRequested), string(clientCloseIdle), string(clientCloseByClient),
	string(clientCloseUnreadable), string(clientCloseByHeader), string(clientCloseDraining), string(clientCloseNotWritten))

// setCloseReason notes why the connection ends; the first reason counts.
func (g *clientConn) setCloseReason(reason clientCloseReason) {
	if g.closeReason == "" {
		g.closeReason = reason
	}
}

// recordClose counts the end of the connection, and writes a line about it.
func (g *clientConn) recordClose() {
	clientConnectionsClosed.With(string(g.closeReason)).Add()
	if logs.Debugging() {
		logs.Part("clients").WithFields(logrus.Fields{"connection": g.id, "requests": g.requests, "reason": string(g.closeReason)}).
			Debug("a client's connection ends")
	}
}

// requestClose asks a connection between requests to close: its reader does, unless a request comes first.
func (g *clientConn) requestClose() {
	g.closing = true
	g.SetReadDeadline(pastDeadline)
}

// awaitRequest waits for the first byte of the next request. It tells false if none came in time, or if the
// connection was asked to close before: the byte or the asking, whichever the listener's lock sees first.
func (g *clientConn) awaitRequest() bool {
	g.listener.mu.Lock()
	if g.closing {
		g.listener.mu.Unlock()
		g.setCloseReason(clientCloseRequested)
		return false
	}
	g.setReadTimeout(g.listener.idleTimeout)
	if g.responseWritten {
		g.readFailingSince = time.Time{}
	}
	g.listener.mu.Unlock()
	n, err := g.retryConn.Read(g.firstByte[:])
	g.listener.mu.Lock()
	defer g.listener.mu.Unlock()
	if n == 0 && g.hasUnread() { // it stands there already: closed over it, its client would hear nothing
		g.markRequestStarted()
		g.listener.mu.Unlock()
		n, _ = g.retryConn.Read(g.firstByte[:])
		g.listener.mu.Lock()
	}
	if n == 0 {
		g.setCloseReason(g.idleCloseReason(err))
		g.busy, g.closing = false, true
		return false
	}
	g.firstByteUnread = true
	g.markRequestStarted()
	return true
}

// idleCloseReason is why a connection ends on which no request came; the listener's lock is held.
func (g *clientConn) idleCloseReason(err error) clientCloseReason {
	switch {
	case g.closing:
		return clientCloseRequested
	case errors.Is(err, os.ErrDeadlineExceeded):
		return clientCloseIdle
	}
	return clientCloseByClient
}

// markRequestStarted marks that a request comes: closed after its request was read, the connection would leave that unanswered.
func (g *clientConn) markRequestStarted() {
	g.busy, g.requestRead, g.closing, g.stateSince = true, false, false, time.Now()
	g.setReadTimeout(g.listener.requestTimeout)
}

// startNextRequest marks that one more request has begun to come behind the last.
func (g *clientConn) startNextRequest() {
	g.listener.mu.Lock()
	defer g.listener.mu.Unlock()
	g.markRequestStarted()
}

// setReadTimeout gives the client so long for what comes next, and for its first request no more than is left of
// the time since it connected: by a byte now and then, or none, it would keep its connection for good.
func (g *clientConn) setReadTimeout(d time.Duration) {
	t := time.Now().Add(d)
	if first := g.acceptedAt.Add(g.listener.firstRequestTimeout); !g.hadValidRequest && t.After(first) {
		t = first
	}
	g.SetReadDeadline(t)
}

// Read reads on from the byte that ended the rest.
func (g *clientConn) Read(b []byte) (int, error) {
	if g.firstByteUnread && len(b) > 0 {
		g.firstByteUnread = false
		b[0] = g.firstByte[0]
		return 1, nil
	}
	return g.retryConn.Read(b)
}

// markRequestRead marks that a request has come whole; good tells whether it was one.
func (g *clientConn) markRequestRead(good bool) {
	g.listener.mu.Lock()
	defer g.listener.mu.Unlock()
	g.requestRead, g.hadValidRequest = true, g.hadValidRequest || good
	g.requests++
	g.state.MarkRequestRead()
}

// markIdle marks that the answer was written.
func (g *clientConn) markIdle() {
	g.listener.mu.Lock()
	defer g.listener.mu.Unlock()
	g.busy, g.stateSince = false, time.Now()
	g.listener.trimIdle()
	if len(g.listener.conns) >= g.listener.maxConns {
		g.listener.connClosed.Signal()
	}
}

// Write notes that there are answers which the end of the connection must not take along.
func (g *clientConn) Write(b []byte) (int, error) {
	g.responseWritten = true
	return g.retryConn.Write(b)
}

// closeGracefully closes a connection whose answers are written. Closed over unread bytes it is reset, which takes along the
// answers that are still on their way. So it is half closed, and stays until the client closes too or has had time to
// read. Nothing is read from it any more: a request that crosses the closeGracefully, unread, is handed in again by its client.
// Only what follows bytes that are no request is read out, since no request can be told from it.
func (g *clientConn) closeGracefully() {
	g.listener.mu.Lock()
	g.busy, g.closing, g.lingering, g.stateSince = false, true, true, time.Now()
	g.SetReadDeadline(g.stateSince.Add(lingerTimeout))
	gently := g.responseWritten && !g.evicted
	g.listener.mu.Unlock()
	if gently && g.CloseWrite() == nil {
		if g.framingLost {
			g.discardInput()
		} else {
			g.awaitPeerClose()
		}
	}
	g.state.CheckClose(g.RemoteAddr().String())
	g.recordClose()
	g.Conn.Close()
	g.listener.mu.Lock()
	defer g.listener.mu.Unlock()
	delete(g.listener.conns, g)
	g.listener.connClosed.Signal()
}

func (g *clientConn) discardInput() {
	var rest [512]byte
	for {
		if _, err := g.retryConn.Read(rest[:]); err != nil {
			return
		}
	}
}

// receiveDelay is how long ago the request that was read last may have come, beyond the time that reading it took.
func (g *clientConn) receiveDelay() time.Duration {
	if g.readFailingSince.IsZero() {
		return 0
	}
	return time.Since(g.readFailingSince)
}

// awaitPeerClose waits until the client has closed its side, or has no more time. It takes no byte off the connection.
func (g *clientConn) awaitPeerClose() {
	for g.waitReadable() {
		if time.Since(g.stateSince) >= lingerTimeout || g.isEvicted() {
			return
		}
		time.Sleep(lingerPollInterval)
	}
}

// waitReadable waits until something can be read, and tells whether it is bytes, which it leaves there.
func (g *clientConn) waitReadable() (unread bool) {
	raw, err := g.SyscallConn()
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

func (g *clientConn) isEvicted() bool {
	g.listener.mu.Lock()
	defer g.listener.mu.Unlock()
	return g.evicted
}
