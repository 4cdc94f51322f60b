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

// faultyDisk is a folder whose files cannot be written, or only slowly, while a test says so.
type faultyDisk struct {
	store.Dir
	failing    atomic.Bool
	writeDelay atomic.Int64 // ns for each write
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

// recoverAfterKill is what a restart would find in a folder, by id.
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

// Guards against a notice for a request that a restart would forward again, because the end is not on the disk.
func TestANoticeWaitsForItsRecordOrForTheDeadline(t *testing.T) {
	for _, recovers := range []bool{true, false} {
		w := newTestEnv(t)
		disk := &faultyDisk{Dir: store.Dir(w.folder)}
		w.disk = disk
		answer := make(chan bool)
		at := w.addEndpoint(1, func(conn net.Conn, body string) bool {
			<-answer
			return respond(httpResponse("500 Error", "", ""))(conn, body)
		})
		w.startNode()
		sent := time.Now()
		const left = 900 * time.Millisecond
		if status, _ := w.dial().submit(submitRequest("x", "charge", "1", left.Milliseconds(), "")); status != statusAccepted {
			t.Fatal(status)
		}
		w.waitFor("it is out", func() bool { calls, _ := at.counts(); return calls == 1 })
		disk.failing.Store(true)
		answer <- true
		time.Sleep(200 * time.Millisecond)
		if len(w.receivedNotices()) > 0 && time.Since(sent) < left {
			t.Errorf("the platform heard %q while a restart would still forward it", w.receivedNotices())
		}
		if recovers {
			disk.failing.Store(false)
		}
		w.waitFor("the platform hears of the end", func() bool { return len(w.receivedNotices()) > 0 })
		heard := time.Since(sent)
		if e := recoverAfterKill(t, w.folder)["x"]; recovers && e != nil && e.Verdict == store.Undecided {
			t.Error("told, and not on the disk")
		}
		if recovers && heard > left {
			t.Errorf("told after %v though the disk had recovered", heard)
		}
		if !recovers && (heard < left || heard > left+300*time.Millisecond) {
			t.Errorf("told after %v, though it may be told from %v on and is overdue 0.3 s later", heard, left)
		}
		disk.failing.Store(false)
	}
}

// Guards against a refusal that is told while a restart would still find the request and forward it.
func TestARefusalIsToldOnceARestartWouldNotForward(t *testing.T) {
	w := newTestEnv(t)
	disk := &faultyDisk{Dir: store.Dir(w.folder)}
	disk.onWrite = func(text []byte) {
		if bytes.Contains(text, []byte("refused")) && bytes.Contains(text, []byte("acme")) {
			disk.failing.Store(true) // from its state on, nothing can be written
			time.AfterFunc(150*time.Millisecond, func() { disk.failing.Store(false) })
		}
	}
	w.disk = disk
	w.startNode()
	w.directory.mu.Lock()
	w.directory.knownDests[9] = struct{}{} // listed once, and nobody is there
	w.directory.mu.Unlock()
	const left = 18 * time.Millisecond // so little that it is refused at once
	sent := time.Now()
	status, _ := w.dial().submit(submitRequest("refused", "alert", "9", left.Milliseconds(), ""))
	heard := time.Since(sent)
	if status != statusDeclined {
		t.Errorf("answered %d", status)
	}
	if _, found := recoverAfterKill(t, w.folder)["refused"]; found && heard < left {
		t.Error("refused, and a restart would forward it")
	}
	w.waitFor("nothing is owed", w.journal.empty)
}

// Guards against an attempt that goes out after its request's deadline because its record took long to write.
func TestNothingIsSentAfterTheDeadlineWhenTheDiskIsSlow(t *testing.T) {
	w := newTestEnv(t)
	disk := &faultyDisk{Dir: store.Dir(w.folder)}
	w.disk = disk
	at := w.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
	w.startNode()
	c := w.dial()
	c.submit(submitRequest("first", "charge", "1", 8000, ""))
	w.waitFor("a connection is kept", func() bool { calls, _ := at.counts(); return calls == 1 })
	disk.writeDelay.Store(int64(400 * time.Millisecond))
	c.submit(submitRequest("second", "charge", "1", 600, ""))
	disk.writeDelay.Store(int64(600 * time.Millisecond))
	w.waitFor("it has its end", w.journal.empty)
	if calls, _ := at.counts(); calls != 1 {
		t.Errorf("%d calls: the second one goes out after its deadline", calls)
	}
}

// Guards against a slow write that holds whoever calls an attempt off: the event loop does.
func TestCallingOffDoesNotWaitForTheDisk(t *testing.T) {
	folder := t.TempDir()
	disk := &faultyDisk{Dir: store.Dir(folder)}
	j, _, err := openJournal(folder, disk, wallClock, 3, 6, findAnyType)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(j.close)
	at := newTestEndpoint(t, respond(httpResponse("200 OK", "", "")))
	for name, callOff := range map[string]func(*call){
		"given up": func(c *call) { c.abandon(delivery.Cancelled) },
		"recalled": func(c *call) { c.recall(c.attempts[0]) },
	} {
		p := newTestPool(t, at.Addr().String())
		p.journal = j
		c := &call{pool: p}
		s := newTestAttempt(t, c, name, 10*time.Second)
		c.attempts = []*attempt{s}
		disk.writeDelay.Store(int64(time.Second))
		go p.execute(c)
		time.Sleep(200 * time.Millisecond) // it is being written
		began := time.Now()
		callOff(c)
		if took := time.Since(began); took > 100*time.Millisecond {
			t.Errorf("%s: it took %v", name, took)
		}
		if r := awaitResult(t, s); r.outcome != delivery.Unsent {
			t.Errorf("%s: ended as %v", name, r.outcome)
		}
		disk.writeDelay.Store(0)
	}
	if calls, _ := at.counts(); calls > 0 {
		t.Errorf("%d calls went out", calls)
	}
}

// faultyConn is a connection on which calls fail for a moment.
type faultyConn struct {
	*net.TCPConn
	errno           syscall.Errno
	mu              sync.Mutex
	failReads       int  // so many fail
	failWrites      int  // so many fail, the first after a byte
	writeNothing    bool // not even that byte
	writeClosed     bool
	bytesAfterClose int // bytes that were read after the half close
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

// faultyListener hands out faulty connections, after so many failures.
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

// Guards against connections of clients that are closed with no answer because a read or a write failed for a moment.
func TestAClientHearsItsAnswerThoughCallsFailForAMoment(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.ETIMEDOUT,
		syscall.EHOSTUNREACH} {
		w := newTestEnv(t)
		w.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
		w.beforeRun = func(n *Node) {
			n.clients.listener.Listener = &faultyListener{Listener: n.clients.listener.Listener,
				wrap: func(c *net.TCPConn) net.Conn {
					return &faultyConn{TCPConn: c, errno: errno, failReads: 5, failWrites: 5}
				}}
		}
		w.startNode()
		c := w.dial()
		for i := range 2 {
			if status, _ := c.submit(submitRequest(fmt.Sprint("x", i), "charge", "1", 8000, "body")); status != statusAccepted {
				t.Errorf("%v: answered %d", errno, status)
			}
		}
	}
}

// Guards against attempts that count as failed by their endpoint because a call here failed for a moment.
func TestAnAttemptOutlastsCallsThatFailForAMoment(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.EINTR} {
		at := newTestEndpoint(t, respond(httpResponse("200 OK", "", "")))
		p := newTestPool(t, at.Addr().String())
		usual, fails := p.dial, 3
		p.dial = func(ctx context.Context, address string) (net.Conn, error) {
			if fails--; fails >= 0 {
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
			}
			conn, err := usual(ctx, address)
			if err != nil {
				return nil, err
			}
			return &faultyConn{TCPConn: conn.(*net.TCPConn), errno: errno, failReads: 3, failWrites: 3}, nil
		}
		if ends, _ := executeCall(t, p, 5*time.Second); ends[0].outcome != delivery.Acked {
			t.Errorf("%v: ended as %v", errno, ends[0].outcome)
		}
		if calls, _ := at.counts(); calls != 1 {
			t.Errorf("%v: %d calls", errno, calls)
		}
	}
}

