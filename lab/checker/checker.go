// Package checker checks a run against the six delivery rules and computes the utility that it delivered. It relies
// only on what clients, destinations and the directory observe, never on what a node reports about itself.
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
	RuleDrain                        // no send to a draining endpoint after the grace period
	RuleColdStart                    // a cold destination is not overloaded by nodes that saw its outage
	RuleKeyOrder                     // events of one key go one at a time, in the order of their arrival
	RuleRetryAfter                   // no send before the end of a Retry-After period
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
		return fmt.Errorf("unknown rule %q", text)
	}
	*r = Rule(i)
	return nil
}

// Violation is a violation of a rule, with the sends of the event as evidence.
type Violation struct {
	Rule        Rule   `json:"rule"`
	At          int64  `json:"at_ns"`
	Event       uint64 `json:"event"`
	Node        int32  `json:"node"`
	Description string `json:"what"`
	Sends       []Send `json:"sends,omitempty"`
}

func (v Violation) String() string {
	text := fmt.Sprintf(
		"rule %q violated at %.3f s: event %d at node %d: %s",
		v.Rule,
		float64(v.At)/1e9,
		v.Event,
		v.Node,
		v.Description,
	)
	for _, s := range v.Sends {
		text += fmt.Sprintf("; sent at %.3f s to endpoint %d", float64(s.At)/1e9, s.Endpoint)
		if s.Ended {
			text += fmt.Sprintf(", outcome %s at %.3f s", OutcomeName(s.Outcome), float64(s.EndedAt)/1e9)
		}
	}
	return text
}

// Send is one observed send and its outcome.
type Send struct {
	At       int64            `json:"at_ns"`
	EndedAt  int64            `json:"heard_at_ns,omitempty"`
	Endpoint int32            `json:"endpoint"`
	Ended    bool             `json:"heard"`
	Outcome  delivery.Outcome `json:"how"`
}

// OutcomeNames are the names of the outcomes of sends, indexed by delivery.Outcome.
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

// OutcomeName returns the name of an outcome.
func OutcomeName(o delivery.Outcome) string { return OutcomeNames[o] }

// End is the final end of an event, or Open before it.
type End uint8

const (
	Open End = iota
	Acked
	Declined
	Discarded
)

func (e End) String() string { return [...]string{"open", "acked", "declined", "discarded"}[e] }

const (
	maxViolations    = 50          // violations kept with evidence; further ones are only counted
	overdueTolerance = int64(3e8)  // ns after its deadline by which an event must have its end, as in the protocol
	restartTolerance = int64(15e8) // ns after a restart during which no end is overdue, as in the protocol
	binWidth         = int64(1e9)  // ns of arrival time for which utility is summed up
	worstWindowBins  = 10          // bins of the worst window: 10 s
)

// Weights of the parts of the score G. The whole run counts most; the worst window and the worst stream type are
// included since they are what an operator hears about first.
const (
	weightOverall     = 0.6
	weightWorstWindow = 0.3
	weightWorstType   = 0.1
)

// event is one event that a node accepted, from its acceptance to its release.
type event struct {
	id           uint64
	typ          int32
	node         int32
	dest         int32
	key          uint64
	arrivedAt    int64 // when its client first got it
	deadline     int64
	end          End
	inUse        bool
	mayRun       bool
	firstRunAt   int64 // start of the first send that may have run
	inFlight     int
	effects      int
	runningCalls int   // calls in progress at its destination that will take effect
	dedupSince   int64 // when its destination received the call that last took effect; starts the deduplication window
	sends        []Send
}

type orderKey struct {
	node int32
	typ  int32
	key  uint64
}

// keyQueue holds the events of one key in the order of their arrival. pausedUntil is the end of the pause after an
// uncertain outcome.
type keyQueue struct {
	events      []int32
	pausedUntil int64
}

type nodeEndpoint struct {
	node, ep int32
}

