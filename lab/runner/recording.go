package runner

import (
	"cmp"
	"io"
	"slices"

	"jaspersill/lab/scenario"
	"jaspersill/lab/simulator"
	"jaspersill/lab/workload"
)

// Record simulates one run and writes each arrival with its result, in the order of arrival.
func Record(sc *scenario.Scenario, seed, noiseSeed uint64, newScheduler simulator.SchedulerFactory, to io.Writer) error {
	type record struct {
		arrival workload.Arrival
		result  string
		latency int64
	}
	var records []record
	sim := simulator.New(sc, seed, noiseSeed, newScheduler, nil)
	sim.OnArrivalEnd(
		func(a workload.Arrival, result string, latency int64) {
			records = append(records, record{a, result, latency})
		},
	)
	sim.Run()
	slices.SortStableFunc(records, func(a, b record) int { return cmp.Compare(a.arrival.Number, b.arrival.Number) })
	out, err := workload.NewWriter(to, sc)
	if err != nil {
		return err
	}
	for _, r := range records {
		if err := out.Write(r.arrival, r.result, r.latency); err != nil {
			return err
		}
	}
	return out.Close()
}

// Replay simulates the recorded arrivals again, on the scenario that the recording contains.
func Replay(
	from io.Reader,
	seed, noiseSeed uint64,
	newScheduler simulator.SchedulerFactory,
	trace io.Writer,
) (Result, *scenario.Scenario, error) {
	r, err := workload.Open(from)
	if err != nil {
		return Result{}, nil, err
	}
	defer r.Close()
	result := runWithSource(r.Scenario, seed, noiseSeed, newScheduler, true, trace, r)
	return result, r.Scenario, r.Err
}
