// Package policy holds the schedulers that the lab can run in a node: the real scheduler, textbook retry policies to
// compare it with, and a policy that sees the true state of everything. Only the lab imports it.
package policy

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"jaspersill/delivery"
	"jaspersill/lab/simulator"
	"jaspersill/scheduler"
)

// Names are the names of the policies, in the order of reports.
var Names = []string{"module", "informed", "once", "fixed", "backoff", "source", "breaker"}

// Descriptions describe what each policy does.
var Descriptions = map[string]string{
	"module":   "the scheduler of package scheduler",
	"informed": "sees the true state of every endpoint, limit and queue",
	"once":     "one attempt for each event",
	"fixed":    "retries after one second",
	"backoff":  "exponential backoff with full jitter",
	"source":   "only the default retry rule, without the rest of the scheduler",
	"breaker":  "backoff with a retry budget of 10 % and a circuit breaker for each destination",
}

// Defects are deliberate defects of the scheduler, used to test that the checker and the search detect violations.
var Defects = map[string]string{
	"deaf":       "ignores Retry-After times",
	"forgetful":  "repeats deduplicated events even after their deduplication window",
	"careless":   "repeats non-idempotent events",
	"undrained":  "goes on sending to draining endpoints",
	"disorderly": "ignores ordering keys",
	"lossy":      "loses every fiftieth event",
	"blind":      "does not notice failed connections, and overloads destinations that return",
	"restless":   "sends one event again after its final end",
}

// Find returns the factory of a policy. The name may add a defect after a plus sign, as in module+deaf.
func Find(name string) (simulator.SchedulerFactory, error) {
	base, defect, _ := strings.Cut(name, "+")
	var factory simulator.SchedulerFactory
	switch base {
	case "module":
		factory = NewScheduler
	case "informed", "once", "fixed", "backoff", "source", "breaker":
		factory = func(sim *simulator.Simulation, node int, seed uint64) delivery.Scheduler {
			return newSimplePolicy(base, sim, node, seed)
		}
	default:
		return nil, fmt.Errorf("policy %q: want one of %s", name, strings.Join(Names, ", "))
	}
	if defect == "" {
		return factory, nil
	}
	if _, known := Defects[defect]; !known || base != "module" {
		return nil, fmt.Errorf("policy %q: want module+ and one of %s", name,
			strings.Join(slices.Sorted(maps.Keys(Defects)), ", "))
	}
	return func(sim *simulator.Simulation, node int, seed uint64) delivery.Scheduler {
		types := sim.Scenario().DeliveryTypes()
		for i := range types {
			switch t := &types[i]; {
			case defect == "forgetful" && t.Safety == delivery.Deduplicated,
				defect == "careless" && t.Safety == delivery.NonIdempotent:
				t.Safety = delivery.Idempotent
			case defect == "disorderly":
				t.Ordered = false
			}
		}
		return &defectiveScheduler{Scheduler: newSchedulerWithTypes(sim, node, seed, types), defect: defect}
	}, nil
}

// NewScheduler creates the scheduler of package scheduler.
func NewScheduler(sim *simulator.Simulation, node int, seed uint64) delivery.Scheduler {
	return newSchedulerWithTypes(sim, node, seed, sim.Scenario().DeliveryTypes())
}

func newSchedulerWithTypes(
	sim *simulator.Simulation, node int, seed uint64, types []delivery.StreamType,
) delivery.Scheduler {
	scn := sim.Scenario()
	return scheduler.New(seed, types, scn.DeliveryDestinationKinds(), scn.DeliveryLimits(), scn.DeliveryRecovery(),
		delivery.Directory{RequiresWatch: true, DrainGrace: int64(scn.Rules.DrainGrace)},
		delivery.Cluster{Self: node, Nodes: scn.Fleet.Nodes, PeerMessages: scn.Fleet.PeerMessages},
		int64(scn.Rules.KeyPause))
}

