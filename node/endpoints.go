package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"jaspersill/errclass"
)

const (
	idleMargin = int64(1e9) // ns by which an idle connection is closed before the endpoint would: the way there
	idleSweep  = time.Second
	replySize  = 4096 // bytes of a connection's read buffer: an answer is a few lines
)

// endpoints keeps the connections to endpoints. A connection carries one call at a time.
type endpoints struct {
	clock    clock
	journal  *journal
	dial     dialFunc
	idleFor  int64 // ns after which an endpoint closes an idle connection
	mostIdle int   // idle connections in all

	out atomic.Int32 // calls

	mu         sync.Mutex
	unreadable map[uint32]int // by destination, answers that may have come and cannot be read for a moment
	dials      []string       // by endpoint
	sites      []string
	busy       []int             // calls that know its index
	idle       [][]*endpointConn // by endpoint, the one used last at the end
	idles      int
}

// listed learns where an endpoint is now; idle connections to where it was are closed.
func (p *endpoints) listed(ep int32, site, dial string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for int(ep) >= len(p.dials) {
		p.dials, p.sites, p.idle = append(p.dials, ""), append(p.sites, ""), append(p.idle, nil)
		p.busy = append(p.busy, 0)
	}
	if p.sites[ep] = site; p.dials[ep] != dial {
		p.dials[ep] = dial
		p.drop(ep, closeMoved)
	}
}

// begin notes a call that knows the endpoint's index, until end.
func (p *endpoints) begin(ep int32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy[ep]++
	p.out.Add(1)
}

func (p *endpoints) end(ep int32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy[ep]--
	p.out.Add(-1)
}

// free empties the place of an endpoint that is removed, for the next one. It tells false while a call is out, whose
// answer, or connection, would pass for the next one's.
func (p *endpoints) free(ep int32) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[ep] > 0 {
		return false
	}
	p.drop(ep, closeMoved)
	p.dials[ep], p.sites[ep] = "", ""
	return true
}

func (p *endpoints) closeIdle(ep int32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(ep, closePolicy)
}

// drop closes the idle connections to an endpoint; the lock is held.
func (p *endpoints) drop(ep int32, reason closeReason) {
	for _, c := range p.idle[ep] {
		c.end(reason)
	}
	p.idles -= len(p.idle[ep])
	p.idle[ep] = nil
}

// expire closes the connections that have been idle for so long that the endpoint is about to, and those that it has
// closed or written to.
func (p *endpoints) expire(now int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for ep, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if reason, usable := p.usable(c, now); usable {
				keep = append(keep, c)
			} else {
				c.end(reason)
				p.idles--
			}
		}
		p.idle[ep] = keep
	}
}

// usable tells whether an idle connection can take another call, and if not, why it is closed. A call on one that the
// endpoint has closed, or is about to close, may have run for all that is known.
func (p *endpoints) usable(c *endpointConn, now int64) (closeReason, bool) {
	if p.stale(c, now) {
		return closeIdle, false
	}
	if state := stateAtRest(c); state != restQuiet {
		return state.closeReason(), false
	}
	return "", true
}

func (p *endpoints) stale(c *endpointConn, now int64) bool {
	return p.idleFor > 0 && now-c.used >= max(p.idleFor-idleMargin, p.idleFor/2)
}

// kept takes the idle connection used last, nil for none, and tells the address to connect to.
func (p *endpoints) kept(ep int32) (*endpointConn, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle[ep]); n > 0; n = len(p.idle[ep]) {
		c := p.idle[ep][n-1]
		p.idle[ep] = p.idle[ep][:n-1]
		p.idles--
		reason, usable := p.usable(c, p.clock.now())
		if usable {
			return c, c.dial
		}
		c.end(reason)
	}
	return nil, p.dials[ep]
}

func (p *endpoints) site(ep int32) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sites[ep]
}

// keep puts a connection back, unless idle ones would take the descriptors that clients need.
func (p *endpoints) keep(c *endpointConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.dial != p.dials[c.endpoint]:
		c.end(closeMoved)
		return
	case p.idles >= p.mostIdle:
		c.end(closeFull)
		return
	}
	c.used = p.clock.now()
	p.idle[c.endpoint] = append(p.idle[c.endpoint], c)
	p.idles++
}

// stalls notes that an answer of a destination cannot be read for a moment, or that it can again.
func (p *endpoints) stalls(dest uint32, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unreadable == nil {
		p.unreadable = make(map[uint32]int)
	}
	if on {
		p.unreadable[dest]++
	} else if p.unreadable[dest]--; p.unreadable[dest] <= 0 {
		delete(p.unreadable, dest)
	}
}

// stalled tells whether an answer of a destination cannot be read: it may tell to wait.
func (p *endpoints) stalled(dest uint32) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unreadable[dest] > 0
}

// connect opens a connection, for as long as ctx lasts. local tells meanwhile whether this machine is what keeps it
// from coming up.
func (p *endpoints) connect(ctx context.Context, ep int32, address string, local *atomic.Bool) (*endpointConn, error) {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := p.dial(ctx, address)
		local.Store(errclass.Socket(err) == errclass.Momentary)
		return conn, err
	}
	conn, err := dialAgain(ctx, dial, address)
	if err != nil {
		return nil, err
	}
	return newEndpointConn(conn, ep, address), nil
}

// dialer connects for so long, 0 for no limit but the call's own.
func dialer(within int64) dialFunc {
	d := net.Dialer{KeepAlive: -1, Timeout: time.Duration(within)}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
}

// sweep closes idle connections in time, until stop.
func (p *endpoints) sweep(stop <-chan struct{}) {
	tick := time.NewTicker(idleSweep)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			p.expire(p.clock.now())
		}
	}
}
