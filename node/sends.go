package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/valyala/bytebufferpool"

	"jaspersill/logs"
	"jaspersill/port"
)

// send is one send of one event.
type send struct {
	event    *event
	number   int
	endpoint int32
	began    int64
	timeout  int64
	call     *call
}

// call is one exchange with an endpoint, of one send or of several. It ends once, for all of them.
type call struct {
	of       *endpoints
	endpoint int32
	sends    []*send
	size     int // bytes of its body, if it has several

	mu     sync.Mutex
	abort  context.CancelFunc // while connecting
	link   *link
	bytes  progress
	ended  bool
	gaveUp bool         // while being written: the writer ends it
	how    port.Outcome // when given up
}

// progress is how much of a call has gone out.
type progress uint8

const (
	none progress = iota // connecting
	some                 // being written: the writer will know
	all                  // its last byte has gone, or may have
)

// carry makes a call and tells each send how it ended. A call is made once: nothing here repeats it.
func (p *endpoints) carry(c *call) {
	defer p.end(c.endpoint)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timeout := c.begin(cancel)
	if timeout == 0 { // given up before it began
		return
	}
	timer := time.AfterFunc(time.Duration(timeout), func() { c.giveUp(port.TimedOut) })
	defer timer.Stop()

	l, dial := p.kept(c.endpoint)
	if l == nil {
		var err error
		if l, err = p.connect(ctx, dial); err != nil {
			c.finish(result{how: port.ConnectFailed})
			return
		}
	}
	if !c.leave(l) {
		l.Close()
		return
	}

	out := bytebufferpool.Get()
	defer bytebufferpool.Put(out)
	if err := writeCall(out, c.sends, timeout); err != nil {
		logs.Part("endpoints").WithError(err).Error("a call cannot be written as HTTP")
		l.Close()
		c.finish(result{how: port.Unsent})
		return
	}
	size, err := l.Write(out.B)
	if gaveUp := c.wrote(size == out.Len()); gaveUp || err != nil {
		l.Close()
		if size < out.Len() { // the call's last byte was not written: it never ran
			c.finish(result{how: port.ConnectFailed})
		} else {
			c.finish(result{how: port.Reset})
		}
		return
	}
	reply := l.in.read(c.sends)
	if c.finish(reply.results...) && !reply.close {
		p.keep(c.endpoint, l)
	} else {
		l.Close()
	}
}

// begin notes what ends the call while it is connecting. It tells how long the call may take, which is as
// long as the least patient of its sends waits, and 0 if it was given up before.
func (c *call) begin(abort context.CancelFunc) (timeout int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abort = abort; c.ended {
		return 0
	}
	now := c.of.clock.now()
	timeout = c.sends[0].began + c.sends[0].timeout - now
	for _, s := range c.sends {
		timeout = min(timeout, s.began+s.timeout-now)
	}
	return max(timeout, 1)
}

// leave writes down that the sends of a call go out, just before their bytes do; it tells false if nothing
// may go. Danger: the process may end while a send is out, and one that a restart finds connecting has not
// run. Written while no one can give the call up, the beginning of a send stands before its end.
func (c *call) leave(l *link) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	var err error
	for _, s := range c.sends {
		err = errors.Join(err, c.of.journal.began(s.event, s.number, wall(), c.of.site(c.endpoint)))
	}
	if err != nil {
		if !errors.Is(err, errOver) {
			c.of.journal.disk.note(err)
		}
		c.end([]result{{how: port.Unsent}})
		return false
	}
	c.link, c.bytes = l, some
	return true
}

// wrote notes whether a call was written to its last byte, and tells whether it was given up meanwhile.
func (c *call) wrote(whole bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bytes = none; whole {
		c.bytes = all
	}
	return c.gaveUp
}

// giveUp stops waiting for a call, by closing its connection: the protocol has no other way. Danger: a call
// of which one send is given up and another waited for ends as the endpoint's side likes. So it ends as a
// whole.
func (c *call) giveUp(how port.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.gaveUp {
		return
	}
	c.gaveUp, c.how = true, how
	if c.abort != nil {
		c.abort()
	}
	if c.link != nil {
		c.link.Close()
	}
	if c.bytes != some { // danger: told now, it might be called unsent with its last byte gone
		c.end(nil)
	}
}

// recall takes a send out of a call of which no byte has gone yet.
func (c *call) recall(s *send) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.sends, s)
	if c.ended || c.bytes != none || i < 0 {
		return
	}
	c.sends = slices.Delete(c.sends, i, i+1)
	c.report(s, result{how: port.Unsent})
	if c.ended = len(c.sends) == 0; c.ended && c.abort != nil {
		c.abort()
	}
}

// finish ends a call in which each send fared as told, or all the same; it tells false if it had ended.
func (c *call) finish(results ...result) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.end(results)
	return true
}

// end tells each send's life how it ended, once. Of a call that was given up, what came since does not
// count; if its last byte was not written when its connection was closed, it never ran.
func (c *call) end(results []result) {
	c.ended = true
	how := c.how
	switch {
	case c.bytes != none:
	case how == port.TimedOut:
		how = port.ConnectFailed
	default:
		how = port.Unsent
	}
	for i, s := range c.sends {
		r := result{how: how}
		if !c.gaveUp {
			r = results[min(i, len(results)-1)]
		}
		c.report(s, r)
	}
}

// report tells a send's life how it ended.
func (c *call) report(s *send, r result) {
	r.took = c.of.clock.now() - s.began
	s.event.steps <- step{what: stepOutcome, send: s, result: r}
}