// defectiveScheduler is the scheduler with a defect: it alters the scheduler's inputs, or sends on its own.
type defectiveScheduler struct {
	delivery.Scheduler
	defect     string
	feed       delivery.Feed
	out        delivery.Executor
	eventCount int
	extra      extraSend // restless
}

// extraSend is the send of an event after its end, of which the scheduler does not know.
type extraSend struct {
	event, endpoint int32
	number          int
	progress        extraProgress
}

// extraProgress is how far the extra send has come.
type extraProgress uint8

const (
	extraNotChosen extraProgress = iota
	extraChosen
	extraInFlight
	extraEnded
)

// isOutcome reports whether an outcome is that of the extra send.
func (x *extraSend) isOutcome(evt int32, send int) bool {
	return x.progress == extraInFlight && x.event == evt && x.number == send
}

func (s *defectiveScheduler) Round(now int64, feed delivery.Feed, out delivery.Executor) {
	s.feed, s.out = feed, out
	s.Scheduler.Round(now, s, out)
	if s.extra.progress == extraChosen {
		out.Send(s.extra.event, s.extra.endpoint, int64(1e9), delivery.Terms{})
		s.extra.progress = extraInFlight
	}
}

func (s *defectiveScheduler) Deliver(to delivery.Handler) { s.feed.Deliver(defectiveHandler{to, s}) }

// defectiveHandler alters or drops inputs on their way to the scheduler.
type defectiveHandler struct {
	delivery.Handler
	scheduler *defectiveScheduler
}

func (h defectiveHandler) Event(evt int32, typ, customer int, key uint64, timeLeft, work int64, dest int32) {
	if h.scheduler.eventCount++; h.scheduler.defect == "lossy" && h.scheduler.eventCount%50 == 0 {
		return
	}
	h.Handler.Event(evt, typ, customer, key, timeLeft, work, dest)
}

func (h defectiveHandler) Outcome(
	evt int32, send int, ep int32, outcome delivery.Outcome, retryAfter, latency int64, ended bool,
	limitLeft, limit float64,
) {
	switch {
	case h.scheduler.defect == "deaf":
		retryAfter = 0
	case h.scheduler.defect == "blind" && outcome == delivery.ConnectFailed:
		outcome = delivery.Unsent
	case h.scheduler.defect == "restless" && ended && h.scheduler.extra.progress == extraNotChosen:
		h.scheduler.extra = extraSend{event: evt, endpoint: ep, number: send + 1, progress: extraChosen}
	}
	if h.scheduler.extra.isOutcome(evt, send) {
		h.scheduler.extra.progress = extraEnded
		return
	}
	h.Handler.Outcome(evt, send, ep, outcome, retryAfter, latency, ended, limitLeft, limit)
}

func (h defectiveHandler) EndpointListed(ep, dest int32, kind, zone int, state delivery.EndpointState, rate float64) {
	if h.scheduler.defect == "undrained" {
		state = delivery.Ready
	}
	h.Handler.EndpointListed(ep, dest, kind, zone, state, rate)
}

const (
	pollInterval   = int64(1e7)  // ns between rounds
	fixedDelay     = int64(1e9)  // ns
	backoffBase    = int64(1e8)  // ns
	backoffMax     = int64(1e10) // ns
	sourceBase     = int64(5e9)  // ns after a refusal; the default of the retry rule
	sourceExtra    = int64(1e9)  // ns more, doubled with each failure; the default of the retry rule
	sourceError    = int64(2e8)  // ns after another failure, doubled with each
	sendTimeout    = int64(4e9)  // ns
	budgetPerEvent = 0.1         // retries for each event
	budgetMax      = 10.0
	tripAfter      = 5          // consecutive failures that open the circuit breaker
	tripDuration   = int64(5e9) // ns
	deadlineMargin = int64(3e7) // ns before its deadline by which an event gets its end
)

