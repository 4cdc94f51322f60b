package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// check checks every request against the rules after the run.
func (h *history) check(dedupWindow time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.discardUnreadResponses()
	for _, r := range h.ordered {
		h.checkAnswer(r)
		h.checkFinal(r)
		h.checkAfterEnd(r)
		h.checkRepeats(r, dedupWindow)
		h.checkDeparture(r)
		h.tally(r)
	}
	h.checkRepeatedShare()
	h.checkRecovery()
}

// checkRepeatedDelivery checks that a delivered request is forwarded again only where its node cannot know whose response it read. All
// responses look alike here, so that one which is not the first of its connection may have been another call's, and an endpoint answers a
// repeat as delivered once more. A node learns no more once it has exited or the endpoint has closed the connection; elsewhere, few
// repeats are allowed.
func (h *history) checkRepeatedDelivery(r *request, at time.Duration) {
	by := r.attempts[r.deliveredBy]
	switch {
	case r.class == Once || !by.reused:
		h.addViolationLocked(RuleAfterEnd, at, r, "forwarded after its delivery")
	case by.ended.Load() || h.exitedBetween(r.node, r.deliveredAt, at):
		h.counts[countRepeatedAfterClose]++
	default:
		h.counts[countRepeated]++
	}
}

// Limits of checkRepeatedShare.
const (
	maxRepeatedShare = 0.01
	maxRepeated      = 2
)

// checkRepeatedShare adds a violation if more than a few delivered requests were forwarded again.
func (h *history) checkRepeatedShare() {
	repeated, delivered := h.counts[countRepeated], h.counts["delivered"]
	if allowed := maxRepeated + int(maxRepeatedShare*float64(delivered)); repeated > allowed {
		h.addViolationLocked(RuleAfterEnd, h.now(), nil, "%d of %d delivered requests were forwarded again, allowed are %d", repeated, delivered, allowed)
	}
}

// Counts of delivered requests that were forwarded again: on connections that were open, and on those that had ended.
const (
	countRepeated           = "delivered, forwarded again"
	countRepeatedAfterClose = "delivered, forwarded again after the end of the connection"
)

// checkRecovery adds a violation for a node that refuses at least maxConsecutiveRefusals requests in succession over
// maxRefusalTime or longer.
func (h *history) checkRecovery() {
	type streak struct {
		refused int
		since   time.Duration
	}
	streaks := map[int]*streak{}
	for _, r := range h.ordered {
		if r.status == 0 {
			continue
		}
		if !r.refused() || streaks[r.node] == nil {
			streaks[r.node] = &streak{}
			if !r.refused() {
				continue
			}
		}
		s := streaks[r.node]
		if s.refused == 0 {
			s.since = r.answeredAt
		}
		s.refused++
		if s.refused >= maxConsecutiveRefusals && r.answeredAt-s.since >= maxRefusalTime {
			h.addViolationLocked(RuleRecovery, r.answeredAt, r, "node %d refused %d consecutive requests over %v", r.node,
				s.refused, r.answeredAt-s.since)
			streaks[r.node] = &streak{}
		}
	}
}

// Limits of checkRecovery.
const (
	maxConsecutiveRefusals = 15
	maxRefusalTime         = 4 * time.Second
)

func (h *history) tally(r *request) {
	switch {
	case r.deliveredAt > 0:
		h.counts["delivered"]++
	case r.goneAt > 0:
		h.counts[countGone]++
	case r.noticedAt > 0:
		h.counts["ended by a notice: "+r.notice]++
	case r.refused():
		h.counts["refused"]++
	default:
		h.counts["no final answer"]++
	}
	h.counts["attempts"] += len(r.attempts)
	h.tallyEnds(r)
	if r.accepted() && r.noticedAt > 0 && r.deliveredAt == 0 && len(r.attempts) == 0 {
		h.counts["accepted, ended without an attempt"]++
	}
}

// checkResponsive adds a violation for a node that left more than maxUnservedShare of its usual clients' requests without a
// response in time, or refused them, although nothing but the behavior of other clients was disturbed.
func (h *history) checkResponsive(nodes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	requests, late, refused := make([]int, nodes), make([]int, nodes), make([]int, nodes)
	slowest := make([]time.Duration, nodes)
	for _, r := range h.ordered {
		if r.left != nil {
			continue
		}
		requests[r.node]++
		switch took := r.answeredAt - r.sentAt; {
		case r.status == 0 || took > responseTimeout:
			late[r.node]++
		case !r.accepted():
			refused[r.node]++
		default:
			slowest[r.node] = max(slowest[r.node], took)
		}
	}
	for node, total := range requests {
		h.actions = append(h.actions, fmt.Sprintf("node %d: %d usual requests: %d without a response in time, %d refused, slowest "+
			"accepted after %v", node, total, late[node], refused[node], slowest[node].Round(time.Millisecond)))
		if allowed := maxUnserved + int(float64(total)*maxUnservedShare); late[node]+refused[node] > allowed {
			h.addViolationLocked(RuleResponsive, h.now(), nil, "node %d: %d of %d usual requests had no response in time and %d were "+
				"refused, allowed are %d", node, late[node], total, refused[node], allowed)
		}
	}
}

