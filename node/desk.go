package node

import (
	"slices"
	"sync"
	"time"

	"jaspersill/door"
	"jaspersill/logs"
	"jaspersill/port"
)

// desk is the only owner of the module: one goroutine gathers news, calls Round and hands the decisions to
// those who wait for them. Its indices and the events behind them belong to that goroutine.
type desk struct {
	clock     clock
	module    port.Decider
	tick      int64 // least time between rounds
	perCall   []int // events in one call, by partner
	endpoints *endpoints
	directory *directory
	peers     *peers

	mu   sync.Mutex
	news []func(port.Intake) // what came in since the last round
	bell chan struct{}
	stop chan struct{}
	done chan struct{}

	evts    door.Table[*event]
	current []*send // the send that is out, by event
	dests   door.Table[uint32]
	eps     door.Table[string]
	partner []int   // by endpoint
	left    []int32 // endpoints that the module forgot and calls may still know

	wakeAt int64 // 0 for not asked for
	fresh  []int32
	ended  []bool  // by event: decided in this round or before
	gone   []int32 // events whose index is free after this round
	calls  []*call // opened in this round
}

func newDesk(c clock, module port.Decider, tick int64, perCall []int) *desk {
	return &desk{clock: c, module: module, tick: max(tick, 1), perCall: perCall, bell: make(chan struct{}, 1),
		stop: make(chan struct{}), done: make(chan struct{})}
}

// hear takes a piece of news, which is handed to the module in the next round.
func (d *desk) hear(news func(port.Intake)) {
	d.mu.Lock()
	d.news = append(d.news, news)
	d.mu.Unlock()
	select {
	case d.bell <- struct{}{}:
	default:
	}
}

