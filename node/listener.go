package node

import (
	"net"
	"sync"
	"time"

	"jaspersill/errclass"
)

const (
	acceptRetryDelay  = 20 * time.Millisecond  // a connection asked to close has gone by then
	backlogAcceptTime = 100 * time.Millisecond // in which all that gathered while accepting failed is accepted
	firstByteGrace    = 10 * time.Millisecond  // when short: so long may a connection stand before its first byte,
	requestReadGrace  = 100 * time.Millisecond // and a request take to come: usual ones come in one piece;
	idleGrace         = 150 * time.Millisecond // and so long is an idle one spared for one that may prove worse
)

// listener accepts clients' connections, up to a limit. When short it closes first those that never asked for
// anything that could be read, then those whose request does not come whole, then those that wait between
// requests, the longest first each. If there are none, new ones wait for one.
type listener struct {
	net.Listener
	maxConns int // connections in all
	maxIdle  int // of them, between requests

	// until the firstRequestTimeout requestTimeout is whole; from a later one's firstRequestTimeout byte until it is; idleTimeout two
	firstRequestTimeout, requestTimeout, idleTimeout time.Duration

	acceptErrors failureLog
	delayedSince time.Time // when accepting began to fail or to wait for room: what is accepted since may have stood
	delayedUntil time.Time // there as long, until what had gathered is accepted

	mu         sync.Mutex
	connClosed sync.Cond
	conns      map[*clientConn]struct{}
	closed     bool
}

var pastDeadline = time.Unix(1, 0)

func newListener(l net.Listener, most, keep int) *listener {
	d := &listener{Listener: l, maxConns: most, maxIdle: keep, firstRequestTimeout: defaultFirstRequestTimeout, requestTimeout: defaultRequestTimeout,
		idleTimeout:  defaultClientIdleTimeout,
		acceptErrors: failureLog{part: "clients", operation: "accepting connections"},
		conns:        make(map[*clientConn]struct{})}
	d.connClosed.L = &d.mu
	return d
}

// acceptConn returns the next connection. It waits while there is no room for one. An error is that of a closed listener:
// any other says nothing of the listener, or concerns one connection that broke before it was accepted.
func (d *listener) acceptConn() (*clientConn, error) {
	c, err := d.Listener.Accept()
	for err != nil {
		d.markDelayed(time.Now())
		if errclass.Socket(err) == errclass.Closed {
			return nil, err
		}
		d.acceptErrors.record(err)
		transientFailures.With("accept").Add()
		if errclass.DescriptorsExhausted(err) {
			d.mu.Lock()
			d.evictOne(time.Now())
			d.mu.Unlock()
		}
		time.Sleep(acceptRetryDelay)
		c, err = d.Listener.Accept()
	}
	d.acceptErrors.record(nil)
	now := time.Now()
	if now.Sub(d.delayedUntil) > acceptRetryDelay+backlogAcceptTime {
		d.delayedSince = time.Time{}
	}
	g := &clientConn{retryConn: &retryConn{Conn: c}, id: newConnectionID(), listener: d, acceptedAt: now, stateSince: now}
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.conns) >= d.maxConns && !d.closed {
		d.markDelayed(time.Now())
		d.evictOne(time.Now()) // danger: past the limit of descriptors nothing can be sent any more
		look := time.AfterFunc(firstByteGrace, d.connClosed.Broadcast)
		d.connClosed.Wait()
		look.Stop()
	}
	g.readFailingSince, g.stateSince = d.delayedSince, time.Now()
	d.conns[g] = struct{}{}
	return g, nil
}

// markDelayed notes that nothing can be accepted just now.
func (d *listener) markDelayed(now time.Time) {
	if d.delayedSince.IsZero() {
		d.delayedSince = now
	}
	d.delayedUntil = now
}

// evictOne hurries a connection that is ending, or asks one to close. Danger: hundreds that say nothing, or
// begin requests and never end them, keep the usual clients out.
func (d *listener) evictOne(now time.Time) {
	var worst *clientConn
	rank, soon := 0, false
	for g := range d.conns {
		r := 0
		switch {
		case g.lingering && !g.evicted && now.Sub(g.stateSince) < firstByteGrace:
			soon = true
		case g.lingering && !g.evicted:
			r = 4
		case g.closing || g.evicted:
		case !g.busy && !g.hadValidRequest && now.Sub(g.stateSince) < firstByteGrace:
			soon = true
		case !g.busy && !g.hadValidRequest:
			r = 3
		case g.busy && !g.requestRead && now.Sub(g.stateSince) < requestReadGrace:
			soon = true
		case g.busy && !g.requestRead:
			r = 2
		case !g.busy && g.hadValidRequest:
			r = 1
		}
		if r > rank || (r > 0 && r == rank && g.stateSince.Before(worst.stateSince)) {
			worst, rank = g, r
		}
	}
	switch {
	case worst == nil || (rank == 1 && soon && now.Sub(worst.stateSince) < idleGrace):
	case worst.busy, worst.lingering:
		worst.evicted = true
		worst.SetReadDeadline(pastDeadline) // a busy one is answered that its request did not come
	default:
		worst.requestClose()
	}
}

// closeIdle asks up to so many connections to close that wait between requests.
func (d *listener) closeIdle(most int) {
	for g := range d.conns {
		if most > 0 && !g.busy && !g.closing {
			g.requestClose()
			most--
		}
	}
}

// closeAllIdle closes all connections that wait between requests.
func (d *listener) closeAllIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closeIdle(len(d.conns))
}

// isEmpty tells whether all connections are closed.
func (d *listener) isEmpty() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns) == 0
}

func (d *listener) Close() error {
	d.mu.Lock()
	d.closed = true
	d.connClosed.Broadcast()
	d.mu.Unlock()
	return d.Listener.Close()
}

// trimIdle closes the connection idle longest when more wait between requests than are kept. Danger: clients may
// hold so many; where many ask once and keep theirs, the next one cannot connect and is refused.
func (d *listener) trimIdle() {
	var oldest *clientConn
	idle := 0
	for g := range d.conns {
		if !g.busy && !g.closing && g.hadValidRequest {
			if idle++; oldest == nil || g.stateSince.Before(oldest.stateSince) {
				oldest = g
			}
		}
	}
	if idle > d.maxIdle {
		oldest.requestClose()
	}
}
