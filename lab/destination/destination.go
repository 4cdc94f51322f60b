// Package destination models destinations and their endpoints: processing times, rate limits, failures and recovery.
// It has no clock and does no I/O: the caller passes the current time, so that the same model runs in virtual time and
// behind real sockets. Times are in nanoseconds. A Model is not safe for concurrent use.
package destination

import (
	"math"
	"math/rand/v2"

	"jaspersill/delivery"
	"jaspersill/lab/scenario"
)

const (
	burstSeconds       = 0.25             // size of the token bucket behind a limit without windows
	bucketWidth        = int64(1e8)       // ns; interval in which calls to a cold group are counted
	overloadDeviations = 2.0              // tolerated standard deviations of random arrivals; set by the platform
	overloadSpareCalls = 2                // calls tolerated beyond these
	minRetryAfter      = int64(100e6)     // ns; lower bound of the retry-after times that are sent
	never              = int64(1<<63 - 1) // time of an answer that is never sent
	unreadableDelay    = int64(1e6)       // ns by which an unreadable answer is later
	errorRanShare      = 0.5              // share of the calls ending with an error that took effect
)

// Mode is how an endpoint treats connections and calls.
type Mode uint8

// The modes are ordered by severity: of several active faults the most severe one applies.
const (
	Up          Mode = iota
	Failing          // a share of the calls ends with an error
	Unavailable      // refuses all calls, with the time when it becomes available
	Hanging          // accepts calls but neither runs nor answers them
	Down             // the process is gone: connections are refused
	Unreachable      // nothing is answered, connection attempts included
)

// Endpoint is the actual state of an endpoint, whatever the directory or the nodes believe.
type Endpoint struct {
	Dest, Kind      int32
	WorkFactor      float64
	Mode            Mode
	Epoch           uint32 // incremented when the process dies, which loses older calls
	Draining        bool
	Gone            bool
	OpenConnections int
	inTransit       int // calls that have left a node and not arrived

	slowFactor, failShare, loseShare, unreadableShare, lateShare, lateFactor float64
	availableAt                                                              int64
	workerFreeAt                                                             []int64 // by worker
	queuedStarts                                                             []int64 // starts of queued calls, in order
	group                                                                    int32
}

// EndpointGroup is a set of endpoints that share a rate limit and outages: those of a destination, or a single endpoint
// where each has a limit of its own.
type EndpointGroup struct {
	Kind     int32
	Limit    float64
	Dest     int32
	Capacity float64 // calls per second when warm

	tokens          float64
	tokensUpdatedAt int64
	windowStart     int64
	windowCount     int
	windowOffset    int64

	inTransit                int
	reportedLeft, reportedAt float64
	down                     bool
	outageStart, outageEnd   int64
	warmupStart              int64 // 0 if the group was never out or returned warm
	overloadedUntil          int64
	buckets                  []bucket
}

type bucket struct {
	index             int64
	offered, informed int
}

// Overload is the failure of a destination that got too many calls while it warmed up after an outage.
type Overload struct {
	At                int64
	Group, Dest       int32
	Offered, Informed int     // calls in the window of the rule; Informed: from nodes that had seen the outage
	Allowed           float64 // calls in the window that it would have withstood
}

// Model holds all destinations and their endpoints.
type Model struct {
	Endpoints []Endpoint
	Groups    []EndpointGroup
	ByDest    [][]int32 // endpoints of each destination, including those that are gone
	Overloads []Overload

	scenario     *scenario.Scenario
	random       *rand.Rand
	meanWorkTime float64 // ns, over the traffic of the scenario
	Refused      []int64 // refused calls, by destination kind
	Offered      []int64 // calls that arrived, by destination kind
}

