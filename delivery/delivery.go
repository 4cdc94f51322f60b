// Package port is the protocol-neutral interface between the decision module
// and whatever carries its decisions out. Times are nanoseconds; events,
// endpoints and destinations are small dense indices given out at the door.
package delivery

// Outcome says how a send ended.
type Outcome uint8

const (
	Acked         Outcome = iota // delivered
	Errored                      // the destination answered with an error; it may have run
	Refused                      // turned away unseen
	TimedOut                     // no answer in time; it may have run
	ConnectFailed                // no connection; it did not run
	Reset                        // the connection broke; it may have run
	Cancelled                    // called off; it may have run
	Unsent                       // never left the delivery node
	Unreadable                   // an answer came that cannot be read; it may have run
)

func (o Outcome) String() string {
	return [...]string{"delivered", "error", "refused", "timed_out", "connect_failed", "reset", "cancelled", "unsent",
		"unreadable"}[o]
}

// MayHaveRun reports whether a send that ended so may have taken effect.
func (o Outcome) MayHaveRun() bool {
	return o != Refused && o != ConnectFailed && o != Unsent
}

// Safety is what repeating an event of a stream type may do.
type Safety uint8

const (
	Idempotent Safety = iota
	Deduplicated
	NonIdempotent
)

// EndpointState is what the directory says of an endpoint.
type EndpointState uint8

const (
	Draining EndpointState = 1 + iota
	Ready
	Gone
)

// StreamType is one stream type's terms.
type StreamType struct {
	Safety           Safety
	DedupPerZone     bool  // repeats are dropped only by endpoints of one zone
	Ordered          bool  // events with the same key go one at a time
	DedupWindow      int64 // how long a destination knows a repeat
	SLO              int64
	SLOPerWork       float64 // the SLO time grows by this multiple of the event's own work
	MaxAge           int64
	Utility          float64
	LateUtility      float64 // share of the utility left at max age
	ExponentialDecay bool    // utility halves with each further SLO time, else it falls evenly
}

// Customer is a customer's share, in events a second over all delivery nodes.
type Customer struct{ Rate float64 }

// DestinationKind is a kind of destination.
type DestinationKind struct {
	LimitPerEndpoint bool // its endpoints are routes apart, each with its own limit
	MaxEventsPerCall int  // events in one call at most
}

// Limits is what a delivery node may have at once and may do.
type Limits struct {
	MaxConcurrentCalls, MaxEvents, MaxAttempts int
	CanCancel                                  bool
	MaxRetryAfter                              int64 // longest come-back time a client honours; 0 when it can't be told
}

// Recovery tells how a destination comes back from an outage.
type Recovery struct {
	ColdShare      float64
	WarmupTime     int64
	OverloadFactor float64
	OverloadAfter  int64
}

// Directory tells how the list of endpoints is kept.
type Directory struct {
	RequiresWatch bool  // changes come only when asked for
	Automatic     bool  // they count as told from the first moment, asked for or not
	DrainGrace    int64 // time to stop sending to a draining or gone endpoint
}

// Cluster is the place of this delivery node among its peers.
type Cluster struct {
	Self, Nodes  int
	PeerMessages bool // peers may be told things
	Probes       bool
}

// Executor takes the decisions of one round, in order. Sends of one round to one endpoint may share a call,
// which ends as a whole: when the least patient of them times out, or one is cancelled or recalled.
type Executor interface {
	Send(evt, endpoint int32, timeout int64)
	Decline(evt int32, comeBack int64)
	Discard(evt int32)
	Cancel(evt int32, send int)
	CancelUnsent(evt int32, send int) // ends as unsent what still waits for its connection; else it does nothing
	Wake(after int64)
	Watch(on bool)
	Probe(endpoint int32)
	CloseIdle(endpoint int32)
	Forget(endpoint int32)           // its index stands for nothing any more, and may be given out again
	AnnounceHealthy(endpoint int32)  // tells all peers that the endpoint answers well
	Log(text string, endpoint int32) // a line for the staff, about an endpoint
}

// Handler takes what came in, in the order of arrival.
type Handler interface {
	Event(evt int32, streamType, customer int, key uint64, left, work int64, dest int32)
	// Resumed follows Event for one taken on before a restart, with the sends it had. If one of them may have
	// run, it says so, with how long ago the first such went out, and to which zone.
	Resumed(evt int32, sends int, mayRun bool, ago int64, zone int)
	ProcessingStarted(evt int32, send int)
	// Outcome: limit is the calls a second that the destination told, 0 for none, and left
	// the share of it that it said was free.
	Outcome(evt int32, send int, endpoint int32, how Outcome, wait, took int64, ended bool, left, limit float64)
	// Unconfirmed comes before the Outcome of a send whose answer may be another call's. It may have run, whatever
	// the outcome says.
	Unconfirmed(evt int32, send int)
	// Confirmed takes that back: the answer was its own.
	Confirmed(evt int32, send int)
	Withdrawn(evt int32)
	ListStarted(whole bool)
	EndpointListed(endpoint, dest int32, partner, zone int, state EndpointState, rate float64)
	ListEnded()
	ListFailed()
	Probed(endpoint int32, how Outcome, took int64, left, limit float64)
	PeerReportedHealthy(peer int, endpoint int32)
	Woken()
}

// Feed hands a round's news to an Intake.
type Feed interface{ Deliver(Handler) }

// Scheduler is a decision module: one for each delivery node.
type Scheduler interface {
	Round(now int64, feed Feed, out Executor)
	// RetryAfter tells after how long an event may come back that the delivery node has no room for.
	RetryAfter() int64
}
