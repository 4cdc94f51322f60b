// Package search looks for scenarios that violate a rule or deliver little utility, among random mixes of faults. It
// shrinks a finding to the fewest faults, the shortest run and the smallest fleet that still reproduce it.
package search

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"jaspersill/lab/runner"
	"jaspersill/lab/scenario"
	"jaspersill/lab/simulator"
)

const (
	minFaults   = 1
	maxFaults   = 5
	minLength   = scenario.Duration(8e9)
	shrinkSeeds = 6 // seeds with which a smaller scenario is tried before it is discarded
)

// Finding is the result of a scenario with the seed that produced it.
type Finding struct {
	Scenario       *scenario.Scenario
	Seed           uint64
	G              float64
	ViolationCount int
	Violation      string // text of the first violation, with its evidence
	rule           int    // rule of the first violation, 0 for none
}

// RandomScenario returns a copy of a scenario with a random mix of faults instead of its own.
func RandomScenario(base *scenario.Scenario, random *rand.Rand) *scenario.Scenario {
	scn := base.Clone()
	scn.Faults, scn.LoadChanges = nil, nil
	dests := 0
	for _, dk := range scn.DestinationKinds {
		dests += dk.Destinations
	}
	length := float64(scn.Length)
	for range minFaults + random.IntN(maxFaults-minFaults+1) {
		kind := scenario.FaultKinds[random.IntN(len(scenario.FaultKinds))]
		fault := scenario.Fault{Kind: kind.Name, Start: scenario.Duration(length * (0.1 + 0.5*random.Float64())),
			Duration: scenario.Duration(length * (0.05 + 0.3*random.Float64()))}
		switch kind.Target {
		case "destinations":
			fault.Destinations = 1 + random.IntN(max(1, dests/3))
			if random.IntN(4) == 0 {
				fault.Endpoints = 1
			}
		case "nodes":
			fault.Nodes = 1 + random.IntN(max(1, scn.Fleet.Nodes/3))
		}
		switch kind.Name {
		case "fail", "lose", "spoil", "late", "notes-lost":
			fault.Share = 0.05 + 0.95*random.Float64()*random.Float64()
		}
		switch kind.Name {
		case "slow", "late":
			fault.Factor = 2 + 18*random.Float64()
		}
		if random.IntN(3) == 0 && kind.Target == "destinations" && kind.Name != "replace" {
			fault.Period = max(scenario.Duration(1e9), fault.Duration/scenario.Duration(2+random.IntN(5)))
		}
		scn.Faults = append(scn.Faults, fault)
	}
	if random.IntN(3) == 0 {
		scn.LoadChanges = append(
			scn.LoadChanges,
			scenario.LoadChange{Start: scenario.Duration(length * 0.3), Duration: scenario.Duration(length * 0.3),
				Factor: 1 + 2*random.Float64()},
		)
	}
	scn.Name = base.Name + "-hunted"
	scn.Challenge = "found by jaspersill-lab hunt"
	return scn
}

// evaluate runs a scenario and returns its result.
func evaluate(scn *scenario.Scenario, seed uint64, factory simulator.SchedulerFactory) Finding {
	r := runner.Run(scn, seed, 0, factory, false, nil)
	f := Finding{Scenario: scn, Seed: seed, G: r.Summary.G, ViolationCount: r.Summary.ViolationCount}
	if len(r.Summary.Violations) > 0 {
		f.Violation, f.rule = r.Summary.Violations[0].String(), int(r.Summary.Violations[0].Rule)
	}
	return f
}

