// Package soak runs real delivery nodes on loopback under overlapping faults that are drawn from a seed: failing, short
// and slow system calls, sequences of signals, kills, failing endpoints and discovery, and large numbers of idle client
// connections. A history kept outside the nodes records what each client, each endpoint and the platform received, and
// every request is checked against the rules after the run.
package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"jaspersill/lab/hostile"
)

// Options configures a run.
type Options struct {
	Seed        uint64
	Program     string          // of the delivery node
	Folder      string          // for configurations, state folders and logs
	Nodes       int             // number of node processes
	Length      time.Duration   // how long clients send requests
	Only        string          // one of FaultGroups; if empty, all kinds of faults but answers, notices and paths
	PathFaults  bool            // also inject faults into the network connections
	All         bool            // beside the faults of PathFaults and of an empty Only: clients, replacements and series of kills
	MemoryMB    int             // memory limit of each node; 0 for defaultMemoryMB
	Clients     hostile.Pattern // with Only set to "clients": how clients misbehave; if empty, drawn for each node
	Connections int             // of the misbehaving clients of each node; 0 for a number that suits the pattern
}

// Command returns the command that repeats the run.
func (o *Options) Command() string {
	text := fmt.Sprintf("jaspersill-lab soak --seed %d --nodes %d --length %v", o.Seed, o.Nodes, o.Length)
	if o.Only != "" {
		text += " --only " + o.Only
	}
	if o.PathFaults {
		text += " --paths"
	}
	if o.All {
		text += " --all"
	}
	if o.MemoryMB > 0 {
		text += fmt.Sprintf(" --memory %d", o.MemoryMB)
	}
	if o.Clients != "" {
		text += " --clients " + string(o.Clients)
	}
	if o.Connections > 0 {
		text += fmt.Sprintf(" --connections %d", o.Connections)
	}
	return text
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Requests   int
	Counts     map[string]int
	Violations []Violation
	Actions    []string // signals, restarts and injected faults, in order
}

// Summary formats the counts as one line.
func (r *Report) Summary() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(r.Counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, r.Counts[name]))
	}
	return fmt.Sprintf("seed %d: %d requests, %d violations; %s", r.Seed, r.Requests, len(r.Violations), strings.Join(parts, ", "))
}

const (
	clientInterval  = 60 * time.Millisecond
	settleTime      = finalAnswerGrace + 2*time.Second // after the last deadline
	maxDestinations = 3
	idleConnections = 150
	largeBodySize   = 6000 // bytes
	defaultMemoryMB = 64
)

// run is the state of a run in progress.
type run struct {
	options   Options
	plan      *plan
	history   *history
	endpoints []*endpoint
	discovery *discovery
	processes []*process
	network   network

	mu       sync.Mutex
	restarts map[int][]interval // by node, from its exit until it was ready again
}

// Run executes one run and checks it. It returns an error only if the run could not be executed; violations are in the
// report.
func Run(ctx context.Context, options Options) (*Report, error) {
	r := &run{options: options, history: newHistory(), restarts: map[int][]interval{}}
	r.plan = newPlan(options)
	r.history.onlyClients, r.history.longestDeadline = options.Only == groupClients, r.plan.longestDeadline
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.tearDown()
	if err := r.setUp(); err != nil {
		return nil, err
	}
	if err := r.startNodes(ctx); err != nil {
		return nil, err
	}
	go r.logHoldUps(ctx)
	var done sync.WaitGroup
	running, stop := context.WithTimeout(ctx, options.Length)
	defer stop()
	r.history.logAction("clients start")
	for _, s := range r.plan.steps {
		done.Go(func() {
			sleep(running, s.at)
			if running.Err() == nil {
				s.do(ctx, r)
			}
		})
	}
	r.startClients(running, &done)
	r.startHostileClients(running, &done)
	r.startLeavingClients(running, &done)
	done.Wait()
	sleep(ctx, r.history.longestDeadline+settleTime)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	for _, p := range r.processes {
		r.readViolations(ctx, p)
	}
	r.stopMonitors()
	r.history.check(dedupWindow)
	r.history.checkUntried(r.restarts)
	if options.Only == groupClients {
		r.history.checkResponsive(options.Nodes)
	}
	h := r.history
	h.mu.Lock()
	defer h.mu.Unlock()
	if faults := r.network.faultCount(); faults > 0 {
		h.counts["network faults"] = faults
	}
	return &Report{Seed: options.Seed, Requests: len(h.ordered), Counts: h.counts, Violations: h.violations, Actions: h.actions}, nil
}

