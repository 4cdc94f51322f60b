// Package choice decides for one delivery node when and where each event is sent, and how it ends.
// Call New once at start and Round once a round, with a feed that hands in all that came and a writer that
// takes the decisions. The interface is package port. The retry rule of docs/design.md decides the ordinary
// path: a told wait holds a whole lane; else an event's delays grow, with jitter, up to its cap of sends and
// its max age, under the companion pace. A lane shares one limit: a destination, or a route apart.
//
// Beside the design stand these mechanisms:
package scheduler

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"jaspersill/delivery"
)

const (
	second = int64(1e9)

	refusalBase  = 5 * second   // longest base after a refusal: the source's default
	refusalPart  = 10           // the base is at most this part of max age, so that several tries fit in
	extraBase    = 1 * second   // first extra after a refusal, doubling: the source's default
	extraPart    = 50           // the extra is at most this part of max age, for the same reason
	errorBase    = second / 5   // first delay after other errors, doubling: one quick second look
	spreadPart   = 0.4          // refused events are spread over at most this part of the time they have left
	jitterPart   = 0.5          // delays grow by chance by up to half: spreads nodes, still orders the tries
	paceCutEvery = 1 * second   // a burst of refusals is one sign, not many: one cut a second
	paceCut      = 0.5          // a refusal halves the pace: the design's figure
	paceLeast    = 1.0          // calls a second below which a pace never falls: keeps signs coming
	paceClimb    = 0.1          // share by which a pace climbs each second while all is served
	paceFair     = 0.6          // least pace, in parts of our even part of a told limit: others are unpaced
	paceSeldom   = 0.1          // calls a second under which no pace falls: one in the life of most events
	spentLeft    = 0.15         // a refusal with less than this share of the limit left shows it used up
	paceBack     = 0.5          // below our even part of a told limit it climbs by so much of that a second
	paceSpan     = 3 * second   // time without an answer over which it climbs at most: nodes that seldom send
	paceForget   = 60 * second  // a lane idle for a minute starts unpaced
	paceBurst    = second / 2   // calls saved up while idle, in time at the pace: under the shortest span
	fullBack     = second / 4   // least come-back time where there is no room: an answer or two frees some
	answerBefore = second / 50  // final answers go out this long before max age: a few rounds' time
	beat         = second / 100 // next look: a fraction of any answer time

	windowMargin = second / 10    // a repeat leaves this long before its mark is forgotten: covers the way there
	windowTries  = 2              // a send takes at most this part of its window: the rest is for a repeat
	askFirst     = second / 2     // first delay before the directory is asked again, doubling
	askMost      = 3 * second / 2 // longest such delay: what it has counts as told 6 s after it can be reached
	askOut       = 4 * second     // a call that told nothing so long is asked again: sockets give up sooner
	askHold      = 1 * second     // sends wait so long for the first list, where lists are pushed
	coldRoom     = 0.95           // part of the budget that is used: the told limit is under what they can do
	coldMet      = 2.0            // calls an endpoint is sent in an outage, in parts of its limit: repeats too
	coldChance   = 1.5            // deviations of chance that many nodes leave free in the budget
	fewCalls     = 4.0            // a node's part of a cold budget under which one sign shows an outage
	coldLeast    = 0.2            // part of it that is used all the same: untried, an endpoint stays away
	guessLimit   = 2.0            // calls a second taken where no limit is told: about the least there is

	asideAfter  = 2              // failures in a row that set an endpoint aside: one alone may be chance
	asideResets = 4              // resets do so: a network breaks connections too, and one that is down refuses
	shutWait    = 2 * second     // so does a told wait as long: a limit's count begins anew within less
	shutLeft    = 0.8            // a refusal with this share of the limit left shows a destination that is shut
	answerKeep  = 0.125          // weight of a new answer time: the usual figure for round trips
	overdueDevs = 4.0            // an answer is overdue this many deviations past the mean: the usual figure
	timeoutDevs = 8.0            // and a time-out twice as many
	leastLate   = second / 2     // no answer is overdue before this: a stall of a moment is no sign
	leastOut    = 3 * second / 2 // no time-out below this: stalls pass in less, and a repeat costs more
	unmeasured  = 4 * second     // time-out before any answer is measured
	patience    = 4              // time-outs are this much longer: late is worth more than twice
	backlog     = 3              // events waiting for each slot that make silence cost more than a repeat
	scarcePart  = 8              // slots are scarce with less than this part of them free: one or two
	waitAhead   = 2 * second     // an event's place in the queue weighs what it loses by waiting so long
	staleLeast  = second / 10    // calls lost after a shorter idle time are no sign of dead connections
	staleShare  = 3              // good answers for each call lost that clear idle connections of it
	levels      = 8              // calls out at once up to which idle times are told apart: one connection each
	staleSigns  = 3              // signs that make it so: a crash may bring one or two
	staleKeep   = 30 * second    // idle connections are closed for so long after the last sign
	crowdNodes  = 8              // fewer nodes do not fill an endpoint with an idle connection each
	goneKeep    = 30 * second    // an endpoint off the list is known so long: what follows it takes its outage
	rankEvery   = 1 * second     // the order of endpoints is renewed so often: a few answers come in between
	rankFill    = 1              // calls out at an endpoint before the next in order is used: no queue there
)

