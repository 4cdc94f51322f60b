package node

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"jaspersill/delivery"
	"jaspersill/store"
)

func findAnyType(string, string) (int, int, bool) { return 0, 0, true }

// reopenJournal opens a folder as the next process does.
func reopenJournal(t *testing.T, folder string, limitMB float64) (*journal, []*event) {
	t.Helper()
	j, owed, err := openJournal(folder, store.Dir(folder), wallClock, limitMB, 6, findAnyType)
	if err != nil {
		t.Fatal(err)
	}
	return j, owed
}

// copyAsKilled is the folder as a copyAsKilled process leaves it: nothing was closed in order.
func copyAsKilled(t *testing.T, folder string) string {
	t.Helper()
	next := t.TempDir()
	if err := os.CopyFS(next, os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	return next
}

func folderSize(t *testing.T, folder string) (size int64) {
	t.Helper()
	list, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range list {
		if info, err := entry.Info(); err == nil {
			size += (info.Size() + 511) / 512 * 512
		}
	}
	return size
}

// fillJournal writes four events in different states: ended, with sends, decided, and one with a long body.
func fillJournal(t *testing.T, j *journal) {
	t.Helper()
	for i, body := range []string{"over", "a\r\n\x00b", "", strings.Repeat("long", 16<<10)} {
		e := &event{id: fmt.Sprint("e", i), idempotencyKey: "m", dest: 7, wallDeadline: 1 << 60, body: []byte(body)}
		if err := j.accept(e, "alert", "acme"); err != nil {
			t.Fatal(err)
		}
		switch i {
		case 0:
			j.complete(e)
		case 1:
			for n, at := range []int64{50, 60, 70} {
				if err := j.recordAttempt(e, n, at, "zone"); err != nil {
					t.Fatal(err)
				}
			}
			j.recordOutcome(e, 0, delivery.Refused)
			j.recordOutcome(e, 1, delivery.Reset)
		case 2:
			e.resolution, e.retryAfter = declined, 500
			j.recordVerdict(e)
		}
	}
}

func checkRecovered(t *testing.T, owed []*event, want int) {
	t.Helper()
	if len(owed) != want {
		t.Fatalf("%d events owed, want %d", len(owed), want)
	}
	for _, e := range owed {
		if e.idempotencyKey != "m" || e.dest != 7 || e.wallDeadline != 1<<60 {
			t.Errorf("%s came back as %+v", e.id, e)
		}
		switch e.id {
		case "e1":
			past := []store.Attempt{{StartedAt: 50, Zone: "zone", Ended: true, Outcome: delivery.Refused},
				{StartedAt: 60, Zone: "zone", Ended: true, Outcome: delivery.Reset}, {StartedAt: 70, Zone: "zone"}}
			if !slices.Equal(e.pastSends, past) || e.sendCount != 3 || string(e.body) != "a\r\n\x00b" {
				t.Errorf("e1: sends %+v, body %q", e.pastSends, e.body)
			}
		case "e2":
			if e.resolution != declined || e.retryAfter != 500 {
				t.Errorf("e2: verdict %d, come back %d", e.resolution, e.retryAfter)
			}
		case "e3":
			if len(e.body) != 64<<10 {
				t.Errorf("e3: %d bytes of body", len(e.body))
			}
		}
	}
}

func TestJournalOutlastsItsProcess(t *testing.T) {
	folder := t.TempDir()
	j, _ := reopenJournal(t, folder, 3)
	fillJournal(t, j)
	for range 3 { // the process was killed, and again after each start
		folder = copyAsKilled(t, folder)
		var owed []*event
		j.close()
		j, owed = reopenJournal(t, folder, 3)
		checkRecovered(t, owed, 3)
	}
	j.close()
	j, owed := reopenJournal(t, folder, 3)
	defer j.close()
	if j.recordAttempt(owed[0], 3, 80, "zone") != nil || !errors.Is(j.recordAttempt(&event{id: "e0"}, 0, 0, ""), errNotPending) {
		t.Error("a send of an owed event must begin, and one of an event that is over must not")
	}
	if _, _, err := openJournal(folder, store.Dir(folder), wallClock, 3, 6, findAnyType); err == nil {
		t.Error("a second process may open the folder")
	}
}

func TestJournalKeepsToItsRoomAndRefusesBeforeTakingOn(t *testing.T) {
	for _, size := range []int{0, 300, 8 << 10, maxBodyBytes} {
		folder, limit := t.TempDir(), 1.0
		j, _ := reopenJournal(t, folder, limit)
		var live []*event
		full := 0
		for i := range 1500 {
			e := &event{
				id:             fmt.Sprintf("%016x", i),
				idempotencyKey: "m",
				dest:           7,
				wallDeadline:   1 << 60,
				body:           make([]byte, size),
			}
			switch err := j.accept(e, "alert", "acme"); {
			case err == nil:
				live = append(live, e)
			case errors.Is(err, errFull):
				full++
			default:
				t.Fatal(err)
			}
			if len(live) == 0 {
				t.Fatalf("not one event of %d bytes fits", size)
			}
			last := live[len(live)-1]
			for n := range 6 {
				if err := j.recordAttempt(last, n, 1<<60, "a-zone-of-some-length"); err != nil {
					t.Fatal(err)
				}
				j.recordOutcome(last, n, delivery.Refused)
			}
			if used := folderSize(t, folder); used > int64(limit*1e6) {
				t.Fatalf("%d bytes on disk", used)
			}
			if i%3 == 0 {
				j.complete(live[0])
				live = live[1:]
			}
		}
		if full == 0 && size > 0 {
			t.Errorf("bodies of %d bytes never filled the folder", size)
		}
		j.close()
		j, owed := reopenJournal(t, folder, limit)
		j.close()
		if len(owed) != len(live) {
			t.Errorf("bodies of %d bytes: %d owed, want %d", size, len(owed), len(live))
		}
	}
}

func TestSendThatNeverBeganIsNoneThatMayHaveRun(t *testing.T) {
	folder := t.TempDir()
	j, _ := reopenJournal(t, folder, 3)
	e := &event{id: "e"}
	if err := j.accept(e, "alert", "acme"); err != nil {
		t.Fatal(err)
	}
	j.recordOutcome(e, 0, delivery.Unsent) // given up before it began
	_ = j.recordAttempt(e, 1, 50, "zone")
	j.recordOutcome(e, 1, delivery.Refused)
	for range 2 {
		j.close()
		var owed []*event
		j, owed = reopenJournal(t, folder, 3)
		want := []store.Attempt{{StartedAt: 50, Zone: "zone", Ended: true, Outcome: delivery.Unsent},
			{StartedAt: 50, Zone: "zone", Ended: true, Outcome: delivery.Refused}}
		if !slices.Equal(owed[0].pastSends, want) {
			t.Errorf("sends %+v", owed[0].pastSends)
		}
	}
	j.close()
}

func TestJournalTellsEventsOfOneIdApart(t *testing.T) {
	folder, ahead := t.TempDir(), int64(0)
	day := func() int64 { return wallClock() + ahead }
	j, _, err := openJournal(folder, store.Dir(folder), day, 3, 6, findAnyType)
	if err != nil {
		t.Fatal(err)
	}
	first, second := &event{id: "e"}, &event{id: "e"}
	_ = j.accept(first, "alert", "acme")
	_ = j.recordAttempt(first, 0, 50, "zone")
	j.complete(first)
	if err := j.accept(second, "alert", "acme"); !errors.Is(err, errAlreadyCompleted) {
		t.Errorf("it is taken on again just after its end: %v", err)
	}
	ahead = int64(completedIDRetention)
	if err := j.accept(second, "alert", "acme"); err != nil {
		t.Errorf("a later one of its id: %v", err)
	}
	j.recordOutcome(first, 0, delivery.Acked)
	j.complete(first)
	if err := j.recordAttempt(first, 1, 60, "zone"); !errors.Is(err, errNotPending) {
		t.Errorf("a send of the former began: %v", err)
	}
	j.close()
	j, owed := reopenJournal(t, folder, 3)
	defer j.close()
	if len(owed) != 1 || len(owed[0].pastSends) != 0 {
		t.Errorf("owed %+v", owed)
	}
}

// legacyRecord is a record as the version before wrote it.
func legacyRecord(what byte, id string, rest ...any) []byte {
	text := func(b []byte, s string) []byte { return append(binary.AppendUvarint(b, uint64(len(s))), s...) }
	p := text([]byte{what}, id)
	for _, r := range rest {
		switch r := r.(type) {
		case string:
			p = text(p, r)
		case int:
			p = binary.AppendVarint(p, int64(r))
		case byte:
			p = append(p, r)
		}
	}
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(p)))
	return append(
		binary.LittleEndian.AppendUint32(b, crc32.Checksum(p, crc32.MakeTable(crc32.Castagnoli))),
		p...)
}

