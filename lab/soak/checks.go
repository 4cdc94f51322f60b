package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// check holds every request to the rules, once all is over.
func (l *history) check(keyedWindow time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.ordered {
		l.checkAnswer(r)
		l.checkFinal(r)
		l.checkAfterEnd(r)
		l.checkRepeats(r, keyedWindow)
		l.tally(r)
	}
	l.checkRecovery()
}

// checkRecovery: no node may refuse all that it gets for so long.
func (l *history) checkRecovery() {
	type row struct {
		refused int
		since   time.Duration
	}
	rows := map[int]*row{}
	for _, r := range l.ordered {
		if r.status == 0 {
			continue
		}
		if !r.refused() || rows[r.node] == nil {
			rows[r.node] = &row{}
			if !r.refused() {
				continue
			}
		}
		in := rows[r.node]
		if in.refused == 0 {
			in.since = r.answeredAt
		}
		in.refused++
		if in.refused >= maxConsecutiveRefusals && r.answeredAt-in.since >= maxRefusalTime {
			l.addViolationLocked(RuleRecovery, r.answeredAt, r, "node %d refused %d requests on end for %v", r.node, in.refused, r.answeredAt-in.since)
			rows[r.node] = &row{}
		}
	}
}

// A node may not refuse all that it gets, if that is as much, for so long.
const (
	maxConsecutiveRefusals = 15
	maxRefusalTime         = 4 * time.Second
)

func (l *history) tally(r *request) {
	switch {
	case r.deliveredAt > 0:
		l.counts["delivered"]++
	case r.noticedAt > 0:
		l.counts["ended by a notice: "+r.notice]++
	case r.refused():
		l.counts["refused"]++
	default:
		l.counts["no end"]++
	}
	if r.accepted() && r.noticedAt > 0 && r.deliveredAt == 0 && len(r.attempts) == 0 {
		l.counts["accepted, ended untried"]++
	}
}

func (r *request) accepted() bool { return r.status == 200 || r.status == 202 }
func (r *request) refused() bool  { return r.status == 429 || r.status == 503 }

func (l *history) checkAnswer(r *request) {
	switch {
	case r.responseErr != "" && !l.exitedBetween(r.node, r.sentAt, r.answeredAt):
		l.addViolationLocked(RuleAnswer, r.answeredAt, r, "a request got no complete answer: %s", r.responseErr)
	case r.status != 0 && !r.accepted() && !r.refused():
		l.addViolationLocked(RuleAnswer, r.answeredAt, r, "a request was answered %d", r.status)
	}
}

// checkFinal: a request that its client gave up after its patience counts for nothing any more.
func (l *history) checkFinal(r *request) {
	if !r.accepted() || r.answeredAt-r.sentAt > responseTimeout {
		return
	}
	due := l.extendDue(r.node, r.deadline, r.deadline+finalAnswerGrace+socketGrace)
	for _, s := range l.unavailable[r.node] {
		if s.from <= due && r.sentAt <= s.to {
			due = max(due, s.to+readyGrace+socketGrace)
		}
	}
	end := r.deliveredAt
	if end == 0 || (r.noticedAt > 0 && r.noticedAt < end) {
		end = r.noticedAt
	}
	switch {
	case end == 0:
		l.addViolationLocked(RuleFinal, due, r, "an accepted request got no final answer")
	case end > due:
		l.addViolationLocked(RuleFinal, due, r, "the final answer came %v too late", (end - due).Round(time.Millisecond))
	}
}

// maxRecordDelay is how long a node whose disk works may take to write down what it knows.
const maxRecordDelay = 300 * time.Millisecond

// exitedBeforeRecording tells whether a node's process ended between two moments, before its disk had worked for long enough
// since the first.
func (l *history) exitedBeforeRecording(node int, since, until time.Duration) bool {
	return slices.ContainsFunc(l.exits[node], func(death time.Duration) bool {
		if death < since || death > until {
			return false
		}
		writable := l.readableFrom(node, since)
		for _, s := range l.diskFaults[node] {
			if s.from <= death && s.to > writable {
				writable = s.to
			}
		}
		return death < writable+maxRecordDelay
	})
}

// readableFrom is when a node could first read what was written to it at a time.
func (l *history) readableFrom(node int, at time.Duration) time.Duration {
	for _, s := range l.readOutages[node] {
		if s.from <= at && s.to > at {
			at = s.to
		}
	}
	return at
}

