// Package arrival tells what clients are asked for and when: drawn from a scenario, or read from a recording.
package arrival

import (
	"math"
	"math/rand/v2"
	"slices"

	"jaspersill/lab/scenario"
)

const pause = int64(1e8) // ns after which a rate of nothing is looked at again

// Asking is one event that comes to a client.
type Asking struct {
	At, Deadline, Work int64 // ns of the run; work at a partner of usual pace
	Type, Owner, Dest  int32
	Key                uint64
	Number             int64 // its place among all, from 1; whoever plays a source counts
}

// Source hands out askings in the order of their times, and false when there are no more.
type Source interface{ Next() (Asking, bool) }

// Drawn draws a scenario's askings: an open loop of Poisson arrivals under the scenario's loads, and its
// clumps. What it draws depends on the seed alone, so that two versions are asked for the same.
type Drawn struct {
	day     *scenario.Scenario
	chance  *rand.Rand
	now     int64
	types   []float64 // rates, summed up
	dests   []float64 // weights, summed up
	clumpAt []int64   // of each load that is one, its next
	queue   []Asking  // of a clump that came
}

// New begins to draw.
func New(day *scenario.Scenario, seed uint64) *Drawn {
	d := &Drawn{day: day, chance: rand.New(rand.NewPCG(seed, 0xa771))}
	sum := 0.0
	for _, t := range day.Types {
		sum += t.Rate
		d.types = append(d.types, sum)
	}
	sum = 0
	for _, p := range day.Partners {
		for range p.Destinations {
			sum += p.Weight
			d.dests = append(d.dests, sum)
		}
	}
	for _, l := range day.Loads {
		d.clumpAt = append(d.clumpAt, int64(l.At))
	}
	return d
}

// factor is a load's factor at a time.
func factor(l *scenario.Load, now int64) float64 {
	since := now - int64(l.At)
	if l.Clump > 0 || since < 0 || since >= int64(l.For) {
		return 1
	}
	if half := int64(l.Every) / 2; half > 0 && (since/half)%2 == 1 {
		return 1
	}
	return l.Times
}

// rate is all that comes in a second.
func (d *Drawn) rate() float64 {
	r := d.types[len(d.types)-1]
	for i := range d.day.Loads {
		r *= factor(&d.day.Loads[i], d.now)
	}
	return r
}

// Next implements Source.
func (d *Drawn) Next() (Asking, bool) {
	for len(d.queue) == 0 {
		if d.now >= int64(d.day.Length) {
			return Asking{}, false
		}
		at := d.now + pause
		rate := d.rate()
		if rate > 0 {
			at = d.now + 1 + int64(d.chance.ExpFloat64()/rate*1e9)
		}
		if d.clump(at) {
			continue
		}
		d.now = at
		if rate > 0 && at < int64(d.day.Length) {
			d.queue = append(d.queue, d.draw(pick(d.dests, d.chance)))
		}
	}
	a := d.queue[0]
	d.queue = d.queue[1:]
	return a, true
}

// clump draws the earliest clump that comes before a time.
func (d *Drawn) clump(before int64) bool {
	first := -1
	for i := range d.day.Loads {
		l := &d.day.Loads[i]
		if l.Clump > 0 && d.clumpAt[i] <= before && d.clumpAt[i] < int64(d.day.Length) &&
			(first < 0 || d.clumpAt[i] < d.clumpAt[first]) {
			first = i
		}
	}
	if first < 0 {
		return false
	}
	l := &d.day.Loads[first]
	d.now = max(d.now, d.clumpAt[first])
	dest := pick(d.dests, d.chance)
	for range l.Clump {
		d.queue = append(d.queue, d.draw(dest))
	}
	if d.clumpAt[first] += int64(l.Every); l.Every == 0 || d.clumpAt[first] >= int64(l.At+l.For) {
		d.clumpAt[first] = math.MaxInt64
	}
	return true
}

// draw draws one asking of now for a destination.
func (d *Drawn) draw(dest int) Asking {
	typ := pick(d.types, d.chance)
	t := &d.day.Types[typ]
	a := Asking{At: d.now, Deadline: d.now + int64(t.MaxAge), Type: int32(typ), Dest: int32(dest),
		Work: int64(float64(t.Work) * math.Exp(t.Sigma*d.chance.NormFloat64()))}
	x := d.chance.Float64()
	for i, o := range d.day.Owners {
		if a.Owner = int32(i); x < o.Share {
			break
		}
		x -= o.Share
	}
	for i := range d.day.Loads { // of what a greedy customer adds, all is its own
		l := &d.day.Loads[i]
		if f := factor(l, d.now); l.Greedy != "" && f > 1 && d.chance.Float64() < 1-1/f {
			a.Owner = int32(
				slices.IndexFunc(d.day.Owners, func(o scenario.Customer) bool { return o.Name == l.Greedy }),
			)
		}
	}
	if t.Keys > 0 {
		a.Key = 1 + d.chance.Uint64N(uint64(t.Keys))
	}
	return a
}

// pick draws an index by summed up weights.
func pick(sums []float64, r *rand.Rand) int {
	x := r.Float64() * sums[len(sums)-1]
	i, _ := slices.BinarySearch(sums, x)
	return min(i, len(sums)-1)
}
