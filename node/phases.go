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
	drainRest   = 600 * time.Millisecond  // then waiting connections are closed: their clients go elsewhere
	drainChoose = 2000 * time.Millisecond // then nothing new is decided or taken on: sends out have time to end
	drainEnd    = 3400 * time.Millisecond // then it exits, whatever is still out
	drainLast   = 150 * time.Millisecond  // and so much later with answers unwritten: they take no time to write
	drainLook   = 10 * time.Millisecond

	// drainNotices is the part of the time before the exit in which ends are told that are still in doubt.
	drainNotices = 400 * time.Millisecond
)

// drainTimes are counted from the beginning of the drain.
type drainTimes struct{ rest, choose, end time.Duration }

// Phase tells the present phase.
func (n *Node) Phase() Phase { return Phase(n.phase.Load()) }

func (n *Node) enter(p Phase) {
	n.phase.Store(int32(p))
	logs.Part("node").WithFields(logrus.Fields{"phase": p.String(), "held": n.held.Load()}).Info("phase")
}

// Run takes the delivery node through its phases. It drains when ctx ends.
func (n *Node) Run(ctx context.Context) error {
	stop := make(chan struct{})
	defer close(stop)

	n.enter(Restoring)
	go n.peers.hear()
	go n.notices.run(stop)
	go n.endpoints.sweep(stop)
	n.restore()
	go n.desk.run()
	defer n.journal.close()
	defer n.peers.close()

	n.enter(Serving)
	broken := make(chan error, 1)
	go func() { broken <- n.clients.serve() }()
	select {
	case err := <-broken:
		return err
	case <-ctx.Done():
	}

	n.enter(Draining)
	begin, drain := time.Now(), n.drain.Load()
	n.sleep(begin.Add(drain.rest), nil)
	n.clients.listener.dismiss()
	n.sleep(begin.Add(drain.choose), n.unowed)
	n.deskShut.Store(true)
	n.clients.listener.dismiss()
	n.sleep(begin.Add(drain.choose), n.unowed) // what was admitted just before
	n.desk.close()
	n.sleep(begin.Add(drain.end-drainNotices), n.settled)
	n.endpoints.settleRested(true)
	n.sleep(begin.Add(drain.end), n.quiet)
	n.clients.listener.Close()
	n.clients.listener.dismiss()
	n.sleep(begin.Add(drain.end+drainLast), n.clients.listener.empty)
	n.directory.close()
	n.enter(Stopped)
	return nil
}

// sleep waits until a time, or until there is nothing left to wait for.
func (n *Node) sleep(until time.Time, done func() bool) {
	for time.Now().Before(until) && (done == nil || !done()) {
		time.Sleep(drainLook)
	}
}

// unowed tells whether nothing is owed, nor about to be, but for ends that wait to be confirmed.
func (n *Node) unowed() bool {
	return n.held.Load() == 0 && n.journal.pendingCount() <= n.endpoints.unsettled() && n.journal.allWritten()
}

// settled tells whether no end waits to be confirmed, and none can come that would have to.
func (n *Node) settled() bool {
	n.endpoints.settleRested(false)
	return n.endpoints.unsettled() == 0 && (n.endpoints.out.Load() == 0 || n.unowed())
}

// quiet tells whether nothing is left that ends by itself: no attempt is out, every end that is decided is told and
// written. What is owed beyond that waits for the next start.
func (n *Node) quiet() bool {
	return n.unowed() || (n.endpoints.out.Load() == 0 && n.ending.Load() == 0 && n.journal.allWritten())
}
