// Package kit holds the stand-ins of the review's cases: endpoints, discovery with the platform, clients, and the
// delivery node as a separate process. They follow the protocol page and use loopback addresses only.
package kit

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	maxBody         = 64 << 10
	clientPatience  = 400 * time.Millisecond // a client waits this long for its answer
	watchHeartbeat  = 2 * time.Second
	readyTimeout    = 30 * time.Second
	drainTime       = 3700 * time.Millisecond // from SIGTERM to SIGKILL
	readyPollPeriod = 5 * time.Millisecond
)

// Record is the account of a run, which is also written to record.txt.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// OpenRecord creates the record in a file.
func OpenRecord(name string) (*Record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Now returns the time since the start of the run.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Log writes a line with the time since the start of the run.
func (r *Record) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", r.Now().Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Listen opens a TCP socket on a free loopback port.
func Listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// FreeAddress returns a loopback address that was free a moment ago.
func FreeAddress() (string, error) {
	l, err := Listen()
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Host is an entry of the list of endpoints.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// List is a list of endpoints or of changes to it.
type List struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Service is discovery and the platform: one list, which any number of addresses serve.
type Service struct {
	record *Record

	mu      sync.Mutex
	hosts   []Host // as they stand now, those that are gone left out
	changes []List // change i leads to version i + 2
	changed chan struct{}
	Notices map[string]string // by message
}

// NewService returns a service whose list has version 1.
func NewService(record *Record, hosts []Host) *Service {
	return &Service{record: record, hosts: hosts, changed: make(chan struct{}), Notices: map[string]string{}}
}

// Known returns the whole list as it stands.
func (s *Service) Known() List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.whole()
}

func (s *Service) whole() List {
	return List{Seq: len(s.changes) + 1, Whole: true, Hosts: append([]Host{}, s.hosts...)}
}

// Change puts changed entries in force. One that is Gone leaves the list.
func (s *Service) Change(hosts ...Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range hosts {
		rest := s.hosts[:0:0]
		for _, old := range s.hosts {
			if old.Host != h.Host {
				rest = append(rest, old)
			}
		}
		if h.Health != "Gone" {
			rest = append(rest, h)
		}
		s.hosts = rest
	}
	s.changes = append(s.changes, List{Seq: len(s.changes) + 2, Hosts: hosts})
	text, _ := json.Marshal(hosts)
	s.record.Log("discovery has version %d: %s", len(s.changes)+1, text)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Notice returns how the platform was told that a message ended, or an empty string.
func (s *Service) Notice(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Notices[id]
}

// Door is an address at which the service can be reached.
type Door struct {
	service  *Service
	name     string
	listener net.Listener

	mu        sync.Mutex
	delay     time.Duration // before a call for the list is answered, since calls are handled one after another
	busyUntil time.Time     // until then a call for the list is answered with 503
	conns     map[net.Conn]struct{}
	down      bool
	watches   int
}

// OpenDoor opens an address of the service. name is for the record.
func (s *Service) OpenDoor(name string) (*Door, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	d := &Door{service: s, name: name, listener: l, conns: map[net.Conn]struct{}{}}
	go d.serve()
	return d, nil
}

// Address returns the door's address.
func (d *Door) Address() string { return d.listener.Addr().String() }

// SetDelay sets how long a call for the list waits for its turn.
func (d *Door) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// SetBusy makes the door answer calls for the list with 503 for a while.
func (d *Door) SetBusy(length time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.busyUntil = time.Now().Add(length)
}

// Watches returns the number of open watches.
func (d *Door) Watches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watches
}

// Close ends the door: its connections end, and new ones are refused.
func (d *Door) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = true
	d.listener.Close()
	for c := range d.conns {
		c.Close()
	}
}

func (d *Door) serve() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		if d.down {
			c.Close()
		}
		d.conns[c] = struct{}{}
		d.mu.Unlock()
		go func() {
			defer func() {
				d.mu.Lock()
				delete(d.conns, c)
				d.mu.Unlock()
				c.Close()
			}()
			d.handle(c)
		}()
	}
}

