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

// reopenJournal opens the journal in a folder, as the next process does.
func reopenJournal(t *testing.T, folder string, limitMB float64) (*journal, []*event) {
	t.Helper()
	j, pending, err := openJournal(folder, store.Dir(folder), wallClock, limitMB, 6, findAnyType)
	if err != nil {
		t.Fatal(err)
	}
	return j, pending
}

// copyAsKilled returns a copy of the folder as a killed process leaves it, with nothing closed.
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

// fillJournal writes four events in different states: completed, with attempts, with a resolution, and with a long body.
func fillJournal(t *testing.T, j *journal) {
	t.Helper()
	for i, body := range []string{"over", "a\r\n\x00b", "", strings.Repeat("long", 16<<10)} {
		e := &event{id: fmt.Sprint("e", i), idempotencyKey: "m", dest: 7, deadlineTimeOfDay: 1 << 60, body: []byte(body)}
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
			j.recordResolution(e)
		}
	}
}

func checkRecovered(t *testing.T, pending []*event, want int) {
	t.Helper()
	if len(pending) != want {
		t.Fatalf("%d events pending, want %d", len(pending), want)
	}
	for _, e := range pending {
		if e.idempotencyKey != "m" || e.dest != 7 || e.deadlineTimeOfDay != 1<<60 {
			t.Errorf("%s recovered as %+v", e.id, e)
		}
		switch e.id {
		case "e1":
			past := []store.Attempt{{StartedAt: 50, Zone: "zone", Ended: true, Outcome: delivery.Refused},
				{StartedAt: 60, Zone: "zone", Ended: true, Outcome: delivery.Reset}, {StartedAt: 70, Zone: "zone"}}
			if !slices.Equal(e.pastAttempts, past) || e.attemptCount != 3 || string(e.body) != "a\r\n\x00b" {
				t.Errorf("e1: attempts %+v, body %q", e.pastAttempts, e.body)
			}
		case "e2":
			if e.resolution != declined || e.retryAfter != 500 {
				t.Errorf("e2: resolution %d, retry after %d", e.resolution, e.retryAfter)
			}
		case "e3":
			if len(e.body) != 64<<10 {
				t.Errorf("e3: %d bytes of body", len(e.body))
			}
		}
	}
}

func TestJournalSurvivesKill(t *testing.T) {
	folder := t.TempDir()
	j, _ := reopenJournal(t, folder, 3)
	fillJournal(t, j)
	for range 3 { // killed once, and again after each restart
		folder = copyAsKilled(t, folder)
		var pending []*event
		j.close()
		j, pending = reopenJournal(t, folder, 3)
		checkRecovered(t, pending, 3)
	}
	j.close()
	j, pending := reopenJournal(t, folder, 3)
	defer j.close()
	if j.recordAttempt(pending[0], 3, 80, "zone") != nil || !errors.Is(j.recordAttempt(&event{id: "e0"}, 0, 0, ""), errNotPending) {
		t.Error("an attempt of a pending event must start, and one of a completed event must not")
	}
	if _, _, err := openJournal(folder, store.Dir(folder), wallClock, 3, 6, findAnyType); err == nil {
		t.Error("a second process was able to open the folder")
	}
}

func TestJournalStaysWithinDiskLimit(t *testing.T) {
	for _, size := range []int{0, 300, 8 << 10, maxBodyBytes} {
		folder, limit := t.TempDir(), 1.0
		j, _ := reopenJournal(t, folder, limit)
		var accepted []*event
		refused := 0
		for i := range 1500 {
			e := &event{
				id:                fmt.Sprintf("%016x", i),
				idempotencyKey:    "m",
				dest:              7,
				deadlineTimeOfDay: 1 << 60,
				body:              make([]byte, size),
			}
			switch err := j.accept(e, "alert", "acme"); {
			case err == nil:
				accepted = append(accepted, e)
			case errors.Is(err, errFull):
				refused++
			default:
				t.Fatal(err)
			}
			if len(accepted) == 0 {
				t.Fatalf("no event of %d bytes fits", size)
			}
			last := accepted[len(accepted)-1]
			for n := range 6 {
				if err := j.recordAttempt(last, n, 1<<60, "a-zone-of-some-length"); err != nil {
					t.Fatal(err)
				}
				j.recordOutcome(last, n, delivery.Refused)
			}
			if used := folderSize(t, folder); used > int64(limit*1e6) {
				t.Fatalf("%d bytes used on disk, more than the limit", used)
			}
			if i%3 == 0 {
				j.complete(accepted[0])
				accepted = accepted[1:]
			}
		}
		if refused == 0 && size > 0 {
			t.Errorf("no event with a body of %d bytes was refused", size)
		}
		j.close()
		j, pending := reopenJournal(t, folder, limit)
		j.close()
		if len(pending) != len(accepted) {
			t.Errorf("bodies of %d bytes: %d events pending, want %d", size, len(pending), len(accepted))
		}
	}
}

