// Package reuse decides which kept connections to an endpoint take another call, how long a connection rests before it
// counts as in step, and how long an outcome that may be another call's is held before it is believed. It keeps what
// was learned of one endpoint and does no I/O. Times are nanoseconds.
package connreuse

const (
	millisecond = int64(1e6)
	second      = 1000 * millisecond

	restFactor   = 2                 // a connection rests for so many times the slowest answer of late
	restLeast    = 100 * millisecond // a quick endpoint may be held up for a moment
	restMost     = 3 * second / 2    // the decision module's least time-out: an answer later than that is given up
	restUnknown  = 500 * millisecond // before any answer was measured
	slowestDecay = 16                // the slowest answer of late shrinks by this part with each quicker one

	alikeFirst  = 0.25 // share of refusals that are taken to be alike before any was seen: two that differ prove enough
	alikeKeep   = 0.25 // weight of a new one
	alikeFewest = 0.15 // below this share a refused message that may not be repeated is seldom given up for want of proof

	suspectFirst = 30 * second  // no connection is reused for so long after answers were out of step, doubling
	suspectMost  = 600 * second // and so long at most
)

// EndpointStats is what is known of the answers of one endpoint. The zero value knows nothing.
type EndpointStats struct {
	slowest      int64 // answer of late
	suspectUntil int64
	suspectSpan  int64
}

// RecordAnswer takes in how long a call took that was answered.
func (e *EndpointStats) RecordAnswer(took int64) {
	if e.slowest -= e.slowest / slowestDecay; took > e.slowest {
		e.slowest = took
	}
}

// QuietPeriod is how long a connection rests, with nothing unread, until it counts as in step: any answer that a call still
// had to come would have come.
func (e *EndpointStats) QuietPeriod() int64 {
	if e.slowest == 0 {
		return restUnknown
	}
	return min(max(restLeast, restFactor*e.slowest), restMost)
}

// RecordOutOfSync notes that answers were seen that no call waits for. More will come.
func (e *EndpointStats) RecordOutOfSync(now int64) {
	if now < e.suspectUntil {
		return
	}
	e.suspectSpan = min(max(suspectFirst, 2*e.suspectSpan), suspectMost)
	e.suspectUntil = now + e.suspectSpan
}

// ReuseAllowed tells whether connections are used for more than one call at present.
func (e *EndpointStats) ReuseAllowed(now int64) bool { return now >= e.suspectUntil }

// RefusalStats learns whether the refusals on a connection can be told apart, by the reports or waits that they carry. Where
// they can, a copy of one is known as such. It is shared by all endpoints, since each refuses seldom. The zero value has
// seen none.
type RefusalStats struct {
	seen  bool
	alike float64 // share of them that look like an earlier one on their connection
}

// Record takes in a refusal on a connection that was refused something before, and whether it looks like that.
func (r *RefusalStats) Record(alike bool) {
	if !r.seen {
		r.seen, r.alike = true, alikeFirst
	}
	r.alike -= alikeKeep * r.alike
	if alike {
		r.alike += alikeKeep
	}
}

// Distinguishable tells whether refusals can mostly be told apart.
func (r *RefusalStats) Distinguishable() bool { return r.seen && r.alike < alikeFewest }

// Candidate is an idle connection that might take a call.
type Candidate struct {
	IdleTime      int64 // since its last answer
	InSync        bool  // its last answer was surely its call's
	RefusedBefore bool  // an answer on it said that its call never ran
}

// Choose picks the idle connection for a call, the one used last standing at the end; -1 for a new one. A call that may
// not be repeated goes only where a refusal of it can be known for its own: on a connection in step that was never refused
// anything, or any in step where refusals are distinct. Others prefer connections in step that are of no use for those, the one used last, since unused ones grow stale; else
// the one that has rested longest.
func (e *EndpointStats) Choose(idle []Candidate, repeatable, distinct bool, now int64) int {
	if !e.ReuseAllowed(now) {
		return -1
	}
	rest, best := e.QuietPeriod(), -1
	inStep := func(c Candidate) bool { return c.InSync || c.IdleTime >= rest }
	for i, c := range idle {
		switch {
		case !repeatable && (!inStep(c) || (c.RefusedBefore && !distinct)):
		case best < 0:
			best = i
		case !inStep(c):
		case !inStep(idle[best]) || c.RefusedBefore || !idle[best].RefusedBefore:
			best = i
		}
	}
	return best
}

// HoldUntil is how long an outcome that may be another call's is held: the endpoint was told how long its call is waited
// for, and answers no later. The request is due its end by its deadline.
func HoldUntil(began, timeout, deadline int64) int64 { return min(began+timeout, deadline) }
