package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const watchKeepalive = 2 * time.Second // interval of a watch's empty lines, set by the protocol

// discovery emulates the platform: it serves the endpoint list and receives notices, on a separate address for each
// node.
type discovery struct {
	history   *history
	endpoints []*endpoint
	listeners []net.Listener
	network   *network

	mu       sync.Mutex
	sequence int
	draining map[int]bool
	silent   map[int]bool // nodes whose open watches are stalled
	down     bool
	changed  chan struct{} // closed at each change
	conns    map[net.Conn]struct{}
	listed   []listing          // by endpoint
	gone     []departedEndpoint // still listed as ready
}

func newDiscovery(h *history, endpoints []*endpoint, nodes int) (*discovery, error) {
	d := &discovery{history: h, endpoints: endpoints, sequence: 1, draining: map[int]bool{}, silent: map[int]bool{},
		changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	for _, e := range endpoints {
		d.listed = append(d.listed, listing{process: e.process})
	}
	for node := range nodes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			d.close()
			return nil, err
		}
		d.listeners = append(d.listeners, listener)
		go d.serve(node, listener)
	}
	return d, nil
}

func (d *discovery) address(node int) string { return d.listeners[node].Addr().String() }

func (d *discovery) close() {
	for _, listener := range d.listeners {
		listener.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.conns {
		conn.Close()
	}
}

func (d *discovery) update(do func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	do()
	close(d.changed)
	d.changed = make(chan struct{})
}

// drain marks an endpoint as draining.
func (d *discovery) drain(endpoint int) {
	d.update(func() {
		d.sequence++
		d.draining[endpoint] = true
	})
}

// silenceWatches stops all output on the open watches of a node.
func (d *discovery) silenceWatches(node int) { d.update(func() { d.silent[node] = true }) }

// setDown takes discovery down or brings it up again. Notices are received at all times.
func (d *discovery) setDown(down bool) {
	d.update(func() { d.down = down })
	if !down {
		return
	}
	d.history.recordPlatformDisconnect()
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.conns {
		conn.Close()
	}
}

func (d *discovery) serve(node int, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		d.conns[conn] = struct{}{}
		d.mu.Unlock()
		go func() {
			d.handle(node, conn)
			conn.Close()
			d.mu.Lock()
			delete(d.conns, conn)
			d.mu.Unlock()
		}()
	}
}

func (d *discovery) handle(node int, conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		call, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(call.Body, maxCallBytes))
		if err != nil {
			return
		}
		if call.Method == http.MethodPost {
			if d.takeNotices(conn, body) != nil {
				return
			}
			continue
		}
		d.mu.Lock()
		down := d.down
		d.mu.Unlock()
		if down {
			io.WriteString(conn, "HTTP/1.1 503 Down\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		if call.URL.Query().Get("watch") == "" {
			text, _ := d.list(node)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			d.recordSent(node, conn)
			continue
		}
		d.watch(node, conn)
		return
	}
}

func (d *discovery) takeNotices(conn net.Conn, body []byte) error {
	for line := range strings.Lines(string(body)) {
		var n struct{ ID, Status string }
		if err := json.Unmarshal([]byte(line), &n); err != nil {
			d.history.addViolation(RuleAnswer, "malformed notice: %q", line)
			_, err = io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
			return err
		}
		d.history.recordNotice(n.ID, n.Status)
	}
	_, err := io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
	return err
}

// list returns the full endpoint list for a node, and a channel that is closed when the list changes.
func (d *discovery) list(node int) (string, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var hosts []string
	add := func(number int, process identity, health string) {
		hosts = append(hosts, fmt.Sprintf(`{"host":%q,"dial":%q,"site":"here","class":"m0","block":%d,"health":%q,`+
			`"share":1.0,"born_ms":%d}`, process.host, d.network.endpoints[node][number].Address(), process.dest, health,
			process.startedAt))
	}
	for number, l := range d.listed {
		health := "Ready"
		if d.draining[number] {
			health = "Terminating"
		}
		add(number, l.process, health)
	}
	for _, e := range d.gone {
		add(e.number, e.process, "Ready")
	}
	return `{"seq":` + strconv.Itoa(d.sequence) + `,"whole":true,"hosts":[` + strings.Join(hosts, ",") + "]}\n", d.changed
}

// recordSent records that a node has been sent the list as it is now: the endpoints that are draining, and the processes.
func (d *discovery) recordSent(node int, conn net.Conn) {
	proxyConn := d.network.discovery[node].ConnToTarget(conn.RemoteAddr())
	d.mu.Lock()
	defer d.mu.Unlock()
	for number := range d.draining {
		d.endpoints[number].recordDrain(node, proxyConn)
	}
	for number, l := range d.listed {
		bothListed := slices.ContainsFunc(d.gone, func(e departedEndpoint) bool { return e.number == number })
		d.endpoints[number].recordTold(node, l.generation, bothListed, proxyConn)
	}
}

func (d *discovery) watch(node int, conn net.Conn) {
	d.mu.Lock()
	delete(d.silent, node)
	d.mu.Unlock()
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	send := func(line string) error {
		_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(line), line)
		return err
	}
	newest := ""
	keepalive := time.NewTicker(watchKeepalive)
	defer keepalive.Stop()
	for {
		text, changed := d.list(node)
		d.mu.Lock()
		silent, down := d.silent[node], d.down
		d.mu.Unlock()
		switch {
		case down:
			return
		case silent:
			io.Copy(io.Discard, conn) // until the node closes the watch
			return
		case text != newest:
			newest = text
			if send(text) != nil {
				return
			}
			d.recordSent(node, conn)
		}
		select {
		case <-changed:
		case <-keepalive.C:
			if send("\n") != nil {
				return
			}
		}
	}
}
