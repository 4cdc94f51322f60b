package lifecycle

// End is how a request ended. Whatever the end, no attempt follows it, with one exception: see End.inDoubt.
type End uint8

// The ends of a request. A deadline that passes ends it as Undelivered or Refused.
const (
	NotEnded    End = iota
	Delivered       // an endpoint answered 200 or done
	Gone            // an endpoint answered 410 or void: it is withdrawn or out of time, was not executed, and nothing is owed
	Undelivered     // it was given up, or refused after it was accepted: the platform is sent a notice
	Refused         // its client is told that it is refused
	Withdrawn       // its client left before it was told that the request is accepted
)

func (e End) String() string {
	return [...]string{"not ended", "delivered", "gone", "undelivered", "refused", "withdrawn"}[e]
}

// Sequel is what may still follow the end of a request, in this process or after a restart.
type Sequel uint8

const (
	NoSequel    Sequel = iota
	SendNotice         // the platform is sent a notice, which does no harm to a request that is over
	RepeatSends        // the request is sent again
)

// inDoubt returns what follows an end by a response if it stays in doubt whether that was another call's. Only a delivery is undone: an
// endpoint answers one that comes again as delivered once more, but a request that is gone must not come again. resendable tells whether
// the request may be sent again and is kept for that.
func (e End) inDoubt(resendable bool) Sequel {
	switch {
	case e == Delivered && resendable:
		return RepeatSends
	case e == Delivered || e == Gone:
		return SendNotice
	}
	return NoSequel
}
