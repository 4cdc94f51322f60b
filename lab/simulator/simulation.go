// Package world runs a scenario in virtual time: clients, the front, delivery nodes with their decision
// modules, the network between them, the directory and the destinations, in one goroutine. One seed gives one
// run, to the nanosecond and the byte, on every machine.
package simulator

import (
	"bufio"
	"cmp"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"

	"jaspersill/delivery"
	"jaspersill/door"
	"jaspersill/lab/checker"
	"jaspersill/lab/partner"
	"jaspersill/lab/scenario"
	"jaspersill/lab/workload"
)

// SchedulerFactory makes the decision module of one node. It is called at each of its starts.
type SchedulerFactory func(w *Simulation, node int, seed uint64) delivery.Scheduler

const (
	clientTimeout     = int64(4e8)  // ns that a client waits for an answer before it hands in elsewhere
	connectTimeout    = int64(15e8) // ns until a connection that shows no sign is given up
	drainStopDeciding = int64(2e9)  // ns from being asked to stop until nothing more is decided: the node's
	drainExit         = int64(34e8) // ns until its process ends
	endpointDrainTime = int64(3e9)  // ns after which an endpoint that drains is gone
	second            = int64(1e9)
)

// event is one event at one node; a client that hands it in again makes another.
type event struct {
	id                                 uint64
	incarnation                        int64
	typ, customer, node                int32
	dest, index, call                  int32
	sends, currentSend, inFlight       int32
	retries                            int32
	key                                uint64
	arrivedAt, deadline, arrivalNumber int64 // count: its asking's number
	work                               int64
	end                                checker.End
	refs                               int32 // calls that know it: its number is not given out again before
	stored, releaseQueued, released    bool
}

// callSend is one send in a call.
type callSend struct {
	evt         int32
	number      int32
	incarnation int64
	abandoned   bool
	duplicate   bool // its destination knows its mark
}

// call is one exchange with an endpoint.
type call struct {
	node, ep, localEp int32
	nodeIncarnation   int64
	sends             []callSend
	activeSends       int // sends that nobody gave up
	startedAt         int64
	epoch             uint32
	result            partner.Fate
	connected         bool // it has a connection
	reached           bool
	takesEffect       bool  // it takes effect if its endpoint lives until it is done
	reachedAt         int64 // when it reached its endpoint
	closed            bool  // nobody waits for it any more
	scheduled         int   // happenings that know it
	inUse             bool
}

// pendingArrival is an event that a client has and that no node has.
type pendingArrival struct {
	workload.Arrival
	retries int32
}

// endpointChange is one that the directory tells.
type endpointChange struct {
	ep    int32
	state delivery.EndpointState
}

// Simulation is one run.
type Simulation struct {
	scenario     *scenario.Scenario
	newScheduler SchedulerFactory
	now          int64
	end          int64
	queue        eventQueue
	destinations *partner.Model
	checker      *checker.Checker
	nodes        []*simNode

	events          []event
	freeEvents      []int32 // events' numbers that are free
	calls           []call
	freeCalls       []int32 // calls' numbers that are free
	pendingArrivals []pendingArrival
	freeArrivals    []int32
	nextID          uint64
	lastIncarnation int64 // lives of events, calls and nodes

	source       workload.Source // apart, so that two versions are asked for the same
	upcoming     workload.Arrival
	arrivalCount int64
	faultRandom  *rand.Rand // whom troubles meet
	random       *rand.Rand // everything else
	routable     []bool     // nodes that clients believe to be up

	directoryStates  []delivery.EndpointState // by endpoint, as the directory has it
	changes          []endpointChange
	publishedChanges int // changes that the directory has told
	directoryDown    int // troubles in force
	directoryFrozen  int
	peerMessageLoss  float64
	faults           []faultState
	faultsByEndpoint [][]int // troubles in force, by endpoint

	unfinished   []int32 // room for start
	trace        *bufio.Writer
	traceLine    []byte
	onSecond     func(w *Simulation)
	onArrivalEnd func(a workload.Arrival, end string, took int64)
	Stats        Stats
}

// Stats counts what a run cost.
type Stats struct {
	SimEvents   int64 `json:"happenings"`
	Rounds      int64 `json:"rounds"`
	Calls       int64 `json:"calls"`
	Connections int64 `json:"links"`
	Dropped     int64 `json:"dropped"` // askings that found no node
}

