// Package ledger judges a run from outside: by what clients, partners and the directory saw, never by what a
// node says of itself. It holds the six rules and counts what the events were worth.
package ledger

import (
	"fmt"
	"slices"

	"jaspersill/delivery"
	"jaspersill/lab/scenario"
)

// Rule is one of the six rules of docs/design.md.
type Rule uint8

const (
	OneEnd  Rule = 1 + iota // exactly one final end, in time, and no send after it
	Once                    // no effect happens twice
	Drains                  // nothing new to an endpoint that drains, past the grace
	Returns                 // a cold destination is not pushed over by those that saw its outage
	Order                   // events of one key one at a time, in the order of their coming
	Waits                   // a told wait is heeded
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

// Break is a broken rule with its evidence.
type Break struct {
	Rule  Rule   `json:"rule"`
	At    int64  `json:"at_ns"`
	Event uint64 `json:"event"`
	Node  int32  `json:"node"`
	What  string `json:"what"`
	Sends []Send `json:"sends,omitempty"`
}

func (b Break) String() string {
	text := fmt.Sprintf(
		"%s broken at %.3f s: event %d at node %d: %s",
		b.Rule,
		float64(b.At)/1e9,
		b.Event,
		b.Node,
		b.What,
	)
	for _, s := range b.Sends {
		text += fmt.Sprintf("; sent at %.3f s to endpoint %d", float64(s.At)/1e9, s.Endpoint)
		if s.Heard {
			text += fmt.Sprintf(", heard %s at %.3f s", OutcomeName(s.How), float64(s.HeardAt)/1e9)
		}
	}
	return text
}

// Send is one send as it was seen.
type Send struct {
	At       int64            `json:"at_ns"`
	HeardAt  int64            `json:"heard_at_ns,omitempty"`
	Endpoint int32            `json:"endpoint"`
	Heard    bool             `json:"heard"`
	How      delivery.Outcome `json:"how"`
}

// Outcomes are the names of the outcomes of sends, by port.Outcome.
var Outcomes = [...]string{
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
func OutcomeName(o delivery.Outcome) string { return Outcomes[o] }

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
	mostBreaks = 50          // kept; the others are counted
	endSlack   = int64(3e8)  // ns past its time after which an event without an end is lost: the protocol's
	backSlack  = int64(15e8) // ns after a restart in which no end is overdue: the protocol's
	bin        = int64(1e9)  // ns in which utility and load are gathered
	worstSpan  = 10          // bins of the worst spell
)

// The parts of the figure. Most of it is the whole run; a spell of trouble and a stream type that is left
// behind count for what an operator hears about first.
const (
	partWhole = 0.6
	partSpell = 0.3
	partType  = 0.1
)

// event is one event that a node took on, from its coming to its end.
type event struct {
	id       uint64
	typ      int32
	node     int32
	dest     int32
	key      uint64
	asked    int64 // when its client first had it
	deadline int64
	end      End
	used     bool
	mayRun   bool
	ranAt    int64 // sending of the first send that may have run
	out      int
	effects  int
	working  int   // calls at its destination that will take effect
	learned  int64 // when its destination took the call that took effect last
	sends    []Send
}

type key struct {
	node int32
	typ  int32
	key  uint64
}

type line struct {
	events    []int32
	restUntil int64
}

type drain struct {
	node, ep int32
}

// Ledger judges one run. Events are known by small numbers that their caller gives out and takes back.
type Ledger struct {
	day     *scenario.Scenario
	types   []delivery.StreamType
	copies  bool
	events  []event
	lines   map[key]*line
	drains  map[drain]int64
	drained []bool    // by endpoint: some node was told that it drains
	waits   [][]int64 // by node and lane: until when
	backAt  []int64   // by node: when it serves again; far away while it is down

	Breaks []Break
	Broken int // breaks in all

	wanted, got           []float64 // utility by bin of the asking
	typeWanted, typeGot   []float64
	ownerWanted, ownerGot []float64
	Ends                  [4]int64
	How                   [9]int64 // outcomes that nodes heard
	Sends, Calls, Links   int64
	Effects               int64
	Asked, Taken          int64
	Latency               func(typ int, took int64) // hears the time from the asking to the delivery, where set
}

// New begins a ledger for a run of a scenario.
func New(day *scenario.Scenario) *Ledger {
	l := &Ledger{day: day, types: day.StreamTypes(), copies: day.Fleet.Copies, lines: make(map[key]*line),
		drains: make(
			map[drain]int64,
		), waits: make([][]int64, day.Fleet.Nodes), backAt: make([]int64, day.Fleet.Nodes),
		typeWanted: make([]float64, len(day.Types)), typeGot: make([]float64, len(day.Types)),
		ownerWanted: make([]float64, len(day.Owners)), ownerGot: make([]float64, len(day.Owners))}
	return l
}

func grow[T any](list []T, i int) []T {
	for i >= len(list) {
		var none T
		list = append(list, none)
	}
	return list
}

func (l *Ledger) breaks(rule Rule, now int64, e *event, what string) {
	if l.Broken++; len(l.Breaks) < mostBreaks {
		l.Breaks = append(l.Breaks, Break{rule, now, e.id, e.node, what, slices.Clone(e.sends)})
	}
}

// Ask notes that a client has an event; its tries belong to this one asking.
func (l *Ledger) Ask(now int64, typ, owner int) {
	u := l.day.Types[typ].Utility
	b := int(now / bin)
	l.wanted, l.got = grow(l.wanted, b), grow(l.got, b)
	l.wanted[b] += u
	l.typeWanted[typ] += u
	l.ownerWanted[owner] += u
	l.Asked++
}

// Take notes that a node has an event: from now on it owes the event's end.
func (l *Ledger) Take(
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
		id:       id,
		typ:      int32(typ),
		node:     node,
		dest:     dest,
		key:      k,
		asked:    asked,
		deadline: deadline,
		used:     true,
		sends:    e.sends[:0],
	}
	l.Taken++
	if l.types[typ].Ordered && k != 0 {
		at := key{node, int32(typ), k}
		if l.lines[at] == nil {
			l.lines[at] = &line{}
		}
		l.lines[at].events = append(l.lines[at].events, evt)
	}
}

