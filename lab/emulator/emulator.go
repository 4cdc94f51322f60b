// Package emulator runs a scenario in real time against node processes, over loopback sockets. It emulates
// destinations, directory, platform and clients. It shares the destination model and the rule checker with the
// simulator, so that a run here differs from a simulated one only by the real nodes and sockets. It listens on
// 127.0.0.1 only.
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
	retryAfterGrace   = 100 * time.Millisecond // calls this soon after a Retry-After are permitted; set by the protocol
	socketGrace       = 50 * time.Millisecond  // tolerance added to time limits on sockets; set by the protocol
	endpointDrainTime = 3 * time.Second        // from the end of the drain grace until a draining endpoint is gone
	maxBodySize       = 64 << 10               // bytes; set by the protocol
	watchKeepalive    = 2 * time.Second        // interval of empty lines on an unchanged watch; set by the protocol
)

// event is an event that a client submitted to a node.
type event struct {
	index     int32 // of the event in the checker; 0 for none
	node      int32
	workTime  int64
	sendCount int
	refs      int  // the client request and the calls at endpoints that refer to it
	ended     bool // delivered, declined or reported by a notice
	abandoned bool // its client gave up: its sends are not checked
	retry     func(retryAfter int64)
}

// Emulator is the environment of the delivery nodes during one run of a scenario.
type Emulator struct {
	scenario  *scenario.Scenario
	startedAt time.Time

	mu               sync.Mutex
	destinations     *destination.Model
	checker          *checker.Checker
	events           map[string]*event
	eventTable       idmap.Table[string]
	delivered        map[string]struct{} // ids of events that were answered as delivered
	random           *rand.Rand
	listeners        []*endpointListener // by endpoint
	changes          []endpointChange
	directoryChanged chan struct{} // closed and replaced whenever the directory changes
	directoryDown    int
	directoryFrozen  int
	activeFaults     []int // indices of faults in the scenario
	faultEndpoints   [][]int32
	faultNodes       [][]int32
	stopped          bool
	acceptUnknown    bool // events that the emulator did not submit itself are accepted and not checked
	seenOutages      map[nodeGroup]int64

	directoryListeners []net.Listener // by node
	conns              map[net.Conn]struct{}
	wg                 sync.WaitGroup
	logf               func(format string, args ...any) // writes log lines
}

type endpointChange struct {
	ep    int32
	state delivery.EndpointState
}

// endpointListener is the listener of an endpoint with its connections.
type endpointListener struct {
	address  string
	listener net.Listener
	conns    map[net.Conn]struct{}
}

// Open opens the sockets that a scenario needs. logf may be nil.
func Open(sc *scenario.Scenario, seed, noiseSeed uint64, logf func(format string, args ...any)) (*Emulator, error) {
	if logf == nil {
		logf = func(string, ...any) {}
	}
	em := &Emulator{scenario: sc, startedAt: time.Now(), destinations: destination.New(sc, seed, noiseSeed),
		checker: checker.New(sc), events: make(map[string]*event), delivered: make(map[string]struct{}),
		random: rand.New(rand.NewPCG(seed, 0x57a6+noiseSeed)), directoryChanged: make(chan struct{}),
		conns: make(map[net.Conn]struct{}), seenOutages: make(map[nodeGroup]int64), logf: logf}
	em.checker.RepeatsAcked = true
	em.eventTable.Acquire("") // reserves index 0
	for ep := range em.destinations.Endpoints {
		if err := em.openEndpoint(int32(ep)); err != nil {
			em.Close()
			return nil, err
		}
	}
	for range sc.Fleet.Nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			em.Close()
			return nil, err
		}
		em.directoryListeners = append(em.directoryListeners, l)
	}
	for n, l := range em.directoryListeners {
		em.wg.Add(1)
		go em.serveDirectory(int32(n), l)
	}
	em.drawFaults(seed)
	return em, nil
}

// AcceptUnknownEvents makes endpoints accept events that the emulator did not submit itself. They are not checked.
func (em *Emulator) AcceptUnknownEvents() {
	em.mu.Lock()
	defer em.mu.Unlock()
	em.acceptUnknown = true
}

// OnDelivery sets a function that receives the stream type of each delivered event and the time from its arrival to its
// delivery. It must be called before Run.
func (em *Emulator) OnDelivery(record func(typ int, took int64)) { em.checker.OnDelivery = record }

// Start sets the scenario time to 0 and schedules the faults.
func (em *Emulator) Start(ctx context.Context, nodes *Nodes) {
	em.mu.Lock()
	em.startedAt = time.Now()
	em.mu.Unlock()
	em.scheduleFaults(ctx, nodes)
}

// now returns the scenario time in ns.
func (em *Emulator) now() int64 { return int64(time.Since(em.startedAt)) }

// DirectoryAddress returns the address of a node's directory, which also receives the node's notices.
func (em *Emulator) DirectoryAddress(node int) string {
	return em.directoryListeners[node].Addr().String()
}

