package node

import (
	"sync"
	"time"

	"jaspersill/metrics"
)

const (
	recentRequestTTL  = 60 * time.Second // how long an answered request is remembered
	maxRecentRequests = 1 << 14          // answered requests remembered at most; at a higher rate the oldest are evicted sooner

	// completedIDRetention is how long the id of a completed event is recognized, also by a restarted process.
	completedIDRetention = 10 * time.Second
)

var repeatedRequests = metrics.NewCounter("jaspersill_repeated_requests_total",
	"Requests that came again under their id, which were answered as the first one and not taken on.")

// recentRequests deduplicates requests by id. A client gives each request an id of its own, so a second request with the
// same id is a copy made by the network: it gets the response to the first one and is not processed.
type recentRequests struct {
	mu            sync.Mutex
	byID          map[string]*recentRequest
	answeredOrder []*recentRequest // answered requests, in the order they were answered
}

// recentRequest is a received request. Its response may be read once done is closed.
type recentRequest struct {
	id        string
	done      chan struct{}
	response  clientResponse
	expiresAt time.Time
}

// add returns the request with the given id, adding it if it is unknown, and reports whether it is the first with this id.
func (r *recentRequests) add(id string) (request *recentRequest, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.byID[id]; known != nil {
		repeatedRequests.Inc()
		return known, false
	}
	if r.byID == nil {
		r.byID = make(map[string]*recentRequest)
	}
	request = &recentRequest{id: id, done: make(chan struct{})}
	r.byID[id] = request
	return request, true
}

// complete stores the response to a request, and evicts expired requests and those beyond the maximum. A request that was abandoned
// is forgotten: the next one under its id is the first.
func (r *recentRequests) complete(request *recentRequest, response clientResponse) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	request.response, request.expiresAt = response, now.Add(recentRequestTTL)
	close(request.done)
	if response.abandoned {
		delete(r.byID, request.id)
		return
	}
	r.answeredOrder = append(r.answeredOrder, request)
	for len(r.answeredOrder) > maxRecentRequests || now.After(r.answeredOrder[0].expiresAt) {
		delete(r.byID, r.answeredOrder[0].id)
		r.answeredOrder[0] = nil
		r.answeredOrder = r.answeredOrder[1:]
	}
}
