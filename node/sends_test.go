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

	"jaspersill/lifecycle"
	"jaspersill/port"
)

const (
	ms   = int64(1e6)
	long = 20 * time.Second // for what must happen: far longer than it takes anywhere
)

// peer is an endpoint of the tests: each call it reads goes to act, which answers it or breaks off.
type peer struct {
	net.Listener
	mu    sync.Mutex
	heads []string // of the calls that came
	conns int
	ended chan struct{} // a connection was closed by the other side
}

func newPeer(t *testing.T, act func(conn net.Conn, body string) bool) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	p := &peer{Listener: l, ended: make(chan struct{}, 100)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns++
			p.mu.Unlock()
			go p.serve(conn, act)
		}
	}()
	return p
}

func (p *peer) serve(conn net.Conn, act func(net.Conn, string) bool) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		var req fasthttp.Request
		if err := req.Read(in); err != nil {
			p.ended <- struct{}{}
			return
		}
		p.mu.Lock()
		p.heads = append(p.heads, req.Header.String())
		p.mu.Unlock()
		if !act(conn, string(req.Body())) {
			return
		}
	}
}

func (p *peer) calls() (calls, conns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.heads), p.conns
}

func say(text string) func(net.Conn, string) bool {
	return func(conn net.Conn, _ string) bool {
		io.WriteString(conn, text)
		return true
	}
}

// breakOff says something and resets the connection.
func breakOff(text string) func(net.Conn, string) bool {
	return func(conn net.Conn, _ string) bool {
		io.WriteString(conn, text)
		time.Sleep(20 * time.Millisecond) // a reset overtakes what was not read yet
		conn.(*net.TCPConn).SetLinger(0)
		return false
	}
}

func silent(conn net.Conn, _ string) bool { return true }

func newEndpoints(t *testing.T, dial string) *endpoints {
	t.Helper()
	j, _ := reopenJournal(t, t.TempDir(), 3)
	t.Cleanup(j.close)
	p := &endpoints{clock: clock{start: time.Now()}, journal: j, dial: dialer(500 * ms),
		idleFor: 15000 * ms, mostIdle: 10}
	p.listed(0, "e0", "zone", dial)
	return p
}

func newSend(t *testing.T, c *call, id string, timeout time.Duration) *send {
	t.Helper()
	e := &event{id: id, mark: "mark", body: []byte("a\r\nb"), due: math.MaxInt64, steps: make(chan step, maxSteps)}
	e.request = lifecycle.RestoredRequest(id, e.due, true, false)
	if err := c.of.journal.accept(e, "alert", ""); err != nil {
		t.Fatal(err)
	}
	return &send{event: e, timeout: int64(timeout), began: c.of.clock.now(), call: c}
}

// deliver makes one call with an event for each time-out and returns how they ended.
func deliver(t *testing.T, p *endpoints, timeouts ...time.Duration) (ends []result, c *call) {
	t.Helper()
	c = &call{of: p}
	for i, timeout := range timeouts {
		c.sends = append(c.sends, newSend(t, c, fmt.Sprintf("id%d-%d", i, p.clock.now()), timeout))
	}
	go p.carry(c)
	for _, s := range c.sends {
		ends = append(ends, ending(t, s))
	}
	return ends, c
}

func ending(t *testing.T, s *send) result {
	t.Helper()
	select {
	case st := <-s.event.steps:
		return st.result
	case <-time.After(long):
		t.Fatal("a send never ended")
		return result{}
	}
}

func answerOf(status, heads, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, heads, len(body), body)
}

