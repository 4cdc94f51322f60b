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
	"jaspersill/lab/world"
	"jaspersill/scheduler"
)

// Names of the policies, in the order of reports.
var Names = []string{"module", "informed", "once", "fixed", "backoff", "source", "breaker"}

// Meanings says of each policy what it does.
var Meanings = map[string]string{
	"module":   "the decision module",
	"informed": "sees the true state of every endpoint, limit and queue",
	"once":     "one try for each event",
	"fixed":    "tries again after a second",
	"backoff":  "exponential delays with full jitter",
	"source":   "the source's retry rule alone",
	"breaker":  "backoff with a retry budget of a tenth and a circuit breaker for each destination",
}

// Weaknesses of the module, for proving that the ledger and the hunt catch what they are for.
var Weaknesses = map[string]string{
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
func Find(name string) (world.Launch, error) {
	base, weak, _ := strings.Cut(name, "+")
	var launch world.Launch
	switch base {
	case "module":
		launch = Module
	case "informed", "once", "fixed", "backoff", "source", "breaker":
		launch = func(w *world.World, node int, seed uint64) delivery.Scheduler { return newPlain(base, w, node, seed) }
	default:
		return nil, fmt.Errorf("policy %q: want one of %s", name, strings.Join(Names, ", "))
	}
	if weak == "" {
		return launch, nil
	}
	if _, known := Weaknesses[weak]; !known || base != "module" {
		return nil, fmt.Errorf("policy %q: want module+ and one of %s", name,
			strings.Join(slices.Sorted(maps.Keys(Weaknesses)), ", "))
	}
	return func(w *world.World, node int, seed uint64) delivery.Scheduler {
		types := w.Day().StreamTypes()
		for i := range types {
			switch t := &types[i]; {
			case weak == "forgetful" && t.Safety == delivery.Deduplicated,
				weak == "careless" && t.Safety == delivery.NonIdempotent:
				t.Safety = delivery.Idempotent
			case weak == "disorderly":
				t.Ordered = false
			}
		}
		return &rogue{Scheduler: module(w, node, seed, types), weak: weak}
	}, nil
}

// Module launches the decision module.
func Module(w *world.World, node int, seed uint64) delivery.Scheduler {
	return module(w, node, seed, w.Day().StreamTypes())
}

func module(w *world.World, node int, seed uint64, types []delivery.StreamType) delivery.Scheduler {
	day := w.Day()
	return scheduler.New(seed, types, day.PartnerKinds(), day.Room(), day.Recovery(),
		delivery.Directory{RequiresWatch: true, DrainGrace: int64(day.Rules.Grace)},
		delivery.Cluster{Self: node, Nodes: day.Fleet.Nodes, PeerMessages: day.Fleet.Notes}, int64(day.Rules.OrderPause))
}

// rogue is the module with a weakness: it hears, or does, something else than what is so.
type rogue struct {
	delivery.Scheduler
	weak  string
	feed  delivery.Feed
	out   delivery.Executor
	came  int
	extra int32 // restless: an event to send once more, plus 1, and where
	where int32
	done  bool // it has sent one
}

func (r *rogue) Round(now int64, feed delivery.Feed, out delivery.Executor) {
	r.feed, r.out = feed, out
	r.Scheduler.Round(now, r, out)
	if r.extra > 0 {
		out.Send(r.extra-1, r.where, int64(1e9))
		r.extra = 0
	}
}

func (r *rogue) Deliver(to delivery.Handler) { r.feed.Deliver(rogueIntake{to, r}) }

type rogueIntake struct {
	delivery.Handler
	of *rogue
}

func (i rogueIntake) Event(evt int32, typ, customer int, key uint64, left, work int64, dest int32) {
	if i.of.came++; i.of.weak == "lossy" && i.of.came%50 == 0 {
		return
	}
	i.Handler.Event(evt, typ, customer, key, left, work, dest)
}

func (i rogueIntake) Outcome(evt int32, send int, ep int32, how delivery.Outcome, wait, took int64, ended bool,
	left, limit float64) {
	switch {
	case i.of.weak == "deaf":
		wait = 0
	case i.of.weak == "blind" && how == delivery.ConnectFailed:
		how = delivery.Unsent
	case i.of.weak == "restless" && ended && !i.of.done:
		i.of.extra, i.of.where, i.of.done = evt+1, ep, true
	}
	if i.of.weak == "restless" && i.of.done && send > 0 { // of the one too many the module knows nothing
		return
	}
	i.Handler.Outcome(evt, send, ep, how, wait, took, ended, left, limit)
}

func (i rogueIntake) EndpointListed(ep, dest int32, partner, zone int, state delivery.EndpointState, rate float64) {
	if i.of.weak == "undrained" {
		state = delivery.Ready
	}
	i.Handler.EndpointListed(ep, dest, partner, zone, state, rate)
}

const (
	beat        = int64(1e7)  // ns between looks at what waits
	fixedDelay  = int64(1e9)  // ns
	backoffBase = int64(1e8)  // ns
	backoffMost = int64(1e10) // ns
	sourceBase  = int64(5e9)  // ns, the source's own
	sourceExtra = int64(1e9)  // ns, the source's own
	sourceError = int64(2e8)  // ns
	plainWait   = int64(4e9)  // ns that a send is waited for
	budgetPart  = 0.1         // repeats for each first send
	budgetMost  = 10.0
	tripAfter   = 5          // failures in a row that open the breaker
	tripFor     = int64(5e9) // ns
	answerSpare = int64(3e7) // ns before its time is up that an event is answered
)

type plainEvent struct {
	typ, dest    int32
	sends, fails int32
	deadline     int64
	notBefore    int64
	mayRun, out  bool
	live         bool
	ranAt        int64
	sentAt       int64
}

// plain is a policy of a few lines: it keeps the rules on repeats and waits, and differs in when it tries
// again.
type plain struct {
	name    string
	world   *world.World
	node    int
	types   []delivery.StreamType
	room    delivery.Limits
	chance  *rand.Rand
	now     int64
	out     delivery.Executor
	events  []plainEvent
	waiting []int32
	slots   int
	byDest  [][]int32
	ready   []bool
	load    []int32
	joins   []int   // informed: events that a call of this round still takes, by endpoint
	until   []int64 // by destination: told to wait
	fails   []int32 // by destination, in a row
	budget  float64
	wakeAt  int64
	watched bool
	askAt   int64
}

func newPlain(name string, w *world.World, node int, seed uint64) *plain {
	return &plain{name: name, world: w, node: node, types: w.Day().StreamTypes(), room: w.Day().Room(),
		chance: rand.New(rand.NewPCG(seed, 0x91a1)), budget: budgetMost}
}

func (p *plain) Round(now int64, feed delivery.Feed, out delivery.Executor) {
	p.now, p.out = now, out
	feed.Deliver(p)
	if !p.watched && now >= p.askAt {
		out.Watch(true)
		p.askAt = now + int64(1e9)
	}
	if p.name == "informed" { // what loses most by waiting goes first
		clear(p.joins)
		p.joins = append(p.joins, make([]int, len(p.ready)-min(len(p.joins), len(p.ready)))...)
		slices.SortStableFunc(p.waiting, func(a, b int32) int { return cmp.Compare(p.loss(b), p.loss(a)) })
	}
	keep := p.waiting[:0]
	for _, evt := range p.waiting {
		e := &p.events[evt]
		if !e.live || e.out {
			continue
		}
		if now >= e.deadline {
			p.end(evt, 0)
			continue
		}
		if !p.try(evt) {
			keep = append(keep, evt)
		}
	}
	p.waiting = keep
	for evt := range p.events {
		if e := &p.events[evt]; e.live && e.out && now >= e.deadline {
			p.end(int32(evt), 0)
		}
	}
	if p.wakeAt <= now {
		p.wakeAt = now + beat
		out.Wake(beat)
	}
}

// try sends an event if it may go now.
func (p *plain) try(evt int32) bool {
	e := &p.events[evt]
	if p.now < e.notBefore || p.now < p.until[e.dest] || p.slots >= p.room.MaxConcurrentCalls {
		return false
	}
	ep := int32(-1)
	if p.name == "informed" {
		ep = p.best(evt)
	} else {
		for _, other := range p.byDest[e.dest] {
			if p.ready[other] && (ep < 0 || p.load[other] < p.load[ep]) {
				ep = other
			}
		}
	}
	if ep < 0 {
		return false
	}
	timeout := min(plainWait, e.deadline-p.now)
	t := &p.types[e.typ]
	if t.Safety == delivery.NonIdempotent || p.name == "informed" {
		timeout = e.deadline - p.now
	}
	e.out, e.sentAt = true, p.now
	e.sends++
	p.slots++
	p.load[ep]++
	p.out.Send(evt, ep, timeout)
	return true
}

// best picks an endpoint by the truth: one with a call of this round that has room, or one that begins at
// once.
func (p *plain) best(evt int32) int32 {
	e := &p.events[evt]
	t := &p.types[e.typ]
	for _, ep := range p.byDest[e.dest] {
		if p.joins[ep] > 0 && p.ready[ep] {
			p.joins[ep]--
			return ep
		}
	}
	careful := t.Safety == delivery.NonIdempotent && e.deadline-p.now > t.MaxAge/2
	best := p.world.Partners().Best(p.now, e.dest, p.world.Work(p.node, evt), careful,
		func(ep int32) bool { return p.world.Linked(p.node, ep) })
	if best < 0 {
		return -1
	}
	ep := p.world.EndpointOf(p.node, best)
	if ep < 0 || !p.ready[ep] {
		return -1
	}
	p.joins[ep] = p.world.Day().Partners[p.world.Partners().Endpoints[best].Kind].PerCall - 1
	return ep
}

// loss is what an event loses by waiting two more seconds.
func (p *plain) loss(evt int32) float64 {
	e := &p.events[evt]
	t := &p.world.Day().Types[e.typ]
	age := p.now + answerSpare - (e.deadline - p.types[e.typ].MaxAge)
	return t.Utility * (t.Worth(age) - t.Worth(age+int64(2e9)))
}

func (p *plain) end(evt int32, comeBack int64) {
	e := &p.events[evt]
	e.live = false
	if e.mayRun || e.out {
		p.out.Discard(evt)
	} else {
		p.out.Decline(evt, min(comeBack, p.room.MaxRetryAfter))
	}
}

func (p *plain) RetryAfter() int64 { return min(int64(5e8), p.room.MaxRetryAfter) }

func (p *plain) Event(evt int32, typ, customer int, key uint64, left, work int64, dest int32) {
	for int(evt) >= len(p.events) {
		p.events = append(p.events, plainEvent{})
	}
	p.dest(dest)
	p.events[evt] = plainEvent{typ: int32(typ), dest: dest, deadline: p.now + left - answerSpare, live: true}
	p.waiting = append(p.waiting, evt)
	p.budget = min(budgetMost, p.budget+budgetPart)
}

func (p *plain) dest(d int32) {
	for int(d) >= len(p.byDest) {
		p.byDest, p.until, p.fails = append(p.byDest, nil), append(p.until, 0), append(p.fails, 0)
	}
}

func (p *plain) Resumed(evt int32, sends int, mayRun bool, ago int64, zone int) {
	e := &p.events[evt]
	e.sends, e.mayRun, e.ranAt = int32(sends), mayRun, p.now-ago
	if mayRun && p.types[e.typ].Safety == delivery.NonIdempotent {
		p.end(evt, 0)
	}
}

func (p *plain) ProcessingStarted(int32, int) {}

func (p *plain) Outcome(evt int32, send int, ep int32, how delivery.Outcome, wait, took int64, ended bool,
	left, limit float64) {
	e := &p.events[evt]
	p.slots--
	p.load[ep]--
	e.out = false
	if wait > 0 {
		p.until[e.dest] = max(p.until[e.dest], p.now+wait)
	}
	if how == delivery.Acked {
		p.fails[e.dest] = 0
	} else {
		p.fails[e.dest]++
	}
	if how.MayHaveRun() && how != delivery.Acked && !e.mayRun {
		e.mayRun, e.ranAt = true, e.sentAt
	}
	if ended || !e.live {
		e.live = false
		return
	}
	p.again(evt, how, wait)
}

// again plans the next try of an event, or ends it.
func (p *plain) again(evt int32, how delivery.Outcome, wait int64) {
	e := &p.events[evt]
	t := &p.types[e.typ]
	e.fails++
	delay, n := wait, min(e.fails-1, 16)
	switch p.name {
	case "once":
		p.end(evt, wait)
		return
	case "fixed":
		delay = max(delay, fixedDelay)
	case "backoff", "breaker":
		delay = max(delay, int64(p.chance.Float64()*float64(min(backoffMost, backoffBase<<n))))
	case "source":
		if wait == 0 {
			if delay = sourceError << n; how == delivery.Refused {
				delay = sourceBase + sourceExtra<<n
			}
			delay += int64(p.chance.Float64() * 0.5 * float64(delay))
		}
	case "informed":
		delay = 0 // told waits hold its destination all the same
	}
	if p.name == "breaker" {
		if p.fails[e.dest] >= tripAfter {
			p.until[e.dest] = max(p.until[e.dest], p.now+tripFor)
			p.fails[e.dest] = 0
		}
		if p.budget < 1 {
			p.end(evt, delay)
			return
		}
		p.budget--
	}
	e.notBefore = p.now + delay
	over := e.deadline
	if e.mayRun && t.Safety == delivery.Deduplicated {
		over = min(over, e.ranAt+t.DedupWindow-int64(1e8))
	}
	if (e.mayRun && t.Safety == delivery.NonIdempotent) || int(e.sends) >= p.room.MaxAttempts || e.notBefore >= over {
		p.end(evt, delay)
		return
	}
	if e.mayRun && t.Safety == delivery.Deduplicated {
		e.deadline = over
	}
	p.waiting = append(p.waiting, evt)
}

func (p *plain) Unconfirmed(int32, int) {}
func (p *plain) Confirmed(int32, int)   {}
func (p *plain) Withdrawn(evt int32)    { p.events[evt].live = false }

func (p *plain) ListStarted(whole bool) {
	if whole {
		clear(p.ready)
	}
}

func (p *plain) EndpointListed(ep, dest int32, partner, zone int, state delivery.EndpointState, rate float64) {
	p.dest(dest)
	for int(ep) >= len(p.ready) {
		p.ready, p.load = append(p.ready, false), append(p.load, 0)
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

func (p *plain) ListEnded()                                              { p.watched = p.askAt > 0 }
func (p *plain) ListFailed()                                             { p.watched = false }
func (p *plain) Probed(int32, delivery.Outcome, int64, float64, float64) {}
func (p *plain) PeerReportedHealthy(int, int32)                          {}
func (p *plain) Woken()                                                  { p.wakeAt = 0 }
