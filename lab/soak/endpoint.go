package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"jaspersill/lab/faultproxy"
)

// assumedInformedAfter is the time after which a node counts as informed of a change, even if every message that
// announced it was disturbed.
const assumedInformedAfter = 6 * time.Second

// mode is the behavior of an endpoint.
type mode string

const (
	healthy     mode = "healthy"
	slow        mode = "slow"
	failing     mode = "failing"     // answers 500
	limited     mode = "limited"     // answers 429 with a Retry-After header
	hanging     mode = "hanging"     // reads and never answers
	resetting   mode = "resetting"   // resets each connection on its next request
	garbling    mode = "garbling"    // sends malformed responses
	unavailable mode = "unavailable" // an outage: resets connections, and needs a slow start afterwards
)

const (
	responseDelay       = 4 * time.Millisecond
	slowResponseDelay   = 300 * time.Millisecond
	retryAfter          = 800 * time.Millisecond
	endpointIdleTimeout = 4 * time.Second
	resetDelay          = 100 * time.Millisecond // immediate on loopback, except through a proxy on a busy machine
	maxCallBytes        = 1 << 20
)

// endpoint is one emulated endpoint.
type endpoint struct {
	number, dest int
	history      *history
	listener     net.Listener
	capacity     float64 // reported in Srv-Load, calls per second
	hangs        *hangs
	endings      *endings
	callFaults   *callFaults
	remote       bool // answers with the latency of a remote host, and refuses a share of the calls
	refusalRate  float64
	proxies      []*faultproxy.Proxy // leading to this endpoint, by node

	mu          sync.Mutex
	mode        mode
	hangNext    bool // the endpoint hangs under the next call
	random      *rand.Rand
	conns       map[net.Conn]struct{}
	closed      bool
	retryWaits  map[int]retryWait // by node
	sawOutage   map[int]bool      // nodes that sent calls during the last outage
	recoveredAt time.Duration
	arrivals    []arrival          // calls since recoveredAt
	drains      map[int]listNotice // by node
	process     identity
	generation  int                // number of the process, from 0
	told        map[int]listNotice // by node, of the first list with the present process
	toldBefore  map[int]listNotice // the same with the process before
}

// retryWait is a Retry-After sent to a node, and the connection that carried it. On a disturbed connection it may not
// have arrived.
type retryWait struct {
	interval
	conn *faultproxy.Connection
}

// listNotice is when a node was sent a list that tells of an endpoint, and the connection that carried it.
type listNotice struct {
	at   time.Duration
	conn *faultproxy.Connection
}

type arrival struct {
	at   time.Duration
	node int
}

func newEndpoint(number, dest int, h *history, p *plan, random *rand.Rand) (*endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{number: number, dest: dest, history: h, listener: listener, capacity: p.capacity, mode: healthy,
		remote: p.remote, refusalRate: p.refusalRate, hangs: p.hangs, endings: p.endings, callFaults: p.callFaults,
		random: random, conns: map[net.Conn]struct{}{}, retryWaits: map[int]retryWait{}, sawOutage: map[int]bool{},
		drains: map[int]listNotice{}, process: identity{host: fmt.Sprintf("e%d", number), dest: dest}, told: map[int]listNotice{}}
	go e.serve()
	return e, nil
}

func (e *endpoint) address() string { return e.listener.Addr().String() }

func (e *endpoint) serve() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = struct{}{}
		e.mu.Unlock()
		e.history.count("connections to endpoints")
		go e.handle(conn)
	}
}

func (e *endpoint) close() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for conn := range e.conns {
		conn.Close()
	}
}

// setMode changes the endpoint's behavior and resets the slow-start check at the start and end of an outage.
func (e *endpoint) setMode(m mode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.history.now()
	if m == unavailable && e.mode != unavailable {
		e.sawOutage, e.recoveredAt, e.arrivals = map[int]bool{}, 0, nil
	}
	if m != unavailable && e.mode == unavailable {
		e.recoveredAt, e.arrivals = now, nil
	}
	e.mode = m
}

// recordDrain records that a node was informed that the endpoint is draining.
func (e *endpoint) recordDrain(node int, conn *faultproxy.Connection) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if notice, informed := e.drains[node]; !informed || notice.conn.Disturbed() {
		at := e.history.now()
		if informed {
			at = min(at, notice.at+assumedInformedAfter)
		}
		e.drains[node] = listNotice{at, conn}
	}
}

// proxyConn finds the proxied connection that an accepted connection belongs to, and its node. It returns nil if there is none.
func (e *endpoint) proxyConn(conn net.Conn) (node int, proxied *faultproxy.Connection) {
	for node, proxy := range e.proxies {
		if c := proxy.ConnToTarget(conn.RemoteAddr()); c != nil {
			return node, c
		}
	}
	return 0, nil
}

