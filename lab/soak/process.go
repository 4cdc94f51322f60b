package soak

import (
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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"jaspersill/lab/sysfault"
)

// What the platform does and asks of a process.
const (
	killAfterTerm           = 3700 * time.Millisecond // the earliest time from SIGTERM to SIGKILL
	newConnectionsAfterTerm = 300 * time.Millisecond  // new connections go on coming so long after SIGTERM
	restartDelay            = 600 * time.Millisecond
	readyTimeout            = 10 * time.Second
	connectMillis           = 500
	slots                   = 16
	maxOpenRequests         = 200
	maxAttempts             = 6
	keyedWindow             = 1500 * time.Millisecond
	drainGrace              = 300 * time.Millisecond
	coldShare               = 0.2
	fallMultiple            = 2.0
	fallAfter               = 2 * time.Second
	rampTime                = 4 * time.Second
	endpointCapacity        = 200.0
	socketLimit             = 1024
	crowdedSocketLimit      = 160
)

// process is one delivery node that is started, signalled, killed and started again on one folder.
type process struct {
	number     int
	program    string
	listen     string
	configFile string
	folder     string
	logFile    string
	history    *history

	peerListen string

	mu           sync.Mutex
	cmd          *exec.Cmd
	supervisor   *sysfault.Supervisor
	exited       chan struct{}
	accepting    bool // new connections go to it
	exitExpected bool // it was asked to end
	settings     map[string]any
	restarting   atomic.Bool
}

func newProcess(number int, options *Options, l *history, paths *network, crowded bool) (*process, error) {
	name := "n" + strconv.Itoa(number)
	p := &process{number: number, program: options.Program, history: l,
		configFile: filepath.Join(options.Folder, name+".json"), folder: filepath.Join(options.Folder, name),
		logFile: filepath.Join(options.Folder, name+".log")}
	// An address of its own on the loopback network, since a port of 127.0.0.1 may be given away between two starts.
	listener, err := net.Listen("tcp", loopbackAddress(options.Seed, number))
	if err != nil {
		return nil, err
	}
	p.listen = listener.Addr().String()
	listener.Close()
	datagrams, err := net.ListenPacket("udp", loopbackAddress(options.Seed, number))
	if err != nil {
		return nil, err
	}
	p.peerListen = datagrams.LocalAddr().String()
	datagrams.Close()
	var peers []any
	for _, d := range paths.peers {
		peers = append(peers, d.Address())
	}
	sockets := socketLimit
	if crowded {
		sockets = crowdedSocketLimit
	}
	p.settings = map[string]any{"name": name, "listen": p.listen, "discovery": paths.discovery[number].Address(),
		"peer_listen": p.peerListen, "peers": peers, "peers_all": paths.peers[number].Address(),
		"seed":   fmt.Sprintf("%016x", options.Seed*1000+uint64(number)+1),
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": sockets, "disk_mb": 8},
		"known":  map[string]any{"seq": 0, "whole": true, "hosts": []any{}}, "settings": settings(options.Nodes, number)}
	if err := os.MkdirAll(p.folder, 0o755); err != nil {
		return nil, err
	}
	return p, p.writeConfig()
}

// settings is the part of the configuration that the platform calls so.
func settings(nodes, me int) map[string]any {
	class := func(name Class, semantics string) map[string]any {
		return map[string]any{"name": name, "semantics": semantics, "group": "all", "aim_ms": 500,
			"deadline_ms": maxDeadline.Milliseconds(), "value": 1, "late_value": 0.5, "memory_span_ms": keyedWindow.Milliseconds()}
	}
	return map[string]any{"me": me, "replicas_of_me": nodes, "tick_ms": 2, "models": []any{"m0"}, "areas": []any{"here"},
		"discovery": "subscribe", "weight_kind": "silent",
		"services": []any{class(Repeatable, "repeatable"), class(Once, "once"), class(Keyed, "by_key")},
		"projects": []any{map[string]any{"name": "acme", "quota_rps": 1000}},
		"family_info": map[string]any{"slots": slots, "per_call": []any{3}, "own_limits": []any{false},
			"late": "even"},
		"feedback": map[string]any{"names": []any{"x0", "x1"}},
		"ceilings": map[string]any{"max_open": maxOpenRequests, "max_attempts": maxAttempts, "may_duplicate": true, "cancel": true,
			"peer_messages": true,
			"retry_after":   true, "max_retry_after_ms": 1000, "conn_idle_ms": endpointIdleTimeout.Milliseconds(),
			"connect_timeout_ms": connectMillis},
		"rules": map[string]any{"cold_share": coldShare, "ramp_time_ms": rampTime.Milliseconds(), "fall_multiple": fallMultiple,
			"tip_after_ms": fallAfter.Milliseconds(), "drain_grace_ms": drainGrace.Milliseconds(), "ask_within_ms": 5000}}
}

