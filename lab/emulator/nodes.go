package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"jaspersill/lab/scenario"
)

const (
	startTimeout = 20 * time.Second        // a node that does not serve by then failed to start
	drainTimeout = 3700 * time.Millisecond // from SIGTERM to SIGKILL: the platform's
)

// Nodes are delivery nodes that run as processes beside a stage.
type Nodes struct {
	emulator  *Emulator
	program   string
	folder    string
	processes []*process
}

// process is one delivery node.
type process struct {
	name, address, peerAddress, stateFolder, configFile string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	serving bool
	stopped bool
}

// freeAddress finds an address of the loopback that nobody listens on. Danger: until the node listens there, a
// connection that goes out from 127.0.0.1 may be given the same port; so another address of the loopback is
// taken where the system has them all.
func freeAddress(network string) (string, error) {
	ip := net.IPv4(127, byte(1+rand.IntN(250)), byte(rand.IntN(256)), byte(1+rand.IntN(250)))
	for _, at := range []string{net.JoinHostPort(ip.String(), "0"), "127.0.0.1:0"} {
		if network == "udp" {
			if c, err := net.ListenPacket("udp", at); err == nil {
				defer c.Close()
				return c.LocalAddr().String(), nil
			}
		} else if l, err := net.Listen("tcp", at); err == nil {
			defer l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", errors.New("no address of the loopback is free")
}

// ConfigureNodes writes the configuration of each of a scenario's nodes into a folder, and makes their state
// folders. memory in MB and cores are told to each, 0 for no limit; listen is where the first one's clients
// connect, or empty.
func ConfigureNodes(s *Emulator, folder, listen string, memory, cores float64) (*Nodes, error) {
	n := &Nodes{emulator: s, folder: folder}
	var peers, relays []string
	for i := range s.scenario.Fleet.Nodes {
		p := &process{name: "n" + strconv.Itoa(i), address: listen}
		var err error
		if i > 0 || listen == "" {
			p.address, err = freeAddress("tcp")
		}
		if err == nil {
			p.peerAddress, err = freeAddress("udp")
		}
		if err != nil {
			return nil, err
		}
		peers = append(peers, p.peerAddress)
		n.processes = append(n.processes, p)
	}
	for i := range n.processes {
		if s.scenario.Fleet.PeerMessages && len(peers) > 1 {
			address, err := s.relayPeerMessages(i, peers)
			if err != nil {
				return nil, err
			}
			relays = append(relays, address)
		}
	}
	for i, p := range n.processes {
		p.stateFolder = filepath.Join(folder, p.name)
		p.configFile = filepath.Join(folder, p.name+".json")
		if err := os.MkdirAll(p.stateFolder, 0o755); err != nil {
			return nil, err
		}
		told := map[string]any{"name": p.name, "listen": p.address, "discovery": s.DirectoryAddress(i),
			"seed":   fmt.Sprintf("%016x", rand.Uint64()),
			"limits": map[string]any{"cores": cores, "memory_mb": memory, "sockets": 8192, "disk_mb": 64},
			"known":  map[string]any{"seq": 0, "whole": true, "hosts": []any{}}, "settings": NodeSettings(s.scenario, i)}
		if len(relays) > 0 {
			told["peer_listen"], told["peers"], told["peers_all"] = p.peerAddress, relays, relays[i]
		}
		text, err := json.MarshalIndent(told, "", " ")
		if err == nil {
			err = os.WriteFile(p.configFile, text, 0o600)
		}
		if err != nil {
			return nil, err
		}
	}
	return n, nil
}

// Start starts the configured nodes as processes of a program and waits until all serve.
func (n *Nodes) Start(ctx context.Context, program string) error {
	n.program = program
	for i := range n.processes {
		if err := n.startProcess(i); err != nil {
			n.Stop()
			return err
		}
	}
	for i := range n.processes {
		if err := n.waitReady(ctx, i); err != nil {
			n.Stop()
			return err
		}
	}
	return nil
}

// NodeSettings is what a node is told of a scenario, in the platform's names.
func NodeSettings(day *scenario.Scenario, me int) map[string]any {
	ms := func(s scenario.Duration) float64 { return float64(s) / 1e6 }
	var services, projects []any
	for _, t := range day.Types {
		semantics := map[string]string{"idempotent": "repeatable", "deduplicated": "by_key",
			"non-idempotent": "once"}[t.Safety]
		services = append(services, map[string]any{"name": t.Name, "semantics": semantics, "group": "all",
			"memory_span_ms": ms(
				t.DedupWindow,
			), "aim_ms": ms(t.SLO), "deadline_ms": ms(t.MaxAge), "value": t.Utility,
			"late_value": t.LateUtility})
	}
	for _, o := range day.Customers {
		projects = append(projects, map[string]any{"name": o.Name, "quota_rps": o.AgreedRate})
	}
	var models, perCall, routes []any
	idle, weights := scenario.Duration(0), "silent"
	for _, p := range day.DestinationKinds {
		models, perCall, routes = append(models, p.Name), append(perCall, p.MaxEventsPerCall), append(routes, p.LimitPerEndpoint)
		if idle == 0 || p.IdleTimeout < idle {
			idle = p.IdleTimeout
		}
		if p.LimitListed {
			weights = "nominal"
		}
	}
	return map[string]any{
		"me":             me,
		"replicas_of_me": day.Fleet.Nodes,
		"tick_ms":        ms(day.Fleet.Tick),
		"models":         models,
		"areas":          []any{"here"},
		"discovery":      "subscribe",
		"weight_kind":    weights,
		"services":       services,
		"projects":       projects,
		"family_info": map[string]any{
			"slots":      day.Fleet.MaxConcurrentCalls,
			"per_call":   perCall,
			"own_limits": routes,
			"late":       "even",
		},
		"feedback": map[string]any{"names": []any{"x0", "x1"}},
		"ceilings": map[string]any{"max_open": day.Fleet.MaxEvents, "max_attempts": day.Fleet.MaxAttempts,
			"may_duplicate": day.Fleet.AllowDuplicates, "cancel": true, "retry_after": day.Fleet.MaxRetryAfter > 0,
			"max_retry_after_ms": ms(
				day.Fleet.MaxRetryAfter,
			), "conn_idle_ms": ms(idle), "connect_timeout_ms": 1500,
			"peer_messages": day.Fleet.PeerMessages},
		"rules": map[string]any{"cold_share": day.Rules.ColdShare, "ramp_time_ms": ms(day.Rules.WarmupTime),
			"fall_multiple": day.Rules.OverloadFactor, "tip_after_ms": ms(day.Rules.OverloadAfter),
			"drain_grace_ms": ms(day.Rules.DrainGrace), "ask_within_ms": ms(day.Rules.AskWithin),
			"order_pause_ms": ms(day.Rules.KeyPause)},
	}
}

// startProcess starts one node's process.
func (n *Nodes) startProcess(i int) error {
	p := n.processes[i]
	log, err := os.OpenFile(
		filepath.Join(n.folder, p.name+".log"),
		os.O_CREATE|os.O_APPEND|os.O_WRONLY,
		0o644,
	)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(n.program, "serve")
	c.Env = append(os.Environ(), "RELAY_CONFIG="+p.configFile, "RELAY_STATE="+p.stateFolder)
	c.Stdout, c.Stderr = log, log
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return errors.New("the day is over")
	}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.exited = c, ended
	go func() {
		c.Wait()
		close(ended)
	}()
	return nil
}

// waitReady waits until a node serves.
func (n *Nodes) waitReady(ctx context.Context, i int) error {
	p := n.processes[i]
	p.mu.Lock()
	ended := p.exited
	p.mu.Unlock()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); {
		if r, err := http.Get("http://" + p.address + "/up"); err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				p.mu.Lock()
				p.serving = true
				p.mu.Unlock()
				n.emulator.mu.Lock()
				n.emulator.checker.RecordNodeServing(n.emulator.now(), int32(i))
				n.emulator.mu.Unlock()
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ended:
			return fmt.Errorf("%s ended at its start: see %s.log", p.name, filepath.Join(n.folder, p.name))
		case <-time.After(5 * time.Millisecond):
		}
	}
	return fmt.Errorf("%s does not serve after %v", p.name, startTimeout)
}

