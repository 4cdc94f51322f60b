package node

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	noticeWithin = 250 * time.Millisecond // a notice is answered at once; a repeat does no harm
	noticeAgain  = 50 * time.Millisecond  // between tries: a notice is overdue after 300 ms
	noticePart   = 200                    // lines in one notice: some 12 kB
)

// outcomes tells the platform how events ended that were taken on and not delivered, until it has heard.
type outcomes struct {
	bell chan struct{}

	mu     sync.Mutex
	within time.Duration // that the platform has to answer
	again  time.Duration // until one that failed is told again
	queue  []*event
	client *fasthttp.HostClient
	leave  context.CancelFunc // closes the client's connections
}

// leaving is a connection that ends with the address that it goes to, whatever is out on it.
type leaving struct {
	net.Conn
	stop func() bool
}

func (l *leaving) Close() error {
	l.stop()
	return l.Conn.Close()
}

func openOutcomes(address string) *outcomes {
	o := &outcomes{bell: make(chan struct{}, 1), leave: func() {}, within: noticeWithin, again: noticeAgain}
	o.move(address)
	return o
}

// times changes how long a notice may take, from the next one on.
func (o *outcomes) times(within, again time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.within == within && o.again == again {
		return
	}
	o.within, o.again = within, again
	o.open(o.client.Addr)
}

// move tells the platform at another address from now on. Danger: a notice that hangs at the old one would
// hold back all others. It is broken off, and told again.
func (o *outcomes) move(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.client == nil || o.client.Addr != address {
		o.open(address)
	}
}

// open replaces the client and its connections.
func (o *outcomes) open(address string) {
	ctx, cancel := context.WithCancel(context.Background())
	dialer, most := net.Dialer{KeepAlive: -1}, o.within
	dial := func(addr string) (net.Conn, error) {
		within, cancel := context.WithTimeout(ctx, most)
		defer cancel()
		connect := func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
		conn, err := dialAgain(within, connect, addr)
		if err != nil {
			return nil, err
		}
		return &leaving{conn, context.AfterFunc(ctx, func() { conn.Close() })}, nil
	}
	o.leave()
	o.leave = cancel
	o.client = &fasthttp.HostClient{Addr: address, Dial: dial, MaxConns: 2, ReadTimeout: o.within,
		WriteTimeout: o.within, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true}
}

// post queues an event's notice; its life hears when the platform has it.
func (o *outcomes) post(e *event) {
	o.mu.Lock()
	o.queue = append(o.queue, e)
	o.mu.Unlock()
	select {
	case o.bell <- struct{}{}:
	default:
	}
}

// run sends notices for as long as the process lasts.
func (o *outcomes) run(stop <-chan struct{}) {
	told := trouble{part: "notices", what: "telling the platform"}
	for {
		select {
		case <-stop:
			return
		case <-o.bell:
		}
		for {
			o.mu.Lock()
			part, client, again := o.queue[:min(len(o.queue), noticePart)], o.client, o.again
			o.mu.Unlock()
			if len(part) == 0 {
				break
			}
			// Danger: an end that nobody hears of is a lost event. It is told again until it was heard.
			err := post(client, part)
			if told.note(err); err != nil {
				select {
				case <-stop:
					return
				case <-time.After(again):
				}
				continue
			}
			for _, e := range part {
				e.steps <- step{what: stepNoticed}
			}
			o.mu.Lock()
			o.queue = append([]*event(nil), o.queue[len(part):]...)
			o.mu.Unlock()
		}
	}
}

type statusError int

func (s statusError) Error() string { return "status " + strconv.Itoa(int(s)) }

func post(client *fasthttp.HostClient, part []*event) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/v1/outcomes")
	req.Header.SetHost(client.Addr)
	req.Header.SetContentType("application/x-ndjson")
	body := req.Body()
	for _, e := range part {
		body = append(body, `{"id":`...)
		body = strconv.AppendQuote(body, e.id)
		if e.verdict == discarded {
			body = append(body, `,"status":"undeliverable"}`...)
		} else {
			body = append(body, `,"status":"deferred"`...)
			if e.comeBack > 0 {
				body = strconv.AppendInt(append(body, `,"again_ms":`...), (e.comeBack+999_999)/1e6, 10)
			}
			body = append(body, '}')
		}
		body = append(body, '\n')
	}
	req.SetBody(body)
	if err := client.Do(req, resp); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusNoContent {
		return statusError(resp.StatusCode())
	}
	return nil
}
