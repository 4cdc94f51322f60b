package loadgen

import (
	"context"
	"math"
	"time"

	"jaspersill/lab/report"
)

func nonNegativeSqrt(x float64) float64 { return math.Sqrt(max(0, x)) }

const (
	kneeTolerance = 1.05 // the search ends when the lowest failing rate is within this factor of the best sustained one
	kneeMaxSteps  = 40
	kneePause     = 500 * time.Millisecond // between two steps
)

// Sustained reports whether the node kept up with the offered rate: more than 98% of it was sent, no request
// failed or was declined, and the p99 latency did not exceed maxP99.
func Sustained(l *report.LoadResult, maxP99 time.Duration) bool {
	return l.Failed == 0 && l.Declined == 0 && l.SentRate > 0.98*l.OfferedRate && l.LatencyMs[2] <= float64(maxP99)/1e6
}

// FindKnee searches for the highest rate that is sustained with a p99 latency of at most maxP99. It doubles the
// plan's rate until a step fails and then bisects on a logarithmic scale between the highest sustained and the
// lowest failing rate. It returns every step. If accept is set, it is asked after each sustained step whether all
// further conditions hold too.
func FindKnee(
	ctx context.Context,
	p Plan,
	maxP99 time.Duration,
	accept func() bool,
) (best float64, steps []report.LoadResult, err error) {
	sustained, failing := 0.0, 0.0
	for range kneeMaxSteps {
		p.EndRate = 0
		l, err := Run(ctx, &p)
		if err != nil {
			return sustained, steps, err
		}
		steps = append(steps, l)
		if Sustained(&l, maxP99) && (accept == nil || accept()) {
			sustained = p.Rate
		} else {
			failing = p.Rate
		}
		switch {
		case failing == 0:
			p.Rate *= 2
		case sustained == 0 && failing < 2:
			return 0, steps, nil
		case sustained == 0:
			p.Rate = failing / 2
		case failing/sustained <= kneeTolerance:
			return sustained, steps, nil
		default:
			p.Rate = math.Sqrt(sustained * failing)
		}
		if p.Rate > maxRate {
			return sustained, steps, nil
		}
		time.Sleep(kneePause)
	}
	return sustained, steps, nil
}
