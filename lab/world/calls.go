package world

import (
	"jaspersill/delivery"
	"jaspersill/lab/ledger"
	"jaspersill/lab/partner"
)

// newCall opens a call of a node to an endpoint.
func (w *World) newCall(s *seat, ep, own int32) int32 {
	var i int32
	if last := len(w.idle) - 1; last >= 0 {
		i, w.idle = w.idle[last], w.idle[:last]
	} else {
		i = int32(len(w.calls))
		w.calls = append(w.calls, call{})
	}
	c := &w.calls[i]
	*c = call{node: s.me, nodeLife: s.life, ep: ep, own: own, sends: c.sends[:0], began: w.now, used: true}
	w.Stats.Calls++
	w.partners.Coming(ep, 1)
	return i
}

// free gives a call's number back once it is over and nothing that is planned knows it.
func (w *World) free(i int32) {
	if c := &w.calls[i]; c.used && c.over && c.pending == 0 {
		c.used = false
		w.idle = append(w.idle, i)
		for _, o := range c.sends {
			w.events[o.evt].refs--
			w.release(o.evt)
		}
	}
}

func (w *World) planCall(at int64, what what, i int32) {
	w.calls[i].pending++
	w.queue.plan(at, what, i, 0, 0)
}

// carry makes a call: on an idle connection, or on a new one.
func (w *World) carry(i int32) {
	c := &w.calls[i]
	s := w.seats[c.node]
	p := &w.partners.Endpoints[c.ep]
	delay := int64(w.day.Fleet.Delay)
	if s.connection(c.ep, c.own) {
		c.linked, c.epoch = true, p.Epoch
		w.planCall(w.now+delay, reaches, i)
		return
	}
	w.Stats.Links++
	switch w.partners.Connect(w.now, c.ep) {
	case partner.Connected:
		c.linked, c.epoch = true, p.Epoch
		w.planCall(w.now+3*delay+int64(w.day.Partners[p.Kind].Handshake), reaches, i)
	case partner.NotConnected:
		w.partners.Coming(c.ep, -1)
		c.fate = partner.Fate{How: delivery.ConnectFailed}
		w.planCall(w.now+2*delay, answers, i)
	case partner.NoSign:
		w.partners.Coming(c.ep, -1)
		c.fate = partner.Fate{How: delivery.ConnectFailed}
		w.planCall(w.now+connectMost, answers, i)
	}
}

// reach is a call's last byte at its endpoint.
func (w *World) reach(i int32) {
	c := &w.calls[i]
	c.pending--
	w.partners.Coming(c.ep, -1)
	if c.over { // it was called off on the way; closed before its last byte came, it did not run
		w.free(i)
		return
	}
	if c.epoch != w.partners.Endpoints[c.ep].Epoch { // its process died meanwhile
		c.fate, c.reached = partner.Fate{How: delivery.Reset}, true
		w.planCall(w.now+int64(w.day.Fleet.Delay), answers, i)
		return
	}
	c.reached = true
	work := int64(0)
	for _, o := range c.sends {
		work = max(work, w.events[o.evt].work)
	}
	c.came = w.now
	work += work / 4 * int64(len(c.sends)-1) // several in one call take less than each alone
	falls := len(w.partners.Falls)
	fate := w.partners.Arrive(
		w.now,
		c.ep,
		w.seats[c.node].informed(w.partners.LaneOf(c.ep)),
		work,
		len(c.sends),
	)
	c = &w.calls[i]
	c.fate, c.ran = fate, fate.Ran
	if len(w.partners.Falls) > falls {
		c.ran = false
		w.fell(w.partners.Falls[len(w.partners.Falls)-1])
		return
	}
	switch {
	case !c.fate.Answers(): // until its node gives it up
	case c.fate.Ran || c.fate.Done > w.now:
		for n := range c.sends {
			c.sends[n].known = c.fate.Ran && w.ledger.Reach(w.now, c.sends[n].evt)
		}
		w.planCall(c.fate.Done, done, i)
	default:
		w.planCall(w.now+int64(w.day.Fleet.Delay), answers, i)
	}
}

// fell tells the ledger that a destination was pushed over, and breaks the connections there.
func (w *World) fell(f partner.Fall) {
	w.ledger.Fell(w.now, f.Dest, f.Offered, f.Informed, f.Allowed)
	w.note("fell", -1, f.Dest, int64(f.Offered))
	w.reset(func(c *call) bool { return w.partners.LaneOf(c.ep) == f.Lane })
}

// reset breaks the connections of calls that are out.
func (w *World) reset(which func(*call) bool) {
	for i := range w.calls {
		c := &w.calls[i]
		if c.used && !c.over && c.linked && which(c) {
			c.fate = partner.Fate{How: delivery.Reset}
			c.reached = true
			c.epoch = ^uint32(0)
			w.planCall(w.now+int64(w.day.Fleet.Delay), answers, int32(i))
		}
	}
}

