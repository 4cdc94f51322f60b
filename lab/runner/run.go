// Package runner simulates scenarios with many seeds, in parallel, and collects the results.
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
	minLatency    = int64(1e5)  // ns; shorter latencies are recorded as this
	maxLatency    = int64(1e12) // ns
	latencyDigits = 3
)

// Percentiles lists the percentiles of latency that reports show. Latency is the time from a client's first
// request for an event until its delivery.
var Percentiles = []float64{50, 90, 99, 99.9}

// SecondStats holds the statistics of one simulated second.
type SecondStats struct {
	Start        int64     `json:"at"`      // s, from the start of the run
	Utility      float64   `json:"utility"` // share of the utility requested in this second that was delivered
	Outcomes     [9]int64  `json:"outcomes"`
	Offered      []int64   `json:"offered"` // calls, by destination kind
	Refused      []int64   `json:"refused"`
	ActiveEvents int       `json:"held"`
	LatencyMs    []float64 `json:"latency_ms,omitempty"` // by Percentiles, of the events delivered in this second
}

// Result holds the results of one run. Seed determines the destinations, the requests and the faults; NoiseSeed
// determines all other randomness.
type Result struct {
	Seed      uint64          `json:"seed"`
	NoiseSeed uint64          `json:"luck"`
	Summary   checker.Summary `json:"sum"`
	Stats     simulator.Stats `json:"stats"`
	Overloads int             `json:"falls"`
	LatencyMs []float64       `json:"latency_ms"` // by Percentiles
	Seconds   []SecondStats   `json:"seconds,omitempty"`
	TraceHash string          `json:"trace,omitempty"` // SHA-256 of the trace, if there is one
}

// Run simulates one run. With detail the result contains the statistics of each second. trace may be nil.
func Run(
	sc *scenario.Scenario, seed, noiseSeed uint64, newScheduler simulator.SchedulerFactory, detail bool, trace io.Writer,
) Result {
	return runWithSource(sc, seed, noiseSeed, newScheduler, detail, trace, nil)
}

// runWithSource is like Run, but takes the arrivals from source; if it is nil, they are generated from the seed.
func runWithSource(
	sc *scenario.Scenario, seed, noiseSeed uint64, newScheduler simulator.SchedulerFactory, detail bool, trace io.Writer,
	source workload.Source,
) Result {
	sim := simulator.New(sc, seed, noiseSeed, newScheduler, trace)
	if source != nil {
		sim.SetSource(source)
	}
	all := hdrhistogram.New(minLatency, maxLatency, latencyDigits)
	second := hdrhistogram.New(minLatency, maxLatency, 2)
	rules := sim.Checker()
	rules.OnDelivery = func(typ int, latency int64) {
		all.RecordValue(max(latency, minLatency))
		if detail {
			second.RecordValue(max(latency, minLatency))
		}
	}
	r := Result{Seed: seed, NoiseSeed: noiseSeed}
	if detail {
		var outcomes [9]int64
		offered, refused := make([]int64, len(sc.DestinationKinds)), make([]int64, len(sc.DestinationKinds))
		sim.OnSecond(func(sim *simulator.Simulation) {
			s := SecondStats{Start: sim.Now()/1e9 - 1, ActiveEvents: sim.EventsHeld(), LatencyMs: percentiles(second)}
			second.Reset()
			for i := range outcomes {
				s.Outcomes[i], outcomes[i] = rules.OutcomeCounts[i]-outcomes[i], rules.OutcomeCounts[i]
			}
			dests := sim.Destinations()
			for i := range offered {
				s.Offered, offered[i] = append(s.Offered, dests.Offered[i]-offered[i]), dests.Offered[i]
				s.Refused, refused[i] = append(s.Refused, dests.Refused[i]-refused[i]), dests.Refused[i]
			}
			r.Seconds = append(r.Seconds, s)
		})
	}
	r.Summary = sim.Run()
	r.Stats, r.Overloads, r.LatencyMs = sim.Stats, len(sim.Destinations().Overloads), percentiles(all)
	for i, u := range rules.UtilityPerSecond() {
		if i < len(r.Seconds) {
			r.Seconds[i].Utility = u
		}
	}
	return r
}

