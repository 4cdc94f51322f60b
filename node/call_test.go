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

	"jaspersill/delivery"
	"jaspersill/lifecycle"
)

const (
	ms          = int64(1e6)
	testTimeout = 20 * time.Second // for what must happen: far longer than it takes anywhere
)

// testEndpoint is an endpoint of the tests: each call it reads goes to act, which answers it or breaks off.
type testEndpoint struct {
	net.Listener
	mu             sync.Mutex
	requestHeaders []string // of the calls that came
	connCount      int
	disconnected   chan struct{} // a connection was closed by the other side
}

func newTestEndpoint(t *testing.T, act func(conn net.Conn, body string) bool) *testEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	p := &testEndpoint{Listener: l, disconnected: make(chan struct{}, 100)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.connCount++
			p.mu.Unlock()
			go p.serve(conn, act)
		}
	}()
	return p
}

func (p *testEndpoint) serve(conn net.Conn, act func(net.Conn, string) bool) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		var req fasthttp.Request
		if err := req.Read(in); err != nil {
			p.disconnected <- struct{}{}
			return
		}
		p.mu.Lock()
		p.requestHeaders = append(p.requestHeaders, req.Header.String())
		p.mu.Unlock()
		if !act(conn, string(req.Body())) {
			return
		}
	}
}

func (p *testEndpoint) counts() (calls, conns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.requestHeaders), p.connCount
}

func respond(text string) func(net.Conn, string) bool {
	return func(conn net.Conn, _ string) bool {
		io.WriteString(conn, text)
		return true
	}
}

// respondAndReset says something and resets the connection.
func respondAndReset(text string) func(net.Conn, string) bool {
	return func(conn net.Conn, _ string) bool {
		io.WriteString(conn, text)
		time.Sleep(20 * time.Millisecond) // a reset overtakes what was not read yet
		conn.(*net.TCPConn).SetLinger(0)
		return false
	}
}

func noResponse(conn net.Conn, _ string) bool { return true }

func newTestPool(t *testing.T, dial string) *endpointPool {
	t.Helper()
	j, _ := reopenJournal(t, t.TempDir(), 3)
	t.Cleanup(j.close)
	p := &endpointPool{clock: clock{start: time.Now()}, journal: j, dial: newDialer(500 * ms),
		idleTimeout: 15000 * ms, maxIdle: 10}
	p.updateEndpoint(0, "e0", "zone", dial)
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

// executeCall makes one call with an event for each time-out and returns how they ended.
func executeCall(t *testing.T, p *endpointPool, timeouts ...time.Duration) (ends []result, c *call) {
	t.Helper()
	c = &call{pool: p}
	for i, timeout := range timeouts {
		c.attempts = append(c.attempts, newTestAttempt(t, c, fmt.Sprintf("id%d-%d", i, p.clock.now()), timeout))
	}
	go p.execute(c)
	for _, s := range c.attempts {
		ends = append(ends, awaitResult(t, s))
	}
	return ends, c
}

func awaitResult(t *testing.T, s *attempt) result {
	t.Helper()
	select {
	case st := <-s.event.updates:
		return st.result
	case <-time.After(testTimeout):
		t.Fatal("a send never ended")
		return result{}
	}
}

func httpResponse(status, heads, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, heads, len(body), body)
}

