package store

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Recovery is the state recovered from a folder. Recovering it does not change the folder.
type Recovery struct {
	Events      []*Event         // pending events in order of arrival, with their bodies
	Backoffs    map[string]int64 // time of day at which each ends, in ns
	Outages     map[string]int64 // time of day at which each began, in ns
	Completed   map[string]int64 // IDs of completed events, with the time of day until which they are retained
	Segments    int
	Size        int64    // bytes of all files of the store
	Records     int      // number of readable records
	TornBytes   int      // size of the incomplete record at the end of the log
	RecordsLost bool     // records are missing, so events recorded before the gap may have progressed further
	Faults      []string // file, offset and description of anything damaged, missing or foreign

	epoch, seq, lastSegment uint64
	mirrorSize              int              // bytes of the mirror up to its last complete record
	fileSizes               map[string]int64 // by file name
}

// unknownStart is the start time of an attempt that may have been made but has no record. It is so long ago that no
// deduplication window reaches back to it.
const unknownStart = 1

// Recover reads a folder without changing it. It returns an error if the folder cannot be read; damage is reported in
// Faults.
//
// A missing record may have said that an attempt started, for a charge for example, or that a destination asked for a
// backoff. Therefore every event whose state precedes a gap is treated as possibly executed, and backoffs are stored in
// two files.
func Recover(fsys FS) (*Recovery, error) {
	names, err := fsys.List()
	if err != nil {
		return nil, err
	}
	recovery := &Recovery{Backoffs: map[string]int64{}, Outages: map[string]int64{}, Completed: map[string]int64{},
		fileSizes: map[string]int64{}}
	var files []segmentFile
	for _, name := range names {
		if !strings.HasPrefix(name, "seg-") && name != mirrorName {
			continue
		}
		data, err := fsys.Read(name)
		if err != nil {
			return nil, err
		}
		recovery.Size += int64(len(data))
		recovery.fileSizes[name] = int64(len(data))
		h, err := decodeHeader(data)
		if err != nil {
			recovery.addFault(name, 0, err.Error())
			recovery.RecordsLost = true
			if name != mirrorName {
				files = append(files, segmentFile{name: name, invalidHeader: true})
			}
			continue
		}
		files = append(files, segmentFile{name: name, segmentHeader: h, data: data})
	}
	recovery.epoch = majorityEpoch(files)
	var mirror *segmentFile
	files = slices.DeleteFunc(files, func(file segmentFile) bool {
		switch {
		case file.invalidHeader:
			return true
		case file.epoch != recovery.epoch:
			recovery.addFault(file.name, 8, "file belongs to another store; ignored")
			return true
		case file.name == mirrorName:
			mirror = &file
			return true
		}
		return false
	})
	slices.SortFunc(files, func(a, b segmentFile) int { return cmp.Compare(a.number, b.number) })
	recovery.Segments = len(files)
	l := loader{recovery: recovery, events: map[string]*loadedEvent{}}
	for i := range files {
		if i+1 < len(files) {
			files[i].truncateTo(&files[i+1])
		}
		l.loadSegment(&files[i], i == 0, i == len(files)-1)
	}
	if mirror != nil {
		l.loadMirror(mirror)
	} else if len(files) > 0 && !recovery.hasFault(mirrorName) {
		recovery.addFault(mirrorName, 0, "file is missing")
	}
	l.finish()
	return recovery, nil
}

// segmentFile is a segment, or the mirror, as read from disk.
type segmentFile struct {
	segmentHeader
	name          string
	data          []byte
	invalidHeader bool
}

// truncateTo drops the data after the end that the next segment's header records for this one.
func (f *segmentFile) truncateTo(next *segmentFile) {
	if size := int(next.previousSize); next.number == f.number+1 && size >= headerSize && size < len(f.data) {
		f.data = f.data[:size]
	}
}

