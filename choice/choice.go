// Package choice decides for one delivery node when and where each event is sent, and how it ends.
//
// Call New once at start and Round once a round, with a feed that hands in all that came and a writer that
// takes the decisions. The interface is package port. The retry rule of docs/design.md decides the ordinary
// path: a told wait holds a whole lane; else an event's delays grow, with jitter, up to its cap of sends and
// its max age, under the companion pace. A lane is what shares one limit: a destination, or one endpoint of
// it where its endpoints are routes apart.
//
// Beside the design stand these mechanisms:
//  1. Cold return: a lane that failed is sent little until it has had time to warm up.
//  2. Slot shares: a lane holds at most as many slots as are left free.
package choice

import (
	"math"
	"slices"

	"jaspersill/port"
)

const (
	second = int64(1e9)

	// The design's delays.
	refusalBase  = 5 * second   // longest base after a refusal: the source's default
	refusalPart  = 10           // the base is at most this part of max age, so that several tries fit in
	extraBase    = 1 * second   // first extra after a refusal, doubling: the source's default
	extraPart    = 50           // the extra is at most this part of max age, for the same reason
	errorBase    = second / 5   // first delay after other errors, doubling: one quick second look
	jitterPart   = 0.5          // delays grow by chance by up to half: spreads nodes, still orders the tries
	paceCutEvery = 1 * second   // a burst of refusals is one sign, not many: one cut a second
	paceCut      = 0.5          // a refusal halves the pace: the design's figure
	paceLeast    = 1.0          // calls a second below which a pace never falls: keeps signs coming
	paceClimb    = 0.1          // share by which a pace climbs each second while all is served
	paceForget   = 60 * second  // a lane idle for a minute starts unpaced
	paceBurst    = second / 2   // calls saved up while idle, in time at the pace: under the shortest span
	answerBefore = second / 50  // final answers go out this long before max age: a few rounds' time
	beat         = second / 100 // next look while events wait: a fraction of any answer time
	restBeat     = second / 5   // next look while nothing waits

	// Rule guards.
	windowMargin = second / 10 // a repeat leaves this long before its mark is forgotten: covers the way there
	askFirst     = second / 2  // first delay before the directory is asked again, doubling
	askLongest   = 4 * second  // longest such delay, where the directory's rule allows it
	sickAfter    = 3           // failures in a row that make an outage: one or two are chance
	sickSpan     = 1 * second  // refusals count as an outage only if they go on this long: a burst is shorter
	coldRoom     = 0.8         // part of the rule's budget that is used: leaves room for sends on their way
	guessLimit   = 2.0         // calls a second assumed of a lane that told no limit: small partners take that
)

// event is one event from its coming to its end.
type event struct {
	typ, sends, refusals, errors int
	dest, call                   int32 // call is -1 while nothing is out
	key                          uint64
	came, deadline, notBefore    int64
	sentAt, ranAt                int64 // last send; first send that may have run
	ranZone                      int
	mayRun, live                 bool
}

// call is one call out: one slot, one fate.
type call struct {
	lane, endpoint int32
	at             int64
	events         int // outcomes still to come
	judged         bool
}

// Node is the decision module of one delivery node.
type Node struct {
	now    int64
	out    port.Writer
	chance pcg
	types  []port.StreamType
	kinds  []port.Partner
	room   port.Room

	events  []event
	waiting []int32 // live events with nothing out, in the order of their coming
	calls   []call
	idle    []int32 // places in calls that are free
	slots   int     // calls out
	wakeAt  int64

	dir   directory
	keys  turns
	lanes lanes

	// Endpoints, by index.
	epDest, epLane []int32
	epZone, epOut  []int
	epReady        []bool
	byDest         [][]int32 // a destination's endpoints
	destLane       []int32   // its lane, where its endpoints share one
}

// New makes the module of one delivery node.
func New(seed uint64, types []port.StreamType, customers []port.Customer, overShare float64,
	kinds []port.Partner, room port.Room, back port.Recovery, dir port.Directory, fleet port.Fleet,
	orderPause int64) *Node {
	return &Node{chance: newPCG(seed), types: types, kinds: kinds, room: room,
		dir:   directory{asked: dir.Asked, within: dir.AskWithin},
		keys:  turns{pause: orderPause, lines: make(map[uint64]*turn)},
		lanes: lanes{back: back, nodes: float64(max(1, fleet.Nodes))},
	}
}

