package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"jaspersill/delivery"
	"jaspersill/lifecycle"
	"jaspersill/store"
)

// faultyDisk is a folder whose writes fail or are slow while a test demands it.
type faultyDisk struct {
	store.Dir
	failing    atomic.Bool
	writeDelay atomic.Int64 // added to each write, in ns
	onWrite    func(text []byte)
}

func (d *faultyDisk) Create(name string) (store.File, error) {
	if d.failing.Load() {
		return nil, syscall.ENOSPC
	}
	f, err := d.Dir.Create(name)
	return &faultyFile{f, d}, err
}

type faultyFile struct {
	store.File
	disk *faultyDisk
}

func (f *faultyFile) Write(text []byte) (int, error) {
	if f.disk.failing.Load() {
		return 0, syscall.EIO
	}
	time.Sleep(time.Duration(f.disk.writeDelay.Load()))
	n, err := f.File.Write(text)
	if f.disk.onWrite != nil {
		f.disk.onWrite(text)
	}
	return n, err
}

func (f *faultyFile) Truncate(size int64) error {
	if f.disk.failing.Load() {
		return syscall.EIO
	}
	return f.File.Truncate(size)
}

// recoverAfterKill returns the events that a restart after a kill would find in a folder, by id.
func recoverAfterKill(t *testing.T, folder string) map[string]*store.Event {
	t.Helper()
	found, err := store.Recover(store.Dir(copyAsKilled(t, folder)))
	if err != nil {
		t.Fatal(err)
	}
	list := map[string]*store.Event{}
	for _, e := range found.Events {
		list[e.ID] = e
	}
	return list
}

// Guards against a notice for an event that a restart would forward again, because its outcome is not yet on disk. A notice
// may be sent once the record is written, or once the deadline has passed and the event cannot be forwarded any more.
func TestNoticeWaitsForRecordOrDeadline(t *testing.T) {
	for _, recovers := range []bool{true, false} {
		env := newTestEnv(t)
		disk := &faultyDisk{Dir: store.Dir(env.folder)}
		env.disk = disk
		answer := make(chan bool)
		endpoint := env.addEndpoint(1, func(conn net.Conn, body string) bool {
			<-answer
			return respond(httpResponse("500 Error", "", ""))(conn, body)
		})
		env.startNode()
		sent := time.Now()
		const left = 900 * time.Millisecond
		if status, _ := env.dial().submit(submitRequest("x", "charge", "1", left.Milliseconds(), "")); status != statusAccepted {
			t.Fatal(status)
		}
		env.waitFor("the attempt is open", func() bool { calls, _ := endpoint.counts(); return calls == 1 })
		disk.failing.Store(true)
		answer <- true
		time.Sleep(200 * time.Millisecond)
		if len(env.receivedNotices()) > 0 && time.Since(sent) < left {
			t.Errorf("notices %q were sent while a restart would still forward the event", env.receivedNotices())
		}
		if recovers {
			disk.failing.Store(false)
		}
		env.waitFor("the platform has a notice", func() bool { return len(env.receivedNotices()) > 0 })
		noticeDelay := time.Since(sent)
		if e := recoverAfterKill(t, env.folder)["x"]; recovers && e != nil && e.Resolution == store.Unresolved {
			t.Error("notice sent before its record was on disk")
		}
		if recovers && noticeDelay > left {
			t.Errorf("notice sent after %v, after the deadline although the disk had recovered", noticeDelay)
		}
		if !recovers && (noticeDelay < left || noticeDelay > left+300*time.Millisecond) {
			t.Errorf("notice sent after %v, want at most 0.3 s after the deadline of %v", noticeDelay, left)
		}
		disk.failing.Store(false)
	}
}