// majorityEpoch returns the epoch of most files. Of epochs with equally many files, the one with the highest segment
// number wins.
func majorityEpoch(files []segmentFile) (epoch uint64) {
	count, last := map[uint64]int{}, map[uint64]uint64{}
	for _, file := range files {
		if !file.invalidHeader {
			count[file.epoch]++
			last[file.epoch] = max(last[file.epoch], file.number)
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

func (r *Recovery) addFault(name string, offset int, reason string) {
	r.Faults = append(r.Faults, fmt.Sprintf("%s: offset %d: %s", name, offset, reason))
}

func (r *Recovery) hasFault(name string) bool {
	return slices.ContainsFunc(r.Faults, func(fault string) bool { return strings.HasPrefix(fault, name+":") })
}

// loadedEvent is an event with the sequence number of its state record.
type loadedEvent struct {
	event *Event
	seq   uint64
}

// loader builds a Recovery from records.
type loader struct {
	recovery    *Recovery
	events      map[string]*loadedEvent
	staleBefore uint64 // sequence number; events whose state precedes it may have progressed further
}

// loadSegment applies the records of one segment.
func (l *loader) loadSegment(file *segmentFile, first, last bool) {
	recovery := l.recovery
	recovery.lastSegment = max(recovery.lastSegment, file.number)
	if !first && file.firstSeq != recovery.seq+1 {
		recovery.addFault(file.name, 24, fmt.Sprintf("records %d to %d are missing before this segment", recovery.seq+1, file.firstSeq-1))
		l.markLost(file.firstSeq)
	}
	recovery.seq = max(recovery.seq, file.firstSeq-1)
	for at := headerSize; at < len(file.data); {
		payload, seq, size, torn, err := decodeFrame(file.data[at:])
		if torn {
			rest := file.data[at:]
			switch {
			case hasIntactRecord(rest, recovery.seq):
				recovery.addFault(file.name, at, "record has a wrong length")
				l.markLost(recovery.seq + 1)
			case last: // incomplete record left by a kill; it was never acknowledged
				recovery.TornBytes = len(rest)
			}
			return
		}
		if err != nil {
			recovery.addFault(file.name, at, err.Error())
			l.markLost(recovery.seq + 1)
			if size == 0 {
				return
			}
			at += size
			recovery.seq++
			continue
		}
		if seq != recovery.seq+1 {
			recovery.addFault(file.name, at, fmt.Sprintf("found record %d, expected record %d", seq, recovery.seq+1))
			l.markLost(seq)
		}
		recovery.seq = max(recovery.seq, seq)
		if !l.apply(payload, seq) {
			recovery.addFault(file.name, at, "record cannot be decoded")
			l.markLost(seq)
		} else {
			recovery.Records++
		}
		at += size
	}
}

// hasIntactRecord reports whether rest, which according to its length field ends within a record, contains a complete
// record: that record itself with a different length, or a later one. If so, the length field is damaged.
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
	l.staleBefore = max(l.staleBefore, before)
}

// apply applies one record. It returns false if the record cannot be decoded.
func (l *loader) apply(payload []byte, seq uint64) bool {
	d := Decoder{rest: payload}
	k := kind(d.readByte())
	if k == recState {
		e := decodeState(&d)
		if e == nil || len(d.rest) > 0 {
			return false
		}
		l.events[e.ID] = &loadedEvent{e, seq}
		delete(l.recovery.Completed, e.ID)
		return true
	}
	name := d.readText()
	entry := l.events[name]
	switch k {
	case recAttemptStarted:
		number, a := int(d.readByte()), Attempt{StartedAt: d.readVarint(), Zone: d.readText()}
		if d.invalid {
			return false
		}
		if entry != nil {
			entry.event.BeginAttempt(number, a)
		}
	case recAttemptEnded:
		number, result := int(d.readByte()), outcome(d.readByte())
		if d.invalid {
			return false
		}
		if entry != nil && number < len(entry.event.Attempts) {
			entry.event.Attempts[number].Ended, entry.event.Attempts[number].Outcome = true, result
		}
	case recResolution:
		resolution, retryAfter := Resolution(d.readByte()), d.readVarint()
		if d.invalid || resolution > Discarded {
			return false
		}
		if entry != nil {
			entry.event.Resolution, entry.event.RetryAfter = resolution, retryAfter
		}
	case recCompleted:
		until := d.readVarint()
		if d.invalid {
			return false
		}
		delete(l.events, name)
		if until > 0 {
			l.recovery.Completed[name] = max(l.recovery.Completed[name], until)
		}
	case recBackoff, recOutage:
		value := d.readVarint()
		if d.invalid {
			return false
		}
		l.applyMark(k, name, value)
	default:
		return false
	}
	return !d.invalid && len(d.rest) == 0
}

// applyMark applies a backoff, which is never shortened, or an outage.
func (l *loader) applyMark(k kind, name string, value int64) {
	recovery := l.recovery
	switch {
	case k == recBackoff:
		recovery.Backoffs[name] = max(recovery.Backoffs[name], value)
	case value == 0:
		delete(recovery.Outages, name)
	default:
		recovery.Outages[name] = value
	}
}

// loadMirror applies the second copy of backoffs and outages. Its backoffs are always merged, since that never shortens
// one. Its outages are used only if the log lost records.
func (l *loader) loadMirror(file *segmentFile) {
	recovery := l.recovery
	outages := map[string]int64{}
	at := headerSize
	for at < len(file.data) {
		payload, _, size, torn, err := decodeFrame(file.data[at:])
		if torn || (err != nil && size == 0) {
			break
		}
		if err != nil {
			recovery.addFault(file.name, at, err.Error())
			at += size
			continue
		}
		d := Decoder{rest: payload}
		k, name, value := kind(d.readByte()), d.readText(), d.readVarint()
		if d.invalid || (k != recBackoff && k != recOutage) {
			recovery.addFault(file.name, at, "record cannot be decoded")
		} else if k == recBackoff {
			l.applyMark(k, name, value)
		} else {
			outages[name] = value
		}
		at += size
	}
	recovery.mirrorSize = at
	if at < len(file.data) {
		recovery.addFault(file.name, at, "file is truncated from this offset on")
	}
	for name, since := range outages {
		if _, known := recovery.Outages[name]; recovery.RecordsLost && since != 0 && !known {
			recovery.Outages[name] = since
		}
	}
}

// finish sorts the events by arrival and treats unresolved ones from before a gap as possibly executed.
func (l *loader) finish() {
	for _, entry := range l.events {
		if e := entry.event; entry.seq < l.staleBefore && e.Resolution == Unresolved && !e.MayHaveRun() &&
			len(e.Attempts) < maxRecordedAttempts {
			e.Attempts = append(e.Attempts, Attempt{StartedAt: unknownStart})
		}
		l.recovery.Events = append(l.recovery.Events, entry.event)
	}
	slices.SortFunc(l.recovery.Events, func(a, b *Event) int { return cmp.Compare(a.ArrivalSeq, b.ArrivalSeq) })
}

// Open opens the store in a folder, or creates one, and returns the recovered state. The files of the store take
// maxBytes at most, or 256 MiB if maxBytes is 0. maxAttempts is the most attempts that an event can have, and clock
// returns the time of day in ns. Only one process can have the store open. File operations that fail with a transient
// error are retried.
func Open(fsys FS, maxBytes int64, maxAttempts int, sync SyncPolicy, clock func() int64) (*Store, *Recovery, error) {
	var unlock func()
	err := retryAtStart(func() (err error) {
		unlock, err = fsys.Lock()
		return err
	})
	if err != nil {
		return nil, nil, err
	}
	var recovery *Recovery
	err = retryAtStart(func() (err error) {
		recovery, err = Recover(fsys)
		return err
	})
	if err != nil {
		unlock()
		return nil, nil, err
	}
	s := newStore(fsys, maxBytes, maxAttempts, sync, clock, recovery)
	s.unlock = unlock
	if err := s.rewriteRecovered(recovery); err != nil {
		if s.file != nil {
			s.file.Close()
		}
		unlock()
		return nil, nil, err
	}
	go s.runWriter()
	return s, recovery, nil
}

func newStore(fsys FS, maxBytes int64, maxAttempts int, sync SyncPolicy, clock func() int64, recovery *Recovery) *Store {
	if maxBytes <= 0 {
		maxBytes = defaultMaxBytes
	}
	maxBytes -= overheadSize
	s := &Store{fs: fsys, maxBytes: maxBytes, sync: sync, maxAttempts: maxAttempts, clock: clock,
		segmentSize:         min(max(maxBytes/segmentsPerStore, minSegmentSize), maxSegmentSize),
		compactionThreshold: maxBytes / compactionDivisor, epoch: recovery.epoch, seq: recovery.seq, closing: make(chan struct{}),
		writerDone: make(chan struct{}),
		events:     map[string]*indexItem{}, completed: map[string]*indexItem{}, backoffs: map[string]*indexItem{},
		outages: map[string]*indexItem{}}
	s.workAvailable.L = &s.mu
	if s.epoch == 0 {
		s.epoch = newEpoch()
	}
	return s
}

// rewriteRecovered writes the recovered state to new segments and then removes the old ones. A crash in between leaves
// both.
//
// Everything is rewritten, because records appended after an incomplete one would be lost with it, and the next start
// would otherwise not know which events may have been executed according to this recovery.
func (s *Store) rewriteRecovered(recovery *Recovery) error {
	var names []string
	err := retryAtStart(func() (err error) {
		names, err = s.fs.List()
		return err
	})
	if err != nil {
		return err
	}
	s.segments = []*segment{{number: recovery.lastSegment}} // numbering continues from here
	if err := retryAtStart(s.rollSegment); err != nil {
		return err
	}
	s.segments = s.segments[1:]
	if err := s.rewriteEvents(recovery.Events); err != nil {
		return err
	}
	s.queueMarks(recovery)
	if err := s.flushInitialQueue(); err != nil {
		return err
	}
	if err := retryAtStart(s.rewriteMirror); err != nil {
		return err
	}
	s.removeRecoveredSegments(names, recovery)
	return nil
}

func (s *Store) rewriteEvents(events []*Event) error {
	for _, e := range events {
		s.lastArrival = max(s.lastArrival, e.ArrivalSeq)
		indexed := *e
		indexed.Body = nil
		indexed.Attempts = slices.Clone(e.Attempts)
		item := &indexItem{event: &indexed, kind: recState, reservedBytes: int32(s.reservationFor(e))}
		s.insert(item)
		s.enqueueOnce(item, recState, len(e.Body), e.appendState)
		if s.queuedBytes > s.segmentSize {
			if err := s.flushInitialQueue(); err != nil {
				return err
			}
		}
	}
	return nil
}

// queueMarks queues the outages, and the backoffs and IDs of completed events that have not expired.
func (s *Store) queueMarks(recovery *Recovery) {
	now := s.clock()
	for _, table := range []struct {
		kind kind
		of   map[string]int64
	}{{recCompleted, recovery.Completed}, {recBackoff, recovery.Backoffs}, {recOutage, recovery.Outages}} {
		for name, value := range table.of {
			if table.kind != recOutage && value <= now {
				continue
			}
			item := &indexItem{
				name:          name,
				value:         value,
				kind:          table.kind,
				reservedBytes: int32(2 * (frameHeaderSize + 24 + len(name))),
			}
			if table.kind == recCompleted {
				s.trackCompleted(item)
			} else {
				s.insert(item)
			}
			s.enqueueOnce(item, table.kind, 0, func(to []byte) []byte { return append(appendText(to, name), encodeVarint(value)...) })
		}
	}
	s.sortCompleted()
}

// flushInitialQueue writes the queued records, before the writer goroutine is started.
func (s *Store) flushInitialQueue() error {
	batch := s.writeQueue
	s.writeQueue = nil
	return retryAtStart(func() error {
		written, err := s.appendBatch(batch)
		batch = batch[written:]
		return err
	})
}

// removeRecoveredSegments removes the segments of earlier processes, oldest first. If one cannot be removed, it and the
// later ones are left to Compact.
func (s *Store) removeRecoveredSegments(names []string, recovery *Recovery) {
	own := map[string]bool{}
	for _, seg := range s.segments {
		own[seg.fileName()] = true
	}
	var remaining []*segment
	slices.Sort(names)
	for _, name := range names {
		foreign := recovery.hasFault(name) && recovery.isForeign(name)
		if !strings.HasPrefix(name, "seg-") || own[name] || foreign {
			continue
		}
		if len(remaining) == 0 && s.fs.Remove(name) == nil {
			continue
		}
		remaining = append(remaining, &segment{recoveredName: name, stale: true, size: recovery.fileSizes[name]})
	}
	s.segments = append(remaining, s.segments...)
}

// isForeign reports whether a file was ignored because it belongs to another store. Such files are not removed.
func (r *Recovery) isForeign(name string) bool {
	return slices.ContainsFunc(r.Faults, func(fault string) bool {
		return strings.HasPrefix(fault, name+":") && strings.Contains(fault, "another store")
	})
}
