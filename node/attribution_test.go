package node

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"jaspersill/delivery"
	"jaspersill/store"
)

// duplicatingEndpoint is an endpoint whose response to the first call on its first connection arrives a second time, where
// the response to the next call is expected.
type duplicatingEndpoint struct {
	mu            sync.Mutex
	callsByConn   map[net.Conn]int
	firstResponse string        // the response that is duplicated
	realResponse  string        // the response to all other calls
	realDelay     time.Duration // delay before realResponse
	sendCopy      chan struct{} // if not nil, the copy is sent once it is closed
	bodies        []string
}

func (e *duplicatingEndpoint) handle(conn net.Conn, body string) bool {
	e.mu.Lock()
	if e.callsByConn == nil {
		e.callsByConn = map[net.Conn]int{}
	}
	e.callsByConn[conn]++
	calls, onFirst := e.callsByConn[conn], len(e.callsByConn) == 1
	e.bodies = append(e.bodies, body)
	e.mu.Unlock()
	switch {
	case onFirst && calls == 1:
		io.WriteString(conn, e.firstResponse)
		if e.sendCopy != nil {
			go func() {
				<-e.sendCopy
				io.WriteString(conn, e.firstResponse)
			}()
		}
		return true
	case onFirst && calls == 2 && e.sendCopy == nil:
		io.WriteString(conn, e.firstResponse)
	}
	time.Sleep(e.realDelay)
	io.WriteString(conn, e.realResponse)
	return true
}

func (e *duplicatingEndpoint) callsWithBody(body string) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range e.bodies {
		if b == body {
			n++
		}
	}
	return n
}

func (env *testEnv) hasNotice(id string) bool {
	return slices.ContainsFunc(env.receivedNotices(), func(n string) bool { return strings.Contains(n, fmt.Sprintf("%q", id)) })
}

// Guards against a duplicated 200 response being taken for the response to the next request, which was refused: that
// request would count as delivered and the platform would never hear of it.
func TestDuplicateDeliveryResponseDoesNotCompleteNextRequest(t *testing.T) {
	env := newTestEnv(t)
	endpoint := &duplicatingEndpoint{firstResponse: httpResponse("200 OK", "", ""), realResponse: httpResponse("503 Full", "", ""), realDelay: 50 * time.Millisecond}
	env.addEndpoint(1, endpoint.handle)
	env.startNode()
	c := env.dial()
	c.submit(submitRequest("first", "alert", "1", 1000, "first"))
	env.waitFor("the first call is received", func() bool { return endpoint.callsWithBody("first") == 1 })
	time.Sleep(20 * time.Millisecond)
	c.submit(submitRequest("second", "alert", "1", 1000, "second"))
	env.waitFor("the second call is received", func() bool { return endpoint.callsWithBody("second") == 1 })
	env.waitFor("the notice of the second event is received", func() bool { return env.hasNotice("second") })
	env.waitFor("the journal is empty", env.journal.empty)
}

// Guards against a duplicated refusal being taken for the response to the next request, which ran: a request that is not
// idempotent would be sent again.
func TestDuplicateRefusalDoesNotRepeatNextRequest(t *testing.T) {
	env := newTestEnv(t)
	endpoint := &duplicatingEndpoint{firstResponse: httpResponse("503 Full", "", ""), realResponse: httpResponse("200 OK", "", ""), realDelay: 50 * time.Millisecond}
	env.addEndpoint(1, endpoint.handle)
	env.startNode()
	c := env.dial()
	c.submit(submitRequest("first", "alert", "1", 3000, "first"))
	env.waitFor("the first call is received", func() bool { return endpoint.callsWithBody("first") == 1 })
	time.Sleep(200 * time.Millisecond)
	c.submit(submitRequest("second", "charge", "1", 3000, "second"))
	env.waitFor("the journal is empty", env.journal.empty)
	if n := endpoint.callsWithBody("second"); n != 1 {
		t.Errorf("the second event ran %d times, want 1", n)
	}
}

