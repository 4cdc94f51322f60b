package soak

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"jaspersill/lab/faultproxy"
	"jaspersill/lab/hostile"
)

// Time limits of the protocol and tolerances of the checks.
const (
	responseTimeout  = 400 * time.Millisecond  // how long a client waits for the response to a request
	finalAnswerGrace = 500 * time.Millisecond  // how long after its deadline a request's final answer still counts
	noticeGrace      = 300 * time.Millisecond  // time allowed to deliver a notice once it can be delivered
	socketGrace      = 50 * time.Millisecond   // added to every limit, because the soak runs over real sockets
	readyGrace       = 1500 * time.Millisecond // no notice is overdue until this long after a restarted node is ready
	processingGrace  = 150 * time.Millisecond  // possible delay in a node between reading its clock and writing
	retryAfterGrace  = 100 * time.Millisecond  // calls this soon after a Retry-After are permitted
)

// Class says whether a request may be repeated.
type Class string

// The request classes, with their names in the node's settings.
const (
	Repeatable Class = "alert"
	Once       Class = "charge"
	Keyed      Class = "keyed"
)

// Rule is one of the rules that a run is checked against.
type Rule string

// The rules, most of which are requirements of the protocol.
const (
	RuleAnswer     Rule = "answer"      // a request that a node has read gets one complete, valid response
	RuleFinal      Rule = "final"       // an accepted request is delivered or ended by a notice in time
	RuleAfterEnd   Rule = "after-end"   // a request that has its final answer is not forwarded again
	RuleRepeat     Rule = "repeat"      // no request takes effect a second time
	RuleDrain      Rule = "drain"       // a draining endpoint gets no new calls
	RuleSlowStart  Rule = "slow-start"  // an endpoint that recovers from an outage gets few calls at first
	RuleRetryAfter Rule = "retry-after" // no call before the time that a Retry-After header named
	RuleUntried    Rule = "untried"     // requests without an attempt before a restart are attempted after it
	RuleCrash      Rule = "crash"       // every process runs until it is told to stop, and is ready in time
	RuleRecovery   Rule = "recovers"    // no node refuses all requests for long
	RuleInternal   Rule = "internal"    // no node counts a violation in its own metrics
	RulePlace      Rule = "place"       // a call goes only to an endpoint of its request's destination
	RuleMemory     Rule = "memory"      // a node's memory stays within its limit
	RuleResponsive Rule = "responsive"  // trouble with some clients does not keep the others from being served
)

// attempt is one delivery attempt whose call an endpoint read completely.
type attempt struct {
	at       time.Duration
	endpoint int
	ran      bool // the endpoint started to execute the request
	outcome  string
	conn     *faultproxy.Connection
	connUse
	deliveredAt, goneAt time.Duration // when the endpoint's 200 or 410 was written
}

// connUse is what an endpoint knows of the connection that carried a call.
type connUse struct {
	reused bool          // it had carried a call before
	number int           // of the call on the connection
	calls  *atomic.Int32 // how many the connection carried in the end
	ended  *atomic.Bool  // the endpoint has closed it, so that the node could see no more on it
}

type interval struct{ from, to time.Duration }

// request is everything the soak recorded about one request.
type request struct {
	id          string
	class       Class
	node        int
	dest        int
	sentAt      time.Duration
	deadline    time.Duration
	status      int // of the response that its client read, 0 for none
	answeredAt  time.Duration
	responseErr string // why its client has no complete response

	disturbed   bool // it was written to a connection with an injected fault
	left        *departure
	resubmitted bool // after its client had left
	attempts    []attempt
	deliveredAt time.Duration // when an endpoint's 200 was written

	deliveredBy int           // index of the attempt that the 200 answered
	goneAt      time.Duration // when an endpoint's 410 was written
	goneBy      int           // index of the attempt that the 410 answered
	noticedAt   time.Duration
	notice      string
}