type event struct {
	typ, sends, refusals, errors             int
	dest, call                               int32 // call is -1 while nothing is out
	key                                      uint64
	came, deadline, notBefore, sentAt, ranAt int64   // last send; first send that may have run
	slo                                      int64   // SLO time, stretched by its work where the type says so
	value, loss                              float64 // utility in time; what it loses by waiting on
	ranZone                                  int
	mayRun, live, calledOff, recalled        bool
	unconfirmed                              []unconfirmed
}

// unconfirmed is a send that is said not to have run by an answer that may be another call's.
type unconfirmed struct {
	send   int
	sentAt int64
	zone   int
}

type call struct {
	endpoint        int32
	at, round, idle int64 // when it went out; idle: how long nothing was out to the endpoint before
	events          int   // outcomes still to come
	judged, silent  bool  // its fate is known; it was overdue
}

type Scheduler struct {
	out    delivery.Executor
	chance pcg
	types  []delivery.StreamType
	kinds  []delivery.DestinationKind
	room   delivery.Limits

	events                []event
	waiting, destLane     []int32 // live events with nothing out, in order; a destination's lane, where shared
	calls                 []call  // those with no outcome to come are free to be used again
	slots                 int     // calls out
	now, round            int64
	wakeAt, rankAt, pause int64 // pause: a key rests so long after a send that may still run

	dir   directory
	keys  turns
	notes bool // peers may be told things
	stale stale
	lanes lanes

	eps    endpoints
	byDest [][]int32 // a destination's endpoints, in their ranked order
}

func New(seed uint64, types []delivery.StreamType, kinds []delivery.DestinationKind, room delivery.Limits, back delivery.Recovery,
	dir delivery.Directory, fleet delivery.Cluster, orderPause int64) *Scheduler {
	return &Scheduler{chance: pcg(seed), types: types, kinds: append(kinds, delivery.DestinationKind{MaxEventsPerCall: 1}), room: room,
		dir: directory{asked: dir.RequiresWatch, pushed: dir.Automatic}, keys: turns{}, pause: orderPause,
		notes: fleet.PeerMessages, eps: endpoints{back: back}, lanes: lanes{nodes: float64(max(1, fleet.Nodes))}}
}

func (n *Scheduler) Round(now int64, feed delivery.Feed, out delivery.Executor) {
	n.now, n.out, n.round = now, out, n.round+1
	feed.Deliver(n)
	n.dir.ask(now, out)
	n.eps.look(now, n.calls, &n.stale)
	if now >= n.rankAt { // the quickest first; by chance until measured, else all nodes begin with the same
		n.rankAt = now + rankEvery
		for d, list := range n.byDest {
			list = slices.DeleteFunc(list, func(ep int32) bool { return n.forget(ep, d) })
			slices.SortStableFunc(list, func(a, b int32) int { return cmp.Compare(n.eps.mean[a], n.eps.mean[b]) })
			n.byDest[d] = list
		}
	}
	n.sweep()
	n.dispatch()
	if n.wakeAt <= now {
		n.wakeAt = now + beat
		out.Wake(beat)
	}
}

func (n *Scheduler) Event(evt int32, typ, customer int, key uint64, left, work int64, dest int32) { // port.Intake
	n.destination(dest)
	t, age := &n.types[typ], n.types[typ].MaxAge-left // handed in before, it is no longer new
	n.events = put(n.events, evt, event{typ: typ, dest: dest, call: -1, key: key, came: n.now - age,
		notBefore: n.now, deadline: n.now + left - answerBefore, live: true, value: t.Utility,
		slo: min(t.MaxAge, t.SLO+int64(t.SLOPerWork*float64(work)))})
	if t.Ordered && key != 0 {
		n.keys.join(key, evt)
	}
	n.waiting = append(n.waiting, evt)
}

// Resumed: danger: sends before a restart count, and one that was out then may have run, and may run still.
func (n *Scheduler) Resumed(evt int32, sends int, mayRun bool, ago int64, zone int) {
	e := &n.events[evt]
	e.sends, e.mayRun, e.ranAt, e.ranZone = sends, mayRun, n.now-ago, zone
	if k := n.keys[e.key]; k != nil && mayRun && n.types[e.typ].Ordered {
		k.freeAt = n.now + n.pause
	}
}

func (n *Scheduler) RetryAfter() int64 {
	return min(fullBack+int64(n.chance.float()*float64(fullBack)), n.room.MaxRetryAfter)
}

func (n *Scheduler) ProcessingStarted(evt int32, send int) { n.events[evt].deadline = math.MaxInt64 } // no time runs any more

// Unconfirmed: an answer that may be another call's proves nothing of its send.
func (n *Scheduler) Unconfirmed(evt int32, send int) {
	e := &n.events[evt]
	if e.call >= 0 {
		e.unconfirmed = append(e.unconfirmed, unconfirmed{send, e.sentAt, n.eps.zone[n.calls[e.call].endpoint]})
	}
}

func (n *Scheduler) Confirmed(evt int32, send int) {
	e := &n.events[evt]
	e.unconfirmed = slices.DeleteFunc(e.unconfirmed, func(u unconfirmed) bool { return u.send == send })
}

