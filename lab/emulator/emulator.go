// Package loopback plays a scenario in real time on loopback sockets, for real delivery nodes: destinations,
// directory, platform and clients. Destinations are those of package partner and the judge is package ledger,
// so that a run here and one in virtual time differ by the sockets alone. It listens on 127.0.0.1 only.
package emulator

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
	"jaspersill/idmap"
	"jaspersill/lab/checker"
	"jaspersill/lab/destination"
	"jaspersill/lab/scenario"
)

const (
	retryAfterGrace   = 100 * time.Millisecond // so soon after a wait was told calls are let through: the protocol's
	drainGrace        = 50 * time.Millisecond  // every time limit is so much longer on sockets: the protocol's
	endpointDrainTime = 3 * time.Second        // an endpoint that drains is gone after so long
	maxBodySize       = 64 << 10               // bytes of a body: the protocol's
	watchKeepAlive    = 2 * time.Second        // a watch shows a sign of life: the protocol's
)

// event is an event that a client handed in.
type event struct {
	index     int32 // the ledger's
	node      int32
	workTime  int64
	sendCount int
	refs      int  // calls at endpoints that know it
	ended     bool // nothing more is owed
	abandoned bool // its client gave it up: what is sent for it counts for nothing
	retry     func(comeBack int64)
}

// Emulator is what delivery nodes meet on one day.
type Emulator struct {
	scenario  *scenario.Scenario
	startedAt time.Time

	mu               sync.Mutex
	destinations     *destination.Model
	checker          *checker.Checker
	events           map[string]*event
	eventTable       idmap.Table[string]
	random           *rand.Rand
	listeners        []*endpointListener // by endpoint
	changes          []endpointChange
	directoryChanged chan struct{} // closed and made anew when the directory has news
	directoryDown    int
	directoryFrozen  int
	activeFaults     []int // in force
	faultEndpoints   [][]int32
	faultNodes       [][]int32
	stopped          bool
	acceptUnknown    bool // events that no client of the stage handed in are taken, and not judged
	seenOutages      map[nodeGroup]int64

	directoryListeners []net.Listener // of each node
	conns              map[net.Conn]struct{}
	wg                 sync.WaitGroup
	logf               func(format string, args ...any) // lines for whoever looks on, or nil
}

type endpointChange struct {
	ep    int32
	state delivery.EndpointState
}

// endpointListener is an endpoint's listener.
type endpointListener struct {
	address  string
	listener net.Listener
	conns    map[net.Conn]struct{}
}

// Open opens the sockets of a scenario. tell may be nil.
func Open(day *scenario.Scenario, seed, luck uint64, tell func(format string, args ...any)) (*Emulator, error) {
	if tell == nil {
		tell = func(string, ...any) {}
	}
	s := &Emulator{scenario: day, startedAt: time.Now(), destinations: destination.New(day, seed, luck), checker: checker.New(day),
		events: make(
			map[string]*event,
		), random: rand.New(rand.NewPCG(seed, 0x57a6+luck)), directoryChanged: make(chan struct{}),
		conns: make(map[net.Conn]struct{}), seenOutages: make(map[nodeGroup]int64), logf: tell}
	s.eventTable.Acquire("") // 0 stands for none
	for ep := range s.destinations.Endpoints {
		if err := s.openEndpoint(int32(ep)); err != nil {
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
		s.directoryListeners = append(s.directoryListeners, l)
	}
	for n, l := range s.directoryListeners {
		s.wg.Add(1)
		go s.serveDirectory(int32(n), l)
	}
	s.drawFaults(seed)
	return s, nil
}

// AcceptUnknownEvents lets the stage take events that none of its own clients handed in; they are not judged.
func (s *Emulator) AcceptUnknownEvents() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptUnknown = true
}

// OnDelivery has a function hear the time from each asking to its delivery; it is called before Play.
func (s *Emulator) OnDelivery(hear func(typ int, took int64)) { s.checker.OnDelivery = hear }

// Start sets the day's time to 0 and starts its troubles.
func (s *Emulator) Start(ctx context.Context, nodes *Nodes) {
	s.mu.Lock()
	s.startedAt = time.Now()
	s.mu.Unlock()
	s.scheduleFaults(ctx, nodes)
}

