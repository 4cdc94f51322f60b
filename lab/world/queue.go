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
	order uint64
	n     int64
	a, b  int32
	what  what
}

// queue is a heap of happenings with four branches: half as deep as one with two, which is what its time goes
// to.
type queue struct {
	heap  []happening
	order uint64
}

func before(x, y *happening) bool { return x.at < y.at || (x.at == y.at && x.order < y.order) }

func (q *queue) plan(at int64, w what, a, b int32, n int64) {
	q.order++
	h := happening{at: at, order: q.order, n: n, a: a, b: b, what: w}
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
