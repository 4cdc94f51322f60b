// Package partner models destinations and their endpoints: how long they work, what they refuse, how they
// fail and how they come back. It keeps no clock and does no I/O: the caller says what time it is, so that
// the same model runs in virtual time and behind real sockets. It is not safe for use by several goroutines
// at once.
package destination

import (
	"math"
	"math/rand/v2"

	"jaspersill/delivery"
	"jaspersill/lab/scenario"
)

const (
	burstSeconds       = 0.25             // seconds of a plain rate that may come at once
	bucketWidth        = int64(1e8)       // ns in which offered calls are counted for the rule on cold returns
	overloadDeviations = 2.0              // deviations of chance that push nobody over: the platform's figure
	overloadSpareCalls = 2                // and so many calls beyond
	minRetryAfter      = int64(100e6)     // ns; a told wait is at least this
	never              = int64(1<<63 - 1) // an answer that does not come
	unreadableDelay    = int64(1e6)       // ns that a spoilt answer takes longer
	errorRanShare      = 0.5              // of calls that end with an error, this part took effect
)

// Mode is what an endpoint does with calls.
type Mode uint8

// From the best to the worst: of several troubles the worst counts.
const (
	Up Mode = iota
	Failing
	Unavailable
	Hanging
	Down
	Unreachable
)

// Endpoint is one endpoint as it truly is.
type Endpoint struct {
	Dest, Kind      int32
	WorkFactor      float64
	Mode            Mode
	Epoch           uint32 // grows whenever its process dies: calls begun before are gone
	Draining        bool
	Gone            bool
	OpenConnections int // connections
	inTransit       int // calls on their way

	slowFactor, failShare, loseShare, unreadableShare, lateShare, lateFactor float64
	availableAt                                                              int64
	workerFreeAt                                                             []int64 // when each worker is free
	queuedStarts                                                             []int64 // when waiting calls begin, in order
	group                                                                    int32
}

// EndpointGroup is what shares a limit and an outage: a destination, or one endpoint where they are routes apart.
type EndpointGroup struct {
	Kind     int32
	Limit    float64
	Dest     int32
	Capacity float64 // calls a second when warm

	tokens          float64
	tokensUpdatedAt int64
	windowStart     int64
	windowCount     int
	windowOffset    int64

	inTransit                int
	reportedLeft, reportedAt float64
	down                     bool
	outageStart, outageEnd   int64
	warmupStart              int64 // 0 for never out
	overloadedUntil          int64
	buckets                  []bucket
}

type bucket struct {
	at                int64
	offered, informed int
}

// Overload tells that a destination was pushed over while it was cold.
type Overload struct {
	At                int64
	Group, Dest       int32
	Offered, Informed int     // calls in the rule's window, and those of nodes that had seen the outage
	Allowed           float64 // calls that it could have borne
}

// Model is all destinations and their endpoints.
type Model struct {
	Endpoints []Endpoint
	Groups    []EndpointGroup
	ByDest    [][]int32 // endpoints of each destination, gone ones too
	Overloads []Overload

	scenario     *scenario.Scenario
	random       *rand.Rand
	meanWorkTime float64 // ns, of the day's traffic
	Refused      []int64 // calls turned away, by kind
	Offered      []int64 // by kind
}

// New draws the destinations of a scenario from a seed, and what they do by chance from the seed and a luck.
func New(day *scenario.Scenario, seed, luck uint64) *Model {
	m := &Model{scenario: day, random: rand.New(rand.NewPCG(seed, 0x70a7)),
		Refused: make([]int64, len(day.DestinationKinds)), Offered: make([]int64, len(day.DestinationKinds))}
	rate, work := 0.0, 0.0
	for _, t := range day.Types {
		rate += t.Rate
		work += t.Rate * float64(t.Work) * math.Exp(t.Sigma*t.Sigma/2)
	}
	if m.meanWorkTime = float64(day.Types[0].Work); rate > 0 {
		m.meanWorkTime = work / rate
	}
	for kind := range day.DestinationKinds {
		p := &day.DestinationKinds[kind]
		for range p.Destinations {
			dest := int32(len(m.ByDest))
			m.ByDest = append(m.ByDest, nil)
			pace := math.Exp(
				math.Log(p.MinWorkFactor) + m.random.Float64()*(math.Log(p.MaxWorkFactor)-math.Log(p.MinWorkFactor)),
			)
			lane := int32(-1)
			for range p.Endpoints {
				if lane < 0 || p.LimitPerEndpoint {
					lane = m.addGroup(int32(kind), dest)
				}
				m.addEndpoint(int32(kind), dest, lane, pace)
			}
		}
	}
	m.random = rand.New(rand.NewPCG(seed, 0x11c3+luck))
	return m
}