// Guards against a kill that turns an unconfirmed delivery into a confirmed one, because the journal records as delivered an
// event whose response may belong to another call. After a restart, one that may be repeated is sent again, and any other is
// ended by a notice.
func TestKillDuringUnconfirmedDeliveryStillOwesEnd(t *testing.T) {
	for kind, recovers := range map[string]func(*store.Event) bool{
		"charge": func(e *store.Event) bool { return e.Resolution == store.Discarded },
		"alert": func(e *store.Event) bool {
			return e.Resolution == store.Unresolved && len(e.Attempts) == 1 && e.Attempts[0].MayHaveRun() && string(e.Body) == "second"
		},
	} {
		env := newTestEnv(t)
		endpoint := &duplicatingEndpoint{firstResponse: httpResponse("200 OK", "", ""), realResponse: httpResponse("503 Full", "", ""), realDelay: testTimeout}
		env.addEndpoint(1, endpoint.handle)
		env.startNode()
		c := env.dial()
		c.submit(submitRequest("first", "alert", "1", 8000, "first"))
		env.waitFor("the first call is received", func() bool { return endpoint.callsWithBody("first") == 1 })
		time.Sleep(20 * time.Millisecond)
		c.submit(submitRequest("second", kind, "1", 8000, "second"))
		env.waitFor("the second call is received", func() bool { return endpoint.callsWithBody("second") == 1 })
		time.Sleep(200 * time.Millisecond) // the copy was read
		env.waitFor("the journal still owes the end of the second event, "+kind, func() bool {
			e := recoverAfterKill(t, env.folder)["second"]
			return e != nil && recovers(e)
		})
	}
}

// Guards against a duplicated response that arrives while the next attempt is being recorded, before that attempt is sent,
// and is taken for its response.
func TestDuplicateResponseWhileRecordingAttemptIsIgnored(t *testing.T) {
	env := newTestEnv(t)
	disk := &faultyDisk{Dir: store.Dir(env.folder)}
	env.disk = disk
	endpoint := &duplicatingEndpoint{firstResponse: httpResponse("200 OK", "", ""), realResponse: httpResponse("503 Full", "", ""), sendCopy: make(chan struct{})}
	env.addEndpoint(1, endpoint.handle)
	env.startNode()
	c := env.dial()
	c.submit(submitRequest("first", "alert", "1", 1500, "first"))
	env.waitFor("the first call is received", func() bool { return endpoint.callsWithBody("first") == 1 })
	time.Sleep(20 * time.Millisecond)
	disk.writeDelay.Store(int64(30 * time.Millisecond))
	c.submit(submitRequest("second", "alert", "1", 1500, "second"))
	time.Sleep(15 * time.Millisecond) // the second attempt is being recorded
	close(endpoint.sendCopy)
	disk.writeDelay.Store(0)
	env.waitFor("the notice of the second event is received", func() bool { return env.hasNotice("second") })
}

// Guards against trusting a response that arrives before the call was written completely: an endpoint starts a call only
// once its last byte has arrived.
func TestResponseBeforeLastByteIsIgnored(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		io.ReadFull(conn, make([]byte, 1000))
		io.WriteString(conn, httpResponse("200 OK", "", ""))
		time.Sleep(50 * time.Millisecond)
		io.Copy(io.Discard, conn)
	}()
	p := newTestPool(t, l.Addr().String())
	c := &call{pool: p}
	a := newTestAttempt(t, c, "large", testTimeout)
	a.event.body = make([]byte, 40<<20)
	c.attempts = []*attempt{a}
	go p.execute(c)
	if r := awaitResult(t, a); r.outcome != delivery.ConnectFailed {
		t.Errorf("outcome %v, want %v", r.outcome, delivery.ConnectFailed)
	}
}

// Guards against reusing a connection after it delivered the response to another bulk call.
func TestBulkResponseWithOtherIDsClosesConnection(t *testing.T) {
	endpoint := newTestEndpoint(t, respond(httpResponse("200 OK", "", "other1 done\r\nother2 done\r\n")))
	p := newTestPool(t, endpoint.Addr().String())
	results, _ := executeCall(t, p, testTimeout, testTimeout)
	if results[0].outcome != delivery.Unreadable || results[1].outcome != delivery.Unreadable {
		t.Errorf("got %+v", results)
	}
	select {
	case <-endpoint.disconnected:
	case <-time.After(testTimeout):
		t.Error("the connection is still open")
	}
}