// Checker checks one run. The caller identifies events by small numbers, which it reuses after Release.
type Checker struct {
	scenario        *scenario.Scenario
	types           []delivery.StreamType
	allowDuplicates bool
	events          []event
	keyQueues       map[orderKey]*keyQueue
	drainReportedAt map[nodeEndpoint]int64
	drainReported   []bool    // by endpoint: some node was told that it drains
	waitUntil       [][]int64 // by node and endpoint group: end of the Retry-After period
	servingSince    []int64   // by node: start of serving; in the far future while it is stopping or down

	Violations     []Violation
	ViolationCount int // all violations, also those not kept

	offered, delivered                     []float64 // utility by arrival time, in bins
	offeredByType, deliveredByType         []float64
	offeredByCustomer, deliveredByCustomer []float64
	EndCounts                              [4]int64
	OutcomeCounts                          [9]int64 // outcomes that nodes saw, by delivery.Outcome
	Sends, Calls, Connections              int64
	FalseNotices                           int64 // of delivered events as undeliverable
	RepeatedAcks                           int64 // sends of events that had been acked, where RepeatsAcked is set

	// RepeatsAcked permits such sends of events that may be repeated, which are answered as delivered once more. On sockets an
	// answer names no event, and a node sends an event again whose answer may have been another one's.
	RepeatsAcked bool

	Effects            int64
	Arrivals, Accepted int64

	OnDelivery func(typ int, latency int64) // called with the time from arrival to delivery; may be nil
}

// New returns a checker for a run of a scenario.
func New(scn *scenario.Scenario) *Checker {
	c := &Checker{
		scenario:            scn,
		types:               scn.DeliveryTypes(),
		allowDuplicates:     scn.Fleet.AllowDuplicates,
		keyQueues:           make(map[orderKey]*keyQueue),
		drainReportedAt:     make(map[nodeEndpoint]int64),
		waitUntil:           make([][]int64, scn.Fleet.Nodes),
		servingSince:        make([]int64, scn.Fleet.Nodes),
		offeredByType:       make([]float64, len(scn.Types)),
		deliveredByType:     make([]float64, len(scn.Types)),
		offeredByCustomer:   make([]float64, len(scn.Customers)),
		deliveredByCustomer: make([]float64, len(scn.Customers)),
	}
	return c
}

func grow[T any](list []T, i int) []T {
	for i >= len(list) {
		var zero T
		list = append(list, zero)
	}
	return list
}

func (c *Checker) violate(rule Rule, now int64, e *event, description string) {
	if c.ViolationCount++; len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, Violation{rule, now, e.id, e.node, description, slices.Clone(e.sends)})
	}
}

// RecordArrival records a new event at a client. The client's retries belong to the same arrival.
func (c *Checker) RecordArrival(now int64, typ, customer int) {
	utility := c.scenario.Types[typ].Utility
	b := int(now / binWidth)
	c.offered, c.delivered = grow(c.offered, b), grow(c.delivered, b)
	c.offered[b] += utility
	c.offeredByType[typ] += utility
	c.offeredByCustomer[customer] += utility
	c.Arrivals++
}

// RecordAccepted records that a node received an event. From now on the node must give it a final end.
func (c *Checker) RecordAccepted(
	now int64,
	evt int32,
	id uint64,
	node int32,
	typ int,
	dest int32,
	key uint64,
	arrivedAt, deadline int64,
) {
	c.events = grow(c.events, int(evt))
	e := &c.events[evt]
	*e = event{
		id:        id,
		typ:       int32(typ),
		node:      node,
		dest:      dest,
		key:       key,
		arrivedAt: arrivedAt,
		deadline:  deadline,
		inUse:     true,
		sends:     e.sends[:0],
	}
	c.Accepted++
	if c.types[typ].Ordered && key != 0 {
		at := orderKey{node, int32(typ), key}
		if c.keyQueues[at] == nil {
			c.keyQueues[at] = &keyQueue{}
		}
		c.keyQueues[at].events = append(c.keyQueues[at].events, evt)
	}
}

// RecordSend records and checks a send to an endpoint of a group.
func (c *Checker) RecordSend(now int64, evt, ep, group int32) {
	e := &c.events[evt]
	t := &c.types[e.typ]
	c.Sends++
	switch {
	case !e.inUse:
		c.violate(RuleSingleEnd, now, e, "send of an event that the node has not accepted")
		return
	case e.end == Acked && c.RepeatsAcked && t.Safety != delivery.NonIdempotent:
		c.RepeatedAcks++
	case e.end != Open:
		c.violate(RuleSingleEnd, now, e, "send after the event was "+e.end.String())
	case now > e.deadline+overdueTolerance:
		c.violate(RuleSingleEnd, now, e, "send after the event's deadline")
	}
	if e.inFlight > 0 && !c.allowDuplicates {
		c.violate(RuleSingleEnd, now, e, "two sends of the event in flight at once")
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
			c.violate(RuleSingleEffect, now, e, "repeated send of a non-idempotent event that may have run")
		case t.Safety == delivery.Deduplicated && first > 0 && now-first > t.DedupWindow:
			c.violate(RuleSingleEffect, now, e, "repeated send after the end of the deduplication window")
		}
	}
	if int(ep) < len(c.drainReported) && c.drainReported[ep] {
		if at, reported := c.drainReportedAt[nodeEndpoint{e.node, ep}]; reported && now > at+int64(c.scenario.Rules.DrainGrace) {
			c.violate(
				RuleDrain,
				now,
				e,
				fmt.Sprintf("send to endpoint %d, which was reported as draining at %.3f s", ep, float64(at)/1e9),
			)
		}
	}
	if w := c.waitUntil[e.node]; int(group) < len(w) && now < w[group] {
		c.violate(
			RuleRetryAfter,
			now,
			e,
			fmt.Sprintf("send to a destination that asked to wait until %.3f s", float64(w[group])/1e9),
		)
	}
	if t.Ordered && e.key != 0 {
		c.checkKeyOrder(now, evt, e)
	}
	e.inFlight++
	e.sends = append(e.sends, Send{At: now, Endpoint: ep})
}

