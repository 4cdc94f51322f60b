// Package simulator runs a scenario as a discrete-event simulation: clients, the load balancer in front of the
// nodes, delivery nodes with their schedulers, the network between them, the directory and the destinations, in
// one goroutine and in virtual time. A run is deterministic: the same seed gives the same run and the same trace,
// to the nanosecond and the byte, on every machine.
package simulator

import (
	"bufio"
	"cmp"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"

	"jaspersill/delivery"
	"jaspersill/idmap"
	"jaspersill/lab/checker"
	"jaspersill/lab/destination"
	"jaspersill/lab/scenario"
	"jaspersill/lab/workload"
)

// SchedulerFactory creates the scheduler of one node. It is called each time the node starts.
type SchedulerFactory func(sim *Simulation, node int, seed uint64) delivery.Scheduler

const (
	clientTimeout     = int64(4e8)  // ns that a client waits for an answer before it submits to another node
	connectTimeout    = int64(15e8) // ns after which a connection attempt without any reply fails
	drainStopDeciding = int64(2e9)  // ns from a stop request until the scheduler stops; the same as in package node
	drainExit         = int64(34e8) // ns from a stop request until the process exits; the same as in package node
	endpointDrainTime = int64(3e9)  // ns that a draining endpoint goes on after the grace period
	second            = int64(1e9)
)

// event is one event at one node. A client that submits its event again creates another.
type event struct {
	id                                 uint64
	incarnation                        int64
	typ, customer, node                int32
	dest, index, call                  int32
	sends, currentSend, inFlight       int32
	retries                            int32
	key                                uint64
	arrivedAt, deadline, arrivalNumber int64
	work                               int64
	end                                checker.End
	refs                               int32 // calls that refer to it; its number is not reused before they are freed
	stored, releaseQueued, released    bool
}

// callSend is one event's send within a call, which may carry several.
type callSend struct {
	evt         int32
	number      int32
	incarnation int64
	abandoned   bool
	duplicate   bool // the destination recognised its idempotency key: no further effect
}

// call is one request to an endpoint and its response.
type call struct {
	node, ep, localEp int32
	nodeIncarnation   int64
	sends             []callSend
	activeSends       int // sends that have not been abandoned
	startedAt         int64
	epoch             uint32
	result            destination.CallResult
	connected         bool // it holds a connection
	reached           bool
	takesEffect       bool  // it takes effect if the endpoint's process lives until the work is done
	reachedAt         int64 // when it reached the endpoint
	closed            bool  // no send in it waits for an outcome
	scheduled         int   // scheduled simulator events that refer to it
	inUse             bool
}

// pendingArrival is an event that a client holds and that no node has accepted.
type pendingArrival struct {
	workload.Arrival
	retries int32
}

// endpointChange is a change of an endpoint's state in the directory.
type endpointChange struct {
	ep    int32
	state delivery.EndpointState
}

// Simulation is one run of a scenario.
type Simulation struct {
	scenario     *scenario.Scenario
	newScheduler SchedulerFactory
	now          int64
	end          int64
	queue        eventQueue
	destinations *destination.Model
	checker      *checker.Checker
	nodes        []*simNode

	events          []event
	freeEvents      []int32 // unused entries of events
	calls           []call
	freeCalls       []int32 // unused entries of calls
	pendingArrivals []pendingArrival
	freeArrivals    []int32 // unused entries of pendingArrivals
	nextID          uint64
	lastIncarnation int64 // counter that tells reused entries, and starts of a node, apart

	source       workload.Source // has a random stream of its own, so that two versions get the same events
	upcoming     workload.Arrival
	arrivalCount int64
	faultRandom  *rand.Rand // draws the fault targets
	random       *rand.Rand // draws everything else
	routable     []bool     // by node: the load balancer sends clients to it

	directoryStates  []delivery.EndpointState // by endpoint, as last published by the directory
	changes          []endpointChange
	publishedChanges int // number of leading entries of changes that have been published
	directoryDown    int // active faults of this kind; so is directoryFrozen
	directoryFrozen  int
	peerMessageLoss  float64
	announcements    []announcement // of healthy endpoints, by the number in their simPeerMessage events
	faults           []faultState
	faultsByEndpoint [][]int // active faults by endpoint

	unfinished   []int32 // scratch space of startNode
	trace        *bufio.Writer
	traceLine    []byte
	onSecond     func(sim *Simulation)
	onArrivalEnd func(a workload.Arrival, end string, latency int64)
	Stats        Stats
}

