// Package faultproxy stands between two ends on loopback and disturbs what passes: bytes of a TCP connection are
// repeated, held back, split, merged, cut off, dripped or altered, one direction is ended, connections are reset;
// datagrams are repeated, delayed, reordered and dropped. Which pieces are disturbed is drawn from a seed.
//
// The proxy knows no protocol. It disturbs pieces: what one read returned, which on loopback is what the sender wrote
// in one call. The endpoint of a disturbed connection can ask whether it was disturbed, so that an oracle can tell a
// fault of the path from one of its ends.
package faultproxy

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Kind is a way of disturbing a piece.
type Kind string

// The kinds of faults.
const (
	Repeat    Kind = "repeat"   // the piece goes out a second time, after the delay
	Hold      Kind = "hold"     // the piece goes out after the delay, and so do those behind it
	Split     Kind = "split"    // the piece goes out in two, the second after the delay
	Merge     Kind = "merge"    // the piece waits for the next one for as long as the delay, and goes out with it
	Truncate  Kind = "truncate" // only a part of the piece goes out, and the direction ends
	Drip      Kind = "drip"     // the piece goes out byte by byte, over the delay
	Alter     Kind = "alter"    // a byte of the piece is changed
	Reset     Kind = "reset"    // the connection is reset in place of the piece
	HalfClose Kind = "end-one"  // the piece goes out, and then the direction ends while the other goes on
)

// Kinds lists the kinds of faults.
func Kinds() []Kind {
	return []Kind{Repeat, Hold, Split, Merge, Truncate, Drip, Alter, Reset, HalfClose}
}

// Direction is a direction of a connection, seen from the side that connects.
type Direction uint8

// The directions.
const (
	Requests  Direction = iota // from the connecting side to the target
	Responses                  // from the target
)

// Fault is one kind of fault and when it strikes.
type Fault struct {
	Kind               Kind
	Direction          Direction
	Probability        float64       // of the pieces, 0 to 1
	MinDelay, MaxDelay time.Duration // the delay is drawn from this range
	Until              time.Time     // the fault ends then; zero for never

	// FirstChunk strikes only from this piece of a connection's direction on, counted from 1; 0 for any.
	FirstChunk int
}

// maxChunk is the most that one read takes: a request or an answer of the largest size goes through in one piece.
const maxChunk = 80 << 10

// Proxy is one address that leads to a target.
type Proxy struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	random   *rand.Rand
	faults   []Fault
	open     map[*Connection]struct{}
	byTarget map[string]*Connection // newest, by the address from which the target sees it
	byClient map[string]*Connection // newest, by the address of its client
	closed   bool
	faulted  int // pieces
}

// Listen opens a proxy on an address of the loopback network that leads to a target.
func Listen(address, target string, seed uint64) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, random: rand.New(rand.NewPCG(seed, 0xfa017)),
		open: map[*Connection]struct{}{}, byTarget: map[string]*Connection{}, byClient: map[string]*Connection{}}
	go p.serve()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Add puts a fault in force.
func (p *Proxy) Add(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, f)
}

// ConnToTarget finds an open connection by the address from which the target sees it, nil for none.
func (p *Proxy) ConnToTarget(address net.Addr) *Connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byTarget[address.String()]
}

// ConnFromClient finds the newest connection by its client's address. It is nil for one that the target has not taken.
func (p *Proxy) ConnFromClient(address net.Addr) *Connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byClient[address.String()]
}

// FaultCount is how many pieces faults have struck.
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
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.relay(conn.(*net.TCPConn))
	}
}

