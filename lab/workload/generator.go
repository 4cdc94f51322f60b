// Package workload provides the events that arrive at clients, either generated from a scenario or read from a
// recording.
package workload

import (
	"math"
	"math/rand/v2"
	"slices"

	"jaspersill/lab/scenario"
)

const idleStep = int64(1e8) // ns by which time advances while the arrival rate is 0

// Arrival is one event that arrives at a client.
type Arrival struct {
	At, Deadline, Work   int64 // ns of the run; work time at a destination with work factor 1
	Type, Customer, Dest int32
	Key                  uint64
	Number               int64 // position among all arrivals, from 1; set by the reader of a source
}

// Source returns arrivals in the order of their times, and false when there are no more.
type Source interface{ Next() (Arrival, bool) }

// Generator generates a scenario's arrivals: an open loop of Poisson arrivals with the scenario's load changes, and
// its bursts. The arrivals depend on the seed alone, so that different versions and policies get the same ones.
type Generator struct {
	scenario          *scenario.Scenario
	random            *rand.Rand
	now               int64
	cumulativeRates   []float64 // by stream type
	cumulativeWeights []float64 // by destination
	nextBurst         []int64   // by load change: time of the next burst, if it has any
	pending           []Arrival // generated but not yet returned
}

// NewGenerator returns a generator that starts at the beginning of the scenario.
func NewGenerator(scn *scenario.Scenario, seed uint64) *Generator {
	g := &Generator{scenario: scn, random: rand.New(rand.NewPCG(seed, 0xa771))}
	sum := 0.0
	for _, t := range scn.Types {
		sum += t.Rate
		g.cumulativeRates = append(g.cumulativeRates, sum)
	}
	sum = 0
	for _, dk := range scn.DestinationKinds {
		for range dk.Destinations {
			sum += dk.Weight
			g.cumulativeWeights = append(g.cumulativeWeights, sum)
		}
	}
	for _, change := range scn.LoadChanges {
		g.nextBurst = append(g.nextBurst, int64(change.Start))
	}
	return g
}

// loadFactor returns the factor of a load change at a time, 1 if it is not in effect.
func loadFactor(change *scenario.LoadChange, now int64) float64 {
	since := now - int64(change.Start)
	if change.Burst > 0 || since < 0 || since >= int64(change.Duration) {
		return 1
	}
	if half := int64(change.Period) / 2; half > 0 && (since/half)%2 == 1 {
		return 1
	}
	return change.Factor
}

// arrivalRate returns the current total rate in events per second.
func (g *Generator) arrivalRate() float64 {
	rate := g.cumulativeRates[len(g.cumulativeRates)-1]
	for i := range g.scenario.LoadChanges {
		rate *= loadFactor(&g.scenario.LoadChanges[i], g.now)
	}
	return rate
}

// Next implements Source.
func (g *Generator) Next() (Arrival, bool) {
	for len(g.pending) == 0 {
		if g.now >= int64(g.scenario.Length) {
			return Arrival{}, false
		}
		at := g.now + idleStep
		rate := g.arrivalRate()
		if rate > 0 {
			at = g.now + 1 + int64(g.random.ExpFloat64()/rate*1e9)
		}
		if g.drawBurst(at) {
			continue
		}
		g.now = at
		if rate > 0 && at < int64(g.scenario.Length) {
			g.pending = append(g.pending, g.drawArrival(pickWeighted(g.cumulativeWeights, g.random)))
		}
	}
	a := g.pending[0]
	g.pending = g.pending[1:]
	return a, true
}

// drawBurst generates the earliest burst that is due by a time, and reports whether there was one.
func (g *Generator) drawBurst(before int64) bool {
	first := -1
	for i := range g.scenario.LoadChanges {
		change := &g.scenario.LoadChanges[i]
		if change.Burst > 0 && g.nextBurst[i] <= before && g.nextBurst[i] < int64(g.scenario.Length) &&
			(first < 0 || g.nextBurst[i] < g.nextBurst[first]) {
			first = i
		}
	}
	if first < 0 {
		return false
	}
	change := &g.scenario.LoadChanges[first]
	g.now = max(g.now, g.nextBurst[first])
	dest := pickWeighted(g.cumulativeWeights, g.random)
	for range change.Burst {
		g.pending = append(g.pending, g.drawArrival(dest))
	}
	if g.nextBurst[first] += int64(change.Period); change.Period == 0 ||
		g.nextBurst[first] >= int64(change.Start+change.Duration) {
		g.nextBurst[first] = math.MaxInt64
	}
	return true
}

// drawArrival generates one arrival at the current time for a destination.
func (g *Generator) drawArrival(dest int) Arrival {
	typ := pickWeighted(g.cumulativeRates, g.random)
	t := &g.scenario.Types[typ]
	a := Arrival{At: g.now, Deadline: g.now + int64(t.MaxAge), Type: int32(typ), Dest: int32(dest),
		Work: int64(float64(t.Work) * math.Exp(t.Sigma*g.random.NormFloat64()))}
	x := g.random.Float64()
	for i, customer := range g.scenario.Customers {
		if a.Customer = int32(i); x < customer.Share {
			break
		}
		x -= customer.Share
	}
	for i := range g.scenario.LoadChanges { // all additional events of a greedy customer are its own
		change := &g.scenario.LoadChanges[i]
		if f := loadFactor(change, g.now); change.GreedyCustomer != "" && f > 1 && g.random.Float64() < 1-1/f {
			a.Customer = int32(slices.IndexFunc(g.scenario.Customers, func(customer scenario.Customer) bool {
				return customer.Name == change.GreedyCustomer
			}))
		}
	}
	if t.Keys > 0 {
		a.Key = 1 + g.random.Uint64N(uint64(t.Keys))
	}
	return a
}

// pickWeighted draws an index with probabilities given by cumulative weights.
func pickWeighted(sums []float64, random *rand.Rand) int {
	x := random.Float64() * sums[len(sums)-1]
	i, _ := slices.BinarySearch(sums, x)
	return min(i, len(sums)-1)
}
