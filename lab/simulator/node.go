package simulator

import (
	"jaspersill/delivery"
	"jaspersill/idmap"
	"jaspersill/lab/checker"
)

// phase is a node's phase of life.
type phase uint8

const (
	serving  phase = iota
	draining       // asked to stop: accepts no new events, goes on with those it has
	closing        // the scheduler has stopped; answers are still received
	dead
)

// simNode is one simulated delivery node. It runs its scheduler and carries out its decisions in virtual time, as
// package node does on sockets.
type simNode struct {
	sim         *Simulation
	index       int32
	incarnation int64 // grows with each start; simulator events of an earlier start are ignored
	scheduler   delivery.Scheduler
	phase       phase
	frozenUntil int64 // end of the freeze; 0 if it is not frozen

	inputs      []input
	spareInputs []input
	lastRound   int64 // when the scheduler last ran
	nextRound   int64 // when it will run next, 0 if no round is scheduled
	wakeAt      int64

	eventByIndex    []int32 // event numbers by the node's own index
	freeIndexes     []int32
	endedEvents     []int32 // events whose index is freed after this round
	heldEvents      int
	endpoints       idmap.Table[int32]
	idleConnections [][]idleConnection // by the node's own endpoint index, the most recently used last
	seenOutage      []int64            // by endpoint group: start of the last outage that the node noticed
	openCalls       []int32            // calls opened in this round
	newEvents       []int32            // events passed to the scheduler in this round

	watching     bool
	watchPending bool
	roundCount   int64
}

// idleConnection is an open connection without a call; epoch is that of the endpoint's process.
type idleConnection struct {
	lastUsed int64
	epoch    uint32
}

// inputKind is the kind of an input.
type inputKind uint8

const (
	inputEvent inputKind = iota
	inputResumed
	inputOutcome
	inputWithdrawn
	inputKnownList // the full list that a node knows at its start
	inputFullList  // the full list, in response to a watch request
	inputListChange
	inputListFailed
	inputPeerHealthy
)

// input is one input for the scheduler's next round. An inputListChange holds the half-open range from evt to send
// of Simulation.changes.
type input struct {
	kind                inputKind
	outcome             delivery.Outcome
	ended               bool // inputResumed: a send may have run
	evt, send           int32
	ep                  int32 // the node's own index, but the endpoint's number for inputPeerHealthy
	peer                int32
	firstRunAt          int64 // inputResumed: start of the first send that may have run
	retryAfter, latency int64
	announcedSentAt     int64 // inputPeerHealthy: when the call was sent that the peer's announcement rests on
	limitLeft, limit    float64
}

const idleTimeoutShare = 0.9 // nodes close idle connections after this part of the endpoint's idle timeout

// Deliver implements delivery.Feed.
func (s *simNode) Deliver(to delivery.Handler) {
	sim := s.sim
	if s.wakeAt > 0 && sim.now >= s.wakeAt {
		s.wakeAt = 0
		to.Woken()
	}
	s.inputs, s.spareInputs = s.spareInputs[:0], s.inputs
	for i := range s.spareInputs {
		p := &s.spareInputs[i]
		switch p.kind {
		case inputEvent:
			e := &sim.events[p.evt]
			e.index = s.assignIndex(p.evt)
			s.newEvents = append(s.newEvents, p.evt)
			to.Event(e.index, int(e.typ), int(e.customer), e.key, e.deadline-sim.now, 0, e.dest)
		case inputResumed:
			e := &sim.events[p.evt]
			to.Resumed(e.index, int(p.send), p.ended, sim.now-p.firstRunAt, 0)
		case inputOutcome:
			e := &sim.events[p.evt]
			if e.currentSend == p.send {
				e.currentSend = -1
			}
			to.Outcome(e.index, int(p.send), p.ep, p.outcome, p.retryAfter, p.latency, p.ended, p.limitLeft, p.limit)
			s.releaseIfDone(p.evt)
		case inputWithdrawn:
			to.Withdrawn(sim.events[p.evt].index)
		case inputKnownList, inputFullList:
			to.ListStarted(true)
			for ep, state := range sim.directoryStates {
				if state != delivery.Gone {
					s.deliverEndpoint(to, int32(ep), state)
				}
			}
			to.ListEnded(p.kind == inputFullList)
		case inputListChange:
			to.ListStarted(false)
			for _, c := range sim.changes[p.evt:p.send] {
				s.deliverEndpoint(to, c.ep, c.state)
			}
			to.ListEnded(true)
		case inputListFailed:
			to.ListFailed()
		case inputPeerHealthy:
			if ep, listed := s.endpoints.Lookup(p.ep); listed {
				to.PeerReportedHealthy(int(p.peer), ep, sim.now-p.announcedSentAt)
			}
		}
	}
}

