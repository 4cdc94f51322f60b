package loopback

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
	readyMost = 20 * time.Second        // a node that does not serve by then failed to start
	drainMost = 3700 * time.Millisecond // from SIGTERM to SIGKILL: the platform's
)

// Nodes are delivery nodes that run as processes beside a stage.
type Nodes struct {
	stage   *Stage
	program string
	folder  string
	list    []*process
}

// process is one delivery node.
type process struct {
	name, listen, peer, state, config string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	up      bool
	stopped bool
}

// free finds an address of the loopback that nobody listens on. Danger: until the node listens there, a
// connection that goes out from 127.0.0.1 may be given the same port; so another address of the loopback is
// taken where the system has them all.
func free(network string) (string, error) {
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

// Configure writes the configuration of each of a scenario's nodes into a folder, and makes their state
// folders. memory in MB and cores are told to each, 0 for no limit; listen is where the first one's clients
// connect, or empty.
func Configure(s *Stage, folder, listen string, memory, cores float64) (*Nodes, error) {
	n := &Nodes{stage: s, folder: folder}
	var peers, relays []string
	for i := range s.day.Fleet.Nodes {
		p := &process{name: "n" + strconv.Itoa(i), listen: listen}
		var err error
		if i > 0 || listen == "" {
			p.listen, err = free("tcp")
		}
		if err == nil {
			p.peer, err = free("udp")
		}
		if err != nil {
			return nil, err
		}
		peers = append(peers, p.peer)
		n.list = append(n.list, p)
	}
	for i := range n.list {
		if s.day.Fleet.PeerMessages && len(peers) > 1 {
			address, err := s.relay(i, peers)
			if err != nil {
				return nil, err
			}
			relays = append(relays, address)
		}
	}
	for i, p := range n.list {
		p.state = filepath.Join(folder, p.name)
		p.config = filepath.Join(folder, p.name+".json")
		if err := os.MkdirAll(p.state, 0o755); err != nil {
			return nil, err
		}
		told := map[string]any{"name": p.name, "listen": p.listen, "discovery": s.Directory(i),
			"seed":   fmt.Sprintf("%016x", rand.Uint64()),
			"limits": map[string]any{"cores": cores, "memory_mb": memory, "sockets": 8192, "disk_mb": 64},
			"known":  map[string]any{"seq": 0, "whole": true, "hosts": []any{}}, "settings": Told(s.day, i)}
		if len(relays) > 0 {
			told["peer_listen"], told["peers"], told["peers_all"] = p.peer, relays, relays[i]
		}
		text, err := json.MarshalIndent(told, "", " ")
		if err == nil {
			err = os.WriteFile(p.config, text, 0o600)
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
	for i := range n.list {
		if err := n.start(i); err != nil {
			n.Stop()
			return err
		}
	}
	for i := range n.list {
		if err := n.ready(ctx, i); err != nil {
			n.Stop()
			return err
		}
	}
	return nil
}

// Told is what a node is told of a scenario, in the platform's names.
func Told(day *scenario.Scenario, me int) map[string]any {
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

// start starts one node's process.
func (n *Nodes) start(i int) error {
	p := n.list[i]
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
	c.Env = append(os.Environ(), "RELAY_CONFIG="+p.config, "RELAY_STATE="+p.state)
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
	p.command, p.ended = c, ended
	go func() {
		c.Wait()
		close(ended)
	}()
	return nil
}

// ready waits until a node serves.
func (n *Nodes) ready(ctx context.Context, i int) error {
	p := n.list[i]
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	for end := time.Now().Add(readyMost); time.Now().Before(end); {
		if r, err := http.Get("http://" + p.listen + "/up"); err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				p.mu.Lock()
				p.up = true
				p.mu.Unlock()
				n.stage.mu.Lock()
				n.stage.ledger.RecordNodeServing(n.stage.now(), int32(i))
				n.stage.mu.Unlock()
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
	return fmt.Errorf("%s does not serve after %v", p.name, readyMost)
}

// Files are a node's configuration and its state folder.
func (n *Nodes) Files(i int) (config, state string) { return n.list[i].config, n.list[i].state }

// Up lists the nodes that serve.
func (n *Nodes) Up() (up []int) {
	for i, p := range n.list {
		p.mu.Lock()
		if p.up {
			up = append(up, i)
		}
		p.mu.Unlock()
	}
	return up
}

// Address is where a node's clients connect.
func (n *Nodes) Address(i int) string { return n.list[i].listen }

// Pid is a node's process.
func (n *Nodes) Pid(i int) int {
	p := n.list[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Pid
}

// down marks a node as one that clients do not go to.
func (n *Nodes) down(i int) (*exec.Cmd, chan struct{}) {
	p := n.list[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.up = false
	return p.command, p.ended
}

// again starts a node that ended, after the day's restart time.
func (n *Nodes) again(i int) {
	time.AfterFunc(time.Duration(n.stage.day.Fleet.RestartTime), func() {
		if err := n.start(i); err != nil {
			n.stage.tell("%s does not start again: %v", n.list[i].name, err)
			return
		}
		if err := n.ready(context.Background(), i); err != nil {
			n.stage.tell("%v", err)
		}
	})
}

// died tells the ledger that a node's process is gone.
func (n *Nodes) died(i int) {
	n.stage.mu.Lock()
	defer n.stage.mu.Unlock()
	n.stage.ledger.RecordNodeDied(n.stage.now(), int32(i))
}

// Kill ends a node's process at once; it starts again.
func (n *Nodes) Kill(i int) {
	c, ended := n.down(i)
	n.stage.mu.Lock()
	n.stage.ledger.RecordNodeStopping(int32(i))
	n.stage.mu.Unlock()
	c.Process.Kill()
	<-ended
	n.died(i)
	n.again(i)
}

// Drain asks a node to stop, and starts it again.
func (n *Nodes) Drain(i int) {
	c, ended := n.down(i)
	n.stage.mu.Lock()
	n.stage.ledger.RecordNodeStopping(int32(i))
	n.stage.mu.Unlock()
	c.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
		case <-time.After(drainMost):
			c.Process.Kill()
			<-ended
		}
		n.died(i)
		n.again(i)
	}()
}

// Freeze has a node stand still for a time.
func (n *Nodes) Freeze(i int, long time.Duration) {
	p := n.list[i]
	p.mu.Lock()
	c := p.command
	p.mu.Unlock()
	c.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(long, func() { c.Process.Signal(syscall.SIGCONT) })
}

// Stop ends all nodes that this has started.
func (n *Nodes) Stop() {
	for _, p := range n.list {
		p.mu.Lock()
		p.stopped, p.up = true, false
		c, ended := p.command, p.ended
		p.mu.Unlock()
		if c == nil {
			continue
		}
		c.Process.Signal(syscall.SIGCONT)
		c.Process.Signal(syscall.SIGTERM)
		select {
		case <-ended:
		case <-time.After(drainMost):
			c.Process.Kill()
			<-ended
		}
	}
}

// relay passes the notes of one node on to the others, or loses them, as the network of the day does. What a
// node sends to the address returned comes to its peers from there, which is how they know the sender.
func (s *Stage) relay(from int, to []string) (string, error) {
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
				lost := s.chance.Float64() < s.day.Fleet.PeerMessageLoss
				for _, i := range s.troubles {
					lost = lost ||
						(s.day.Faults[i].Kind == "notes-lost" && s.chance.Float64() < s.day.Faults[i].Share)
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