type simpleEvent struct {
	typ, dest        int32
	sends, fails     int32
	deadline         int64
	notBefore        int64
	mayRun, inFlight bool
	live             bool
	firstRunAt       int64
	sentAt           int64
}

// simplePolicy implements the textbook policies and the informed one. All of them respect Retry-After times and the
// rules on repeated sends; they differ in when they retry.
type simplePolicy struct {
	name                string
	sim                 *simulator.Simulation
	node                int
	types               []delivery.StreamType
	limits              delivery.Limits
	random              *rand.Rand
	now                 int64
	out                 delivery.Executor
	events              []simpleEvent
	waiting             []int32
	callsInFlight       int
	byDest              [][]int32
	ready               []bool
	callsByEndpoint     []int32
	callRoom            []int   // informed: by endpoint, how many more events fit into its call of this round
	blockedUntil        []int64 // by destination: end of the Retry-After period or of the open breaker
	consecutiveFailures []int32 // by destination
	budget              float64
	wakeAt              int64
	watchActive         bool
	watchRetryAt        int64
	stopped             bool // it sends and ends nothing more
}

func newSimplePolicy(name string, sim *simulator.Simulation, node int, seed uint64) *simplePolicy {
	return &simplePolicy{
		name:   name,
		sim:    sim,
		node:   node,
		types:  sim.Scenario().DeliveryTypes(),
		limits: sim.Scenario().DeliveryLimits(),
		random: rand.New(rand.NewPCG(seed, 0x91a1)),
		budget: budgetMax,
	}
}

func (p *simplePolicy) Round(now int64, feed delivery.Feed, out delivery.Executor) {
	p.now, p.out = now, out
	feed.Deliver(p)
	if p.stopped {
		return
	}
	if !p.watchActive && now >= p.watchRetryAt {
		out.Watch(true)
		p.watchRetryAt = now + int64(1e9)
	}
	if p.name == "informed" { // events that lose most utility by waiting go first
		clear(p.callRoom)
		p.callRoom = append(p.callRoom, make([]int, len(p.ready)-min(len(p.callRoom), len(p.ready)))...)
		slices.SortStableFunc(p.waiting, func(a, b int32) int {
			return cmp.Compare(p.utilityLoss(b), p.utilityLoss(a))
		})
	}
	keep := p.waiting[:0]
	for _, evt := range p.waiting {
		e := &p.events[evt]
		if !e.live || e.inFlight {
			continue
		}
		if now >= e.deadline {
			p.endEvent(evt, 0)
			continue
		}
		if !p.trySend(evt) {
			keep = append(keep, evt)
		}
	}
	p.waiting = keep
	for evt := range p.events {
		if e := &p.events[evt]; e.live && e.inFlight && now >= e.deadline {
			p.endEvent(int32(evt), 0)
		}
	}
	if p.wakeAt <= now {
		p.wakeAt = now + pollInterval
		out.Wake(pollInterval)
	}
}

// trySend sends an event if that is allowed now, and reports whether it did.
func (p *simplePolicy) trySend(evt int32) bool {
	e := &p.events[evt]
	if p.now < e.notBefore || p.now < p.blockedUntil[e.dest] || p.callsInFlight >= p.limits.MaxConcurrentCalls {
		return false
	}
	ep := int32(-1)
	if p.name == "informed" {
		ep = p.bestEndpoint(evt)
	} else {
		for _, other := range p.byDest[e.dest] {
			if p.ready[other] && (ep < 0 || p.callsByEndpoint[other] < p.callsByEndpoint[ep]) {
				ep = other
			}
		}
	}
	if ep < 0 {
		return false
	}
	timeout := min(sendTimeout, e.deadline-p.now)
	t := &p.types[e.typ]
	if t.Safety == delivery.NonIdempotent || p.name == "informed" {
		timeout = e.deadline - p.now
	}
	e.inFlight, e.sentAt = true, p.now
	e.sends++
	p.callsInFlight++
	p.callsByEndpoint[ep]++
	p.out.Send(evt, ep, timeout, delivery.Terms{})
	return true
}

