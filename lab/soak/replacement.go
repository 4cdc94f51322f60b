package soak

import (
	"context"
	"fmt"
	"net"
	"time"

	"jaspersill/lab/faultproxy"
)

// identity names the process that runs at an endpoint's address.
type identity struct {
	host      string
	startedAt int64 // Unix time in ms, 0 for long ago
	dest      int
}

// replacementKind says how the process at an endpoint's address is replaced.
type replacementKind string

const (
	sameHost    replacementKind = "the same host, started again for another destination"
	newHost     replacementKind = "a new host"
	bothListed  replacementKind = "a new host, while the old one is still listed as ready"
	bothUndated replacementKind = "a new host without a start time, while the old one is still listed as ready"
)

const (
	overlap                 = 1500 * time.Millisecond // for which discovery lists an endpoint that is gone
	maxReplacementDelay     = 400 * time.Millisecond  // between a replacement and the list that tells of it
	replacementsPerEndpoint = 2
)

// replacementKinds are those that a node can tell apart from any list.
var replacementKinds = []replacementKind{sameHost, newHost, bothListed}

// addReplacements draws replacements of the processes at the endpoints' addresses.
func (p *plan) addReplacements(kinds ...replacementKind) {
	for number := range p.destinations * p.endpointsPerDestination {
		for range replacementsPerEndpoint {
			kind, at, delay := kinds[p.random.IntN(len(kinds))], p.randomDuration(p.length*3/4), p.randomDuration(maxReplacementDelay)
			dest := p.random.IntN(p.destinations)
			p.addStep(at, func(ctx context.Context, r *run) {
				r.history.logAction("endpoint %d: replaced by %s, for destination %d", number, kind, dest)
				r.endpoints[number].replace(kind, dest)
				sleep(ctx, delay)
				r.discovery.announce(ctx, number, kind)
			})
		}
	}
}

// replace ends the process at the endpoint's address and starts another one there: its connections are reset, and nodes that are
// not told of it yet may still send it requests for the old one.
func (e *endpoint) replace(kind replacementKind, dest int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.generation++
	next := identity{host: e.process.host, dest: dest, startedAt: time.Now().UnixMilli()}
	if kind != sameHost {
		next.host = fmt.Sprintf("e%d-%d", e.number, e.generation)
	}
	if kind == bothUndated {
		next.startedAt = 0
	}
	e.process, e.toldBefore, e.told = next, e.told, map[int]listNotice{}
	e.retryWaits, e.sawOutage, e.recoveredAt, e.arrivals = map[int]retryWait{}, map[int]bool{}, 0, nil // of the process before
	for conn := range e.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
}

// recordTold records that a node was sent a list with the present process of the endpoint. A node that was started after the
// replacement, and whose first list names both processes, cannot tell which is the later one if it has no start time.
func (e *endpoint) recordTold(node, generation int, bothListed bool, conn *faultproxy.Connection) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, knewTheOther := e.toldBefore[node]; bothListed && e.process.startedAt == 0 && !knewTheOther {
		return
	}
	if notice, known := e.told[node]; generation == e.generation && (!known || notice.conn.Disturbed()) {
		at := e.history.now()
		if known {
			at = min(at, notice.at+assumedInformedAfter)
		}
		e.told[node] = listNotice{at, conn}
	}
}

// checkProcess adds a violation for a call that belongs to the process before, if its node has been told of the present one. The
// caller holds e.mu.
func (e *endpoint) checkProcess(r *request, now time.Duration) {
	notice, known := e.told[r.node]
	told := notice.at
	if notice.conn.Disturbed() {
		told += assumedInformedAfter
	}
	if r.dest != e.process.dest && known && now > told+drainGrace+socketGrace+processingGrace {
		e.history.addViolation(RulePlace, "node %d sent request %s for destination %d to endpoint %d, which serves destination %d, "+
			"%v after being told", r.node, r.id, r.dest, e.number, e.process.dest, (now - told).Round(time.Millisecond))
	}
}

// recordRestart records that a node lost what it knew of the endpoint's processes. The caller holds e.mu.
func (e *endpoint) recordRestart(node int) {
	delete(e.told, node)
	delete(e.toldBefore, node)
}

// announce lists the present process of an endpoint. The one before may stay on the list for a while.
func (d *discovery) announce(ctx context.Context, number int, kind replacementKind) {
	e := d.endpoints[number]
	e.mu.Lock()
	next, generation := e.process, e.generation
	e.mu.Unlock()
	d.update(func() {
		d.sequence++
		before := d.listed[number]
		d.listed[number] = listing{process: next, generation: generation}
		if kind == bothListed || kind == bothUndated {
			d.gone = append(d.gone, departedEndpoint{before.process, number})
		}
	})
	if sleep(ctx, overlap); kind != bothListed && kind != bothUndated {
		return
	}
	d.update(func() {
		d.sequence++
		d.gone = nil
	})
}

// listing is what discovery lists for an endpoint.
type listing struct {
	process    identity
	generation int
}

// departedEndpoint is an endpoint that is gone, and listed until discovery notices.
type departedEndpoint struct {
	process identity
	number  int
}