// New draws the destinations of a scenario from seed, and their random behaviour from seed and noiseSeed: runs with the
// same seed and different noiseSeed have the same destinations.
func New(sc *scenario.Scenario, seed, noiseSeed uint64) *Model {
	m := &Model{scenario: sc, random: rand.New(rand.NewPCG(seed, 0x70a7)),
		Refused: make([]int64, len(sc.DestinationKinds)), Offered: make([]int64, len(sc.DestinationKinds))}
	rate, work := 0.0, 0.0
	for _, t := range sc.Types {
		rate += t.Rate
		work += t.Rate * float64(t.Work) * math.Exp(t.Sigma*t.Sigma/2)
	}
	if m.meanWorkTime = float64(sc.Types[0].Work); rate > 0 {
		m.meanWorkTime = work / rate
	}
	for kind := range sc.DestinationKinds {
		dk := &sc.DestinationKinds[kind]
		for range dk.Destinations {
			dest := int32(len(m.ByDest))
			m.ByDest = append(m.ByDest, nil)
			workFactor := math.Exp(
				math.Log(dk.MinWorkFactor) + m.random.Float64()*(math.Log(dk.MaxWorkFactor)-math.Log(dk.MinWorkFactor)),
			)
			group := int32(-1)
			for range dk.Endpoints {
				if group < 0 || dk.LimitPerEndpoint {
					group = m.addGroup(int32(kind), dest)
				}
				m.addEndpoint(int32(kind), dest, group, workFactor)
			}
		}
	}
	m.random = rand.New(rand.NewPCG(seed, 0x11c3+noiseSeed))
	return m
}

func (m *Model) addGroup(kind, dest int32) int32 {
	dk := &m.scenario.DestinationKinds[kind]
	g := EndpointGroup{Kind: kind, Dest: dest, Limit: dk.Limit, tokens: burst(dk.Limit),
		windowOffset: int64(
			m.random.Float64() * float64(dk.LimitWindow),
		), buckets: make([]bucket, int64(m.scenario.Rules.OverloadAfter)/bucketWidth+1)}
	m.Groups = append(m.Groups, g)
	return int32(len(m.Groups) - 1)
}

// addEndpoint adds an endpoint and returns its index.
func (m *Model) addEndpoint(kind, dest, group int32, workFactor float64) int32 {
	dk := &m.scenario.DestinationKinds[kind]
	ep := int32(len(m.Endpoints))
	m.Endpoints = append(
		m.Endpoints,
		Endpoint{Dest: dest, Kind: kind, WorkFactor: workFactor, group: group, slowFactor: 1, lateFactor: 1,
			workerFreeAt: make([]int64, dk.Workers)},
	)
	m.ByDest[dest] = append(m.ByDest[dest], ep)
	m.updateCapacity(group)
	return ep
}

// updateCapacity recomputes the capacity of a warm group: its limit or what its workers can process, whichever is less.
func (m *Model) updateCapacity(group int32) {
	g, work := &m.Groups[group], 0.0
	for _, ep := range m.ByDest[g.Dest] {
		if e := &m.Endpoints[ep]; e.group == group && !e.Gone {
			work += float64(len(e.workerFreeAt)) * 1e9 / (m.meanWorkTime * e.WorkFactor)
		}
	}
	if g.Capacity = work; g.Limit > 0 {
		g.Capacity = min(work, g.Limit)
	}
}

// GroupOf returns the group of an endpoint.
func (m *Model) GroupOf(ep int32) int32 { return m.Endpoints[ep].group }

func burst(rate float64) float64 { return max(1, rate*burstSeconds) }

// Replace starts to drain an endpoint and adds one in its place. It returns the index of the new one.
func (m *Model) Replace(ep int32) int32 {
	e := m.Endpoints[ep]
	m.Endpoints[ep].Draining = true
	group := e.group
	if m.scenario.DestinationKinds[e.Kind].LimitPerEndpoint {
		group = m.addGroup(e.Kind, e.Dest)
	}
	return m.addEndpoint(e.Kind, e.Dest, group, e.WorkFactor)
}

// Remove ends the process of an endpoint that was drained.
func (m *Model) Remove(ep int32) {
	e := &m.Endpoints[ep]
	e.Gone = true
	e.Epoch++
	e.Mode = Down
	m.updateCapacity(e.group)
}

