package node

import (
	"errors"

	"jaspersill/port"
)

// life carries one event from its coming to its end. Every choice is the module's, asked through the desk.
func (n *Node) life(e *event) {
	told := e.answer == nil
	tell := func(status int, comeBack int64) {
		if !told {
			told = true
			e.answer <- answer{status: status, comeBack: comeBack}
		}
	}
	if e.answer != nil {
		if err := n.journal.take(e, n.typeNames[e.typ], n.owner(e.customer)); err != nil {
			n.held.Add(-1)
			switch {
			case errors.Is(err, errKnown): // it came twice: it is owed already
				tell(statusTaken, 0)
			case errors.Is(err, errFull):
				tell(statusDeclined, n.desk.full())
			default:
				n.journal.disk.note(err)
				tell(statusDeclined, n.desk.full())
			}
			return
		}
	}
	if e.verdict != open { // decided before a restart: only the notice is owed
		n.held.Add(-1)
		n.outcomes.post(e)
		<-e.steps
		n.journal.over(e)
		return
	}

	if e.answer != nil { // one restored was handed in before, in the order of their coming
		n.desk.take(e)
	}
	out, over, noticed := 0, false, true
	finish := func() {
		if !over {
			over = true
			n.held.Add(-1)
		}
	}
	end := func(v verdict, comeBack int64) {
		finish()
		if !told && v == declined { // its client still waits: it is told at once, and nothing more is owed
			n.journal.over(e)
			tell(statusDeclined, comeBack)
			return
		}
		tell(statusTaken, 0)
		noticed = false
		e.verdict, e.comeBack = v, comeBack
		n.journal.decide(e)
		n.outcomes.post(e)
	}
	shut := n.desk.done
	for !over || !noticed || out > 0 {
		var s step
		select {
		case s = <-e.steps:
		case <-shut: // danger: its client must hear, though nothing is decided any more; the journal has it
			shut = nil
			tell(statusTaken, 0)
			continue
		}
		switch s.what {
		case stepHeld:
			tell(statusTaken, 0)
		case stepBegun:
			out++
		case stepOutcome:
			out--
			n.journal.ended(e, s.send.number, s.result.how)
			if s.result.how == port.Acked || s.result.over {
				if !over {
					n.journal.over(e)
				}
				finish()
			}
			n.desk.tell(e, s.send, s.result)
		case stepDecline:
			end(declined, s.comeBack)
		case stepDiscard:
			end(discarded, 0)
		case stepNoticed:
			noticed = true
			n.journal.over(e)
		}
	}
	n.desk.leave(e)
}
