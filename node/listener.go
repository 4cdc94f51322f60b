package node

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"jaspersill/errclass"
	"jaspersill/lifecycle"
)

const (
	acceptAgain   = 20 * time.Millisecond  // a connection asked to close has gone by then
	backlogWithin = 100 * time.Millisecond // in which all that gathered while accepting failed is accepted
	silentGrace   = 10 * time.Millisecond  // when short: so long may a connection stand before its first byte,
	wholeGrace    = 100 * time.Millisecond // and a request take to come: usual ones come in one piece;
	idleGrace     = 150 * time.Millisecond // and so long is an idle one spared for one that may prove worse
	endWithin     = 300 * time.Millisecond // a client that heard of the end closes too: there and back
	endLook       = 10 * time.Millisecond
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

	accepts     trouble
	failedSince time.Time // when accepting began to fail: what is accepted since may have stood there as long,
	failedUntil time.Time // until what had gathered is accepted

	mu    sync.Mutex
	freed sync.Cond
	open  map[*clientConn]struct{}
	shut  bool
}

// clientConn is a client's connection. It waits in rest, is busy from the first byte of a request until
// idle, and ends with end. What may end its waiting for bytes is decided under the listener's lock.
type clientConn struct {
	*retryConn
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

var longAgo = time.Unix(1, 0)

func newListener(l net.Listener, most, keep int) *listener {
	d := &listener{Listener: l, most: most, keep: keep, first: firstWithin, request: readWithin,
		between: clientIdle,
		accepts: trouble{part: "clients", what: "accepting connections"},
		open:    make(map[*clientConn]struct{})}
	d.freed.L = &d.mu
	return d
}

// accept returns the next connection. It waits while there is no room for one. An error is that of a closed listener:
// any other says nothing of the listener, or concerns one connection that broke before it was accepted.
func (d *listener) accept() (*clientConn, error) {
	c, err := d.Listener.Accept()
	for err != nil {
		if d.failedSince.IsZero() {
			d.failedSince = time.Now()
		}
		d.failedUntil = time.Now()
		if errclass.Socket(err) == errclass.Closed {
			return nil, err
		}
		d.accepts.note(err)
		momentaryFailures["accept"].Add()
		if errclass.ShortOfDescriptors(err) {
			d.mu.Lock()
			d.makeRoom(time.Now())
			d.mu.Unlock()
		}
		time.Sleep(acceptAgain)
		c, err = d.Listener.Accept()
	}
	d.accepts.note(nil)
	now := time.Now()
	if now.Sub(d.failedUntil) > acceptAgain+backlogWithin {
		d.failedSince = time.Time{}
	}
	g := &clientConn{retryConn: &retryConn{Conn: c, delayedSince: d.failedSince}, listener: d, came: now, since: now}
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.open) >= d.most && !d.shut {
		d.makeRoom(time.Now()) // danger: past the limit of descriptors nothing can be sent any more
		look := time.AfterFunc(silentGrace, d.freed.Broadcast)
		d.freed.Wait()
		look.Stop()
	}
	d.open[g] = struct{}{}
	return g, nil
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

// leave asks a connection between requests to close: its reader does, unless a request comes first.
func (g *clientConn) leave() {
	g.leaving = true
	g.SetReadDeadline(longAgo)
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

// rest waits for the first byte of the next request. It tells false if none came in time, or if the
// connection was asked to close before: the byte or the asking, whichever the listener's lock sees first.
func (g *clientConn) rest() bool {
	g.listener.mu.Lock()
	if g.leaving {
		g.listener.mu.Unlock()
		return false
	}
	g.within(g.listener.between)
	if g.wrote {
		g.delayedSince = time.Time{}
	}
	g.listener.mu.Unlock()
	n, _ := g.retryConn.Read(g.woken[:])
	g.listener.mu.Lock()
	defer g.listener.mu.Unlock()
	if n == 0 && g.hasUnread() { // it stands there already: closed over it, its client would hear nothing
		g.within(g.listener.request)
		n, _ = g.retryConn.Read(g.woken[:])
	}
	if n == 0 {
		g.leaving = true
		return false
	}
	g.holds = true
	g.begin()
	return true
}

// begin marks that a request comes. Danger: closed after its request was read, it would leave that
// unanswered.
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
// the time since it connected. Danger: by a byte now and then, or none, it would keep its connection for
// good.
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
	g.state.ReadRequest()
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
	g.state.Close(g.RemoteAddr().String())
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
	if g.delayedSince.IsZero() {
		return 0
	}
	return time.Since(g.delayedSince)
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

// hasUnread tells whether bytes can be read, without waiting and whatever the deadline is.
func (g *clientConn) hasUnread() (unread bool) {
	raw, err := g.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(descriptor uintptr) {
		var one [1]byte
		n, _, _ := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = n > 0
	})
	return unread
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
		unread = n > 0 || errclass.Socket(err) == errclass.Momentary
		return !errors.Is(err, syscall.EAGAIN)
	})
	return unread
}

func (g *clientConn) isHurried() bool {
	g.listener.mu.Lock()
	defer g.listener.mu.Unlock()
	return g.hurried
}
