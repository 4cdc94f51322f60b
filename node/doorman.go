package node

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	acceptAgain = 20 * time.Millisecond  // a connection asked to close has gone by then
	silentGrace = 10 * time.Millisecond  // when short: so long may a connection stand before its first byte,
	wholeGrace  = 100 * time.Millisecond // and a request take to come: usual ones come in one piece;
	idleGrace   = 150 * time.Millisecond // and so long is an idle one spared for one that may prove worse
)

// doorman accepts clients' connections, up to a limit. When short it closes first those that never asked for
// anything that could be read, then those whose request does not come whole, then those that wait between
// requests, the longest first each. If there are none, new ones wait for one.
type doorman struct {
	net.Listener
	most int // connections in all
	keep int // of them, between requests

	first, between time.Duration // until the first request is whole; between two

	accepts trouble
	mu      sync.Mutex
	freed   sync.Cond
	open    map[*guest]struct{}
	shut    bool
}

// guest is a client's connection.
type guest struct {
	net.Conn
	door  *doorman
	came  time.Time
	since time.Time // of its first byte, or of its last answer

	busy    bool // bytes of a request have been read and its answer is not written
	whole   bool // all of them
	asked   bool // it has brought an event, or asked how we are
	leaving bool // asked to close
	hurried bool // its request has no more time
}

var longAgo = time.Unix(1, 0)

func newDoorman(l net.Listener, most, keep int) *doorman {
	d := &doorman{Listener: l, most: most, keep: keep, first: firstWithin, between: clientIdle,
		accepts: trouble{part: "clients", what: "accepting connections"},
		open:    make(map[*guest]struct{})}
	d.freed.L = &d.mu
	return d
}

func (d *doorman) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	for err != nil {
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		// Danger: out of descriptors, or a connection that broke before it was accepted, must not end the serving.
		d.accepts.note(err)
		d.mu.Lock()
		d.makeRoom(time.Now())
		d.mu.Unlock()
		time.Sleep(acceptAgain)
		c, err = d.Listener.Accept()
	}
	d.accepts.note(nil)
	now := time.Now()
	g := &guest{Conn: c, door: d, came: now, since: now}
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

// makeRoom asks a connection to close. Danger: hundreds that say nothing, or begin requests and never end
// them, keep the usual clients out.
func (d *doorman) makeRoom(now time.Time) {
	var worst *guest
	rank, soon := 0, false
	for g := range d.open {
		r := 0
		switch {
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
	case worst.busy:
		worst.hurried = true
		worst.Conn.SetReadDeadline(longAgo) // it is answered that its request did not come
	default:
		worst.leave()
	}
}

// closeIdle asks up to so many connections to close that wait between requests.
func (d *doorman) closeIdle(most int) {
	for g := range d.open {
		if most > 0 && !g.busy && !g.leaving {
			g.leave()
			most--
		}
	}
}

// leave asks a connection between requests to close: its reader does, unless a request comes first.
func (g *guest) leave() {
	g.leaving = true
	g.Conn.SetReadDeadline(longAgo)
}

// dismiss closes all connections that wait between requests.
func (d *doorman) dismiss() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closeIdle(len(d.open))
}

// empty tells whether all connections are closed.
func (d *doorman) empty() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.open) == 0
}

func (d *doorman) Close() error {
	d.mu.Lock()
	d.shut = true
	d.freed.Broadcast()
	d.mu.Unlock()
	return d.Listener.Close()
}

// Read marks the connection busy. Danger: closed after its request was read, it would leave that unanswered.
func (g *guest) Read(b []byte) (int, error) {
	n, err := g.Conn.Read(b)
	g.door.mu.Lock()
	defer g.door.mu.Unlock()
	if n > 0 {
		if !g.busy {
			g.busy, g.whole, g.since = true, false, time.Now()
		}
		g.leaving = false
		return n, err
	}
	if g.leaving || (!g.busy && errors.Is(err, os.ErrDeadlineExceeded)) {
		return 0, net.ErrClosed // danger: a complaint that nothing came would pass for the next request's answer
	}
	return n, err
}

// SetReadDeadline leaves the deadline alone by which a connection was asked to close. Between requests it
// gives clients their time, and for the first no more than is left of it since they connected.
func (g *guest) SetReadDeadline(t time.Time) error {
	g.door.mu.Lock()
	defer g.door.mu.Unlock()
	if g.leaving || g.hurried {
		return nil
	}
	if !g.busy {
		t = time.Now().Add(g.door.between)
	}
	if first := g.came.Add(g.door.first); !g.asked && t.After(first) {
		t = first // danger: by a byte now and then, or none, a client would keep its connection for good
	}
	return g.Conn.SetReadDeadline(t)
}

// read marks that a request has come whole; good tells whether it was one.
func (g *guest) read(good bool) {
	g.door.mu.Lock()
	defer g.door.mu.Unlock()
	g.whole, g.asked = true, g.asked || good
}

// trim closes the connection idle longest when more wait between requests than are kept. Danger: clients may
// hold so many; where many ask once and keep theirs, the next one cannot connect and is refused.
func (d *doorman) trim() {
	var oldest *guest
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
func (g *guest) idle() {
	g.door.mu.Lock()
	defer g.door.mu.Unlock()
	g.busy, g.since = false, time.Now()
	g.door.trim()
	if len(g.door.open) >= g.door.most {
		g.door.freed.Signal()
	}
}

func (g *guest) Close() error {
	g.door.mu.Lock()
	delete(g.door.open, g)
	g.door.freed.Signal()
	g.door.mu.Unlock()
	return g.Conn.Close()
}
