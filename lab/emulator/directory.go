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

// host is an entry of the list of endpoints, in the format of the discovery protocol.
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

// hostEntry returns the directory entry of an endpoint.
func (em *Emulator) hostEntry(ep int32, state delivery.EndpointState) host {
	e := &em.destinations.Endpoints[ep]
	dk := &em.scenario.DestinationKinds[e.Kind]
	h := host{
		Host:   fmt.Sprintf("e%d", ep),
		Dial:   em.listeners[ep].address,
		Site:   "here",
		Class:  dk.Name,
		Block:  e.Dest,
		Share:  1,
		Health: map[delivery.EndpointState]string{delivery.Ready: "Ready", delivery.Draining: "Terminating", delivery.Gone: "Gone"}[state],
	}
	if dk.LimitListed {
		h.Share = dk.Limit
	}
	return h
}

// fullList returns the list as last published. The lock is held.
func (em *Emulator) fullList() hostList {
	list := hostList{Seq: len(em.changes) + 1, Whole: true}
	states := make([]delivery.EndpointState, len(em.destinations.Endpoints))
	for ep := range states {
		states[ep] = delivery.Ready
	}
	for ep := range em.destinations.Endpoints { // endpoints added during the run are absent until published
		if em.addedLater(int32(ep)) {
			states[ep] = delivery.Gone
		}
	}
	for _, c := range em.changes {
		states[c.ep] = c.state
	}
	for ep, state := range states {
		if state != delivery.Gone {
			list.Hosts = append(list.Hosts, em.hostEntry(int32(ep), state))
		}
	}
	return list
}

// addedLater reports whether an endpoint was added during the run.
func (em *Emulator) addedLater(ep int32) bool {
	initial := 0
	for _, dk := range em.scenario.DestinationKinds {
		initial += dk.Destinations * dk.Endpoints
	}
	return int(ep) >= initial
}

// scheduleDirectoryChange publishes a change after the delay of the directory, or once the directory is neither frozen
// nor down.
func (em *Emulator) scheduleDirectoryChange(ep int32, state delivery.EndpointState) {
	var publish func()
	publish = func() {
		em.mu.Lock()
		defer em.mu.Unlock()
		if em.stopped {
			return
		}
		if em.directoryDown > 0 || em.directoryFrozen > 0 {
			time.AfterFunc(100*time.Millisecond, publish)
			return
		}
		em.changes = append(em.changes, endpointChange{ep, state})
		close(em.directoryChanged)
		em.directoryChanged = make(chan struct{})
	}
	time.AfterFunc(time.Duration(em.scenario.Fleet.DirectoryDelay), publish)
}

// recordDrains tells the checker, after socketGrace, which endpoints a node was told are draining or gone.
func (em *Emulator) recordDrains(node int32, changes []endpointChange) {
	for _, c := range changes {
		if c.state != delivery.Ready {
			time.AfterFunc(socketGrace, func() {
				em.mu.Lock()
				defer em.mu.Unlock()
				em.checker.RecordDrain(em.now(), node, c.ep)
			})
		}
	}
}

// serveDirectory accepts the connections of a node to the directory and to the platform, which receives its notices.
func (em *Emulator) serveDirectory(node int32, l net.Listener) {
	defer em.wg.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		em.mu.Lock()
		if em.stopped {
			c.Close()
		}
		em.conns[c] = struct{}{}
		em.mu.Unlock()
		em.wg.Add(1)
		go func() {
			defer em.wg.Done()
			defer func() {
				em.mu.Lock()
				delete(em.conns, c)
				em.mu.Unlock()
				c.Close()
			}()
			em.serveDirectoryConnection(node, c)
		}()
	}
}

func (em *Emulator) serveDirectoryConnection(node int32, c net.Conn) {
	in := bufio.NewReaderSize(c, 4096)
	var r fasthttp.Request
	for {
		if err := r.ReadLimitBody(in, 1<<20); err != nil {
			return
		}
		switch path := string(r.URI().Path()); {
		case path == "/v1/outcomes" && r.Header.IsPost():
			em.handleNotices(string(r.Body()))
			if writeStatus(c, 204, "") != nil {
				return
			}
		case path == "/discovery/hosts":
			em.mu.Lock()
			down := em.directoryDown > 0
			em.mu.Unlock()
			if down {
				writeStatus(c, 503, "")
				return
			}
			if r.URI().QueryArgs().Has("watch") {
				em.watch(node, c)
				return
			}
			em.mu.Lock()
			text, _ := json.Marshal(em.fullList())
			em.mu.Unlock()
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s\n", len(text)+1, text)
		default:
			writeStatus(c, 404, "")
		}
	}
}

// watch streams the list and its changes to a node. It returns when the connection fails or the directory goes down.
func (em *Emulator) watch(node int32, c net.Conn) {
	if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		return
	}
	writeLine := func(text []byte) error {
		_, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(text)+1, text)
		return err
	}
	em.mu.Lock()
	published, changed, full := len(em.changes), em.directoryChanged, em.fullList()
	em.recordDrains(node, em.changes)
	em.mu.Unlock()
	text, _ := json.Marshal(full)
	if writeLine(text) != nil {
		return
	}
	for {
		select {
		case <-changed:
		case <-time.After(watchKeepalive):
		}
		em.mu.Lock()
		if em.stopped || em.directoryDown > 0 {
			em.mu.Unlock()
			return
		}
		changes := em.changes[published:]
		list := hostList{Seq: len(em.changes) + 1}
		for _, change := range changes {
			list.Hosts = append(list.Hosts, em.hostEntry(change.ep, change.state))
		}
		published, changed = len(em.changes), em.directoryChanged
		em.mu.Unlock()
		text = nil
		if len(changes) > 0 {
			text, _ = json.Marshal(list)
		}
		if writeLine(text) != nil {
			return
		}
		em.mu.Lock()
		em.recordDrains(node, changes)
		em.mu.Unlock()
	}
}

// handleNotices handles the notices about accepted events that were not delivered.
func (em *Emulator) handleNotices(body string) {
	em.mu.Lock()
	defer em.mu.Unlock()
	for text := range strings.SplitSeq(strings.TrimSpace(body), "\n") {
		var n struct {
			ID, Status string
			Again      int64 `json:"again_ms"`
		}
		if json.Unmarshal([]byte(text), &n) != nil {
			continue
		}
		if _, delivered := em.delivered[n.ID]; delivered && n.Status == "undeliverable" {
			em.checker.FalseNotices++
		}
		e := em.events[n.ID]
		if em.acceptUnknown && e == nil {
			em.logf("notice: event %s %s", n.ID, n.Status)
		}
		if e == nil || e.ended { // a repeated or late notice is ignored
			continue
		}
		e.ended = true
		em.logf("notice: event %s %s", n.ID, n.Status)
		if e.abandoned {
			em.releaseIfDone(e)
			continue
		}
		end := checker.Discarded
		if n.Status == "deferred" {
			end = checker.Declined
			if e.retry != nil {
				e.retry(n.Again * 1e6)
			}
		}
		em.checker.RecordEnd(em.now(), e.index, end)
		em.releaseIfDone(e)
	}
}
