package simulator

import (
	"jaspersill/delivery"
	"jaspersill/door"
	"jaspersill/lab/checker"
)

// phase is where a seat's node stands.
type phase uint8

const (
	serving  phase = iota
	draining       // asked to stop: nobody new comes, what it has goes on
	closing        // nothing more is decided; answers are still heard
	dead
)

// simNode is one delivery node: what it carries out, round its decision module. It does what package node does
// on sockets, in virtual time.
type simNode struct {
	sim         *Simulation
	index       int32
	incarnation int64 // grows with each start: what belongs to a former one is passed over
	scheduler   delivery.Scheduler
	phase       phase
	frozenUntil int64 // until when it stands still; 0 where it does not

	inputs      []input
	spareInputs []input
	lastRound   int64 // of its last round
	nextRound   int64 // its next round, 0 for none
	wakeAt      int64

	eventByIndex    []int32 // events by its own index
	freeIndexes     []int32
	endedEvents     []int32 // whose index is free after this round
	heldEvents      int
	endpoints       door.Table[int32]
	idleConnections [][]idleConnection // idle connections by its own endpoint index, the one used last at the end
	seenOutage      []int64            // by lane: the beginning of the last outage that it saw
	openCalls       []int32            // calls opened in this round
	newEvents       []int32            // events handed in in this round

	watching     bool
	watchPending bool
	roundCount   int64
}

// idleConnection is an idle connection.
type idleConnection struct {
	lastUsed int64
	epoch    uint32
}

// inputKind is a kind of piece.
type inputKind uint8

const (
	inputEvent inputKind = iota
	inputResumed
	inputOutcome
	inputWithdrawn
	inputFullList // a whole list
	inputListChange
	inputListFailed
	inputPeerHealthy
)

// input is one input of news for the module's next round.
type input struct {
	kind                inputKind
	outcome             delivery.Outcome
	ended               bool
	evt, send           int32
	ep                  int32 // its own index
	peer                int32
	firstRunAt          int64 // resumed: when the first send went out that may have run
	retryAfter, latency int64
	limitLeft, limit    float64
}

const idleTimeoutShare = 0.9 // part of the time after which endpoints close idle connections that a node keeps them

// Deliver implements port.Feed.
func (s *simNode) Deliver(to delivery.Handler) {
	w := s.sim
	if s.wakeAt > 0 && w.now >= s.wakeAt {
		s.wakeAt = 0
		to.Woken()
	}
	s.inputs, s.spareInputs = s.spareInputs[:0], s.inputs
	for i := range s.spareInputs {
		p := &s.spareInputs[i]
		switch p.kind {
		case inputEvent:
			e := &w.events[p.evt]
			e.index = s.assignIndex(p.evt)
			s.newEvents = append(s.newEvents, p.evt)
			to.Event(e.index, int(e.typ), int(e.customer), e.key, e.deadline-w.now, 0, e.dest)
		case inputResumed:
			e := &w.events[p.evt]
			to.Resumed(e.index, int(p.send), p.ended, w.now-p.firstRunAt, 0)
		case inputOutcome:
			e := &w.events[p.evt]
			if e.currentSend == p.send {
				e.currentSend = -1
			}
			to.Outcome(e.index, int(p.send), p.ep, p.outcome, p.retryAfter, p.latency, p.ended, p.limitLeft, p.limit)
			s.releaseIfDone(p.evt)
		case inputWithdrawn:
			to.Withdrawn(w.events[p.evt].index)
		case inputFullList:
			to.ListStarted(true)
			for ep, state := range w.directoryStates {
				if state != delivery.Gone {
					s.deliverEndpoint(to, int32(ep), state)
				}
			}
			to.ListEnded()
		case inputListChange:
			to.ListStarted(false)
			for _, c := range w.changes[p.evt:p.send] {
				s.deliverEndpoint(to, c.ep, c.state)
			}
			to.ListEnded()
		case inputListFailed:
			to.ListFailed()
		case inputPeerHealthy:
			if ep, listed := s.endpoints.Find(p.ep); listed {
				to.PeerReportedHealthy(int(p.peer), ep)
			}
		}
	}
}