// Limits of checkResponsive: they allow for pauses of the machine, not for a pattern.
const (
	maxUnservedShare = 0.01
	maxUnserved      = 2
)

func (r *request) accepted() bool { return r.status == 200 || r.status == 202 }
func (r *request) refused() bool  { return r.status == 429 || r.status == 503 }

func (h *history) checkAnswer(r *request) {
	switch {
	case r.responseErr != "" && !h.exitedBetween(r.node, r.sentAt, r.answeredAt):
		h.addViolationLocked(RuleAnswer, r.answeredAt, r, "request got no complete response: %s", r.responseErr)
	case r.status != 0 && !r.accepted() && !r.refused():
		h.addViolationLocked(RuleAnswer, r.answeredAt, r, "request got status %d", r.status)
	}
}

// checkFinal checks that an accepted request was delivered or ended by a notice in time. A request whose response came
// after its client's time-out is not checked, because the client has given it up.
func (h *history) checkFinal(r *request) {
	if !r.accepted() || r.answeredAt-r.sentAt > responseTimeout {
		return
	}
	due := h.extendDue(r.node, r.deadline, r.deadline+finalAnswerGrace+socketGrace)
	for _, outage := range h.unavailable[r.node] {
		if outage.from <= due && r.sentAt <= outage.to {
			due = max(due, outage.to+readyGrace+socketGrace)
		}
	}
	end := r.deliveredAt
	for _, other := range []time.Duration{r.noticedAt, r.goneAt} {
		if end == 0 || (other > 0 && other < end) {
			end = other
		}
	}
	switch {
	case end == 0:
		h.addViolationLocked(RuleFinal, due, r, "accepted request got no final answer")
	case end > due:
		h.addViolationLocked(RuleFinal, due, r, "final answer came %v too late", (end - due).Round(time.Millisecond))
	}
}

// maxRecordDelay is how long a node may take to store an outcome while its disk works.
const maxRecordDelay = 300 * time.Millisecond

// exitedBeforeRecording reports whether a node's process exited before it had a working disk for long enough to store the response to an
// attempt, which was written at the given time, but before another attempt arrived. It may have exited before the response was written.
func (h *history) exitedBeforeRecording(node int, answered *attempt, since, until time.Duration) bool {
	return slices.ContainsFunc(h.exits[node], func(exit time.Duration) bool {
		if exit < answered.at || exit > until {
			return false
		}
		writable := h.readableFrom(node, since)
		for _, s := range h.diskFaults[node] {
			if s.from <= exit && s.to > writable {
				writable = s.to
			}
		}
		return exit < writable+maxRecordDelay
	})
}

// readableFrom returns when a node could first read what was written to it at the given time.
func (h *history) readableFrom(node int, at time.Duration) time.Duration {
	for _, s := range h.readOutages[node] {
		if s.from <= at && s.to > at {
			at = s.to
		}
	}
	return at
}

// extendDue postpones the time at which a final answer is due until the node is able to send one: while all its socket
// writes fail, for example, no program could report the outcome.
func (h *history) extendDue(node int, deadline, due time.Duration) time.Duration {
	for _, s := range h.writeOutages[node] {
		if s.from <= deadline && s.to+noticeGrace > due {
			due = s.to + noticeGrace
		}
	}
	for _, s := range mergeOverlapping(h.connectOutages[node]) {
		// The platform closed the node's connections, and the node cannot open new ones.
		disconnected := slices.ContainsFunc(h.platformDisconnects, func(at time.Duration) bool {
			return s.from-socketGrace <= at && at < s.to
		})
		if disconnected && s.from <= due && s.to+noticeGrace > due {
			due = s.to + noticeGrace
		}
	}
	for _, s := range h.platformFaults[node] { // a notice may be held, truncated or reset on its way
		if s.from <= due && s.to+noticeGrace > due {
			due = s.to + noticeGrace
		}
	}
	return due
}

// mergeOverlapping joins intervals that overlap.
func mergeOverlapping(list []interval) (joined []interval) {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b interval) int { return cmp.Compare(a.from, b.from) })
	for _, s := range list {
		if last := len(joined) - 1; last >= 0 && s.from <= joined[last].to {
			joined[last].to = max(joined[last].to, s.to)
			continue
		}
		joined = append(joined, s)
	}
	return joined
}