func (d *Door) handle(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
		if err != nil {
			return
		}
		if r.Method == http.MethodPost && r.URL.Path == "/v1/outcomes" {
			status := d.service.takeNotices(body)
			if _, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n\r\n", status); err != nil {
				return
			}
			continue
		}
		d.mu.Lock()
		delay, busy := d.delay, time.Now().Before(d.busyUntil)
		d.mu.Unlock()
		if busy {
			d.service.record.Log("discovery %s: 503 to %s", d.name, r.URL)
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		time.Sleep(delay)
		if r.URL.Query().Get("watch") == "" {
			text, _ := json.Marshal(d.service.Known())
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text); err != nil {
				return
			}
			continue
		}
		from, _ := strconv.Atoi(r.URL.Query().Get("from"))
		d.watch(c, from)
		return
	}
}

// watch serves a watch until its connection ends.
func (d *Door) watch(c net.Conn, from int) {
	d.mu.Lock()
	d.watches++
	d.mu.Unlock()
	d.service.record.Log("discovery %s: watch from version %d", d.name, from)
	defer func() {
		d.mu.Lock()
		d.watches--
		d.mu.Unlock()
		d.service.record.Log("discovery %s: watch ended", d.name)
	}()
	ended := make(chan struct{})
	go func() {
		io.Copy(io.Discard, c)
		close(ended)
	}()
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	send := func(line string) error {
		_, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(line)+1, line)
		return err
	}
	s := d.service
	for first := true; ; first = false {
		s.mu.Lock()
		changed, now := s.changed, len(s.changes)+1
		var list List
		switch {
		case first && (from < 1 || from > now):
			list = s.whole()
		case first && from == now: // nothing changed: the whole list is always allowed
			list = s.whole()
		case from < now:
			list = List{Seq: now}
			for _, change := range s.changes[from-1:] {
				list.Hosts = append(list.Hosts, change.Hosts...)
			}
		}
		s.mu.Unlock()
		from = now
		line := ""
		if list.Seq > 0 {
			text, _ := json.Marshal(list)
			line = string(text)
			s.record.Log("discovery %s: tells version %d", d.name, list.Seq)
		}
		if send(line) != nil {
			return
		}
		select {
		case <-changed:
		case <-ended:
			return
		case <-time.After(watchHeartbeat):
		}
	}
}

// takeNotices reads notices and returns the status line's end.
func (s *Service) takeNotices(body []byte) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for line := range strings.Lines(string(body)) {
		var n struct{ ID, Status string }
		if json.Unmarshal([]byte(line), &n) != nil {
			return "400 Bad Request"
		}
		if s.Notices[n.ID] == "" {
			s.record.Log("notice: %s %s", n.ID, n.Status)
			s.Notices[n.ID] = n.Status
		}
	}
	return "204 No Content"
}

// Call is a call that reached an endpoint whole.
type Call struct {
	ID       string
	Endpoint string
	At       time.Duration // when its last byte came
}

// Endpoint is an endpoint of a destination. It runs each call that arrives whole, whether or not its caller still waits,
// and answers it with 200.
type Endpoint struct {
	Host   Host
	record *Record
	server *http.Server
	listen net.Listener

	mu        sync.Mutex
	answer    time.Duration // from the last byte of a call to its answer
	refuseAll bool          // it drains, and turns all calls away
	calls     []Call
}

// OpenEndpoint opens an endpoint of a destination. site and class are those of the list.
func OpenEndpoint(record *Record, name, site, class string, dest int, answer time.Duration) (*Endpoint, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	e := &Endpoint{Host: Host{Host: name, Dial: l.Addr().String(), Site: site, Class: class, Block: dest, Health: "Ready", Share: 1},
		record: record, answer: answer, listen: l}
	e.server = &http.Server{Handler: http.HandlerFunc(e.handle), IdleTimeout: 15 * time.Second}
	go e.server.Serve(l)
	return e, nil
}

