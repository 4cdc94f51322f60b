package simulator

import (
	"jaspersill/delivery"
	"jaspersill/lab/checker"
	"jaspersill/lab/partner"
)

// allocateCall opens a call of a node to an endpoint.
func (w *Simulation) allocateCall(s *simNode, ep, own int32) int32 {
	var i int32
	if last := len(w.freeCalls) - 1; last >= 0 {
		i, w.freeCalls = w.freeCalls[last], w.freeCalls[:last]
	} else {
		i = int32(len(w.calls))
		w.calls = append(w.calls, call{})
	}
	c := &w.calls[i]
	*c = call{node: s.index, nodeIncarnation: s.incarnation, ep: ep, localEp: own, sends: c.sends[:0], startedAt: w.now, inUse: true}
	w.Stats.Calls++
	w.destinations.Coming(ep, 1)
	return i
}

// freeCall gives a call's number back once it is over and nothing that is planned knows it.
func (w *Simulation) freeCall(i int32) {
	if c := &w.calls[i]; c.inUse && c.closed && c.scheduled == 0 {
		c.inUse = false
		w.freeCalls = append(w.freeCalls, i)
		for _, o := range c.sends {
			w.events[o.evt].refs--
			w.freeEvent(o.evt)
		}
	}
}

func (w *Simulation) scheduleCall(at int64, what simEventKind, i int32) {
	w.calls[i].scheduled++
	w.queue.schedule(at, what, i, 0, 0)
}

// startCall makes a call: on an idle connection, or on a new one.
func (w *Simulation) startCall(i int32) {
	c := &w.calls[i]
	s := w.nodes[c.node]
	p := &w.destinations.Endpoints[c.ep]
	delay := int64(w.scenario.Fleet.NetworkDelay)
	if s.takeIdleConnection(c.ep, c.localEp) {
		c.connected, c.epoch = true, p.Epoch
		w.scheduleCall(w.now+delay, simCallReached, i)
		return
	}
	w.Stats.Connections++
	switch w.destinations.Connect(w.now, c.ep) {
	case partner.Connected:
		c.connected, c.epoch = true, p.Epoch
		w.scheduleCall(w.now+3*delay+int64(w.scenario.DestinationKinds[p.Kind].Handshake), simCallReached, i)
	case partner.NotConnected:
		w.destinations.Coming(c.ep, -1)
		c.result = partner.Fate{How: delivery.ConnectFailed}
		w.scheduleCall(w.now+2*delay, simResponse, i)
	case partner.NoSign:
		w.destinations.Coming(c.ep, -1)
		c.result = partner.Fate{How: delivery.ConnectFailed}
		w.scheduleCall(w.now+connectTimeout, simResponse, i)
	}
}

// callReached is a call's last byte at its endpoint.
func (w *Simulation) callReached(i int32) {
	c := &w.calls[i]
	c.scheduled--
	w.destinations.Coming(c.ep, -1)
	if c.closed { // it was called off on the way; closed before its last byte came, it did not run
		w.freeCall(i)
		return
	}
	if c.epoch != w.destinations.Endpoints[c.ep].Epoch { // its process died meanwhile
		c.result, c.reached = partner.Fate{How: delivery.Reset}, true
		w.scheduleCall(w.now+int64(w.scenario.Fleet.NetworkDelay), simResponse, i)
		return
	}
	c.reached = true
	work := int64(0)
	for _, o := range c.sends {
		work = max(work, w.events[o.evt].work)
	}
	c.reachedAt = w.now
	work += work / 4 * int64(len(c.sends)-1) // several in one call take less than each alone
	falls := len(w.destinations.Falls)
	fate := w.destinations.Arrive(
		w.now,
		c.ep,
		w.nodes[c.node].sawOutage(w.destinations.LaneOf(c.ep)),
		work,
		len(c.sends),
	)
	c = &w.calls[i]
	c.result, c.takesEffect = fate, fate.Ran
	if len(w.destinations.Falls) > falls {
		c.takesEffect = false
		w.destinationOverloaded(w.destinations.Falls[len(w.destinations.Falls)-1])
		return
	}
	switch {
	case !c.result.Answers(): // until its node gives it up
	case c.result.Ran || c.result.Done > w.now:
		for n := range c.sends {
			c.sends[n].duplicate = c.result.Ran && w.checker.RecordCallReceived(w.now, c.sends[n].evt)
		}
		w.scheduleCall(c.result.Done, simCallDone, i)
	default:
		w.scheduleCall(w.now+int64(w.scenario.Fleet.NetworkDelay), simResponse, i)
	}
}

// destinationOverloaded tells the ledger that a destination was pushed over, and breaks the connections there.
func (w *Simulation) destinationOverloaded(f partner.Fall) {
	w.checker.RecordOverload(w.now, f.Dest, f.Offered, f.Informed, f.Allowed)
	w.traceEntry("fell", -1, f.Dest, int64(f.Offered))
	w.resetCalls(func(c *call) bool { return w.destinations.LaneOf(c.ep) == f.Lane })
}

// resetCalls breaks the connections of calls that are out.
func (w *Simulation) resetCalls(which func(*call) bool) {
	for i := range w.calls {
		c := &w.calls[i]
		if c.inUse && !c.closed && c.connected && which(c) {
			c.result = partner.Fate{How: delivery.Reset}
			c.reached = true
			c.epoch = ^uint32(0)
			w.scheduleCall(w.now+int64(w.scenario.Fleet.NetworkDelay), simResponse, int32(i))
		}
	}
}