// Files are a node's configuration and its state folder.
func (n *Nodes) Files(i int) (config, state string) {
	return n.processes[i].configFile, n.processes[i].stateFolder
}

// Serving lists the nodes that serve.
func (n *Nodes) Serving() (up []int) {
	for i, p := range n.processes {
		p.mu.Lock()
		if p.serving {
			up = append(up, i)
		}
		p.mu.Unlock()
	}
	return up
}

// Address is where a node's clients connect.
func (n *Nodes) Address(i int) string { return n.processes[i].address }

// PID is a node's process.
func (n *Nodes) PID(i int) int {
	p := n.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// markDown marks a node as one that clients do not go to.
func (n *Nodes) markDown(i int) (*exec.Cmd, chan struct{}) {
	p := n.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serving = false
	return p.cmd, p.exited
}

// restart starts a node that ended, after the day's restart time.
func (n *Nodes) restart(i int) {
	time.AfterFunc(time.Duration(n.emulator.scenario.Fleet.RestartTime), func() {
		if err := n.startProcess(i); err != nil {
			n.emulator.logf("%s does not start again: %v", n.processes[i].name, err)
			return
		}
		if err := n.waitReady(context.Background(), i); err != nil {
			n.emulator.logf("%v", err)
		}
	})
}

// recordDeath tells the ledger that a node's process is gone.
func (n *Nodes) recordDeath(i int) {
	n.emulator.mu.Lock()
	defer n.emulator.mu.Unlock()
	n.emulator.checker.RecordNodeDied(n.emulator.now(), int32(i))
}

// Kill ends a node's process at once; it starts again.
func (n *Nodes) Kill(i int) {
	c, ended := n.markDown(i)
	n.emulator.mu.Lock()
	n.emulator.checker.RecordNodeStopping(int32(i))
	n.emulator.mu.Unlock()
	c.Process.Kill()
	<-ended
	n.recordDeath(i)
	n.restart(i)
}

// Drain asks a node to stop, and starts it again.
func (n *Nodes) Drain(i int) {
	c, ended := n.markDown(i)
	n.emulator.mu.Lock()
	n.emulator.checker.RecordNodeStopping(int32(i))
	n.emulator.mu.Unlock()
	c.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
		case <-time.After(drainTimeout):
			c.Process.Kill()
			<-ended
		}
		n.recordDeath(i)
		n.restart(i)
	}()
}

