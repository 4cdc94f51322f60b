package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	linkDelay  = 22 * time.Millisecond // one way; the site's figure for the way there and back is 15 to 45 ms
	linkJitter = 15 * time.Millisecond // 0.35 of it at most
	pause      = 480 * time.Millisecond
	copyRounds = 4  // partners that are struck
	copyFleet  = 10 // all partners

	usualService  = 30 * time.Millisecond
	reportMaxTime = 8 * time.Second
	chargeMaxTime = 24 * time.Second
	noticeSlack   = 350 * time.Millisecond // 300 ms, and the 50 ms by which every time limit is longer
)

// partner plays an endpoint of a fast partner system. Now and then it stands still, refuses above its limit, and writes an
// answer twice.
type partner struct {
	rig  *rig
	name string

	mu       sync.Mutex
	resumeAt time.Time
	ran      map[string]int // by message: how often it took effect
	answered int
	refused  map[string]bool
	copyOf   string // the message whose answer is followed by a copy of it
	refuse   string // the message that is above the limit
	pause    time.Duration
	pauseAt  string // the message with whose arrival it stands still
	service  map[string]time.Duration
}

func (p *partner) serve() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serveConn(conn)
		}
	}()
	return l.Addr().String(), nil
}

func (p *partner) serveConn(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Req-Id")
		p.rig.note("%s: call with %s on connection %s", p.name, id, conn.RemoteAddr())
		p.mu.Lock()
		if id == p.pauseAt {
			p.pauseAt = ""
			p.resumeAt = time.Now().Add(p.pause)
			p.rig.note("%s: stands still for %v", p.name, p.pause)
		}
		service := p.service[id]
		refused, copied := id == p.refuse && !p.refused[id], id == p.copyOf
		p.refused[id] = p.refused[id] || refused
		p.mu.Unlock()
		switch {
		case refused:
			service = 5 * time.Millisecond
		case service == 0:
			service = usualService
		}
		p.work(service)
		p.mu.Lock()
		p.answered++
		status, load := "200 OK", fmt.Sprintf("x0=%.3f,x1=20", 0.9-float64(p.answered%400)/500)
		if refused {
			status = "429 Too Many Requests"
		} else {
			p.ran[id]++
		}
		p.rig.note("%s: %s is answered %s", p.name, id, status)
		p.mu.Unlock()
		answer := []byte(strings.Join([]string{"HTTP/1.1 " + status, "Srv-Load: " + load, "Content-Length: 0", "", ""}, "\r\n"))
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if copied && p.rig.trouble && in.Buffered() == 0 { // nothing else waits on the connection
			time.Sleep(time.Millisecond) // a piece of its own
			p.rig.note("%s: the answer to %s goes out a second time", p.name, id)
			conn.Write(answer)
		}
	}
}

// work lets a call's processing time pass, during which the endpoint may stand still.
func (p *partner) work(service time.Duration) {
	const step = 5 * time.Millisecond
	for service > 0 {
		p.mu.Lock()
		resumeAt := p.resumeAt
		p.mu.Unlock()
		if still := time.Until(resumeAt); still > 0 {
			time.Sleep(still)
			continue
		}
		time.Sleep(step)
		service -= step
	}
}

// bystanders are the destinations that nothing happens to.
type bystanders struct {
	rig         *rig
	first, last int // their numbers
	sent        int
}

// send hands in messages for them, 100 ms apart.
func (b *bystanders) send(node string, count int) {
	for range count {
		m := message{id: fmt.Sprintf("other-%d", b.sent), kind: "machine-status", dest: b.first + b.sent%(b.last-b.first+1), deadline: reportMaxTime, body: "tractor"}
		b.sent++
		go b.rig.submit(node, m)
		time.Sleep(100 * time.Millisecond)
	}
}

// newPartners starts partners, each with one endpoint behind a link, and returns them with their entries of the list.
func newPartners(r *rig, count int) ([]*partner, []host, error) {
	var hosts []host
	var partners []*partner
	for i := range count {
		p := &partner{rig: r, pause: pause, name: fmt.Sprintf("endpoint-%d", i+1), ran: make(map[string]int), refused: make(map[string]bool), service: make(map[string]time.Duration)}
		server, err := p.serve()
		if err != nil {
			return nil, nil, err
		}
		way := &link{server: server, delay: func(toNode bool, index int) time.Duration {
			if toNode && index%2 == 1 { // the network's jitter
				return linkDelay + linkJitter
			}
			return linkDelay
		}}
		dial, err := way.serve()
		if err != nil {
			return nil, nil, err
		}
		partners = append(partners, p)
		hosts = append(hosts, host{Host: fmt.Sprintf("s-%d", i+1), Dial: dial, Site: "heredia-dc", Class: "small-partner", Block: i + 1, Health: "Ready", Share: 1})
	}
	return partners, hosts, nil
}

// playCopiedCharge shows that a charge takes effect twice: partners answer a call twice, stand still under the next call on the
// connection and refuse it later, and that refusal is taken for one of the charge that has come meanwhile.
func playCopiedCharge(r *rig) error {
	partners, hosts, err := newPartners(r, copyFleet)
	if err != nil {
		return err
	}
	platform := newPlatform(r, hosts)
	discovery, err := platform.serve()
	if err != nil {
		return err
	}
	listen := freeAddress()
	node, err := r.startNode(nodeConfig{name: "n0", listen: listen, discovery: discovery, state: r.folder + "/state",
		settings: smallDeployment("subscribe"), known: platform.whole()})
	if err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	others := &bystanders{rig: r, first: copyRounds + 1, last: copyFleet}
	accepted := make(map[string]int)
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i, p := range partners[:copyRounds] {
		send := func(name, kind string, left time.Duration) {
			m := message{id: fmt.Sprintf("%s-%d", name, i+1), kind: kind, dest: i + 1, deadline: left, body: "tractor " + name}
			clients.Go(func() {
				status := r.submit(listen, m)
				mu.Lock()
				defer mu.Unlock()
				accepted[m.id] = status
			})
		}
		p.mu.Lock()
		first, second, third := fmt.Sprintf("first-%d", i+1), fmt.Sprintf("second-%d", i+1), fmt.Sprintf("third-%d", i+1)
		p.copyOf, p.pauseAt, p.refuse = first, third, third
		p.service[first], p.service[second] = 40*time.Millisecond, 120*time.Millisecond
		p.mu.Unlock()
		for n := range 2 { // usual traffic
			send(fmt.Sprintf("usual%d", n), "machine-status", reportMaxTime)
			time.Sleep(250 * time.Millisecond)
		}
		for _, name := range []string{"first", "second", "third"} { // a clump
			send(name, "machine-status", reportMaxTime)
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(430 * time.Millisecond)
		send("charge", "hour-charge", chargeMaxTime)
		time.Sleep(300 * time.Millisecond)
		others.send(listen, 9) // so that those that stand still get 40% of the traffic
	}
	time.Sleep(reportMaxTime + noticeSlack)
	clients.Wait()
	select {
	case <-node.ended:
		r.broken("the node has ended by itself")
	default:
	}
	for i, p := range partners[:copyRounds] {
		id := fmt.Sprintf("charge-%d", i+1)
		p.mu.Lock()
		platform.mu.Lock()
		runs, notice := p.ran[id], platform.noticed[id]
		platform.mu.Unlock()
		p.mu.Unlock()
		r.note("%s was answered %d, took effect %d times, notice %q", id, accepted[id], runs, notice)
		if runs > 1 {
			r.broken("%s may not be repeated and took effect %d times", id, runs)
		}
	}
	return nil
}
