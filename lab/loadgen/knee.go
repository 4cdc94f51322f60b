package loadgen

import (
	"context"
	"math"
	"time"

	"jaspersill/lab/report"
)

func nonNegativeSqrt(x float64) float64 { return math.Sqrt(max(0, x)) }

const (
	kneeTolerance = 1.05 // the search ends when the rates that hold and that do not are so close
	kneeMaxSteps  = 40   // steps at most
	kneePause     = 500 * time.Millisecond
)

// Sustained tells whether a step of the search was borne: what was offered was sent, nothing failed or was
// declined, and p99 stayed under the bound.
func Sustained(l *report.LoadResult, p99 time.Duration) bool {
	return l.Failed == 0 && l.Declined == 0 && l.SentRate > 0.98*l.OfferedRate && l.LatencyMs[2] <= float64(p99)/1e6
}

// FindKnee searches the highest rate that is borne with p99 under a bound: it doubles from the plan's rate until
// one is not, and then halves the gap. All steps are returned; also is asked after each whether all else
// holds, and may be nil.
func FindKnee(
	ctx context.Context,
	p Plan,
	p99 time.Duration,
	also func() bool,
) (best float64, steps []report.LoadResult, err error) {
	good, bad := 0.0, 0.0
	for range kneeMaxSteps {
		p.EndRate = 0
		l, err := Run(ctx, &p)
		if err != nil {
			return good, steps, err
		}
		steps = append(steps, l)
		if Sustained(&l, p99) && (also == nil || also()) {
			good = p.Rate
		} else {
			bad = p.Rate
		}
		switch {
		case bad == 0:
			p.Rate *= 2
		case good == 0 && bad < 2:
			return 0, steps, nil
		case good == 0:
			p.Rate = bad / 2
		case bad/good <= kneeTolerance:
			return good, steps, nil
		default:
			p.Rate = math.Sqrt(good * bad)
		}
		if p.Rate > maxRate {
			return good, steps, nil
		}
		time.Sleep(kneePause)
	}
	return good, steps, nil
}