// Close ends the endpoint's process: its connections are closed, and new ones are refused.
func (e *Endpoint) Close() { e.server.Close() }

// SetDraining makes the endpoint turn away all calls.
func (e *Endpoint) SetDraining() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refuseAll = true
}

// Calls returns the calls that arrived, those that were turned away included.
func (e *Endpoint) Calls() []Call {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Call{}, e.calls...)
}

func (e *Endpoint) handle(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1)); err != nil {
		return // its last byte never came
	}
	id := r.Header.Get("Req-Id")
	e.mu.Lock()
	refuse, answer := e.refuseAll, e.answer
	e.calls = append(e.calls, Call{ID: id, Endpoint: e.Host.Host, At: e.record.Now()})
	e.mu.Unlock()
	if refuse {
		e.record.Log("endpoint %s: %s turned away", e.Host.Host, id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.record.Log("endpoint %s: %s begins", e.Host.Host, id)
	time.Sleep(answer)
	e.record.Log("endpoint %s: %s has run", e.Host.Host, id)
	w.WriteHeader(http.StatusOK)
}

// Message is a message that a client handed in.
type Message struct {
	ID, Kind string
	Keyed    bool
	Dest     int
	Left     time.Duration
	SentAt   time.Duration
	Body     int // bytes, 0 for a short one
	Status   int // 0: no answer within the client's patience
}

// Accepted reports whether its client heard that it was taken on.
func (m *Message) Accepted() bool { return m.Status == 200 || m.Status == 202 }

// Clients hand in messages at one delivery node.
type Clients struct {
	record  *Record
	address string
	owner   string
	client  *http.Client

	mu       sync.Mutex
	next     int
	messages []*Message
	waiting  sync.WaitGroup
}

// NewClients returns clients of a tenant at the delivery node with an address.
func NewClients(record *Record, address, owner string) *Clients {
	return &Clients{record: record, address: address, owner: owner,
		client: &http.Client{Timeout: clientPatience, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// HandIn hands in one message in the background. left is how long it may still be delivered.
func (c *Clients) HandIn(kind string, keyed bool, dest int, left time.Duration) {
	c.HandInBody(kind, keyed, dest, left, 0, func(int) {})
}

// HandInBody is HandIn with a body of a size; answered is called with the status.
func (c *Clients) HandInBody(kind string, keyed bool, dest int, left time.Duration, body int, answered func(status int)) {
	c.mu.Lock()
	c.next++
	m := &Message{ID: fmt.Sprintf("%016x", c.next), Kind: kind, Keyed: keyed, Dest: dest, Left: left, Body: body,
		SentAt: c.record.Now()}
	c.messages = append(c.messages, m)
	c.mu.Unlock()
	c.waiting.Add(1)
	go func() {
		defer c.waiting.Done()
		defer func() { answered(m.Status) }()
		status := c.post(m)
		c.mu.Lock()
		m.Status = status
		c.mu.Unlock()
		c.record.Log("client: %s %s dest=%d left=%dms: %d", m.ID, kind, dest, left.Milliseconds(), status)
	}()
}

func (c *Clients) post(m *Message) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+c.address+"/api", strings.NewReader(m.ID+strings.Repeat("x", max(0, m.Body-len(m.ID)))))
	if err != nil {
		return 0
	}
	r.Header.Set("Req-Id", m.ID)
	r.Header.Set("Req-Kind", m.Kind)
	r.Header.Set("Req-Owner", c.owner)
	r.Header.Set("Req-Deadline-Ms", strconv.FormatInt(m.Left.Milliseconds(), 10))
	r.Header.Set("X-Envelope", "dest="+strconv.Itoa(m.Dest))
	if m.Keyed {
		r.Header.Set("Idempotency-Key", "key-"+m.ID)
	}
	answer, err := c.client.Do(r)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

// Wait waits until all messages that were handed in are answered or given up, and returns them.
func (c *Clients) Wait() []*Message {
	c.waiting.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.messages
}

// SettingsHeredia returns settings like those of heredia-main, where discovery is asked.
func SettingsHeredia() map[string]any {
	return map[string]any{
		"me": 0, "replicas_of_me": 1, "tick_ms": 5, "models": []string{"large-partner", "small-partner"},
		"areas": []string{"heredia-dc"}, "discovery": "subscribe", "weight_kind": "silent",
		"services": []map[string]any{
			{"name": "service-alert", "semantics": "by_key", "group": "all", "memory_span_ms": 15000, "aim_ms": 4000,
				"deadline_ms": 28000, "value": 1, "late_value": 0.5},
			{"name": "machine-status", "semantics": "repeatable", "aim_ms": 1000, "deadline_ms": 8000, "value": 3},
			{"name": "hour-charge", "semantics": "once", "aim_ms": 4000, "deadline_ms": 24000, "value": 4, "late_value": 0.5},
		},
		"projects":    []map[string]any{{"name": "ingenio-la-ceiba", "quota_rps": 16}},
		"family_info": map[string]any{"slots": 15, "per_call": []int{5, 1}, "own_limits": []bool{false, false}, "late": "even"},
		"feedback":    map[string]any{"names": []string{"x0", "x1"}},
		"ceilings": map[string]any{"max_open": 176, "max_attempts": 6, "may_duplicate": true, "cancel": true, "retry_after": true,
			"max_retry_after_ms": 2000, "conn_idle_ms": 15000, "connect_timeout_ms": 1500, "peer_messages": true},
		"rules": map[string]any{"cold_share": 0.21, "ramp_time_ms": 13000, "fall_multiple": 2, "tip_after_ms": 2000,
			"drain_grace_ms": 500, "ask_within_ms": 10000},
	}
}

// SettingsSanCarlos returns settings like those of sancarlos-llanura, where lists are pushed. Its class has the effect that
// is given.
func SettingsSanCarlos(effect string) map[string]any {
	class := map[string]any{"name": "fleet-delivery", "semantics": effect, "aim_ms": 3000, "deadline_ms": 16000, "value": 1,
		"late_value": 0.5}
	if effect == "by_key" {
		class["group"], class["memory_span_ms"] = "all", 6000
	}
	return map[string]any{
		"me": 0, "replicas_of_me": 1, "tick_ms": 5, "models": []string{"major-partners", "all-partners"},
		"areas": []string{"quesada-dc1"}, "discovery": "automatic", "weight_kind": "silent",
		"services":    []map[string]any{class},
		"projects":    []map[string]any{{"name": "ingenio-pital", "quota_rps": 50}},
		"family_info": map[string]any{"slots": 14, "per_call": []int{1, 1}, "own_limits": []bool{false, false}, "late": "even"},
		"feedback":    map[string]any{"names": []string{"x0", "x1"}},
		"ceilings": map[string]any{"max_open": 176, "max_attempts": 8, "may_duplicate": false, "cancel": true, "retry_after": false,
			"max_retry_after_ms": 3000, "conn_idle_ms": 10000, "connect_timeout_ms": 1000},
		"rules": map[string]any{"cold_share": 0.31, "ramp_time_ms": 9900, "fall_multiple": 1.5, "tip_after_ms": 2000,
			"drain_grace_ms": 250, "ask_within_ms": 10000},
	}
}

// Node is a delivery node, started by the deploy file's command.
type Node struct {
	record  *Record
	root    string // of the repository
	command string
	folder  string
	config  map[string]any

	Address string
	process *exec.Cmd
	exited  chan error
}

// NewNode prepares a delivery node in a folder: its configuration and its state.
func NewNode(record *Record, folder, discovery string, settings map[string]any, known List) (*Node, error) {
	root, err := filepath.Abs(".")
	if err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if run == nil {
		return nil, errors.New("the deploy file has no line run")
	}
	n := &Node{record: record, root: root, command: string(run[1]), folder: folder}
	if n.Address, err = FreeAddress(); err != nil {
		return nil, err
	}
	n.config = map[string]any{"name": "n0", "listen": n.Address, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"known":  known, "settings": settings}
	if err := os.MkdirAll(n.StateFolder(), 0o700); err != nil {
		return nil, err
	}
	return n, n.writeConfig()
}

func (n *Node) configFile() string { return filepath.Join(n.folder, "config.json") }

// writeConfig replaces the configuration as a whole.
func (n *Node) writeConfig() error {
	text, err := json.MarshalIndent(n.config, "", " ")
	if err != nil {
		return err
	}
	next := n.configFile() + ".new"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, n.configFile())
}

// Set changes a value of the configuration, which the node reads at its next start or SIGHUP.
func (n *Node) Set(key string, value any) error {
	n.config[key] = value
	return n.writeConfig()
}

// Start starts the node's process and waits until GET /up answers 200.
func (n *Node) Start() error {
	log, err := os.OpenFile(filepath.Join(n.folder, "node.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.process = exec.Command("/bin/sh", "-c", n.command)
	n.process.Dir, n.process.Stdout, n.process.Stderr = n.root, log, log
	n.process.Env = append(os.Environ(), fmt.Sprint("RELAY_NAME=", n.config["name"]), "RELAY_LISTEN="+n.Address, "RELAY_CONFIG="+n.configFile(),
		"RELAY_STATE="+n.StateFolder(), fmt.Sprint("RELAY_DISCOVERY=", n.config["discovery"]))
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	exited, process := make(chan error, 1), n.process
	n.exited = exited
	go func() { exited <- process.Wait() }()
	n.record.Log("node: started")
	quick := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPollPeriod) {
		select {
		case err := <-exited:
			return fmt.Errorf("the node ended at its start: %v", err)
		default:
		}
		if answer, err := quick.Get("http://" + n.Address + "/up"); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				n.record.Log("node: ready")
				return nil
			}
		}
	}
	return errors.New("the node was not ready in time")
}

// StateFolder is the folder that outlasts the process.
func (n *Node) StateFolder() string { return filepath.Join(n.folder, "state") }

// StateBytes returns what the files of the state folder take, each counted in whole 512 bytes.
func (n *Node) StateBytes() (total int64) {
	const block = 512
	entries, _ := os.ReadDir(n.StateFolder())
	for _, e := range entries {
		if info, err := e.Info(); err == nil {
			total += (info.Size() + block - 1) / block * block
		}
	}
	return total
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(signal syscall.Signal) error {
	n.record.Log("node: gets signal %v", signal)
	return n.process.Process.Signal(signal)
}

// Kill ends the node's process with SIGKILL.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL)
	<-n.exited
}

// Stop ends the node's process as a planned restart does: SIGTERM, and SIGKILL 3.7 s later.
func (n *Node) Stop() {
	n.Signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(drainTime):
		n.Kill()
	}
}

// Run plays a case: it prepares the record and a temporary folder, and exits with the case's result. play returns
// whether the rule held.
func Run(folder string, play func(ctx context.Context, record *Record, temporary string, trouble bool) (held bool, err error)) {
	const brokenRule, cannotRun = 1, 2
	record, err := OpenRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(cannotRun)
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(cannotRun)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	held, err := play(ctx, record, temporary, os.Getenv("TROUBLE") != "0")
	cancel()
	for _, pattern := range []string{"node.log", "*/node.log"} {
		names, _ := filepath.Glob(filepath.Join(temporary, pattern))
		for _, name := range names {
			if log, readErr := os.ReadFile(name); readErr == nil {
				record.Log("the log of a node follows\n%s", log)
			}
		}
	}
	os.RemoveAll(temporary)
	switch {
	case err != nil:
		record.Say("cannot run: %v", err)
		os.Exit(cannotRun)
	case !held:
		record.Say("the rule was broken")
		os.Exit(brokenRule)
	}
	record.Say("the rule held")
}
