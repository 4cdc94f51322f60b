package store

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Recovery is what a folder holds. Reading it changes nothing.
type Recovery struct {
	Events      []*Event         // owed, in the order of their coming, with their bodies
	Backoffs    map[string]int64 // until when, as time of day
	Outages     map[string]int64 // since when
	Completed   map[string]int64 // ids that are over, until when that is known
	Segments    int
	Size        int64    // bytes of all files of the store
	Records     int      // that could be read
	TornBytes   int      // bytes at the end of the log that were cut off
	RecordsLost bool     // records are missing: what stood before may have gone on
	Faults      []string // file, offset and reason of what is damaged, missing or foreign

	epoch, seq, number uint64
	mirror             int              // whole bytes of the mirror
	sizes              map[string]int64 // of each file
}

// longAgo is when a send went out of which nothing but that it may have is known: no window of repeats
// reaches so far.
const longAgo = 1

// Recover reads a folder without changing it. The error is for one that cannot be read; damage is told in
// Faults.
//
// Danger: where records are missing, one of them may have said that a charge went out, or that a destination
// told to wait. So every event whose state stands before a gap counts as one that may have run, and waits
// stand in two files.
func Recover(folder FS) (*Recovery, error) {
	names, err := folder.List()
	if err != nil {
		return nil, err
	}
	f := &Recovery{Backoffs: map[string]int64{}, Outages: map[string]int64{}, Completed: map[string]int64{},
		sizes: map[string]int64{}}
	var segs []read
	for _, name := range names {
		if !strings.HasPrefix(name, "seg-") && name != mirrorName {
			continue
		}
		text, err := folder.Read(name)
		if err != nil {
			return nil, err
		}
		f.Size += int64(len(text))
		f.sizes[name] = int64(len(text))
		h, err := readHead(text)
		if err != nil {
			f.fault(name, 0, err.Error())
			f.RecordsLost = true
			if name != mirrorName {
				segs = append(segs, read{name: name, bad: true})
			}
			continue
		}
		segs = append(segs, read{name: name, head: h, text: text})
	}
	f.epoch = epochOf(segs)
	var mirror *read
	segs = slices.DeleteFunc(segs, func(r read) bool {
		switch {
		case r.bad:
			return true
		case r.epoch != f.epoch:
			f.fault(r.name, 8, "it is of another store and is passed over")
			return true
		case r.name == mirrorName:
			mirror = &r
			return true
		}
		return false
	})
	slices.SortFunc(segs, func(a, b read) int { return cmp.Compare(a.number, b.number) })
	f.Segments = len(segs)
	l := loader{found: f, events: map[string]*loaded{}}
	for i := range segs {
		if i+1 < len(segs) {
			segs[i].endAt(&segs[i+1])
		}
		l.segment(&segs[i], i == 0, i == len(segs)-1)
	}
	if mirror != nil {
		l.mirror(mirror)
	} else if len(segs) > 0 && !f.hasFault(mirrorName) {
		f.fault(mirrorName, 0, "it is missing")
	}
	l.finish()
	return f, nil
}

// read is a file of the store as it was read.
type read struct {
	head
	name string
	text []byte
	bad  bool
}

// endAt cuts off what the next segment says was not written.
func (r *read) endAt(next *read) {
	if size := int(next.previousSize); next.number == r.number+1 && size >= headSize && size < len(r.text) {
		r.text = r.text[:size]
	}
}

// epochOf is the epoch that most files are of; of as many, the later's.
func epochOf(files []read) (epoch uint64) {
	count, last := map[uint64]int{}, map[uint64]uint64{}
	for _, r := range files {
		if !r.bad {
			count[r.epoch]++
			last[r.epoch] = max(last[r.epoch], r.number)
		}
	}
	for e := range count {
		if epoch == 0 || count[e] > count[epoch] ||
			(count[e] == count[epoch] && (last[e] > last[epoch] || (last[e] == last[epoch] && e > epoch))) {
			epoch = e
		}
	}
	return epoch
}