// callDone is an endpoint that is done with a call: it takes effect, and its answer leaves.
func (w *Simulation) callDone(i int32) {
	c := &w.calls[i]
	c.scheduled--
	runs, leaves := w.destinations.Finish(c.ep, c.epoch)
	if c.takesEffect {
		for _, o := range c.sends {
			w.checker.RecordCallDone(w.now, c.reachedAt, o.evt, runs, o.duplicate)
			w.traceEntry("run", c.node, o.evt, int64(o.number))
		}
	}
	if leaves && !c.closed && runs {
		w.scheduleCall(w.now+c.result.After+int64(w.scenario.Fleet.NetworkDelay), simResponse, i)
		return
	}
	w.freeCall(i)
}

// handleResponse is an handleResponse, or the end of a connection, at a node.
func (w *Simulation) handleResponse(i int32) {
	c := &w.calls[i]
	c.scheduled--
	s := w.nodes[c.node]
	if c.closed || s.incarnation != c.nodeIncarnation || s.phase == dead {
		c.closed = true
		w.freeCall(i)
		return
	}
	if s.frozenUntil > w.now {
		w.scheduleCall(s.frozenUntil, simResponse, i)
		return
	}
	c.closed = true
	f := &c.result
	lane := w.destinations.LaneOf(c.ep)
	s.recordFailure(lane, c.startedAt, f.How)
	if f.How == delivery.Refused && f.Wait > 0 {
		w.checker.RecordRetryAfter(w.now, c.node, lane, f.Wait)
	}
	if c.connected && (f.How == delivery.Acked || f.How == delivery.Errored || f.How == delivery.Refused) &&
		c.epoch == w.destinations.Endpoints[c.ep].Epoch {
		s.idleConnections[c.localEp] = append(s.idleConnections[c.localEp], idleConnection{w.now, c.epoch})
	} else {
		w.closeConnection(c)
	}
	for n := range c.sends {
		o := &c.sends[n]
		if e := &w.events[o.evt]; e.incarnation != o.incarnation {
			continue
		} else if o.abandoned {
			if f.How == delivery.Acked && e.end == checker.Open {
				s.endEvent(o.evt, checker.Acked, 0)
				s.enqueue(input{kind: inputWithdrawn, evt: o.evt})
			}
			continue
		}
		w.reportOutcome(s, c, o, f.How, f.Wait, f.Left, f.Limit)
	}
	w.freeCall(i)
}

// reportOutcome tells a node's module how one send ended.
func (w *Simulation) reportOutcome(s *simNode, c *call, o *callSend, how delivery.Outcome, wait int64, left, limit float64) {
	e := &w.events[o.evt]
	e.inFlight--
	e.call = -1
	w.checker.RecordOutcome(w.now, o.evt, int(o.number), how)
	w.traceEntry("hear", s.index, o.evt, int64(how))
	if how == delivery.Acked { // the journal has it before the module hears
		s.endEvent(o.evt, checker.Acked, 0)
	}
	if s.phase >= closing { // nothing is decided any more
		return
	}
	s.enqueue(
		input{
			kind:       inputOutcome,
			outcome:    how,
			ended:      how == delivery.Acked,
			evt:        o.evt,
			send:       o.number,
			ep:         c.localEp,
			retryAfter: wait,
			latency:    w.now - c.startedAt,
			limitLeft:  left,
			limit:      limit,
		},
	)
}

// handleSendTimeout is the end of the time that a node waits for a send.
func (w *Simulation) handleSendTimeout(evt, number int32, life int64) {
	e := &w.events[evt]
	if e.incarnation != life || e.inFlight == 0 || e.currentSend != number {
		return
	}
	s := w.nodes[e.node]
	if s.frozenUntil > w.now {
		w.queue.schedule(s.frozenUntil, simSendTimeout, evt, number, life)
		return
	}
	w.abandonSend(evt, number, delivery.TimedOut)
}

// abandonSend stops waiting for a send. What did not reach its endpoint by then never ran.
func (w *Simulation) abandonSend(evt, number int32, how delivery.Outcome) {
	e := &w.events[evt]
	if e.call < 0 {
		return
	}
	i := e.call
	c := &w.calls[i]
	s := w.nodes[e.node]
	for n := range c.sends {
		o := &c.sends[n]
		if o.evt != evt || o.number != number || o.abandoned || c.closed {
			continue
		}
		o.abandoned = true
		if c.activeSends--; c.activeSends == 0 {
			c.closed = true
			w.closeConnection(c)
		} else if !c.reached {
			o.abandoned = false // it cannot be taken out of a call that is under way
			c.activeSends++
			return
		}
		if !c.reached {
			if how == delivery.TimedOut {
				how = delivery.ConnectFailed
			} else {
				how = delivery.Unsent
			}
		}
		s.recordFailure(w.destinations.LaneOf(c.ep), c.startedAt, how)
		w.reportOutcome(s, c, o, how, 0, 0, 0)
		w.freeCall(i)
		return
	}
}

func (w *Simulation) closeConnection(c *call) {
	if c.connected {
		c.connected = false
		w.destinations.Close(c.ep, c.epoch)
	}
}

func (w *Simulation) closeConnections(ep int32, list []idleConnection) {
	for _, l := range list {
		w.destinations.Close(ep, l.epoch)
	}
}