// Stats counts the work that a run took.
type Stats struct {
	SimEvents   int64 `json:"happenings"`
	Rounds      int64 `json:"rounds"`
	Calls       int64 `json:"calls"`
	Connections int64 `json:"links"`
	Dropped     int64 `json:"dropped"` // submissions that found no node
}

// New prepares a run. The seed determines the destinations, the arriving events and the fault targets; the noise
// seed determines everything else: the nodes' random numbers, the load balancer's choices and message loss. Two
// runs with the same seed and different noise seeds therefore differ by chance alone. A line is written to trace for
// each step of the run; trace may be nil.
func New(scn *scenario.Scenario, seed, noiseSeed uint64, newScheduler SchedulerFactory, trace io.Writer) *Simulation {
	sim := &Simulation{
		scenario:     scn,
		newScheduler: newScheduler,
		end:          int64(scn.Length),
		destinations: destination.New(scn, seed, noiseSeed),
		checker:      checker.New(scn),
		source:       workload.NewGenerator(scn, seed),
		faultRandom:  rand.New(rand.NewPCG(seed, FaultTargetStream)),
		random:       rand.New(rand.NewPCG(seed, 0xd4a5+noiseSeed)),
	}
	if trace != nil {
		sim.trace = bufio.NewWriterSize(trace, 1<<16)
	}
	sim.queue.stillValid = func(ev *simEvent) bool {
		e := &sim.events[ev.a]
		return e.incarnation == ev.n && e.inFlight > 0 && e.currentSend == ev.b
	}
	sim.directoryStates = make([]delivery.EndpointState, len(sim.destinations.Endpoints))
	for i := range sim.directoryStates {
		sim.directoryStates[i] = delivery.Ready
	}
	for i := range scn.Fleet.Nodes {
		s := &simNode{sim: sim, index: int32(i)}
		sim.nodes, sim.routable = append(sim.nodes, s), append(sim.routable, true)
		sim.startNode(s)
	}
	sim.drawFaults()
	sim.scheduleArrival()
	sim.queue.schedule(second, simSecond, 0, 0, 0)
	return sim
}

// Checker returns the run's rule checker.
func (sim *Simulation) Checker() *checker.Checker { return sim.checker }

// Destinations returns the model of the destinations with their true state.
func (sim *Simulation) Destinations() *destination.Model { return sim.destinations }

// Now returns the virtual time in ns.
func (sim *Simulation) Now() int64 { return sim.now }

// Scenario returns the scenario that is run.
func (sim *Simulation) Scenario() *scenario.Scenario { return sim.scenario }

// WorkTime returns the work time in ns of a node's event at a destination with work factor 1. It is meant for
// policies that know the true state.
func (sim *Simulation) WorkTime(node int, index int32) int64 {
	return sim.events[sim.nodes[node].eventByIndex[index]].work
}

// LocalEndpoint maps an endpoint's number in the model to the node's own index for it, or to -1 if the node does
// not know the endpoint.
func (sim *Simulation) LocalEndpoint(node int, ep int32) int32 {
	if localEp, ok := sim.nodes[node].endpoints.Lookup(ep); ok {
		return localEp
	}
	return -1
}

// HasIdleConnection reports whether a node has an idle connection to an endpoint, given by its number in the model.
func (sim *Simulation) HasIdleConnection(node int, ep int32) bool {
	localEp, ok := sim.nodes[node].endpoints.Lookup(ep)
	return ok && len(sim.nodes[node].idleConnections[localEp]) > 0
}