func (p *process) writeConfig() error {
	text, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	next := p.configFile + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, p.configFile)
}

// start starts the process; faults are in force from its first call on.
func (p *process) start(faults []sysfault.Fault) error {
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(p.program, "serve")
	c.Env = append(os.Environ(), "RELAY_CONFIG="+p.configFile, "RELAY_STATE="+p.folder, "GOMEMLIMIT=64MiB")
	c.Stdout, c.Stderr = log, log
	p.mu.Lock()
	defer p.mu.Unlock()
	s, err := sysfault.Start(c)
	if err != nil {
		return err
	}
	s.LimitFileFaults(p.folder)
	for _, f := range faults {
		s.Add(f)
	}
	ended := make(chan struct{})
	p.cmd, p.supervisor, p.exited, p.exitExpected = c, s, ended, false
	go func() {
		c.Wait()
		p.history.recordExit(p.number)
		p.mu.Lock()
		if !p.exitExpected {
			p.history.addViolation(RuleCrash, "node %d ended unasked: %v", p.number, c.ProcessState)
		}
		p.accepting = false
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// awaitReady waits until the process serves.
func (p *process) awaitReady(ctx context.Context) error {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	began := time.Now()
	for time.Since(began) < readyTimeout {
		if r, err := client.Get("http://" + p.listen + "/up"); err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				p.mu.Lock()
				p.accepting = true
				p.mu.Unlock()
				p.history.recordReady(p.number)
				return nil
			}
		}
		p.mu.Lock()
		ended := p.exited
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ended:
			return errors.New("it ended while it started")
		case <-time.After(10 * time.Millisecond):
		}
	}
	return fmt.Errorf("it is not ready after %v", readyTimeout)
}

// violations reads how many violations the process has counted, by what its metrics say of them.
func (p *process) violations(ctx context.Context) (lines []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.listen+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	call.Close = true
	response, err := http.DefaultClient.Do(call)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, violationsMetric) && !strings.HasSuffix(line, " 0") {
			lines = append(lines, line)
		}
	}
	return lines, err
}

// violationsMetric counts what a node itself sees of its own faults.
const violationsMetric = "jaspersill_violations_total"

func (p *process) isAccepting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepting
}

func (p *process) addFault(f sysfault.Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.supervisor != nil {
		p.supervisor.Add(f)
	}
}

// reload has the process read its configuration again.
func (p *process) reload() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd.Process.Signal(syscall.SIGHUP)
}

// kill ends the process at once and waits until it is gone.
func (p *process) kill() {
	p.mu.Lock()
	p.exitExpected, p.accepting = true, false
	command, ended := p.cmd, p.exited
	p.mu.Unlock()
	p.history.recordUnavailable(p.number)
	command.Process.Kill()
	<-ended
}

// terminate asks the process to end, and kills it at the earliest time that the platform does.
func (p *process) terminate() {
	p.mu.Lock()
	p.exitExpected = true
	command, ended := p.cmd, p.exited
	p.mu.Unlock()
	p.history.recordUnavailable(p.number)
	command.Process.Signal(syscall.SIGTERM)
	time.AfterFunc(newConnectionsAfterTerm, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cmd == command {
			p.accepting = false
		}
	})
	select {
	case <-ended:
	case <-time.After(killAfterTerm):
		command.Process.Kill()
		<-ended
	}
}
