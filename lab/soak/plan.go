package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"jaspersill/lab/sysfault"
)

const defaultClientsPerNode = 5

// plan is the schedule of a run, drawn from its seed.
type plan struct {
	destinations            int
	endpointsPerDestination int
	bodySize                int
	remote                  bool    // endpoints answer with the latency of a remote host
	refusalRate             float64 // share of the calls that a remote endpoint refuses
	crowded                 []bool  // by node: idle connections use up its sockets
	hostile                 []hostileClients
	leavingClients          bool     // some clients leave before their requests are answered
	hangs                   *hangs   // nil if no endpoint hangs after a copy
	endings                 *endings // nil if no endpoint ends requests that it did not execute
	callFaults              *callFaults
	capacity                float64       // that endpoints report, in calls per second
	connectTimeout          time.Duration // of the nodes
	clientsPerNode          int
	longestDeadline         time.Duration // of the requests
	steps                   []step
	random                  *rand.Rand
	length                  time.Duration
}

// step is one action on the system, at a time after the clients start.
type step struct {
	at time.Duration
	do func(context.Context, *run)
}

// failure is one way in which a system call can fail.
type failure struct {
	call  sysfault.Call
	errno syscall.Errno
	short bool
}

// failures are errors that Linux documents for the system calls of a node. Each run draws from them.
var failures = []failure{
	{sysfault.FileWrite, syscall.ENOSPC, false},
	{sysfault.FileWrite, syscall.EIO, false},
	{sysfault.FileWrite, syscall.ENOSPC, true},
	{sysfault.FileWrite, syscall.EIO, true},
	{sysfault.FileWrite, syscall.EINTR, false},
	{sysfault.FileTruncate, syscall.EIO, false},
	{sysfault.FileOpen, syscall.ENOSPC, false},
	{sysfault.FileOpen, syscall.EMFILE, false},
	{sysfault.FileRemove, syscall.EIO, false},
	{sysfault.FileRename, syscall.ENOSPC, false},
	{sysfault.FileRead, syscall.EIO, false},
	{sysfault.SocketRead, syscall.ENOBUFS, false},
	{sysfault.SocketRead, syscall.ENOMEM, false},
	{sysfault.SocketRead, syscall.EINTR, false},
	{sysfault.SocketWrite, syscall.ENOBUFS, false},
	{sysfault.SocketWrite, syscall.ENOMEM, false},
	{sysfault.SocketWrite, syscall.EINTR, false},
	{sysfault.SocketRead, syscall.ETIMEDOUT, false},
	{sysfault.SocketWrite, syscall.EHOSTUNREACH, false},
	{sysfault.SocketOpen, syscall.ENFILE, false},
	{sysfault.SocketOpen, syscall.ENOBUFS, false},
	{sysfault.Accept, syscall.ENFILE, false},
	{sysfault.Accept, syscall.ECONNABORTED, false},
	{sysfault.Accept, syscall.ENETDOWN, false},
	{sysfault.Connect, syscall.ENOBUFS, false},
	{sysfault.Connect, syscall.EADDRNOTAVAIL, false},
	{sysfault.Connect, syscall.EHOSTUNREACH, false},
	{sysfault.Connect, syscall.ETIMEDOUT, false},
}

const (
	groupDisk    = "disk"    // system calls on files fail
	groupSockets = "sockets" // all other system calls fail
	groupSlow    = "slow"    // writes to files are delayed
	groupKills   = "kills"   // nodes are killed, terminated and told to reload
	groupCalls   = "calls"   // system calls of all kinds fail
	groupAnswers = "answers" // responses of endpoints arrive twice
	groupNotices = "notices" // responses of the platform arrive twice
	groupHangs   = "hangs"   // responses of endpoints come twice, and their endpoint hangs under the next call; nodes drain meanwhile
	groupPaths   = "paths"   // all network connections are disturbed
	groupClients = "clients" // clients misbehave
	groupEnds    = "ends"    // endpoints end requests by 410, close connections behind responses and hang; nodes are stopped in series
	groupLate    = "late"    // connections to endpoints come up late while nodes are terminated, and endpoints fail, ask for waits and drain

	groupReplacements = "replacements" // other processes come up at the addresses of endpoints
)

