// Package loadgen is an open-loop load generator for a running delivery node: events are due at times given by
// a rate, independently of the node's responses. Latency is measured from the due time, which avoids coordinated
// omission when the node stalls. Only loopback addresses are accepted, and the rate, the number of connections
// and the duration are bounded.
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
	spinTime        = 150 * time.Microsecond // busy-wait before a due time, because sleeps overrun
	responseTimeout = 5 * time.Second
	maxRate         = 200000
	maxDuration     = time.Hour
	maxLag          = int64(10e9) // ns
)

// Request is a template of an event. Each submission gets an id of its own, which is also its
// idempotency key if it has one.
type Request struct {
	Kind, Owner       string
	Dest              int
	Timeout           time.Duration
	HasIdempotencyKey bool
	Body              []byte
}

// Plan describes the load of one run.
type Plan struct {
	Address           string
	Rate              float64 // events per second at the start
	EndRate           float64 // rate at the end of a linear ramp; 0 for a constant rate
	Duration          time.Duration
	Connections       int // each carries one request at a time
	Mix               []Request
	CumulativeWeights []float64 // running totals of the weights of Mix
	Seed              uint64
	ArrivalTimes      []time.Duration // due times in ascending order; replace Rate if set
	MixIndices        []int           // the index into Mix for each of ArrivalTimes
	// OnResult, if set, is called with the result of each request, concurrently. The status is 0 if no response
	// headers were received.
	OnResult func(due, latency time.Duration, status, mixIndex int)
}

// Validate rejects plans for addresses other than loopback and plans that exceed the bounds of this package.
func (p *Plan) Validate() error {
	host, _, err := net.SplitHostPort(p.Address)
	if err != nil {
		return fmt.Errorf("address: want HOST:PORT: %w", err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("address: want a loopback address such as 127.0.0.1:8443, got %q", p.Address)
	}
	switch {
	case p.Rate <= 0 || p.Rate > maxRate || p.EndRate < 0 || p.EndRate > maxRate:
		return fmt.Errorf("rate: want more than 0 and at most %d, got %g to %g", maxRate, p.Rate, p.EndRate)
	case p.Duration <= 0 || p.Duration > maxDuration:
		return fmt.Errorf("duration: want more than 0 and at most %v, got %v", maxDuration, p.Duration)
	case p.Connections < 1 || p.Connections > 4096:
		return fmt.Errorf("connections: want 1 to 4096, got %d", p.Connections)
	case len(p.Mix) == 0 || len(p.MixIndices) != len(p.ArrivalTimes):
		return errors.New("request mix is empty, or the number of mix indices differs from the number of arrival times")
	}
	return nil
}

// dueTime returns the due time of the n-th event, relative to the start of the run.
func (p *Plan) dueTime(n int) time.Duration {
	if p.ArrivalTimes != nil {
		if n < len(p.ArrivalTimes) {
			return p.ArrivalTimes[n]
		}
		return p.Duration
	}
	end := p.EndRate
	if end == 0 {
		end = p.Rate
	}
	if end == p.Rate {
		return time.Duration(float64(n) / p.Rate * 1e9)
	}
	// Solves the integral of the linear ramp for t: r t + (end - r) t^2 / 2T = n.
	a, b := (end-p.Rate)/(2*p.Duration.Seconds()), p.Rate
	t := (-b + nonNegativeSqrt(b*b+4*a*float64(n))) / (2 * a)
	return time.Duration(t * 1e9)
}

// connection is a client connection of its own goroutine, with the statistics of its requests.
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

// Run submits the events of a plan and returns the statistics. An event that falls due while all connections are
// busy waits for an idle one, and the wait counts towards its latency.
func Run(ctx context.Context, p *Plan) (report.LoadResult, error) {
	if err := p.Validate(); err != nil {
		return report.LoadResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.Duration+responseTimeout)
	defer cancel()
	connections := make([]*connection, p.Connections)
	for i := range connections {
		connections[i] = &connection{plan: p, random: rand.New(rand.NewPCG(p.Seed, uint64(i))),
			latency: hdrhistogram.New(1e3, int64(60e9), 3), lag: hdrhistogram.New(1e3, maxLag, 3)}
	}
	var next, started atomic.Int64
	start := time.Now()
	var wg sync.WaitGroup
	for _, c := range connections {
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.close()
			for ctx.Err() == nil {
				n := int(next.Add(1) - 1)
				due := p.dueTime(n)
				if due >= p.Duration {
					return
				}
				// If the connection is idle before the due time, any lag is the generator's own.
				idle := time.Since(start) <= due
				waitUntil(start, due)
				if idle {
					c.lag.RecordValue(max(1e3, min(maxLag, int64(time.Since(start)-due))))
				}
				started.Add(1)
				c.submit(start, due, n)
			}
		}()
	}
	wg.Wait()
	elapsed := min(time.Since(start), p.Duration)
	latency, lag := hdrhistogram.New(1e3, int64(60e9), 3), hdrhistogram.New(1e3, maxLag, 3)
	l := report.LoadResult{OfferedRate: p.Rate, SentRate: float64(started.Load()) / elapsed.Seconds()}
	if p.EndRate > 0 {
		l.OfferedRate = (p.Rate + p.EndRate) / 2
	}
	for _, c := range connections {
		latency.Merge(c.latency)
		lag.Merge(c.lag)
		l.Acked, l.Declined, l.Failed = l.Acked+c.accepted, l.Declined+c.declined, l.Failed+c.failed
	}
	for _, q := range runner.Percentiles {
		l.LatencyMs = append(l.LatencyMs, float64(latency.ValueAtQuantile(q))/1e6)
	}
	l.SendLagMs = float64(lag.ValueAtQuantile(99)) / 1e6
	return l, ctx.Err()
}

