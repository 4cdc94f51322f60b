// Package lifecycle is the only place that decides which state transitions of a request and of a client connection are
// allowed: starting, sending and repeating attempts, ending a request, reporting its end, and closing a connection. Each
// transition is a method that checks the current state. Transitions that are not allowed are counted. Those caused by a
// bug in the program are violations.
//
// Invariant of a request: its end is reported, or acted on, only once recovery from a crash at any later time would send
// nothing more for it. That holds when the record of the end is durable, when the deadline has passed, or when the
// request was never stored.
package lifecycle

import "sync"

// State is the progress of a request.
type State uint8

const (
	Received    State = iota // read from its client
	Pending                  // stored and unfinished, with no attempt in flight
	Recording                // an attempt was chosen and its record is being written
	InFlight                 // bytes of an attempt may have been sent
	Provisional              // ended by a response that may belong to another call
	Ending                   // its end is decided but not reported
	Ended                    // its end was reported, or nothing is left to report
)

func (s State) String() string {
	return [...]string{"received", "pending", "recording", "in flight", "provisional", "ending", "ended"}[s]
}

// Request is the state machine of one request. It is safe for concurrent use.
type Request struct {
	mu                  sync.Mutex
	id                  string
	deadline            int64 // on the caller's clock
	repeatable          bool
	state               State
	attempt             int   // number of the attempt that was started last
	attemptState        State // Pending, Recording or InFlight: progress of that attempt, independent of state
	mayHaveRun          bool
	stored              bool
	unconfirmedRefusals int    // attempts reported as not run by responses that may belong to another call
	end                 End    // how it ended, provisionally or for good
	sequel              Sequel // while it is ended provisionally: what follows if the end stays in doubt
	handedOver          bool
}

// NewRequest returns the state of a request that was just read. If repeatable, it may be sent again after an attempt that
// may have run.
func NewRequest(id string, deadline int64, repeatable bool) *Request {
	return &Request{id: id, deadline: deadline, repeatable: repeatable, attemptState: Pending}
}

// RestoreRequest returns the state of a request that was found pending in the store after a restart.
func RestoreRequest(id string, deadline int64, repeatable, mayHaveRun bool) *Request {
	r := NewRequest(id, deadline, repeatable)
	r.state, r.stored, r.mayHaveRun = Pending, true, mayHaveRun
	return r
}

// State returns the progress of the request.
func (r *Request) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// MarkStored records that the request is in the store.
func (r *Request) MarkStored() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Received {
		return violation(transitionStore, r.id, "request is "+r.state.String())
	}
	r.state, r.stored = Pending, true
	return nil
}
