package node

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"jaspersill/port"
)

func anyName(string, string) (int, int, bool) { return 0, 0, true }

func reopen(t *testing.T, folder string, limitMB float64) (*journal, []*event) {
	t.Helper()
	j, owed, err := openJournal(folder, limitMB, 6, anyName)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(j.close)
	return j, owed
}

func folderSize(t *testing.T, folder string) (size int64) {
	t.Helper()
	list, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range list {
		if info, err := entry.Info(); err == nil {
			size += blocks(int(info.Size()))
		}
	}
	return size
}

// fill writes four events in different states: ended, with sends, decided, and one with a long body.
func fill(t *testing.T, j *journal) {
	t.Helper()
	for i, body := range []string{"over", "a\r\n\x00b", "", strings.Repeat("long", 16<<10)} {
		e := &event{id: fmt.Sprint("e", i), mark: "m", dest: 7, deadline: 1 << 60, body: []byte(body)}
		if err := j.take(e, "alert", "acme"); err != nil {
			t.Fatal(err)
		}
		switch i {
		case 0:
			j.over(e)
		case 1:
			for n, at := range []int64{50, 60, 70} {
				if err := j.began(e, n, at, "zone"); err != nil {
					t.Fatal(err)
				}
			}
			j.ended(e, 0, port.Declined)
			j.ended(e, 1, port.Reset)
		case 2:
			e.verdict, e.comeBack = declined, 500
			j.decide(e)
		}
	}
}

