package node

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"jaspersill/admission"
	"jaspersill/delivery"
	"jaspersill/lifecycle"
	"jaspersill/store"
)

const (
	// permissionLength is how long a permission that ends on its own lasts from the start of the call on.
	permissionLength = 150 * time.Millisecond
	// callSetUpTime is how long a call takes to arrive at the place where it waits.
	callSetUpTime = 50 * time.Millisecond
)

// permissionEnd is a way in which what allows a send can end while the send waits. Each field may be nil.
type permissionEnd struct {
	name  string
	grant func(a *attempt, until int64) // before the call
	end   func(c *call)                 // while it waits
}

// nothingEnds is the name of the case in which the send stays allowed.
const nothingEnds = "nothing ends"

var permissionEnds = []permissionEnd{
	{nothingEnds, nil, nil},
	{"window", func(a *attempt, until int64) { a.terms.WindowEnd = until }, nil},
	{"slow start", func(a *attempt, until int64) { a.terms.AdmittedUntil = until }, nil},
	{"deadline", func(a *attempt, until int64) {
		a.event.monoDeadline = until
		a.event.request = lifecycle.RestoreRequest(a.event.id, until, true, false)
	}, nil},
	{"group", func(a *attempt, _ int64) { a.terms.Grouped = true }, func(c *call) {
		c.pool.admission.List(0, admission.Listing{Zone: 1, Ready: true})
	}},
	{"wait", nil, func(c *call) { c.pool.admission.HoldUntil(0, c.pool.clock.now()+int64(time.Minute)) }},
	{"list", nil, func(c *call) { c.pool.admission.List(0, admission.Listing{}) }},
	{"address", nil, func(c *call) { c.pool.updateEndpoint(0, "e0", "zone", "127.0.0.1:1") }},
	{"end", nil, func(c *call) { c.attempts[0].event.request.DecideEnd(lifecycle.Undelivered) }},
	{"recall", nil, func(c *call) { c.recall(c.attempts[0]) }},
}

// newCall returns a call of one event, which is granted the permission.
func (e *permissionEnd) newCall(t *testing.T, p *endpointPool) (*call, *attempt) {
	c := &call{pool: p}
	a := newTestAttempt(t, c, "x", testTimeout)
	c.attempts = []*attempt{a}
	if e.grant != nil {
		e.grant(a, p.clock.now()+int64(permissionLength))
	}
	return c, a
}

// endWhileWaiting ends the permission once the call waits.
func (e *permissionEnd) endWhileWaiting(c *call) {
	time.Sleep(callSetUpTime)
	if e.end != nil {
		e.end(c)
		return
	}
	time.Sleep(permissionLength)
}

// sendPlace is a place at which a send can wait. hold lets the next call of a pool wait there until it is released.
type sendPlace struct {
	name string
	hold func(t *testing.T, p *endpointPool, disk *faultyDisk) (release func())
}

var sendPlaces = []sendPlace{
	{"connection", func(t *testing.T, p *endpointPool, _ *faultyDisk) func() {
		up := make(chan struct{})
		delayDial(t, p, up)
		return func() { close(up) }
	}},
	{"record on a slow disk", func(_ *testing.T, _ *endpointPool, disk *faultyDisk) func() {
		disk.writeDelay.Store(int64(2 * permissionLength))
		return func() { disk.writeDelay.Store(0) }
	}},
	{"record on a full disk", func(_ *testing.T, _ *endpointPool, disk *faultyDisk) func() {
		disk.failing.Store(true)
		return func() { disk.failing.Store(false) }
	}},
	{"unread response", func(_ *testing.T, p *endpointPool, _ *faultyDisk) func() {
		p.admission.SetUnreadable(0, true)
		return func() { p.admission.SetUnreadable(0, false) }
	}},
	{"suspended process", func(_ *testing.T, p *endpointPool, _ *faultyDisk) func() {
		p.admission.Heartbeat(p.clock.now() - int64(time.Second))
		return func() { p.admission.Heartbeat(p.clock.now()) }
	}},
	{"first byte", func(_ *testing.T, p *endpointPool, _ *faultyDisk) func() { return failWrites(p, 0) }},
	{"second byte", func(_ *testing.T, p *endpointPool, _ *faultyDisk) func() { return failWrites(p, 1) }},
}

