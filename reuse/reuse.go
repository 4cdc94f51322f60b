// Package reuse decides which kept connections to an endpoint take another call, how long a connection rests before it
// counts as in step, and how long an outcome that may be another call's is held before it is believed. It keeps what
// was learned of one endpoint and does no I/O. Times are nanoseconds.
package reuse

const (
	millisecond = int64(1e6)
	second      = 1000 * millisecond

	restFactor   = 2                 // a connection rests for so many times the slowest answer of late
	restLeast    = 100 * millisecond // a quick endpoint may be held up for a moment
	restMost     = 3 * second / 2    // the decision module's least time-out: an answer later than that is given up
	restUnknown  = 500 * millisecond // before any answer was measured
	slowestDecay = 16                // the slowest answer of late shrinks by this part with each quicker one

	suspectFirst = 30 * second  // no connection is reused for so long after answers were out of step, doubling
	suspectMost  = 600 * second // and so long at most
)

// Endpoint is what is known of the answers of one endpoint. The zero value knows nothing.
type Endpoint struct {
	slowest      int64 // answer of late
	suspectUntil int64
	suspectSpan  int64
}

// Answered takes in how long a call took that was answered.
func (e *Endpoint) Answered(took int64) {
	if e.slowest -= e.slowest / slowestDecay; took > e.slowest {
		e.slowest = took
	}
}

// Rest is how long a connection rests, with nothing unread, until it counts as in step: any answer that a call still
// had to come would have come.
func (e *Endpoint) Rest() int64 {
	if e.slowest == 0 {
		return restUnknown
	}
	return min(max(restLeast, restFactor*e.slowest), restMost)
}

// OutOfStep notes that answers were seen that no call waits for. More will come.
func (e *Endpoint) OutOfStep(now int64) {
	if now < e.suspectUntil {
		return
	}
	e.suspectSpan = min(max(suspectFirst, 2*e.suspectSpan), suspectMost)
	e.suspectUntil = now + e.suspectSpan
}

// Keeps tells whether connections are used for more than one call at present.
func (e *Endpoint) Keeps(now int64) bool { return now >= e.suspectUntil }

// Candidate is an idle connection that might take a call.
type Candidate struct {
	Rested  int64 // since its last answer
	Refused bool  // an answer on it said that its call never ran
}

// Choose picks the idle connection for a call, the one used last standing at the end; -1 for a new one. A call that may
// not be repeated goes only where a refusal of it can be no copy: on a connection that has rested and was never refused
// anything. Others prefer rested connections that are of no use for those, the one used last, since unused ones grow
// stale; else the one that has rested longest.
func (e *Endpoint) Choose(idle []Candidate, repeatable bool, now int64) int {
	if !e.Keeps(now) {
		return -1
	}
	rest, best := e.Rest(), -1
	for i, c := range idle {
		rested := c.Rested >= rest
		switch {
		case !repeatable && (!rested || c.Refused):
		case best < 0:
			best = i
		case !rested:
		case idle[best].Rested < rest || c.Refused || !idle[best].Refused:
			best = i
		}
	}
	return best
}

// HoldUntil is how long an outcome that may be another call's is held: the endpoint was told how long its call is waited
// for, and answers no later. The request is due its end by its deadline.
func HoldUntil(began, timeout, deadline int64) int64 { return min(began+timeout, deadline) }