// run calls the module until close: when there is news, but a tick apart, and when it asked to be woken.
func (d *desk) run() {
	defer close(d.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	last := int64(-1 << 62)
	for {
		select {
		case <-d.stop:
			return
		case <-d.bell:
		case <-timer.C:
		}
		now := d.clock.now()
		if early := last + d.tick - now; early > 0 {
			select {
			case <-d.stop:
				return
			case <-time.After(time.Duration(early)):
			}
			now = d.clock.now()
		}
		d.round(now)
		last = now
		if d.wakeAt > 0 {
			timer.Reset(time.Duration(max(0, d.wakeAt-d.clock.now())))
		}
	}
}

// close ends the rounds: no decision is made from then on.
func (d *desk) close() {
	close(d.stop)
	<-d.done
}

func (d *desk) round(now int64) {
	d.module.Round(now, d, d)
	for _, e := range d.fresh {
		if !d.ended[e] {
			d.evts.ID(e).steps <- step{what: stepHeld}
		}
	}
	for _, c := range d.calls {
		for _, s := range c.sends {
			s.event.steps <- step{what: stepBegun, send: s}
		}
		d.endpoints.callBegins(c.endpoint)
		go d.endpoints.carry(c)
	}
	d.left = slices.DeleteFunc(d.left, func(ep int32) bool {
		free := d.endpoints.free(ep)
		if free {
			d.eps.Release(ep)
		}
		return free
	})
	for _, e := range d.gone {
		d.current[e] = nil
		d.evts.Release(e)
	}
	d.fresh, d.calls, d.gone = d.fresh[:0], d.calls[:0], d.gone[:0]
}

// Deliver implements port.Feed.
func (d *desk) Deliver(to port.Intake) {
	d.mu.Lock()
	news := d.news
	d.news = nil
	d.mu.Unlock()
	if d.wakeAt > 0 && d.clock.now() >= d.wakeAt {
		d.wakeAt = 0
		to.Woken()
	}
	for _, n := range news {
		n(to)
	}
}

// take hands an event in. One that was out before a restart comes with its sends so far.
func (d *desk) take(e *event) {
	d.hear(func(to port.Intake) {
		if e.index, _ = d.evts.Take(e); int(e.index) == len(d.ended) {
			d.current, d.ended = append(d.current, nil), append(d.ended, false)
		}
		d.ended[e.index] = false
		d.fresh = append(d.fresh, e.index)
		dest, _ := d.dests.Take(e.dest)
		to.Event(e.index, e.typ, e.customer, 0, e.due-d.clock.now(), 0, dest)
		if len(e.past) > 0 {
			d.resume(e, to)
		}
	})
}

// resume tells of the sends before a restart. Danger: one that was out when the process ended may have run.
func (d *desk) resume(e *event, to port.Intake) {
	ranAgo, zone, mayRun := int64(0), 0, false
	for _, s := range e.past {
		if !mayRun && s.MayHaveRun() {
			mayRun, ranAgo, zone = true, max(0, d.clock.day()-s.StartedAt), d.directory.zone(s.Zone)
		}
	}
	to.Resumed(e.index, len(e.past), mayRun, ranAgo, zone)
}

// tell hands in how a send ended.
func (d *desk) tell(e *event, s *send, r result) {
	over := r.how == port.Acked || r.over
	d.hear(func(to port.Intake) {
		d.current[e.index] = nil
		d.ended[e.index] = d.ended[e.index] || over
		if r.confirm != nil && !over {
			to.Unconfirmed(e.index, s.number)
		}
		to.Outcome(e.index, s.number, s.endpoint, r.how, r.wait, r.took, over, r.left, r.limit)
	})
}

// confirm tells that the answer to a send, which might have been another call's, was its own.
func (d *desk) confirm(e *event, s *send) {
	d.hear(func(to port.Intake) { to.Confirmed(e.index, s.number) })
}

// full asks when one may come back that there is no room for; nothing is told once the desk is closed.
func (d *desk) full() int64 {
	reply := make(chan int64, 1)
	d.hear(func(port.Intake) { reply <- d.module.Full() })
	select {
	case comeBack := <-reply:
		return comeBack
	case <-d.done:
		return 0
	}
}

// listed gives out an endpoint's index; fresh tells that nothing is known of it. Danger: one that is listed
// again just after it was forgotten must keep the index.
func (d *desk) listed(host string, partner int) (ep int32, fresh bool) {
	ep, fresh = d.eps.Take(host)
	if int(ep) == len(d.partner) {
		d.partner = append(d.partner, 0)
	}
	d.partner[ep] = partner
	d.left = slices.DeleteFunc(d.left, func(left int32) bool { return left == ep })
	return ep, fresh
}

// leave frees the event's index.
func (d *desk) leave(e *event) {
	d.hear(func(port.Intake) { d.gone = append(d.gone, e.index) })
}

// Send implements port.Writer, as do the methods below. Sends of a round to one endpoint share a call, while
// their bodies fit into one.
func (d *desk) Send(evt, ep int32, timeout int64) {
	e := d.evts.ID(evt)
	s := &send{event: e, number: e.sends, endpoint: ep, timeout: timeout, began: d.clock.now()}
	e.sends++
	d.current[evt] = s
	most := d.perCall[min(d.partner[ep], len(d.perCall)-1)]
	for _, c := range d.calls {
		if c.endpoint == ep && len(c.sends) < most && c.size+bulkSize(e) <= mostBody {
			s.call, c.sends, c.size = c, append(c.sends, s), c.size+bulkSize(e)
			return
		}
	}
	s.call = &call{of: d.endpoints, endpoint: ep, sends: []*send{s}, size: bulkSize(e)}
	d.calls = append(d.calls, s.call)
}

func (d *desk) Decline(evt int32, comeBack int64) {
	d.end(evt, step{what: stepDecline, comeBack: comeBack})
}

func (d *desk) Discard(evt int32) { d.end(evt, step{what: stepDiscard}) }

func (d *desk) end(evt int32, s step) {
	if !d.ended[evt] {
		d.ended[evt] = true
		d.evts.ID(evt).steps <- s
	}
}

func (d *desk) Cancel(evt int32, number int) {
	if s := d.current[evt]; s != nil && s.number == number {
		s.call.giveUp(port.Cancelled)
	}
}

func (d *desk) Recall(evt int32, number int) {
	if s := d.current[evt]; s != nil && s.number == number {
		s.call.recall(s)
	}
}

func (d *desk) Wake(after int64)   { d.wakeAt = d.clock.now() + max(after, 1) }
func (d *desk) Watch(on bool)      { d.directory.watch(on) }
func (d *desk) CloseIdle(ep int32) { d.endpoints.closeIdle(ep) }
func (d *desk) Forget(ep int32)    { d.left = append(d.left, ep) }
func (d *desk) TellGood(ep int32)  { d.peers.tellGood(d.eps.ID(ep)) }

// Probe is never asked for: the module sends none, and the protocol has no call for it.
func (d *desk) Probe(ep int32) {
	logs.Part("node").WithField("endpoint", d.eps.ID(ep)).Warn("a probe was asked for: the protocol has none")
}

func (d *desk) Log(text string, ep int32) {
	logs.Part("endpoints").WithField("endpoint", d.eps.ID(ep)).Info(text)
}
