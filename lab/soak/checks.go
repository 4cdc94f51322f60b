package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// judge holds every request to the rules, once all is over.
func (l *ledger) judge(keyedWindow time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.order {
		l.judgeAnswer(r)
		l.judgeFinal(r)
		l.judgeAfterEnd(r)
		l.judgeRepeats(r, keyedWindow)
		l.tally(r)
	}
	l.judgeRecovery()
}

// judgeRecovery: no node may refuse all that it gets for so long.
func (l *ledger) judgeRecovery() {
	type row struct {
		refused int
		since   time.Duration
	}
	rows := map[int]*row{}
	for _, r := range l.order {
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
			in.since = r.heard
		}
		in.refused++
		if in.refused >= mostRefusedInARow && r.heard-in.since >= mostRefusing {
			l.violate(RuleRecovery, r.heard, r, "node %d refused %d requests on end for %v", r.node, in.refused, r.heard-in.since)
			rows[r.node] = &row{}
		}
	}
}

// A node may not refuse all that it gets, if that is as much, for so long.
const (
	mostRefusedInARow = 15
	mostRefusing      = 4 * time.Second
)

func (l *ledger) tally(r *request) {
	switch {
	case r.done > 0:
		l.counts["delivered"]++
	case r.noticed > 0:
		l.counts["ended by a notice: "+r.notice]++
	case r.refused():
		l.counts["refused"]++
	default:
		l.counts["no end"]++
	}
	if r.accepted() && r.noticed > 0 && r.done == 0 && len(r.attempts) == 0 {
		l.counts["accepted, ended untried"]++
	}
}

func (r *request) accepted() bool { return r.status == 200 || r.status == 202 }
func (r *request) refused() bool  { return r.status == 429 || r.status == 503 }

func (l *ledger) judgeAnswer(r *request) {
	switch {
	case r.trouble != "" && !l.diedBetween(r.node, r.sent, r.heard):
		l.violate(RuleAnswer, r.heard, r, "a request got no complete answer: %s", r.trouble)
	case r.status != 0 && !r.accepted() && !r.refused():
		l.violate(RuleAnswer, r.heard, r, "a request was answered %d", r.status)
	}
}

// judgeFinal: a request that its client gave up after its patience counts for nothing any more.
func (l *ledger) judgeFinal(r *request) {
	if !r.accepted() || r.heard-r.sent > answerPatience {
		return
	}
	due := l.possible(r.node, r.deadline, r.deadline+finalGrace+socketGrace)
	for _, s := range l.away[r.node] {
		if s.from <= due && r.sent <= s.to {
			due = max(due, s.to+readyGrace+socketGrace)
		}
	}
	end := r.done
	if end == 0 || (r.noticed > 0 && r.noticed < end) {
		end = r.noticed
	}
	switch {
	case end == 0:
		l.violate(RuleFinal, due, r, "an accepted request got no final answer")
	case end > due:
		l.violate(RuleFinal, due, r, "the final answer came %v too late", (end - due).Round(time.Millisecond))
	}
}

// recordWithin is how long a node whose disk works may take to write down what it knows.
const recordWithin = 300 * time.Millisecond

// diedUnwritten tells whether a node's process ended between two moments, before its disk had worked for long enough
// since the first.
func (l *ledger) diedUnwritten(node int, since, until time.Duration) bool {
	return slices.ContainsFunc(l.deaths[node], func(death time.Duration) bool {
		if death < since || death > until {
			return false
		}
		writable := l.heardFrom(node, since)
		for _, s := range l.diskFaults[node] {
			if s.from <= death && s.to > writable {
				writable = s.to
			}
		}
		return death < writable+recordWithin
	})
}

// heardFrom is when a node could first read what was written to it at a time.
func (l *ledger) heardFrom(node int, at time.Duration) time.Duration {
	for _, s := range l.deaf[node] {
		if s.from <= at && s.to > at {
			at = s.to
		}
	}
	return at
}

