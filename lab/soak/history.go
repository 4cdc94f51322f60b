package soak

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"jaspersill/lab/faultproxy"
)

// The protocol's times, to which requests are held.
const (
	answerPatience = 400 * time.Millisecond  // a client waits so long for the answer to a request
	finalGrace     = 500 * time.Millisecond  // a final answer later than its deadline by more is lost
	noticeGrace    = 300 * time.Millisecond  // in which a notice is told that can be told
	socketGrace    = 50 * time.Millisecond   // every limit is so much longer on sockets
	readyGrace     = 1500 * time.Millisecond // no notice is overdue until so long after a restarted node is ready
	crossingGrace  = 150 * time.Millisecond  // a node may be held up so long between its clock and its write
	waitGrace      = 100 * time.Millisecond  // calls so soon after a retry-after was told are let through
)

// Class is what repeating a request may do.
type Class string

// The classes of requests, by the names that the settings give them.
const (
	Repeatable Class = "alert"
	Once       Class = "charge"
	Keyed      Class = "keyed"
)

// Rule is one of the rules that a run is held to.
type Rule string

// The rules. Those that say nothing else are the protocol's.
const (
	RuleAnswer     Rule = "answer"     // a request that was read gets one complete answer of its protocol
	RuleFinal      Rule = "final"      // an accepted request is delivered or ended by a notice in time
	RuleAfterEnd   Rule = "after-end"  // nothing is sent for a request that has its final answer
	RuleRepeat     Rule = "repeat"     // no second effect
	RuleDrain      Rule = "drain"      // nothing new for an endpoint that drains
	RuleSlowStart  Rule = "slow-start" // an endpoint that returns gets few calls
	RuleRetryAfter Rule = "retry-after"
	RuleUntried    Rule = "untried"  // what a restart finds untried is tried
	RuleCrash      Rule = "crash"    // no process ends unasked or is not ready in time
	RuleRecovery   Rule = "recovers" // no node refuses everything for long
	RuleInternal   Rule = "internal" // no node counts a violation of its own
)

// attempt is one call of a request that an endpoint read whole.
type attempt struct {
	at       time.Duration
	endpoint int
	ran      bool
	outcome  string
	path     *faultproxy.Connection
}

// span is a time between two moments.
type span struct{ from, to time.Duration }

// request is all that is known of one request.
type request struct {
	id       string
	class    Class
	node     int
	dest     int
	sent     time.Duration
	deadline time.Duration
	status   int // that its client heard, 0 for none
	heard    time.Duration
	trouble  string // why its client has no complete answer

	disturbed bool // the connection that it was written to was disturbed
	attempts  []attempt
	done      time.Duration // when an endpoint's 200 was written

	deliveredBy int // the attempt that it answered
	noticed     time.Duration
	notice      string
}

// Violation is one broken rule.
type Violation struct {
	Rule     Rule
	At       time.Duration
	Text     string
	Timeline []string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %v: %s\n    %s", v.Rule, v.At.Round(time.Millisecond), v.Text, strings.Join(v.Timeline, "\n    "))
}

// ledger knows what each client heard, each endpoint received and the platform was told. It asks the nodes nothing.
type ledger struct {
	began time.Time

	mu         sync.Mutex
	requests   map[string]*request
	order      []*request
	away       map[int][]span // by node, from its signal until it was ready again
	deaths     map[int][]time.Duration
	mute       map[int][]span  // by node, while all writes on its sockets fail
	diskFaults map[int][]span  // by node, while calls on its folder fail
	deaf       map[int][]span  // by node, while all reads on its sockets fail
	unopenable map[int][]span  // by node, while it can open no connection
	dropped    []time.Duration // when the platform ended all its connections
	platform   map[int][]span  // by node, while its connections to the platform are disturbed
	violations []Violation
	counts     map[string]int
	events     []string // what was done to the system
}

func newLedger() *ledger {
	return &ledger{began: time.Now(), requests: map[string]*request{}, away: map[int][]span{}, deaths: map[int][]time.Duration{}, mute: map[int][]span{}, diskFaults: map[int][]span{},
		platform: map[int][]span{}, deaf: map[int][]span{}, unopenable: map[int][]span{},
		counts: map[string]int{}}
}

func (l *ledger) now() time.Duration { return time.Since(l.began) }

func (l *ledger) did(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, fmt.Sprintf("%8v ", l.now().Round(time.Millisecond))+fmt.Sprintf(format, arguments...))
}

func (l *ledger) count(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[what]++
}

func (l *ledger) violate(rule Rule, at time.Duration, r *request, format string, arguments ...any) {
	v := Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, arguments...)}
	if r != nil {
		v.Timeline = r.timeline()
	}
	l.violations = append(l.violations, v)
}

func (l *ledger) broke(rule Rule, format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violate(rule, l.now(), nil, format, arguments...)
}

// sends notes that a client is about to write a request.
func (l *ledger) sends(id string, class Class, node, dest int, left time.Duration) *request {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	r := &request{id: id, class: class, node: node, dest: dest, sent: now, deadline: now + left}
	l.requests[id] = r
	l.order = append(l.order, r)
	return r
}

