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
	responseTimeout  = 400 * time.Millisecond  // a client waits so long for the answer to a request
	finalAnswerGrace = 500 * time.Millisecond  // a final answer later than its deadline by more is lost
	noticeGrace      = 300 * time.Millisecond  // in which a notice is told that can be told
	socketGrace      = 50 * time.Millisecond   // every limit is so much longer on sockets
	readyGrace       = 1500 * time.Millisecond // no notice is overdue until so long after a restarted node is ready
	processingGrace  = 150 * time.Millisecond  // a node may be held up so long between its clock and its write
	retryAfterGrace  = 100 * time.Millisecond  // calls so soon after a retry-after was told are let through
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
	conn     *faultproxy.Connection
}

// interval is a time between two moments.
type interval struct{ from, to time.Duration }

// request is all that is known of one request.
type request struct {
	id          string
	class       Class
	node        int
	dest        int
	sentAt      time.Duration
	deadline    time.Duration
	status      int // that its client heard, 0 for none
	answeredAt  time.Duration
	responseErr string // why its client has no complete answer

	disturbed   bool // the connection that it was written to was disturbed
	attempts    []attempt
	deliveredAt time.Duration // when an endpoint's 200 was written

	deliveredBy int // the attempt that it answered
	noticedAt   time.Duration
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

// history knows what each client heard, each endpoint received and the platform was told. It asks the nodes nothing.
type history struct {
	startedAt time.Time

	mu                  sync.Mutex
	requests            map[string]*request
	ordered             []*request
	unavailable         map[int][]interval // by node, from its signal until it was ready again
	exits               map[int][]time.Duration
	writeOutages        map[int][]interval // by node, while all writes on its sockets fail
	diskFaults          map[int][]interval // by node, while calls on its folder fail
	readOutages         map[int][]interval // by node, while all reads on its sockets fail
	connectOutages      map[int][]interval // by node, while it can open no connection
	platformDisconnects []time.Duration    // when the platform ended all its connections
	platformFaults      map[int][]interval // by node, while its connections to the platform are disturbed
	violations          []Violation
	counts              map[string]int
	actions             []string // what was done to the system
}

func newHistory() *history {
	return &history{startedAt: time.Now(), requests: map[string]*request{}, unavailable: map[int][]interval{}, exits: map[int][]time.Duration{}, writeOutages: map[int][]interval{}, diskFaults: map[int][]interval{},
		platformFaults: map[int][]interval{}, readOutages: map[int][]interval{}, connectOutages: map[int][]interval{},
		counts: map[string]int{}}
}

func (l *history) now() time.Duration { return time.Since(l.startedAt) }

func (l *history) logAction(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.actions = append(l.actions, fmt.Sprintf("%8v ", l.now().Round(time.Millisecond))+fmt.Sprintf(format, arguments...))
}

func (l *history) count(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[what]++
}

func (l *history) addViolationLocked(rule Rule, at time.Duration, r *request, format string, arguments ...any) {
	v := Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, arguments...)}
	if r != nil {
		v.Timeline = r.timeline()
	}
	l.violations = append(l.violations, v)
}

func (l *history) addViolation(rule Rule, format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolationLocked(rule, l.now(), nil, format, arguments...)
}

// recordRequest notes that a client is about to write a request.
func (l *history) recordRequest(id string, class Class, node, dest int, left time.Duration) *request {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	r := &request{id: id, class: class, node: node, dest: dest, sentAt: now, deadline: now + left}
	l.requests[id] = r
	l.ordered = append(l.ordered, r)
	return r
}

// recordResponse notes the answer to a request, or why there is no complete one.
func (l *history) recordResponse(r *request, status int, trouble string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.status, r.responseErr, r.answeredAt = status, trouble, l.now()
}

// recordAttempt notes that an endpoint read a call of a request whole. It tells the request's node, and nil for a request
// that no client handed in.
func (l *history) recordAttempt(id string, endpoint int, path *faultproxy.Connection) *request {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		l.addViolationLocked(RuleAnswer, l.now(), nil, "endpoint %d was sent %q, which no client handed in", endpoint, id)
		return nil
	}
	r.attempts = append(r.attempts, attempt{at: l.now(), endpoint: endpoint, outcome: "no answer", conn: path})
	return r
}