// departure is when a client closed a connection without reading the responses to its requests.
type departure struct {
	connectedAt, at time.Duration
	requests        int // on the connection
	started         int // those that were first forwarded after it
}

// Violation is one breach of a rule.
type Violation struct {
	Rule     Rule
	At       time.Duration
	Text     string
	Timeline []string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %v: %s\n    %s", v.Rule, v.At.Round(time.Millisecond), v.Text, strings.Join(v.Timeline, "\n    "))
}

// history records what the clients, the endpoints and the platform observed. Nothing in it comes from the nodes
// themselves, so that their own faults cannot hide a violation.
type history struct {
	startedAt   time.Time
	onlyClients bool // nothing but clients misbehaves

	longestDeadline time.Duration // of the requests

	mu                  sync.Mutex
	requests            map[string]*request
	ordered             []*request
	unavailable         map[int][]interval // by node, from the signal that stopped it until it was ready again
	exits               map[int][]time.Duration
	frozen              map[int][]interval // by node, while its process was suspended
	writeOutages        map[int][]interval // by node, while all its socket writes fail
	diskFaults          map[int][]interval // by node, while system calls on its state folder fail
	readOutages         map[int][]interval // by node, while all its socket reads fail
	connectOutages      map[int][]interval // by node, while it cannot open connections
	platformDisconnects []time.Duration    // when the platform closed all its connections
	platformFaults      map[int][]interval // by node, while faults are injected into its connections to the platform
	violations          []Violation
	counts              map[string]int
	actions             []string // signals, restarts and injected faults
}

func newHistory() *history {
	return &history{startedAt: time.Now(), longestDeadline: maxDeadline, requests: map[string]*request{}, unavailable: map[int][]interval{},
		exits: map[int][]time.Duration{}, writeOutages: map[int][]interval{}, diskFaults: map[int][]interval{},
		platformFaults: map[int][]interval{}, readOutages: map[int][]interval{}, connectOutages: map[int][]interval{},
		frozen: map[int][]interval{}, counts: map[string]int{}}
}

func (h *history) now() time.Duration { return time.Since(h.startedAt) }

func (h *history) logAction(format string, arguments ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.actions = append(h.actions, fmt.Sprintf("%8v ", h.now().Round(time.Millisecond))+fmt.Sprintf(format, arguments...))
}

func (h *history) count(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[what]++
}

func (h *history) addViolationLocked(rule Rule, at time.Duration, r *request, format string, arguments ...any) {
	v := Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, arguments...)}
	if r != nil {
		v.Timeline = r.timeline()
	}
	h.violations = append(h.violations, v)
}

func (h *history) addViolation(rule Rule, format string, arguments ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addViolationLocked(rule, h.now(), nil, format, arguments...)
}

// recordRequest records a request that a client is about to write.
func (h *history) recordRequest(id string, class Class, node, dest int, timeout time.Duration) *request {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	r := &request{id: id, class: class, node: node, dest: dest, sentAt: now, deadline: now + timeout}
	h.requests[id] = r
	h.ordered = append(h.ordered, r)
	return r
}

// recordResponse records the response to a request, or why there is no complete one.
func (h *history) recordResponse(r *request, status int, responseErr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.status, r.responseErr, r.answeredAt = status, responseErr, h.now()
}

// recordAttempt records that an endpoint has read a call of a node for a request completely. It returns nil for a request that no
// client sent.
func (h *history) recordAttempt(id string, node, endpoint int, conn *faultproxy.Connection, use connUse) *request {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.requests[id]
	if r == nil && hostile.IsID(id) { // not checked, so not among the ordered ones
		r = &request{id: id, class: Repeatable, node: node}
		h.requests[id] = r
	}
	if r == nil {
		h.addViolationLocked(RuleAnswer, h.now(), nil, "endpoint %d got a call for request %q, which no client sent", endpoint, id)
		return nil
	}
	r.attempts = append(r.attempts, attempt{at: h.now(), endpoint: endpoint, outcome: "no answer", conn: conn, connUse: use})
	return r
}

