package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"jaspersill/logs"
)

// Phase is a stage of the node's life between its start and its exit.
type Phase int32

const (
	Starting  Phase = iota // opening its journal and its sockets
	Restoring              // handing unfinished events of the previous process to the scheduler
	Serving
	Draining // shutting down: finishing what it can, and still responding to requests
	Stopped
)

func (p Phase) String() string {
	return [...]string{"starting", "restoring", "serving", "draining", "stopped"}[p]
}

// The platform kills the process 3.7 s after SIGTERM, and routes new connections to it during the first 0.4 s.
const (
	drainCloseIdle    = 600 * time.Millisecond  // when to close idle connections, so that their clients reconnect elsewhere
	drainStopDeciding = 2000 * time.Millisecond // when to stop sending and accepting events: attempts in flight have time to end
	drainExit         = 3400 * time.Millisecond // when to exit, even with work in flight
	drainWriteGrace   = 150 * time.Millisecond  // extra time while responses are unwritten: writing one takes almost no time
	drainPollInterval = 10 * time.Millisecond

	// drainNoticeReserve is the time before the exit that is reserved for reporting ends that are still unconfirmed.
	drainNoticeReserve = 400 * time.Millisecond
)

// drainTimes are measured from the start of the drain.
type drainTimes struct{ closeIdle, stopDeciding, exit time.Duration }

// Phase returns the current phase.
func (n *Node) Phase() Phase { return Phase(n.phase.Load()) }

func (n *Node) setPhase(p Phase) {
	n.phase.Store(int32(p))
	logs.Part("node").WithFields(logrus.Fields{"phase": p.String(), "active_events": n.activeEvents.Load()}).Info("phase changed")
}

// Run runs the node through its phases until it has stopped. It drains when ctx is cancelled.
func (n *Node) Run(ctx context.Context) error {
	stop := make(chan struct{})
	defer close(stop)

	n.setPhase(Restoring)
	go n.peers.receive()
	go n.notices.run(stop)
	go n.endpoints.sweepIdle(stop)
	go n.reportMemory(n.memoryLimits.MemoryBytes, stop)
	n.restoreEvents()
	go n.decisions.run()
	defer n.journal.close()
	defer n.peers.close()

	n.setPhase(Serving)
	serveErr := make(chan error, 1)
	go func() { serveErr <- n.clients.serve() }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}

	n.setPhase(Draining)
	start, drain := time.Now(), n.drainTimes.Load()
	n.waitUntil(start.Add(drain.closeIdle), nil)
	n.clients.listener.closeAllIdle()
	n.waitUntil(start.Add(drain.stopDeciding), n.noUnfinishedEvents)
	n.decisionsClosed.Store(true)
	n.clients.listener.closeAllIdle()
	n.waitUntil(start.Add(drain.stopDeciding), n.noUnfinishedEvents) // for events admitted just before
	n.decisions.stopSending()
	n.waitUntil(start.Add(drain.exit-drainNoticeReserve), n.confirmationsSettled)
	n.endpoints.settleAll()
	n.waitUntil(start.Add(drain.exit), n.quiesced)
	n.clients.listener.Close()
	n.clients.listener.closeAllIdle()
	n.waitUntil(start.Add(drain.exit+drainWriteGrace), n.clients.listener.isEmpty)
	n.directory.close()
	n.decisions.close()
	n.setPhase(Stopped)
	return nil
}

// waitUntil waits until a point in time, or until done returns true. A nil done is never true.
func (n *Node) waitUntil(until time.Time, done func() bool) {
	for time.Now().Before(until) && (done == nil || !done()) {
		time.Sleep(drainPollInterval)
	}
}

// noUnfinishedEvents reports whether no event is unfinished or about to be, except those whose end awaits confirmation.
func (n *Node) noUnfinishedEvents() bool {
	return n.activeEvents.Load() == 0 && n.journal.pendingCount() <= n.endpoints.unconfirmedCount() && n.journal.allWritten()
}

// confirmationsSettled reports whether no end awaits confirmation and none can occur any more that would need it.
func (n *Node) confirmationsSettled() bool {
	return n.endpoints.unconfirmedCount() == 0 && (n.endpoints.activeCalls.Load() == 0 || n.noUnfinishedEvents())
}

// quiesced reports whether nothing is left that would finish on its own: no attempt is in flight, and every decided end is
// reported and written. Events that are still unfinished wait for the next start.
func (n *Node) quiesced() bool {
	return n.noUnfinishedEvents() || (n.endpoints.activeCalls.Load() == 0 && n.unreportedEnds.Load() == 0 && n.journal.allWritten())
}
