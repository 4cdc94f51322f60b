package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"jaspersill/lab/sysfault"
)

// plan is what a seed says that happens in a run.
type plan struct {
	destinations            int
	endpointsPerDestination int
	bodySize                int
	remote                  bool    // endpoints answer as partners at some distance do
	refusalRate             float64 // share of the calls that a steady endpoint refuses
	crowded                 []bool
	steps                   []step
	random                  *rand.Rand
	length                  time.Duration
}

// step is one thing that is done to the system, at a time from the first request.
type step struct {
	at time.Duration
	do func(context.Context, *run)
}

// failure is one way in which a kind of call fails.
type failure struct {
	call  sysfault.Call
	errno syscall.Errno
	short bool
}

// failures are what Linux documents for the calls that a node makes. Which of them a run meets is drawn.
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
	groupDisk    = "disk"
	groupSockets = "sockets"
	groupSlow    = "slow"
	groupKills   = "kills"
	groupCalls   = "calls"
	groupAnswers = "answers" // answers of endpoints come twice
	groupNotices = "notices" // answers of the platform come twice
	groupPaths   = "paths"   // bytes between all ends are disturbed
)

// FaultGroups lists the kinds of faults that can be played alone.
func FaultGroups() []string {
	return []string{groupDisk, groupSockets, groupSlow, groupKills, groupCalls, groupAnswers, groupNotices, groupPaths}
}

func newPlan(o Options) *plan {
	random := rand.New(rand.NewPCG(o.Seed, 0x5041))
	p := &plan{random: random, length: o.Length, destinations: 1 + random.IntN(maxDestinations),
		endpointsPerDestination: 1 + random.IntN(2), bodySize: 1 + random.IntN(300), refusalRate: defaultRefusalRate,
		crowded: make([]bool, o.Nodes)}
	if random.IntN(4) == 0 {
		p.bodySize = largeBodySize
	}
	switch o.Only {
	case groupAnswers, groupNotices:
		p.addRepeatedResponses(o.Nodes, o.Only == groupNotices)
		return p
	case groupPaths:
		p.remote = random.IntN(2) == 0
		p.addPathFaults(o.Nodes)
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
	if o.PathFaults {
		p.addPathFaults(o.Nodes)
	}
	return p
}

func (p *plan) randomDuration(most time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(most)))
}

func (p *plan) addStep(at time.Duration, do func(context.Context, *run)) {
	p.steps = append(p.steps, step{at, do})
}

// addCallFaults draws the faults of one node's calls: several, which may overlap.
func (p *plan) addCallFaults(node int, only string) {
	if only == groupKills {
		return
	}
	for range 1 + p.random.IntN(4) {
		at, long := p.randomDuration(p.length*3/4), 100*time.Millisecond+p.randomDuration(900*time.Millisecond)
		f := failures[p.random.IntN(len(failures))]
		for !inGroup(only, f.call) {
			f = failures[p.random.IntN(len(failures))]
		}
		fault := sysfault.Fault{Call: f.call, Errno: f.errno, Short: f.short}
		if p.random.IntN(3) == 0 {
			fault.Probability = 0.1 + 0.6*p.random.Float64()
		}
		if only == groupSlow || (only == "" && p.random.IntN(6) == 0) {
			fault = sysfault.Fault{Call: sysfault.FileWrite, Delay: 50*time.Millisecond + p.randomDuration(950*time.Millisecond)}
			long = 200 * time.Millisecond
		}
		outage := only != groupSlow && isFileCall(f.call) && p.random.IntN(3) == 0
		withTruncate := f.call == sysfault.FileWrite && p.random.IntN(2) == 0
		killAfter := time.Duration(-1)
		switch {
		case f.short && p.random.IntN(2) == 0: // right behind a record that was written in part
			killAfter = 5 * time.Millisecond
		case p.random.IntN(4) == 0: // while the calls still fail
			killAfter = p.randomDuration(long)
		}
		p.addStep(at, func(ctx context.Context, r *run) {
			r.injectFault(node, fault, long)
			if withTruncate {
				r.injectFault(node, sysfault.Fault{Call: sysfault.FileTruncate, Errno: syscall.EIO}, long)
			}
			if outage { // nothing can be written, taken back or begun
				r.injectFault(node, sysfault.Fault{Call: sysfault.FileWrite, Errno: syscall.EIO}, long)
				r.injectFault(node, sysfault.Fault{Call: sysfault.FileOpen, Errno: syscall.EIO}, long)
			}
			if killAfter >= 0 {
				sleep(ctx, killAfter)
				r.restart(ctx, node, nil, (*process).kill)
			}
		})
	}
}

// inGroup tells whether calls of a kind fail where only one kind of fault is inGroup.
func inGroup(only string, c sysfault.Call) bool {
	return only == "" || only == groupCalls || only == groupSlow || (only == groupDisk) == isFileCall(c)
}

func isFileCall(c sysfault.Call) bool {
	switch c {
	case sysfault.FileWrite, sysfault.FileTruncate, sysfault.FileOpen, sysfault.FileRemove, sysfault.FileRename,
		sysfault.FileRead:
		return true
	}
	return false
}

