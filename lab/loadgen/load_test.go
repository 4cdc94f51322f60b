package loadgen

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// newTestServer starts a server that answers with the given status and stalls between from and to after its start.
func newTestServer(t *testing.T, status func(n int64) int, from, to time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	var n atomic.Int64
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if elapsed := time.Since(start); elapsed > from && elapsed < to {
			time.Sleep(to - elapsed)
		}
		w.WriteHeader(status(n.Add(1)))
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

func newTestPlan(address string, rate float64) *Plan {
	return &Plan{Address: address, Rate: rate, Duration: time.Second, Connections: 8, Seed: 1, CumulativeWeights: []float64{1},
		Mix: []Request{{Kind: "status", Owner: "all", Timeout: time.Second, Body: []byte("x")}}}
}

// Guards against coordinated omission: while the server stalls for 400 ms, events that fall due have to wait, and
// the wait must show in their latency.
func TestLatencyIsMeasuredFromDueTime(t *testing.T) {
	address := newTestServer(t, func(int64) int { return 202 }, 300*time.Millisecond, 700*time.Millisecond)
	l, err := Run(context.Background(), newTestPlan(address, 500))
	if err != nil {
		t.Fatal(err)
	}
	if l.Acked < 450 || l.Failed > 0 {
		t.Errorf("want at least 450 of 500 events accepted and none failed, got %+v", l)
	}
	if l.LatencyMs[1] < 200 { // about 40% of the events fell due during the stall, so p90 must show it
		t.Errorf("p90 is %.1f ms, want at least 200 ms after a stall of 400 ms", l.LatencyMs[1])
	}
}

func TestDeclinedAndFailedAreCounted(t *testing.T) {
	address := newTestServer(t, func(n int64) int { return []int{202, 503, 500}[n%3] }, 0, 0)
	l, err := Run(context.Background(), newTestPlan(address, 300))
	if err != nil || l.Acked == 0 || l.Declined == 0 || l.Failed == 0 || Sustained(&l, time.Minute) {
		t.Errorf("want accepted, declined and failed requests, and no sustained rate, got %+v, %v", l, err)
	}
}

func TestValidateRejectsNonLoopbackAndOutOfRange(t *testing.T) {
	for address, want := range map[string]string{"10.0.0.1:80": "loopback", "localhost:80": "loopback",
		"[2001:db8::1]:80": "loopback", "127.0.0.1": "HOST:PORT"} {
		if _, err := Run(context.Background(), newTestPlan(address, 1)); err == nil ||
			!strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", address, err)
		}
	}
	for _, change := range []func(*Plan){func(p *Plan) { p.Rate = 1e9 }, func(p *Plan) { p.Connections = 0 },
		func(p *Plan) { p.Duration = 24 * time.Hour }, func(p *Plan) { p.Mix = nil }} {
		p := newTestPlan("127.0.0.1:9", 1)
		change(p)
		if err := p.Validate(); err == nil {
			t.Errorf("invalid plan was accepted: %+v", p)
		}
	}
}

// A ramp from 100 to 300 events per second over 2 s has to have 400 due times, in ascending order.
func TestRampOffersIntegralOfRate(t *testing.T) {
	p := newTestPlan("127.0.0.1:9", 100)
	p.EndRate, p.Duration = 300, 2*time.Second
	n := 0
	for p.dueTime(n) < p.Duration {
		if n > 0 && p.dueTime(n) <= p.dueTime(n-1) {
			t.Fatalf("event %d is due at %v, not after its predecessor at %v", n, p.dueTime(n), p.dueTime(n-1))
		}
		n++
	}
	if n < 395 || n > 405 {
		t.Errorf("%d events are due, want 400", n)
	}
}

func TestFindKnee(t *testing.T) {
	limit := int64(0)
	var second, count atomic.Int64
	address := newTestServer(t, func(int64) int { // declines all but the first 400 requests of each second
		if now := time.Now().Unix(); second.Swap(now) != now {
			count.Store(0)
		}
		if count.Add(1) > limit {
			return 503
		}
		return 202
	}, 0, 0)
	limit = 400
	p := newTestPlan(address, 100)
	p.Duration = 300 * time.Millisecond
	best, steps, err := FindKnee(context.Background(), *p, 500*time.Millisecond, nil)
	if err != nil || best < 400 || best > 4000 || len(steps) < 3 {
		t.Errorf("found %.0f/s after %d steps: %v", best, len(steps), err)
	}
}
