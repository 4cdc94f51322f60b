package emulator

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"jaspersill/delivery"
	"jaspersill/lab/destination"
	"jaspersill/lab/simulator"
)

// drawFaults draws the endpoints and nodes that each fault affects, the same ones as the simulator with this seed.
func (em *Emulator) drawFaults(seed uint64) {
	random := rand.New(rand.NewPCG(seed, simulator.FaultTargetStream))
	for i := range em.scenario.Faults {
		eps, nodes := simulator.DrawFaultTargets(&em.scenario.Faults[i], random, em.destinations.ByDest,
			em.scenario.Fleet.Nodes)
		em.faultEndpoints, em.faultNodes = append(em.faultEndpoints, eps), append(em.faultNodes, nodes)
	}
}

// scheduleFaults starts and ends the faults at their times until ctx is cancelled.
func (em *Emulator) scheduleFaults(ctx context.Context, nodes *Nodes) {
	for i := range em.scenario.Faults {
		fault := &em.scenario.Faults[i]
		em.wg.Add(1)
		go func() {
			defer em.wg.Done()
			until := time.Duration(fault.Start + fault.Duration)
			for at := time.Duration(fault.Start); ; at += time.Duration(fault.Period) {
				if !em.sleepUntil(ctx, at) {
					return
				}
				em.startFault(i, nodes, until)
				if fault.Duration == 0 {
					return
				}
				end := until
				if fault.Period > 0 {
					end = min(until, at+time.Duration(fault.Period)/2)
				}
				running := em.sleepUntil(ctx, end)
				em.endFault(i, nodes)
				if !running || fault.Period == 0 || at+time.Duration(fault.Period) >= until {
					return
				}
			}
		}()
	}
}

// sleepUntil waits until a scenario time. It returns false if ctx is cancelled before.
func (em *Emulator) sleepUntil(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(at - time.Since(em.startedAt))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// startFault applies a fault. until is when it ends for good.
func (em *Emulator) startFault(i int, nodes *Nodes, until time.Duration) {
	fault := &em.scenario.Faults[i]
	em.logf("fault %s starts", fault.Kind)
	if nodes != nil {
		for _, n := range em.faultNodes[i] {
			switch fault.Kind {
			case "kill":
				nodes.Kill(int(n))
			case "drain":
				nodes.Drain(int(n))
			case "freeze":
				nodes.Freeze(int(n), until-time.Since(em.startedAt))
			}
		}
	}
	em.mu.Lock()
	defer em.mu.Unlock()
	if em.stopped {
		return
	}
	switch fault.Kind {
	case "directory-down":
		em.directoryDown++
		close(em.directoryChanged)
		em.directoryChanged = make(chan struct{})
	case "directory-still":
		em.directoryFrozen++
	case "replace":
		for _, ep := range em.faultEndpoints[i] {
			em.replaceEndpoint(ep)
		}
	case "kill", "drain", "freeze":
	default:
		em.activeFaults = append(em.activeFaults, i)
		for _, ep := range em.faultEndpoints[i] {
			em.applyFaults(ep)
		}
	}
}

// endFault reverts a fault, for good or until its next period.
func (em *Emulator) endFault(i int, nodes *Nodes) {
	fault := &em.scenario.Faults[i]
	em.logf("fault %s ends", fault.Kind)
	em.mu.Lock()
	defer em.mu.Unlock()
	switch fault.Kind {
	case "directory-down":
		em.directoryDown--
	case "directory-still":
		em.directoryFrozen--
	case "replace", "kill", "drain", "freeze":
	default:
		em.activeFaults = slices.DeleteFunc(em.activeFaults, func(j int) bool { return j == i })
		for _, ep := range em.faultEndpoints[i] {
			em.applyFaults(ep)
		}
	}
}

// applyFaults applies the combined effect of all active faults to an endpoint. The lock is held.
func (em *Emulator) applyFaults(ep int32) {
	var active []int
	for _, i := range em.activeFaults {
		if slices.Contains(em.faultEndpoints[i], ep) {
			active = append(active, i)
		}
	}
	previousMode := em.destinations.Endpoints[ep].Mode
	faults := simulator.CombineFaults(em.scenario.Faults, active)
	em.destinations.SetFaults(em.now(), ep, faults)
	switch {
	case em.stopped:
	case faults.Mode == destination.Down && previousMode != destination.Down:
		em.closeEndpoint(ep)
	case faults.Mode != destination.Down && previousMode == destination.Down:
		em.reopenEndpoint(ep)
	}
}

// reopenEndpoint starts the listener of an endpoint again. It retries because the address may not be free at once. The
// lock is held.
func (em *Emulator) reopenEndpoint(ep int32) {
	if em.openEndpoint(ep) == nil {
		return
	}
	time.AfterFunc(20*time.Millisecond, func() {
		em.mu.Lock()
		defer em.mu.Unlock()
		if !em.stopped && em.destinations.Endpoints[ep].Mode != destination.Down {
			em.reopenEndpoint(ep)
		}
	})
}

// replaceEndpoint drains an endpoint and adds a new one in its place. The lock is held.
func (em *Emulator) replaceEndpoint(ep int32) {
	if e := &em.destinations.Endpoints[ep]; e.Gone || e.Draining {
		return
	}
	replacement := em.destinations.Replace(ep)
	if err := em.openEndpoint(replacement); err != nil {
		em.logf("cannot open the listener of a new endpoint: %v", err)
		em.destinations.Remove(replacement)
		em.listeners = append(em.listeners, &endpointListener{conns: nil})
		return
	}
	for i := range em.faultEndpoints {
		if slices.Contains(em.faultEndpoints[i], ep) && slices.Contains(em.activeFaults, i) {
			em.faultEndpoints[i] = append(em.faultEndpoints[i], replacement)
		}
	}
	em.applyFaults(replacement)
	em.scheduleDirectoryChange(ep, delivery.Draining)
	em.scheduleDirectoryChange(replacement, delivery.Ready)
	time.AfterFunc(time.Duration(em.scenario.Fleet.DirectoryDelay+em.scenario.Rules.DrainGrace)+endpointDrainTime, func() {
		em.mu.Lock()
		defer em.mu.Unlock()
		if !em.stopped {
			em.destinations.Remove(ep)
			em.closeEndpoint(ep)
			em.scheduleDirectoryChange(ep, delivery.Gone)
		}
	})
}

// seenOutage and recordOutage get and set the start of the last outage that a node saw at an endpoint group. The lock
// is held.
func (em *Emulator) seenOutage(node, group int32) int64 {
	return em.seenOutages[nodeGroup{node, group}]
}

func (em *Emulator) recordOutage(node, group int32, from int64) {
	em.seenOutages[nodeGroup{node, group}] = from
}

type nodeGroup struct{ node, group int32 }
