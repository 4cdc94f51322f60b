package soak

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"jaspersill/lab/faultproxy"
)

// assumedToldAfter is the time after which a change counts as told, whether or not it arrived.
const assumedToldAfter = 6 * time.Second

// mode is how an endpoint behaves.
type mode string

const (
	healthy     mode = "healthy"
	slow        mode = "slow"
	failing     mode = "failing"     // it answers 500
	limited     mode = "limited"     // it answers 429 with a time to wait
	hanging     mode = "hanging"     // it reads and does not answer
	resetting   mode = "resetting"   // it resets connections that have brought a request
	garbling    mode = "garbling"    // its answers cannot be read
	unavailable mode = "unavailable" // an outage: it resets, and returns cold
)

const (
	responseDelay       = 4 * time.Millisecond
	slowResponseDelay   = 300 * time.Millisecond
	retryAfter          = 800 * time.Millisecond
	endpointIdleTimeout = 4 * time.Second
	resetDelay          = 100 * time.Millisecond // a reset takes no time on loopback, but for a proxy on a busy machine
	maxCallBytes        = 1 << 20
)

// endpoint is one emulated endpoint.
type endpoint struct {
	number, dest int
	history      *history
	listener     net.Listener
	capacity     float64 // calls a second that it reports
	remote       bool    // it answers as a partner at some distance does, and refuses a share
	refusalRate  float64
	proxies      []*faultproxy.Proxy // that lead to it, by node

	mu          sync.Mutex
	mode        mode
	random      *rand.Rand
	conns       map[net.Conn]struct{}
	closed      bool
	retryWaits  map[int]retryWait // by node
	sawOutage   map[int]bool      // nodes that met the last outage
	recoveredAt time.Duration
	arrivals    []arrival // since it is back
	drains      map[int]drainNotice
}

// retryWait is a wait that a node was told, and the connection that told it: a disturbed one may not have.
type retryWait struct {
	interval
	conn *faultproxy.Connection
}

// drainNotice is when a node was told that the endpoint drains, and the connection that told it.
type drainNotice struct {
	at   time.Duration
	conn *faultproxy.Connection
}

type arrival struct {
	at   time.Duration
	node int
}

func newEndpoint(number, dest int, l *history, p *plan, random *rand.Rand) (*endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{number: number, dest: dest, history: l, listener: listener, capacity: endpointCapacity, mode: healthy,
		remote: p.remote, refusalRate: p.refusalRate,
		random: random, conns: map[net.Conn]struct{}{}, retryWaits: map[int]retryWait{}, sawOutage: map[int]bool{},
		drains: map[int]drainNotice{}}
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

// setMode sets how it behaves from now on.
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

// recordDrain notes that a node was told that the endpoint drains.
func (e *endpoint) recordDrain(node int, by *faultproxy.Connection) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if told, before := e.drains[node]; !before || told.conn.Disturbed() {
		at := e.history.now()
		if before {
			at = min(at, told.at+assumedToldAfter)
		}
		e.drains[node] = drainNotice{at, by}
	}
}

// proxyConn is the connection through a proxy that a call came on.
func (e *endpoint) proxyConn(conn net.Conn) *faultproxy.Connection {
	for _, proxy := range e.proxies {
		if c := proxy.ConnToTarget(conn.RemoteAddr()); c != nil {
			return c
		}
	}
	return nil
}

func (e *endpoint) handle(conn net.Conn) {
	defer func() {
		conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	var last []part
	for {
		conn.SetReadDeadline(time.Now().Add(endpointIdleTimeout))
		call, err := http.ReadRequest(in)
		if errors.Is(err, syscall.ECONNRESET) || (errors.Is(err, io.EOF) && wasReset(conn)) {
			e.history.recordUnreadResponses(last)
		}
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(call.Body, maxCallBytes))
		if err != nil {
			return
		}
		var open bool
		if last, open = e.handleCall(conn, in, call, body); !open {
			return
		}
	}
}

// part is one request of a call, and which of its attempts it is.
type part struct {
	request *request
	attempt int
}

// requestIDs are the requests that a call carries.
func requestIDs(call *http.Request, body []byte) (list []string) {
	if !strings.HasSuffix(call.URL.Path, "/bulk") {
		return []string{call.Header.Get("Req-Id")}
	}
	for len(body) > 0 {
		line, rest, _ := bytes.Cut(body, []byte("\r\n"))
		words := strings.Fields(string(line))
		if len(words) != 3 {
			return list
		}
		size, err := strconv.Atoi(words[2])
		if err != nil || size+2 > len(rest) {
			return list
		}
		list = append(list, words[0])
		body = rest[size+2:]
	}
	return list
}