// Run evaluates random scenarios on the given number of cores until ctx ends or maxRuns of them have run. It returns
// the one with the lowest G and the first one with a violation, nil if there is none, and the number of runs. With
// first set it stops at the first violation. progress is called after each run; it may be nil.
func Run(
	ctx context.Context, base *scenario.Scenario, seed uint64, maxRuns int, cores int, first bool,
	factory simulator.SchedulerFactory, progress func(runs int, worst float64, violations int),
) (worst, firstViolation *Finding, runs int) {
	type result struct {
		at uint64
		f  Finding
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	jobs, results := make(chan uint64), make(chan result)
	for range cores {
		go func() {
			for at := range jobs {
				scn := RandomScenario(base, rand.New(rand.NewPCG(seed, at)))
				results <- result{at, evaluate(scn, at, factory)}
			}
		}()
	}
	defer close(jobs)
	next, running, firstAt := uint64(1), 0, uint64(0)
	violationRuns := 0
	for {
		send := jobs
		if ctx.Err() != nil || int(next) > maxRuns || (first && firstViolation != nil) {
			send = nil
			if running == 0 {
				return worst, firstViolation, runs
			}
		}
		select {
		case send <- next:
			next++
			running++
		case r := <-results:
			running--
			runs++
			if worst == nil || r.f.G < worst.G {
				worst = &r.f
			}
			if r.f.ViolationCount > 0 {
				violationRuns++
				if firstViolation == nil || r.at < firstAt { // the first by number, not by time of completion
					firstViolation, firstAt = &r.f, r.at
				}
			}
			if progress != nil {
				progress(runs, worst.G, violationRuns)
			}
		}
	}
}

// reproduces reports whether a smaller scenario reproduces a finding: the same rule is violated, or G is as low.
func (f *Finding) reproduces(
	ctx context.Context, scn *scenario.Scenario, factory simulator.SchedulerFactory,
) (Finding, bool) {
	if scn.Validate() != nil {
		return Finding{}, false
	}
	for try := range shrinkSeeds {
		if ctx.Err() != nil {
			return Finding{}, false
		}
		seed := f.Seed + uint64(try)
		got := evaluate(scn, seed, factory)
		if (f.rule > 0 && got.rule == f.rule) || (f.rule == 0 && got.G <= f.G+0.02) {
			return got, true
		}
	}
	return Finding{}, false
}

// Shrink reduces a finding's scenario as far as it still reproduces the finding: first faults are removed, then the
// remaining ones simplified, then the run shortened and the fleet made smaller.
func Shrink(ctx context.Context, f Finding, factory simulator.SchedulerFactory) Finding {
	for again := true; again; {
		again = false
		for _, candidate := range reductions(f.Scenario) {
			if got, ok := f.reproduces(ctx, candidate, factory); ok {
				f, again = got, true
				break
			}
		}
	}
	f.Scenario.Challenge = "found by jaspersill-lab hunt: G " + fmt.Sprintf("%.3f", f.G)
	if f.Violation != "" {
		f.Scenario.Challenge = "found by jaspersill-lab hunt: " + f.Violation
	}
	return f
}

// reductions returns the scenarios that are one step smaller, the largest steps first.
func reductions(scn *scenario.Scenario) (smaller []*scenario.Scenario) {
	add := func(change func(*scenario.Scenario) bool) {
		if c := scn.Clone(); change(c) {
			smaller = append(smaller, c)
		}
	}
	for i := range scn.Faults {
		add(func(c *scenario.Scenario) bool { c.Faults = slices.Delete(c.Faults, i, i+1); return true })
	}
	for i := range scn.LoadChanges {
		add(func(c *scenario.Scenario) bool { c.LoadChanges = slices.Delete(c.LoadChanges, i, i+1); return true })
	}
	end := scenario.Duration(0)
	for i := range scn.Faults {
		fault := &scn.Faults[i]
		end = max(end, fault.Start+fault.Duration)
		add(func(c *scenario.Scenario) bool { c.Faults[i].Period = 0; return fault.Period > 0 })
		add(func(c *scenario.Scenario) bool { c.Faults[i].Endpoints = 0; return fault.Endpoints > 0 })
		add(func(c *scenario.Scenario) bool { c.Faults[i].Destinations /= 2; return fault.Destinations > 1 })
		add(func(c *scenario.Scenario) bool { c.Faults[i].Nodes /= 2; return fault.Nodes > 1 })
		add(
			func(c *scenario.Scenario) bool {
				c.Faults[i].Duration = fault.Duration / 2
				return fault.Duration > scenario.Duration(1e9)
			},
		)
		add(func(c *scenario.Scenario) bool {
			c.Faults[i].Start = fault.Start / 2
			return fault.Start > scenario.Duration(4e9)
		})
	}
	add(func(c *scenario.Scenario) bool {
		c.Length = max(minLength, (scn.Length*2/3)/scenario.Duration(1e9)*scenario.Duration(1e9))
		return c.Length < scn.Length
	})
	add(func(c *scenario.Scenario) bool {
		c.Fleet.Nodes = max(1, scn.Fleet.Nodes/2)
		for i := range c.Types {
			c.Types[i].Rate *= float64(c.Fleet.Nodes) / float64(scn.Fleet.Nodes)
		}
		for i := range c.Faults {
			c.Faults[i].Nodes = min(c.Faults[i].Nodes, c.Fleet.Nodes)
		}
		return scn.Fleet.Nodes > 1
	})
	for i := range scn.Types {
		add(
			func(c *scenario.Scenario) bool { c.Types = slices.Delete(c.Types, i, i+1); return len(scn.Types) > 1 },
		)
	}
	for i := range scn.DestinationKinds {
		add(func(c *scenario.Scenario) bool {
			c.DestinationKinds = slices.Delete(c.DestinationKinds, i, i+1)
			return len(scn.DestinationKinds) > 1
		})
	}
	return smaller
}
