package world

import (
	"math/rand/v2"

	"jaspersill/delivery"
	"jaspersill/lab/partner"
	"jaspersill/lab/scenario"
)

// met is what a trouble meets, drawn at the start.
type met struct {
	eps, nodes []int32
	on         bool
	until      int64
}

// kindModes are the troubles that are a mode of an endpoint.
var kindModes = map[string]partner.Mode{
	"refuse": partner.Refusing,
	"silent": partner.Silent,
	"hang":   partner.Hung,
	"shut":   partner.Shut,
	"fail":   partner.Failing,
}

// Whom is the stream of chance from which is drawn whom troubles meet.
const Whom = 0x77b1

// Meets draws the endpoints and the nodes that a trouble meets.
func Meets(t *scenario.Trouble, whom *rand.Rand, byDest [][]int32, nodes int) (eps, met []int32) {
	var dests []int
	if t.Destination > 0 {
		dests = []int{t.Destination - 1}
	} else if t.Destinations > 0 {
		dests = whom.Perm(len(byDest))[:min(t.Destinations, len(byDest))]
	}
	for _, d := range dests {
		list := byDest[d]
		if t.Endpoints > 0 && t.Endpoints < len(list) {
			for _, at := range whom.Perm(len(list))[:t.Endpoints] {
				eps = append(eps, list[at])
			}
		} else {
			eps = append(eps, list...)
		}
	}
	switch {
	case t.Node > 0:
		met = []int32{int32(t.Node - 1)}
	case t.Nodes > 0:
		for _, n := range whom.Perm(nodes)[:min(t.Nodes, nodes)] {
			met = append(met, int32(n))
		}
	}
	return eps, met
}

// drawTroubles draws whom each trouble meets and plans its beginning.
func (w *World) drawTroubles() {
	for i := range w.day.Troubles {
		t := &w.day.Troubles[i]
		var m met
		m.eps, m.nodes = Meets(t, w.whom, w.partners.ByDest, len(w.seats))
		m.until = int64(t.At) + int64(t.For)
		w.troubles = append(w.troubles, m)
		w.queue.plan(int64(t.At), begins, int32(i), 0, 0)
	}
	w.bySlot = make([][]int, len(w.partners.Endpoints))
}

// begin puts a trouble in force.
func (w *World) begin(i int, _ int32) {
	t, m := &w.day.Troubles[i], &w.troubles[i]
	w.note("trouble", -1, int32(i), 1)
	m.on = true
	if t.For > 0 {
		off := m.until
		if t.Every > 0 {
			off = min(off, w.now+int64(t.Every)/2)
		}
		w.queue.plan(max(off, w.now+1), ends, int32(i), 0, 0)
	}
	switch t.Kind {
	case "replace":
		for _, ep := range m.eps {
			w.replace(ep)
		}
	case "kill":
		for _, n := range m.nodes {
			s := w.seats[n]
			if s.phase != dead {
				w.die(s)
				w.queue.plan(w.now+max(int64(w.day.Fleet.Restart), 1), returns, n, 0, 0)
				w.front[n] = false // it refuses, and clients try another
			}
		}
	case "drain":
		for _, n := range m.nodes {
			if s := w.seats[n]; s.phase == serving {
				s.phase = draining
				w.ledger.Away(n)
				w.front[n] = false
				w.queue.plan(w.now+drainChoose, stops, n, 0, s.life)
			}
		}
	case "freeze":
		for _, n := range m.nodes {
			if s := w.seats[n]; s.phase != dead {
				s.frozen = max(s.frozen, m.until)
				w.queue.plan(s.frozen, thaws, n, 0, 0)
			}
		}
	case "directory-down":
		w.dirDown++
		for _, s := range w.seats {
			if s.watching {
				s.watching = false
				s.hear(piece{what: newListFailed})
			}
		}
	case "directory-still":
		w.dirStill++
	case "notes-lost":
		w.notesLost = max(w.notesLost, t.Share)
	default:
		for _, ep := range m.eps {
			w.bySlot[ep] = append(w.bySlot[ep], i)
			w.meet(ep)
		}
	}
}

