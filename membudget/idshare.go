package membudget

import "time"

const (
	// IDShareBurst is how many events one connection may have accepted at once while ids are held to their share.
	IDShareBurst = 8

	freeIDShare = 0.25 // of the remembered ids, up to which any connection may take them
	minIDRate   = 1.0  // ids a second that a connection gets in any case
	minSharers  = 4    // a single connection gets no more than a quarter of the ids
)

// IDRate returns how many events a second one connection may have accepted, and whether it is held to that. The ids of all ended events
// are remembered for the retention, so that a copy of a request is recognized. One client under ever new ids would use them up,
// and all others would be refused: the room that is left is shared among the connections, so that it lasts until ids expire.
func IDRate(remembered, limit, connections int, retention time.Duration) (rate float64, limited bool) {
	if limit <= 0 || float64(remembered) <= freeIDShare*float64(limit) {
		return 0, false
	}
	room := float64(limit-remembered) / retention.Seconds()
	return max(minIDRate, room/float64(max(minSharers, connections))), true
}
