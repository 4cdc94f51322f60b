package scheduler

import (
	"cmp"
	"math"
	"slices"

	"jaspersill/delivery"
)

const (
	paceCutInterval = 1 * second  // a burst of refusals is one signal: at most one cut per second
	paceCutFactor   = 0.5         // a refusal halves the pace, as the design has it
	minPace         = 1.0         // calls per second below which a pace does not fall, so that feedback continues
	paceGrowth      = 0.1         // relative growth of the pace per second while calls are accepted
	minPaceShare    = 0.6         // minimum pace as a share of this node's equal part of a reported limit; below 1 as others may be unpaced
	absoluteMinPace = 0.1         // lower bound of any pace, in calls per second: one call in the life of most events
	exhaustedShare  = 0.15        // a refusal with less than this share of the limit left means the limit is used up
	paceRecovery    = 0.5         // share of this node's equal part of a reported limit by which a lower pace grows per second
	maxGrowthSpan   = 3 * second  // longest time since the last answer that counts as growth, for nodes that send seldom
	paceIdleReset   = 60 * second // a limiter idle for this long starts unpaced
	paceBurstSpan   = second / 2  // credit saved while idle, as time at the pace: below the shortest rate-limit window
)

// limiters holds the state of all rate limits, by limiter index.
type limiters struct {
	nodes float64

	maxEventsPerCall, inFlight                   []int     // inFlight: calls
	limit, endpointCount                         []float64 // limit: reported by the destination, in calls per second
	pace, credit                                 []float64 // pace: calls per second, 0 for unpaced; credit: calls allowed now
	heldUntil, creditAt, lastCutAt, lastGrowthAt []int64
	recentCalls                                  [][]int64  // start times within the last second
	lastCall                                     [][2]int32 // call opened last, by waitClass; -1: none
}

// add returns a new limiter. Its credit is random so that many nodes that are refused at once spread out.
func (l *limiters) add(maxEvents int, credit float64) int32 {
	i := int32(slices.Index(append(l.endpointCount, 0), 0)) // an index is free once all its endpoints are forgotten
	l.maxEventsPerCall, l.inFlight, l.endpointCount = setAt(l.maxEventsPerCall, i, maxEvents), setAt(l.inFlight, i, 0),
		setAt(l.endpointCount, i, 0)
	l.heldUntil, l.limit, l.recentCalls = setAt(l.heldUntil, i, 0), setAt(l.limit, i, 0), setAt(l.recentCalls, i, nil)
	l.pace, l.credit, l.creditAt = setAt(l.pace, i, 0), setAt(l.credit, i, credit), setAt(l.creditAt, i, 0)
	l.lastCutAt, l.lastGrowthAt = setAt(l.lastCutAt, i, -paceCutInterval), setAt(l.lastGrowthAt, i, 0)
	l.lastCall = setAt(l.lastCall, i, [2]int32{-1, -1})
	return i
}

// recordOutcome adapts the pace of a limiter to the outcome of a call.
func (l *limiters) recordOutcome(limiter int32, now int64, outcome delivery.Outcome, retryAfter int64, freeShare, limit float64) {
	l.limit[limiter] = cmp.Or(limit, l.limit[limiter])
	l.holdUntil(limiter, now+retryAfter)
	switch {
	case outcome == delivery.Acked && l.pace[limiter] > 0:
		span := float64(min(now-l.lastGrowthAt[limiter], maxGrowthSpan)) / float64(second)
		if fair := l.limit[limiter] / l.nodes; l.pace[limiter] < fair {
			l.pace[limiter] = min(fair, l.pace[limiter]+paceRecovery*fair*span)
		} else {
			l.pace[limiter] = min(l.pace[limiter]*(1+paceGrowth*span), cmp.Or(limit, math.MaxFloat64))
		}
		l.lastGrowthAt[limiter] = now
	case outcome == delivery.Refused && now >= l.lastCutAt[limiter]+paceCutInterval:
		l.lastCutAt[limiter], l.lastGrowthAt[limiter] = now, now
		cut := paceCutFactor * min(float64(l.callsInLastSecond(limiter, now)), cmp.Or(l.pace[limiter], math.MaxFloat64))
		if limit > 0 && freeShare < exhaustedShare { // the limit is used up, so this is not just a brief burst
			cut = min(cut, minPaceShare*limit/l.nodes)
		}
		// Where refused calls count against the limit, a minimum pace above this node's part would keep all calls refused.
		least := min(minPace, max(minPaceShare*cmp.Or(l.limit[limiter]/l.nodes, minPace/minPaceShare), absoluteMinPace))
		l.pace[limiter] = max(least, cut)
	}
}

// holdUntil holds the calls of a limiter until a time. It never shortens a hold.
func (l *limiters) holdUntil(limiter int32, until int64) {
	l.heldUntil[limiter] = max(l.heldUntil[limiter], until)
}

func (l *limiters) callsInLastSecond(limiter int32, now int64) int {
	l.recentCalls[limiter] = slices.DeleteFunc(l.recentCalls[limiter], func(at int64) bool { return at <= now-second })
	return len(l.recentCalls[limiter])
}

// admit takes the credit for one call, and reports whether the limiter's pace allowed it.
func (l *limiters) admit(limiter int32, now int64) bool {
	if l.pace[limiter] == 0 || now-l.creditAt[limiter] > paceIdleReset {
		l.pace[limiter], l.creditAt[limiter] = 0, now
		return true
	}
	depth := max(1, l.pace[limiter]*float64(paceBurstSpan)/float64(second))
	if !refill(&l.credit[limiter], &l.creditAt[limiter], now, l.pace[limiter], depth) {
		return false
	}
	l.credit[limiter]--
	return true
}
