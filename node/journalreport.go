package node

import (
	"fmt"
	"io/fs"
	"path/filepath"
	"time"

	"jaspersill/store"
)

// PendingEvent is an event in a state folder that has not been completed.
type PendingEvent struct {
	ID, Kind, Owner, IdempotencyKey string
	Dest                            uint32
	Deadline                        time.Time
	Attempts                        int
	MayHaveRun                      bool   // an attempt is open, or ended without a known result
	Resolution                      string // open, declined or discarded
	BodyBytes                       int
}

// JournalReport describes the content of a state folder.
type JournalReport struct {
	Pending     []PendingEvent
	SizeBytes   int64    // total size of the files
	Records     int      // number of readable records
	TornBytes   int      // bytes of an incomplete record at the end, which are ignored
	RecordsLost bool     // events recorded before the missing records count as possibly run
	Faults      []string // file, offset and reason of each damaged, missing or foreign part
}

func (r resolution) String() string { return [...]string{"open", "declined", "discarded"}[r] }

// ReadJournal reads the journal of a state folder, in the current or the legacy format. It changes nothing, and the
// node may be running. Damage is part of the report; an error means that the folder cannot be read or has no journal.
func ReadJournal(folder string) (*JournalReport, error) {
	if !hasJournal(folder) {
		return nil, fmt.Errorf("%s: no journal found: %w", folder, fs.ErrNotExist)
	}
	found, err := store.Recover(store.Dir(folder))
	if err != nil {
		return nil, err
	}
	r := &JournalReport{SizeBytes: found.Size, Records: found.Records,
		TornBytes: found.TornBytes, RecordsLost: found.RecordsLost}
	for _, fault := range found.Faults {
		r.Faults = append(r.Faults, filepath.Join(folder, fault))
	}
	addFault := func(offset int, reason string) {
		r.Faults = append(
			r.Faults,
			fmt.Sprintf("%s: offset %d: %s", filepath.Join(folder, legacyName), offset, reason),
		)
	}
	list := found.Events
	old, err := readLegacyJournal(folder, addFault)
	if err != nil {
		return nil, err
	}
	if old != nil {
		for _, e := range old.pendingEvents(addFault) {
			list = append(list, &e)
		}
	}
	for _, e := range list {
		r.Pending = append(r.Pending, PendingEvent{ID: e.ID, Kind: e.Kind, Owner: e.Owner,
			IdempotencyKey: e.IdempotencyKey, Dest: e.Dest, Deadline: time.Unix(0, e.Deadline), Attempts: len(e.Attempts), Resolution: resolution(e.Resolution).String(),
			BodyBytes: len(e.Body), MayHaveRun: e.MayHaveRun()})
	}
	return r, nil
}
