package store

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"jaspersill/delivery"
)

// eventually waits until something holds: the store tries again by itself.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("never: %s", what)
			return
		}
	}
}

// pending is what a restart would find.
func pending(t *testing.T, m *memory) *Recovery {
	t.Helper()
	f, err := Recover(m.restarted())
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func isPending(t *testing.T, m *memory, id string) bool {
	t.Helper()
	return slices.ContainsFunc(pending(t, m).Events, func(e *Event) bool { return e.ID == id })
}

// Guards against a store that refuses everything until the restart once a write and its truncation have failed.
func TestTheLogGoesOnAfterAWriteAndItsTruncationFailed(t *testing.T) {
	for _, how := range []refusal{refused, partly, wholly} {
		folder := newMemory()
		s, _ := open(t, folder, 0)
		if err := take(s, event(1, "before")); err != nil {
			t.Fatal(err)
		}
		folder.failNext(2, "", how)
		if err := take(s, event(2, "refused")); err == nil {
			t.Errorf("how %d: taken on though it could not be written", how)
		}
		eventually(t, "a request is taken on again", func() bool { return take(s, event(3, "after")) == nil })
		f := pending(t, folder)
		var ids []string
		for _, e := range f.Events {
			ids = append(ids, e.ID)
		}
		if !slices.Equal(ids, []string{"e1", "e3"}) || f.RecordsLost || len(f.Faults) > 0 {
			t.Errorf("how %d: %v pending, lost %v, %v", how, ids, f.RecordsLost, f.Faults)
		}
		s.Close()
	}
}

// Guards against ends, verdicts and outcomes that are forgotten when their write fails.
func TestARecordThatCouldNotBeWrittenIsWrittenLater(t *testing.T) {
	for _, failures := range []int{1, 2, 4} {
		folder := newMemory()
		s, _ := open(t, folder, 0)
		for i := range 4 {
			if err := errors.Join(take(s, event(i, "body")), s.RecordAttempt(fmt.Sprintf("e%d", i), 0, 0, now, "z")); err != nil {
				t.Fatal(err)
			}
		}
		folder.failNext(failures, "", refused)
		s.RecordOutcome("e0", 0, 0, delivery.Refused).Wait()
		s.RecordVerdict("e1", 0, Discarded, 0).Wait()
		s.Complete("e2", 0, 0).Wait()
		eventually(t, "all is written", func() bool {
			f := pending(t, folder)
			return len(f.Events) == 3 && f.Events[0].Attempts[0].Ended && f.Events[1].Verdict == Discarded &&
				f.Events[2].ID == "e3"
		})
		s.Close()
	}
}

// Guards against ended requests that come back from a segment which could not be removed.
func TestASegmentThatCannotBeRemovedBringsNothingBack(t *testing.T) {
	folder := newMemory()
	s, _ := open(t, folder, 300<<10)
	s.mu.Lock()
	s.segSize, s.from = 4<<10, 1
	s.mu.Unlock()
	for round := range 3 { // the records of completion of one round stand in segments that the next one empties
		for i := range 40 {
			if err := take(s, event(100*round+i, strings.Repeat("x", 900))); err != nil {
				t.Fatal(err)
			}
		}
		for i := range 40 {
			if err := s.Complete(fmt.Sprintf("e%d", 100*round+i), 0, 0).Wait(); err != nil {
				t.Fatal(err)
			}
		}
	}
	folder.failNext(1, "remove", refused)
	for range 100 {
		s.Compact(1 << 20)
	}
	if f := pending(t, folder); len(f.Events) > 0 {
		t.Errorf("%d ended requests come back", len(f.Events))
	}
	s.Close()
}

// Guards against giving up untried requests because a kill left half a record that nobody was told of.
func TestAHalfWrittenLastRecordDoubtsNothing(t *testing.T) {
	folder := newMemory()
	s, _ := open(t, folder, 0)
	for i := range 3 {
		if err := take(s, event(i, "body")); err != nil {
			t.Fatal(err)
		}
	}
	before := len(folder.files["seg-0000000000000001"].text)
	if err := s.RecordAttempt("e1", 0, 0, now, "zone"); err != nil {
		t.Fatal(err)
	}
	s.Close()
	whole := folder.files["seg-0000000000000001"].text
	for size := before; size < len(whole); size++ {
		cut := folder.restarted()
		cut.put("seg-0000000000000001", slices.Clone(whole[:size]))
		s, f := open(t, cut, 0)
		for _, e := range f.Events {
			if e.MayHaveRun() {
				t.Fatalf("cut at %d of %d: %s counts as possibly run", size, len(whole), e.ID)
			}
		}
		if f.RecordsLost || len(f.Events) != 3 || f.TornBytes != size-before {
			t.Errorf("cut at %d: lost %v, %d pending, %d bytes torn", size, f.RecordsLost, len(f.Events), f.TornBytes)
		}
		s.Close()
	}
}

// Guards against taking damage for a tail that a kill left: what stands behind it was acknowledged.
func TestADamagedLengthIsNotAHalfWrittenRecord(t *testing.T) {
	folder := newMemory()
	s, _ := open(t, folder, 0)
	var ends []int
	for i := range 3 {
		if err := take(s, event(i, "body")); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, len(folder.files["seg-0000000000000001"].text))
	}
	s.Close()
	whole := folder.files["seg-0000000000000001"].text
	for record, at := range []int{headSize, ends[0], ends[1]} {
		for bit := range 24 {
			damaged := folder.restarted()
			text := slices.Clone(whole)
			text[at+bit/8] ^= 1 << (bit % 8)
			damaged.put("seg-0000000000000001", text)
			if f, err := Recover(damaged); err != nil || !f.RecordsLost || len(f.Faults) == 0 {
				t.Errorf("record %d, bit %d of its length: lost %v, %v, %v", record, bit, f.RecordsLost, f.Faults, err)
			}
		}
	}
}

