// Package node is the delivery node on sockets: it carries out what the decision module decides. Each file
// has one job: an event's life, the desk that owns the module, the journal, and one for each peer spoken to.
package node

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"jaspersill/lifecycle"
	"jaspersill/port"
	"jaspersill/start"
	"jaspersill/store"
)

// Place is where a delivery node stands: its addresses and its folder.
type Place struct {
	Listen, Directory, Folder string
	PeerListen, PeersAll      string
	Peers                     []string
	Known                     []byte // the list of endpoints as it was last had

	disk    store.FS // tests put one that fails in place of Folder
	machine *machine // and one whose wall clock steps in place of this one
}

// ClientTimes is how long clients' connections may take; 0 for the usual time.
type ClientTimes struct {
	First   time.Duration // from connecting until the first request is whole
	Whole   time.Duration // from the first byte of each later request
	Between time.Duration // between two requests
}

// Limits is what a delivery node may take up.
type Limits struct {
	DiskMB  float64
	Sockets int
}

const (
	ownSockets  = 48 // descriptors for the runtime, the listener, the directory, notices, peers and the journal
	idlePart    = 4  // idle connections to endpoints take up to this part of the rest
	keepPart    = 4  // clients' connections between requests, of all: clients hold a third, and need room in it
	fewSockets  = 64
	fewClients  = 16
	manySockets = 1024 // where no limit is told
)

// Node is one delivery node.
type Node struct {
	clock     clock
	phase     atomic.Int32
	held      atomic.Int64 // events taken on and not ended
	ending    atomic.Int64 // ends that are decided and not told
	deskShut  atomic.Bool  // nothing more is decided
	most      int64        // events held at most
	typeNames []string
	owners    []string
	types     []port.StreamType

	drain     atomic.Pointer[drainTimes]
	owed      []*event // from before a restart
	journal   *journal
	desk      *desk
	endpoints *endpoints
	directory *directory
	notices   *notices
	peers     *peers
	clients   *clients
}

// Open opens the journal and the sockets of a delivery node; Run starts it.
func Open(at Place, most Limits, times ClientTimes, s start.Start, module port.Decider) (*Node, error) {
	if at.machine == nil {
		m := thisMachine()
		at.machine = &m
	}
	c := startClock(at.Folder, *at.machine)
	n := &Node{clock: c, most: int64(s.Room.Events), types: s.Types, typeNames: s.TypeNames,
		owners: s.CustomerNames}
	n.Drain(drainRest, drainChoose, drainEnd)
	n.enter(Starting)
	var err error
	if at.disk == nil {
		at.disk = store.Dir(at.Folder)
	}
	if n.journal, n.owed, err = openJournal(at.Folder, at.disk, c.day, most.DiskMB, s.Room.Sends, n.find); err != nil {
		return nil, err
	}
	sockets := most.Sockets
	if sockets <= 0 {
		sockets = manySockets
	}
	keep := sockets / keepPart
	sockets = max(fewSockets, sockets-ownSockets)
	idle := sockets / idlePart
	var perCall []int
	for _, p := range s.Partners {
		perCall = append(perCall, p.PerCall)
	}
	n.desk = newDesk(c, module, s.Tick, append(perCall, 1))
	n.endpoints = &endpoints{clock: c, journal: n.journal, dial: dialer(s.ConnectWithin),
		idleFor: s.IdleFor, mostIdle: idle}
	n.directory = &directory{address: at.Directory, open: make(map[*watch]struct{}),
		dests: make(map[uint32]struct{}), desk: n.desk, endpoints: n.endpoints,
		partners: s.PartnerNames, zones: s.ZoneNames, rated: s.Rated,
		answers: trouble{part: "directory", what: "watching the list"}}
	n.notices = openNotices(at.Directory)
	if n.peers, err = openPeers(at.PeerListen, at.PeersAll, at.Peers, s.Fleet.Me, n.desk, c.day()); err != nil {
		n.journal.close()
		return nil, err
	}
	n.Silence(silentAfter)
	n.desk.endpoints, n.desk.directory, n.desk.peers = n.endpoints, n.directory, n.peers
	if len(at.Known) > 0 {
		if err = n.directory.list(nil, at.Known); err != nil {
			err = fmt.Errorf("known: %w", err)
		}
	}
	if err == nil {
		n.clients, err = openClients(n, at.Listen, times, max(fewClients, sockets-idle-s.Room.Slots), keep)
	}
	if err != nil {
		n.peers.close()
		n.journal.close()
		return nil, err
	}
	return n, nil
}

// Drain sets how long after SIGTERM connections between requests are closed, nothing more is decided, and the
// node exits. It holds for a drain that begins later, and may be called at any time, as may Silence and
// Notices.
func (n *Node) Drain(rest, choose, end time.Duration) { n.drain.Store(&drainTimes{rest, choose, end}) }

// Silence sets for how long a call to the directory may show no sign of life.
func (n *Node) Silence(most time.Duration) { n.directory.silence.Store(int64(most)) }

// Notices sets how long the platform has to answer a notice, and when one that failed is told again.
func (n *Node) Notices(within, again time.Duration) { n.notices.times(within, again) }

// Move tells that the directory, which takes the notices too, is at another address from now on.
func (n *Node) Move(directory string) {
	n.directory.move(directory)
	n.notices.move(directory)
}

// restore hands in what is owed from before the restart.
func (n *Node) restore() {
	n.held.Add(int64(len(n.owed)))
	for _, e := range n.owed {
		e.due = n.clock.now() + e.deadline - n.clock.day()
		e.safety = n.safety(e.typ)
		e.request = lifecycle.RestoredRequest(e.id, e.due, n.repeatable(e.typ), e.mayHaveRun())
		if e.verdict == open {
			n.desk.take(e)
		}
		go n.life(e)
	}
	n.owed = nil
}

// refuses tells why an event is refused before it is taken on, empty where it has a place. A destination may be listed
// later.
func (n *Node) refuses(e *event) (reason string) {
	switch {
	case !n.directory.knows(e.dest):
		return refusedUnlisted
	case !n.admit():
		return refusedNoRoom
	}
	return ""
}

// admit takes a place for one more event, if there is one.
func (n *Node) admit() bool {
	if n.held.Add(1) > n.most || n.deskShut.Load() {
		n.held.Add(-1)
		return false
	}
	return true
}

// find maps the names of a stream type and a customer to their indices.
func (n *Node) find(kind, owner string) (typ, customer int, ok bool) {
	typ, customer = slices.Index(n.typeNames, start.Name(kind)), slices.Index(n.owners, start.Name(owner))
	if len(n.owners) == 0 {
		customer = 0
	}
	return max(typ, 0), max(customer, 0), typ >= 0 && customer >= 0
}

func (n *Node) owner(customer int) string {
	if customer < len(n.owners) {
		return n.owners[customer]
	}
	return ""
}

// safety is what repeating an event of a stream type may do. Of a type that is not known any more, nothing was forbidden.
func (n *Node) safety(typ int) port.Safety {
	if typ >= len(n.types) {
		return port.Idempotent
	}
	return n.types[typ].Safety
}

// repeatable tells whether an event of a stream type may be sent again after an attempt that may have run.
func (n *Node) repeatable(typ int) bool {
	return n.safety(typ) != port.NonIdempotent
}

// marked tells whether events of a stream type carry a mark.
func (n *Node) marked(typ int) bool { return n.types[typ].Safety == port.Deduplicated }
