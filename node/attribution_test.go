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

	"jaspersill/port"
	"jaspersill/store"
)

// copier is an endpoint whose answer to the first call of its first connection comes a second time, for the next call.
type copier struct {
	mu      sync.Mutex
	conns   map[net.Conn]int // calls
	first   string           // the answer that comes twice
	truth   string           // the answer to the call that the copy meets
	late    time.Duration    // after which the truth comes
	copyNow chan struct{}    // where not nil, the copy comes then
	bodies  []string
}

func (c *copier) act(conn net.Conn, body string) bool {
	c.mu.Lock()
	if c.conns == nil {
		c.conns = map[net.Conn]int{}
	}
	c.conns[conn]++
	calls, onFirst := c.conns[conn], len(c.conns) == 1
	c.bodies = append(c.bodies, body)
	c.mu.Unlock()
	switch {
	case onFirst && calls == 1:
		io.WriteString(conn, c.first)
		if c.copyNow != nil {
			go func() {
				<-c.copyNow
				io.WriteString(conn, c.first)
			}()
		}
		return true
	case onFirst && calls == 2 && c.copyNow == nil:
		io.WriteString(conn, c.first)
	}
	time.Sleep(c.late)
	io.WriteString(conn, c.truth)
	return true
}

func (c *copier) count(body string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.bodies {
		if b == body {
			n++
		}
	}
	return n
}

func (w *world) hasNotice(id string) bool {
	return slices.ContainsFunc(w.noticed(), func(n string) bool { return strings.Contains(n, fmt.Sprintf("%q", id)) })
}

// Guards against a copy of a delivery that is believed of the next request, which was refused and never ends.
func TestACopyOfADeliveryEndsNoOtherRequest(t *testing.T) {
	w := newWorld(t)
	at := &copier{first: answerOf("200 OK", "", ""), truth: answerOf("503 Full", "", ""), late: 50 * time.Millisecond}
	w.endpoint(1, at.act)
	w.run()
	c := w.dial()
	c.hand(request("first", "alert", "1", 1000, "first"))
	w.until("the first came", func() bool { return at.count("first") == 1 })
	time.Sleep(20 * time.Millisecond)
	c.hand(request("second", "alert", "1", 1000, "second"))
	w.until("the second came", func() bool { return at.count("second") == 1 })
	w.until("its end is told", func() bool { return w.hasNotice("second") })
	w.until("nothing is owed", w.journal.empty)
}

// Guards against a copy of a refusal that is believed of the next request, which ran and runs again.
func TestACopyOfARefusalRepeatsNoOtherRequest(t *testing.T) {
	w := newWorld(t)
	at := &copier{first: answerOf("503 Full", "", ""), truth: answerOf("200 OK", "", ""), late: 50 * time.Millisecond}
	w.endpoint(1, at.act)
	w.run()
	c := w.dial()
	c.hand(request("first", "alert", "1", 3000, "first"))
	w.until("the first came", func() bool { return at.count("first") == 1 })
	time.Sleep(200 * time.Millisecond)
	c.hand(request("second", "charge", "1", 3000, "second"))
	w.until("nothing is owed", w.journal.empty)
	if n := at.count("second"); n != 1 {
		t.Errorf("it ran %d times", n)
	}
}

// Guards against an outcome in doubt that a kill makes certain: the record of a delivery that may be another's.
func TestAKillWhileADeliveryIsInDoubtOwesItsNotice(t *testing.T) {
	w := newWorld(t)
	at := &copier{first: answerOf("200 OK", "", ""), truth: answerOf("503 Full", "", ""), late: long}
	w.endpoint(1, at.act)
	w.run()
	c := w.dial()
	c.hand(request("first", "alert", "1", 8000, "first"))
	w.until("the first came", func() bool { return at.count("first") == 1 })
	time.Sleep(20 * time.Millisecond)
	c.hand(request("second", "alert", "1", 8000, "second"))
	w.until("the second came", func() bool { return at.count("second") == 1 })
	w.until("its record says how it ends", func() bool {
		e := afterKill(t, w.folder)["second"]
		return e != nil && e.Verdict == store.Discarded
	})
}

