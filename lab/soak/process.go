package soak

import (
	"cmp"
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

	"golang.org/x/sys/unix"

	"jaspersill/lab/procstat"
	"jaspersill/lab/sysfault"
)

// Timing of the platform, and settings of the nodes and endpoints.
const (
	killAfterTerm           = 3700 * time.Millisecond // shortest time from SIGTERM to SIGKILL
	newConnectionsAfterTerm = 300 * time.Millisecond  // new connections still arrive for this long after SIGTERM
	restartDelay            = 600 * time.Millisecond
	readyTimeout            = 10 * time.Second
	defaultConnectTimeout   = 500 * time.Millisecond
	slots                   = 16
	maxOpenRequests         = 200
	maxAttempts             = 6
	dedupWindow             = 1500 * time.Millisecond
	drainGrace              = 300 * time.Millisecond
	coldShare               = 0.2             // share of its capacity that an endpoint has right after an outage
	overloadFactor          = 2.0             // multiple of its current capacity that overloads a recovering endpoint
	overloadAfter           = 2 * time.Second // time window for which the calls are counted
	warmupTime              = 4 * time.Second // time until an endpoint is back at full capacity
	endpointCapacity        = 200.0
	socketLimit             = 1024
	crowdedSocketLimit      = 160
)

// process is one delivery node, whose state folder outlives its restarts.
type process struct {
	number     int
	program    string
	listen     string
	configFile string
	folder     string
	logFile    string
	history    *history

	peerListen      string
	memoryMB        int // limit
	monitorInterval time.Duration

	mu           sync.Mutex
	cmd          *exec.Cmd
	supervisor   *sysfault.Supervisor
	exited       chan struct{}
	accepting    bool // the platform directs new connections to it
	exitExpected bool // it was signalled to exit
	settings     map[string]any
	monitor      *procstat.Monitor
	restarting   atomic.Bool
	freezing     sync.Mutex // held while the process is suspended, and for minFreezeGap after that
}

func newProcess(number int, options *Options, h *history, proxies *network, plan *plan) (*process, error) {
	name := "n" + strconv.Itoa(number)
	p := &process{number: number, program: options.Program, history: h,
		configFile: filepath.Join(options.Folder, name+".json"), folder: filepath.Join(options.Folder, name),
		logFile: filepath.Join(options.Folder, name+".log"), memoryMB: cmp.Or(options.MemoryMB, defaultMemoryMB),
		monitorInterval: monitorInterval}
	if options.Only == groupClients {
		p.monitorInterval = closeMonitorInterval
	}
	// Each node has its own loopback address, because a port of 127.0.0.1 may be taken by another process during a
	// restart.
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
	for _, d := range proxies.peers {
		peers = append(peers, d.Address())
	}
	sockets := socketLimit
	if plan.crowded[number] {
		sockets = crowdedSocketLimit
	}
	p.settings = map[string]any{"name": name, "listen": p.listen, "discovery": proxies.discovery[number].Address(),
		"peer_listen": p.peerListen, "peers": peers, "peers_all": proxies.peers[number].Address(),
		"seed":   fmt.Sprintf("%016x", options.Seed*1000+uint64(number)+1),
		"limits": map[string]any{"cores": 1, "memory_mb": p.memoryMB, "sockets": sockets, "disk_mb": 3},
		"known":  map[string]any{"seq": 0, "whole": true, "hosts": []any{}}, "settings": settings(options.Nodes, number, plan)}
	if err := os.MkdirAll(p.folder, 0o755); err != nil {
		return nil, err
	}
	return p, p.writeConfig()
}