// SetSource takes the arriving events from a source, such as a recording, instead of generating them. It must be
// called before Run.
func (sim *Simulation) SetSource(source workload.Source) {
	sim.source = source
	for i := range sim.queue.heap { // cancels the first generated arrival
		if ev := &sim.queue.heap[i]; ev.kind() == simArrival {
			ev.n = 1
		}
	}
	sim.scheduleArrival()
}

// OnArrivalEnd sets a function that is called once for each arriving event with its final end: acked, declined or
// discarded. It is not called for events that are open when the run ends. latency is in ns since the arrival.
func (sim *Simulation) OnArrivalEnd(f func(a workload.Arrival, end string, latency int64)) {
	sim.onArrivalEnd = f
}

// arrivalEnded reports the final end of an arriving event.
func (sim *Simulation) arrivalEnded(a workload.Arrival, end checker.End) {
	if sim.onArrivalEnd != nil {
		sim.onArrivalEnd(a, end.String(), sim.now-a.At)
	}
}

// OnSecond sets a function that is called once per simulated second.
func (sim *Simulation) OnSecond(f func(sim *Simulation)) { sim.onSecond = f }

// settleTime returns how long the run goes on after the last arrival, so that every event reaches its final end.
func (sim *Simulation) settleTime() int64 {
	maxAge := int64(0)
	for _, t := range sim.scenario.Types {
		maxAge = max(maxAge, int64(t.MaxAge))
	}
	return maxAge + 3*second
}

// Run runs the scenario to its end and returns the summary.
func (sim *Simulation) Run() checker.Summary {
	stop := sim.end + sim.settleTime()
	for {
		sim.queue.promote()
		if len(sim.queue.heap) == 0 || sim.queue.heap[0].at > stop {
			break
		}
		ev := sim.queue.pop()
		sim.now = ev.at
		sim.Stats.SimEvents++
		sim.dispatch(&ev)
	}
	sim.now = stop
	sim.checker.CheckOverdue(sim.now)
	for _, s := range sim.nodes {
		sim.Stats.Rounds += s.roundCount
	}
	if sim.trace != nil {
		sim.trace.Flush()
	}
	return sim.checker.Summary()
}

func (sim *Simulation) dispatch(ev *simEvent) {
	switch ev.kind() {
	case simArrival:
		if ev.n == 0 {
			sim.handleArrival()
		}
	case simSubmit:
		sim.submit(ev.a)
	case simRound:
		if s := sim.nodes[ev.a]; s.incarnation == ev.n && s.nextRound == sim.now && s.phase < closing {
			if s.frozenUntil > sim.now {
				s.nextRound = 0
				s.scheduleRound(s.frozenUntil)
			} else {
				s.runRound()
			}
		}
	case simCallReached:
		sim.callReached(ev.a)
	case simCallDone:
		sim.callDone(ev.a)
	case simResponse:
		sim.handleResponse(ev.a)
	case simSendTimeout:
		sim.handleSendTimeout(ev.a, ev.b, ev.n)
	case simDirectoryChange:
		sim.publishDirectoryChanges()
	case simWatchResponse:
		sim.handleWatchResponse(ev.a, ev.n)
	case simPeerMessage:
		if s := sim.nodes[ev.a]; s.phase < closing {
			a := sim.announcements[ev.n]
			s.enqueue(input{kind: inputPeerHealthy, ep: ev.b, peer: a.from, announcedSentAt: a.sentAt})
		}
	case simFaultStart:
		sim.startFault(int(ev.a), ev.b)
	case simFaultEnd:
		sim.endFault(int(ev.a), ev.b)
	case simNodeStart:
		sim.startNode(sim.nodes[ev.a])
	case simDrainStep:
		sim.continueDrain(sim.nodes[ev.a], ev.b, ev.n)
	case simNodeThaw:
		if s := sim.nodes[ev.a]; s.frozenUntil > 0 && s.frozenUntil <= sim.now {
			s.frozenUntil = 0
			s.scheduleRound(sim.now)
		}
	case simEndpointGone:
		sim.destinations.Remove(ev.a)
		sim.resetCalls(func(c *call) bool { return c.ep == ev.a })
		sim.scheduleDirectoryChange(ev.a, delivery.Gone)
	case simSecond:
		sim.checker.CheckOverdue(sim.now)
		sim.closeExpiredConnections()
		if sim.onSecond != nil && sim.now <= sim.end {
			sim.onSecond(sim)
		}
		sim.queue.schedule(sim.now+second, simSecond, 0, 0, 0)
	}
}

