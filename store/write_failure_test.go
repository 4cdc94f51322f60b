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

// waitUntil waits for a condition that the store reaches by its own retries.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("timed out waiting for: %s", what)
			return
		}
	}
}

// recoverAfterKill returns what a restart after a kill would recover.
func recoverAfterKill(t *testing.T, m *memFS) *Recovery {
	t.Helper()
	recovered, err := Recover(m.afterRestart())
	if err != nil {
		t.Fatal(err)
	}
	return recovered
}

func isPendingAfterKill(t *testing.T, m *memFS, id string) bool {
	t.Helper()
	return slices.ContainsFunc(recoverAfterKill(t, m).Events, func(e *Event) bool { return e.ID == id })
}

// Guards against a store that refuses every event until restart once a write and the truncation that undoes it failed.
func TestLogRecoversFromFailedWriteAndTruncation(t *testing.T) {
	for _, mode := range []failureMode{failNothingDone, failPartlyDone, failFullyDone} {
		fsys := newMemFS()
		s, _ := openStore(t, fsys, 0)
		if err := accept(s, testEvent(1, "before")); err != nil {
			t.Fatal(err)
		}
		fsys.failNext(2, "", mode)
		if err := accept(s, testEvent(2, "refused")); err == nil {
			t.Errorf("failure mode %d: accepted though it could not be written", mode)
		}
		waitUntil(t, "an event is accepted again", func() bool { return accept(s, testEvent(3, "after")) == nil })
		recovered := recoverAfterKill(t, fsys)
		var ids []string
		for _, e := range recovered.Events {
			ids = append(ids, e.ID)
		}
		if !slices.Equal(ids, []string{"e1", "e3"}) || recovered.RecordsLost || len(recovered.Faults) > 0 {
			t.Errorf("failure mode %d: %v pending, records lost %v, faults %v", mode, ids, recovered.RecordsLost,
				recovered.Faults)
		}
		s.Close()
	}
}

// Guards against completions, resolutions and outcomes that are lost when their first write fails.
func TestFailedRecordIsRetried(t *testing.T) {
	for _, failures := range []int{1, 2, 4} {
		fsys := newMemFS()
		s, _ := openStore(t, fsys, 0)
		for i := range 4 {
			if err := errors.Join(accept(s, testEvent(i, "body")), s.RecordAttempt(fmt.Sprintf("e%d", i), 0, 0, testNow, "z")); err != nil {
				t.Fatal(err)
			}
		}
		fsys.failNext(failures, "", failNothingDone)
		s.RecordOutcome("e0", 0, 0, delivery.Refused).Wait()
		s.RecordResolution("e1", 0, Discarded, 0).Wait()
		s.Complete("e2", 0, 0).Wait()
		waitUntil(t, "all records are written", func() bool {
			recovered := recoverAfterKill(t, fsys)
			return len(recovered.Events) == 3 && recovered.Events[0].Attempts[0].Ended && recovered.Events[1].Resolution == Discarded &&
				recovered.Events[2].ID == "e3"
		})
		s.Close()
	}
}

// Guards against completed events that are recovered from a segment that could not be removed: the later segments with
// their completion records must stay as long as it does.
func TestUnremovableSegmentRestoresNoCompletedEvents(t *testing.T) {
	fsys := newMemFS()
	s, _ := openStore(t, fsys, 300<<10)
	s.mu.Lock()
	s.segmentSize, s.compactionThreshold = 4<<10, 1
	s.mu.Unlock()
	for round := range 3 { // the completion records of one round are in segments that the next round compacts
		for i := range 40 {
			if err := accept(s, testEvent(100*round+i, strings.Repeat("x", 900))); err != nil {
				t.Fatal(err)
			}
		}
		for i := range 40 {
			if err := s.Complete(fmt.Sprintf("e%d", 100*round+i), 0, 0).Wait(); err != nil {
				t.Fatal(err)
			}
		}
	}
	fsys.failNext(1, "remove", failNothingDone)
	for range 100 {
		s.Compact(1 << 20)
	}
	if recovered := recoverAfterKill(t, fsys); len(recovered.Events) > 0 {
		t.Errorf("%d completed events recovered as pending", len(recovered.Events))
	}
	s.Close()
}

