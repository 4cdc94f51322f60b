package node

import (
	"slices"

	"jaspersill/connreuse"
	"jaspersill/delivery"
	"jaspersill/lifecycle"
	"jaspersill/store"
)

// event is one event that the node is processing. Its eventTask owns it; the decision loop assigns its index. Its request
// decides which state transitions are allowed.
type event struct {
	id, idempotencyKey string // idempotencyKey: how duplicates are detected, for stream types that have one
	typ, customer      int
	safety             delivery.Safety
	dest               uint32
	monoDeadline       int64 // on the monotonic clock that the scheduler uses
	deadlineTimeOfDay  int64 // the same deadline as time of day, which stays valid after a restart
	body               []byte
	updates            chan eventUpdate    // read by its eventTask
	response           chan clientResponse // read by its client's handler; nil for an event restored after a restart
	index              int32               // owned by the decision loop
	pastAttempts       []store.Attempt     // attempts before a restart or before it was reopened, in order
	arrivalSeq         uint64              // distinguishes it in the journal from other events with the same id
	attemptCount       int                 // attempts so far; owned by the decision loop
	reopenable         bool                // it is sent again if its delivery cannot be confirmed
	request            *lifecycle.Request
	clientHasLeft      func() bool // reports whether its client has closed the connection; nil for an event without a client
	resolution         resolution  // set if its end was decided before a restart
	retryAfter         int64
}

// mayHaveRun reports whether one of pastAttempts may have taken effect.
func (e *event) mayHaveRun() bool {
	return slices.ContainsFunc(e.pastAttempts, func(a store.Attempt) bool { return a.MayHaveRun() })
}

// hasClientLeft reports whether the event's client is known to wait no more.
func (e *event) hasClientLeft() bool { return e.clientHasLeft != nil && e.clientHasLeft() }

// clientResponse is what a client receives: a status, and the time after which to retry, 0 for none.
type clientResponse struct {
	status     int
	retryAfter int64
	abandoned  bool // nothing: the client has left, and its event was not accepted
}

// resolution tells how an event ends that is not delivered.
type resolution uint8

const (
	unresolved resolution = iota
	declined
	discarded
)

// eventUpdate is sent to the eventTask of an event when something happens to the event.
type eventUpdate struct {
	kind       updateKind
	attempt    *attempt // for updateAttemptStarted, updateAttemptEnded and updateRefusalSettled
	result     result   // for updateAttemptEnded and updateRefusalSettled
	confirmed  bool     // for updateRefusalSettled and updateDeliverySettled
	mayBeGone  bool     // for updateDeliverySettled
	retryAfter int64    // for updateDecline
}

type updateKind uint8

const (
	updateKept           updateKind = iota // the scheduler keeps the event for now
	updateAttemptStarted                   // the scheduler chose an endpoint
	updateAttemptEnded
	updateDecline
	updateDiscard
	updateNoticeAcknowledged // the platform has received the notice
	updateRefusalSettled     // whether a refusal that might have belonged to another call is the attempt's own
	updateDeliverySettled    // whether a delivery that might have belonged to another call is the event's own
)

// updateBuffer is the capacity of an event's updates channel: each attempt produces two updates, and an event has
// few attempts.
const updateBuffer = 64

// result describes how an attempt ended.
type result struct {
	outcome              delivery.Outcome
	retryAfter, duration int64
	final                bool    // the endpoint states that the event needs no further attempt
	freeShare, rateLimit float64 // from the response: the free share of the rate limit, and the limit in calls per second

	confirmation *confirmation // set if the response may belong to another call and acting on it would then do harm
}

// end returns how the result ends its event.
func (r *result) end() lifecycle.End {
	switch {
	case r.outcome == delivery.Acked:
		return lifecycle.Delivered
	case r.final:
		return lifecycle.Gone
	}
	return lifecycle.NotEnded
}

// ends reports whether the result ends its event.
func (r *result) ends() bool { return r.end() != lifecycle.NotEnded }

// claim returns what a response with this result says of its event.
func (r *result) claim() connreuse.Claim {
	switch r.end() {
	case lifecycle.Delivered:
		return connreuse.Delivered
	case lifecycle.Gone:
		return connreuse.Gone
	}
	return connreuse.NotRun
}
