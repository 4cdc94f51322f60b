package node

import (
	"slices"
	"sync"
	"time"

	"jaspersill/delivery"
	"jaspersill/door"
	"jaspersill/logs"
)

// decisionLoop is the only owner of the module: one goroutine gathers news, calls Round and hands the decisions to
// those who wait for them. Its indices and the events behind them belong to that goroutine.
type decisionLoop struct {
	clock         clock
	module        delivery.Scheduler
	minInterval   int64 // least time between rounds
	eventsPerCall []int // events in one call, by partner
	endpoints     *endpointPool
	directory     *directory
	peers         *peerMessenger

	mu           sync.Mutex
	pendingInput []func(delivery.Handler) // what came in since the last round
	inputReady   chan struct{}
	stop         chan struct{}
	done         chan struct{}

	eventIndex    door.Table[*event]
	activeSends   []*attempt // the send that is out, by event
	destIndex     door.Table[uint32]
	endpointIndex door.Table[string]
	partnerOf     []int   // by endpoint
	forgotten     []int32 // endpoints that the module forgot and calls may still know

	wakeAt    int64 // 0 for not asked for
	newEvents []int32
	ended     []bool  // by event: decided in this round or before
	removed   []int32 // events whose index is free after this round
	newCalls  []*call // opened in this round
}

func newDecisionLoop(c clock, module delivery.Scheduler, tick int64, perCall []int) *decisionLoop {
	return &decisionLoop{clock: c, module: module, minInterval: max(tick, 1), eventsPerCall: perCall, inputReady: make(chan struct{}, 1),
		stop: make(chan struct{}), done: make(chan struct{})}
}

// enqueue takes a piece of news, which is handed to the module in the next round.
func (d *decisionLoop) enqueue(news func(delivery.Handler)) {
	d.mu.Lock()
	d.pendingInput = append(d.pendingInput, news)
	d.mu.Unlock()
	select {
	case d.inputReady <- struct{}{}:
	default:
	}
}

