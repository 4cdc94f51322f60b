package node

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Owed is one event that a folder's journal still owes an end.
type Owed struct {
	ID, Kind, Owner, Mark string
	Dest                  uint32
	Deadline              time.Time
	Sends                 int
	MayHaveRun            bool   // a send is out, or ended without telling
	Verdict               string // open, declined or discarded
	Body                  int64  // bytes
}

// Report is what a folder's journal holds. Reading it changes nothing.
type Report struct {
	Owed    []Owed
	Size    int64    // bytes of the journal's file
	Records int      // that could be read
	Torn    int      // bytes at the end that were cut off, as by a kill; they are no damage
	Faults  []string // file, offset and reason of what is damaged or missing
	Spare   []string // files that the next start removes
}

func (v verdict) String() string { return [...]string{"open", "declined", "discarded"}[v] }

// ReadJournal reads the journal in a folder, of a node that runs or not. Damage is told in the report; the
// error is for a folder that cannot be read or has no journal.
func ReadJournal(folder string) (*Report, error) {
	j := &journal{name: filepath.Join(folder, fileName), owed: make(map[string]*entry)}
	text, err := os.ReadFile(j.name)
	if err != nil {
		return nil, err
	}
	r := &Report{Size: int64(len(text))}
	fault := func(name string, offset int, reason string) {
		r.Faults = append(r.Faults, fmt.Sprintf("%s: offset %d: %s", name, offset, reason))
	}
	r.Records, r.Torn = j.replay(text, func(offset int, reason string) { fault(j.name, offset, reason) })
	bodies := make(map[string]bool)
	for _, o := range j.order {
		if o.over {
			continue
		}
		w := Owed{ID: o.e.id, Kind: o.kind, Owner: o.owner, Mark: o.e.mark, Dest: o.e.dest,
			Deadline: time.Unix(0, o.e.deadline), Sends: len(o.past), Verdict: o.verdict.String(),
			Body:       int64(len(o.e.body)),
			MayHaveRun: slices.ContainsFunc(o.past, func(s sent) bool { return !s.ended || s.how.MayHaveRun() })}
		if o.file > 0 {
			name := j.body(o.file)
			bodies[name] = true
			if info, err := os.Stat(name); errors.Is(err, fs.ErrNotExist) {
				fault(name, 0, "the body of event "+o.e.id+" is missing: it would be discarded")
			} else if err != nil {
				return nil, err
			} else if w.Body = info.Size(); blocks(int(w.Body)) != o.long {
				fault(name, int(w.Body), "the body of event "+o.e.id+" ends too soon or too late")
			}
		}
		r.Owed = append(r.Owed, w)
	}
	names, err := filepath.Glob(j.name + ".*")
	for _, name := range names {
		if strings.HasPrefix(name, j.name+bodyName) && bodies[name] {
			continue
		}
		r.Spare = append(r.Spare, name)
	}
	return r, err
}