// Faults is the combined effect of the active faults on an endpoint. Without faults the factors are 1 and the other
// fields zero.
type Faults struct {
	Mode                                             Mode
	SlowFactor, LateFactor                           float64 // of the processing time
	FailShare, LoseShare, UnreadableShare, LateShare float64 // shares of the calls
	AvailableAt                                      int64   // end of Unavailable
	ReturnsWarm                                      bool    // no warm-up after the outage
}

// SetFaults replaces the faults of an endpoint. It reports whether the endpoint's process died.
func (m *Model) SetFaults(now int64, ep int32, f Faults) (died bool) {
	e := &m.Endpoints[ep]
	if e.Gone {
		return false
	}
	e.slowFactor, e.lateFactor, e.failShare, e.loseShare, e.unreadableShare, e.lateShare = max(
		f.SlowFactor,
		0.01,
	), max(
		f.LateFactor,
		1,
	), f.FailShare, f.LoseShare, f.UnreadableShare, f.LateShare
	e.availableAt = f.AvailableAt
	died = f.Mode == Down && e.Mode != Down
	if died {
		m.killProcess(e)
	}
	e.Mode = f.Mode
	m.updateOutage(now, e.group, f.ReturnsWarm)
	return died
}

func (m *Model) killProcess(e *Endpoint) {
	e.Epoch++
	e.OpenConnections = 0
	clear(e.workerFreeAt)
	e.queuedStarts = e.queuedStarts[:0]
}

// updateOutage starts an outage of a group when all its endpoints are out, and ends it when one of them is back.
func (m *Model) updateOutage(now int64, group int32, returnsWarm bool) {
	g, down := &m.Groups[group], true
	for _, ep := range m.ByDest[g.Dest] {
		if e := &m.Endpoints[ep]; e.group == group && !e.Gone &&
			(e.Mode == Up || (e.Mode == Failing && e.failShare < 0.5)) {
			down = false
		}
	}
	switch {
	case down && !g.down:
		g.down, g.outageStart = true, now
	case !down && g.down:
		g.down, g.outageEnd = false, now
		if g.warmupStart = now; returnsWarm {
			g.warmupStart = 0
		}
		clear(g.buckets)
	}
}

// Outage returns the start and the end of the last outage of a group: zeros if there was none, and an end in the far
// future if it has not ended.
func (m *Model) Outage(group int32) (from, to int64) {
	g := &m.Groups[group]
	if g.down {
		return g.outageStart, never
	}
	return g.outageStart, g.outageEnd
}

// CapacityShare returns the share of its capacity that a group has at a time.
func (m *Model) CapacityShare(now int64, group int32) float64 {
	g, r := &m.Groups[group], &m.scenario.Rules
	switch {
	case g.down || now < g.overloadedUntil:
		return 0
	case g.warmupStart == 0 || now >= g.warmupStart+int64(r.WarmupTime):
		return 1
	}
	return r.ColdShare + (1-r.ColdShare)*float64(now-g.warmupStart)/float64(r.WarmupTime)
}

// workSpeed returns the speed at which calls are processed, relative to a warm group. A group that is out because it
// fails most calls processes them at full speed.
func (m *Model) workSpeed(now int64, group int32) float64 {
	if m.Groups[group].down {
		return 1
	}
	return max(m.scenario.Rules.ColdShare, m.CapacityShare(now, group))
}

// ConnectResult is the result of a connection attempt.
type ConnectResult uint8

const (
	Connected ConnectResult = iota
	ConnectRefused
	ConnectUnanswered // no reply: the caller's connect timeout expires
)

// Connect opens a connection to an endpoint.
func (m *Model) Connect(now int64, ep int32) ConnectResult {
	e := &m.Endpoints[ep]
	maxConnections := m.scenario.DestinationKinds[e.Kind].MaxConnections
	switch {
	case e.Mode == Unreachable:
		return ConnectUnanswered
	case e.Mode == Down, e.Gone, now < m.Groups[e.group].overloadedUntil,
		maxConnections > 0 && e.OpenConnections >= maxConnections:
		return ConnectRefused
	}
	e.OpenConnections++
	return Connected
}