func (e *endpoint) handle(conn net.Conn) {
	use := connUse{ended: new(atomic.Bool), calls: new(atomic.Int32)}
	endedByNode := false
	defer func() {
		use.ended.Store(!endedByNode)
		conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	var last []part
	for ; ; use.reused = true {
		conn.SetReadDeadline(time.Now().Add(endpointIdleTimeout))
		call, err := http.ReadRequest(in)
		if errors.Is(err, syscall.ECONNRESET) || (errors.Is(err, io.EOF) && wasReset(conn)) {
			e.history.recordUnreadResponses(last)
		}
		if err != nil {
			endedByNode = errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
			return
		}
		body, err := io.ReadAll(io.LimitReader(call.Body, maxCallBytes))
		if err != nil {
			return
		}
		var open bool
		use.number = int(use.calls.Add(1))
		if last, open = e.handleCall(&incomingCall{request: call, body: body, conn: conn, unread: in}, use); !open {
			return
		}
	}
}

func (e *endpoint) recordRetryAfter(node int, conn *faultproxy.Connection) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.history.now()
	before := e.retryWaits[node]
	if before.conn.Disturbed() {
		before = retryWait{}
	}
	e.retryWaits[node] = retryWait{interval{now, max(now+retryAfter, before.to)}, conn}
}

// admit checks a call against the rules on draining, Retry-After, slow start and the place, and decides how to answer it. A call
// on a disturbed connection is not checked against the first two, because the proxy may have held it back and its send
// time is unknown.
func (e *endpoint) admit(r *request, conn *faultproxy.Connection) (m mode, delay time.Duration, refused bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, node := e.history.now(), r.node
	if !conn.Disturbed() {
		e.checkArrival(node, now)
		e.checkProcess(r, now)
	}
	if e.mode == unavailable {
		e.sawOutage[node] = true
	} else if e.recoveredAt > 0 && now < e.recoveredAt+warmupTime {
		e.arrivals = append(e.arrivals, arrival{now, node})
		e.checkSlowStart(now)
	}
	delay = responseDelay + time.Duration(e.random.Int64N(int64(responseDelay)))
	if e.remote {
		delay = remoteResponseDelay + time.Duration(e.random.Int64N(int64(remoteResponseJitter)))
		refused = e.random.Float64() < e.refusalRate
	}
	if e.mode == slow {
		delay += slowResponseDelay
	}
	return e.mode, delay, refused
}

// checkArrival checks a call against the rules on draining and Retry-After. The caller holds e.mu.
func (e *endpoint) checkArrival(node int, now time.Duration) {
	if notice, informed := e.drains[node]; informed {
		at := notice.at
		if notice.conn.Disturbed() {
			at += assumedInformedAfter
		}
		if now > at+drainGrace+socketGrace+processingGrace {
			e.history.addViolation(RuleDrain, "node %d sent to endpoint %d %v after being informed that it is draining", node,
				e.number, now-at)
		}
	}
	if wait, told := e.retryWaits[node]; told && !wait.conn.Disturbed() && now > wait.from+retryAfterGrace &&
		now < wait.to-socketGrace {
		e.history.addViolation(RuleRetryAfter, "node %d sent to endpoint %d %v before its Retry-After had passed", node, e.number,
			wait.to-now)
	}
}

// checkSlowStart checks the number of calls within fallAfter against the limit for an endpoint that recovers from an
// outage, which grows from coldShare of its capacity until rampTime has passed. The limit allows for random arrivals by
// two standard deviations and two calls, or three of each for small numbers. It is a violation only if more than two
// thirds of the calls came from nodes that saw the outage. The caller holds e.mu.
func (e *endpoint) checkSlowStart(now time.Duration) {
	middle := max(0, now-overloadAfter/2-e.recoveredAt)
	share := coldShare + (1-coldShare)*middle.Seconds()/warmupTime.Seconds()
	n := overloadFactor * share * e.capacity * overloadAfter.Seconds()
	limit := n + 2*math.Sqrt(n) + 2
	if n < 30 {
		limit = n + 3*math.Sqrt(n) + 3
	}
	calls, sawOutage := 0, 0
	for _, a := range e.arrivals {
		if now-a.at < overloadAfter {
			calls++
			if e.sawOutage[a.node] {
				sawOutage++
			}
		}
	}
	if float64(calls) > limit && sawOutage*3 > calls*2 {
		e.history.addViolation(RuleSlowStart, "endpoint %d, recovered %v ago, got %d calls in %v, %d of them from nodes that "+
			"saw its outage: limit %.0f", e.number, now-e.recoveredAt, calls, overloadAfter, sawOutage, limit)
		e.recoveredAt = 0
	}
}

// forgetNode drops what a node learned from this endpoint's responses, because a restart loses it.
func (e *endpoint) forgetNode(node int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.retryWaits, node)
	delete(e.sawOutage, node)
	e.recordRestart(node)
}