// Round takes a round's news and writes the decisions.
func (n *Node) Round(now int64, feed port.Feed, out port.Writer) {
	n.now, n.out = now, out
	feed.Deliver(n)
	n.dir.ask(now, out, &n.chance)
	n.endLate()
	n.dispatch()
	pause := restBeat
	if len(n.waiting) > 0 || n.slots > 0 {
		pause = beat
	}
	if n.wakeAt <= now || n.wakeAt > now+pause {
		n.wakeAt = now + pause
		out.Wake(pause)
	}
}

// ---- what comes in

// Event implements port.Intake, as do the methods below.
func (n *Node) Event(evt int32, typ, customer int, key uint64, left, work int64, dest int32) {
	for int(evt) >= len(n.events) {
		n.events = append(n.events, event{})
	}
	n.destination(dest)
	n.events[evt] = event{typ: typ, dest: dest, call: -1, key: key, came: n.now,
		deadline: n.now + left - answerBefore, notBefore: n.now, live: true}
	if n.types[typ].Ordered {
		n.keys.join(key, evt)
	}
	n.waiting = append(n.waiting, evt)
}

func (n *Node) Begun(evt int32, send int) {
	n.events[evt].deadline = math.MaxInt64 // the answer has begun: no time runs any more
}

func (n *Node) Outcome(evt int32, send int, endpoint int32, how port.Outcome, wait, took int64, ended bool,
	left, limit float64) {
	e := &n.events[evt]
	if e.call >= 0 {
		c := &n.calls[e.call]
		if !c.judged {
			c.judged = true
			n.lanes.judge(c.lane, n.now, how, wait, took, limit)
		}
		if c.events--; c.events == 0 {
			n.slots--
			n.epOut[c.endpoint]--
			n.lanes.out[c.lane]--
			n.idle = append(n.idle, e.call)
		}
		e.call = -1
	}
	if how.MayHaveRun() && how != port.Acked {
		if !e.mayRun {
			e.mayRun, e.ranAt, e.ranZone = true, e.sentAt, n.epZone[endpoint]
		}
		if how != port.Errored && n.types[e.typ].Ordered {
			n.keys.hold(e.key, n.now) // the send may still be running: the key's next event must not overtake it
		}
	}
	switch {
	case ended || !e.live:
		e.live = false
		n.keys.leave(e.key, evt, n.now)
	default:
		n.retry(evt, how, wait)
	}
}

func (n *Node) Withdrawn(evt int32) {
	if e := &n.events[evt]; e.live {
		n.close(evt)
	}
}

func (n *Node) ListBegins(whole bool) {
	if whole {
		for i := range n.epReady {
			n.epReady[i] = false
		}
	}
}

func (n *Node) Listed(ep, dest int32, kind, zone int, state port.State, rate float64) {
	n.destination(dest)
	for int(ep) >= len(n.epReady) {
		n.epReady, n.epZone, n.epOut = append(n.epReady, false), append(n.epZone, 0), append(n.epOut, 0)
		n.epDest, n.epLane = append(n.epDest, -1), append(n.epLane, -1)
	}
	if n.epDest[ep] < 0 {
		n.epDest[ep], n.epZone[ep] = dest, zone
		n.byDest[dest] = append(n.byDest[dest], ep)
		perCall, routes := 1, false
		if kind < len(n.kinds) {
			perCall, routes = n.kinds[kind].PerCall, n.kinds[kind].Routes
		}
		if lane := n.destLane[dest]; routes || lane < 0 {
			n.epLane[ep] = n.lanes.add(perCall)
			n.destLane[dest] = n.epLane[ep]
		} else {
			n.epLane[ep] = lane
		}
	}
	n.epReady[ep] = state == port.Ready
}

func (n *Node) ListEnds()                                                   { n.dir.answered() }
func (n *Node) ListFailed()                                                 { n.dir.failed(n.now, &n.chance) }
func (n *Node) Probed(ep int32, how port.Outcome, took int64, l, r float64) {}
func (n *Node) PeerGood(peer int, ep int32)                                 {}
func (n *Node) Woken()                                                      { n.wakeAt = 0 }

func (n *Node) destination(dest int32) {
	for int(dest) >= len(n.byDest) {
		n.byDest, n.destLane = append(n.byDest, nil), append(n.destLane, -1)
	}
}

// ---- the retry rule

