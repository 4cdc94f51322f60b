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

	epoch, seq, lastSegment uint64
	mirrorSize              int              // whole bytes of the mirror
	fileSizes               map[string]int64 // of each file
}

// unknownStart is when a send went out of which nothing but that it may have is known: no window of repeats
// reaches so far.
const unknownStart = 1

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
		fileSizes: map[string]int64{}}
	var segs []segmentFile
	for _, name := range names {
		if !strings.HasPrefix(name, "seg-") && name != mirrorName {
			continue
		}
		text, err := folder.Read(name)
		if err != nil {
			return nil, err
		}
		f.Size += int64(len(text))
		f.fileSizes[name] = int64(len(text))
		h, err := decodeHeader(text)
		if err != nil {
			f.addFault(name, 0, err.Error())
			f.RecordsLost = true
			if name != mirrorName {
				segs = append(segs, segmentFile{name: name, invalidHeader: true})
			}
			continue
		}
		segs = append(segs, segmentFile{name: name, segmentHeader: h, data: text})
	}
	f.epoch = majorityEpoch(segs)
	var mirror *segmentFile
	segs = slices.DeleteFunc(segs, func(r segmentFile) bool {
		switch {
		case r.invalidHeader:
			return true
		case r.epoch != f.epoch:
			f.addFault(r.name, 8, "it is of another store and is passed over")
			return true
		case r.name == mirrorName:
			mirror = &r
			return true
		}
		return false
	})
	slices.SortFunc(segs, func(a, b segmentFile) int { return cmp.Compare(a.number, b.number) })
	f.Segments = len(segs)
	l := loader{recovery: f, events: map[string]*loadedEvent{}}
	for i := range segs {
		if i+1 < len(segs) {
			segs[i].truncateTo(&segs[i+1])
		}
		l.loadSegment(&segs[i], i == 0, i == len(segs)-1)
	}
	if mirror != nil {
		l.loadMirror(mirror)
	} else if len(segs) > 0 && !f.hasFault(mirrorName) {
		f.addFault(mirrorName, 0, "it is missing")
	}
	l.finish()
	return f, nil
}

// segmentFile is a file of the store as it was segmentFile.
type segmentFile struct {
	segmentHeader
	name          string
	data          []byte
	invalidHeader bool
}

// truncateTo cuts off what the next segment says was not written.
func (r *segmentFile) truncateTo(next *segmentFile) {
	if size := int(next.previousSize); next.number == r.number+1 && size >= headerSize && size < len(r.data) {
		r.data = r.data[:size]
	}
}

