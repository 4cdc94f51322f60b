package node

import (
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"jaspersill/errclass"
	"jaspersill/membudget"
)

const (
	acceptRetryDelay  = 20 * time.Millisecond  // enough for a connection that was asked to close to be gone
	backlogAcceptTime = 100 * time.Millisecond // within which the connections that queued up while accepting failed are accepted
)

// listener accepts client connections up to a limit. At the limit it evicts, in this order: lingering connections,
// connections that never sent a valid request, those with an incomplete request, and idle ones; within each group the
// one that has been in its state longest. If there is none to evict, new connections wait.
type listener struct {
	net.Listener
	maxConns int // connections in total
	maxIdle  int // connections that wait between requests

	receiveBuffer int // size of the receive buffer of a new connection in bytes, 0 for the kernel's default

	// firstRequestTimeout runs from accepting a connection until its first request is read, requestTimeout from the first
	// byte of a later request until it is read, and idleTimeout between two requests.
	firstRequestTimeout, requestTimeout, idleTimeout time.Duration

	acceptTimes acceptTimes

	acceptErrors failureLog
	delayedSince time.Time // when accepting began to fail or to wait for room; connections accepted since may have
	delayedUntil time.Time // queued since then, until the backlog of that time is accepted

	mu          sync.Mutex
	roomChanged sync.Cond
	conns       map[*clientConn]struct{}
	closed      bool
}

// pastDeadline is a read deadline that has passed, which interrupts a read.
var pastDeadline = time.Unix(1, 0)

func newListener(socket net.Listener, maxConns, maxIdle int) *listener {
	l := &listener{Listener: socket, maxConns: maxConns, maxIdle: maxIdle,
		firstRequestTimeout: defaultFirstRequestTimeout, requestTimeout: defaultRequestTimeout,
		idleTimeout:  defaultClientIdleTimeout,
		acceptErrors: failureLog{part: "clients", operation: "accepting connections"},
		conns:        make(map[*clientConn]struct{})}
	l.roomChanged.L = &l.mu
	return l
}

// acceptConn returns the next connection. It waits while the limit is reached. It returns an error only for a closed
// listener and retries after all others: those are transient failures of this machine, or concern a single connection
// that broke before it was accepted, and do not mean that the listener has failed.
func (l *listener) acceptConn() (*clientConn, error) {
	socket, err := l.Listener.Accept()
	for err != nil {
		l.markDelayed(time.Now())
		if errclass.Socket(err) == errclass.Closed {
			return nil, err
		}
		l.acceptErrors.record(err)
		transientFailures.With("accept").Inc()
		if errclass.DescriptorsExhausted(err) {
			l.mu.Lock()
			l.evictOne(time.Now())
			l.mu.Unlock()
		}
		time.Sleep(acceptRetryDelay)
		socket, err = l.Listener.Accept()
	}
	l.acceptErrors.record(nil)
	now := time.Now()
	if now.Sub(l.delayedUntil) > acceptRetryDelay+backlogAcceptTime {
		l.delayedSince = time.Time{}
	}
	c := &clientConn{retryConn: &retryConn{Conn: socket}, id: newConnectionID(), listener: l,
		receiveBuffer: l.receiveBuffer, unproductive: rate.NewLimiter(ownUnproductiveRate, ownUnproductiveBurst),
		acceptances: rate.NewLimiter(rate.Inf, membudget.IDShareBurst), acceptedAt: now, stateSince: now}
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) >= l.maxConns && !l.closed {
		l.markDelayed(time.Now())
		l.evictOne(time.Now()) // beyond the limit, there would be no descriptors left for calls to endpoints
		recheck := time.AfterFunc(firstByteGrace, l.roomChanged.Broadcast)
		l.roomChanged.Wait()
		recheck.Stop()
	}
	c.delayedSince, c.stateSince = l.acceptTimes.earliestArrival(l.delayedSince), time.Now()
	l.acceptTimes.record(now)
	l.conns[c] = struct{}{}
	return c, nil
}

// acceptTimes holds when the latest connections were accepted. Connections wait in the order of their arrival, so one that is accepted
// after as many others as the backlog holds arrived after the first of those was accepted.
type acceptTimes struct {
	times []time.Time // as many as the backlog holds and one more; empty if its size is not known
	next  int
}

// newAcceptTimes returns the times for a backlog of this size; 0 if it is not known.
func newAcceptTimes(backlog int) acceptTimes {
	if backlog <= 0 {
		return acceptTimes{}
	}
	return acceptTimes{times: make([]time.Time, backlog+1)}
}

// record adds the time of the latest accept.
func (a *acceptTimes) record(now time.Time) {
	if len(a.times) > 0 {
		a.times[a.next] = now
		a.next = (a.next + 1) % len(a.times)
	}
}

// earliestArrival returns since when the connection that is accepted next may have waited, which is delayedSince at the earliest.
func (a *acceptTimes) earliestArrival(delayedSince time.Time) time.Time {
	if len(a.times) == 0 || delayedSince.IsZero() || a.times[a.next].Before(delayedSince) {
		return delayedSince
	}
	return a.times[a.next]
}

// markDelayed records that connections cannot be accepted at present.
func (l *listener) markDelayed(now time.Time) {
	if l.delayedSince.IsZero() {
		l.delayedSince = now
	}
	l.delayedUntil = now
}

// closeIdle asks up to limit connections to close that wait for a request. The lock is held.
func (l *listener) closeIdle(limit int) {
	for c := range l.conns {
		if limit > 0 && !c.busy && !c.closing {
			c.requestClose()
			limit--
		}
	}
}

// closeAllIdle asks all connections to close that wait for a request.
func (l *listener) closeAllIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeIdle(len(l.conns))
}

// connCount returns the number of open connections.
func (l *listener) connCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// isEmpty reports whether all connections are closed.
func (l *listener) isEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) == 0
}

// Close implements net.Listener. It also wakes an acceptConn that waits for room.
func (l *listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.roomChanged.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// trimIdle asks the longest idle connection to close when more than maxIdle wait between requests. Clients may hold
// only a limited number of connections in total; if many sent one request and kept theirs, the next one could not connect.
// The lock is held.
func (l *listener) trimIdle() {
	var oldest *clientConn
	idle := 0
	for c := range l.conns {
		if !c.busy && !c.closing && c.hadValidRequest {
			if idle++; oldest == nil || c.stateSince.Before(oldest.stateSince) {
				oldest = c
			}
		}
	}
	if idle > l.maxIdle {
		oldest.requestClose()
	}
}