// retry plans an event's next send after a failed one, or ends it.
func (n *Node) retry(evt int32, how port.Outcome, wait int64) {
	e, t := &n.events[evt], &n.types[n.events[evt].typ]
	if e.mayRun && t.Safety == port.NonIdempotent {
		n.giveUp(evt, 0) // a second effect is the danger
		return
	}
	delay := wait
	switch {
	case how == port.Declined && wait == 0:
		delay = min(refusalBase, t.MaxAge/refusalPart) + min(extraBase, t.MaxAge/extraPart)<<min(e.refusals, 20)
		e.refusals++
		delay += int64(n.chance.float() * jitterPart * float64(delay))
	case how != port.Declined:
		delay = errorBase << min(e.errors, 20)
		e.errors++
		delay += int64(n.chance.float() * jitterPart * float64(delay))
	}
	e.notBefore = n.now + delay
	if e.sends >= n.room.Sends || e.notBefore >= n.lastSend(e) {
		n.giveUp(evt, delay)
		return
	}
	n.waiting = append(n.waiting, evt)
}

// lastSend is when an event can be sent at the latest: past it a send would come too late, or its mark would be
// forgotten and it could take effect twice.
func (n *Node) lastSend(e *event) int64 {
	if t := &n.types[e.typ]; e.mayRun && t.Safety == port.Deduplicated {
		return min(e.deadline, e.ranAt+t.Window-windowMargin)
	}
	return e.deadline
}

// giveUp ends an event at once: declined, with the time to come back, where nothing can have run.
func (n *Node) giveUp(evt int32, comeBack int64) {
	if e := &n.events[evt]; e.mayRun || e.call >= 0 {
		n.out.Discard(evt)
	} else {
		n.out.Decline(evt, min(comeBack, n.room.ComeBack))
	}
	n.close(evt)
}

// close marks an event as over; a send still out keeps its key's turn until its outcome.
func (n *Node) close(evt int32) {
	e := &n.events[evt]
	e.live = false
	if e.call < 0 {
		n.keys.leave(e.key, evt, n.now)
	}
}

// endLate answers events whose time is up, whether they wait or have a send out: an unanswered one is lost.
func (n *Node) endLate() {
	for i := range n.events {
		if e := &n.events[i]; e.live && n.now >= e.deadline {
			n.giveUp(int32(i), 0)
		} else if e.live && e.call < 0 && n.now >= n.lastSend(e) {
			n.giveUp(int32(i), 0)
		}
	}
}

// ---- sending

// dispatch sends what may go, in order, as slots, waits, paces and turns allow.
func (n *Node) dispatch() {
	n.waiting = slices.DeleteFunc(n.waiting, func(evt int32) bool { return !n.events[evt].live })
	sent := false
	for _, evt := range n.waiting {
		e := &n.events[evt]
		if n.now < e.notBefore || (n.types[e.typ].Ordered && !n.keys.may(e.key, evt, e.sends > 0, n.now)) {
			continue
		}
		ep := n.endpoint(e)
		if ep < 0 {
			continue
		}
		sent = n.send(evt, ep) || sent
	}
	n.lanes.endRound()
	if sent {
		n.waiting = slices.DeleteFunc(n.waiting, func(evt int32) bool { return n.events[evt].call >= 0 })
	}
}

// endpoint picks where an event goes, -1 for nowhere now.
func (n *Node) endpoint(e *event) int32 {
	best := int32(-1)
	for _, ep := range n.byDest[e.dest] {
		if !n.epReady[ep] || n.now < n.lanes.waitUntil[n.epLane[ep]] {
			continue
		}
		if t := &n.types[e.typ]; e.mayRun && t.ByZone && n.epZone[ep] != e.ranZone {
			continue // another zone does not know the mark: a second effect is the danger
		}
		if n.lanes.joinable(n.epLane[ep]) == ep {
			return ep
		}
		if best < 0 || n.epOut[ep] < n.epOut[best] {
			best = ep
		}
	}
	return best
}

// send sends an event, in a call that is being filled this round or in one of its own.
func (n *Node) send(evt, ep int32) bool {
	e, l, lane := &n.events[evt], &n.lanes, n.epLane[ep]
	if l.joinable(lane) == ep {
		e.call = l.filling[lane]
	} else {
		// Danger: a destination that answers late or never fills the slots, and the healthy wait behind it. A lane
		// may hold no more slots than are left free, so each sick one still leaves half of what it found.
		if free := n.room.Slots - n.slots; free <= 0 || l.out[lane] >= free || !l.may(lane, n.now) {
			return false
		}
		if last := len(n.idle) - 1; last >= 0 {
			e.call, n.idle = n.idle[last], n.idle[:last]
		} else {
			e.call = int32(len(n.calls))
			n.calls = append(n.calls, call{})
		}
		n.calls[e.call] = call{lane: lane, endpoint: ep, at: n.now}
		n.slots++
		n.epOut[ep]++
		l.open(lane, ep, e.call, n.now)
	}
	l.fill(lane)
	n.calls[e.call].events++
	e.sends++
	e.sentAt = n.now
	n.out.Send(evt, ep, e.deadline-n.now)
	return true
}

