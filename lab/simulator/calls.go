package simulator

import (
	"jaspersill/delivery"
	"jaspersill/lab/checker"
	"jaspersill/lab/destination"
)

// allocateCall creates a call from a node to an endpoint and returns its number.
func (sim *Simulation) allocateCall(s *simNode, ep, localEp int32) int32 {
	var i int32
	if last := len(sim.freeCalls) - 1; last >= 0 {
		i, sim.freeCalls = sim.freeCalls[last], sim.freeCalls[:last]
	} else {
		i = int32(len(sim.calls))
		sim.calls = append(sim.calls, call{})
	}
	c := &sim.calls[i]
	*c = call{
		node:            s.index,
		nodeIncarnation: s.incarnation,
		ep:              ep,
		localEp:         localEp,
		sends:           c.sends[:0],
		startedAt:       sim.now,
		inUse:           true,
	}
	sim.Stats.Calls++
	sim.destinations.AddInTransit(ep, 1)
	return i
}

// freeCall returns a call's number to the pool once the call is closed and no scheduled event refers to it.
func (sim *Simulation) freeCall(i int32) {
	if c := &sim.calls[i]; c.inUse && c.closed && c.scheduled == 0 {
		c.inUse = false
		sim.freeCalls = append(sim.freeCalls, i)
		for _, send := range c.sends {
			sim.events[send.evt].refs--
			sim.freeEvent(send.evt)
		}
	}
}

func (sim *Simulation) scheduleCall(at int64, kind simEventKind, i int32) {
	sim.calls[i].scheduled++
	sim.queue.schedule(at, kind, i, 0, 0)
}

// startCall sends a call on an idle connection, or opens a new one for it.
func (sim *Simulation) startCall(i int32) {
	c := &sim.calls[i]
	s := sim.nodes[c.node]
	endpoint := &sim.destinations.Endpoints[c.ep]
	delay := int64(sim.scenario.Fleet.NetworkDelay)
	if s.takeIdleConnection(c.ep, c.localEp) {
		c.connected, c.epoch = true, endpoint.Epoch
		sim.scheduleCall(sim.now+delay, simCallReached, i)
		return
	}
	sim.Stats.Connections++
	switch sim.destinations.Connect(sim.now, c.ep) {
	case destination.Connected:
		c.connected, c.epoch = true, endpoint.Epoch
		sim.scheduleCall(sim.now+3*delay+int64(sim.scenario.DestinationKinds[endpoint.Kind].Handshake), simCallReached, i)
	case destination.ConnectRefused:
		sim.destinations.AddInTransit(c.ep, -1)
		c.result = destination.CallResult{Outcome: delivery.ConnectFailed}
		sim.scheduleCall(sim.now+2*delay, simResponse, i)
	case destination.ConnectUnanswered:
		sim.destinations.AddInTransit(c.ep, -1)
		c.result = destination.CallResult{Outcome: delivery.ConnectFailed}
		sim.scheduleCall(sim.now+connectTimeout, simResponse, i)
	}
}

