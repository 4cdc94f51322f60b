package node

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jaspersill/admission"
	"jaspersill/delivery"
	"jaspersill/idmap"
	"jaspersill/logs"
)

// decisionLoop is the only owner of the scheduler: one goroutine collects input, calls Round, and passes the
// decisions on to the tasks that wait for them. The index tables and what they refer to belong to that goroutine.
type decisionLoop struct {
	clock       clock
	scheduler   delivery.Scheduler
	minInterval int64 // minimum time between rounds
	kinds       []delivery.DestinationKind
	endpoints   *endpointPool
	directory   *directory
	peers       *peerMessenger

	mu           sync.Mutex
	pendingInput []func(delivery.Handler) // received since the last round
	inputReady   chan struct{}
	stop         chan struct{}
	done         chan struct{}

	stopSendingOnce sync.Once
	sendingStopped  chan struct{} // closed once nothing more is sent or ended

	eventIndex     idmap.Table[*event]
	activeAttempts []*attempt // the attempt in flight, by event index; nil for none
	destIndex      idmap.Table[uint32]
	registry       endpointRegistry
	kindOf         []int   // destination kind, by endpoint index
	forgotten      []int32 // endpoints that the scheduler has removed but calls may still use

	wakeAt    int64 // 0 if the scheduler did not ask to be woken
	newEvents []int32
	ended     []bool  // by event index: the end was decided, in this round or earlier
	removed   []int32 // events whose index is released after this round
	newCalls  []*call // created in this round
}

func newDecisionLoop(c clock, scheduler delivery.Scheduler, minInterval int64, kinds []delivery.DestinationKind) *decisionLoop {
	return &decisionLoop{clock: c, scheduler: scheduler, minInterval: max(minInterval, 1),
		kinds:      append(slices.Clone(kinds), delivery.DestinationKind{MaxEventsPerCall: 1}),
		inputReady: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}), sendingStopped: make(chan struct{})}
}

// kind returns the properties of a destination kind, or those of no particular kind for an unknown number.
func (d *decisionLoop) kind(number int) delivery.DestinationKind {
	return d.kinds[min(number, len(d.kinds)-1)]
}

// enqueue queues an input, which is handed to the scheduler in the next round.
func (d *decisionLoop) enqueue(input func(delivery.Handler)) {
	d.mu.Lock()
	d.pendingInput = append(d.pendingInput, input)
	d.mu.Unlock()
	select {
	case d.inputReady <- struct{}{}:
	default:
	}
}

// run calls the scheduler until close: when there is input, but no more often than minInterval allows, and when the scheduler
// asked to be woken.
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
		if wait := last + d.minInterval - now; wait > 0 {
			select {
			case <-d.stop:
				return
			case <-time.After(time.Duration(wait)):
			}
			now = d.clock.now()
		}
		d.round(now)
		d.endpoints.admission.Heartbeat(d.clock.now())
		last = now
		if d.wakeAt > 0 {
			timer.Reset(time.Duration(max(0, d.wakeAt-d.clock.now())))
		}
	}
}

// stopSending lets the scheduler send and end nothing more, and waits until it does not. Its rounds go on: what a send that has not left
// yet was allowed by may still end.
func (d *decisionLoop) stopSending() {
	d.stopSendingOnce.Do(func() {
		d.enqueue(func(delivery.Handler) {
			d.scheduler.StopSending()
			close(d.sendingStopped)
		})
	})
	select {
	case <-d.sendingStopped:
	case <-d.done:
	}
}

// hasStoppedSending reports whether nothing more is sent or ended.
func (d *decisionLoop) hasStoppedSending() bool {
	select {
	case <-d.sendingStopped:
		return true
	default:
		return false
	}
}

// close stops the loop and waits until it has stopped.
func (d *decisionLoop) close() {
	d.stopSending()
	close(d.stop)
	<-d.done
}

// round runs one round of the scheduler and carries out its decisions.
func (d *decisionLoop) round(now int64) {
	d.scheduler.Round(now, d, d)
	for _, e := range d.newEvents {
		if !d.ended[e] {
			d.eventIndex.ID(e).updates <- eventUpdate{kind: updateKept}
		}
	}
	for _, c := range d.newCalls {
		for _, a := range c.attempts {
			a.event.updates <- eventUpdate{kind: updateAttemptStarted, attempt: a}
		}
		d.endpoints.callStarted(c.endpoint)
		go d.endpoints.execute(c)
	}
	d.forgotten = slices.DeleteFunc(d.forgotten, func(ep int32) bool {
		free := d.endpoints.release(ep)
		if free {
			d.registry.release(ep)
		}
		return free
	})
	for _, e := range d.removed {
		d.logIndex(e, "event index released")
		d.activeAttempts[e] = nil
		d.eventIndex.Release(e)
	}
	d.newEvents, d.newCalls, d.removed = d.newEvents[:0], d.newCalls[:0], d.removed[:0]
}

