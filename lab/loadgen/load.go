// Package load offers events to a running delivery node in an open loop: at the times that a rate says,
// whatever the node does. Latency counts from the intended time, so that a node that stands still is not
// spared (no coordinated omission). It speaks to loopback addresses only, and is bounded in count and time.
package loadgen

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jaspersill/lab/report"
	"jaspersill/lab/runner"
)

const (
	spinTime        = 150 * time.Microsecond // before its time a send is waited for without sleep: sleeps end late
	responseTimeout = 5 * time.Second
	maxRate         = 200000
	maxDuration     = time.Hour
	maxLag          = int64(10e9) // ns
)

// Request is one event as it is offered: the bytes of its head without the id and the deadline, and its body.
type Request struct {
	Kind, Owner       string
	Dest              int
	Timeout           time.Duration
	HasIdempotencyKey bool // it has an Idempotency-Key
	Body              []byte
}

// Plan is what is offered.
type Plan struct {
	Address           string
	Rate              float64 // events a second at the beginning
	EndRate           float64 // and at the end, where it ramps; 0 for the same
	Duration          time.Duration
	Connections       int // connections, each with one request at a time
	Mix               []Request
	CumulativeWeights []float64 // of the mix, summed up
	Seed              uint64
	ArrivalTimes      []time.Duration // recorded times, in order, rather than a rate
	MixIndices        []int           // of the mix, for each of them
	// OnResult hears what came of each; it is called by many at once, and may be nil.
	OnResult func(due, took time.Duration, status, pick int)
}

// Validate refuses what must not be offered.
func (p *Plan) Validate() error {
	host, _, err := net.SplitHostPort(p.Address)
	if err != nil {
		return fmt.Errorf("address: want HOST:PORT: %w", err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("address: want one of the loopback, as 127.0.0.1:8443, got %q", p.Address)
	}
	switch {
	case p.Rate <= 0 || p.Rate > maxRate || p.EndRate < 0 || p.EndRate > maxRate:
		return fmt.Errorf("rate: want over 0 and at most %d, got %g to %g", maxRate, p.Rate, p.EndRate)
	case p.Duration <= 0 || p.Duration > maxDuration:
		return fmt.Errorf("time: want over 0 and at most %v, got %v", maxDuration, p.Duration)
	case p.Connections < 1 || p.Connections > 4096:
		return fmt.Errorf("connections: want 1 to 4096, got %d", p.Connections)
	case len(p.Mix) == 0 || len(p.MixIndices) != len(p.ArrivalTimes):
		return errors.New("nothing to offer")
	}
	return nil
}

// dueTime is the intended time of the n-th event, from the beginning.
func (p *Plan) dueTime(n int) time.Duration {
	if p.ArrivalTimes != nil {
		if n < len(p.ArrivalTimes) {
			return p.ArrivalTimes[n]
		}
		return p.Duration
	}
	to := p.EndRate
	if to == 0 {
		to = p.Rate
	}
	if to == p.Rate {
		return time.Duration(float64(n) / p.Rate * 1e9)
	}
	// The integral of a rate that grows evenly: r t + (to - r) t^2 / 2T = n.
	a, b := (to-p.Rate)/(2*p.Duration.Seconds()), p.Rate
	t := (-b + nonNegativeSqrt(b*b+4*a*float64(n))) / (2 * a)
	return time.Duration(t * 1e9)
}

// connection is one connection.
type connection struct {
	plan                       *Plan
	conn                       net.Conn
	reader                     *bufio.Reader
	buffer                     []byte
	random                     *rand.Rand
	latency                    *hdrhistogram.Histogram
	lag                        *hdrhistogram.Histogram
	accepted, declined, failed int64
}

// Run offers a plan and reports it. An event whose turn comes while all connections are busy waits for one,
// and the wait counts.
func Run(ctx context.Context, p *Plan) (report.LoadResult, error) {
	if err := p.Validate(); err != nil {
		return report.LoadResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.Duration+responseTimeout)
	defer cancel()
	workers := make([]*connection, p.Connections)
	for i := range workers {
		workers[i] = &connection{plan: p, random: rand.New(rand.NewPCG(p.Seed, uint64(i))),
			latency: hdrhistogram.New(1e3, int64(60e9), 3), lag: hdrhistogram.New(1e3, maxLag, 3)}
	}
	var next, started atomic.Int64
	began := time.Now()
	var wg sync.WaitGroup
	for _, w := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer w.close()
			for ctx.Err() == nil {
				n := int(next.Add(1) - 1)
				due := p.dueTime(n)
				if due >= p.Duration {
					return
				}
				free := time.Since(
					began,
				) <= due // it was there before the event's time: what is late is the tool's
				waitUntil(began, due)
				if free {
					w.lag.RecordValue(max(1e3, min(maxLag, int64(time.Since(began)-due))))
				}
				started.Add(1)
				w.submit(began, due, n)
			}
		}()
	}
	wg.Wait()
	took := min(time.Since(began), p.Duration)
	all, lag := hdrhistogram.New(1e3, int64(60e9), 3), hdrhistogram.New(1e3, maxLag, 3)
	l := report.LoadResult{OfferedRate: p.Rate, SentRate: float64(started.Load()) / took.Seconds()}
	if p.EndRate > 0 {
		l.OfferedRate = (p.Rate + p.EndRate) / 2
	}
	for _, w := range workers {
		all.Merge(w.latency)
		lag.Merge(w.lag)
		l.Acked, l.Declined, l.Failed = l.Acked+w.accepted, l.Declined+w.declined, l.Failed+w.failed
	}
	for _, q := range runner.Percentiles {
		l.LatencyMs = append(l.LatencyMs, float64(all.ValueAtQuantile(q))/1e6)
	}
	l.SendLagMs = float64(lag.ValueAtQuantile(99)) / 1e6
	return l, ctx.Err()
}