// recordOutcome records how an endpoint answered an attempt of a request.
func (h *history) recordOutcome(r *request, attempt int, outcome string, ran, delivered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.attempts[attempt].outcome = outcome
	r.attempts[attempt].ran = r.attempts[attempt].ran || ran
	if delivered {
		r.attempts[attempt].deliveredAt = h.now()
		r.updateEnds()
	}
}

// recordUnreadResponses records that responses were not read, because the node had closed the connection before they
// were written. Disturbed connections are skipped: the unread bytes may be something else there, such as a second copy.
func (h *history) recordUnreadResponses(parts []part) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range parts {
		p.request.discardResponse(p.attempt)
	}
}

// discardUnreadResponses does the same for responses that crossed their node's closing of the connection.
func (h *history) discardUnreadResponses() {
	for _, r := range h.ordered {
		for i := range r.attempts {
			if a := &r.attempts[i]; a.conn.ResponseUnread() && a.isLastCall() {
				r.discardResponse(i)
			}
		}
	}
}

// isLastCall reports whether no call followed the attempt's on its connection.
func (a *attempt) isLastCall() bool { return a.calls != nil && int(a.calls.Load()) == a.number }

// discardResponse records that the response to an attempt was not read.
func (r *request) discardResponse(attempt int) {
	a := &r.attempts[attempt]
	if a.conn.Disturbed() {
		return
	}
	a.outcome = "abandoned by the node, response not read"
	if a.deliveredAt > 0 || a.goneAt > 0 {
		a.deliveredAt, a.goneAt = 0, 0
		r.updateEnds()
	}
}

// updateEnds determines the first delivery of a request, and the first 410, after one was written or found unread.
func (r *request) updateEnds() {
	r.deliveredAt, r.deliveredBy, r.goneAt, r.goneBy = 0, 0, 0, 0
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.deliveredAt > 0 && r.deliveredAt == 0 {
			r.deliveredAt, r.deliveredBy = a.deliveredAt, i
		}
		if a.goneAt > 0 && r.goneAt == 0 {
			r.goneAt, r.goneBy = a.goneAt, i
		}
	}
}

func (h *history) attemptCount(r *request) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(r.attempts)
}

// recordNotice records a notice that the platform received.
func (h *history) recordNotice(id, status string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.requests[id]
	if hostile.IsID(id) {
		return
	}
	if r == nil {
		h.addViolationLocked(RuleAnswer, h.now(), nil, "notice for request %q, which no client sent", id)
		return
	}
	if r.noticedAt == 0 {
		r.noticedAt, r.notice = h.now(), status
	}
}

// recordLeft records that a client has closed the connection that carried these requests, without reading a response.
func (h *history) recordLeft(requests []*request, connectedAt time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	left := &departure{connectedAt: connectedAt, at: h.now(), requests: len(requests)}
	for _, r := range requests {
		r.left = left
	}
}

// recordResubmitted records that a request is submitted again under its id.
func (h *history) recordResubmitted(r *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	r.deadline += now - r.sentAt
	r.sentAt, r.resubmitted = now, true
}

// recordDisturbedRequest records that a request was written to a disturbed connection.
func (h *history) recordDisturbedRequest(r *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.disturbed = true
}

func (h *history) recordUnavailable(node int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if list := h.unavailable[node]; len(list) > 0 && list[len(list)-1].to == math.MaxInt64 { // it was not ready since the last signal
		return
	}
	h.unavailable[node] = append(h.unavailable[node], interval{h.now(), math.MaxInt64})
}

func (h *history) recordReady(node int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if list := h.unavailable[node]; len(list) > 0 {
		list[len(list)-1].to = h.now()
	}
}

// recordDiskFault records that, for the given time, system calls on a node's state folder fail.
func (h *history) recordDiskFault(node int, duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.diskFaults[node] = append(h.diskFaults[node], interval{h.now(), h.now() + duration})
}