const (
	holdUpInterval = 10 * time.Millisecond
	minHoldUp      = 60 * time.Millisecond // shorter ones are not logged
)

// logHoldUps logs when the soak itself got no processor time for a while. Times that it records are late by up to that.
func (r *run) logHoldUps(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, holdUpInterval)
		now := time.Now()
		if late := now.Sub(last) - holdUpInterval; late >= minHoldUp {
			r.history.logAction("the soak itself was held up for %v", late.Round(time.Millisecond))
			r.history.count("times the soak itself was held up")
		}
		last = now
	}
}

func (r *run) setUp() error {
	for dest := range r.plan.destinations {
		for range r.plan.endpointsPerDestination {
			number := len(r.endpoints)
			e, err := newEndpoint(number, dest, r.history, r.plan, rand.New(rand.NewPCG(r.options.Seed, uint64(number))))
			if err != nil {
				return err
			}
			r.endpoints = append(r.endpoints, e)
		}
	}
	var err error
	if r.discovery, err = newDiscovery(r.history, r.endpoints, r.options.Nodes); err != nil {
		return err
	}
	for number := range r.options.Nodes {
		if err := r.openNodeProxies(number, r.discovery.address(number)); err != nil {
			return err
		}
	}
	r.discovery.network = &r.network
	for number := range r.options.Nodes {
		p, err := newProcess(number, &r.options, r.history, &r.network, r.plan)
		if err != nil {
			return err
		}
		r.processes = append(r.processes, p)
	}
	if err := r.openClientProxies(); err != nil {
		return err
	}
	return r.connectPeers()
}

func (r *run) startNodes(ctx context.Context) error {
	for _, p := range r.processes {
		if err := p.start(nil); err != nil {
			return fmt.Errorf("node %d: %w", p.number, err)
		}
	}
	for _, p := range r.processes {
		if err := p.awaitReady(ctx); err != nil {
			text, _ := os.ReadFile(p.logFile)
			return fmt.Errorf("node %d: %w: %s", p.number, err, text)
		}
	}
	return nil
}

func (r *run) startClients(ctx context.Context, done *sync.WaitGroup) {
	for number, p := range r.processes {
		for i := range r.plan.clientsPerNode {
			c := &client{history: r.history, node: number, destinations: r.plan.destinations, address: r.network.clients[number].Address(),
				proxy: r.network.clients[number], bodySize: r.plan.bodySize, crowded: r.plan.crowded[number], repeats: r.plan.endings != nil,
				random: rand.New(rand.NewPCG(r.options.Seed, uint64(1000*number+i)))}
			done.Go(func() { c.run(ctx, clientInterval, p.isAccepting) })
		}
		if r.plan.crowded[number] {
			done.Go(func() { holdIdleConnections(ctx, p.listen, idleConnections) })
		}
	}
}

// readViolations records the violations that a node counted in its metrics.
func (r *run) readViolations(ctx context.Context, p *process) {
	lines, err := p.violations(ctx)
	if err != nil {
		r.history.count("metrics not read")
		return
	}
	for _, line := range lines {
		r.history.addViolation(RuleInternal, "node %d: %s", p.number, line)
	}
}

func (r *run) tearDown() {
	for _, p := range r.processes {
		p.mu.Lock()
		running := p.cmd != nil && p.exited != nil
		p.mu.Unlock()
		if running {
			p.kill()
		}
	}
	for _, e := range r.endpoints {
		e.close()
	}
	if r.discovery != nil {
		r.discovery.close()
	}
	r.network.close()
}

// Logs returns the paths of the nodes' logs in the folder of a run.
func Logs(folder string) []string {
	names, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	return names
}
