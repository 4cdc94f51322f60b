package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/bytebufferpool"

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

	gaveUp, told bool
	how          port.Outcome // when given up
}

// call is one exchange with an endpoint, of one send or of several.
type call struct {
	of       *endpoints
	endpoint int32
	sends    []*send

	mu      sync.Mutex
	abort   context.CancelFunc // while connecting
	link    *link
	written bool // its last byte may have gone out
	ended   bool
	left    int // sends not given up
}

// carry makes a call and tells each send how it ended. A call is made once: nothing here repeats it.
func (p *endpoints) carry(c *call) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.mu.Lock()
	c.abort, c.left = cancel, len(c.sends)
	c.mu.Unlock()
	longest := int64(0)
	for _, s := range c.sends {
		longest = max(longest, s.timeout)
		timer := time.AfterFunc(time.Duration(s.began+s.timeout-p.clock.now()), func() {
			c.giveUp(s, port.TimedOut)
		})
		defer timer.Stop()
		// Danger: the process may end while the send is out. The journal has it before its bytes go.
		if err := p.journal.began(s.event, s.number, wall(), p.site(c.endpoint)); err != nil {
			logrus.WithError(err).Error("journal: a send was kept back")
			c.finish(result{how: port.Unsent})
			return
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
	c.mu.Lock()
	if c.left == 0 { // given up while connecting: nothing went out
		c.mu.Unlock()
		l.Close()
		return
	}
	c.link, c.written = l, true
	c.mu.Unlock()

	out := bytebufferpool.Get()
	defer bytebufferpool.Put(out)
	if err := writeCall(out, c.sends, longest); err != nil {
		logrus.WithError(err).Error("call not written")
	}
	if size, err := l.Write(out.B); err != nil {
		l.Close()
		if size < out.Len() { // the call's last byte was not written: it never ran
			c.finish(result{how: port.ConnectFailed})
		} else {
			c.finish(result{how: port.Reset})
		}
		return
	}
	reply, err := l.in.read(c.sends)
	if err != nil {
		l.Close()
		c.finish(result{how: port.Reset})
		return
	}
	if c.answered(reply) && !reply.close {
		p.keep(c.endpoint, l)
	} else {
		l.Close()
	}
}

// giveUp stops waiting for one send. Danger: where an event may not have two sends out, or when it is the last
// of its call, it is over only once the connection is closed.
func (c *call) giveUp(s *send, how port.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || s.gaveUp || s.told {
		return
	}
	if !c.written {
		if how == port.TimedOut {
			how = port.ConnectFailed
		} else {
			how = port.Unsent
		}
	}
	s.gaveUp, s.how = true, how
	c.left--
	switch {
	case c.left == 0:
		c.ended = true
		if c.abort != nil {
			c.abort()
		}
		if c.link != nil {
			c.link.Close()
		}
		for _, s := range c.sends {
			c.report(s, result{how: s.how})
		}
	case c.of.copies:
		c.report(s, result{how: how})
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
		c.report(s, r)
	}
}

// answered hands each send its part of an answer; it tells false where all were given up before.
func (c *call) answered(reply reply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.ended = true
	for i, s := range c.sends {
		c.report(s, reply.results[i])
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
