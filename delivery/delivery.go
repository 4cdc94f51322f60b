// Package delivery defines the protocol-neutral interface between the scheduler, which decides when and where
// events are sent, and the code that carries out its decisions. Times are nanoseconds. Events, endpoints and
// destinations are small dense indices that the code on the other side of the interface assigns.
package delivery

// Outcome is the result of a send.
type Outcome uint8

const (
	Acked         Outcome = iota // delivered
	Errored                      // the destination answered with an error; it may have run
	Refused                      // rejected by the endpoint without processing
	TimedOut                     // no answer before the timeout; it may have run
	ConnectFailed                // no connection could be established; it did not run
	Reset                        // the connection broke; it may have run
	Cancelled                    // cancelled by the scheduler; it may have run
	Unsent                       // never left the delivery node
	Unreadable                   // the answer could not be parsed; it may have run
)

func (o Outcome) String() string {
	return [...]string{"delivered", "error", "refused", "timed_out", "connect_failed", "reset", "cancelled", "unsent",
		"unreadable"}[o]
}

// MayHaveRun reports whether a send with this outcome may have taken effect.
func (o Outcome) MayHaveRun() bool {
	return o != Refused && o != ConnectFailed && o != Unsent
}

// Safety says whether events of a stream type can be sent more than once without a second effect.
type Safety uint8

const (
	Idempotent Safety = iota
	Deduplicated
	NonIdempotent
)

// EndpointState is the state of an endpoint in the directory.
type EndpointState uint8

const (
	Draining EndpointState = 1 + iota
	Ready
	Gone
)

// StreamType holds the delivery terms of one type of stream.
type StreamType struct {
	Safety           Safety
	DedupPerZone     bool  // duplicates are recognized only by endpoints of the same zone
	Ordered          bool  // events with the same key are sent one at a time
	DedupWindow      int64 // how long a destination recognizes a duplicate
	SLO              int64
	SLOPerWork       float64 // the SLO time grows by this multiple of the event's own work
	MaxAge           int64
	Utility          float64
	LateUtility      float64 // share of the utility left at max age
	ExponentialDecay bool    // past the SLO time the utility halves with each further SLO time instead of falling linearly
}

// Customer holds the quota of a customer, in events per second over all delivery nodes.
type Customer struct{ Rate float64 }

// DestinationKind holds the properties that destinations of one kind have in common.
type DestinationKind struct {
	LimitPerEndpoint bool // each endpoint has a rate limit of its own; else a destination's endpoints share one
	MaxEventsPerCall int
}

// Limits is what a delivery node is allowed to do.
type Limits struct {
	MaxConcurrentCalls, MaxEvents, MaxAttempts int // MaxAttempts: sends of one event
	CanCancel                                  bool
	MaxRetryAfter                              int64 // longest retry-after time that clients honour; 0 if none can be sent
}

// Recovery describes how destinations behave after an outage. A cold one bears ColdShare of its rate limit, and more as
// it warms up over WarmupTime. It fails again when the calls that reach it within OverloadAfter exceed OverloadFactor
// times what it bears.
type Recovery struct {
	ColdShare      float64
	WarmupTime     int64
	OverloadFactor float64
	OverloadAfter  int64
}

// Directory describes how the list of endpoints is delivered.
type Directory struct {
	RequiresWatch bool  // changes are delivered only to nodes that watch
	Automatic     bool  // changes count as known to the nodes from the first moment, whether they watch or not
	DrainGrace    int64 // time allowed to stop sending to a draining or gone endpoint
}

// Cluster describes this delivery node's place among its peers.
type Cluster struct {
	Self, Nodes  int
	PeerMessages bool // nodes can send messages to each other
	Probes       bool
}

// Terms is what a send was decided on, beside its endpoint and its event. They may end before the send leaves. The zero value sets
// none.
type Terms struct {
	WindowEnd     int64 // when a repeat must no longer be sent; 0 for a send that is none, or has no window
	Grouped       bool  // only an endpoint in Zone recognizes the duplicate
	Zone          int
	AdmittedUntil int64 // when a send admitted by an endpoint's slow start must have left; 0 if there is no slow start
}

// Executor carries out the decisions of one round, in order. Sends of one round to one endpoint may share a call.
// A call ends as a whole: when the shortest of their timeouts expires, or when one of them is cancelled by Cancel or
// CancelUnsent.
type Executor interface {
	Send(event, endpoint int32, timeout int64, terms Terms)
	Decline(event int32, retryAfter int64)
	Discard(event int32)
	Cancel(event int32, send int)
	CancelUnsent(event int32, send int) // a send whose last byte has not left ends as Unsent; otherwise a no-op
	Wake(after int64)
	Watch(on bool)
	Probe(endpoint int32)
	CloseIdle(endpoint int32)
	Forget(endpoint int32) // releases the index, which may then be assigned again
	// AnnounceHealthy tells all peers that the endpoint has answered a call that was sent this long ago normally.
	AnnounceHealthy(endpoint int32, sentAgo int64)
	Log(text string, endpoint int32) // writes a log line about an endpoint for operators
}

// Handler receives the inputs of a round in the order of their arrival.
type Handler interface {
	Event(event int32, streamType, customer int, key uint64, left, work int64, dest int32)
	// Resumed follows Event for an event that had sends before: it was accepted before a restart, or its delivery could not
	// be confirmed. It tells the number of these sends. If one of
	// them may have run, mayRun is set, with how long ago the first such send left and to which zone.
	Resumed(event int32, sends int, mayRun bool, ago int64, zone int)
	ProcessingStarted(event int32, send int)
	// Outcome reports the end of a send. limit is the rate limit that the destination reported, in calls per second, or
	// 0 for none; freeShare is the share of it that was reported as unused. retryAfter is 0 if the destination asked for
	// no wait.
	Outcome(event int32, send int, endpoint int32, outcome Outcome, retryAfter, took int64, ended bool, freeShare, limit float64)
	// Unconfirmed precedes the Outcome of a send whose answer may belong to another call. The send may have run,
	// whatever its outcome says.
	Unconfirmed(event int32, send int)
	// Confirmed revokes Unconfirmed: the answer belonged to the send.
	Confirmed(event int32, send int)
	// Doubted ends the wait for Confirmed: it will not come.
	Doubted(event int32, send int)
	Withdrawn(event int32)
	ListStarted(whole bool)
	EndpointListed(endpoint, dest int32, kind, zone int, state EndpointState, rate float64)
	// ListEnded follows the entries of a list. fromNewestWatch is false for a list that does not come from the watch that was
	// opened last: the one known at the start, or one of a watch that is being replaced. Such a list says nothing about the
	// newest watch.
	ListEnded(fromNewestWatch bool)
	ListFailed()
	Probed(endpoint int32, outcome Outcome, took int64, freeShare, limit float64)
	// PeerReportedHealthy reports an announcement of a peer. It says nothing about the time since the peer's call was sent.
	PeerReportedHealthy(peer int, endpoint int32, sentAgo int64)
	Woken()
}

// Feed passes the inputs of a round to a Handler.
type Feed interface{ Deliver(Handler) }

// Scheduler makes the decisions of one delivery node.
type Scheduler interface {
	Round(now int64, feed Feed, exec Executor)
	// RetryAfter returns the time after which a client may retry an event that the delivery node has no capacity for.
	RetryAfter() int64
	// StopSending ends the decisions: from then on no event is sent or ended. Sends that wait to leave are still revoked, as
	// before.
	StopSending()
}