func (n *Scheduler) Outcome(evt int32, send int, ep int32, how delivery.Outcome, wait, took int64, ended bool,
	left, told float64) {
	e := &n.events[evt]
	if e.call >= 0 {
		c := &n.calls[e.call]
		// The events of a call may come to be sent in different ones, of which only one tells a wait.
		n.lanes.wait(n.eps.lane[ep], n.now+wait)
		if !c.judged {
			c.judged = true
			n.lanes.judge(n.eps.lane[ep], n.now, how, wait, left, told)
			was := n.eps.aside[ep]
			soon := n.eps.mean[ep] * min(0.5, float64(c.idle)/1e9) // after a short idle time it must be the quicker
			if how == delivery.Acked || (how == delivery.Reset && float64(took) < soon) {
				n.stale.learn(how == delivery.Reset, c.idle, n.now)
			}
			if how == delivery.Acked && (n.eps.fails[ep] == 1 || (!was && n.eps.fails[ep] > 0)) &&
				n.eps.last[ep] == delivery.ConnectFailed && n.lanes.nodes >= crowdNodes { // no outage
				n.stale.crowdedUntil = n.now + staleKeep
			}
			// Danger: each of many nodes meets an outage but once, by a refused connection too, and pushes on the
			// destination when it is back; all come when the wait ends that a shut one told. And one call may
			// have sat out a silence alone: when it ends, the backlog follows.
			mute, luck := (how == delivery.TimedOut && took >= shutWait || how == delivery.Cancelled && took >= leastOut) &&
				n.eps.ackAt[ep] < c.at, n.chance.float()
			limit := n.lanes.limit[n.eps.lane[ep]]
			many := n.eps.coldBudget(limit) < fewCalls*n.lanes.nodes
			sure := mute || wait >= shutWait || (how == delivery.ConnectFailed &&
				(took >= leastLate || (many && limit > 0 && n.now >= n.stale.crowdedUntil)))
			if mute { // time-outs end apart from each other: one try at once brings no crowd
				luck = 1
			}
			n.eps.judge(ep, n.now, how, took, told > 0 && left < shutLeft, sure, luck)
			if !was && n.eps.aside[ep] {
				n.out.Log("endpoint set aside", ep)
				for _, sib := range n.byDest[e.dest] { // danger: an outage takes all, and each is tried by many
					if sure && (many || wait >= shutWait) && n.eps.lane[sib] == n.eps.lane[ep] &&
						n.eps.ackAt[sib] < n.eps.failedAt[ep] {
						n.eps.setAside(sib, n.now, n.chance.float())
					}
				}
			} else if was && !n.eps.aside[ep] {
				n.out.Log("endpoint back, warming up", ep)
				if n.notes {
					n.out.AnnounceHealthy(ep)
				}
			}
			for _, sib := range n.byDest[e.dest] { // danger: saved up during a told wait, all spend credit at its end
				if n.eps.aside[sib] && n.eps.lane[sib] == n.eps.lane[ep] {
					n.eps.creditAt[sib] = max(n.eps.creditAt[sib], n.lanes.waitUntil[n.eps.lane[ep]])
				}
			}
		}
		if c.events--; c.events == 0 {
			lane := n.eps.lane[ep]
			n.slots, n.eps.out[ep], n.lanes.out[lane] = n.slots-1, n.eps.out[ep]-1, n.lanes.out[lane]-1
			n.eps.used[ep][min(n.eps.out[ep], levels-1)] = n.now
			n.closeIdle(ep)
		}
		e.call = -1
	}
	if how.MayHaveRun() && how != delivery.Acked {
		if !e.mayRun {
			e.mayRun, e.ranAt, e.ranZone = true, e.sentAt, n.eps.zone[ep]
		}
		if k := n.keys[e.key]; k != nil && how != delivery.Errored && n.types[e.typ].Ordered {
			k.freeAt = n.now + n.pause // the send may still run: the key's next event must not overtake it
		}
	}
	if ended || !e.live {
		n.close(evt)
	} else {
		n.retry(evt, ep, how, wait)
	}
}

func (n *Scheduler) ListStarted(whole bool) {
	if whole {
		clear(n.eps.ready)
	}
}

func (n *Scheduler) EndpointListed(ep, dest int32, kind, zone int, state delivery.EndpointState, rate float64) {
	n.destination(dest)
	if int(ep) >= len(n.eps.lane) || n.eps.lane[ep] < 0 {
		n.eps.blank(ep)
		n.eps.zone[ep], n.eps.credit[ep], n.eps.creditAt[ep] = zone, n.chance.float(), n.now
		n.byDest[dest] = slices.Insert(n.byDest[dest], int(n.chance.float()*float64(len(n.byDest[dest])+1)), ep)
		partner := n.kinds[min(kind, len(n.kinds)-1)]
		if n.eps.lane[ep] = n.destLane[dest]; partner.LimitPerEndpoint || n.destLane[dest] < 0 {
			n.eps.lane[ep] = n.lanes.add(partner.MaxEventsPerCall, n.chance.float())
			n.destLane[dest] = n.eps.lane[ep]
		}
		n.lanes.ends[n.eps.lane[ep]]++
		n.lanes.limit[n.eps.lane[ep]] = cmp.Or(n.lanes.limit[n.eps.lane[ep]], rate)
		// Danger: a new endpoint of a destination in an outage gets the whole backlog at once. It comes cold.
		for _, sib := range n.byDest[dest] {
			n.eps.aside[ep] = n.eps.aside[ep] || n.eps.aside[sib]
			n.eps.warmAt[ep] = max(n.eps.warmAt[ep], n.eps.warmAt[sib])
		}
	}
	n.eps.ready[ep] = state == delivery.Ready
}

