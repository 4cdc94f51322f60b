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
	startTimeout = 20 * time.Second        // of a node, until it serves
	drainTimeout = 3700 * time.Millisecond // from SIGTERM to SIGKILL; set by the platform
)

// Nodes are the delivery nodes that run as processes in the environment of an emulator.
type Nodes struct {
	emulator  *Emulator
	program   string
	folder    string
	processes []*process
}

// process is the process of one delivery node.
type process struct {
	name, address, peerAddress, stateFolder, configFile string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	serving bool
	stopped bool
}

// freeAddress returns an unused loopback address. Until the node listens on it, an outgoing connection from 127.0.0.1
// may be assigned the same port. It therefore uses another address of 127.0.0.0/8 where the system has these.
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
	return "", errors.New("no free loopback address")
}

// ConfigureNodes writes the configuration of each node of a scenario into a folder and creates the state folders.
// memory in MB and cores are the limits of each node, 0 for none. listen is the client address of the first node; if it
// is empty, a free one is chosen.
func ConfigureNodes(em *Emulator, folder, listen string, memory, cores float64) (*Nodes, error) {
	n := &Nodes{emulator: em, folder: folder}
	var peers, relayAddresses []string
	for i := range em.scenario.Fleet.Nodes {
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
		if em.scenario.Fleet.PeerMessages && len(peers) > 1 {
			address, err := em.relayPeerMessages(i, peers)
			if err != nil {
				return nil, err
			}
			relayAddresses = append(relayAddresses, address)
		}
	}
	for i, p := range n.processes {
		p.stateFolder = filepath.Join(folder, p.name)
		p.configFile = filepath.Join(folder, p.name+".json")
		if err := os.MkdirAll(p.stateFolder, 0o755); err != nil {
			return nil, err
		}
		config := map[string]any{"name": p.name, "listen": p.address, "discovery": em.DirectoryAddress(i),
			"seed":   fmt.Sprintf("%016x", rand.Uint64()),
			"limits": map[string]any{"cores": cores, "memory_mb": memory, "sockets": 8192, "disk_mb": 64},
			"known":  map[string]any{"seq": 0, "whole": true, "hosts": []any{}}, "settings": NodeSettings(em.scenario, i)}
		if len(relayAddresses) > 0 {
			config["peer_listen"], config["peers"], config["peers_all"] = p.peerAddress, relayAddresses, relayAddresses[i]
		}
		text, err := json.MarshalIndent(config, "", " ")
		if err == nil {
			err = os.WriteFile(p.configFile, text, 0o600)
		}
		if err != nil {
			return nil, err
		}
	}
	return n, nil
}

// Start runs program for each configured node and waits until all nodes serve.
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

// NodeSettings returns the settings of a node that follow from a scenario, under the platform's names.
func NodeSettings(sc *scenario.Scenario, self int) map[string]any {
	ms := func(d scenario.Duration) float64 { return float64(d) / 1e6 }
	var services, projects []any
	for _, t := range sc.Types {
		semantics := map[string]string{"idempotent": "repeatable", "deduplicated": "by_key",
			"non-idempotent": "once"}[t.Safety]
		services = append(services, map[string]any{"name": t.Name, "semantics": semantics, "group": "all",
			"memory_span_ms": ms(
				t.DedupWindow,
			), "aim_ms": ms(t.SLO), "deadline_ms": ms(t.MaxAge), "value": t.Utility,
			"late_value": t.LateUtility})
	}
	for _, c := range sc.Customers {
		projects = append(projects, map[string]any{"name": c.Name, "quota_rps": c.AgreedRate})
	}
	var models, perCall, ownLimits []any
	idle, weightKind := scenario.Duration(0), "silent"
	for _, dk := range sc.DestinationKinds {
		models, perCall, ownLimits = append(models, dk.Name), append(perCall, dk.MaxEventsPerCall),
			append(ownLimits, dk.LimitPerEndpoint)
		if idle == 0 || dk.IdleTimeout < idle {
			idle = dk.IdleTimeout
		}
		if dk.LimitListed {
			weightKind = "nominal"
		}
	}
	return map[string]any{
		"me":             self,
		"replicas_of_me": sc.Fleet.Nodes,
		"tick_ms":        ms(sc.Fleet.Tick),
		"models":         models,
		"areas":          []any{"here"},
		"discovery":      "subscribe",
		"weight_kind":    weightKind,
		"services":       services,
		"projects":       projects,
		"family_info": map[string]any{
			"slots":      sc.Fleet.MaxConcurrentCalls,
			"per_call":   perCall,
			"own_limits": ownLimits,
			"late":       "even",
		},
		"feedback": map[string]any{"names": []any{"x0", "x1"}},
		"ceilings": map[string]any{"max_open": sc.Fleet.MaxEvents, "max_attempts": sc.Fleet.MaxAttempts,
			"may_duplicate": sc.Fleet.AllowDuplicates, "cancel": true, "retry_after": sc.Fleet.MaxRetryAfter > 0,
			"max_retry_after_ms": ms(
				sc.Fleet.MaxRetryAfter,
			), "conn_idle_ms": ms(idle), "connect_timeout_ms": 1500,
			"peer_messages": sc.Fleet.PeerMessages},
		"rules": map[string]any{"cold_share": sc.Rules.ColdShare, "ramp_time_ms": ms(sc.Rules.WarmupTime),
			"fall_multiple": sc.Rules.OverloadFactor, "tip_after_ms": ms(sc.Rules.OverloadAfter),
			"drain_grace_ms": ms(sc.Rules.DrainGrace), "ask_within_ms": ms(sc.Rules.AskWithin),
			"order_pause_ms": ms(sc.Rules.KeyPause)},
	}
}