// waitUntil waits for a due time: it sleeps at first and busy-waits at the end.
func waitUntil(start time.Time, due time.Duration) {
	for {
		left := due - time.Since(start)
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

func (c *connection) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// submit sends one event, waits for the response and records the result.
func (c *connection) submit(start time.Time, due time.Duration, n int) {
	index := c.mixIndex(n)
	status, err := c.roundTrip(&c.plan.Mix[index])
	if c.plan.OnResult != nil {
		c.plan.OnResult(due, time.Since(start)-due, status, index)
	}
	if err != nil {
		c.close()
		c.failed++
		return
	}
	switch status {
	case 202, 200:
		c.accepted++
		c.latency.RecordValue(max(1e3, int64(time.Since(start)-due)))
	case 503, 429:
		c.declined++
		c.latency.RecordValue(max(1e3, int64(time.Since(start)-due)))
	default:
		c.failed++
	}
}

// mixIndex returns the index into the plan's Mix for the n-th event; without a recording it is drawn by weight.
func (c *connection) mixIndex(n int) int {
	if c.plan.ArrivalTimes != nil {
		return c.plan.MixIndices[n]
	}
	x, i := c.random.Float64()*c.plan.CumulativeWeights[len(c.plan.CumulativeWeights)-1], 0
	for i < len(c.plan.CumulativeWeights)-1 && c.plan.CumulativeWeights[i] <= x {
		i++
	}
	return i
}

func (c *connection) roundTrip(r *Request) (status int, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.plan.Address, responseTimeout); err != nil {
			c.conn = nil
			return 0, err
		}
		c.reader = bufio.NewReaderSize(c.conn, 2048)
	}
	id := c.random.Uint64()
	b := append(c.buffer[:0], "POST /api HTTP/1.1\r\nHost: lab\r\nReq-Id: "...)
	b = appendHexID(b, id)
	b = append(append(append(append(b, "\r\nReq-Kind: "...), r.Kind...), "\r\nReq-Owner: "...), r.Owner...)
	b = strconv.AppendInt(append(b, "\r\nReq-Deadline-Ms: "...), r.Timeout.Milliseconds(), 10)
	b = strconv.AppendInt(append(b, "\r\nX-Envelope: dest="...), int64(r.Dest), 10)
	if r.HasIdempotencyKey {
		b = appendHexID(append(b, "\r\nIdempotency-Key: "...), id)
	}
	b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(r.Body)), 10)
	b = append(append(b, "\r\n\r\n"...), r.Body...)
	c.buffer = b
	c.conn.SetDeadline(time.Now().Add(responseTimeout))
	if _, err = c.conn.Write(b); err != nil {
		return 0, err
	}
	return readResponse(c.reader)
}

func appendHexID(b []byte, id uint64) []byte {
	const digits = "0123456789abcdef"
	for shift := 60; shift >= 0; shift -= 4 {
		b = append(b, digits[id>>shift&15])
	}
	return b
}

// readResponse reads a whole response, discards its headers and body, and returns its status.
func readResponse(in *bufio.Reader) (status int, err error) {
	line, err := in.ReadSlice('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 12 {
		return 0, fmt.Errorf("malformed status line: %q", line)
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