// settings returns the "settings" object of a node's configuration.
func settings(nodes, me int, plan *plan) map[string]any {
	class := func(name Class, semantics string) map[string]any {
		return map[string]any{"name": name, "semantics": semantics, "group": "all", "aim_ms": 500,
			"deadline_ms": max(maxDeadline, plan.longestDeadline).Milliseconds(), "value": 1, "late_value": 0.5, "memory_span_ms": dedupWindow.Milliseconds()}
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
			"connect_timeout_ms": plan.connectTimeout.Milliseconds()},
		"rules": map[string]any{"cold_share": coldShare, "ramp_time_ms": warmupTime.Milliseconds(), "fall_multiple": overloadFactor,
			"tip_after_ms": overloadAfter.Milliseconds(), "drain_grace_ms": drainGrace.Milliseconds(), "ask_within_ms": 5000}}
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

// start starts the process with faults in force from its first system call.
func (p *process) start(faults []sysfault.Fault) error {
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(p.program, "serve")
	c.Env = append(os.Environ(), "RELAY_CONFIG="+p.configFile, "RELAY_STATE="+p.folder)
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
	exited := make(chan struct{})
	p.cmd, p.supervisor, p.exited, p.exitExpected = c, s, exited, false
	p.monitor = procstat.Watch(context.Background(), procstat.Subject{PID: c.Process.Pid, Listen: p.listen, Folder: p.folder},
		p.monitorInterval)
	go func() {
		c.Wait()
		p.history.recordExit(p.number)
		p.stopMonitor()
		p.mu.Lock()
		if !p.exitExpected {
			p.history.addViolation(RuleCrash, "node %d exited unexpectedly: %v", p.number, c.ProcessState)
		}
		p.accepting = false
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// awaitReady waits until the process reports that it is ready.
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
		exited := p.exited
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-exited:
			return errors.New("exited during startup")
		case <-time.After(10 * time.Millisecond):
		}
	}
	return fmt.Errorf("not ready after %v", readyTimeout)
}

// violations reads the process's metrics and returns the lines with a nonzero count of violations.
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

// violationsMetric counts the violations that a node detects in itself.
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

// reload makes the process read its configuration again.
func (p *process) reload() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd.Process.Signal(syscall.SIGHUP)
}

// freeze suspends the process for a while, and lets it run for minFreezeGap before it can be suspended again: the
// goroutine that is to suspend it next may not have been delayed as long as this one.
func (p *process) freeze(ctx context.Context, length time.Duration) {
	p.freezing.Lock()
	defer p.freezing.Unlock()
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	cmd.Process.Signal(syscall.SIGSTOP)
	awaitStop(cmd.Process.Pid)
	since := p.history.now()
	sleep(ctx, length)
	p.history.recordFrozen(p.number, since)
	cmd.Process.Signal(syscall.SIGCONT)
	sleep(ctx, minFreezeGap)
}

// awaitStop waits until all threads of a child process are stopped, or the process has ended: a signal takes effect only once
// each thread has been scheduled.
func awaitStop(pid int) {
	for {
		err := unix.Waitid(unix.P_PID, pid, nil, unix.WSTOPPED|unix.WNOWAIT, nil)
		if err != syscall.EINTR {
			return
		}
	}
}

// terminateAgain sends the process that is being terminated more signals.
func (p *process) terminateAgain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exitExpected {
		p.cmd.Process.Signal(syscall.SIGHUP)
		p.cmd.Process.Signal(syscall.SIGTERM)
	}
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.mu.Lock()
	p.exitExpected, p.accepting = true, false
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	p.history.recordUnavailable(p.number)
	cmd.Process.Kill()
	<-exited
}

// terminate asks the process to exit, and kills it after the shortest time that the platform allows.
func (p *process) terminate() {
	p.mu.Lock()
	p.exitExpected = true
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	p.history.recordUnavailable(p.number)
	cmd.Process.Signal(syscall.SIGTERM)
	time.AfterFunc(newConnectionsAfterTerm, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cmd == cmd {
			p.accepting = false
		}
	})
	select {
	case <-exited:
	case <-time.After(killAfterTerm):
		cmd.Process.Kill()
		<-exited
	}
}
