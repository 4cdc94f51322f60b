package main

import (
	"cmp"
	"errors"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"jaspersill/lab/load"
	"jaspersill/lab/scenario"
	"jaspersill/lab/workload"
)

const mostOffered = 5_000_000 // arrivals of a recording that are offered; memory stays bounded

// recorded has a plan offer the arrivals of a recording.
func recorded(plan *load.Plan, name string) (*scenario.Scenario, error) {
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
	plan.Mix, plan.Weights = mix(r.Scenario)
	dests := len(plan.Mix) / len(r.Scenario.Types)
	for a, more := r.Next(); more && len(plan.Times) < mostOffered; a, more = r.Next() {
		plan.Times = append(plan.Times, time.Duration(a.At))
		plan.Picks = append(plan.Picks, int(a.Type)*dests+int(a.Dest))
	}
	if r.Err != nil {
		return nil, r.Err
	}
	if len(plan.Times) == 0 {
		return nil, errors.New(name + ": want arrivals, got none")
	}
	plan.For = plan.Times[len(plan.Times)-1] + time.Second
	plan.Rate, plan.To = float64(len(plan.Times))/plan.For.Seconds(), 0
	return r.Scenario, nil
}

// listener gathers what came of what was offered.
type listener struct {
	day  *scenario.Scenario
	plan *load.Plan
	mu   sync.Mutex
	list []offered
}

type offered struct {
	due, took    time.Duration
	status, pick int
}

func (l *listener) hear(due, took time.Duration, status, pick int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.list) < mostOffered {
		l.list = append(l.list, offered{due, took, status, pick})
	}
}

// write writes the recording.
func (l *listener) write(name string) error {
	slices.SortStableFunc(l.list, func(a, b offered) int { return cmp.Compare(a.due, b.due) })
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	w, err := workload.NewWriter(file, l.day)
	if err != nil {
		return errors.Join(err, file.Close())
	}
	dests := len(l.plan.Mix) / len(l.day.Types)
	for _, o := range l.list {
		t := &l.day.Types[o.pick/dests]
		a := workload.Arrival{At: int64(o.due), Deadline: int64(o.due) + int64(t.MaxAge), Work: int64(t.Work),
			Type: int32(o.pick / dests), Dest: int32(o.pick % dests)}
		if err := w.Write(a, "status "+strconv.Itoa(o.status), int64(o.took)); err != nil {
			return errors.Join(err, file.Close())
		}
	}
	return errors.Join(w.Close(), file.Close())
}
