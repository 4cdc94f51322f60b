// Package ledger judges a run from outside: by what clients, partners and the directory saw, never by what a
// node says of itself. It holds the six rules and counts what the events were worth.
package checker

import (
	"fmt"
	"slices"

	"jaspersill/delivery"
	"jaspersill/lab/scenario"
)

// Rule is one of the six rules of docs/design.md.
type Rule uint8

const (
	RuleSingleEnd    Rule = 1 + iota // exactly one final end, in time, and no send after it
	RuleSingleEffect                 // no effect happens twice
	RuleDrain                        // nothing new to an endpoint that drains, past the grace
	RuleColdStart                    // a cold destination is not pushed over by those that saw its outage
	RuleKeyOrder                     // events of one key one at a time, in the order of their coming
	RuleRetryAfter                   // a told wait is heeded
)

var ruleNames = [...]string{
	"",
	"one end",
	"no double effect",
	"drains kept",
	"cold returns",
	"order",
	"waits heeded",
}

func (r Rule) String() string { return ruleNames[r] }

// MarshalText implements encoding.TextMarshaler.
func (r Rule) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Rule) UnmarshalText(text []byte) error {
	i := slices.Index(ruleNames[:], string(text))
	if i < 1 {
		return fmt.Errorf("no such rule: %q", text)
	}
	*r = Rule(i)
	return nil
}

// Violation is a broken rule with its evidence.
type Violation struct {
	Rule        Rule   `json:"rule"`
	At          int64  `json:"at_ns"`
	Event       uint64 `json:"event"`
	Node        int32  `json:"node"`
	Description string `json:"what"`
	Sends       []Send `json:"sends,omitempty"`
}

func (b Violation) String() string {
	text := fmt.Sprintf(
		"%s broken at %.3f s: event %d at node %d: %s",
		b.Rule,
		float64(b.At)/1e9,
		b.Event,
		b.Node,
		b.Description,
	)
	for _, s := range b.Sends {
		text += fmt.Sprintf("; sent at %.3f s to endpoint %d", float64(s.At)/1e9, s.Endpoint)
		if s.Ended {
			text += fmt.Sprintf(", heard %s at %.3f s", OutcomeName(s.Outcome), float64(s.EndedAt)/1e9)
		}
	}
	return text
}

// Send is one send as it was seen.
type Send struct {
	At       int64            `json:"at_ns"`
	EndedAt  int64            `json:"heard_at_ns,omitempty"`
	Endpoint int32            `json:"endpoint"`
	Ended    bool             `json:"heard"`
	Outcome  delivery.Outcome `json:"how"`
}

// OutcomeNames are the names of the outcomes of sends, by port.Outcome.
var OutcomeNames = [...]string{
	"acked",
	"errored",
	"declined",
	"timed out",
	"connect failed",
	"reset",
	"cancelled",
	"unsent",
	"spoilt",
}

// OutcomeName names an outcome.
func OutcomeName(o delivery.Outcome) string { return OutcomeNames[o] }

// End is how an event ended.
type End uint8

const (
	Open End = iota
	Acked
	Declined
	Discarded
)

func (e End) String() string { return [...]string{"open", "acked", "declined", "discarded"}[e] }

const (
	maxViolations    = 50          // kept; the others are counted
	overdueTolerance = int64(3e8)  // ns past its time after which an event without an end is lost: the protocol's
	restartTolerance = int64(15e8) // ns after a restart in which no end is overdue: the protocol's
	binWidth         = int64(1e9)  // ns in which utility and load are gathered
	worstWindowBins  = 10          // bins of the worst spell
)

// The parts of the figure. Most of it is the whole run; a spell of trouble and a stream type that is left
// behind count for what an operator hears about first.
const (
	weightOverall     = 0.6
	weightWorstWindow = 0.3
	weightWorstType   = 0.1
)

// event is one event that a node took on, from its coming to its end.
type event struct {
	id           uint64
	typ          int32
	node         int32
	dest         int32
	key          uint64
	arrivedAt    int64 // when its client first had it
	deadline     int64
	end          End
	inUse        bool
	mayRun       bool
	firstRunAt   int64 // sending of the first send that may have run
	inFlight     int
	effects      int
	runningCalls int   // calls at its destination that will take effect
	dedupSince   int64 // when its destination took the call that took effect last
	sends        []Send
}

type orderKey struct {
	node int32
	typ  int32
	key  uint64
}

type keyQueue struct {
	events      []int32
	pausedUntil int64
}

type nodeEndpoint struct {
	node, ep int32
}

