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

// now is the clock of the tests; it has no particular value.
const now = int64(1e18)

func clock() int64 { return now }

func open(t testing.TB, f FS, most int64) (*Store, *Recovery) {
	t.Helper()
	s, found, err := Open(f, most, 6, SyncNever, clock)
	if err != nil {
		t.Fatal(err)
	}
	return s, found
}

func event(i int, body string) Event {
	return Event{
		ID:             fmt.Sprintf("e%d", i),
		Kind:           "charge",
		Owner:          "acme",
		IdempotencyKey: "m",
		Dest:           uint32(i),
		Deadline:       now + 1e9,
		Body:           []byte(body),
	}
}

func take(s *Store, e Event) error {
	_, err := s.Accept(e)
	return err
}

// model is what the store was told and answered for: the promise that a recovery is held to.
type model struct {
	owed map[string]bool // told that it is taken on, and not over
	ran  map[string]bool // told that a send that may have run is written
	over map[string]bool // told that nothing more is owed
	wait map[string]int64
	past map[string]bool
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

// step is one call of the store, noted in the model once it was answered for. A call that fails at a crash
// may or may not have been written: the model then knows nothing of it.
func (m *model) step(s *Store, what, i int) error {
	id, err := fmt.Sprintf("e%d", i), error(nil)
	switch what {
	case 0:
		if _, err = s.Accept(event(i, strings.Repeat("b", i*37%900))); err == nil {
			if m.over[id] {
				return fmt.Errorf("%s is known to be over and was taken on again", id)
			}
			m.owed[id] = true
			delete(m.over, id)
			delete(m.ran, id)
		}
	case 1:
		if err = s.RecordAttempt(id, 0, 0, now, "z"); err == nil {
			m.ran[id] = true
		}
	case 2:
		if err = s.RecordOutcome(id, 0, 0, delivery.Reset).Wait(); err == nil && m.ran[id] {
			m.ran[id] = true
		}
	case 3:
		err = s.RecordVerdict(id, 0, Discarded, 0).Wait()
	case 4:
		delete(m.owed, id) // from the call on the event may be over
		until := int64(0)  // every second one may come again under its id
		if i%2 == 1 {
			until = now + 5e9
		}
		if err = s.Complete(id, 0, until).Wait(); err == nil && until > 0 {
			m.over[id] = true
		}
	case 5:
		if err = s.RecordBackoff(fmt.Sprint("d", i), now+int64(i+1)*1e9); err == nil {
			m.wait[fmt.Sprint("d", i)] = max(m.wait[fmt.Sprint("d", i)], now+int64(i+1)*1e9)
		}
	case 6:
		err = s.RecordOutage(fmt.Sprint("d", i), now-int64(i))
	case 7:
		_, err = s.Compact(500)
	}
	if errors.Is(err, ErrNotPending) || errors.Is(err, ErrAlreadyPending) || errors.Is(err, ErrAlreadyCompleted) || errors.Is(err, ErrFull) {
		return nil
	}
	return err
}

// check holds a recovery to the model. whole tells that no record was lost, so that nothing may be missing at
// all.
func (m *model) check(t interface{ Errorf(string, ...any) }, what string, f *Recovery, whole bool) {
	seen := map[string]bool{}
	for _, e := range f.Events {
		if seen[e.ID] {
			t.Errorf("%s: %s comes back twice", what, e.ID)
		}
		seen[e.ID] = true
		if m.over[e.ID] && whole {
			t.Errorf("%s: %s comes back though it is over", what, e.ID)
		}
		if m.ran[e.ID] && !e.MayHaveRun() && e.Verdict == Undecided && !m.over[e.ID] {
			t.Errorf("%s: %s would be sent again, though it may have run: %+v", what, e.ID, e.Attempts)
		}
	}
	for id := range m.owed {
		if whole && !seen[id] {
			t.Errorf("%s: %s is forgotten", what, id)
		}
	}
	for name, until := range m.wait {
		if f.Backoffs[name] < until {
			t.Errorf("%s: the wait of %s ends at %d, not at %d", what, name, f.Backoffs[name], until)
		}
	}
}

// fill has a store with all kinds of records, several segments and a compaction half done.
func fill(t testing.TB, m *model, folder *memory) *Store {
	t.Helper()
	s, _ := open(t, folder, 300<<10)
	do := func(what, i int) {
		if err := m.step(s, what, i); err != nil {
			t.Fatalf("step %d of %d: %v", what, i, err)
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
	s.from = 1 // always full enough for a compaction, however small the files
	s.mu.Unlock()
	if len(s.segs) < 2 {
		t.Fatalf("%d segments", len(s.segs))
	}
	if more, err := s.Compact(2000); err != nil || !more || s.segs[0].number != 1 {
		t.Fatalf("no compaction half done: %v, %v", more, err)
	}
	return s
}

func TestEveryFileCutAtEveryByte(t *testing.T) {
	m, folder := newModel(), newMemory()
	fill(t, m, folder).Close()
	files := folder.restarted().files
	whole, err := Recover(folder)
	if err != nil || len(whole.Faults) > 0 || whole.TornBytes > 0 || whole.RecordsLost {
		t.Fatalf("as written: %v, %+v", err, whole.Faults)
	}
	m.check(t, "as written", whole, true)
	last := ""
	for name := range files {
		if strings.HasPrefix(name, "seg-") {
			last = max(last, name)
		}
	}
	look := func(what, name string, text []byte) {
		t.Helper()
		cut := newMemory()
		for other, b := range files {
			cut.put(other, slices.Clone(b.text))
		}
		if cut.put(name, slices.Clone(text)); text == nil {
			delete(cut.files, name)
		}
		s, f, err := Open(cut, 0, 6, SyncNever, clock)
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		// A cut at the end of a record of the last segment leaves no sign: the log is as it was then.
		at := *m
		if name == last && text != nil && !f.RecordsLost {
			at.ran = map[string]bool{}
			for _, e := range f.Events {
				at.ran[e.ID] = m.ran[e.ID] && e.MayHaveRun()
			}
			at.wait = m.wait // the mirror has them
		}
		at.check(t, what, f, false)
		if text != nil && len(text) < len(files[name].text) && name != mirrorName && name != last &&
			len(f.Faults) == 0 {
			t.Errorf("%s: nobody was told", what)
		}
		s.Close()
		again, err := Recover(cut)
		if err != nil || len(again.Events) != len(f.Events) {
			t.Errorf(
				"%s: the next start finds %d events, not %d: %v",
				what,
				len(again.Events),
				len(f.Events),
				err,
			)
		}
		at.check(t, what+", next start", again, false)
	}
	step, flips := 7, 41
	if os.Getenv("JASPERSILL_LONG") != "" {
		step, flips = 1, 1
	}
	cuts, flipped := 0, 0
	for name, b := range files {
		text := b.text
		for at := 0; at < len(text); at += step {
			look(fmt.Sprintf("%s cut at %d", name, at), name, text[:at])
			cuts++
		}
		for at := 0; at < len(text); at += flips {
			broken := bytes.Clone(text)
			broken[at] ^= 1 << (at % 8)
			look(fmt.Sprintf("%s flipped at %d", name, at), name, broken)
			flipped++
		}
		look(name+" missing", name, nil)
	}
	t.Logf("%d cuts and %d flips in %d files", cuts, flipped, len(files))
}

// Every call that changes a file is failed once, in each way, on the way through all that a store does.
func TestACrashAtEveryCall(t *testing.T) {
	calls := 0
	for _, how := range []fault{before, after, half, noRoom} {
		for at := 1; ; at++ {
			m, folder := newModel(), newMemory()
			folder.at, folder.how = at, how
			what := fmt.Sprintf("call %d, fault %d", at, how)
			s, _, err := Open(folder, 200<<10, 6, SyncNever, clock)
			for i := 0; err == nil && i < 24; i++ {
				for _, step := range []int{0, 1, 2, 5, 6} {
					if err = m.step(s, step, i); err != nil && !folder.gone {
						err = nil
					}
				}
				if i == 12 {
					s.mu.Lock()
					s.segSize = 4 << 10
					s.mu.Unlock()
				}
				if i > 16 && err == nil {
					s.mu.Lock()
					s.from = 1
					s.mu.Unlock()
					if err = m.step(s, 7, i); err != nil && !folder.gone {
						err = nil
					}
					if err == nil && i%2 == 0 {
						if err = m.step(s, 4, i-8); err != nil && !folder.gone {
							err = nil
						}
					}
				}
			}
			ended := folder.calls < at
			if ended {
				break
			}
			calls++
			next := folder.restarted()
			if s != nil {
				s.Close()
			}
			_, found, err := Open(next, 200<<10, 6, SyncNever, clock)
			if err != nil {
				t.Fatalf("%s: %v", what, err)
			}
			m.check(t, what, found, !found.RecordsLost)
			if how == noRoom && found.RecordsLost { // it went on: nothing may look lost
				t.Errorf("%s: a write that failed leaves a gap: %v", what, found.Faults)
			}
		}
	}
	if calls < 400 {
		t.Errorf("only %d crashes were played", calls)
	}
	t.Logf("%d crashes", calls)
}

func TestModelCheck(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, folder := newModel(), newMemory()
		s, _, err := Open(folder, 400<<10, 6, SyncNever, clock)
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			if what := rapid.IntRange(0, 9).Draw(t, "what"); what < 8 {
				if err := m.step(s, what, rapid.IntRange(0, 15).Draw(t, "event")); err != nil {
					t.Fatal(err)
				}
			} else {
				if what == 9 {
					s.Close()
				}
				folder = folder.restarted() // a kill: all that was written is there
				var f *Recovery
				if s, f, err = Open(folder, 400<<10, 6, SyncNever, clock); err != nil {
					t.Fatal(err)
				}
				m.check(t, "restarted", f, true)
			}
			s.mu.Lock()
			s.segSize = 2 << 10
			s.mu.Unlock()
		}
	})
}