// checkAfterEnd checks that no request was forwarded after its refusal, notice, delivery or deadline. A node may
// forward a repeatable request again after its delivery if it exited before it had time to store the delivery, or if
// the response came on a disturbed connection; see also checkRepeatedDelivery. Calls on a disturbed connection are skipped, because the proxy may have
// held them back; for the same reason, requests on one are not checked against their deadline. Neither is one of many that a client
// left behind. A node that was suspended meanwhile cannot tell for how long a request waited to be read.
func (h *history) checkAfterEnd(r *request) {
	for _, a := range r.attempts {
		if a.conn.Disturbed() {
			continue
		}
		answered := &r.attempts[r.deliveredBy]
		switch {
		case h.checkAfterGone(r, &a):
		case r.refused() && r.answeredAt-r.sentAt <= responseTimeout:
			h.addViolationLocked(RuleAfterEnd, a.at, r, "refused request was forwarded")
		case r.noticedAt > 0 && a.at > r.noticedAt+processingGrace:
			h.addViolationLocked(RuleAfterEnd, a.at, r, "forwarded after its notice")
		case r.deliveredAt > 0 && a.at > r.deliveredAt+processingGrace && (r.class == Once ||
			!(h.exitedBeforeRecording(r.node, answered, r.deliveredAt, a.at) || answered.conn.Disturbed())):
			h.checkRepeatedDelivery(r, a.at)
		case a.at > r.deadline+processingGrace+socketGrace+h.frozenTime(r.node, r.sentAt, a.at) && !r.disturbed && !r.leftAmongMany():
			h.addViolationLocked(RuleAfterEnd, a.at, r, "forwarded after its deadline")
		default:
			continue
		}
		return
	}
}

// checkDeparture checks that a request is not forwarded for the first time after its client has left. A node may have read one
// request of each connection by then, since it answers them one after another. If it was suspended for as long as the connection
// lasted, it has read none, and it can tell that the client has left, unless there are more requests than its socket buffer holds: the
// end of the stream then waits behind them in the client's system, until the first response is answered with a reset. The
// grace that it has for a request that it had read is time in which it runs. Where endpoints
// fail or ask for a wait, requests that were accepted in time are forwarded later, so only runs without other faults are checked.
func (h *history) checkDeparture(r *request) {
	if !h.onlyClients || r.left == nil || r.resubmitted || len(r.attempts) == 0 {
		return
	}
	allowed, since := 1, r.left.at+processingGrace+socketGrace+h.frozenTime(r.node, r.left.at, r.attempts[0].at)
	if h.wasFrozen(r.node, r.left.connectedAt, r.left.at) {
		since = r.left.at
		if r.left.requests <= fewRequests {
			allowed = 0
		}
	}
	if r.attempts[0].at <= since {
		return
	}
	if r.left.started++; r.left.started > allowed {
		h.addViolationLocked(RuleAfterEnd, r.attempts[0].at, r, "forwarded after its client had left")
	}
}

// leftAmongMany reports whether a request was one of more than a socket buffer holds, and its client left: the node cannot tell how long
// it waited, nor, for the first of them, that nobody waits for it.
func (r *request) leftAmongMany() bool {
	return r.left != nil && !r.resubmitted && r.left.requests > fewRequests
}

func (h *history) checkRepeats(r *request, dedupWindow time.Duration) {
	var first *attempt
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.ran {
			continue
		}
		switch {
		case first == nil:
			first = a
			continue
		case r.class == Once:
			h.addViolationLocked(RuleRepeat, a.at, r, "request that may not be repeated was executed twice")
		case r.class == Keyed && a.at > first.at+dedupWindow+socketGrace+h.holdTime(r.node, a.at) && !a.conn.Disturbed():
			// A call on a disturbed connection may have been sent in time and held back by the proxy.
			h.addViolationLocked(RuleRepeat, a.at, r, "keyed request was executed again %v after its window", a.at-first.at-dedupWindow)
		default:
			continue
		}
		return
	}
}

// checkUntried adds a violation if more than half, and more than two, of the requests that a restart found without an
// attempt and with at least half of their time left were ended early without one. The requests that may not be repeated
// are checked separately as well.
func (h *history) checkUntried(restarts map[int][]interval) {
	h.mu.Lock()
	defer h.mu.Unlock()
	type tally struct{ found, abandoned int }
	var all, once tally
	for _, r := range h.ordered {
		for _, restart := range restarts[r.node] {
			if !r.accepted() || r.answeredAt > restart.from || (r.deliveredAt > 0 && r.deliveredAt < restart.from) ||
				(r.noticedAt > 0 && r.noticedAt < restart.from) || r.deadline-restart.to < (r.deadline-r.sentAt)/2 ||
				(len(r.attempts) > 0 && r.attempts[0].at < restart.from) {
				continue
			}
			abandoned := 0
			if len(r.attempts) == 0 && r.noticedAt > 0 && r.noticedAt < r.deadline-(r.deadline-r.sentAt)/5 {
				abandoned = 1
			}
			all.found, all.abandoned = all.found+1, all.abandoned+abandoned
			if r.class == Once {
				once.found, once.abandoned = once.found+1, once.abandoned+abandoned
			}
		}
	}
	h.counts["found without an attempt by a restart"] += all.found
	h.counts["found without an attempt by a restart, ended early without one"] += all.abandoned
	for name, s := range map[string]tally{"requests": all, "requests that may not be repeated": once} {
		if s.abandoned > 2 && s.abandoned*2 > s.found {
			h.addViolationLocked(RuleUntried, h.now(), nil, "%s", fmt.Sprintf("a restart found %[2]d %[3]s without an attempt, and "+
				"%[1]d of them were ended early without one", s.abandoned, s.found, name))
		}
	}
}