// Close closes a connection that was opened in an epoch of an endpoint.
func (m *Model) Close(ep int32, epoch uint32) {
	if e := &m.Endpoints[ep]; e.Epoch == epoch && e.OpenConnections > 0 {
		e.OpenConnections--
	}
}

// CallResult is the result of a call that reached an endpoint.
type CallResult struct {
	Outcome          delivery.Outcome
	Ran              bool  // the events take effect at DoneAt
	DoneAt           int64 // when processing is done; far in the future if no answer is sent
	AnswerDelay      int64 // from DoneAt until the answer is sent
	RetryAfter       int64 // as sent with the answer; 0 for none
	Limit, LimitLeft float64
}

// Answered reports whether the call ends with an answer or a reset.
func (r *CallResult) Answered() bool { return r.DoneAt < never }

// StartCall handles the arrival of a call at an endpoint. work is its processing time in ns at an endpoint with a
// WorkFactor of 1. informed means that the calling node has seen the destination fail in its current or last outage.
func (m *Model) StartCall(now int64, ep int32, informed bool, work int64, events int) CallResult {
	e := &m.Endpoints[ep]
	g := &m.Groups[e.group]
	m.Offered[e.Kind]++
	m.checkOverload(now, e.group, informed)
	dk := &m.scenario.DestinationKinds[e.Kind]
	r := CallResult{Outcome: delivery.Refused, DoneAt: now}
	if dk.ReportsLimit && dk.Limit > 0 {
		r.Limit, r.LimitLeft = dk.Limit, m.reportLimitLeft(now, g, dk)
	}
	switch {
	case e.Gone, e.Mode == Down, now < g.overloadedUntil:
		r.Outcome = delivery.Reset
		return r
	case e.Mode == Unreachable, e.Mode == Hanging:
		return CallResult{Outcome: delivery.TimedOut, DoneAt: never}
	case e.Draining:
		m.Refused[e.Kind]++
		return r
	case e.Mode == Unavailable:
		m.Refused[e.Kind]++
		if r.LimitLeft = 1; e.availableAt > now {
			r.RetryAfter = e.availableAt - now
		}
		return r
	}
	if dk.Limit > 0 && !m.consumeLimit(now, g, dk) {
		m.Refused[e.Kind]++
		if m.random.Float64() < dk.RetryAfterShare {
			r.RetryAfter = m.limitRetryAfter(now, g, dk)
		}
		return r
	}
	for len(e.queuedStarts) > 0 && e.queuedStarts[0] <= now {
		e.queuedStarts = e.queuedStarts[1:]
	}
	if len(e.queuedStarts) >= dk.Queue && dk.Queue >= 0 {
		earliest := 0
		for i := range e.workerFreeAt {
			if e.workerFreeAt[i] < e.workerFreeAt[earliest] {
				earliest = i
			}
		}
		if e.workerFreeAt[earliest] > now {
			m.Refused[e.Kind]++
			return r
		}
	}
	earliest := 0
	for i := range e.workerFreeAt {
		if e.workerFreeAt[i] < e.workerFreeAt[earliest] {
			earliest = i
		}
	}
	start := max(now, e.workerFreeAt[earliest])
	if start > now {
		e.queuedStarts = append(e.queuedStarts, start)
	}
	r.DoneAt = start + int64(float64(work)*e.WorkFactor*e.slowFactor/m.workSpeed(now, e.group))
	e.workerFreeAt[earliest] = r.DoneAt
	r.Outcome, r.Ran = delivery.Acked, true
	if e.failShare > 0 && m.random.Float64() < e.failShare {
		r.Outcome, r.Ran = delivery.Errored, m.random.Float64() < errorRanShare
	}
	switch {
	case e.loseShare > 0 && m.random.Float64() < e.loseShare:
		r.Outcome = delivery.Reset
	case e.unreadableShare > 0 && m.random.Float64() < e.unreadableShare:
		r.Outcome, r.AnswerDelay = delivery.Unreadable, unreadableDelay
	case e.lateShare > 0 && m.random.Float64() < e.lateShare:
		r.AnswerDelay = int64(float64(r.DoneAt-start) * (e.lateFactor - 1))
	}
	return r
}

