// Package node implements the delivery node over network sockets: it executes the decisions of the scheduler. Each
// file has one responsibility: the task that runs for each event, the loop that owns the scheduler, the journal, and
// one for each kind of remote party.
package node

import (
	"fmt"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"jaspersill/delivery"
	"jaspersill/lifecycle"
	"jaspersill/membudget"
	"jaspersill/settings"
	"jaspersill/store"
)

// Config holds the addresses of a node and its state folder.
type Config struct {
	Listen, Directory, StateFolder string
	PeerListen, PeersAll           string
	Peers                          []string
	KnownEndpoints                 []byte // the last known list of endpoints, as JSON in the directory's format

	disk       store.FS    // replaces StateFolder in tests, to inject failures
	timeSource *timeSource // replaces the clocks of this machine in tests, to make the wall clock step
}

// ClientTimeouts bounds the stages of a client connection; 0 selects the default.
type ClientTimeouts struct {
	FirstRequest time.Duration // from connecting until the first request is complete
	Request      time.Duration // from the first byte of each later request until it is complete
	Idle         time.Duration // between two requests
}

// Limits bounds the resources of a node.
type Limits struct {
	DiskMB      float64
	Sockets     int
	MemoryBytes int64   // 0 for no limit
	GoShare     float64 // largest share of MemoryBytes for the Go runtime; 0 for no limit of its own
}

const (
	// reservedSockets is the number of descriptors for the runtime, the listener, the directory, notices, peers and the
	// journal.
	reservedSockets = 48
	// endpointIdleDivisor limits idle connections to endpoints to 1/4 of the sockets that are not reserved.
	endpointIdleDivisor = 4
	// clientIdleDivisor limits idle client connections to 1/4 of all sockets. Clients hold up to 1/3, and new connections
	// need room in that third.
	clientIdleDivisor = 4
	minSockets        = 64
	minClients        = 16
	defaultSockets    = 1024 // if no limit is configured
)

// Node is one delivery node of the relay.
type Node struct {
	clock           clock
	phase           atomic.Int32
	activeEvents    atomic.Int64 // events accepted and not ended
	unreportedEnds  atomic.Int64 // ends that are decided but not reported
	decisionsClosed atomic.Bool  // nothing more is accepted, sent or ended
	maxEvents       int64        // upper bound of activeEvents
	typeNames       []string
	customerNames   []string
	types           []delivery.StreamType

	memoryLimits membudget.Limits
	memory       *membudget.Budget // of requests and events
	drainTimes   atomic.Pointer[drainTimes]
	restored     []*event // unfinished events from before the restart
	journal      *journal
	decisions    *decisionLoop
	endpoints    *endpointPool
	directory    *directory
	notices      *noticeSender
	peers        *peerMessenger
	clients      *clientServer
}

// Open opens the journal and the sockets of a node. Run starts it.
func Open(config Config, limits Limits, timeouts ClientTimeouts, settings settings.Settings, scheduler delivery.Scheduler) (*Node, error) {
	if config.timeSource == nil {
		source := systemTimeSource()
		config.timeSource = &source
	}
	c := newClock(config.StateFolder, *config.timeSource)
	n := &Node{clock: c, maxEvents: int64(settings.Limits.MaxEvents), types: settings.StreamTypes, typeNames: settings.StreamTypeNames,
		customerNames: settings.CustomerNames}
	n.SetDrainTimes(drainCloseIdle, drainStopDeciding, drainExit)
	n.setPhase(Starting)
	var err error
	if config.disk == nil {
		config.disk = store.Dir(config.StateFolder)
	}
	if n.journal, n.restored, err = openJournal(config.StateFolder, config.disk, c.timeOfDay, limits.DiskMB,
		settings.Limits.MaxAttempts, n.resolveNames); err != nil {
		return nil, err
	}
	sockets := limits.Sockets
	if sockets <= 0 {
		sockets = defaultSockets
	}
	idleClients := sockets / clientIdleDivisor
	sockets = max(minSockets, sockets-reservedSockets)
	idleEndpoints := sockets / endpointIdleDivisor
	n.memoryLimits = membudget.Limits{MemoryBytes: limits.MemoryBytes, FileBytes: int64(limits.DiskMB * 1e6), GoShare: limits.GoShare,
		ClientConns:       max(minClients, sockets-idleEndpoints-settings.Limits.MaxConcurrentCalls),
		IdleEndpointConns: idleEndpoints}
	plan := membudget.NewPlan(n.memoryLimits)
	n.memory = membudget.NewBudget(plan.RequestBytes)
	n.journal.store.LimitCompletedIDs(plan.RememberedIDs)
	n.decisions = newDecisionLoop(c, scheduler, settings.MinRoundInterval, settings.DestinationKinds)
	n.endpoints = &endpointPool{clock: c, journal: n.journal, dial: newDialer(settings.ConnectTimeout, socketBuffers{receive: plan.EndpointReceiveBuffer}),
		idleTimeout: settings.ConnIdleTimeout, maxIdle: plan.IdleEndpointConns}
	n.directory = &directory{address: config.Directory, openWatches: make(map[*watch]struct{}),
		knownDests: make(map[uint32]struct{}), decisions: n.decisions, endpoints: n.endpoints,
		destinationKindNames: settings.DestinationKindNames, zoneNames: settings.ZoneNames, useRates: settings.HasRates, maxListBytes: plan.ListBytes,
		watchErrors: failureLog{part: "directory", operation: "watching the directory"}}
	n.notices = newNoticeSender(config.Directory)
	if n.peers, err = newPeerMessenger(config.PeerListen, config.PeersAll, config.Peers, settings.Cluster.Self, n.decisions,
		c.timeOfDay()); err != nil {
		n.journal.close()
		return nil, err
	}
	n.SetDirectorySilence(defaultWatchSilence)
	n.decisions.endpoints, n.decisions.directory, n.decisions.peers = n.endpoints, n.directory, n.peers
	if len(config.KnownEndpoints) > 0 {
		if err = n.directory.applyList(nil, config.KnownEndpoints); err != nil {
			err = fmt.Errorf("known: %w", err)
		}
	}
	if err == nil {
		n.clients, err = newClientServer(n, config.Listen, timeouts, plan, idleClients)
	}
	if err != nil {
		n.peers.close()
		n.journal.close()
		return nil, err
	}
	residentMemory.Set(residentBytes)
	clientConnections.Set(func() int64 { return int64(n.clients.listener.connCount()) })
	activeEventCount.Set(n.activeEvents.Load)
	requestMemory.Set(n.memory.Used)
	requestMemoryLimit.Set(n.memory.Total)
	return n, nil
}