func TestSendsEndAsTheAnswerSays(t *testing.T) {
	for _, c := range []struct {
		name string
		act  func(net.Conn, string) bool
		want result
	}{
		{"200", say(answerOf("200 OK", "Srv-Load: x0=0.4,x1=25\r\n", "any")),
			result{how: port.Acked, over: true, left: 0.4, limit: 25}},
		{"500", say(answerOf("500 Error", "", "")), result{how: port.Errored}},
		{"429", say(answerOf("429 Full", "Retry-After: 1.5\r\nSrv-Load: x0=0,x1=3\r\n", "")),
			result{how: port.Declined, wait: 1500 * ms, limit: 3}},
		{"503", say(answerOf("503 Shut", "", "")), result{how: port.Declined}},
		{"503 without a slot", say(answerOf("503 Shut", "X-No-Slot: 1\r\n", "")), result{how: port.Unsent}},
		{"504", say(answerOf("504 Used up", "", "")), result{how: port.Unsent}},
		{"410", say(answerOf("410 Over", "", "")), result{how: port.Unsent, over: true}},
		{"a status nobody knows", say(answerOf("418 Teapot", "", "")), result{how: port.Errored}},
		{"no numbers", say(answerOf("429 Full", "Retry-After: soon\r\nSrv-Load: x0=,x1=3\r\n", "")),
			result{how: port.Declined}},
		{"noise", say("hello\r\n\r\n"), result{how: port.Spoilt}},
		{"noise without an end", say("\x00\xff\x17"), result{how: port.Spoilt}},
		{"a head without an end", say("HTTP/1.1 500 Error\r\nA: b\r\n"), result{how: port.Spoilt}},
		{"a head that goes on", say("HTTP/1.1 500 Error\r\n" + strings.Repeat("A: b\r\n", 9000)),
			result{how: port.Spoilt}},
		{"a negative length", say("HTTP/1.1 429 Full\r\nContent-Length: -4\r\n\r\n"), result{how: port.Spoilt}},
		{"a length that does not come", say("HTTP/1.1 503 Shut\r\nContent-Length: 44\r\n\r\nabc"),
			result{how: port.Spoilt}},
		{"a length of 3 GB", say("HTTP/1.1 500 Error\r\nContent-Length: 3000000000\r\n\r\n" +
			strings.Repeat("x", 1<<20)), result{how: port.Spoilt}},
		{"a 200 of 3 GB", say("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" +
			strings.Repeat("x", 1<<20)), result{how: port.Acked, over: true}},
		{"a 200 with a head without an end", say("HTTP/1.1 200 OK\r\nA: b\r\n"), result{how: port.Acked, over: true}},
		{"a 200 with a spoilt head behind a 100", say("HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 OK\r\n\x00\r\n\r\n"),
			result{how: port.Acked, over: true}},
		{"a 2000", say("HTTP/1.1 2000 OK\r\n\x00\r\n\r\n"), result{how: port.Spoilt}},
		{"answers that are none, then one", say("HTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 101 Other\r\n\r\n" +
			answerOf("429 Full", "Retry-After: 1\r\n", "")), result{how: port.Declined, wait: 1000 * ms}},
		{"a wait in a head that cannot be read", say("HTTP/1.1 429 Full\r\nretry-after: 0.5\r\n\x00\xff\r\n\r\n"),
			result{how: port.Spoilt, wait: 500 * ms}},
		{"a wait before a body that does not come", say("HTTP/1.1 429 Full\r\nRetry-After: 0.5\r\n" +
			"Content-Length: 44\r\n\r\nabc"), result{how: port.Spoilt, wait: 500 * ms}},
		{"broken behind a wait", breakOff("HTTP/1.1 503 Shut\r\nRetry-After: 0.5\r\nA"),
			result{how: port.Reset, wait: 500 * ms}},
		{"broken within a wait", breakOff("HTTP/1.1 503 Shut\r\nRetry-After: 0.5"), result{how: port.Reset}},
		{"broken before an answer", breakOff(""), result{how: port.Reset}},
		{"ended before an answer", func(net.Conn, string) bool { return false }, result{how: port.Reset}},
		{"broken within an answer", breakOff("HTTP/1.1 500 Err"), result{how: port.Reset}},
		{"broken behind the first line of a 200", breakOff("HTTP/1.1 200 OK\r\nContent-Le"),
			result{how: port.Acked, over: true}},
		{"broken within the first line of a 200", breakOff("HTTP/1.1 200 O"), result{how: port.Reset}},
		{"broken in the body of a 200", breakOff("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"),
			result{how: port.Acked, over: true}},
		{"silent", silent, result{how: port.TimedOut}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			at := newPeer(t, c.act)
			p := newEndpoints(t, at.Addr().String())
			timeout := long
			if c.want.how == port.TimedOut {
				timeout = 80 * time.Millisecond
			}
			ends, _ := deliver(t, p, timeout)
			if ends[0].took <= 0 {
				t.Errorf("took %d", ends[0].took)
			}
			if ends[0].took = 0; ends[0] != c.want {
				t.Errorf("got %+v, want %+v", ends[0], c.want)
			}
			if c.want.how == port.TimedOut { // given up by closing the connection
				select {
				case <-at.ended:
				case <-time.After(long):
					t.Error("the connection of a call given up stays open")
				}
			}
			if calls, _ := at.calls(); calls != 1 {
				t.Errorf("the endpoint saw %d calls: one that broke must not be repeated", calls)
			}
		})
	}
}

