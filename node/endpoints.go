package node

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jaspersill/errclass"
	"jaspersill/reuse"
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
	names      []string
	reuse      []reuse.Endpoint
	refusals   reuse.Refusals
	busy       []int             // calls that know its index
	idle       [][]*endpointConn // by endpoint, the one used last at the end
	idles      int
	pending    int          // outcomes that are followed
	settled    []settlement // found out while the lock is held
}

// listed learns where an endpoint is now; idle connections to where it was are closed.
func (p *endpoints) listed(ep int32, name, site, dial string) {
	p.mu.Lock()
	defer p.unlock()
	for int(ep) >= len(p.dials) {
		p.dials, p.sites, p.names = append(p.dials, ""), append(p.sites, ""), append(p.names, "")
		p.idle, p.busy, p.reuse = append(p.idle, nil), append(p.busy, 0), append(p.reuse, reuse.Endpoint{})
	}
	if p.names[ep], p.sites[ep] = name, site; p.dials[ep] != dial {
		p.dials[ep] = dial
		p.drop(ep, closeMoved)
	}
}

// callBegins notes a call that knows the endpoint's index, until callEnds.
func (p *endpoints) callBegins(ep int32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy[ep]++
	p.out.Add(1)
}

func (p *endpoints) callEnds(ep int32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy[ep]--
	p.out.Add(-1)
}

// free empties the place of an endpoint that is removed, for the next one. It tells false while a call is out, whose
// answer, or connection, would pass for the next one's.
func (p *endpoints) free(ep int32) bool {
	p.mu.Lock()
	defer p.unlock()
	if p.busy[ep] > 0 {
		return false
	}
	p.drop(ep, closeMoved)
	p.dials[ep], p.sites[ep], p.names[ep], p.reuse[ep] = "", "", "", reuse.Endpoint{}
	return true
}

func (p *endpoints) closeIdle(ep int32) {
	p.mu.Lock()
	defer p.unlock()
	p.drop(ep, closePolicy)
}

// drop closes the idle connections to an endpoint; the lock is held.
func (p *endpoints) drop(ep int32, reason closeReason) {
	list := p.idle[ep]
	p.idles -= len(list)
	p.idle[ep] = nil
	for _, c := range list {
		c.resting = false
		p.end(c, reason)
	}
}

// remove takes a connection out of the idle ones; the lock is held.
func (p *endpoints) remove(conn *endpointConn) {
	list := p.idle[conn.endpoint]
	if i := slices.Index(list, conn); i >= 0 {
		p.idle[conn.endpoint] = slices.Delete(list, i, i+1)
		p.idles--
	}
	conn.resting = false
}

// expire closes the connections that have been idle for so long that the endpoint is about to, and those that it has
// closed or written to.
func (p *endpoints) expire(now int64) {
	p.mu.Lock()
	defer p.unlock()
	for ep := range p.idle {
		for _, c := range slices.Clone(p.idle[ep]) {
			if p.look(c) && p.stale(c, now) {
				p.remove(c)
				p.end(c, closeIdle)
			}
		}
	}
}

func (p *endpoints) stale(c *endpointConn, now int64) bool {
	return p.idleFor > 0 && now-c.used >= max(p.idleFor-idleMargin, p.idleFor/2)
}

// kept takes an idle connection for a call, nil for none, and tells the address to connect to. A call on a connection that
// the endpoint has closed, or is about to close, may have run for all that is known.
func (p *endpoints) kept(ep int32, repeatable bool) (*endpointConn, string) {
	p.mu.Lock()
	defer p.unlock()
	now := p.clock.now()
	for {
		candidates := make([]reuse.Candidate, 0, len(p.idle[ep]))
		for _, c := range p.idle[ep] {
			candidates = append(candidates, reuse.Candidate{Rested: now - c.used, InStep: c.answers.InSync(), Refused: c.answers.SawNotRun()})
		}
		i := p.reuse[ep].Choose(candidates, repeatable, p.refusals.Distinct(), now)
		if i < 0 {
			return nil, p.dials[ep]
		}
		c := p.idle[ep][i]
		if !p.look(c) {
			continue
		}
		p.remove(c)
		if !p.stale(c, now) {
			return c, c.dial
		}
		p.end(c, closeIdle)
	}
}

// learnRefusal takes in a refusal on a connection that was refused something before.
func (p *endpoints) learnRefusal(alike bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusals.Read(alike)
}

// close closes a connection that carries a call.
func (p *endpoints) close(conn *endpointConn, reason closeReason) {
	p.mu.Lock()
	defer p.unlock()
	p.end(conn, reason)
}

func (p *endpoints) site(ep int32) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sites[ep]
}

// keep puts a connection back, unless idle ones would take the descriptors that clients need.
func (p *endpoints) keep(c *endpointConn, took int64) {
	p.mu.Lock()
	defer p.unlock()
	p.reuse[c.endpoint].Answered(took)
	switch {
	case c.dial != p.dials[c.endpoint]:
		p.end(c, closeMoved)
		return
	case p.idles >= p.mostIdle:
		p.end(c, closeFull)
		return
	}
	c.used, c.resting = p.clock.now(), true
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
		local.Store(errclass.Socket(err) == errclass.Transient)
		return conn, err
	}
	conn, err := dialWithRetry(ctx, dial, address)
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
