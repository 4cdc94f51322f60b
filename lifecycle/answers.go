package lifecycle

// Attribution is how sure it is that an answer belongs to the call for which it was read.
type Attribution uint8

// The attributions.
const (
	Certain     Attribution = iota // only this call can have had it
	Unconfirmed                    // it may be a copy of an earlier answer, or the answer to an earlier call
)

// maxSeenAnswers bounds the answers of a connection that are told apart. Those beyond count as seen before.
const maxSeenAnswers = 64

// AnswerTracker decides to which call an answer belongs on a connection that carries calls one after another, whose
// answers name no call. The connection is in step while each call has had exactly one answer. The first answer of a
// connection can only be the first call's; on one in step, so can an answer that is unlike all before it. All others may
// be copies, and after one that was a copy each call gets the answer of the one before it.
//
// The zero value is a new connection. It is for one goroutine at a time.
type AnswerTracker struct {
	seen      map[uint64]struct{}
	outOfSync bool // it is not known to be in step
	sawNotRun bool
}

// Answer is what decides whose an answer is.
type Answer struct {
	Digest        uint64 // of all that it means; equal for copies
	NamesRequests bool   // it names the requests of its call, and only these
	NotRun        bool   // it says that its call never ran
}

// Observe notes the next answer, and tells how sure it is whose.
func (s *AnswerTracker) Observe(a Answer) Attribution {
	_, seen := s.seen[a.Digest]
	seen = seen || len(s.seen) >= maxSeenAnswers
	if s.seen == nil {
		s.seen = map[uint64]struct{}{}
	}
	if !seen {
		s.seen[a.Digest] = struct{}{}
	}
	s.sawNotRun = s.sawNotRun || a.NotRun
	switch {
	case a.NamesRequests && !seen:
		s.outOfSync = false
		return Certain
	case s.outOfSync || seen:
		s.outOfSync = true
		return Unconfirmed
	}
	return Certain
}

// ObserveTruncated notes an answer of which only the beginning came, and tells how sure it is whose.
func (s *AnswerTracker) ObserveTruncated() Attribution {
	if len(s.seen) == 0 {
		return Certain
	}
	s.outOfSync = true
	return Unconfirmed
}

// MarkInSync notes that the connection is in step: it has rested, with no byte unread, for longer than an answer takes.
func (s *AnswerTracker) MarkInSync() { s.outOfSync = false }

// InSync tells whether the connection is known to be in step.
func (s *AnswerTracker) InSync() bool { return !s.outOfSync }

// SawNotRun tells whether an answer on the connection said that its call never ran. A copy of it could say so of a call
// that did.
func (s *AnswerTracker) SawNotRun() bool { return s.sawNotRun }
