package node

import "time"

// At the limit of connections, each is spared for some time in its state.
const (
	firstByteGrace   = 10 * time.Millisecond  // one that is lingering, throttled, or has no first byte
	requestReadGrace = 100 * time.Millisecond // one with an incomplete request, as requests usually arrive in one piece
	idleGrace        = 150 * time.Millisecond // an idle one, while another may prove a better candidate
	responseGrace    = 400 * time.Millisecond // one whose client does not read its response: clients wait no longer for one
)

// evictionRank orders connections by how little it harms to close them. Within a rank, the one that has been in its state longest
// goes first.
type evictionRank uint8

const (
	keepConn        evictionRank = iota
	evictIdle                    // it waits between requests
	evictIncomplete              // its request is incomplete, or its client does not read the response
	evictNeverUsed               // it has not carried a valid request
	evictThrottled               // its client sends invalid or refused requests at full speed
	evictLingering               // its last response is written
)

// rank returns the rank of a connection, and whether it is spared for now only because it has not been in its state for long. The
// listener's lock is held.
func (c *clientConn) rank(now time.Time) (rank evictionRank, spared bool) {
	grace := time.Duration(0)
	switch {
	case c.evicted:
		return keepConn, false
	case c.lingering:
		rank, grace = evictLingering, firstByteGrace
	case c.closing, c.awaitingMemory:
		return keepConn, false
	case c.throttled:
		rank, grace = evictThrottled, firstByteGrace
	case c.responding:
		rank, grace = evictIncomplete, responseGrace
	case !c.busy && !c.hadValidRequest:
		rank, grace = evictNeverUsed, firstByteGrace
	case c.busy && !c.requestRead:
		rank, grace = evictIncomplete, requestReadGrace
	case !c.busy:
		rank = evictIdle
	}
	if now.Sub(c.stateSince) < grace {
		return keepConn, true
	}
	return rank, false
}

// evictOne makes room for a connection: it cuts short a lingering or throttled connection, an incomplete request or an unread
// response, or asks a connection to close. Otherwise hundreds of connections that send nothing, or that never complete a request,
// would keep well-behaved clients out. The lock is held.
func (l *listener) evictOne(now time.Time) {
	var victim *clientConn
	victimRank, sparedByGrace := keepConn, false
	for c := range l.conns {
		rank, spared := c.rank(now)
		sparedByGrace = sparedByGrace || spared
		if rank > victimRank || (rank > keepConn && rank == victimRank && c.stateSince.Before(victim.stateSince)) {
			victim, victimRank = c, rank
		}
	}
	switch {
	case victim == nil || (victimRank == evictIdle && sparedByGrace && now.Sub(victim.stateSince) < idleGrace):
	case victimRank == evictIncomplete && !victim.responding && victim.hasUnread(): // not its client is slow, but this node
		victim.stateSince = now
	case victim.busy, victim.lingering:
		victim.evict()
	default:
		victim.requestClose()
	}
}