// bestEndpoint picks an endpoint by its true state: one with a call of this round that can take another event, or one
// that would start a call at once. It returns -1 if there is none.
func (p *simplePolicy) bestEndpoint(evt int32) int32 {
	e := &p.events[evt]
	t := &p.types[e.typ]
	for _, ep := range p.byDest[e.dest] {
		if p.callRoom[ep] > 0 && p.ready[ep] {
			p.callRoom[ep]--
			return ep
		}
	}
	careful := t.Safety == delivery.NonIdempotent && e.deadline-p.now > t.MaxAge/2
	best := p.sim.Destinations().BestEndpoint(p.now, e.dest, p.sim.WorkTime(p.node, evt), careful,
		func(ep int32) bool { return p.sim.HasIdleConnection(p.node, ep) })
	if best < 0 {
		return -1
	}
	ep := p.sim.LocalEndpoint(p.node, best)
	if ep < 0 || !p.ready[ep] {
		return -1
	}
	p.callRoom[ep] = p.sim.Scenario().DestinationKinds[p.sim.Destinations().Endpoints[best].Kind].MaxEventsPerCall - 1
	return ep
}

// utilityLoss returns the utility that an event loses by waiting two more seconds.
func (p *simplePolicy) utilityLoss(evt int32) float64 {
	e := &p.events[evt]
	t := &p.sim.Scenario().Types[e.typ]
	age := p.now + deadlineMargin - (e.deadline - p.types[e.typ].MaxAge)
	return t.Utility * (t.UtilityShare(age) - t.UtilityShare(age+int64(2e9)))
}

func (p *simplePolicy) endEvent(evt int32, retryAfter int64) {
	e := &p.events[evt]
	e.live = false
	if e.mayRun || e.inFlight {
		p.out.Discard(evt)
	} else {
		p.out.Decline(evt, min(retryAfter, p.limits.MaxRetryAfter))
	}
}

// StopSending implements delivery.Scheduler.
func (p *simplePolicy) StopSending() { p.stopped = true }

func (p *simplePolicy) RetryAfter() int64 { return min(int64(5e8), p.limits.MaxRetryAfter) }

func (p *simplePolicy) Event(evt int32, typ, customer int, key uint64, timeLeft, work int64, dest int32) {
	for int(evt) >= len(p.events) {
		p.events = append(p.events, simpleEvent{})
	}
	p.ensureDestination(dest)
	p.events[evt] = simpleEvent{typ: int32(typ), dest: dest, deadline: p.now + timeLeft - deadlineMargin, live: true}
	p.waiting = append(p.waiting, evt)
	p.budget = min(budgetMax, p.budget+budgetPerEvent)
}

func (p *simplePolicy) ensureDestination(d int32) {
	for int(d) >= len(p.byDest) {
		p.byDest, p.blockedUntil, p.consecutiveFailures =
			append(p.byDest, nil), append(p.blockedUntil, 0), append(p.consecutiveFailures, 0)
	}
}

func (p *simplePolicy) Resumed(evt int32, sends int, mayRun bool, ago int64, zone int) {
	e := &p.events[evt]
	e.sends, e.mayRun, e.firstRunAt = int32(sends), mayRun, p.now-ago
	if mayRun && p.types[e.typ].Safety == delivery.NonIdempotent {
		p.endEvent(evt, 0)
	}
}

func (p *simplePolicy) ProcessingStarted(int32, int) {}