func TestSendsThatNeverLeave(t *testing.T) {
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	nobody := l.Addr().String()
	l.Close()
	if ends, _ := deliver(t, newEndpoints(t, nobody), long); ends[0].how != port.ConnectFailed {
		t.Errorf("refused: %+v", ends[0])
	}
	at := newPeer(t, say(answerOf("200 OK", "", "")))
	p := newEndpoints(t, at.Addr().String())
	c := &call{of: p}
	e := &event{id: "x", due: math.MaxInt64, steps: make(chan step, maxSteps)}
	e.request = lifecycle.RestoredRequest(e.id, e.due, true, false)
	s := &send{event: e, timeout: int64(long), began: p.clock.now(), call: c}
	c.sends = []*send{s}
	p.carry(c) // nothing is owed for it: it is over
	if r := ending(t, s); r.how != port.Unsent {
		t.Errorf("a send of an event that is over: %+v", r)
	}
	if err := p.journal.accept(e, "alert", ""); err != nil {
		t.Fatal(err)
	}
	c = &call{of: p}
	c.sends = []*send{{event: e, timeout: int64(long), began: p.clock.now(), call: c}}
	c.giveUp(port.Cancelled)
	p.carry(c)
	if r := ending(t, c.sends[0]); r.how != port.Unsent {
		t.Errorf("a send called off before it left: %+v", r)
	}
	if calls, _ := at.calls(); calls != 0 {
		t.Errorf("%d calls reached the endpoint", calls)
	}
}

func TestACallNotWrittenToItsLastByteNeverRan(t *testing.T) {
	little := func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) }
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return raw.Control(little) }}
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() // nobody reads there
	p := newEndpoints(t, l.Addr().String())
	c := &call{of: p}
	for i, body := range []int{40 << 20, 10} {
		s := newSend(t, c, fmt.Sprint("id", i), long)
		s.event.body = make([]byte, body)
		c.sends = append(c.sends, s)
	}
	go p.carry(c)
	(&world{t: t}).until("it is being written", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.bytes == some
	})
	c.giveUp(port.TimedOut)
	c.giveUp(port.Cancelled)
	a, b := ending(t, c.sends[0]), ending(t, c.sends[1])
	if a.how != port.ConnectFailed || b.how != port.ConnectFailed {
		t.Errorf("given up while being written: %+v %+v", a, b)
	}
}

