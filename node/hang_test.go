package node

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"jaspersill/store"
)

const (
	hangCopyDelay = 30 * time.Millisecond // after the call that takes the copy for its response
	hangReset     = ""                    // the end of a hang at which the connection is reset
)

// hangingEndpoint is an endpoint whose response to the first call on its first connection arrives a second time, under the
// next call. It hangs under that call, does not execute it, and ends it with hangEnd.
type hangingEndpoint struct {
	hang     time.Duration
	hangEnd  string
	response string // to all other calls; the one to the first call is copied

	mu       sync.Mutex
	first    net.Conn
	calls    int // on the first connection
	received map[string]int
	executed map[string]int
}

func newHangingEndpoint(hang time.Duration, hangEnd string) *hangingEndpoint {
	return &hangingEndpoint{hang: hang, hangEnd: hangEnd, response: httpResponse("200 OK", "", ""), received: map[string]int{}, executed: map[string]int{}}
}

func (e *hangingEndpoint) handle(conn net.Conn, body string) bool {
	e.mu.Lock()
	if e.first == nil {
		e.first = conn
	}
	hangs := false
	if conn == e.first {
		e.calls++
		hangs = e.calls == 2
	}
	e.received[body]++
	if !hangs {
		e.executed[body]++
	}
	e.mu.Unlock()
	if !hangs {
		io.WriteString(conn, e.response)
		return true
	}
	time.Sleep(hangCopyDelay)
	io.WriteString(conn, e.response)
	time.Sleep(e.hang)
	if e.hangEnd == hangReset {
		conn.(*net.TCPConn).SetLinger(0)
		return false
	}
	io.WriteString(conn, e.hangEnd)
	return true
}

func (e *hangingEndpoint) count(of map[string]int, body string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return of[body]
}

// startHang starts a node and submits an event whose call the endpoint takes and hangs under, after the copy.
func startHang(t *testing.T, e *hangingEndpoint, kind string) (*testEnv, *testClient) {
	env := newTestEnv(t)
	env.addEndpoint(1, e.handle)
	env.startNode()
	c := env.dial()
	c.submit(submitRequest("first", "alert", "1", 8000, "first"))
	env.waitFor("the first event is completed", env.journal.empty)
	c.submit(submitRequest("second", kind, "1", 8000, "second"))
	env.waitFor("the second call is received", func() bool { return e.count(e.received, "second") == 1 })
	time.Sleep(2 * hangCopyDelay)
	return env, c
}

// Guards against an endpoint that hangs being taken for a connection in sync: the late refusal of the call before would count as that of
// a request which must not be repeated, and which would run twice.
func TestLateRefusalAfterRestDoesNotRepeatNextRequest(t *testing.T) {
	for name, end := range map[string]string{"429": httpResponse("429 Full", "", ""), "503": httpResponse("503 Full", "", "")} {
		t.Run(name, func(t *testing.T) {
			endpoint := newHangingEndpoint(1200*time.Millisecond, end)
			env, c := startHang(t, endpoint, "alert")
			time.Sleep(800 * time.Millisecond) // the connection rests
			c.submit(submitRequest("third", "charge", "1", 8000, "third"))
			env.waitFor("the third call is executed", func() bool { return endpoint.count(endpoint.executed, "third") == 1 })
			env.waitFor("the third event has ended", func() bool { return env.hasNotice("third") || env.journal.empty() })
			time.Sleep(2 * time.Second) // longer than the delay before a repeat
			if n := endpoint.count(endpoint.executed, "third"); n != 1 {
				t.Errorf("the third request ran %d times, want 1", n)
			}
		})
	}
}

// Guards against a delivery that counts as confirmed once its call's timeout has passed, although the endpoint still hangs under the
// call and does not execute it: the request would be lost.
func TestHangLongerThanCallTimeoutDoesNotLoseRequest(t *testing.T) {
	const hang = 3 * time.Second // the timeout is half the dedup window, 2 s
	for name, end := range map[string]string{"429": httpResponse("429 Full", "", ""), "503": httpResponse("503 Full", "", ""), "reset": hangReset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoint := newHangingEndpoint(hang, end)
			env, _ := startHang(t, endpoint, "keyed")
			env.waitFor("the second event is executed or ended by a notice", func() bool {
				return endpoint.count(endpoint.executed, "second") == 1 || env.hasNotice("second")
			})
		})
	}
}

// Guards against a drain that takes a delivery for confirmed after a short rest, while the endpoint hangs under its call: the next
// process would know nothing of the request, and it would be lost.
func TestHangDuringDrainDoesNotLoseRequest(t *testing.T) {
	for name, end := range map[string]string{"429": httpResponse("429 Full", "", ""), "503": httpResponse("503 Full", "", ""), "reset": hangReset} {
		for _, kind := range []string{"alert", "keyed", "charge"} {
			t.Run(name+" "+kind, func(t *testing.T) {
				t.Parallel()
				endpoint := newHangingEndpoint(time.Second, end)
				env, _ := startHang(t, endpoint, kind)
				env.stop()
				env.waitFor("the node has stopped", func() bool { return env.Phase() == Stopped })
				found, err := store.Recover(store.Dir(copyAsKilled(t, env.folder)))
				if err != nil {
					t.Fatal(err)
				}
				owed := len(found.Events) == 1 && found.Events[0].ID == "second"
				if !owed && !env.hasNotice("second") {
					t.Errorf("the journal owes %d events and no notice of the second event came", len(found.Events))
				}
			})
		}
	}
}