// relay carries one connection until both directions have ended.
func (p *Proxy) relay(near *net.TCPConn) {
	p.mu.Lock()
	delete(p.byClient, near.RemoteAddr().String()) // of an earlier connection from that address
	p.mu.Unlock()
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		near.SetLinger(0)
		near.Close()
		return
	}
	c := &Connection{proxy: p, client: near, target: far.(*net.TCPConn)}
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
	if address := c.target.LocalAddr().String(); p.byTarget[address] == c { // the port will be another connection's
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

// drawFault picks the fault that strikes a piece, if any, and its delay.
func (p *Proxy) drawFault(d Direction, piece int) (f Fault, delay time.Duration, strikes bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, f := range p.faults {
		if f.Direction != d || piece < f.FirstChunk || (!f.Until.IsZero() && now.After(f.Until)) || p.random.Float64() >= f.Probability {
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

	requestsEnded atomic.Bool // the client sends nothing more
}

// Disturbed tells whether a fault has struck the connection. Nil counts as undisturbed.
func (c *Connection) Disturbed() bool { return c != nil && c.disturbed.Load() }

// reset ends both sides at once.
func (c *Connection) reset() {
	c.client.SetLinger(0)
	c.target.SetLinger(0)
	c.client.Close()
	c.target.Close()
}

// stream is one direction of a connection.
type stream struct {
	connection *Connection
	direction  Direction
	from, to   *net.TCPConn
	chunks     int
	pending    []byte // held for the next piece

	mu    sync.Mutex // orders writes: repeated pieces go out between others
	ended bool
}

// run carries pieces until the direction ends. What breaks on one side breaks on the other.
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
			if s.direction == Requests && isReset(s.from) { // an answer on its way met the end
				s.connection.reset()
			}
			return
		case err != nil:
			s.connection.reset()
			return
		}
	}
}

// forward sends one piece on. It tells false if the direction ends with it.
func (s *stream) forward(read []byte) bool {
	s.chunks++
	piece := append(s.pending, read...)
	s.pending = nil
	fault, delay, strikes := s.connection.proxy.drawFault(s.direction, s.chunks)
	if !strikes {
		return s.write(piece)
	}
	s.connection.disturbed.Store(true)
	switch fault.Kind {
	case Repeat:
		return s.repeat(piece, delay)
	case Hold:
		time.Sleep(delay)
	case Split:
		at := s.connection.proxy.randomIndex(len(piece))
		if !s.write(piece[:at]) {
			return false
		}
		time.Sleep(delay)
		piece = piece[at:]
	case Merge:
		s.pending = append([]byte(nil), piece...)
		s.merge(delay)
		return true
	case Truncate:
		s.write(piece[:s.connection.proxy.randomIndex(len(piece))])
		s.closeWrite()
		return false
	case Drip:
		return s.drip(piece, delay)
	case Alter:
		piece = append([]byte(nil), piece...)
		piece[s.connection.proxy.randomIndex(len(piece))] ^= 0x01
	case Reset:
		s.connection.reset()
		return false
	case HalfClose:
		s.write(piece)
		s.closeWrite()
		return false
	}
	return s.write(piece)
}

// repeat sends a piece twice, in one write where there is no delay.
func (s *stream) repeat(piece []byte, delay time.Duration) bool {
	copied := append([]byte(nil), piece...)
	if delay == 0 {
		return s.write(append(copied, copied...))
	}
	if !s.write(piece) {
		return false
	}
	time.AfterFunc(delay, func() { s.write(copied) })
	return true
}

// merge sends what waits for the next piece if none comes in time.
func (s *stream) merge(delay time.Duration) {
	s.from.SetReadDeadline(time.Now().Add(delay))
	buffer := make([]byte, maxChunk)
	n, _ := s.from.Read(buffer)
	s.from.SetReadDeadline(time.Time{})
	piece := append(s.pending, buffer[:n]...)
	s.pending = nil
	s.write(piece)
}

func (s *stream) drip(piece []byte, over time.Duration) bool {
	rest := over / time.Duration(len(piece))
	for i := range piece {
		if !s.write(piece[i : i+1]) {
			return false
		}
		time.Sleep(rest)
	}
	return true
}

func (s *stream) write(piece []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	if _, err := s.to.Write(piece); err != nil {
		s.connection.reset()
		return false
	}
	if s.direction == Responses && s.connection.requestsEnded.Load() && isReset(s.to) {
		s.connection.reset() // the client has closed: the answer reached nobody
		return false
	}
	return true
}

// resetDelay is more than it takes on loopback, on a busy machine too, until what was written to a closed socket comes
// back as a reset.
const resetDelay = 20 * time.Millisecond

// isReset tells whether the other side of a connection has reset it.
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

// closeWrite tells the other side that nothing more comes in this direction.
func (s *stream) closeWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.to.CloseWrite()
}
