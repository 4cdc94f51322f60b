package store

import (
	"fmt"
	"testing"
)

// Guards against IDs of completed events that stay in memory after their retention, for as long as the disk has space.
func TestExpiredIDsAreForgotten(t *testing.T) {
	now := int64(0)
	s, _, err := Open(Dir(t.TempDir()), 0, 3, SyncNever, func() int64 { return now })
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	const retention = 10
	for i := range 1000 {
		now = int64(i)
		id := fmt.Sprint(i)
		seq, err := s.Accept(Event{ID: id, Deadline: now + 100})
		if err != nil {
			t.Fatal(err)
		}
		s.Complete(id, seq, now+retention).Wait()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := len(s.completed); held > retention+1 {
		t.Errorf("%d IDs are held, and %d of them are retained", held, retention)
	}
}

// Guards against more IDs of completed events than there is memory for, and against the loss of one that is retained.
func TestCompletedIDsAreLimited(t *testing.T) {
	now := int64(0)
	s, _, err := Open(Dir(t.TempDir()), 0, 3, SyncNever, func() int64 { return now })
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.LimitCompletedIDs(5)
	accepted := 0
	for i := range 10 {
		id := fmt.Sprint(i)
		seq, err := s.Accept(Event{ID: id, Deadline: 100})
		if err != nil {
			break
		}
		accepted++
		s.Complete(id, seq, 10).Wait()
	}
	if accepted != 5 {
		t.Errorf("%d events were accepted, want 5", accepted)
	}
	if _, err := s.Accept(Event{ID: "0", Deadline: 100}); err != ErrAlreadyCompleted {
		t.Errorf("a retained ID that comes again: %v", err)
	}
	now = 11
	if _, err := s.Accept(Event{ID: "new", Deadline: 100}); err != nil {
		t.Errorf("once the IDs have expired: %v", err)
	}
}