// SetDrainTimes sets how long after SIGTERM idle client connections are closed, no more decisions are made, and the node
// exits. It applies to drains that start later. It may be called at any time, as may SetDirectorySilence and
// SetNoticeTimes.
func (n *Node) SetDrainTimes(closeIdle, stopDeciding, exit time.Duration) {
	n.drainTimes.Store(&drainTimes{closeIdle, stopDeciding, exit})
}

// SetGoShare sets the largest share of the memory limit for the Go runtime, which collects garbage more often as it comes close.
// The rest of the limit is for the program's code, the state folder's files and the kernel's socket queues. It has no effect
// without a memory limit.
func (n *Node) SetGoShare(share float64) {
	limits := n.memoryLimits
	limits.GoShare = share
	if plan := membudget.NewPlan(limits); plan.GoBytes > 0 {
		debug.SetMemoryLimit(plan.GoBytes)
	}
}

// SetDirectorySilence sets how long a call to the directory may go without receiving data.
func (n *Node) SetDirectorySilence(timeout time.Duration) {
	n.directory.silenceTimeout.Store(int64(timeout))
}

// SetNoticeTimes sets the time limit for the platform to answer a notice, and the pause before a failed notice is posted
// again.
func (n *Node) SetNoticeTimes(timeout, retryInterval time.Duration) {
	n.notices.setTimeouts(timeout, retryInterval)
}

// SetDirectoryAddress sets the address of the directory, which also receives the notices.
func (n *Node) SetDirectoryAddress(address string) {
	n.directory.setAddress(address)
	n.notices.setAddress(address)
}

// restoreEvents starts the events that were unfinished before the restart.
func (n *Node) restoreEvents() {
	n.activeEvents.Add(int64(len(n.restored)))
	for _, e := range n.restored {
		e.monoDeadline = n.clock.now() + e.deadlineTimeOfDay - n.clock.timeOfDay()
		e.safety, e.reopenable = n.safetyOf(e.typ), n.reopenable(e)
		e.request = lifecycle.RestoreRequest(e.id, e.monoDeadline, n.repeatable(e.typ), e.mayHaveRun())
		if e.resolution == unresolved {
			n.decisions.addEvent(e)
		}
		n.memory.Take(membudget.EventCharge(len(e.body)))
		go n.runEvent(e)
	}
	n.restored = nil
}

// refusalReason returns why an event is refused before it is accepted, or an empty string if a place was reserved for it. A
// destination that is unknown now may be listed later.
func (n *Node) refusalReason(e *event) (reason string) {
	switch {
	case !n.directory.isKnownDest(e.dest):
		return refusedUnlisted
	case !n.memory.TryAcquire(membudget.EventCharge(len(e.body))):
		return refusedNoMemory
	case !n.admit():
		n.memory.Release(membudget.EventCharge(len(e.body)))
		return refusedAtCapacity
	}
	return ""
}

// admit reserves a place for one more event, and reports whether there was one.
func (n *Node) admit() bool {
	if n.activeEvents.Add(1) > n.maxEvents || n.decisionsClosed.Load() {
		n.activeEvents.Add(-1)
		return false
	}
	return true
}

// resolveNames maps the names of a stream type and a customer to their indices.
func (n *Node) resolveNames(kind, owner string) (typ, customer int, ok bool) {
	typ, customer = slices.Index(n.typeNames, settings.NormalizeName(kind)), slices.Index(n.customerNames, settings.NormalizeName(owner))
	if len(n.customerNames) == 0 {
		customer = 0
	}
	return max(typ, 0), max(customer, 0), typ >= 0 && customer >= 0
}

// customerName returns the name of a customer, or an empty string if none is configured under the index.
func (n *Node) customerName(customer int) string {
	if customer < len(n.customerNames) {
		return n.customerNames[customer]
	}
	return ""
}

// safetyOf returns whether events of a stream type can be repeated without a second effect. A type that is no longer
// configured counts as idempotent, since nothing forbids repeating its events.
func (n *Node) safetyOf(typ int) delivery.Safety {
	if typ >= len(n.types) {
		return delivery.Idempotent
	}
	return n.types[typ].Safety
}

// repeatable reports whether an event of a stream type may be sent again after an attempt that may have run.
func (n *Node) repeatable(typ int) bool {
	return n.safetyOf(typ) != delivery.NonIdempotent
}

// requiresIdempotencyKey reports whether events of a stream type must carry an idempotency key.
func (n *Node) requiresIdempotencyKey(typ int) bool {
	return n.types[typ].Safety == delivery.Deduplicated
}
