// Package run plays scenarios many times and gathers what came of them.
package runner

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"runtime"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jaspersill/lab/checker"
	"jaspersill/lab/policy"
	"jaspersill/lab/scenario"
	"jaspersill/lab/simulator"
	"jaspersill/lab/stat"
	"jaspersill/lab/workload"
)

const (
	minLatency    = int64(1e5)  // ns, the finest latency told apart
	maxLatency    = int64(1e12) // ns
	latencyDigits = 3
)

// Percentiles are the latencies that reports tell, from a client's first asking to the delivery.
var Percentiles = []float64{50, 90, 99, 99.9}

// SecondStats is one second of a run.
type SecondStats struct {
	Start        int64     `json:"at"`      // s
	Utility      float64   `json:"utility"` // share delivered of what was asked for in it
	Outcomes     [9]int64  `json:"outcomes"`
	Offered      []int64   `json:"offered"` // calls, by kind of partner
	Refused      []int64   `json:"refused"`
	ActiveEvents int       `json:"held"`
	LatencyMs    []float64 `json:"latency_ms,omitempty"` // by Percentiles, of what was delivered in it
}

// Result is one run.
type Result struct {
	Seed      uint64          `json:"seed"`
	NoiseSeed uint64          `json:"luck"`
	Summary   checker.Summary `json:"sum"`
	Stats     simulator.Stats `json:"stats"`
	Overloads int             `json:"falls"`
	LatencyMs []float64       `json:"latency_ms"` // by Percentiles
	Seconds   []SecondStats   `json:"seconds,omitempty"`
	TraceHash string          `json:"trace,omitempty"` // SHA-256 of the trace, where one was kept
}

// Run plays one run. With detail it keeps each second; trace may be nil.
func Run(
	day *scenario.Scenario, seed, luck uint64, launch simulator.SchedulerFactory, detail bool, trace io.Writer,
) Result {
	return runWithSource(day, seed, luck, launch, detail, trace, nil)
}

// runWithSource is One with arrivals from a source, or drawn where it is nil.
func runWithSource(
	day *scenario.Scenario, seed, luck uint64, launch simulator.SchedulerFactory, detail bool, trace io.Writer,
	source workload.Source,
) Result {
	w := simulator.New(day, seed, luck, launch, trace)
	if source != nil {
		w.SetSource(source)
	}
	all := hdrhistogram.New(minLatency, maxLatency, latencyDigits)
	now := hdrhistogram.New(minLatency, maxLatency, 2)
	l := w.Checker()
	l.OnDelivery = func(typ int, took int64) {
		all.RecordValue(max(took, minLatency))
		if detail {
			now.RecordValue(max(took, minLatency))
		}
	}
	r := Result{Seed: seed, NoiseSeed: luck}
	if detail {
		var how [9]int64
		offered, refused := make([]int64, len(day.DestinationKinds)), make([]int64, len(day.DestinationKinds))
		w.OnSecond(func(w *simulator.Simulation) {
			s := SecondStats{Start: w.Now()/1e9 - 1, ActiveEvents: w.EventsHeld(), LatencyMs: percentiles(now)}
			now.Reset()
			for i := range how {
				s.Outcomes[i], how[i] = l.OutcomeCounts[i]-how[i], l.OutcomeCounts[i]
			}
			p := w.Destinations()
			for i := range offered {
				s.Offered, offered[i] = append(s.Offered, p.Offered[i]-offered[i]), p.Offered[i]
				s.Refused, refused[i] = append(s.Refused, p.Refused[i]-refused[i]), p.Refused[i]
			}
			r.Seconds = append(r.Seconds, s)
		})
	}
	r.Summary = w.Run()
	r.Stats, r.Overloads, r.LatencyMs = w.Stats, len(w.Destinations().Overloads), percentiles(all)
	for i, u := range l.UtilityPerSecond() {
		if i < len(r.Seconds) {
			r.Seconds[i].Utility = u
		}
	}
	return r
}

