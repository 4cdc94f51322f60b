// Package faultproxy provides proxies on loopback that inject network faults. Data on a TCP connection is repeated,
// held back, split, merged, truncated, dripped or altered, one direction is closed, or the connection is reset. Connections come up late.
// Datagrams are repeated, delayed, reordered or dropped. Which data is affected is drawn from a seed.
//
// The proxy does not parse any protocol. A fault applies to a chunk: the result of one read, which on loopback is
// usually what the sender wrote in one call. Both ends can ask whether a connection was disturbed, so that a test can
// tell an injected fault from a fault of the program under test.
package faultproxy

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	Repeat    Kind = "repeat"   // the chunk is sent again after the delay
	Hold      Kind = "hold"     // the chunk and all chunks behind it are held back for the delay
	Split     Kind = "split"    // the chunk is sent in two parts, the second after the delay
	Merge     Kind = "merge"    // the chunk waits up to the delay for the next one and is sent with it
	Truncate  Kind = "truncate" // only a part of the chunk is sent, and the direction is closed
	Drip      Kind = "drip"     // the chunk is sent byte by byte over the delay
	Alter     Kind = "alter"    // one bit of the chunk is flipped
	Reset     Kind = "reset"    // the connection is reset instead of sending the chunk
	HalfClose Kind = "end-one"  // the chunk is sent and its direction is closed, while the other one stays open
)

// Kinds lists the kinds of faults.
func Kinds() []Kind {
	return []Kind{Repeat, Hold, Split, Merge, Truncate, Drip, Alter, Reset, HalfClose}
}

// Direction is a direction of a connection.
type Direction uint8

// The directions.
const (
	Requests  Direction = iota // from the client to the target
	Responses                  // from the target to the client
)

// Fault is a kind of fault and the conditions under which it is injected.
type Fault struct {
	Kind               Kind
	Direction          Direction
	Probability        float64       // for each chunk, 0 to 1
	MinDelay, MaxDelay time.Duration // the delay is drawn from this range
	Until              time.Time     // end of the fault, zero for none

	// FirstChunk is the first chunk of a connection's direction that the fault applies to, counted from 1; 0 means all.
	FirstChunk int
}

// maxChunk is the size of the read buffer. A request or response of the largest size fits into one chunk.
const maxChunk = 80 << 10

// Proxy listens on one address and forwards connections to a target.
type Proxy struct {
	listener *net.TCPListener
	target   string

	dropping  sync.Mutex  // held while connects are dropped
	accepting atomic.Bool // connects are not dropped
	paused    chan struct{}
	resume    chan struct{}

	mu       sync.Mutex
	random   *rand.Rand
	faults   []Fault
	open     map[*Connection]struct{}
	byTarget map[string]*Connection // newest, by the proxy's address on its connection to the target
	byClient map[string]*Connection // newest, by the client's address
	closed   bool
	faulted  int    // chunks
	filler   string // address of the connection that last filled the accept queue
}

// Listen opens a proxy on a loopback address that forwards connections to a target.
func Listen(address, target string, seed uint64) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener.(*net.TCPListener), target: target, random: rand.New(rand.NewPCG(seed, 0xfa017)),
		paused: make(chan struct{}), resume: make(chan struct{}),
		open: map[*Connection]struct{}{}, byTarget: map[string]*Connection{}, byClient: map[string]*Connection{}}
	p.accepting.Store(true)
	go p.serve()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Add puts a fault in force.
func (p *Proxy) Add(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, f)
}

// ConnToTarget returns the open connection that the target accepted from the given remote address, or nil.
func (p *Proxy) ConnToTarget(address net.Addr) *Connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byTarget[address.String()]
}

// ConnFromClient returns the newest connection from the given client address, or nil if the target did not accept it.
func (p *Proxy) ConnFromClient(address net.Addr) *Connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byClient[address.String()]
}

