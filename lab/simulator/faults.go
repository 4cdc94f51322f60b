package simulator

import (
	"math/rand/v2"

	"jaspersill/delivery"
	"jaspersill/lab/partner"
	"jaspersill/lab/scenario"
)

// faultState is what a trouble meets, drawn at the start.
type faultState struct {
	eps, nodes []int32
	active     bool
	endsAt     int64
}

// faultModes are the troubles that are a mode of an endpoint.
var faultModes = map[string]partner.Mode{
	"refuse": partner.Refusing,
	"silent": partner.Silent,
	"hang":   partner.Hung,
	"shut":   partner.Shut,
	"fail":   partner.Failing,
}

// FaultTargetStream is the stream of chance from which is drawn whom troubles meet.
const FaultTargetStream = 0x77b1

// DrawFaultTargets draws the endpoints and the nodes that a trouble meets.
func DrawFaultTargets(t *scenario.Fault, whom *rand.Rand, byDest [][]int32, nodes int) (eps, met []int32) {
	var dests []int
	if t.Destination > 0 {
		dests = []int{t.Destination - 1}
	} else if t.Destinations > 0 {
		dests = whom.Perm(len(byDest))[:min(t.Destinations, len(byDest))]
	}
	for _, d := range dests {
		list := byDest[d]
		if t.Endpoints > 0 && t.Endpoints < len(list) {
			for _, at := range whom.Perm(len(list))[:t.Endpoints] {
				eps = append(eps, list[at])
			}
		} else {
			eps = append(eps, list...)
		}
	}
	switch {
	case t.Node > 0:
		met = []int32{int32(t.Node - 1)}
	case t.Nodes > 0:
		for _, n := range whom.Perm(nodes)[:min(t.Nodes, nodes)] {
			met = append(met, int32(n))
		}
	}
	return eps, met
}

// drawFaults draws whom each trouble meets and plans its beginning.
func (w *Simulation) drawFaults() {
	for i := range w.scenario.Faults {
		t := &w.scenario.Faults[i]
		var m faultState
		m.eps, m.nodes = DrawFaultTargets(t, w.faultRandom, w.destinations.ByDest, len(w.nodes))
		m.endsAt = int64(t.Start) + int64(t.Duration)
		w.faults = append(w.faults, m)
		w.queue.schedule(int64(t.Start), simFaultStart, int32(i), 0, 0)
	}
	w.faultsByEndpoint = make([][]int, len(w.destinations.Endpoints))
}

// startFault puts a trouble in force.
func (w *Simulation) startFault(i int, _ int32) {
	t, m := &w.scenario.Faults[i], &w.faults[i]
	w.traceEntry("trouble", -1, int32(i), 1)
	m.active = true
	if t.Duration > 0 {
		off := m.endsAt
		if t.Period > 0 {
			off = min(off, w.now+int64(t.Period)/2)
		}
		w.queue.schedule(max(off, w.now+1), simFaultEnd, int32(i), 0, 0)
	}
	switch t.Kind {
	case "replace":
		for _, ep := range m.eps {
			w.replaceEndpoint(ep)
		}
	case "kill":
		for _, n := range m.nodes {
			s := w.nodes[n]
			if s.phase != dead {
				w.killNode(s)
				w.queue.schedule(w.now+max(int64(w.scenario.Fleet.RestartTime), 1), simNodeStart, n, 0, 0)
				w.routable[n] = false // it refuses, and clients try another
			}
		}
	case "drain":
		for _, n := range m.nodes {
			if s := w.nodes[n]; s.phase == serving {
				s.phase = draining
				w.checker.RecordNodeStopping(n)
				w.routable[n] = false
				w.queue.schedule(w.now+drainStopDeciding, simDrainStep, n, 0, s.incarnation)
			}
		}
	case "freeze":
		for _, n := range m.nodes {
			if s := w.nodes[n]; s.phase != dead {
				s.frozenUntil = max(s.frozenUntil, m.endsAt)
				w.queue.schedule(s.frozenUntil, simNodeThaw, n, 0, 0)
			}
		}
	case "directory-down":
		w.directoryDown++
		for _, s := range w.nodes {
			if s.watching {
				s.watching = false
				s.enqueue(input{kind: inputListFailed})
			}
		}
	case "directory-still":
		w.directoryFrozen++
	case "notes-lost":
		w.peerMessageLoss = max(w.peerMessageLoss, t.Share)
	default:
		for _, ep := range m.eps {
			w.faultsByEndpoint[ep] = append(w.faultsByEndpoint[ep], i)
			w.applyFaults(ep)
		}
	}
}

