package node

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jaspersill/admission"
	"jaspersill/connreuse"
	"jaspersill/errclass"
)

const (
	idleMargin         = int64(1e9) // ns; idle connections are closed this long before the endpoint would, to allow for network delay
	idleSweepInterval  = time.Second
	responseBufferSize = 4096 // read buffer of a connection, in bytes: a response is a few lines
)

// endpointPool holds the connections to all endpoints. A connection carries one call at a time.
type endpointPool struct {
	clock       clock
	journal     *journal
	dial        dialFunc
	admission   admission.Controller
	idleTimeout int64 // ns after which an endpoint closes an idle connection, 0 if it does not
	maxIdle     int   // idle connections to all endpoints together

	activeCalls atomic.Int32

	mu              sync.Mutex
	zones           []string // by endpoint
	names           []string
	reuse           []connreuse.EndpointStats
	refusals        connreuse.RefusalStats
	callsByEndpoint []int             // by endpoint, calls that refer to its index
	idle            [][]*endpointConn // by endpoint, the most recently used last
	idleCount       int
	unconfirmed     int          // tracked outcomes that are not settled yet
	toSettle        []settlement // outcomes decided while the lock is held, settled after it is released
}

// updateEndpoint sets the name, zone and address of an endpoint. If the address changed, it closes the idle connections
// to the previous one.
func (p *endpointPool) updateEndpoint(ep int32, name, zone, address string) {
	p.mu.Lock()
	defer p.unlockAndSettle()
	for int(ep) >= len(p.zones) {
		p.zones, p.names = append(p.zones, ""), append(p.names, "")
		p.idle, p.callsByEndpoint, p.reuse = append(p.idle, nil), append(p.callsByEndpoint, 0), append(p.reuse, connreuse.EndpointStats{})
	}
	if p.names[ep], p.zones[ep] = name, zone; p.admission.SetAddress(ep, address) {
		p.closeIdleLocked(ep, closeMoved)
	}
}

// callStarted counts a call that refers to the endpoint's index until callFinished.
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

// release clears the slot of a removed endpoint so that its index can be reused. It returns false while a call is in
// flight, since that call's response or connection would be attributed to the next endpoint with this index.
func (p *endpointPool) release(ep int32) bool {
	p.mu.Lock()
	defer p.unlockAndSettle()
	if p.callsByEndpoint[ep] > 0 {
		return false
	}
	p.closeIdleLocked(ep, closeMoved)
	p.admission.Forget(ep)
	p.zones[ep], p.names[ep], p.reuse[ep] = "", "", connreuse.EndpointStats{}
	return true
}

func (p *endpointPool) closeIdle(ep int32) {
	p.mu.Lock()
	defer p.unlockAndSettle()
	p.closeIdleLocked(ep, closePolicy)
}

// closeIdleLocked closes the idle connections to an endpoint. The caller holds p.mu.
func (p *endpointPool) closeIdleLocked(ep int32, reason closeReason) {
	for _, c := range slices.Clone(p.idle[ep]) {
		if p.checkIdle(c) {
			p.removeIdle(c)
			p.closeLocked(c, reason)
		}
	}
}

// removeIdle removes a connection from the idle ones. The caller holds p.mu.
func (p *endpointPool) removeIdle(conn *endpointConn) {
	list := p.idle[conn.endpoint]
	if i := slices.Index(list, conn); i >= 0 {
		p.idle[conn.endpoint] = slices.Delete(list, i, i+1)
		p.idleCount--
	}
	conn.idle = false
}

// closeExpired closes the idle connections that the endpoint is about to close, and those that it has closed or written
// to.
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

// takeIdle returns an idle connection for a call, with how long it must pause before it carries one, or nil, and the
// address to connect to. It does not return one that the endpoint has closed or is about to close: whether a call on such
// a connection has run would be unknown. repeatable tells whether all events of the call may be sent again after an attempt
// that may have run.
func (p *endpointPool) takeIdle(ep int32, repeatable bool) (conn *endpointConn, pause int64, address string) {
	p.mu.Lock()
	defer p.unlockAndSettle()
	now := p.clock.now()
	for {
		candidates := make([]connreuse.Candidate, 0, len(p.idle[ep]))
		for _, c := range p.idle[ep] {
			candidates = append(candidates, connreuse.Candidate{IdleTime: now - c.lastUsedAt, InSync: c.responses.InSync(),
				RefusedBefore: c.responses.SawNotRun(), Awaited: c.awaitsSettlement()})
		}
		i := p.reuse[ep].Choose(candidates, repeatable, p.refusals.Distinguishable(), now)
		if i < 0 {
			return nil, 0, p.admission.Address(ep)
		}
		c := p.idle[ep][i]
		if !p.checkIdle(c) {
			continue
		}
		p.removeIdle(c)
		if !p.idleExpired(c, now) {
			return c, p.reuse[ep].ReusePause() - (now - c.lastUsedAt), c.address
		}
		p.closeLocked(c, closeIdle)
	}
}

