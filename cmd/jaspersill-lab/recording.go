package main

import (
	"cmp"
	"errors"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"jaspersill/lab/loadgen"
	"jaspersill/lab/scenario"
	"jaspersill/lab/workload"
)

const maxArrivals = 5_000_000 // the arrivals that are read or recorded at most, which bounds the memory

// loadRecording makes a plan submit the arrivals of a recording. It returns the scenario of the recording.
func loadRecording(plan *loadgen.Plan, name string) (*scenario.Scenario, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	r, err := workload.Open(file)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	plan.Mix, plan.CumulativeWeights = requestMix(r.Scenario)
	dests := len(plan.Mix) / len(r.Scenario.Types)
	for a, more := r.Next(); more && len(plan.ArrivalTimes) < maxArrivals; a, more = r.Next() {
		plan.ArrivalTimes = append(plan.ArrivalTimes, time.Duration(a.At))
		plan.MixIndices = append(plan.MixIndices, int(a.Type)*dests+int(a.Dest))
	}
	if r.Err != nil {
		return nil, r.Err
	}
	if len(plan.ArrivalTimes) == 0 {
		return nil, errors.New(name + ": the recording contains no arrivals")
	}
	plan.Duration = plan.ArrivalTimes[len(plan.ArrivalTimes)-1] + time.Second
	plan.Rate, plan.EndRate = float64(len(plan.ArrivalTimes))/plan.Duration.Seconds(), 0
	return r.Scenario, nil
}

// resultRecorder collects the results of the submitted events for a recording.
type resultRecorder struct {
	scenario *scenario.Scenario
	plan     *loadgen.Plan
	mu       sync.Mutex
	results  []requestResult
}

type requestResult struct {
	due, latency     time.Duration
	status, mixIndex int
}

func (r *resultRecorder) record(due, latency time.Duration, status, mixIndex int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.results) < maxArrivals {
		r.results = append(r.results, requestResult{due, latency, status, mixIndex})
	}
}

// write writes the recording, in the order of the due times.
func (r *resultRecorder) write(name string) error {
	slices.SortStableFunc(r.results, func(a, b requestResult) int { return cmp.Compare(a.due, b.due) })
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	w, err := workload.NewWriter(file, r.scenario)
	if err != nil {
		return errors.Join(err, file.Close())
	}
	dests := len(r.plan.Mix) / len(r.scenario.Types)
	for _, o := range r.results {
		t := &r.scenario.Types[o.mixIndex/dests]
		a := workload.Arrival{At: int64(o.due), Deadline: int64(o.due) + int64(t.MaxAge), Work: int64(t.Work),
			Type: int32(o.mixIndex / dests), Dest: int32(o.mixIndex % dests)}
		if err := w.Write(a, "status "+strconv.Itoa(o.status), int64(o.latency)); err != nil {
			return errors.Join(err, file.Close())
		}
	}
	return errors.Join(w.Close(), file.Close())
}
