package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	sendEvery   = 350 * time.Millisecond
	drainGrace  = 250 * time.Millisecond
	socketSlack = 50 * time.Millisecond // by which every time limit is longer on sockets
)

// route is an address at which an endpoint of a destination answers. Another process may take the address over.
type route struct {
	fleet *fleet

	mu    sync.Mutex
	host  string
	block int
	conns map[net.Conn]struct{}
}

// fleet is what the endpoints of a case share: which message is for which destination, and from when on the node counts as told.
type fleet struct {
	rig  *rig
	mu   sync.Mutex
	dest map[string]int
	told time.Time // zero before the change counts as told
	late int       // messages of another destination that began after the grace
	ran  map[string]bool
}

func (f *fleet) newRoute(host string, block int) (*route, string, error) {
	r := &route{fleet: f, host: host, block: block, conns: make(map[net.Conn]struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[conn] = struct{}{}
			r.mu.Unlock()
			go r.serveConn(conn)
		}
	}()
	return r, l.Addr().String(), nil
}

// takeOver lets another process answer at the address. The connections of the one before end with it.
func (r *route) takeOver(host string, block int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.rig.note("%s has gone, and %s of destination %d answers at its address", r.host, host, block)
	r.host, r.block = host, block
	for conn := range r.conns {
		conn.Close()
		delete(r.conns, conn)
	}
}

func (r *route) serveConn(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		began := time.Now() // the time of a send counts from its first byte
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Req-Id")
		r.mu.Lock()
		host, block := r.host, r.block
		r.mu.Unlock()
		status := "200 OK"
		if !r.fleet.receive(id, host, block, began) {
			status = "400 Bad Request"
		}
		time.Sleep(20 * time.Millisecond)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status); err != nil {
			return
		}
	}
}

// receive judges a call, and reports whether the message is for the endpoint's destination.
func (f *fleet) receive(id, host string, block int, began time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dest[id] == block {
		f.rig.note("%s: %s is delivered", host, id)
		f.ran[id] = true
		return true
	}
	since := "before the change counts as told"
	if !f.told.IsZero() {
		since = fmt.Sprintf("%d ms after the change counts as told", began.Sub(f.told).Milliseconds())
		if began.Sub(f.told) > drainGrace+socketSlack {
			f.late++
		}
	}
	f.rig.note("%s of destination %d: got %s for destination %d, %s", host, block, id, f.dest[id], since)
	return false
}

// send hands in messages for a destination until stop is closed.
func (f *fleet) send(node string, dest int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(sendEvery):
		}
		m := message{id: fmt.Sprintf("m%d-%d-%d", dest, n, time.Now().UnixMilli()), kind: "fleet-delivery", dest: dest, deadline: 16 * time.Second, body: "tractor"}
		m.key = "key-" + m.id
		f.mu.Lock()
		f.dest[m.id] = dest
		f.mu.Unlock()
		go f.rig.submit(node, m)
	}
}

// pushedDeployment returns settings like those of a small deployment of the third site, to which lists are pushed.
func pushedDeployment() map[string]any {
	return map[string]any{
		"me": 0, "replicas_of_me": 1, "tick_ms": 5, "models": []string{"major-partners", "all-partners"}, "areas": []string{"quesada-dc1"},
		"discovery": "automatic", "weight_kind": "nominal",
		"services": []any{map[string]any{"name": "fleet-delivery", "semantics": "by_key", "group": "all", "memory_span_ms": 6000, "aim_ms": 3000,
			"deadline_ms": 16000, "value": 1, "late_value": 0.5}},
		"projects":    []any{map[string]any{"name": "acme", "quota_rps": 20}},
		"family_info": map[string]any{"slots": 8, "per_call": []int{1, 1}, "own_limits": []bool{false, false}, "late": "even"},
		"feedback":    map[string]any{"names": []string{"x0", "x1"}},
		"ceilings": map[string]any{"max_open": 60, "max_attempts": 8, "may_duplicate": false, "cancel": true, "retry_after": false,
			"conn_idle_ms": 10000, "connect_timeout_ms": 1000, "peer_messages": false},
		"rules": map[string]any{"cold_share": 0.31, "ramp_time_ms": 9900, "fall_multiple": 1.5, "tip_after_ms": 2000,
			"drain_grace_ms": drainGrace.Milliseconds()},
	}
}

// replacement is the stage of both cases: two destinations, and a replacement of the endpoint of the first.
type replacement struct {
	fleet     *fleet
	first     *route
	before    []host
	after     []host
	platform  *platform
	discovery string
}