// checkKeyOrder checks whether an event with an ordering key may be sent now.
func (c *Checker) checkKeyOrder(now int64, evt int32, e *event) {
	queue := c.keyQueues[orderKey{e.node, e.typ, e.key}]
	if queue == nil {
		return
	}
	if now < queue.pausedUntil && len(e.sends) == 0 {
		c.violate(
			RuleKeyOrder,
			now,
			e,
			fmt.Sprintf("send of an event whose key is paused until %.3f s", float64(queue.pausedUntil)/1e9),
		)
	}
	for _, earlier := range queue.events {
		if earlier == evt {
			return
		}
		if b := &c.events[earlier]; b.end == Open || b.inFlight > 0 {
			c.violate(RuleKeyOrder, now, e, fmt.Sprintf("send before event %d of the same key has finished", b.id))
			return
		}
	}
}

// RecordOutcome records the outcome that a node saw of a send, given by the send's number within its event.
func (c *Checker) RecordOutcome(now int64, evt int32, number int, outcome delivery.Outcome) {
	e := &c.events[evt]
	c.OutcomeCounts[outcome]++
	if number >= len(e.sends) || e.sends[number].Ended {
		return
	}
	s := &e.sends[number]
	s.Ended, s.EndedAt, s.Outcome = true, now, outcome
	e.inFlight--
	if outcome.MayHaveRun() && outcome != delivery.Acked && !e.mayRun {
		e.mayRun, e.firstRunAt = true, s.At
	}
	if t := &c.types[e.typ]; t.Ordered && e.key != 0 {
		queue := c.keyQueues[orderKey{e.node, e.typ, e.key}]
		if queue != nil && (outcome == delivery.TimedOut || outcome == delivery.Reset || outcome == delivery.Cancelled) {
			queue.pausedUntil = now + int64(c.scenario.Rules.KeyPause)
		}
	}
}

// RecordCallReceived records that a call which will take effect has reached its destination. It reports whether the
// destination recognises the event's idempotency key, so that the call has no further effect.
func (c *Checker) RecordCallReceived(now int64, evt int32) (duplicate bool) {
	e := &c.events[evt]
	t := &c.types[e.typ]
	duplicate = t.Safety == delivery.Deduplicated &&
		(e.runningCalls > 0 || (e.effects > 0 && now-e.dedupSince <= t.DedupWindow))
	e.runningCalls++
	return duplicate
}

// RecordCallDone records that a destination finished a call that it received at reachedAt. The event took effect if
// the call ran and was not recognised as a duplicate.
func (c *Checker) RecordCallDone(now, reachedAt int64, evt int32, ran, duplicate bool) {
	e := &c.events[evt]
	t := &c.types[e.typ]
	if e.runningCalls--; !ran || duplicate {
		return
	}
	e.dedupSince = reachedAt
	c.Effects++
	if e.effects++; e.effects > 1 && t.Safety != delivery.Idempotent {
		c.violate(RuleSingleEffect, now, e, fmt.Sprintf("the event took effect %d times", e.effects))
	}
}