// run calls the module until close: when there is news, but a tick apart, and when it asked to be woken.
func (d *decisionLoop) run() {
	defer close(d.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	last := int64(-1 << 62)
	for {
		select {
		case <-d.stop:
			return
		case <-d.inputReady:
		case <-timer.C:
		}
		now := d.clock.now()
		if early := last + d.minInterval - now; early > 0 {
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
func (d *decisionLoop) close() {
	close(d.stop)
	<-d.done
}

func (d *decisionLoop) round(now int64) {
	d.module.Round(now, d, d)
	for _, e := range d.newEvents {
		if !d.ended[e] {
			d.eventIndex.ID(e).updates <- eventUpdate{kind: updateKept}
		}
	}
	for _, c := range d.newCalls {
		for _, s := range c.attempts {
			s.event.updates <- eventUpdate{kind: updateSendStarted, send: s}
		}
		d.endpoints.callStarted(c.endpoint)
		go d.endpoints.execute(c)
	}
	d.forgotten = slices.DeleteFunc(d.forgotten, func(ep int32) bool {
		free := d.endpoints.release(ep)
		if free {
			d.endpointIndex.Release(ep)
		}
		return free
	})
	for _, e := range d.removed {
		d.activeSends[e] = nil
		d.eventIndex.Release(e)
	}
	d.newEvents, d.newCalls, d.removed = d.newEvents[:0], d.newCalls[:0], d.removed[:0]
}

// Deliver implements port.Feed.
func (d *decisionLoop) Deliver(to delivery.Handler) {
	d.mu.Lock()
	news := d.pendingInput
	d.pendingInput = nil
	d.mu.Unlock()
	if d.wakeAt > 0 && d.clock.now() >= d.wakeAt {
		d.wakeAt = 0
		to.Woken()
	}
	for _, n := range news {
		n(to)
	}
}

// addEvent hands an event in. One that was out before a restart comes with its sends so far.
func (d *decisionLoop) addEvent(e *event) {
	d.enqueue(func(to delivery.Handler) {
		if e.index, _ = d.eventIndex.Take(e); int(e.index) == len(d.ended) {
			d.activeSends, d.ended = append(d.activeSends, nil), append(d.ended, false)
		}
		d.ended[e.index] = false
		d.newEvents = append(d.newEvents, e.index)
		dest, _ := d.destIndex.Take(e.dest)
		to.Event(e.index, e.typ, e.customer, 0, e.monoDeadline-d.clock.now(), 0, dest)
		if len(e.pastSends) > 0 {
			d.reportPastSends(e, to)
		}
	})
}

// reportPastSends tells of the sends before a restart. Danger: one that was out when the process ended may have run.
func (d *decisionLoop) reportPastSends(e *event, to delivery.Handler) {
	ranAgo, zone, mayRun := int64(0), 0, false
	for _, s := range e.pastSends {
		if !mayRun && s.MayHaveRun() {
			mayRun, ranAgo, zone = true, max(0, d.clock.timeOfDay()-s.StartedAt), d.directory.zoneIndex(s.Zone)
		}
	}
	to.Resumed(e.index, len(e.pastSends), mayRun, ranAgo, zone)
}

// reportOutcome hands in how a send ended.
func (d *decisionLoop) reportOutcome(e *event, s *attempt, r result) {
	over := r.outcome == delivery.Acked || r.final
	d.enqueue(func(to delivery.Handler) {
		d.activeSends[e.index] = nil
		d.ended[e.index] = d.ended[e.index] || over
		if r.confirmation != nil && !over {
			to.Unconfirmed(e.index, s.number)
		}
		to.Outcome(e.index, s.number, s.endpoint, r.outcome, r.retryAfter, r.duration, over, r.rateFree, r.rateLimit)
	})
}

// reportConfirmed tells that the answer to a send, which might have been another call's, was its own.
func (d *decisionLoop) reportConfirmed(e *event, s *attempt) {
	d.enqueue(func(to delivery.Handler) { to.Confirmed(e.index, s.number) })
}

// fullRetryAfter asks when one may come back that there is no room for; nothing is told once the desk is closed.
func (d *decisionLoop) fullRetryAfter() int64 {
	reply := make(chan int64, 1)
	d.enqueue(func(delivery.Handler) { reply <- d.module.RetryAfter() })
	select {
	case comeBack := <-reply:
		return comeBack
	case <-d.done:
		return 0
	}
}

// registerEndpoint gives out an endpoint's index; fresh tells that nothing is known of it. Danger: one that is registerEndpoint
// again just after it was forgotten must keep the index.
func (d *decisionLoop) registerEndpoint(host string, partner int) (ep int32, fresh bool) {
	ep, fresh = d.endpointIndex.Take(host)
	if int(ep) == len(d.partnerOf) {
		d.partnerOf = append(d.partnerOf, 0)
	}
	d.partnerOf[ep] = partner
	d.forgotten = slices.DeleteFunc(d.forgotten, func(left int32) bool { return left == ep })
	return ep, fresh
}

// removeEvent frees the event's index.
func (d *decisionLoop) removeEvent(e *event) {
	d.enqueue(func(delivery.Handler) { d.removed = append(d.removed, e.index) })
}

// Send implements port.Writer, as do the methods below. Sends of a round to one endpoint share a call, while
// their bodies fit into one.
func (d *decisionLoop) Send(evt, ep int32, timeout int64) {
	e := d.eventIndex.ID(evt)
	s := &attempt{event: e, number: e.sendCount, endpoint: ep, timeout: timeout, startedAt: d.clock.now()}
	e.sendCount++
	d.activeSends[evt] = s
	most := d.eventsPerCall[min(d.partnerOf[ep], len(d.eventsPerCall)-1)]
	for _, c := range d.newCalls {
		if c.endpoint == ep && len(c.attempts) < most && c.bodySize+bulkSize(e) <= maxBodyBytes {
			s.call, c.attempts, c.bodySize = c, append(c.attempts, s), c.bodySize+bulkSize(e)
			return
		}
	}
	s.call = &call{pool: d.endpoints, endpoint: ep, attempts: []*attempt{s}, bodySize: bulkSize(e)}
	d.newCalls = append(d.newCalls, s.call)
}

func (d *decisionLoop) Decline(evt int32, comeBack int64) {
	d.endEvent(evt, eventUpdate{kind: updateDecline, retryAfter: comeBack})
}

func (d *decisionLoop) Discard(evt int32) { d.endEvent(evt, eventUpdate{kind: updateDiscard}) }

func (d *decisionLoop) endEvent(evt int32, s eventUpdate) {
	if !d.ended[evt] {
		d.ended[evt] = true
		d.eventIndex.ID(evt).updates <- s
	}
}

func (d *decisionLoop) Cancel(evt int32, number int) {
	if s := d.activeSends[evt]; s != nil && s.number == number {
		s.call.abandon(delivery.Cancelled)
	}
}

func (d *decisionLoop) CancelUnsent(evt int32, number int) {
	if s := d.activeSends[evt]; s != nil && s.number == number {
		s.call.recall(s)
	}
}

func (d *decisionLoop) Wake(after int64)         { d.wakeAt = d.clock.now() + max(after, 1) }
func (d *decisionLoop) Watch(on bool)            { d.directory.setWatching(on) }
func (d *decisionLoop) CloseIdle(ep int32)       { d.endpoints.closeIdle(ep) }
func (d *decisionLoop) Forget(ep int32)          { d.forgotten = append(d.forgotten, ep) }
func (d *decisionLoop) AnnounceHealthy(ep int32) { d.peers.sendGood(d.endpointIndex.ID(ep)) }

// Probe is never asked for: the module sends none, and the protocol has no call for it.
func (d *decisionLoop) Probe(ep int32) {
	logs.Part("node").WithField("endpoint", d.endpointIndex.ID(ep)).Warn("a probe was asked for: the protocol has none")
}

func (d *decisionLoop) Log(text string, ep int32) {
	logs.Part("endpoints").WithField("endpoint", d.endpointIndex.ID(ep)).Info(text)
}
