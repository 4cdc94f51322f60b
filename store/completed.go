package store

import (
	"cmp"
	"slices"
)

// completedIDs bounds the memory that the IDs of completed events take. The IDs themselves are in the index.
type completedIDs struct {
	order []*indexItem // in the order of their completion, which is that of their expiry where all are retained for the same time
	limit int          // of the IDs that are retained, 0 for none
}

// LimitCompletedIDs sets how many IDs of completed events may be retained. While there are more, Accept returns ErrFull: no ID is
// forgotten before its time, because its event could then take effect a second time.
func (s *Store) LimitCompletedIDs(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completedIDs.limit = limit
}

// CompletedIDs returns how many IDs of completed events are retained, and how many may be.
func (s *Store) CompletedIDs() (retained, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.completed), s.completedIDs.limit
}

// trackCompleted records the ID of an event that was completed. The caller holds mu.
func (s *Store) trackCompleted(item *indexItem) {
	s.insert(item)
	s.completedIDs.order = append(s.completedIDs.order, item)
}

// sortCompleted orders recovered IDs by their expiry. The caller holds mu.
func (s *Store) sortCompleted() {
	slices.SortFunc(s.completedIDs.order, func(a, b *indexItem) int { return cmp.Compare(a.value, b.value) })
}

// expireCompleted forgets the IDs whose retention is over. Their records stay in the log until they are compacted, and recovery
// ignores them. The caller holds mu.
func (s *Store) expireCompleted() {
	now := s.clock()
	order := s.completedIDs.order
	for len(order) > 0 && (order[0].value <= now || !s.isCurrent(order[0])) {
		s.remove(order[0])
		order[0] = nil
		order = order[1:]
	}
	s.completedIDs.order = order
}

// completedFull reports whether no further ID can be retained. The caller holds mu.
func (s *Store) completedFull() bool {
	return s.completedIDs.limit > 0 && len(s.completed) >= s.completedIDs.limit
}