// Checker judges one run. Events are known by small numbers that their caller gives out and takes back.
type Checker struct {
	scenario        *scenario.Scenario
	types           []delivery.StreamType
	allowDuplicates bool
	events          []event
	keyQueues       map[orderKey]*keyQueue
	drainReportedAt map[nodeEndpoint]int64
	drainReported   []bool    // by endpoint: some node was told that it drains
	waitUntil       [][]int64 // by node and lane: until when
	servingSince    []int64   // by node: when it serves again; far away while it is down

	Violations     []Violation
	ViolationCount int // breaks in all

	offered, delivered                     []float64 // utility by bin of the asking
	offeredByType, deliveredByType         []float64
	offeredByCustomer, deliveredByCustomer []float64
	EndCounts                              [4]int64
	OutcomeCounts                          [9]int64 // outcomes that nodes heard
	Sends, Calls, Connections              int64
	Effects                                int64
	Arrivals, Accepted                     int64
	OnDelivery                             func(typ int, took int64) // hears the time from the asking to the delivery, where set
}

// New begins a ledger for a run of a scenario.
func New(day *scenario.Scenario) *Checker {
	l := &Checker{scenario: day, types: day.DeliveryTypes(), allowDuplicates: day.Fleet.AllowDuplicates, keyQueues: make(map[orderKey]*keyQueue),
		drainReportedAt: make(
			map[nodeEndpoint]int64,
		), waitUntil: make([][]int64, day.Fleet.Nodes), servingSince: make([]int64, day.Fleet.Nodes),
		offeredByType: make([]float64, len(day.Types)), deliveredByType: make([]float64, len(day.Types)),
		offeredByCustomer: make([]float64, len(day.Customers)), deliveredByCustomer: make([]float64, len(day.Customers))}
	return l
}

func grow[T any](list []T, i int) []T {
	for i >= len(list) {
		var none T
		list = append(list, none)
	}
	return list
}

func (l *Checker) violate(rule Rule, now int64, e *event, what string) {
	if l.ViolationCount++; len(l.Violations) < maxViolations {
		l.Violations = append(l.Violations, Violation{rule, now, e.id, e.node, what, slices.Clone(e.sends)})
	}
}

// RecordArrival notes that a client has an event; its tries belong to this one asking.
func (l *Checker) RecordArrival(now int64, typ, owner int) {
	u := l.scenario.Types[typ].Utility
	b := int(now / binWidth)
	l.offered, l.delivered = grow(l.offered, b), grow(l.delivered, b)
	l.offered[b] += u
	l.offeredByType[typ] += u
	l.offeredByCustomer[owner] += u
	l.Arrivals++
}

// RecordAccepted notes that a node has an event: from now on it owes the event's end.
func (l *Checker) RecordAccepted(
	now int64,
	evt int32,
	id uint64,
	node int32,
	typ int,
	dest int32,
	k uint64,
	asked, deadline int64,
) {
	l.events = grow(l.events, int(evt))
	e := &l.events[evt]
	*e = event{
		id:        id,
		typ:       int32(typ),
		node:      node,
		dest:      dest,
		key:       k,
		arrivedAt: asked,
		deadline:  deadline,
		inUse:     true,
		sends:     e.sends[:0],
	}
	l.Accepted++
	if l.types[typ].Ordered && k != 0 {
		at := orderKey{node, int32(typ), k}
		if l.keyQueues[at] == nil {
			l.keyQueues[at] = &keyQueue{}
		}
		l.keyQueues[at].events = append(l.keyQueues[at].events, evt)
	}
}