// relent ends a trouble, or pauses one that comes and goes.
func (w *World) relent(i int, _ int32) {
	t, m := &w.day.Troubles[i], &w.troubles[i]
	if !m.on {
		return
	}
	m.on = false
	w.note("trouble", -1, int32(i), 0)
	if t.Every > 0 && w.now+int64(t.Every)/2 < m.until {
		w.queue.plan(w.now+int64(t.Every)/2, begins, int32(i), 0, 0)
	}
	switch t.Kind {
	case "directory-down":
		w.dirDown--
	case "directory-still":
		w.dirStill--
	case "notes-lost":
		w.notesLost = 0
	case "replace", "kill", "drain", "freeze":
	default:
		for _, ep := range m.eps {
			list := w.bySlot[ep]
			for n, j := range list {
				if j == i {
					w.bySlot[ep] = append(list[:n:n], list[n+1:]...)
					break
				}
			}
			w.meet(ep)
		}
	}
}

// Together is what some of a day's troubles, all in force, make of an endpoint.
func Together(troubles []scenario.Trouble, inForce []int) partner.Trouble {
	p := partner.Trouble{Slow: 1, Late: 1}
	for _, i := range inForce {
		t := &troubles[i]
		share, times := t.Share, t.Times
		if share == 0 {
			share = 1
		}
		if times == 0 {
			times = 1
		}
		p.Mode = max(p.Mode, kindModes[t.Kind])
		p.Warm = p.Warm || t.Warm
		switch t.Kind {
		case "shut":
			p.Opens = max(p.Opens, int64(t.At+t.For))
		case "fail":
			p.Fail = max(p.Fail, share)
		case "slow":
			p.Slow *= times
		case "lose":
			p.Lose = 1 - (1-p.Lose)*(1-share)
		case "spoil":
			p.Spoil = 1 - (1-p.Spoil)*(1-share)
		case "late":
			p.LateMost, p.Late = max(p.LateMost, share), max(p.Late, times)
		}
	}
	return p
}

// meet puts in force what all the troubles make of an endpoint.
func (w *World) meet(ep int32) {
	if w.partners.Meet(w.now, ep, Together(w.day.Troubles, w.bySlot[ep])) {
		w.reset(func(c *call) bool { return c.ep == ep })
	}
}

// replace lets an endpoint drain, and a new one take its place.
func (w *World) replace(ep int32) {
	e := &w.partners.Endpoints[ep]
	if e.Gone || e.Draining {
		return
	}
	next := w.partners.Replace(ep)
	w.bySlot = append(w.bySlot, append([]int(nil), w.bySlot[ep]...))
	w.listed = append(w.listed, delivery.Gone)
	w.meet(next)
	w.listChange(ep, delivery.Draining)
	w.listChange(next, delivery.Ready)
	w.queue.plan(w.now+int64(w.day.Fleet.Directory)+int64(w.day.Rules.Grace)+drainLeaves, leaves, ep, 0, 0)
}

// listChange is a change that the directory tells after its delay.
func (w *World) listChange(ep int32, state delivery.EndpointState) {
	w.changes = append(w.changes, change{ep: ep, state: state})
	w.queue.plan(w.now+int64(w.day.Fleet.Directory), lists, 0, 0, 0)
}

// tellList is the directory telling the changes that are due to all who watch.
func (w *World) tellList() {
	if w.dirDown > 0 || w.dirStill > 0 { // what was not told is told later
		w.queue.plan(w.now+second/10, lists, 0, 0, 0)
		return
	}
	first := w.told
	w.told = len(w.changes)
	for _, c := range w.changes[first:] {
		w.listed[c.ep] = c.state
	}
	for _, s := range w.seats {
		if s.watching && s.phase < closing {
			w.drained(s, w.changes[first:])
			s.hear(piece{what: newChange, evt: int32(first), send: int32(w.told)})
		}
	}
}

// drained tells the ledger what a node was told to leave.
func (w *World) drained(s *seat, changes []change) {
	for _, c := range changes {
		if c.state != delivery.Ready {
			w.ledger.Drain(w.now, s.me, c.ep)
		}
	}
}

// watched is the answer to a node's call for a watch: the whole list, or nothing.
func (w *World) watched(n int32, life int64) {
	s := w.seats[n]
	if s.life != life || s.phase >= closing {
		return
	}
	s.asking = false
	if w.dirDown > 0 {
		s.hear(piece{what: newListFailed})
		return
	}
	s.watching = true
	w.drained(s, w.changes[:w.told])
	s.hear(piece{what: newList})
}