// deliverEndpoint tells the module of one endpoint as the directory has it.
func (s *simNode) deliverEndpoint(to delivery.Handler, ep int32, state delivery.EndpointState) {
	e := &s.sim.destinations.Endpoints[ep]
	own, _ := s.endpoints.Take(ep)
	for int(own) >= len(s.idleConnections) {
		s.idleConnections = append(s.idleConnections, nil)
	}
	rate := 0.0
	if p := &s.sim.scenario.DestinationKinds[e.Kind]; p.LimitListed {
		rate = p.Limit
	}
	to.EndpointListed(own, e.Dest, int(e.Kind), 0, state, rate)
}

// assignIndex gives out an index for an event.
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

// enqueue takes a piece of news and plans a round for it.
func (s *simNode) enqueue(p input) {
	s.inputs = append(s.inputs, p)
	s.scheduleRound(s.sim.now)
}

// scheduleRound asks for a round no earlier than a tick after the last one.
func (s *simNode) scheduleRound(at int64) {
	at = max(at, s.lastRound+int64(s.sim.scenario.Fleet.Tick), s.frozenUntil)
	if s.phase >= closing || (s.nextRound > 0 && s.nextRound <= at) {
		return
	}
	s.nextRound = at
	s.sim.queue.schedule(at, simRound, s.index, 0, s.incarnation)
}

// runRound calls the module.
func (s *simNode) runRound() {
	w := s.sim
	s.nextRound, s.lastRound = 0, w.now
	s.roundCount++
	s.scheduler.Round(w.now, s, s)
	for _, evt := range s.newEvents {
		if e := &w.events[evt]; e.end == checker.Open {
			e.stored = true
		}
	}
	for _, c := range s.openCalls {
		w.startCall(c)
	}
	for _, evt := range s.endedEvents {
		e := &w.events[evt]
		s.freeIndexes = append(s.freeIndexes, e.index)
		w.releaseEvent(evt)
	}
	s.newEvents, s.openCalls, s.endedEvents = s.newEvents[:0], s.openCalls[:0], s.endedEvents[:0]
	switch {
	case len(s.inputs) > 0:
		s.scheduleRound(w.now)
	case s.wakeAt > 0:
		s.scheduleRound(s.wakeAt)
	}
}

// endEvent ends an event once.
func (s *simNode) endEvent(evt int32, end checker.End, comeBack int64) {
	w := s.sim
	e := &w.events[evt]
	if e.end != checker.Open {
		return
	}
	e.end = end
	s.heldEvents--
	w.checker.RecordEnd(w.now, evt, end)
	w.traceEntry("end", s.index, evt, int64(end))
	switch end {
	case checker.Acked:
		w.checker.CreditCustomer(w.now, evt, int(e.customer))
		w.arrivalEnded(w.arrivalOf(evt), end)
	case checker.Declined:
		w.retryDeclined(evt, comeBack)
	case checker.Discarded:
		w.arrivalEnded(w.arrivalOf(evt), end)
	}
	s.releaseIfDone(evt)
}

// releaseIfDone lets an event go that is over and has nothing out.
func (s *simNode) releaseIfDone(evt int32) {
	if e := &s.sim.events[evt]; e.end != checker.Open && e.inFlight == 0 && !e.releaseQueued {
		e.releaseQueued = true
		s.endedEvents = append(s.endedEvents, evt)
	}
}

// Send implements port.Writer, as do the methods below.
func (s *simNode) Send(index, own int32, timeout int64) {
	w := s.sim
	evt, ep := s.eventByIndex[index], s.endpoints.ID(own)
	e := &w.events[evt]
	number := e.sends
	e.sends++
	e.inFlight++
	e.currentSend = number
	e.refs++
	w.checker.RecordSend(w.now, evt, ep, w.destinations.LaneOf(ep))
	w.traceEntry("send", s.index, evt, int64(ep))
	most := w.scenario.DestinationKinds[w.destinations.Endpoints[ep].Kind].MaxEventsPerCall
	c := int32(-1)
	for _, open := range s.openCalls {
		if x := &w.calls[open]; x.ep == ep && len(x.sends) < most {
			c = open
		}
	}
	if c < 0 {
		c = w.allocateCall(s, ep, own)
		s.openCalls = append(s.openCalls, c)
	}
	x := &w.calls[c]
	x.sends = append(x.sends, callSend{evt: evt, incarnation: e.incarnation, number: number})
	x.activeSends++
	e.call = c
	w.queue.scheduleBucketed(w.now+max(timeout, 1), simSendTimeout, evt, number, e.incarnation)
}