// RecordEnd records and checks an event's final end.
func (c *Checker) RecordEnd(now int64, evt int32, end End) {
	e := &c.events[evt]
	t := &c.types[e.typ]
	switch {
	case !e.inUse || e.end != Open:
		c.violate(RuleSingleEnd, now, e, fmt.Sprintf("%s after the event was already %s", end, e.end))
		return
	case now > e.deadline+overdueTolerance && now > c.servingSince[e.node]+restartTolerance:
		c.violate(
			RuleSingleEnd,
			now,
			e,
			fmt.Sprintf("%s %.3f s after the deadline", end, float64(now-e.deadline)/1e9),
		)
	case end == Declined && t.Safety == delivery.NonIdempotent && (e.mayRun || e.inFlight > 0):
		c.violate(RuleSingleEffect, now, e, "declined a non-idempotent event that may have run")
	}
	e.end = end
	c.EndCounts[end]++
	if end == Acked {
		share := c.scenario.Types[e.typ].UtilityShare(now - e.arrivedAt)
		c.creditUtility(e, share)
		if c.OnDelivery != nil {
			c.OnDelivery(int(e.typ), now-e.arrivedAt)
		}
	}
}

func (c *Checker) creditUtility(e *event, share float64) {
	utility := share * c.scenario.Types[e.typ].Utility
	b := int(e.arrivedAt / binWidth)
	c.delivered = grow(c.delivered, b)
	c.delivered[b] += utility
	c.deliveredByType[e.typ] += utility
}

// CreditCustomer credits a customer with the utility of a delivered event.
func (c *Checker) CreditCustomer(now int64, evt int32, customer int) {
	e := &c.events[evt]
	c.deliveredByCustomer[customer] += c.scenario.Types[e.typ].UtilityShare(now-e.arrivedAt) *
		c.scenario.Types[e.typ].Utility
}

// Abandon stops checking an event whose client got no answer and submitted it to another node. Later sends of it
// count for nothing.
func (c *Checker) Abandon(evt int32) {
	e := &c.events[evt]
	c.Accepted--
	e.inUse, e.end = false, Declined
	if queue := c.keyQueues[orderKey{e.node, e.typ, e.key}]; queue != nil {
		queue.events = slices.DeleteFunc(queue.events, func(other int32) bool { return other == evt })
	}
}

// Release forgets an event, so that its number may be reused. Releasing an event without an end is a violation.
func (c *Checker) Release(now int64, evt int32) {
	e := &c.events[evt]
	if !e.inUse {
		return
	}
	if e.end == Open {
		c.violate(RuleSingleEnd, now, e, "the node released the event without a final end")
	}
	if t := &c.types[e.typ]; t.Ordered && e.key != 0 {
		at := orderKey{e.node, e.typ, e.key}
		if queue := c.keyQueues[at]; queue != nil {
			queue.events = slices.DeleteFunc(queue.events, func(other int32) bool { return other == evt })
			if len(queue.events) == 0 && now >= queue.pausedUntil {
				delete(c.keyQueues, at)
			}
		}
	}
	e.inUse = false
}

// CheckOverdue reports events without an end that are past their deadline. It is to be called periodically.
func (c *Checker) CheckOverdue(now int64) {
	for i := range c.events {
		e := &c.events[i]
		if e.inUse && e.end == Open && now > e.deadline+overdueTolerance && now > c.servingSince[e.node]+restartTolerance {
			c.violate(
				RuleSingleEnd,
				now,
				e,
				fmt.Sprintf("no final end %.3f s after the deadline", float64(now-e.deadline)/1e9),
			)
			e.end = Discarded // so that it is reported only once
		}
	}
}

// RecordDrain records that a node was told that an endpoint is draining or gone.
func (c *Checker) RecordDrain(now int64, node, ep int32) {
	c.drainReported = grow(c.drainReported, int(ep))
	c.drainReported[ep] = true
	if at := (nodeEndpoint{node, ep}); c.drainReportedAt[at] == 0 {
		c.drainReportedAt[at] = now
	}
}

// RecordRetryAfter records that a node was told to wait before it sends to an endpoint group again.
func (c *Checker) RecordRetryAfter(now int64, node, group int32, wait int64) {
	c.waitUntil[node] = grow(c.waitUntil[node], int(group))
	c.waitUntil[node][group] = max(c.waitUntil[node][group], now+wait)
}

// RecordNodeStopping records that a node was asked to stop. Until it serves again, none of its ends is overdue.
func (c *Checker) RecordNodeStopping(node int32) { c.servingSince[node] = 1 << 62 }

