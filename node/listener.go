package node

import (
	"net"
	"sync"
	"time"

	"jaspersill/errclass"
)

const (
	acceptAgain   = 20 * time.Millisecond  // a connection asked to close has gone by then
	backlogWithin = 100 * time.Millisecond // in which all that gathered while accepting failed is accepted
	silentGrace   = 10 * time.Millisecond  // when short: so long may a connection stand before its first byte,
	wholeGrace    = 100 * time.Millisecond // and a request take to come: usual ones come in one piece;
	idleGrace     = 150 * time.Millisecond // and so long is an idle one spared for one that may prove worse
)

// listener accepts clients' connections, up to a limit. When short it closes first those that never asked for
// anything that could be read, then those whose request does not come whole, then those that wait between
// requests, the longest first each. If there are none, new ones wait for one.
type listener struct {
	net.Listener
	most int // connections in all
	keep int // of them, between requests

	// until the first request is whole; from a later one's first byte until it is; between two
	first, request, between time.Duration

	accepts      failureLog
	delayedSince time.Time // when accepting began to fail or to wait for room: what is accepted since may have stood
	delayedUntil time.Time // there as long, until what had gathered is accepted

	mu    sync.Mutex
	freed sync.Cond
	open  map[*clientConn]struct{}
	shut  bool
}

var longAgo = time.Unix(1, 0)

func newListener(l net.Listener, most, keep int) *listener {
	d := &listener{Listener: l, most: most, keep: keep, first: firstWithin, request: readWithin,
		between: clientIdle,
		accepts: failureLog{part: "clients", operation: "accepting connections"},
		open:    make(map[*clientConn]struct{})}
	d.freed.L = &d.mu
	return d
}

// accept returns the next connection. It waits while there is no room for one. An error is that of a closed listener:
// any other says nothing of the listener, or concerns one connection that broke before it was accepted.
func (d *listener) accept() (*clientConn, error) {
	c, err := d.Listener.Accept()
	for err != nil {
		d.delayed(time.Now())
		if errclass.Socket(err) == errclass.Closed {
			return nil, err
		}
		d.accepts.record(err)
		transientFailures.With("accept").Add()
		if errclass.DescriptorsExhausted(err) {
			d.mu.Lock()
			d.makeRoom(time.Now())
			d.mu.Unlock()
		}
		time.Sleep(acceptAgain)
		c, err = d.Listener.Accept()
	}
	d.accepts.record(nil)
	now := time.Now()
	if now.Sub(d.delayedUntil) > acceptAgain+backlogWithin {
		d.delayedSince = time.Time{}
	}
	g := &clientConn{retryConn: &retryConn{Conn: c}, id: newConnectionID(), listener: d, came: now, since: now}
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.open) >= d.most && !d.shut {
		d.delayed(time.Now())
		d.makeRoom(time.Now()) // danger: past the limit of descriptors nothing can be sent any more
		look := time.AfterFunc(silentGrace, d.freed.Broadcast)
		d.freed.Wait()
		look.Stop()
	}
	g.readFailingSince, g.since = d.delayedSince, time.Now()
	d.open[g] = struct{}{}
	return g, nil
}

// delayed notes that nothing can be accepted just now.
func (d *listener) delayed(now time.Time) {
	if d.delayedSince.IsZero() {
		d.delayedSince = now
	}
	d.delayedUntil = now
}

// makeRoom hurries a connection that is ending, or asks one to close. Danger: hundreds that say nothing, or
// begin requests and never end them, keep the usual clients out.
func (d *listener) makeRoom(now time.Time) {
	var worst *clientConn
	rank, soon := 0, false
	for g := range d.open {
		r := 0
		switch {
		case g.ending && !g.hurried && now.Sub(g.since) < silentGrace:
			soon = true
		case g.ending && !g.hurried:
			r = 4
		case g.leaving || g.hurried:
		case !g.busy && !g.asked && now.Sub(g.since) < silentGrace:
			soon = true
		case !g.busy && !g.asked:
			r = 3
		case g.busy && !g.whole && now.Sub(g.since) < wholeGrace:
			soon = true
		case g.busy && !g.whole:
			r = 2
		case !g.busy && g.asked:
			r = 1
		}
		if r > rank || (r > 0 && r == rank && g.since.Before(worst.since)) {
			worst, rank = g, r
		}
	}
	switch {
	case worst == nil || (rank == 1 && soon && now.Sub(worst.since) < idleGrace):
	case worst.busy, worst.ending:
		worst.hurried = true
		worst.SetReadDeadline(longAgo) // a busy one is answered that its request did not come
	default:
		worst.leave()
	}
}

// closeIdle asks up to so many connections to close that wait between requests.
func (d *listener) closeIdle(most int) {
	for g := range d.open {
		if most > 0 && !g.busy && !g.leaving {
			g.leave()
			most--
		}
	}
}

// dismiss closes all connections that wait between requests.
func (d *listener) dismiss() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closeIdle(len(d.open))
}

// empty tells whether all connections are closed.
func (d *listener) empty() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.open) == 0
}

func (d *listener) Close() error {
	d.mu.Lock()
	d.shut = true
	d.freed.Broadcast()
	d.mu.Unlock()
	return d.Listener.Close()
}

// trim closes the connection idle longest when more wait between requests than are kept. Danger: clients may
// hold so many; where many ask once and keep theirs, the next one cannot connect and is refused.
func (d *listener) trim() {
	var oldest *clientConn
	idle := 0
	for g := range d.open {
		if !g.busy && !g.leaving && g.asked {
			if idle++; oldest == nil || g.since.Before(oldest.since) {
				oldest = g
			}
		}
	}
	if idle > d.keep {
		oldest.leave()
	}
}
