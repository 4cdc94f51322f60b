// Package scheduler decides for one delivery node when and where each event is sent, and how it ends. It implements
// delivery.Scheduler: call New once at start and Round once a round, with a feed of all inputs since the last round and
// an executor for the decisions.
//
// The retry rule of docs/design.md governs the ordinary path. A wait that a destination asked for holds all sends under
// the same rate limit. Otherwise the delays of an event grow, with jitter, up to its maximum number of attempts and its
// max age, and an adaptive pace limits the calls. A limiter stands for one rate limit: that of a destination, or of an
// endpoint where each has its own.
//
// The comments on the other mechanisms name the failure that each of them prevents.
package scheduler

import (
	"cmp"
	"math"
	"slices"

	"jaspersill/delivery"
)

const (
	second            = int64(1e9)
	minFullRetryAfter = second / 4   // shortest retry-after when there is no capacity: an answer or two frees some
	wakeInterval      = second / 100 // time until the next round: a fraction of any answer time
	rankInterval      = 1 * second   // interval between rankings of the endpoints: a few answers arrive in between
)

// Scheduler makes the decisions of one delivery node.
type Scheduler struct {
	exec   delivery.Executor
	rng    pcg
	types  []delivery.StreamType
	kinds  []delivery.DestinationKind
	limits delivery.Limits

	events                     []event
	waiting                    []eventRef // live events with no send in flight, in order
	arrivals                   uint64     // events so far
	destLimiter                []int32    // a destination's shared limiter
	calls                      []call     // entries with no outcomes to come are reused
	openCalls                  int
	now, round                 int64
	stopped                    bool  // nothing more is sent or ended
	wakeAt, rankAt, orderPause int64 // orderPause: how long a key is held after a send that may still run

	dir          directory
	keyQueues    keyQueues
	peerMessages bool // the executor can send messages to peers
	stale        staleDetector
	limiters     limiters

	endpoints endpoints
	byDest    [][]int32 // endpoints of each destination by rank
}

// New returns a scheduler. orderPause is how long the next event of an ordered key is held after a send that may still
// be running.
func New(seed uint64, types []delivery.StreamType, kinds []delivery.DestinationKind, limits delivery.Limits,
	recovery delivery.Recovery, dir delivery.Directory, cluster delivery.Cluster, orderPause int64) *Scheduler {
	return &Scheduler{rng: pcg(seed), types: types, kinds: append(kinds, delivery.DestinationKind{MaxEventsPerCall: 1}),
		limits: limits, dir: directory{requiresWatch: dir.RequiresWatch, automatic: dir.Automatic}, keyQueues: keyQueues{},
		orderPause: orderPause, peerMessages: cluster.PeerMessages, endpoints: endpoints{recovery: recovery},
		limiters: limiters{nodes: float64(max(1, cluster.Nodes))}}
}

func (s *Scheduler) Round(now int64, feed delivery.Feed, exec delivery.Executor) {
	s.now, s.exec, s.round = now, exec, s.round+1
	feed.Deliver(s)
	s.dir.watchIfDue(now, exec)
	s.endpoints.findOverdue(now, s.calls, &s.stale)
	if now >= s.rankAt { // by latency; the order is random until measured, so that nodes do not all start with the same one
		s.rankAt = now + rankInterval
		for d, list := range s.byDest {
			list = slices.DeleteFunc(list, func(ep int32) bool { return s.forgetIfRemoved(ep, d) })
			slices.SortStableFunc(list, func(a, b int32) int {
				return cmp.Compare(s.endpoints.latencyMean[a], s.endpoints.latencyMean[b])
			})
			s.byDest[d] = list
		}
	}
	if s.stopped {
		s.revokeUnsent()
	} else {
		s.expire()
		s.dispatch()
	}
	if s.wakeAt <= now {
		s.wakeAt = now + wakeInterval
		exec.Wake(wakeInterval)
	}
}