func (n *Scheduler) ListEnded() {
	n.dir.watched, n.dir.delay = n.dir.at > 0, 0
	n.dir.heard = n.dir.watched
}

func (n *Scheduler) Withdrawn(evt int32)                                             { n.close(evt) }
func (n *Scheduler) ListFailed()                                                     { n.dir.failed(n.now, &n.chance) }
func (n *Scheduler) Probed(ep int32, how delivery.Outcome, took int64, l, r float64) {}
func (n *Scheduler) Woken()                                                          { n.wakeAt = 0 }

func (n *Scheduler) PeerReportedHealthy(peer int, ep int32) {
	if n.eps.suspect(ep, n.now) { // it comes back, cold
		n.eps.takeBack(ep, n.now, n.chance.float())
	}
}

func (n *Scheduler) destination(dest int32) {
	if int(dest) >= len(n.byDest) {
		n.byDest, n.destLane = put(n.byDest, dest, nil), put(n.destLane, dest, -1)
	}
}

// retry plans an event's next send after a failed one, or ends it.
func (n *Scheduler) retry(evt, ep int32, how delivery.Outcome, wait int64) {
	e, t := &n.events[evt], &n.types[n.events[evt].typ]
	delay := wait
	switch {
	case how == delivery.Refused && wait == 0:
		delay = min(refusalBase, t.MaxAge/refusalPart) + min(extraBase, t.MaxAge/extraPart)<<min(e.refusals, 20)
		e.refusals++
	case how != delivery.Refused:
		delay = errorBase << min(e.errors, 20)
		e.errors++
	}
	if wait == 0 {
		delay += int64(n.chance.float() * jitterPart * float64(delay))
	}
	// Danger: a clump refused at many nodes comes back at once. It is spread until our part brings a call.
	if l := n.lanes.limit[n.eps.lane[ep]]; how == delivery.Refused && l > 0 {
		left := spreadPart * float64(max(0, n.lastSend(e)-n.now-delay))
		delay += int64(n.chance.float() * min(n.lanes.nodes/l*float64(second), left))
	}
	e.notBefore = n.now + delay
	if e.notBefore >= n.lastSend(e) {
		n.giveUp(evt, delay)
		return
	}
	n.waiting = append(n.waiting, evt)
}

// lastSend: danger: past it a send comes too late or takes effect twice, its mark being forgotten or missing.
func (n *Scheduler) lastSend(e *event) int64 {
	switch t := &n.types[e.typ]; {
	case e.sends >= n.room.MaxAttempts || (e.mayHaveRun() && t.Safety == delivery.NonIdempotent):
		return min(n.now, e.deadline)
	}
	return min(e.deadline, n.windowEnd(e))
}

// windowEnd is the end of the time in which a repeat is known by its mark.
func (n *Scheduler) windowEnd(e *event) int64 {
	if t := &n.types[e.typ]; e.mayHaveRun() && t.Safety == delivery.Deduplicated {
		at, _ := e.ran()
		return at + t.DedupWindow - windowMargin
	}
	return math.MaxInt64
}

// mayHaveRun tells whether a send may have taken effect.
func (e *event) mayHaveRun() bool { return e.mayRun || len(e.unconfirmed) > 0 }

// ran is when, and to which zone, the first send went out that may have run.
func (e *event) ran() (at int64, zone int) {
	at, zone = e.ranAt, e.ranZone
	if !e.mayRun {
		at = math.MaxInt64
	}
	for _, u := range e.unconfirmed {
		if u.sentAt < at {
			at, zone = u.sentAt, u.zone
		}
	}
	return at, zone
}

// giveUp ends an event at once: declined, with the time to come back, where nothing can have run.
func (n *Scheduler) giveUp(evt int32, comeBack int64) {
	if e := &n.events[evt]; e.mayHaveRun() || e.call >= 0 {
		if e.call >= 0 { // danger: what still connects must not go out after the end was told
			n.out.CancelUnsent(evt, e.sends-1)
		}
		n.out.Discard(evt)
	} else {
		n.out.Decline(evt, min(comeBack, n.room.MaxRetryAfter))
	}
	n.close(evt)
}

func (n *Scheduler) close(evt int32) { // a send still out keeps its key's turn until its outcome
	n.events[evt].live = false
	if e := &n.events[evt]; e.call < 0 {
		n.keys.leave(e.key, evt, n.now)
	}
}