// Guards against an endpoint that counts as silent because this machine could not connect anywhere.
func TestALocalFailureIsNotChargedToTheEndpoint(t *testing.T) {
	p := newTestPool(t, "127.0.0.1:9")
	p.dial = func(context.Context, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.ENFILE)}
	}
	if ends, _ := executeCall(t, p, 300*time.Millisecond); ends[0].outcome != delivery.Unsent {
		t.Errorf("ended as %v", ends[0].outcome)
	}
}

// Guards against resting connections that are closed, and requests that are hurried, when accepting fails for a
// reason that closing them does not mend.
func TestAnAcceptThatFailsClosesNoConnection(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.EPROTO, syscall.ENETDOWN} {
		w := newTestEnv(t)
		w.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
		var l *faultyListener
		w.beforeRun = func(n *Node) {
			l = &faultyListener{Listener: n.clients.listener.Listener, errno: errno}
			n.clients.listener.Listener = l
		}
		w.startNode()
		resting, half := w.dial(), w.dial()
		resting.submit(submitRequest("a", "charge", "1", 8000, ""))
		text := submitRequest("b", "charge", "1", 8000, "body")
		io.WriteString(half, text[:len(text)-1])
		l.mu.Lock()
		l.acceptFailures = 12
		l.mu.Unlock()
		next := w.dial()
		if status, _ := next.submit(submitRequest("c", "charge", "1", 8000, "")); status != statusAccepted {
			t.Errorf("%v: the next client hears %d", errno, status)
		}
		w.waitFor("accepting works again", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.acceptFailures < 0 })
		if status, _ := resting.submit(submitRequest("d", "charge", "1", 8000, "")); status != statusAccepted {
			t.Errorf("%v: the resting one hears %d", errno, status)
		}
		io.WriteString(half, text[len(text)-1:])
		if status, _ := half.readResponse(""); status != statusAccepted {
			t.Errorf("%v: the one that was writing hears %d", errno, status)
		}
	}
}