// FaultCount returns the number of chunks that had a fault injected.
func (p *Proxy) FaultCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faulted
}

// Close closes the proxy and its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.open {
		c.reset()
	}
}

func (p *Proxy) serve() {
	for {
		conn, err := p.accept()
		if err != nil {
			return
		}
		go p.relay(conn)
	}
}

// relay forwards one connection until both directions are closed.
func (p *Proxy) relay(client *net.TCPConn) {
	p.mu.Lock()
	delete(p.byClient, client.RemoteAddr().String()) // an earlier connection from the same address
	p.mu.Unlock()
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		client.SetLinger(0)
		client.Close()
		return
	}
	c := &Connection{proxy: p, client: client, target: target.(*net.TCPConn)}
	if !p.register(c) {
		c.reset()
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { (&stream{connection: c, direction: Requests, from: c.client, to: c.target}).run() })
	directions.Go(func() { (&stream{connection: c, direction: Responses, from: c.target, to: c.client}).run() })
	directions.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	c.client.Close()
	c.target.Close()
	delete(p.open, c)
	if address := c.target.LocalAddr().String(); p.byTarget[address] == c { // another connection may reuse the port
		delete(p.byTarget, address)
	}
}

func (p *Proxy) register(c *Connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.open[c] = struct{}{}
	p.byTarget[c.target.LocalAddr().String()] = c
	p.byClient[c.client.RemoteAddr().String()] = c
	return true
}

// drawFault returns the fault to inject into a chunk and its delay, and false for none.
func (p *Proxy) drawFault(d Direction, chunk int) (f Fault, delay time.Duration, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, f := range p.faults {
		if f.Direction != d || chunk < f.FirstChunk || (!f.Until.IsZero() && now.After(f.Until)) ||
			p.random.Float64() >= f.Probability {
			continue
		}
		p.faulted++
		delay = f.MinDelay
		if f.MaxDelay > f.MinDelay {
			delay += time.Duration(p.random.Int64N(int64(f.MaxDelay - f.MinDelay)))
		}
		return f, delay, true
	}
	return Fault{}, 0, false
}

func (p *Proxy) randomIndex(length int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.IntN(length)
}

// Connection is one connection through the proxy.
type Connection struct {
	proxy          *Proxy
	client, target *net.TCPConn
	disturbed      atomic.Bool

	requestsEnded  atomic.Bool // the client has closed its sending direction
	responseUnread atomic.Bool // the client has closed the connection without reading the last response
}

// ResponseUnread reports whether the client has closed the connection without reading the last response, which crossed its closing. It
// returns false for nil.
func (c *Connection) ResponseUnread() bool { return c != nil && c.responseUnread.Load() }

// MarkDisturbed records that one of the connection's ends injected a fault. It has no effect on nil.
func (c *Connection) MarkDisturbed() {
	if c != nil {
		c.disturbed.Store(true)
	}
}

// Disturbed reports whether a fault was injected into the connection. It returns false for nil.
func (c *Connection) Disturbed() bool { return c != nil && c.disturbed.Load() }

// reset resets the connections on both sides.
func (c *Connection) reset() {
	c.client.SetLinger(0)
	c.target.SetLinger(0)
	c.client.Close()
	c.target.Close()
}

// resetUnread resets the connections on both sides, because the client does not read a response.
func (c *Connection) resetUnread() {
	c.responseUnread.Store(true)
	c.reset()
}

// stream is one direction of a connection.
type stream struct {
	connection *Connection
	direction  Direction
	from, to   *net.TCPConn
	chunks     int
	pending    []byte // held back by a Merge fault

	mu    sync.Mutex // serializes writes, because repeated chunks are sent from timers
	ended bool
}

