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

// duplicatingEndpoint is an endpoint whose answer to the first call of its first connection comes a second time, for the next call.
type duplicatingEndpoint struct {
	mu            sync.Mutex
	callsByConn   map[net.Conn]int // calls
	firstResponse string           // the answer that comes twice
	realResponse  string           // the answer to the call that the copy meets
	realDelay     time.Duration    // after which the truth comes
	sendCopy      chan struct{}    // where not nil, the copy comes then
	bodies        []string
}

func (c *duplicatingEndpoint) handle(conn net.Conn, body string) bool {
	c.mu.Lock()
	if c.callsByConn == nil {
		c.callsByConn = map[net.Conn]int{}
	}
	c.callsByConn[conn]++
	calls, onFirst := c.callsByConn[conn], len(c.callsByConn) == 1
	c.bodies = append(c.bodies, body)
	c.mu.Unlock()
	switch {
	case onFirst && calls == 1:
		io.WriteString(conn, c.firstResponse)
		if c.sendCopy != nil {
			go func() {
				<-c.sendCopy
				io.WriteString(conn, c.firstResponse)
			}()
		}
		return true
	case onFirst && calls == 2 && c.sendCopy == nil:
		io.WriteString(conn, c.firstResponse)
	}
	time.Sleep(c.realDelay)
	io.WriteString(conn, c.realResponse)
	return true
}

func (c *duplicatingEndpoint) callsWithBody(body string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.bodies {
		if b == body {
			n++
		}
	}
	return n
}

func (w *testEnv) hasNotice(id string) bool {
	return slices.ContainsFunc(w.receivedNotices(), func(n string) bool { return strings.Contains(n, fmt.Sprintf("%q", id)) })
}

// Guards against a copy of a delivery that is believed of the next request, which was refused and never ends.
func TestDuplicateDeliveryResponseDoesNotCompleteNextRequest(t *testing.T) {
	w := newTestEnv(t)
	at := &duplicatingEndpoint{firstResponse: httpResponse("200 OK", "", ""), realResponse: httpResponse("503 Full", "", ""), realDelay: 50 * time.Millisecond}
	w.addEndpoint(1, at.handle)
	w.startNode()
	c := w.dial()
	c.submit(submitRequest("first", "alert", "1", 1000, "first"))
	w.waitFor("the first came", func() bool { return at.callsWithBody("first") == 1 })
	time.Sleep(20 * time.Millisecond)
	c.submit(submitRequest("second", "alert", "1", 1000, "second"))
	w.waitFor("the second came", func() bool { return at.callsWithBody("second") == 1 })
	w.waitFor("its end is told", func() bool { return w.hasNotice("second") })
	w.waitFor("nothing is owed", w.journal.empty)
}

// Guards against a copy of a refusal that is believed of the next request, which ran and runs again.
func TestDuplicateRefusalDoesNotRepeatNextRequest(t *testing.T) {
	w := newTestEnv(t)
	at := &duplicatingEndpoint{firstResponse: httpResponse("503 Full", "", ""), realResponse: httpResponse("200 OK", "", ""), realDelay: 50 * time.Millisecond}
	w.addEndpoint(1, at.handle)
	w.startNode()
	c := w.dial()
	c.submit(submitRequest("first", "alert", "1", 3000, "first"))
	w.waitFor("the first came", func() bool { return at.callsWithBody("first") == 1 })
	time.Sleep(200 * time.Millisecond)
	c.submit(submitRequest("second", "charge", "1", 3000, "second"))
	w.waitFor("nothing is owed", w.journal.empty)
	if n := at.callsWithBody("second"); n != 1 {
		t.Errorf("it ran %d times", n)
	}
}

// Guards against an outcome in doubt that a kill makes certain: the record of a delivery that may be another's.
func TestKillDuringUnconfirmedDeliveryStillOwesNotice(t *testing.T) {
	w := newTestEnv(t)
	at := &duplicatingEndpoint{firstResponse: httpResponse("200 OK", "", ""), realResponse: httpResponse("503 Full", "", ""), realDelay: testTimeout}
	w.addEndpoint(1, at.handle)
	w.startNode()
	c := w.dial()
	c.submit(submitRequest("first", "alert", "1", 8000, "first"))
	w.waitFor("the first came", func() bool { return at.callsWithBody("first") == 1 })
	time.Sleep(20 * time.Millisecond)
	c.submit(submitRequest("second", "alert", "1", 8000, "second"))
	w.waitFor("the second came", func() bool { return at.callsWithBody("second") == 1 })
	w.waitFor("its record says how it ends", func() bool {
		e := recoverAfterKill(t, w.folder)["second"]
		return e != nil && e.Verdict == store.Discarded
	})
}

