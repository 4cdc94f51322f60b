package loopback

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
	patience  = 400 * time.Millisecond // a client waits so long for an answer: the protocol's
	mostConns = 512
	bodySize  = 200 // bytes
)

// clients hand in what a source says, in real time.
type clients struct {
	stage  *Stage
	nodes  *Nodes
	conns  []*fasthttp.HostClient
	chance *rand.Rand
	mu     sync.Mutex
	wg     sync.WaitGroup
	body   []byte
}

// Play hands in a source's askings at their times until it ends or ctx does, and waits until the last one's
// time is up. The day begins with the call.
func (s *Stage) Play(ctx context.Context, nodes *Nodes, source workload.Source, seed uint64) checker.Summary {
	c := &clients{
		stage:  s,
		nodes:  nodes,
		chance: rand.New(rand.NewPCG(seed, 0xc11e)),
		body:   make([]byte, bodySize),
	}
	for i := range c.body {
		c.body[i] = byte('a' + i%26)
	}
	for i := range s.day.Fleet.Nodes {
		c.conns = append(
			c.conns,
			&fasthttp.HostClient{Addr: nodes.Address(i), MaxConns: mostConns, ReadTimeout: patience,
				WriteTimeout: patience, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: 4 * time.Second,
				NoDefaultUserAgentHeader: true,
				RetryIfErr:               func(*fasthttp.Request, int, error) (bool, bool) { return false, false }},
		)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.Begin(ctx, nodes)
	last := int64(0)
	for {
		a, more := source.Next()
		if !more || !s.sleep(ctx, time.Duration(a.At)) {
			break
		}
		last = max(last, a.Deadline)
		a.Deadline += s.now() - a.At // a late start is the lab's fault, not the node's
		a.At = s.now()
		s.mu.Lock()
		s.ledger.RecordArrival(a.At, int(a.Type), int(a.Customer))
		s.mu.Unlock()
		c.hand(a, 0)
	}
	s.sleep(ctx, time.Duration(last)+500*time.Millisecond)
	cancel()
	c.wg.Wait()
	return s.Sum()
}

// hand hands in an event at one of the nodes that serve.
func (c *clients) hand(a workload.Arrival, tries int) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.try(a, tries)
	}()
}

func (c *clients) try(a workload.Arrival, tries int) {
	s := c.stage
	now := s.now()
	if now >= a.Deadline {
		return
	}
	up := c.nodes.Up()
	if len(up) == 0 {
		time.Sleep(50 * time.Millisecond)
		c.again(a, tries, 0)
		return
	}
	c.mu.Lock()
	node := up[c.chance.IntN(len(up))]
	c.mu.Unlock()
	s.mu.Lock()
	id := s.id()
	e := &held{node: int32(node), work: a.Work, refs: 1}
	e.again = func(comeBack int64) { c.again(a, tries, comeBack) }
	e.number, _ = s.numbers.Take(id)
	s.events[id] = e
	s.ledger.RecordAccepted(now, e.number, uint64(e.number), e.node, int(a.Type), a.Dest, 0, a.At, a.Deadline)
	s.mu.Unlock()

	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	t := &s.day.Types[a.Type]
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/api")
	req.Header.SetHost(c.conns[node].Addr)
	req.Header.Set("Req-Id", id)
	req.Header.Set("Req-Kind", t.Name)
	req.Header.Set("Req-Owner", s.day.Customers[a.Customer].Name)
	req.Header.Set("Req-Deadline-Ms", strconv.FormatInt((a.Deadline-now)/1e6, 10))
	req.Header.Set("X-Envelope", "dest="+strconv.Itoa(int(a.Dest)))
	if t.Safety == "deduplicated" {
		req.Header.Set("Idempotency-Key", id)
	}
	req.SetBody(c.body)
	err := c.conns[node].Do(req, resp)

	s.mu.Lock()
	defer s.mu.Unlock()
	e.refs--
	now = s.now()
	switch status := resp.StatusCode(); {
	case err == nil && (status == 202 || status == 200):
	case err == nil && (status == 503 || status == 429):
		if !e.ended {
			e.ended = true
			s.ledger.RecordEnd(now, e.number, checker.Declined)
			after, _ := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64)
			c.again(a, tries, int64(after*1e9))
		}
	default: // no answer in time: what is sent under this id counts for nothing, and the client goes elsewhere
		if !e.ended {
			e.left = true
			s.ledger.Abandon(e.number)
			c.again(a, tries, int64(10*time.Millisecond))
		}
	}
	s.settle(e)
}

// again hands in an event that was turned away, after a time.
func (c *clients) again(a workload.Arrival, tries int, comeBack int64) {
	k := &c.stage.day.Clients
	if tries >= k.MaxRetries {
		return
	}
	if comeBack <= 0 {
		comeBack = int64(k.RetryDelay)
	}
	c.mu.Lock()
	comeBack += int64(k.RetryJitter * c.chance.Float64() * float64(comeBack))
	c.mu.Unlock()
	if c.stage.now()+comeBack < a.Deadline {
		c.wg.Add(1)
		time.AfterFunc(time.Duration(comeBack), func() {
			defer c.wg.Done()
			c.try(a, tries+1)
		})
	}
}