// possible puts a time off at which a final answer is due until one can be written at all: where every write on the
// node's sockets has failed from the deadline until then, no program could have told it.
func (l *ledger) possible(node int, deadline, due time.Duration) time.Duration {
	for _, s := range l.mute[node] {
		if s.from <= deadline && s.to+noticeGrace > due {
			due = s.to + noticeGrace
		}
	}
	for _, s := range merged(l.unopenable[node]) { // the platform ended the connections that the node had, and it can open none
		cutOff := slices.ContainsFunc(l.dropped, func(at time.Duration) bool { return s.from-socketGrace <= at && at < s.to })
		if cutOff && s.from <= due && s.to+noticeGrace > due {
			due = s.to + noticeGrace
		}
	}
	for _, s := range l.platform[node] { // a notice may be held, cut off or reset on its way
		if s.from <= due && s.to+noticeGrace > due {
			due = s.to + noticeGrace
		}
	}
	return due
}

// merged joins spans that overlap.
func merged(list []span) (joined []span) {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b span) int { return cmp.Compare(a.from, b.from) })
	for _, s := range list {
		if last := len(joined) - 1; last >= 0 && s.from <= joined[last].to {
			joined[last].to = max(joined[last].to, s.to)
			continue
		}
		joined = append(joined, s)
	}
	return joined
}

// judgeAfterEnd: a request that may be repeated may be sent again by a node that died before it had time to write
// down that it is delivered, or that was told so on a connection which was disturbed. When a call left that came on a
// disturbed connection is not known, for the path may have held it; nor when a request came that was held before its node.
func (l *ledger) judgeAfterEnd(r *request) {
	for _, a := range r.attempts {
		if a.path.Disturbed() {
			continue
		}
		restarted := func(since time.Duration) bool { return l.diedUnwritten(r.node, since, a.at) }
		switch {
		case r.refused() && r.heard-r.sent <= answerPatience:
			l.violate(RuleAfterEnd, a.at, r, "a refused request was forwarded")
		case r.noticed > 0 && a.at > r.noticed+crossingGrace:
			l.violate(RuleAfterEnd, a.at, r, "forwarded after its notice")
		case r.done > 0 && a.at > r.done+crossingGrace && (r.class == Once || !(restarted(r.done) || r.attempts[r.deliveredBy].path.Disturbed())):
			l.violate(RuleAfterEnd, a.at, r, "forwarded after its delivery")
		case a.at > r.deadline+crossingGrace+socketGrace && !r.disturbed:
			l.violate(RuleAfterEnd, a.at, r, "forwarded after its deadline")
		default:
			continue
		}
		return
	}
}

func (l *ledger) judgeRepeats(r *request, keyedWindow time.Duration) {
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
			l.violate(RuleRepeat, a.at, r, "a request that may not be repeated ran twice")
		case r.class == Keyed && a.at > first.at+keyedWindow+socketGrace && !a.path.Disturbed(): // else it may have left in time
			l.violate(RuleRepeat, a.at, r, "a keyed request ran again %v after its window", a.at-first.at-keyedWindow)
		default:
			continue
		}
		return
	}
}

// judgeUntried fails a run on which over half of the requests that restarts found untried, with half of their time
// left, were given up without a call; so, too, of those alone that may not be repeated.
func (l *ledger) judgeUntried(restarts map[int][]span) {
	l.mu.Lock()
	defer l.mu.Unlock()
	type share struct{ found, givenUp int }
	var all, once share
	for _, r := range l.order {
		for _, s := range restarts[r.node] {
			if !r.accepted() || r.heard > s.from || (r.done > 0 && r.done < s.from) || (r.noticed > 0 && r.noticed < s.from) ||
				r.deadline-s.to < (r.deadline-r.sent)/2 || (len(r.attempts) > 0 && r.attempts[0].at < s.from) {
				continue
			}
			untried := 0
			if len(r.attempts) == 0 && r.noticed > 0 && r.noticed < r.deadline-(r.deadline-r.sent)/5 {
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
			l.violate(RuleUntried, l.now(), nil, "%s", fmt.Sprintf("%d of %d untried %s were given up without a call", s.givenUp,
				s.found, name))
		}
	}
}