// Guards against a client that is told of a refusal while a restart would still find the event and forward it.
func TestRefusalIsSentOnlyOnceItIsDurable(t *testing.T) {
	env := newTestEnv(t)
	disk := &faultyDisk{Dir: store.Dir(env.folder)}
	disk.onWrite = func(text []byte) {
		if bytes.Contains(text, []byte("refused")) && bytes.Contains(text, []byte("acme")) {
			disk.failing.Store(true) // writes fail from the event's state record on
			time.AfterFunc(150*time.Millisecond, func() { disk.failing.Store(false) })
		}
	}
	env.disk = disk
	env.startNode()
	env.directory.mu.Lock()
	env.directory.knownDests[9] = struct{}{} // a known destination without endpoints
	env.directory.mu.Unlock()
	const left = 18 * time.Millisecond // too short for an attempt, so the event is refused at once
	sent := time.Now()
	status, _ := env.dial().submit(submitRequest("refused", "alert", "9", left.Milliseconds(), ""))
	responseDelay := time.Since(sent)
	if status != statusDeclined {
		t.Errorf("status %d, want %d", status, statusDeclined)
	}
	if _, found := recoverAfterKill(t, env.folder)["refused"]; found && responseDelay < left {
		t.Error("the client was told of the refusal, but a restart would forward the event")
	}
	env.waitFor("all events are complete", env.journal.empty)
}

// Guards against an attempt that is sent after the event's deadline because writing its record took long.
func TestNoAttemptAfterDeadlineOnSlowDisk(t *testing.T) {
	env := newTestEnv(t)
	disk := &faultyDisk{Dir: store.Dir(env.folder)}
	env.disk = disk
	endpoint := env.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
	env.startNode()
	c := env.dial()
	c.submit(submitRequest("first", "charge", "1", 8000, ""))
	env.waitFor("the first call has opened a connection", func() bool { calls, _ := endpoint.counts(); return calls == 1 })
	disk.writeDelay.Store(int64(400 * time.Millisecond))
	c.submit(submitRequest("second", "charge", "1", 600, ""))
	disk.writeDelay.Store(int64(600 * time.Millisecond))
	env.waitFor("the second event is complete", env.journal.empty)
	if calls, _ := endpoint.counts(); calls != 1 {
		t.Errorf("got %d calls, want 1: the second was sent after its deadline", calls)
	}
}

// Guards against a slow journal write that blocks the cancellation of an attempt, which the decision loop performs.
func TestCancellationDoesNotWaitForTheDisk(t *testing.T) {
	folder := t.TempDir()
	disk := &faultyDisk{Dir: store.Dir(folder)}
	j, _, err := openJournal(folder, disk, wallClock, 3, 6, findAnyType)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(j.close)
	endpoint := newTestEndpoint(t, respond(httpResponse("200 OK", "", "")))
	for name, cancel := range map[string]func(*call){
		"cancelled": func(c *call) { c.abandon(delivery.Cancelled) },
		"recalled":  func(c *call) { c.recall(c.attempts[0]) },
	} {
		p := newTestPool(t, endpoint.Addr().String())
		p.journal = j
		c := &call{pool: p}
		s := newTestAttempt(t, c, name, 10*time.Second)
		c.attempts = []*attempt{s}
		disk.writeDelay.Store(int64(time.Second))
		go p.execute(c)
		time.Sleep(200 * time.Millisecond) // the attempt's record is being written
		start := time.Now()
		cancel(c)
		if elapsed := time.Since(start); elapsed > 100*time.Millisecond {
			t.Errorf("%s: took %v, want at most 0.1 s", name, elapsed)
		}
		if r := awaitResult(t, s); r.outcome != delivery.Unsent {
			t.Errorf("%s: ended as %v, want unsent", name, r.outcome)
		}
		disk.writeDelay.Store(0)
	}
	if calls, _ := endpoint.counts(); calls > 0 {
		t.Errorf("%d calls were sent, want none", calls)
	}
}

// faultyConn is a connection whose first reads and writes fail with errno.
type faultyConn struct {
	*net.TCPConn
	errno           syscall.Errno
	mu              sync.Mutex
	failReads       int  // number of reads that fail
	failWrites      int  // number of writes that fail, each after a partial write of one byte
	writeNothing    bool // failing writes write nothing at all
	writeClosed     bool
	bytesAfterClose int // bytes read after CloseWrite
}

func (c *faultyConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	fails := c.failReads > 0
	c.failReads--
	c.mu.Unlock()
	if fails {
		return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", c.errno)}
	}
	n, err := c.TCPConn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeClosed {
		c.bytesAfterClose += n
	}
	return n, err
}

