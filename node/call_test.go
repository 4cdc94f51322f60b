package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"jaspersill/admission"
	"jaspersill/delivery"
	"jaspersill/lifecycle"
)

const (
	ms          = int64(1e6)
	testTimeout = 20 * time.Second // for things that must happen; far longer than they take on any machine
)

// testEndpoint is an HTTP endpoint that passes each call it reads to a handler. The handler writes the response, and
// returns false to close the connection.
type testEndpoint struct {
	net.Listener
	mu             sync.Mutex
	requestHeaders []string // of the calls received
	connCount      int
	disconnected   chan struct{} // receives a value for each connection closed by the remote side
}

func newTestEndpoint(t *testing.T, handle func(conn net.Conn, body string) bool) *testEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	e := &testEndpoint{Listener: l, disconnected: make(chan struct{}, 100)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.connCount++
			e.mu.Unlock()
			go e.serve(conn, handle)
		}
	}()
	return e
}

func (e *testEndpoint) serve(conn net.Conn, handle func(net.Conn, string) bool) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		var req fasthttp.Request
		if err := req.Read(in); err != nil {
			e.disconnected <- struct{}{}
			return
		}
		e.mu.Lock()
		e.requestHeaders = append(e.requestHeaders, req.Header.String())
		e.mu.Unlock()
		if !handle(conn, string(req.Body())) {
			return
		}
	}
}

func (e *testEndpoint) counts() (calls, conns int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requestHeaders), e.connCount
}

func respond(text string) func(net.Conn, string) bool {
	return func(conn net.Conn, _ string) bool {
		io.WriteString(conn, text)
		return true
	}
}

// respondAndReset returns a handler that writes text and resets the connection.
func respondAndReset(text string) func(net.Conn, string) bool {
	return func(conn net.Conn, _ string) bool {
		io.WriteString(conn, text)
		time.Sleep(20 * time.Millisecond) // a reset discards data that was not read yet
		conn.(*net.TCPConn).SetLinger(0)
		return false
	}
}

func noResponse(conn net.Conn, _ string) bool { return true }

func newTestPool(t *testing.T, address string) *endpointPool {
	t.Helper()
	j, _ := reopenJournal(t, t.TempDir(), 3)
	t.Cleanup(j.close)
	p := &endpointPool{clock: clock{start: time.Now()}, journal: j, dial: newDialer(500*ms, socketBuffers{}),
		idleTimeout: 15000 * ms, maxIdle: 10}
	p.updateEndpoint(0, "e0", "zone", address)
	p.admission.List(0, admission.Listing{Ready: true})
	return p
}

func newTestAttempt(t *testing.T, c *call, id string, timeout time.Duration) *attempt {
	t.Helper()
	e := &event{id: id, idempotencyKey: "mark", body: []byte("a\r\nb"), monoDeadline: math.MaxInt64, updates: make(chan eventUpdate, updateBuffer)}
	e.request = lifecycle.RestoreRequest(id, e.monoDeadline, true, false)
	if err := c.pool.journal.accept(e, "alert", ""); err != nil {
		t.Fatal(err)
	}
	return &attempt{event: e, timeout: int64(timeout), startedAt: c.pool.clock.now(), call: c}
}

// executeCall makes one call with an event for each timeout and returns the results.
func executeCall(t *testing.T, p *endpointPool, timeouts ...time.Duration) (results []result, c *call) {
	t.Helper()
	c = &call{pool: p}
	for i, timeout := range timeouts {
		c.attempts = append(c.attempts, newTestAttempt(t, c, fmt.Sprintf("id%d-%d", i, p.clock.now()), timeout))
	}
	go p.execute(c)
	for _, a := range c.attempts {
		results = append(results, awaitResult(t, a))
	}
	return results, c
}

func awaitResult(t *testing.T, a *attempt) result {
	t.Helper()
	select {
	case update := <-a.event.updates:
		return update.result
	case <-time.After(testTimeout):
		t.Fatal("attempt did not finish")
		return result{}
	}
}

