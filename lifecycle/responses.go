package lifecycle

// Attribution tells how certain it is that a response belongs to the call for which it was read.
type Attribution uint8

const (
	Certain     Attribution = iota // only this call can have received it
	Unconfirmed                    // it may duplicate an earlier response, or answer an earlier call
)

// maxSeenResponses bounds the distinct responses remembered per connection. Once the bound is reached, every further
// response counts as seen before.
const maxSeenResponses = 64

// ResponseTracker decides which call a response belongs to, on a connection that carries calls one after another and
// whose responses do not identify their call. The connection is in sync while each call has received exactly one
// response. The first response on a connection can only belong to the first call. On a connection in sync, a response
// that differs from all earlier ones belongs to the current call. Any other response may be a duplicate, and after a
// duplicate each call reads the response to the call before it. An idle period does not show that a connection is back in
// sync: while an endpoint hangs, the response that is still due does not arrive either.
//
// The zero value describes a new connection. It is not safe for concurrent use.
type ResponseTracker struct {
	seen      map[uint64]struct{}
	outOfSync bool // not known to be in sync
	sawNotRun bool
}

// Response holds what attribution depends on.
type Response struct {
	Digest        uint64 // hash of the whole meaning; equal for duplicates
	NamesRequests bool   // it names the requests of its call, and no others
	NotRun        bool   // it states that its call was not executed
}

// Observe records the next response and returns its attribution.
func (t *ResponseTracker) Observe(r Response) Attribution {
	_, seen := t.seen[r.Digest]
	seen = seen || len(t.seen) >= maxSeenResponses
	if t.seen == nil {
		t.seen = map[uint64]struct{}{}
	}
	if !seen {
		t.seen[r.Digest] = struct{}{}
	}
	t.sawNotRun = t.sawNotRun || r.NotRun
	switch {
	case r.NamesRequests && !seen:
		t.outOfSync = false
		return Certain
	case t.outOfSync || seen:
		t.outOfSync = true
		return Unconfirmed
	}
	return Certain
}

// ObserveTruncated records a response of which only the beginning arrived, and returns its attribution.
func (t *ResponseTracker) ObserveTruncated() Attribution {
	if len(t.seen) == 0 {
		return Certain
	}
	t.outOfSync = true
	return Unconfirmed
}

// Seen reports whether a response with this digest was observed on the connection before.
func (t *ResponseTracker) Seen(digest uint64) bool {
	_, seen := t.seen[digest]
	return seen
}

// InSync reports whether the connection is known to be in sync.
func (t *ResponseTracker) InSync() bool { return !t.outOfSync }

// SawNotRun reports whether any response on the connection stated that its call was not executed. A duplicate of such a
// response could state the same of a call that was executed.
func (t *ResponseTracker) SawNotRun() bool { return t.sawNotRun }
