package node

import (
	"time"

	"golang.org/x/time/rate"

	"jaspersill/metrics"
)

// Limits of the requests that lead to no accepted event: invalid and refused ones, and checks of readiness. A client that sends
// them at full speed would otherwise take the CPU time of all others.
const (
	ownUnproductiveRate     = 5 // a second on one connection, which are answered at once
	ownUnproductiveBurst    = 8
	sharedUnproductiveRate  = 1000 // a second on all connections that exceed their own rate
	sharedUnproductiveBurst = 500
	maxThrottlePause        = 500 * time.Millisecond // a response is held back no longer: clients are owed one within 3 s
)

var throttledResponses = metrics.NewCounter("jaspersill_throttled_responses_total",
	"Responses that were held back, as their connection sent too many invalid or refused requests.")

// throttle holds back the responses to unproductive requests, and with them the next request of the same connection.
type throttle struct {
	shared *rate.Limiter
}

func newThrottle() *throttle {
	return &throttle{shared: rate.NewLimiter(sharedUnproductiveRate, sharedUnproductiveBurst)}
}

// pause waits until a response to an unproductive request may be written. A connection that closes after it has no rate of its
// own, because its client can open another one at once. The pause ends early if the connection is evicted.
func (t *throttle) pause(conn *clientConn, closes bool) {
	now := time.Now()
	if !closes && conn.unproductive.AllowN(now, 1) {
		return
	}
	delay := t.reserve(now)
	if delay <= 0 {
		return
	}
	throttledResponses.Inc()
	resume := conn.startThrottling()
	if resume == nil {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-resume:
	case <-timer.C:
	}
	conn.endThrottling()
}

// reserve returns how long a response waits for its turn. One that would wait too long takes no turn, so that a flood does not hold back
// others after its end.
func (t *throttle) reserve(now time.Time) time.Duration {
	turn := t.shared.ReserveN(now, 1)
	delay := turn.DelayFrom(now)
	if delay > maxThrottlePause {
		turn.CancelAt(now)
		return maxThrottlePause
	}
	return delay
}

// startThrottling marks the connection as throttled. It returns a channel that is closed when it is evicted, or nil if it was
// evicted already.
func (c *clientConn) startThrottling() <-chan struct{} {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.evicted {
		return nil
	}
	c.throttled, c.stateSince, c.resume = true, time.Now(), make(chan struct{})
	return c.resume
}

func (c *clientConn) endThrottling() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.throttled, c.resume = false, nil
}