func httpResponse(status, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

func TestAttemptOutcomeByResponse(t *testing.T) {
	for _, c := range []struct {
		name   string
		handle func(net.Conn, string) bool
		want   result
	}{
		{"200", respond(httpResponse("200 OK", "Srv-Load: x0=0.4,x1=25\r\n", "any")),
			result{outcome: delivery.Acked, final: true, freeShare: 0.4, rateLimit: 25}},
		{"500", respond(httpResponse("500 Error", "", "")), result{outcome: delivery.Errored}},
		{"429", respond(httpResponse("429 Full", "Retry-After: 1.5\r\nSrv-Load: x0=0,x1=3\r\n", "")),
			result{outcome: delivery.Refused, retryAfter: 1500 * ms, rateLimit: 3}},
		{"503", respond(httpResponse("503 Shut", "", "")), result{outcome: delivery.Refused}},
		{"503 with X-No-Slot", respond(httpResponse("503 Shut", "X-No-Slot: 1\r\n", "")), result{outcome: delivery.Unsent}},
		{"504", respond(httpResponse("504 Used up", "", "")), result{outcome: delivery.Unsent}},
		{"410", respond(httpResponse("410 Over", "", "")), result{outcome: delivery.Unsent, final: true}},
		{"unknown status", respond(httpResponse("418 Teapot", "", "")), result{outcome: delivery.Errored}},
		{"invalid numbers in headers", respond(httpResponse("429 Full", "Retry-After: soon\r\nSrv-Load: x0=,x1=3\r\n", "")),
			result{outcome: delivery.Refused}},
		{"not HTTP", respond("hello\r\n\r\n"), result{outcome: delivery.Unreadable}},
		{"not HTTP and no line end", respond("\x00\xff\x17"), result{outcome: delivery.Unreadable}},
		{"incomplete header", respond("HTTP/1.1 500 Error\r\nA: b\r\n"), result{outcome: delivery.Unreadable}},
		{"oversized header", respond("HTTP/1.1 500 Error\r\n" + strings.Repeat("A: b\r\n", 9000)),
			result{outcome: delivery.Unreadable}},
		{"negative Content-Length", respond("HTTP/1.1 429 Full\r\nContent-Length: -4\r\n\r\n"), result{outcome: delivery.Unreadable}},
		{"body shorter than Content-Length", respond("HTTP/1.1 503 Shut\r\nContent-Length: 44\r\n\r\nabc"),
			result{outcome: delivery.Unreadable}},
		{"Content-Length of 3 GB", respond("HTTP/1.1 500 Error\r\nContent-Length: 3000000000\r\n\r\n" +
			strings.Repeat("x", 1<<20)), result{outcome: delivery.Unreadable}},
		{"200 with Content-Length of 3 GB", respond("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" +
			strings.Repeat("x", 1<<20)), result{outcome: delivery.Acked, final: true}},
		{"200 with incomplete header", respond("HTTP/1.1 200 OK\r\nA: b\r\n"), result{outcome: delivery.Acked, final: true}},
		{"200 with malformed header after a 100", respond("HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 OK\r\n\x00\r\n\r\n"),
			result{outcome: delivery.Acked, final: true}},
		{"status 2000", respond("HTTP/1.1 2000 OK\r\n\x00\r\n\r\n"), result{outcome: delivery.Unreadable}},
		{"interim responses before the final one", respond("HTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 101 Other\r\n\r\n" +
			httpResponse("429 Full", "Retry-After: 1\r\n", "")), result{outcome: delivery.Refused, retryAfter: 1000 * ms}},
		{"Retry-After in a malformed header", respond("HTTP/1.1 429 Full\r\nretry-after: 0.5\r\n\x00\xff\r\n\r\n"),
			result{outcome: delivery.Unreadable, retryAfter: 500 * ms}},
		{"Retry-After before an incomplete body", respond("HTTP/1.1 429 Full\r\nRetry-After: 0.5\r\n" +
			"Content-Length: 44\r\n\r\nabc"), result{outcome: delivery.Unreadable, retryAfter: 500 * ms}},
		{"reset after Retry-After", respondAndReset("HTTP/1.1 503 Shut\r\nRetry-After: 0.5\r\nA"),
			result{outcome: delivery.Reset, retryAfter: 500 * ms}},
		{"reset within Retry-After", respondAndReset("HTTP/1.1 503 Shut\r\nRetry-After: 0.5"), result{outcome: delivery.Reset}},
		{"reset before the response", respondAndReset(""), result{outcome: delivery.Reset}},
		{"closed before the response", func(net.Conn, string) bool { return false }, result{outcome: delivery.Reset}},
		{"reset within the status line", respondAndReset("HTTP/1.1 500 Err"), result{outcome: delivery.Reset}},
		{"reset after the status line of a 200", respondAndReset("HTTP/1.1 200 OK\r\nContent-Le"),
			result{outcome: delivery.Acked, final: true}},
		{"reset within the status line of a 200", respondAndReset("HTTP/1.1 200 O"), result{outcome: delivery.Reset}},
		{"reset in the body of a 200", respondAndReset("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"),
			result{outcome: delivery.Acked, final: true}},
		{"no response", noResponse, result{outcome: delivery.TimedOut}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			endpoint := newTestEndpoint(t, c.handle)
			p := newTestPool(t, endpoint.Addr().String())
			timeout := testTimeout
			if c.want.outcome == delivery.TimedOut {
				timeout = 80 * time.Millisecond
			}
			results, _ := executeCall(t, p, timeout)
			if results[0].duration <= 0 {
				t.Errorf("duration %d ns, want more than 0", results[0].duration)
			}
			if results[0].duration = 0; results[0] != c.want {
				t.Errorf("got %+v, want %+v", results[0], c.want)
			}
			if c.want.outcome == delivery.TimedOut { // an abandoned call closes its connection
				select {
				case <-endpoint.disconnected:
				case <-time.After(testTimeout):
					t.Error("the connection of an abandoned call is still open")
				}
			}
			if calls, _ := endpoint.counts(); calls != 1 {
				t.Errorf("the endpoint received %d calls, want 1: a failed call must not be repeated", calls)
			}
		})
	}
}

