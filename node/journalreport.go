package node

import (
	"fmt"
	"io/fs"
	"path/filepath"
	"time"

	"jaspersill/store"
)

// PendingEvent is one event that a folder still owes an end.
type PendingEvent struct {
	ID, Kind, Owner, IdempotencyKey string
	Dest                            uint32
	Deadline                        time.Time
	Attempts                        int
	MayHaveRun                      bool   // a send is out, or ended without telling
	Verdict                         string // open, declined or discarded
	BodyBytes                       int    // bytes
}

// JournalReport is what a folder holds. Reading it changes nothing.
type JournalReport struct {
	Pending        []PendingEvent
	SizeBytes      int64    // bytes of the files
	Records        int      // that could be read
	TruncatedBytes int      // bytes at the end that were cut off
	RecordsMissing bool     // records are missing, so that what stood before them counts as possibly run
	Faults         []string // file, offset and reason of what is damaged, missing or foreign
}

func (v resolution) String() string { return [...]string{"open", "declined", "discarded"}[v] }

// ReadJournal reads what a folder holds, of a node that runs or not, in the form of this version or the one
// before. Damage is told in the report; the error is for a folder that cannot be read or holds nothing.
func ReadJournal(folder string) (*JournalReport, error) {
	if !hasJournal(folder) {
		return nil, fmt.Errorf("%s: nothing that a node owes: %w", folder, fs.ErrNotExist)
	}
	found, err := store.Recover(store.Dir(folder))
	if err != nil {
		return nil, err
	}
	r := &JournalReport{SizeBytes: found.Size, Records: found.Records, TruncatedBytes: found.TornBytes, RecordsMissing: found.RecordsLost}
	for _, fault := range found.Faults {
		r.Faults = append(r.Faults, filepath.Join(folder, fault))
	}
	damaged := func(offset int, reason string) {
		r.Faults = append(
			r.Faults,
			fmt.Sprintf("%s: offset %d: %s", filepath.Join(folder, legacyName), offset, reason),
		)
	}
	list := found.Events
	old, err := readLegacyJournal(folder, damaged)
	if err != nil {
		return nil, err
	}
	if old != nil {
		for _, e := range old.pendingEvents(damaged) {
			list = append(list, &e)
		}
	}
	for _, e := range list {
		r.Pending = append(r.Pending, PendingEvent{ID: e.ID, Kind: e.Kind, Owner: e.Owner, IdempotencyKey: e.IdempotencyKey, Dest: e.Dest,
			Deadline: time.Unix(0, e.Deadline), Attempts: len(e.Attempts), Verdict: resolution(e.Verdict).String(),
			BodyBytes: len(e.Body), MayHaveRun: e.MayHaveRun()})
	}
	return r, nil
}
