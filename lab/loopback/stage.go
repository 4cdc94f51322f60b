// Package loopback plays a scenario in real time on loopback sockets, for real delivery nodes: destinations,
// directory, platform and clients. Destinations are those of package partner and the judge is package ledger,
// so that a run here and one in virtual time differ by the sockets alone. It listens on 127.0.0.1 only.
package loopback

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"jaspersill/delivery"
	"jaspersill/door"
	"jaspersill/lab/ledger"
	"jaspersill/lab/partner"
	"jaspersill/lab/scenario"
)

const (
	waitGrace  = 100 * time.Millisecond // so soon after a wait was told calls are let through: the protocol's
	drainGrace = 50 * time.Millisecond  // every time limit is so much longer on sockets: the protocol's
	leaveAfter = 3 * time.Second        // an endpoint that drains is gone after so long
	readMost   = 64 << 10               // bytes of a body: the protocol's
	aliveEvery = 2 * time.Second        // a watch shows a sign of life: the protocol's
)

// held is an event that a client handed in.
type held struct {
	number int32 // the ledger's
	node   int32
	work   int64
	sends  int
	refs   int  // calls at endpoints that know it
	ended  bool // nothing more is owed
	left   bool // its client gave it up: what is sent for it counts for nothing
	again  func(comeBack int64)
}

// Stage is what delivery nodes meet on one day.
type Stage struct {
	day   *scenario.Scenario
	began time.Time

	mu       sync.Mutex
	partners *partner.Model
	ledger   *ledger.Ledger
	events   map[string]*held
	numbers  door.Table[string]
	chance   *rand.Rand
	doors    []*gate // by endpoint
	changes  []change
	bell     chan struct{} // closed and made anew when the directory has news
	dirDown  int
	dirStill int
	troubles []int // in force
	met      [][]int32
	metNodes [][]int32
	stopped  bool
	anyone   bool // events that no client of the stage handed in are taken, and not judged
	sights   map[sight]int64

	dirs  []net.Listener // of each node
	conns map[net.Conn]struct{}
	wg    sync.WaitGroup
	tell  func(format string, args ...any) // lines for whoever looks on, or nil
}

type change struct {
	ep    int32
	state delivery.EndpointState
}

// gate is an endpoint's listener.
type gate struct {
	address  string
	listener net.Listener
	conns    map[net.Conn]struct{}
}

// Open opens the sockets of a scenario. tell may be nil.
func Open(day *scenario.Scenario, seed, luck uint64, tell func(format string, args ...any)) (*Stage, error) {
	if tell == nil {
		tell = func(string, ...any) {}
	}
	s := &Stage{day: day, began: time.Now(), partners: partner.New(day, seed, luck), ledger: ledger.New(day),
		events: make(
			map[string]*held,
		), chance: rand.New(rand.NewPCG(seed, 0x57a6+luck)), bell: make(chan struct{}),
		conns: make(map[net.Conn]struct{}), sights: make(map[sight]int64), tell: tell}
	s.numbers.Take("") // 0 stands for none
	for ep := range s.partners.Endpoints {
		if err := s.openGate(int32(ep)); err != nil {
			s.Close()
			return nil, err
		}
	}
	for range day.Fleet.Nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.Close()
			return nil, err
		}
		s.dirs = append(s.dirs, l)
	}
	for n, l := range s.dirs {
		s.wg.Add(1)
		go s.directory(int32(n), l)
	}
	s.drawTroubles(seed)
	return s, nil
}

// Anyone lets the stage take events that none of its own clients handed in; they are not judged.
func (s *Stage) Anyone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.anyone = true
}

// Latency has a function hear the time from each asking to its delivery; it is called before Play.
func (s *Stage) Latency(hear func(typ int, took int64)) { s.ledger.Latency = hear }

// Begin sets the day's time to 0 and starts its troubles.
func (s *Stage) Begin(ctx context.Context, nodes *Nodes) {
	s.mu.Lock()
	s.began = time.Now()
	s.mu.Unlock()
	s.schedule(ctx, nodes)
}