func (f *Recovery) fault(name string, offset int, reason string) {
	f.Faults = append(f.Faults, fmt.Sprintf("%s: offset %d: %s", name, offset, reason))
}

func (f *Recovery) hasFault(name string) bool {
	return slices.ContainsFunc(f.Faults, func(text string) bool { return strings.HasPrefix(text, name+":") })
}

// loaded is an event with the sequence number of its state.
type loaded struct {
	event *Event
	seq   uint64
}

// loader puts records together.
type loader struct {
	found  *Recovery
	events map[string]*loaded
	gap    uint64 // what stands before this may have gone on
}

// segment reads one segment's records.
func (l *loader) segment(r *read, first, last bool) {
	f := l.found
	f.number = max(f.number, r.number)
	if !first && r.first != f.seq+1 {
		f.fault(r.name, 24, fmt.Sprintf("records %d to %d are missing before it", f.seq+1, r.first-1))
		l.lost(r.first)
	}
	f.seq = max(f.seq, r.first-1)
	for at := headSize; at < len(r.text); {
		payload, seq, size, torn, err := next(r.text[at:])
		if torn {
			rest := r.text[at:]
			switch {
			case hasRecordBehind(rest, f.seq):
				f.fault(r.name, at, "a record whose length is wrong")
				l.lost(f.seq + 1)
			case last: // half a record that a kill left: nobody was told that it is written
				f.TornBytes = len(rest)
			}
			return
		}
		if err != nil {
			f.fault(r.name, at, err.Error())
			l.lost(f.seq + 1)
			if size == 0 {
				return
			}
			at += size
			f.seq++
			continue
		}
		if seq != f.seq+1 {
			f.fault(r.name, at, fmt.Sprintf("record %d where %d is due", seq, f.seq+1))
			l.lost(seq)
		}
		f.seq = max(f.seq, seq)
		if !l.apply(payload, seq) {
			f.fault(r.name, at, "a record that makes no sense")
			l.lost(seq)
		} else {
			f.Records++
		}
		at += size
	}
}

// hasRecordBehind tells whether bytes that end within a record, going by its length, hold records that were whole:
// its own, under another length, or later ones. Then the length is damaged.
func hasRecordBehind(rest []byte, seq uint64) bool {
	for at := range rest {
		if len(rest)-at <= frameSize {
			return false
		}
		number := le.Uint64(rest[at+8:])
		if number <= seq || number-seq > uint64(len(rest)) {
			continue
		}
		if payload := rest[at+frameSize:]; checksum(rest[at:], payload) == le.Uint32(rest[at+4:]) {
			return true
		}
		if payload, _, _, torn, err := next(rest[at:]); err == nil && !torn && len(payload) > 0 {
			return true
		}
	}
	return false
}

func (l *loader) lost(before uint64) {
	l.found.RecordsLost = true
	l.gap = max(l.gap, before)
}

// apply takes one record in; false for one that makes no sense.
func (l *loader) apply(payload []byte, seq uint64) bool {
	f := Decoder{rest: payload}
	k := kind(f.byte())
	if k == recState {
		e := readState(&f)
		if e == nil || len(f.rest) > 0 {
			return false
		}
		l.events[e.ID] = &loaded{e, seq}
		delete(l.found.Completed, e.ID)
		return true
	}
	name := f.text()
	o := l.events[name]
	switch k {
	case recBegan:
		number, s := int(f.byte()), Attempt{StartedAt: f.number(), Zone: f.text()}
		if f.bad {
			return false
		}
		if o != nil {
			o.event.BeginAttempt(number, s)
		}
	case recEnded:
		number, how := int(f.byte()), outcome(f.byte())
		if f.bad {
			return false
		}
		if o != nil && number < len(o.event.Attempts) {
			o.event.Attempts[number].Ended, o.event.Attempts[number].Outcome = true, how
		}
	case recDecide:
		v, comeBack := Verdict(f.byte()), f.number()
		if f.bad || v > Discarded {
			return false
		}
		if o != nil {
			o.event.Verdict, o.event.RetryAfter = v, comeBack
		}
	case recOver:
		until := f.number()
		if f.bad {
			return false
		}
		delete(l.events, name)
		if until > 0 {
			l.found.Completed[name] = max(l.found.Completed[name], until)
		}
	case recWait, recOutage:
		value := f.number()
		if f.bad {
			return false
		}
		l.mark(k, name, value)
	default:
		return false
	}
	return !f.bad && len(f.rest) == 0
}

