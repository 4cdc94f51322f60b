package node

import (
	"sync"
	"time"

	"jaspersill/metrics"
)

const (
	receivedFor  = 60 * time.Second // for which a request that was answered is known again
	receivedMost = 1 << 14          // requests known at most: at a higher rate the oldest are forgotten sooner

	// endedFor is how long an event that has ended is known again by a restarted process.
	endedFor = 10 * time.Second
)

var repeatedRequests = metrics.New("jaspersill_repeated_requests_total",
	"Requests that came again under their id, which were answered as the first one and not taken on.")

// received knows the requests that came of late. A client gives each request an id of its own, so one that comes again is a
// copy that was made on the way: it gets the answer of the first, and nothing is done for it.
type received struct {
	mu     sync.Mutex
	byID   map[string]*receivedRequest
	oldest []*receivedRequest // answered ones, in the order of their answers
}

// receivedRequest is one request that came. Its answer may be read once it is answered.
type receivedRequest struct {
	id       string
	answered chan struct{}
	answer   clientResponse
	until    time.Time
}

// first notes a request, and tells whether it is the first under its id.
func (r *received) first(id string) (request *receivedRequest, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.byID[id]; known != nil {
		repeatedRequests.Add()
		return known, false
	}
	if r.byID == nil {
		r.byID = make(map[string]*receivedRequest)
	}
	request = &receivedRequest{id: id, answered: make(chan struct{})}
	r.byID[id] = request
	return request, true
}

// answer notes what the client of a request hears, and forgets requests of long ago.
func (r *received) answer(request *receivedRequest, a clientResponse) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	request.answer, request.until = a, now.Add(receivedFor)
	close(request.answered)
	r.oldest = append(r.oldest, request)
	for len(r.oldest) > receivedMost || now.After(r.oldest[0].until) {
		delete(r.byID, r.oldest[0].id)
		r.oldest[0] = nil
		r.oldest = r.oldest[1:]
	}
}