// now is the day's time in ns.
func (s *Stage) now() int64 { return int64(time.Since(s.began)) }

// Directory is the address of a node's directory, which takes the notices too.
func (s *Stage) Directory(node int) string { return s.dirs[node].Addr().String() }

// openGate listens for an endpoint, at its former address if it had one.
func (s *Stage) openGate(ep int32) error {
	address := "127.0.0.1:0"
	if int(ep) < len(s.doors) {
		address = s.doors[ep].address
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	g := &gate{address: l.Addr().String(), listener: l, conns: make(map[net.Conn]struct{})}
	if int(ep) < len(s.doors) {
		s.doors[ep] = g
	} else {
		s.doors = append(s.doors, g)
	}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				if errors.Is(err, net.ErrClosed) {
					return
				}
				time.Sleep(5 * time.Millisecond) // short of descriptors: it goes on when some are free
				continue
			}
			s.wg.Add(1)
			go s.endpoint(ep, g, c)
		}
	}()
	return nil
}

// shutGate refuses connections and resets those that are open.
func (s *Stage) shutGate(ep int32) {
	g := s.doors[ep]
	g.listener.Close()
	for c := range g.conns {
		reset(c)
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// endpoint serves one connection.
func (s *Stage) endpoint(ep int32, g *gate, c net.Conn) {
	defer s.wg.Done()
	s.mu.Lock()
	link := partner.NotConnected
	if !s.stopped {
		link = s.partners.Connect(s.now(), ep)
	}
	epoch, kind := s.partners.Endpoints[ep].Epoch, s.partners.Endpoints[ep].Kind
	g.conns[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(g.conns, c)
		if link == partner.Connected {
			s.partners.Close(ep, epoch)
		}
		s.mu.Unlock()
		c.Close()
	}()
	p := &s.day.Partners[kind]
	switch link {
	case partner.NotConnected:
		reset(c)
		return
	case partner.NoSign:
		for s.mode(ep) == partner.Silent {
			time.Sleep(20 * time.Millisecond)
		}
		reset(c)
		return
	}
	in := bufio.NewReaderSize(c, 4096)
	for first := true; ; first = false {
		c.SetReadDeadline(time.Now().Add(time.Duration(p.IdleFor)))
		r, err := readCall(in)
		if err != nil {
			return
		}
		if first {
			time.Sleep(time.Duration(p.Handshake))
		}
		if !s.call(ep, epoch, c, in, r) {
			return
		}
	}
}

func (s *Stage) mode(ep int32) partner.Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return partner.Refusing
	}
	return s.partners.Endpoints[ep].Mode
}