func TestUnsentAttemptIsNotRecoveredAsPossiblyRun(t *testing.T) {
	folder := t.TempDir()
	j, _ := reopenJournal(t, folder, 3)
	e := &event{id: "e"}
	if err := j.accept(e, "alert", "acme"); err != nil {
		t.Fatal(err)
	}
	j.recordOutcome(e, 0, delivery.Unsent) // given up before it started
	_ = j.recordAttempt(e, 1, 50, "zone")
	j.recordOutcome(e, 1, delivery.Refused)
	for range 2 {
		j.close()
		var pending []*event
		j, pending = reopenJournal(t, folder, 3)
		want := []store.Attempt{{StartedAt: 50, Zone: "zone", Ended: true, Outcome: delivery.Unsent},
			{StartedAt: 50, Zone: "zone", Ended: true, Outcome: delivery.Refused}}
		if !slices.Equal(pending[0].pastAttempts, want) {
			t.Errorf("attempts %+v", pending[0].pastAttempts)
		}
	}
	j.close()
}

func TestJournalDistinguishesEventsWithSameID(t *testing.T) {
	folder, ahead := t.TempDir(), int64(0)
	shiftedClock := func() int64 { return wallClock() + ahead }
	j, _, err := openJournal(folder, store.Dir(folder), shiftedClock, 3, 6, findAnyType)
	if err != nil {
		t.Fatal(err)
	}
	first, second := &event{id: "e"}, &event{id: "e"}
	_ = j.accept(first, "alert", "acme")
	_ = j.recordAttempt(first, 0, 50, "zone")
	j.complete(first)
	if err := j.accept(second, "alert", "acme"); !errors.Is(err, errAlreadyCompleted) {
		t.Errorf("accepted again right after completion: %v", err)
	}
	ahead = int64(completedIDRetention)
	if err := j.accept(second, "alert", "acme"); err != nil {
		t.Errorf("event with the same ID after the retention period: %v", err)
	}
	j.recordOutcome(first, 0, delivery.Acked)
	j.complete(first)
	if err := j.recordAttempt(first, 1, 60, "zone"); !errors.Is(err, errNotPending) {
		t.Errorf("an attempt of the completed event started: %v", err)
	}
	j.close()
	j, pending := reopenJournal(t, folder, 3)
	defer j.close()
	if len(pending) != 1 || len(pending[0].pastAttempts) != 0 {
		t.Errorf("pending %+v", pending)
	}
}

// legacyRecord encodes a record in the legacy format.
func legacyRecord(kind byte, id string, rest ...any) []byte {
	appendText := func(to []byte, s string) []byte { return append(binary.AppendUvarint(to, uint64(len(s))), s...) }
	payload := appendText([]byte{kind}, id)
	for _, field := range rest {
		switch field := field.(type) {
		case string:
			payload = appendText(payload, field)
		case int:
			payload = binary.AppendVarint(payload, int64(field))
		case byte:
			payload = append(payload, field)
		}
	}
	record := binary.LittleEndian.AppendUint32(nil, uint32(len(payload)))
	return append(
		binary.LittleEndian.AppendUint32(record, crc32.Checksum(payload, crc32.MakeTable(crc32.Castagnoli))),
		payload...)
}

