package scheduler

const (
	staleMinIdle     = second / 10 // calls lost after a shorter idle time do not indicate dead connections
	staleAcksPerLoss = 3           // answers per lost call that clear idle connections of the suspicion
	staleMinLosses   = 3           // lost calls that indicate dead connections: a crash may cause one or two
	staleDuration    = 30 * second // idle connections are closed for this long after the last sign
	crowdedMinNodes  = 8           // fewer nodes do not use up an endpoint's connections with one idle connection each
)

// staleDetector infers from calls lost after an idle time that idle connections are dead. Otherwise each call that uses
// one of them would be lost too.
type staleDetector struct {
	losses, acks                      int
	lastLossAt, minIdle, crowdedUntil int64 // minIdle: shortest before a loss; crowdedUntil: until then failed connects are no outage
}

func (s *staleDetector) record(lost bool, idle, now int64) {
	switch {
	case !lost && idle >= s.minIdle:
		s.acks++
	case lost && idle >= staleMinIdle:
		if s.losses == 0 || now-s.lastLossAt > staleDuration {
			s.losses, s.acks, s.minIdle = 0, 0, idle
		}
		s.losses, s.lastLossAt, s.minIdle = s.losses+1, now, min(s.minIdle, idle)
	}
}

func (s *staleDetector) isDead(idle, now int64) bool {
	return s.losses >= staleMinLosses && staleAcksPerLoss*s.losses > s.acks && now-s.lastLossAt <= staleDuration &&
		idle >= s.minIdle
}