// RecordSend notes that a send goes out to an endpoint of a lane.
func (l *Checker) RecordSend(now int64, evt, ep, lane int32) {
	e := &l.events[evt]
	t := &l.types[e.typ]
	l.Sends++
	switch {
	case !e.inUse:
		l.violate(RuleSingleEnd, now, e, "a send of an event that nobody handed in")
		return
	case e.end != Open:
		l.violate(RuleSingleEnd, now, e, "a send after it was "+e.end.String())
	case now > e.deadline+overdueTolerance:
		l.violate(RuleSingleEnd, now, e, "a send after its time was up")
	}
	if e.inFlight > 0 && !l.allowDuplicates {
		l.violate(RuleSingleEnd, now, e, "two sends out at once")
	}
	if e.inFlight > 0 || e.mayRun {
		first := e.firstRunAt
		for _, s := range e.sends {
			if !s.Ended && (first == 0 || s.At < first) {
				first = s.At
			}
		}
		switch {
		case t.Safety == delivery.NonIdempotent:
			l.violate(RuleSingleEffect, now, e, "another send of an event that may have run and must not run twice")
		case t.Safety == delivery.Deduplicated && first > 0 && now-first > t.DedupWindow:
			l.violate(RuleSingleEffect, now, e, "a repeat after its mark may be forgotten")
		}
	}
	if int(ep) < len(l.drainReported) && l.drainReported[ep] {
		if at, told := l.drainReportedAt[nodeEndpoint{e.node, ep}]; told && now > at+int64(l.scenario.Rules.DrainGrace) {
			l.violate(
				RuleDrain,
				now,
				e,
				fmt.Sprintf("a send to endpoint %d, told to drain at %.3f s", ep, float64(at)/1e9),
			)
		}
	}
	if w := l.waitUntil[e.node]; int(lane) < len(w) && now < w[lane] {
		l.violate(
			RuleRetryAfter,
			now,
			e,
			fmt.Sprintf("a send to a destination that told to wait until %.3f s", float64(w[lane])/1e9),
		)
	}
	if t.Ordered && e.key != 0 {
		l.checkKeyOrder(now, evt, e)
	}
	e.inFlight++
	e.sends = append(e.sends, Send{At: now, Endpoint: ep})
}

// checkKeyOrder sees whether an event of a key may be sent now.
func (l *Checker) checkKeyOrder(now int64, evt int32, e *event) {
	k := l.keyQueues[orderKey{e.node, e.typ, e.key}]
	if k == nil {
		return
	}
	if now < k.pausedUntil && len(e.sends) == 0 {
		l.violate(
			RuleKeyOrder,
			now,
			e,
			fmt.Sprintf("a send of a key that rests until %.3f s", float64(k.pausedUntil)/1e9),
		)
	}
	for _, before := range k.events {
		if before == evt {
			return
		}
		if b := &l.events[before]; b.end == Open || b.inFlight > 0 {
			l.violate(RuleKeyOrder, now, e, fmt.Sprintf("a send before event %d of its key is over", b.id))
			return
		}
	}
}

// RecordOutcome notes what a node heard of a send, by its number.
func (l *Checker) RecordOutcome(now int64, evt int32, number int, how delivery.Outcome) {
	e := &l.events[evt]
	l.OutcomeCounts[how]++
	if number >= len(e.sends) || e.sends[number].Ended {
		return
	}
	s := &e.sends[number]
	s.Ended, s.EndedAt, s.Outcome = true, now, how
	e.inFlight--
	if how.MayHaveRun() && how != delivery.Acked && !e.mayRun {
		e.mayRun, e.firstRunAt = true, s.At
	}
	if t := &l.types[e.typ]; t.Ordered && e.key != 0 {
		k := l.keyQueues[orderKey{e.node, e.typ, e.key}]
		if k != nil && (how == delivery.TimedOut || how == delivery.Reset || how == delivery.Cancelled) {
			k.pausedUntil = now + int64(l.scenario.Rules.KeyPause)
		}
	}
}

// RecordCallReceived notes that a call which will take effect has come to its destination. It tells whether the
// destination knows the event's mark, so that nothing happens again.
func (l *Checker) RecordCallReceived(now int64, evt int32) (known bool) {
	e := &l.events[evt]
	t := &l.types[e.typ]
	known = t.Safety == delivery.Deduplicated && (e.runningCalls > 0 || (e.effects > 0 && now-e.dedupSince <= t.DedupWindow))
	e.runningCalls++
	return known
}

// RecordCallDone notes the end of the work of a call that came at a time: the event took effect, where it ran and its
// mark was not known.
func (l *Checker) RecordCallDone(now, came int64, evt int32, ran, known bool) {
	e := &l.events[evt]
	t := &l.types[e.typ]
	if e.runningCalls--; !ran || known {
		return
	}
	e.dedupSince = came
	l.Effects++
	if e.effects++; e.effects > 1 && t.Safety != delivery.Idempotent {
		l.violate(RuleSingleEffect, now, e, fmt.Sprintf("it took effect %d times", e.effects))
	}
}