// openEndpoint starts the listener of an endpoint, at its former address if it had one. The lock is held, or the
// emulator is not yet in use.
func (em *Emulator) openEndpoint(ep int32) error {
	address := "127.0.0.1:0"
	if int(ep) < len(em.listeners) {
		address = em.listeners[ep].address
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	el := &endpointListener{address: l.Addr().String(), listener: l, conns: make(map[net.Conn]struct{})}
	if int(ep) < len(em.listeners) {
		em.listeners[ep] = el
	} else {
		em.listeners = append(em.listeners, el)
	}
	em.wg.Add(1)
	go func() {
		defer em.wg.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				if errors.Is(err, net.ErrClosed) {
					return
				}
				time.Sleep(5 * time.Millisecond) // descriptors exhausted: retry until some are free
				continue
			}
			em.wg.Add(1)
			go em.serveEndpoint(ep, el, c)
		}
	}()
	return nil
}

// closeEndpoint stops the listener of an endpoint and resets its connections. The lock is held.
func (em *Emulator) closeEndpoint(ep int32) {
	el := em.listeners[ep]
	el.listener.Close()
	for c := range el.conns {
		resetConnection(c)
	}
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// serveEndpoint serves one connection to an endpoint.
func (em *Emulator) serveEndpoint(ep int32, el *endpointListener, c net.Conn) {
	defer em.wg.Done()
	em.mu.Lock()
	result := destination.ConnectRefused
	if !em.stopped {
		result = em.destinations.Connect(em.now(), ep)
	}
	epoch, kind := em.destinations.Endpoints[ep].Epoch, em.destinations.Endpoints[ep].Kind
	el.conns[c] = struct{}{}
	em.mu.Unlock()
	defer func() {
		em.mu.Lock()
		delete(el.conns, c)
		if result == destination.Connected {
			em.destinations.Close(ep, epoch)
		}
		em.mu.Unlock()
		c.Close()
	}()
	dk := &em.scenario.DestinationKinds[kind]
	if result == destination.Connected {
		em.mu.Lock()
		em.checker.Connections++
		em.mu.Unlock()
	}
	switch result {
	case destination.ConnectRefused:
		resetConnection(c)
		return
	case destination.ConnectUnanswered:
		for em.endpointMode(ep) == destination.Unreachable {
			time.Sleep(20 * time.Millisecond)
		}
		resetConnection(c)
		return
	}
	in := bufio.NewReaderSize(c, 4096)
	for first := true; ; first = false {
		c.SetReadDeadline(time.Now().Add(time.Duration(dk.IdleTimeout)))
		r, err := readCall(in)
		if err != nil {
			return
		}
		if first {
			time.Sleep(time.Duration(dk.Handshake))
		}
		if !em.serveCall(ep, epoch, c, in, r) {
			return
		}
	}
}

func (em *Emulator) endpointMode(ep int32) destination.Mode {
	em.mu.Lock()
	defer em.mu.Unlock()
	if em.stopped {
		return destination.Down
	}
	return em.destinations.Endpoints[ep].Mode
}

// serveCall handles one call. It returns false if the connection must be closed.
func (em *Emulator) serveCall(ep int32, epoch uint32, c net.Conn, in *bufio.Reader, r *callRequest) bool {
	em.mu.Lock()
	now := em.now()
	group := em.destinations.GroupOf(ep)
	var node int32 = -1
	var sends []callSend
	work := int64(0)
	events := em.eventsOf(r)
	if events == nil {
		em.mu.Unlock()
		writeStatus(c, 400, "")
		return false
	}
	for _, e := range events {
		e.refs++
		node, work = e.node, max(work, e.workTime)
		send := callSend{event: e, index: e.sendCount}
		e.sendCount++
		if !e.abandoned {
			em.checker.RecordSend(now, e.index, ep, group)
		}
		sends = append(sends, send)
	}
	work += work / 4 * int64(len(sends)-1) // a batch takes less time than its events one by one
	overloads := len(em.destinations.Overloads)
	result := em.destinations.StartCall(now, ep, node >= 0 && em.sawOutage(node, group), work, len(sends))
	overloaded := len(em.destinations.Overloads) > overloads
	if overloaded {
		overload := em.destinations.Overloads[overloads]
		em.checker.RecordOverload(now, overload.Dest, overload.Offered, overload.Informed, overload.Allowed)
	}
	for i := range sends {
		if result.Ran && !sends[i].event.abandoned {
			sends[i].duplicate = em.checker.RecordCallReceived(now, sends[i].event.index)
		}
	}
	em.mu.Unlock()
	defer em.releaseSends(sends)
	if overloaded || (result.Answered() && result.Outcome == delivery.Reset && !result.Ran) {
		resetConnection(c)
		return false
	}
	if !result.Answered() { // waits until the node closes the connection or the endpoint is closed
		c.SetReadDeadline(time.Time{})
		in.Peek(1)
		return false
	}
	time.Sleep(time.Duration(result.DoneAt - em.now()))
	em.mu.Lock()
	runs, answers := em.destinations.FinishCall(ep, epoch)
	for _, send := range sends {
		if result.Ran && !send.event.abandoned {
			em.checker.RecordCallDone(em.now(), now, send.event.index, runs, send.duplicate)
		}
	}
	em.mu.Unlock()
	if !runs {
		resetConnection(c)
		return false
	}
	if !answers {
		c.SetReadDeadline(time.Time{})
		in.Peek(1)
		return false
	}
	time.Sleep(time.Duration(result.AnswerDelay))
	if !stillOpen(c, in) { // the node has closed the connection
		em.mu.Lock()
		em.recordOutcome(sends, ep, group, node, delivery.TimedOut, 0)
		em.mu.Unlock()
		return false
	}
	em.mu.Lock()
	em.recordOutcome(sends, ep, group, node, result.Outcome, result.RetryAfter)
	em.mu.Unlock()
	return writeAnswer(c, r, result)
}

// eventsOf returns the events of a call, or nil if one of them is unknown: then none of the call's sends counts. The lock is held.
func (em *Emulator) eventsOf(r *callRequest) (events []*event) {
	for _, id := range r.ids {
		e := em.events[id]
		if e == nil && em.acceptUnknown {
			e = &event{abandoned: true, node: -1, workTime: int64(em.scenario.Types[0].Work)}
		}
		if e == nil {
			return nil
		}
		events = append(events, e)
	}
	return events
}

// callSend is one of the sends in a call.
type callSend struct {
	event     *event
	index     int
	duplicate bool // the destination recognizes the event and does not run it again
}

// sawOutage reports whether a call of a node failed at an endpoint group during the group's last outage.
func (em *Emulator) sawOutage(node, group int32) bool {
	from, _ := em.destinations.Outage(group)
	return from > 0 && em.seenOutage(node, group) == from
}

// recordOutcome records the outcome of a call that its node gets. The lock is held.
func (em *Emulator) recordOutcome(sends []callSend, ep, group, node int32, outcome delivery.Outcome, retryAfter int64) {
	now := em.now()
	if from, to := em.destinations.Outage(group); outcome != delivery.Acked && from > 0 && now < to && node >= 0 {
		em.recordOutage(node, group, from)
	}
	if retryAfter > 0 && node >= 0 {
		until := now + retryAfter
		time.AfterFunc(retryAfterGrace, func() {
			em.mu.Lock()
			defer em.mu.Unlock()
			if left := until - em.now(); left > 0 {
				em.checker.RecordRetryAfter(em.now(), node, group, left)
			}
		})
	}
	for _, send := range sends {
		e := send.event
		if em.acceptUnknown {
			em.logf("a call to endpoint %d: %s", ep, checker.OutcomeName(outcome))
		}
		if e.abandoned {
			continue
		}
		em.checker.RecordOutcome(now, e.index, send.index, outcome)
		if outcome == delivery.Acked && !e.ended {
			e.ended = true
			em.delivered[em.eventTable.ID(e.index)] = struct{}{}
			em.checker.RecordEnd(now, e.index, checker.Acked)
		}
	}
}

// releaseSends releases the events of a finished call.
func (em *Emulator) releaseSends(sends []callSend) {
	em.mu.Lock()
	defer em.mu.Unlock()
	for _, send := range sends {
		send.event.refs--
		em.releaseIfDone(send.event)
	}
}

// releaseIfDone removes an event that has ended and is no longer referred to. The lock is held.
func (em *Emulator) releaseIfDone(e *event) {
	if (e.ended || e.abandoned) && e.refs == 0 && e.index > 0 { // unknown events that were accepted have index 0
		if !e.abandoned {
			em.checker.Release(em.now(), e.index)
		}
		delete(em.events, em.eventTable.ID(e.index))
		em.eventTable.Release(e.index)
		e.index = 0
	}
}

// Close closes all listeners and connections and waits for all goroutines to end.
func (em *Emulator) Close() {
	em.mu.Lock()
	em.stopped = true
	for _, l := range em.directoryListeners {
		l.Close()
	}
	for _, el := range em.listeners {
		el.listener.Close()
		for c := range el.conns {
			c.Close()
		}
	}
	for c := range em.conns {
		c.Close()
	}
	close(em.directoryChanged)
	em.directoryChanged = make(chan struct{})
	em.mu.Unlock()
	em.wg.Wait()
}

// Summary returns the results of the run so far.
func (em *Emulator) Summary() checker.Summary {
	em.mu.Lock()
	defer em.mu.Unlock()
	em.checker.CheckOverdue(em.now())
	return em.checker.Summary()
}

// newID returns a random event ID.
func (em *Emulator) newID() string { return fmt.Sprintf("%016x", em.random.Uint64()) }
