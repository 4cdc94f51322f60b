// Package soak plays real delivery nodes on loopback under faults that overlap in time, drawn from a seed: failing,
// short and slow system calls, signals in series, kills, endpoints and discovery that fail in many ways, and crowds
// of clients. A ledger outside the nodes knows what each client heard, each endpoint received and the platform was
// told, and holds every request to the rules.
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
)

// Options is what a run is told.
type Options struct {
	Seed       uint64
	Program    string        // of the delivery node
	Folder     string        // for configurations, state folders and logs
	Nodes      int           // processes
	Length     time.Duration // for which clients hand in requests
	Only       string        // a kind of fault that is played alone, or empty for all
	PathFaults bool          // the bytes between the ends are disturbed beside all else
}

// Report is what became of a run.
type Report struct {
	Seed       uint64
	Requests   int
	Counts     map[string]int
	Violations []Violation
	Actions    []string // what was done to the system, in order
}

// Summary tells the counts in one line.
func (r *Report) Summary() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(r.Counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, r.Counts[name]))
	}
	return fmt.Sprintf("seed %d: %d requests, %d violations; %s", r.Seed, r.Requests, len(r.Violations), strings.Join(parts, ", "))
}

const (
	clientsPerNode  = 5
	clientInterval  = 60 * time.Millisecond
	settleTime      = maxDeadline + finalAnswerGrace + 2*time.Second
	maxDestinations = 3
	idleConnections = 150
	largeBodySize   = 6000 // bytes
)

// run is one run under way.
type run struct {
	options   Options
	plan      *plan
	history   *history
	endpoints []*endpoint
	discovery *discovery
	processes []*process
	network   network

	mu       sync.Mutex
	restarts map[int][]interval // by node, from the kill until it was ready again
}

// Run plays one run and judges it. The error is for a run that could not be played.
func Run(ctx context.Context, options Options) (*Report, error) {
	r := &run{options: options, history: newHistory(), restarts: map[int][]interval{}}
	r.plan = newPlan(options)
	defer r.tearDown()
	if err := r.setUp(); err != nil {
		return nil, err
	}
	if err := r.startNodes(ctx); err != nil {
		return nil, err
	}
	var done sync.WaitGroup
	playing, stop := context.WithTimeout(ctx, options.Length)
	defer stop()
	r.history.logAction("the clients begin")
	for _, s := range r.plan.steps {
		done.Go(func() {
			sleep(playing, s.at)
			if playing.Err() == nil {
				s.do(ctx, r)
			}
		})
	}
	r.startClients(playing, &done)
	done.Wait()
	sleep(ctx, settleTime)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	for _, p := range r.processes {
		r.readViolations(ctx, p)
	}
	r.history.check(keyedWindow)
	r.history.checkUntried(r.restarts)
	l := r.history
	l.mu.Lock()
	defer l.mu.Unlock()
	if struck := r.network.faultCount(); struck > 0 {
		l.counts["disturbed on the way"] = struck
	}
	return &Report{Seed: options.Seed, Requests: len(l.ordered), Counts: l.counts, Violations: l.violations, Actions: l.actions}, nil
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
		p, err := newProcess(number, &r.options, r.history, &r.network, r.plan.crowded[number])
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
		for i := range clientsPerNode {
			c := &client{history: r.history, node: number, destinations: r.plan.destinations, address: r.network.clients[number].Address(),
				proxy: r.network.clients[number], bodySize: r.plan.bodySize, crowded: r.plan.crowded[number],
				random: rand.New(rand.NewPCG(r.options.Seed, uint64(1000*number+i)))}
			done.Go(func() { c.run(ctx, clientInterval, p.isAccepting) })
		}
		if r.plan.crowded[number] {
			done.Go(func() { holdIdleConnections(ctx, p.listen, idleConnections) })
		}
	}
}

// readViolations takes in what a node counted of its own faults.
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

// Logs names the nodes' logs of a run.
func Logs(folder string) []string {
	names, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	return names
}
