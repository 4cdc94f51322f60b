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
	endWithin = 300 * time.Millisecond // a client that heard of the end closes too: there and back
	endLook   = 10 * time.Millisecond
)

// clientConn is a client's connection. It waits in rest, is busy from the first byte of a request until
// idle, and ends with end. What may end its waiting for bytes is decided under the listener's lock.
type clientConn struct {
	*retryConn
	id       uint64
	requests int       // that were read
	reason   endReason // why it ends, empty while it goes on
	listener *listener
	state    lifecycle.Connection
	came     time.Time
	since    time.Time // of its first byte, or of its last answer
	woken    [1]byte   // the first byte of a request
	holds    bool      // that byte was not read on yet
	wrote    bool      // something was answered
	unframed bool      // what was read last is no request: what follows it is none either

	busy    bool // bytes of a request have been read and its answer is not written
	whole   bool // all of them
	asked   bool // it has brought an event, or asked how we are
	leaving bool // asked to close, or closing
	ending  bool // its answers are written, and what still comes is read out
	hurried bool // it has no more time
}

// endReason is why a client's connection ends.
type endReason string

const (
	endAsked      endReason = "asked"       // others need its place, or the node drains
	endIdle       endReason = "idle"        // no request came for so long
	endClient     endReason = "client"      // its client closed it, or it broke
	endUnreadable endReason = "unreadable"  // what came is no request
	endByHeader   endReason = "header"      // the request, or the protocol's version, says that it ends
	endDraining   endReason = "draining"    // it carried its last request while the node drains
	endUnwritten  endReason = "not_written" // the answer could not be written
)

var clientConnectionsEnded = metrics.NewFamily("jaspersill_client_connections_closed_total",
	"Clients' connections that ended, by reason.", "reason", string(endAsked), string(endIdle), string(endClient),
	string(endUnreadable), string(endByHeader), string(endDraining), string(endUnwritten))

// endsFor notes why the connection ends; the first reason counts.
func (g *clientConn) endsFor(reason endReason) {
	if g.reason == "" {
		g.reason = reason
	}
}

// noteEnd counts the end of the connection, and writes a line about it.
func (g *clientConn) noteEnd() {
	clientConnectionsEnded.With(string(g.reason)).Add()
	if logs.Debugging() {
		logs.Part("clients").WithFields(logrus.Fields{"connection": g.id, "requests": g.requests, "reason": string(g.reason)}).
			Debug("a client's connection ends")
	}
}

// leave asks a connection between requests to close: its reader does, unless a request comes first.
func (g *clientConn) leave() {
	g.leaving = true
	g.SetReadDeadline(longAgo)
}

// rest waits for the first byte of the next request. It tells false if none came in time, or if the
// connection was asked to close before: the byte or the asking, whichever the listener's lock sees first.
func (g *clientConn) rest() bool {
	g.listener.mu.Lock()
	if g.leaving {
		g.listener.mu.Unlock()
		g.endsFor(endAsked)
		return false
	}
	g.within(g.listener.between)
	if g.wrote {
		g.readFailingSince = time.Time{}
	}
	g.listener.mu.Unlock()
	n, err := g.retryConn.Read(g.woken[:])
	g.listener.mu.Lock()
	defer g.listener.mu.Unlock()
	if n == 0 && g.hasUnread() { // it stands there already: closed over it, its client would hear nothing
		g.begin()
		g.listener.mu.Unlock()
		n, _ = g.retryConn.Read(g.woken[:])
		g.listener.mu.Lock()
	}
	if n == 0 {
		g.endsFor(g.reasonAtRest(err))
		g.busy, g.leaving = false, true
		return false
	}
	g.holds = true
	g.begin()
	return true
}

// reasonAtRest is why a connection ends on which no request came; the listener's lock is held.
func (g *clientConn) reasonAtRest(err error) endReason {
	switch {
	case g.leaving:
		return endAsked
	case errors.Is(err, os.ErrDeadlineExceeded):
		return endIdle
	}
	return endClient
}

