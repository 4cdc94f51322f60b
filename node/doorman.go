package node

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const acceptAgain = 20 * time.Millisecond // a connection asked to close has gone by then

// doorman accepts clients' connections, up to a limit. When short it closes those that wait between requests,
// the longest first; if none does, new ones wait.
type doorman struct {
	net.Listener
	most int

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
	since time.Time

	busy    bool // bytes of a request have been read and its answer is not written
	leaving bool // asked to close
}

var longAgo = time.Unix(1, 0)

func newDoorman(l net.Listener, most int) *doorman {
	d := &doorman{Listener: l, most: most, accepts: trouble{what: "clients: accepting connections"},
		open: make(map[*guest]struct{})}
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
		d.closeIdle(1)
		d.mu.Unlock()
		time.Sleep(acceptAgain)
		c, err = d.Listener.Accept()
	}
	d.accepts.note(nil)
	g := &guest{Conn: c, door: d, since: time.Now()}
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.open) >= d.most && !d.shut {
		d.closeIdle(1) // danger: past the limit of descriptors nothing can be sent any more
		d.freed.Wait()
	}
	d.open[g] = struct{}{}
	return g, nil
}

// closeIdle asks up to so many connections to close that wait between requests.
func (d *doorman) closeIdle(most int) {
	for ; most > 0; most-- {
		var oldest *guest
		for g := range d.open {
			if !g.busy && !g.leaving && (oldest == nil || g.since.Before(oldest.since)) {
				oldest = g
			}
		}
		if oldest == nil {
			return
		}
		oldest.leaving = true
		oldest.Conn.SetReadDeadline(longAgo) // its reader closes it, unless a request comes first
	}
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
		g.busy, g.leaving = true, false
		return n, err
	}
	if g.leaving || (!g.busy && errors.Is(err, os.ErrDeadlineExceeded)) {
		return 0, net.ErrClosed // danger: a complaint that nothing came would pass for the next request's answer
	}
	return n, err
}

// SetReadDeadline leaves the deadline alone by which a connection was asked to close, and gives clients that
// connect ahead of their first request as long as between two.
func (g *guest) SetReadDeadline(t time.Time) error {
	g.door.mu.Lock()
	defer g.door.mu.Unlock()
	if g.leaving {
		return nil
	}
	if !g.busy {
		t = time.Now().Add(clientIdle)
	}
	return g.Conn.SetReadDeadline(t)
}

// idle marks that the answer was written.
func (g *guest) idle() {
	g.door.mu.Lock()
	defer g.door.mu.Unlock()
	g.busy, g.since = false, time.Now()
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