// traceEntry writes a line to the trace.
func (sim *Simulation) traceEntry(kind string, node, a int32, b int64) {
	if sim.trace == nil {
		return
	}
	t := strconv.AppendInt(sim.traceLine[:0], sim.now, 10)
	t = append(append(append(t, ' '), kind...), ' ')
	t = append(strconv.AppendInt(t, int64(node), 10), ' ')
	t = append(strconv.AppendInt(t, int64(a), 10), ' ')
	t = append(strconv.AppendInt(t, b, 10), '\n')
	sim.traceLine = t
	sim.trace.Write(t)
}

// startNode starts a node, for the first time or after a restart. It resumes the unfinished events that the node
// had accepted.
func (sim *Simulation) startNode(s *simNode) {
	sim.lastIncarnation++
	s.incarnation, s.phase, s.frozenUntil = sim.lastIncarnation, serving, 0
	s.scheduler = sim.newScheduler(sim, int(s.index), sim.random.Uint64())
	s.eventByIndex, s.freeIndexes, s.inputs, s.nextRound, s.wakeAt =
		s.eventByIndex[:0], s.freeIndexes[:0], s.inputs[:0], 0, 0
	s.endpoints, s.idleConnections, s.seenOutage, s.watching, s.watchPending =
		idmap.Table[int32]{}, nil, nil, false, false
	s.lastRound = sim.now - int64(sim.scenario.Fleet.Tick)
	sim.routable[s.index] = true
	sim.checker.RecordNodeServing(sim.now, s.index)
	sim.recordDrains(s, sim.changes[:sim.publishedChanges])
	s.enqueue(input{kind: inputKnownList})
	for i := range sim.events { // sorted below into the order of acceptance, as in the journal
		if e := &sim.events[i]; e.node == s.index && e.end == checker.Open && e.incarnation > 0 {
			sim.unfinished = append(sim.unfinished, int32(i))
		}
	}
	slices.SortFunc(sim.unfinished, func(a, b int32) int { return cmp.Compare(sim.events[a].id, sim.events[b].id) })
	for _, evt := range sim.unfinished {
		sim.resumeEvent(s, evt)
	}
	sim.unfinished = sim.unfinished[:0]
	sim.traceEntry("start", s.index, 0, 0)
}

// resumeEvent passes an event that the node accepted before its restart to the new scheduler.
func (sim *Simulation) resumeEvent(s *simNode, evt int32) {
	e := &sim.events[evt]
	sim.lastIncarnation++
	e.incarnation, e.inFlight, e.currentSend, e.call, e.releaseQueued = sim.lastIncarnation, 0, -1, -1, false
	s.inputs = append(s.inputs, input{kind: inputEvent, evt: evt})
	if e.sends > 0 {
		first, ran := sim.checker.MayHaveRun(evt)
		s.inputs = append(s.inputs, input{kind: inputResumed, evt: evt, send: e.sends, ended: ran, firstRunAt: first})
	}
}

// killNode ends a node's process: its connections break, and its accepted events wait in its journal.
func (sim *Simulation) killNode(s *simNode) {
	if s.phase == dead {
		return
	}
	s.phase = dead
	sim.checker.RecordNodeDied(sim.now, s.index)
	sim.traceEntry("die", s.index, 0, 0)
	for i := range sim.calls {
		if c := &sim.calls[i]; c.inUse && c.node == s.index && !c.closed {
			c.closed = true
			sim.closeConnection(c)
			sim.freeCall(int32(i))
		}
	}
	for localEp := range s.idleConnections {
		if len(s.idleConnections[localEp]) > 0 {
			sim.closeConnections(s.endpoints.ID(int32(localEp)), s.idleConnections[localEp])
		}
	}
	for i := range sim.events {
		e := &sim.events[i]
		if e.incarnation == 0 || e.node != s.index || e.released {
			continue
		}
		switch {
		case e.end != checker.Open:
			sim.releaseEvent(int32(i))
		case !e.stored: // its client got no answer, and submits it again after its timeout
			s.endEvent(int32(i), checker.Declined, clientTimeout)
			sim.releaseEvent(int32(i))
		}
	}
	s.endedEvents, s.newEvents, s.openCalls = s.endedEvents[:0], s.newEvents[:0], s.openCalls[:0]
}