// Guards against a refused request that a restart finds, because the write that failed had reached the file.
func TestARefusedRequestIsNotFoundByARestart(t *testing.T) {
	for _, failures := range []int{1, 2, 3} {
		for _, how := range []refusal{refused, partly, wholly} {
			folder := newMemory()
			s, _ := open(t, folder, 0)
			folder.failNext(failures, "", how)
			if err := take(s, event(1, "body")); err == nil {
				t.Fatalf("%d failures, how %d: taken on", failures, how)
			}
			if isPending(t, folder, "e1") {
				t.Errorf("%d failures, how %d: refused, and pending after a kill", failures, how)
			}
			s.Close()
		}
	}
}

// Guards against trusting a file whose sync failed once: the system may have dropped what was written.
func TestARecordWhoseSyncFailedIsWrittenAnew(t *testing.T) {
	folder := newMemory()
	s, _, err := Open(folder, 0, 6, SyncAlways, clock)
	if err != nil {
		t.Fatal(err)
	}
	if err := take(s, event(1, "body")); err != nil {
		t.Fatal(err)
	}
	folder.failNext(1, "sync", refused)
	s.Complete("e1", 0, 0).Wait()
	eventually(t, "the end stands in a file that was synced", func() bool {
		synced := newMemory()
		folder.mu.Lock()
		for name, b := range folder.files {
			synced.put(name, slices.Clone(b.synced))
		}
		folder.mu.Unlock()
		f, err := Recover(synced)
		return err == nil && len(f.Events) == 0 && f.Records > 1 && f.Segments > 1
	})
	s.Close()
}

// Guards against a start that ends the process because one call failed for a moment.
func TestAStartOutlastsCallsThatFailForAMoment(t *testing.T) {
	filled := newMemory()
	m := newModel()
	fill(t, m, filled).Close()
	for _, failures := range []int{1, 3} {
		for _, only := range []string{"lock", "names", "read", "create", "write", "rename", "remove"} {
			folder := filled.restarted()
			folder.failNext(failures, only, refused)
			s, f, err := Open(folder, 300<<10, 6, SyncNever, clock)
			if err != nil {
				t.Errorf("%s fails %d times: %v", only, failures, err)
				continue
			}
			m.check(t, only, f, true)
			m.check(t, only+", a second start", pending(t, folder), true)
			s.Close()
		}
	}
}