func (s *simNode) Decline(index int32, comeBack int64) {
	s.endEvent(s.eventByIndex[index], checker.Declined, comeBack)
}
func (s *simNode) Discard(index int32) { s.endEvent(s.eventByIndex[index], checker.Discarded, 0) }

func (s *simNode) Cancel(index int32, number int) {
	evt := s.eventByIndex[index]
	if e := &s.sim.events[evt]; e.currentSend == int32(number) && e.inFlight > 0 {
		s.sim.abandonSend(evt, int32(number), delivery.Cancelled)
	}
}

// CancelUnsent does nothing: in virtual time a send leaves as soon as it is chosen.
func (s *simNode) CancelUnsent(int32, int) {}

func (s *simNode) Wake(after int64) {
	s.wakeAt = s.sim.now + max(after, 1)
}

func (s *simNode) Watch(on bool) {
	if s.watching = s.watching && on; on && !s.watchPending {
		s.watchPending = true
		s.sim.queue.schedule(s.sim.now+2*int64(s.sim.scenario.Fleet.NetworkDelay)+1, simWatchResponse, s.index, 0, s.incarnation)
	}
}

func (s *simNode) Probe(int32) {}

func (s *simNode) CloseIdle(own int32) {
	s.sim.closeConnections(s.endpoints.ID(own), s.idleConnections[own])
	s.idleConnections[own] = s.idleConnections[own][:0]
}

func (s *simNode) Forget(own int32) {
	s.CloseIdle(own)
	s.endpoints.Release(own)
}

func (s *simNode) AnnounceHealthy(own int32) { s.sim.sendPeerMessages(s.index, s.endpoints.ID(own)) }

func (s *simNode) Log(text string, own int32) {
	s.sim.traceEntry(text, s.index, s.endpoints.ID(own), 0)
}

// takeIdleConnection takes an idle one that its endpoint has not closed by now.
func (s *simNode) takeIdleConnection(ep, own int32) bool {
	w := s.sim
	p := &w.destinations.Endpoints[ep]
	keep := int64(idleTimeoutShare * float64(w.scenario.DestinationKinds[p.Kind].IdleTimeout))
	for n := len(s.idleConnections[own]); n > 0; n = len(s.idleConnections[own]) {
		l := s.idleConnections[own][n-1]
		s.idleConnections[own] = s.idleConnections[own][:n-1]
		if l.epoch != p.Epoch { // it was closed when the process died
			continue
		}
		if w.now-l.lastUsed < keep {
			return true
		}
		w.destinations.Close(ep, l.epoch)
	}
	return false
}

// sawOutage tells whether the node saw a call fail, or be refused, at a lane during its last outage.
func (s *simNode) sawOutage(lane int32) bool {
	from, _ := s.sim.destinations.Outage(lane)
	return int(lane) < len(s.seenOutage) && from > 0 && s.seenOutage[lane] == from
}

// recordFailure notes that a node recordFailure a call fail while the lane was out. One that ends later, as by a time-out, tells
// its node only then: it could not have known before.
func (s *simNode) recordFailure(lane int32, began int64, how delivery.Outcome) {
	from, to := s.sim.destinations.Outage(lane)
	if how == delivery.Acked || how == delivery.Unsent || from == 0 || began >= to || s.sim.now < from ||
		s.sim.now >= to {
		return
	}
	for int(lane) >= len(s.seenOutage) {
		s.seenOutage = append(s.seenOutage, 0)
	}
	s.seenOutage[lane] = from
}
