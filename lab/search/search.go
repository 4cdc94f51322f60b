// Package hunt looks for days on which a rule breaks or little is delivered, among random mixes of troubles,
// and shrinks what it finds to the fewest troubles, the shortest time and the smallest fleet that still show
// it.
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
	shrinkSeeds = 6 // seeds on which a smaller day is tried before it is held to show nothing
)

// Finding is a day that was found, with the seed on which it shows.
type Finding struct {
	Scenario       *scenario.Scenario
	Seed           uint64
	G              float64
	ViolationCount int
	Violation      string // the first broken rule with its evidence
	rule           int
}

// RandomScenario draws a mix of troubles on the fleet and partners of a scenario.
func RandomScenario(base *scenario.Scenario, chance *rand.Rand) *scenario.Scenario {
	day := base.Clone()
	day.Faults, day.LoadChanges = nil, nil
	dests := 0
	for _, p := range day.DestinationKinds {
		dests += p.Destinations
	}
	length := float64(day.Length)
	for range minFaults + chance.IntN(maxFaults-minFaults+1) {
		k := scenario.FaultKinds[chance.IntN(len(scenario.FaultKinds))]
		t := scenario.Fault{Kind: k.Name, Start: scenario.Duration(length * (0.1 + 0.5*chance.Float64())),
			Duration: scenario.Duration(length * (0.05 + 0.3*chance.Float64()))}
		switch k.Target {
		case "destinations":
			t.Destinations = 1 + chance.IntN(max(1, dests/3))
			if chance.IntN(4) == 0 {
				t.Endpoints = 1
			}
		case "nodes":
			t.Nodes = 1 + chance.IntN(max(1, day.Fleet.Nodes/3))
		}
		switch k.Name {
		case "fail", "lose", "spoil", "late", "notes-lost":
			t.Share = 0.05 + 0.95*chance.Float64()*chance.Float64()
		}
		switch k.Name {
		case "slow", "late":
			t.Factor = 2 + 18*chance.Float64()
		}
		if chance.IntN(3) == 0 && k.Target == "destinations" && k.Name != "replace" {
			t.Period = max(scenario.Duration(1e9), t.Duration/scenario.Duration(2+chance.IntN(5)))
		}
		day.Faults = append(day.Faults, t)
	}
	if chance.IntN(3) == 0 {
		day.LoadChanges = append(
			day.LoadChanges,
			scenario.LoadChange{Start: scenario.Duration(length * 0.3), Duration: scenario.Duration(length * 0.3),
				Factor: 1 + 2*chance.Float64()},
		)
	}
	day.Name = base.Name + "-hunted"
	day.Challenge = "found by the hunt"
	return day
}

// evaluate plays a day and tells what it shows.
func evaluate(day *scenario.Scenario, seed uint64, launch simulator.SchedulerFactory) Finding {
	r := runner.Run(day, seed, 0, launch, false, nil)
	f := Finding{Scenario: day, Seed: seed, G: r.Summary.G, ViolationCount: r.Summary.ViolationCount}
	if len(r.Summary.Violations) > 0 {
		f.Violation, f.rule = r.Summary.Violations[0].String(), int(r.Summary.Violations[0].Rule)
	}
	return f
}