// callReached handles the arrival of a call's last byte at its endpoint.
func (sim *Simulation) callReached(i int32) {
	c := &sim.calls[i]
	c.scheduled--
	sim.destinations.AddInTransit(c.ep, -1)
	if c.closed { // it was cancelled on the way: closed before its last byte arrived, it did not run
		sim.freeCall(i)
		return
	}
	if c.epoch != sim.destinations.Endpoints[c.ep].Epoch { // the endpoint's process died meanwhile
		c.result, c.reached = destination.CallResult{Outcome: delivery.Reset}, true
		sim.scheduleCall(sim.now+int64(sim.scenario.Fleet.NetworkDelay), simResponse, i)
		return
	}
	c.reached = true
	work := int64(0)
	for _, send := range c.sends {
		work = max(work, sim.events[send.evt].work)
	}
	c.reachedAt = sim.now
	work += work / 4 * int64(len(c.sends)-1) // a batch takes less time than its events one by one
	overloads := len(sim.destinations.Overloads)
	result := sim.destinations.StartCall(
		sim.now,
		c.ep,
		sim.nodes[c.node].sawOutage(sim.destinations.GroupOf(c.ep)),
		work,
		len(c.sends),
	)
	c = &sim.calls[i]
	c.result, c.takesEffect = result, result.Ran
	if len(sim.destinations.Overloads) > overloads {
		c.takesEffect = false
		sim.destinationOverloaded(sim.destinations.Overloads[len(sim.destinations.Overloads)-1])
		return
	}
	switch {
	case !c.result.Answered(): // no answer: the call lasts until its node abandons it
	case c.result.Ran || c.result.DoneAt > sim.now:
		for n := range c.sends {
			c.sends[n].duplicate = c.result.Ran && sim.checker.RecordCallReceived(sim.now, c.sends[n].evt)
		}
		sim.scheduleCall(c.result.DoneAt, simCallDone, i)
	default:
		sim.scheduleCall(sim.now+int64(sim.scenario.Fleet.NetworkDelay), simResponse, i)
	}
}

// destinationOverloaded tells the checker that a cold destination was overloaded, and resets its connections.
func (sim *Simulation) destinationOverloaded(f destination.Overload) {
	sim.checker.RecordOverload(sim.now, f.Dest, f.Offered, f.Informed, f.Allowed)
	sim.traceEntry("fell", -1, f.Dest, int64(f.Offered))
	sim.resetCalls(func(c *call) bool { return sim.destinations.GroupOf(c.ep) == f.Group })
}

// resetCalls resets the connections of the open calls for which the function returns true.
func (sim *Simulation) resetCalls(which func(*call) bool) {
	for i := range sim.calls {
		c := &sim.calls[i]
		if c.inUse && !c.closed && c.connected && which(c) {
			c.result = destination.CallResult{Outcome: delivery.Reset}
			c.reached = true
			c.epoch = ^uint32(0)
			sim.scheduleCall(sim.now+int64(sim.scenario.Fleet.NetworkDelay), simResponse, int32(i))
		}
	}
}

// callDone handles an endpoint finishing a call: its events take effect, and its answer is sent.
func (sim *Simulation) callDone(i int32) {
	c := &sim.calls[i]
	c.scheduled--
	runs, answers := sim.destinations.FinishCall(c.ep, c.epoch)
	if c.takesEffect {
		for _, send := range c.sends {
			sim.checker.RecordCallDone(sim.now, c.reachedAt, send.evt, runs, send.duplicate)
			sim.traceEntry("run", c.node, send.evt, int64(send.number))
		}
	}
	if answers && !c.closed && runs {
		sim.scheduleCall(sim.now+c.result.AnswerDelay+int64(sim.scenario.Fleet.NetworkDelay), simResponse, i)
		return
	}
	sim.freeCall(i)
}

// handleResponse handles the arrival of an answer, or of a connection's end, at a node.
func (sim *Simulation) handleResponse(i int32) {
	c := &sim.calls[i]
	c.scheduled--
	s := sim.nodes[c.node]
	if c.closed || s.incarnation != c.nodeIncarnation || s.phase == dead {
		c.closed = true
		sim.freeCall(i)
		return
	}
	if s.frozenUntil > sim.now {
		sim.scheduleCall(s.frozenUntil, simResponse, i)
		return
	}
	c.closed = true
	result := &c.result
	group := sim.destinations.GroupOf(c.ep)
	s.recordFailure(group, c.startedAt, result.Outcome)
	if result.Outcome == delivery.Refused && result.RetryAfter > 0 {
		sim.checker.RecordRetryAfter(sim.now, c.node, group, result.RetryAfter)
	}
	if c.connected && (result.Outcome == delivery.Acked || result.Outcome == delivery.Errored ||
		result.Outcome == delivery.Refused) &&
		c.epoch == sim.destinations.Endpoints[c.ep].Epoch {
		s.idleConnections[c.localEp] = append(s.idleConnections[c.localEp], idleConnection{sim.now, c.epoch})
	} else {
		sim.closeConnection(c)
	}
	for n := range c.sends {
		send := &c.sends[n]
		if e := &sim.events[send.evt]; e.incarnation != send.incarnation {
			continue
		} else if send.abandoned {
			if result.Outcome == delivery.Acked && e.end == checker.Open {
				s.endEvent(send.evt, checker.Acked, 0)
				s.enqueue(input{kind: inputWithdrawn, evt: send.evt})
			}
			continue
		}
		sim.reportOutcome(s, c, send, result.Outcome, result.RetryAfter, result.LimitLeft, result.Limit)
	}
	sim.freeCall(i)
}