// mark takes in a wait, which is never made shorter, or an outage.
func (l *loader) mark(k kind, name string, value int64) {
	f := l.found
	switch {
	case k == recWait:
		f.Backoffs[name] = max(f.Backoffs[name], value)
	case value == 0:
		delete(f.Outages, name)
	default:
		f.Outages[name] = value
	}
}

// mirror takes in the second copy of waits and outages: it makes up for what the log lost, and has no say
// where the log is whole.
func (l *loader) mirror(r *read) {
	f := l.found
	outages := map[string]int64{}
	at := headSize
	for at < len(r.text) {
		payload, _, size, torn, err := next(r.text[at:])
		if torn || (err != nil && size == 0) {
			break
		}
		if err != nil {
			f.fault(r.name, at, err.Error())
			at += size
			continue
		}
		d := Decoder{rest: payload}
		k, name, value := kind(d.byte()), d.text(), d.number()
		if d.bad || (k != recWait && k != recOutage) {
			f.fault(r.name, at, "a record that makes no sense")
		} else if k == recWait {
			l.mark(k, name, value)
		} else {
			outages[name] = value
		}
		at += size
	}
	f.mirror = at
	if at < len(r.text) {
		f.fault(r.name, at, "it is cut off from here on")
	}
	for name, since := range outages {
		if _, known := f.Outages[name]; f.RecordsLost && since != 0 && !known {
			f.Outages[name] = since
		}
	}
}

// finish puts the events in order, and doubts those before a gap.
func (l *loader) finish() {
	for _, o := range l.events {
		if e := o.event; o.seq < l.gap && e.Verdict == Undecided && !e.MayHaveRun() &&
			len(e.Attempts) < mostSends {
			e.Attempts = append(e.Attempts, Attempt{StartedAt: longAgo})
		}
		l.found.Events = append(l.found.Events, o.event)
	}
	slices.SortFunc(l.found.Events, func(a, b *Event) int { return cmp.Compare(a.ArrivalSeq, b.ArrivalSeq) })
}

// Open opens a folder's store, or begins one, and returns what it holds. most is how many bytes its files may
// take, 0 for 256 MiB; sends how many an event may have; clock tells the time of day in ns. Only one process
// may have it open. Calls that fail for a moment are tried again.
func Open(folder FS, most int64, sends int, sync SyncPolicy, clock func() int64) (*Store, *Recovery, error) {
	var release func()
	err := again(func() (err error) {
		release, err = folder.Lock()
		return err
	})
	if err != nil {
		return nil, nil, err
	}
	var found *Recovery
	err = again(func() (err error) {
		found, err = Recover(folder)
		return err
	})
	if err != nil {
		release()
		return nil, nil, err
	}
	s := newStore(folder, most, sends, sync, clock, found)
	s.release = release
	if err := s.begin(found); err != nil {
		if s.file != nil {
			s.file.Close()
		}
		release()
		return nil, nil, err
	}
	go s.runWriter()
	return s, found, nil
}