// extendDue puts a time off at which a final answer is due until one can be written at all: where every write on the
// node's sockets has failed from the deadline until then, no program could have told it.
func (l *history) extendDue(node int, deadline, due time.Duration) time.Duration {
	for _, s := range l.writeOutages[node] {
		if s.from <= deadline && s.to+noticeGrace > due {
			due = s.to + noticeGrace
		}
	}
	for _, s := range mergeOverlapping(l.connectOutages[node]) { // the platform ended the connections that the node had, and it can open none
		cutOff := slices.ContainsFunc(l.platformDisconnects, func(at time.Duration) bool { return s.from-socketGrace <= at && at < s.to })
		if cutOff && s.from <= due && s.to+noticeGrace > due {
			due = s.to + noticeGrace
		}
	}
	for _, s := range l.platformFaults[node] { // a notice may be held, cut off or reset on its way
		if s.from <= due && s.to+noticeGrace > due {
			due = s.to + noticeGrace
		}
	}
	return due
}

// mergeOverlapping joins spans that overlap.
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

// checkAfterEnd: a request that may be repeated may be sent again by a node that died before it had time to write
// down that it is delivered, or that was told so on a connection which was disturbed. When a call left that came on a
// disturbed connection is not known, for the path may have held it; nor when a request came that was held before its node.
func (l *history) checkAfterEnd(r *request) {
	for _, a := range r.attempts {
		if a.conn.Disturbed() {
			continue
		}
		restarted := func(since time.Duration) bool { return l.exitedBeforeRecording(r.node, since, a.at) }
		switch {
		case r.refused() && r.answeredAt-r.sentAt <= responseTimeout:
			l.addViolationLocked(RuleAfterEnd, a.at, r, "a refused request was forwarded")
		case r.noticedAt > 0 && a.at > r.noticedAt+processingGrace:
			l.addViolationLocked(RuleAfterEnd, a.at, r, "forwarded after its notice")
		case r.deliveredAt > 0 && a.at > r.deliveredAt+processingGrace && (r.class == Once || !(restarted(r.deliveredAt) || r.attempts[r.deliveredBy].conn.Disturbed())):
			l.addViolationLocked(RuleAfterEnd, a.at, r, "forwarded after its delivery")
		case a.at > r.deadline+processingGrace+socketGrace && !r.disturbed:
			l.addViolationLocked(RuleAfterEnd, a.at, r, "forwarded after its deadline")
		default:
			continue
		}
		return
	}
}

func (l *history) checkRepeats(r *request, keyedWindow time.Duration) {
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
			l.addViolationLocked(RuleRepeat, a.at, r, "a request that may not be repeated ran twice")
		case r.class == Keyed && a.at > first.at+keyedWindow+socketGrace && !a.conn.Disturbed(): // else it may have left in time
			l.addViolationLocked(RuleRepeat, a.at, r, "a keyed request ran again %v after its window", a.at-first.at-keyedWindow)
		default:
			continue
		}
		return
	}
}

// checkUntried fails a run on which over half of the requests that restarts found untried, with half of their time
// left, were given up without a call; so, too, of those alone that may not be repeated.
func (l *history) checkUntried(restarts map[int][]interval) {
	l.mu.Lock()
	defer l.mu.Unlock()
	type share struct{ found, givenUp int }
	var all, once share
	for _, r := range l.ordered {
		for _, s := range restarts[r.node] {
			if !r.accepted() || r.answeredAt > s.from || (r.deliveredAt > 0 && r.deliveredAt < s.from) || (r.noticedAt > 0 && r.noticedAt < s.from) ||
				r.deadline-s.to < (r.deadline-r.sentAt)/2 || (len(r.attempts) > 0 && r.attempts[0].at < s.from) {
				continue
			}
			untried := 0
			if len(r.attempts) == 0 && r.noticedAt > 0 && r.noticedAt < r.deadline-(r.deadline-r.sentAt)/5 {
				untried = 1
			}
			all.found, all.givenUp = all.found+1, all.givenUp+untried
			if r.class == Once {
				once.found, once.givenUp = once.found+1, once.givenUp+untried
			}
		}
	}
	l.counts["found untried by a restart"] += all.found
	l.counts["found untried and given up early"] += all.givenUp
	for name, s := range map[string]share{"requests": all, "requests that may not be repeated": once} {
		if s.givenUp > 2 && s.givenUp*2 > s.found {
			l.addViolationLocked(RuleUntried, l.now(), nil, "%s", fmt.Sprintf("%d of %d untried %s were given up without a call", s.givenUp,
				s.found, name))
		}
	}
}