// Guards against a copy that comes while an attempt's record is written and passes for its answer.
func TestDuplicateResponseWhileRecordingAttemptIsIgnored(t *testing.T) {
	w := newTestEnv(t)
	disk := &faultyDisk{Dir: store.Dir(w.folder)}
	w.disk = disk
	at := &duplicatingEndpoint{firstResponse: httpResponse("200 OK", "", ""), realResponse: httpResponse("503 Full", "", ""), sendCopy: make(chan struct{})}
	w.addEndpoint(1, at.handle)
	w.startNode()
	c := w.dial()
	c.submit(submitRequest("first", "alert", "1", 1500, "first"))
	w.waitFor("the first came", func() bool { return at.callsWithBody("first") == 1 })
	time.Sleep(20 * time.Millisecond)
	disk.writeDelay.Store(int64(30 * time.Millisecond))
	c.submit(submitRequest("second", "alert", "1", 1500, "second"))
	time.Sleep(15 * time.Millisecond) // its attempt is being recorded
	close(at.sendCopy)
	disk.writeDelay.Store(0)
	w.waitFor("its end is told", func() bool { return w.hasNotice("second") })
}

// Guards against an answer to half a call that is believed of the whole: the endpoint begins it with its last byte.
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
	s := newTestAttempt(t, c, "large", testTimeout)
	s.event.body = make([]byte, 40<<20)
	c.attempts = []*attempt{s}
	go p.execute(c)
	if r := awaitResult(t, s); r.outcome != delivery.ConnectFailed {
		t.Errorf("it ended as %v", r.outcome)
	}
}

// Guards against a connection that goes on after it brought the answer to another call of several.
func TestBulkResponseWithOtherIDsClosesConnection(t *testing.T) {
	at := newTestEndpoint(t, respond(httpResponse("200 OK", "", "other1 done\r\nother2 done\r\n")))
	p := newTestPool(t, at.Addr().String())
	ends, _ := executeCall(t, p, testTimeout, testTimeout)
	if ends[0].outcome != delivery.Unreadable || ends[1].outcome != delivery.Unreadable {
		t.Errorf("got %+v", ends)
	}
	select {
	case <-at.disconnected:
	case <-time.After(testTimeout):
		t.Error("its connection stays open")
	}
}