// Freeze has a node stand still for a time.
func (n *Nodes) Freeze(i int, long time.Duration) {
	p := n.processes[i]
	p.mu.Lock()
	c := p.cmd
	p.mu.Unlock()
	c.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(long, func() { c.Process.Signal(syscall.SIGCONT) })
}

// Stop ends all nodes that this has started.
func (n *Nodes) Stop() {
	for _, p := range n.processes {
		p.mu.Lock()
		p.stopped, p.serving = true, false
		c, ended := p.cmd, p.exited
		p.mu.Unlock()
		if c == nil {
			continue
		}
		c.Process.Signal(syscall.SIGCONT)
		c.Process.Signal(syscall.SIGTERM)
		select {
		case <-ended:
		case <-time.After(drainTimeout):
			c.Process.Kill()
			<-ended
		}
	}
}

// relayPeerMessages passes the notes of one node on to the others, or loses them, as the network of the day does. What a
// node sends to the address returned comes to its peers from there, which is how they know the sender.
func (s *Emulator) relayPeerMessages(from int, to []string) (string, error) {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", err
	}
	var peers []*net.UDPAddr
	for i, address := range to {
		if i != from {
			at, err := net.ResolveUDPAddr("udp", address)
			if err != nil {
				c.Close()
				return "", err
			}
			peers = append(peers, at)
		}
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		var b [512]byte
		for {
			size, _, err := c.ReadFromUDP(b[:])
			if errors.Is(err, net.ErrClosed) {
				return
			}
			for _, at := range peers {
				s.mu.Lock()
				lost := s.random.Float64() < s.scenario.Fleet.PeerMessageLoss
				for _, i := range s.activeFaults {
					lost = lost ||
						(s.scenario.Faults[i].Kind == "notes-lost" && s.random.Float64() < s.scenario.Faults[i].Share)
				}
				s.mu.Unlock()
				if !lost && err == nil {
					c.WriteToUDP(b[:size], at)
				}
			}
		}
	}()
	return c.LocalAddr().String(), nil
}