func (s *Scheduler) Event(evt int32, typ, customer int, key uint64, left, work int64, dest int32) {
	s.ensureDestination(dest)
	t, age := &s.types[typ], s.types[typ].MaxAge-left // one submitted again by its client, or accepted before a restart, is not new
	s.arrivals++
	s.events = setAt(s.events, evt, event{arrival: s.arrivals, typ: typ, dest: dest, call: -1, key: key, arrivedAt: s.now - age,
		notBefore: s.now, deadline: s.now + left - finalAnswerMargin, live: true, value: t.Utility,
		slo: min(t.MaxAge, t.SLO+int64(t.SLOPerWork*float64(work)))})
	if t.Ordered && key != 0 {
		s.keyQueues.add(key, evt)
	}
	s.enqueue(evt)
}

// Resumed counts sends before a restart, or before a delivery that could not be confirmed, towards the maximum. One that was
// in flight then may have run, and may still be running.
func (s *Scheduler) Resumed(evt int32, sends int, mayRun bool, ago int64, zone int) {
	e := &s.events[evt]
	e.sends, e.possiblyRan, e.ranAt, e.ranZone = sends, mayRun, s.now-ago, zone
	if k := s.keyQueues[e.key]; k != nil && mayRun && s.types[e.typ].Ordered {
		k.freeAt = s.now + s.orderPause
	}
}

// StopSending leaves the events that are unfinished to the next process: nothing more is sent or ended. Sends that have not left yet are
// still revoked, since the input goes on.
func (s *Scheduler) StopSending() { s.stopped = true }

func (s *Scheduler) RetryAfter() int64 {
	return min(minFullRetryAfter+int64(s.rng.float()*float64(minFullRetryAfter)), s.limits.MaxRetryAfter)
}

// ProcessingStarted removes the deadline of an event: no time limit applies once its processing has started.
func (s *Scheduler) ProcessingStarted(evt int32, send int) { s.events[evt].deadline = math.MaxInt64 }

// Unconfirmed notes that an answer proves nothing about its send, since it may belong to another call.
func (s *Scheduler) Unconfirmed(evt int32, send int) {
	e := &s.events[evt]
	if e.call >= 0 {
		e.unconfirmed = append(e.unconfirmed, unconfirmed{send, e.sentAt, s.endpoints.zone[s.calls[e.call].endpoint]})
	}
}

func (s *Scheduler) Confirmed(evt int32, send int) {
	e := &s.events[evt]
	e.unconfirmed = slices.DeleteFunc(e.unconfirmed, func(u unconfirmed) bool { return u.send == send })
	if e.live && e.call < 0 && e.notBefore >= s.lastSendTime(e) {
		s.finish(evt, max(0, e.notBefore-s.now))
	}
}

// Doubted notes that a send may have run for good.
func (s *Scheduler) Doubted(evt int32, send int) {
	e := &s.events[evt]
	i := slices.IndexFunc(e.unconfirmed, func(u unconfirmed) bool { return u.send == send })
	if i < 0 {
		return
	}
	at, zone := e.firstPossibleRun()
	e.possiblyRan, e.ranAt, e.ranZone = true, at, zone
	e.unconfirmed = slices.Delete(e.unconfirmed, i, i+1)
}

