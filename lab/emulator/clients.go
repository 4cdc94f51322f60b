package emulator

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"jaspersill/lab/checker"
	"jaspersill/lab/workload"
)

const (
	clientTimeout        = 400 * time.Millisecond // a client waits so long for an answer: the protocol's
	maxClientConnections = 512
	bodySize             = 200 // bytes
)

// clients hand in what a source says, in real time.
type clients struct {
	emulator    *Emulator
	nodes       *Nodes
	httpClients []*fasthttp.HostClient
	random      *rand.Rand
	mu          sync.Mutex
	wg          sync.WaitGroup
	body        []byte
}

// Run hands in a source's askings at their times until it ends or ctx does, and waits until the last one's
// time is up. The day begins with the call.
func (s *Emulator) Run(ctx context.Context, nodes *Nodes, source workload.Source, seed uint64) checker.Summary {
	c := &clients{
		emulator: s,
		nodes:    nodes,
		random:   rand.New(rand.NewPCG(seed, 0xc11e)),
		body:     make([]byte, bodySize),
	}
	for i := range c.body {
		c.body[i] = byte('a' + i%26)
	}
	for i := range s.scenario.Fleet.Nodes {
		c.httpClients = append(
			c.httpClients,
			&fasthttp.HostClient{Addr: nodes.Address(i), MaxConns: maxClientConnections, ReadTimeout: clientTimeout,
				WriteTimeout: clientTimeout, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: 4 * time.Second,
				NoDefaultUserAgentHeader: true,
				RetryIfErr:               func(*fasthttp.Request, int, error) (bool, bool) { return false, false }},
		)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.Start(ctx, nodes)
	last := int64(0)
	for {
		a, more := source.Next()
		if !more || !s.sleepUntil(ctx, time.Duration(a.At)) {
			break
		}
		last = max(last, a.Deadline)
		a.Deadline += s.now() - a.At // a late start is the lab's fault, not the node's
		a.At = s.now()
		s.mu.Lock()
		s.checker.RecordArrival(a.At, int(a.Type), int(a.Customer))
		s.mu.Unlock()
		c.submit(a, 0)
	}
	s.sleepUntil(ctx, time.Duration(last)+500*time.Millisecond)
	cancel()
	c.wg.Wait()
	return s.Summary()
}

// submit hands in an event at one of the nodes that serve.
func (c *clients) submit(a workload.Arrival, tries int) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.trySubmit(a, tries)
	}()
}

func (c *clients) trySubmit(a workload.Arrival, tries int) {
	s := c.emulator
	now := s.now()
	if now >= a.Deadline {
		return
	}
	up := c.nodes.Serving()
	if len(up) == 0 {
		time.Sleep(50 * time.Millisecond)
		c.scheduleRetry(a, tries, 0)
		return
	}
	c.mu.Lock()
	node := up[c.random.IntN(len(up))]
	c.mu.Unlock()
	s.mu.Lock()
	id := s.newID()
	e := &event{node: int32(node), workTime: a.Work, refs: 1}
	e.retry = func(comeBack int64) { c.scheduleRetry(a, tries, comeBack) }
	e.index, _ = s.eventTable.Acquire(id)
	s.events[id] = e
	s.checker.RecordAccepted(now, e.index, uint64(e.index), e.node, int(a.Type), a.Dest, 0, a.At, a.Deadline)
	s.mu.Unlock()

	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	t := &s.scenario.Types[a.Type]
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/api")
	req.Header.SetHost(c.httpClients[node].Addr)
	req.Header.Set("Req-Id", id)
	req.Header.Set("Req-Kind", t.Name)
	req.Header.Set("Req-Owner", s.scenario.Customers[a.Customer].Name)
	req.Header.Set("Req-Deadline-Ms", strconv.FormatInt((a.Deadline-now)/1e6, 10))
	req.Header.Set("X-Envelope", "dest="+strconv.Itoa(int(a.Dest)))
	if t.Safety == "deduplicated" {
		req.Header.Set("Idempotency-Key", id)
	}
	req.SetBody(c.body)
	err := c.httpClients[node].Do(req, resp)

	s.mu.Lock()
	defer s.mu.Unlock()
	e.refs--
	now = s.now()
	switch status := resp.StatusCode(); {
	case err == nil && (status == 202 || status == 200):
	case err == nil && (status == 503 || status == 429):
		if !e.ended {
			e.ended = true
			s.checker.RecordEnd(now, e.index, checker.Declined)
			after, _ := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64)
			c.scheduleRetry(a, tries, int64(after*1e9))
		}
	default: // no answer in time: what is sent under this id counts for nothing, and the client goes elsewhere
		if !e.ended {
			e.abandoned = true
			s.checker.Abandon(e.index)
			c.scheduleRetry(a, tries, int64(10*time.Millisecond))
		}
	}
	s.releaseIfDone(e)
}

// scheduleRetry hands in an event that was turned away, after a time.
func (c *clients) scheduleRetry(a workload.Arrival, tries int, comeBack int64) {
	k := &c.emulator.scenario.Clients
	if tries >= k.MaxRetries {
		return
	}
	if comeBack <= 0 {
		comeBack = int64(k.RetryDelay)
	}
	c.mu.Lock()
	comeBack += int64(k.RetryJitter * c.random.Float64() * float64(comeBack))
	c.mu.Unlock()
	if c.emulator.now()+comeBack < a.Deadline {
		c.wg.Add(1)
		time.AfterFunc(time.Duration(comeBack), func() {
			defer c.wg.Done()
			c.trySubmit(a, tries+1)
		})
	}
}
