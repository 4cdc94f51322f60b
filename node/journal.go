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

// journal is what the delivery node owes, in a store that outlasts the process.
type journal struct {
	writeFailures failureLog

	store     *store.Store
	wallClock func() int64
	stop      chan struct{}
	done      chan struct{}
}

const (
	compactionStepBytes = 64 << 10              // of one step of compaction: it shares the disk with those who write
	compactionInterval  = 20 * time.Millisecond // between looks at whether there is something to compact
)

var (
	errFull             = store.ErrFull
	errNotPending       = store.ErrNotPending
	errAlreadyPending   = store.ErrAlreadyPending
	errAlreadyCompleted = store.ErrAlreadyCompleted
)

// openJournal opens the folder's store and returns the events that it still owes, in the order of their
// coming. What an older version kept is carried over. find maps the names of a stream type and a customer to
// their indices, and day tells the time of day.
func openJournal(folder string, disk store.FS, day func() int64, limitMB float64, sends int,
	find func(kind, owner string) (int, int, bool)) (*journal, []*event, error) {
	s, found, err := store.Open(disk, int64(limitMB*1e6), sends, store.SyncNever, day)
	if err != nil {
		return nil, nil, err
	}
	j := &journal{
		store:         s,
		wallClock:     day,
		writeFailures: failureLog{part: "journal", operation: "writing a record"},
		stop:          make(chan struct{}),
		done:          make(chan struct{}),
	}
	for _, fault := range found.Faults {
		logs.Part("journal").
			WithField("fault", fault).
			Error("the store is damaged; the next lines say what is owed")
	}
	if found.Size > 0 {
		logs.Part("journal").WithField("records", found.Records).WithField("owed", len(found.Events)).
			WithField("cut_off", found.TornBytes).WithField("lost", found.RecordsLost).Info("the store was read")
	}
	list, err := j.importLegacy(folder, found.Events)
	if err != nil {
		s.Close()
		return nil, nil, err
	}
	var events []*event
	for _, o := range list {
		typ, customer, ok := find(o.Kind, o.Owner)
		if !ok { // danger: an event of a stream type that is no longer known still gets its end
			logs.Event("journal", o.ID).WithField("kind", o.Kind).
				Error("owed event of an unknown stream type is discarded")
			o.Verdict = store.Discarded
		}
		events = append(
			events,
			&event{id: o.ID, arrivalSeq: o.ArrivalSeq, idempotencyKey: o.IdempotencyKey, typ: typ, customer: customer, dest: o.Dest,
				wallDeadline: o.Deadline, body: o.Body, pastSends: o.Attempts, sendCount: len(o.Attempts), resolution: resolution(o.Verdict),
				retryAfter: o.RetryAfter, updates: make(chan eventUpdate, updateBuffer)},
		)
	}
	go j.runCompaction()
	return j, events, nil
}

// importLegacy takes in what an older version kept. A crash on the way leaves both, and the store's word counts.
func (j *journal) importLegacy(folder string, list []*store.Event) ([]*store.Event, error) {
	damaged := func(offset int, reason string) {
		logs.Part("journal").WithField("file", legacyName).WithField("offset", offset).Error(reason)
	}
	old, err := readLegacyJournal(folder, damaged)
	if old == nil || err != nil {
		return list, err
	}
	for _, e := range old.pendingEvents(damaged) {
		var came uint64
		err := errclass.Retry(errclass.File, legacyRetryTimeout, legacyRetryInterval, func() (err error) {
			came, err = j.store.Accept(e)
			return err
		})
		if errors.Is(err, errAlreadyPending) || errors.Is(err, errAlreadyCompleted) {
			continue
		}
		if err != nil {
			return nil, err
		}
		e.ArrivalSeq = came
		list = append(list, &e)
	}
	return list, old.remove()
}

// runCompaction empties old segments, a step at a time, until close.
func (j *journal) runCompaction() {
	defer close(j.done)
	for {
		more, err := j.store.Compact(compactionStepBytes)
		if err != nil {
			j.writeFailures.record(err)
		}
		rest := compactionInterval
		if more && err == nil {
			rest = time.Millisecond
		}
		select {
		case <-j.stop:
			return
		case <-time.After(rest):
		}
	}
}

func (j *journal) close() {
	close(j.stop)
	<-j.done
	j.writeFailures.record(j.store.Close())
}

// accept writes that an event was taken on.
func (j *journal) accept(e *event, kind, owner string) (err error) {
	e.arrivalSeq, err = j.store.Accept(store.Event{ID: e.id, Kind: kind, Owner: owner, IdempotencyKey: e.idempotencyKey, Dest: e.dest,
		Deadline: e.wallDeadline, Body: e.body})
	return err
}

// recordAttempt writes that a send goes out. Where it fails, nothing may go.
func (j *journal) recordAttempt(e *event, number int, at int64, zone string) error {
	return j.store.RecordAttempt(e.id, e.arrivalSeq, number, at, zone)
}

// recordOutcome writes how a send recordOutcome.
func (j *journal) recordOutcome(e *event, number int, how delivery.Outcome) *store.PendingWrite {
	return j.store.RecordOutcome(e.id, e.arrivalSeq, number, how)
}

// recordVerdict writes how an event ends whose notice is still owed.
func (j *journal) recordVerdict(e *event) *store.PendingWrite {
	return j.store.RecordVerdict(e.id, e.arrivalSeq, store.Verdict(e.resolution), e.retryAfter)
}

// recordVerdictAndTrim is decide for an event of which nothing but its notice may still be needed.
func (j *journal) recordVerdictAndTrim(e *event, v resolution) *store.PendingWrite {
	return j.store.RecordVerdictAndTrim(e.id, e.arrivalSeq, store.Verdict(v))
}

// complete writes that nothing more is owed for an event.
func (j *journal) complete(e *event) *store.PendingWrite { return j.completeByID(e.id, e.arrivalSeq) }

// completeByID is over for an event that is known by its id and its place in the order of coming. One that comes again under
// its id is known for a while, also to the next process.
func (j *journal) completeByID(id string, came uint64) *store.PendingWrite {
	return j.store.Complete(id, came, j.wallClock()+int64(completedIDRetention))
}

// pendingCount counts the events that are pendingCount an end.
func (j *journal) pendingCount() int { return j.store.PendingCount() }

// empty tells whether nothing is owed.
func (j *journal) empty() bool { return j.store.Empty() }

// allWritten tells whether all that is known is written.
func (j *journal) allWritten() bool { return j.store.UnwrittenCount() == 0 }

// hasJournal tells whether a folder holds what a node owes, in either form.
func hasJournal(folder string) bool {
	segments, _ := filepath.Glob(filepath.Join(folder, "seg-*"))
	_, err := os.Stat(filepath.Join(folder, legacyName))
	return len(segments) > 0 || err == nil
}
