// Package policy holds what the lab puts in a node's place of decision: the decision module itself, textbook
// policies to set it beside, and one that sees the true state of everything. Nothing but the lab imports it.
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

// Names of the policies, in the order of reports.
var Names = []string{"module", "informed", "once", "fixed", "backoff", "source", "breaker"}

// Descriptions says of each policy what it does.
var Descriptions = map[string]string{
	"module":   "the decision module",
	"informed": "sees the true state of every endpoint, limit and queue",
	"once":     "one try for each event",
	"fixed":    "tries again after a second",
	"backoff":  "exponential delays with full jitter",
	"source":   "the source's retry rule alone",
	"breaker":  "backoff with a retry budget of a tenth and a circuit breaker for each destination",
}

// Defects of the module, for proving that the ledger and the hunt catch what they are for.
var Defects = map[string]string{
	"deaf":       "does not hear told waits",
	"forgetful":  "repeats deduplicated events whenever it likes",
	"careless":   "repeats non-idempotent events",
	"undrained":  "goes on sending to endpoints that drain",
	"disorderly": "knows no order of keys",
	"lossy":      "loses each fiftieth event",
	"blind":      "sees no destination fail, and pushes on those that return",
	"restless":   "sends one event once more after it is over",
}

// Find returns how a policy is launched. A name may carry a weakness behind a plus, as in module+deaf.
func Find(name string) (simulator.SchedulerFactory, error) {
	base, weak, _ := strings.Cut(name, "+")
	var launch simulator.SchedulerFactory
	switch base {
	case "module":
		launch = Module
	case "informed", "once", "fixed", "backoff", "source", "breaker":
		launch = func(w *simulator.Simulation, node int, seed uint64) delivery.Scheduler {
			return newSimplePolicy(base, w, node, seed)
		}
	default:
		return nil, fmt.Errorf("policy %q: want one of %s", name, strings.Join(Names, ", "))
	}
	if weak == "" {
		return launch, nil
	}
	if _, known := Defects[weak]; !known || base != "module" {
		return nil, fmt.Errorf("policy %q: want module+ and one of %s", name,
			strings.Join(slices.Sorted(maps.Keys(Defects)), ", "))
	}
	return func(w *simulator.Simulation, node int, seed uint64) delivery.Scheduler {
		types := w.Scenario().DeliveryTypes()
		for i := range types {
			switch t := &types[i]; {
			case weak == "forgetful" && t.Safety == delivery.Deduplicated,
				weak == "careless" && t.Safety == delivery.NonIdempotent:
				t.Safety = delivery.Idempotent
			case weak == "disorderly":
				t.Ordered = false
			}
		}
		return &defectiveScheduler{Scheduler: newModule(w, node, seed, types), defect: weak}
	}, nil
}

// Module launches the decision module.
func Module(w *simulator.Simulation, node int, seed uint64) delivery.Scheduler {
	return newModule(w, node, seed, w.Scenario().DeliveryTypes())
}

func newModule(w *simulator.Simulation, node int, seed uint64, types []delivery.StreamType) delivery.Scheduler {
	day := w.Scenario()
	return scheduler.New(seed, types, day.DeliveryDestinationKinds(), day.DeliveryLimits(), day.DeliveryRecovery(),
		delivery.Directory{RequiresWatch: true, DrainGrace: int64(day.Rules.DrainGrace)},
		delivery.Cluster{Self: node, Nodes: day.Fleet.Nodes, PeerMessages: day.Fleet.PeerMessages}, int64(day.Rules.KeyPause))
}

// defectiveScheduler is the module with a weakness: it hears, or does, something else than what is so.
type defectiveScheduler struct {
	delivery.Scheduler
	defect        string
	feed          delivery.Feed
	out           delivery.Executor
	eventCount    int
	extraEvent    int32 // restless: an event to send once more, plus 1, and where
	extraEndpoint int32
	extraSent     bool // it has sent one
}

func (r *defectiveScheduler) Round(now int64, feed delivery.Feed, out delivery.Executor) {
	r.feed, r.out = feed, out
	r.Scheduler.Round(now, r, out)
	if r.extraEvent > 0 {
		out.Send(r.extraEvent-1, r.extraEndpoint, int64(1e9))
		r.extraEvent = 0
	}
}

func (r *defectiveScheduler) Deliver(to delivery.Handler) { r.feed.Deliver(defectiveHandler{to, r}) }

type defectiveHandler struct {
	delivery.Handler
	scheduler *defectiveScheduler
}

