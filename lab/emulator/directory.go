package emulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"jaspersill/delivery"
	"jaspersill/lab/checker"
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

type hostList struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// hostEntry is an endpoint as the directory tells it.
func (s *Emulator) hostEntry(ep int32, state delivery.EndpointState) host {
	e := &s.destinations.Endpoints[ep]
	p := &s.scenario.DestinationKinds[e.Kind]
	h := host{
		Host:   fmt.Sprintf("e%d", ep),
		Dial:   s.listeners[ep].address,
		Site:   "here",
		Class:  p.Name,
		Block:  e.Dest,
		Share:  1,
		Health: map[delivery.EndpointState]string{delivery.Ready: "Ready", delivery.Draining: "Terminating", delivery.Gone: "Gone"}[state],
	}
	if p.LimitListed {
		h.Share = p.Limit
	}
	return h
}

// fullList is the list as it was told last; the lock is held.
func (s *Emulator) fullList() hostList {
	l := hostList{Seq: len(s.changes) + 1, Whole: true}
	states := make([]delivery.EndpointState, len(s.destinations.Endpoints))
	for ep := range states {
		states[ep] = delivery.Ready
	}
	for ep := range s.destinations.Endpoints { // those that came later are not there before they were told
		if s.addedLater(int32(ep)) {
			states[ep] = delivery.Gone
		}
	}
	for _, c := range s.changes {
		states[c.ep] = c.state
	}
	for ep, state := range states {
		if state != delivery.Gone {
			l.Hosts = append(l.Hosts, s.hostEntry(int32(ep), state))
		}
	}
	return l
}

// addedLater tells whether an endpoint was added during the day.
func (s *Emulator) addedLater(ep int32) bool {
	first := 0
	for _, p := range s.scenario.DestinationKinds {
		first += p.Destinations * p.Endpoints
	}
	return int(ep) >= first
}

// scheduleDirectoryChange has the directory tell a change after its delay, and later while it stands still or is down.
func (s *Emulator) scheduleDirectoryChange(ep int32, state delivery.EndpointState) {
	var tell func()
	tell = func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.stopped {
			return
		}
		if s.directoryDown > 0 || s.directoryFrozen > 0 {
			time.AfterFunc(100*time.Millisecond, tell)
			return
		}
		s.changes = append(s.changes, endpointChange{ep, state})
		close(s.directoryChanged)
		s.directoryChanged = make(chan struct{})
	}
	time.AfterFunc(time.Duration(s.scenario.Fleet.DirectoryDelay), tell)
}

// recordDrains notes what a node was recordDrains to leave.
func (s *Emulator) recordDrains(node int32, changes []endpointChange) {
	for _, c := range changes {
		if c.state != delivery.Ready {
			time.AfterFunc(drainGrace, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.checker.RecordDrain(s.now(), node, c.ep)
			})
		}
	}
}

// serveDirectory serves one node's serveDirectory and takes its notices.
func (s *Emulator) serveDirectory(node int32, l net.Listener) {
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
			s.serveDirectoryConnection(node, c)
		}()
	}
}

func (s *Emulator) serveDirectoryConnection(node int32, c net.Conn) {
	in := bufio.NewReaderSize(c, 4096)
	var r fasthttp.Request
	for {
		if err := r.ReadLimitBody(in, 1<<20); err != nil {
			return
		}
		switch path := string(r.URI().Path()); {
		case path == "/v1/outcomes" && r.Header.IsPost():
			s.handleNotices(string(r.Body()))
			if writeStatus(c, 204, "") != nil {
				return
			}
		case path == "/discovery/hosts":
			s.mu.Lock()
			down := s.directoryDown > 0
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
			text, _ := json.Marshal(s.fullList())
			s.mu.Unlock()
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s\n", len(text)+1, text)
		default:
			writeStatus(c, 404, "")
		}
	}
}

// watch tells a node the list and what changes in it.
func (s *Emulator) watch(node int32, c net.Conn) {
	if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		return
	}
	line := func(text []byte) error {
		_, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(text)+1, text)
		return err
	}
	s.mu.Lock()
	at, bell, all := len(s.changes), s.directoryChanged, s.fullList()
	s.recordDrains(node, s.changes)
	s.mu.Unlock()
	text, _ := json.Marshal(all)
	if line(text) != nil {
		return
	}
	for {
		select {
		case <-bell:
		case <-time.After(watchKeepAlive):
		}
		s.mu.Lock()
		if s.stopped || s.directoryDown > 0 {
			s.mu.Unlock()
			return
		}
		news := s.changes[at:]
		l := hostList{Seq: len(s.changes) + 1}
		for _, n := range news {
			l.Hosts = append(l.Hosts, s.hostEntry(n.ep, n.state))
		}
		at, bell = len(s.changes), s.directoryChanged
		s.mu.Unlock()
		text = nil
		if len(news) > 0 {
			text, _ = json.Marshal(l)
		}
		if line(text) != nil {
			return
		}
		s.mu.Lock()
		s.recordDrains(node, news)
		s.mu.Unlock()
	}
}

// handleNotices takes the ends of events that were taken on and not delivered.
func (s *Emulator) handleNotices(body string) {
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
		if s.acceptUnknown && e == nil {
			s.logf("notice: event %s %s", n.ID, n.Status)
		}
		if e == nil || e.ended { // one for an event that is over does no harm
			continue
		}
		e.ended = true
		s.logf("notice: event %s %s", n.ID, n.Status)
		if e.abandoned {
			s.releaseIfDone(e)
			continue
		}
		end := checker.Discarded
		if n.Status == "deferred" {
			end = checker.Declined
			if e.retry != nil {
				e.retry(n.Again * 1e6)
			}
		}
		s.checker.RecordEnd(s.now(), e.index, end)
		s.releaseIfDone(e)
	}
}