// run forwards chunks until the direction is closed. A reset on one side resets the other.
func (s *stream) run() {
	buffer := make([]byte, maxChunk)
	for {
		n, err := s.from.Read(buffer)
		if n > 0 && !s.forward(buffer[:n]) {
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			if s.direction == Requests {
				s.connection.requestsEnded.Store(true)
			}
			s.closeWrite()
			if s.direction == Requests && isReset(s.from) { // a response reached a socket that was already closed
				s.connection.resetUnread()
			}
			return
		case s.direction == Requests && errors.Is(err, syscall.ECONNRESET):
			s.connection.resetUnread()
			return
		case err != nil:
			s.connection.reset()
			return
		}
	}
}

// forward forwards one chunk. It returns false if the direction is closed afterwards.
func (s *stream) forward(read []byte) bool {
	s.chunks++
	chunk := append(s.pending, read...)
	s.pending = nil
	fault, delay, found := s.connection.proxy.drawFault(s.direction, s.chunks)
	if !found {
		return s.write(chunk)
	}
	s.connection.disturbed.Store(true)
	switch fault.Kind {
	case Repeat:
		return s.repeat(chunk, delay)
	case Hold:
		time.Sleep(delay)
	case Split:
		at := s.connection.proxy.randomIndex(len(chunk))
		if !s.write(chunk[:at]) {
			return false
		}
		time.Sleep(delay)
		chunk = chunk[at:]
	case Merge:
		s.pending = append([]byte(nil), chunk...)
		s.merge(delay)
		return true
	case Truncate:
		s.write(chunk[:s.connection.proxy.randomIndex(len(chunk))])
		s.closeWrite()
		return false
	case Drip:
		return s.drip(chunk, delay)
	case Alter:
		chunk = append([]byte(nil), chunk...)
		chunk[s.connection.proxy.randomIndex(len(chunk))] ^= 0x01
	case Reset:
		s.connection.reset()
		return false
	case HalfClose:
		s.write(chunk)
		s.closeWrite()
		return false
	}
	return s.write(chunk)
}

// repeat sends a chunk twice, in one write if there is no delay.
func (s *stream) repeat(chunk []byte, delay time.Duration) bool {
	copied := append([]byte(nil), chunk...)
	if delay == 0 {
		return s.write(append(copied, copied...))
	}
	if !s.write(chunk) {
		return false
	}
	time.AfterFunc(delay, func() { s.write(copied) })
	return true
}

// merge sends the pending chunk together with the next one, or alone if none arrives within the delay.
func (s *stream) merge(delay time.Duration) {
	s.from.SetReadDeadline(time.Now().Add(delay))
	buffer := make([]byte, maxChunk)
	n, _ := s.from.Read(buffer)
	s.from.SetReadDeadline(time.Time{})
	chunk := append(s.pending, buffer[:n]...)
	s.pending = nil
	s.write(chunk)
}

func (s *stream) drip(chunk []byte, over time.Duration) bool {
	pause := over / time.Duration(len(chunk))
	for i := range chunk {
		if !s.write(chunk[i : i+1]) {
			return false
		}
		time.Sleep(pause)
	}
	return true
}

func (s *stream) write(chunk []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	if _, err := s.to.Write(chunk); err != nil {
		if s.direction == Responses {
			s.connection.resetUnread()
		} else {
			s.connection.reset()
		}
		return false
	}
	if s.direction == Responses && s.connection.requestsEnded.Load() && isReset(s.to) {
		s.connection.resetUnread()
		return false
	}
	return true
}

// resetDelay is longer than a write to a closed socket takes on loopback to cause a reset, even on a busy machine.
const resetDelay = 20 * time.Millisecond

// isReset reports whether the peer has reset a connection.
func isReset(conn *net.TCPConn) (reset bool) {
	time.Sleep(resetDelay)
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	raw.Control(func(descriptor uintptr) {
		code, err := unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_ERROR)
		reset = err == nil && code != 0
	})
	return reset
}

// closeWrite closes the direction towards the receiving side.
func (s *stream) closeWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.to.CloseWrite()
}
