package store

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"jaspersill/delivery"
)

// testNow is the time of the test clock. The value is arbitrary.
const testNow = int64(1e18)

func testClock() int64 { return testNow }

func openStore(t testing.TB, fsys FS, maxBytes int64) (*Store, *Recovery) {
	t.Helper()
	s, recovered, err := Open(fsys, maxBytes, 6, SyncNever, testClock)
	if err != nil {
		t.Fatal(err)
	}
	return s, recovered
}

func testEvent(i int, body string) Event {
	return Event{
		ID:             fmt.Sprintf("e%d", i),
		Kind:           "charge",
		Owner:          "acme",
		IdempotencyKey: "m",
		Dest:           uint32(i),
		Deadline:       testNow + 1e9,
		Body:           []byte(body),
	}
}

func accept(s *Store, e Event) error {
	_, err := s.Accept(e)
	return err
}

// model is what the store has acknowledged, against which a recovery is checked.
type model struct {
	accepted  map[string]bool // event is accepted and not completed
	attempted map[string]bool // an attempt that may have taken effect is recorded
	completed map[string]bool // completion is recorded and the ID retained
	backoffs  map[string]int64
	past      map[string]bool
}

func newModel() *model {
	return &model{
		map[string]bool{},
		map[string]bool{},
		map[string]bool{},
		map[string]int64{},
		map[string]bool{},
	}
}

// runStep makes one call to the store and updates the model once it is acknowledged. A call that fails at a crash may or
// may not have been written, so the model assumes nothing about it.
func (m *model) runStep(s *Store, what, i int) error {
	id, err := fmt.Sprintf("e%d", i), error(nil)
	switch what {
	case 0:
		if _, err = s.Accept(testEvent(i, strings.Repeat("b", i*37%900))); err == nil {
			if m.completed[id] {
				return fmt.Errorf("%s is known to be completed but was accepted again", id)
			}
			m.accepted[id] = true
			delete(m.completed, id)
			delete(m.attempted, id)
		}
	case 1:
		if err = s.RecordAttempt(id, 0, 0, testNow, "z"); err == nil {
			m.attempted[id] = true
		}
	case 2:
		if err = s.RecordOutcome(id, 0, 0, delivery.Reset).Wait(); err == nil && m.attempted[id] {
			m.attempted[id] = true
		}
	case 3:
		err = s.RecordResolution(id, 0, Discarded, 0).Wait()
	case 4:
		delete(m.accepted, id) // from this call on the event may be completed
		until := int64(0)      // every second ID may be used again at once
		if i%2 == 1 {
			until = testNow + 5e9
		}
		if err = s.Complete(id, 0, until).Wait(); err == nil && until > 0 {
			m.completed[id] = true
		}
	case 5:
		if err = s.RecordBackoff(fmt.Sprint("d", i), testNow+int64(i+1)*1e9); err == nil {
			m.backoffs[fmt.Sprint("d", i)] = max(m.backoffs[fmt.Sprint("d", i)], testNow+int64(i+1)*1e9)
		}
	case 6:
		err = s.RecordOutage(fmt.Sprint("d", i), testNow-int64(i))
	case 7:
		_, err = s.Compact(500)
	}
	if errors.Is(err, ErrNotPending) || errors.Is(err, ErrAlreadyPending) || errors.Is(err, ErrAlreadyCompleted) || errors.Is(err, ErrFull) {
		return nil
	}
	return err
}

// check compares a recovery with the model. nothingLost means that no record was lost, so that nothing may be missing.
func (m *model) check(t interface{ Errorf(string, ...any) }, what string, recovered *Recovery, nothingLost bool) {
	seen := map[string]bool{}
	for _, e := range recovered.Events {
		if seen[e.ID] {
			t.Errorf("%s: %s is recovered twice", what, e.ID)
		}
		seen[e.ID] = true
		if m.completed[e.ID] && nothingLost {
			t.Errorf("%s: %s is recovered as pending but is completed", what, e.ID)
		}
		if m.attempted[e.ID] && !e.MayHaveRun() && e.Resolution == Unresolved && !m.completed[e.ID] {
			t.Errorf("%s: %s would be sent again although it may have been executed: %+v", what, e.ID, e.Attempts)
		}
	}
	for id := range m.accepted {
		if nothingLost && !seen[id] {
			t.Errorf("%s: %s is not recovered", what, id)
		}
	}
	for name, until := range m.backoffs {
		if recovered.Backoffs[name] < until {
			t.Errorf("%s: backoff of %s ends at %d, want at least %d", what, name, recovered.Backoffs[name], until)
		}
	}
}

