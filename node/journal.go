package node

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"jaspersill/delivery"
	"jaspersill/errclass"
	"jaspersill/logs"
	"jaspersill/store"
)

// journal holds the pending events of a delivery node, in a store that survives the process.
type journal struct {
	writeFailures failureLog

	store     *store.Store
	timeOfDay func() int64 // time of day in ns from clock.timeOfDay, which never steps
	stop      chan struct{}
	done      chan struct{}
}

const (
	compactionStepBytes = 64 << 10              // bytes per compaction step; kept small because compaction competes with writes for the disk
	compactionInterval  = 20 * time.Millisecond // between checks for compaction work
)

var (
	errFull             = store.ErrFull
	errNotPending       = store.ErrNotPending
	errAlreadyPending   = store.ErrAlreadyPending
	errAlreadyCompleted = store.ErrAlreadyCompleted
)

// openJournal opens the store in a folder and returns the events that are still pending, in order of arrival. The journal
// of an older version is imported. find maps the names of a stream type and a customer to their indices, and timeOfDay
// returns the time of day in ns, which must never step.
func openJournal(folder string, fsys store.FS, timeOfDay func() int64, limitMB float64, maxAttempts int,
	find func(kind, owner string) (int, int, bool)) (*journal, []*event, error) {
	s, recovered, err := store.Open(fsys, int64(limitMB*1e6), maxAttempts, store.SyncNever, timeOfDay)
	if err != nil {
		return nil, nil, err
	}
	j := &journal{
		store:         s,
		timeOfDay:     timeOfDay,
		writeFailures: failureLog{part: "journal", operation: "writing a record"},
		stop:          make(chan struct{}),
		done:          make(chan struct{}),
	}
	for _, fault := range recovered.Faults {
		logs.Part("journal").
			WithField("fault", fault).
			Error("store is damaged; the following lines report what was recovered")
	}
	if recovered.Size > 0 {
		logs.Part("journal").WithField("records", recovered.Records).WithField("pending", len(recovered.Events)).
			WithField("torn_bytes", recovered.TornBytes).WithField("records_lost", recovered.RecordsLost).Info("store recovered")
	}
	pending, err := j.importLegacy(folder, recovered.Events)
	if err != nil {
		s.Close()
		return nil, nil, err
	}
	var events []*event
	for _, stored := range pending {
		typ, customer, ok := find(stored.Kind, stored.Owner)
		if !ok { // even an event of a stream type that is no longer configured must be brought to an end
			logs.Event("journal", stored.ID).WithField("kind", stored.Kind).
				Error("discarding pending event of an unknown stream type")
			stored.Resolution = store.Discarded
		}
		events = append(
			events,
			&event{id: stored.ID, arrivalSeq: stored.ArrivalSeq, idempotencyKey: stored.IdempotencyKey, typ: typ, customer: customer, dest: stored.Dest,
				deadlineTimeOfDay: stored.Deadline, body: stored.Body, pastAttempts: stored.Attempts, attemptCount: len(stored.Attempts), resolution: resolution(stored.Resolution),
				retryAfter: stored.RetryAfter, updates: make(chan eventUpdate, updateBuffer)},
		)
	}
	go j.runCompaction()
	return j, events, nil
}

// importLegacy imports the journal of an older version. After a crash during the import both exist, and the store takes
// precedence.
func (j *journal) importLegacy(folder string, pending []*store.Event) ([]*store.Event, error) {
	reportDamage := func(offset int, reason string) {
		logs.Part("journal").WithField("file", legacyName).WithField("offset", offset).Error(reason)
	}
	legacy, err := readLegacyJournal(folder, reportDamage)
	if legacy == nil || err != nil {
		return pending, err
	}
	for _, e := range legacy.pendingEvents(reportDamage) {
		var arrivalSeq uint64
		err := errclass.Retry(errclass.File, legacyRetryTimeout, legacyRetryInterval, func() (err error) {
			arrivalSeq, err = j.store.Accept(e)
			return err
		})
		if errors.Is(err, errAlreadyPending) || errors.Is(err, errAlreadyCompleted) {
			continue
		}
		if err != nil {
			return nil, err
		}
		e.ArrivalSeq = arrivalSeq
		pending = append(pending, &e)
	}
	return pending, legacy.remove()
}

// runCompaction compacts old segments step by step until close.
func (j *journal) runCompaction() {
	defer close(j.done)
	for {
		more, err := j.store.Compact(compactionStepBytes)
		if err != nil {
			j.writeFailures.record(err)
		}
		pause := compactionInterval
		if more && err == nil {
			pause = time.Millisecond
		}
		select {
		case <-j.stop:
			return
		case <-time.After(pause):
		}
	}
}

func (j *journal) close() {
	close(j.stop)
	<-j.done
	j.writeFailures.record(j.store.Close())
}

// accept records an event as pending.
func (j *journal) accept(e *event, kind, owner string) (err error) {
	e.arrivalSeq, err = j.store.Accept(store.Event{ID: e.id, Kind: kind, Owner: owner, IdempotencyKey: e.idempotencyKey, Dest: e.dest,
		Deadline: e.deadlineTimeOfDay, Body: e.body})
	return err
}

// recordAttempt records that an attempt starts. If it returns an error, the request must not be sent.
func (j *journal) recordAttempt(e *event, number int, startedAt int64, zone string) error {
	return j.store.RecordAttempt(e.id, e.arrivalSeq, number, startedAt, zone)
}

// recordOutcome records how an attempt ended.
func (j *journal) recordOutcome(e *event, number int, outcome delivery.Outcome) *store.PendingWrite {
	return j.store.RecordOutcome(e.id, e.arrivalSeq, number, outcome)
}

// recordResolution records how an event ends, before its notice has been delivered.
func (j *journal) recordResolution(e *event) *store.PendingWrite {
	return j.store.RecordResolution(e.id, e.arrivalSeq, store.Resolution(e.resolution), e.retryAfter)
}

// recordResolutionAndTrim is recordResolution for an event that may at most need its notice delivered: its body and
// attempts are dropped from the journal.
func (j *journal) recordResolutionAndTrim(e *event, end resolution) *store.PendingWrite {
	return j.store.RecordResolutionAndTrim(e.id, e.arrivalSeq, store.Resolution(end))
}

// complete records that an event needs nothing more.
func (j *journal) complete(e *event) *store.PendingWrite { return j.completeByID(e.id, e.arrivalSeq) }

// withdraw records that an event needs nothing more and was never accepted: its id may be submitted again.
func (j *journal) withdraw(e *event) *store.PendingWrite {
	return j.store.Complete(e.id, e.arrivalSeq, 0)
}

// completeByID is complete for an event given by its id and arrival sequence number. The id is retained for
// completedIDRetention, also across restarts, so that a duplicate is detected.
func (j *journal) completeByID(id string, arrivalSeq uint64) *store.PendingWrite {
	return j.store.Complete(id, arrivalSeq, j.timeOfDay()+int64(completedIDRetention))
}

// pendingCount returns the number of pending events.
func (j *journal) pendingCount() int { return j.store.PendingCount() }

// empty reports whether no event is pending and no record is waiting to be written.
func (j *journal) empty() bool { return j.store.Empty() }

// allWritten reports whether every record has been written.
func (j *journal) allWritten() bool { return j.store.UnwrittenCount() == 0 }

// hasJournal reports whether a folder holds a journal in the current or the legacy format.
func hasJournal(folder string) bool {
	segments, _ := filepath.Glob(filepath.Join(folder, "seg-*"))
	_, err := os.Stat(filepath.Join(folder, legacyName))
	return len(segments) > 0 || err == nil
}
