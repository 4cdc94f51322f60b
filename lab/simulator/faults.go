package simulator

import (
	"math/rand/v2"

	"jaspersill/delivery"
	"jaspersill/lab/destination"
	"jaspersill/lab/scenario"
)

// faultState is a fault's targets, drawn at the start of the run, and whether it is active.
type faultState struct {
	eps, nodes []int32
	active     bool
	endsAt     int64
}

// faultModes maps the fault kinds that put an endpoint into a mode.
var faultModes = map[string]destination.Mode{
	"refuse": destination.Down,
	"silent": destination.Unreachable,
	"hang":   destination.Hanging,
	"shut":   destination.Unavailable,
	"fail":   destination.Failing,
}

// FaultTargetStream is the random stream from which fault targets are drawn.
const FaultTargetStream = 0x77b1

// DrawFaultTargets draws the endpoints and the nodes that a fault affects.
func DrawFaultTargets(
	fault *scenario.Fault, random *rand.Rand, byDest [][]int32, nodeCount int,
) (eps, nodeTargets []int32) {
	var dests []int
	if fault.Destination > 0 {
		dests = []int{fault.Destination - 1}
	} else if fault.Destinations > 0 {
		dests = random.Perm(len(byDest))[:min(fault.Destinations, len(byDest))]
	}
	for _, d := range dests {
		endpoints := byDest[d]
		if fault.Endpoints > 0 && fault.Endpoints < len(endpoints) {
			for _, at := range random.Perm(len(endpoints))[:fault.Endpoints] {
				eps = append(eps, endpoints[at])
			}
		} else {
			eps = append(eps, endpoints...)
		}
	}
	switch {
	case fault.Node > 0:
		nodeTargets = []int32{int32(fault.Node - 1)}
	case fault.Nodes > 0:
		for _, n := range random.Perm(nodeCount)[:min(fault.Nodes, nodeCount)] {
			nodeTargets = append(nodeTargets, int32(n))
		}
	}
	return eps, nodeTargets
}

// drawFaults draws the targets of each fault and schedules its start.
func (sim *Simulation) drawFaults() {
	for i := range sim.scenario.Faults {
		fault := &sim.scenario.Faults[i]
		var state faultState
		state.eps, state.nodes = DrawFaultTargets(fault, sim.faultRandom, sim.destinations.ByDest, len(sim.nodes))
		state.endsAt = int64(fault.Start) + int64(fault.Duration)
		sim.faults = append(sim.faults, state)
		sim.queue.schedule(int64(fault.Start), simFaultStart, int32(i), 0, 0)
	}
	sim.faultsByEndpoint = make([][]int, len(sim.destinations.Endpoints))
}

// startFault activates a fault.
func (sim *Simulation) startFault(i int, _ int32) {
	fault, state := &sim.scenario.Faults[i], &sim.faults[i]
	sim.traceEntry("trouble", -1, int32(i), 1)
	state.active = true
	if fault.Duration > 0 {
		endAt := state.endsAt
		if fault.Period > 0 {
			endAt = min(endAt, sim.now+int64(fault.Period)/2)
		}
		sim.queue.schedule(max(endAt, sim.now+1), simFaultEnd, int32(i), 0, 0)
	}
	switch fault.Kind {
	case "replace":
		for _, ep := range state.eps {
			sim.replaceEndpoint(ep)
		}
	case "kill":
		for _, n := range state.nodes {
			s := sim.nodes[n]
			if s.phase != dead {
				sim.killNode(s)
				sim.queue.schedule(sim.now+max(int64(sim.scenario.Fleet.RestartTime), 1), simNodeStart, n, 0, 0)
				sim.routable[n] = false // connections are refused, and clients try another node
			}
		}
	case "drain":
		for _, n := range state.nodes {
			if s := sim.nodes[n]; s.phase == serving {
				s.phase = draining
				sim.checker.RecordNodeStopping(n)
				sim.routable[n] = false
				sim.queue.schedule(sim.now+drainStopDeciding, simDrainStep, n, 0, s.incarnation)
			}
		}
	case "freeze":
		for _, n := range state.nodes {
			if s := sim.nodes[n]; s.phase != dead {
				s.frozenUntil = max(s.frozenUntil, state.endsAt)
				sim.queue.schedule(s.frozenUntil, simNodeThaw, n, 0, 0)
			}
		}
	case "directory-down":
		sim.directoryDown++
		for _, s := range sim.nodes {
			if s.watching {
				s.watching = false
				s.enqueue(input{kind: inputListFailed})
			}
		}
	case "directory-still":
		sim.directoryFrozen++
	case "notes-lost":
		sim.peerMessageLoss = max(sim.peerMessageLoss, fault.Share)
	default:
		for _, ep := range state.eps {
			sim.faultsByEndpoint[ep] = append(sim.faultsByEndpoint[ep], i)
			sim.applyFaults(ep)
		}
	}
}