// New prepares a run. The seed draws the destinations, what is asked for and whom troubles meet; luck draws
// all else: the nodes' own chance, the front's choice, what is lost. Two runs of one seed and two lucks
// differ by chance alone. trace takes a line for each thing that happens, and may be nil.
func New(day *scenario.Scenario, seed, luck uint64, launch SchedulerFactory, trace io.Writer) *Simulation {
	w := &Simulation{scenario: day, newScheduler: launch, end: int64(day.Length), destinations: partner.New(day, seed, luck),
		checker: checker.New(day), source: workload.NewGenerator(day, seed), faultRandom: rand.New(rand.NewPCG(seed, FaultTargetStream)),
		random: rand.New(rand.NewPCG(seed, 0xd4a5+luck))}
	if trace != nil {
		w.trace = bufio.NewWriterSize(trace, 1<<16)
	}
	w.queue.stillValid = func(h *simEvent) bool {
		e := &w.events[h.a]
		return e.incarnation == h.n && e.inFlight > 0 && e.currentSend == h.b
	}
	w.directoryStates = make([]delivery.EndpointState, len(w.destinations.Endpoints))
	for i := range w.directoryStates {
		w.directoryStates[i] = delivery.Ready
	}
	for i := range day.Fleet.Nodes {
		s := &simNode{sim: w, index: int32(i)}
		w.nodes, w.routable = append(w.nodes, s), append(w.routable, true)
		w.startNode(s)
	}
	w.drawFaults()
	w.scheduleArrival()
	w.queue.schedule(second, simSecond, 0, 0, 0)
	return w
}

// Checker is the run's ledger.
func (w *Simulation) Checker() *checker.Checker { return w.checker }

// Destinations is the true state of the destinations.
func (w *Simulation) Destinations() *partner.Model { return w.destinations }

// Now is the run's time in ns.
func (w *Simulation) Now() int64 { return w.now }

// Scenario is the run's scenario.
func (w *Simulation) Scenario() *scenario.Scenario { return w.scenario }

// WorkTime is what an event of a node takes at a partner of usual pace, in ns: for policies that know the truth.
func (w *Simulation) WorkTime(node int, index int32) int64 {
	return w.events[w.nodes[node].eventByIndex[index]].work
}

// LocalEndpoint maps the truth's number of an endpoint to a node's own, -1 where the node does not know it.
func (w *Simulation) LocalEndpoint(node int, ep int32) int32 {
	if own, ok := w.nodes[node].endpoints.Find(ep); ok {
		return own
	}
	return -1
}

// HasIdleConnection tells whether a node has an idle connection to an endpoint, by the truth's number.
func (w *Simulation) HasIdleConnection(node int, ep int32) bool {
	own, ok := w.nodes[node].endpoints.Find(ep)
	return ok && len(w.nodes[node].idleConnections[own]) > 0
}

// SetSource takes the askings from a source, as a recording, rather than drawing them. It is called before Run.
func (w *Simulation) SetSource(source workload.Source) {
	w.source = source
	for i := range w.queue.heap { // the first one drawn gives its place to the first of the source
		if h := &w.queue.heap[i]; h.kind() == simArrival {
			h.n = 1
		}
	}
	w.scheduleArrival()
}

// OnArrivalEnd asks that a function hears what came of each asking, once: acked, declined, discarded, or nothing
// where the run ended before; took is ns from the asking.
func (w *Simulation) OnArrivalEnd(f func(a workload.Arrival, end string, took int64)) {
	w.onArrivalEnd = f
}

// arrivalEnded tells what arrivalEnded of an asking.
func (w *Simulation) arrivalEnded(a workload.Arrival, end checker.End) {
	if w.onArrivalEnd != nil {
		w.onArrivalEnd(a, end.String(), w.now-a.At)
	}
}

// OnSecond asks that a function is called once a second of the run.
func (w *Simulation) OnSecond(f func(w *Simulation)) { w.onSecond = f }

// settleTime is how long the run goes on after its last arrival, so that all that was asked for has its end.
func (w *Simulation) settleTime() int64 {
	most := int64(0)
	for _, t := range w.scenario.Types {
		most = max(most, int64(t.MaxAge))
	}
	return most + 3*second
}

// Run plays the scenario to its end and sums it up.
func (w *Simulation) Run() checker.Summary {
	stop := w.end + w.settleTime()
	for {
		w.queue.promote()
		if len(w.queue.heap) == 0 || w.queue.heap[0].at > stop {
			break
		}
		h := w.queue.pop()
		w.now = h.at
		w.Stats.SimEvents++
		w.dispatch(&h)
	}
	w.now = stop
	w.checker.CheckOverdue(w.now)
	for _, s := range w.nodes {
		w.Stats.Rounds += s.roundCount
	}
	if w.trace != nil {
		w.trace.Flush()
	}
	return w.checker.Summary()
}