func check(t *testing.T, owed []*event, want int) {
	t.Helper()
	if len(owed) != want {
		t.Fatalf("%d events owed, want %d", len(owed), want)
	}
	for _, e := range owed {
		if e.mark != "m" || e.dest != 7 || e.deadline != 1<<60 {
			t.Errorf("%s came back as %+v", e.id, e)
		}
		switch e.id {
		case "e1":
			past := []sent{{50, "zone", true, port.Declined}, {60, "zone", true, port.Reset}, {70, "zone", false, 0}}
			if !slices.Equal(e.past, past) || e.sends != 3 || string(e.body) != "a\r\n\x00b" {
				t.Errorf("e1: sends %+v, body %q", e.past, e.body)
			}
		case "e2":
			if e.verdict != declined || e.comeBack != 500 {
				t.Errorf("e2: verdict %d, come back %d", e.verdict, e.comeBack)
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
	j, _ := reopen(t, folder, 3)
	fill(t, j)
	for range 3 { // nothing was closed in order: the process was killed, and again after each start
		_, owed := reopen(t, folder, 3)
		check(t, owed, 3)
	}
	j, owed := reopen(t, folder, 3)
	if j.began(owed[0], 3, 80, "zone") != nil || !errors.Is(j.began(&event{id: "e0"}, 0, 0, ""), errOver) {
		t.Error("a send of an owed event must begin, and one of an event that is over must not")
	}
}

func TestJournalCutAnywhereLosesNoWholeRecord(t *testing.T) {
	folder := t.TempDir()
	j, _ := reopen(t, folder, 3)
	fill(t, j)
	name := filepath.Join(folder, fileName)
	whole, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	for cut := len(whole) - 1; cut >= 0; cut-- {
		_ = os.WriteFile(name, whole[:cut], fileMode)
		records := 0
		for at := 0; at+frameSize <= cut; records++ {
			if at += frameSize + int(le.Uint32(whole[at:])); at > cut {
				break
			}
		}
		j, owed := reopen(t, t.TempDir(), 3) // only to read: the folder's long body must stay
		j.replay(whole[:cut], func(int, string) {})
		owed = owed[:0]
		for _, o := range j.owed {
			owed = append(owed, o.e)
		}
		taken := map[int]int{0: 0, 1: 1, 2: 0, 3: 1, 4: 1, 5: 1, 6: 1, 7: 1, 8: 1, 9: 2, 10: 2, 11: 3}
		if len(owed) != taken[records] {
			t.Fatalf("cut at %d, behind %d records: %d owed, want %d", cut, records, len(owed), taken[records])
		}
	}
	// What is written behind a torn record must be read again.
	_ = os.WriteFile(name, whole[:len(whole)-3], fileMode)
	j, _ = reopen(t, folder, 3)
	if err := j.take(&event{id: "e9", mark: "m", dest: 7, deadline: 1 << 60}, "alert", "acme"); err != nil {
		t.Fatal(err)
	}
	_, owed := reopen(t, folder, 3)
	check(t, owed, 3)
	// Damage elsewhere costs that record alone.
	text, _ := os.ReadFile(name)
	at := bytes.Index(text, []byte("a\r\n\x00b"))
	text[at] ^= 1
	_ = os.WriteFile(name, text, fileMode)
	_, owed = reopen(t, folder, 3)
	check(t, owed, 2)
}

func TestJournalKeepsToItsRoomAndRefusesBeforeTakingOn(t *testing.T) {
	for _, size := range []int{0, 300, longBody - 1, longBody, mostBody} {
		folder, limit := t.TempDir(), 1.0
		j, _ := reopen(t, folder, limit)
		var live []*event
		full := 0
		for i := range 3000 {
			e := &event{id: fmt.Sprintf("%016x", i), mark: "m", dest: 7, deadline: 1 << 60, body: make([]byte, size)}
			switch err := j.take(e, "alert", "acme"); {
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
				_ = j.began(last, n, 1<<60, "a-zone-of-some-length")
				j.ended(last, n, port.Declined)
			}
			// While it is written anew the old file, the new one and the bodies lie side by side.
			if used := folderSize(t, folder); used+blocks(int(j.live)) > int64(limit*1e6) {
				t.Fatalf("%d bytes on disk, and %d more when written anew", used, j.live)
			}
			if i%3 == 0 {
				j.over(live[0])
				live = live[1:]
			}
		}
		if full == 0 && size > 0 {
			t.Errorf("bodies of %d bytes never filled the folder", size)
		}
		if _, owed := reopen(t, folder, limit); len(owed) != len(live) {
			t.Errorf("bodies of %d bytes: %d owed, want %d", size, len(owed), len(live))
		}
	}
}

func TestSendThatNeverBeganIsNoneThatMayHaveRun(t *testing.T) {
	folder := t.TempDir()
	j, _ := reopen(t, folder, 3)
	e := &event{id: "e"}
	if err := j.take(e, "alert", "acme"); err != nil {
		t.Fatal(err)
	}
	j.ended(e, 0, port.Unsent) // given up before it began
	_ = j.began(e, 1, 50, "zone")
	j.ended(e, 1, port.Declined)
	for range 2 {
		_, owed := reopen(t, folder, 3)
		want := []sent{{50, "zone", true, port.Unsent}, {50, "zone", true, port.Declined}}
		if !slices.Equal(owed[0].past, want) {
			t.Errorf("sends %+v", owed[0].past)
		}
	}
}

func TestJournalTellsEventsOfOneIdApart(t *testing.T) {
	folder := t.TempDir()
	j, _ := reopen(t, folder, 3)
	first, second := &event{id: "e"}, &event{id: "e"}
	_ = j.take(first, "alert", "acme")
	_ = j.began(first, 0, 50, "zone")
	j.over(first)
	_ = j.take(second, "alert", "acme")
	j.ended(first, 0, port.Acked)
	j.over(first)
	if err := j.began(first, 1, 60, "zone"); !errors.Is(err, errOver) {
		t.Errorf("a send of the former began: %v", err)
	}
	if _, owed := reopen(t, folder, 3); len(owed) != 1 || len(owed[0].past) != 0 {
		t.Errorf("owed %+v", owed)
	}
}

func TestJournalForgetsBodiesThatNothingRefersTo(t *testing.T) {
	folder := t.TempDir()
	j, _ := reopen(t, folder, 3)
	fill(t, j)
	orphan := j.body(99)
	_ = os.WriteFile(orphan, make([]byte, mostBody), fileMode)
	_ = os.WriteFile(j.name+nextName, make([]byte, mostBody), fileMode)
	_, owed := reopen(t, folder, 3)
	check(t, owed, 3)
	if size := folderSize(t, folder); size > 70<<10 {
		t.Errorf("%d bytes left on disk", size)
	}
	_ = os.Remove(j.body(1))
	if _, owed = reopen(t, folder, 3); owed[2].verdict != discarded {
		t.Error("an event whose body is gone must be discarded")
	}
}

func TestAJournalIsReadWithoutChangingIt(t *testing.T) {
	folder := t.TempDir()
	j, _ := reopen(t, folder, 3)
	fill(t, j)
	name := filepath.Join(folder, fileName)
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	look := func(what string, text []byte, owed, torn, faults int) {
		t.Helper()
		if err := os.WriteFile(name, text, 0o600); err != nil {
			t.Fatal(err)
		}
		before := folderSize(t, folder)
		r, err := ReadJournal(folder)
		if err != nil || len(r.Owed) != owed || (r.Torn > 0) != (torn > 0) || len(r.Faults) != faults {
			t.Errorf("%s: %+v, %v", what, r, err)
		}
		if after, _ := os.ReadFile(name); !bytes.Equal(after, text) || folderSize(t, folder) != before {
			t.Errorf("%s: reading changed the folder", what)
		}
	}
	look("as written", text, 3, 0, 0)
	look("cut off", text[:len(text)-3], 2, 1, 0) // the last record takes an event on
	broken := bytes.Clone(text)
	broken[frameSize+3] ^= 1 // in the first record
	look("damaged", broken, 3, 0, 1)
	r, err := ReadJournal(folder)
	if err != nil || !strings.Contains(strings.Join(r.Faults, ""), name+": offset 0: ") {
		t.Errorf("the fault does not name file and offset: %v, %v", r.Faults, err)
	}
	bodies, _ := filepath.Glob(name + bodyName + "*")
	if len(bodies) != 1 || os.Remove(bodies[0]) != nil {
		t.Fatalf("bodies: %v", bodies)
	}
	look("without a body", text, 3, 0, 1)
	if _, err := ReadJournal(t.TempDir()); err == nil {
		t.Error("a folder without a journal passes for a good one")
	}
}
