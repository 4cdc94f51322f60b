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
	clientTimeout        = 400 * time.Millisecond // for the answer to a request; set by the protocol
	maxClientConnections = 512
	bodySize             = 200 // bytes
)

// clients submits the events of a source in real time.
type clients struct {
	emulator    *Emulator
	nodes       *Nodes
	httpClients []*fasthttp.HostClient
	random      *rand.Rand
	mu          sync.Mutex
	wg          sync.WaitGroup
	body        []byte
}

// Run starts the scenario and submits the events of a source at their times, until the source is exhausted or ctx is
// cancelled. It returns after the last deadline.
func (em *Emulator) Run(ctx context.Context, nodes *Nodes, source workload.Source, seed uint64) checker.Summary {
	c := &clients{
		emulator: em,
		nodes:    nodes,
		random:   rand.New(rand.NewPCG(seed, 0xc11e)),
		body:     make([]byte, bodySize),
	}
	for i := range c.body {
		c.body[i] = byte('a' + i%26)
	}
	for i := range em.scenario.Fleet.Nodes {
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
	em.Start(ctx, nodes)
	lastDeadline := int64(0)
	for {
		a, ok := source.Next()
		if !ok || !em.sleepUntil(ctx, time.Duration(a.At)) {
			break
		}
		lastDeadline = max(lastDeadline, a.Deadline)
		a.Deadline += em.now() - a.At // a late submission is not the fault of the node
		a.At = em.now()
		em.mu.Lock()
		em.checker.RecordArrival(a.At, int(a.Type), int(a.Customer))
		em.mu.Unlock()
		c.submit(a, 0)
	}
	em.sleepUntil(ctx, time.Duration(lastDeadline)+500*time.Millisecond)
	cancel()
	c.wg.Wait()
	return em.Summary()
}

// submit submits an event to one of the serving nodes, in the background.
func (c *clients) submit(a workload.Arrival, retries int) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.trySubmit(a, retries)
	}()
}

func (c *clients) trySubmit(a workload.Arrival, retries int) {
	em := c.emulator
	now := em.now()
	if now >= a.Deadline {
		return
	}
	serving := c.nodes.Serving()
	if len(serving) == 0 {
		time.Sleep(50 * time.Millisecond)
		c.scheduleRetry(a, retries, 0)
		return
	}
	c.mu.Lock()
	node := serving[c.random.IntN(len(serving))]
	c.mu.Unlock()
	em.mu.Lock()
	id := em.newID()
	e := &event{node: int32(node), workTime: a.Work, refs: 1}
	e.retry = func(retryAfter int64) { c.scheduleRetry(a, retries, retryAfter) }
	e.index, _ = em.eventTable.Acquire(id)
	em.events[id] = e
	em.checker.RecordAccepted(now, e.index, uint64(e.index), e.node, int(a.Type), a.Dest, 0, a.At, a.Deadline)
	em.mu.Unlock()

	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	t := &em.scenario.Types[a.Type]
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/api")
	req.Header.SetHost(c.httpClients[node].Addr)
	req.Header.Set("Req-Id", id)
	req.Header.Set("Req-Kind", t.Name)
	req.Header.Set("Req-Owner", em.scenario.Customers[a.Customer].Name)
	req.Header.Set("Req-Deadline-Ms", strconv.FormatInt((a.Deadline-now)/1e6, 10))
	req.Header.Set("X-Envelope", "dest="+strconv.Itoa(int(a.Dest)))
	if t.Safety == "deduplicated" {
		req.Header.Set("Idempotency-Key", id)
	}
	req.SetBody(c.body)
	err := c.httpClients[node].Do(req, resp)

	em.mu.Lock()
	defer em.mu.Unlock()
	e.refs--
	now = em.now()
	switch status := resp.StatusCode(); {
	case err == nil && (status == 202 || status == 200):
	case err == nil && (status == 503 || status == 429):
		if !e.ended {
			e.ended = true
			em.checker.RecordEnd(now, e.index, checker.Declined)
			retryAfterSeconds, _ := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64)
			c.scheduleRetry(a, retries, int64(retryAfterSeconds*1e9))
		}
	default: // no answer in time: sends under this ID are no longer checked, and the client goes to another node
		if !e.ended {
			e.abandoned = true
			em.checker.Abandon(e.index)
			c.scheduleRetry(a, retries, int64(10*time.Millisecond))
		}
	}
	em.releaseIfDone(e)
}

// scheduleRetry submits a declined or unanswered event again after retryAfter with jitter; 0 stands for the clients'
// own retry delay. It does nothing once the retries are used up or the deadline would have passed.
func (c *clients) scheduleRetry(a workload.Arrival, retries int, retryAfter int64) {
	k := &c.emulator.scenario.Clients
	if retries >= k.MaxRetries {
		return
	}
	if retryAfter <= 0 {
		retryAfter = int64(k.RetryDelay)
	}
	c.mu.Lock()
	retryAfter += int64(k.RetryJitter * c.random.Float64() * float64(retryAfter))
	c.mu.Unlock()
	if c.emulator.now()+retryAfter < a.Deadline {
		c.wg.Add(1)
		time.AfterFunc(time.Duration(retryAfter), func() {
			defer c.wg.Done()
			c.trySubmit(a, retries+1)
		})
	}
}
