package node

import (
	"strconv"
	"strings"

	"jaspersill/delivery"
	"jaspersill/idmap"
	"jaspersill/metrics"
)

// endpointIdentity names one process of an endpoint. Neither its host nor its address does: a host is started again, and an
// address is taken over by another host. Connections, calls and outcomes refer to a process by the index of its identity.
type endpointIdentity struct {
	host      string
	startedAt int64 // Unix time in ms, 0 for long ago
	dest      uint32
}

const (
	startTimeSeparator = "@" // between host and start time in the name of a process
	startTimeTolerance = 500 // ms by which two start times of one process may differ, as discovery may compute them anew
)

// isLaterStart reports whether a start time is that of a later process than another one.
func isLaterStart(startedAt, other int64) bool { return startedAt > other+startTimeTolerance }

// String returns the name of the process in logs and in messages between nodes: the host, and the start time where it is known.
func (i endpointIdentity) String() string {
	if i.startedAt == 0 {
		return i.host
	}
	return i.host + startTimeSeparator + strconv.FormatInt(i.startedAt, 10)
}

var replacedEndpoints = metrics.NewCounter("jaspersill_replaced_endpoints_total",
	"Endpoints whose host was started again, or whose address was taken over by another host.")

// listedEndpoint is an endpoint as the latest list that named it has it.
type listedEndpoint struct {
	endpointIdentity
	index     int32
	kind      int
	zone      string
	address   string
	claimedBy uint64 // number of the list that first named it at its address
	namedBy   uint64 // number of the latest list that named it
	gone      bool   // it was listed as gone, or left out of a whole list
}

// supersedes reports whether an endpoint has taken over the address of another one: a later list named it there first. Where one list
// names both first, it is the one that was started later; if that is not known either, they share the address.
func (e *listedEndpoint) supersedes(other *listedEndpoint) bool {
	if e.claimedBy != other.claimedBy {
		return e.claimedBy > other.claimedBy
	}
	return isLaterStart(e.startedAt, other.startedAt)
}

// endpointRegistry knows which process runs at which host and address. It belongs to the decision loop's goroutine.
type endpointRegistry struct {
	indices   idmap.Table[endpointIdentity]
	byHost    map[string]*listedEndpoint
	byAddress map[string]*listedEndpoint // endpoints that are ready or draining
	lists     uint64                     // lists so far
}

// listEntry is an endpoint in a list from discovery.
type listEntry struct {
	endpointIdentity
	address string // empty if the list does not say
	zone    string
	kind    int
	state   delivery.EndpointState
	rate    float64
}

// beginList starts a list. A whole list names every address that is in use.
func (r *endpointRegistry) beginList(whole bool) {
	r.lists++
	if r.byHost == nil {
		r.byHost = make(map[string]*listedEndpoint)
	}
	if whole || r.byAddress == nil {
		r.byAddress = make(map[string]*listedEndpoint)
	}
}

// update takes an entry of a list. It returns the endpoint and its state, whether it is new, and the endpoints that are gone because
// of it. It returns nil for an entry that is about an earlier process of its host.
func (r *endpointRegistry) update(entry *listEntry) (e *listedEndpoint, state delivery.EndpointState, fresh bool, gone []*listedEndpoint) {
	e, state = r.byHost[entry.host], entry.state
	switch {
	case e == nil:
	case state != delivery.Gone && (isLaterStart(entry.startedAt, e.startedAt) || entry.dest != e.dest):
		r.leaveAddress(e)
		gone = append(gone, e)
		e = nil
	case entry.startedAt != 0 && isLaterStart(e.startedAt, entry.startedAt):
		return nil, state, false, nil
	}
	if e == nil {
		e = &listedEndpoint{endpointIdentity: entry.endpointIdentity, claimedBy: r.lists}
		r.byHost[entry.host] = e
		e.index, fresh = r.indices.Acquire(entry.endpointIdentity)
	}
	if e.gone && state != delivery.Gone {
		e.claimedBy = r.lists
	}
	e.kind, e.zone, e.namedBy, e.gone = entry.kind, entry.zone, r.lists, state == delivery.Gone
	if entry.address != "" && entry.address != e.address {
		r.leaveAddress(e)
		e.address, e.claimedBy = entry.address, r.lists
	}
	if state == delivery.Gone {
		r.leaveAddress(e)
		return e, state, fresh, gone
	}
	if owner := r.byAddress[e.address]; e.address != "" && owner != nil && owner != e {
		switch {
		case e.supersedes(owner):
			gone = append(gone, owner)
		case owner.supersedes(e):
			return e, delivery.Gone, fresh, gone
		}
	}
	r.byAddress[e.address] = e
	replacedEndpoints.Add(int64(len(gone)))
	return e, state, fresh, gone
}

// endWholeList returns the endpoints that the whole list did not name, and that were not known to be gone.
func (r *endpointRegistry) endWholeList() (gone []*listedEndpoint) {
	for _, e := range r.byHost {
		if e.namedBy != r.lists && !e.gone {
			e.gone = true
			gone = append(gone, e)
		}
	}
	return gone
}

// leaveAddress records that an endpoint is not to be reached at its address any more.
func (r *endpointRegistry) leaveAddress(e *listedEndpoint) {
	if r.byAddress[e.address] == e {
		delete(r.byAddress, e.address)
	}
}

// release frees the index of an endpoint that the scheduler has forgotten.
func (r *endpointRegistry) release(index int32) {
	identity := r.indices.ID(index)
	if e := r.byHost[identity.host]; e != nil && e.index == index {
		r.leaveAddress(e)
		delete(r.byHost, identity.host)
	}
	r.indices.Release(index)
}

// name returns the name of the process with an index.
func (r *endpointRegistry) name(index int32) string { return r.indices.ID(index).String() }

// lookup returns the index of the process with a name, if it is the present one of its host.
func (r *endpointRegistry) lookup(name string) (int32, bool) {
	host, started := name, int64(0)
	if i := strings.LastIndex(name, startTimeSeparator); i >= 0 {
		if n, err := strconv.ParseInt(name[i+1:], 10, 64); err == nil {
			host, started = name[:i], n
		}
	}
	if e := r.byHost[host]; e != nil && !isLaterStart(e.startedAt, started) && !isLaterStart(started, e.startedAt) {
		return e.index, true
	}
	return 0, false
}