// slowDoor is an endpoint whose connections come up only once it is told.
func slowDoor(t *testing.T, p *endpoints, up <-chan struct{}) (dialing <-chan struct{}) {
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

func TestACallRecalledWhileConnectingNeverGoes(t *testing.T) {
	at := newPeer(t, say(answerOf("200 OK", "", "")))
	p, up, folder := newEndpoints(t, at.Addr().String()), make(chan struct{}), t.TempDir()
	p.journal, _ = reopenJournal(t, folder, 3)
	dialing := slowDoor(t, p, up)
	c := &call{of: p}
	c.sends = []*send{newSend(t, c, "a", long), newSend(t, c, "b", long)}
	go p.carry(c)
	<-dialing
	a, b := c.sends[0], c.sends[1]
	c.recall(a)
	if r := ending(t, a); r.how != port.Unsent {
		t.Errorf("recalled: %+v", r)
	}
	close(up)
	if r := ending(t, b); r.how != port.Acked {
		t.Errorf("the other of its call: %+v", r)
	}
	whole := newEndpoints(t, at.Addr().String()) // and a call that is recalled as a whole
	up = make(chan struct{})
	dialing = slowDoor(t, whole, up)
	c = &call{of: whole}
	c.sends = []*send{newSend(t, c, "c", long)}
	go whole.carry(c)
	<-dialing
	s := c.sends[0]
	c.recall(s)
	if r := ending(t, s); r.how != port.Unsent {
		t.Errorf("recalled: %+v", r)
	}
	close(up)
	if calls, _ := at.calls(); calls != 1 {
		t.Errorf("%d calls reached the endpoint, one of them with what was not recalled", calls)
	}
	p.journal.close()
	j, owed := reopenJournal(t, folder, 3)
	defer j.close()
	if len(owed) != 2 {
		t.Errorf("%d events are owed, want 2", len(owed))
	}
	for _, e := range owed {
		if len(e.past) > 0 != (e.id == "b") {
			t.Errorf("the journal has %d sends of %s; b's alone went", len(e.past), e.id)
		}
	}
}

func TestACallOnItsWayIsNotRecalled(t *testing.T) {
	came, answer := make(chan struct{}), make(chan struct{})
	at := newPeer(t, func(conn net.Conn, body string) bool {
		came <- struct{}{}
		<-answer
		return say(answerOf("200 OK", "", ""))(conn, body)
	})
	p := newEndpoints(t, at.Addr().String())
	c := &call{of: p}
	c.sends = []*send{newSend(t, c, "a", long)}
	go p.carry(c)
	<-came
	c.recall(c.sends[0])
	close(answer)
	if r := ending(t, c.sends[0]); r.how != port.Acked {
		t.Errorf("got %+v", r)
	}
}

func TestConnectionsAreKeptAndNeverUsedDead(t *testing.T) {
	at := newPeer(t, say(answerOf("200 OK", "", "")))
	p := newEndpoints(t, at.Addr().String())
	deliver(t, p, long)
	settle := func(idle int) {
		t.Helper()
		for end := time.Now().Add(long); ; time.Sleep(time.Millisecond) {
			p.mu.Lock()
			n := p.idles
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
	deliver(t, p, long)
	settle(1)
	if calls, conns := at.calls(); calls != 2 || conns != 1 {
		t.Errorf("%d calls on %d connections", calls, conns)
	}
	p.expire(p.clock.now() + p.idleFor - idleMargin)
	settle(0)
	// An endpoint that closes behind its answer: the next call needs a new connection, and is no reset.
	shy := newPeer(t, func(conn net.Conn, _ string) bool {
		io.WriteString(conn, answerOf("200 OK", "", ""))
		return false
	})
	p.listed(0, "e0", "zone", shy.Addr().String())
	for range 3 {
		if ends, _ := deliver(t, p, long); ends[0].how != port.Acked {
			t.Errorf("got %+v", ends[0])
		}
		time.Sleep(20 * time.Millisecond) // for the close to come
	}
	// What comes while a connection is idle is nobody's answer.
	more := newPeer(t, func(conn net.Conn, _ string) bool {
		io.WriteString(conn, answerOf("200 OK", "", ""))
		time.Sleep(20 * time.Millisecond)
		io.WriteString(conn, answerOf("429 Full", "", ""))
		return true
	})
	p.listed(0, "e0", "zone", more.Addr().String())
	deliver(t, p, long)
	settle(1)
	time.Sleep(50 * time.Millisecond)
	p.expire(p.clock.now())
	settle(0)
	// Where it moves to, its connections follow.
	deliver(t, p, long)
	p.listed(0, "e0", "zone", at.Addr().String())
	settle(0)
	deliver(t, p, long)
	if calls, _ := at.calls(); calls != 3 {
		t.Errorf("%d calls came to where it moved", calls)
	}
	settle(1)
	p.closeIdle(0)
	settle(0)
}

// idOf finds the ids of a bulk call's body.
func idsOf(body string) (ids []string) {
	for line := range strings.Lines(body) {
		if f := strings.Fields(line); len(f) == 3 && f[1] == "mark" && f[2] == "4" {
			ids = append(ids, f[0])
		}
	}
	return ids
}

func TestBulkCalls(t *testing.T) {
	bodies := make(chan string, 10)
	at := newPeer(t, func(conn net.Conn, body string) bool {
		bodies <- body
		ids, text := idsOf(body), ""
		for i, word := range []string{"done", "failed", "busy", "void", "used_up"} {
			text = ids[i] + " " + word + "\r\n" + text // not in the order they were sent
		}
		return say(answerOf("200 OK", "Retry-After: 0.25\r\nSrv-Load: x0=0.5,x1=2\r\n", text))(conn, body)
	})
	p := newEndpoints(t, at.Addr().String())
	ends, _ := deliver(t, p, long, long, long, long, long)
	if body := <-bodies; strings.Count(body, " mark 4\r\na\r\nb\r\n") != 5 || len(idsOf(body)) != 5 {
		t.Errorf("body %q", body)
	}
	for i, want := range []result{{how: port.Acked, over: true}, {how: port.Errored}, {how: port.Declined},
		{how: port.Unsent, over: true}, {how: port.Unsent}} {
		got := ends[i]
		if got.how != want.how || got.over != want.over || got.wait != 250*ms || got.left != 0.5 || got.limit != 2 {
			t.Errorf("event %d: got %+v, want %+v", i, got, want)
		}
	}
	for status, want := range map[string]port.Outcome{"400 Bad": port.Unsent, "413 Long": port.Unsent,
		"429 Full": port.Declined, "500 Error": port.Errored, "503 Shut": port.Declined} {
		p := newEndpoints(t, newPeer(t, say(answerOf(status, "", ""))).Addr().String())
		if ends, _ := deliver(t, p, long, long); ends[0].how != want || ends[1].how != want {
			t.Errorf("%s: %+v", status, ends)
		}
	}
	for name, text := range map[string]string{"short": "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nid0",
		"noise": answerOf("200 OK", "", "\x00\xff\r\n"), "no head": "HTTP/1.1 200 OK\r\nA"} {
		p := newEndpoints(t, newPeer(t, say(text)).Addr().String())
		if ends, _ := deliver(t, p, long, long); ends[0].how != port.Spoilt || ends[1].how != port.Spoilt {
			t.Errorf("%s: %+v", name, ends)
		}
	}
	for _, end := range []string{"\r\n", "\r\nid1"} { // one is left out, or cut off: the other is not delivered yet
		at := newPeer(t, func(conn net.Conn, body string) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n\r\n%s done%s", idsOf(body)[0], end)
			return false
		})
		ends, _ := deliver(t, newEndpoints(t, at.Addr().String()), long, long)
		if ends[0].how != port.Spoilt || ends[0].over || ends[1].how != port.Spoilt {
			t.Errorf("a bulk answer that names one of two: %+v", ends)
		}
	}
	cut := newPeer(t, breakOff("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nid0"))
	ends, _ = deliver(t, newEndpoints(t, cut.Addr().String()), long, long)
	if ends[0].how != port.Reset || ends[1].how != port.Reset {
		t.Errorf("a bulk answer cut off: %+v", ends)
	}
}

// An answer that comes as the first send of a call times out was once taken for the others, whose end
// nobody had.
func TestABulkCallIsGivenUpAsAWhole(t *testing.T) {
	came := make(chan struct{})
	at := newPeer(t, func(conn net.Conn, body string) bool {
		came <- struct{}{}
		return true
	})
	p := newEndpoints(t, at.Addr().String())
	c := &call{of: p}
	for _, timeout := range []time.Duration{50 * time.Millisecond, long} {
		c.sends = append(c.sends, newSend(t, c, fmt.Sprint("id", timeout), timeout))
	}
	go p.carry(c)
	<-came
	if a, b := ending(t, c.sends[0]), ending(t, c.sends[1]); a.how != port.TimedOut || b.how != port.TimedOut {
		t.Errorf("given up: %+v %+v", a, b)
	}
	select {
	case <-at.ended:
	case <-time.After(long):
		t.Error("the connection of a call given up stays open")
	}
}