// Guards against giving up events that were never attempted because a kill left an incomplete record, which was never
// acknowledged.
func TestTornLastRecordIsNotReportedAsLoss(t *testing.T) {
	fsys := newMemFS()
	s, _ := openStore(t, fsys, 0)
	for i := range 3 {
		if err := accept(s, testEvent(i, "body")); err != nil {
			t.Fatal(err)
		}
	}
	before := len(fsys.files["seg-0000000000000001"].data)
	if err := s.RecordAttempt("e1", 0, 0, testNow, "zone"); err != nil {
		t.Fatal(err)
	}
	s.Close()
	complete := fsys.files["seg-0000000000000001"].data
	for size := before; size < len(complete); size++ {
		cut := fsys.afterRestart()
		cut.putFile("seg-0000000000000001", slices.Clone(complete[:size]))
		s, recovered := openStore(t, cut, 0)
		for _, e := range recovered.Events {
			if e.MayHaveRun() {
				t.Fatalf("truncated to %d of %d bytes: %s counts as possibly executed", size, len(complete), e.ID)
			}
		}
		if recovered.RecordsLost || len(recovered.Events) != 3 || recovered.TornBytes != size-before {
			t.Errorf("truncated to %d bytes: records lost %v, %d pending, %d torn bytes", size, recovered.RecordsLost,
				len(recovered.Events), recovered.TornBytes)
		}
		s.Close()
	}
}

// Guards against taking a damaged length for an incomplete record left by a kill: the records after it were acknowledged.
func TestDamagedLengthIsNotTakenForTornRecord(t *testing.T) {
	fsys := newMemFS()
	s, _ := openStore(t, fsys, 0)
	var ends []int
	for i := range 3 {
		if err := accept(s, testEvent(i, "body")); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, len(fsys.files["seg-0000000000000001"].data))
	}
	s.Close()
	complete := fsys.files["seg-0000000000000001"].data
	for record, at := range []int{headerSize, ends[0], ends[1]} {
		for bit := range 24 {
			damaged := fsys.afterRestart()
			data := slices.Clone(complete)
			data[at+bit/8] ^= 1 << (bit % 8)
			damaged.putFile("seg-0000000000000001", data)
			if recovered, err := Recover(damaged); err != nil || !recovered.RecordsLost || len(recovered.Faults) == 0 {
				t.Errorf("record %d, bit %d of its length flipped: records lost %v, faults %v, error %v", record, bit,
					recovered.RecordsLost, recovered.Faults, err)
			}
		}
	}
}

// Guards against a refused event that a restart recovers because the failed write had reached the file.
func TestRefusedRequestIsNotRecovered(t *testing.T) {
	for _, failures := range []int{1, 2, 3} {
		for _, mode := range []failureMode{failNothingDone, failPartlyDone, failFullyDone} {
			fsys := newMemFS()
			s, _ := openStore(t, fsys, 0)
			fsys.failNext(failures, "", mode)
			if err := accept(s, testEvent(1, "body")); err == nil {
				t.Fatalf("%d failures, mode %d: accepted", failures, mode)
			}
			if isPendingAfterKill(t, fsys, "e1") {
				t.Errorf("%d failures, mode %d: refused, but pending after a kill", failures, mode)
			}
			s.Close()
		}
	}
}

// Guards against appending to a file after a sync of it failed: the operating system may have dropped written data.
func TestRecordIsRewrittenAfterFailedSync(t *testing.T) {
	fsys := newMemFS()
	s, _, err := Open(fsys, 0, 6, SyncAlways, testClock)
	if err != nil {
		t.Fatal(err)
	}
	if err := accept(s, testEvent(1, "body")); err != nil {
		t.Fatal(err)
	}
	fsys.failNext(1, "sync", failNothingDone)
	s.Complete("e1", 0, 0).Wait()
	waitUntil(t, "the completion record is in a synced file", func() bool {
		synced := newMemFS()
		fsys.mu.Lock()
		for name, b := range fsys.files {
			synced.putFile(name, slices.Clone(b.syncedData))
		}
		fsys.mu.Unlock()
		recovered, err := Recover(synced)
		return err == nil && len(recovered.Events) == 0 && recovered.Records > 1 && recovered.Segments > 1
	})
	s.Close()
}

// Guards against a failed start because of one transient error.
func TestOpenRetriesTransientErrors(t *testing.T) {
	filled := newMemFS()
	m := newModel()
	fillStore(t, m, filled).Close()
	for _, failures := range []int{1, 3} {
		for _, kind := range []string{"lock", "list", "read", "create", "write", "rename", "remove"} {
			fsys := filled.afterRestart()
			fsys.failNext(failures, kind, failNothingDone)
			s, recovered, err := Open(fsys, 300<<10, 6, SyncNever, testClock)
			if err != nil {
				t.Errorf("%s failing %d times: %v", kind, failures, err)
				continue
			}
			m.check(t, kind, recovered, true)
			m.check(t, kind+", second start", recoverAfterKill(t, fsys), true)
			s.Close()
		}
	}
}
