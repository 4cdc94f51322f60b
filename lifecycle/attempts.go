package lifecycle

// StartAttempt permits writing the record of the attempt with this number. The other methods on attempts take the number
// too, so that what becomes of an attempt that was denied cannot be taken for the end of the one in flight.
func (r *Request) StartAttempt(number int, now int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if denial := r.maySend(now); denial != nil {
		return denied(denial)
	}
	switch {
	case !r.stored:
		return violation(transitionAttempt, r.id, "request is not stored")
	case r.attemptState != Pending:
		return violation(transitionAttempt, r.id, "another attempt is "+r.attemptState.String())
	case (r.mayHaveRun || r.unconfirmedRefusals > 0) && !r.repeatable:
		return violation(transitionAttempt, r.id, "request may have run and is not repeatable")
	}
	r.state, r.attempt, r.attemptState = Recording, number, Recording
	return nil
}

// MaySend returns why no attempt of the request may be sent now: ErrEndDecided, ErrDeadlinePassed, or nil if one may.
func (r *Request) MaySend(now int64) *Denial {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.maySend(now)
}

// maySend is MaySend with the lock held by the caller.
func (r *Request) maySend(now int64) *Denial {
	switch {
	case r.endDecided():
		return ErrEndDecided
	case now >= r.deadline:
		return ErrDeadlinePassed
	}
	return nil
}

// SendAttempt permits sending the first byte of an attempt whose record is written.
func (r *Request) SendAttempt(number int, now int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state := r.stateOf(number); state != Recording {
		return violation(transitionSend, r.id, "attempt is "+state.String())
	}
	if denial := r.maySend(now); denial != nil {
		return denied(denial)
	}
	r.state, r.attemptState = InFlight, InFlight
	return nil
}

// RevertSend records that no byte of an attempt was sent after all. SendAttempt must be called again before the next try.
func (r *Request) RevertSend(number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stateOf(number) != InFlight {
		return
	}
	r.attemptState = Recording
	if r.state == InFlight {
		r.state = Recording
	}
}

// FinishAttempt records that an attempt has finished or was not sent after all. It has no effect on the state if that
// attempt was not started.
func (r *Request) FinishAttempt(number int, mayHaveRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishAttempt(number, mayHaveRun)
}

// finishAttempt is FinishAttempt with the lock held by the caller.
func (r *Request) finishAttempt(number int, mayHaveRun bool) {
	state := r.stateOf(number)
	if mayHaveRun && state != InFlight {
		violation(transitionOutcome, r.id, "attempt may have run but is "+state.String())
	}
	r.mayHaveRun = r.mayHaveRun || mayHaveRun
	if state == Pending {
		return
	}
	r.attemptState = Pending
	if r.state == Recording || r.state == InFlight {
		r.state = Pending
	}
}

// stateOf returns the progress of an attempt, which is Pending for all but the one that was started last. The caller holds
// the lock.
func (r *Request) stateOf(number int) State {
	if number != r.attempt {
		return Pending
	}
	return r.attemptState
}

// FinishUnconfirmedRefusal records that an attempt was finished by a response which states that it was not executed, and
// which may belong to another call.
func (r *Request) FinishUnconfirmedRefusal(number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishAttempt(number, false)
	r.unconfirmedRefusals++
}

// ConfirmRefusal records that a response passed to FinishUnconfirmedRefusal did belong to its attempt.
func (r *Request) ConfirmRefusal() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unconfirmedRefusals == 0 {
		return violation(transitionConfirm, r.id, "no refusal awaits confirmation")
	}
	r.unconfirmedRefusals--
	return nil
}

// MayHaveRun reports whether an attempt may have taken effect. Unconfirmed refusals count as may have run.
func (r *Request) MayHaveRun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayHaveRun || r.unconfirmedRefusals > 0
}