func (c *faultyConn) Write(b []byte) (n int, err error) {
	c.mu.Lock()
	fails := c.failWrites > 0
	c.failWrites--
	c.mu.Unlock()
	if !fails {
		return c.TCPConn.Write(b)
	}
	if len(b) > 1 && !c.writeNothing {
		n, _ = c.TCPConn.Write(b[:1])
	}
	return n, &net.OpError{Op: "write", Err: os.NewSyscallError("write", c.errno)}
}

func (c *faultyConn) CloseWrite() error {
	c.mu.Lock()
	c.writeClosed = true
	c.mu.Unlock()
	return c.TCPConn.CloseWrite()
}

// faultyListener fails acceptFailures times with errno, and wraps the connections it accepts.
type faultyListener struct {
	net.Listener
	mu             sync.Mutex
	errno          syscall.Errno
	acceptFailures int
	wrap           func(*net.TCPConn) net.Conn
}

func (l *faultyListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	fails := l.acceptFailures > 0
	l.acceptFailures--
	l.mu.Unlock()
	if fails {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", l.errno)}
	}
	conn, err := l.Listener.Accept()
	if err == nil && l.wrap != nil {
		conn = l.wrap(conn.(*net.TCPConn))
	}
	return conn, err
}

// Guards against client connections that are closed without a response because a read or write failed momentarily.
func TestClientIsAnsweredDespiteTransientSocketErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.ETIMEDOUT,
		syscall.EHOSTUNREACH} {
		env := newTestEnv(t)
		env.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
		env.beforeRun = func(n *Node) {
			n.clients.listener.Listener = &faultyListener{Listener: n.clients.listener.Listener,
				wrap: func(c *net.TCPConn) net.Conn {
					return &faultyConn{TCPConn: c, errno: errno, failReads: 5, failWrites: 5}
				}}
		}
		env.startNode()
		c := env.dial()
		for i := range 2 {
			if status, _ := c.submit(submitRequest(fmt.Sprint("x", i), "charge", "1", 8000, "body")); status != statusAccepted {
				t.Errorf("%v: status %d, want %d", errno, status, statusAccepted)
			}
		}
	}
}

// Guards against attempts that count as failures of their endpoint because a system call on this machine failed
// momentarily.
func TestAttemptSurvivesTransientSocketErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.EINTR} {
		endpoint := newTestEndpoint(t, respond(httpResponse("200 OK", "", "")))
		p := newTestPool(t, endpoint.Addr().String())
		dial, fails := p.dial, 3
		p.dial = func(ctx context.Context, address string) (net.Conn, error) {
			if fails--; fails >= 0 {
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
			}
			conn, err := dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return &faultyConn{TCPConn: conn.(*net.TCPConn), errno: errno, failReads: 3, failWrites: 3}, nil
		}
		if ends, _ := executeCall(t, p, 5*time.Second); ends[0].outcome != delivery.Acked {
			t.Errorf("%v: ended as %v, want delivered", errno, ends[0].outcome)
		}
		if calls, _ := endpoint.counts(); calls != 1 {
			t.Errorf("%v: %d calls, want 1", errno, calls)
		}
	}
}

// Guards against an endpoint that counts as unresponsive because this machine could not open a socket.
func TestLocalFailureIsNotAttributedToEndpoint(t *testing.T) {
	p := newTestPool(t, "127.0.0.1:9")
	p.dial = func(context.Context, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.ENFILE)}
	}
	if ends, _ := executeCall(t, p, 300*time.Millisecond); ends[0].outcome != delivery.Unsent {
		t.Errorf("ended as %v, want unsent", ends[0].outcome)
	}
}

// Guards against idle connections that are closed, and incomplete requests that are cut short, when accepting fails for a
// reason that closing connections does not resolve.
func TestAcceptErrorClosesNoConnection(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.EPROTO, syscall.ENETDOWN} {
		env := newTestEnv(t)
		env.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
		var l *faultyListener
		env.beforeRun = func(n *Node) {
			l = &faultyListener{Listener: n.clients.listener.Listener, errno: errno}
			n.clients.listener.Listener = l
		}
		env.startNode()
		idle, incomplete := env.dial(), env.dial()
		idle.submit(submitRequest("a", "charge", "1", 8000, ""))
		text := submitRequest("b", "charge", "1", 8000, "body")
		io.WriteString(incomplete, text[:len(text)-1])
		l.mu.Lock()
		l.acceptFailures = 12
		l.mu.Unlock()
		next := env.dial()
		if status, _ := next.submit(submitRequest("c", "charge", "1", 8000, "")); status != statusAccepted {
			t.Errorf("%v: the next client got status %d", errno, status)
		}
		env.waitFor("accepting works again", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.acceptFailures < 0 })
		if status, _ := idle.submit(submitRequest("d", "charge", "1", 8000, "")); status != statusAccepted {
			t.Errorf("%v: the idle connection got status %d", errno, status)
		}
		io.WriteString(incomplete, text[len(text)-1:])
		if status, _ := incomplete.readResponse(""); status != statusAccepted {
			t.Errorf("%v: the connection with an incomplete request got status %d", errno, status)
		}
	}
}