// Guards against a copy that comes while an attempt's record is written and passes for its answer.
func TestACopyThatComesWhileAnAttemptIsRecordedIsNoAnswer(t *testing.T) {
	w := newWorld(t)
	disk := &faultyDisk{Dir: store.Dir(w.folder)}
	w.disk = disk
	at := &copier{first: answerOf("200 OK", "", ""), truth: answerOf("503 Full", "", ""), copyNow: make(chan struct{})}
	w.endpoint(1, at.act)
	w.run()
	c := w.dial()
	c.hand(request("first", "alert", "1", 1500, "first"))
	w.until("the first came", func() bool { return at.count("first") == 1 })
	time.Sleep(20 * time.Millisecond)
	disk.slow.Store(int64(30 * time.Millisecond))
	c.hand(request("second", "alert", "1", 1500, "second"))
	time.Sleep(15 * time.Millisecond) // its attempt is being recorded
	close(at.copyNow)
	disk.slow.Store(0)
	w.until("its end is told", func() bool { return w.hasNotice("second") })
}

// Guards against an answer to half a call that is believed of the whole: the endpoint begins it with its last byte.
func TestAnAnswerBeforeTheLastByteIsNone(t *testing.T) {
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
		io.WriteString(conn, answerOf("200 OK", "", ""))
		time.Sleep(50 * time.Millisecond)
		io.Copy(io.Discard, conn)
	}()
	p := newEndpoints(t, l.Addr().String())
	c := &call{of: p}
	s := newSend(t, c, "large", long)
	s.event.body = make([]byte, 40<<20)
	c.sends = []*send{s}
	go p.carry(c)
	if r := ending(t, s); r.how != port.ConnectFailed {
		t.Errorf("it ended as %v", r.how)
	}
}

// Guards against a connection that goes on after it brought the answer to another call of several.
func TestAnAnswerThatNamesOthersEndsItsConnection(t *testing.T) {
	at := newPeer(t, say(answerOf("200 OK", "", "other1 done\r\nother2 done\r\n")))
	p := newEndpoints(t, at.Addr().String())
	ends, _ := deliver(t, p, long, long)
	if ends[0].how != port.Spoilt || ends[1].how != port.Spoilt {
		t.Errorf("got %+v", ends)
	}
	select {
	case <-at.ended:
	case <-time.After(long):
		t.Error("its connection stays open")
	}
}