func TestAttemptOutcomeByResponse(t *testing.T) {
	for _, c := range []struct {
		name string
		act  func(net.Conn, string) bool
		want result
	}{
		{"200", respond(httpResponse("200 OK", "Srv-Load: x0=0.4,x1=25\r\n", "any")),
			result{outcome: delivery.Acked, final: true, rateFree: 0.4, rateLimit: 25}},
		{"500", respond(httpResponse("500 Error", "", "")), result{outcome: delivery.Errored}},
		{"429", respond(httpResponse("429 Full", "Retry-After: 1.5\r\nSrv-Load: x0=0,x1=3\r\n", "")),
			result{outcome: delivery.Refused, retryAfter: 1500 * ms, rateLimit: 3}},
		{"503", respond(httpResponse("503 Shut", "", "")), result{outcome: delivery.Refused}},
		{"503 without a slot", respond(httpResponse("503 Shut", "X-No-Slot: 1\r\n", "")), result{outcome: delivery.Unsent}},
		{"504", respond(httpResponse("504 Used up", "", "")), result{outcome: delivery.Unsent}},
		{"410", respond(httpResponse("410 Over", "", "")), result{outcome: delivery.Unsent, final: true}},
		{"a status nobody knows", respond(httpResponse("418 Teapot", "", "")), result{outcome: delivery.Errored}},
		{"no numbers", respond(httpResponse("429 Full", "Retry-After: soon\r\nSrv-Load: x0=,x1=3\r\n", "")),
			result{outcome: delivery.Refused}},
		{"noise", respond("hello\r\n\r\n"), result{outcome: delivery.Unreadable}},
		{"noise without an end", respond("\x00\xff\x17"), result{outcome: delivery.Unreadable}},
		{"a head without an end", respond("HTTP/1.1 500 Error\r\nA: b\r\n"), result{outcome: delivery.Unreadable}},
		{"a head that goes on", respond("HTTP/1.1 500 Error\r\n" + strings.Repeat("A: b\r\n", 9000)),
			result{outcome: delivery.Unreadable}},
		{"a negative length", respond("HTTP/1.1 429 Full\r\nContent-Length: -4\r\n\r\n"), result{outcome: delivery.Unreadable}},
		{"a length that does not come", respond("HTTP/1.1 503 Shut\r\nContent-Length: 44\r\n\r\nabc"),
			result{outcome: delivery.Unreadable}},
		{"a length of 3 GB", respond("HTTP/1.1 500 Error\r\nContent-Length: 3000000000\r\n\r\n" +
			strings.Repeat("x", 1<<20)), result{outcome: delivery.Unreadable}},
		{"a 200 of 3 GB", respond("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" +
			strings.Repeat("x", 1<<20)), result{outcome: delivery.Acked, final: true}},
		{"a 200 with a head without an end", respond("HTTP/1.1 200 OK\r\nA: b\r\n"), result{outcome: delivery.Acked, final: true}},
		{"a 200 with a spoilt head behind a 100", respond("HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 OK\r\n\x00\r\n\r\n"),
			result{outcome: delivery.Acked, final: true}},
		{"a 2000", respond("HTTP/1.1 2000 OK\r\n\x00\r\n\r\n"), result{outcome: delivery.Unreadable}},
		{"answers that are none, then one", respond("HTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 101 Other\r\n\r\n" +
			httpResponse("429 Full", "Retry-After: 1\r\n", "")), result{outcome: delivery.Refused, retryAfter: 1000 * ms}},
		{"a wait in a head that cannot be read", respond("HTTP/1.1 429 Full\r\nretry-after: 0.5\r\n\x00\xff\r\n\r\n"),
			result{outcome: delivery.Unreadable, retryAfter: 500 * ms}},
		{"a wait before a body that does not come", respond("HTTP/1.1 429 Full\r\nRetry-After: 0.5\r\n" +
			"Content-Length: 44\r\n\r\nabc"), result{outcome: delivery.Unreadable, retryAfter: 500 * ms}},
		{"broken behind a wait", respondAndReset("HTTP/1.1 503 Shut\r\nRetry-After: 0.5\r\nA"),
			result{outcome: delivery.Reset, retryAfter: 500 * ms}},
		{"broken within a wait", respondAndReset("HTTP/1.1 503 Shut\r\nRetry-After: 0.5"), result{outcome: delivery.Reset}},
		{"broken before an answer", respondAndReset(""), result{outcome: delivery.Reset}},
		{"ended before an answer", func(net.Conn, string) bool { return false }, result{outcome: delivery.Reset}},
		{"broken within an answer", respondAndReset("HTTP/1.1 500 Err"), result{outcome: delivery.Reset}},
		{"broken behind the first line of a 200", respondAndReset("HTTP/1.1 200 OK\r\nContent-Le"),
			result{outcome: delivery.Acked, final: true}},
		{"broken within the first line of a 200", respondAndReset("HTTP/1.1 200 O"), result{outcome: delivery.Reset}},
		{"broken in the body of a 200", respondAndReset("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"),
			result{outcome: delivery.Acked, final: true}},
		{"silent", noResponse, result{outcome: delivery.TimedOut}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			at := newTestEndpoint(t, c.act)
			p := newTestPool(t, at.Addr().String())
			timeout := testTimeout
			if c.want.outcome == delivery.TimedOut {
				timeout = 80 * time.Millisecond
			}
			ends, _ := executeCall(t, p, timeout)
			if ends[0].duration <= 0 {
				t.Errorf("took %d", ends[0].duration)
			}
			if ends[0].duration = 0; ends[0] != c.want {
				t.Errorf("got %+v, want %+v", ends[0], c.want)
			}
			if c.want.outcome == delivery.TimedOut { // given up by closing the connection
				select {
				case <-at.disconnected:
				case <-time.After(testTimeout):
					t.Error("the connection of a call given up stays open")
				}
			}
			if calls, _ := at.counts(); calls != 1 {
				t.Errorf("the endpoint saw %d calls: one that broke must not be repeated", calls)
			}
		})
	}
}

