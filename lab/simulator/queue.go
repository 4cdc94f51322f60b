package simulator

// simEventKind is a kind of happening.
type simEventKind uint8

const (
	simArrival         simEventKind = iota // an event comes to a client
	simBurst                               // a clump of events comes; a: load
	simSubmit                              // a client hands in an event; a: asking
	simRound                               // a node calls its module; a: node
	simCallReached                         // a call reaches its endpoint; a: call, n: its life
	simCallDone                            // an endpoint is done with a call
	simResponse                            // an answer reaches its node
	simSendTimeout                         // a node stops waiting for a send; a: event, b: send, n: life
	simDirectoryChange                     // changes of the list reach a node; a: node, n: its life
	simWatchResponse                       // the answer to a call for a watch comes; a: node, n: its life
	simPeerMessage                         // a note comes; a: node, b: endpoint, n: sender
	simFaultStart                          // a trouble begins; a: trouble
	simFaultEnd                            // a trouble ends or pauses; a: trouble
	simNodeStart                           // a node serves again; a: node
	simDrainStep                           // a drain goes on; a: node, b: step, n: its life
	simNodeThaw                            // a node that stood still goes on; a: node
	simEndpointGone                        // an endpoint that drained is gone; a: endpoint
	simSecond                              // once a second
)

// simEvent is one thing that happens at a time. Those of one time come in the order in which they were
// planned.
type simEvent struct {
	at    int64
	order uint64 // the order of planning, and in the last eight bits the kind: 32 bytes are two to a cache line
	n     int64
	a, b  int32
}

func (h *simEvent) kind() simEventKind { return simEventKind(h.order) }

// eventQueue is a heap of happenings with four branches: half as deep as one with two, which is what its time goes
// to.
type eventQueue struct {
	heap          []simEvent
	order         uint64
	buckets       [bucketCount][]simEvent // what is far off, by the width of time that it falls into
	currentBucket int64                   // the width of time up to which all is in the heap
	bucketed      int                     // of what is far off
	stillValid    func(*simEvent) bool    // tells whether something far off still means anything
}

const (
	bucketWidthBits = 28  // bits of ns: a quarter of a second
	bucketCount     = 256 // widths: a minute
)

// scheduleBucketed plans what seldom happens, as the end of the time that a send is waited for: most of it means
// nothing any more when its time is near, and is dropped without a place in the heap.
func (q *eventQueue) scheduleBucketed(at int64, w simEventKind, a, b int32, n int64) {
	slot := at >> bucketWidthBits
	if slot <= q.currentBucket || slot >= q.currentBucket+bucketCount {
		q.schedule(at, w, a, b, n)
		return
	}
	q.order++
	q.buckets[slot%bucketCount] = append(
		q.buckets[slot%bucketCount],
		simEvent{at: at, order: q.order<<8 | uint64(w), n: n, a: a, b: b},
	)
	q.bucketed++
}

// promote takes what is far off into the heap as its time comes.
func (q *eventQueue) promote() {
	for q.bucketed > 0 && (len(q.heap) == 0 || q.heap[0].at>>bucketWidthBits > q.currentBucket) {
		q.currentBucket++
		slot := &q.buckets[q.currentBucket%bucketCount]
		q.bucketed -= len(*slot)
		for i := range *slot {
			if h := &(*slot)[i]; q.stillValid(h) {
				q.push(*h)
			}
		}
		*slot = (*slot)[:0]
	}
	if q.bucketed == 0 && len(q.heap) > 0 {
		q.currentBucket = max(q.currentBucket, q.heap[0].at>>bucketWidthBits)
	}
}

func earlier(x, y *simEvent) bool { return x.at < y.at || (x.at == y.at && x.order < y.order) }

func (q *eventQueue) schedule(at int64, w simEventKind, a, b int32, n int64) {
	q.order++
	q.push(simEvent{at: at, order: q.order<<8 | uint64(w), n: n, a: a, b: b})
}

func (q *eventQueue) push(h simEvent) {
	i := len(q.heap)
	q.heap = append(q.heap, h)
	for i > 0 {
		up := (i - 1) / 4
		if !earlier(&h, &q.heap[up]) {
			break
		}
		q.heap[i] = q.heap[up]
		i = up
	}
	q.heap[i] = h
}

func (q *eventQueue) pop() simEvent {
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
			if earlier(&q.heap[c], &q.heap[least]) {
				least = c
			}
		}
		if !earlier(&q.heap[least], &h) {
			break
		}
		q.heap[i] = q.heap[least]
		i = least
	}
	q.heap[i] = h
	return first
}