// now is the day's time in ns.
func (s *Emulator) now() int64 { return int64(time.Since(s.startedAt)) }

// DirectoryAddress is the address of a node's directory, which takes the notices too.
func (s *Emulator) DirectoryAddress(node int) string {
	return s.directoryListeners[node].Addr().String()
}

// openEndpoint listens for an endpoint, at its former address if it had one.
func (s *Emulator) openEndpoint(ep int32) error {
	address := "127.0.0.1:0"
	if int(ep) < len(s.listeners) {
		address = s.listeners[ep].address
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	g := &endpointListener{address: l.Addr().String(), listener: l, conns: make(map[net.Conn]struct{})}
	if int(ep) < len(s.listeners) {
		s.listeners[ep] = g
	} else {
		s.listeners = append(s.listeners, g)
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
			go s.serveEndpoint(ep, g, c)
		}
	}()
	return nil
}

// closeEndpoint refuses connections and resets those that are open.
func (s *Emulator) closeEndpoint(ep int32) {
	g := s.listeners[ep]
	g.listener.Close()
	for c := range g.conns {
		resetConnection(c)
	}
}

// resetConnection closes a connection with a resetConnection.
func resetConnection(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// serveEndpoint serves one connection.
func (s *Emulator) serveEndpoint(ep int32, g *endpointListener, c net.Conn) {
	defer s.wg.Done()
	s.mu.Lock()
	link := destination.ConnectRefused
	if !s.stopped {
		link = s.destinations.Connect(s.now(), ep)
	}
	epoch, kind := s.destinations.Endpoints[ep].Epoch, s.destinations.Endpoints[ep].Kind
	g.conns[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(g.conns, c)
		if link == destination.Connected {
			s.destinations.Close(ep, epoch)
		}
		s.mu.Unlock()
		c.Close()
	}()
	p := &s.scenario.DestinationKinds[kind]
	switch link {
	case destination.ConnectRefused:
		resetConnection(c)
		return
	case destination.ConnectUnanswered:
		for s.endpointMode(ep) == destination.Unreachable {
			time.Sleep(20 * time.Millisecond)
		}
		resetConnection(c)
		return
	}
	in := bufio.NewReaderSize(c, 4096)
	for first := true; ; first = false {
		c.SetReadDeadline(time.Now().Add(time.Duration(p.IdleTimeout)))
		r, err := readCall(in)
		if err != nil {
			return
		}
		if first {
			time.Sleep(time.Duration(p.Handshake))
		}
		if !s.serveCall(ep, epoch, c, in, r) {
			return
		}
	}
}

func (s *Emulator) endpointMode(ep int32) destination.Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return destination.Down
	}
	return s.destinations.Endpoints[ep].Mode
}

// serveCall plays one serveCall; false ends the connection.
func (s *Emulator) serveCall(ep int32, epoch uint32, c net.Conn, in *bufio.Reader, r *callRequest) bool {
	s.mu.Lock()
	now := s.now()
	lane := s.destinations.GroupOf(ep)
	var node int32 = -1
	var sends []callSend
	work := int64(0)
	for _, id := range r.ids {
		e := s.events[id]
		if e == nil && s.acceptUnknown {
			e = &event{abandoned: true, node: -1, workTime: int64(s.scenario.Types[0].Work)}
		}
		if e == nil {
			s.mu.Unlock()
			writeStatus(c, 400, "")
			return false
		}
		e.refs++
		node, work = e.node, max(work, e.workTime)
		o := callSend{event: e, index: e.sendCount}
		e.sendCount++
		if !e.abandoned {
			s.checker.RecordSend(now, e.index, ep, lane)
		}
		sends = append(sends, o)
	}
	work += work / 4 * int64(len(sends)-1)
	falls := len(s.destinations.Overloads)
	f := s.destinations.StartCall(now, ep, node >= 0 && s.sawOutage(node, lane), work, len(sends))
	fell := len(s.destinations.Overloads) > falls
	if fell {
		x := s.destinations.Overloads[falls]
		s.checker.RecordOverload(now, x.Dest, x.Offered, x.Informed, x.Allowed)
	}
	for i := range sends {
		if f.Ran && !sends[i].event.abandoned {
			sends[i].duplicate = s.checker.RecordCallReceived(now, sends[i].event.index)
		}
	}
	s.mu.Unlock()
	defer s.releaseSends(sends)
	if fell || (f.Answered() && f.Outcome == delivery.Reset && !f.Ran) {
		resetConnection(c)
		return false
	}
	if !f.Answered() { // until the node closes, or the endpoint's process dies
		c.SetReadDeadline(time.Time{})
		in.Peek(1)
		return false
	}
	time.Sleep(time.Duration(f.DoneAt - s.now()))
	s.mu.Lock()
	runs, answers := s.destinations.FinishCall(ep, epoch)
	for _, o := range sends {
		if f.Ran && !o.event.abandoned {
			s.checker.RecordCallDone(s.now(), now, o.event.index, runs, o.duplicate)
		}
	}
	s.mu.Unlock()
	if !runs {
		resetConnection(c)
		return false
	}
	if !answers {
		c.SetReadDeadline(time.Time{})
		in.Peek(1)
		return false
	}
	time.Sleep(time.Duration(f.AnswerDelay))
	if !stillOpen(c, in) { // the node gave it up
		s.mu.Lock()
		s.recordOutcome(sends, ep, lane, node, delivery.TimedOut, 0)
		s.mu.Unlock()
		return false
	}
	s.mu.Lock()
	s.recordOutcome(sends, ep, lane, node, f.Outcome, f.RetryAfter)
	s.mu.Unlock()
	return writeAnswer(c, r, f)
}