func TestLegacyJournalIsImported(t *testing.T) {
	folder := t.TempDir()
	long := strings.Repeat("long", 16<<10)
	legacy := slices.Concat(
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
		legacyRecord(legacyResolution, "e2", byte(declined), 500),
		legacyRecord(legacyAcceptedLongBody, "e3", "alert", "acme", 7, 1<<60, "m", 1, len(long)),
		legacyRecord(legacyAccepted, "e4", "alert", "acme", 7, 1<<60, "m", "cut off")[:20],
	)
	write := func(folder string) {
		t.Helper()
		if errors.Join(os.WriteFile(filepath.Join(folder, legacyName), legacy, 0o600),
			os.WriteFile(filepath.Join(folder, legacyName+legacyBodyInfix+"1"), []byte(long), 0o600)) != nil {
			t.Fatal("cannot write the legacy files")
		}
	}
	write(folder)
	if report, err := ReadJournal(folder); err != nil || len(report.Pending) != 3 {
		t.Errorf("before the import: %+v, %v", report, err)
	}
	j, pending := reopenJournal(t, folder, 3)
	checkRecovered(t, pending, 3)
	if left, _ := filepath.Glob(filepath.Join(folder, legacyName+"*")); len(left) > 0 {
		t.Errorf("legacy files not removed: %v", left)
	}
	write(folder) // a crash between import and removal: the legacy files are still there
	if err := j.complete(pending[2]).Wait(); err != nil {
		t.Fatal(err)
	}
	folder = copyAsKilled(t, folder)
	j.close()
	j, pending = reopenJournal(t, folder, 3)
	defer j.close()
	for _, e := range pending {
		if e.id == "e1" && len(e.pastAttempts) != 3 {
			t.Errorf("e1 recovered with attempts %+v", e.pastAttempts)
		}
	}
	if len(pending) != 2 {
		t.Errorf("%d events pending, want 2: no duplicates and no completed event", len(pending))
	}
}

func TestReadJournalDoesNotModifyFolder(t *testing.T) {
	folder := t.TempDir()
	j, _ := reopenJournal(t, folder, 3)
	fillJournal(t, j)
	folder = copyAsKilled(t, folder)
	j.close()
	names, _ := filepath.Glob(filepath.Join(folder, "seg-*"))
	name := names[len(names)-1]
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	checkReport := func(what string, data []byte, wantPending int, wantTorn, wantLost, wantFaults bool) {
		t.Helper()
		if err := os.WriteFile(name, data, 0o600); err != nil {
			t.Fatal(err)
		}
		before := folderSize(t, folder)
		report, err := ReadJournal(folder)
		if err != nil || len(report.Pending) != wantPending || (report.TornBytes > 0) != wantTorn || report.RecordsLost != wantLost ||
			(len(report.Faults) > 0) != wantFaults {
			t.Errorf("%s: %+v, %v", what, report, err)
		}
		if after, _ := os.ReadFile(name); !bytes.Equal(after, data) || folderSize(t, folder) != before {
			t.Errorf("%s: reading changed the folder", what)
		}
	}
	checkReport("as written", data, 3, false, false, false)
	checkReport("truncated", data[:len(data)-3], 2, true, false, false) // the last record is the acceptance of an event
	damaged := bytes.Clone(data)
	damaged[60] ^= 1 // in the first record
	checkReport("damaged", damaged, 3, false, true, true)
	if report, err := ReadJournal(folder); err != nil || !strings.HasPrefix(report.Faults[0], name+": offset 40: ") {
		t.Errorf("the fault does not state file and offset: %v, %v", report.Faults, err)
	}
	if _, err := ReadJournal(t.TempDir()); err == nil {
		t.Error("no error for a folder without a journal")
	}
}

// Guards against a legacy journal whose failed removal goes unnoticed: the next start would import its events again,
// including those completed since, and would discard those whose body files are gone.
func TestUnremovableLegacyJournalKeepsItsBodies(t *testing.T) {
	folder := t.TempDir()
	legacy := &legacyJournal{name: filepath.Join(folder, legacyName)}
	if err := os.MkdirAll(filepath.Join(legacy.name, "in the way"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(legacy.bodyPath(1), []byte("body"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := legacy.remove(); err == nil {
		t.Error("no error although the journal file could not be removed")
	}
	if _, err := os.Stat(legacy.bodyPath(1)); err != nil {
		t.Errorf("body file: %v", err)
	}
}
