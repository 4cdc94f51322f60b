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

const maxArrivals = 5_000_000 // arrivals of a recording that are offered; memory stays bounded

// loadRecording has a plan offer the arrivals of a recording.
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
		return nil, errors.New(name + ": want arrivals, got none")
	}
	plan.Duration = plan.ArrivalTimes[len(plan.ArrivalTimes)-1] + time.Second
	plan.Rate, plan.EndRate = float64(len(plan.ArrivalTimes))/plan.Duration.Seconds(), 0
	return r.Scenario, nil
}

// resultRecorder gathers what came of what was offered.
type resultRecorder struct {
	day     *scenario.Scenario
	plan    *loadgen.Plan
	mu      sync.Mutex
	results []requestResult
}

type requestResult struct {
	due, took    time.Duration
	status, pick int
}

func (l *resultRecorder) record(due, took time.Duration, status, pick int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.results) < maxArrivals {
		l.results = append(l.results, requestResult{due, took, status, pick})
	}
}

// write writes the recording.
func (l *resultRecorder) write(name string) error {
	slices.SortStableFunc(l.results, func(a, b requestResult) int { return cmp.Compare(a.due, b.due) })
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	w, err := workload.NewWriter(file, l.day)
	if err != nil {
		return errors.Join(err, file.Close())
	}
	dests := len(l.plan.Mix) / len(l.day.Types)
	for _, o := range l.results {
		t := &l.day.Types[o.pick/dests]
		a := workload.Arrival{At: int64(o.due), Deadline: int64(o.due) + int64(t.MaxAge), Work: int64(t.Work),
			Type: int32(o.pick / dests), Dest: int32(o.pick % dests)}
		if err := w.Write(a, "status "+strconv.Itoa(o.status), int64(o.took)); err != nil {
			return errors.Join(err, file.Close())
		}
	}
	return errors.Join(w.Close(), file.Close())
}