func TestAttemptsNeverSent(t *testing.T) {
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	closedAddress := l.Addr().String()
	l.Close()
	if results, _ := executeCall(t, newTestPool(t, closedAddress), testTimeout); results[0].outcome != delivery.ConnectFailed {
		t.Errorf("connection refused: %+v, want connect failed", results[0])
	}
	endpoint := newTestEndpoint(t, respond(httpResponse("200 OK", "", "")))
	p := newTestPool(t, endpoint.Addr().String())
	c := &call{pool: p}
	e := &event{id: "x", monoDeadline: math.MaxInt64, updates: make(chan eventUpdate, updateBuffer)}
	e.request = lifecycle.RestoreRequest(e.id, e.monoDeadline, true, false)
	a := &attempt{event: e, timeout: int64(testTimeout), startedAt: p.clock.now(), call: c}
	c.attempts = []*attempt{a}
	p.execute(c) // the event is not in the journal, so it counts as completed
	if r := awaitResult(t, a); r.outcome != delivery.Unsent {
		t.Errorf("attempt of a completed event: %+v", r)
	}
	if err := p.journal.accept(e, "alert", ""); err != nil {
		t.Fatal(err)
	}
	c = &call{pool: p}
	c.attempts = []*attempt{{event: e, timeout: int64(testTimeout), startedAt: p.clock.now(), call: c}}
	c.abandon(delivery.Cancelled)
	p.execute(c)
	if r := awaitResult(t, c.attempts[0]); r.outcome != delivery.Unsent {
		t.Errorf("attempt cancelled before it was sent: %+v", r)
	}
	if calls, _ := endpoint.counts(); calls != 0 {
		t.Errorf("%d calls reached the endpoint, want none", calls)
	}
}