func (i defectiveHandler) Event(evt int32, typ, customer int, key uint64, left, work int64, dest int32) {
	if i.scheduler.eventCount++; i.scheduler.defect == "lossy" && i.scheduler.eventCount%50 == 0 {
		return
	}
	i.Handler.Event(evt, typ, customer, key, left, work, dest)
}

func (i defectiveHandler) Outcome(evt int32, send int, ep int32, how delivery.Outcome, wait, took int64, ended bool,
	left, limit float64) {
	switch {
	case i.scheduler.defect == "deaf":
		wait = 0
	case i.scheduler.defect == "blind" && how == delivery.ConnectFailed:
		how = delivery.Unsent
	case i.scheduler.defect == "restless" && ended && !i.scheduler.extraSent:
		i.scheduler.extraEvent, i.scheduler.extraEndpoint, i.scheduler.extraSent = evt+1, ep, true
	}
	if i.scheduler.defect == "restless" && i.scheduler.extraSent && send > 0 { // of the one too many the module knows nothing
		return
	}
	i.Handler.Outcome(evt, send, ep, how, wait, took, ended, left, limit)
}

func (i defectiveHandler) EndpointListed(ep, dest int32, partner, zone int, state delivery.EndpointState, rate float64) {
	if i.scheduler.defect == "undrained" {
		state = delivery.Ready
	}
	i.Handler.EndpointListed(ep, dest, partner, zone, state, rate)
}

const (
	pollInterval   = int64(1e7)  // ns between looks at what waits
	fixedDelay     = int64(1e9)  // ns
	backoffBase    = int64(1e8)  // ns
	backoffMax     = int64(1e10) // ns
	sourceBase     = int64(5e9)  // ns, the source's own
	sourceExtra    = int64(1e9)  // ns, the source's own
	sourceError    = int64(2e8)  // ns
	sendTimeout    = int64(4e9)  // ns that a send is waited for
	budgetPerEvent = 0.1         // repeats for each first send
	budgetMax      = 10.0
	tripAfter      = 5          // failures in a row that open the breaker
	tripDuration   = int64(5e9) // ns
	answerMargin   = int64(3e7) // ns before its time is up that an event is answered
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

// simplePolicy is a policy of a few lines: it keeps the rules on repeats and waits, and differs in when it tries
// again.
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
	callsOut            int
	byDest              [][]int32
	ready               []bool
	callsByEndpoint     []int32
	callRoom            []int   // informed: events that a call of this round still takes, by endpoint
	blockedUntil        []int64 // by destination: told to wait
	consecutiveFailures []int32 // by destination, in a row
	budget              float64
	wakeAt              int64
	watchActive         bool
	watchRetryAt        int64
}

func newSimplePolicy(name string, w *simulator.Simulation, node int, seed uint64) *simplePolicy {
	return &simplePolicy{name: name, sim: w, node: node, types: w.Scenario().DeliveryTypes(), limits: w.Scenario().DeliveryLimits(),
		random: rand.New(rand.NewPCG(seed, 0x91a1)), budget: budgetMax}
}