func (w *Simulation) dispatch(h *simEvent) {
	switch h.kind() {
	case simArrival:
		if h.n == 0 {
			w.handleArrival()
		}
	case simSubmit:
		w.submit(h.a)
	case simRound:
		if s := w.nodes[h.a]; s.incarnation == h.n && s.nextRound == w.now && s.phase < closing {
			if s.frozenUntil > w.now {
				s.nextRound = 0
				s.scheduleRound(s.frozenUntil)
			} else {
				s.runRound()
			}
		}
	case simCallReached:
		w.callReached(h.a)
	case simCallDone:
		w.callDone(h.a)
	case simResponse:
		w.handleResponse(h.a)
	case simSendTimeout:
		w.handleSendTimeout(h.a, h.b, h.n)
	case simDirectoryChange:
		w.publishDirectoryChanges()
	case simWatchResponse:
		w.handleWatchResponse(h.a, h.n)
	case simPeerMessage:
		if s := w.nodes[h.a]; s.phase < closing {
			s.enqueue(input{kind: inputPeerHealthy, ep: h.b, peer: int32(h.n)})
		}
	case simFaultStart:
		w.startFault(int(h.a), h.b)
	case simFaultEnd:
		w.endFault(int(h.a), h.b)
	case simNodeStart:
		w.startNode(w.nodes[h.a])
	case simDrainStep:
		w.continueDrain(w.nodes[h.a], h.b, h.n)
	case simNodeThaw:
		if s := w.nodes[h.a]; s.frozenUntil > 0 && s.frozenUntil <= w.now {
			s.frozenUntil = 0
			s.scheduleRound(w.now)
		}
	case simEndpointGone:
		w.destinations.Leave(h.a)
		w.resetCalls(func(c *call) bool { return c.ep == h.a })
		w.scheduleDirectoryChange(h.a, delivery.Gone)
	case simSecond:
		w.checker.CheckOverdue(w.now)
		w.closeExpiredConnections()
		if w.onSecond != nil && w.now <= w.end {
			w.onSecond(w)
		}
		w.queue.schedule(w.now+second, simSecond, 0, 0, 0)
	}
}

// traceEntry writes a line of the trace.
func (w *Simulation) traceEntry(what string, node, a int32, b int64) {
	if w.trace == nil {
		return
	}
	t := strconv.AppendInt(w.traceLine[:0], w.now, 10)
	t = append(append(append(t, ' '), what...), ' ')
	t = append(strconv.AppendInt(t, int64(node), 10), ' ')
	t = append(strconv.AppendInt(t, int64(a), 10), ' ')
	t = append(strconv.AppendInt(t, b, 10), '\n')
	w.traceLine = t
	w.trace.Write(t)
}

// startNode begins a node's life, the first or after a restart. What it had taken on goes on.
func (w *Simulation) startNode(s *simNode) {
	w.lastIncarnation++
	s.incarnation, s.phase, s.frozenUntil = w.lastIncarnation, serving, 0
	s.scheduler = w.newScheduler(w, int(s.index), w.random.Uint64())
	s.eventByIndex, s.freeIndexes, s.inputs, s.nextRound, s.wakeAt = s.eventByIndex[:0], s.freeIndexes[:0], s.inputs[:0], 0, 0
	s.endpoints, s.idleConnections, s.seenOutage, s.watching, s.watchPending = door.Table[int32]{}, nil, nil, false, false
	s.lastRound = w.now - int64(w.scenario.Fleet.Tick)
	w.routable[s.index] = true
	w.checker.RecordNodeServing(w.now, s.index)
	w.recordDrains(s, w.changes[:w.publishedChanges])
	s.enqueue(input{kind: inputFullList})
	for i := range w.events { // in the order of their coming, as the journal has them
		if e := &w.events[i]; e.node == s.index && e.end == checker.Open && e.incarnation > 0 {
			w.unfinished = append(w.unfinished, int32(i))
		}
	}
	slices.SortFunc(w.unfinished, func(a, b int32) int { return cmp.Compare(w.events[a].id, w.events[b].id) })
	for _, evt := range w.unfinished {
		w.resumeEvent(s, evt)
	}
	w.unfinished = w.unfinished[:0]
	w.traceEntry("start", s.index, 0, 0)
}