// RecordNodeDied records that a node's process ended. Its sends in flight may have run, and the waits and drains that
// it was told of no longer bind it.
func (c *Checker) RecordNodeDied(now int64, node int32) {
	c.RecordNodeStopping(node)
	clear(c.waitUntil[node])
	for at := range c.drainReportedAt {
		if at.node == node {
			delete(c.drainReportedAt, at)
		}
	}
	for i := range c.events {
		e := &c.events[i]
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
	for at, queue := range c.keyQueues {
		if at.node == node {
			queue.pausedUntil = 0
		}
	}
}

// RecordNodeServing records that a node serves, for the first time or again.
func (c *Checker) RecordNodeServing(now int64, node int32) { c.servingSince[node] = now }

// RecordOverload records that a cold destination was overloaded by the offered calls. It is a violation if at least
// two thirds of them came from nodes that had seen the outage.
func (c *Checker) RecordOverload(now int64, dest int32, offered, informed int, allowed float64) {
	if 3*informed >= 2*offered {
		c.violate(
			RuleColdStart,
			now,
			&event{node: -1},
			fmt.Sprintf("cold destination %d overloaded by %d calls where "+
				"%.1f are allowed, %d of them from nodes that had seen its outage", dest, offered, allowed, informed),
		)
	}
}

// Summary is the result of a run. Utilities are shares of the utility of all arrivals.
type Summary struct {
	G              float64     `json:"g"`
	Overall        float64     `json:"whole"`
	WorstWindow    float64     `json:"worst_10s"`
	WorstType      float64     `json:"worst_type"`
	Types          []float64   `json:"types"`
	Customers      []float64   `json:"customers"`
	Waste          float64     `json:"waste"` // sends beyond one per delivered event, as a share of the arrivals
	Arrivals       int64       `json:"asked"`
	Accepted       int64       `json:"taken"`
	Acked          int64       `json:"acked"`
	Declined       int64       `json:"declined"`
	Discarded      int64       `json:"discarded"`
	Sends          int64       `json:"sends"`
	Effects        int64       `json:"effects"`
	Connections    int64       `json:"connections"`   // opened to endpoints
	RepeatedAcks   int64       `json:"repeated_acks"` // sends of events that had been acked; on sockets only
	FalseNotices   int64       `json:"false_notices"` // of delivered events as undeliverable; on sockets only
	Outcomes       [9]int64    `json:"outcomes"`
	ViolationCount int         `json:"broken"`
	Violations     []Violation `json:"breaks,omitempty"`
}

// Summary sums up the run. The worst window is taken over full windows only; a run shorter than one window has its
// overall utility instead.
func (c *Checker) Summary() Summary {
	s := Summary{
		Arrivals:       c.Arrivals,
		Accepted:       c.Accepted,
		Acked:          c.EndCounts[Acked],
		Declined:       c.EndCounts[Declined],
		Discarded:      c.EndCounts[Discarded],
		Sends:          c.Sends,
		Effects:        c.Effects,
		Connections:    c.Connections,
		RepeatedAcks:   c.RepeatedAcks,
		FalseNotices:   c.FalseNotices,
		Outcomes:       c.OutcomeCounts,
		ViolationCount: c.ViolationCount,
		Violations:     c.Violations,
		WorstWindow:    1,
		WorstType:      1,
	}
	offered, delivered := sum(c.offered), sum(c.delivered)
	s.Overall = ratio(delivered, offered)
	for i := 0; i+worstWindowBins <= len(c.offered); i++ {
		if w := sum(c.offered[i : i+worstWindowBins]); w > 0 {
			s.WorstWindow = min(s.WorstWindow, ratio(sum(c.delivered[i:i+worstWindowBins]), w))
		}
	}
	if len(c.offered) < worstWindowBins {
		s.WorstWindow = s.Overall
	}
	for i := range c.offeredByType {
		r := ratio(c.deliveredByType[i], c.offeredByType[i])
		s.Types = append(s.Types, r)
		s.WorstType = min(s.WorstType, r)
	}
	for i := range c.offeredByCustomer {
		s.Customers = append(s.Customers, ratio(c.deliveredByCustomer[i], c.offeredByCustomer[i]))
	}
	if c.Arrivals > 0 {
		s.Waste = float64(c.Sends-c.EndCounts[Acked]) / float64(c.Arrivals)
	}
	s.G = weightOverall*s.Overall + weightWorstWindow*s.WorstWindow + weightWorstType*s.WorstType
	return s
}

// UtilityPerSecond returns, for the arrivals of each second, the share of their utility that was delivered.
func (c *Checker) UtilityPerSecond() (shares []float64) {
	for i := range c.offered {
		shares = append(shares, ratio(c.delivered[i], c.offered[i]))
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

// MayHaveRun reports whether, as far as the node can know, a send of an event may have run, and when the first such
// send started.
func (c *Checker) MayHaveRun(evt int32) (first int64, ran bool) {
	e := &c.events[evt]
	return e.firstRunAt, e.mayRun
}
