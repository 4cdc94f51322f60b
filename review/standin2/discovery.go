package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// host is an entry of the list of endpoints.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// list is the list of endpoints, or the changes of it.
type list struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// platform plays discovery and the receiver of notices at one address.
type platform struct {
	rig *rig

	mu      sync.Mutex
	seq     int
	hosts   []host
	changed chan struct{} // closed at the next change of the list, or of down
	down    bool          // discovery answers 503, and watches end; notices are still taken
	delay   time.Duration // before a call is answered
	failed  chan struct{} // gets a value when a call is answered 503; nil if nobody waits
	noticed map[string]string
}

func newPlatform(r *rig, hosts []host) *platform {
	return &platform{rig: r, seq: 41, hosts: hosts, changed: make(chan struct{}), noticed: make(map[string]string)}
}

// serve listens at a free address and returns it.
func (p *platform) serve() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/discovery/hosts", p.watch)
	mux.HandleFunc("/v1/outcomes", p.outcomes)
	go http.Serve(l, mux)
	return l.Addr().String(), nil
}

// set changes the state and wakes the watches.
func (p *platform) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	close(p.changed)
	p.changed = make(chan struct{})
}

// whole returns the whole list.
func (p *platform) whole() list {
	p.mu.Lock()
	defer p.mu.Unlock()
	return list{p.seq, true, append([]host(nil), p.hosts...)}
}

// watch answers a call with the whole list, and goes on with each later list where a watch was asked for.
func (p *platform) watch(w http.ResponseWriter, request *http.Request) {
	p.mu.Lock()
	down, delay := p.down, p.delay
	p.mu.Unlock()
	if down {
		p.rig.note("discovery: a call is answered 503")
		w.WriteHeader(http.StatusServiceUnavailable)
		p.mu.Lock()
		if p.failed != nil {
			select {
			case p.failed <- struct{}{}:
			default:
			}
		}
		p.mu.Unlock()
		return
	}
	p.rig.note("discovery: a call has come, it is answered in %v", delay)
	time.Sleep(delay)
	flusher := w.(http.Flusher)
	for sent := -1; ; {
		p.mu.Lock()
		now, changed, down := list{p.seq, true, append([]host(nil), p.hosts...)}, p.changed, p.down
		p.mu.Unlock()
		if down {
			return
		}
		if now.Seq != sent {
			sent = now.Seq
			text, _ := json.Marshal(now)
			p.rig.note("discovery: tells version %d", now.Seq)
			fmt.Fprintf(w, "%s\n", text)
		} else {
			io.WriteString(w, "\n")
		}
		flusher.Flush()
		if request.URL.Query().Get("watch") == "" {
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-changed:
		case <-time.After(2 * time.Second):
		}
	}
}

// outcomes takes notices.
func (p *platform) outcomes(w http.ResponseWriter, request *http.Request) {
	for lines := bufio.NewScanner(request.Body); lines.Scan(); {
		var notice struct{ ID, Status string }
		if json.Unmarshal(lines.Bytes(), &notice) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		p.rig.note("platform: notice %s %s", notice.ID, notice.Status)
		p.mu.Lock()
		p.noticed[notice.ID] = notice.Status
		p.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}