// handleCall plays one call. It tells what was delivered, and whether the connection stays open.
func (e *endpoint) handleCall(conn net.Conn, in *bufio.Reader, call *http.Request, body []byte) (delivered []part, open bool) {
	var parts []part
	path := e.proxyConn(conn)
	for _, id := range requestIDs(call, body) {
		r := e.history.recordAttempt(id, e.number, path)
		if r == nil {
			fmt.Fprint(conn, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
			return nil, false
		}
		parts = append(parts, part{r, e.history.attemptCount(r) - 1})
	}
	note := func(outcome string, ran, delivered bool) {
		for _, p := range parts {
			e.history.recordOutcome(p.request, p.attempt, outcome, ran, delivered)
		}
	}
	if len(parts) == 0 {
		return nil, false
	}
	node := parts[0].request.node
	m, delay, refused := e.admit(node, path)
	report := fmt.Sprintf("Srv-Load: x0=0.5,x1=%g\r\n", e.capacity)
	switch m {
	case failing:
		note("500", true, false)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 500 Error\r\n%sContent-Length: 0\r\n\r\n", report)
		return nil, err == nil
	case limited:
		note("429", false, false)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 429 Wait\r\n%sRetry-After: %.3f\r\nContent-Length: 0\r\n\r\n", report,
			retryAfter.Seconds())
		e.recordRetryAfter(node, path)
		return nil, err == nil
	case hanging:
		note("hangs", true, false)
		conn.SetReadDeadline(time.Time{})
		io.Copy(io.Discard, conn)
		return nil, false
	case resetting, unavailable:
		note("reset", true, false)
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		return nil, false
	case garbling:
		note("garbled", true, false)
		io.WriteString(conn, "HTTP/1.1 2\x00\x01\r\nContent-Length: 9999999\r\n\r\n?")
		return nil, false
	}
	if refused {
		time.Sleep(delay)
		note("503", false, false)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\n%sContent-Length: 0\r\n\r\n", report)
		return nil, err == nil
	}
	note("runs", true, false)
	time.Sleep(delay)
	if !isOpen(conn, in) {
		note("given up by the node", true, false)
		return nil, false
	}
	lines := ""
	if strings.HasSuffix(call.URL.Path, "/bulk") {
		for _, p := range parts {
			lines += p.request.id + " done\r\n"
		}
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", report, len(lines), lines)
	note("200", true, err == nil)
	return parts, err == nil
}

// isOpen tells whether the other side still holds a connection open. It may have sent its next call already, if it took
// another answer for that to this one.
func isOpen(conn net.Conn, in *bufio.Reader) (open bool) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	if in.Buffered() > 0 {
		return true
	}
	raw.Control(func(descriptor uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN) || n > 0
	})
	return open
}

// wasReset tells whether the last answer on a connection that the other side has ended came back unread: it had ended
// the connection before.
func wasReset(conn net.Conn) (unread bool) {
	time.Sleep(resetDelay)
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(descriptor uintptr) {
		code, err := unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_ERROR)
		unread = err == nil && code != 0
	})
	return unread
}

func (e *endpoint) recordRetryAfter(node int, by *faultproxy.Connection) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.history.now()
	before := e.retryWaits[node]
	if before.conn.Disturbed() {
		before = retryWait{}
	}
	e.retryWaits[node] = retryWait{interval{now, max(now+retryAfter, before.to)}, by}
}

// admit holds a call to the rules on draining, waiting and slow start, and tells how it is to be answered. A call on a
// disturbed connection may have been held on its way, so when it left is not known.
func (e *endpoint) admit(node int, path *faultproxy.Connection) (m mode, delay time.Duration, refused bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.history.now()
	if !path.Disturbed() {
		e.checkArrival(node, now)
	}
	if e.mode == unavailable {
		e.sawOutage[node] = true
	} else if e.recoveredAt > 0 && now < e.recoveredAt+rampTime {
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

// checkArrival holds a call to the rules on draining and waiting; the lock is held.
func (e *endpoint) checkArrival(node int, now time.Duration) {
	if told, drains := e.drains[node]; drains {
		at := told.at
		if told.conn.Disturbed() {
			at += assumedToldAfter
		}
		if now > at+drainGrace+socketGrace+processingGrace {
			e.history.addViolation(RuleDrain, "node %d sent to endpoint %d %v after it was told that it drains", node, e.number, now-at)
		}
	}
	if w, told := e.retryWaits[node]; told && !w.conn.Disturbed() && now > w.from+retryAfterGrace && now < w.to-socketGrace {
		e.history.addViolation(RuleRetryAfter, "node %d sent to endpoint %d %v before the wait that it was told is over", node, e.number,
			w.to-now)
	}
}

// checkSlowStart holds the calls of the rule's window to what an endpoint that returns cold can do then, which grows until
// it is warm; the lock is held.
func (e *endpoint) checkSlowStart(now time.Duration) {
	middle := max(0, now-fallAfter/2-e.recoveredAt)
	share := coldShare + (1-coldShare)*middle.Seconds()/rampTime.Seconds()
	n := fallMultiple * share * e.capacity * fallAfter.Seconds()
	most := n + 2*math.Sqrt(n) + 2
	if n < 30 {
		most = n + 3*math.Sqrt(n) + 3
	}
	calls, informed := 0, 0
	for _, a := range e.arrivals {
		if now-a.at < fallAfter {
			calls++
			if e.sawOutage[a.node] {
				informed++
			}
		}
	}
	if float64(calls) > most && informed*3 > calls*2 {
		e.history.addViolation(RuleSlowStart, "endpoint %d, back for %v, got %d calls in %v, %d of nodes that met its outage: at most %.0f",
			e.number, now-e.recoveredAt, calls, fallAfter, informed, most)
		e.recoveredAt = 0
	}
}

// forgetNode drops the wait that a process was told: a restart ends it.
func (e *endpoint) forgetNode(node int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.retryWaits, node)
	delete(e.sawOutage, node)
}