// endFault ends a fault, or pauses an intermittent one.
func (sim *Simulation) endFault(i int, _ int32) {
	fault, state := &sim.scenario.Faults[i], &sim.faults[i]
	if !state.active {
		return
	}
	state.active = false
	sim.traceEntry("trouble", -1, int32(i), 0)
	if fault.Period > 0 && sim.now+int64(fault.Period)/2 < state.endsAt {
		sim.queue.schedule(sim.now+int64(fault.Period)/2, simFaultStart, int32(i), 0, 0)
	}
	switch fault.Kind {
	case "directory-down":
		sim.directoryDown--
	case "directory-still":
		sim.directoryFrozen--
	case "notes-lost":
		sim.peerMessageLoss = 0
	case "replace", "kill", "drain", "freeze":
	default:
		for _, ep := range state.eps {
			list := sim.faultsByEndpoint[ep]
			for n, j := range list {
				if j == i {
					sim.faultsByEndpoint[ep] = append(list[:n:n], list[n+1:]...)
					break
				}
			}
			sim.applyFaults(ep)
		}
	}
}

// CombineFaults merges the active ones of a scenario's faults into their joint effect on an endpoint.
func CombineFaults(faults []scenario.Fault, active []int) destination.Faults {
	combined := destination.Faults{SlowFactor: 1, LateFactor: 1}
	for _, i := range active {
		fault := &faults[i]
		share, factor := fault.Share, fault.Factor
		if share == 0 {
			share = 1
		}
		if factor == 0 {
			factor = 1
		}
		combined.Mode = max(combined.Mode, faultModes[fault.Kind])
		combined.ReturnsWarm = combined.ReturnsWarm || fault.ReturnsWarm
		switch fault.Kind {
		case "shut":
			combined.AvailableAt = max(combined.AvailableAt, int64(fault.Start+fault.Duration))
		case "fail":
			combined.FailShare = max(combined.FailShare, share)
		case "slow":
			combined.SlowFactor *= factor
		case "lose":
			combined.LoseShare = 1 - (1-combined.LoseShare)*(1-share)
		case "spoil":
			combined.UnreadableShare = 1 - (1-combined.UnreadableShare)*(1-share)
		case "late":
			combined.LateShare, combined.LateFactor = max(combined.LateShare, share), max(combined.LateFactor, factor)
		}
	}
	return combined
}

// applyFaults applies the joint effect of all active faults to an endpoint.
func (sim *Simulation) applyFaults(ep int32) {
	if sim.destinations.SetFaults(sim.now, ep, CombineFaults(sim.scenario.Faults, sim.faultsByEndpoint[ep])) {
		sim.resetCalls(func(c *call) bool { return c.ep == ep })
	}
}

// replaceEndpoint starts draining an endpoint and adds a new one in its place.
func (sim *Simulation) replaceEndpoint(ep int32) {
	e := &sim.destinations.Endpoints[ep]
	if e.Gone || e.Draining {
		return
	}
	replacement := sim.destinations.Replace(ep)
	sim.faultsByEndpoint = append(sim.faultsByEndpoint, append([]int(nil), sim.faultsByEndpoint[ep]...))
	sim.directoryStates = append(sim.directoryStates, delivery.Gone)
	sim.applyFaults(replacement)
	sim.scheduleDirectoryChange(ep, delivery.Draining)
	sim.scheduleDirectoryChange(replacement, delivery.Ready)
	sim.queue.schedule(
		sim.now+int64(sim.scenario.Fleet.DirectoryDelay)+int64(sim.scenario.Rules.DrainGrace)+endpointDrainTime,
		simEndpointGone, ep, 0, 0)
}

// scheduleDirectoryChange records a directory change, which is published after the directory's delay.
func (sim *Simulation) scheduleDirectoryChange(ep int32, state delivery.EndpointState) {
	sim.changes = append(sim.changes, endpointChange{ep: ep, state: state})
	sim.queue.schedule(sim.now+int64(sim.scenario.Fleet.DirectoryDelay), simDirectoryChange, 0, 0, 0)
}

// publishDirectoryChanges sends the changes that are due to all watching nodes.
func (sim *Simulation) publishDirectoryChanges() {
	if sim.directoryDown > 0 || sim.directoryFrozen > 0 { // retry until the directory publishes again
		sim.queue.schedule(sim.now+second/10, simDirectoryChange, 0, 0, 0)
		return
	}
	first := sim.publishedChanges
	sim.publishedChanges = len(sim.changes)
	for _, c := range sim.changes[first:] {
		sim.directoryStates[c.ep] = c.state
	}
	for _, s := range sim.nodes {
		if s.watching && s.phase < closing {
			sim.recordDrains(s, sim.changes[first:])
			s.enqueue(input{kind: inputListChange, evt: int32(first), send: int32(sim.publishedChanges)})
		}
	}
}

// recordDrains tells the checker which endpoints a node has been told are draining or gone.
func (sim *Simulation) recordDrains(s *simNode, changes []endpointChange) {
	for _, c := range changes {
		if c.state != delivery.Ready {
			sim.checker.RecordDrain(sim.now, s.index, c.ep)
		}
	}
}

// handleWatchResponse delivers the response to a node's watch request: the full list, or a failure.
func (sim *Simulation) handleWatchResponse(n int32, incarnation int64) {
	s := sim.nodes[n]
	if s.incarnation != incarnation || s.phase >= closing {
		return
	}
	s.watchPending = false
	if sim.directoryDown > 0 {
		s.enqueue(input{kind: inputListFailed})
		return
	}
	s.watching = true
	sim.recordDrains(s, sim.changes[:sim.publishedChanges])
	s.enqueue(input{kind: inputFullList})
}