// fillStore creates a store with all kinds of records, several segments and a partly done compaction.
func fillStore(t testing.TB, m *model, fsys *memFS) *Store {
	t.Helper()
	s, _ := openStore(t, fsys, 300<<10)
	do := func(what, i int) {
		if err := m.runStep(s, what, i); err != nil {
			t.Fatalf("step %d of event %d: %v", what, i, err)
		}
	}
	for i := range 60 {
		do(0, i)
		if i%2 == 0 {
			do(1, i)
		}
		if i%4 == 0 {
			do(2, i)
		}
		if i%10 == 3 {
			do(3, i)
		}
		if i%3 == 0 && i > 5 {
			do(4, i-5)
		}
		if i%12 == 0 {
			do(5, i/12)
			do(6, i/12)
		}
	}
	s.mu.Lock()
	s.compactionThreshold = 1 // run compaction regardless of file sizes
	s.mu.Unlock()
	if len(s.segments) < 2 {
		t.Fatalf("%d segments", len(s.segments))
	}
	if more, err := s.Compact(2000); err != nil || !more || s.segments[0].number != 1 {
		t.Fatalf("compaction is not partly done: more %v, error %v", more, err)
	}
	return s
}

func TestRecoveryAfterTruncationAndBitFlips(t *testing.T) {
	m, fsys := newModel(), newMemFS()
	fillStore(t, m, fsys).Close()
	files := fsys.afterRestart().files
	intact, err := Recover(fsys)
	if err != nil || len(intact.Faults) > 0 || intact.TornBytes > 0 || intact.RecordsLost {
		t.Fatalf("as written: %v, %+v", err, intact.Faults)
	}
	m.check(t, "as written", intact, true)
	last := ""
	for name := range files {
		if strings.HasPrefix(name, "seg-") {
			last = max(last, name)
		}
	}
	checkModified := func(what, name string, data []byte) {
		t.Helper()
		modified := newMemFS()
		for other, b := range files {
			modified.putFile(other, slices.Clone(b.data))
		}
		if modified.putFile(name, slices.Clone(data)); data == nil {
			delete(modified.files, name)
		}
		s, recovered, err := Open(modified, 0, 6, SyncNever, testClock)
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		// Truncation at the end of a record of the last segment cannot be detected: the log is as it was at that time.
		expected := *m
		if name == last && data != nil && !recovered.RecordsLost {
			expected.attempted = map[string]bool{}
			for _, e := range recovered.Events {
				expected.attempted[e.ID] = m.attempted[e.ID] && e.MayHaveRun()
			}
			expected.backoffs = m.backoffs // they are also in the mirror
		}
		expected.check(t, what, recovered, false)
		if data != nil && len(data) < len(files[name].data) && name != mirrorName && name != last &&
			len(recovered.Faults) == 0 {
			t.Errorf("%s: no fault reported", what)
		}
		s.Close()
		reopened, err := Recover(modified)
		if err != nil || len(reopened.Events) != len(recovered.Events) {
			t.Errorf(
				"%s: next start recovers %d events, want %d: %v",
				what,
				len(reopened.Events),
				len(recovered.Events),
				err,
			)
		}
		expected.check(t, what+", next start", reopened, false)
	}
	step, flips := 7, 41
	if os.Getenv("JASPERSILL_LONG") != "" {
		step, flips = 1, 1
	}
	cuts, flipped := 0, 0
	for name, b := range files {
		data := b.data
		for at := 0; at < len(data); at += step {
			checkModified(fmt.Sprintf("%s truncated to %d bytes", name, at), name, data[:at])
			cuts++
		}
		for at := 0; at < len(data); at += flips {
			broken := bytes.Clone(data)
			broken[at] ^= 1 << (at % 8)
			checkModified(fmt.Sprintf("%s with a bit flipped at %d", name, at), name, broken)
			flipped++
		}
		checkModified(name+" missing", name, nil)
	}
	t.Logf("%d truncations and %d bit flips in %d files", cuts, flipped, len(files))
}