func percentiles(h *hdrhistogram.Histogram) (ms []float64) {
	for _, p := range Percentiles {
		ms = append(ms, float64(h.ValueAtQuantile(p))/1e6)
	}
	return ms
}

// TraceHash plays one run and returns its trace's SHA-256.
func TraceHash(day *scenario.Scenario, seed, luck uint64, launch simulator.SchedulerFactory) string {
	h := sha256.New()
	Run(day, seed, luck, launch, false, h)
	return hex.EncodeToString(h.Sum(nil))
}

// Variant is a policy or version to play.
type Variant struct {
	Name         string
	Scenario     *scenario.Scenario
	NewScheduler simulator.SchedulerFactory
	NoiseSeed    uint64
}

// NewVariant is a policy played on a scenario.
func NewVariant(name string, day *scenario.Scenario, luck uint64) (Variant, error) {
	launch, err := policy.Find(name)
	return Variant{Name: name, Scenario: day, NewScheduler: launch, NoiseSeed: luck}, err
}

// RunAll plays each set on each seed, on as many cores as there are, and hands the results back in order. Each
// run is one goroutine's alone, so cores change nothing but the time. progress may be nil; it is called one
// at a time.
func RunAll(
	ctx context.Context,
	sets []Variant,
	seeds []uint64,
	detail bool,
	progress func(done, of int),
) ([][]Result, error) {
	results := make([][]Result, len(sets))
	for i := range results {
		results[i] = make([]Result, len(seeds))
	}
	type job struct{ set, seed int }
	jobs := make(chan job)
	var wg sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for range min(runtime.GOMAXPROCS(0), len(sets)*len(seeds)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range jobs {
				s := &sets[j.set]
				r := Run(s.Scenario, seeds[j.seed], s.NoiseSeed, s.NewScheduler, detail && j.seed == 0, nil)
				mu.Lock()
				results[j.set][j.seed] = r
				if done++; progress != nil {
					progress(done, len(sets)*len(seeds))
				}
				mu.Unlock()
			}
		}()
	}
	var err error
feed:
	for seed := range seeds { // all sets of a seed together: what is cut off is cut off for all
		for set := range sets {
			select {
			case jobs <- job{set, seed}:
			case <-ctx.Done():
				err = ctx.Err()
				break feed
			}
		}
	}
	close(jobs)
	wg.Wait()
	return results, err
}

// Seeds are n seeds from a first one.
func Seeds(first uint64, n int) (seeds []uint64) {
	for i := range n {
		seeds = append(seeds, first+uint64(i))
	}
	return seeds
}

// MetricValues takes one figure of each result.
func MetricValues(results []Result, of func(*Result) float64) (values []float64) {
	for i := range results {
		values = append(values, of(&results[i]))
	}
	return values
}

// G is the figure that runs are compared by.
func G(r *Result) float64 { return r.Summary.G }

// CountViolations counts the broken rules of some results and tells the first.
func CountViolations(results []Result) (n int, first string) {
	for i := range results {
		n += results[i].Summary.ViolationCount
		if first == "" && len(results[i].Summary.Violations) > 0 {
			first = fmt.Sprintf("seed %d: %s", results[i].Seed, results[i].Summary.Violations[0])
		}
	}
	return n, first
}

// PairedDifference is the difference that b makes beside a, pair by pair.
func PairedDifference(a, b []Result, of func(*Result) float64) stat.Interval {
	return stat.PairedDifference(MetricValues(a, of), MetricValues(b, of), 1)
}

// IsReproducible plays a run twice and tells whether both traces are the same, byte for byte.
func IsReproducible(day *scenario.Scenario, seed uint64, launch simulator.SchedulerFactory) bool {
	var a, b bytes.Buffer
	Run(day, seed, 0, launch, false, &a)
	Run(day, seed, 0, launch, false, &b)
	return bytes.Equal(a.Bytes(), b.Bytes())
}