func (m *Model) addGroup(kind, dest int32) int32 {
	p := &m.scenario.DestinationKinds[kind]
	l := EndpointGroup{Kind: kind, Dest: dest, Limit: p.Limit, tokens: burst(p.Limit),
		windowOffset: int64(
			m.random.Float64() * float64(p.LimitWindow),
		), buckets: make([]bucket, int64(m.scenario.Rules.OverloadAfter)/bucketWidth+1)}
	m.Groups = append(m.Groups, l)
	return int32(len(m.Groups) - 1)
}

// addEndpoint adds one endpoint and returns its number.
func (m *Model) addEndpoint(kind, dest, lane int32, pace float64) int32 {
	p := &m.scenario.DestinationKinds[kind]
	ep := int32(len(m.Endpoints))
	m.Endpoints = append(
		m.Endpoints,
		Endpoint{Dest: dest, Kind: kind, WorkFactor: pace, group: lane, slowFactor: 1, lateFactor: 1,
			workerFreeAt: make([]int64, p.Workers)},
	)
	m.ByDest[dest] = append(m.ByDest[dest], ep)
	m.updateCapacity(lane)
	return ep
}

// updateCapacity counts anew what a lane can do when warm: its limit, or its endpoints' work.
func (m *Model) updateCapacity(lane int32) {
	l, work := &m.Groups[lane], 0.0
	for _, ep := range m.ByDest[l.Dest] {
		if e := &m.Endpoints[ep]; e.group == lane && !e.Gone {
			work += float64(len(e.workerFreeAt)) * 1e9 / (m.meanWorkTime * e.WorkFactor)
		}
	}
	if l.Capacity = work; l.Limit > 0 {
		l.Capacity = min(work, l.Limit)
	}
}

// GroupOf is the lane of an endpoint.
func (m *Model) GroupOf(ep int32) int32 { return m.Endpoints[ep].group }

func burst(rate float64) float64 { return max(1, rate*burstSeconds) }

// Replace lets an endpoint drain and adds one in its place; it returns the new one's number.
func (m *Model) Replace(ep int32) int32 {
	e := m.Endpoints[ep]
	m.Endpoints[ep].Draining = true
	lane := e.group
	if m.scenario.DestinationKinds[e.Kind].LimitPerEndpoint {
		lane = m.addGroup(e.Kind, e.Dest)
	}
	return m.addEndpoint(e.Kind, e.Dest, lane, e.WorkFactor)
}

// Remove ends an endpoint that drained: its process is gone.
func (m *Model) Remove(ep int32) {
	e := &m.Endpoints[ep]
	e.Gone = true
	e.Epoch++
	e.Mode = Down
	m.updateCapacity(e.group)
}

// Faults is what the troubles of the moment make of an endpoint; the zero value, but for its factors of 1,
// is none.
type Faults struct {
	Mode                                             Mode
	SlowFactor, LateFactor                           float64 // factors
	FailShare, LoseShare, UnreadableShare, LateShare float64 // shares of calls
	AvailableAt                                      int64   // when a shut one opens
	ReturnsWarm                                      bool    // it comes back at full strength
}

// SetFaults puts an endpoint's troubles in force from now on. It tells whether the endpoint's process died by it.
func (m *Model) SetFaults(now int64, ep int32, t Faults) (died bool) {
	e := &m.Endpoints[ep]
	if e.Gone {
		return false
	}
	e.slowFactor, e.lateFactor, e.failShare, e.loseShare, e.unreadableShare, e.lateShare = max(
		t.SlowFactor,
		0.01,
	), max(
		t.LateFactor,
		1,
	), t.FailShare, t.LoseShare, t.UnreadableShare, t.LateShare
	e.availableAt = t.AvailableAt
	died = t.Mode == Down && e.Mode != Down
	if died {
		m.killProcess(e)
	}
	e.Mode = t.Mode
	m.updateOutage(now, e.group, t.ReturnsWarm)
	return died
}

func (m *Model) killProcess(e *Endpoint) {
	e.Epoch++
	e.OpenConnections = 0
	clear(e.workerFreeAt)
	e.queuedStarts = e.queuedStarts[:0]
}