// sweep answers events whose time is up. Danger: silent calls hold all slots; those without hope end.
func (n *Scheduler) sweep() {
	scarce := scarcePart*(n.room.MaxConcurrentCalls-n.slots) <= n.room.MaxConcurrentCalls && len(n.waiting) > backlog*n.room.MaxConcurrentCalls
	for i := range n.events {
		e := &n.events[i]
		if e.live && (n.now >= e.deadline || (e.call < 0 && n.now >= n.lastSend(e))) {
			n.giveUp(int32(i), 0)
		}
		if !e.live || e.call < 0 {
			continue
		}
		c := &n.calls[e.call]
		// Danger: a send waits for its connection; a wait, the list or its window may forbid it when that stands.
		if !e.recalled && (n.now < n.lanes.waitUntil[n.eps.lane[c.endpoint]] || !n.eps.ready[c.endpoint] ||
			n.now >= n.windowEnd(e)) {
			n.out.CancelUnsent(int32(i), e.sends-1)
			e.recalled = true
		}
		if e.calledOff || !n.room.CanCancel {
			continue
		}
		late := n.now-c.at >= n.eps.timeout(c.endpoint)
		dead := n.stale.dead(c.idle, n.now) && n.types[e.typ].Safety != delivery.NonIdempotent
		if (late && (dead || scarce)) || (!n.eps.ready[c.endpoint] && n.eps.suspect(c.endpoint, n.now)) {
			n.out.Cancel(int32(i), e.sends-1)
			e.calledOff = true
		}
	}
}

// closeIdle: danger: where endpoints take few connections, those many nodes keep idle shut out the others.
func (n *Scheduler) closeIdle(ep int32) {
	if n.now < n.stale.crowdedUntil && n.eps.out[ep] == 0 && n.eps.used[ep][0] > 0 {
		n.out.CloseIdle(ep)
		n.eps.used[ep] = [levels]int64{}
	}
}

// forget frees the index of an endpoint off the list. Danger: where all are new, what is kept of them grows.
func (n *Scheduler) forget(ep int32, dest int) bool {
	if n.closeIdle(ep); n.eps.ready[ep] || n.eps.out[ep] > 0 {
		n.eps.leftAt[ep] = n.now
	}
	lane := n.eps.lane[ep]
	old := n.now >= max(n.eps.leftAt[ep]+goneKeep, n.lanes.waitUntil[lane])
	if old {
		if n.lanes.ends[lane]--; n.lanes.ends[lane] == 0 && n.destLane[dest] == lane {
			n.destLane[dest] = -1
		}
		n.eps.lane[ep] = -1
		n.out.Forget(ep)
	}
	return old
}

func (n *Scheduler) dispatch() {
	if n.dir.holds(n.now) {
		return
	}
	for _, evt := range n.waiting {
		e, t := &n.events[evt], &n.types[n.events[evt].typ]
		e.loss = e.value * (worth(t, e.slo, n.now-e.came) - worth(t, e.slo, n.now-e.came+waitAhead))
	}
	// Danger: in the order of coming, those that lose fast wait behind a backlog of those that lose little.
	slices.SortStableFunc(n.waiting, func(a, b int32) int {
		x, y := &n.events[a], &n.events[b]
		return cmp.Or(cmp.Compare(y.loss, x.loss), cmp.Compare(x.came, y.came))
	})
	for _, evt := range n.waiting {
		e := &n.events[evt]
		if ordered := n.types[e.typ].Ordered; e.live && n.now >= e.notBefore &&
			(!ordered || n.keys.may(e.key, evt, e.sends > 0, n.now)) {
			if ep := n.endpoint(e); ep >= 0 {
				n.send(evt, ep)
			}
		}
	}
	n.waiting = slices.DeleteFunc(n.waiting, func(evt int32) bool {
		return !n.events[evt].live || n.events[evt].call >= 0
	})
}

func worth(t *delivery.StreamType, slo, age int64) float64 { // the share of its utility left at an age
	late := float64(max(0, age-slo))
	switch {
	case age >= t.MaxAge:
		return 0
	case t.ExponentialDecay:
		return max(t.LateUtility, math.Pow(0.5, late/float64(slo)))
	}
	return 1 - (1-t.LateUtility)*late/float64(max(1, t.MaxAge-slo))
}

// endpoint picks one for an event, -1 for none: the first with room, else the least used; set aside singly.
func (n *Scheduler) endpoint(e *event) int32 {
	best, trial, t := int32(-1), int32(-1), &n.types[e.typ]
	_, ranZone := e.ran()
	for _, ep := range n.byDest[e.dest] {
		lane := n.eps.lane[ep]
		switch {
		case !n.eps.ready[ep] || n.now < n.lanes.waitUntil[lane]:
		case e.mayHaveRun() && t.DedupPerZone && n.eps.zone[ep] != ranZone: // it does not know the mark
		case n.joinable(ep, t) >= 0:
			return ep
		case !n.eps.may(ep, n.now, cmp.Or(n.lanes.limit[lane], guessLimit)/n.lanes.ends[lane], n.lanes.nodes):
		case n.eps.suspect(ep, n.now):
			if n.eps.out[ep] == 0 && (trial < 0 || n.eps.failedAt[ep] < n.eps.failedAt[trial]) {
				trial = ep
			}
		case best < 0 || (n.eps.out[best] >= rankFill && n.eps.out[ep] < n.eps.out[best]):
			best = ep
		}
	}
	// Danger: a trial at a silent endpoint costs a non-idempotent event its life, and any other its time-out.
	if trial < 0 || (best >= 0 && e.errors > 0) ||
		(t.Safety == delivery.NonIdempotent && n.eps.last[trial].MayHaveRun() && n.now-e.came <= t.MaxAge/2) {
		return best
	}
	return trial
}