// Guards against a notice that counts as told by a copy of the answer to the one before it, and that nobody read.
func TestNoticeIsRetriedUntilItsOwnResponse(t *testing.T) {
	const ok = "HTTP/1.1 204 No Content\r\n\r\n"
	var mu sync.Mutex
	calls, read := map[net.Conn]int{}, map[string]int{}
	platform := newTestEndpoint(t, func(conn net.Conn, body string) bool {
		mu.Lock()
		defer mu.Unlock()
		if calls[conn]++; calls[conn] > 1 { // the copy comes, and the connection breaks over the notice
			io.WriteString(conn, ok)
			return false
		}
		read[body]++
		io.WriteString(conn, ok)
		return true
	})
	n, stop, told := newNoticeSender(platform.Addr().String()), make(chan struct{}), make(chan struct{}, 10)
	defer close(stop)
	go n.run(stop)
	for i := range 5 {
		n.enqueue(notice{id: fmt.Sprint("x", i), verdict: discarded, onAcknowledged: func() { told <- struct{}{} }})
		select {
		case <-told:
		case <-time.After(testTimeout):
			t.Fatal("it is never told")
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(read) != 5 {
		t.Errorf("%d of 5 notices that count as told were read", len(read))
	}
}

// Guards against a notice that waits for a new connection while none can be opened, though an old one stands.
func TestNoticeUsesOldConnectionWhenDialFails(t *testing.T) {
	heard := make(chan string, 10)
	platform := newTestEndpoint(t, func(conn net.Conn, body string) bool {
		heard <- body
		return respond("HTTP/1.1 204 No Content\r\n\r\n")(conn, body)
	})
	n, stop, told := newNoticeSender(platform.Addr().String()), make(chan struct{}), make(chan struct{}, 10)
	defer close(stop)
	const within = 50 * time.Millisecond
	n.setTimeouts(within, time.Millisecond)
	go n.run(stop)
	post := func(id string) {
		n.enqueue(notice{id: id, verdict: discarded, onAcknowledged: func() { told <- struct{}{} }})
	}
	post("first")
	<-heard
	<-told
	w := &testEnv{t: t}
	w.waitFor("the next connection stands", func() bool { n.mu.Lock(); defer n.mu.Unlock(); return n.spare != nil })
	platform.Listener.Close() // from now on none can be opened
	post("second")
	<-heard
	<-told
	time.Sleep(2 * within) // it rests for longer than an answer may take
	post("third")
	select {
	case <-heard:
	case <-time.After(testTimeout):
		t.Error("it never goes out")
	}
	select {
	case <-told:
		t.Error("it counts as told, by an answer that may be a copy")
	case <-time.After(50 * time.Millisecond):
	}
}

// Guards against a request that a path repeats: on its connection, on another one, while it is owed, after its end, after a
// refusal and after a restart it is taken on once, and answered each time.
func TestRepeatedRequestIsAcceptedOnceAndAnsweredEachTime(t *testing.T) {
	w := newTestEnv(t)
	at := w.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
	w.startNode()
	taken, refused := submitRequest("taken", "charge", "1", 8000, ""), submitRequest("refused", "charge", "7", 8000, "")
	c := w.dial()
	io.WriteString(c, taken+taken)
	for range 2 {
		if status, _ := c.readResponse(""); status != statusAccepted {
			t.Errorf("on one connection: %d", status)
		}
	}
	w.waitFor("it has ended", w.journal.empty)
	if status, _ := w.dial().submit(taken); status != statusAccepted {
		t.Errorf("after its end: %d", status)
	}
	c.submit(refused)
	w.directory.mu.Lock()
	w.directory.knownDests[7] = struct{}{} // it would be taken on now, though its client may have handed it in anew
	w.directory.mu.Unlock()
	if status, _ := w.dial().submit(refused); status != statusDeclined {
		t.Errorf("after a refusal: %d", status)
	}
	if calls, _ := at.counts(); calls != 1 || !w.journal.empty() {
		t.Errorf("%d calls", calls)
	}
	folder := copyAsKilled(t, w.folder)
	next := newTestEnv(t)
	next.folder, next.hosts = folder, w.hosts
	next.startNode()
	if status, _ := next.dial().submit(taken); status != statusAccepted {
		t.Errorf("after a restart: %d", status)
	}
	time.Sleep(50 * time.Millisecond)
	if calls, _ := at.counts(); calls != 1 {
		t.Errorf("%d calls after the restart", calls)
	}
}

// Guards against requests of long ago that are remembered for good.
func TestOldRequestIDsAreEvicted(t *testing.T) {
	var r recentRequests
	for i := range maxRecentRequests + 10 {
		request, first := r.add(fmt.Sprint(i))
		if !first {
			t.Fatal("one that never came is known")
		}
		r.complete(request, clientResponse{status: statusAccepted})
	}
	if len(r.byID) != maxRecentRequests || len(r.answeredOrder) != maxRecentRequests {
		t.Errorf("%d are known, %d in order", len(r.byID), len(r.answeredOrder))
	}
	if _, first := r.add("0"); !first {
		t.Error("the oldest is still known")
	}
}

// Guards against an older list that comes again behind a newer one and brings back what was removed since.
func TestOlderEndpointListIsIgnored(t *testing.T) {
	list := func(seq int, whole bool, health string) string {
		return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[{"host":"a","block":3,"health":%q}]}`+"\n", seq, whole, health)
	}
	var mu sync.Mutex
	watches := 0
	at := newTestEndpoint(t, func(conn net.Conn, _ string) bool {
		mu.Lock()
		watches++
		first := watches == 1
		mu.Unlock()
		lines := []string{list(5, true, "Ready")} // each later watch begins with a list from long ago
		if first {
			lines = []string{list(7, true, "Ready"), list(9, false, "Terminating"), list(7, true, "Ready"), list(9, false, "Terminating")}
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, line := range lines {
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(line), line)
		}
		return first
	})
	d, r := newTestDirectory(t, at.Addr().String())
	d.setWatching(true)
	want := "whole=true 0/0/2/2/2/0 ; whole=false 0/0/2/2/1/0 ; whole=false ; whole=false 0/0/2/2/1/0 ;"
	w := &testEnv{t: t}
	w.waitFor("the first watch is read", func() bool { return len(r.joined()) >= len(want) })
	if got := r.joined(); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
	d.setWatching(true)
	w.waitFor("a watch that begins with an older list fails", func() bool { return r.joined() == want+" failed" })
	d.setWatching(true)
	w.waitFor("the second one is believed", func() bool { return strings.HasPrefix(r.joined(), want+" failed whole=true 0/0/2/2/2/0 ;") })
}

// Guards against an unused connection that is given up because nothing can be written for a moment, when no other can be
// opened either.
func TestNoticeWriteFailureKeepsConnection(t *testing.T) {
	heard := make(chan string, 10)
	platform := newTestEndpoint(t, func(conn net.Conn, body string) bool {
		heard <- body
		return respond("HTTP/1.1 204 No Content\r\n\r\n")(conn, body)
	})
	n, stop, told := newNoticeSender(platform.Addr().String()), make(chan struct{}), make(chan struct{}, 10)
	defer close(stop)
	n.setTimeouts(30*time.Millisecond, time.Millisecond)
	n.ensureSpare()
	spare := n.spare
	spare.Conn = &faultyConn{TCPConn: spare.Conn.(*net.TCPConn), errno: syscall.ENOMEM, failWrites: 10, writeNothing: true}
	platform.Listener.Close()
	go n.run(stop)
	n.enqueue(notice{id: "x", verdict: discarded, onAcknowledged: func() { told <- struct{}{} }})
	select {
	case <-told:
	case <-time.After(testTimeout):
		t.Fatal("it is never told, though its connection stands")
	}
}