// resumeEvent hands in an event that a node had taken on before it ended.
func (w *Simulation) resumeEvent(s *simNode, evt int32) {
	e := &w.events[evt]
	w.lastIncarnation++
	e.incarnation, e.inFlight, e.currentSend, e.call, e.releaseQueued = w.lastIncarnation, 0, -1, -1, false
	s.inputs = append(s.inputs, input{kind: inputEvent, evt: evt})
	if e.sends > 0 {
		first, ran := w.checker.MayHaveRun(evt)
		s.inputs = append(s.inputs, input{kind: inputResumed, evt: evt, send: e.sends, ended: ran, firstRunAt: first})
	}
}

// killNode ends a node's process: its connections break, what it held waits in its journal.
func (w *Simulation) killNode(s *simNode) {
	if s.phase == dead {
		return
	}
	s.phase = dead
	w.checker.RecordNodeDied(w.now, s.index)
	w.traceEntry("die", s.index, 0, 0)
	for i := range w.calls {
		if c := &w.calls[i]; c.inUse && c.node == s.index && !c.closed {
			c.closed = true
			w.closeConnection(c)
			w.freeCall(int32(i))
		}
	}
	for own := range s.idleConnections {
		if len(s.idleConnections[own]) > 0 {
			w.closeConnections(s.endpoints.ID(int32(own)), s.idleConnections[own])
		}
	}
	for i := range w.events {
		e := &w.events[i]
		if e.incarnation == 0 || e.node != s.index || e.released {
			continue
		}
		switch {
		case e.end != checker.Open:
			w.releaseEvent(int32(i))
		case !e.stored: // its client heard nothing, and hands it in elsewhere
			s.endEvent(int32(i), checker.Declined, clientTimeout)
			w.releaseEvent(int32(i))
		}
	}
	s.endedEvents, s.newEvents, s.openCalls = s.endedEvents[:0], s.newEvents[:0], s.openCalls[:0]
}

// continueDrain goes on with a drain: nothing more is decided, then the process ends and starts again.
func (w *Simulation) continueDrain(s *simNode, step int32, life int64) {
	if s.incarnation != life || s.phase == dead {
		return
	}
	if step == 0 {
		s.phase = closing
		w.queue.schedule(w.now+drainExit-drainStopDeciding, simDrainStep, s.index, 1, life)
		return
	}
	w.killNode(s)
	w.queue.schedule(w.now+int64(w.scenario.Fleet.RestartTime), simNodeStart, s.index, 0, 0)
}

// scheduleArrival plans the next event that comes to a client.
func (w *Simulation) scheduleArrival() {
	if a, more := w.source.Next(); more {
		w.upcoming = a
		w.queue.schedule(max(a.At, w.now), simArrival, 0, 0, 0)
	}
}

// handleArrival is an event that comes to a client.
func (w *Simulation) handleArrival() {
	a := w.upcoming
	w.arrivalCount++
	a.Number = w.arrivalCount
	w.checker.RecordArrival(w.now, int(a.Type), int(a.Customer))
	w.submit(w.storeArrival(pendingArrival{Arrival: a}))
	w.scheduleArrival()
}

func (w *Simulation) storeArrival(a pendingArrival) int32 {
	if last := len(w.freeArrivals) - 1; last >= 0 {
		i := w.freeArrivals[last]
		w.freeArrivals = w.freeArrivals[:last]
		w.pendingArrivals[i] = a
		return i
	}
	w.pendingArrivals = append(w.pendingArrivals, a)
	return int32(len(w.pendingArrivals) - 1)
}

// submit is a client handing in an event at the node that the front gives it.
func (w *Simulation) submit(ask int32) {
	a := w.pendingArrivals[ask]
	w.freeArrivals = append(w.freeArrivals, ask)
	if w.now >= a.Deadline {
		w.arrivalEnded(a.Arrival, checker.Declined)
		return
	}
	s := w.nodes[w.random.IntN(len(w.nodes))]
	for tries := 0; !w.routable[s.index] || s.phase != serving; tries++ { // who is gone refuses, and the next is tried
		if tries > 4*len(w.nodes) {
			w.Stats.Dropped++
			w.scheduleRetry(a, 0)
			return
		}
		s = w.nodes[w.random.IntN(len(w.nodes))]
	}
	if s.frozenUntil > w.now+clientTimeout { // nobody answers, and the client goes elsewhere
		w.queue.schedule(w.now+clientTimeout, simSubmit, w.storeArrival(a), 0, 0)
		return
	}
	if s.heldEvents >= w.scenario.Fleet.MaxEvents {
		w.scheduleRetry(a, s.scheduler.RetryAfter())
		return
	}
	evt := w.allocateEvent()
	e := &w.events[evt]
	w.nextID++
	w.lastIncarnation++
	*e = event{
		id:            w.nextID,
		incarnation:   w.lastIncarnation,
		typ:           a.Type,
		customer:      a.Customer,
		node:          s.index,
		dest:          a.Dest,
		index:         -1,
		call:          -1,
		currentSend:   -1,
		retries:       a.retries,
		key:           a.Key,
		arrivedAt:     a.At,
		arrivalNumber: a.Number,
		deadline:      a.Deadline,
		work:          a.Work,
	}
	s.heldEvents++
	w.checker.RecordAccepted(w.now, evt, e.id, s.index, int(e.typ), e.dest, e.key, e.arrivedAt, e.deadline)
	w.traceEntry("take", s.index, evt, int64(e.dest))
	s.enqueue(input{kind: inputEvent, evt: evt})
}

