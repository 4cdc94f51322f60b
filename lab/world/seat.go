package world

import (
	"jaspersill/delivery"
	"jaspersill/door"
	"jaspersill/lab/ledger"
)

// phase is where a seat's node stands.
type phase uint8

const (
	serving  phase = iota
	draining       // asked to stop: nobody new comes, what it has goes on
	closing        // nothing more is decided; answers are still heard
	dead
)

// seat is one delivery node: what it carries out, round its decision module. It does what package node does
// on sockets, in virtual time.
type seat struct {
	world  *World
	me     int32
	life   int64 // grows with each start: what belongs to a former one is passed over
	module delivery.Scheduler
	phase  phase
	frozen int64 // until when it stands still; 0 where it does not

	news    []piece
	spare   []piece
	last    int64 // of its last round
	planned int64 // its next round, 0 for none
	wakeAt  int64

	evts  []int32 // events by its own index
	free  []int32
	gone  []int32 // whose index is free after this round
	held  int
	eps   door.Table[int32]
	idle  [][]link // idle connections by its own endpoint index, the one used last at the end
	seen  []int64  // by lane: the beginning of the last outage that it saw
	open  []int32  // calls opened in this round
	fresh []int32  // events handed in in this round

	watching bool
	asking   bool
	rounds   int64
}

// link is an idle connection.
type link struct {
	used  int64
	epoch uint32
}

// news is a kind of piece.
type news uint8

const (
	newEvent news = iota
	newResumed
	newOutcome
	newWithdrawn
	newList // a whole list
	newChange
	newListFailed
	newPeerGood
)

// piece is one piece of news for the module's next round.
type piece struct {
	what        news
	how         delivery.Outcome
	ended       bool
	evt, send   int32
	ep          int32 // its own index
	peer        int32
	at          int64 // resumed: when the first send went out that may have run
	wait, took  int64
	left, limit float64
}

const keepIdle = 0.9 // part of the time after which endpoints close idle connections that a node keeps them

// Deliver implements port.Feed.
func (s *seat) Deliver(to delivery.Handler) {
	w := s.world
	if s.wakeAt > 0 && w.now >= s.wakeAt {
		s.wakeAt = 0
		to.Woken()
	}
	s.news, s.spare = s.spare[:0], s.news
	for i := range s.spare {
		p := &s.spare[i]
		switch p.what {
		case newEvent:
			e := &w.events[p.evt]
			e.index = s.take(p.evt)
			s.fresh = append(s.fresh, p.evt)
			to.Event(e.index, int(e.typ), int(e.owner), e.key, e.deadline-w.now, 0, e.dest)
		case newResumed:
			e := &w.events[p.evt]
			to.Resumed(e.index, int(p.send), p.ended, w.now-p.at, 0)
		case newOutcome:
			e := &w.events[p.evt]
			if e.current == p.send {
				e.current = -1
			}
			to.Outcome(e.index, int(p.send), p.ep, p.how, p.wait, p.took, p.ended, p.left, p.limit)
			s.settle(p.evt)
		case newWithdrawn:
			to.Withdrawn(w.events[p.evt].index)
		case newList:
			to.ListStarted(true)
			for ep, state := range w.listed {
				if state != delivery.Gone {
					s.list(to, int32(ep), state)
				}
			}
			to.ListEnded()
		case newChange:
			to.ListStarted(false)
			for _, c := range w.changes[p.evt:p.send] {
				s.list(to, c.ep, c.state)
			}
			to.ListEnded()
		case newListFailed:
			to.ListFailed()
		case newPeerGood:
			if ep, listed := s.eps.Find(p.ep); listed {
				to.PeerReportedHealthy(int(p.peer), ep)
			}
		}
	}
}

// list tells the module of one endpoint as the directory has it.
func (s *seat) list(to delivery.Handler, ep int32, state delivery.EndpointState) {
	e := &s.world.partners.Endpoints[ep]
	own, _ := s.eps.Take(ep)
	for int(own) >= len(s.idle) {
		s.idle = append(s.idle, nil)
	}
	rate := 0.0
	if p := &s.world.day.Partners[e.Kind]; p.Rated {
		rate = p.Limit
	}
	to.EndpointListed(own, e.Dest, int(e.Kind), 0, state, rate)
}

// take gives out an index for an event.
func (s *seat) take(evt int32) int32 {
	if last := len(s.free) - 1; last >= 0 {
		i := s.free[last]
		s.free = s.free[:last]
		s.evts[i] = evt
		return i
	}
	s.evts = append(s.evts, evt)
	return int32(len(s.evts) - 1)
}

// hear takes a piece of news and plans a round for it.
func (s *seat) hear(p piece) {
	s.news = append(s.news, p)
	s.plan(s.world.now)
}

// plan asks for a round no earlier than a tick after the last one.
func (s *seat) plan(at int64) {
	at = max(at, s.last+int64(s.world.day.Fleet.Tick), s.frozen)
	if s.phase >= closing || (s.planned > 0 && s.planned <= at) {
		return
	}
	s.planned = at
	s.world.queue.plan(at, rounds, s.me, 0, s.life)
}