func (n *Scheduler) send(evt, ep int32) {
	e, l, lane := &n.events[evt], &n.lanes, n.eps.lane[ep]
	t := &n.types[e.typ]
	if e.call = n.joinable(ep, t); e.call < 0 {
		// Danger: a destination that answers late or never fills the slots. Each leaves half of those it finds.
		if l.out[lane] >= n.room.MaxConcurrentCalls-n.slots || !l.may(lane, n.now) {
			return
		}
		e.call = int32(slices.IndexFunc(append(n.calls, call{}), func(c call) bool { return c.events == 0 }))
		idle := n.now - cmp.Or(n.eps.used[ep][min(n.eps.out[ep], levels-1)], n.now) // 0 for a first call
		if n.stale.dead(idle, n.now) {
			n.out.CloseIdle(ep)
			idle = 0
		}
		n.calls = put(n.calls, e.call, call{endpoint: ep, at: n.now, round: n.round, idle: idle})
		n.slots, n.eps.out[ep], l.out[lane] = n.slots+1, n.eps.out[ep]+1, l.out[lane]+1
		n.eps.credit[ep] = max(0, n.eps.credit[ep]-1)
		l.last[lane][patient(t)] = e.call
		l.lastSecond(lane, n.now)
		l.recent[lane] = append(l.recent[lane], n.now)
	}
	n.calls[e.call].events++
	e.sends, e.sentAt, e.calledOff, e.recalled = e.sends+1, n.now, false, false
	timeout, short := e.deadline-n.now, n.eps.timeout(ep)
	switch t.Safety { // for non-idempotent ones it would be the end
	case delivery.Idempotent:
		timeout = min(timeout, patience*short)
	case delivery.Deduplicated: // danger: past its window no repeat is allowed, and the event is lost
		timeout = min(timeout, patience*short, max(short, t.DedupWindow/windowTries))
	}
	n.out.Send(evt, ep, timeout)
}

// joinable is the call opened in this round to an endpoint, if it has room for one more event, -1 for none.
// Danger: a call ends as a whole, so events that must wait for their answer share none with those that are
// soon repeated.
func (n *Scheduler) joinable(ep int32, t *delivery.StreamType) int32 {
	last := n.lanes.last[n.eps.lane[ep]][patient(t)]
	if last >= 0 && n.calls[last].round == n.round && n.calls[last].endpoint == ep &&
		n.calls[last].events < n.lanes.perCall[n.eps.lane[ep]] {
		return last
	}
	return -1
}

func patient(t *delivery.StreamType) int {
	if t.Safety == delivery.NonIdempotent {
		return 1
	}
	return 0
}

type endpoints struct {
	back delivery.Recovery

	lane                       []int32
	ready, aside               []bool             // listed as ready; set aside
	last                       []delivery.Outcome // how the last call that failed ended
	mean, dev, credit          []float64          // answer times; calls that may go while cold
	zone, out, fails, timeouts []int              // fails, timeouts: in a row
	failedAt, ackAt, creditAt  []int64            // first of the failures in a row; last good answer
	used                       [][levels]int64    // when it last had a call more than so many out, 0 for never
	overdueAt, leftAt, warmAt  []int64            // oldest call overdue, 0: none; last listed; back, -1: never
}

func (p *endpoints) blank(ep int32) { // as one that was never heard of
	p.lane, p.zone, p.out = put(p.lane, ep, -1), put(p.zone, ep, 0), put(p.out, ep, 0)
	p.ready, p.aside, p.last = put(p.ready, ep, false), put(p.aside, ep, false), put(p.last, ep, delivery.Acked)
	p.mean, p.dev, p.credit = put(p.mean, ep, 0), put(p.dev, ep, 0), put(p.credit, ep, 1)
	p.fails, p.timeouts, p.failedAt = put(p.fails, ep, 0), put(p.timeouts, ep, 0), put(p.failedAt, ep, 0)
	p.ackAt, p.overdueAt, p.warmAt = put(p.ackAt, ep, -1), put(p.overdueAt, ep, 0), put(p.warmAt, ep, -1)
	p.creditAt, p.leftAt, p.used = put(p.creditAt, ep, 0), put(p.leftAt, ep, 0), put(p.used, ep, [levels]int64{})
}

func put[T any](list []T, i int32, v T) []T { // sets a figure, also of the next new index
	list = append(list, make([]T, max(0, int(i)+1-len(list)))...)
	list[i] = v
	return list
}

// look finds the overdue calls: silence shows before any time-out ends.
func (p *endpoints) look(now int64, calls []call, s *stale) {
	clear(p.overdueAt)
	for i := range calls {
		if c := &calls[i]; c.events > 0 && c.at > p.ackAt[c.endpoint] && !s.dead(c.idle, now) {
			at := c.at + max(leastLate, int64(p.mean[c.endpoint]+overdueDevs*p.dev[c.endpoint]))
			if now >= c.at+p.timeout(c.endpoint) && !c.silent && c.idle >= leastLate {
				c.silent = true
				s.learn(true, c.idle, now)
			}
			if p.overdueAt[c.endpoint] == 0 || at < p.overdueAt[c.endpoint] {
				p.overdueAt[c.endpoint] = at
			}
		}
	}
}

func (p *endpoints) suspect(ep int32, now int64) bool {
	return p.aside[ep] || (p.overdueAt[ep] > 0 && now >= p.overdueAt[ep])
}