// Guards against a request that is read from a connection whose sending side is closed, so that it cannot be answered.
func TestNothingIsReadAfterHalfClose(t *testing.T) {
	env := newTestEnv(t)
	env.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
	conns := make(chan *faultyConn, 10)
	env.beforeRun = func(n *Node) {
		n.clients.listener.Listener = &faultyListener{Listener: n.clients.listener.Listener,
			wrap: func(c *net.TCPConn) net.Conn {
				f := &faultyConn{TCPConn: c}
				conns <- f
				return f
			}}
	}
	env.startNode()
	c := env.dial()
	c.submit(submitRequest("a", "charge", "1", 8000, ""))
	conn := <-conns
	env.clients.listener.closeAllIdle()
	env.waitFor("the connection is half closed", func() bool { conn.mu.Lock(); defer conn.mu.Unlock(); return conn.writeClosed })
	io.WriteString(c, submitRequest("crossing", "charge", "1", 8000, ""))
	if _, err := c.reader.ReadByte(); err == nil {
		t.Error("received data after the half close")
	}
	env.waitFor("the connection is closed", env.clients.listener.isEmpty)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.bytesAfterClose > 0 {
		t.Errorf("%d bytes of a request were read but not answered", conn.bytesAfterClose)
	}
	if strings.Contains(fmt.Sprint(recoverAfterKill(t, env.folder)), "crossing") {
		t.Error("the request was accepted")
	}
}

// Guards against an event that is forwarded after its deadline because reading its request had failed for a while.
func TestDeadlineCountsFromArrivalDespiteReadErrors(t *testing.T) {
	env := newTestEnv(t)
	endpoint := env.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
	env.beforeRun = func(n *Node) {
		n.clients.listener.Listener = &faultyListener{Listener: n.clients.listener.Listener,
			wrap: func(c *net.TCPConn) net.Conn { return &faultyConn{TCPConn: c, errno: syscall.ENOBUFS, failReads: 30} }}
	}
	env.startNode()
	env.dial().submit(submitRequest("late", "charge", "1", 250, "")) // 30 read errors delay the request by 0.5 s
	env.waitFor("the event is complete", env.journal.empty)
	if calls, _ := endpoint.counts(); calls > 0 {
		t.Errorf("got %d calls after the deadline, want none", calls)
	}
}

// Guards against a start that fails because a socket momentarily cannot be opened.
func TestOpenSocketRetriesTransientErrors(t *testing.T) {
	fails := 3
	l, err := openSocket(func() (net.Listener, error) {
		if fails--; fails >= 0 {
			return nil, &net.OpError{Op: "listen", Err: os.NewSyscallError("socket", syscall.ENOBUFS)}
		}
		return net.Listen("tcp", "127.0.0.1:0")
	})
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
}

