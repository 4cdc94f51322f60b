package runner

import (
	"cmp"
	"io"
	"slices"

	"jaspersill/lab/scenario"
	"jaspersill/lab/simulator"
	"jaspersill/lab/workload"
)

// Record plays one run and writes what arrived and what came of it, in the order of arrival.
func Record(day *scenario.Scenario, seed, luck uint64, launch simulator.SchedulerFactory, to io.Writer) error {
	type record struct {
		a    workload.Arrival
		end  string
		took int64
	}
	var records []record
	w := simulator.New(day, seed, luck, launch, nil)
	w.OnArrivalEnd(
		func(a workload.Arrival, end string, took int64) { records = append(records, record{a, end, took}) },
	)
	w.Run()
	slices.SortStableFunc(records, func(a, b record) int { return cmp.Compare(a.a.Number, b.a.Number) })
	out, err := workload.NewWriter(to, day)
	if err != nil {
		return err
	}
	for _, r := range records {
		if err := out.Write(r.a, r.end, r.took); err != nil {
			return err
		}
	}
	return out.Close()
}

// Replay plays a recording's arrivals again on its own day.
func Replay(
	from io.Reader,
	seed, luck uint64,
	launch simulator.SchedulerFactory,
	trace io.Writer,
) (Result, *scenario.Scenario, error) {
	r, err := workload.Open(from)
	if err != nil {
		return Result{}, nil, err
	}
	defer r.Close()
	result := runWithSource(r.Scenario, seed, luck, launch, true, trace, r)
	return result, r.Scenario, r.Err
}