func (p *endpoints) timeout(ep int32) int64 {
	t := unmeasured
	if p.mean[ep] > 0 {
		t = max(leastOut, int64(p.mean[ep]+timeoutDevs*p.dev[ep]))
	}
	return t << min(p.timeouts[ep], 6)
}

func (p *endpoints) judge(ep int32, now int64, how delivery.Outcome, took int64, full, sure bool, luck float64) {
	switch {
	case how == delivery.Unsent, how == delivery.Unreadable,
		!sure && (how == delivery.Cancelled || how == delivery.Refused && full):
		return // called off, the silence may be of the way there; spoilt, it answers; over a limit, it is not shut
	case how == delivery.Acked:
		if p.aside[ep] {
			p.takeBack(ep, now, luck)
		}
		p.fails[ep], p.timeouts[ep], p.ackAt[ep] = 0, 0, now
		if p.mean[ep] == 0 {
			p.mean[ep], p.dev[ep] = float64(took), float64(took)/2
		}
		p.dev[ep] += answerKeep * (math.Abs(float64(took)-p.mean[ep]) - p.dev[ep])
		p.mean[ep] += answerKeep * (float64(took) - p.mean[ep])
		return
	case how == delivery.TimedOut:
		p.timeouts[ep]++
	}
	if p.last[ep], p.fails[ep] = how, p.fails[ep]+1; p.fails[ep] == 1 {
		p.failedAt[ep] = now
	}
	enough := p.fails[ep] >= asideAfter && (how != delivery.Reset || p.fails[ep] >= asideResets)
	if sure || (enough && (how != delivery.Refused || now-p.failedAt[ep] >= paceCutEvery)) {
		p.setAside(ep, now, luck)
	}
}

// coldBudget is the calls that a cold destination of some limit bears in the rule's window.
func (p *endpoints) coldBudget(limit float64) float64 {
	return p.back.OverloadFactor * p.back.ColdShare * limit * float64(p.back.OverloadAfter) / float64(second)
}

func (p *endpoints) setAside(ep int32, now int64, luck float64) {
	if p.warmAt[ep] = -1; !p.aside[ep] {
		p.aside[ep], p.credit[ep], p.creditAt[ep] = true, luck, now
	}
}

func (p *endpoints) takeBack(ep int32, now int64, luck float64) {
	p.credit[ep], p.creditAt[ep] = luck, now // danger: all peers hear of a return and spend what they saved up
	p.aside[ep], p.warmAt[ep], p.fails[ep], p.timeouts[ep], p.ackAt[ep] = false, now, 0, 0, now
}

// may tells if a cold endpoint bears one more call. Danger: pushed over it stays down. All that met it share.
func (p *endpoints) may(ep int32, now int64, rate, nodes float64) bool {
	warm, until := p.back.ColdShare, now
	if p.back.OverloadAfter <= 0 || p.back.OverloadFactor <= 0 { // nothing falls there
		return true
	}
	if !p.aside[ep] {
		if until = p.warmAt[ep]; until < 0 || now-until >= p.back.WarmupTime {
			return true
		}
		warm += (1 - warm) * float64(now-until) / float64(p.back.WarmupTime)
	}
	window := float64(p.back.OverloadAfter) / float64(second)
	met := -math.Expm1(-coldMet * rate / nodes * (float64(until-p.failedAt[ep])/float64(second) + window))
	budget := p.back.OverloadFactor * warm * rate * window
	if nodes*met > budget { // danger: with less than a call for each of many nodes, chance brings them together
		budget = max(coldLeast*budget, budget-coldChance*math.Sqrt(budget))
	}
	return refill(&p.credit[ep], &p.creditAt[ep], now, coldRoom*budget/window/max(1, nodes*met), 1)
}

// refill adds the calls that a rate has brought since the last look, up to a depth, and tells if one may go.
func refill(credit *float64, at *int64, now int64, rate, depth float64) bool {
	*credit = min(depth, *credit+rate*float64(now-*at)/float64(second))
	*at = now
	return *credit >= 1
}

type lanes struct {
	nodes float64

	perCall, out                        []int     // events in a call, calls out
	limit, ends                         []float64 // calls a second that the destination told; endpoints
	pace, credit                        []float64 // calls a second, 0 for unpaced; calls that may go now
	waitUntil, creditAt, cutAt, climbAt []int64
	recent                              [][]int64  // sends of the last second
	last                                [][2]int32 // the call opened last, and the last that is patient
}

func (l *lanes) add(perCall int, credit float64) int32 { // by chance: many nodes refused at once spread out
	i := int32(slices.Index(append(l.ends, 0), 0)) // one is free once all its endpoints are forgotten
	l.perCall, l.out, l.ends = put(l.perCall, i, perCall), put(l.out, i, 0), put(l.ends, i, 0)
	l.waitUntil, l.limit, l.recent = put(l.waitUntil, i, 0), put(l.limit, i, 0), put(l.recent, i, nil)
	l.pace, l.credit, l.creditAt = put(l.pace, i, 0), put(l.credit, i, credit), put(l.creditAt, i, 0)
	l.cutAt, l.climbAt = put(l.cutAt, i, -paceCutEvery), put(l.climbAt, i, 0)
	l.last = put(l.last, i, [2]int32{-1, -1})
	return i
}

