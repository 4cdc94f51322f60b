package node

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jaspersill/connreuse"
	"jaspersill/errclass"
)

const (
	idleMargin         = int64(1e9) // ns by which an idle connection is closed before the endpoint would: the way there
	idleSweepInterval  = time.Second
	responseBufferSize = 4096 // bytes of a connection's read buffer: an answer is a few lines
)

// endpointPool keeps the connections to endpointPool. A connection carries one call at a time.
type endpointPool struct {
	clock       clock
	journal     *journal
	dial        dialFunc
	idleTimeout int64 // ns after which an endpoint closes an idle connection
	maxIdle     int   // idle connections in all

	activeCalls atomic.Int32 // calls

	mu              sync.Mutex
	stalledReads    map[uint32]int // by destination, answers that may have come and cannot be read for a moment
	addresses       []string       // by endpoint
	sites           []string
	names           []string
	reuse           []connreuse.EndpointStats
	refusals        connreuse.RefusalStats
	callsByEndpoint []int             // calls that know its index
	idle            [][]*endpointConn // by endpoint, the one used last at the end
	idleCount       int
	unconfirmed     int          // outcomes that are followed
	toSettle        []settlement // found out while the lock is held
}

// updateEndpoint learns where an endpoint is now; idle connections to where it was are closed.
func (p *endpointPool) updateEndpoint(ep int32, name, site, dial string) {
	p.mu.Lock()
	defer p.unlockAndSettle()
	for int(ep) >= len(p.addresses) {
		p.addresses, p.sites, p.names = append(p.addresses, ""), append(p.sites, ""), append(p.names, "")
		p.idle, p.callsByEndpoint, p.reuse = append(p.idle, nil), append(p.callsByEndpoint, 0), append(p.reuse, connreuse.EndpointStats{})
	}
	if p.names[ep], p.sites[ep] = name, site; p.addresses[ep] != dial {
		p.addresses[ep] = dial
		p.closeIdleLocked(ep, closeMoved)
	}
}

// callStarted notes a call that knows the endpoint's index, until callEnds.
func (p *endpointPool) callStarted(ep int32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callsByEndpoint[ep]++
	p.activeCalls.Add(1)
}

func (p *endpointPool) callFinished(ep int32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callsByEndpoint[ep]--
	p.activeCalls.Add(-1)
}

// release empties the place of an endpoint that is removed, for the next one. It tells false while a call is out, whose
// answer, or connection, would pass for the next one's.
func (p *endpointPool) release(ep int32) bool {
	p.mu.Lock()
	defer p.unlockAndSettle()
	if p.callsByEndpoint[ep] > 0 {
		return false
	}
	p.closeIdleLocked(ep, closeMoved)
	p.addresses[ep], p.sites[ep], p.names[ep], p.reuse[ep] = "", "", "", connreuse.EndpointStats{}
	return true
}

func (p *endpointPool) closeIdle(ep int32) {
	p.mu.Lock()
	defer p.unlockAndSettle()
	p.closeIdleLocked(ep, closePolicy)
}

// closeIdleLocked closes the idle connections to an endpoint; the lock is held.
func (p *endpointPool) closeIdleLocked(ep int32, reason closeReason) {
	list := p.idle[ep]
	p.idleCount -= len(list)
	p.idle[ep] = nil
	for _, c := range list {
		c.idle = false
		p.closeLocked(c, reason)
	}
}

// removeIdle takes a connection out of the idle ones; the lock is held.
func (p *endpointPool) removeIdle(conn *endpointConn) {
	list := p.idle[conn.endpoint]
	if i := slices.Index(list, conn); i >= 0 {
		p.idle[conn.endpoint] = slices.Delete(list, i, i+1)
		p.idleCount--
	}
	conn.idle = false
}