// updateOutage sees whether a lane as a whole is out: all its endpoints are, or it was pushed over.
func (m *Model) updateOutage(now int64, lane int32, warm bool) {
	l, down := &m.Groups[lane], true
	for _, ep := range m.ByDest[l.Dest] {
		if e := &m.Endpoints[ep]; e.group == lane && !e.Gone &&
			(e.Mode == Up || (e.Mode == Failing && e.failShare < 0.5)) {
			down = false
		}
	}
	switch {
	case down && !l.down:
		l.down, l.outageStart = true, now
	case !down && l.down:
		l.down, l.outageEnd = false, now
		if l.warmupStart = now; warm {
			l.warmupStart = 0
		}
		clear(l.buckets)
	}
}

// Outage tells when a lane's last outage began and ended: 0 for none, far away for one that goes on.
func (m *Model) Outage(lane int32) (from, to int64) {
	l := &m.Groups[lane]
	if l.down {
		return l.outageStart, never
	}
	return l.outageStart, l.outageEnd
}

// CapacityShare is the part of its capacity that a lane has now.
func (m *Model) CapacityShare(now int64, lane int32) float64 {
	l, r := &m.Groups[lane], &m.scenario.Rules
	switch {
	case l.down || now < l.overloadedUntil:
		return 0
	case l.warmupStart == 0 || now >= l.warmupStart+int64(r.WarmupTime):
		return 1
	}
	return r.ColdShare + (1-r.ColdShare)*float64(now-l.warmupStart)/float64(r.WarmupTime)
}

// workSpeed is the strength at which a call is worked on: one that fails most calls is no slower for it.
func (m *Model) workSpeed(now int64, lane int32) float64 {
	if m.Groups[lane].down {
		return 1
	}
	return max(m.scenario.Rules.ColdShare, m.CapacityShare(now, lane))
}

// ConnectResult is what comes of a new connection.
type ConnectResult uint8

const (
	Connected ConnectResult = iota
	ConnectRefused
	ConnectUnanswered // it never comes up
)

// Connect opens a connection to an endpoint.
func (m *Model) Connect(now int64, ep int32) ConnectResult {
	e := &m.Endpoints[ep]
	most := m.scenario.DestinationKinds[e.Kind].MaxConnections
	switch {
	case e.Mode == Unreachable:
		return ConnectUnanswered
	case e.Mode == Down, e.Gone, now < m.Groups[e.group].overloadedUntil, most > 0 && e.OpenConnections >= most:
		return ConnectRefused
	}
	e.OpenConnections++
	return Connected
}

// Close ends a connection of an endpoint's life.
func (m *Model) Close(ep int32, epoch uint32) {
	if e := &m.Endpoints[ep]; e.Epoch == epoch && e.OpenConnections > 0 {
		e.OpenConnections--
	}
}

// CallResult is what comes of a call that reached an endpoint.
type CallResult struct {
	Outcome          delivery.Outcome
	Ran              bool  // the events take effect when the work is done
	DoneAt           int64 // when the work is done, and the answer leaves; far away where none comes
	AnswerDelay      int64 // the answer leaves so much later than the work is done
	RetryAfter       int64 // told
	Limit, LimitLeft float64
}

// Answered tells whether an answer comes at all.
func (f *CallResult) Answered() bool { return f.DoneAt < never }

