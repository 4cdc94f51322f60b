package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/valyala/bytebufferpool"

	"jaspersill/logs"
	"jaspersill/port"
)

// send is one send of one event. call and number do not change; the rest is the call's.
type send struct {
	event    *event
	number   int
	endpoint int32
	began    int64
	timeout  int64
	call     *call

	went         bool // it was in what was written
	gaveUp, told bool
	how          port.Outcome // when given up
}

// call is one exchange with an endpoint, of one send or of several.
type call struct {
	of       *endpoints
	endpoint int32
	sends    []*send
	size     int // bytes of its body, if it has several

	mu    sync.Mutex
	abort context.CancelFunc // while connecting
	link  *link
	bytes progress
	ended bool
	left  int // sends not given up
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
	c.mu.Lock()
	c.abort = cancel
	over := c.ended
	c.mu.Unlock()
	if over { // given up before it began
		return
	}
	for _, s := range c.sends {
		timer := time.AfterFunc(time.Duration(s.began+s.timeout-p.clock.now()), func() {
			c.giveUp(s, port.TimedOut)
		})
		defer timer.Stop()
		// Danger: the process may end while the send is out. The journal has it before its bytes go.
		if err := p.journal.began(s.event, s.number, wall(), p.site(c.endpoint)); err != nil {
			if !errors.Is(err, errOver) { // danger: a late answer may have ended the event: nothing may follow
				p.journal.disk.note(err)
			}
			c.giveUp(s, port.Unsent)
		}
	}

	l, dial := p.kept(c.endpoint)
	if l == nil {
		var err error
		if l, err = p.connect(ctx, dial); err != nil {
			c.finish(result{how: port.ConnectFailed})
			return
		}
	}
	going, longest := c.leave(l)
	if len(going) == 0 {
		l.Close()
		return
	}

	out := bytebufferpool.Get()
	defer bytebufferpool.Put(out)
	if err := writeCall(out, going, longest); err != nil {
		logs.Part("endpoints").WithError(err).Error("a call cannot be written as HTTP")
		l.Close()
		c.finish(result{how: port.Unsent})
		return
	}
	if size, err := l.Write(out.B); !c.wrote(size == out.Len()) || err != nil {
		l.Close()
		if size < out.Len() { // the call's last byte was not written: it never ran
			c.finish(result{how: port.ConnectFailed})
		} else {
			c.finish(result{how: port.Reset})
		}
		return
	}
	reply, err := l.in.read(going)
	if err != nil {
		l.Close()
		if errors.Is(err, errSpoilt) {
			c.finish(result{how: port.Spoilt})
		} else {
			c.finish(result{how: port.Reset})
		}
		return
	}
	if c.answered(going, reply) && !reply.close {
		p.keep(c.endpoint, l)
	} else {
		l.Close()
	}
}

// leave marks a call as written and tells which sends go, as not given up while connecting, and how long.
func (c *call) leave(l *link) (going []*send, longest int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sends {
		if !s.gaveUp {
			s.went = true
			going, longest = append(going, s), max(longest, s.timeout)
		}
	}
	if c.link = l; len(going) > 0 {
		c.bytes = some
	}
	return going, longest
}

// wrote notes whether a call was written to its last byte; it tells false if it was given up meanwhile.
func (c *call) wrote(whole bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bytes = none; whole {
		c.bytes = all
	}
	return c.left > 0
}

// giveUp stops waiting for one send. Danger: where an event may not have two sends out, or when it is the
// last of its call, it is over only once the connection is closed.
func (c *call) giveUp(s *send, how port.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || s.gaveUp || s.told {
		return
	}
	s.gaveUp, s.how = true, how
	c.left--
	switch {
	case c.left == 0 && c.bytes == some: // danger: told now, it might be called unsent with its last byte gone
		c.link.Close()
	case c.left == 0:
		c.ended = true
		if c.abort != nil {
			c.abort()
		}
		if c.link != nil {
			c.link.Close()
		}
		for _, s := range c.sends {
			c.settle(s)
		}
	case c.of.copies:
		c.settle(s)
	}
}

// finish ends a call in which all its sends fared the same.
func (c *call) finish(r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	for _, s := range c.sends {
		if s.gaveUp {
			c.settle(s)
		} else {
			c.report(s, r)
		}
	}
}

// settle reports a send that was given up, unless that was done at once. If it was not written, or its call
// not to the last byte when the connection was closed, it never ran.
func (c *call) settle(s *send) {
	how, never := s.how, !s.went || c.bytes == none
	switch {
	case s.told:
		return
	case never && how == port.TimedOut:
		how = port.ConnectFailed
	case never:
		how = port.Unsent
	}
	c.report(s, result{how: how})
}

// answered hands each send that went its part of an answer; it tells false where all were given up before.
func (c *call) answered(going []*send, reply reply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.ended = true
	for i, s := range going {
		c.report(s, reply.results[i])
	}
	for _, s := range c.sends {
		c.settle(s)
	}
	return true
}

// report tells a send's life how it ended, once, and once more if a late answer shows its event over.
func (c *call) report(s *send, r result) {
	r.took = c.of.clock.now() - s.began
	r.late = s.told
	s.told = true
	s.event.steps <- step{what: stepOutcome, send: s, result: r}
}