func TestDiskFullThenRoomAgain(t *testing.T) {
	folder := newMemory()
	s, _ := open(t, folder, 300<<10)
	taken := 0
	for i := range 5000 {
		_, err := s.Accept(event(i, strings.Repeat("x", 700)))
		if errors.Is(err, ErrFull) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		taken++
	}
	if taken < 50 || taken == 5000 {
		t.Fatalf("%d events taken", taken)
	}
	for i := range taken { // what was taken on can all be brought to its end
		id := fmt.Sprintf("e%d", i)
		for n := range 6 {
			if err := errors.Join(s.RecordAttempt(id, 0, n, now, "zone"), s.RecordOutcome(id, 0, n, delivery.Errored).Wait()); err != nil {
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
	if _, err := s.Accept(event(9999, "x")); err != nil {
		t.Errorf("room again: %v", err)
	}
	s.Close()
}

func TestBodiesComeBackAsTheyCame(t *testing.T) {
	folder := Dir(t.TempDir())
	s, _ := open(t, folder, 0)
	body := "a\r\n\x00" + strings.Repeat("long", 20<<10)
	if _, err := s.Accept(event(1, body)); err != nil {
		t.Fatal(err)
	}
	if got, err := s.ReadBody("e1"); err != nil || string(got) != body {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	if _, _, err := Open(folder, 0, 6, SyncNever, clock); err == nil ||
		!strings.Contains(err.Error(), fmt.Sprint(os.Getpid())) {
		t.Errorf("a second process: %v", err)
	}
	s.Close()
	s, f := open(t, folder, 0)
	if len(f.Events) != 1 || string(f.Events[0].Body) != body || f.Events[0].IdempotencyKey != "m" ||
		f.Events[0].Dest != 1 {
		t.Errorf("came back as %+v", f.Events)
	}
	s.Close()
}

func TestAnOldFileIsNotTakenForANewOne(t *testing.T) {
	a, b := newMemory(), newMemory()
	s, _ := open(t, a, 0)
	if _, err := s.Accept(event(1, "old")); err != nil {
		t.Fatal(err)
	}
	s.Close()
	s, _ = open(t, b, 0)
	if _, err := s.Accept(event(2, "new")); err != nil {
		t.Fatal(err)
	}
	s.Close()
	for name, old := range a.files {
		if strings.HasPrefix(name, "seg-") {
			b.put("seg-00000000000000ff", old.text)
		}
	}
	s, f := open(t, b, 0)
	defer s.Close()
	if len(f.Events) != 1 || f.Events[0].ID != "e2" || len(f.Faults) != 1 ||
		b.files["seg-00000000000000ff"] == nil {
		t.Errorf("%+v, %v", f.Events, f.Faults)
	}
}

func TestManyWritersShareWrites(t *testing.T) {
	folder := newMemory()
	s, _ := open(t, folder, 0)
	var wg sync.WaitGroup
	const writers, each = 32, 50
	for w := range writers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range each {
				e := event(w*each+i, "body")
				err := errors.Join(take(s, e), s.RecordAttempt(e.ID, 0, 0, now, "z"), s.RecordOutcome(e.ID, 0, 0, delivery.Acked).Wait())
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
	f, err := Recover(folder)
	if err != nil || len(f.Events) != writers*each/2 || len(f.Faults) > 0 || f.RecordsLost {
		t.Errorf("%d events, %v, %v", len(f.Events), f.Faults, err)
	}
	if !slices.IsSortedFunc(f.Events, func(a, b *Event) int { return int(a.ArrivalSeq) - int(b.ArrivalSeq) }) {
		t.Error("not in the order of their coming")
	}
}

// An event that is over while its state is copied must not come back with the copy.
func TestOverWhileItIsCopied(t *testing.T) {
	folder := newMemory()
	s, _ := open(t, folder, 0)
	for i := range 40 {
		if _, err := s.Accept(event(i, strings.Repeat("x", 900))); err != nil {
			t.Fatal(err)
		}
		s.segSize = 4 << 10
	}
	s.from = 1
	folder.reading = func() {
		folder.reading = nil
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
		more = more && len(s.segs) > 1
	}
	s.Close()
	if f, err := Recover(folder); err != nil || len(f.Events) > 0 {
		t.Errorf("%d events come back: %v", len(f.Events), err)
	}
}

// What is acknowledged with Always must be there after a loss of power: only what was synced is.
func TestPowerLoss(t *testing.T) {
	m, folder := newModel(), newMemory()
	s, _, err := Open(folder, 0, 6, SyncAlways, clock)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 30 {
		for _, step := range []int{0, 1, 5} {
			if err := m.step(s, step, i); err != nil {
				t.Fatal(err)
			}
		}
	}
	lost := newMemory()
	for name, b := range folder.files {
		lost.put(name, b.synced)
	}
	f, err := Recover(lost)
	if err != nil {
		t.Fatal(err)
	}
	m.check(t, "power lost", f, true)
}

func TestMemoryOfAHeldEvent(t *testing.T) {
	folder := Dir(t.TempDir())
	s, _ := open(t, folder, 0)
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
		e := Event{ID: fmt.Sprintf("%016x", i), Kind: "charge", Owner: "acme", Dest: 7, Deadline: now,
			Body: make([]byte, 300)}
		if err := take(s, e); err != nil {
			t.Fatal(err)
		}
	}
	each := (heap() - before) / n
	t.Logf("%d bytes for each held event", each)
	if each > 420 {
		t.Errorf("%d bytes for each held event", each)
	}
	runtime.KeepAlive(s)
}

func FuzzRecover(f *testing.F) {
	folder := newMemory()
	fill(f, newModel(), folder).Close()
	for name, b := range folder.files {
		if strings.HasPrefix(name, "seg-") {
			f.Add(b.text[:min(len(b.text), 3000)])
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		m := newMemory()
		m.put("seg-0000000000000001", text)
		s, _, err := Open(m, 0, 6, SyncNever, clock)
		if err == nil {
			s.Close()
		}
	})
}

func TestFolderGone(t *testing.T) {
	name := filepath.Join(t.TempDir(), "none")
	if _, _, err := Open(Dir(name), 0, 6, SyncNever, clock); err == nil {
		t.Error("a folder that is not there is opened")
	}
}

// The next start where so many events are held: what docs/store.md states.
func BenchmarkRecovery(b *testing.B) {
	for _, held := range []int{10000, 100000} {
		b.Run(fmt.Sprint(held, "-held"), func(b *testing.B) {
			folder := Dir(b.TempDir())
			s, _ := open(b, folder, 1<<30)
			for i := range 3 * held { // two in three are over by then
				e := event(i, strings.Repeat("x", 300))
				if err := take(s, e); err != nil {
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
				f, err := Recover(folder)
				if err != nil || len(f.Events) != held {
					b.Fatalf("%d events: %v", len(f.Events), err)
				}
			}
		})
	}
}
