package simulator

// simEventKind says what a simulator event does, and with it what its fields a, b and n mean.
type simEventKind uint8

const (
	simArrival         simEventKind = iota // a new event arrives at a client
	simBurst                               // a burst of events arrives; a: load change
	simSubmit                              // a client submits an event to a node; a: pending arrival
	simRound                               // a node runs its scheduler; a: node, n: incarnation
	simCallReached                         // a call reaches its endpoint; a: call
	simCallDone                            // an endpoint finishes a call; a: call
	simResponse                            // a response or connection error reaches its node; a: call
	simSendTimeout                         // a send times out; a: event, b: send, n: the event's incarnation
	simDirectoryChange                     // the directory publishes the changes that are due
	simWatchResponse                       // the response to a watch request arrives; a: node, n: incarnation
	simPeerMessage                         // a peer message arrives; a: node, b: endpoint, n: sender
	simFaultStart                          // a fault starts; a: fault
	simFaultEnd                            // a fault ends or pauses; a: fault
	simNodeStart                           // a node starts again; a: node
	simDrainStep                           // a draining node takes its next step; a: node, b: step, n: incarnation
	simNodeThaw                            // a frozen node resumes; a: node
	simEndpointGone                        // a drained endpoint terminates; a: endpoint
	simSecond                              // runs once per simulated second
)

// simEvent is one scheduled simulator event. Events with equal times run in the order in which they were
// scheduled.
type simEvent struct {
	at    int64
	order uint64 // sequence number, with the kind in the low eight bits; at 32 bytes two events fit a cache line
	n     int64
	a, b  int32
}

func (e *simEvent) kind() simEventKind { return simEventKind(e.order) }

// eventQueue is a priority queue of simulator events: a 4-ary heap, and buckets for far-off send timeouts. A
// 4-ary heap is half as deep as a binary one, and depth dominates its cost.
type eventQueue struct {
	heap          []simEvent
	order         uint64
	buckets       [bucketCount][]simEvent // far-off events by time interval, as a ring
	currentBucket int64                   // the last interval whose events are in the heap
	bucketed      int                     // number of events in buckets
	stillValid    func(*simEvent) bool    // reports whether a bucketed event still has an effect
}

const (
	bucketWidthBits = 28  // an interval is 2^28 ns, about a quarter of a second
	bucketCount     = 256 // intervals; together about a minute
)

// scheduleBucketed schedules an event that seldom has an effect, such as a send timeout. Most of them are
// obsolete by the time they are due and are dropped without ever entering the heap.
func (q *eventQueue) scheduleBucketed(at int64, kind simEventKind, a, b int32, n int64) {
	interval := at >> bucketWidthBits
	if interval <= q.currentBucket || interval >= q.currentBucket+bucketCount {
		q.schedule(at, kind, a, b, n)
		return
	}
	q.order++
	q.buckets[interval%bucketCount] = append(
		q.buckets[interval%bucketCount],
		simEvent{at: at, order: q.order<<8 | uint64(kind), n: n, a: a, b: b},
	)
	q.bucketed++
}

// promote moves bucketed events that are still valid into the heap as their interval comes up.
func (q *eventQueue) promote() {
	for q.bucketed > 0 && (len(q.heap) == 0 || q.heap[0].at>>bucketWidthBits > q.currentBucket) {
		q.currentBucket++
		bucket := &q.buckets[q.currentBucket%bucketCount]
		q.bucketed -= len(*bucket)
		for i := range *bucket {
			if e := &(*bucket)[i]; q.stillValid(e) {
				q.push(*e)
			}
		}
		*bucket = (*bucket)[:0]
	}
	if q.bucketed == 0 && len(q.heap) > 0 {
		q.currentBucket = max(q.currentBucket, q.heap[0].at>>bucketWidthBits)
	}
}

func earlier(x, y *simEvent) bool { return x.at < y.at || (x.at == y.at && x.order < y.order) }

func (q *eventQueue) schedule(at int64, kind simEventKind, a, b int32, n int64) {
	q.order++
	q.push(simEvent{at: at, order: q.order<<8 | uint64(kind), n: n, a: a, b: b})
}

func (q *eventQueue) push(e simEvent) {
	i := len(q.heap)
	q.heap = append(q.heap, e)
	for i > 0 {
		parent := (i - 1) / 4
		if !earlier(&e, &q.heap[parent]) {
			break
		}
		q.heap[i] = q.heap[parent]
		i = parent
	}
	q.heap[i] = e
}

func (q *eventQueue) pop() simEvent {
	first := q.heap[0]
	last := len(q.heap) - 1
	e := q.heap[last]
	q.heap = q.heap[:last]
	if last == 0 {
		return first
	}
	i := 0
	for {
		smallest := 4*i + 1
		if smallest >= last {
			break
		}
		for c := smallest + 1; c < min(4*i+5, last); c++ {
			if earlier(&q.heap[c], &q.heap[smallest]) {
				smallest = c
			}
		}
		if !earlier(&q.heap[smallest], &e) {
			break
		}
		q.heap[i] = q.heap[smallest]
		i = smallest
	}
	q.heap[i] = e
	return first
}