func TestAnOldJournalIsCarriedOver(t *testing.T) {
	folder := t.TempDir()
	long := strings.Repeat("long", 16<<10)
	old := slices.Concat(
		legacyRecord(legacyAccepted, "e0", "alert", "acme", 7, 1<<60, "m", "over"),
		legacyRecord(legacyCompleted, "e0"),
		legacyRecord(legacyAccepted, "e1", "alert", "acme", 7, 1<<60, "m", "a\r\n\x00b"),
		legacyRecord(legacyAttemptStarted, "e1", byte(0), 50, "zone"),
		legacyRecord(legacyAttemptEnded, "e1", byte(0), byte(delivery.Refused)),
		legacyRecord(legacyAttemptStarted, "e1", byte(1), 60, "zone"),
		legacyRecord(legacyAttemptEnded, "e1", byte(1), byte(delivery.Reset)),
		legacyRecord(legacyAttemptStarted, "e1", byte(2), 70, "zone"),
		legacyRecord(
			legacyAccepted,
			"e2",
			"alert",
			"acme",
			7,
			1<<60,
			"m",
			"",
		),
		legacyRecord(legacyVerdict, "e2", byte(declined), 500),
		legacyRecord(legacyAcceptedLongBody, "e3", "alert", "acme", 7, 1<<60, "m", 1, len(long)),
		legacyRecord(legacyAccepted, "e4", "alert", "acme", 7, 1<<60, "m", "cut off")[:20],
	)
	write := func(folder string) {
		t.Helper()
		if errors.Join(os.WriteFile(filepath.Join(folder, legacyName), old, 0o600),
			os.WriteFile(filepath.Join(folder, legacyName+legacyBodyInfix+"1"), []byte(long), 0o600)) != nil {
			t.Fatal("the old files cannot be written")
		}
	}
	write(folder)
	if r, err := ReadJournal(folder); err != nil || len(r.Pending) != 3 {
		t.Errorf("before it is carried over: %+v, %v", r, err)
	}
	j, owed := reopenJournal(t, folder, 3)
	checkRecovered(t, owed, 3)
	if left, _ := filepath.Glob(filepath.Join(folder, legacyName+"*")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
	write(folder) // a crash between the two: the old file is there still
	if err := j.complete(owed[2]).Wait(); err != nil {
		t.Fatal(err)
	}
	folder = copyAsKilled(t, folder)
	j.close()
	j, owed = reopenJournal(t, folder, 3)
	defer j.close()
	for _, e := range owed {
		if e.id == "e1" && len(e.pastSends) != 3 {
			t.Errorf("e1 came back as %+v", e.pastSends)
		}
	}
	if len(owed) != 2 {
		t.Errorf("%d events owed, each of them once, and none that has ended: want 2", len(owed))
	}
}

func TestAJournalIsReadWithoutChangingIt(t *testing.T) {
	folder := t.TempDir()
	j, _ := reopenJournal(t, folder, 3)
	fillJournal(t, j)
	folder = copyAsKilled(t, folder)
	j.close()
	names, _ := filepath.Glob(filepath.Join(folder, "seg-*"))
	name := names[len(names)-1]
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	look := func(what string, text []byte, owed int, torn, lost, faults bool) {
		t.Helper()
		if err := os.WriteFile(name, text, 0o600); err != nil {
			t.Fatal(err)
		}
		before := folderSize(t, folder)
		r, err := ReadJournal(folder)
		if err != nil || len(r.Pending) != owed || (r.TruncatedBytes > 0) != torn || r.RecordsMissing != lost ||
			(len(r.Faults) > 0) != faults {
			t.Errorf("%s: %+v, %v", what, r, err)
		}
		if after, _ := os.ReadFile(name); !bytes.Equal(after, text) || folderSize(t, folder) != before {
			t.Errorf("%s: reading changed the folder", what)
		}
	}
	look("as written", text, 3, false, false, false)
	look("cut off", text[:len(text)-3], 2, true, false, false) // the last record takes an event on
	broken := bytes.Clone(text)
	broken[60] ^= 1 // in the first record
	look("damaged", broken, 3, false, true, true)
	if r, err := ReadJournal(folder); err != nil || !strings.HasPrefix(r.Faults[0], name+": offset 40: ") {
		t.Errorf("the fault does not name file and offset: %v, %v", r.Faults, err)
	}
	if _, err := ReadJournal(t.TempDir()); err == nil {
		t.Error("a folder that holds nothing passes for a good one")
	}
}

// Guards against ended requests that come back from a file of the older form which could not be removed.
func TestAnOldFileThatCannotBeRemovedKeepsItsBodies(t *testing.T) {
	folder := t.TempDir()
	old := &legacyJournal{name: filepath.Join(folder, legacyName)}
	if err := os.MkdirAll(filepath.Join(old.name, "in the way"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(old.bodyPath(1), []byte("body"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := old.remove(); err == nil {
		t.Error("it passes for removed")
	}
	if _, err := os.Stat(old.bodyPath(1)); err != nil {
		t.Errorf("the body: %v", err)
	}
}
