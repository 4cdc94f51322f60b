// Package arrival tells what clients are asked for and when: drawn from a scenario, or read from a recording.
package workload

import (
	"math"
	"math/rand/v2"
	"slices"

	"jaspersill/lab/scenario"
)

const idleStep = int64(1e8) // ns after which a rate of nothing is looked at again

// Arrival is one event that comes to a client.
type Arrival struct {
	At, Deadline, Work   int64 // ns of the run; work at a partner of usual pace
	Type, Customer, Dest int32
	Key                  uint64
	Number               int64 // its place among all, from 1; whoever plays a source counts
}

// Source hands out askings in the order of their times, and false when there are no more.
type Source interface{ Next() (Arrival, bool) }

// Generator draws a scenario's askings: an open loop of Poisson arrivals under the scenario's loads, and its
// clumps. What it draws depends on the seed alone, so that two versions are asked for the same.
type Generator struct {
	scenario          *scenario.Scenario
	random            *rand.Rand
	now               int64
	cumulativeRates   []float64 // rates, summed up
	cumulativeWeights []float64 // weights, summed up
	nextBurst         []int64   // of each load that is one, its next
	pending           []Arrival // of a clump that came
}

// NewGenerator begins to draw.
func NewGenerator(day *scenario.Scenario, seed uint64) *Generator {
	d := &Generator{scenario: day, random: rand.New(rand.NewPCG(seed, 0xa771))}
	sum := 0.0
	for _, t := range day.Types {
		sum += t.Rate
		d.cumulativeRates = append(d.cumulativeRates, sum)
	}
	sum = 0
	for _, p := range day.DestinationKinds {
		for range p.Destinations {
			sum += p.Weight
			d.cumulativeWeights = append(d.cumulativeWeights, sum)
		}
	}
	for _, l := range day.LoadChanges {
		d.nextBurst = append(d.nextBurst, int64(l.Start))
	}
	return d
}

// loadFactor is a load's loadFactor at a time.
func loadFactor(l *scenario.LoadChange, now int64) float64 {
	since := now - int64(l.Start)
	if l.Burst > 0 || since < 0 || since >= int64(l.Duration) {
		return 1
	}
	if half := int64(l.Period) / 2; half > 0 && (since/half)%2 == 1 {
		return 1
	}
	return l.Factor
}

// arrivalRate is all that comes in a second.
func (d *Generator) arrivalRate() float64 {
	r := d.cumulativeRates[len(d.cumulativeRates)-1]
	for i := range d.scenario.LoadChanges {
		r *= loadFactor(&d.scenario.LoadChanges[i], d.now)
	}
	return r
}

// Next implements Source.
func (d *Generator) Next() (Arrival, bool) {
	for len(d.pending) == 0 {
		if d.now >= int64(d.scenario.Length) {
			return Arrival{}, false
		}
		at := d.now + idleStep
		rate := d.arrivalRate()
		if rate > 0 {
			at = d.now + 1 + int64(d.random.ExpFloat64()/rate*1e9)
		}
		if d.drawBurst(at) {
			continue
		}
		d.now = at
		if rate > 0 && at < int64(d.scenario.Length) {
			d.pending = append(d.pending, d.drawArrival(pickWeighted(d.cumulativeWeights, d.random)))
		}
	}
	a := d.pending[0]
	d.pending = d.pending[1:]
	return a, true
}

// drawBurst draws the earliest drawBurst that comes before a time.
func (d *Generator) drawBurst(before int64) bool {
	first := -1
	for i := range d.scenario.LoadChanges {
		l := &d.scenario.LoadChanges[i]
		if l.Burst > 0 && d.nextBurst[i] <= before && d.nextBurst[i] < int64(d.scenario.Length) &&
			(first < 0 || d.nextBurst[i] < d.nextBurst[first]) {
			first = i
		}
	}
	if first < 0 {
		return false
	}
	l := &d.scenario.LoadChanges[first]
	d.now = max(d.now, d.nextBurst[first])
	dest := pickWeighted(d.cumulativeWeights, d.random)
	for range l.Burst {
		d.pending = append(d.pending, d.drawArrival(dest))
	}
	if d.nextBurst[first] += int64(l.Period); l.Period == 0 || d.nextBurst[first] >= int64(l.Start+l.Duration) {
		d.nextBurst[first] = math.MaxInt64
	}
	return true
}

// drawArrival draws one asking of now for a destination.
func (d *Generator) drawArrival(dest int) Arrival {
	typ := pickWeighted(d.cumulativeRates, d.random)
	t := &d.scenario.Types[typ]
	a := Arrival{At: d.now, Deadline: d.now + int64(t.MaxAge), Type: int32(typ), Dest: int32(dest),
		Work: int64(float64(t.Work) * math.Exp(t.Sigma*d.random.NormFloat64()))}
	x := d.random.Float64()
	for i, o := range d.scenario.Customers {
		if a.Customer = int32(i); x < o.Share {
			break
		}
		x -= o.Share
	}
	for i := range d.scenario.LoadChanges { // of what a greedy customer adds, all is its own
		l := &d.scenario.LoadChanges[i]
		if f := loadFactor(l, d.now); l.GreedyCustomer != "" && f > 1 && d.random.Float64() < 1-1/f {
			a.Customer = int32(
				slices.IndexFunc(d.scenario.Customers, func(o scenario.Customer) bool { return o.Name == l.GreedyCustomer }),
			)
		}
	}
	if t.Keys > 0 {
		a.Key = 1 + d.random.Uint64N(uint64(t.Keys))
	}
	return a
}

// pickWeighted draws an index by summed up weights.
func pickWeighted(sums []float64, r *rand.Rand) int {
	x := r.Float64() * sums[len(sums)-1]
	i, _ := slices.BinarySearch(sums, x)
	return min(i, len(sums)-1)
}