// Fails every modifying file system call once, in each mode, during a run through all operations of a store.
func TestRecoveryAfterCrashAtEveryCall(t *testing.T) {
	crashes := 0
	for _, mode := range []crashMode{crashBeforeCall, crashAfterCall, crashMidWrite, failNoSpace} {
		for call := 1; ; call++ {
			m, fsys := newModel(), newMemFS()
			fsys.faultCall, fsys.faultMode = call, mode
			what := fmt.Sprintf("call %d, fault %d", call, mode)
			s, _, err := Open(fsys, 200<<10, 6, SyncNever, testClock)
			for i := 0; err == nil && i < 24; i++ {
				for _, step := range []int{0, 1, 2, 5, 6} {
					if err = m.runStep(s, step, i); err != nil && !fsys.crashed {
						err = nil
					}
				}
				if i == 12 {
					s.mu.Lock()
					s.segmentSize = 4 << 10
					s.mu.Unlock()
				}
				if i > 16 && err == nil {
					s.mu.Lock()
					s.compactionThreshold = 1
					s.mu.Unlock()
					if err = m.runStep(s, 7, i); err != nil && !fsys.crashed {
						err = nil
					}
					if err == nil && i%2 == 0 {
						if err = m.runStep(s, 4, i-8); err != nil && !fsys.crashed {
							err = nil
						}
					}
				}
			}
			finished := fsys.callCount < call
			if finished {
				break
			}
			crashes++
			next := fsys.afterRestart()
			if s != nil {
				s.Close()
			}
			_, recovered, err := Open(next, 200<<10, 6, SyncNever, testClock)
			if err != nil {
				t.Fatalf("%s: %v", what, err)
			}
			m.check(t, what, recovered, !recovered.RecordsLost)
			if mode == failNoSpace && recovered.RecordsLost { // the process continued, so nothing may appear lost
				t.Errorf("%s: failed write leaves a gap: %v", what, recovered.Faults)
			}
		}
	}
	if crashes < 400 {
		t.Errorf("only %d crashes simulated", crashes)
	}
	t.Logf("%d crashes", crashes)
}

func TestModelCheck(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, fsys := newModel(), newMemFS()
		s, _, err := Open(fsys, 400<<10, 6, SyncNever, testClock)
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			if what := rapid.IntRange(0, 9).Draw(t, "what"); what < 8 {
				if err := m.runStep(s, what, rapid.IntRange(0, 15).Draw(t, "event")); err != nil {
					t.Fatal(err)
				}
			} else {
				if what == 9 {
					s.Close()
				}
				fsys = fsys.afterRestart() // a kill: all written data is still there
				var recovered *Recovery
				if s, recovered, err = Open(fsys, 400<<10, 6, SyncNever, testClock); err != nil {
					t.Fatal(err)
				}
				m.check(t, "restarted", recovered, true)
			}
			s.mu.Lock()
			s.segmentSize = 2 << 10
			s.mu.Unlock()
		}
	})
}