// ---- lanes: waits, the companion pace and cold returns

// lanes holds the figures of each lane, by index.
type lanes struct {
	back  port.Recovery
	nodes float64

	perCall, out, bad []int
	waitUntil         []int64
	limit             []float64 // calls a second that the destination told
	pace, credit      []float64 // calls a second, 0 for unpaced; calls that may go now
	creditAt, cutAt   []int64
	climbAt           []int64
	recent            [][]int64 // sends of the last second
	badSince, warmAt  []int64   // first of the failures in a row; first answer after an outage
	sick              []bool
	filling, fillEp   []int32 // the call that this round's sends may join, and its endpoint
	filled            []int
	open_             []int32 // lanes with a call being filled
}

func (l *lanes) add(perCall int) int32 {
	l.perCall, l.out, l.bad = append(l.perCall, perCall), append(l.out, 0), append(l.bad, 0)
	l.waitUntil, l.limit = append(l.waitUntil, 0), append(l.limit, 0)
	l.pace, l.credit = append(l.pace, 0), append(l.credit, 1)
	l.creditAt, l.cutAt, l.climbAt = append(l.creditAt, 0), append(l.cutAt, 0), append(l.climbAt, 0)
	l.recent, l.sick = append(l.recent, nil), append(l.sick, false)
	l.badSince, l.warmAt = append(l.badSince, 0), append(l.warmAt, -1)
	l.filling, l.fillEp, l.filled = append(l.filling, -1), append(l.fillEp, -1), append(l.filled, 0)
	return int32(len(l.out) - 1)
}

// judge takes the fate of one call.
func (l *lanes) judge(lane int32, now int64, how port.Outcome, wait, took int64, limit float64) {
	if limit > 0 {
		l.limit[lane] = limit
	}
	switch how {
	case port.Acked:
		l.bad[lane] = 0
		if l.sick[lane] {
			l.sick[lane], l.warmAt[lane] = false, now
		}
		if l.pace[lane] > 0 {
			l.pace[lane] *= 1 + paceClimb*float64(min(now-l.climbAt[lane], second))/float64(second)
			l.climbAt[lane] = now
		}
		return
	case port.Unsent, port.Cancelled:
		return
	case port.Declined:
		if wait > 0 {
			l.waitUntil[lane] = max(l.waitUntil[lane], now+wait)
		}
		if now >= l.cutAt[lane]+paceCutEvery {
			l.pace[lane] = max(paceLeast, paceCut*float64(l.lastSecond(lane, now)))
			l.cutAt[lane], l.climbAt[lane] = now, now
		}
	}
	if l.bad[lane]++; l.bad[lane] == 1 {
		l.badSince[lane] = now
	}
	// Danger: pushing over what comes back cold. Failures in a row mean an outage; so do refusals, if they last.
	if l.bad[lane] >= sickAfter && (how != port.Declined || now-l.badSince[lane] >= sickSpan) {
		l.sick[lane], l.warmAt[lane] = true, -1
	}
}

func (l *lanes) lastSecond(lane int32, now int64) int {
	r := l.recent[lane]
	for len(r) > 0 && r[0] <= now-second {
		r = r[1:]
	}
	l.recent[lane] = r
	return len(r)
}

// rate is how many calls a second a lane may be sent now, and how many of them at once.
func (l *lanes) rate(lane int32, now int64) (rate, depth float64) {
	rate = l.pace[lane]
	if r := l.recent[lane]; rate > 0 && len(r) > 0 && now-r[len(r)-1] > paceForget {
		l.pace[lane], rate = 0, 0
	}
	depth = max(1, rate*float64(paceBurst)/float64(second))
	if rate == 0 {
		rate = math.Inf(1)
	}
	if cold := l.coldRate(lane, now); cold < rate {
		rate, depth = cold, 1
	}
	return rate, depth
}