func (w *Simulation) allocateEvent() int32 {
	if last := len(w.freeEvents) - 1; last >= 0 {
		i := w.freeEvents[last]
		w.freeEvents = w.freeEvents[:last]
		return i
	}
	w.events = append(w.events, event{})
	return int32(len(w.events) - 1)
}

// releaseEvent is a node that is done with an event. Its number is given back once no call knows it: a late call
// must not take effect for another.
func (w *Simulation) releaseEvent(evt int32) {
	w.events[evt].released = true
	w.freeEvent(evt)
}

func (w *Simulation) freeEvent(evt int32) {
	if e := &w.events[evt]; e.released && e.refs == 0 {
		w.checker.Release(w.now, evt)
		*e = event{}
		w.freeEvents = append(w.freeEvents, evt)
	}
}

// retryDeclined is a client that hears that its event was not taken on, or was not delivered and may come again.
func (w *Simulation) retryDeclined(evt int32, comeBack int64) {
	w.scheduleRetry(pendingArrival{w.arrivalOf(evt), w.events[evt].retries}, comeBack)
}

// arrivalOf is what an event was asked for as.
func (w *Simulation) arrivalOf(evt int32) workload.Arrival {
	e := &w.events[evt]
	return workload.Arrival{
		At:       e.arrivedAt,
		Deadline: e.deadline,
		Work:     e.work,
		Type:     e.typ,
		Customer: e.customer,
		Dest:     e.dest,
		Key:      e.key,
		Number:   e.arrivalNumber,
	}
}

func (w *Simulation) scheduleRetry(a pendingArrival, comeBack int64) {
	c := &w.scenario.Clients
	if a.retries >= int32(c.MaxRetries) {
		w.arrivalEnded(a.Arrival, checker.Declined)
		return
	}
	a.retries++
	if comeBack <= 0 {
		comeBack = int64(c.RetryDelay)
	}
	comeBack += int64(c.RetryJitter * w.random.Float64() * float64(comeBack))
	if w.now+comeBack < a.Deadline {
		w.queue.schedule(w.now+comeBack, simSubmit, w.storeArrival(a), 0, 0)
	} else {
		w.arrivalEnded(a.Arrival, checker.Declined)
	}
}

// closeExpiredConnections closes idle connections whose time is over, as nodes do in time.
func (w *Simulation) closeExpiredConnections() {
	for _, s := range w.nodes {
		if s.phase == dead {
			continue
		}
		for own := range s.idleConnections {
			list := s.idleConnections[own]
			if len(list) == 0 {
				continue
			}
			ep := s.endpoints.ID(int32(own))
			keep := int64(idleTimeoutShare * float64(w.scenario.DestinationKinds[w.destinations.Endpoints[ep].Kind].IdleTimeout))
			s.idleConnections[own] = slices.DeleteFunc(list, func(l idleConnection) bool {
				old := w.now-l.lastUsed >= keep
				if old {
					w.destinations.Close(ep, l.epoch)
				}
				return old
			})
		}
	}
}

// sendPeerMessages sends a note to all peers.
func (w *Simulation) sendPeerMessages(from, ep int32) {
	if !w.scenario.Fleet.PeerMessages {
		return
	}
	lost := 1 - (1-w.scenario.Fleet.PeerMessageLoss)*(1-w.peerMessageLoss)
	for _, s := range w.nodes {
		if s.index != from && w.random.Float64() >= lost {
			w.queue.schedule(w.now+int64(w.scenario.Fleet.NetworkDelay)+1, simPeerMessage, s.index, ep, int64(from))
		}
	}
}

// EventsHeld counts the events that nodes have in hand.
func (w *Simulation) EventsHeld() (held int) {
	for _, s := range w.nodes {
		held += s.heldEvents
	}
	return held
}