// Guards against an attempt that is sent late because writing it had failed for a while. By then a Retry-After may have to
// be waited for, the deduplication window may be over or the deadline may have passed. So until it is written, an attempt
// can still be cancelled or recalled, and expires at its deadline.
func TestAttemptCanBeRecalledWhileWriteFails(t *testing.T) {
	for name, cancel := range map[string]func(*call){
		"timed out": func(c *call) { c.abandon(delivery.TimedOut) },
		"recalled":  func(c *call) { c.recall(c.attempts[0]) },
		"late":      func(c *call) {},
	} {
		endpoint := newTestEndpoint(t, respond(httpResponse("200 OK", "", "")))
		p := newTestPool(t, endpoint.Addr().String())
		dial := p.dial
		p.dial = func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return &faultyConn{TCPConn: conn.(*net.TCPConn), errno: syscall.ENOBUFS, failWrites: 20, writeNothing: true}, nil
		}
		c := &call{pool: p}
		s := newTestAttempt(t, c, name, 10*time.Second)
		if name == "late" {
			s.event.request = lifecycle.RestoreRequest(name, p.clock.now()+int64(200*time.Millisecond), true, false)
		}
		c.attempts = []*attempt{s}
		go p.execute(c)
		time.Sleep(50 * time.Millisecond)
		cancel(c)
		if r := awaitResult(t, s); r.outcome != delivery.Unsent {
			t.Errorf("%s: ended as %v, want unsent", name, r.outcome)
		}
		time.Sleep(400 * time.Millisecond) // 20 write errors take 0.3 s
		if calls, _ := endpoint.counts(); calls > 0 {
			t.Errorf("%s: %d calls were sent, want none", name, calls)
		}
	}
}

// Guards against an attempt that was recalled and reported as unsent, but is sent as part of a bulk call whose write was
// delayed.
func TestDelayedBulkCallOmitsRecalledEvents(t *testing.T) {
	bodies := make(chan string, 10)
	endpoint := newTestEndpoint(t, func(conn net.Conn, body string) bool {
		bodies <- body
		return respond(httpResponse("200 OK", "", "kept done\r\n"))(conn, body)
	})
	p := newTestPool(t, endpoint.Addr().String())
	dial := p.dial
	p.dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &faultyConn{TCPConn: conn.(*net.TCPConn), errno: syscall.EHOSTUNREACH, failWrites: 20, writeNothing: true}, nil
	}
	c := &call{pool: p}
	kept, recalled := newTestAttempt(t, c, "kept", testTimeout), newTestAttempt(t, c, "recalled", testTimeout)
	kept.event.body, recalled.event.body = []byte("kept body"), []byte("recalled body")
	c.attempts = []*attempt{recalled, kept}
	go p.execute(c)
	time.Sleep(50 * time.Millisecond) // the first byte of the call cannot be written
	c.recall(recalled)
	if r := awaitResult(t, recalled); r.outcome != delivery.Unsent {
		t.Errorf("recalled event: %+v, want unsent", r)
	}
	if r := awaitResult(t, kept); r.outcome != delivery.Acked {
		t.Errorf("other event of the call: %+v, want delivered", r)
	}
	if body := <-bodies; strings.Contains(body, "recalled body") || !strings.Contains(body, "kept body") {
		t.Errorf("body of the call: %q, want only that of the event that was not recalled", body)
	}
}

// Guards against an attempt that is sent while an earlier response, which may carry Retry-After, cannot be read.
func TestNoCallWhileResponseCannotBeRead(t *testing.T) {
	endpoint := newTestEndpoint(t, respond(httpResponse("200 OK", "", "")))
	p := newTestPool(t, endpoint.Addr().String())
	dial := p.dial
	p.dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &faultyConn{TCPConn: conn.(*net.TCPConn), errno: syscall.ENOBUFS, failReads: 30}, nil
	}
	first := &call{pool: p}
	first.attempts = []*attempt{newTestAttempt(t, first, "first", 10*time.Second)}
	second := &call{pool: p}
	second.attempts = []*attempt{newTestAttempt(t, second, "second", 10*time.Second)}
	recalled := second.attempts[0]
	go p.execute(first)
	for end := time.Now().Add(testTimeout); !p.admission.HasUnreadable(0) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	go p.execute(second)
	time.Sleep(100 * time.Millisecond)
	if calls, _ := endpoint.counts(); calls != 1 {
		t.Errorf("got %d calls while the first response cannot be read, want 1", calls)
	}
	second.recall(recalled)
	if r := awaitResult(t, recalled); r.outcome != delivery.Unsent {
		t.Errorf("the recalled call ended as %v, want unsent", r.outcome)
	}
	if r := awaitResult(t, first.attempts[0]); r.outcome != delivery.Acked {
		t.Errorf("the first call ended as %v, want delivered", r.outcome)
	}
}

