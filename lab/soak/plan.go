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
	destinations           int
	endpointsOfDestination int
	body                   int
	steady                 bool    // endpoints answer as partners at some distance do
	refusals               float64 // share of the calls that a steady endpoint refuses
	crowded                []bool
	steps                  []step
	random                 *rand.Rand
	length                 time.Duration
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
	onlyDisk    = "disk"
	onlySockets = "sockets"
	onlySlow    = "slow"
	onlyKills   = "kills"
	onlyCalls   = "calls"
	onlyAnswers = "answers" // answers of endpoints come twice
	onlyNotices = "notices" // answers of the platform come twice
	onlyPaths   = "paths"   // bytes between all ends are disturbed
)

// FaultGroups lists the kinds of faults that can be played alone.
func FaultGroups() []string {
	return []string{onlyDisk, onlySockets, onlySlow, onlyKills, onlyCalls, onlyAnswers, onlyNotices, onlyPaths}
}

func draw(o Options) *plan {
	random := rand.New(rand.NewPCG(o.Seed, 0x5041))
	p := &plan{random: random, length: o.Length, destinations: 1 + random.IntN(mostDestinations),
		endpointsOfDestination: 1 + random.IntN(2), body: 1 + random.IntN(300), refusals: usualRefusedShare,
		crowded: make([]bool, o.Nodes)}
	if random.IntN(4) == 0 {
		p.body = largeBody
	}
	switch o.Only {
	case onlyAnswers, onlyNotices:
		p.drawRepeats(o.Nodes, o.Only == onlyNotices)
		return p
	case onlyPaths:
		p.steady = random.IntN(2) == 0
		p.drawPaths(o.Nodes)
		return p
	}
	crowdedRun := random.IntN(3) == 0
	for node := range o.Nodes {
		p.crowded[node] = crowdedRun && node%3 == 0
		p.drawCalls(node, o.Only)
		if o.Only == "" || o.Only == onlyKills {
			p.drawSignals(node)
		} else {
			p.drawKill(node)
		}
	}
	if o.Only == "" {
		p.drawEndpoints()
		p.drawDiscovery(o.Nodes)
	}
	if o.PathFaults {
		p.drawPaths(o.Nodes)
	}
	return p
}

func (p *plan) moment(most time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(most)))
}

func (p *plan) add(at time.Duration, do func(context.Context, *run)) {
	p.steps = append(p.steps, step{at, do})
}

// drawCalls draws the faults of one node's calls: several, which may overlap.
func (p *plan) drawCalls(node int, only string) {
	if only == onlyKills {
		return
	}
	for range 1 + p.random.IntN(4) {
		at, long := p.moment(p.length*3/4), 100*time.Millisecond+p.moment(900*time.Millisecond)
		f := failures[p.random.IntN(len(failures))]
		for !played(only, f.call) {
			f = failures[p.random.IntN(len(failures))]
		}
		fault := sysfault.Fault{Call: f.call, Errno: f.errno, Short: f.short}
		if p.random.IntN(3) == 0 {
			fault.Probability = 0.1 + 0.6*p.random.Float64()
		}
		if only == onlySlow || (only == "" && p.random.IntN(6) == 0) {
			fault = sysfault.Fault{Call: sysfault.FileWrite, Delay: 50*time.Millisecond + p.moment(950*time.Millisecond)}
			long = 200 * time.Millisecond
		}
		outage := only != onlySlow && onDisk(f.call) && p.random.IntN(3) == 0
		withTruncate := f.call == sysfault.FileWrite && p.random.IntN(2) == 0
		killAfter := time.Duration(-1)
		switch {
		case f.short && p.random.IntN(2) == 0: // right behind a record that was written in part
			killAfter = 5 * time.Millisecond
		case p.random.IntN(4) == 0: // while the calls still fail
			killAfter = p.moment(long)
		}
		p.add(at, func(ctx context.Context, r *run) {
			r.fail(node, fault, long)
			if withTruncate {
				r.fail(node, sysfault.Fault{Call: sysfault.FileTruncate, Errno: syscall.EIO}, long)
			}
			if outage { // nothing can be written, taken back or begun
				r.fail(node, sysfault.Fault{Call: sysfault.FileWrite, Errno: syscall.EIO}, long)
				r.fail(node, sysfault.Fault{Call: sysfault.FileOpen, Errno: syscall.EIO}, long)
			}
			if killAfter >= 0 {
				pause(ctx, killAfter)
				r.restart(ctx, node, nil, (*process).kill)
			}
		})
	}
}

// played tells whether calls of a kind fail where only one kind of fault is played.
func played(only string, c sysfault.Call) bool {
	return only == "" || only == onlyCalls || only == onlySlow || (only == onlyDisk) == onDisk(c)
}

func onDisk(c sysfault.Call) bool {
	switch c {
	case sysfault.FileWrite, sysfault.FileTruncate, sysfault.FileOpen, sysfault.FileRemove, sysfault.FileRename,
		sysfault.FileRead:
		return true
	}
	return false
}