// StartCall takes a call of some events, with the work of each at a partner of usual pace in ns. informed tells
// that its node has seen the destination fail during its present or last outage.
func (m *Model) StartCall(now int64, ep int32, informed bool, work int64, events int) CallResult {
	e := &m.Endpoints[ep]
	l := &m.Groups[e.group]
	m.Offered[e.Kind]++
	m.checkOverload(now, e.group, informed)
	p := &m.scenario.DestinationKinds[e.Kind]
	f := CallResult{Outcome: delivery.Refused, DoneAt: now}
	if p.ReportsLimit && p.Limit > 0 {
		f.Limit, f.LimitLeft = p.Limit, m.reportLimitLeft(now, l, p)
	}
	switch {
	case e.Gone, e.Mode == Down, now < l.overloadedUntil:
		f.Outcome = delivery.Reset
		return f
	case e.Mode == Unreachable, e.Mode == Hanging:
		return CallResult{Outcome: delivery.TimedOut, DoneAt: never}
	case e.Draining:
		m.Refused[e.Kind]++
		return f
	case e.Mode == Unavailable:
		m.Refused[e.Kind]++
		if f.LimitLeft = 1; e.availableAt > now {
			f.RetryAfter = e.availableAt - now
		}
		return f
	}
	if p.Limit > 0 && !m.consumeLimit(now, l, p) {
		m.Refused[e.Kind]++
		if m.random.Float64() < p.RetryAfterShare {
			f.RetryAfter = m.limitRetryAfter(now, l, p)
		}
		return f
	}
	for len(e.queuedStarts) > 0 && e.queuedStarts[0] <= now {
		e.queuedStarts = e.queuedStarts[1:]
	}
	if len(e.queuedStarts) >= p.Queue && p.Queue >= 0 {
		first := 0
		for i := range e.workerFreeAt {
			if e.workerFreeAt[i] < e.workerFreeAt[first] {
				first = i
			}
		}
		if e.workerFreeAt[first] > now {
			m.Refused[e.Kind]++
			return f
		}
	}
	first := 0
	for i := range e.workerFreeAt {
		if e.workerFreeAt[i] < e.workerFreeAt[first] {
			first = i
		}
	}
	start := max(now, e.workerFreeAt[first])
	if start > now {
		e.queuedStarts = append(e.queuedStarts, start)
	}
	f.DoneAt = start + int64(float64(work)*e.WorkFactor*e.slowFactor/m.workSpeed(now, e.group))
	e.workerFreeAt[first] = f.DoneAt
	f.Outcome, f.Ran = delivery.Acked, true
	if e.failShare > 0 && m.random.Float64() < e.failShare {
		f.Outcome, f.Ran = delivery.Errored, m.random.Float64() < errorRanShare
	}
	switch {
	case e.loseShare > 0 && m.random.Float64() < e.loseShare:
		f.Outcome = delivery.Reset
	case e.unreadableShare > 0 && m.random.Float64() < e.unreadableShare:
		f.Outcome, f.AnswerDelay = delivery.Unreadable, unreadableDelay
	case e.lateShare > 0 && m.random.Float64() < e.lateShare:
		f.AnswerDelay = int64(float64(f.DoneAt-start) * (e.lateFactor - 1))
	}
	return f
}

// FinishCall tells whether a call that an endpoint worked on still counts when it is done: it ran, and its answer
// leaves.
func (m *Model) FinishCall(ep int32, epoch uint32) (runs, answers bool) {
	e := &m.Endpoints[ep]
	alive := e.Epoch == epoch
	return alive, alive && e.Mode != Unreachable
}

// consumeLimit counts a call against a limit.
func (m *Model) consumeLimit(now int64, l *EndpointGroup, p *scenario.DestinationKind) bool {
	if p.LimitWindow > 0 {
		if at := now - (now+l.windowOffset)%int64(p.LimitWindow); at != l.windowStart {
			l.windowStart, l.windowCount = at, 0
		}
		most := max(1, int(math.Round(p.Limit*float64(p.LimitWindow)/1e9)))
		if l.windowCount >= most {
			if p.CountRefused {
				l.windowCount++
			}
			return false
		}
		l.windowCount++
		return true
	}
	most := burst(p.Limit)
	l.tokens = min(most, l.tokens+float64(now-l.tokensUpdatedAt)/1e9*p.Limit)
	l.tokensUpdatedAt = now
	if l.tokens < 1 {
		if p.CountRefused {
			l.tokens = max(-most, l.tokens-1)
		}
		return false
	}
	l.tokens--
	return true
}

// limitRetryAfter is the wait that a refusal tells.
func (m *Model) limitRetryAfter(now int64, l *EndpointGroup, p *scenario.DestinationKind) int64 {
	if p.LimitWindow > 0 {
		return max(minRetryAfter, l.windowStart+int64(p.LimitWindow)-now)
	}
	return max(minRetryAfter, int64((1-l.tokens)/p.Limit*1e9))
}

// reportLimitLeft is the share of a limit that is left, as it was at the last reportLimitLeft.
func (m *Model) reportLimitLeft(now int64, l *EndpointGroup, p *scenario.DestinationKind) float64 {
	if float64(now)-l.reportedAt < float64(p.ReportInterval) && l.reportedAt > 0 {
		return l.reportedLeft
	}
	l.reportedAt = float64(now)
	if p.LimitWindow > 0 {
		most := math.Max(1, math.Round(p.Limit*float64(p.LimitWindow)/1e9))
		if now-l.windowStart >= int64(p.LimitWindow) {
			l.reportedLeft = 1
		} else {
			l.reportedLeft = max(0, 1-float64(l.windowCount)/most)
		}
	} else {
		most := burst(p.Limit)
		l.reportedLeft = max(0, min(1, (l.tokens+float64(now-l.tokensUpdatedAt)/1e9*p.Limit)/most))
	}
	return l.reportedLeft
}