// Begin notes that a send goes out to an endpoint of a lane.
func (l *Ledger) Begin(now int64, evt, ep, lane int32) {
	e := &l.events[evt]
	t := &l.types[e.typ]
	l.Sends++
	switch {
	case !e.used:
		l.breaks(OneEnd, now, e, "a send of an event that nobody handed in")
		return
	case e.end != Open:
		l.breaks(OneEnd, now, e, "a send after it was "+e.end.String())
	case now > e.deadline+endSlack:
		l.breaks(OneEnd, now, e, "a send after its time was up")
	}
	if e.out > 0 && !l.copies {
		l.breaks(OneEnd, now, e, "two sends out at once")
	}
	if e.out > 0 || e.mayRun {
		first := e.ranAt
		for _, s := range e.sends {
			if !s.Heard && (first == 0 || s.At < first) {
				first = s.At
			}
		}
		switch {
		case t.Safety == delivery.NonIdempotent:
			l.breaks(Once, now, e, "another send of an event that may have run and must not run twice")
		case t.Safety == delivery.Deduplicated && first > 0 && now-first > t.DedupWindow:
			l.breaks(Once, now, e, "a repeat after its mark may be forgotten")
		}
	}
	if int(ep) < len(l.drained) && l.drained[ep] {
		if at, told := l.drains[drain{e.node, ep}]; told && now > at+int64(l.day.Rules.Grace) {
			l.breaks(
				Drains,
				now,
				e,
				fmt.Sprintf("a send to endpoint %d, told to drain at %.3f s", ep, float64(at)/1e9),
			)
		}
	}
	if w := l.waits[e.node]; int(lane) < len(w) && now < w[lane] {
		l.breaks(
			Waits,
			now,
			e,
			fmt.Sprintf("a send to a destination that told to wait until %.3f s", float64(w[lane])/1e9),
		)
	}
	if t.Ordered && e.key != 0 {
		l.inTurn(now, evt, e)
	}
	e.out++
	e.sends = append(e.sends, Send{At: now, Endpoint: ep})
}

// inTurn sees whether an event of a key may be sent now.
func (l *Ledger) inTurn(now int64, evt int32, e *event) {
	k := l.lines[key{e.node, e.typ, e.key}]
	if k == nil {
		return
	}
	if now < k.restUntil && len(e.sends) == 0 {
		l.breaks(
			Order,
			now,
			e,
			fmt.Sprintf("a send of a key that rests until %.3f s", float64(k.restUntil)/1e9),
		)
	}
	for _, before := range k.events {
		if before == evt {
			return
		}
		if b := &l.events[before]; b.end == Open || b.out > 0 {
			l.breaks(Order, now, e, fmt.Sprintf("a send before event %d of its key is over", b.id))
			return
		}
	}
}

// Hear notes what a node heard of a send, by its number.
func (l *Ledger) Hear(now int64, evt int32, number int, how delivery.Outcome) {
	e := &l.events[evt]
	l.How[how]++
	if number >= len(e.sends) || e.sends[number].Heard {
		return
	}
	s := &e.sends[number]
	s.Heard, s.HeardAt, s.How = true, now, how
	e.out--
	if how.MayHaveRun() && how != delivery.Acked && !e.mayRun {
		e.mayRun, e.ranAt = true, s.At
	}
	if t := &l.types[e.typ]; t.Ordered && e.key != 0 {
		k := l.lines[key{e.node, e.typ, e.key}]
		if k != nil && (how == delivery.TimedOut || how == delivery.Reset || how == delivery.Cancelled) {
			k.restUntil = now + int64(l.day.Rules.OrderPause)
		}
	}
}