// Guards against a notice that counts as told by a copy of the answer to the one before it, and that nobody read.
func TestANoticeIsToldAgainUntilItsOwnAnswerCame(t *testing.T) {
	const ok = "HTTP/1.1 204 No Content\r\n\r\n"
	var mu sync.Mutex
	calls, read := map[net.Conn]int{}, map[string]int{}
	platform := newPeer(t, func(conn net.Conn, body string) bool {
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
	n, stop, told := openNotices(platform.Addr().String()), make(chan struct{}), make(chan struct{}, 10)
	defer close(stop)
	go n.run(stop)
	for i := range 5 {
		n.post(notice{id: fmt.Sprint("x", i), verdict: discarded, told: func() { told <- struct{}{} }})
		select {
		case <-told:
		case <-time.After(long):
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
func TestANoticeGoesOutWhileNoConnectionCanBeOpened(t *testing.T) {
	heard := make(chan string, 10)
	platform := newPeer(t, func(conn net.Conn, body string) bool {
		heard <- body
		return say("HTTP/1.1 204 No Content\r\n\r\n")(conn, body)
	})
	n, stop, told := openNotices(platform.Addr().String()), make(chan struct{}), make(chan struct{}, 10)
	defer close(stop)
	const within = 50 * time.Millisecond
	n.times(within, time.Millisecond)
	go n.run(stop)
	post := func(id string) {
		n.post(notice{id: id, verdict: discarded, told: func() { told <- struct{}{} }})
	}
	post("first")
	<-heard
	<-told
	w := &world{t: t}
	w.until("the next connection stands", func() bool { n.mu.Lock(); defer n.mu.Unlock(); return n.spare != nil })
	platform.Listener.Close() // from now on none can be opened
	post("second")
	<-heard
	<-told
	time.Sleep(2 * within) // it rests for longer than an answer may take
	post("third")
	select {
	case <-heard:
	case <-time.After(long):
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
func TestARequestThatComesAgainIsTakenOnOnceAndAnsweredEachTime(t *testing.T) {
	w := newWorld(t)
	at := w.endpoint(1, say(answerOf("200 OK", "", "")))
	w.run()
	taken, refused := request("taken", "charge", "1", 8000, ""), request("refused", "charge", "7", 8000, "")
	c := w.dial()
	io.WriteString(c, taken+taken)
	for range 2 {
		if status, _ := c.hear(""); status != statusTaken {
			t.Errorf("on one connection: %d", status)
		}
	}
	w.until("it has ended", w.journal.empty)
	if status, _ := w.dial().hand(taken); status != statusTaken {
		t.Errorf("after its end: %d", status)
	}
	c.hand(refused)
	w.directory.mu.Lock()
	w.directory.dests[7] = struct{}{} // it would be taken on now, though its client may have handed it in anew
	w.directory.mu.Unlock()
	if status, _ := w.dial().hand(refused); status != statusDeclined {
		t.Errorf("after a refusal: %d", status)
	}
	if calls, _ := at.calls(); calls != 1 || !w.journal.empty() {
		t.Errorf("%d calls", calls)
	}
	folder := copyAsKilled(t, w.folder)
	next := newWorld(t)
	next.folder, next.hosts = folder, w.hosts
	next.run()
	if status, _ := next.dial().hand(taken); status != statusTaken {
		t.Errorf("after a restart: %d", status)
	}
	time.Sleep(50 * time.Millisecond)
	if calls, _ := at.calls(); calls != 1 {
		t.Errorf("%d calls after the restart", calls)
	}
}

// Guards against requests of long ago that are remembered for good.
func TestRequestsOfLongAgoAreForgotten(t *testing.T) {
	var r received
	for i := range receivedMost + 10 {
		request, first := r.first(fmt.Sprint(i))
		if !first {
			t.Fatal("one that never came is known")
		}
		r.answer(request, answer{status: statusTaken})
	}
	if len(r.byID) != receivedMost || len(r.oldest) != receivedMost {
		t.Errorf("%d are known, %d in order", len(r.byID), len(r.oldest))
	}
	if _, first := r.first("0"); !first {
		t.Error("the oldest is still known")
	}
}

// Guards against an older list that comes again behind a newer one and brings back what was removed since.
func TestAListThatComesAgainChangesNothing(t *testing.T) {
	list := func(seq int, whole bool, health string) string {
		return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[{"host":"a","block":3,"health":%q}]}`+"\n", seq, whole, health)
	}
	var mu sync.Mutex
	watches := 0
	at := newPeer(t, func(conn net.Conn, _ string) bool {
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
	d, r := listen(t, at.Addr().String())
	d.watch(true)
	want := "whole=true 0/0/2/2/2/0 ; whole=false 0/0/2/2/1/0 ; whole=false ; whole=false 0/0/2/2/1/0 ;"
	w := &world{t: t}
	w.until("the first watch is read", func() bool { return len(r.all()) >= len(want) })
	if got := r.all(); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
	d.watch(true)
	w.until("a watch that begins with an older list fails", func() bool { return r.all() == want+" failed" })
	d.watch(true)
	w.until("the second one is believed", func() bool { return strings.HasPrefix(r.all(), want+" failed whole=true 0/0/2/2/2/0 ;") })
}

// Guards against an unused connection that is given up because nothing can be written for a moment, when no other can be
// opened either.
func TestANoticeThatCannotBeWrittenKeepsItsConnection(t *testing.T) {
	heard := make(chan string, 10)
	platform := newPeer(t, func(conn net.Conn, body string) bool {
		heard <- body
		return say("HTTP/1.1 204 No Content\r\n\r\n")(conn, body)
	})
	n, stop, told := openNotices(platform.Addr().String()), make(chan struct{}), make(chan struct{}, 10)
	defer close(stop)
	n.times(30*time.Millisecond, time.Millisecond)
	n.renewSpare()
	spare := n.spare
	spare.Conn = &faultyConn{TCPConn: spare.Conn.(*net.TCPConn), errno: syscall.ENOMEM, writes: 10, none: true}
	platform.Listener.Close()
	go n.run(stop)
	n.post(notice{id: "x", verdict: discarded, told: func() { told <- struct{}{} }})
	select {
	case <-told:
	case <-time.After(long):
		t.Fatal("it is never told, though its connection stands")
	}
}