// FaultGroups lists the groups of faults that a run can be limited to.
func FaultGroups() []string {
	return []string{groupDisk, groupSockets, groupSlow, groupKills, groupCalls, groupAnswers, groupNotices, groupHangs, groupPaths,
		groupClients, groupReplacements, groupEnds, groupLate}
}

func newPlan(o Options) *plan {
	random := rand.New(rand.NewPCG(o.Seed, 0x5041))
	p := &plan{random: random, length: o.Length, destinations: 1 + random.IntN(maxDestinations),
		endpointsPerDestination: 1 + random.IntN(2), bodySize: 1 + random.IntN(300), refusalRate: defaultRefusalRate,
		crowded: make([]bool, o.Nodes), capacity: endpointCapacity, connectTimeout: defaultConnectTimeout,
		clientsPerNode: defaultClientsPerNode, longestDeadline: maxDeadline}
	if random.IntN(4) == 0 {
		p.bodySize = largeBodySize
	}
	switch o.Only {
	case groupAnswers, groupNotices:
		p.addRepeatedResponses(o.Nodes, o.Only == groupNotices)
		return p
	case groupHangs:
		p.addHangs(o.Nodes)
		return p
	case groupEnds:
		p.addEndings(o.Nodes)
		return p
	case groupLate:
		p.addLateConnections(o.Nodes)
		return p
	case groupPaths:
		p.remote = random.IntN(2) == 0
		p.addPathFaults(o.Nodes)
		return p
	case groupClients:
		p.longestDeadline = shortDeadline // nothing delays a request
		p.addHostileClients(o)
		return p
	case groupReplacements:
		p.destinations = maxDestinations
		p.addReplacements(append(replacementKinds, bothUndated)...)
		return p
	}
	crowdedRun := random.IntN(3) == 0
	for node := range o.Nodes {
		p.crowded[node] = crowdedRun && node%3 == 0
		p.addCallFaults(node, o.Only)
		if o.Only == "" || o.Only == groupKills {
			p.addSignals(node)
		} else {
			p.addKill(node)
		}
	}
	if o.Only == "" {
		p.addEndpointFaults()
		p.addDiscoveryFaults(o.Nodes)
	}
	if o.PathFaults || o.All {
		p.addPathFaults(o.Nodes)
	}
	if o.All {
		p.addAll(o.Nodes)
	}
	return p
}

func (p *plan) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(limit)))
}

func (p *plan) addStep(at time.Duration, do func(context.Context, *run)) {
	p.steps = append(p.steps, step{at, do})
}