func newStore(folder FS, most int64, sends int, sync SyncPolicy, clock func() int64, found *Recovery) *Store {
	if most <= 0 {
		most = noLimit
	}
	most -= slackSize
	s := &Store{folder: folder, most: most, sync: sync, sends: sends, clock: clock,
		segSize: min(max(most/segments, leastSeg), mostSeg),
		from:    most / compactFrom, epoch: found.epoch, seq: found.seq, closing: make(chan struct{}),
		writerDone: make(chan struct{}),
		events:     map[string]*item{}, past: map[string]*item{}, waits: map[string]*item{},
		outages: map[string]*item{}}
	s.work.L = &s.mu
	if s.epoch == 0 {
		s.epoch = newEpoch()
	}
	return s
}

// begin writes all that is kept anew into new segments, and removes the old ones. A crash on the way leaves
// both.
//
// All is written anew since what is appended behind a torn record would be lost with it, and a doubt that is not
// written down would be forgotten by the next start.
func (s *Store) begin(found *Recovery) error {
	var names []string
	err := again(func() (err error) {
		names, err = s.folder.List()
		return err
	})
	if err != nil {
		return err
	}
	s.segs = []*segment{{number: found.number}} // to count from
	if err := again(s.roll); err != nil {
		return err
	}
	s.segs = s.segs[1:]
	if err := s.rewriteEvents(found.Events); err != nil {
		return err
	}
	s.queueMarks(found)
	if err := s.flushQueue(); err != nil {
		return err
	}
	if err := again(s.rewriteMirror); err != nil {
		return err
	}
	s.removeFormer(names, found)
	return nil
}

func (s *Store) rewriteEvents(events []*Event) error {
	for _, e := range events {
		s.came = max(s.came, e.ArrivalSeq)
		kept := *e
		kept.Body = nil
		kept.Attempts = slices.Clone(e.Attempts)
		it := &item{event: &kept, kind: recState, need: int32(s.need(e))}
		s.keep(it)
		s.put(it, recState, len(e.Body), e.state)
		if s.pending > s.segSize {
			if err := s.flushQueue(); err != nil {
				return err
			}
		}
	}
	return nil
}

// queueMarks queues the waits, the outages and the ids that are over, as far as they are still in force.
func (s *Store) queueMarks(found *Recovery) {
	now := s.clock()
	for _, table := range []struct {
		kind kind
		of   map[string]int64
	}{{recOver, found.Completed}, {recWait, found.Backoffs}, {recOutage, found.Outages}} {
		for name, value := range table.of {
			if table.kind != recOutage && value <= now {
				continue
			}
			it := &item{
				name:  name,
				until: value,
				kind:  table.kind,
				need:  int32(2 * (frameSize + 24 + len(name))),
			}
			s.keep(it)
			s.put(it, table.kind, 0, func(to []byte) []byte { return append(putText(to, name), varint(value)...) })
		}
	}
}

// flushQueue writes what is queued, before there is a writer.
func (s *Store) flushQueue() error {
	batch := s.entries
	s.entries = nil
	return again(func() error {
		written, err := s.appendBatch(batch)
		batch = batch[written:]
		return err
	})
}

// removeFormer removes the segments of former processes, oldest first. Where one cannot be removed, it and those
// behind it are left to Compact.
func (s *Store) removeFormer(names []string, found *Recovery) {
	own := map[string]bool{}
	for _, g := range s.segs {
		own[g.name()] = true
	}
	var former []*segment
	slices.Sort(names)
	for _, name := range names {
		foreign := found.hasFault(name) && found.foreign(name)
		if !strings.HasPrefix(name, "seg-") || own[name] || foreign {
			continue
		}
		if len(former) == 0 && s.folder.Remove(name) == nil {
			continue
		}
		former = append(former, &segment{former: name, stale: true, size: found.sizes[name]})
	}
	s.segs = append(former, s.segs...)
}

// foreign tells whether a file was passed over as another store's: it is left where it is.
func (f *Recovery) foreign(name string) bool {
	return slices.ContainsFunc(f.Faults, func(text string) bool {
		return strings.HasPrefix(text, name+":") && strings.Contains(text, "another store")
	})
}
