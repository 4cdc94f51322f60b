// Package run plays scenarios many times and gathers what came of them.
package run

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
	latencyLeast  = int64(1e5)  // ns, the finest latency told apart
	latencyMost   = int64(1e12) // ns
	latencyDigits = 3
)

// Percentiles are the latencies that reports tell, from a client's first asking to the delivery.
var Percentiles = []float64{50, 90, 99, 99.9}

// Second is one second of a run.
type Second struct {
	At       int64     `json:"at"`      // s
	Utility  float64   `json:"utility"` // share delivered of what was asked for in it
	Outcomes [9]int64  `json:"outcomes"`
	Offered  []int64   `json:"offered"` // calls, by kind of partner
	Refused  []int64   `json:"refused"`
	Held     int       `json:"held"`
	Latency  []float64 `json:"latency_ms,omitempty"` // by Percentiles, of what was delivered in it
}

// Result is one run.
type Result struct {
	Seed    uint64          `json:"seed"`
	Luck    uint64          `json:"luck"`
	Sum     checker.Summary `json:"sum"`
	Stats   simulator.Stats `json:"stats"`
	Falls   int             `json:"falls"`
	Latency []float64       `json:"latency_ms"` // by Percentiles
	Seconds []Second        `json:"seconds,omitempty"`
	Trace   string          `json:"trace,omitempty"` // SHA-256 of the trace, where one was kept
}

// One plays one run. With detail it keeps each second; trace may be nil.
func One(
	day *scenario.Scenario, seed, luck uint64, launch simulator.SchedulerFactory, detail bool, trace io.Writer,
) Result {
	return one(day, seed, luck, launch, detail, trace, nil)
}

// one is One with arrivals from a source, or drawn where it is nil.
func one(
	day *scenario.Scenario, seed, luck uint64, launch simulator.SchedulerFactory, detail bool, trace io.Writer,
	source workload.Source,
) Result {
	w := simulator.New(day, seed, luck, launch, trace)
	if source != nil {
		w.SetSource(source)
	}
	all := hdrhistogram.New(latencyLeast, latencyMost, latencyDigits)
	now := hdrhistogram.New(latencyLeast, latencyMost, 2)
	l := w.Checker()
	l.OnDelivery = func(typ int, took int64) {
		all.RecordValue(max(took, latencyLeast))
		if detail {
			now.RecordValue(max(took, latencyLeast))
		}
	}
	r := Result{Seed: seed, Luck: luck}
	if detail {
		var how [9]int64
		offered, refused := make([]int64, len(day.DestinationKinds)), make([]int64, len(day.DestinationKinds))
		w.OnSecond(func(w *simulator.Simulation) {
			s := Second{At: w.Now()/1e9 - 1, Held: w.EventsHeld(), Latency: percentiles(now)}
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
	r.Sum = w.Run()
	r.Stats, r.Falls, r.Latency = w.Stats, len(w.Destinations().Falls), percentiles(all)
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

// TraceOf plays one run and returns its trace's SHA-256.
func TraceOf(day *scenario.Scenario, seed, luck uint64, launch simulator.SchedulerFactory) string {
	h := sha256.New()
	One(day, seed, luck, launch, false, h)
	return hex.EncodeToString(h.Sum(nil))
}

// Set is a policy or version to play.
type Set struct {
	Name   string
	Day    *scenario.Scenario
	Launch simulator.SchedulerFactory
	Luck   uint64
}

// Named is a policy played on a scenario.
func Named(name string, day *scenario.Scenario, luck uint64) (Set, error) {
	launch, err := policy.Find(name)
	return Set{Name: name, Day: day, Launch: launch, Luck: luck}, err
}

// All plays each set on each seed, on as many cores as there are, and hands the results back in order. Each
// run is one goroutine's alone, so cores change nothing but the time. progress may be nil; it is called one
// at a time.
func All(
	ctx context.Context,
	sets []Set,
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
				r := One(s.Day, seeds[j.seed], s.Luck, s.Launch, detail && j.seed == 0, nil)
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

// Figure takes one figure of each result.
func Figure(results []Result, of func(*Result) float64) (values []float64) {
	for i := range results {
		values = append(values, of(&results[i]))
	}
	return values
}

// G is the figure that runs are compared by.
func G(r *Result) float64 { return r.Sum.G }

// Broken counts the broken rules of some results and tells the first.
func Broken(results []Result) (n int, first string) {
	for i := range results {
		n += results[i].Sum.ViolationCount
		if first == "" && len(results[i].Sum.Violations) > 0 {
			first = fmt.Sprintf("seed %d: %s", results[i].Seed, results[i].Sum.Violations[0])
		}
	}
	return n, first
}

// Compare is the difference that b makes beside a, pair by pair.
func Compare(a, b []Result, of func(*Result) float64) stat.Interval {
	return stat.PairedDifference(Figure(a, of), Figure(b, of), 1)
}

// Same plays a run twice and tells whether both traces are the same, byte for byte.
func Same(day *scenario.Scenario, seed uint64, launch simulator.SchedulerFactory) bool {
	var a, b bytes.Buffer
	One(day, seed, 0, launch, false, &a)
	One(day, seed, 0, launch, false, &b)
	return bytes.Equal(a.Bytes(), b.Bytes())
}