// Reach notes that a call which will take effect has come to its destination. It tells whether the
// destination knows the event's mark, so that nothing happens again.
func (l *Ledger) Reach(now int64, evt int32) (known bool) {
	e := &l.events[evt]
	t := &l.types[e.typ]
	known = t.Safety == delivery.Deduplicated && (e.working > 0 || (e.effects > 0 && now-e.learned <= t.DedupWindow))
	e.working++
	return known
}

// Run notes the end of the work of a call that came at a time: the event took effect, where it ran and its
// mark was not known.
func (l *Ledger) Run(now, came int64, evt int32, ran, known bool) {
	e := &l.events[evt]
	t := &l.types[e.typ]
	if e.working--; !ran || known {
		return
	}
	e.learned = came
	l.Effects++
	if e.effects++; e.effects > 1 && t.Safety != delivery.Idempotent {
		l.breaks(Once, now, e, fmt.Sprintf("it took effect %d times", e.effects))
	}
}

// Finish notes an event's end.
func (l *Ledger) Finish(now int64, evt int32, end End) {
	e := &l.events[evt]
	t := &l.types[e.typ]
	switch {
	case !e.used || e.end != Open:
		l.breaks(OneEnd, now, e, fmt.Sprintf("%s after it was %s", end, e.end))
		return
	case now > e.deadline+endSlack && now > l.backAt[e.node]+backSlack:
		l.breaks(
			OneEnd,
			now,
			e,
			fmt.Sprintf("%s %.3f s after its time was up", end, float64(now-e.deadline)/1e9),
		)
	case end == Declined && t.Safety == delivery.NonIdempotent && (e.mayRun || e.out > 0):
		l.breaks(Once, now, e, "declined though it may have run and must not run twice")
	}
	e.end = end
	l.Ends[end]++
	if end == Acked {
		worth := l.day.Types[e.typ].Worth(now - e.asked)
		l.credit(e, worth)
		if l.Latency != nil {
			l.Latency(int(e.typ), now-e.asked)
		}
	}
}

func (l *Ledger) credit(e *event, worth float64) {
	u := worth * l.day.Types[e.typ].Utility
	b := int(e.asked / bin)
	l.got = grow(l.got, b)
	l.got[b] += u
	l.typeGot[e.typ] += u
}

// Owner credits a customer with an event that was delivered.
func (l *Ledger) Owner(now int64, evt int32, owner int) {
	e := &l.events[evt]
	l.ownerGot[owner] += l.day.Types[e.typ].Worth(now-e.asked) * l.day.Types[e.typ].Utility
}

// Abandon ends what is judged of an event: its client heard nothing and went elsewhere, so that what is sent
// for it counts for nothing.
func (l *Ledger) Abandon(evt int32) {
	e := &l.events[evt]
	l.Taken--
	e.used, e.end = false, Declined
	if k := l.lines[key{e.node, e.typ, e.key}]; k != nil {
		k.events = slices.DeleteFunc(k.events, func(other int32) bool { return other == evt })
	}
}

// Leave ends what is known of an event: its number may be given out again. An event without an end is lost.
func (l *Ledger) Leave(now int64, evt int32) {
	e := &l.events[evt]
	if !e.used {
		return
	}
	if e.end == Open {
		l.breaks(OneEnd, now, e, "it was left without an end")
	}
	if t := &l.types[e.typ]; t.Ordered && e.key != 0 {
		at := key{e.node, e.typ, e.key}
		if k := l.lines[at]; k != nil {
			k.events = slices.DeleteFunc(k.events, func(other int32) bool { return other == evt })
			if len(k.events) == 0 && now >= k.restUntil {
				delete(l.lines, at)
			}
		}
	}
	e.used = false
}

// Sweep looks for events whose time is up and that have no end. It is called now and then.
func (l *Ledger) Sweep(now int64) {
	for i := range l.events {
		e := &l.events[i]
		if e.used && e.end == Open && now > e.deadline+endSlack && now > l.backAt[e.node]+backSlack {
			l.breaks(
				OneEnd,
				now,
				e,
				fmt.Sprintf("no end %.3f s after its time was up", float64(now-e.deadline)/1e9),
			)
			e.end = Discarded // told once
		}
	}
}

// Drain notes that a node was told that an endpoint drains or is gone.
func (l *Ledger) Drain(now int64, node, ep int32) {
	l.drained = grow(l.drained, int(ep))
	l.drained[ep] = true
	if at := (drain{node, ep}); l.drains[at] == 0 {
		l.drains[at] = now
	}
}