// Guards against a notice that the platform never read but that counts as acknowledged because of a copy of the response to
// the previous notice.
func TestNoticeIsRetriedUntilItsOwnResponse(t *testing.T) {
	const ok = "HTTP/1.1 204 No Content\r\n\r\n"
	var mu sync.Mutex
	calls, read := map[net.Conn]int{}, map[string]int{}
	platform := newTestEndpoint(t, func(conn net.Conn, body string) bool {
		mu.Lock()
		defer mu.Unlock()
		if calls[conn]++; calls[conn] > 1 { // a copy of the response arrives, and the connection fails before the notice is read
			io.WriteString(conn, ok)
			return false
		}
		read[body]++
		io.WriteString(conn, ok)
		return true
	})
	n, stop, acknowledged := newNoticeSender(platform.Addr().String()), make(chan struct{}), make(chan struct{}, 10)
	defer close(stop)
	go n.run(stop)
	for i := range 5 {
		n.enqueue(notice{id: fmt.Sprint("x", i), resolution: discarded, onAcknowledged: func() { acknowledged <- struct{}{} }})
		select {
		case <-acknowledged:
		case <-time.After(testTimeout):
			t.Fatal("the notice was never acknowledged")
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(read) != 5 {
		t.Errorf("the platform read %d of 5 acknowledged notices", len(read))
	}
}

// Guards against a notice that waits for a new connection while none can be opened although a used one is still open.
func TestNoticeUsesOldConnectionWhenDialFails(t *testing.T) {
	posts := make(chan string, 10)
	platform := newTestEndpoint(t, func(conn net.Conn, body string) bool {
		posts <- body
		return respond("HTTP/1.1 204 No Content\r\n\r\n")(conn, body)
	})
	n, stop, acknowledged := newNoticeSender(platform.Addr().String()), make(chan struct{}), make(chan struct{}, 10)
	defer close(stop)
	const timeout = 50 * time.Millisecond
	n.setTimeouts(timeout, time.Millisecond)
	go n.run(stop)
	post := func(id string) {
		n.enqueue(notice{id: id, resolution: discarded, onAcknowledged: func() { acknowledged <- struct{}{} }})
	}
	post("first")
	<-posts
	<-acknowledged
	env := &testEnv{t: t}
	env.waitFor("the spare connection is open", func() bool { n.mu.Lock(); defer n.mu.Unlock(); return n.spare != nil })
	platform.Listener.Close() // no further connection can be opened
	post("second")
	<-posts
	<-acknowledged
	time.Sleep(2 * timeout) // the connection is idle for longer than a response may take
	post("third")
	select {
	case <-posts:
	case <-time.After(testTimeout):
		t.Error("the notice was never posted")
	}
	select {
	case <-acknowledged:
		t.Error("the notice counts as acknowledged by a response that may be a copy")
	case <-time.After(50 * time.Millisecond):
	}
}

// Guards against processing a request twice that the network duplicated. A copy on the same or another connection, while
// the event is pending, after its completion, after a refusal or after a restart is answered, but the request is accepted
// only once.
func TestRepeatedRequestIsAcceptedOnceAndAnsweredEachTime(t *testing.T) {
	env := newTestEnv(t)
	endpoint := env.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
	env.startNode()
	taken, refused := submitRequest("taken", "charge", "1", 8000, ""), submitRequest("refused", "charge", "7", 8000, "")
	c := env.dial()
	io.WriteString(c, taken+taken)
	for range 2 {
		if status, _ := c.readResponse(""); status != statusAccepted {
			t.Errorf("copy on the same connection: status %d", status)
		}
	}
	env.waitFor("the event is completed", env.journal.empty)
	if status, _ := env.dial().submit(taken); status != statusAccepted {
		t.Errorf("copy after completion: status %d", status)
	}
	c.submit(refused)
	env.directory.mu.Lock()
	env.directory.knownDests[7] = struct{}{} // the destination is known now, but the client may have submitted the event again
	env.directory.mu.Unlock()
	if status, _ := env.dial().submit(refused); status != statusDeclined {
		t.Errorf("copy after a refusal: status %d", status)
	}
	if calls, _ := endpoint.counts(); calls != 1 || !env.journal.empty() {
		t.Errorf("%d calls, want 1, or the journal is not empty", calls)
	}
	folder := copyAsKilled(t, env.folder)
	next := newTestEnv(t)
	next.folder, next.hosts = folder, env.hosts
	next.startNode()
	if status, _ := next.dial().submit(taken); status != statusAccepted {
		t.Errorf("copy after a restart: status %d", status)
	}
	time.Sleep(50 * time.Millisecond)
	if calls, _ := endpoint.counts(); calls != 1 {
		t.Errorf("%d calls after the restart, want 1", calls)
	}
}

// Guards against request ids that are remembered forever, so that the memory for them grows without bound.
func TestOldRequestIDsAreEvicted(t *testing.T) {
	r := newRecentRequests(maxRecentRequests + 1) // no more than maxRecentRequests
	for i := range maxRecentRequests + 10 {
		request, first := r.add(fmt.Sprint(i))
		if !first {
			t.Fatal("a new request counts as known")
		}
		r.complete(request, clientResponse{status: statusAccepted})
	}
	if len(r.accepted.byID) != maxRecentRequests || len(r.accepted.order) != maxRecentRequests || len(r.pending) > 0 {
		t.Errorf("%d requests by id, %d in order and %d pending, want %d", len(r.accepted.byID), len(r.accepted.order), len(r.pending),
			maxRecentRequests)
	}
	if _, first := r.add("0"); !first {
		t.Error("the oldest request was not evicted")
	}
	for i := range maxRecentRequests { // as many refused ones do not evict an accepted one
		request, _ := r.add(fmt.Sprint("refused", i))
		r.complete(request, clientResponse{status: statusDeclined})
	}
	if _, first := r.add(fmt.Sprint(maxRecentRequests)); first {
		t.Error("an accepted request was evicted by refused ones")
	}
	if held := len(r.refused.byID); held > maxRecentRequests/refusedDivisor {
		t.Errorf("%d refused requests are remembered", held)
	}
}

// Guards against an older endpoint list that arrives again after a newer one and restores removed endpoints.
func TestOlderEndpointListIsIgnored(t *testing.T) {
	list := func(seq int, whole bool, health string) string {
		return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[{"host":"a","block":3,"health":%q}]}`+"\n", seq, whole, health)
	}
	var mu sync.Mutex
	watches := 0
	endpoint := newTestEndpoint(t, func(conn net.Conn, _ string) bool {
		mu.Lock()
		watches++
		first := watches == 1
		mu.Unlock()
		lines := []string{list(5, true, "Ready")} // each later watch begins with an old list
		if first {
			lines = []string{list(7, true, "Ready"), list(9, false, "Terminating"), list(7, true, "Ready"), list(9, false, "Terminating")}
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, line := range lines {
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(line), line)
		}
		return first
	})
	d, r := newTestDirectory(t, endpoint.Addr().String())
	d.setWatching(true)
	want := "whole=true 0/0/2/2/2/0 ; whole=false 0/0/2/2/1/0 ; whole=false ; whole=false 0/0/2/2/1/0 ;"
	env := &testEnv{t: t}
	env.waitFor("the first watch is read", func() bool { return len(r.joined()) >= len(want) })
	if got := r.joined(); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
	d.setWatching(true)
	env.waitFor("a watch that begins with an older list fails", func() bool { return r.joined() == want+" failed" })
	d.setWatching(true)
	env.waitFor("an older list is accepted on the next watch", func() bool { return strings.HasPrefix(r.joined(), want+" failed whole=true 0/0/2/2/2/0 ;") })
}

// Guards against closing the spare connection because a write temporarily fails, at a time when no other connection can be
// opened.
func TestNoticeWriteFailureKeepsConnection(t *testing.T) {
	posts := make(chan string, 10)
	platform := newTestEndpoint(t, func(conn net.Conn, body string) bool {
		posts <- body
		return respond("HTTP/1.1 204 No Content\r\n\r\n")(conn, body)
	})
	n, stop, acknowledged := newNoticeSender(platform.Addr().String()), make(chan struct{}), make(chan struct{}, 10)
	defer close(stop)
	n.setTimeouts(30*time.Millisecond, time.Millisecond)
	n.ensureSpare()
	spare := n.spare
	spare.Conn = &faultyConn{TCPConn: spare.Conn.(*net.TCPConn), errno: syscall.ENOMEM, failWrites: 10, writeNothing: true}
	platform.Listener.Close()
	go n.run(stop)
	n.enqueue(notice{id: "x", resolution: discarded, onAcknowledged: func() { acknowledged <- struct{}{} }})
	select {
	case <-acknowledged:
	case <-time.After(testTimeout):
		t.Fatal("the notice was never acknowledged although its connection is open")
	}
}