// Guards against a request that is read from a connection which can carry no answer any more.
func TestNothingIsReadBehindTheEndOfAConnection(t *testing.T) {
	w := newTestEnv(t)
	w.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
	conns := make(chan *faultyConn, 10)
	w.beforeRun = func(n *Node) {
		n.clients.listener.Listener = &faultyListener{Listener: n.clients.listener.Listener,
			wrap: func(c *net.TCPConn) net.Conn {
				f := &faultyConn{TCPConn: c}
				conns <- f
				return f
			}}
	}
	w.startNode()
	c := w.dial()
	c.submit(submitRequest("a", "charge", "1", 8000, ""))
	conn := <-conns
	w.clients.listener.closeAllIdle()
	w.waitFor("it is half closed", func() bool { conn.mu.Lock(); defer conn.mu.Unlock(); return conn.writeClosed })
	io.WriteString(c, submitRequest("crossing", "charge", "1", 8000, ""))
	if _, err := c.reader.ReadByte(); err == nil {
		t.Error("an answer behind the end")
	}
	w.waitFor("it is closed", w.clients.listener.isEmpty)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.bytesAfterClose > 0 {
		t.Errorf("%d bytes of a request were read and not answered", conn.bytesAfterClose)
	}
	if strings.Contains(fmt.Sprint(recoverAfterKill(t, w.folder)), "crossing") {
		t.Error("it was taken on")
	}
}

// Guards against a request that is forwarded after its deadline, since reading it had failed for a while.
func TestADeadlineCountsFromWhenTheRequestCame(t *testing.T) {
	w := newTestEnv(t)
	at := w.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
	w.beforeRun = func(n *Node) {
		n.clients.listener.Listener = &faultyListener{Listener: n.clients.listener.Listener,
			wrap: func(c *net.TCPConn) net.Conn { return &faultyConn{TCPConn: c, errno: syscall.ENOBUFS, failReads: 30} }}
	}
	w.startNode()
	w.dial().submit(submitRequest("late", "charge", "1", 250, "")) // 30 failures take 0.5 s
	w.waitFor("it has its end", w.journal.empty)
	if calls, _ := at.counts(); calls > 0 {
		t.Errorf("%d calls after the deadline", calls)
	}
}

