package node

import (
	"slices"

	"jaspersill/delivery"
	"jaspersill/lifecycle"
	"jaspersill/store"
)

// event is one event that the delivery node has in hand. Its life owns it; the desk keeps its index. What may be done
// with it is asked of its request.
type event struct {
	id, idempotencyKey string // mark: what repeats are known by, where its stream type has one
	typ, customer      int
	safety             delivery.Safety
	dest               uint32
	monoDeadline       int64 // on the module's clock
	wallDeadline       int64 // the same as time of day, which outlasts the process
	body               []byte
	updates            chan eventUpdate    // what its life waits for
	response           chan clientResponse // what its client hears, nil for one restored
	index              int32               // the desk's
	pastSends          []store.Attempt     // sends before a restart, in order
	arrivalSeq         uint64              // by which the journal tells it from another of its id
	sendCount          int                 // how many in all; the desk's
	request            *lifecycle.Request
	resolution         resolution // an end that was decided before a restart
	retryAfter         int64
}

// mayHaveRun tells whether an attempt before a restart may have taken effect.
func (e *event) mayHaveRun() bool {
	return slices.ContainsFunc(e.pastSends, func(s store.Attempt) bool { return s.MayHaveRun() })
}

// clientResponse is what a client hears: a status, and when to come back, 0 for nothing told.
type clientResponse struct {
	status     int
	retryAfter int64
}

// resolution is how an event ends that is not delivered.
type resolution uint8

const (
	unresolved resolution = iota
	declined
	discarded
)

// eventUpdate is one thing that happens to an event.
type eventUpdate struct {
	kind       updateKind
	send       *attempt // begun, outcome
	result     result   // outcome
	retryAfter int64    // decline
}

type updateKind uint8

const (
	updateKept        updateKind = iota // the module keeps the event, for now
	updateSendStarted                   // it chose an endpoint
	updateSendEnded                     // a send ended
	updateDecline
	updateDiscard
	updateNoticeAcknowledged // the platform has the notice
	updateRefusalConfirmed
)

// updateBuffer bounds the steps that wait for a life: each send has two and there are few sends.
const updateBuffer = 64

// result is how a send ended.
type result struct {
	outcome              delivery.Outcome
	retryAfter, duration int64
	final                bool    // the endpoint's side says that the event is over
	rateFree, rateLimit  float64 // what the answer told of the limit

	confirmation *confirmation // where the answer may be another call's and acting on it would do harm
}
