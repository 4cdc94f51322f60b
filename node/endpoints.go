package node

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
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
	busy       []int     // calls that know its index
	idle       [][]*link // by endpoint, the one used last at the end
	idles      int
}

// link is a connection to an endpoint.
type link struct {
	*retryConn
	in   *replyReader
	dial string
	used int64 // when its last call ended
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
		p.drop(ep)
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

// free empties the place of an endpoint that is forgotten, for the next one. Danger: a late answer, or its
// connection, must not pass for the next one's. It tells false while a call is out.
func (p *endpoints) free(ep int32) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[ep] > 0 {
		return false
	}
	p.drop(ep)
	p.dials[ep], p.sites[ep] = "", ""
	return true
}

func (p *endpoints) closeIdle(ep int32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(ep)
}

func (p *endpoints) drop(ep int32) {
	for _, l := range p.idle[ep] {
		l.Close()
	}
	p.idles -= len(p.idle[ep])
	p.idle[ep] = nil
}

// expire closes the connections that have been idle for so long that the endpoint is about to, and those that
// it has closed or written to. Danger: what came unasked would pass for the next call's answer.
func (p *endpoints) expire(now int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for ep, list := range p.idle {
		keep := list[:0]
		for _, l := range list {
			if p.stale(l, now) || !alive(l) {
				l.Close()
				p.idles--
			} else {
				keep = append(keep, l)
			}
		}
		p.idle[ep] = keep
	}
}

func (p *endpoints) stale(l *link, now int64) bool {
	return p.idleFor > 0 && now-l.used >= max(p.idleFor-idleMargin, p.idleFor/2)
}

// kept takes the idle connection used last, nil for none, and tells the address to connect to.
func (p *endpoints) kept(ep int32) (*link, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle[ep]); n > 0; n = len(p.idle[ep]) {
		l := p.idle[ep][n-1]
		p.idle[ep] = p.idle[ep][:n-1]
		p.idles--
		// Danger: a call on a connection that the endpoint has closed may have run, for all that is known.
		if !p.stale(l, p.clock.now()) && alive(l) {
			return l, l.dial
		}
		l.Close()
	}
	return nil, p.dials[ep]
}

func (p *endpoints) site(ep int32) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sites[ep]
}

// keep puts a connection back. Danger: idle ones must not take the descriptors that clients need.
func (p *endpoints) keep(ep int32, l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.dial != p.dials[ep] || p.idles >= p.mostIdle {
		l.Close()
		return
	}
	l.used = p.clock.now()
	p.idle[ep] = append(p.idle[ep], l)
	p.idles++
}

// alive tells whether a connection stands and holds nothing unread, without waiting.
func alive(c net.Conn) bool {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	ok := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ok = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return ok && err == nil
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
func (p *endpoints) connect(ctx context.Context, address string, local *atomic.Bool) (*link, error) {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := p.dial(ctx, address)
		local.Store(errclass.Socket(err) == errclass.Momentary)
		return conn, err
	}
	conn, err := dialAgain(ctx, dial, address)
	if err != nil {
		return nil, err
	}
	return &link{retryConn: conn, in: newReplyReader(conn), dial: address}, nil
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