func TestAcceptWhenFullAndAfterCompaction(t *testing.T) {
	fsys := newMemFS()
	s, _ := openStore(t, fsys, 300<<10)
	accepted := 0
	for i := range 5000 {
		_, err := s.Accept(testEvent(i, strings.Repeat("x", 700)))
		if errors.Is(err, ErrFull) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		accepted++
	}
	if accepted < 50 || accepted == 5000 {
		t.Fatalf("%d events accepted", accepted)
	}
	for i := range accepted { // every accepted event can be completed although the store is full
		id := fmt.Sprintf("e%d", i)
		for n := range 6 {
			if err := errors.Join(s.RecordAttempt(id, 0, n, testNow, "zone"), s.RecordOutcome(id, 0, n, delivery.Errored).Wait()); err != nil {
				t.Fatal(err)
			}
		}
		if used := s.UsedBytes(); used > 300<<10 {
			t.Fatalf("%d bytes used", used)
		}
		if err := s.Complete(id, 0, 0).Wait(); err != nil {
			t.Fatal(err)
		}
	}
	for more := true; more; {
		more, _ = s.Compact(64 << 10)
	}
	if _, err := s.Accept(testEvent(9999, "x")); err != nil {
		t.Errorf("accepting after compaction: %v", err)
	}
	s.Close()
}

func TestBodiesSurviveReopen(t *testing.T) {
	fsys := Dir(t.TempDir())
	s, _ := openStore(t, fsys, 0)
	body := "a\r\n\x00" + strings.Repeat("long", 20<<10)
	if _, err := s.Accept(testEvent(1, body)); err != nil {
		t.Fatal(err)
	}
	if got, err := s.ReadBody("e1"); err != nil || string(got) != body {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	if _, _, err := Open(fsys, 0, 6, SyncNever, testClock); err == nil ||
		!strings.Contains(err.Error(), fmt.Sprint(os.Getpid())) {
		t.Errorf("a second process: %v", err)
	}
	s.Close()
	s, recovered := openStore(t, fsys, 0)
	if len(recovered.Events) != 1 || string(recovered.Events[0].Body) != body || recovered.Events[0].IdempotencyKey != "m" ||
		recovered.Events[0].Dest != 1 {
		t.Errorf("recovered as %+v", recovered.Events)
	}
	s.Close()
}

func TestSegmentOfAnotherStoreIsIgnored(t *testing.T) {
	a, b := newMemFS(), newMemFS()
	s, _ := openStore(t, a, 0)
	if _, err := s.Accept(testEvent(1, "old")); err != nil {
		t.Fatal(err)
	}
	s.Close()
	s, _ = openStore(t, b, 0)
	if _, err := s.Accept(testEvent(2, "new")); err != nil {
		t.Fatal(err)
	}
	s.Close()
	for name, old := range a.files {
		if strings.HasPrefix(name, "seg-") {
			b.putFile("seg-00000000000000ff", old.data)
		}
	}
	s, recovered := openStore(t, b, 0)
	defer s.Close()
	if len(recovered.Events) != 1 || recovered.Events[0].ID != "e2" || len(recovered.Faults) != 1 ||
		b.files["seg-00000000000000ff"] == nil {
		t.Errorf("%+v, %v", recovered.Events, recovered.Faults)
	}
}

func TestConcurrentWriters(t *testing.T) {
	fsys := newMemFS()
	s, _ := openStore(t, fsys, 0)
	var wg sync.WaitGroup
	const writers, each = 32, 50
	for w := range writers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range each {
				e := testEvent(w*each+i, "body")
				err := errors.Join(accept(s, e), s.RecordAttempt(e.ID, 0, 0, testNow, "z"), s.RecordOutcome(e.ID, 0, 0, delivery.Acked).Wait())
				if err != nil {
					t.Error(err)
				}
				if i%2 == 0 {
					if err := s.Complete(e.ID, 0, 0).Wait(); err != nil {
						t.Error(err)
					}
				}
			}
		}()
	}
	wg.Wait()
	s.Close()
	recovered, err := Recover(fsys)
	if err != nil || len(recovered.Events) != writers*each/2 || len(recovered.Faults) > 0 || recovered.RecordsLost {
		t.Errorf("%d events, %v, %v", len(recovered.Events), recovered.Faults, err)
	}
	if !slices.IsSortedFunc(recovered.Events, func(a, b *Event) int { return int(a.ArrivalSeq) - int(b.ArrivalSeq) }) {
		t.Error("events are not in order of arrival")
	}
}