func (p *simplePolicy) Round(now int64, feed delivery.Feed, out delivery.Executor) {
	p.now, p.out = now, out
	feed.Deliver(p)
	if !p.watchActive && now >= p.watchRetryAt {
		out.Watch(true)
		p.watchRetryAt = now + int64(1e9)
	}
	if p.name == "informed" { // what loses most by waiting goes first
		clear(p.callRoom)
		p.callRoom = append(p.callRoom, make([]int, len(p.ready)-min(len(p.callRoom), len(p.ready)))...)
		slices.SortStableFunc(p.waiting, func(a, b int32) int { return cmp.Compare(p.utilityLoss(b), p.utilityLoss(a)) })
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

// trySend sends an event if it may go now.
func (p *simplePolicy) trySend(evt int32) bool {
	e := &p.events[evt]
	if p.now < e.notBefore || p.now < p.blockedUntil[e.dest] || p.callsOut >= p.limits.MaxConcurrentCalls {
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
	p.callsOut++
	p.callsByEndpoint[ep]++
	p.out.Send(evt, ep, timeout)
	return true
}

// bestEndpoint picks an endpoint by the truth: one with a call of this round that has room, or one that begins at
// once.
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

// utilityLoss is what an event loses by waiting two more seconds.
func (p *simplePolicy) utilityLoss(evt int32) float64 {
	e := &p.events[evt]
	t := &p.sim.Scenario().Types[e.typ]
	age := p.now + answerMargin - (e.deadline - p.types[e.typ].MaxAge)
	return t.Utility * (t.UtilityShare(age) - t.UtilityShare(age+int64(2e9)))
}

func (p *simplePolicy) endEvent(evt int32, comeBack int64) {
	e := &p.events[evt]
	e.live = false
	if e.mayRun || e.inFlight {
		p.out.Discard(evt)
	} else {
		p.out.Decline(evt, min(comeBack, p.limits.MaxRetryAfter))
	}
}

func (p *simplePolicy) RetryAfter() int64 { return min(int64(5e8), p.limits.MaxRetryAfter) }

func (p *simplePolicy) Event(evt int32, typ, customer int, key uint64, left, work int64, dest int32) {
	for int(evt) >= len(p.events) {
		p.events = append(p.events, simpleEvent{})
	}
	p.ensureDestination(dest)
	p.events[evt] = simpleEvent{typ: int32(typ), dest: dest, deadline: p.now + left - answerMargin, live: true}
	p.waiting = append(p.waiting, evt)
	p.budget = min(budgetMax, p.budget+budgetPerEvent)
}

func (p *simplePolicy) ensureDestination(d int32) {
	for int(d) >= len(p.byDest) {
		p.byDest, p.blockedUntil, p.consecutiveFailures = append(p.byDest, nil), append(p.blockedUntil, 0), append(p.consecutiveFailures, 0)
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

func (p *simplePolicy) Outcome(evt int32, send int, ep int32, how delivery.Outcome, wait, took int64, ended bool,
	left, limit float64) {
	e := &p.events[evt]
	p.callsOut--
	p.callsByEndpoint[ep]--
	e.inFlight = false
	if wait > 0 {
		p.blockedUntil[e.dest] = max(p.blockedUntil[e.dest], p.now+wait)
	}
	if how == delivery.Acked {
		p.consecutiveFailures[e.dest] = 0
	} else {
		p.consecutiveFailures[e.dest]++
	}
	if how.MayHaveRun() && how != delivery.Acked && !e.mayRun {
		e.mayRun, e.firstRunAt = true, e.sentAt
	}
	if ended || !e.live {
		e.live = false
		return
	}
	p.retryOrEnd(evt, how, wait)
}

// retryOrEnd plans the next try of an event, or ends it.
func (p *simplePolicy) retryOrEnd(evt int32, how delivery.Outcome, wait int64) {
	e := &p.events[evt]
	t := &p.types[e.typ]
	e.fails++
	delay, n := wait, min(e.fails-1, 16)
	switch p.name {
	case "once":
		p.endEvent(evt, wait)
		return
	case "fixed":
		delay = max(delay, fixedDelay)
	case "backoff", "breaker":
		delay = max(delay, int64(p.random.Float64()*float64(min(backoffMax, backoffBase<<n))))
	case "source":
		if wait == 0 {
			if delay = sourceError << n; how == delivery.Refused {
				delay = sourceBase + sourceExtra<<n
			}
			delay += int64(p.random.Float64() * 0.5 * float64(delay))
		}
	case "informed":
		delay = 0 // told waits hold its destination all the same
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
	over := e.deadline
	if e.mayRun && t.Safety == delivery.Deduplicated {
		over = min(over, e.firstRunAt+t.DedupWindow-int64(1e8))
	}
	if (e.mayRun && t.Safety == delivery.NonIdempotent) || int(e.sends) >= p.limits.MaxAttempts || e.notBefore >= over {
		p.endEvent(evt, delay)
		return
	}
	if e.mayRun && t.Safety == delivery.Deduplicated {
		e.deadline = over
	}
	p.waiting = append(p.waiting, evt)
}

func (p *simplePolicy) Unconfirmed(int32, int) {}
func (p *simplePolicy) Confirmed(int32, int)   {}
func (p *simplePolicy) Withdrawn(evt int32)    { p.events[evt].live = false }

func (p *simplePolicy) ListStarted(whole bool) {
	if whole {
		clear(p.ready)
	}
}

func (p *simplePolicy) EndpointListed(ep, dest int32, partner, zone int, state delivery.EndpointState, rate float64) {
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

func (p *simplePolicy) ListEnded()                                              { p.watchActive = p.watchRetryAt > 0 }
func (p *simplePolicy) ListFailed()                                             { p.watchActive = false }
func (p *simplePolicy) Probed(int32, delivery.Outcome, int64, float64, float64) {}
func (p *simplePolicy) PeerReportedHealthy(int, int32)                          {}
func (p *simplePolicy) Woken()                                                  { p.wakeAt = 0 }