// finish is an endpoint that is done with a call: it takes effect, and its answer leaves.
func (w *World) finish(i int32) {
	c := &w.calls[i]
	c.pending--
	runs, leaves := w.partners.Finish(c.ep, c.epoch)
	if c.ran {
		for _, o := range c.sends {
			w.ledger.Run(w.now, c.came, o.evt, runs, o.known)
			w.note("run", c.node, o.evt, int64(o.number))
		}
	}
	if leaves && !c.over && runs {
		w.planCall(w.now+c.fate.After+int64(w.day.Fleet.Delay), answers, i)
		return
	}
	w.free(i)
}

// answer is an answer, or the end of a connection, at a node.
func (w *World) answer(i int32) {
	c := &w.calls[i]
	c.pending--
	s := w.seats[c.node]
	if c.over || s.life != c.nodeLife || s.phase == dead {
		c.over = true
		w.free(i)
		return
	}
	if s.frozen > w.now {
		w.planCall(s.frozen, answers, i)
		return
	}
	c.over = true
	f := &c.fate
	lane := w.partners.LaneOf(c.ep)
	s.saw(lane, c.began, f.How)
	if f.How == delivery.Refused && f.Wait > 0 {
		w.ledger.Wait(w.now, c.node, lane, f.Wait)
	}
	if c.linked && (f.How == delivery.Acked || f.How == delivery.Errored || f.How == delivery.Refused) &&
		c.epoch == w.partners.Endpoints[c.ep].Epoch {
		s.idle[c.own] = append(s.idle[c.own], link{w.now, c.epoch})
	} else {
		w.unlink(c)
	}
	for n := range c.sends {
		o := &c.sends[n]
		if e := &w.events[o.evt]; e.life != o.life {
			continue
		} else if o.gaveUp {
			if f.How == delivery.Acked && e.end == ledger.Open {
				s.over(o.evt, ledger.Acked, 0)
				s.hear(piece{what: newWithdrawn, evt: o.evt})
			}
			continue
		}
		w.outcome(s, c, o, f.How, f.Wait, f.Left, f.Limit)
	}
	w.free(i)
}

// outcome tells a node's module how one send ended.
func (w *World) outcome(s *seat, c *call, o *out, how delivery.Outcome, wait int64, left, limit float64) {
	e := &w.events[o.evt]
	e.out--
	e.call = -1
	w.ledger.Hear(w.now, o.evt, int(o.number), how)
	w.note("hear", s.me, o.evt, int64(how))
	if how == delivery.Acked { // the journal has it before the module hears
		s.over(o.evt, ledger.Acked, 0)
	}
	if s.phase >= closing { // nothing is decided any more
		return
	}
	s.hear(
		piece{
			what:  newOutcome,
			how:   how,
			ended: how == delivery.Acked,
			evt:   o.evt,
			send:  o.number,
			ep:    c.own,
			wait:  wait,
			took:  w.now - c.began,
			left:  left,
			limit: limit,
		},
	)
}

// expire is the end of the time that a node waits for a send.
func (w *World) expire(evt, number int32, life int64) {
	e := &w.events[evt]
	if e.life != life || e.out == 0 || e.current != number {
		return
	}
	s := w.seats[e.node]
	if s.frozen > w.now {
		w.queue.plan(s.frozen, expires, evt, number, life)
		return
	}
	w.giveUp(evt, number, delivery.TimedOut)
}

// giveUp stops waiting for a send. What did not reach its endpoint by then never ran.
func (w *World) giveUp(evt, number int32, how delivery.Outcome) {
	e := &w.events[evt]
	if e.call < 0 {
		return
	}
	i := e.call
	c := &w.calls[i]
	s := w.seats[e.node]
	for n := range c.sends {
		o := &c.sends[n]
		if o.evt != evt || o.number != number || o.gaveUp || c.over {
			continue
		}
		o.gaveUp = true
		if c.left--; c.left == 0 {
			c.over = true
			w.unlink(c)
		} else if !c.reached {
			o.gaveUp = false // it cannot be taken out of a call that is under way
			c.left++
			return
		}
		if !c.reached {
			if how == delivery.TimedOut {
				how = delivery.ConnectFailed
			} else {
				how = delivery.Unsent
			}
		}
		s.saw(w.partners.LaneOf(c.ep), c.began, how)
		w.outcome(s, c, o, how, 0, 0, 0)
		w.free(i)
		return
	}
}

func (w *World) unlink(c *call) {
	if c.linked {
		c.linked = false
		w.partners.Close(c.ep, c.epoch)
	}
}

func (w *World) closeLinks(ep int32, list []link) {
	for _, l := range list {
		w.partners.Close(ep, l.epoch)
	}
}
