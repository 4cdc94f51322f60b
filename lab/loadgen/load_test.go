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

// newTestServer answers all with a status; it stands still between two moments of its life.
func newTestServer(t *testing.T, status func(n int64) int, from, to time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	var n atomic.Int64
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if since := time.Since(began); since > from && since < to {
			time.Sleep(to - since)
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

// A node that stands still for 400 ms must show it: the events whose time came meanwhile waited for it.
func TestLatencyIsMeasuredFromDueTime(t *testing.T) {
	address := newTestServer(t, func(int64) int { return 202 }, 300*time.Millisecond, 700*time.Millisecond)
	l, err := Run(context.Background(), newTestPlan(address, 500))
	if err != nil {
		t.Fatal(err)
	}
	if l.Acked < 450 || l.Failed > 0 {
		t.Errorf("offered 500: %+v", l)
	}
	if l.LatencyMs[1] < 200 { // a third of the second's events came while it stood still: p90 must tell
		t.Errorf("p90 is %.1f ms, though it stood still for 400 ms", l.LatencyMs[1])
	}
}

func TestDeclinedAndFailedAreCounted(t *testing.T) {
	address := newTestServer(t, func(n int64) int { return []int{202, 503, 500}[n%3] }, 0, 0)
	l, err := Run(context.Background(), newTestPlan(address, 300))
	if err != nil || l.Acked == 0 || l.Declined == 0 || l.Failed == 0 || Sustained(&l, time.Minute) {
		t.Errorf("%+v, %v", l, err)
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
			t.Errorf("taken: %+v", p)
		}
	}
}

func TestRampOffersIntegralOfRate(t *testing.T) {
	p := newTestPlan("127.0.0.1:9", 100)
	p.EndRate, p.Duration = 300, 2*time.Second
	n := 0
	for p.dueTime(n) < p.Duration {
		if n > 0 && p.dueTime(n) <= p.dueTime(n-1) {
			t.Fatalf("event %d is due at %v, the one before at %v", n, p.dueTime(n), p.dueTime(n-1))
		}
		n++
	}
	if n < 395 || n > 405 {
		t.Errorf("%d events, want 400", n)
	}
}

func TestFindKnee(t *testing.T) {
	limit := int64(0)
	var at, count atomic.Int64
	address := newTestServer(t, func(int64) int { // over 400 in a second it declines
		if now := time.Now().Unix(); at.Swap(now) != now {
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
		t.Errorf("%.0f/s after %d steps: %v", best, len(steps), err)
	}
}
