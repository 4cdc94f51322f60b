// Package node is the delivery node on sockets: it carries out what the decision module decides. Each file
// has one job: an event's life, the desk that owns the module, the journal, and one for each peer spoken to.
package node

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"jaspersill/delivery"
	"jaspersill/lifecycle"
	"jaspersill/start"
	"jaspersill/store"
)

// Config is where a delivery node stands: its addresses and its folder.
type Config struct {
	Listen, Directory, StateFolder string
	PeerListen, PeersAll           string
	Peers                          []string
	KnownEndpoints                 []byte // the list of endpoints as it was last had

	disk    store.FS    // tests put one that fails in place of Folder
	machine *timeSource // and one whose wall clock steps in place of this one
}

// ClientTimeouts is how long clients' connections may take; 0 for the usual time.
type ClientTimeouts struct {
	FirstRequest time.Duration // from connecting until the first request is whole
	Request      time.Duration // from the first byte of each later request
	Idle         time.Duration // between two requests
}

// Limits is what a delivery node may take up.
type Limits struct {
	DiskMB  float64
	Sockets int
}

const (
	reservedSockets     = 48 // descriptors for the runtime, the listener, the directory, notices, peers and the journal
	endpointIdleDivisor = 4  // idle connections to endpoints take up to this part of the rest
	clientIdleDivisor   = 4  // clients' connections between requests, of all: clients hold a third, and need room in it
	minSockets          = 64
	minClients          = 16
	defaultSockets      = 1024 // where no limit is told
)

// Node is one delivery node.
type Node struct {
	clock           clock
	phase           atomic.Int32
	activeEvents    atomic.Int64 // events taken on and not ended
	unreportedEnds  atomic.Int64 // ends that are decided and not told
	decisionsClosed atomic.Bool  // nothing more is decided
	maxEvents       int64        // events held at most
	typeNames       []string
	customerNames   []string
	types           []delivery.StreamType

	drainTimes atomic.Pointer[drainTimes]
	restored   []*event // from before a restart
	journal    *journal
	decisions  *decisionLoop
	endpoints  *endpointPool
	directory  *directory
	notices    *noticeSender
	peers      *peerMessenger
	clients    *clientServer
}

// Open opens the journal and the sockets of a delivery node; Run starts it.
func Open(at Config, most Limits, times ClientTimeouts, s start.Start, module delivery.Scheduler) (*Node, error) {
	if at.machine == nil {
		m := systemTimeSource()
		at.machine = &m
	}
	c := newClock(at.StateFolder, *at.machine)
	n := &Node{clock: c, maxEvents: int64(s.Room.MaxEvents), types: s.Types, typeNames: s.TypeNames,
		customerNames: s.CustomerNames}
	n.SetDrainTimes(drainCloseIdle, drainStopDeciding, drainExit)
	n.setPhase(Starting)
	var err error
	if at.disk == nil {
		at.disk = store.Dir(at.StateFolder)
	}
	if n.journal, n.restored, err = openJournal(at.StateFolder, at.disk, c.timeOfDay, most.DiskMB, s.Room.MaxAttempts, n.resolveNames); err != nil {
		return nil, err
	}
	sockets := most.Sockets
	if sockets <= 0 {
		sockets = defaultSockets
	}
	keep := sockets / clientIdleDivisor
	sockets = max(minSockets, sockets-reservedSockets)
	idle := sockets / endpointIdleDivisor
	var perCall []int
	for _, p := range s.Partners {
		perCall = append(perCall, p.MaxEventsPerCall)
	}
	n.decisions = newDecisionLoop(c, module, s.Tick, append(perCall, 1))
	n.endpoints = &endpointPool{clock: c, journal: n.journal, dial: newDialer(s.ConnectWithin),
		idleTimeout: s.IdleFor, maxIdle: idle}
	n.directory = &directory{address: at.Directory, openWatches: make(map[*watch]struct{}),
		knownDests: make(map[uint32]struct{}), desk: n.decisions, endpoints: n.endpoints,
		partnerNames: s.PartnerNames, zoneNames: s.ZoneNames, useRates: s.Rated,
		watchErrors: failureLog{part: "directory", operation: "watching the list"}}
	n.notices = newNoticeSender(at.Directory)
	if n.peers, err = newPeerMessenger(at.PeerListen, at.PeersAll, at.Peers, s.Fleet.Self, n.decisions, c.timeOfDay()); err != nil {
		n.journal.close()
		return nil, err
	}
	n.SetDirectorySilence(defaultWatchSilence)
	n.decisions.endpoints, n.decisions.directory, n.decisions.peers = n.endpoints, n.directory, n.peers
	if len(at.KnownEndpoints) > 0 {
		if err = n.directory.applyList(nil, at.KnownEndpoints); err != nil {
			err = fmt.Errorf("known: %w", err)
		}
	}
	if err == nil {
		n.clients, err = newClientServer(n, at.Listen, times, max(minClients, sockets-idle-s.Room.MaxConcurrentCalls), keep)
	}
	if err != nil {
		n.peers.close()
		n.journal.close()
		return nil, err
	}
	return n, nil
}

