package node

import (
	"sync"
	"time"

	"jaspersill/metrics"
)

const (
	recentRequestTTL  = 60 * time.Second // how long an answered request is remembered
	maxRecentRequests = 1 << 14          // accepted requests remembered at most; at a higher rate the oldest are evicted sooner
	refusedDivisor    = 4                // as many refused requests are remembered as accepted ones, by this

	// completedIDRetention is how long the id of a completed event is recognized, also by a restarted process.
	completedIDRetention = 10 * time.Second
)

var repeatedRequests = metrics.NewCounter("jaspersill_repeated_requests_total",
	"Requests that came again under their id, which were answered as the first one and not taken on.")

// recentRequests deduplicates requests by id. A client gives each request an id of its own, so a second request with the
// same id is a copy made by the network: it gets the response to the first one and is not processed. Refused requests are remembered
// apart from accepted ones, so that a client whose requests are all refused cannot make the node forget the others.
type recentRequests struct {
	mu       sync.Mutex
	pending  map[string]*recentRequest // not answered yet
	accepted answeredRequests
	refused  answeredRequests
}

// newRecentRequests returns a memory of at most this many accepted requests.
func newRecentRequests(limit int) *recentRequests {
	limit = min(max(limit, 1), maxRecentRequests)
	return &recentRequests{pending: make(map[string]*recentRequest), accepted: newAnsweredRequests(limit),
		refused: newAnsweredRequests(max(1, limit/refusedDivisor))}
}

// recentRequest is a received request. Its response may be read once done is closed.
type recentRequest struct {
	id       string
	done     chan struct{}
	response clientResponse
}

// answered is done from the start.
var answered = func() chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}()

// add returns the request with the given id, adding it if it is unknown, and reports whether it is the first with this id.
func (r *recentRequests) add(id string) (request *recentRequest, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.pending[id]; known != nil {
		repeatedRequests.Inc()
		return known, false
	}
	for _, known := range []*answeredRequests{&r.accepted, &r.refused} {
		if response, found := known.get(id); found {
			repeatedRequests.Inc()
			return &recentRequest{id: id, done: answered, response: response}, false
		}
	}
	request = &recentRequest{id: id, done: make(chan struct{})}
	r.pending[id] = request
	return request, true
}

// complete stores the response to a request. A request that was abandoned is forgotten: the next one under its id is the first.
func (r *recentRequests) complete(request *recentRequest, response clientResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request.response = response
	close(request.done)
	delete(r.pending, request.id)
	switch {
	case response.abandoned:
	case response.status == statusAccepted:
		r.accepted.add(request.id, response)
	default:
		r.refused.add(request.id, response)
	}
}

// answeredRequests remembers the responses to the latest requests.
type answeredRequests struct {
	limit int
	byID  map[string]answeredRequest
	order []string // ids in the order of the responses
}

type answeredRequest struct {
	response  clientResponse
	expiresAt time.Time
}

func newAnsweredRequests(limit int) answeredRequests {
	return answeredRequests{limit: limit, byID: make(map[string]answeredRequest)}
}

// get returns the response to a request.
func (a *answeredRequests) get(id string) (clientResponse, bool) {
	request, found := a.byID[id]
	return request.response, found
}

// add remembers a response, and evicts expired ones and those beyond the limit.
func (a *answeredRequests) add(id string, response clientResponse) {
	now := time.Now()
	a.byID[id] = answeredRequest{response, now.Add(recentRequestTTL)}
	a.order = append(a.order, id)
	for len(a.order) > a.limit || now.After(a.byID[a.order[0]].expiresAt) {
		delete(a.byID, a.order[0])
		a.order[0] = ""
		a.order = a.order[1:]
	}
}