// endFault ends a trouble, or pauses one that comes and goes.
func (w *Simulation) endFault(i int, _ int32) {
	t, m := &w.scenario.Faults[i], &w.faults[i]
	if !m.active {
		return
	}
	m.active = false
	w.traceEntry("trouble", -1, int32(i), 0)
	if t.Period > 0 && w.now+int64(t.Period)/2 < m.endsAt {
		w.queue.schedule(w.now+int64(t.Period)/2, simFaultStart, int32(i), 0, 0)
	}
	switch t.Kind {
	case "directory-down":
		w.directoryDown--
	case "directory-still":
		w.directoryFrozen--
	case "notes-lost":
		w.peerMessageLoss = 0
	case "replace", "kill", "drain", "freeze":
	default:
		for _, ep := range m.eps {
			list := w.faultsByEndpoint[ep]
			for n, j := range list {
				if j == i {
					w.faultsByEndpoint[ep] = append(list[:n:n], list[n+1:]...)
					break
				}
			}
			w.applyFaults(ep)
		}
	}
}

// CombineFaults is what some of a day's troubles, all in force, make of an endpoint.
func CombineFaults(troubles []scenario.Fault, inForce []int) partner.Trouble {
	p := partner.Trouble{Slow: 1, Late: 1}
	for _, i := range inForce {
		t := &troubles[i]
		share, times := t.Share, t.Factor
		if share == 0 {
			share = 1
		}
		if times == 0 {
			times = 1
		}
		p.Mode = max(p.Mode, faultModes[t.Kind])
		p.Warm = p.Warm || t.ReturnsWarm
		switch t.Kind {
		case "shut":
			p.Opens = max(p.Opens, int64(t.Start+t.Duration))
		case "fail":
			p.Fail = max(p.Fail, share)
		case "slow":
			p.Slow *= times
		case "lose":
			p.Lose = 1 - (1-p.Lose)*(1-share)
		case "spoil":
			p.Spoil = 1 - (1-p.Spoil)*(1-share)
		case "late":
			p.LateMost, p.Late = max(p.LateMost, share), max(p.Late, times)
		}
	}
	return p
}

// applyFaults puts in force what all the troubles make of an endpoint.
func (w *Simulation) applyFaults(ep int32) {
	if w.destinations.Meet(w.now, ep, CombineFaults(w.scenario.Faults, w.faultsByEndpoint[ep])) {
		w.resetCalls(func(c *call) bool { return c.ep == ep })
	}
}

// replaceEndpoint lets an endpoint drain, and a new one take its place.
func (w *Simulation) replaceEndpoint(ep int32) {
	e := &w.destinations.Endpoints[ep]
	if e.Gone || e.Draining {
		return
	}
	next := w.destinations.Replace(ep)
	w.faultsByEndpoint = append(w.faultsByEndpoint, append([]int(nil), w.faultsByEndpoint[ep]...))
	w.directoryStates = append(w.directoryStates, delivery.Gone)
	w.applyFaults(next)
	w.scheduleDirectoryChange(ep, delivery.Draining)
	w.scheduleDirectoryChange(next, delivery.Ready)
	w.queue.schedule(w.now+int64(w.scenario.Fleet.DirectoryDelay)+int64(w.scenario.Rules.DrainGrace)+endpointDrainTime, simEndpointGone, ep, 0, 0)
}

// scheduleDirectoryChange is a change that the directory tells after its delay.
func (w *Simulation) scheduleDirectoryChange(ep int32, state delivery.EndpointState) {
	w.changes = append(w.changes, endpointChange{ep: ep, state: state})
	w.queue.schedule(w.now+int64(w.scenario.Fleet.DirectoryDelay), simDirectoryChange, 0, 0, 0)
}

// publishDirectoryChanges is the directory telling the changes that are due to all who watch.
func (w *Simulation) publishDirectoryChanges() {
	if w.directoryDown > 0 || w.directoryFrozen > 0 { // what was not told is told later
		w.queue.schedule(w.now+second/10, simDirectoryChange, 0, 0, 0)
		return
	}
	first := w.publishedChanges
	w.publishedChanges = len(w.changes)
	for _, c := range w.changes[first:] {
		w.directoryStates[c.ep] = c.state
	}
	for _, s := range w.nodes {
		if s.watching && s.phase < closing {
			w.recordDrains(s, w.changes[first:])
			s.enqueue(input{kind: inputListChange, evt: int32(first), send: int32(w.publishedChanges)})
		}
	}
}

// recordDrains tells the ledger what a node was told to leave.
func (w *Simulation) recordDrains(s *simNode, changes []endpointChange) {
	for _, c := range changes {
		if c.state != delivery.Ready {
			w.checker.RecordDrain(w.now, s.index, c.ep)
		}
	}
}

// handleWatchResponse is the answer to a node's call for a watch: the whole list, or nothing.
func (w *Simulation) handleWatchResponse(n int32, life int64) {
	s := w.nodes[n]
	if s.incarnation != life || s.phase >= closing {
		return
	}
	s.watchPending = false
	if w.directoryDown > 0 {
		s.enqueue(input{kind: inputListFailed})
		return
	}
	s.watching = true
	w.recordDrains(s, w.changes[:w.publishedChanges])
	s.enqueue(input{kind: inputFullList})
}