// coldRate is this node's part of what a destination back from an outage bears while it warms up; all peers
// may send as much, so each takes an equal part.
func (l *lanes) coldRate(lane int32, now int64) float64 {
	share := l.back.ColdShare
	if !l.sick[lane] {
		if l.warmAt[lane] < 0 || now-l.warmAt[lane] >= l.back.WarmAfter {
			return math.Inf(1)
		}
		share += (1 - share) * float64(now-l.warmAt[lane]) / float64(l.back.WarmAfter)
	}
	limit := l.limit[lane]
	if limit == 0 {
		limit = guessLimit
	}
	return coldRoom * l.back.FallMultiple * share * limit / l.nodes
}

// may takes the credit for one call where the lane's rate leaves it.
func (l *lanes) may(lane int32, now int64) bool {
	if l.sick[lane] && l.out[lane] > 0 {
		return false // one call at a time tells whether an outage is over
	}
	rate, depth := l.rate(lane, now)
	if math.IsInf(rate, 1) {
		l.credit[lane], l.creditAt[lane] = 1, now
		return true
	}
	l.credit[lane] = min(depth, l.credit[lane]+rate*float64(now-l.creditAt[lane])/float64(second))
	l.creditAt[lane] = now
	if l.credit[lane] < 1 {
		return false
	}
	l.credit[lane]--
	return true
}

func (l *lanes) open(lane, ep, call int32, now int64) {
	l.lastSecond(lane, now)
	l.recent[lane] = append(l.recent[lane], now)
	l.out[lane]++
	l.filling[lane], l.fillEp[lane], l.filled[lane] = call, ep, 0
	l.open_ = append(l.open_, lane)
}

func (l *lanes) fill(lane int32) { l.filled[lane]++ }

// joinable is the endpoint of a call of this round that has room, -1 for none.
func (l *lanes) joinable(lane int32) int32 {
	if l.filling[lane] < 0 || l.filled[lane] >= l.perCall[lane] {
		return -1
	}
	return l.fillEp[lane]
}

func (l *lanes) endRound() {
	for _, lane := range l.open_ {
		l.filling[lane] = -1
	}
	l.open_ = l.open_[:0]
}

// ---- order per key

type turn struct {
	events []int32
	freeAt int64
}

// turns keeps the events of each key in the order of their coming.
type turns struct {
	pause int64
	lines map[uint64]*turn
}

func (t *turns) join(key uint64, evt int32) {
	if key == 0 {
		return
	}
	if t.lines[key] == nil {
		t.lines[key] = &turn{}
	}
	t.lines[key].events = append(t.lines[key].events, evt)
}

func (t *turns) hold(key uint64, now int64) {
	if k := t.lines[key]; k != nil {
		k.freeAt = now + t.pause
	}
}

func (t *turns) leave(key uint64, evt int32, now int64) {
	if k := t.lines[key]; k != nil {
		k.events = slices.DeleteFunc(k.events, func(e int32) bool { return e == evt })
		if len(k.events) == 0 && now >= k.freeAt {
			delete(t.lines, key)
		}
	}
}

func (t *turns) may(key uint64, evt int32, begun bool, now int64) bool {
	k := t.lines[key]
	return k == nil || (k.events[0] == evt && (begun || now >= k.freeAt))
}

// ---- the directory

type directory struct {
	asked   bool
	within  int64
	watched bool // a watch was confirmed
	at      int64
	delay   int64
}

// ask asks for changes until a watch stands: what is not asked for counts as told all the same.
func (d *directory) ask(now int64, out port.Writer, chance *pcg) {
	if d.asked && !d.watched && now >= d.at {
		out.Watch(true)
		d.at = now + max(askFirst, d.within/2)
	}
}

// answered takes a list; the first of a start is the cached one, which no call brought.
func (d *directory) answered() { d.watched, d.delay = d.at > 0, 0 }

// failed plans the next call: the notice does not say whether a watch still stands.
func (d *directory) failed(now int64, chance *pcg) {
	d.watched = false
	d.delay = min(max(askFirst, 2*d.delay), askLongest, max(askFirst, d.within/2))
	d.at = now + d.delay + int64(chance.float()*jitterPart*float64(d.delay))
}

// ---- chance

// pcg is a permuted congruential generator (PCG-XSH-RR 64/32).
type pcg uint64

func newPCG(seed uint64) pcg {
	p := pcg(seed + 1442695040888963407)
	p.next()
	return p
}

func (p *pcg) next() uint32 {
	old := uint64(*p)
	*p = pcg(old*6364136223846793005 + 1442695040888963407)
	x := uint32(((old >> 18) ^ old) >> 27)
	rot := uint32(old >> 59)
	return x>>rot | x<<(-rot&31)
}

func (p *pcg) float() float64 { return float64(p.next()) / (1 << 32) }