// recordWriteOutage records that, for the given time, all socket writes of a node fail.
func (h *history) recordWriteOutage(node int, duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writeOutages[node] = append(h.writeOutages[node], interval{h.now(), h.now() + duration})
}

// recordReadOutage records that, for the given time, all socket reads of a node fail.
func (h *history) recordReadOutage(node int, duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readOutages[node] = append(h.readOutages[node], interval{h.now(), h.now() + duration})
}

// recordConnectOutage records that, for the given time, a node cannot open connections.
func (h *history) recordConnectOutage(node int, duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.connectOutages[node] = append(h.connectOutages[node], interval{h.now(), h.now() + duration})
}

// recordPlatformDisconnect records that the platform closes all its connections.
func (h *history) recordPlatformDisconnect() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.platformDisconnects = append(h.platformDisconnects, h.now())
}

// recordPlatformFault records that, for the given time, a node's connections to the platform are disturbed.
func (h *history) recordPlatformFault(node int, duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.platformFaults[node] = append(h.platformFaults[node], interval{h.now(), h.now() + duration})
}

// recordFrozen records that a node's process has been suspended since the given time.
func (h *history) recordFrozen(node int, since time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.frozen[node] = append(h.frozen[node], interval{since, h.now()})
}

// wasFrozen reports whether a node's process was suspended from one time to another.
func (h *history) wasFrozen(node int, from, to time.Duration) bool {
	return slices.ContainsFunc(h.frozen[node], func(s interval) bool { return s.from <= from && to <= s.to })
}

// frozenTime returns for how long a node's process was suspended between two times.
func (h *history) frozenTime(node int, from, to time.Duration) (total time.Duration) {
	for _, s := range h.frozen[node] {
		total += max(0, min(s.to, to)-max(s.from, from))
	}
	return total
}

// holdTime returns for how long a node may have been suspended between reading its clock and writing a call that arrives at the given time.
// Windows allow for processingGrace of that.
func (h *history) holdTime(node int, arrival time.Duration) time.Duration {
	return min(processingGrace, h.frozenTime(node, arrival-processingGrace-socketGrace, arrival))
}

// recordExit records that a node's process has exited.
func (h *history) recordExit(node int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exits[node] = append(h.exits[node], h.now())
}

// exitedBetween reports whether a node's process exited between two times or within socketGrace after the second.
func (h *history) exitedBetween(node int, from, to time.Duration) bool {
	return slices.ContainsFunc(h.exits[node], func(at time.Duration) bool { return from <= at && at <= to+socketGrace })
}

func (r *request) timeline() []string {
	type entry struct {
		at   time.Duration
		text string
	}
	list := []entry{{r.sentAt, fmt.Sprintf("request %s (%s) written to node %d for destination %d, deadline %v", r.id, r.class,
		r.node, r.dest, r.deadline.Round(time.Millisecond))}}
	if r.left != nil {
		list = append(list, entry{r.left.at, "its client left without a response"})
	}
	if r.answeredAt > 0 {
		list = append(list, entry{r.answeredAt, fmt.Sprintf("its client read status %d %s", r.status, r.responseErr)})
	}
	for _, a := range r.attempts {
		list = append(list, entry{a.at, fmt.Sprintf("endpoint %d read a call: %s, executed %v, connection disturbed %v",
			a.endpoint, a.outcome, a.ran, a.conn.Disturbed())})
	}
	if r.deliveredAt > 0 {
		list = append(list, entry{r.deliveredAt, "delivered"})
	}
	if r.goneAt > 0 {
		list = append(list, entry{r.goneAt, "ended by 410"})
	}
	if r.noticedAt > 0 {
		list = append(list, entry{r.noticedAt, "the platform got the notice " + r.notice})
	}
	slices.SortStableFunc(list, func(a, b entry) int { return cmp.Compare(a.at, b.at) })
	var lines []string
	for _, e := range list {
		lines = append(lines, fmt.Sprintf("%8v %s", e.at.Round(time.Millisecond), e.text))
	}
	return lines
}
