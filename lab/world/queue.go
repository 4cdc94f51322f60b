package world

// what is a kind of happening.
type what uint8

const (
	arrives what = iota // an event comes to a client
	clumps              // a clump of events comes; a: load
	hands               // a client hands in an event; a: asking
	rounds              // a node calls its module; a: node
	reaches             // a call reaches its endpoint; a: call, n: its life
	done                // an endpoint is done with a call
	answers             // an answer reaches its node
	expires             // a node stops waiting for a send; a: event, b: send, n: life
	lists               // changes of the list reach a node; a: node, n: its life
	watches             // the answer to a call for a watch comes; a: node, n: its life
	notes               // a note comes; a: node, b: endpoint, n: sender
	begins              // a trouble begins; a: trouble
	ends                // a trouble ends or pauses; a: trouble
	returns             // a node serves again; a: node
	stops               // a drain goes on; a: node, b: step, n: its life
	thaws               // a node that stood still goes on; a: node
	leaves              // an endpoint that drained is gone; a: endpoint
	seconds             // once a second
)

// happening is one thing that happens at a time. Those of one time come in the order in which they were
// planned.
type happening struct {
	at    int64
	order uint64 // the order of planning, and in the last eight bits the kind: 32 bytes are two to a cache line
	n     int64
	a, b  int32
}

func (h *happening) what() what { return what(h.order) }

// queue is a heap of happenings with four branches: half as deep as one with two, which is what its time goes
// to.
type queue struct {
	heap  []happening
	order uint64
	far   [farSlots][]happening // what is far off, by the width of time that it falls into
	base  int64                 // the width of time up to which all is in the heap
	count int                   // of what is far off
	valid func(*happening) bool // tells whether something far off still means anything
}

const (
	farWidth = 28  // bits of ns: a quarter of a second
	farSlots = 256 // widths: a minute
)

// planFar plans what seldom happens, as the end of the time that a send is waited for: most of it means
// nothing any more when its time is near, and is dropped without a place in the heap.
func (q *queue) planFar(at int64, w what, a, b int32, n int64) {
	slot := at >> farWidth
	if slot <= q.base || slot >= q.base+farSlots {
		q.plan(at, w, a, b, n)
		return
	}
	q.order++
	q.far[slot%farSlots] = append(
		q.far[slot%farSlots],
		happening{at: at, order: q.order<<8 | uint64(w), n: n, a: a, b: b},
	)
	q.count++
}

// near takes what is far off into the heap as its time comes.
func (q *queue) near() {
	for q.count > 0 && (len(q.heap) == 0 || q.heap[0].at>>farWidth > q.base) {
		q.base++
		slot := &q.far[q.base%farSlots]
		q.count -= len(*slot)
		for i := range *slot {
			if h := &(*slot)[i]; q.valid(h) {
				q.push(*h)
			}
		}
		*slot = (*slot)[:0]
	}
	if q.count == 0 && len(q.heap) > 0 {
		q.base = max(q.base, q.heap[0].at>>farWidth)
	}
}

func before(x, y *happening) bool { return x.at < y.at || (x.at == y.at && x.order < y.order) }

func (q *queue) plan(at int64, w what, a, b int32, n int64) {
	q.order++
	q.push(happening{at: at, order: q.order<<8 | uint64(w), n: n, a: a, b: b})
}

func (q *queue) push(h happening) {
	i := len(q.heap)
	q.heap = append(q.heap, h)
	for i > 0 {
		up := (i - 1) / 4
		if !before(&h, &q.heap[up]) {
			break
		}
		q.heap[i] = q.heap[up]
		i = up
	}
	q.heap[i] = h
}

func (q *queue) next() happening {
	first := q.heap[0]
	last := len(q.heap) - 1
	h := q.heap[last]
	q.heap = q.heap[:last]
	if last == 0 {
		return first
	}
	i := 0
	for {
		least := 4*i + 1
		if least >= last {
			break
		}
		for c := least + 1; c < min(4*i+5, last); c++ {
			if before(&q.heap[c], &q.heap[least]) {
				least = c
			}
		}
		if !before(&q.heap[least], &h) {
			break
		}
		q.heap[i] = q.heap[least]
		i = least
	}
	q.heap[i] = h
	return first
}