// Wait notes that a node heard that it must wait for a lane.
func (l *Ledger) Wait(now int64, node, lane int32, wait int64) {
	l.waits[node] = grow(l.waits[node], int(lane))
	l.waits[node][lane] = max(l.waits[node][lane], now+wait)
}

// Away notes that a node was asked to stop: until it is back no end is overdue.
func (l *Ledger) Away(node int32) { l.backAt[node] = 1 << 62 }

// Died notes that a node's process ended: sends that were out may have run, and waits end with it.
func (l *Ledger) Died(now int64, node int32) {
	l.Away(node)
	clear(l.waits[node])
	for at := range l.drains {
		if at.node == node {
			delete(l.drains, at)
		}
	}
	for i := range l.events {
		e := &l.events[i]
		if !e.used || e.node != node {
			continue
		}
		for n := range e.sends {
			if s := &e.sends[n]; !s.Heard {
				s.Heard, s.HeardAt, s.How = true, now, delivery.Reset
				e.out--
				if !e.mayRun {
					e.mayRun, e.ranAt = true, s.At
				}
			}
		}
	}
	for at, k := range l.lines {
		if at.node == node {
			k.restUntil = 0
		}
	}
}

// Back notes that a node serves again.
func (l *Ledger) Back(now int64, node int32) { l.backAt[node] = now }

// Fell notes that a cold destination was pushed over, by so many calls, of which so many came from nodes that
// had seen its outage.
func (l *Ledger) Fell(now int64, dest int32, offered, informed int, allowed float64) {
	if 3*informed >= 2*offered {
		l.breaks(
			Returns,
			now,
			&event{node: -1},
			fmt.Sprintf("destination %d pushed over while cold by %d calls where "+
				"%.1f are borne, %d of them from nodes that had seen its outage", dest, offered, allowed, informed),
		)
	}
}

// Summary is what a run was worth. Utility is told as a share of what was asked for.
type Summary struct {
	G          float64   `json:"g"`
	Whole      float64   `json:"whole"`
	WorstSpell float64   `json:"worst_10s"`
	WorstType  float64   `json:"worst_type"`
	Types      []float64 `json:"types"`
	Customers  []float64 `json:"customers"`
	Waste      float64   `json:"waste"` // sends beyond one for each delivered event, by those asked for
	Asked      int64     `json:"asked"`
	Taken      int64     `json:"taken"`
	Acked      int64     `json:"acked"`
	Declined   int64     `json:"declined"`
	Discarded  int64     `json:"discarded"`
	Sends      int64     `json:"sends"`
	Effects    int64     `json:"effects"`
	Outcomes   [9]int64  `json:"outcomes"`
	Broken     int       `json:"broken"`
	Breaks     []Break   `json:"breaks,omitempty"`
}

// Sum sums up the run. Askings whose time had not run out by its end are left out of the worst spell.
func (l *Ledger) Sum() Summary {
	s := Summary{Asked: l.Asked, Taken: l.Taken, Acked: l.Ends[Acked], Declined: l.Ends[Declined],
		Discarded: l.Ends[Discarded], Sends: l.Sends, Effects: l.Effects, Outcomes: l.How, Broken: l.Broken,
		Breaks: l.Breaks, WorstSpell: 1, WorstType: 1}
	wanted, got := total(l.wanted), total(l.got)
	s.Whole = ratio(got, wanted)
	for i := 0; i+worstSpan <= len(l.wanted); i++ {
		if w := total(l.wanted[i : i+worstSpan]); w > 0 {
			s.WorstSpell = min(s.WorstSpell, ratio(total(l.got[i:i+worstSpan]), w))
		}
	}
	if len(l.wanted) < worstSpan {
		s.WorstSpell = s.Whole
	}
	for i := range l.typeWanted {
		r := ratio(l.typeGot[i], l.typeWanted[i])
		s.Types = append(s.Types, r)
		s.WorstType = min(s.WorstType, r)
	}
	for i := range l.ownerWanted {
		s.Customers = append(s.Customers, ratio(l.ownerGot[i], l.ownerWanted[i]))
	}
	if l.Asked > 0 {
		s.Waste = float64(l.Sends-l.Ends[Acked]) / float64(l.Asked)
	}
	s.G = partWhole*s.Whole + partSpell*s.WorstSpell + partType*s.WorstType
	return s
}

// Utility is the share of the utility asked for in each second that was delivered.
func (l *Ledger) Utility() (shares []float64) {
	for i := range l.wanted {
		shares = append(shares, ratio(l.got[i], l.wanted[i]))
	}
	return shares
}

func total(list []float64) (sum float64) {
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
func (l *Ledger) MayHaveRun(evt int32) (first int64, ran bool) {
	e := &l.events[evt]
	return e.ranAt, e.mayRun
}