// continueDrain takes the next step of a node's drain: step 0 stops the scheduler, step 1 ends the process and
// schedules its restart.
func (sim *Simulation) continueDrain(s *simNode, step int32, incarnation int64) {
	if s.incarnation != incarnation || s.phase == dead {
		return
	}
	if step == 0 {
		s.phase = closing
		sim.queue.schedule(sim.now+drainExit-drainStopDeciding, simDrainStep, s.index, 1, incarnation)
		return
	}
	sim.killNode(s)
	sim.queue.schedule(sim.now+int64(sim.scenario.Fleet.RestartTime), simNodeStart, s.index, 0, 0)
}

// scheduleArrival schedules the next arrival from the source.
func (sim *Simulation) scheduleArrival() {
	if a, more := sim.source.Next(); more {
		sim.upcoming = a
		sim.queue.schedule(max(a.At, sim.now), simArrival, 0, 0, 0)
	}
}

// handleArrival handles a new event arriving at a client.
func (sim *Simulation) handleArrival() {
	a := sim.upcoming
	sim.arrivalCount++
	a.Number = sim.arrivalCount
	sim.checker.RecordArrival(sim.now, int(a.Type), int(a.Customer))
	sim.submit(sim.storeArrival(pendingArrival{Arrival: a}))
	sim.scheduleArrival()
}

func (sim *Simulation) storeArrival(a pendingArrival) int32 {
	if last := len(sim.freeArrivals) - 1; last >= 0 {
		i := sim.freeArrivals[last]
		sim.freeArrivals = sim.freeArrivals[:last]
		sim.pendingArrivals[i] = a
		return i
	}
	sim.pendingArrivals = append(sim.pendingArrivals, a)
	return int32(len(sim.pendingArrivals) - 1)
}