// Deliver implements delivery.Feed.
func (d *decisionLoop) Deliver(to delivery.Handler) {
	d.mu.Lock()
	inputs := d.pendingInput
	d.pendingInput = nil
	d.mu.Unlock()
	if d.wakeAt > 0 && d.clock.now() >= d.wakeAt {
		d.wakeAt = 0
		to.Woken()
	}
	for _, input := range inputs {
		input(to)
	}
}

// addEvent hands an event to the scheduler, together with its attempts before a restart or before it was reopened, if any.
func (d *decisionLoop) addEvent(e *event) {
	d.enqueue(func(to delivery.Handler) {
		if e.index, _ = d.eventIndex.Acquire(e); int(e.index) == len(d.ended) {
			d.activeAttempts, d.ended = append(d.activeAttempts, nil), append(d.ended, false)
		}
		d.ended[e.index] = false
		d.logIndex(e.index, "event index assigned")
		d.newEvents = append(d.newEvents, e.index)
		dest, _ := d.destIndex.Acquire(e.dest)
		to.Event(e.index, e.typ, e.customer, 0, e.monoDeadline-d.clock.now(), 0, dest)
		if len(e.pastAttempts) > 0 {
			d.reportPastAttempts(e, to)
		}
	})
}

// logIndex logs which event has an index, so that decisions about an index can be traced to their event.
func (d *decisionLoop) logIndex(index int32, message string) {
	if logs.DebugEnabled() {
		logs.Event("node", d.eventIndex.ID(index).id).WithField("index", index).Debug(message)
	}
}

// reportPastAttempts reports an event's earlier attempts. One that was in flight when the process ended may have run.
func (d *decisionLoop) reportPastAttempts(e *event, to delivery.Handler) {
	ranAgo, zone, mayRun := int64(0), 0, false
	for _, a := range e.pastAttempts {
		if !mayRun && a.MayHaveRun() {
			mayRun, ranAgo, zone = true, max(0, d.clock.timeOfDay()-a.StartedAt), d.directory.zoneIndex(a.Zone)
		}
	}
	to.Resumed(e.index, len(e.pastAttempts), mayRun, ranAgo, zone)
}

// reportOutcome reports to the scheduler how an attempt ended.
func (d *decisionLoop) reportOutcome(e *event, a *attempt, r result) {
	ended := r.ends()
	d.enqueue(func(to delivery.Handler) {
		if d.activeAttempts[e.index] == a {
			d.activeAttempts[e.index] = nil
		}
		d.ended[e.index] = d.ended[e.index] || ended
		if r.confirmation != nil && !ended {
			to.Unconfirmed(e.index, a.number)
		}
		to.Outcome(e.index, a.number, a.endpoint, r.outcome, r.retryAfter, r.duration, ended, r.freeShare, r.rateLimit)
	})
}

// reportConfirmed reports to the scheduler that an unconfirmed response to an attempt did belong to it.
func (d *decisionLoop) reportConfirmed(e *event, a *attempt) {
	d.enqueue(func(to delivery.Handler) { to.Confirmed(e.index, a.number) })
}

// reportDoubted reports to the scheduler that an unconfirmed response to an attempt will not be confirmed.
func (d *decisionLoop) reportDoubted(e *event, a *attempt) {
	d.enqueue(func(to delivery.Handler) { to.Doubted(e.index, a.number) })
}

// fullRetryAfter returns the time after which a client may retry whose event was refused for lack of space. It returns 0
// once the loop has stopped.
func (d *decisionLoop) fullRetryAfter() int64 {
	reply := make(chan int64, 1)
	d.enqueue(func(delivery.Handler) { reply <- d.scheduler.RetryAfter() })
	select {
	case retryAfter := <-reply:
		return retryAfter
	case <-d.done:
		return 0
	}
}

// applyEntry takes an entry of a list from discovery: it updates the addresses of the endpoints that the entry is about, and passes
// their states to the scheduler. An endpoint that is listed again just after the scheduler removed it must keep its index, so its
// release is cancelled.
func (d *decisionLoop) applyEntry(entry *listEntry, to delivery.Handler) {
	e, state, fresh, gone := d.registry.update(entry)
	for _, old := range gone {
		logs.Part("directory").WithFields(logrus.Fields{"endpoint": old.String(), "by": entry.String(), "address": entry.address}).
			Info("endpoint replaced")
		d.listEndpoint(old, delivery.Gone, entry.rate, to)
	}
	if e == nil {
		return
	}
	if int(e.index) == len(d.kindOf) {
		d.kindOf = append(d.kindOf, 0)
	}
	d.kindOf[e.index] = e.kind
	d.forgotten = slices.DeleteFunc(d.forgotten, func(removed int32) bool { return removed == e.index })
	if entry.address != "" || fresh {
		d.endpoints.updateEndpoint(e.index, e.String(), e.zone, e.address)
	}
	d.listEndpoint(e, state, entry.rate, to)
}

