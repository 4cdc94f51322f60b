package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"jaspersill/lab/hostile"
)

// hostileClients is one kind of misbehaving clients of one node.
type hostileClients struct {
	node        int
	pattern     hostile.Pattern
	connections int
	at, length  time.Duration
}

const (
	manyConnections = 600 // hundreds of clients at once, within what a node with socketLimit sockets accepts

	closeMonitorInterval = 5 * time.Millisecond // of a node's memory, where nothing but clients is played
	monitorInterval      = 100 * time.Millisecond

	freezeCount          = 4 // of each node in a run with clients that leave
	minFreeze, maxFreeze = 100 * time.Millisecond, 300 * time.Millisecond
	minFreezeGap         = responseTimeout // a client whose request meets one freeze is answered before the next
)

// Leaving selects clients that leave their requests behind.
const Leaving hostile.Pattern = "leaving"

// onOneConnection are the patterns in which a single client sends at full speed.
var onOneConnection = map[hostile.Pattern]bool{
	hostile.InvalidRequests: true,
	hostile.ReadyChecks:     true,
	hostile.NewIDs:          true,
	hostile.NewNames:        true,
	hostile.LargeBodies:     true,
}

// addHostileClients gives each node one kind of misbehaving clients, for three quarters of the run.
func (p *plan) addHostileClients(o Options) {
	if p.leavingClients = o.Clients == Leaving; p.leavingClients {
		for node := range o.Nodes {
			p.addFreezes(node)
		}
		return
	}
	patterns := hostile.Patterns()
	for node := range o.Nodes {
		pattern := o.Clients
		if pattern == "" {
			pattern = patterns[p.random.IntN(len(patterns))]
		}
		connections := manyConnections
		if onOneConnection[pattern] {
			connections = 1
		}
		p.hostile = append(p.hostile, hostileClients{node: node, pattern: pattern, connections: cmp.Or(o.Connections, connections),
			at: p.length / 8, length: p.length * 3 / 4})
	}
}

// freeze is a time during which a node's process is suspended.
type freeze struct{ at, length time.Duration }

// drawFreezes draws freezes of one node within the length of the run, in order and at least minFreezeGap apart.
func (p *plan) drawFreezes() []freeze {
	drawn := make([]freeze, freezeCount)
	slack := p.length - (freezeCount-1)*minFreezeGap
	for i := range drawn {
		drawn[i].length = minFreeze + p.randomDuration(maxFreeze-minFreeze)
		drawn[i].at = p.randomDuration(p.length)
		slack -= drawn[i].length
	}
	slices.SortFunc(drawn, func(a, b freeze) int { return cmp.Compare(a.at, b.at) })
	occupied := time.Duration(0)
	for i := range drawn {
		share := float64(drawn[i].at) / float64(p.length)
		drawn[i].at = occupied + time.Duration(share*float64(max(slack, 0)))
		occupied += drawn[i].length + minFreezeGap
	}
	return drawn
}

// addFreezes suspends a node's process several times, so that clients leave before it reads their requests.
func (p *plan) addFreezes(node int) {
	for _, f := range p.drawFreezes() {
		p.addStep(f.at, func(ctx context.Context, r *run) {
			r.history.logAction("node %d: suspended for %v", node, f.length.Round(time.Millisecond))
			r.processes[node].freeze(ctx, f.length)
		})
	}
}

// startLeavingClients starts clients that leave their requests behind.
func (r *run) startLeavingClients(ctx context.Context, done *sync.WaitGroup) {
	if !r.plan.leavingClients {
		return
	}
	for number, p := range r.processes {
		for i := range leavingClientsPerNode {
			c := &leavingClient{client: client{history: r.history, node: number, destinations: r.plan.destinations, address: p.listen,
				bodySize: leavingBodySize, random: rand.New(rand.NewPCG(r.options.Seed, uint64(1000*number+500+i)))}}
			done.Go(func() { c.run(ctx, p.isAccepting) })
		}
	}
}

// startHostileClients starts the misbehaving clients of the plan.
func (r *run) startHostileClients(ctx context.Context, done *sync.WaitGroup) {
	for _, h := range r.plan.hostile {
		done.Go(func() {
			if sleep(ctx, h.at); ctx.Err() != nil {
				return
			}
			limited, stop := context.WithTimeout(ctx, h.length)
			defer stop()
			r.history.logAction("node %d: %d hostile clients: %s", h.node, h.connections, h.pattern)
			result, err := hostile.Run(limited, hostile.Load{Pattern: h.pattern, Address: r.processes[h.node].listen,
				Connections: h.connections, Reconnect: true,
				Template: hostile.Event{Kind: string(Repeatable), Owner: "acme", Deadline: time.Second}})
			if err != nil {
				r.history.logAction("node %d: hostile clients: %v", h.node, err)
				return
			}
			r.history.logAction("node %d: hostile clients opened %d connections, failed to open %d, wrote %d requests, read %d responses",
				h.node, result.Connected, result.Failed, result.Requests, result.Responses)
		})
	}
}

// stopMonitors ends the measuring of all nodes and checks their memory.
func (r *run) stopMonitors() {
	for _, p := range r.processes {
		p.stopMonitor()
	}
}

// stopMonitor ends the measuring of the running process. It adds a violation if its memory exceeded the limit, at which the
// platform would have killed it.
func (p *process) stopMonitor() {
	p.mu.Lock()
	monitor := p.monitor
	p.monitor = nil
	p.mu.Unlock()
	if monitor == nil {
		return
	}
	peak, memory := monitor.Stop()
	p.history.logAction("node %d: at most %.1f MiB of memory (resident %.1f, socket queues %.1f, files %.1f), %d descriptors; %v of CPU",
		p.number, mebibytes(memory), mebibytes(peak.ResidentBytes), mebibytes(peak.QueuedBytes), mebibytes(peak.FileBytes),
		peak.Descriptors, peak.CPU)
	if limit := int64(p.memoryMB) << 20; memory > limit {
		p.history.addViolation(RuleMemory, "node %d held %.1f MiB of memory, its limit is %d MiB", p.number, mebibytes(memory),
			p.memoryMB)
	}
}

func mebibytes(n int64) float64 { return float64(n) / (1 << 20) }
