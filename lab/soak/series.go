package soak

import (
	"context"
	"time"

	"jaspersill/lab/hostile"
)

const (
	maxSeriesKills   = 3
	minSeriesGap     = 350 * time.Millisecond // between a start and the next kill, which may come before the node is ready
	maxSeriesGap     = 900 * time.Millisecond
	signalGap        = 200 * time.Millisecond // between the signals of a series
	maxSomeConns     = 250                    // of misbehaving clients beside all other faults
	minSomeConns     = 20
	loadPerRun       = 3 // one of this many nodes has misbehaving clients
	maxHostileLength = 3 * time.Second
)

// addAll adds what a run plays beside faults of system calls, endpoints, discovery and paths: misbehaving clients, clients that leave,
// processes that are replaced at their address, and nodes that get several signals in a row.
func (p *plan) addAll(nodes int) {
	patterns := hostile.Patterns()
	for node := range nodes {
		if node%loadPerRun == 1 {
			pattern := patterns[p.random.IntN(len(patterns))]
			connections := minSomeConns + p.random.IntN(maxSomeConns-minSomeConns)
			if onOneConnection[pattern] {
				connections = 1
			}
			p.hostile = append(p.hostile, hostileClients{node: node, pattern: pattern, connections: connections,
				at: p.randomDuration(p.length / 2), length: time.Second + p.randomDuration(maxHostileLength)})
			p.crowded[node] = p.crowded[node] || connections > 1
		}
		p.addSeries(node)
	}
	p.leavingClients = p.random.IntN(2) == 0
	if p.random.IntN(2) == 0 {
		p.addReplacements(replacementKinds...)
	}
}

// addSeries draws a series of signals of a node: kills soon after each start, or signals while it drains.
func (p *plan) addSeries(node int) {
	at, kills := p.length/8+p.randomDuration(p.length/2), 1+p.random.IntN(maxSeriesKills)
	var gaps []time.Duration
	for range kills {
		gaps = append(gaps, minSeriesGap+p.randomDuration(maxSeriesGap-minSeriesGap))
	}
	switch p.random.IntN(3) {
	case 0:
		p.addStep(at, func(ctx context.Context, r *run) { r.killInSeries(ctx, node, gaps) })
	case 1:
		p.addStep(at, func(ctx context.Context, r *run) {
			r.restart(ctx, node, nil, func(p *process) { p.terminateAmongSignals(kills) })
		})
	}
}

// killInSeries kills a node, and kills it again after each of the gaps since its start.
func (r *run) killInSeries(ctx context.Context, node int, gaps []time.Duration) {
	p := r.processes[node]
	for _, gap := range gaps {
		if !p.restarting.CompareAndSwap(false, true) {
			return
		}
		r.history.logAction("node %d: killed, and again %v after its start", node, gap.Round(time.Millisecond))
		p.kill()
		for _, e := range r.endpoints {
			e.forgetNode(node)
		}
		sleep(ctx, restartDelay)
		err := p.start(nil)
		p.restarting.Store(false)
		if err != nil {
			r.history.addViolation(RuleCrash, "node %d failed to restart: %v", node, err)
			return
		}
		sleep(ctx, gap)
	}
	r.restart(ctx, node, nil, (*process).kill)
}

// terminateAmongSignals asks the process to exit among other signals, which must not keep it from draining.
func (p *process) terminateAmongSignals(count int) {
	p.reload()
	for i := range count {
		time.AfterFunc(time.Duration(i+1)*signalGap, p.terminateAgain)
	}
	p.terminate()
}