func (l *lanes) judge(lane int32, now int64, how delivery.Outcome, wait int64, left, limit float64) {
	l.limit[lane] = cmp.Or(limit, l.limit[lane])
	l.wait(lane, now+wait)
	switch {
	case how == delivery.Acked && l.pace[lane] > 0:
		span := float64(min(now-l.climbAt[lane], paceSpan)) / float64(second)
		if fair := l.limit[lane] / l.nodes; l.pace[lane] < fair {
			l.pace[lane] = min(fair, l.pace[lane]+paceBack*fair*span)
		} else {
			l.pace[lane] = min(l.pace[lane]*(1+paceClimb*span), cmp.Or(limit, math.MaxFloat64))
		}
		l.climbAt[lane] = now
	case how == delivery.Refused && now >= l.cutAt[lane]+paceCutEvery:
		l.cutAt[lane], l.climbAt[lane] = now, now
		cut := paceCut * min(float64(l.lastSecond(lane, now)), cmp.Or(l.pace[lane], math.MaxFloat64))
		if limit > 0 && left < spentLeft { // no burst of a moment: the limit is used up
			cut = min(cut, paceFair*limit/l.nodes)
		}
		// Danger: where refused calls use up the limit, a least pace over our part of it keeps all refused.
		least := min(paceLeast, max(paceFair*cmp.Or(l.limit[lane]/l.nodes, paceLeast/paceFair), paceSeldom))
		l.pace[lane] = max(least, cut)
	}
}

// wait notes that a lane was told to wait until a time. It never makes a wait shorter.
func (l *lanes) wait(lane int32, until int64) { l.waitUntil[lane] = max(l.waitUntil[lane], until) }

func (l *lanes) lastSecond(lane int32, now int64) int {
	l.recent[lane] = slices.DeleteFunc(l.recent[lane], func(at int64) bool { return at <= now-second })
	return len(l.recent[lane])
}

// may takes the credit for one call where the lane's pace leaves it.
func (l *lanes) may(lane int32, now int64) bool {
	if l.pace[lane] == 0 || now-l.creditAt[lane] > paceForget {
		l.pace[lane], l.creditAt[lane] = 0, now
		return true
	}
	depth := max(1, l.pace[lane]*float64(paceBurst)/float64(second))
	if !refill(&l.credit[lane], &l.creditAt[lane], now, l.pace[lane], depth) {
		return false
	}
	l.credit[lane]--
	return true
}

// stale learns from calls lost after an idle time that idle connections are dead. Danger: each next is lost.
type stale struct {
	lost, good              int
	at, after, crowdedUntil int64 // last call lost; shortest idle time before one; connects fail till then
}

func (s *stale) learn(lost bool, idle, now int64) {
	switch {
	case !lost && idle >= s.after:
		s.good++
	case lost && idle >= staleLeast:
		if s.lost == 0 || now-s.at > staleKeep {
			s.lost, s.good, s.after = 0, 0, idle
		}
		s.lost, s.at, s.after = s.lost+1, now, min(s.after, idle)
	}
}

func (s *stale) dead(idle, now int64) bool {
	return s.lost >= staleSigns && staleShare*s.lost > s.good && now-s.at <= staleKeep && idle >= s.after
}

// turn is the line of one key: its events in the order of their coming, and when a new one may start.
type turn struct {
	events []int32
	freeAt int64
}

type turns map[uint64]*turn

func (t turns) join(key uint64, evt int32) {
	k := cmp.Or(t[key], &turn{})
	t[key], k.events = k, append(k.events, evt)
}

func (t turns) leave(key uint64, evt int32, now int64) {
	if k := t[key]; k != nil {
		k.events = slices.DeleteFunc(k.events, func(e int32) bool { return e == evt })
		if len(k.events) == 0 && now >= k.freeAt {
			delete(t, key)
		}
	}
}

func (t turns) may(key uint64, evt int32, begun bool, now int64) bool {
	k := t[key]
	return k == nil || (k.events[0] == evt && (begun || now >= k.freeAt))
}

type directory struct {
	asked, pushed       bool // changes must be asked for; they count as told although nobody asked
	watched, heard      bool // a watch was confirmed; the first call has ended, for good or bad
	at, delay, firstAsk int64
}

// ask asks for changes until a watch stands: what is not asked for counts as told all the same.
func (d *directory) ask(now int64, out delivery.Executor) {
	if d.asked && !d.watched && now >= d.at {
		out.Watch(true)
		d.at, d.firstAsk = now+askOut, cmp.Or(d.firstAsk, now)
	}
}

// holds: danger: the list kept from before a restart is old, and where lists are pushed, what came since
// counts from the first moment. One that cannot be reached must not hold back what is owed.
func (d *directory) holds(now int64) bool { return d.pushed && !d.heard && now < d.firstAsk+askHold }

// failed plans the next call: the notice does not say whether a watch still stands.
func (d *directory) failed(now int64, chance *pcg) {
	d.watched, d.heard, d.delay = false, true, min(max(askFirst, 2*d.delay), askMost)
	d.at = now + d.delay + int64(chance.float()*jitterPart*float64(d.delay))
}

type pcg uint64 // a permuted congruential generator (PCG-XSH-RR 64/32)

func (p *pcg) float() float64 {
	old := uint64(*p)
	*p = pcg(old*6364136223846793005 + 1442695040888963407)
	return float64(bits.RotateLeft32(uint32(((old>>18)^old)>>27), -int(old>>59))) / (1 << 32)
}