// Guards against an event that is forwarded after its deadline because its connection had waited to be accepted while the
// connection limit was reached.
func TestDeadlineCountsWhileConnectionWaitsForRoom(t *testing.T) {
	env := newTestEnv(t)
	endpoint := env.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
	env.beforeRun = func(n *Node) {
		n.clients.listener.maxConns = 2
	}
	env.startNode()
	var waiting []*testClient
	for range 2 { // incomplete requests, which hold both connections until one is evicted
		c := env.dial()
		io.WriteString(c, "POST /api HTTP/1.1\r\nHost: x\r\n")
		waiting = append(waiting, c)
	}
	env.waitFor("the connection limit is reached", func() bool {
		env.clients.listener.mu.Lock()
		defer env.clients.listener.mu.Unlock()
		return len(env.clients.listener.conns) == 2
	})
	late := env.dial()
	io.WriteString(late, submitRequest("late", "charge", "1", 60, ""))
	env.waitFor("the late request is answered", func() bool { _, err := late.reader.Peek(1); return err == nil })
	for _, c := range waiting {
		c.Close()
	}
	env.waitFor("all events are complete", env.journal.empty)
	if calls, _ := endpoint.counts(); calls > 0 {
		t.Errorf("got %d calls after the deadline, want none", calls)
	}
}

// Guards against a connection that had to wait for room and is evicted, despite its request, as soon as it is accepted.
func TestConnectionThatWaitedForRoomIsServed(t *testing.T) {
	env := newTestEnv(t)
	env.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
	env.beforeRun = func(n *Node) {
		n.clients.listener.maxConns = 2
	}
	env.startNode()
	for range 2 { // incomplete requests, which hold both connections until one is evicted
		io.WriteString(env.dial(), "POST /api HTTP/1.1\r\nHost: x\r\n")
	}
	env.waitFor("the connection limit is reached", func() bool {
		env.clients.listener.mu.Lock()
		defer env.clients.listener.mu.Unlock()
		return len(env.clients.listener.conns) == 2
	})
	first, second := env.dial(), env.dial()
	io.WriteString(second, submitRequest("second", "charge", "1", 8000, ""))
	if status, _ := first.submit(submitRequest("first", "charge", "1", 8000, "")); status != statusAccepted {
		t.Errorf("the first client got status %d", status)
	}
	if status, _ := second.readResponse(""); status != statusAccepted {
		t.Errorf("the second client got status %d", status)
	}
}

// Guards against an event that is sent again after its delivery because its call timed out while the response was arriving.
func TestResponseArrivingAtTimeoutCounts(t *testing.T) {
	endpoint := newTestEndpoint(t, func(conn net.Conn, _ string) bool {
		time.Sleep(60 * time.Millisecond)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-")
		time.Sleep(100 * time.Millisecond)
		io.WriteString(conn, "Length: 0\r\n\r\n")
		return true
	})
	p := newTestPool(t, endpoint.Addr().String())
	ends := make(chan result, 1)
	c := &call{pool: p}
	s := newTestAttempt(t, c, "x", 10*time.Second)
	c.attempts = []*attempt{s}
	go func() { ends <- awaitResult(t, s) }()
	go p.execute(c)
	time.Sleep(110 * time.Millisecond) // the response has started to arrive, and is unread or being read
	c.abandon(delivery.TimedOut)
	if r := <-ends; r.outcome != delivery.Acked {
		t.Errorf("ended as %v, want delivered", r.outcome)
	}
}

// Guards against a response that is lost because it was read from its connection but not yet parsed when its call timed
// out.
func TestResponseBeingReadAtTimeoutCounts(t *testing.T) {
	endpoint := newTestEndpoint(t, respond(httpResponse("200 OK", "", "")))
	p := newTestPool(t, endpoint.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	conn := (&call{pool: p, attempts: nil}).connect(ctx, endpoint.Addr().String())
	conn.expectResponse()
	if conn.responseStarted() {
		t.Error("a response was reported before the call was sent")
	}
	io.WriteString(conn, "POST /inbox HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	if _, err := conn.reader.buf.Peek(1); err != nil { // the whole response is buffered, but not yet reported
		t.Fatal(err)
	}
	c := &call{pool: p, conn: conn, progress: progressWritten}
	if c.abandon(delivery.TimedOut); c.abandoned || !c.timeoutExtended {
		t.Error("the call was abandoned although its response had arrived")
	}
}