// deliverEndpoint passes one endpoint's entry in the directory's list to the scheduler.
func (s *simNode) deliverEndpoint(to delivery.Handler, ep int32, state delivery.EndpointState) {
	e := &s.sim.destinations.Endpoints[ep]
	localEp, _ := s.endpoints.Acquire(ep)
	for int(localEp) >= len(s.idleConnections) {
		s.idleConnections = append(s.idleConnections, nil)
	}
	rate := 0.0
	if dk := &s.sim.scenario.DestinationKinds[e.Kind]; dk.LimitListed {
		rate = dk.Limit
	}
	to.EndpointListed(localEp, e.Dest, int(e.Kind), 0, state, rate)
}

// assignIndex assigns one of the node's own indexes to an event.
func (s *simNode) assignIndex(evt int32) int32 {
	if last := len(s.freeIndexes) - 1; last >= 0 {
		i := s.freeIndexes[last]
		s.freeIndexes = s.freeIndexes[:last]
		s.eventByIndex[i] = evt
		return i
	}
	s.eventByIndex = append(s.eventByIndex, evt)
	return int32(len(s.eventByIndex) - 1)
}

// enqueue adds an input and schedules a round for it.
func (s *simNode) enqueue(p input) {
	s.inputs = append(s.inputs, p)
	s.scheduleRound(s.sim.now)
}

// scheduleRound schedules a round at the given time, but no earlier than one tick after the last round.
func (s *simNode) scheduleRound(at int64) {
	at = max(at, s.lastRound+int64(s.sim.scenario.Fleet.Tick), s.frozenUntil)
	if s.phase >= closing || (s.nextRound > 0 && s.nextRound <= at) {
		return
	}
	s.nextRound = at
	s.sim.queue.schedule(at, simRound, s.index, 0, s.incarnation)
}

// runRound runs the scheduler once and starts the calls it chose.
func (s *simNode) runRound() {
	sim := s.sim
	s.nextRound, s.lastRound = 0, sim.now
	s.roundCount++
	s.scheduler.Round(sim.now, s, s)
	for _, evt := range s.newEvents {
		if e := &sim.events[evt]; e.end == checker.Open {
			e.stored = true
		}
	}
	for _, c := range s.openCalls {
		sim.startCall(c)
	}
	for _, evt := range s.endedEvents {
		e := &sim.events[evt]
		if e.inFlight > 0 { // sent again after its end: it is released after that send
			e.releaseQueued = false
			continue
		}
		s.freeIndexes = append(s.freeIndexes, e.index)
		sim.releaseEvent(evt)
	}
	s.newEvents, s.openCalls, s.endedEvents = s.newEvents[:0], s.openCalls[:0], s.endedEvents[:0]
	switch {
	case len(s.inputs) > 0:
		s.scheduleRound(sim.now)
	case s.wakeAt > 0:
		s.scheduleRound(s.wakeAt)
	}
}

// endEvent gives an event its final end; later ends of the same event are ignored.
func (s *simNode) endEvent(evt int32, end checker.End, retryAfter int64) {
	sim := s.sim
	e := &sim.events[evt]
	if e.end != checker.Open {
		return
	}
	e.end = end
	s.heldEvents--
	sim.checker.RecordEnd(sim.now, evt, end)
	sim.traceEntry("end", s.index, evt, int64(end))
	switch end {
	case checker.Acked:
		sim.checker.CreditCustomer(sim.now, evt, int(e.customer))
		sim.arrivalEnded(sim.arrivalOf(evt), end)
	case checker.Declined:
		sim.retryDeclined(evt, retryAfter)
	case checker.Discarded:
		sim.arrivalEnded(sim.arrivalOf(evt), end)
	}
	s.releaseIfDone(evt)
}

// releaseIfDone queues an event for release if it has ended and has no sends in flight.
func (s *simNode) releaseIfDone(evt int32) {
	if e := &s.sim.events[evt]; e.end != checker.Open && e.inFlight == 0 && !e.releaseQueued {
		e.releaseQueued = true
		s.endedEvents = append(s.endedEvents, evt)
	}
}

