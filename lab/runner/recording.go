package runner

import (
	"cmp"
	"io"
	"slices"

	"jaspersill/lab/arrival"
	"jaspersill/lab/scenario"
	"jaspersill/lab/world"
)

// Record simulates one run and writes each arrival with its result, in the order of arrival.
func Record(sc *scenario.Scenario, seed, noiseSeed uint64, launch world.Launch, to io.Writer) error {
	type record struct {
		arrival arrival.Asking
		result  string
		latency int64
	}
	var records []record
	w := world.New(sc, seed, noiseSeed, launch, nil)
	w.Recorded(
		func(a arrival.Asking, result string, latency int64) {
			records = append(records, record{a, result, latency})
		},
	)
	w.Run()
	slices.SortStableFunc(records, func(a, b record) int { return cmp.Compare(a.arrival.Number, b.arrival.Number) })
	out, err := arrival.NewWriter(to, sc)
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
	launch world.Launch,
	trace io.Writer,
) (Result, *scenario.Scenario, error) {
	r, err := arrival.Open(from)
	if err != nil {
		return Result{}, nil, err
	}
	defer r.Close()
	result := runWithSource(r.Day, seed, noiseSeed, launch, true, trace, r)
	return result, r.Day, r.Err
}