// callSend is one send in a call.
type callSend struct {
	event     *event
	index     int
	duplicate bool
}

// sawOutage tells whether a node saw a call fail at a lane during its last outage.
func (s *Emulator) sawOutage(node, lane int32) bool {
	from, _ := s.destinations.Outage(lane)
	return from > 0 && s.seenOutage(node, lane) == from
}

// recordOutcome notes what a node hears of the sends of a call; the lock is held.
func (s *Emulator) recordOutcome(sends []callSend, ep, lane, node int32, how delivery.Outcome, wait int64) {
	now := s.now()
	if from, to := s.destinations.Outage(lane); how != delivery.Acked && from > 0 && now < to && node >= 0 {
		s.recordOutage(node, lane, from)
	}
	if wait > 0 && node >= 0 {
		until := now + wait
		time.AfterFunc(retryAfterGrace, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if left := until - s.now(); left > 0 {
				s.checker.RecordRetryAfter(s.now(), node, lane, left)
			}
		})
	}
	for _, o := range sends {
		e := o.event
		if s.acceptUnknown {
			s.logf("a call to endpoint %d: %s", ep, checker.OutcomeName(how))
		}
		if e.abandoned {
			continue
		}
		s.checker.RecordOutcome(now, e.index, o.index, how)
		if how == delivery.Acked && !e.ended {
			e.ended = true
			s.checker.RecordEnd(now, e.index, checker.Acked)
		}
	}
}

// releaseSends lets go of the events of a call that is over.
func (s *Emulator) releaseSends(sends []callSend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range sends {
		o.event.refs--
		s.releaseIfDone(o.event)
	}
}

// releaseIfDone forgets an event that is over and that no call knows; the lock is held.
func (s *Emulator) releaseIfDone(e *event) {
	if (e.ended || e.abandoned) && e.refs == 0 && e.index > 0 { // those of anyone have no number
		if !e.abandoned {
			s.checker.Release(s.now(), e.index)
		}
		delete(s.events, s.eventTable.ID(e.index))
		s.eventTable.Release(e.index)
		e.index = 0
	}
}

// Close ends all and waits for it.
func (s *Emulator) Close() {
	s.mu.Lock()
	s.stopped = true
	for _, l := range s.directoryListeners {
		l.Close()
	}
	for _, g := range s.listeners {
		g.listener.Close()
		for c := range g.conns {
			c.Close()
		}
	}
	for c := range s.conns {
		c.Close()
	}
	close(s.directoryChanged)
	s.directoryChanged = make(chan struct{})
	s.mu.Unlock()
	s.wg.Wait()
}

// Summary sums up the day so far.
func (s *Emulator) Summary() checker.Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checker.CheckOverdue(s.now())
	return s.checker.Summary()
}

// newID makes an event's newID.
func (s *Emulator) newID() string { return fmt.Sprintf("%016x", s.random.Uint64()) }