// RecordEnd notes an event's end.
func (l *Checker) RecordEnd(now int64, evt int32, end End) {
	e := &l.events[evt]
	t := &l.types[e.typ]
	switch {
	case !e.inUse || e.end != Open:
		l.violate(RuleSingleEnd, now, e, fmt.Sprintf("%s after it was %s", end, e.end))
		return
	case now > e.deadline+overdueTolerance && now > l.servingSince[e.node]+restartTolerance:
		l.violate(
			RuleSingleEnd,
			now,
			e,
			fmt.Sprintf("%s %.3f s after its time was up", end, float64(now-e.deadline)/1e9),
		)
	case end == Declined && t.Safety == delivery.NonIdempotent && (e.mayRun || e.inFlight > 0):
		l.violate(RuleSingleEffect, now, e, "declined though it may have run and must not run twice")
	}
	e.end = end
	l.EndCounts[end]++
	if end == Acked {
		worth := l.scenario.Types[e.typ].UtilityShare(now - e.arrivedAt)
		l.creditUtility(e, worth)
		if l.OnDelivery != nil {
			l.OnDelivery(int(e.typ), now-e.arrivedAt)
		}
	}
}

func (l *Checker) creditUtility(e *event, worth float64) {
	u := worth * l.scenario.Types[e.typ].Utility
	b := int(e.arrivedAt / binWidth)
	l.delivered = grow(l.delivered, b)
	l.delivered[b] += u
	l.deliveredByType[e.typ] += u
}

// CreditCustomer credits a customer with an event that was delivered.
func (l *Checker) CreditCustomer(now int64, evt int32, owner int) {
	e := &l.events[evt]
	l.deliveredByCustomer[owner] += l.scenario.Types[e.typ].UtilityShare(now-e.arrivedAt) * l.scenario.Types[e.typ].Utility
}

// Abandon ends what is judged of an event: its client heard nothing and went elsewhere, so that what is sent
// for it counts for nothing.
func (l *Checker) Abandon(evt int32) {
	e := &l.events[evt]
	l.Accepted--
	e.inUse, e.end = false, Declined
	if k := l.keyQueues[orderKey{e.node, e.typ, e.key}]; k != nil {
		k.events = slices.DeleteFunc(k.events, func(other int32) bool { return other == evt })
	}
}

// Release ends what is known of an event: its number may be given out again. An event without an end is lost.
func (l *Checker) Release(now int64, evt int32) {
	e := &l.events[evt]
	if !e.inUse {
		return
	}
	if e.end == Open {
		l.violate(RuleSingleEnd, now, e, "it was left without an end")
	}
	if t := &l.types[e.typ]; t.Ordered && e.key != 0 {
		at := orderKey{e.node, e.typ, e.key}
		if k := l.keyQueues[at]; k != nil {
			k.events = slices.DeleteFunc(k.events, func(other int32) bool { return other == evt })
			if len(k.events) == 0 && now >= k.pausedUntil {
				delete(l.keyQueues, at)
			}
		}
	}
	e.inUse = false
}

// CheckOverdue looks for events whose time is up and that have no end. It is called now and then.
func (l *Checker) CheckOverdue(now int64) {
	for i := range l.events {
		e := &l.events[i]
		if e.inUse && e.end == Open && now > e.deadline+overdueTolerance && now > l.servingSince[e.node]+restartTolerance {
			l.violate(
				RuleSingleEnd,
				now,
				e,
				fmt.Sprintf("no end %.3f s after its time was up", float64(now-e.deadline)/1e9),
			)
			e.end = Discarded // told once
		}
	}
}

// RecordDrain notes that a node was told that an endpoint drains or is gone.
func (l *Checker) RecordDrain(now int64, node, ep int32) {
	l.drainReported = grow(l.drainReported, int(ep))
	l.drainReported[ep] = true
	if at := (nodeEndpoint{node, ep}); l.drainReportedAt[at] == 0 {
		l.drainReportedAt[at] = now
	}
}

// RecordRetryAfter notes that a node heard that it must wait for a lane.
func (l *Checker) RecordRetryAfter(now int64, node, lane int32, wait int64) {
	l.waitUntil[node] = grow(l.waitUntil[node], int(lane))
	l.waitUntil[node][lane] = max(l.waitUntil[node][lane], now+wait)
}

// RecordNodeStopping notes that a node was asked to stop: until it is back no end is overdue.
func (l *Checker) RecordNodeStopping(node int32) { l.servingSince[node] = 1 << 62 }

// RecordNodeDied notes that a node's process ended: sends that were out may have run, and waits end with it.
func (l *Checker) RecordNodeDied(now int64, node int32) {
	l.RecordNodeStopping(node)
	clear(l.waitUntil[node])
	for at := range l.drainReportedAt {
		if at.node == node {
			delete(l.drainReportedAt, at)
		}
	}
	for i := range l.events {
		e := &l.events[i]
		if !e.inUse || e.node != node {
			continue
		}
		for n := range e.sends {
			if s := &e.sends[n]; !s.Ended {
				s.Ended, s.EndedAt, s.Outcome = true, now, delivery.Reset
				e.inFlight--
				if !e.mayRun {
					e.mayRun, e.firstRunAt = true, s.At
				}
			}
		}
	}
	for at, k := range l.keyQueues {
		if at.node == node {
			k.pausedUntil = 0
		}
	}
}