func percentiles(h *hdrhistogram.Histogram) (ms []float64) {
	for _, q := range Percentiles {
		ms = append(ms, float64(h.ValueAtQuantile(q))/1e6)
	}
	return ms
}

// TraceHash simulates one run and returns the SHA-256 of its trace.
func TraceHash(sc *scenario.Scenario, seed, noiseSeed uint64, newScheduler simulator.SchedulerFactory) string {
	h := sha256.New()
	Run(sc, seed, noiseSeed, newScheduler, false, h)
	return hex.EncodeToString(h.Sum(nil))
}

// Variant is a policy, with its scenario, that is compared with others.
type Variant struct {
	Name         string
	Scenario     *scenario.Scenario
	NewScheduler simulator.SchedulerFactory
	NoiseSeed    uint64
}

// NewVariant returns a variant of the policy with the given name.
func NewVariant(name string, sc *scenario.Scenario, noiseSeed uint64) (Variant, error) {
	newScheduler, err := policy.Find(name)
	return Variant{Name: name, Scenario: sc, NewScheduler: newScheduler, NoiseSeed: noiseSeed}, err
}

// RunAll simulates each variant with each seed, in parallel on all cores, and returns the results by variant and
// seed. Each run stays on one goroutine, so the number of cores does not affect the results. With detail, the
// results of the first seed contain the statistics of each second. progress may be nil; its calls never overlap.
func RunAll(
	ctx context.Context,
	variants []Variant,
	seeds []uint64,
	detail bool,
	progress func(done, total int),
) ([][]Result, error) {
	results := make([][]Result, len(variants))
	for i := range results {
		results[i] = make([]Result, len(seeds))
	}
	type job struct{ variant, seed int }
	jobs := make(chan job)
	var wg sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for range min(runtime.GOMAXPROCS(0), len(variants)*len(seeds)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range jobs {
				v := &variants[j.variant]
				r := Run(v.Scenario, seeds[j.seed], v.NoiseSeed, v.NewScheduler, detail && j.seed == 0, nil)
				mu.Lock()
				results[j.variant][j.seed] = r
				if done++; progress != nil {
					progress(done, len(variants)*len(seeds))
				}
				mu.Unlock()
			}
		}()
	}
	var err error
feed:
	for seed := range seeds { // seed by seed, so that cancellation cuts all variants alike
		for variant := range variants {
			select {
			case jobs <- job{variant, seed}:
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

// Seeds returns n consecutive seeds.
func Seeds(first uint64, n int) (seeds []uint64) {
	for i := range n {
		seeds = append(seeds, first+uint64(i))
	}
	return seeds
}

// MetricValues returns the value of a metric for each result.
func MetricValues(results []Result, metric func(*Result) float64) (values []float64) {
	for i := range results {
		values = append(values, metric(&results[i]))
	}
	return values
}

// G is the score that runs are compared by, see checker.Summary.
func G(r *Result) float64 { return r.Summary.G }

// CountViolations returns the number of rule violations in all results and a description of the first.
func CountViolations(results []Result) (n int, first string) {
	for i := range results {
		n += results[i].Summary.ViolationCount
		if first == "" && len(results[i].Summary.Violations) > 0 {
			first = fmt.Sprintf("seed %d: %s", results[i].Seed, results[i].Summary.Violations[0])
		}
	}
	return n, first
}

// PairedDifference returns the mean difference of a metric, b minus a, over the pairs of runs with equal seeds.
func PairedDifference(a, b []Result, metric func(*Result) float64) stat.Interval {
	return stat.PairedDifference(MetricValues(a, metric), MetricValues(b, metric), 1)
}

// IsReproducible simulates a run twice and reports whether the two traces are identical.
func IsReproducible(sc *scenario.Scenario, seed uint64, newScheduler simulator.SchedulerFactory) bool {
	var a, b bytes.Buffer
	Run(sc, seed, 0, newScheduler, false, &a)
	Run(sc, seed, 0, newScheduler, false, &b)
	return bytes.Equal(a.Bytes(), b.Bytes())
}