// hears notes the answer to a request, or why there is no complete one.
func (l *ledger) hears(r *request, status int, trouble string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.status, r.trouble, r.heard = status, trouble, l.now()
}

// reaches notes that an endpoint read a call of a request whole. It tells the request's node, and nil for a request
// that no client handed in.
func (l *ledger) reaches(id string, endpoint int, path *faultproxy.Connection) *request {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		l.violate(RuleAnswer, l.now(), nil, "endpoint %d was sent %q, which no client handed in", endpoint, id)
		return nil
	}
	r.attempts = append(r.attempts, attempt{at: l.now(), endpoint: endpoint, outcome: "no answer", path: path})
	return r
}

// answers notes how an endpoint answered the newest call of a request.
func (l *ledger) answers(r *request, at int, outcome string, ran, delivered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.attempts[at].outcome = outcome
	r.attempts[at].ran = r.attempts[at].ran || ran
	if delivered && r.done == 0 {
		r.done, r.deliveredBy = l.now(), at
	}
}

// crossed notes that answers came back unread: the node had closed the connection before they were written. On a disturbed
// connection it may be something else that was not read, such as a second copy.
func (l *ledger) crossed(parts []part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range parts {
		if p.request.attempts[p.attempt].path.Disturbed() {
			continue
		}
		p.request.attempts[p.attempt].outcome = "given up by the node, unheard"
		if p.request.deliveredBy == p.attempt {
			p.request.done = 0
		}
	}
}

func (l *ledger) attemptsOf(r *request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(r.attempts)
}

// notices notes what the platform was told.
func (l *ledger) notices(id, status string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		l.violate(RuleAnswer, l.now(), nil, "a notice for %q, which no client handed in", id)
		return
	}
	if r.noticed == 0 {
		r.noticed, r.notice = l.now(), status
	}
}

// disturbs notes that a request was written to a connection that was disturbed.
func (l *ledger) disturbs(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.disturbed = true
}

func (l *ledger) leaves(node int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away[node] = append(l.away[node], span{l.now(), math.MaxInt64})
}

func (l *ledger) ready(node int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if list := l.away[node]; len(list) > 0 {
		list[len(list)-1].to = l.now()
	}
}

// failsDisk notes that calls on a node's folder fail for so long.
func (l *ledger) failsDisk(node int, long time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.diskFaults[node] = append(l.diskFaults[node], span{l.now(), l.now() + long})
}

// mutes notes that all writes on a node's sockets fail for so long.
func (l *ledger) mutes(node int, long time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mute[node] = append(l.mute[node], span{l.now(), l.now() + long})
}

// deafens notes that all reads on a node's sockets fail for so long.
func (l *ledger) deafens(node int, long time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deaf[node] = append(l.deaf[node], span{l.now(), l.now() + long})
}

// sealsOff notes that a node can open no connection for so long.
func (l *ledger) sealsOff(node int, long time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unopenable[node] = append(l.unopenable[node], span{l.now(), l.now() + long})
}

// drops notes that the platform ends all its connections.
func (l *ledger) drops() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped = append(l.dropped, l.now())
}

// disturbsPlatform notes that a node's connections to the platform are disturbed for so long.
func (l *ledger) disturbsPlatform(node int, long time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.platform[node] = append(l.platform[node], span{l.now(), l.now() + long})
}

// died notes that a node's process is gone.
func (l *ledger) died(node int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deaths[node] = append(l.deaths[node], l.now())
}

// diedBetween tells whether a node's process ended at a moment of a span, or just after it.
func (l *ledger) diedBetween(node int, from, to time.Duration) bool {
	return slices.ContainsFunc(l.deaths[node], func(at time.Duration) bool { return from <= at && at <= to+socketGrace })
}

func (r *request) timeline() []string {
	type moment struct {
		at   time.Duration
		text string
	}
	list := []moment{{r.sent, fmt.Sprintf("request %s (%s) written to node %d for destination %d, deadline %v", r.id, r.class,
		r.node, r.dest, r.deadline.Round(time.Millisecond))}}
	if r.heard > 0 {
		list = append(list, moment{r.heard, fmt.Sprintf("its client heard %d %s", r.status, r.trouble)})
	}
	for _, a := range r.attempts {
		list = append(list, moment{a.at, fmt.Sprintf("endpoint %d read a call: %s, ran %v, disturbed %v", a.endpoint, a.outcome, a.ran,
			a.path.Disturbed())})
	}
	if r.done > 0 {
		list = append(list, moment{r.done, "delivered"})
	}
	if r.noticed > 0 {
		list = append(list, moment{r.noticed, "the platform heard " + r.notice})
	}
	slices.SortStableFunc(list, func(a, b moment) int { return cmp.Compare(a.at, b.at) })
	var lines []string
	for _, m := range list {
		lines = append(lines, fmt.Sprintf("%8v %s", m.at.Round(time.Millisecond), m.text))
	}
	return lines
}