// checkOverload counts a call at a lane that came back cold, and pushes it over where the rule's figures say so.
func (m *Model) checkOverload(now int64, lane int32, informed bool) {
	l, r := &m.Groups[lane], &m.scenario.Rules
	if l.down || l.warmupStart == 0 || now < l.overloadedUntil || now >= l.warmupStart+int64(r.WarmupTime) {
		return
	}
	at := now / bucketWidth
	b := &l.buckets[at%int64(len(l.buckets))]
	if b.at != at {
		*b = bucket{at: at}
	}
	if b.offered++; informed {
		b.informed++
	}
	if now-l.warmupStart < int64(r.OverloadAfter) {
		return
	}
	f := Overload{At: now, Group: lane, Dest: l.Dest}
	for i := range l.buckets {
		if b := &l.buckets[i]; b.at > at-int64(len(l.buckets)) && b.at*bucketWidth >= l.warmupStart-bucketWidth {
			f.Offered += b.offered
			f.Informed += b.informed
		}
	}
	half := now - int64(r.OverloadAfter)/2
	budget := r.OverloadFactor * l.Capacity * m.CapacityShare(half, lane) * float64(r.OverloadAfter) / 1e9
	f.Allowed = budget + overloadDeviations*math.Sqrt(budget) + overloadSpareCalls
	if float64(f.Offered) <= f.Allowed {
		return
	}
	m.Overloads = append(m.Overloads, f)
	l.overloadedUntil = now + int64(r.OverloadOutage)
	l.warmupStart, l.outageStart, l.outageEnd = l.overloadedUntil, now, l.overloadedUntil
	clear(l.buckets)
	for _, ep := range m.ByDest[l.Dest] {
		if e := &m.Endpoints[ep]; e.group == lane {
			m.killProcess(e)
		}
	}
}

// BestEndpoint is the endpoint of a destination that would end a call soonest, as things truly are and with the calls
// that are on their way to it; -1 where none would begin one at once. linked tells whether a connection to it
// stands idle; careful leaves out those that lose answers or fail. It is what only a policy could know that
// sees everything.
func (m *Model) BestEndpoint(now int64, dest int32, work int64, careful bool, linked func(ep int32) bool) int32 {
	best, done := int32(-1), never
	for _, i := range m.ByDest[dest] {
		e := &m.Endpoints[i]
		l, p := &m.Groups[e.group], &m.scenario.DestinationKinds[e.Kind]
		if e.Gone || e.Draining || e.Mode > Failing || now < l.overloadedUntil ||
			(e.Mode == Failing && e.failShare > 0.5) ||
			(careful && (e.loseShare > 0 || e.failShare > 0 || e.unreadableShare > 0)) {
			continue
		}
		if (p.Limit > 0 && !m.withinLimit(now, l, p)) || !m.withinOverload(now, e.group) {
			continue
		}
		if p.MaxConnections > 0 && e.OpenConnections+e.inTransit >= p.MaxConnections && !linked(i) {
			continue
		}
		free := 0
		for _, at := range e.workerFreeAt {
			if at <= now {
				free++
			}
		}
		if free <= e.inTransit {
			continue
		}
		if end := now + int64(float64(work)*e.WorkFactor*e.slowFactor/m.workSpeed(now, e.group)); end < done {
			best, done = i, end
		}
	}
	return best
}

// AddInTransit notes calls that are on their way to an endpoint, or with -1 one that has come or will not.
func (m *Model) AddInTransit(ep int32, calls int) {
	m.Endpoints[ep].inTransit += calls
	m.Groups[m.Endpoints[ep].group].inTransit += calls
}

// withinOverload tells whether a cold lane bears one more call by the rule's figures.
func (m *Model) withinOverload(now int64, lane int32) bool {
	l, r := &m.Groups[lane], &m.scenario.Rules
	if l.warmupStart == 0 || now >= l.warmupStart+int64(r.WarmupTime) {
		return true
	}
	offered := l.inTransit + 1
	for i := range l.buckets {
		if b := &l.buckets[i]; b.at > now/bucketWidth-int64(len(l.buckets)) &&
			b.at*bucketWidth >= l.warmupStart-bucketWidth {
			offered += b.offered
		}
	}
	return float64(offered) <= r.OverloadFactor*l.Capacity*r.ColdShare*float64(r.OverloadAfter)/1e9
}

func (m *Model) withinLimit(now int64, l *EndpointGroup, p *scenario.DestinationKind) bool {
	if p.LimitWindow > 0 {
		most := max(1, int(math.Round(p.Limit*float64(p.LimitWindow)/1e9)))
		return now-(now+l.windowOffset)%int64(p.LimitWindow) != l.windowStart || l.windowCount+l.inTransit < most
	}
	return l.tokens+float64(now-l.tokensUpdatedAt)/1e9*p.Limit-float64(l.inTransit) >= 1
}