// addCallFaults draws several faults of one node's system calls, which may overlap.
func (p *plan) addCallFaults(node int, group string) {
	if group == groupKills {
		return
	}
	for range 1 + p.random.IntN(4) {
		at, duration := p.randomDuration(p.length*3/4), 100*time.Millisecond+p.randomDuration(900*time.Millisecond)
		f := failures[p.random.IntN(len(failures))]
		for !inGroup(group, f.call) {
			f = failures[p.random.IntN(len(failures))]
		}
		fault := sysfault.Fault{Call: f.call, Errno: f.errno, Short: f.short}
		if p.random.IntN(3) == 0 {
			fault.Probability = 0.1 + 0.6*p.random.Float64()
		}
		if group == groupSlow || (group == "" && p.random.IntN(6) == 0) {
			fault = sysfault.Fault{Call: sysfault.FileWrite, Delay: 50*time.Millisecond + p.randomDuration(950*time.Millisecond)}
			duration = 200 * time.Millisecond
		}
		outage := group != groupSlow && isFileCall(f.call) && p.random.IntN(3) == 0
		withTruncate := f.call == sysfault.FileWrite && p.random.IntN(2) == 0
		killAfter := time.Duration(-1)
		switch {
		case f.short && p.random.IntN(2) == 0: // immediately after a partially written record
			killAfter = 5 * time.Millisecond
		case p.random.IntN(4) == 0: // while the calls still fail
			killAfter = p.randomDuration(duration)
		}
		p.addStep(at, func(ctx context.Context, r *run) {
			r.injectFault(node, fault, duration)
			if withTruncate {
				r.injectFault(node, sysfault.Fault{Call: sysfault.FileTruncate, Errno: syscall.EIO}, duration)
			}
			if outage { // nothing can be written, rolled back or created
				r.injectFault(node, sysfault.Fault{Call: sysfault.FileWrite, Errno: syscall.EIO}, duration)
				r.injectFault(node, sysfault.Fault{Call: sysfault.FileOpen, Errno: syscall.EIO}, duration)
			}
			if killAfter >= 0 {
				sleep(ctx, killAfter)
				r.restart(ctx, node, nil, (*process).kill)
			}
		})
	}
}

// inGroup reports whether a fault group contains failures of a kind of system call.
func inGroup(group string, c sysfault.Call) bool {
	return group == "" || group == groupCalls || group == groupSlow || (group == groupDisk) == isFileCall(c)
}

func isFileCall(c sysfault.Call) bool {
	switch c {
	case sysfault.FileWrite, sysfault.FileTruncate, sysfault.FileOpen, sysfault.FileRemove, sysfault.FileRename,
		sysfault.FileRead:
		return true
	}
	return false
}

// addSignals draws the signals of a node: at most one kill or termination, and a few reloads.
func (p *plan) addSignals(node int) {
	at := p.length/8 + p.randomDuration(p.length/2)
	var faults []sysfault.Fault
	if p.random.IntN(3) == 0 { // system calls also fail for a short time during the restart
		f := failures[p.random.IntN(len(failures))]
		faults = append(faults, sysfault.Fault{Call: f.call, Errno: f.errno, Probability: 0.5 + 0.5*p.random.Float64()})
	}
	duration := 100*time.Millisecond + p.randomDuration(900*time.Millisecond)
	switch p.random.IntN(5) {
	case 0, 1:
		p.addStep(at, func(ctx context.Context, r *run) { r.restartWithFaults(ctx, node, faults, duration, (*process).kill) })
	case 2, 3:
		p.addStep(at, func(ctx context.Context, r *run) {
			r.restartWithFaults(ctx, node, faults, duration, (*process).terminate)
		})
	}
	for range p.random.IntN(4) {
		p.addStep(p.randomDuration(p.length), func(ctx context.Context, r *run) {
			r.history.logAction("node %d: SIGHUP", node)
			r.processes[node].reload()
		})
	}
}

// addKill kills a node between 3/4 and 7/8 of the run's length, after its faults of system calls have begun, and
// restarts it on the same state folder.
func (p *plan) addKill(node int) {
	p.addStep(p.length*3/4+p.randomDuration(p.length/8), func(ctx context.Context, r *run) {
		r.restart(ctx, node, nil, (*process).kill)
	})
}

func (p *plan) addEndpointFaults() {
	modes := []mode{slow, failing, limited, hanging, resetting, garbling, unavailable}
	for number := range p.destinations * p.endpointsPerDestination {
		if p.random.IntN(3) == 0 {
			continue
		}
		at, duration, m := p.randomDuration(p.length*2/3), 200*time.Millisecond+p.randomDuration(2*time.Second),
			modes[p.random.IntN(len(modes))]
		p.addStep(at, func(ctx context.Context, r *run) {
			r.history.logAction("endpoint %d: %s for %v", number, m, duration.Round(time.Millisecond))
			r.endpoints[number].setMode(m)
			sleep(ctx, duration)
			r.endpoints[number].setMode(healthy)
		})
	}
	if p.endpointsPerDestination > 1 && p.random.IntN(2) == 0 {
		number := p.random.IntN(p.destinations * p.endpointsPerDestination)
		p.addStep(p.randomDuration(p.length), func(_ context.Context, r *run) {
			r.history.logAction("endpoint %d: draining", number)
			r.discovery.drain(number)
		})
	}
}