// drawSignals draws what a node is told: a kill, an orderly end or signals in series.
func (p *plan) drawSignals(node int) {
	at := p.length/8 + p.moment(p.length/2)
	var faults []sysfault.Fault
	if p.random.IntN(3) == 0 { // the start fails too, for a moment
		f := failures[p.random.IntN(len(failures))]
		faults = append(faults, sysfault.Fault{Call: f.call, Errno: f.errno, Probability: 0.5 + 0.5*p.random.Float64()})
	}
	long := 100*time.Millisecond + p.moment(900*time.Millisecond)
	switch p.random.IntN(5) {
	case 0, 1:
		p.add(at, func(ctx context.Context, r *run) { r.restartFaulty(ctx, node, faults, long, (*process).kill) })
	case 2, 3:
		p.add(at, func(ctx context.Context, r *run) { r.restartFaulty(ctx, node, faults, long, (*process).terminate) })
	}
	for range p.random.IntN(4) {
		p.add(p.moment(p.length), func(ctx context.Context, r *run) {
			r.ledger.did("node %d: SIGHUP", node)
			r.processes[node].hangUp()
		})
	}
}

// drawKill kills a node some seconds into the run, as in the report's plays.
func (p *plan) drawKill(node int) {
	p.add(p.length*3/4+p.moment(p.length/8), func(ctx context.Context, r *run) { r.restart(ctx, node, nil, (*process).kill) })
}

func (p *plan) drawEndpoints() {
	modes := []mode{slow, failing, limited, hanging, resetting, garbling, unavailable}
	for number := range p.destinations * p.endpointsOfDestination {
		if p.random.IntN(3) == 0 {
			continue
		}
		at, long, m := p.moment(p.length*2/3), 200*time.Millisecond+p.moment(2*time.Second), modes[p.random.IntN(len(modes))]
		p.add(at, func(ctx context.Context, r *run) {
			r.ledger.did("endpoint %d: %s for %v", number, m, long.Round(time.Millisecond))
			r.endpoints[number].behave(m)
			pause(ctx, long)
			r.endpoints[number].behave(healthy)
		})
	}
	if p.endpointsOfDestination > 1 && p.random.IntN(2) == 0 {
		number := p.random.IntN(p.destinations * p.endpointsOfDestination)
		p.add(p.moment(p.length), func(_ context.Context, r *run) {
			r.ledger.did("endpoint %d: drains", number)
			r.discovery.drain(number)
		})
	}
}

func (p *plan) drawDiscovery(nodes int) {
	for node := range nodes {
		if p.random.IntN(3) == 0 {
			p.add(p.moment(p.length), func(_ context.Context, r *run) {
				r.ledger.did("node %d: its watch falls silent", node)
				r.discovery.silence(node)
			})
		}
	}
	if p.random.IntN(3) == 0 {
		p.add(p.moment(p.length/2), func(ctx context.Context, r *run) {
			r.ledger.did("discovery is down for 1.5s")
			r.discovery.fail(true)
			pause(ctx, 1500*time.Millisecond)
			r.discovery.fail(false)
		})
	}
}

// fail has calls of a node fail for a time.
func (r *run) fail(node int, f sysfault.Fault, long time.Duration) {
	text := f.Errno.Error()
	if f.Delay > 0 {
		text = fmt.Sprintf("slow by %v", f.Delay.Round(time.Millisecond))
	}
	r.ledger.did("node %d: %s: %s for %v, share %.2f, short %v", node, f.Call, text, long.Round(time.Millisecond), f.Probability, f.Short)
	f.Until = time.Now().Add(long)
	if f.Call == sysfault.SocketWrite && f.Probability == 0 {
		r.ledger.mutes(node, long)
	}
	if f.Call == sysfault.SocketRead && f.Probability == 0 {
		r.ledger.deafens(node, long)
	}
	if (f.Call == sysfault.SocketOpen || f.Call == sysfault.Connect) && f.Probability == 0 {
		r.ledger.sealsOff(node, long)
	}
	if onDisk(f.Call) {
		r.ledger.failsDisk(node, long+f.Delay)
	}
	r.processes[node].fault(f)
}

func (r *run) restartFaulty(ctx context.Context, node int, faults []sysfault.Fault, long time.Duration, end func(*process)) {
	for i := range faults {
		r.ledger.did("node %d: its next start meets %s: %s for %v", node, faults[i].Call, faults[i].Errno.Error(),
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
	r.ledger.did("node %d: is ended", node)
	end(p)
	from := r.ledger.now()
	for _, e := range r.endpoints {
		e.forget(node)
	}
	pause(ctx, restartAfter)
	var atStart []sysfault.Fault
	if faults != nil {
		atStart = faults()
	}
	if err := p.start(atStart); err != nil {
		r.ledger.broke(RuleCrash, "node %d does not start again: %v", node, err)
		return
	}
	if err := p.awaitReady(ctx); err != nil {
		if ctx.Err() == nil {
			r.ledger.broke(RuleCrash, "node %d does not serve again: %v", node, err)
		}
		return
	}
	r.ledger.did("node %d: is ready again", node)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restarts[node] = append(r.restarts[node], span{from, r.ledger.now()})
}