// FinishCall reports, when the processing of a call is done, whether the call ran, that is whether the process survived
// it, and whether its answer is sent.
func (m *Model) FinishCall(ep int32, epoch uint32) (runs, answers bool) {
	e := &m.Endpoints[ep]
	alive := e.Epoch == epoch
	return alive, alive && e.Mode != Unreachable
}

// consumeLimit counts a call against the rate limit of a group and reports whether it is within it.
func (m *Model) consumeLimit(now int64, g *EndpointGroup, dk *scenario.DestinationKind) bool {
	if dk.LimitWindow > 0 {
		if start := now - (now+g.windowOffset)%int64(dk.LimitWindow); start != g.windowStart {
			g.windowStart, g.windowCount = start, 0
		}
		maxCalls := max(1, int(math.Round(dk.Limit*float64(dk.LimitWindow)/1e9)))
		if g.windowCount >= maxCalls {
			if dk.CountRefused {
				g.windowCount++
			}
			return false
		}
		g.windowCount++
		return true
	}
	maxTokens := burst(dk.Limit)
	g.tokens = min(maxTokens, g.tokens+float64(now-g.tokensUpdatedAt)/1e9*dk.Limit)
	g.tokensUpdatedAt = now
	if g.tokens < 1 {
		if dk.CountRefused {
			g.tokens = max(-maxTokens, g.tokens-1)
		}
		return false
	}
	g.tokens--
	return true
}

// limitRetryAfter returns the retry-after time of a call refused by the rate limit.
func (m *Model) limitRetryAfter(now int64, g *EndpointGroup, dk *scenario.DestinationKind) int64 {
	if dk.LimitWindow > 0 {
		return max(minRetryAfter, g.windowStart+int64(dk.LimitWindow)-now)
	}
	return max(minRetryAfter, int64((1-g.tokens)/dk.Limit*1e9))
}

// reportLimitLeft returns the share of the rate limit that answers report as left: the value of the last
// report, which is refreshed once per report interval.
func (m *Model) reportLimitLeft(now int64, g *EndpointGroup, dk *scenario.DestinationKind) float64 {
	if float64(now)-g.reportedAt < float64(dk.ReportInterval) && g.reportedAt > 0 {
		return g.reportedLeft
	}
	g.reportedAt = float64(now)
	if dk.LimitWindow > 0 {
		maxCalls := math.Max(1, math.Round(dk.Limit*float64(dk.LimitWindow)/1e9))
		if now-g.windowStart >= int64(dk.LimitWindow) {
			g.reportedLeft = 1
		} else {
			g.reportedLeft = max(0, 1-float64(g.windowCount)/maxCalls)
		}
	} else {
		maxTokens := burst(dk.Limit)
		g.reportedLeft = max(0, min(1, (g.tokens+float64(now-g.tokensUpdatedAt)/1e9*dk.Limit)/maxTokens))
	}
	return g.reportedLeft
}

// checkOverload counts a call to a group that is warming up, and makes the group fail if the calls exceed what the rule
// allows.
func (m *Model) checkOverload(now int64, group int32, informed bool) {
	g, r := &m.Groups[group], &m.scenario.Rules
	if g.down || g.warmupStart == 0 || now < g.overloadedUntil || now >= g.warmupStart+int64(r.WarmupTime) {
		return
	}
	index := now / bucketWidth
	b := &g.buckets[index%int64(len(g.buckets))]
	if b.index != index {
		*b = bucket{index: index}
	}
	if b.offered++; informed {
		b.informed++
	}
	if now-g.warmupStart < int64(r.OverloadAfter) {
		return
	}
	o := Overload{At: now, Group: group, Dest: g.Dest}
	for i := range g.buckets {
		if b := &g.buckets[i]; b.index > index-int64(len(g.buckets)) && b.index*bucketWidth >= g.warmupStart-bucketWidth {
			o.Offered += b.offered
			o.Informed += b.informed
		}
	}
	midpoint := now - int64(r.OverloadAfter)/2
	budget := r.OverloadFactor * g.Capacity * m.CapacityShare(midpoint, group) * float64(r.OverloadAfter) / 1e9
	o.Allowed = budget + overloadDeviations*math.Sqrt(budget) + overloadSpareCalls
	if float64(o.Offered) <= o.Allowed {
		return
	}
	m.Overloads = append(m.Overloads, o)
	g.overloadedUntil = now + int64(r.OverloadOutage)
	g.warmupStart, g.outageStart, g.outageEnd = g.overloadedUntil, now, g.overloadedUntil
	clear(g.buckets)
	for _, ep := range m.ByDest[g.Dest] {
		if e := &m.Endpoints[ep]; e.group == group {
			m.killProcess(e)
		}
	}
}