func (p *simplePolicy) Outcome(
	evt int32, send int, ep int32, outcome delivery.Outcome, retryAfter, latency int64, ended bool,
	limitLeft, limit float64,
) {
	e := &p.events[evt]
	p.callsInFlight--
	p.callsByEndpoint[ep]--
	e.inFlight = false
	if retryAfter > 0 {
		p.blockedUntil[e.dest] = max(p.blockedUntil[e.dest], p.now+retryAfter)
	}
	if outcome == delivery.Acked {
		p.consecutiveFailures[e.dest] = 0
	} else {
		p.consecutiveFailures[e.dest]++
	}
	if outcome.MayHaveRun() && outcome != delivery.Acked && !e.mayRun {
		e.mayRun, e.firstRunAt = true, e.sentAt
	}
	if ended || !e.live {
		e.live = false
		return
	}
	p.retryOrEnd(evt, outcome, retryAfter)
}

// retryOrEnd schedules the next attempt of an event, or ends the event.
func (p *simplePolicy) retryOrEnd(evt int32, outcome delivery.Outcome, retryAfter int64) {
	e := &p.events[evt]
	t := &p.types[e.typ]
	e.fails++
	delay, n := retryAfter, min(e.fails-1, 16)
	switch p.name {
	case "once":
		p.endEvent(evt, retryAfter)
		return
	case "fixed":
		delay = max(delay, fixedDelay)
	case "backoff", "breaker":
		delay = max(delay, int64(p.random.Float64()*float64(min(backoffMax, backoffBase<<n))))
	case "source":
		if retryAfter == 0 {
			if delay = sourceError << n; outcome == delivery.Refused {
				delay = sourceBase + sourceExtra<<n
			}
			delay += int64(p.random.Float64() * 0.5 * float64(delay))
		}
	case "informed":
		delay = 0 // Retry-After times are respected by blockedUntil
	}
	if p.name == "breaker" {
		if p.consecutiveFailures[e.dest] >= tripAfter {
			p.blockedUntil[e.dest] = max(p.blockedUntil[e.dest], p.now+tripDuration)
			p.consecutiveFailures[e.dest] = 0
		}
		if p.budget < 1 {
			p.endEvent(evt, delay)
			return
		}
		p.budget--
	}
	e.notBefore = p.now + delay
	expiry := e.deadline
	if e.mayRun && t.Safety == delivery.Deduplicated {
		expiry = min(expiry, e.firstRunAt+t.DedupWindow-int64(1e8))
	}
	if (e.mayRun && t.Safety == delivery.NonIdempotent) || int(e.sends) >= p.limits.MaxAttempts ||
		e.notBefore >= expiry {
		p.endEvent(evt, delay)
		return
	}
	if e.mayRun && t.Safety == delivery.Deduplicated {
		e.deadline = expiry
	}
	p.waiting = append(p.waiting, evt)
}

func (p *simplePolicy) Unconfirmed(int32, int) {}
func (p *simplePolicy) Confirmed(int32, int)   {}
func (p *simplePolicy) Doubted(int32, int)     {}
func (p *simplePolicy) Withdrawn(evt int32)    { p.events[evt].live = false }

func (p *simplePolicy) ListStarted(whole bool) {
	if whole {
		clear(p.ready)
	}
}

func (p *simplePolicy) EndpointListed(ep, dest int32, kind, zone int, state delivery.EndpointState, rate float64) {
	p.ensureDestination(dest)
	for int(ep) >= len(p.ready) {
		p.ready, p.callsByEndpoint = append(p.ready, false), append(p.callsByEndpoint, 0)
	}
	known := false
	for _, other := range p.byDest[dest] {
		known = known || other == ep
	}
	if !known {
		p.byDest[dest] = append(p.byDest[dest], ep)
	}
	p.ready[ep] = state == delivery.Ready
}

func (p *simplePolicy) ListEnded(fromNewestWatch bool) {
	p.watchActive = p.watchActive || fromNewestWatch
}
func (p *simplePolicy) ListFailed()                                             { p.watchActive = false }
func (p *simplePolicy) Probed(int32, delivery.Outcome, int64, float64, float64) {}
func (p *simplePolicy) PeerReportedHealthy(int, int32, int64)                   {}
func (p *simplePolicy) Woken()                                                  { p.wakeAt = 0 }