// checkTaken reports whether a connection that was taken for a call and has paused can carry it. Otherwise it is closed.
func (p *endpointPool) checkTaken(conn *endpointConn) (usable bool) {
	p.mu.Lock()
	defer p.unlockAndSettle()
	state := inspectIdleConn(conn)
	if state != idleConnOpen {
		p.closeLocked(conn, state.closeReason())
	}
	return state == idleConnOpen
}

// recordRefusal updates the refusal statistics with a refusal on a connection that had carried one before. alike tells
// whether the two look alike, so that the later one may be a copy.
func (p *endpointPool) recordRefusal(alike bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusals.Record(alike)
}

// recordDelivery records how long a call took whose response certainly was its own and says that its event was delivered.
func (p *endpointPool) recordDelivery(ep int32, took int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuse[ep].RecordDelivery(took)
}

// closeConn closes a connection that carries a call.
func (p *endpointPool) closeConn(conn *endpointConn, reason closeReason) {
	p.mu.Lock()
	defer p.unlockAndSettle()
	p.closeLocked(conn, reason)
}

// idleConnCount returns the number of idle connections to all endpoints.
func (p *endpointPool) idleConnCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleCount
}

func (p *endpointPool) zone(ep int32) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.zones[ep]
}

// putIdle returns a connection to the pool after a call of the given duration.
func (p *endpointPool) putIdle(c *endpointConn, duration int64) {
	p.mu.Lock()
	defer p.unlockAndSettle()
	p.reuse[c.endpoint].RecordAnswer(duration)
	c.lastUsedAt = p.clock.now()
	p.addIdle(c)
}

// returnUnused returns a connection to the pool that was taken or opened for a call of which nothing was sent.
func (p *endpointPool) returnUnused(c *endpointConn) {
	p.mu.Lock()
	defer p.unlockAndSettle()
	if c.callCount == 0 {
		c.lastUsedAt = p.clock.now()
	}
	p.addIdle(c)
}

// addIdle adds a connection to the idle ones, in the order of their last use. It is closed instead if the endpoint has moved,
// or if the pool is full: more idle connections would take the file descriptors that clients need. The caller holds p.mu.
func (p *endpointPool) addIdle(c *endpointConn) {
	switch {
	case c.address != p.admission.Address(c.endpoint):
		p.closeLocked(c, closeMoved)
		return
	case p.idleCount >= p.maxIdle:
		p.closeLocked(c, closeFull)
		return
	}
	list := p.idle[c.endpoint]
	i := len(list)
	for i > 0 && list[i-1].lastUsedAt > c.lastUsedAt {
		i--
	}
	c.idle = true
	p.idle[c.endpoint] = slices.Insert(list, i, c)
	p.idleCount++
}

// connect opens a connection. While connecting fails for a reason local to this machine, it retries until ctx ends;
// localFailure holds whether the latest try failed for such a reason.
func (p *endpointPool) connect(ctx context.Context, ep int32, address string, localFailure *atomic.Bool) (*endpointConn, error) {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := p.dial(ctx, address)
		localFailure.Store(errclass.Socket(err) == errclass.Transient)
		return conn, err
	}
	conn, err := dialWithRetry(ctx, dial, address)
	if err != nil {
		return nil, err
	}
	return newEndpointConn(conn, ep, address), nil
}

// newDialer returns a dial function with a timeout in nanoseconds; 0 means that only the call's own timeout applies.
func newDialer(timeout int64, buffers socketBuffers) dialFunc {
	d := net.Dialer{KeepAlive: -1, Timeout: time.Duration(timeout), Control: buffers.control}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
}

// sweepIdle closes expired idle connections periodically until stop is closed.
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