func (s *Scheduler) Outcome(evt int32, send int, ep int32, outcome delivery.Outcome, retryAfter, took int64, ended bool,
	freeShare, reportedLimit float64) {
	e := &s.events[evt]
	if e.call >= 0 {
		c := &s.calls[e.call]
		// The executor may send the events of one call in several calls, only one of which is told to wait.
		s.limiters.holdUntil(s.endpoints.limiter[ep], s.now+retryAfter)
		if !c.recorded {
			c.recorded = true
			s.recordCallOutcome(c, callOutcome{outcome, retryAfter, took, freeShare, reportedLimit}, ep, e.dest)
		}
		if c.events--; c.events == 0 {
			s.closeCall(ep)
		}
		e.call = -1
	}
	if outcome.MayHaveRun() && outcome != delivery.Acked {
		if !e.possiblyRan {
			e.possiblyRan, e.ranAt, e.ranZone = true, e.sentAt, s.endpoints.zone[ep]
		}
		if k := s.keyQueues[e.key]; k != nil && outcome != delivery.Errored && s.types[e.typ].Ordered {
			k.freeAt = s.now + s.orderPause // the send may still run, and the key's next event must not overtake it
		}
	}
	if ended || !e.live {
		s.closeEvent(evt)
	} else {
		s.retry(evt, ep, outcome, retryAfter)
	}
}

func (s *Scheduler) ListStarted(whole bool) {
	if whole {
		clear(s.endpoints.ready)
	}
}

func (s *Scheduler) EndpointListed(ep, dest int32, kind, zone int, state delivery.EndpointState, rate float64) {
	s.ensureDestination(dest)
	if int(ep) >= len(s.endpoints.limiter) || s.endpoints.limiter[ep] < 0 {
		s.endpoints.reset(ep)
		s.endpoints.zone[ep], s.endpoints.credit[ep], s.endpoints.creditAt[ep] = zone, s.rng.float(), s.now
		s.byDest[dest] = slices.Insert(s.byDest[dest], int(s.rng.float()*float64(len(s.byDest[dest])+1)), ep)
		destKind := s.kinds[min(kind, len(s.kinds)-1)]
		if s.endpoints.limiter[ep] = s.destLimiter[dest]; destKind.LimitPerEndpoint || s.destLimiter[dest] < 0 {
			s.endpoints.limiter[ep] = s.limiters.add(destKind.MaxEventsPerCall, s.rng.float())
			s.destLimiter[dest] = s.endpoints.limiter[ep]
		}
		s.limiters.endpointCount[s.endpoints.limiter[ep]]++
		s.limiters.limit[s.endpoints.limiter[ep]] = cmp.Or(s.limiters.limit[s.endpoints.limiter[ep]], rate)
		// A new endpoint of a destination in an outage starts as its siblings are, ejected or warming up; otherwise it
		// would get the whole backlog at once.
		for _, sibling := range s.byDest[dest] {
			s.endpoints.ejected[ep] = s.endpoints.ejected[ep] || s.endpoints.ejected[sibling]
			s.endpoints.restoredAt[ep] = max(s.endpoints.restoredAt[ep], s.endpoints.restoredAt[sibling])
			s.endpoints.ejectedAt[ep] = max(s.endpoints.ejectedAt[ep], s.endpoints.ejectedAt[sibling])
		}
	}
	s.endpoints.ready[ep] = state == delivery.Ready
}

func (s *Scheduler) ListEnded(fromNewestWatch bool) {
	if fromNewestWatch {
		s.dir.confirmed()
	}
}

func (s *Scheduler) Withdrawn(evt int32) { s.closeEvent(evt) }
func (s *Scheduler) ListFailed()         { s.dir.failed(s.now, &s.rng) }
func (s *Scheduler) Probed(ep int32, outcome delivery.Outcome, took int64, freeShare, limit float64) {
}
func (s *Scheduler) Woken() { s.wakeAt = 0 }

func (s *Scheduler) PeerReportedHealthy(peer int, ep int32, sentAgo int64) {
	if s.endpoints.suspect(ep, s.now) && s.now-sentAgo >= s.endpoints.ejectedAt[ep] { // it returns as a cold endpoint
		s.endpoints.restore(ep, s.now, s.rng.float())
	}
}

func (s *Scheduler) ensureDestination(dest int32) {
	if int(dest) >= len(s.byDest) {
		s.byDest, s.destLimiter = setAt(s.byDest, dest, nil), setAt(s.destLimiter, dest, -1)
	}
}