// RecordNodeServing notes that a node serves again.
func (l *Checker) RecordNodeServing(now int64, node int32) { l.servingSince[node] = now }

// RecordOverload notes that a cold destination was pushed over, by so many calls, of which so many came from nodes that
// had seen its outage.
func (l *Checker) RecordOverload(now int64, dest int32, offered, informed int, allowed float64) {
	if 3*informed >= 2*offered {
		l.violate(
			RuleColdStart,
			now,
			&event{node: -1},
			fmt.Sprintf("destination %d pushed over while cold by %d calls where "+
				"%.1f are borne, %d of them from nodes that had seen its outage", dest, offered, allowed, informed),
		)
	}
}

// Summary is what a run was worth. Utility is told as a share of what was asked for.
type Summary struct {
	G              float64     `json:"g"`
	Overall        float64     `json:"whole"`
	WorstWindow    float64     `json:"worst_10s"`
	WorstType      float64     `json:"worst_type"`
	Types          []float64   `json:"types"`
	Customers      []float64   `json:"customers"`
	Waste          float64     `json:"waste"` // sends beyond one for each delivered event, by those asked for
	Arrivals       int64       `json:"asked"`
	Accepted       int64       `json:"taken"`
	Acked          int64       `json:"acked"`
	Declined       int64       `json:"declined"`
	Discarded      int64       `json:"discarded"`
	Sends          int64       `json:"sends"`
	Effects        int64       `json:"effects"`
	Outcomes       [9]int64    `json:"outcomes"`
	ViolationCount int         `json:"broken"`
	Violations     []Violation `json:"breaks,omitempty"`
}

// Summary sums up the run. Askings whose time had not run out by its end are left out of the worst spell.
func (l *Checker) Summary() Summary {
	s := Summary{Arrivals: l.Arrivals, Accepted: l.Accepted, Acked: l.EndCounts[Acked], Declined: l.EndCounts[Declined],
		Discarded: l.EndCounts[Discarded], Sends: l.Sends, Effects: l.Effects, Outcomes: l.OutcomeCounts, ViolationCount: l.ViolationCount,
		Violations: l.Violations, WorstWindow: 1, WorstType: 1}
	wanted, got := sum(l.offered), sum(l.delivered)
	s.Overall = ratio(got, wanted)
	for i := 0; i+worstWindowBins <= len(l.offered); i++ {
		if w := sum(l.offered[i : i+worstWindowBins]); w > 0 {
			s.WorstWindow = min(s.WorstWindow, ratio(sum(l.delivered[i:i+worstWindowBins]), w))
		}
	}
	if len(l.offered) < worstWindowBins {
		s.WorstWindow = s.Overall
	}
	for i := range l.offeredByType {
		r := ratio(l.deliveredByType[i], l.offeredByType[i])
		s.Types = append(s.Types, r)
		s.WorstType = min(s.WorstType, r)
	}
	for i := range l.offeredByCustomer {
		s.Customers = append(s.Customers, ratio(l.deliveredByCustomer[i], l.offeredByCustomer[i]))
	}
	if l.Arrivals > 0 {
		s.Waste = float64(l.Sends-l.EndCounts[Acked]) / float64(l.Arrivals)
	}
	s.G = weightOverall*s.Overall + weightWorstWindow*s.WorstWindow + weightWorstType*s.WorstType
	return s
}

// UtilityPerSecond is the share of the utility asked for in each second that was delivered.
func (l *Checker) UtilityPerSecond() (shares []float64) {
	for i := range l.offered {
		shares = append(shares, ratio(l.delivered[i], l.offered[i]))
	}
	return shares
}

func sum(list []float64) (sum float64) {
	for _, v := range list {
		sum += v
	}
	return sum
}

func ratio(a, b float64) float64 {
	if b <= 0 {
		return 1
	}
	return a / b
}

// MayHaveRun tells whether a send of an event may have run, for all that its node knows, and when the first
// such went out.
func (l *Checker) MayHaveRun(evt int32) (first int64, ran bool) {
	e := &l.events[evt]
	return e.firstRunAt, e.mayRun
}