func TestAttemptsNeverSent(t *testing.T) {
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	nobody := l.Addr().String()
	l.Close()
	if ends, _ := executeCall(t, newTestPool(t, nobody), testTimeout); ends[0].outcome != delivery.ConnectFailed {
		t.Errorf("refused: %+v", ends[0])
	}
	at := newTestEndpoint(t, respond(httpResponse("200 OK", "", "")))
	p := newTestPool(t, at.Addr().String())
	c := &call{pool: p}
	e := &event{id: "x", monoDeadline: math.MaxInt64, updates: make(chan eventUpdate, updateBuffer)}
	e.request = lifecycle.RestoreRequest(e.id, e.monoDeadline, true, false)
	s := &attempt{event: e, timeout: int64(testTimeout), startedAt: p.clock.now(), call: c}
	c.attempts = []*attempt{s}
	p.execute(c) // nothing is owed for it: it is over
	if r := awaitResult(t, s); r.outcome != delivery.Unsent {
		t.Errorf("a send of an event that is over: %+v", r)
	}
	if err := p.journal.accept(e, "alert", ""); err != nil {
		t.Fatal(err)
	}
	c = &call{pool: p}
	c.attempts = []*attempt{{event: e, timeout: int64(testTimeout), startedAt: p.clock.now(), call: c}}
	c.abandon(delivery.Cancelled)
	p.execute(c)
	if r := awaitResult(t, c.attempts[0]); r.outcome != delivery.Unsent {
		t.Errorf("a send called off before it left: %+v", r)
	}
	if calls, _ := at.counts(); calls != 0 {
		t.Errorf("%d calls reached the endpoint", calls)
	}
}

func TestPartiallyWrittenCallCountsAsNotRun(t *testing.T) {
	little := func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) }
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return raw.Control(little) }}
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() // nobody reads there
	p := newTestPool(t, l.Addr().String())
	c := &call{pool: p}
	for i, body := range []int{40 << 20, 10} {
		s := newTestAttempt(t, c, fmt.Sprint("id", i), testTimeout)
		s.event.body = make([]byte, body)
		c.attempts = append(c.attempts, s)
	}
	go p.execute(c)
	(&testEnv{t: t}).waitFor("it is being written", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.progress == progressWriting
	})
	c.abandon(delivery.TimedOut)
	c.abandon(delivery.Cancelled)
	a, b := awaitResult(t, c.attempts[0]), awaitResult(t, c.attempts[1])
	if a.outcome != delivery.ConnectFailed || b.outcome != delivery.ConnectFailed {
		t.Errorf("given up while being written: %+v %+v", a, b)
	}
}