// startProcess starts the process of a node. Its output is appended to a log file.
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
		return errors.New("nodes are stopped")
	}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = c, exited
	go func() {
		c.Wait()
		close(exited)
	}()
	return nil
}

// waitReady waits until a node serves.
func (n *Nodes) waitReady(ctx context.Context, i int) error {
	p := n.processes[i]
	p.mu.Lock()
	exited := p.exited
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
		case <-exited:
			return fmt.Errorf("%s exited during startup; see %s.log", p.name, filepath.Join(n.folder, p.name))
		case <-time.After(5 * time.Millisecond):
		}
	}
	return fmt.Errorf("%s was not ready within %v", p.name, startTimeout)
}

// Files returns the paths of a node's configuration file and state folder.
func (n *Nodes) Files(i int) (config, state string) {
	return n.processes[i].configFile, n.processes[i].stateFolder
}

// Serving returns the nodes that serve requests.
func (n *Nodes) Serving() (serving []int) {
	for i, p := range n.processes {
		p.mu.Lock()
		if p.serving {
			serving = append(serving, i)
		}
		p.mu.Unlock()
	}
	return serving
}

// Address returns a node's address for clients.
func (n *Nodes) Address(i int) string { return n.processes[i].address }

// PID returns the process ID of a node.
func (n *Nodes) PID(i int) int {
	p := n.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// markDown takes a node out of the choice of clients. It returns its process and the channel that is closed when the
// process has exited.
func (n *Nodes) markDown(i int) (*exec.Cmd, chan struct{}) {
	p := n.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serving = false
	return p.cmd, p.exited
}

// restart starts an ended node again after the restart time of the scenario.
func (n *Nodes) restart(i int) {
	time.AfterFunc(time.Duration(n.emulator.scenario.Fleet.RestartTime), func() {
		if err := n.startProcess(i); err != nil {
			n.emulator.logf("%s failed to restart: %v", n.processes[i].name, err)
			return
		}
		if err := n.waitReady(context.Background(), i); err != nil {
			n.emulator.logf("%v", err)
		}
	})
}

// recordDeath tells the checker that the process of a node has ended.
func (n *Nodes) recordDeath(i int) {
	n.emulator.mu.Lock()
	defer n.emulator.mu.Unlock()
	n.emulator.checker.RecordNodeDied(n.emulator.now(), int32(i))
}

// Kill kills the process of a node and schedules its restart.
func (n *Nodes) Kill(i int) {
	c, exited := n.markDown(i)
	n.emulator.mu.Lock()
	n.emulator.checker.RecordNodeStopping(int32(i))
	n.emulator.mu.Unlock()
	c.Process.Kill()
	<-exited
	n.recordDeath(i)
	n.restart(i)
}

// Drain asks a node to stop, kills it if it has not within drainTimeout, and schedules its restart.
func (n *Nodes) Drain(i int) {
	c, exited := n.markDown(i)
	n.emulator.mu.Lock()
	n.emulator.checker.RecordNodeStopping(int32(i))
	n.emulator.mu.Unlock()
	c.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-exited:
		case <-time.After(drainTimeout):
			c.Process.Kill()
			<-exited
		}
		n.recordDeath(i)
		n.restart(i)
	}()
}

// Freeze suspends the process of a node for a duration.
func (n *Nodes) Freeze(i int, duration time.Duration) {
	p := n.processes[i]
	p.mu.Lock()
	c := p.cmd
	p.mu.Unlock()
	c.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(duration, func() { c.Process.Signal(syscall.SIGCONT) })
}

// Stop stops all started nodes and waits for their processes to exit.
func (n *Nodes) Stop() {
	for _, p := range n.processes {
		p.mu.Lock()
		p.stopped, p.serving = true, false
		c, exited := p.cmd, p.exited
		p.mu.Unlock()
		if c == nil {
			continue
		}
		c.Process.Signal(syscall.SIGCONT)
		c.Process.Signal(syscall.SIGTERM)
		select {
		case <-exited:
		case <-time.After(drainTimeout):
			c.Process.Kill()
			<-exited
		}
	}
}

// relayPeerMessages opens a relay that forwards the peer messages of a node to the others, and drops some as the
// scenario says. The node sends to the returned address. Its peers receive the messages from that address, by
// which they know the sender.
func (em *Emulator) relayPeerMessages(from int, to []string) (string, error) {
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
	em.mu.Lock()
	em.conns[c] = struct{}{}
	em.mu.Unlock()
	em.wg.Add(1)
	go func() {
		defer em.wg.Done()
		var b [512]byte
		for {
			size, _, err := c.ReadFromUDP(b[:])
			if errors.Is(err, net.ErrClosed) {
				return
			}
			for _, at := range peers {
				em.mu.Lock()
				dropped := em.random.Float64() < em.scenario.Fleet.PeerMessageLoss
				for _, i := range em.activeFaults {
					dropped = dropped ||
						(em.scenario.Faults[i].Kind == "notes-lost" && em.random.Float64() < em.scenario.Faults[i].Share)
				}
				em.mu.Unlock()
				if !dropped && err == nil {
					c.WriteToUDP(b[:size], at)
				}
			}
		}
	}()
	return c.LocalAddr().String(), nil
}