func newReplacement(r *rig) (*replacement, error) {
	f := &fleet{rig: r, dest: make(map[string]int), ran: make(map[string]bool)}
	entry := func(name, dial string, block int, health string, born int64) host {
		return host{Host: name, Dial: dial, Site: "quesada-dc1", Class: "all-partners", Block: block, Health: health, Share: 20, BornMs: born}
	}
	first, firstDial, err := f.newRoute("s-1", 1)
	if err != nil {
		return nil, err
	}
	_, secondDial, err := f.newRoute("s-2", 2)
	if err != nil {
		return nil, err
	}
	_, nextDial, err := f.newRoute("s-4", 1)
	if err != nil {
		return nil, err
	}
	now := time.Now().UnixMilli()
	p := &replacement{fleet: f, first: first,
		before: []host{entry("s-1", firstDial, 1, "Ready", 0), entry("s-2", secondDial, 2, "Ready", 0)},
		after:  []host{entry("s-2", secondDial, 2, "Ready", 0), entry("s-3", firstDial, 2, "Ready", now), entry("s-4", nextDial, 1, "Ready", now)}}
	p.platform = newPlatform(r, p.before)
	p.discovery, err = p.platform.serve()
	return p, err
}

// judge reports the messages that an endpoint of another destination got.
func (p *replacement) judge(node *process) {
	select {
	case <-node.ended:
		p.fleet.rig.broken("the node has ended by itself")
	default:
	}
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.fleet.rig.note("%d messages delivered", len(p.fleet.ran))
	if p.fleet.late > 0 {
		p.fleet.rig.broken("an endpoint of destination 2 got %d messages for destination 1, more than %v after the node counts as told", p.fleet.late,
			drainGrace+socketSlack)
	}
}

// playReturn replaces an endpoint while discovery is down, and lets discovery return.
func playReturn(r *rig) error {
	p, err := newReplacement(r)
	if err != nil {
		return err
	}
	listen := freeAddress()
	node, err := r.startNode(nodeConfig{name: "n0", listen: listen, discovery: p.discovery, state: r.folder + "/state", settings: pushedDeployment(), known: p.platform.whole()})
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	go p.fleet.send(listen, 1, stop)
	go p.fleet.send(listen, 2, stop)
	time.Sleep(3 * time.Second)
	const outage = 8 * time.Second
	if r.trouble {
		r.note("discovery goes down")
		p.platform.set(func() { p.platform.down, p.platform.failed = true, make(chan struct{}, 1) })
		time.Sleep(outage - 2500*time.Millisecond)
		select {
		case <-p.platform.failed:
		default:
		}
		select { // it is back within the outage's 8 s, soon after a call
		case <-p.platform.failed:
		case <-time.After(2400 * time.Millisecond):
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.first.takeOver("s-3", 2)
	p.platform.set(func() { p.platform.seq, p.platform.hosts, p.platform.down = 42, p.after, false })
	p.fleet.mu.Lock()
	p.fleet.told = time.Now()
	p.fleet.mu.Unlock()
	r.note("discovery has the change and can be reached")
	time.Sleep(5 * time.Second)
	close(stop)
	time.Sleep(500 * time.Millisecond)
	p.judge(node)
	return nil
}

// playSlowStart replaces an endpoint while the node restarts, and has discovery answer late.
func playSlowStart(r *rig) error {
	p, err := newReplacement(r)
	if err != nil {
		return err
	}
	c := nodeConfig{name: "n0", listen: freeAddress(), discovery: p.discovery, state: r.folder + "/state", settings: pushedDeployment(), known: p.platform.whole()}
	node, err := r.startNode(c)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	go p.fleet.send(c.listen, 1, stop)
	go p.fleet.send(c.listen, 2, stop)
	time.Sleep(3 * time.Second)
	r.note("the node is killed")
	node.kill()
	close(stop)
	p.first.takeOver("s-3", 2)
	p.platform.set(func() {
		p.platform.seq, p.platform.hosts = 42, p.after
		if r.trouble {
			p.platform.delay = 1800 * time.Millisecond
		}
	})
	time.Sleep(600 * time.Millisecond)
	p.fleet.mu.Lock()
	p.fleet.told = time.Now() // from the first moment of the new process
	p.fleet.mu.Unlock()
	r.note("the node is started again, with the list that it had last")
	if node, err = r.startNode(c); err != nil {
		return err
	}
	stop = make(chan struct{})
	go p.fleet.send(c.listen, 1, stop)
	go p.fleet.send(c.listen, 2, stop)
	time.Sleep(5 * time.Second)
	close(stop)
	time.Sleep(500 * time.Millisecond)
	p.judge(node)
	return nil
}