// delayDial is an endpoint whose connections come up only once it is told.
func delayDial(t *testing.T, p *endpointPool, up <-chan struct{}) (dialing <-chan struct{}) {
	begun := make(chan struct{}, 10)
	dial := p.dial
	p.dial = func(ctx context.Context, address string) (net.Conn, error) {
		begun <- struct{}{}
		select {
		case <-up:
			return dial(ctx, address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return begun
}

func TestRecallWhileConnectingPreventsSend(t *testing.T) {
	at := newTestEndpoint(t, respond(httpResponse("200 OK", "", "")))
	p, up, folder := newTestPool(t, at.Addr().String()), make(chan struct{}), t.TempDir()
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
		t.Errorf("the other of its call: %+v", r)
	}
	whole := newTestPool(t, at.Addr().String()) // and a call that is recalled as a whole
	up = make(chan struct{})
	dialing = delayDial(t, whole, up)
	c = &call{pool: whole}
	c.attempts = []*attempt{newTestAttempt(t, c, "c", testTimeout)}
	go whole.execute(c)
	<-dialing
	s := c.attempts[0]
	c.recall(s)
	if r := awaitResult(t, s); r.outcome != delivery.Unsent {
		t.Errorf("recalled: %+v", r)
	}
	close(up)
	if calls, _ := at.counts(); calls != 1 {
		t.Errorf("%d calls reached the endpoint, one of them with what was not recalled", calls)
	}
	p.journal.close()
	j, owed := reopenJournal(t, folder, 3)
	defer j.close()
	if len(owed) != 2 {
		t.Errorf("%d events are owed, want 2", len(owed))
	}
	for _, e := range owed {
		if len(e.pastSends) > 0 != (e.id == "b") {
			t.Errorf("the journal has %d sends of %s; b's alone went", len(e.pastSends), e.id)
		}
	}
}

func TestWrittenCallIsNotRecalled(t *testing.T) {
	came, answer := make(chan struct{}), make(chan struct{})
	at := newTestEndpoint(t, func(conn net.Conn, body string) bool {
		came <- struct{}{}
		<-answer
		return respond(httpResponse("200 OK", "", ""))(conn, body)
	})
	p := newTestPool(t, at.Addr().String())
	c := &call{pool: p}
	c.attempts = []*attempt{newTestAttempt(t, c, "a", testTimeout)}
	go p.execute(c)
	<-came
	c.recall(c.attempts[0])
	close(answer)
	if r := awaitResult(t, c.attempts[0]); r.outcome != delivery.Acked {
		t.Errorf("got %+v", r)
	}
}

func TestConnectionsAreReusedUnlessClosed(t *testing.T) {
	at := newTestEndpoint(t, respond(httpResponse("200 OK", "", "")))
	p := newTestPool(t, at.Addr().String())
	executeCall(t, p, testTimeout)
	settle := func(idle int) {
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
	settle(1)
	executeCall(t, p, testTimeout)
	settle(1)
	if calls, conns := at.counts(); calls != 2 || conns != 1 {
		t.Errorf("%d calls on %d connections", calls, conns)
	}
	p.closeExpired(p.clock.now() + p.idleTimeout - idleMargin)
	settle(0)
	// An endpoint that closes behind its answer: the next call needs a new connection, and is no reset.
	shy := newTestEndpoint(t, func(conn net.Conn, _ string) bool {
		io.WriteString(conn, httpResponse("200 OK", "", ""))
		return false
	})
	p.updateEndpoint(0, "e0", "zone", shy.Addr().String())
	for range 3 {
		if ends, _ := executeCall(t, p, testTimeout); ends[0].outcome != delivery.Acked {
			t.Errorf("got %+v", ends[0])
		}
		time.Sleep(20 * time.Millisecond) // for the close to come
	}
	// What comes while a connection is idle is nobody's answer.
	more := newTestEndpoint(t, func(conn net.Conn, _ string) bool {
		io.WriteString(conn, httpResponse("200 OK", "", ""))
		time.Sleep(20 * time.Millisecond)
		io.WriteString(conn, httpResponse("429 Full", "", ""))
		return true
	})
	p.updateEndpoint(0, "e0", "zone", more.Addr().String())
	executeCall(t, p, testTimeout)
	settle(1)
	time.Sleep(50 * time.Millisecond)
	p.closeExpired(p.clock.now())
	settle(0)
	// Where it moves to, its connections follow.
	executeCall(t, p, testTimeout)
	p.updateEndpoint(0, "e0", "zone", at.Addr().String())
	settle(0)
	executeCall(t, p, testTimeout)
	if calls, _ := at.counts(); calls != 3 {
		t.Errorf("%d calls came to where it moved", calls)
	}
	settle(1)
	p.closeIdle(0)
	settle(0)
}

// idOf finds the ids of a bulk call's body.
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
	at := newTestEndpoint(t, func(conn net.Conn, body string) bool {
		bodies <- body
		ids, text := bulkIDs(body), ""
		for i, word := range []string{"done", "failed", "busy", "void", "used_up"} {
			text = ids[i] + " " + word + "\r\n" + text // not in the order they were sent
		}
		return respond(httpResponse("200 OK", "Retry-After: 0.25\r\nSrv-Load: x0=0.5,x1=2\r\n", text))(conn, body)
	})
	p := newTestPool(t, at.Addr().String())
	ends, _ := executeCall(t, p, testTimeout, testTimeout, testTimeout, testTimeout, testTimeout)
	if body := <-bodies; strings.Count(body, " mark 4\r\na\r\nb\r\n") != 5 || len(bulkIDs(body)) != 5 {
		t.Errorf("body %q", body)
	}
	for i, want := range []result{{outcome: delivery.Acked, final: true}, {outcome: delivery.Errored}, {outcome: delivery.Refused},
		{outcome: delivery.Unsent, final: true}, {outcome: delivery.Unsent}} {
		got := ends[i]
		if got.outcome != want.outcome || got.final != want.final || got.retryAfter != 250*ms || got.rateFree != 0.5 || got.rateLimit != 2 {
			t.Errorf("event %d: got %+v, want %+v", i, got, want)
		}
	}
	for status, want := range map[string]delivery.Outcome{"400 Bad": delivery.Unsent, "413 Long": delivery.Unsent,
		"429 Full": delivery.Refused, "500 Error": delivery.Errored, "503 Shut": delivery.Refused} {
		p := newTestPool(t, newTestEndpoint(t, respond(httpResponse(status, "", ""))).Addr().String())
		if ends, _ := executeCall(t, p, testTimeout, testTimeout); ends[0].outcome != want || ends[1].outcome != want {
			t.Errorf("%s: %+v", status, ends)
		}
	}
	for name, text := range map[string]string{"short": "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nid0",
		"noise": httpResponse("200 OK", "", "\x00\xff\r\n"), "no head": "HTTP/1.1 200 OK\r\nA"} {
		p := newTestPool(t, newTestEndpoint(t, respond(text)).Addr().String())
		if ends, _ := executeCall(t, p, testTimeout, testTimeout); ends[0].outcome != delivery.Unreadable || ends[1].outcome != delivery.Unreadable {
			t.Errorf("%s: %+v", name, ends)
		}
	}
	for _, end := range []string{"\r\n", "\r\nid1"} { // one is left out, or cut off: the other is not delivered yet
		at := newTestEndpoint(t, func(conn net.Conn, body string) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n\r\n%s done%s", bulkIDs(body)[0], end)
			return false
		})
		ends, _ := executeCall(t, newTestPool(t, at.Addr().String()), testTimeout, testTimeout)
		if ends[0].outcome != delivery.Unreadable || ends[0].final || ends[1].outcome != delivery.Unreadable {
			t.Errorf("a bulk answer that names one of two: %+v", ends)
		}
	}
	cut := newTestEndpoint(t, respondAndReset("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nid0"))
	ends, _ = executeCall(t, newTestPool(t, cut.Addr().String()), testTimeout, testTimeout)
	if ends[0].outcome != delivery.Reset || ends[1].outcome != delivery.Reset {
		t.Errorf("a bulk answer cut off: %+v", ends)
	}
}

// An answer that comes as the first send of a call times out was once taken for the others, whose end
// nobody had.
func TestBulkCallTimesOutAsAWhole(t *testing.T) {
	came := make(chan struct{})
	at := newTestEndpoint(t, func(conn net.Conn, body string) bool {
		came <- struct{}{}
		return true
	})
	p := newTestPool(t, at.Addr().String())
	c := &call{pool: p}
	for _, timeout := range []time.Duration{50 * time.Millisecond, testTimeout} {
		c.attempts = append(c.attempts, newTestAttempt(t, c, fmt.Sprint("id", timeout), timeout))
	}
	go p.execute(c)
	<-came
	if a, b := awaitResult(t, c.attempts[0]), awaitResult(t, c.attempts[1]); a.outcome != delivery.TimedOut || b.outcome != delivery.TimedOut {
		t.Errorf("given up: %+v %+v", a, b)
	}
	select {
	case <-at.disconnected:
	case <-time.After(testTimeout):
		t.Error("the connection of a call given up stays open")
	}
}
