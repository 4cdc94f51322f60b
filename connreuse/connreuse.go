// Package connreuse decides which idle connections to an endpoint may carry another call, how long a connection must be
// quiet before it counts as in sync, and how long an outcome that may belong to another call is held before it is
// accepted. A connection is in sync when no answer to an earlier call can still arrive on it. The package keeps
// statistics for each endpoint and does no I/O. Times are nanoseconds.
package connreuse

const (
	millisecond = int64(1e6)
	second      = 1000 * millisecond

	quietFactor  = 2                 // the quiet period is this multiple of the slowest recent answer
	minQuiet     = 100 * millisecond // covers a fast endpoint that stalls for a moment
	maxQuiet     = 3 * second / 2    // the scheduler's minimum timeout: an answer later than that is given up on
	defaultQuiet = 500 * millisecond // used until an answer has been measured
	slowestDecay = 16                // each faster answer reduces the recorded maximum by 1/16 of it

	initialAlikeShare = 0.25 // share of alike refusals assumed at first: two that differ are enough to fall below maxAlikeShare
	alikeWeight       = 0.25 // weight of a new refusal in the average
	maxAlikeShare     = 0.15 // below this share, a refused event that must not be repeated is seldom given up for lack of proof

	minSuspectTime = 30 * second  // no connection is reused for this long after the first unexpected answer; doubles each time
	maxSuspectTime = 600 * second // upper bound of that doubling
)

// EndpointStats holds the answer statistics of one endpoint. The zero value is ready to use.
type EndpointStats struct {
	slowest      int64 // slowest recent answer, decaying
	suspectUntil int64
	suspectTime  int64
}

// RecordAnswer records how long an answered call took.
func (e *EndpointStats) RecordAnswer(took int64) {
	if e.slowest -= e.slowest / slowestDecay; took > e.slowest {
		e.slowest = took
	}
}

// QuietPeriod returns how long a connection must be idle, with nothing unread, until it counts as in sync: an answer
// still due to an earlier call would have arrived by then.
func (e *EndpointStats) QuietPeriod() int64 {
	if e.slowest == 0 {
		return defaultQuiet
	}
	return min(max(minQuiet, quietFactor*e.slowest), maxQuiet)
}

// RecordOutOfSync records that an answer arrived that no call was waiting for. More are likely to follow.
func (e *EndpointStats) RecordOutOfSync(now int64) {
	if now < e.suspectUntil {
		return
	}
	e.suspectTime = min(max(minSuspectTime, 2*e.suspectTime), maxSuspectTime)
	e.suspectUntil = now + e.suspectTime
}

// ReuseAllowed reports whether connections may currently carry more than one call.
func (e *EndpointStats) ReuseAllowed(now int64) bool { return now >= e.suspectUntil }

// RefusalStats estimates whether the refusals on a connection can be told apart by the load reports or wait times that
// they carry. Where they can, a duplicate of an earlier refusal is recognized as such. One instance is shared by all
// endpoints, since each endpoint refuses seldom. The zero value is ready to use.
type RefusalStats struct {
	seen  bool
	alike float64 // share of refusals that look like an earlier one on their connection
}

// Record records a refusal on a connection that already had one, and whether the two look alike.
func (r *RefusalStats) Record(alike bool) {
	if !r.seen {
		r.seen, r.alike = true, initialAlikeShare
	}
	r.alike -= alikeWeight * r.alike
	if alike {
		r.alike += alikeWeight
	}
}

// Distinguishable reports whether refusals can usually be told apart.
func (r *RefusalStats) Distinguishable() bool { return r.seen && r.alike < maxAlikeShare }

// Candidate is an idle connection that could carry a call.
type Candidate struct {
	IdleTime      int64 // time since its last answer
	InSync        bool  // its last answer certainly belonged to its call
	RefusedBefore bool  // an answer on it said that its call was not processed
}

// Choose returns the index of the idle connection to use for a call, or -1 to open a new one. idle is ordered by last
// use, the most recent last.
//
// A call that must not be repeated needs a connection on which a refusal can be attributed to it with certainty: one in
// sync that has never carried a refusal, or any in sync when refusals are distinguishable. Other calls prefer
// connections in sync that non-repeatable calls cannot use, the most recently used first, since unused ones go stale;
// failing that, they take the one that has been idle longest.
func (e *EndpointStats) Choose(idle []Candidate, repeatable, distinguishable bool, now int64) int {
	if !e.ReuseAllowed(now) {
		return -1
	}
	quiet, best := e.QuietPeriod(), -1
	inSync := func(c Candidate) bool { return c.InSync || c.IdleTime >= quiet }
	for i, c := range idle {
		switch {
		case !repeatable && (!inSync(c) || (c.RefusedBefore && !distinguishable)):
		case best < 0:
			best = i
		case !inSync(c):
		case !inSync(idle[best]) || c.RefusedBefore || !idle[best].RefusedBefore:
			best = i
		}
	}
	return best
}

// HoldUntil returns the time until which an outcome that may belong to another call is held. The endpoint was told how
// long the caller waits and does not answer later than that. The client must get its final answer by the deadline.
func HoldUntil(started, timeout, deadline int64) int64 { return min(started+timeout, deadline) }