// failWrites lets the writes on a pool's connections fail for a reason of this machine after some bytes, until it is released.
func failWrites(p *endpointPool, writable int) (release func()) {
	dial, failing := p.dial, new(atomic.Bool)
	failing.Store(true)
	p.dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &stuckConn{TCPConn: conn.(*net.TCPConn), failing: failing, writable: writable}, nil
	}
	return func() { failing.Store(false) }
}

// stuckConn is a connection whose writes fail after some bytes while a switch is on.
type stuckConn struct {
	*net.TCPConn
	failing  *atomic.Bool
	writable int
}

func (c *stuckConn) Write(b []byte) (n int, err error) {
	if !c.failing.Load() {
		return c.TCPConn.Write(b)
	}
	if c.writable > 0 {
		n, _ = c.TCPConn.Write(b[:c.writable])
		c.writable = 0
	}
	return n, &net.OpError{Op: "write", Err: syscall.ENOBUFS}
}

// Guards against an attempt that is sent although what allowed it has ended while it waited: for each permission, at each place.
func TestPermissionsEndWhereverSendsWait(t *testing.T) {
	for _, place := range sendPlaces {
		for _, permission := range permissionEnds {
			t.Run(place.name+"/"+permission.name, func(t *testing.T) {
				t.Parallel()
				checkPermissionEnd(t, place, permission)
			})
		}
	}
}

func checkPermissionEnd(t *testing.T, place sendPlace, permission permissionEnd) {
	endpoint := newTestEndpoint(t, respond(httpResponse("200 OK", "", "")))
	p := newTestPool(t, endpoint.Addr().String())
	folder := t.TempDir()
	disk := &faultyDisk{Dir: store.Dir(folder)}
	j, _, err := openJournal(folder, disk, wallClock, 3, 6, findAnyType)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(j.close)
	p.journal = j
	c, a := permission.newCall(t, p)
	release := place.hold(t, p, disk)
	go p.execute(c)
	permission.endWhileWaiting(c)
	release()
	want, wantCalls := delivery.Unsent, 0
	if permission.name == nothingEnds {
		want, wantCalls = delivery.Acked, 1
	}
	if r := awaitResult(t, a); r.outcome != want {
		t.Errorf("ended as %v, want %v", r.outcome, want)
	}
	time.Sleep(callSetUpTime)
	if calls, _ := endpoint.counts(); calls != wantCalls {
		t.Errorf("the endpoint got %d calls, want %d", calls, wantCalls)
	}
}

// Guards against a call whose last bytes are written although a permission has ended while they waited for room in the socket.
func TestPermissionsEndWhileSocketIsFull(t *testing.T) {
	for _, permission := range permissionEnds {
		t.Run(permission.name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			c, a := permission.newCall(t, newTestPool(t, l.Addr().String()))
			a.event.body = make([]byte, 16<<20)
			go c.pool.execute(c)
			(&testEnv{t: t}).waitFor("the call is being written, or has ended", func() bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				return c.progress == progressWriting || c.ended
			})
			permission.endWhileWaiting(c) // the connection is not accepted, and nobody reads
			conn, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetReadDeadline(time.Now().Add(testTimeout / 2)) // a call that ended before its first byte leaves the connection open
			if permission.name == nothingEnds {
				time.AfterFunc(2*time.Second, func() { c.abandon(delivery.TimedOut) }) // nobody answers
			}
			read, _ := io.Copy(io.Discard, conn)
			r := awaitResult(t, a)
			whole := read > int64(len(a.event.body))
			if want := permission.name == nothingEnds; whole != want || (r.outcome == delivery.Unsent) == want {
				t.Errorf("ended as %v after %d bytes; all bytes wanted: %v", r.outcome, read, want)
			}
		})
	}
}
