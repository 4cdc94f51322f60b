// Package connreuse decides which idle connections to an endpoint may carry another call, for how long they pause before,
// and when an outcome that may belong to another call is accepted. A connection is in sync when no answer
// to an earlier call can still arrive on it. A connection that has rested seems to be in sync, which an endpoint that
// hangs seems to be too. The package keeps statistics for each endpoint and does no I/O. Times are nanoseconds.
package connreuse

const (
	millisecond = int64(1e6)
	second      = 1000 * millisecond

	quietFactor  = 2                 // the quiet period is this multiple of the slowest recent answer
	minQuiet     = 100 * millisecond // covers a fast endpoint that stalls for a moment
	maxQuiet     = 3 * second / 2    // the scheduler's minimum timeout: an answer later than that is given up on
	defaultQuiet = 500 * millisecond // used until an answer has been measured
	slowestDecay = 16                // each faster answer reduces the recorded maximum by 1/16 of it

	pauseDivisor = 2                // the pause before reuse is this part of the fastest answer: copies come sooner than an answer can
	maxPause     = 50 * millisecond // opening a connection instead would take as long

	confirmingEnds  = 1 // further ends on a connection that confirm one: as many as answers arrive in surplus on it
	refusalHold     = 2 * second
	refusalHoldPart = 4 // a refusal is held for at most this part of the time that its event has left

	initialAlikeShare = 0.25 // share of alike refusals assumed at first: two that differ are enough to fall below maxAlikeShare
	alikeWeight       = 0.25 // weight of a new refusal in the average
	maxAlikeShare     = 0.15 // below this share, a refused event that must not be repeated is seldom given up for lack of proof

	minSuspectTime = 30 * second  // no connection is reused for this long after the first unexpected answer; doubles each time
	maxSuspectTime = 600 * second // upper bound of that doubling
)

// EndpointStats holds the answer statistics of one endpoint. The zero value is ready to use.
type EndpointStats struct {
	slowest      int64 // slowest recent answer, decaying
	fastest      int64 // the fastest certain answer that says its event was delivered; 0 for none
	suspectUntil int64
	suspectTime  int64
}

// RecordAnswer records how long an answered call took.
func (e *EndpointStats) RecordAnswer(took int64) {
	if e.slowest -= e.slowest / slowestDecay; took > e.slowest {
		e.slowest = took
	}
}

// RecordDelivery records how long a call took whose answer certainly was its own and says that its event was delivered.
func (e *EndpointStats) RecordDelivery(took int64) {
	if e.fastest == 0 || took < e.fastest {
		e.fastest = took
	}
}

// ReusePause returns how long a connection must have been idle before it carries another call. A copy of its last answer
// arrives right behind that, if one is under way, and would be taken for the answer to the next call.
func (e *EndpointStats) ReusePause() int64 { return min(e.fastest/pauseDivisor, maxPause) }

// QuietPeriod returns how long a connection must be idle, with nothing unread, until it counts as rested: an answer
// still due to an earlier call would have arrived by then, unless the endpoint hangs.
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
	Awaited       bool  // an event that must not be repeated waits for what the connection shows of its refusal
}

// Choose returns the index of the idle connection to use for a call, or -1 to open a new one. idle is ordered by last
// use, the most recent last.
//
// A call that must not be repeated needs a connection on which a refusal is hardly another call's: one in sync or rested
// that has never carried a refusal, or any of these when refusals are distinguishable. Other calls prefer such
// connections that non-repeatable calls cannot use, the most recently used first, since unused ones go stale; failing
// that, they take the one that has been idle longest. One that need not pause is preferred to any other.
func (e *EndpointStats) Choose(idle []Candidate, repeatable, distinguishable bool, now int64) int {
	if !e.ReuseAllowed(now) {
		return -1
	}
	quiet, pause, best := e.QuietPeriod(), e.ReusePause(), -1
	inSync := func(c Candidate) bool { return c.InSync || c.IdleTime >= quiet }
	for i, c := range idle {
		switch {
		case c.Awaited:
		case !repeatable && (!inSync(c) || (c.RefusedBefore && !distinguishable)):
		case best < 0:
			best = i
		case c.IdleTime < pause: // the one found has been idle for longer
		case !inSync(c):
		case !inSync(idle[best]) || c.RefusedBefore || !idle[best].RefusedBefore:
			best = i
		}
	}
	return best
}

// Claim is what an answer says of its event.
type Claim uint8

const (
	NotRun    Claim = iota // it was not processed, and is still to be delivered
	Delivered              // it was delivered
	Gone                   // it was not processed and is over: nothing more may be sent for it
)

func (c Claim) String() string { return [...]string{"not run", "delivered", "gone"}[c] }

// ends reports whether the answer says that nothing more is to be done for its event.
func (c Claim) ends() bool { return c != NotRun }

// Evidence is what is known of an answer that may belong to another call.
type Evidence struct {
	Claim      Claim
	Rested     bool  // its connection has been quiet for the quiet period since, with nothing unread
	Repeatable bool  // its event may be sent again
	LaterEnds  int   // answers on its connection since, if all of them end their events
	HoldUntil  int64 // see HoldUntil
}

// Proven reports whether the event has certainly ended: if the answer belonged to an earlier call, a later one was the event's own,
// and each of these ended its event too.
func (e *Evidence) Proven() bool { return e.Claim.ends() && e.LaterEnds >= confirmingEnds }

// Trusted reports whether nothing speaks against the answer, although an endpoint that hangs would leave it so too. One that says that
// an event is over is only trusted if it is proven: a notice for an event that is over does no harm.
func (e *Evidence) Trusted() bool { return e.Proven() || (e.Rested && e.Claim != Gone) }

// AcceptAtClose reports whether the answer is accepted when its connection is closed, and can show nothing more. byEndpoint
// tells whether the endpoint closed it, as one does that hung and ended: a delivery is then only accepted if it is proven.
func (e *Evidence) AcceptAtClose(byEndpoint bool) bool {
	if e.Claim == Delivered && byEndpoint {
		return e.Proven()
	}
	return e.Trusted()
}

// AcceptAtShutdown reports whether the answer is accepted when the process ends. The next process sends an event again that
// may be repeated, unless its call could no longer have been answered.
func (e *Evidence) AcceptAtShutdown(now int64) bool {
	if e.Claim == Delivered && e.Repeatable && now < e.HoldUntil {
		return e.Proven()
	}
	return e.Trusted()
}

// HoldUntil returns when an answer that may belong to another call is looked at again. Until then the call itself could
// have been answered. A refusal is not held for as long, because its event waits for the result.
func HoldUntil(now, started, timeout, deadline int64, claim Claim) int64 {
	if !claim.ends() {
		return now + min(refusalHold, (deadline-now)/refusalHoldPart)
	}
	return min(started+timeout, deadline)
}