// Run draws mixes until ctx ends or so many were played, on as many cores as there are, and returns the
// worst day and the first that broke a rule, nil for none. With first it stops at a broken rule. told may be
// nil.
func Run(ctx context.Context, base *scenario.Scenario, seed uint64, most int, cores int, first bool,
	launch simulator.SchedulerFactory, told func(played int, worst float64, broken int)) (worst, broke *Finding, played int) {
	type one struct {
		at uint64
		f  Finding
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	jobs, results := make(chan uint64), make(chan one)
	for range cores {
		go func() {
			for at := range jobs {
				day := RandomScenario(base, rand.New(rand.NewPCG(seed, at)))
				results <- one{at, evaluate(day, at, launch)}
			}
		}()
	}
	defer close(jobs)
	next, out, brokeAt := uint64(1), 0, uint64(0)
	breaks := 0
	for {
		send := jobs
		if ctx.Err() != nil || int(next) > most || (first && broke != nil) {
			send = nil
			if out == 0 {
				return worst, broke, played
			}
		}
		select {
		case send <- next:
			next++
			out++
		case r := <-results:
			out--
			played++
			if worst == nil || r.f.G < worst.G {
				worst = &r.f
			}
			if r.f.ViolationCount > 0 {
				breaks++
				if broke == nil || r.at < brokeAt { // the first by number, whichever core was the quickest
					broke, brokeAt = &r.f, r.at
				}
			}
			if told != nil {
				told(played, worst.G, breaks)
			}
		}
	}
}

// reproduces tells whether a smaller day still reproduces what was found: the same rule broken, or G as low.
func (f *Finding) reproduces(ctx context.Context, day *scenario.Scenario, launch simulator.SchedulerFactory) (Finding, bool) {
	if day.Validate() != nil {
		return Finding{}, false
	}
	for try := range shrinkSeeds {
		if ctx.Err() != nil {
			return Finding{}, false
		}
		seed := f.Seed + uint64(try)
		got := evaluate(day, seed, launch)
		if (f.rule > 0 && got.rule == f.rule) || (f.rule == 0 && got.G <= f.G+0.02) {
			return got, true
		}
	}
	return Finding{}, false
}

// Shrink makes a found day as small as still shows it: first troubles are left out, then those that stay are
// made plainer, then the day shorter and the fleet smaller.
func Shrink(ctx context.Context, f Finding, launch simulator.SchedulerFactory) Finding {
	for again := true; again; {
		again = false
		for _, smaller := range reductions(f.Scenario) {
			if got, ok := f.reproduces(ctx, smaller, launch); ok {
				f, again = got, true
				break
			}
		}
	}
	f.Scenario.Challenge = "found by the hunt: G " + fmt.Sprintf("%.3f", f.G)
	if f.Violation != "" {
		f.Scenario.Challenge = "found by the hunt: " + f.Violation
	}
	return f
}

// reductions lists days that are one step reductions, the largest step first.
func reductions(day *scenario.Scenario) (days []*scenario.Scenario) {
	add := func(change func(*scenario.Scenario) bool) {
		if c := day.Clone(); change(c) {
			days = append(days, c)
		}
	}
	for i := range day.Faults {
		add(func(c *scenario.Scenario) bool { c.Faults = slices.Delete(c.Faults, i, i+1); return true })
	}
	for i := range day.LoadChanges {
		add(func(c *scenario.Scenario) bool { c.LoadChanges = slices.Delete(c.LoadChanges, i, i+1); return true })
	}
	end := scenario.Duration(0)
	for i := range day.Faults {
		t := &day.Faults[i]
		end = max(end, t.Start+t.Duration)
		add(func(c *scenario.Scenario) bool { c.Faults[i].Period = 0; return t.Period > 0 })
		add(func(c *scenario.Scenario) bool { c.Faults[i].Endpoints = 0; return t.Endpoints > 0 })
		add(func(c *scenario.Scenario) bool { c.Faults[i].Destinations /= 2; return t.Destinations > 1 })
		add(func(c *scenario.Scenario) bool { c.Faults[i].Nodes /= 2; return t.Nodes > 1 })
		add(
			func(c *scenario.Scenario) bool {
				c.Faults[i].Duration = t.Duration / 2
				return t.Duration > scenario.Duration(1e9)
			},
		)
		add(func(c *scenario.Scenario) bool {
			c.Faults[i].Start = t.Start / 2
			return t.Start > scenario.Duration(4e9)
		})
	}
	add(func(c *scenario.Scenario) bool {
		c.Length = max(minLength, (day.Length*2/3)/scenario.Duration(1e9)*scenario.Duration(1e9))
		return c.Length < day.Length
	})
	add(func(c *scenario.Scenario) bool {
		c.Fleet.Nodes = max(1, day.Fleet.Nodes/2)
		for i := range c.Types {
			c.Types[i].Rate *= float64(c.Fleet.Nodes) / float64(day.Fleet.Nodes)
		}
		for i := range c.Faults {
			c.Faults[i].Nodes = min(c.Faults[i].Nodes, c.Fleet.Nodes)
		}
		return day.Fleet.Nodes > 1
	})
	for i := range day.Types {
		add(
			func(c *scenario.Scenario) bool { c.Types = slices.Delete(c.Types, i, i+1); return len(day.Types) > 1 },
		)
	}
	for i := range day.DestinationKinds {
		add(func(c *scenario.Scenario) bool {
			c.DestinationKinds = slices.Delete(c.DestinationKinds, i, i+1)
			return len(day.DestinationKinds) > 1
		})
	}
	return days
}
