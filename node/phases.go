package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"jaspersill/logs"
)

// Phase is where a delivery node stands between its start and its exit.
type Phase int32

const (
	Starting  Phase = iota // opening its journal and its sockets
	Restoring              // handing the module what is owed from before
	Serving
	Draining // no longer wanted: ending what it can, answering what still comes
	Stopped
)

func (p Phase) String() string {
	return [...]string{"starting", "restoring", "serving", "draining", "stopped"}[p]
}

// The platform kills 3.7 s after it said to stop, and for the first 0.4 s sends new connections.
const (
	drainCloseIdle    = 600 * time.Millisecond  // then waiting connections are closed: their clients go elsewhere
	drainStopDeciding = 2000 * time.Millisecond // then nothing new is decided or taken on: sends out have time to end
	drainExit         = 3400 * time.Millisecond // then it exits, whatever is still out
	drainWriteGrace   = 150 * time.Millisecond  // and so much later with answers unwritten: they take no time to write
	drainPollInterval = 10 * time.Millisecond

	// drainNoticeReserve is the part of the time before the exit in which ends are told that are still in doubt.
	drainNoticeReserve = 400 * time.Millisecond
)

// drainTimes are counted from the beginning of the drain.
type drainTimes struct{ closeIdle, stopDeciding, exit time.Duration }

// Phase tells the present phase.
func (n *Node) Phase() Phase { return Phase(n.phase.Load()) }

func (n *Node) setPhase(p Phase) {
	n.phase.Store(int32(p))
	logs.Part("node").WithFields(logrus.Fields{"phase": p.String(), "held": n.activeEvents.Load()}).Info("phase")
}

// Run takes the delivery node through its phases. It drains when ctx ends.
func (n *Node) Run(ctx context.Context) error {
	stop := make(chan struct{})
	defer close(stop)

	n.setPhase(Restoring)
	go n.peers.receive()
	go n.notices.run(stop)
	go n.endpoints.sweepIdle(stop)
	n.restoreEvents()
	go n.decisions.run()
	defer n.journal.close()
	defer n.peers.close()

	n.setPhase(Serving)
	broken := make(chan error, 1)
	go func() { broken <- n.clients.serve() }()
	select {
	case err := <-broken:
		return err
	case <-ctx.Done():
	}

	n.setPhase(Draining)
	begin, drain := time.Now(), n.drainTimes.Load()
	n.waitUntil(begin.Add(drain.closeIdle), nil)
	n.clients.listener.closeAllIdle()
	n.waitUntil(begin.Add(drain.stopDeciding), n.nothingOwed)
	n.decisionsClosed.Store(true)
	n.clients.listener.closeAllIdle()
	n.waitUntil(begin.Add(drain.stopDeciding), n.nothingOwed) // what was admitted just before
	n.decisions.close()
	n.waitUntil(begin.Add(drain.exit-drainNoticeReserve), n.confirmationsSettled)
	n.endpoints.settleIdle(true)
	n.waitUntil(begin.Add(drain.exit), n.quiesced)
	n.clients.listener.Close()
	n.clients.listener.closeAllIdle()
	n.waitUntil(begin.Add(drain.exit+drainWriteGrace), n.clients.listener.isEmpty)
	n.directory.close()
	n.setPhase(Stopped)
	return nil
}

// waitUntil waits until a time, or until there is nothing left to wait for.
func (n *Node) waitUntil(until time.Time, done func() bool) {
	for time.Now().Before(until) && (done == nil || !done()) {
		time.Sleep(drainPollInterval)
	}
}

// nothingOwed tells whether nothing is owed, nor about to be, but for ends that wait to be confirmed.
func (n *Node) nothingOwed() bool {
	return n.activeEvents.Load() == 0 && n.journal.pendingCount() <= n.endpoints.unconfirmedCount() && n.journal.allWritten()
}

// confirmationsSettled tells whether no end waits to be confirmed, and none can come that would have to.
func (n *Node) confirmationsSettled() bool {
	n.endpoints.settleIdle(false)
	return n.endpoints.unconfirmedCount() == 0 && (n.endpoints.activeCalls.Load() == 0 || n.nothingOwed())
}

// quiesced tells whether nothing is left that ends by itself: no attempt is out, every end that is decided is told and
// written. What is owed beyond that waits for the next start.
func (n *Node) quiesced() bool {
	return n.nothingOwed() || (n.endpoints.activeCalls.Load() == 0 && n.unreportedEnds.Load() == 0 && n.journal.allWritten())
}