// Guards against a start that ends because a socket cannot be opened for a moment.
func TestASocketThatCannotBeOpenedForAMomentIsOpenedAgain(t *testing.T) {
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

// Guards against an attempt that goes out late, after a wait, its window or its deadline, because writing it failed.
func TestAnAttemptThatCannotBeWrittenIsStillRecalled(t *testing.T) {
	for name, callOff := range map[string]func(*call){
		"given up": func(c *call) { c.abandon(delivery.TimedOut) },
		"recalled": func(c *call) { c.recall(c.attempts[0]) },
		"late":     func(c *call) {},
	} {
		at := newTestEndpoint(t, respond(httpResponse("200 OK", "", "")))
		p := newTestPool(t, at.Addr().String())
		usual := p.dial
		p.dial = func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := usual(ctx, address)
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
		callOff(c)
		if r := awaitResult(t, s); r.outcome != delivery.Unsent {
			t.Errorf("%s: ended as %v", name, r.outcome)
		}
		time.Sleep(400 * time.Millisecond) // 20 failures take 0.3 s
		if calls, _ := at.counts(); calls > 0 {
			t.Errorf("%s: %d calls went out", name, calls)
		}
	}
}

// Guards against an attempt that was recalled, and told to be unsent, and goes out in the bytes of a call of several.
func TestACallThatIsHeldUpGoesOutWithoutWhatWasRecalled(t *testing.T) {
	bodies := make(chan string, 10)
	at := newTestEndpoint(t, func(conn net.Conn, body string) bool {
		bodies <- body
		return respond(httpResponse("200 OK", "", "kept done\r\n"))(conn, body)
	})
	p := newTestPool(t, at.Addr().String())
	usual := p.dial
	p.dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := usual(ctx, address)
		if err != nil {
			return nil, err
		}
		return &faultyConn{TCPConn: conn.(*net.TCPConn), errno: syscall.EHOSTUNREACH, failWrites: 20, writeNothing: true}, nil
	}
	c := &call{pool: p}
	kept, recalled := newTestAttempt(t, c, "kept", testTimeout), newTestAttempt(t, c, "recalled", testTimeout)
	kept.event.body, recalled.event.body = []byte("of the one"), []byte("of the other")
	c.attempts = []*attempt{recalled, kept}
	go p.execute(c)
	time.Sleep(50 * time.Millisecond) // its first byte cannot be written
	c.recall(recalled)
	if r := awaitResult(t, recalled); r.outcome != delivery.Unsent {
		t.Errorf("recalled: %+v", r)
	}
	if r := awaitResult(t, kept); r.outcome != delivery.Acked {
		t.Errorf("the other: %+v", r)
	}
	if body := <-bodies; strings.Contains(body, "of the other") || !strings.Contains(body, "of the one") {
		t.Errorf("what went out: %q", body)
	}
}

// Guards against an attempt that goes out while the answer which told to wait cannot be read.
func TestNothingIsSentWhileAnAnswerCannotBeRead(t *testing.T) {
	at := newTestEndpoint(t, respond(httpResponse("200 OK", "", "")))
	p := newTestPool(t, at.Addr().String())
	usual := p.dial
	p.dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := usual(ctx, address)
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
	for end := time.Now().Add(testTimeout); !p.stalled(0) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	go p.execute(second)
	time.Sleep(100 * time.Millisecond)
	if calls, _ := at.counts(); calls != 1 {
		t.Errorf("%d calls while the first answer cannot be read", calls)
	}
	second.recall(recalled)
	if r := awaitResult(t, recalled); r.outcome != delivery.Unsent {
		t.Errorf("recalled: ended as %v", r.outcome)
	}
	if r := awaitResult(t, first.attempts[0]); r.outcome != delivery.Acked {
		t.Errorf("the first ended as %v", r.outcome)
	}
}

