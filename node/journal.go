package node

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"jaspersill/errclass"
	"jaspersill/logs"
	"jaspersill/port"
	"jaspersill/store"
)

// journal is what the delivery node owes, in a store that outlasts the process.
type journal struct {
	disk trouble

	store *store.Store
	day   func() int64
	stop  chan struct{}
	done  chan struct{}
}

const (
	compactBytes = 64 << 10              // of one step of compaction: it shares the disk with those who write
	compactRest  = 20 * time.Millisecond // between looks at whether there is something to compact
)

var (
	errFull  = store.ErrFull
	errOver  = store.ErrOver
	errKnown = store.ErrKnown
	errEnded = store.ErrEnded
)

// openJournal opens the folder's store and returns the events that it still owes, in the order of their
// coming. What an older version kept is carried over. find maps the names of a stream type and a customer to
// their indices, and day tells the time of day.
func openJournal(folder string, disk store.Folder, day func() int64, limitMB float64, sends int,
	find func(kind, owner string) (int, int, bool)) (*journal, []*event, error) {
	s, found, err := store.Open(disk, int64(limitMB*1e6), sends, store.Never, day)
	if err != nil {
		return nil, nil, err
	}
	j := &journal{
		store: s,
		day:   day,
		disk:  trouble{part: "journal", what: "writing a record"},
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	for _, fault := range found.Faults {
		logs.Part("journal").
			WithField("fault", fault).
			Error("the store is damaged; the next lines say what is owed")
	}
	if found.Size > 0 {
		logs.Part("journal").WithField("records", found.Records).WithField("owed", len(found.Events)).
			WithField("cut_off", found.Torn).WithField("lost", found.Lost).Info("the store was read")
	}
	list, err := j.carryOver(folder, found.Events)
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
			&event{id: o.ID, came: o.Came, mark: o.Mark, typ: typ, customer: customer, dest: o.Dest,
				deadline: o.Deadline, body: o.Body, past: o.Sends, sends: len(o.Sends), verdict: verdict(o.Verdict),
				comeBack: o.ComeBack, steps: make(chan step, maxSteps)},
		)
	}
	go j.compact()
	return j, events, nil
}

// carryOver takes in what an older version kept. A crash on the way leaves both, and the store's word counts.
func (j *journal) carryOver(folder string, list []*store.Event) ([]*store.Event, error) {
	damaged := func(offset int, reason string) {
		logs.Part("journal").WithField("file", oldName).WithField("offset", offset).Error(reason)
	}
	old, err := readOld(folder, damaged)
	if old == nil || err != nil {
		return list, err
	}
	for _, e := range old.events(damaged) {
		var came uint64
		err := errclass.Retry(errclass.File, carryWithin, carryAgain, func() (err error) {
			came, err = j.store.Take(e)
			return err
		})
		if errors.Is(err, errKnown) || errors.Is(err, errEnded) {
			continue
		}
		if err != nil {
			return nil, err
		}
		e.Came = came
		list = append(list, &e)
	}
	return list, old.remove()
}

// compact empties old segments, a step at a time, until close.
func (j *journal) compact() {
	defer close(j.done)
	for {
		more, err := j.store.Compact(compactBytes)
		if err != nil {
			j.disk.note(err)
		}
		rest := compactRest
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
	j.disk.note(j.store.Close())
}

// take writes that an event was taken on.
func (j *journal) take(e *event, kind, owner string) (err error) {
	e.came, err = j.store.Take(store.Event{ID: e.id, Kind: kind, Owner: owner, Mark: e.mark, Dest: e.dest,
		Deadline: e.deadline, Body: e.body})
	return err
}

// began writes that a send goes out. Where it fails, nothing may go.
func (j *journal) began(e *event, number int, at int64, zone string) error {
	return j.store.RecordAttempt(e.id, e.came, number, at, zone)
}

// ended writes how a send ended.
func (j *journal) ended(e *event, number int, how port.Outcome) *store.Receipt {
	return j.store.RecordOutcome(e.id, e.came, number, how)
}

// decide writes how an event ends whose notice is still owed.
func (j *journal) decide(e *event) *store.Receipt {
	return j.store.Resolve(e.id, e.came, store.Verdict(e.verdict), e.comeBack)
}

// decideBriefly is decide for an event of which nothing but its notice may still be needed.
func (j *journal) decideBriefly(e *event, v verdict) *store.Receipt {
	return j.store.ResolveBriefly(e.id, e.came, store.Verdict(v))
}

// over writes that nothing more is owed for an event.
func (j *journal) over(e *event) *store.Receipt { return j.forget(e.id, e.came) }

// forget is over for an event that is known by its id and its place in the order of coming. One that comes again under
// its id is known for a while, also to the next process.
func (j *journal) forget(id string, came uint64) *store.Receipt {
	return j.store.Complete(id, came, j.day()+int64(completedIDRetention))
}

// owed counts the events that are owed an end.
func (j *journal) owed() int { return j.store.Owed() }

// empty tells whether nothing is owed.
func (j *journal) empty() bool { return j.store.Empty() }

// settled tells whether all that is known is written.
func (j *journal) settled() bool { return j.store.Unwritten() == 0 }

// hasJournal tells whether a folder holds what a node owes, in either form.
func hasJournal(folder string) bool {
	segments, _ := filepath.Glob(filepath.Join(folder, "seg-*"))
	_, err := os.Stat(filepath.Join(folder, oldName))
	return len(segments) > 0 || err == nil
}