// reportOutcome reports to a node's scheduler how one send ended.
func (sim *Simulation) reportOutcome(
	s *simNode,
	c *call,
	send *callSend,
	outcome delivery.Outcome,
	retryAfter int64,
	limitLeft, limit float64,
) {
	e := &sim.events[send.evt]
	e.inFlight--
	e.call = -1
	sim.checker.RecordOutcome(sim.now, send.evt, int(send.number), outcome)
	sim.traceEntry("hear", s.index, send.evt, int64(outcome))
	if outcome == delivery.Acked { // the journal records it before the scheduler is told
		s.endEvent(send.evt, checker.Acked, 0)
	}
	if s.phase >= closing { // the scheduler no longer runs
		return
	}
	s.enqueue(
		input{
			kind:       inputOutcome,
			outcome:    outcome,
			ended:      outcome == delivery.Acked,
			evt:        send.evt,
			send:       send.number,
			ep:         c.localEp,
			retryAfter: retryAfter,
			latency:    sim.now - c.startedAt,
			limitLeft:  limitLeft,
			limit:      limit,
		},
	)
}

// handleSendTimeout handles the expiry of the time that a node waits for a send.
func (sim *Simulation) handleSendTimeout(evt, number int32, incarnation int64) {
	e := &sim.events[evt]
	if e.incarnation != incarnation || e.inFlight == 0 || e.currentSend != number {
		return
	}
	s := sim.nodes[e.node]
	if s.frozenUntil > sim.now {
		sim.queue.schedule(s.frozenUntil, simSendTimeout, evt, number, incarnation)
		return
	}
	sim.abandonSend(evt, number, delivery.TimedOut)
}

// abandonSend stops waiting for a send. A call that has not reached its endpoint by then never runs.
func (sim *Simulation) abandonSend(evt, number int32, outcome delivery.Outcome) {
	e := &sim.events[evt]
	if e.call < 0 {
		return
	}
	i := e.call
	c := &sim.calls[i]
	s := sim.nodes[e.node]
	for n := range c.sends {
		send := &c.sends[n]
		if send.evt != evt || send.number != number || send.abandoned || c.closed {
			continue
		}
		send.abandoned = true
		if c.activeSends--; c.activeSends == 0 {
			c.closed = true
			sim.closeConnection(c)
		} else if !c.reached {
			send.abandoned = false // it cannot be taken out of a call that is on its way with other sends
			c.activeSends++
			return
		}
		if !c.reached {
			if outcome == delivery.TimedOut {
				outcome = delivery.ConnectFailed
			} else {
				outcome = delivery.Unsent
			}
		}
		s.recordFailure(sim.destinations.GroupOf(c.ep), c.startedAt, outcome)
		sim.reportOutcome(s, c, send, outcome, 0, 0, 0)
		sim.freeCall(i)
		return
	}
}

func (sim *Simulation) closeConnection(c *call) {
	if c.connected {
		c.connected = false
		sim.destinations.Close(c.ep, c.epoch)
	}
}

func (sim *Simulation) closeConnections(ep int32, list []idleConnection) {
	for _, idle := range list {
		sim.destinations.Close(ep, idle.epoch)
	}
}