// Guards against a request that is forwarded after its deadline, since it stood before a node whose places were taken.
func TestADeadlineCountsWhileThereIsNoRoomForAConnection(t *testing.T) {
	w := newTestEnv(t)
	at := w.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
	w.beforeRun = func(n *Node) {
		n.clients.listener.maxConns = 2
	}
	w.startNode()
	var waiting []*testClient
	for range 2 { // they take both places, until a request that does not come whole is hurried
		c := w.dial()
		io.WriteString(c, "POST /api HTTP/1.1\r\nHost: x\r\n")
		waiting = append(waiting, c)
	}
	w.waitFor("both places are taken", func() bool {
		w.clients.listener.mu.Lock()
		defer w.clients.listener.mu.Unlock()
		return len(w.clients.listener.conns) == 2
	})
	late := w.dial()
	io.WriteString(late, submitRequest("late", "charge", "1", 60, ""))
	w.waitFor("it has its answer", func() bool { _, err := late.reader.Peek(1); return err == nil })
	for _, c := range waiting {
		c.Close()
	}
	w.waitFor("all have their ends", w.journal.empty)
	if calls, _ := at.counts(); calls > 0 {
		t.Errorf("%d calls after the deadline", calls)
	}
}

// Guards against a connection that is closed over its request as soon as it has found room.
func TestAConnectionThatWaitedForRoomIsServed(t *testing.T) {
	w := newTestEnv(t)
	w.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
	w.beforeRun = func(n *Node) {
		n.clients.listener.maxConns = 2
	}
	w.startNode()
	for range 2 { // they take both places, until a request that does not come whole is hurried
		io.WriteString(w.dial(), "POST /api HTTP/1.1\r\nHost: x\r\n")
	}
	w.waitFor("both places are taken", func() bool {
		w.clients.listener.mu.Lock()
		defer w.clients.listener.mu.Unlock()
		return len(w.clients.listener.conns) == 2
	})
	first, second := w.dial(), w.dial()
	io.WriteString(second, submitRequest("second", "charge", "1", 8000, ""))
	if status, _ := first.submit(submitRequest("first", "charge", "1", 8000, "")); status != statusAccepted {
		t.Errorf("the first hears %d", status)
	}
	if status, _ := second.readResponse(""); status != statusAccepted {
		t.Errorf("the second hears %d", status)
	}
}

// Guards against a request that is repeated after its delivery, since its call timed out while the answer came.
func TestAnAnswerThatComesAtTheTimeOutIsHeard(t *testing.T) {
	at := newTestEndpoint(t, func(conn net.Conn, _ string) bool {
		time.Sleep(60 * time.Millisecond)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-")
		time.Sleep(100 * time.Millisecond)
		io.WriteString(conn, "Length: 0\r\n\r\n")
		return true
	})
	p := newTestPool(t, at.Addr().String())
	ends := make(chan result, 1)
	c := &call{pool: p}
	s := newTestAttempt(t, c, "x", 10*time.Second)
	c.attempts = []*attempt{s}
	go func() { ends <- awaitResult(t, s) }()
	go p.execute(c)
	time.Sleep(110 * time.Millisecond) // the answer has begun, and stands unread or is being read
	c.abandon(delivery.TimedOut)
	if r := <-ends; r.outcome != delivery.Acked {
		t.Errorf("ended as %v", r.outcome)
	}
}

// Guards against an answer that was taken off its connection and not looked at yet, in the moment in which its call times out.
func TestAnAnswerThatIsBeingReadAtTheTimeOutIsHeard(t *testing.T) {
	at := newTestEndpoint(t, respond(httpResponse("200 OK", "", "")))
	p := newTestPool(t, at.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	conn := (&call{pool: p, attempts: nil}).connect(ctx, at.Addr().String())
	conn.expectAnswer()
	if conn.answerStarted() {
		t.Error("an answer before its call")
	}
	io.WriteString(conn, "POST /inbox HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	if _, err := conn.reader.buf.Peek(1); err != nil { // all of it is in the buffer, and nobody was told
		t.Fatal(err)
	}
	c := &call{pool: p, conn: conn, progress: progressWritten}
	if c.abandon(delivery.TimedOut); c.abandoned || !c.timeoutExtended {
		t.Error("its call is given up")
	}
}
