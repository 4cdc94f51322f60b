package node

import (
	"sync"
	"time"

	"jaspersill/metrics"
)

const (
	recentRequestTTL  = 60 * time.Second // for which a request that was answered is known again
	maxRecentRequests = 1 << 14          // requests known at most: at a higher rate the oldest are forgotten sooner

	// completedIDRetention is how long an event that has ended is known again by a restarted process.
	completedIDRetention = 10 * time.Second
)

var repeatedRequests = metrics.New("jaspersill_repeated_requests_total",
	"Requests that came again under their id, which were answered as the first one and not taken on.")

// recentRequests knows the requests that came of late. A client gives each request an id of its own, so one that comes again is a
// copy that was made on the way: it gets the answer of the first, and nothing is done for it.
type recentRequests struct {
	mu            sync.Mutex
	byID          map[string]*recentRequest
	answeredOrder []*recentRequest // answered ones, in the order of their answers
}

// recentRequest is one request that came. Its answer may be read once it is answered.
type recentRequest struct {
	id        string
	done      chan struct{}
	answer    clientResponse
	expiresAt time.Time
}

// add notes a request, and tells whether it is the add under its id.
func (r *recentRequests) add(id string) (request *recentRequest, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.byID[id]; known != nil {
		repeatedRequests.Add()
		return known, false
	}
	if r.byID == nil {
		r.byID = make(map[string]*recentRequest)
	}
	request = &recentRequest{id: id, done: make(chan struct{})}
	r.byID[id] = request
	return request, true
}

// complete notes what the client of a request hears, and forgets requests of long ago.
func (r *recentRequests) complete(request *recentRequest, a clientResponse) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	request.answer, request.expiresAt = a, now.Add(recentRequestTTL)
	close(request.done)
	r.answeredOrder = append(r.answeredOrder, request)
	for len(r.answeredOrder) > maxRecentRequests || now.After(r.answeredOrder[0].expiresAt) {
		delete(r.byID, r.answeredOrder[0].id)
		r.answeredOrder[0] = nil
		r.answeredOrder = r.answeredOrder[1:]
	}
}