// call plays one call; false ends the connection.
func (s *Stage) call(ep int32, epoch uint32, c net.Conn, in *bufio.Reader, r *request) bool {
	s.mu.Lock()
	now := s.now()
	lane := s.partners.LaneOf(ep)
	var node int32 = -1
	var sends []out
	work := int64(0)
	for _, id := range r.ids {
		e := s.events[id]
		if e == nil && s.anyone {
			e = &held{left: true, node: -1, work: int64(s.day.Types[0].Work)}
		}
		if e == nil {
			s.mu.Unlock()
			writeStatus(c, 400, "")
			return false
		}
		e.refs++
		node, work = e.node, max(work, e.work)
		o := out{event: e, number: e.sends}
		e.sends++
		if !e.left {
			s.ledger.Begin(now, e.number, ep, lane)
		}
		sends = append(sends, o)
	}
	work += work / 4 * int64(len(sends)-1)
	falls := len(s.partners.Falls)
	f := s.partners.Arrive(now, ep, node >= 0 && s.informed(node, lane), work, len(sends))
	fell := len(s.partners.Falls) > falls
	if fell {
		x := s.partners.Falls[falls]
		s.ledger.Fell(now, x.Dest, x.Offered, x.Informed, x.Allowed)
	}
	for i := range sends {
		if f.Ran && !sends[i].event.left {
			sends[i].known = s.ledger.Reach(now, sends[i].event.number)
		}
	}
	s.mu.Unlock()
	defer s.release(sends)
	if fell || (f.Answers() && f.How == delivery.Reset && !f.Ran) {
		reset(c)
		return false
	}
	if !f.Answers() { // until the node closes, or the endpoint's process dies
		c.SetReadDeadline(time.Time{})
		in.Peek(1)
		return false
	}
	time.Sleep(time.Duration(f.Done - s.now()))
	s.mu.Lock()
	runs, answers := s.partners.Finish(ep, epoch)
	for _, o := range sends {
		if f.Ran && !o.event.left {
			s.ledger.Run(s.now(), now, o.event.number, runs, o.known)
		}
	}
	s.mu.Unlock()
	if !runs {
		reset(c)
		return false
	}
	if !answers {
		c.SetReadDeadline(time.Time{})
		in.Peek(1)
		return false
	}
	time.Sleep(time.Duration(f.After))
	if !open(c, in) { // the node gave it up
		s.mu.Lock()
		s.heard(sends, ep, lane, node, delivery.TimedOut, 0)
		s.mu.Unlock()
		return false
	}
	s.mu.Lock()
	s.heard(sends, ep, lane, node, f.How, f.Wait)
	s.mu.Unlock()
	return answer(c, r, f)
}

// out is one send in a call.
type out struct {
	event  *held
	number int
	known  bool
}

// informed tells whether a node saw a call fail at a lane during its last outage.
func (s *Stage) informed(node, lane int32) bool {
	from, _ := s.partners.Outage(lane)
	return from > 0 && s.seen(node, lane) == from
}

// heard notes what a node hears of the sends of a call; the lock is held.
func (s *Stage) heard(sends []out, ep, lane, node int32, how delivery.Outcome, wait int64) {
	now := s.now()
	if from, to := s.partners.Outage(lane); how != delivery.Acked && from > 0 && now < to && node >= 0 {
		s.saw(node, lane, from)
	}
	if wait > 0 && node >= 0 {
		until := now + wait
		time.AfterFunc(waitGrace, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if left := until - s.now(); left > 0 {
				s.ledger.Wait(s.now(), node, lane, left)
			}
		})
	}
	for _, o := range sends {
		e := o.event
		if s.anyone {
			s.tell("a call to endpoint %d: %s", ep, ledger.OutcomeName(how))
		}
		if e.left {
			continue
		}
		s.ledger.Hear(now, e.number, o.number, how)
		if how == delivery.Acked && !e.ended {
			e.ended = true
			s.ledger.Finish(now, e.number, ledger.Acked)
		}
	}
}

// release lets go of the events of a call that is over.
func (s *Stage) release(sends []out) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range sends {
		o.event.refs--
		s.settle(o.event)
	}
}

// settle forgets an event that is over and that no call knows; the lock is held.
func (s *Stage) settle(e *held) {
	if (e.ended || e.left) && e.refs == 0 && e.number > 0 { // those of anyone have no number
		if !e.left {
			s.ledger.Leave(s.now(), e.number)
		}
		delete(s.events, s.numbers.ID(e.number))
		s.numbers.Release(e.number)
		e.number = 0
	}
}

// Close ends all and waits for it.
func (s *Stage) Close() {
	s.mu.Lock()
	s.stopped = true
	for _, l := range s.dirs {
		l.Close()
	}
	for _, g := range s.doors {
		g.listener.Close()
		for c := range g.conns {
			c.Close()
		}
	}
	for c := range s.conns {
		c.Close()
	}
	close(s.bell)
	s.bell = make(chan struct{})
	s.mu.Unlock()
	s.wg.Wait()
}

// Sum sums up the day so far.
func (s *Stage) Sum() ledger.Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Sweep(s.now())
	return s.ledger.Sum()
}

// id makes an event's id.
func (s *Stage) id() string { return fmt.Sprintf("%016x", s.chance.Uint64()) }
