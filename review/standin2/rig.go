package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig holds what a case shares: its temporary folder, its record and the processes that it started.
type rig struct {
	folder  string
	trouble bool
	began   time.Time

	mu      sync.Mutex
	record  *os.File
	faults  []string
	started []*process
	closed  bool
}

// errCannotRun means that the case could not be played, which says nothing about the rule.
var errCannotRun = errors.New("the case could not run")

func newRig(recordFile string) (*rig, error) {
	folder, err := os.MkdirTemp("", "jaspersill-review-2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	return &rig{folder: folder, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}, nil
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that the rule was broken.
func (r *rig) broken(format string, args ...any) {
	r.note("BROKEN "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

// close ends all processes that the case started, by their ids, and removes its folder. No process is started after it.
func (r *rig) close() {
	r.mu.Lock()
	r.closed = true
	started := r.started
	r.mu.Unlock()
	for _, p := range started {
		p.kill()
	}
	r.record.Close()
	os.RemoveAll(r.folder)
}

// start starts a process, unless the case has ended.
func (r *rig) start(p *process) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return errCannotRun
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	r.started = append(r.started, p)
	return nil
}

// process is a delivery node, started with the command of the deploy file.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

func (p *process) signal(s syscall.Signal) { syscall.Kill(p.cmd.Process.Pid, s) }

func (p *process) kill() {
	select {
	case <-p.ended:
	default:
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
}

// runCommand returns the line "run" of the deploy file.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, found := strings.CutPrefix(line, "run = "); found {
			return strings.Trim(value, `"`), nil
		}
	}
	return "", errors.New("deploy/balancer.toml has no line run")
}

// freeAddress returns a loopback address that nobody listens at. Its port is below those that the system gives to connections, so
// that it stays free while a node restarts.
func freeAddress() string {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000))
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	return "127.0.0.1:0"
}

// nodeConfig is what the platform writes for a node.
type nodeConfig struct {
	name, listen, discovery, state string
	settings                       map[string]any
	known                          any
}

// startNode writes the node's configuration, starts it and waits until it is ready.
func (r *rig) startNode(c nodeConfig) (*process, error) {
	peer := freeAddress()
	text, err := json.Marshal(map[string]any{"name": c.name, "listen": c.listen, "discovery": c.discovery,
		"seed": fmt.Sprintf("%016x", time.Now().UnixNano()), "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"peer_listen": peer, "peers": []string{peer}, "peers_all": peer, "known": c.known, "settings": c.settings})
	if err != nil {
		return nil, err
	}
	configFile := filepath.Join(r.folder, c.name+".json")
	if err := os.WriteFile(configFile, text, 0o600); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(c.state, 0o700); err != nil {
		return nil, err
	}
	command, err := runCommand()
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(r.folder, c.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &process{cmd: exec.Command("/bin/sh", "-c", command), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "RELAY_NAME="+c.name, "RELAY_LISTEN="+c.listen, "RELAY_DISCOVERY="+c.discovery,
		"RELAY_STATE="+c.state, "RELAY_CONFIG="+configFile)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := r.start(p); err != nil {
		return nil, err
	}
	go func() {
		p.cmd.Wait()
		close(p.ended)
	}()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + c.listen + "/up")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			r.note("node %s is ready", c.name)
			return p, nil
		}
	}
	return nil, fmt.Errorf("%w: node %s is not ready", errCannotRun, c.name)
}

// message is what a client hands in.
type message struct {
	id, kind, key, body string
	dest                int
	deadline            time.Duration
}

// submit hands in one message on a connection of its own, and returns the status of the answer, 0 for none in 400 ms.
func (r *rig) submit(node string, m message) int {
	conn, err := net.Dial("tcp", node)
	if err != nil {
		r.note("client: %s not sent: %v", m.id, err)
		return 0
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(400 * time.Millisecond))
	text := fmt.Sprintf("POST /api HTTP/1.1\r\nHost: service.internal\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: acme\r\nReq-Deadline-Ms: %d\r\n",
		m.id, m.kind, m.deadline.Milliseconds())
	if m.key != "" {
		text += "Idempotency-Key: " + m.key + "\r\n"
	}
	text += fmt.Sprintf("Content-Length: %d\r\nX-Envelope: dest=%d\r\n\r\n%s", len(m.body), m.dest, m.body)
	r.note("client: sends %s (%s) for destination %d", m.id, m.kind, m.dest)
	if _, err := conn.Write([]byte(text)); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		r.note("client: %s has no answer: %v", m.id, err)
		return 0
	}
	response.Body.Close()
	r.note("client: %s is answered %d", m.id, response.StatusCode)
	return response.StatusCode
}

// smallDeployment returns settings like those of a small deployment of the first site, with lists that are asked for or
// come on their own.
func smallDeployment(discovery string) map[string]any {
	return map[string]any{
		"me": 0, "replicas_of_me": 1, "tick_ms": 5, "models": []string{"large-partner", "small-partner"}, "areas": []string{"heredia-dc"},
		"discovery": discovery, "weight_kind": "silent",
		"services": []any{
			map[string]any{"name": "service-alert", "semantics": "by_key", "group": "all", "memory_span_ms": 15000, "aim_ms": 4000,
				"deadline_ms": 28000, "value": 1, "late_value": 0.5},
			map[string]any{"name": "machine-status", "semantics": "repeatable", "aim_ms": 1000, "deadline_ms": 8000, "value": 3},
			map[string]any{"name": "hour-charge", "semantics": "once", "aim_ms": 4000, "deadline_ms": 24000, "value": 4, "late_value": 0.5},
		},
		"projects":    []any{map[string]any{"name": "acme", "quota_rps": 20}},
		"family_info": map[string]any{"slots": 4, "per_call": []int{5, 1}, "own_limits": []bool{false, false}, "late": "even"},
		"feedback":    map[string]any{"names": []string{"x0", "x1"}},
		"ceilings": map[string]any{"max_open": 60, "max_attempts": 6, "may_duplicate": true, "cancel": true, "retry_after": true,
			"max_retry_after_ms": 2000, "conn_idle_ms": 15000, "connect_timeout_ms": 1500, "peer_messages": true},
		"rules": map[string]any{"cold_share": 0.21, "ramp_time_ms": 13000, "fall_multiple": 2, "tip_after_ms": 2000, "drain_grace_ms": 500,
			"ask_within_ms": 10000},
	}
}
