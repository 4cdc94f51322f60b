package node

import (
	"slices"

	"jaspersill/lifecycle"
	"jaspersill/port"
	"jaspersill/store"
)

// event is one event that the delivery node has in hand. Its life owns it; the desk keeps its index. What may be done
// with it is asked of its request.
type event struct {
	id, mark      string // mark: what repeats are known by, where its stream type has one
	typ, customer int
	safety        port.Safety
	dest          uint32
	due           int64 // on the module's clock
	deadline      int64 // the same as time of day, which outlasts the process
	body          []byte
	steps         chan step       // what its life waits for
	answer        chan answer     // what its client hears, nil for one restored
	index         int32           // the desk's
	past          []store.Attempt // sends before a restart, in order
	came          uint64          // by which the journal tells it from another of its id
	sends         int             // how many in all; the desk's
	request       *lifecycle.Request
	verdict       verdict // an end that was decided before a restart
	comeBack      int64
}

// mayHaveRun tells whether an attempt before a restart may have taken effect.
func (e *event) mayHaveRun() bool {
	return slices.ContainsFunc(e.past, func(s store.Attempt) bool { return s.MayHaveRun() })
}

// answer is what a client hears: a status, and when to come back, 0 for nothing told.
type answer struct {
	status   int
	comeBack int64
}

// verdict is how an event ends that is not delivered.
type verdict uint8

const (
	open verdict = iota
	declined
	discarded
)

// step is one thing that happens to an event.
type step struct {
	what     stepKind
	send     *send  // begun, outcome
	result   result // outcome
	comeBack int64  // decline
}

type stepKind uint8

const (
	stepHeld    stepKind = iota // the module keeps the event, for now
	stepBegun                   // it chose an endpoint
	stepOutcome                 // a send ended
	stepDecline
	stepDiscard
	stepNoticed // the platform has the notice
	stepConfirmed
)

// maxSteps bounds the steps that wait for a life: each send has two and there are few sends.
const maxSteps = 64

// result is how a send ended.
type result struct {
	how         port.Outcome
	wait, took  int64
	over        bool    // the endpoint's side says that the event is over
	left, limit float64 // what the answer told of the limit

	confirm *confirmation // where the answer may be another call's and acting on it would do harm
}