// BestEndpoint returns the endpoint of a destination that would finish a call first, given its actual state and the
// calls in transit to it, or -1 if none would start the call at once. avoidFaulty excludes endpoints that fail calls or
// whose answers are lost or unreadable. hasIdleConnection reports whether the caller has an idle connection to an
// endpoint and so needs no new one. Only a policy with complete knowledge could choose so.
func (m *Model) BestEndpoint(
	now int64,
	dest int32,
	work int64,
	avoidFaulty bool,
	hasIdleConnection func(ep int32) bool,
) int32 {
	best, done := int32(-1), never
	for _, ep := range m.ByDest[dest] {
		e := &m.Endpoints[ep]
		g, dk := &m.Groups[e.group], &m.scenario.DestinationKinds[e.Kind]
		if e.Gone || e.Draining || e.Mode > Failing || now < g.overloadedUntil ||
			(e.Mode == Failing && e.failShare > 0.5) ||
			(avoidFaulty && (e.loseShare > 0 || e.failShare > 0 || e.unreadableShare > 0)) {
			continue
		}
		if (dk.Limit > 0 && !m.withinLimit(now, g, dk)) || !m.withinOverload(now, e.group) {
			continue
		}
		if dk.MaxConnections > 0 && e.OpenConnections+e.inTransit >= dk.MaxConnections && !hasIdleConnection(ep) {
			continue
		}
		freeWorkers := 0
		for _, freeAt := range e.workerFreeAt {
			if freeAt <= now {
				freeWorkers++
			}
		}
		if freeWorkers <= e.inTransit {
			continue
		}
		if end := now + int64(float64(work)*e.WorkFactor*e.slowFactor/m.workSpeed(now, e.group)); end < done {
			best, done = ep, end
		}
	}
	return best
}

// AddInTransit adds to the calls in transit to an endpoint; -1 stands for a call that has arrived or never will.
func (m *Model) AddInTransit(ep int32, calls int) {
	m.Endpoints[ep].inTransit += calls
	m.Groups[m.Endpoints[ep].group].inTransit += calls
}

// withinOverload reports whether one more call keeps a group that is warming up within the overload rule.
func (m *Model) withinOverload(now int64, group int32) bool {
	g, r := &m.Groups[group], &m.scenario.Rules
	if g.warmupStart == 0 || now >= g.warmupStart+int64(r.WarmupTime) {
		return true
	}
	offered := g.inTransit + 1
	for i := range g.buckets {
		if b := &g.buckets[i]; b.index > now/bucketWidth-int64(len(g.buckets)) &&
			b.index*bucketWidth >= g.warmupStart-bucketWidth {
			offered += b.offered
		}
	}
	return float64(offered) <= r.OverloadFactor*g.Capacity*r.ColdShare*float64(r.OverloadAfter)/1e9
}

// withinLimit reports whether the rate limit of a group allows one more call besides those in transit.
func (m *Model) withinLimit(now int64, g *EndpointGroup, dk *scenario.DestinationKind) bool {
	if dk.LimitWindow > 0 {
		maxCalls := max(1, int(math.Round(dk.Limit*float64(dk.LimitWindow)/1e9)))
		return now-(now+g.windowOffset)%int64(dk.LimitWindow) != g.windowStart || g.windowCount+g.inTransit < maxCalls
	}
	return g.tokens+float64(now-g.tokensUpdatedAt)/1e9*dk.Limit-float64(g.inTransit) >= 1
}