// begin marks that a request comes: closed after its request was read, the connection would leave that unanswered.
func (g *clientConn) begin() {
	g.busy, g.whole, g.leaving, g.since = true, false, false, time.Now()
	g.within(g.listener.request)
}

// next marks that one more request has begun to come behind the last.
func (g *clientConn) next() {
	g.listener.mu.Lock()
	defer g.listener.mu.Unlock()
	g.begin()
}

// within gives the client so long for what comes next, and for its first request no more than is left of
// the time since it connected: by a byte now and then, or none, it would keep its connection for good.
func (g *clientConn) within(d time.Duration) {
	t := time.Now().Add(d)
	if first := g.came.Add(g.listener.first); !g.asked && t.After(first) {
		t = first
	}
	g.SetReadDeadline(t)
}

// Read reads on from the byte that ended the rest.
func (g *clientConn) Read(b []byte) (int, error) {
	if g.holds && len(b) > 0 {
		g.holds = false
		b[0] = g.woken[0]
		return 1, nil
	}
	return g.retryConn.Read(b)
}

// read marks that a request has come whole; good tells whether it was one.
func (g *clientConn) read(good bool) {
	g.listener.mu.Lock()
	defer g.listener.mu.Unlock()
	g.whole, g.asked = true, g.asked || good
	g.requests++
	g.state.MarkRequestRead()
}

// idle marks that the answer was written.
func (g *clientConn) idle() {
	g.listener.mu.Lock()
	defer g.listener.mu.Unlock()
	g.busy, g.since = false, time.Now()
	g.listener.trim()
	if len(g.listener.open) >= g.listener.most {
		g.listener.freed.Signal()
	}
}

// Write notes that there are answers which the end of the connection must not take along.
func (g *clientConn) Write(b []byte) (int, error) {
	g.wrote = true
	return g.retryConn.Write(b)
}

// end closes a connection whose answers are written. Closed over unread bytes it is reset, which takes along the
// answers that are still on their way. So it is half closed, and stays until the client closes too or has had time to
// read. Nothing is read from it any more: a request that crosses the end, unread, is handed in again by its client.
// Only what follows bytes that are no request is read out, since no request can be told from it.
func (g *clientConn) end() {
	g.listener.mu.Lock()
	g.busy, g.leaving, g.ending, g.since = false, true, true, time.Now()
	g.SetReadDeadline(g.since.Add(endWithin))
	gently := g.wrote && !g.hurried
	g.listener.mu.Unlock()
	if gently && g.CloseWrite() == nil {
		if g.unframed {
			g.readOut()
		} else {
			g.awaitEnd()
		}
	}
	g.state.CheckClose(g.RemoteAddr().String())
	g.noteEnd()
	g.Conn.Close()
	g.listener.mu.Lock()
	defer g.listener.mu.Unlock()
	delete(g.listener.open, g)
	g.listener.freed.Signal()
}

func (g *clientConn) readOut() {
	var rest [512]byte
	for {
		if _, err := g.retryConn.Read(rest[:]); err != nil {
			return
		}
	}
}

// delay is how long ago the request that was read last may have come, beyond the time that reading it took.
func (g *clientConn) delay() time.Duration {
	if g.readFailingSince.IsZero() {
		return 0
	}
	return time.Since(g.readFailingSince)
}

// awaitEnd waits until the client has closed its side, or has no more time. It takes no byte off the connection.
func (g *clientConn) awaitEnd() {
	for g.peek() {
		if time.Since(g.since) >= endWithin || g.isHurried() {
			return
		}
		time.Sleep(endLook)
	}
}

// peek waits until something can be read, and tells whether it is bytes, which it leaves there.
func (g *clientConn) peek() (unread bool) {
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

func (g *clientConn) isHurried() bool {
	g.listener.mu.Lock()
	defer g.listener.mu.Unlock()
	return g.hurried
}