// recordOutcome notes how an endpoint answered the newest call of a request.
func (l *history) recordOutcome(r *request, at int, outcome string, ran, delivered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.attempts[at].outcome = outcome
	r.attempts[at].ran = r.attempts[at].ran || ran
	if delivered && r.deliveredAt == 0 {
		r.deliveredAt, r.deliveredBy = l.now(), at
	}
}

// recordUnreadResponses notes that answers came back unread: the node had closed the connection before they were written. On a disturbed
// connection it may be something else that was not read, such as a second copy.
func (l *history) recordUnreadResponses(parts []part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range parts {
		if p.request.attempts[p.attempt].conn.Disturbed() {
			continue
		}
		p.request.attempts[p.attempt].outcome = "given up by the node, unheard"
		if p.request.deliveredBy == p.attempt {
			p.request.deliveredAt = 0
		}
	}
}

func (l *history) attemptCount(r *request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(r.attempts)
}

// recordNotice notes what the platform was told.
func (l *history) recordNotice(id, status string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		l.addViolationLocked(RuleAnswer, l.now(), nil, "a notice for %q, which no client handed in", id)
		return
	}
	if r.noticedAt == 0 {
		r.noticedAt, r.notice = l.now(), status
	}
}

// recordDisturbedRequest notes that a request was written to a connection that was disturbed.
func (l *history) recordDisturbedRequest(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.disturbed = true
}

func (l *history) recordUnavailable(node int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable[node] = append(l.unavailable[node], interval{l.now(), math.MaxInt64})
}

func (l *history) recordReady(node int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if list := l.unavailable[node]; len(list) > 0 {
		list[len(list)-1].to = l.now()
	}
}

// recordDiskFault notes that calls on a node's folder fail for so long.
func (l *history) recordDiskFault(node int, long time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.diskFaults[node] = append(l.diskFaults[node], interval{l.now(), l.now() + long})
}

// recordWriteOutage notes that all writes on a node's sockets fail for so long.
func (l *history) recordWriteOutage(node int, long time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writeOutages[node] = append(l.writeOutages[node], interval{l.now(), l.now() + long})
}

// recordReadOutage notes that all reads on a node's sockets fail for so long.
func (l *history) recordReadOutage(node int, long time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readOutages[node] = append(l.readOutages[node], interval{l.now(), l.now() + long})
}

// recordConnectOutage notes that a node can open no connection for so long.
func (l *history) recordConnectOutage(node int, long time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connectOutages[node] = append(l.connectOutages[node], interval{l.now(), l.now() + long})
}

// recordPlatformDisconnect notes that the platform ends all its connections.
func (l *history) recordPlatformDisconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.platformDisconnects = append(l.platformDisconnects, l.now())
}

// recordPlatformFault notes that a node's connections to the platform are disturbed for so long.
func (l *history) recordPlatformFault(node int, long time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.platformFaults[node] = append(l.platformFaults[node], interval{l.now(), l.now() + long})
}

// recordExit notes that a node's process is gone.
func (l *history) recordExit(node int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exits[node] = append(l.exits[node], l.now())
}

// exitedBetween tells whether a node's process ended at a moment of a span, or just after it.
func (l *history) exitedBetween(node int, from, to time.Duration) bool {
	return slices.ContainsFunc(l.exits[node], func(at time.Duration) bool { return from <= at && at <= to+socketGrace })
}

func (r *request) timeline() []string {
	type moment struct {
		at   time.Duration
		text string
	}
	list := []moment{{r.sentAt, fmt.Sprintf("request %s (%s) written to node %d for destination %d, deadline %v", r.id, r.class,
		r.node, r.dest, r.deadline.Round(time.Millisecond))}}
	if r.answeredAt > 0 {
		list = append(list, moment{r.answeredAt, fmt.Sprintf("its client heard %d %s", r.status, r.responseErr)})
	}
	for _, a := range r.attempts {
		list = append(list, moment{a.at, fmt.Sprintf("endpoint %d read a call: %s, ran %v, disturbed %v", a.endpoint, a.outcome, a.ran,
			a.conn.Disturbed())})
	}
	if r.deliveredAt > 0 {
		list = append(list, moment{r.deliveredAt, "delivered"})
	}
	if r.noticedAt > 0 {
		list = append(list, moment{r.noticedAt, "the platform heard " + r.notice})
	}
	slices.SortStableFunc(list, func(a, b moment) int { return cmp.Compare(a.at, b.at) })
	var lines []string
	for _, m := range list {
		lines = append(lines, fmt.Sprintf("%8v %s", m.at.Round(time.Millisecond), m.text))
	}
	return lines
}