// Send implements delivery.Executor, as do the methods up to Log.
func (s *simNode) Send(index, localEp int32, timeout int64, _ delivery.Terms) {
	sim := s.sim
	evt, ep := s.eventByIndex[index], s.endpoints.ID(localEp)
	e := &sim.events[evt]
	number := e.sends
	e.sends++
	e.inFlight++
	e.currentSend = number
	e.refs++
	sim.checker.RecordSend(sim.now, evt, ep, sim.destinations.GroupOf(ep))
	sim.traceEntry("send", s.index, evt, int64(ep))
	maxEvents := sim.scenario.DestinationKinds[sim.destinations.Endpoints[ep].Kind].MaxEventsPerCall
	c := int32(-1)
	for _, open := range s.openCalls {
		if x := &sim.calls[open]; x.ep == ep && len(x.sends) < maxEvents {
			c = open
		}
	}
	if c < 0 {
		c = sim.allocateCall(s, ep, localEp)
		s.openCalls = append(s.openCalls, c)
	}
	x := &sim.calls[c]
	x.sends = append(x.sends, callSend{evt: evt, incarnation: e.incarnation, number: number})
	x.activeSends++
	e.call = c
	sim.queue.scheduleBucketed(sim.now+max(timeout, 1), simSendTimeout, evt, number, e.incarnation)
}

func (s *simNode) Decline(index int32, retryAfter int64) {
	s.endEvent(s.eventByIndex[index], checker.Declined, retryAfter)
}
func (s *simNode) Discard(index int32) { s.endEvent(s.eventByIndex[index], checker.Discarded, 0) }

func (s *simNode) Cancel(index int32, number int) {
	evt := s.eventByIndex[index]
	if e := &s.sim.events[evt]; e.currentSend == int32(number) && e.inFlight > 0 {
		s.sim.abandonSend(evt, int32(number), delivery.Cancelled)
	}
}

// CancelUnsent does nothing: in the simulation a send goes out at the end of the round in which it is chosen.
func (s *simNode) CancelUnsent(int32, int) {}

func (s *simNode) Wake(after int64) {
	s.wakeAt = s.sim.now + max(after, 1)
}

func (s *simNode) Watch(on bool) {
	if s.watching = s.watching && on; on && !s.watchPending {
		s.watchPending = true
		s.sim.queue.schedule(s.sim.now+2*int64(s.sim.scenario.Fleet.NetworkDelay)+1,
			simWatchResponse, s.index, 0, s.incarnation)
	}
}

func (s *simNode) Probe(int32) {}

func (s *simNode) CloseIdle(localEp int32) {
	s.sim.closeConnections(s.endpoints.ID(localEp), s.idleConnections[localEp])
	s.idleConnections[localEp] = s.idleConnections[localEp][:0]
}

func (s *simNode) Forget(localEp int32) {
	s.CloseIdle(localEp)
	s.endpoints.Release(localEp)
}

func (s *simNode) AnnounceHealthy(localEp int32, sentAgo int64) {
	s.sim.sendPeerMessages(s.index, s.endpoints.ID(localEp), s.sim.now-sentAgo)
}

func (s *simNode) Log(text string, localEp int32) {
	s.sim.traceEntry(text, s.index, s.endpoints.ID(localEp), 0)
}

// takeIdleConnection takes an idle connection that is still open from the pool, and reports whether there was one.
func (s *simNode) takeIdleConnection(ep, localEp int32) bool {
	sim := s.sim
	endpoint := &sim.destinations.Endpoints[ep]
	maxIdle := int64(idleTimeoutShare * float64(sim.scenario.DestinationKinds[endpoint.Kind].IdleTimeout))
	for n := len(s.idleConnections[localEp]); n > 0; n = len(s.idleConnections[localEp]) {
		idle := s.idleConnections[localEp][n-1]
		s.idleConnections[localEp] = s.idleConnections[localEp][:n-1]
		if idle.epoch != endpoint.Epoch { // the endpoint's process has died since, and with it the connection
			continue
		}
		if sim.now-idle.lastUsed < maxIdle {
			return true
		}
		sim.destinations.Close(ep, idle.epoch)
	}
	return false
}

// sawOutage reports whether a call of the node failed or was refused by an endpoint group during its last outage.
func (s *simNode) sawOutage(group int32) bool {
	from, _ := s.sim.destinations.Outage(group)
	return int(group) < len(s.seenOutage) && from > 0 && s.seenOutage[group] == from
}

// recordFailure records that the node noticed an outage of an endpoint group, if a call failed during one. A call that
// fails after the outage's end, for example by a timeout, does not count: the node could not have noticed in time.
func (s *simNode) recordFailure(group int32, startedAt int64, outcome delivery.Outcome) {
	from, to := s.sim.destinations.Outage(group)
	if outcome == delivery.Acked || outcome == delivery.Unsent || from == 0 || startedAt >= to || s.sim.now < from ||
		s.sim.now >= to {
		return
	}
	for int(group) >= len(s.seenOutage) {
		s.seenOutage = append(s.seenOutage, 0)
	}
	s.seenOutage[group] = from
}