// addSignals draws what a node is told: a kill, an orderly end or signals in series.
func (p *plan) addSignals(node int) {
	at := p.length/8 + p.randomDuration(p.length/2)
	var faults []sysfault.Fault
	if p.random.IntN(3) == 0 { // the start fails too, for a moment
		f := failures[p.random.IntN(len(failures))]
		faults = append(faults, sysfault.Fault{Call: f.call, Errno: f.errno, Probability: 0.5 + 0.5*p.random.Float64()})
	}
	long := 100*time.Millisecond + p.randomDuration(900*time.Millisecond)
	switch p.random.IntN(5) {
	case 0, 1:
		p.addStep(at, func(ctx context.Context, r *run) { r.restartWithFaults(ctx, node, faults, long, (*process).kill) })
	case 2, 3:
		p.addStep(at, func(ctx context.Context, r *run) { r.restartWithFaults(ctx, node, faults, long, (*process).terminate) })
	}
	for range p.random.IntN(4) {
		p.addStep(p.randomDuration(p.length), func(ctx context.Context, r *run) {
			r.history.logAction("node %d: SIGHUP", node)
			r.processes[node].reload()
		})
	}
}

// addKill kills a node some seconds into the run, as in the report's plays.
func (p *plan) addKill(node int) {
	p.addStep(p.length*3/4+p.randomDuration(p.length/8), func(ctx context.Context, r *run) { r.restart(ctx, node, nil, (*process).kill) })
}

func (p *plan) addEndpointFaults() {
	modes := []mode{slow, failing, limited, hanging, resetting, garbling, unavailable}
	for number := range p.destinations * p.endpointsPerDestination {
		if p.random.IntN(3) == 0 {
			continue
		}
		at, long, m := p.randomDuration(p.length*2/3), 200*time.Millisecond+p.randomDuration(2*time.Second), modes[p.random.IntN(len(modes))]
		p.addStep(at, func(ctx context.Context, r *run) {
			r.history.logAction("endpoint %d: %s for %v", number, m, long.Round(time.Millisecond))
			r.endpoints[number].setMode(m)
			sleep(ctx, long)
			r.endpoints[number].setMode(healthy)
		})
	}
	if p.endpointsPerDestination > 1 && p.random.IntN(2) == 0 {
		number := p.random.IntN(p.destinations * p.endpointsPerDestination)
		p.addStep(p.randomDuration(p.length), func(_ context.Context, r *run) {
			r.history.logAction("endpoint %d: drains", number)
			r.discovery.drain(number)
		})
	}
}

func (p *plan) addDiscoveryFaults(nodes int) {
	for node := range nodes {
		if p.random.IntN(3) == 0 {
			p.addStep(p.randomDuration(p.length), func(_ context.Context, r *run) {
				r.history.logAction("node %d: its watch falls silent", node)
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

// injectFault has calls of a node injectFault for a time.
func (r *run) injectFault(node int, f sysfault.Fault, long time.Duration) {
	text := f.Errno.Error()
	if f.Delay > 0 {
		text = fmt.Sprintf("slow by %v", f.Delay.Round(time.Millisecond))
	}
	r.history.logAction("node %d: %s: %s for %v, share %.2f, short %v", node, f.Call, text, long.Round(time.Millisecond), f.Probability, f.Short)
	f.Until = time.Now().Add(long)
	if f.Call == sysfault.SocketWrite && f.Probability == 0 {
		r.history.recordWriteOutage(node, long)
	}
	if f.Call == sysfault.SocketRead && f.Probability == 0 {
		r.history.recordReadOutage(node, long)
	}
	if (f.Call == sysfault.SocketOpen || f.Call == sysfault.Connect) && f.Probability == 0 {
		r.history.recordConnectOutage(node, long)
	}
	if isFileCall(f.Call) {
		r.history.recordDiskFault(node, long+f.Delay)
	}
	r.processes[node].addFault(f)
}

func (r *run) restartWithFaults(ctx context.Context, node int, faults []sysfault.Fault, long time.Duration, end func(*process)) {
	for i := range faults {
		r.history.logAction("node %d: its next start meets %s: %s for %v", node, faults[i].Call, faults[i].Errno.Error(),
			long.Round(time.Millisecond))
	}
	r.restart(ctx, node, func() []sysfault.Fault {
		for i := range faults {
			faults[i].Until = time.Now().Add(long)
		}
		return faults
	}, end)
}

// restart ends a node and starts it again on the same folder. One restart of a node goes on at a time.
func (r *run) restart(ctx context.Context, node int, faults func() []sysfault.Fault, end func(*process)) {
	p := r.processes[node]
	if !p.restarting.CompareAndSwap(false, true) {
		return
	}
	defer p.restarting.Store(false)
	r.readViolations(ctx, p)
	r.history.logAction("node %d: is ended", node)
	end(p)
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
		r.history.addViolation(RuleCrash, "node %d does not start again: %v", node, err)
		return
	}
	if err := p.awaitReady(ctx); err != nil {
		if ctx.Err() == nil {
			r.history.addViolation(RuleCrash, "node %d does not serve again: %v", node, err)
		}
		return
	}
	r.history.logAction("node %d: is ready again", node)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restarts[node] = append(r.restarts[node], interval{from, r.history.now()})
}
