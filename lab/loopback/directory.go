package loopback

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"jaspersill/delivery"
	"jaspersill/lab/ledger"
)

// host is an entry of the list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int32   `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

type list struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// entry is an endpoint as the directory tells it.
func (s *Stage) entry(ep int32, state delivery.EndpointState) host {
	e := &s.partners.Endpoints[ep]
	p := &s.day.Partners[e.Kind]
	h := host{
		Host:   fmt.Sprintf("e%d", ep),
		Dial:   s.doors[ep].address,
		Site:   "here",
		Class:  p.Name,
		Block:  e.Dest,
		Share:  1,
		Health: map[delivery.EndpointState]string{delivery.Ready: "Ready", delivery.Draining: "Terminating", delivery.Gone: "Gone"}[state],
	}
	if p.Rated {
		h.Share = p.Limit
	}
	return h
}

// whole is the list as it was told last; the lock is held.
func (s *Stage) whole() list {
	l := list{Seq: len(s.changes) + 1, Whole: true}
	states := make([]delivery.EndpointState, len(s.partners.Endpoints))
	for ep := range states {
		states[ep] = delivery.Ready
	}
	for ep := range s.partners.Endpoints { // those that came later are not there before they were told
		if s.late(int32(ep)) {
			states[ep] = delivery.Gone
		}
	}
	for _, c := range s.changes {
		states[c.ep] = c.state
	}
	for ep, state := range states {
		if state != delivery.Gone {
			l.Hosts = append(l.Hosts, s.entry(int32(ep), state))
		}
	}
	return l
}

// late tells whether an endpoint was added during the day.
func (s *Stage) late(ep int32) bool {
	first := 0
	for _, p := range s.day.Partners {
		first += p.Destinations * p.Endpoints
	}
	return int(ep) >= first
}

// tellChange has the directory tell a change after its delay, and later while it stands still or is down.
func (s *Stage) tellChange(ep int32, state delivery.EndpointState) {
	var tell func()
	tell = func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.stopped {
			return
		}
		if s.dirDown > 0 || s.dirStill > 0 {
			time.AfterFunc(100*time.Millisecond, tell)
			return
		}
		s.changes = append(s.changes, change{ep, state})
		close(s.bell)
		s.bell = make(chan struct{})
	}
	time.AfterFunc(time.Duration(s.day.Fleet.Directory), tell)
}

// told notes what a node was told to leave.
func (s *Stage) told(node int32, changes []change) {
	for _, c := range changes {
		if c.state != delivery.Ready {
			time.AfterFunc(drainGrace, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.ledger.Drain(s.now(), node, c.ep)
			})
		}
	}
}

// directory serves one node's directory and takes its notices.
func (s *Stage) directory(node int32, l net.Listener) {
	defer s.wg.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.stopped {
			c.Close()
		}
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			defer func() {
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
				c.Close()
			}()
			s.listen(node, c)
		}()
	}
}

func (s *Stage) listen(node int32, c net.Conn) {
	in := bufio.NewReaderSize(c, 4096)
	var r fasthttp.Request
	for {
		if err := r.ReadLimitBody(in, 1<<20); err != nil {
			return
		}
		switch path := string(r.URI().Path()); {
		case path == "/v1/outcomes" && r.Header.IsPost():
			s.notices(string(r.Body()))
			if writeStatus(c, 204, "") != nil {
				return
			}
		case path == "/discovery/hosts":
			s.mu.Lock()
			down := s.dirDown > 0
			s.mu.Unlock()
			if down {
				writeStatus(c, 503, "")
				return
			}
			if r.URI().QueryArgs().Has("watch") {
				s.watch(node, c)
				return
			}
			s.mu.Lock()
			text, _ := json.Marshal(s.whole())
			s.mu.Unlock()
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s\n", len(text)+1, text)
		default:
			writeStatus(c, 404, "")
		}
	}
}

// watch tells a node the list and what changes in it.
func (s *Stage) watch(node int32, c net.Conn) {
	if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		return
	}
	line := func(text []byte) error {
		_, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(text)+1, text)
		return err
	}
	s.mu.Lock()
	at, bell, all := len(s.changes), s.bell, s.whole()
	s.told(node, s.changes)
	s.mu.Unlock()
	text, _ := json.Marshal(all)
	if line(text) != nil {
		return
	}
	for {
		select {
		case <-bell:
		case <-time.After(aliveEvery):
		}
		s.mu.Lock()
		if s.stopped || s.dirDown > 0 {
			s.mu.Unlock()
			return
		}
		news := s.changes[at:]
		l := list{Seq: len(s.changes) + 1}
		for _, n := range news {
			l.Hosts = append(l.Hosts, s.entry(n.ep, n.state))
		}
		at, bell = len(s.changes), s.bell
		s.mu.Unlock()
		text = nil
		if len(news) > 0 {
			text, _ = json.Marshal(l)
		}
		if line(text) != nil {
			return
		}
		s.mu.Lock()
		s.told(node, news)
		s.mu.Unlock()
	}
}

// notices takes the ends of events that were taken on and not delivered.
func (s *Stage) notices(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for text := range strings.SplitSeq(strings.TrimSpace(body), "\n") {
		var n struct {
			ID, Status string
			Again      int64 `json:"again_ms"`
		}
		if json.Unmarshal([]byte(text), &n) != nil {
			continue
		}
		e := s.events[n.ID]
		if s.anyone && e == nil {
			s.tell("notice: event %s %s", n.ID, n.Status)
		}
		if e == nil || e.ended { // one for an event that is over does no harm
			continue
		}
		e.ended = true
		s.tell("notice: event %s %s", n.ID, n.Status)
		if e.left {
			s.settle(e)
			continue
		}
		end := ledger.Discarded
		if n.Status == "deferred" {
			end = ledger.Declined
			if e.again != nil {
				e.again(n.Again * 1e6)
			}
		}
		s.ledger.Finish(s.now(), e.number, end)
		s.settle(e)
	}
}