// closeExpired closes the connections that have been idle for so long that the endpoint is about to, and those that it has
// closed or written to.
func (p *endpointPool) closeExpired(now int64) {
	p.mu.Lock()
	defer p.unlockAndSettle()
	for ep := range p.idle {
		for _, c := range slices.Clone(p.idle[ep]) {
			if p.checkIdle(c) && p.idleExpired(c, now) {
				p.removeIdle(c)
				p.closeLocked(c, closeIdle)
			}
		}
	}
}

func (p *endpointPool) idleExpired(c *endpointConn, now int64) bool {
	return p.idleTimeout > 0 && now-c.lastUsedAt >= max(p.idleTimeout-idleMargin, p.idleTimeout/2)
}

// takeIdle takes an idle connection for a call, nil for none, and tells the address to connect to. A call on a connection that
// the endpoint has closed, or is about to close, may have run for all that is known.
func (p *endpointPool) takeIdle(ep int32, repeatable bool) (*endpointConn, string) {
	p.mu.Lock()
	defer p.unlockAndSettle()
	now := p.clock.now()
	for {
		candidates := make([]connreuse.Candidate, 0, len(p.idle[ep]))
		for _, c := range p.idle[ep] {
			candidates = append(candidates, connreuse.Candidate{IdleTime: now - c.lastUsedAt, InSync: c.responses.InSync(), RefusedBefore: c.responses.SawNotRun()})
		}
		i := p.reuse[ep].Choose(candidates, repeatable, p.refusals.Distinguishable(), now)
		if i < 0 {
			return nil, p.addresses[ep]
		}
		c := p.idle[ep][i]
		if !p.checkIdle(c) {
			continue
		}
		p.removeIdle(c)
		if !p.idleExpired(c, now) {
			return c, c.address
		}
		p.closeLocked(c, closeIdle)
	}
}

// recordRefusal takes in a refusal on a connection that was refused something before.
func (p *endpointPool) recordRefusal(alike bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusals.Record(alike)
}

// closeConn closes a connection that carries a call.
func (p *endpointPool) closeConn(conn *endpointConn, reason closeReason) {
	p.mu.Lock()
	defer p.unlockAndSettle()
	p.closeLocked(conn, reason)
}

func (p *endpointPool) site(ep int32) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sites[ep]
}

// putIdle puts a connection back, unless idle ones would take the descriptors that clients need.
func (p *endpointPool) putIdle(c *endpointConn, took int64) {
	p.mu.Lock()
	defer p.unlockAndSettle()
	p.reuse[c.endpoint].RecordAnswer(took)
	switch {
	case c.address != p.addresses[c.endpoint]:
		p.closeLocked(c, closeMoved)
		return
	case p.idleCount >= p.maxIdle:
		p.closeLocked(c, closeFull)
		return
	}
	c.lastUsedAt, c.idle = p.clock.now(), true
	p.idle[c.endpoint] = append(p.idle[c.endpoint], c)
	p.idleCount++
}

// setStalled notes that an answer of a destination cannot be read for a moment, or that it can again.
func (p *endpointPool) setStalled(dest uint32, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stalledReads == nil {
		p.stalledReads = make(map[uint32]int)
	}
	if on {
		p.stalledReads[dest]++
	} else if p.stalledReads[dest]--; p.stalledReads[dest] <= 0 {
		delete(p.stalledReads, dest)
	}
}

// stalled tells whether an answer of a destination cannot be read: it may tell to wait.
func (p *endpointPool) stalled(dest uint32) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stalledReads[dest] > 0
}

// connect opens a connection, for as long as ctx lasts. local tells meanwhile whether this machine is what keeps it
// from coming up.
func (p *endpointPool) connect(ctx context.Context, ep int32, address string, local *atomic.Bool) (*endpointConn, error) {
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

// newDialer connects for so long, 0 for no limit but the call's own.
func newDialer(within int64) dialFunc {
	d := net.Dialer{KeepAlive: -1, Timeout: time.Duration(within)}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
}

// sweepIdle closes idle connections in time, until stop.
func (p *endpointPool) sweepIdle(stop <-chan struct{}) {
	tick := time.NewTicker(idleSweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			p.closeExpired(p.clock.now())
		}
	}
}
