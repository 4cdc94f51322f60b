package lifecycle

// Attribution is how sure it is that an answer belongs to the call for which it was read.
type Attribution uint8

// The attributions.
const (
	Certain     Attribution = iota // only this call can have had it
	Unconfirmed                    // it may be a copy of an earlier answer, or the answer to an earlier call
)

// maxKnownAnswers bounds the answers of a connection that are told apart. Those beyond count as seen before.
const maxKnownAnswers = 64

// AnswerSequence decides to which call an answer belongs on a connection that carries calls one after another, whose
// answers name no call. The connection is in step while each call has had exactly one answer. The first answer of a
// connection can only be the first call's; on one in step, so can an answer that is unlike all before it. All others may
// be copies, and after one that was a copy each call gets the answer of the one before it.
//
// The zero value is a new connection. It is for one goroutine at a time.
type AnswerSequence struct {
	known   map[uint64]struct{}
	outOf   bool // it is not known to be in step
	refused bool
}

// Answer is what decides whose an answer is.
type Answer struct {
	Digest uint64 // of all that it means; equal for copies
	Named  bool   // it names the requests of its call, and only these
	NotRun bool   // it says that its call never ran
}

// Read notes the next answer, and tells how sure it is whose.
func (s *AnswerSequence) Read(a Answer) Attribution {
	_, seen := s.known[a.Digest]
	seen = seen || len(s.known) >= maxKnownAnswers
	if s.known == nil {
		s.known = map[uint64]struct{}{}
	}
	if !seen {
		s.known[a.Digest] = struct{}{}
	}
	s.refused = s.refused || a.NotRun
	switch {
	case a.Named && !seen:
		s.outOf = false
		return Certain
	case s.outOf || seen:
		s.outOf = true
		return Unconfirmed
	}
	return Certain
}

// ReadCut notes an answer of which only the beginning came, and tells how sure it is whose.
func (s *AnswerSequence) ReadCut() Attribution {
	if len(s.known) == 0 {
		return Certain
	}
	s.outOf = true
	return Unconfirmed
}

// Prove notes that the connection is in step: it has rested, with no byte unread, for longer than an answer takes.
func (s *AnswerSequence) Prove() { s.outOf = false }

// InStep tells whether the connection is known to be in step.
func (s *AnswerSequence) InStep() bool { return !s.outOf }

// Refused tells whether an answer on the connection said that its call never ran. A copy of it could say so of a call
// that did.
func (s *AnswerSequence) Refused() bool { return s.refused }