// majorityEpoch is the epoch that most files are of; of as many, the later's.
func majorityEpoch(files []segmentFile) (epoch uint64) {
	count, last := map[uint64]int{}, map[uint64]uint64{}
	for _, r := range files {
		if !r.invalidHeader {
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

func (f *Recovery) addFault(name string, offset int, reason string) {
	f.Faults = append(f.Faults, fmt.Sprintf("%s: offset %d: %s", name, offset, reason))
}

func (f *Recovery) hasFault(name string) bool {
	return slices.ContainsFunc(f.Faults, func(text string) bool { return strings.HasPrefix(text, name+":") })
}

// loadedEvent is an event with the sequence number of its state.
type loadedEvent struct {
	event *Event
	seq   uint64
}

// loader puts records together.
type loader struct {
	recovery      *Recovery
	events        map[string]*loadedEvent
	doubtedBefore uint64 // what stands before this may have gone on
}

// loadSegment reads one loadSegment's records.
func (l *loader) loadSegment(r *segmentFile, first, last bool) {
	f := l.recovery
	f.lastSegment = max(f.lastSegment, r.number)
	if !first && r.firstSeq != f.seq+1 {
		f.addFault(r.name, 24, fmt.Sprintf("records %d to %d are missing before it", f.seq+1, r.firstSeq-1))
		l.markLost(r.firstSeq)
	}
	f.seq = max(f.seq, r.firstSeq-1)
	for at := headerSize; at < len(r.data); {
		payload, seq, size, torn, err := decodeFrame(r.data[at:])
		if torn {
			rest := r.data[at:]
			switch {
			case hasIntactRecord(rest, f.seq):
				f.addFault(r.name, at, "a record whose length is wrong")
				l.markLost(f.seq + 1)
			case last: // half a record that a kill left: nobody was told that it is written
				f.TornBytes = len(rest)
			}
			return
		}
		if err != nil {
			f.addFault(r.name, at, err.Error())
			l.markLost(f.seq + 1)
			if size == 0 {
				return
			}
			at += size
			f.seq++
			continue
		}
		if seq != f.seq+1 {
			f.addFault(r.name, at, fmt.Sprintf("record %d where %d is due", seq, f.seq+1))
			l.markLost(seq)
		}
		f.seq = max(f.seq, seq)
		if !l.apply(payload, seq) {
			f.addFault(r.name, at, "a record that makes no sense")
			l.markLost(seq)
		} else {
			f.Records++
		}
		at += size
	}
}

// hasIntactRecord tells whether bytes that end within a record, going by its length, hold records that were whole:
// its own, under another length, or later ones. Then the length is damaged.
func hasIntactRecord(rest []byte, seq uint64) bool {
	for at := range rest {
		if len(rest)-at <= frameHeaderSize {
			return false
		}
		number := le.Uint64(rest[at+8:])
		if number <= seq || number-seq > uint64(len(rest)) {
			continue
		}
		if payload := rest[at+frameHeaderSize:]; checksum(rest[at:], payload) == le.Uint32(rest[at+4:]) {
			return true
		}
		if payload, _, _, torn, err := decodeFrame(rest[at:]); err == nil && !torn && len(payload) > 0 {
			return true
		}
	}
	return false
}

func (l *loader) markLost(before uint64) {
	l.recovery.RecordsLost = true
	l.doubtedBefore = max(l.doubtedBefore, before)
}

// apply takes one record in; false for one that makes no sense.
func (l *loader) apply(payload []byte, seq uint64) bool {
	f := Decoder{rest: payload}
	k := kind(f.byte())
	if k == recState {
		e := decodeState(&f)
		if e == nil || len(f.rest) > 0 {
			return false
		}
		l.events[e.ID] = &loadedEvent{e, seq}
		delete(l.recovery.Completed, e.ID)
		return true
	}
	name := f.text()
	o := l.events[name]
	switch k {
	case recAttemptStarted:
		number, s := int(f.byte()), Attempt{StartedAt: f.varint(), Zone: f.text()}
		if f.bad {
			return false
		}
		if o != nil {
			o.event.BeginAttempt(number, s)
		}
	case recAttemptEnded:
		number, how := int(f.byte()), outcome(f.byte())
		if f.bad {
			return false
		}
		if o != nil && number < len(o.event.Attempts) {
			o.event.Attempts[number].Ended, o.event.Attempts[number].Outcome = true, how
		}
	case recVerdict:
		v, comeBack := Verdict(f.byte()), f.varint()
		if f.bad || v > Discarded {
			return false
		}
		if o != nil {
			o.event.Verdict, o.event.RetryAfter = v, comeBack
		}
	case recCompleted:
		until := f.varint()
		if f.bad {
			return false
		}
		delete(l.events, name)
		if until > 0 {
			l.recovery.Completed[name] = max(l.recovery.Completed[name], until)
		}
	case recBackoff, recOutage:
		value := f.varint()
		if f.bad {
			return false
		}
		l.applyMark(k, name, value)
	default:
		return false
	}
	return !f.bad && len(f.rest) == 0
}

// applyMark takes in a wait, which is never made shorter, or an outage.
func (l *loader) applyMark(k kind, name string, value int64) {
	f := l.recovery
	switch {
	case k == recBackoff:
		f.Backoffs[name] = max(f.Backoffs[name], value)
	case value == 0:
		delete(f.Outages, name)
	default:
		f.Outages[name] = value
	}
}

// loadMirror takes in the second copy of waits and outages: it makes up for what the log lost, and has no say
// where the log is whole.
func (l *loader) loadMirror(r *segmentFile) {
	f := l.recovery
	outages := map[string]int64{}
	at := headerSize
	for at < len(r.data) {
		payload, _, size, torn, err := decodeFrame(r.data[at:])
		if torn || (err != nil && size == 0) {
			break
		}
		if err != nil {
			f.addFault(r.name, at, err.Error())
			at += size
			continue
		}
		d := Decoder{rest: payload}
		k, name, value := kind(d.byte()), d.text(), d.varint()
		if d.bad || (k != recBackoff && k != recOutage) {
			f.addFault(r.name, at, "a record that makes no sense")
		} else if k == recBackoff {
			l.applyMark(k, name, value)
		} else {
			outages[name] = value
		}
		at += size
	}
	f.mirrorSize = at
	if at < len(r.data) {
		f.addFault(r.name, at, "it is cut off from here on")
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
		if e := o.event; o.seq < l.doubtedBefore && e.Verdict == Undecided && !e.MayHaveRun() &&
			len(e.Attempts) < maxRecordedAttempts {
			e.Attempts = append(e.Attempts, Attempt{StartedAt: unknownStart})
		}
		l.recovery.Events = append(l.recovery.Events, o.event)
	}
	slices.SortFunc(l.recovery.Events, func(a, b *Event) int { return cmp.Compare(a.ArrivalSeq, b.ArrivalSeq) })
}

// Open opens a folder's store, or begins one, and returns what it holds. most is how many bytes its files may
// take, 0 for 256 MiB; sends how many an event may have; clock tells the time of day in ns. Only one process
// may have it open. Calls that fail for a moment are tried again.
func Open(folder FS, most int64, sends int, sync SyncPolicy, clock func() int64) (*Store, *Recovery, error) {
	var release func()
	err := retryAtStart(func() (err error) {
		release, err = folder.Lock()
		return err
	})
	if err != nil {
		return nil, nil, err
	}
	var found *Recovery
	err = retryAtStart(func() (err error) {
		found, err = Recover(folder)
		return err
	})
	if err != nil {
		release()
		return nil, nil, err
	}
	s := newStore(folder, most, sends, sync, clock, found)
	s.unlock = release
	if err := s.rewriteRecovered(found); err != nil {
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
		most = defaultMaxBytes
	}
	most -= overheadSize
	s := &Store{fs: folder, maxBytes: most, sync: sync, maxAttempts: sends, clock: clock,
		segmentSize:         min(max(most/segmentsPerStore, minSegmentSize), maxSegmentSize),
		compactionThreshold: most / compactionDivisor, epoch: found.epoch, seq: found.seq, closing: make(chan struct{}),
		writerDone: make(chan struct{}),
		events:     map[string]*indexItem{}, completed: map[string]*indexItem{}, backoffs: map[string]*indexItem{},
		outages: map[string]*indexItem{}}
	s.workAvailable.L = &s.mu
	if s.epoch == 0 {
		s.epoch = newEpoch()
	}
	return s
}

// rewriteRecovered writes all that is kept anew into new segments, and removes the old ones. A crash on the way leaves
// both.
//
// All is written anew since what is appended behind a torn record would be lost with it, and a doubt that is not
// written down would be forgotten by the next start.
func (s *Store) rewriteRecovered(found *Recovery) error {
	var names []string
	err := retryAtStart(func() (err error) {
		names, err = s.fs.List()
		return err
	})
	if err != nil {
		return err
	}
	s.segments = []*segment{{number: found.lastSegment}} // to count from
	if err := retryAtStart(s.rollSegment); err != nil {
		return err
	}
	s.segments = s.segments[1:]
	if err := s.rewriteEvents(found.Events); err != nil {
		return err
	}
	s.queueMarks(found)
	if err := s.flushInitialQueue(); err != nil {
		return err
	}
	if err := retryAtStart(s.rewriteMirror); err != nil {
		return err
	}
	s.removeRecoveredSegments(names, found)
	return nil
}

func (s *Store) rewriteEvents(events []*Event) error {
	for _, e := range events {
		s.lastArrival = max(s.lastArrival, e.ArrivalSeq)
		kept := *e
		kept.Body = nil
		kept.Attempts = slices.Clone(e.Attempts)
		it := &indexItem{event: &kept, kind: recState, reservedBytes: int32(s.reservationFor(e))}
		s.insert(it)
		s.enqueueOnce(it, recState, len(e.Body), e.appendState)
		if s.queuedBytes > s.segmentSize {
			if err := s.flushInitialQueue(); err != nil {
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
	}{{recCompleted, found.Completed}, {recBackoff, found.Backoffs}, {recOutage, found.Outages}} {
		for name, value := range table.of {
			if table.kind != recOutage && value <= now {
				continue
			}
			it := &indexItem{
				name:          name,
				value:         value,
				kind:          table.kind,
				reservedBytes: int32(2 * (frameHeaderSize + 24 + len(name))),
			}
			s.insert(it)
			s.enqueueOnce(it, table.kind, 0, func(to []byte) []byte { return append(appendText(to, name), encodeVarint(value)...) })
		}
	}
}

// flushInitialQueue writes what is queued, before there is a writer.
func (s *Store) flushInitialQueue() error {
	batch := s.writeQueue
	s.writeQueue = nil
	return retryAtStart(func() error {
		written, err := s.appendBatch(batch)
		batch = batch[written:]
		return err
	})
}

// removeRecoveredSegments removes the segments of former processes, oldest first. Where one cannot be removed, it and those
// behind it are left to Compact.
func (s *Store) removeRecoveredSegments(names []string, found *Recovery) {
	own := map[string]bool{}
	for _, g := range s.segments {
		own[g.fileName()] = true
	}
	var former []*segment
	slices.Sort(names)
	for _, name := range names {
		foreign := found.hasFault(name) && found.isForeign(name)
		if !strings.HasPrefix(name, "seg-") || own[name] || foreign {
			continue
		}
		if len(former) == 0 && s.fs.Remove(name) == nil {
			continue
		}
		former = append(former, &segment{recoveredName: name, stale: true, size: found.fileSizes[name]})
	}
	s.segments = append(former, s.segments...)
}

// isForeign tells whether a file was passed over as another store's: it is left where it is.
func (f *Recovery) isForeign(name string) bool {
	return slices.ContainsFunc(f.Faults, func(text string) bool {
		return strings.HasPrefix(text, name+":") && strings.Contains(text, "another store")
	})
}
