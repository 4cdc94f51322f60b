package node

import (
	"bytes"
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/sirupsen/logrus"

	"jaspersill/lifecycle"
	"jaspersill/logs"
	"jaspersill/metrics"
)

// closeReason is why a connection to an endpoint or to the platform is closed. Its values are metric labels.
type closeReason string

const (
	closeIdle      closeReason = "idle"      // the remote side's idle timeout is about to expire
	closeUnread    closeReason = "unread"    // bytes arrived while no call was waiting for a response
	closeEnded     closeReason = "ended"     // the remote side closed or reset it while it was idle
	closeMoved     closeReason = "moved"     // the endpoint's address changed or was removed
	closePolicy    closeReason = "policy"    // the scheduler asked to close idle connections to the endpoint
	closeFull      closeReason = "full"      // the pool holds its maximum number of idle connections
	closeGivenUp   closeReason = "given_up"  // its call timed out, or was cancelled or recalled
	closeBroken    closeReason = "broken"    // it failed during a call
	closeAnswer    closeReason = "answer"    // the response asks for it, or could not be read to its end
	closeSurplus   closeReason = "surplus"   // data other than the call's own response arrived
	closeRevoked   closeReason = "revoked"   // its call may not be sent any more, and was written in part
	closeUnwritten closeReason = "unwritten" // its call could not be serialized as HTTP
)

var (
	connectionsOpened = metrics.NewCounter("jaspersill_endpoint_connections_opened_total", "Connections opened to endpoints.")
	connectionsClosed = metrics.NewCounterVec("jaspersill_endpoint_connections_closed_total",
		"Connections to endpoints that were closed, by reason.", "reason", string(closeIdle), string(closeUnread),
		string(closeEnded), string(closeGivenUp), string(closeBroken), string(closeSurplus))
	callsMade = metrics.NewCounterVec("jaspersill_endpoint_calls_total", "Calls to endpoints, by the connection that they went out on.",
		"connection", connectionNew, connectionReused)

	lastConnectionID atomic.Uint64
)

const (
	connectionNew    = "new"
	connectionReused = "kept"
)

// newConnectionID returns the next number in one sequence for all connections of the process. It identifies a connection
// in the logs.
func newConnectionID() uint64 { return lastConnectionID.Add(1) }

// endpointConn is a connection to an endpoint. It carries one call at a time.
type endpointConn struct {
	*retryConn
	id         uint64
	endpoint   int32
	reader     *responseReader
	address    string // the remote address
	lastUsedAt int64  // when its last call ended
	callCount  int
	responses  lifecycle.ResponseTracker

	// The fields below are guarded by endpointPool.mu.
	idle        bool            // it is in the pool's list of idle connections
	unconfirmed []*confirmation // outcomes read on this connection that are not settled yet
}

func newEndpointConn(conn *retryConn, endpoint int32, address string) *endpointConn {
	connectionsOpened.Inc()
	return &endpointConn{retryConn: conn, id: newConnectionID(), endpoint: endpoint, reader: newResponseReader(conn), address: address}
}

// countCall counts a call on the connection.
func (c *endpointConn) countCall() {
	c.callCount++
	if c.callCount == 1 {
		callsMade.With(connectionNew).Inc()
	} else {
		callsMade.With(connectionReused).Inc()
	}
}

// attribute returns whether a response certainly belongs to the latest call. A response that could not be read decides
// nothing and counts as certain.
func (c *endpointConn) attribute(response callResponse) lifecycle.Attribution {
	switch {
	case response.truncated:
		return c.responses.ObserveTruncated()
	case response.identity.Digest == 0:
		return lifecycle.Certain
	}
	return c.responses.Observe(response.identity)
}

// unreadSaysGone reports whether what has arrived on the connection, and no call has read, begins with a response which says that an event
// is over.
func (c *endpointConn) unreadSaysGone() bool {
	unread, _ := c.reader.buf.Peek(c.reader.buf.Buffered())
	if len(unread) == 0 {
		unread = c.peekUnread(len(statusLineGone))
	}
	return bytes.HasPrefix(unread, []byte(statusLineGone))
}

// closeWithReason closes the connection, and logs and counts the reason.
func (c *endpointConn) closeWithReason(reason closeReason) {
	connectionsClosed.With(string(reason)).Inc()
	if logs.DebugEnabled() {
		logs.Part("endpoints").WithFields(logrus.Fields{"connection": c.id, "endpoint": c.endpoint, "calls": c.callCount,
			"reason": string(reason)}).Debug("closing endpoint connection")
	}
	c.Close()
}

// idleConnState is the state of a connection on which no response is expected.
type idleConnState uint8

const (
	idleConnOpen   idleConnState = iota // open, with no unread bytes
	idleConnUnread                      // unread bytes have arrived
	idleConnClosed                      // the remote side closed or reset it, or its state is unknown
)

// closeReason returns why a connection in this state is closed.
func (s idleConnState) closeReason() closeReason {
	if s == idleConnUnread {
		return closeUnread
	}
	return closeEnded
}

// inspectIdleConn returns the state of a connection without blocking and without consuming bytes from it.
func inspectIdleConn(c net.Conn) idleConnState {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return idleConnClosed
	}
	state := idleConnClosed
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = idleConnOpen
		case err == nil && n > 0:
			state = idleConnUnread
		}
		return true
	})
	if err != nil {
		return idleConnClosed
	}
	return state
}
