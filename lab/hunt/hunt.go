// Package hunt looks for days on which a rule breaks or little is delivered, among random mixes of troubles,
// and shrinks what it finds to the fewest troubles, the shortest time and the smallest fleet that still show
// it.
package hunt

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"jaspersill/lab/runner"
	"jaspersill/lab/scenario"
	"jaspersill/lab/world"
)

const (
	fewTroubles  = 1
	manyTroubles = 5
	leastLength  = scenario.Span(8e9)
	shrinkTries  = 6 // seeds on which a smaller day is tried before it is held to show nothing
)

// Found is a day that was found, with the seed on which it shows.
type Found struct {
	Day    *scenario.Scenario
	Seed   uint64
	G      float64
	Broken int
	Rule   string // the first broken rule with its evidence
	rule   int
}

// Mix draws a mix of troubles on the fleet and partners of a scenario.
func Mix(base *scenario.Scenario, chance *rand.Rand) *scenario.Scenario {
	day := base.Clone()
	day.Troubles, day.Loads = nil, nil
	dests := 0
	for _, p := range day.Partners {
		dests += p.Destinations
	}
	length := float64(day.Length)
	for range fewTroubles + chance.IntN(manyTroubles-fewTroubles+1) {
		k := scenario.Kinds[chance.IntN(len(scenario.Kinds))]
		t := scenario.Trouble{Kind: k.Name, At: scenario.Span(length * (0.1 + 0.5*chance.Float64())),
			For: scenario.Span(length * (0.05 + 0.3*chance.Float64()))}
		switch k.Meets {
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
			t.Times = 2 + 18*chance.Float64()
		}
		if chance.IntN(3) == 0 && k.Meets == "destinations" && k.Name != "replace" {
			t.Every = max(scenario.Span(1e9), t.For/scenario.Span(2+chance.IntN(5)))
		}
		day.Troubles = append(day.Troubles, t)
	}
	if chance.IntN(3) == 0 {
		day.Loads = append(
			day.Loads,
			scenario.Load{At: scenario.Span(length * 0.3), For: scenario.Span(length * 0.3),
				Times: 1 + 2*chance.Float64()},
		)
	}
	day.Name = base.Name + "-hunted"
	day.Hard = "found by the hunt"
	return day
}

// play plays a day and tells what it shows.
func play(day *scenario.Scenario, seed uint64, launch world.Launch) Found {
	r := runner.Run(day, seed, 0, launch, false, nil)
	f := Found{Day: day, Seed: seed, G: r.Summary.G, Broken: r.Summary.Broken}
	if len(r.Summary.Breaks) > 0 {
		f.Rule, f.rule = r.Summary.Breaks[0].String(), int(r.Summary.Breaks[0].Rule)
	}
	return f
}

// Hunt draws mixes until ctx ends or so many were played, on as many cores as there are, and returns the
// worst day and the first that broke a rule, nil for none. With first it stops at a broken rule. told may be
// nil.
func Hunt(ctx context.Context, base *scenario.Scenario, seed uint64, most int, cores int, first bool,
	launch world.Launch, told func(played int, worst float64, broken int)) (worst, broke *Found, played int) {
	type one struct {
		at uint64
		f  Found
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	jobs, results := make(chan uint64), make(chan one)
	for range cores {
		go func() {
			for at := range jobs {
				day := Mix(base, rand.New(rand.NewPCG(seed, at)))
				results <- one{at, play(day, at, launch)}
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
			if r.f.Broken > 0 {
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

// shows tells whether a smaller day still shows what was found: the same rule broken, or G as low.
func (f *Found) shows(ctx context.Context, day *scenario.Scenario, launch world.Launch) (Found, bool) {
	if day.Check() != nil {
		return Found{}, false
	}
	for try := range shrinkTries {
		if ctx.Err() != nil {
			return Found{}, false
		}
		seed := f.Seed + uint64(try)
		got := play(day, seed, launch)
		if (f.rule > 0 && got.rule == f.rule) || (f.rule == 0 && got.G <= f.G+0.02) {
			return got, true
		}
	}
	return Found{}, false
}

// Shrink makes a found day as small as still shows it: first troubles are left out, then those that stay are
// made plainer, then the day shorter and the fleet smaller.
func Shrink(ctx context.Context, f Found, launch world.Launch) Found {
	for again := true; again; {
		again = false
		for _, smaller := range smaller(f.Day) {
			if got, ok := f.shows(ctx, smaller, launch); ok {
				f, again = got, true
				break
			}
		}
	}
	f.Day.Hard = "found by the hunt: G " + fmt.Sprintf("%.3f", f.G)
	if f.Rule != "" {
		f.Day.Hard = "found by the hunt: " + f.Rule
	}
	return f
}

// smaller lists days that are one step smaller, the largest step first.
func smaller(day *scenario.Scenario) (days []*scenario.Scenario) {
	add := func(change func(*scenario.Scenario) bool) {
		if c := day.Clone(); change(c) {
			days = append(days, c)
		}
	}
	for i := range day.Troubles {
		add(func(c *scenario.Scenario) bool { c.Troubles = slices.Delete(c.Troubles, i, i+1); return true })
	}
	for i := range day.Loads {
		add(func(c *scenario.Scenario) bool { c.Loads = slices.Delete(c.Loads, i, i+1); return true })
	}
	end := scenario.Span(0)
	for i := range day.Troubles {
		t := &day.Troubles[i]
		end = max(end, t.At+t.For)
		add(func(c *scenario.Scenario) bool { c.Troubles[i].Every = 0; return t.Every > 0 })
		add(func(c *scenario.Scenario) bool { c.Troubles[i].Endpoints = 0; return t.Endpoints > 0 })
		add(func(c *scenario.Scenario) bool { c.Troubles[i].Destinations /= 2; return t.Destinations > 1 })
		add(func(c *scenario.Scenario) bool { c.Troubles[i].Nodes /= 2; return t.Nodes > 1 })
		add(
			func(c *scenario.Scenario) bool { c.Troubles[i].For = t.For / 2; return t.For > scenario.Span(1e9) },
		)
		add(func(c *scenario.Scenario) bool { c.Troubles[i].At = t.At / 2; return t.At > scenario.Span(4e9) })
	}
	add(func(c *scenario.Scenario) bool {
		c.Length = max(leastLength, (day.Length*2/3)/scenario.Span(1e9)*scenario.Span(1e9))
		return c.Length < day.Length
	})
	add(func(c *scenario.Scenario) bool {
		c.Fleet.Nodes = max(1, day.Fleet.Nodes/2)
		for i := range c.Types {
			c.Types[i].Rate *= float64(c.Fleet.Nodes) / float64(day.Fleet.Nodes)
		}
		for i := range c.Troubles {
			c.Troubles[i].Nodes = min(c.Troubles[i].Nodes, c.Fleet.Nodes)
		}
		return day.Fleet.Nodes > 1
	})
	for i := range day.Types {
		add(
			func(c *scenario.Scenario) bool { c.Types = slices.Delete(c.Types, i, i+1); return len(day.Types) > 1 },
		)
	}
	for i := range day.Partners {
		add(func(c *scenario.Scenario) bool {
			c.Partners = slices.Delete(c.Partners, i, i+1)
			return len(day.Partners) > 1
		})
	}
	return days
}
