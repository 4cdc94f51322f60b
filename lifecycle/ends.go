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

// End returns how the request ended.
func (r *Request) End() End {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end
}

// endDecided reports whether no further attempt may follow. The caller holds the lock.
func (r *Request) endDecided() bool {
	return r.state == Provisional || r.state == Ending || r.state == Ended
}

// EndProvisionally records that the request was ended by a response that may belong to another call. It returns what follows
// if that stays in doubt, which is also what a record of the request has to allow for until then: a restart leaves it in doubt. It
// returns false if the end was already decided. resendable tells whether the request may be sent again and is kept for that.
func (r *Request) EndProvisionally(end End, resendable bool) (sequel Sequel, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endDecided() {
		return NoSequel, false
	}
	if sequel = end.inDoubt(resendable && r.repeatable); sequel == NoSequel {
		violation(transitionConfirm, r.id, "request cannot be "+end.String()+" by a response")
		return NoSequel, false
	}
	r.state, r.end, r.sequel = Provisional, end, sequel
	return sequel, true
}

// ConfirmEnd records that the response which ended the request provisionally did belong to it: nothing is left to do.
func (r *Request) ConfirmEnd() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Provisional {
		return violation(transitionConfirm, r.id, "request is "+r.state.String())
	}
	r.state = Ended
	return nil
}

// FailConfirmation records that the response which ended the request provisionally could not be confirmed: the end still
// has to be reported.
func (r *Request) FailConfirmation() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Provisional {
		return violation(transitionConfirm, r.id, "request is "+r.state.String())
	}
	r.state, r.end = Ending, Undelivered
	return nil
}

// Reopen records that the response which ended the request provisionally could not be confirmed, and that the request is
// pending again: it may have run, and may be repeated. It is the only transition that undoes an end.
func (r *Request) Reopen(now int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.state != Provisional:
		return violation(transitionConfirm, r.id, "request is "+r.state.String())
	case r.sequel != RepeatSends:
		return violation(transitionConfirm, r.id, "request is "+r.end.String()+" and must not be sent again")
	case r.handedOver:
		return denied(ErrHandedOver)
	case now >= r.deadline:
		return denied(ErrDeadlinePassed)
	}
	r.state, r.end, r.sequel, r.mayHaveRun = Pending, NotEnded, NoSequel, true
	return nil
}

// HandOver records that this process decides nothing more: a request that has not ended is left to the next process, as its
// record says. An attempt that was chosen before may still be sent, and end the request.
func (r *Request) HandOver() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handedOver = true
}

// DecideEnd records that the end of the request is decided: it was delivered, or a notice or a refusal is still to be
// reported. It returns false if the end was already decided.
func (r *Request) DecideEnd(end End) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endDecided() {
		return false
	}
	r.state, r.end = Ending, end
	return true
}

// Withdraw records that the client left before it was told that the request is accepted. Nothing is owed.
func (r *Request) Withdraw() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Received {
		return violation(transitionStore, r.id, "request is "+r.state.String())
	}
	r.state, r.end = Ended, Withdrawn
	return nil
}

// MayReportEnd reports whether the end may be reported now, which is so once no restart would send anything more for the
// request. written tells whether the record of the end is durable.
func (r *Request) MayReportEnd(now int64, written bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayReportEnd(now, written)
}

func (r *Request) mayReportEnd(now int64, written bool) bool {
	return written || now >= r.deadline || !r.stored
}

// ReportEnd records that the end is being reported, to the client or to the platform.
func (r *Request) ReportEnd(now int64, written bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.state != Ending:
		return violation(transitionReport, r.id, "request is "+r.state.String())
	case !r.mayReportEnd(now, written):
		return violation(transitionReport, r.id, "a restart would still send the request")
	}
	r.state = Ended
	return nil
}