// SetDrainTimes sets how long after SIGTERM connections between requests are closed, nothing more is decided, and the
// node exits. It holds for a drain that begins later, and may be called at any time, as may Silence and
// Notices.
func (n *Node) SetDrainTimes(rest, choose, end time.Duration) {
	n.drainTimes.Store(&drainTimes{rest, choose, end})
}

// SetDirectorySilence sets for how long a call to the directory may show no sign of life.
func (n *Node) SetDirectorySilence(most time.Duration) { n.directory.silenceTimeout.Store(int64(most)) }

// SetNoticeTimes sets how long the platform has to answer a notice, and when one that failed is told again.
func (n *Node) SetNoticeTimes(within, again time.Duration) { n.notices.setTimeouts(within, again) }

// SetDirectoryAddress tells that the directory, which takes the notices too, is at another address from now on.
func (n *Node) SetDirectoryAddress(directory string) {
	n.directory.setAddress(directory)
	n.notices.setAddress(directory)
}

// restoreEvents hands in what is owed from before the restart.
func (n *Node) restoreEvents() {
	n.activeEvents.Add(int64(len(n.restored)))
	for _, e := range n.restored {
		e.monoDeadline = n.clock.now() + e.wallDeadline - n.clock.timeOfDay()
		e.safety = n.safetyOf(e.typ)
		e.request = lifecycle.RestoreRequest(e.id, e.monoDeadline, n.repeatable(e.typ), e.mayHaveRun())
		if e.resolution == unresolved {
			n.decisions.addEvent(e)
		}
		go n.runEvent(e)
	}
	n.restored = nil
}

// refusalReason tells why an event is refused before it is taken on, empty where it has a place. A destination may be listed
// later.
func (n *Node) refusalReason(e *event) (reason string) {
	switch {
	case !n.directory.isKnownDest(e.dest):
		return refusedUnlisted
	case !n.admit():
		return refusedAtCapacity
	}
	return ""
}

// admit takes a place for one more event, if there is one.
func (n *Node) admit() bool {
	if n.activeEvents.Add(1) > n.maxEvents || n.decisionsClosed.Load() {
		n.activeEvents.Add(-1)
		return false
	}
	return true
}

// resolveNames maps the names of a stream type and a customer to their indices.
func (n *Node) resolveNames(kind, owner string) (typ, customer int, ok bool) {
	typ, customer = slices.Index(n.typeNames, start.Name(kind)), slices.Index(n.customerNames, start.Name(owner))
	if len(n.customerNames) == 0 {
		customer = 0
	}
	return max(typ, 0), max(customer, 0), typ >= 0 && customer >= 0
}

func (n *Node) customerName(customer int) string {
	if customer < len(n.customerNames) {
		return n.customerNames[customer]
	}
	return ""
}

// safetyOf is what repeating an event of a stream type may do. Of a type that is not known any more, nothing was forbidden.
func (n *Node) safetyOf(typ int) delivery.Safety {
	if typ >= len(n.types) {
		return delivery.Idempotent
	}
	return n.types[typ].Safety
}

// repeatable tells whether an event of a stream type may be sent again after an attempt that may have run.
func (n *Node) repeatable(typ int) bool {
	return n.safetyOf(typ) != delivery.NonIdempotent
}

// requiresIdempotencyKey tells whether events of a stream type carry a mark.
func (n *Node) requiresIdempotencyKey(typ int) bool {
	return n.types[typ].Safety == delivery.Deduplicated
}