// round calls the module.
func (s *seat) round() {
	w := s.world
	s.planned, s.last = 0, w.now
	s.rounds++
	s.module.Round(w.now, s, s)
	for _, evt := range s.fresh {
		if e := &w.events[evt]; e.end == ledger.Open {
			e.held = true
		}
	}
	for _, c := range s.open {
		w.carry(c)
	}
	for _, evt := range s.gone {
		e := &w.events[evt]
		s.free = append(s.free, e.index)
		w.leave(evt)
	}
	s.fresh, s.open, s.gone = s.fresh[:0], s.open[:0], s.gone[:0]
	switch {
	case len(s.news) > 0:
		s.plan(w.now)
	case s.wakeAt > 0:
		s.plan(s.wakeAt)
	}
}

// over ends an event once.
func (s *seat) over(evt int32, end ledger.End, comeBack int64) {
	w := s.world
	e := &w.events[evt]
	if e.end != ledger.Open {
		return
	}
	e.end = end
	s.held--
	w.ledger.Finish(w.now, evt, end)
	w.note("end", s.me, evt, int64(end))
	switch end {
	case ledger.Acked:
		w.ledger.Owner(w.now, evt, int(e.owner))
		w.came(w.askingOf(evt), end)
	case ledger.Declined:
		w.declined(evt, comeBack)
	case ledger.Discarded:
		w.came(w.askingOf(evt), end)
	}
	s.settle(evt)
}

// settle lets an event go that is over and has nothing out.
func (s *seat) settle(evt int32) {
	if e := &s.world.events[evt]; e.end != ledger.Open && e.out == 0 && !e.leaving {
		e.leaving = true
		s.gone = append(s.gone, evt)
	}
}

// Send implements port.Writer, as do the methods below.
func (s *seat) Send(index, own int32, timeout int64) {
	w := s.world
	evt, ep := s.evts[index], s.eps.ID(own)
	e := &w.events[evt]
	number := e.sends
	e.sends++
	e.out++
	e.current = number
	e.refs++
	w.ledger.Begin(w.now, evt, ep, w.partners.LaneOf(ep))
	w.note("send", s.me, evt, int64(ep))
	most := w.day.Partners[w.partners.Endpoints[ep].Kind].PerCall
	c := int32(-1)
	for _, open := range s.open {
		if x := &w.calls[open]; x.ep == ep && len(x.sends) < most {
			c = open
		}
	}
	if c < 0 {
		c = w.newCall(s, ep, own)
		s.open = append(s.open, c)
	}
	x := &w.calls[c]
	x.sends = append(x.sends, out{evt: evt, life: e.life, number: number})
	x.left++
	e.call = c
	w.queue.planFar(w.now+max(timeout, 1), expires, evt, number, e.life)
}

func (s *seat) Decline(index int32, comeBack int64) { s.over(s.evts[index], ledger.Declined, comeBack) }
func (s *seat) Discard(index int32)                 { s.over(s.evts[index], ledger.Discarded, 0) }

func (s *seat) Cancel(index int32, number int) {
	evt := s.evts[index]
	if e := &s.world.events[evt]; e.current == int32(number) && e.out > 0 {
		s.world.giveUp(evt, int32(number), delivery.Cancelled)
	}
}

// CancelUnsent does nothing: in virtual time a send leaves as soon as it is chosen.
func (s *seat) CancelUnsent(int32, int) {}

func (s *seat) Wake(after int64) {
	s.wakeAt = s.world.now + max(after, 1)
}

func (s *seat) Watch(on bool) {
	if s.watching = s.watching && on; on && !s.asking {
		s.asking = true
		s.world.queue.plan(s.world.now+2*int64(s.world.day.Fleet.Delay)+1, watches, s.me, 0, s.life)
	}
}

func (s *seat) Probe(int32) {}

func (s *seat) CloseIdle(own int32) {
	s.world.closeLinks(s.eps.ID(own), s.idle[own])
	s.idle[own] = s.idle[own][:0]
}

func (s *seat) Forget(own int32) {
	s.CloseIdle(own)
	s.eps.Release(own)
}

func (s *seat) AnnounceHealthy(own int32) { s.world.tell(s.me, s.eps.ID(own)) }

func (s *seat) Log(text string, own int32) { s.world.note(text, s.me, s.eps.ID(own), 0) }

// connection takes an idle one that its endpoint has not closed by now.
func (s *seat) connection(ep, own int32) bool {
	w := s.world
	p := &w.partners.Endpoints[ep]
	keep := int64(keepIdle * float64(w.day.Partners[p.Kind].IdleFor))
	for n := len(s.idle[own]); n > 0; n = len(s.idle[own]) {
		l := s.idle[own][n-1]
		s.idle[own] = s.idle[own][:n-1]
		if l.epoch != p.Epoch { // it was closed when the process died
			continue
		}
		if w.now-l.used < keep {
			return true
		}
		w.partners.Close(ep, l.epoch)
	}
	return false
}

// informed tells whether the node saw a call fail, or be refused, at a lane during its last outage.
func (s *seat) informed(lane int32) bool {
	from, _ := s.world.partners.Outage(lane)
	return int(lane) < len(s.seen) && from > 0 && s.seen[lane] == from
}

// saw notes that a node saw a call fail while the lane was out. One that ends later, as by a time-out, tells
// its node only then: it could not have known before.
func (s *seat) saw(lane int32, began int64, how delivery.Outcome) {
	from, to := s.world.partners.Outage(lane)
	if how == delivery.Acked || how == delivery.Unsent || from == 0 || began >= to || s.world.now < from ||
		s.world.now >= to {
		return
	}
	for int(lane) >= len(s.seen) {
		s.seen = append(s.seen, 0)
	}
	s.seen[lane] = from
}