// Guards against an event that is completed while compaction copies its state, and is then recovered from the copy.
func TestCompletionDuringCompaction(t *testing.T) {
	fsys := newMemFS()
	s, _ := openStore(t, fsys, 0)
	for i := range 40 {
		if _, err := s.Accept(testEvent(i, strings.Repeat("x", 900))); err != nil {
			t.Fatal(err)
		}
		s.segmentSize = 4 << 10
	}
	s.compactionThreshold = 1
	fsys.onReadAt = func() {
		fsys.onReadAt = nil
		for i := range 40 {
			if err := s.Complete(fmt.Sprintf("e%d", i), 0, 0).Wait(); err != nil {
				t.Error(err)
			}
		}
	}
	for more := true; more; {
		var err error
		if more, err = s.Compact(1 << 20); err != nil {
			t.Fatal(err)
		}
		more = more && len(s.segments) > 1
	}
	s.Close()
	if recovered, err := Recover(fsys); err != nil || len(recovered.Events) > 0 {
		t.Errorf("%d events recovered as pending: %v", len(recovered.Events), err)
	}
}

// What is acknowledged with SyncAlways must survive a power failure, after which only synced data is left.
func TestPowerLoss(t *testing.T) {
	m, fsys := newModel(), newMemFS()
	s, _, err := Open(fsys, 0, 6, SyncAlways, testClock)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 30 {
		for _, step := range []int{0, 1, 5} {
			if err := m.runStep(s, step, i); err != nil {
				t.Fatal(err)
			}
		}
	}
	lost := newMemFS()
	for name, b := range fsys.files {
		lost.putFile(name, b.syncedData)
	}
	recovered, err := Recover(lost)
	if err != nil {
		t.Fatal(err)
	}
	m.check(t, "after power failure", recovered, true)
}

func TestMemoryPerPendingEvent(t *testing.T) {
	fsys := Dir(t.TempDir())
	s, _ := openStore(t, fsys, 0)
	defer s.Close()
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	const n = 20000
	for i := range n {
		e := Event{ID: fmt.Sprintf("%016x", i), Kind: "charge", Owner: "acme", Dest: 7, Deadline: testNow,
			Body: make([]byte, 300)}
		if err := accept(s, e); err != nil {
			t.Fatal(err)
		}
	}
	each := (heap() - before) / n
	t.Logf("%d bytes per pending event", each)
	if each > 420 {
		t.Errorf("%d bytes per pending event, want at most 420", each)
	}
	runtime.KeepAlive(s)
}

func FuzzRecover(f *testing.F) {
	fsys := newMemFS()
	fillStore(f, newModel(), fsys).Close()
	for name, b := range fsys.files {
		if strings.HasPrefix(name, "seg-") {
			f.Add(b.data[:min(len(b.data), 3000)])
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		fsys := newMemFS()
		fsys.putFile("seg-0000000000000001", data)
		s, _, err := Open(fsys, 0, 6, SyncNever, testClock)
		if err == nil {
			s.Close()
		}
	})
}

func TestOpenMissingFolder(t *testing.T) {
	name := filepath.Join(t.TempDir(), "none")
	if _, _, err := Open(Dir(name), 0, 6, SyncNever, testClock); err == nil {
		t.Error("opened a folder that does not exist")
	}
}

// Measures recovery with the given numbers of pending events, as stated in docs/store.md.
func BenchmarkRecovery(b *testing.B) {
	for _, held := range []int{10000, 100000} {
		b.Run(fmt.Sprint(held, "-held"), func(b *testing.B) {
			fsys := Dir(b.TempDir())
			s, _ := openStore(b, fsys, 1<<30)
			for i := range 3 * held { // two in three are completed
				e := testEvent(i, strings.Repeat("x", 300))
				if err := accept(s, e); err != nil {
					b.Fatal(err)
				}
				if i%3 != 0 {
					if err := s.Complete(e.ID, 0, 0).Wait(); err != nil {
						b.Fatal(err)
					}
				}
			}
			s.Close()
			for b.Loop() {
				recovered, err := Recover(fsys)
				if err != nil || len(recovered.Events) != held {
					b.Fatalf("%d events: %v", len(recovered.Events), err)
				}
			}
		})
	}
}