// submit lets a client submit an event to the node that the load balancer chooses.
func (sim *Simulation) submit(slot int32) {
	a := sim.pendingArrivals[slot]
	sim.freeArrivals = append(sim.freeArrivals, slot)
	if sim.now >= a.Deadline {
		sim.arrivalEnded(a.Arrival, checker.Declined)
		return
	}
	s := sim.nodes[sim.random.IntN(len(sim.nodes))]
	for redraws := 0; !sim.routable[s.index] || s.phase != serving; redraws++ { // a node that is down refuses
		if redraws > 4*len(sim.nodes) {
			sim.Stats.Dropped++
			sim.scheduleRetry(a, 0)
			return
		}
		s = sim.nodes[sim.random.IntN(len(sim.nodes))]
	}
	if s.frozenUntil > sim.now+clientTimeout { // the client times out and submits again
		sim.queue.schedule(sim.now+clientTimeout, simSubmit, sim.storeArrival(a), 0, 0)
		return
	}
	if s.heldEvents >= sim.scenario.Fleet.MaxEvents {
		sim.scheduleRetry(a, s.scheduler.RetryAfter())
		return
	}
	evt := sim.allocateEvent()
	e := &sim.events[evt]
	sim.nextID++
	sim.lastIncarnation++
	*e = event{
		id:            sim.nextID,
		incarnation:   sim.lastIncarnation,
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
	sim.checker.RecordAccepted(sim.now, evt, e.id, s.index, int(e.typ), e.dest, e.key, e.arrivedAt, e.deadline)
	sim.traceEntry("take", s.index, evt, int64(e.dest))
	s.enqueue(input{kind: inputEvent, evt: evt})
}

func (sim *Simulation) allocateEvent() int32 {
	if last := len(sim.freeEvents) - 1; last >= 0 {
		i := sim.freeEvents[last]
		sim.freeEvents = sim.freeEvents[:last]
		return i
	}
	sim.events = append(sim.events, event{})
	return int32(len(sim.events) - 1)
}

// releaseEvent marks an event as finished by its node. Its number is reused only after all calls that refer to it
// are freed, since a late call must not take effect for another event.
func (sim *Simulation) releaseEvent(evt int32) {
	sim.events[evt].released = true
	sim.freeEvent(evt)
}

// freeEvent returns an event's number to the pool once it is released and no call refers to it.
func (sim *Simulation) freeEvent(evt int32) {
	if e := &sim.events[evt]; e.released && e.refs == 0 {
		sim.checker.Release(sim.now, evt)
		*e = event{}
		sim.freeEvents = append(sim.freeEvents, evt)
	}
}

// retryDeclined lets the client retry an event that the node did not accept or declined to deliver.
func (sim *Simulation) retryDeclined(evt int32, retryAfter int64) {
	sim.scheduleRetry(pendingArrival{sim.arrivalOf(evt), sim.events[evt].retries}, retryAfter)
}

// arrivalOf returns the arrival from which an event came.
func (sim *Simulation) arrivalOf(evt int32) workload.Arrival {
	e := &sim.events[evt]
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

func (sim *Simulation) scheduleRetry(a pendingArrival, retryAfter int64) {
	c := &sim.scenario.Clients
	if a.retries >= int32(c.MaxRetries) {
		sim.arrivalEnded(a.Arrival, checker.Declined)
		return
	}
	a.retries++
	if retryAfter <= 0 {
		retryAfter = int64(c.RetryDelay)
	}
	retryAfter += int64(c.RetryJitter * sim.random.Float64() * float64(retryAfter))
	if sim.now+retryAfter < a.Deadline {
		sim.queue.schedule(sim.now+retryAfter, simSubmit, sim.storeArrival(a), 0, 0)
	} else {
		sim.arrivalEnded(a.Arrival, checker.Declined)
	}
}

// closeExpiredConnections closes connections that have been idle for too long, as nodes do.
func (sim *Simulation) closeExpiredConnections() {
	for _, s := range sim.nodes {
		if s.phase == dead {
			continue
		}
		for localEp := range s.idleConnections {
			connections := s.idleConnections[localEp]
			if len(connections) == 0 {
				continue
			}
			ep := s.endpoints.ID(int32(localEp))
			maxIdle := int64(idleTimeoutShare *
				float64(sim.scenario.DestinationKinds[sim.destinations.Endpoints[ep].Kind].IdleTimeout))
			s.idleConnections[localEp] = slices.DeleteFunc(connections, func(l idleConnection) bool {
				expired := sim.now-l.lastUsed >= maxIdle
				if expired {
					sim.destinations.Close(ep, l.epoch)
				}
				return expired
			})
		}
	}
}

// announcement is a node's message to its peers that an endpoint answered a call.
type announcement struct {
	from   int32
	sentAt int64 // when that call was sent
}

// sendPeerMessages tells all other nodes that an endpoint answered a call that was sent at sentAt. Some of the messages may be
// lost.
func (sim *Simulation) sendPeerMessages(from, ep int32, sentAt int64) {
	if !sim.scenario.Fleet.PeerMessages {
		return
	}
	lost := 1 - (1-sim.scenario.Fleet.PeerMessageLoss)*(1-sim.peerMessageLoss)
	sim.announcements = append(sim.announcements, announcement{from: from, sentAt: sentAt})
	for _, s := range sim.nodes {
		if s.index != from && sim.random.Float64() >= lost {
			sim.queue.schedule(sim.now+int64(sim.scenario.Fleet.NetworkDelay)+1, simPeerMessage, s.index, ep, int64(len(sim.announcements)-1))
		}
	}
}

// EventsHeld counts the unfinished events at all nodes.
func (sim *Simulation) EventsHeld() (held int) {
	for _, s := range sim.nodes {
		held += s.heldEvents
	}
	return held
}