// waitUntil waits until a time, asleep for most of it.
func waitUntil(began time.Time, due time.Duration) {
	for {
		left := due - time.Since(began)
		switch {
		case left <= 0:
			return
		case left > 2*spinTime:
			time.Sleep(left - spinTime)
		default:
			runtime.Gosched()
		}
	}
}

func (w *connection) close() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}

// submit hands in one event and waits for its answer.
func (w *connection) submit(began time.Time, due time.Duration, n int) {
	pick := w.mixIndex(n)
	status, err := w.roundTrip(&w.plan.Mix[pick])
	if w.plan.OnResult != nil {
		w.plan.OnResult(due, time.Since(began)-due, status, pick)
	}
	if err != nil {
		w.close()
		w.failed++
		return
	}
	switch status {
	case 202, 200:
		w.accepted++
		w.latency.RecordValue(max(1e3, int64(time.Since(began)-due)))
	case 503, 429:
		w.declined++
		w.latency.RecordValue(max(1e3, int64(time.Since(began)-due)))
	default:
		w.failed++
	}
}

// mixIndex is what of the mix the n-th event is.
func (w *connection) mixIndex(n int) int {
	if w.plan.ArrivalTimes != nil {
		return w.plan.MixIndices[n]
	}
	x, i := w.random.Float64()*w.plan.CumulativeWeights[len(w.plan.CumulativeWeights)-1], 0
	for i < len(w.plan.CumulativeWeights)-1 && w.plan.CumulativeWeights[i] <= x {
		i++
	}
	return i
}

func (w *connection) roundTrip(r *Request) (status int, err error) {
	if w.conn == nil {
		if w.conn, err = net.DialTimeout("tcp", w.plan.Address, responseTimeout); err != nil {
			w.conn = nil
			return 0, err
		}
		w.reader = bufio.NewReaderSize(w.conn, 2048)
	}
	id := w.random.Uint64()
	b := append(w.buffer[:0], "POST /api HTTP/1.1\r\nHost: lab\r\nReq-Id: "...)
	b = appendHexID(b, id)
	b = append(append(append(append(b, "\r\nReq-Kind: "...), r.Kind...), "\r\nReq-Owner: "...), r.Owner...)
	b = strconv.AppendInt(append(b, "\r\nReq-Deadline-Ms: "...), r.Timeout.Milliseconds(), 10)
	b = strconv.AppendInt(append(b, "\r\nX-Envelope: dest="...), int64(r.Dest), 10)
	if r.HasIdempotencyKey {
		b = appendHexID(append(b, "\r\nIdempotency-Key: "...), id)
	}
	b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(r.Body)), 10)
	b = append(append(b, "\r\n\r\n"...), r.Body...)
	w.buffer = b
	w.conn.SetDeadline(time.Now().Add(responseTimeout))
	if _, err = w.conn.Write(b); err != nil {
		return 0, err
	}
	return readResponse(w.reader)
}

func appendHexID(b []byte, id uint64) []byte {
	const digits = "0123456789abcdef"
	for shift := 60; shift >= 0; shift -= 4 {
		b = append(b, digits[id>>shift&15])
	}
	return b
}

// readResponse reads an answer: its status, its head and its body.
func readResponse(in *bufio.Reader) (status int, err error) {
	line, err := in.ReadSlice('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 12 {
		return 0, fmt.Errorf("no answer: %q", line)
	}
	if status, err = strconv.Atoi(string(line[9:12])); err != nil {
		return 0, err
	}
	size := 0
	for {
		if line, err = in.ReadSlice('\n'); err != nil {
			return 0, err
		}
		if len(line) <= 2 {
			break
		}
		if len(line) > 15 && strings.EqualFold(string(line[:15]), "Content-Length:") {
			if size, err = strconv.Atoi(strings.TrimSpace(string(line[15:]))); err != nil {
				return 0, err
			}
		}
	}
	_, err = in.Discard(size)
	return status, err
}