// removeUnlisted removes the endpoints that a whole list does not name.
func (d *decisionLoop) removeUnlisted(to delivery.Handler) {
	for _, e := range d.registry.endWholeList() {
		d.listEndpoint(e, delivery.Gone, 0, to)
	}
}

// listEndpoint passes the state of an endpoint to the scheduler. Another process may answer at the address of one that is gone.
func (d *decisionLoop) listEndpoint(e *listedEndpoint, state delivery.EndpointState, rate float64, to delivery.Handler) {
	if state == delivery.Gone {
		d.endpoints.updateEndpoint(e.index, e.String(), e.zone, "")
	}
	d.endpoints.admission.List(e.index, admission.Listing{Dest: e.dest, Zone: d.directory.zoneIndex(e.zone),
		OwnLimit: d.kind(e.kind).LimitPerEndpoint, Ready: state == delivery.Ready})
	dest, _ := d.destIndex.Acquire(e.dest)
	to.EndpointListed(e.index, dest, e.kind, d.directory.zoneIndex(e.zone), state, rate)
}

// removeEvent releases the event's index after the next round.
func (d *decisionLoop) removeEvent(e *event) {
	d.enqueue(func(delivery.Handler) { d.removed = append(d.removed, e.index) })
}

// Send implements delivery.Executor, as do the methods below. Sends of one round to the same endpoint share a call as long as
// their bodies fit into it.
func (d *decisionLoop) Send(evt, ep int32, timeout int64, terms delivery.Terms) {
	e := d.eventIndex.ID(evt)
	a := &attempt{event: e, number: e.attemptCount, endpoint: ep, timeout: timeout, terms: terms, startedAt: d.clock.now()}
	e.attemptCount++
	d.activeAttempts[evt] = a
	maxAttempts := d.kind(d.kindOf[ep]).MaxEventsPerCall
	for _, c := range d.newCalls {
		if c.endpoint == ep && len(c.attempts) < maxAttempts && c.bodySize+bulkSize(e) <= maxBodyBytes {
			a.call, c.attempts, c.bodySize = c, append(c.attempts, a), c.bodySize+bulkSize(e)
			return
		}
	}
	a.call = &call{pool: d.endpoints, endpoint: ep, attempts: []*attempt{a}, bodySize: bulkSize(e)}
	d.newCalls = append(d.newCalls, a.call)
}

func (d *decisionLoop) Decline(evt int32, retryAfter int64) {
	d.endEvent(evt, eventUpdate{kind: updateDecline, retryAfter: retryAfter})
}

func (d *decisionLoop) Discard(evt int32) { d.endEvent(evt, eventUpdate{kind: updateDiscard}) }

// endEvent passes the decision that an event ends to its task, unless its end was decided before.
func (d *decisionLoop) endEvent(evt int32, update eventUpdate) {
	if !d.ended[evt] {
		d.ended[evt] = true
		d.eventIndex.ID(evt).updates <- update
	}
}

func (d *decisionLoop) Cancel(evt int32, number int) {
	if a := d.activeAttempts[evt]; a != nil && a.number == number {
		a.call.abandon(delivery.Cancelled)
	}
}

func (d *decisionLoop) CancelUnsent(evt int32, number int) {
	if a := d.activeAttempts[evt]; a != nil && a.number == number {
		a.call.recall(a)
	}
}

func (d *decisionLoop) Wake(after int64)   { d.wakeAt = d.clock.now() + max(after, 1) }
func (d *decisionLoop) Watch(on bool)      { d.directory.setWatching(on) }
func (d *decisionLoop) CloseIdle(ep int32) { d.endpoints.closeIdle(ep) }
func (d *decisionLoop) Forget(ep int32)    { d.forgotten = append(d.forgotten, ep) }
func (d *decisionLoop) AnnounceHealthy(ep int32, sentAgo int64) {
	d.peers.announceHealthy(d.registry.name(ep), time.Duration(sentAgo))
}

// Probe only logs: the scheduler never requests a probe, and the protocol has no call for one.
func (d *decisionLoop) Probe(ep int32) {
	logs.Part("node").WithField("endpoint", d.registry.name(ep)).
		Warn("probe requested, but the protocol does not support probes")
}

func (d *decisionLoop) Log(text string, ep int32) {
	logs.Part("endpoints").WithField("endpoint", d.registry.name(ep)).Info(text)
}
