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

// drawFaults draws whom each trouble meets, as the world in virtual time does from the same seed.
func (s *Emulator) drawFaults(seed uint64) {
	whom := rand.New(rand.NewPCG(seed, simulator.FaultTargetStream))
	for i := range s.scenario.Faults {
		eps, nodes := simulator.DrawFaultTargets(&s.scenario.Faults[i], whom, s.destinations.ByDest, s.scenario.Fleet.Nodes)
		s.faultEndpoints, s.faultNodes = append(s.faultEndpoints, eps), append(s.faultNodes, nodes)
	}
}

// scheduleFaults has the troubles come and go until ctx ends.
func (s *Emulator) scheduleFaults(ctx context.Context, nodes *Nodes) {
	for i := range s.scenario.Faults {
		t := &s.scenario.Faults[i]
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			until := time.Duration(t.Start + t.Duration)
			for at := time.Duration(t.Start); ; at += time.Duration(t.Period) {
				if !s.sleepUntil(ctx, at) {
					return
				}
				s.startFault(i, nodes, until)
				if t.Duration == 0 {
					return
				}
				end := until
				if t.Period > 0 {
					end = min(until, at+time.Duration(t.Period)/2)
				}
				going := s.sleepUntil(ctx, end)
				s.endFault(i, nodes)
				if !going || t.Period == 0 || at+time.Duration(t.Period) >= until {
					return
				}
			}
		}()
	}
}

// sleepUntil waits until a time of the day; false when ctx ended before.
func (s *Emulator) sleepUntil(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(at - time.Since(s.startedAt))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (s *Emulator) startFault(i int, nodes *Nodes, until time.Duration) {
	t := &s.scenario.Faults[i]
	s.logf("trouble: %s begins", t.Kind)
	if nodes != nil {
		for _, n := range s.faultNodes[i] {
			switch t.Kind {
			case "kill":
				nodes.Kill(int(n))
			case "drain":
				nodes.Drain(int(n))
			case "freeze":
				nodes.Freeze(int(n), until-time.Since(s.startedAt))
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	switch t.Kind {
	case "directory-down":
		s.directoryDown++
		close(s.directoryChanged)
		s.directoryChanged = make(chan struct{})
	case "directory-still":
		s.directoryFrozen++
	case "replace":
		for _, ep := range s.faultEndpoints[i] {
			s.replaceEndpoint(ep)
		}
	case "kill", "drain", "freeze":
	default:
		s.activeFaults = append(s.activeFaults, i)
		for _, ep := range s.faultEndpoints[i] {
			s.applyFaults(ep)
		}
	}
}

func (s *Emulator) endFault(i int, nodes *Nodes) {
	t := &s.scenario.Faults[i]
	s.logf("trouble: %s ends", t.Kind)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch t.Kind {
	case "directory-down":
		s.directoryDown--
	case "directory-still":
		s.directoryFrozen--
	case "replace", "kill", "drain", "freeze":
	default:
		s.activeFaults = slices.DeleteFunc(s.activeFaults, func(j int) bool { return j == i })
		for _, ep := range s.faultEndpoints[i] {
			s.applyFaults(ep)
		}
	}
}

// applyFaults puts in force what all troubles make of an endpoint; the lock is held.
func (s *Emulator) applyFaults(ep int32) {
	var mine []int
	for _, i := range s.activeFaults {
		if slices.Contains(s.faultEndpoints[i], ep) {
			mine = append(mine, i)
		}
	}
	was := s.destinations.Endpoints[ep].Mode
	p := simulator.CombineFaults(s.scenario.Faults, mine)
	s.destinations.SetFaults(s.now(), ep, p)
	switch {
	case s.stopped:
	case p.Mode == destination.Down && was != destination.Down:
		s.closeEndpoint(ep)
	case p.Mode != destination.Down && was == destination.Down:
		s.reopenEndpoint(ep)
	}
}

// reopenEndpoint listens again; its address may take a moment to be free.
func (s *Emulator) reopenEndpoint(ep int32) {
	if s.openEndpoint(ep) == nil {
		return
	}
	time.AfterFunc(20*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.stopped && s.destinations.Endpoints[ep].Mode != destination.Down {
			s.reopenEndpoint(ep)
		}
	})
}

// replaceEndpoint lets an endpoint drain, and a new one take its place; the lock is held.
func (s *Emulator) replaceEndpoint(ep int32) {
	if e := &s.destinations.Endpoints[ep]; e.Gone || e.Draining {
		return
	}
	next := s.destinations.Replace(ep)
	if err := s.openEndpoint(next); err != nil {
		s.logf("an endpoint cannot be opened: %v", err)
		s.destinations.Remove(next)
		s.listeners = append(s.listeners, &endpointListener{conns: nil})
		return
	}
	for i := range s.faultEndpoints {
		if slices.Contains(s.faultEndpoints[i], ep) && slices.Contains(s.activeFaults, i) {
			s.faultEndpoints[i] = append(s.faultEndpoints[i], next)
		}
	}
	s.applyFaults(next)
	s.scheduleDirectoryChange(ep, delivery.Draining)
	s.scheduleDirectoryChange(next, delivery.Ready)
	time.AfterFunc(time.Duration(s.scenario.Fleet.DirectoryDelay+s.scenario.Rules.DrainGrace)+endpointDrainTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.stopped {
			s.destinations.Remove(ep)
			s.closeEndpoint(ep)
			s.scheduleDirectoryChange(ep, delivery.Gone)
		}
	})
}

// seenOutage and saw keep the beginning of the last outage that a node met at a lane; the lock is held.
func (s *Emulator) seenOutage(node, lane int32) int64 { return s.seenOutages[nodeGroup{node, lane}] }

func (s *Emulator) recordOutage(node, lane int32, from int64) {
	s.seenOutages[nodeGroup{node, lane}] = from
}

type nodeGroup struct{ node, group int32 }
