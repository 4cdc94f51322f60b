package node

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"jaspersill/delivery"
	"jaspersill/store"
)

var responseGone = httpResponse("410 Gone", "", "")

// goneEndpoint answers the first two calls on its first connection with 410, and ends the connection afterwards. It delivers all other
// calls.
type goneEndpoint struct {
	end func(conn net.Conn) (open bool) // after the second 410, or with the third call

	mu       sync.Mutex
	first    net.Conn
	calls    int // on the first connection
	received map[string]int
}

func (e *goneEndpoint) handle(conn net.Conn, body string) bool {
	e.mu.Lock()
	if e.first == nil {
		e.first = conn
	}
	call := 0
	if conn == e.first {
		e.calls++
		call = e.calls
	}
	e.received[body]++
	e.mu.Unlock()
	switch call {
	case 1:
		io.WriteString(conn, responseGone)
		return true
	case 2:
		io.WriteString(conn, responseGone)
		return e.end(conn)
	}
	io.WriteString(conn, httpResponse("200 OK", "", ""))
	return true
}

func (e *goneEndpoint) count(body string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received[body]
}

// startGone starts a node and submits two events, which the endpoint ends by 410 on the same connection.
func startGone(t *testing.T, kind string, end func(net.Conn) bool) (*testEnv, *goneEndpoint) {
	endpoint := &goneEndpoint{end: end, received: map[string]int{}}
	env := newTestEnv(t)
	env.addEndpoint(1, endpoint.handle)
	env.startNode()
	c := env.dial()
	c.submit(submitRequest("first", kind, "1", 8000, "first"))
	env.waitFor("the first event is completed", env.journal.empty)
	c.submit(submitRequest("second", kind, "1", 8000, "second"))
	env.waitFor("the second call is received", func() bool { return endpoint.count("second") == 1 })
	return env, endpoint
}

func keepOpen(net.Conn) bool { return true }

// Guards against a request that is forwarded again after its endpoint has ended it by 410, because the connection ended before it
// showed whose response that was.
func TestRequestEndedByGoneIsNotForwardedAgain(t *testing.T) {
	for name, end := range map[string]func(net.Conn) bool{
		"closed": func(net.Conn) bool { return false },
		"reset": func(conn net.Conn) bool {
			time.Sleep(20 * time.Millisecond) // the node has read the response
			conn.(*net.TCPConn).SetLinger(0)
			return false
		},
		"surplus response": func(conn net.Conn) bool {
			time.Sleep(20 * time.Millisecond)
			io.WriteString(conn, responseGone)
			return true
		},
	} {
		for _, kind := range []string{"alert", "keyed", "charge"} {
			t.Run(name+" "+kind, func(t *testing.T) {
				t.Parallel()
				env, endpoint := startGone(t, kind, end)
				env.waitFor("the journal is empty", env.journal.empty)
				time.Sleep(time.Second) // longer than the delay before a repeat
				if n := endpoint.count("second"); n != 1 {
					t.Errorf("the second request was forwarded %d times, want 1", n)
				}
			})
		}
	}
}

// Guards against a request that a restart forwards again although its endpoint has ended it by 410: a kill while nothing shows yet whose
// response that was, or the end of a drain, leaves a record of a pending request.
func TestRestartDoesNotForwardRequestEndedByGone(t *testing.T) {
	stop := map[string]func(env *testEnv){
		"kill": func(*testEnv) { time.Sleep(200 * time.Millisecond) }, // the record is written
		"drain": func(env *testEnv) {
			env.stop()
			env.waitFor("the node has stopped", func() bool { return env.Phase() == Stopped })
		},
	}
	for name, stop := range stop {
		for _, kind := range []string{"alert", "keyed", "charge"} {
			t.Run(name+" "+kind, func(t *testing.T) {
				t.Parallel()
				env, _ := startGone(t, kind, keepOpen)
				stop(env)
				if e := recoverAfterKill(t, env.folder)["second"]; e != nil && e.Resolution != store.Discarded {
					t.Errorf("a restart finds the request with resolution %v and forwards it again", e.Resolution)
				}
			})
		}
	}
}