func TestPartiallyWrittenCallCountsAsNotRun(t *testing.T) {
	setSmallBuffer := func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) }
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return raw.Control(setSmallBuffer) }}
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() // connections to it are never accepted or read
	p := newTestPool(t, l.Addr().String())
	c := &call{pool: p}
	for i, body := range []int{40 << 20, 10} {
		a := newTestAttempt(t, c, fmt.Sprint("id", i), testTimeout)
		a.event.body = make([]byte, body)
		c.attempts = append(c.attempts, a)
	}
	go p.execute(c)
	(&testEnv{t: t}).waitFor("the call is being written", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.progress == progressWriting
	})
	c.abandon(delivery.TimedOut)
	c.abandon(delivery.Cancelled)
	a, b := awaitResult(t, c.attempts[0]), awaitResult(t, c.attempts[1])
	if a.outcome != delivery.ConnectFailed || b.outcome != delivery.ConnectFailed {
		t.Errorf("abandoned while being written: %+v %+v", a, b)
	}
}

// delayDial makes the pool's dials wait until up is closed. The returned channel receives a value when a dial begins.
func delayDial(t *testing.T, p *endpointPool, up <-chan struct{}) (dialing <-chan struct{}) {
	started := make(chan struct{}, 10)
	dial := p.dial
	p.dial = func(ctx context.Context, address string) (net.Conn, error) {
		started <- struct{}{}
		select {
		case <-up:
			return dial(ctx, address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return started
}

func TestRecallWhileConnectingPreventsSend(t *testing.T) {
	endpoint := newTestEndpoint(t, respond(httpResponse("200 OK", "", "")))
	p, up, folder := newTestPool(t, endpoint.Addr().String()), make(chan struct{}), t.TempDir()
	p.journal, _ = reopenJournal(t, folder, 3)
	dialing := delayDial(t, p, up)
	c := &call{pool: p}
	c.attempts = []*attempt{newTestAttempt(t, c, "a", testTimeout), newTestAttempt(t, c, "b", testTimeout)}
	go p.execute(c)
	<-dialing
	a, b := c.attempts[0], c.attempts[1]
	c.recall(a)
	if r := awaitResult(t, a); r.outcome != delivery.Unsent {
		t.Errorf("recalled: %+v", r)
	}
	close(up)
	if r := awaitResult(t, b); r.outcome != delivery.Acked {
		t.Errorf("the other attempt of the call: %+v", r)
	}
	secondPool := newTestPool(t, endpoint.Addr().String()) // then a call whose only attempt is recalled
	up = make(chan struct{})
	dialing = delayDial(t, secondPool, up)
	c = &call{pool: secondPool}
	c.attempts = []*attempt{newTestAttempt(t, c, "c", testTimeout)}
	go secondPool.execute(c)
	<-dialing
	only := c.attempts[0]
	c.recall(only)
	if r := awaitResult(t, only); r.outcome != delivery.Unsent {
		t.Errorf("recalled: %+v", r)
	}
	close(up)
	if calls, _ := endpoint.counts(); calls != 1 {
		t.Errorf("%d calls reached the endpoint, want 1 with the attempt that was not recalled", calls)
	}
	p.journal.close()
	j, pending := reopenJournal(t, folder, 3)
	defer j.close()
	if len(pending) != 2 {
		t.Errorf("%d events are pending, want 2", len(pending))
	}
	for _, e := range pending {
		if len(e.pastAttempts) > 0 != (e.id == "b") {
			t.Errorf("the journal has %d attempts of %s; only b was sent", len(e.pastAttempts), e.id)
		}
	}
}

func TestWrittenCallIsNotRecalled(t *testing.T) {
	received, sendResponse := make(chan struct{}), make(chan struct{})
	endpoint := newTestEndpoint(t, func(conn net.Conn, body string) bool {
		received <- struct{}{}
		<-sendResponse
		return respond(httpResponse("200 OK", "", ""))(conn, body)
	})
	p := newTestPool(t, endpoint.Addr().String())
	c := &call{pool: p}
	c.attempts = []*attempt{newTestAttempt(t, c, "a", testTimeout)}
	go p.execute(c)
	<-received
	c.recall(c.attempts[0])
	close(sendResponse)
	if r := awaitResult(t, c.attempts[0]); r.outcome != delivery.Acked {
		t.Errorf("got %+v", r)
	}
}

func TestConnectionsAreReusedUnlessClosed(t *testing.T) {
	endpoint := newTestEndpoint(t, respond(httpResponse("200 OK", "", "")))
	p := newTestPool(t, endpoint.Addr().String())
	executeCall(t, p, testTimeout)
	waitForIdle := func(idle int) {
		t.Helper()
		for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
			p.mu.Lock()
			n := p.idleCount
			p.mu.Unlock()
			if n == idle {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%d idle connections, want %d", n, idle)
			}
		}
	}
	waitForIdle(1)
	executeCall(t, p, testTimeout)
	waitForIdle(1)
	if calls, conns := endpoint.counts(); calls != 2 || conns != 1 {
		t.Errorf("%d calls on %d connections, want 2 on 1", calls, conns)
	}
	p.closeExpired(p.clock.now() + p.idleTimeout - idleMargin)
	waitForIdle(0)
	// The endpoint closes the connection after its response: the next call uses a new connection and is not reset.
	closing := newTestEndpoint(t, func(conn net.Conn, _ string) bool {
		io.WriteString(conn, httpResponse("200 OK", "", ""))
		return false
	})
	p.updateEndpoint(0, "e0", "zone", closing.Addr().String())
	for range 3 {
		if results, _ := executeCall(t, p, testTimeout); results[0].outcome != delivery.Acked {
			t.Errorf("got %+v", results[0])
		}
		time.Sleep(20 * time.Millisecond) // lets the close arrive
	}
	// Data that arrives on an idle connection is not a response to any call.
	surplus := newTestEndpoint(t, func(conn net.Conn, _ string) bool {
		io.WriteString(conn, httpResponse("200 OK", "", ""))
		time.Sleep(20 * time.Millisecond)
		io.WriteString(conn, httpResponse("429 Full", "", ""))
		return true
	})
	p.updateEndpoint(0, "e0", "zone", surplus.Addr().String())
	executeCall(t, p, testTimeout)
	waitForIdle(1)
	time.Sleep(50 * time.Millisecond)
	p.closeExpired(p.clock.now())
	waitForIdle(0)
	// When the endpoint moves, connections to its old address are closed.
	executeCall(t, p, testTimeout)
	p.updateEndpoint(0, "e0", "zone", endpoint.Addr().String())
	waitForIdle(0)
	executeCall(t, p, testTimeout)
	if calls, _ := endpoint.counts(); calls != 3 {
		t.Errorf("the new address received %d calls, want 3 in all", calls)
	}
	waitForIdle(1)
	p.closeIdle(0)
	waitForIdle(0)
}

// bulkIDs returns the ids in the body of a bulk call.
func bulkIDs(body string) (ids []string) {
	for line := range strings.Lines(body) {
		if f := strings.Fields(line); len(f) == 3 && f[1] == "mark" && f[2] == "4" {
			ids = append(ids, f[0])
		}
	}
	return ids
}

func TestBulkCalls(t *testing.T) {
	bodies := make(chan string, 10)
	endpoint := newTestEndpoint(t, func(conn net.Conn, body string) bool {
		bodies <- body
		ids, text := bulkIDs(body), ""
		for i, word := range []string{"done", "failed", "busy", "void", "used_up"} {
			text = ids[i] + " " + word + "\r\n" + text // in reverse of the order sent
		}
		return respond(httpResponse("200 OK", "Retry-After: 0.25\r\nSrv-Load: x0=0.5,x1=2\r\n", text))(conn, body)
	})
	p := newTestPool(t, endpoint.Addr().String())
	results, _ := executeCall(t, p, testTimeout, testTimeout, testTimeout, testTimeout, testTimeout)
	if body := <-bodies; strings.Count(body, " mark 4\r\na\r\nb\r\n") != 5 || len(bulkIDs(body)) != 5 {
		t.Errorf("unexpected body %q", body)
	}
	for i, want := range []result{{outcome: delivery.Acked, final: true}, {outcome: delivery.Errored}, {outcome: delivery.Refused},
		{outcome: delivery.Unsent, final: true}, {outcome: delivery.Unsent}} {
		got := results[i]
		if got.outcome != want.outcome || got.final != want.final || got.retryAfter != 250*ms || got.freeShare != 0.5 || got.rateLimit != 2 {
			t.Errorf("event %d: got %+v, want %+v", i, got, want)
		}
	}
	for status, want := range map[string]delivery.Outcome{"400 Bad": delivery.Unsent, "413 Long": delivery.Unsent,
		"429 Full": delivery.Refused, "500 Error": delivery.Errored, "503 Shut": delivery.Refused} {
		p := newTestPool(t, newTestEndpoint(t, respond(httpResponse(status, "", ""))).Addr().String())
		if results, _ := executeCall(t, p, testTimeout, testTimeout); results[0].outcome != want || results[1].outcome != want {
			t.Errorf("%s: %+v", status, results)
		}
	}
	for name, text := range map[string]string{"truncated": "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nid0",
		"malformed": httpResponse("200 OK", "", "\x00\xff\r\n"), "incomplete header": "HTTP/1.1 200 OK\r\nA"} {
		p := newTestPool(t, newTestEndpoint(t, respond(text)).Addr().String())
		if results, _ := executeCall(t, p, testTimeout, testTimeout); results[0].outcome != delivery.Unreadable || results[1].outcome != delivery.Unreadable {
			t.Errorf("%s: %+v", name, results)
		}
	}
	for _, end := range []string{"\r\n", "\r\nid1"} { // one event is missing or truncated: the other does not count as delivered
		endpoint := newTestEndpoint(t, func(conn net.Conn, body string) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n\r\n%s done%s", bulkIDs(body)[0], end)
			return false
		})
		results, _ := executeCall(t, newTestPool(t, endpoint.Addr().String()), testTimeout, testTimeout)
		if results[0].outcome != delivery.Unreadable || results[0].final || results[1].outcome != delivery.Unreadable {
			t.Errorf("bulk response that names one event of two: %+v", results)
		}
	}
	truncating := newTestEndpoint(t, respondAndReset("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nid0"))
	results, _ = executeCall(t, newTestPool(t, truncating.Addr().String()), testTimeout, testTimeout)
	if results[0].outcome != delivery.Reset || results[1].outcome != delivery.Reset {
		t.Errorf("truncated bulk response: %+v", results)
	}
}

// Guards against a race when the first attempt of a call times out just as the response arrives: the response was taken for
// the remaining attempts, and nothing reported their outcome.
func TestBulkCallTimesOutAsAWhole(t *testing.T) {
	received := make(chan struct{})
	endpoint := newTestEndpoint(t, func(conn net.Conn, body string) bool {
		received <- struct{}{}
		return true
	})
	p := newTestPool(t, endpoint.Addr().String())
	c := &call{pool: p}
	for _, timeout := range []time.Duration{50 * time.Millisecond, testTimeout} {
		c.attempts = append(c.attempts, newTestAttempt(t, c, fmt.Sprint("id", timeout), timeout))
	}
	go p.execute(c)
	<-received
	if a, b := awaitResult(t, c.attempts[0]), awaitResult(t, c.attempts[1]); a.outcome != delivery.TimedOut || b.outcome != delivery.TimedOut {
		t.Errorf("abandoned: %+v %+v", a, b)
	}
	select {
	case <-endpoint.disconnected:
	case <-time.After(testTimeout):
		t.Error("the connection of an abandoned call is still open")
	}
}
