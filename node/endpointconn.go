package node

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/sirupsen/logrus"

	"jaspersill/lifecycle"
	"jaspersill/logs"
	"jaspersill/metrics"
)

// closeReason is why a connection to an endpoint or to the platform is closed.
type closeReason string

const (
	closeIdle      closeReason = "idle"      // it rested for as long as the other side allows
	closeUnread    closeReason = "unread"    // bytes came that no call waits for
	closeEnded     closeReason = "ended"     // the other side closed or reset it while it rested
	closeMoved     closeReason = "moved"     // the endpoint has another address, or none any more
	closePolicy    closeReason = "policy"    // the decision module keeps none there for now
	closeFull      closeReason = "full"      // as many rest as may
	closeGivenUp   closeReason = "given_up"  // its call timed out, was cancelled or recalled
	closeBroken    closeReason = "broken"    // it broke under a call
	closeAnswer    closeReason = "answer"    // the answer says so, or cannot be read to its end
	closeSurplus   closeReason = "surplus"   // more came than one answer
	closeUnwritten closeReason = "unwritten" // its call could not be written as HTTP
)

var (
	connectionsOpened = metrics.New("jaspersill_endpoint_connections_opened_total", "Connections opened to endpoints.")
	connectionsClosed = metrics.NewFamily("jaspersill_endpoint_connections_closed_total",
		"Connections to endpoints that were closed, by reason.", "reason", string(closeIdle), string(closeUnread),
		string(closeEnded), string(closeGivenUp), string(closeBroken), string(closeSurplus))
	callsMade = metrics.NewFamily("jaspersill_endpoint_calls_total", "Calls to endpoints, by the connection that they went out on.",
		"connection", connectionNew, connectionReused)

	lastConnectionID atomic.Uint64
)

const (
	connectionNew    = "new"
	connectionReused = "kept"
)

// newConnectionID numbers the connections of a process, of all kinds, for its log.
func newConnectionID() uint64 { return lastConnectionID.Add(1) }

// endpointConn is a connection to an endpoint. It carries one call at a time.
type endpointConn struct {
	*retryConn
	id         uint64
	endpoint   int32
	reader     *responseReader
	address    string // the address it goes to
	lastUsedAt int64  // when its last call ended
	callCount  int
	responses  lifecycle.AnswerTracker

	// These belong to endpoints, under its lock.
	idle        bool            // it is among the idle ones
	inSyncAt    int64           // it was in step then, and all that it told before is its calls' own
	unconfirmed []*confirmation // of outcomes that it told, and that are not settled
}

func newEndpointConn(conn *retryConn, endpoint int32, address string) *endpointConn {
	connectionsOpened.Add()
	return &endpointConn{retryConn: conn, id: newConnectionID(), endpoint: endpoint, reader: newResponseReader(conn), address: address}
}

// countCall notes a call on the connection.
func (c *endpointConn) countCall() {
	c.callCount++
	if c.callCount == 1 {
		callsMade.With(connectionNew).Add()
	} else {
		callsMade.With(connectionReused).Add()
	}
}

// attribute tells how sure it is that an answer is the newest call's. One that could not be read decides nothing.
func (c *endpointConn) attribute(answer callResponse) lifecycle.Attribution {
	switch {
	case answer.truncated:
		return c.responses.ObserveTruncated()
	case answer.identity.Digest == 0:
		return lifecycle.Certain
	}
	return c.responses.Observe(answer.identity)
}

// closeWithReason closes the connection for a reason, and counts it.
func (c *endpointConn) closeWithReason(reason closeReason) {
	connectionsClosed.With(string(reason)).Add()
	if logs.Debugging() {
		logs.Part("endpoints").WithFields(logrus.Fields{"connection": c.id, "endpoint": c.endpoint, "calls": c.callCount,
			"reason": string(reason)}).Debug("a connection is closed")
	}
	c.Close()
}

// idleConnState is what a connection shows on which nothing is waited for.
type idleConnState uint8

const (
	idleConnOpen   idleConnState = iota // it stands, and nothing is unread
	idleConnUnread                      // bytes came
	idleConnClosed                      // the other side closed or reset it, or it cannot be told
)

// closeReason is why a connection in this state is not used any more.
func (s idleConnState) closeReason() closeReason {
	if s == idleConnUnread {
		return closeUnread
	}
	return closeEnded
}

// inspectIdleConn looks at a connection without waiting and without reading from it.
func inspectIdleConn(c net.Conn) idleConnState {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return idleConnClosed
	}
	state := idleConnClosed
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
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