// Guards against a request that is lost because a copy of the 410 of another one ends it, while its endpoint hangs under its call.
func TestCopyOfGoneLosesNoRequest(t *testing.T) {
	for name, end := range map[string]string{"429": httpResponse("429 Full", "", ""), "503": httpResponse("503 Full", "", ""), "reset": hangReset} {
		for _, kind := range []string{"alert", "keyed", "charge"} {
			t.Run(name+" "+kind, func(t *testing.T) {
				t.Parallel()
				endpoint := newHangingEndpoint(3*time.Second, end)
				endpoint.response = responseGone
				env, _ := startHang(t, endpoint, kind)
				env.waitFor("the second event is ended by a notice, or executed", func() bool {
					return env.hasNotice("second") || endpoint.count(endpoint.executed, "second") == 1
				})
			})
		}
	}
}

// Guards against a request that a restart forwards again after its end by 410, because a kill left the record of its last attempt, which
// says that it did not run, without the record of its end.
func TestTornRecordOfGoneDoesNotForwardRequestAgain(t *testing.T) {
	env := newTestEnv(t)
	env.addEndpoint(1, respond(responseGone))
	env.startNode()
	env.dial().submit(submitRequest("x", "charge", "1", 8000, "body"))
	env.waitFor("the journal is empty", env.journal.empty)
	killed := copyAsKilled(t, env.folder)
	segments, err := filepath.Glob(filepath.Join(killed, "seg-*"))
	if err != nil || len(segments) != 1 {
		t.Fatalf("segments %v: %v", segments, err)
	}
	text, err := os.ReadFile(segments[0])
	if err != nil {
		t.Fatal(err)
	}
	for size := len(text); size > 0; size-- {
		if err := os.Truncate(segments[0], int64(size)); err != nil {
			t.Fatal(err)
		}
		e := recoverAfterKill(t, killed)["x"]
		if e != nil && e.Resolution == store.Unresolved && len(e.Attempts) > 0 && !e.Attempts[0].MayHaveRun() {
			t.Fatalf("with %d of %d bytes a restart finds the request as not run, and forwards it again", size, len(text))
		}
	}
}

// Guards against a request that is forwarded again although its end has arrived, because its call was cancelled just before the
// response was read.
func TestCancelledCallTakesResponseThatHasArrived(t *testing.T) {
	for name, want := range map[string]result{
		responseGone: {outcome: delivery.Unsent, final: true}, httpResponse("200 OK", "", ""): {outcome: delivery.Acked, final: true},
	} {
		rest := make(chan struct{})
		endpoint := newTestEndpoint(t, func(conn net.Conn, _ string) bool {
			io.WriteString(conn, name[:len("HTTP/1.1 ")])
			<-rest
			io.WriteString(conn, name[len("HTTP/1.1 "):])
			return true
		})
		p := newTestPool(t, endpoint.Addr().String())
		c := &call{pool: p}
		a := newTestAttempt(t, c, "x", testTimeout)
		c.attempts = []*attempt{a}
		go p.execute(c)
		(&testEnv{t: t}).waitFor("the response has started to arrive", func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.progress == progressWritten && c.conn.responseStarted()
		})
		c.abandon(delivery.Cancelled)
		close(rest)
		if r := awaitResult(t, a); r.outcome != want.outcome || r.final != want.final {
			t.Errorf("%.12q: got %+v, want %+v", name, r, want)
		}
	}
}

// Guards against a request that is forwarded again after its endpoint has ended it by 410, because a copy of a delivery was taken for the
// response to its call, and the 410 came when no call waited for a response.
func TestGoneBehindCopyOfDeliveryIsNotForwardedAgain(t *testing.T) {
	for _, kind := range []string{"alert", "keyed", "charge"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			endpoint := newHangingEndpoint(300*time.Millisecond, responseGone)
			env, _ := startHang(t, endpoint, kind)
			env.waitFor("the second event is ended by a notice", func() bool { return env.hasNotice("second") })
			time.Sleep(time.Second) // longer than the delay before a repeat
			if n := endpoint.count(endpoint.received, "second"); n != 1 {
				t.Errorf("the second request was forwarded %d times, want 1", n)
			}
		})
	}
}