func (p *plan) addDiscoveryFaults(nodes int) {
	for node := range nodes {
		if p.random.IntN(3) == 0 {
			p.addStep(p.randomDuration(p.length), func(_ context.Context, r *run) {
				r.history.logAction("node %d: its discovery watch stalls", node)
				r.discovery.silenceWatches(node)
			})
		}
	}
	if p.random.IntN(3) == 0 {
		p.addStep(p.randomDuration(p.length/2), func(ctx context.Context, r *run) {
			r.history.logAction("discovery is down for 1.5s")
			r.discovery.setDown(true)
			sleep(ctx, 1500*time.Millisecond)
			r.discovery.setDown(false)
		})
	}
}

// injectFault puts a fault in force on a node's system calls for the given time, and records what the checks have to
// allow for.
func (r *run) injectFault(node int, f sysfault.Fault, duration time.Duration) {
	text := f.Errno.Error()
	if f.Delay > 0 {
		text = fmt.Sprintf("slow by %v", f.Delay.Round(time.Millisecond))
	}
	r.history.logAction("node %d: %s: %s for %v, probability %.2f, short %v", node, f.Call, text, duration.Round(time.Millisecond),
		f.Probability, f.Short)
	f.Until = time.Now().Add(duration)
	if f.Call == sysfault.SocketWrite && f.Probability == 0 {
		r.history.recordWriteOutage(node, duration)
	}
	if f.Call == sysfault.SocketRead && f.Probability == 0 {
		r.history.recordReadOutage(node, duration)
	}
	if (f.Call == sysfault.SocketOpen || f.Call == sysfault.Connect) && f.Probability == 0 {
		r.history.recordConnectOutage(node, duration)
	}
	if isFileCall(f.Call) {
		r.history.recordDiskFault(node, duration+f.Delay)
	}
	r.processes[node].addFault(f)
}

func (r *run) restartWithFaults(ctx context.Context, node int, faults []sysfault.Fault, duration time.Duration,
	stop func(*process)) {
	for i := range faults {
		r.history.logAction("node %d: fault during its next start: %s: %s for %v", node, faults[i].Call, faults[i].Errno.Error(),
			duration.Round(time.Millisecond))
	}
	r.restart(ctx, node, func() []sysfault.Fault {
		for i := range faults {
			faults[i].Until = time.Now().Add(duration)
		}
		return faults
	}, stop)
}

// restart stops a node and starts it again on the same state folder. It does nothing while another restart of the node
// is in progress.
func (r *run) restart(ctx context.Context, node int, faults func() []sysfault.Fault, stop func(*process)) {
	p := r.processes[node]
	if !p.restarting.CompareAndSwap(false, true) {
		return
	}
	defer p.restarting.Store(false)
	r.readViolations(ctx, p)
	r.history.logAction("node %d: stopping", node)
	stop(p)
	from := r.history.now()
	for _, e := range r.endpoints {
		e.forgetNode(node)
	}
	sleep(ctx, restartDelay)
	var atStart []sysfault.Fault
	if faults != nil {
		atStart = faults()
	}
	if err := p.start(atStart); err != nil {
		r.history.addViolation(RuleCrash, "node %d failed to restart: %v", node, err)
		return
	}
	if err := p.awaitReady(ctx); err != nil {
		if ctx.Err() == nil {
			r.history.addViolation(RuleCrash, "node %d was not ready after its restart: %v", node, err)
		}
		return
	}
	r.history.logAction("node %d: ready", node)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restarts[node] = append(r.restarts[node], interval{from, r.history.now()})
}
