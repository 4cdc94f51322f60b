package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"sync"
)

// SyncPolicy selects when written data is flushed to stable storage, so that it survives a power failure. Data
// written by a process that is killed survives under either policy.
type SyncPolicy uint8

const (
	SyncNever  SyncPolicy = iota // left to the operating system
	SyncAlways                   // before the writing call returns
)

const (
	blockSize          = 512       // granularity of disk usage, in bytes
	overheadSize       = 8 << 10   // bytes set aside for segment headers, partly filled blocks and the lock file
	maxLiveEighths     = 3         // eighths of the space that live records may occupy; the rest is for superseded records
	segmentsPerStore   = 16        // a segment is this fraction of the space
	minSegmentSize     = 16 << 10  // bytes
	maxSegmentSize     = 4 << 20   // bytes; bounds the time needed to compact one segment
	compactionDivisor  = 2         // compaction starts once this fraction of the space is used
	attemptRecordsSize = 96        // bytes of the two records of an attempt, without the event ID
	maxMirrorSize      = 64 << 10  // bytes; a mirror that would grow beyond this is rewritten
	defaultMaxBytes    = 256 << 20 // size limit when none is configured
)

// Errors that callers can test for with errors.Is.
var (
	ErrFull             = errors.New("store: not enough space for another event")
	ErrAlreadyPending   = errors.New("store: event is already pending")
	ErrAlreadyCompleted = errors.New("store: an event with this ID has already completed")
	ErrNotPending       = errors.New("store: event is not pending")
	errClosed           = errors.New("store: closed")
)

// indexItem is an in-memory index entry. Its latest state record is stored in a segment.
type indexItem struct {
	event         *Event     // without its body; nil unless kind is recState
	name          string     // of a backoff or an outage, or the ID of a completed event
	value         int64      // time of day in ns: end of a backoff or of an ID's retention, or start of an outage
	segment       *segment   // nil while its state is being written
	prev, next    *indexItem // list of the items in the same segment
	bodyOffset    int64      // of the event body within the segment
	bodySize      int32
	reservedBytes int32 // upper bound of its records, all attempts included
	kind          kind  // recState, recCompleted, recBackoff or recOutage
}

// segment is one log file.
type segment struct {
	number        uint64
	size          int64
	firstItem     *indexItem
	recoveredName string // file name of a segment left by an earlier process
	stale         bool   // left by an earlier process or not removable so far; removed as soon as possible
}

func (seg *segment) fileName() string {
	if seg.recoveredName != "" {
		return seg.recoveredName
	}
	return fmt.Sprintf("seg-%016x", seg.number)
}

// Store is an open store. Its methods are safe for concurrent use.
type Store struct {
	fs                  FS
	unlock              func()
	maxBytes            int64
	segmentSize         int64
	compactionThreshold int64 // used bytes from which compaction runs
	sync                SyncPolicy
	maxAttempts         int // per event
	clock               func() int64

	compactionMu  sync.Mutex // allows one compaction at a time
	mu            sync.Mutex
	epoch         uint64
	seq           uint64
	lastArrival   uint64
	segments      []*segment // the last one is the active segment
	file          File
	mirror        File
	mirrorSize    int64
	events        map[string]*indexItem
	completed     map[string]*indexItem // IDs of completed events, retained to detect duplicates
	completedIDs  completedIDs
	backoffs      map[string]*indexItem
	outages       map[string]*indexItem
	reservedBytes int64           // sum over all indexed items
	queuedBytes   int64           // of records queued or being written
	writeQueue    []*queuedRecord // in log order
	unwritten     int             // records, queued or being written, that are retried until written
	closed        bool

	workAvailable sync.Cond // writeQueue is not empty, or the store is closed
	closing       chan struct{}
	writerDone    chan struct{}
	closeErr      error // why the last records could not be written on Close
	sealed        bool  // the active segment takes no more records; owned by the writer goroutine, as is file
}

func roundUpToBlock(size int64) int64 { return (size + blockSize - 1) / blockSize * blockSize }

// usedBytes returns the disk space used by all files and queued records. The caller holds mu.
func (s *Store) usedBytes() (total int64) {
	for _, seg := range s.segments {
		total += roundUpToBlock(seg.size)
	}
	return total + roundUpToBlock(s.mirrorSize) + s.queuedBytes
}

// UsedBytes returns the disk space used by all files and queued records.
func (s *Store) UsedBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usedBytes()
}

// reservationFor returns an upper bound of the bytes written for an event, all its attempts included.
func (s *Store) reservationFor(e *Event) int64 {
	return int64(frameHeaderSize+64+len(e.ID)+len(e.Kind)+len(e.Owner)+len(e.IdempotencyKey)+len(e.Body)) + s.attemptsReservation(e.ID)
}

func (s *Store) attemptsReservation(id string) int64 {
	return int64(s.maxAttempts+2) * int64(attemptRecordsSize+2*len(id))
}

// link registers a segment as the location of an item's state. The caller of link or unlink holds mu.
func (s *Store) link(item *indexItem, seg *segment, offset int64, body int32) {
	item.segment, item.bodyOffset, item.bodySize = seg, offset, body
	item.prev, item.next = nil, seg.firstItem
	if seg.firstItem != nil {
		seg.firstItem.prev = item
	}
	seg.firstItem = item
}

func (s *Store) unlink(item *indexItem) {
	if item.segment == nil {
		return
	}
	if item.prev != nil {
		item.prev.next = item.next
	} else {
		item.segment.firstItem = item.next
	}
	if item.next != nil {
		item.next.prev = item.prev
	}
	item.segment, item.prev, item.next = nil, nil, nil
}

// table returns the index for records of a kind.
func (s *Store) table(k kind) map[string]*indexItem {
	switch k {
	case recState:
		return s.events
	case recCompleted:
		return s.completed
	case recBackoff:
		return s.backoffs
	}
	return s.outages
}

func (item *indexItem) key() string {
	if item.event != nil {
		return item.event.ID
	}
	return item.name
}

// isCurrent reports whether the index still holds this item under its key. The caller holds mu.
func (s *Store) isCurrent(item *indexItem) bool { return s.table(item.kind)[item.key()] == item }

func (s *Store) remove(item *indexItem) {
	if s.isCurrent(item) {
		delete(s.table(item.kind), item.key())
		s.reservedBytes -= int64(item.reservedBytes)
		s.unlink(item)
	}
}

func (s *Store) insert(item *indexItem) {
	if old := s.table(item.kind)[item.key()]; old != nil {
		s.remove(old)
	}
	s.table(item.kind)[item.key()] = item
	s.reservedBytes += int64(item.reservedBytes)
}

// Accept records an event as pending. Its body is not kept in memory. It returns ErrAlreadyPending if an event with
// the same ID is pending, ErrAlreadyCompleted while the ID of a completed event is retained, and ErrFull if there is
// not enough space for all records that the event may need.
//
// The returned arrival sequence number distinguishes the event from others with the same ID in later calls; there, 0
// selects whichever event with that ID is pending.
func (s *Store) Accept(e Event) (arrivalSeq uint64, err error) {
	reservation := s.reservationFor(&e)
	s.makeRoom(reservation)
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return 0, errClosed
	}
	s.expireCompleted()
	if s.events[e.ID] != nil {
		s.mu.Unlock()
		return 0, ErrAlreadyPending
	}
	if completed := s.completed[e.ID]; completed != nil && completed.value > s.clock() {
		s.mu.Unlock()
		return 0, ErrAlreadyCompleted
	}
	if s.completedFull() || (s.reservedBytes+reservation)*8/maxLiveEighths > s.maxBytes || s.usedBytes()+reservation > s.maxBytes-s.segmentSize {
		s.mu.Unlock()
		return 0, ErrFull
	}
	s.lastArrival++
	indexed := e
	indexed.Body, indexed.ArrivalSeq = nil, s.lastArrival
	item := &indexItem{event: &indexed, kind: recState, reservedBytes: int32(reservation)}
	s.insert(item)
	e.ArrivalSeq = s.lastArrival
	state := s.enqueueOnce(item, recState, len(e.Body), e.appendState)
	s.mu.Unlock()
	if err = <-state.firstTry; err != nil {
		s.mu.Lock()
		s.remove(item)
		s.mu.Unlock()
		return 0, err
	}
	return e.ArrivalSeq, nil
}

// makeRoom compacts until a record fits, for when superseded records accumulate faster than Compact is called. A node
// that exceeds its disk limit even briefly counts as crashed. Live records are limited to maxLiveEighths of the
// space, so compaction can always free enough.
func (s *Store) makeRoom(size int64) {
	for range 2 * segmentsPerStore { // bounded, so that it cannot loop forever if live records do not fit
		s.mu.Lock()
		enough := s.usedBytes()+size <= s.maxBytes-s.segmentSize
		s.mu.Unlock()
		if enough {
			return
		}
		if more, err := s.Compact(int(s.segmentSize)); err != nil || !more {
			return
		}
	}
}

// pendingItem returns the item of a pending event, or nil if there is none or only another one with the same ID. The
// caller holds mu.
func (s *Store) pendingItem(id string, arrivalSeq uint64) *indexItem {
	if item := s.events[id]; item != nil && (arrivalSeq == 0 || item.event.ArrivalSeq == arrivalSeq) {
		return item
	}
	return nil
}

// RecordAttempt records that an attempt starts. If it returns an error, the request must not be sent.
func (s *Store) RecordAttempt(id string, arrivalSeq uint64, number int, startedAt int64, zone string) error {
	s.makeRoom(attemptRecordsSize)
	s.mu.Lock()
	item := s.pendingItem(id, arrivalSeq)
	if item == nil || s.closed {
		defer s.mu.Unlock()
		return missingRecordError(item)
	}
	item.event.BeginAttempt(number, Attempt{StartedAt: startedAt, Zone: zone})
	record := s.enqueueOnce(nil, recAttemptStarted, 0, func(to []byte) []byte {
		return appendText(binary.AppendVarint(append(appendText(to, id), byte(number)), startedAt), zone)
	})
	s.mu.Unlock()
	err := <-record.firstTry
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		item.event.markUnsent(number)
	}
	return err
}

// missingRecordError returns why no record is written: the event is not pending, or the store is closed.
func missingRecordError(item *indexItem) error {
	if item == nil {
		return ErrNotPending
	}
	return errClosed
}

// RecordOutcome records how an attempt ended.
func (s *Store) RecordOutcome(id string, arrivalSeq uint64, number int, result outcome) *PendingWrite {
	return s.updateEvent(id, arrivalSeq, recAttemptEnded, func(e *Event) {
		if number < len(e.Attempts) {
			e.Attempts[number].Ended, e.Attempts[number].Outcome = true, result
		}
	}, func(to []byte) []byte { return append(to, byte(number), byte(result)) })
}

// RecordResolution records how an event ends, before its notice has been delivered.
func (s *Store) RecordResolution(id string, arrivalSeq uint64, resolution Resolution, retryAfter int64) *PendingWrite {
	return s.updateEvent(id, arrivalSeq, recResolution, func(e *Event) { e.Resolution, e.RetryAfter = resolution, retryAfter },
		func(to []byte) []byte { return binary.AppendVarint(append(to, byte(resolution)), retryAfter) })
}

// RecordResolutionAndTrim records how an event ends that may at most need its notice delivered. Its body and attempts are
// dropped, so that it occupies little space while it is kept.
func (s *Store) RecordResolutionAndTrim(id string, arrivalSeq uint64, resolution Resolution) *PendingWrite {
	s.makeRoom(attemptRecordsSize)
	s.mu.Lock()
	defer s.mu.Unlock()
	item := s.pendingItem(id, arrivalSeq)
	if item == nil || s.closed {
		return noPendingWrite(missingRecordError(item))
	}
	trimmed := *item.event
	trimmed.IdempotencyKey, trimmed.Attempts, trimmed.Body, trimmed.Resolution = "", nil, nil, resolution
	size := frameHeaderSize + len(trimmed.appendState([]byte{byte(recState)})) + frameHeaderSize + trimmedCompletionSize + len(id)
	next := &indexItem{event: &trimmed, kind: recState, reservedBytes: int32(size)}
	s.insert(next)
	return s.enqueueUntilWritten(next, recState, trimmed.appendState)
}

// trimmedCompletionSize is the size of an event's completion record, without the event ID and the frame header.
const trimmedCompletionSize = 16

// PendingCount returns the number of pending events.
func (s *Store) PendingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events)
}

// updateEvent changes a pending event and queues a record of the change, which is retried until written.
func (s *Store) updateEvent(id string, arrivalSeq uint64, k kind, change func(*Event), fill func([]byte) []byte) *PendingWrite {
	s.makeRoom(attemptRecordsSize)
	s.mu.Lock()
	defer s.mu.Unlock()
	item := s.pendingItem(id, arrivalSeq)
	if item == nil || s.closed {
		return noPendingWrite(missingRecordError(item))
	}
	change(item.event)
	return s.enqueueUntilWritten(nil, k, func(to []byte) []byte { return fill(appendText(to, id)) })
}

// Complete records that an event needs nothing more. Its ID is retained until the given time of day, or not at all if
// that is 0.
func (s *Store) Complete(id string, arrivalSeq uint64, until int64) *PendingWrite {
	s.makeRoom(attemptRecordsSize)
	s.mu.Lock()
	defer s.mu.Unlock()
	item := s.pendingItem(id, arrivalSeq)
	if item == nil || s.closed {
		return noPendingWrite(missingRecordError(item))
	}
	s.remove(item)
	s.expireCompleted()
	var completed *indexItem
	if until > s.clock() {
		completed = &indexItem{name: id, value: until, kind: recCompleted, reservedBytes: int32(frameHeaderSize + 24 + len(id))}
		s.trackCompleted(completed)
	}
	return s.enqueueUntilWritten(completed, recCompleted, func(to []byte) []byte { return binary.AppendVarint(appendText(to, id), until) })
}

// IsCompleted reports whether the ID of a completed event is still retained.
func (s *Store) IsCompleted(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	item := s.completed[id]
	return item != nil && item.value > s.clock()
}

// RecordBackoff records that a destination, or an endpoint with a rate limit of its own, asked for no calls until the
// given time of day. It never shortens a backoff.
func (s *Store) RecordBackoff(name string, until int64) error {
	s.mu.Lock()
	if old := s.backoffs[name]; old != nil && old.value >= until {
		s.mu.Unlock()
		return nil
	}
	return s.recordMark(recBackoff, name, until)
}

// RecordOutage records that a destination has been unavailable since the given time of day, or with 0 that it is
// available again.
func (s *Store) RecordOutage(name string, since int64) error {
	s.mu.Lock()
	if old := s.outages[name]; (old == nil && since == 0) || (old != nil && old.value == since) {
		s.mu.Unlock()
		return nil
	}
	return s.recordMark(recOutage, name, since)
}

// recordMark writes a backoff or an outage to the log and the mirror. The caller holds mu; recordMark releases it.
func (s *Store) recordMark(k kind, name string, value int64) error {
	if s.closed {
		s.mu.Unlock()
		return errClosed
	}
	item := &indexItem{name: name, value: value, kind: k, reservedBytes: int32(2 * (frameHeaderSize + 24 + len(name)))}
	s.insert(item)
	fill := func(to []byte) []byte { return binary.AppendVarint(appendText(to, name), value) }
	// Backoffs and outages are written to two files, so that the loss of one file does not lose them.
	err := s.appendToMirror(appendFrame(nil, s.seq+1, fill([]byte{byte(k)})))
	record := s.enqueueUntilWritten(item, k, fill)
	if k == recOutage && value == 0 {
		s.remove(item)
	}
	s.mu.Unlock()
	return errors.Join(record.Wait(), err)
}

const (
	mirrorName    = "mirror"
	mirrorNewName = "mirror.new"
)

// appendToMirror appends a record to the mirror, or rewrites the mirror if it would exceed maxMirrorSize. The caller
// holds mu.
func (s *Store) appendToMirror(encoded []byte) error {
	if s.mirror != nil && s.mirrorSize+int64(len(encoded)) <= maxMirrorSize {
		_, err := s.mirror.Write(encoded)
		if err == nil && s.sync == SyncAlways {
			err = s.mirror.Sync()
		}
		if err == nil {
			s.mirrorSize += int64(len(encoded))
			return nil
		}
		s.mirror.Truncate(s.mirrorSize)
		return err
	}
	return s.rewriteMirror()
}

// rewriteMirror replaces the mirror by one with the backoffs and outages in effect. The caller holds mu.
func (s *Store) rewriteMirror() error {
	data := segmentHeader{epoch: s.epoch}.encode()
	now := s.clock()
	for _, k := range []kind{recBackoff, recOutage} {
		for _, item := range s.table(k) {
			if k == recOutage || item.value > now {
				data = appendFrame(data, s.seq, binary.AppendVarint(appendText([]byte{byte(k)}, item.name), item.value))
			}
		}
	}
	file, err := s.fs.Create(mirrorNewName)
	if err != nil {
		return err
	}
	if _, err = file.Write(data); err == nil && s.sync == SyncAlways {
		err = file.Sync()
	}
	if err == nil {
		err = s.fs.Rename(mirrorNewName, mirrorName)
	}
	if err == nil && s.sync == SyncAlways {
		err = s.fs.Sync()
	}
	if err != nil {
		file.Close()
		s.fs.Remove(mirrorNewName)
		return err
	}
	if s.mirror != nil {
		s.mirror.Close()
	}
	s.mirror, s.mirrorSize = file, int64(len(data))
	return nil
}

// Compact continues to move live records out of the oldest segment, about budget bytes at most, if used space is above
// the compaction threshold. It reports whether there is more to do. It is meant to run in its own goroutine and does
// not block other operations.
func (s *Store) Compact(budget int) (more bool, err error) {
	s.compactionMu.Lock()
	defer s.compactionMu.Unlock()
	s.mu.Lock()
	if s.closed || len(s.segments) < 2 || (s.usedBytes() < s.compactionThreshold && !s.segments[0].stale) {
		defer s.mu.Unlock()
		return false, nil
	}
	oldest := s.segments[0]
	now := s.clock()
	for item := oldest.firstItem; item != nil; item = oldest.firstItem {
		if item.kind != recState {
			if item.kind != recOutage && item.value <= now { // expired
				s.remove(item)
				continue
			}
			s.unlink(item)
			state := s.enqueueOnce(item, item.kind, 0, func(to []byte) []byte {
				return binary.AppendVarint(appendText(to, item.name), item.value)
			})
			s.mu.Unlock()
			if err := <-state.firstTry; err != nil {
				return s.relink(item, oldest, err)
			}
			budget -= 64
		} else {
			offset, body := item.bodyOffset, make([]byte, item.bodySize)
			s.mu.Unlock()
			if len(body) > 0 {
				if err := s.fs.ReadAt(oldest.fileName(), offset, body); err != nil {
					return false, err
				}
			}
			s.mu.Lock()
			if !s.isCurrent(item) || item.segment != oldest { // completed or rewritten while its body was read
				continue
			}
			s.unlink(item)
			e := *item.event
			e.Body = body
			state := s.enqueueOnce(item, recState, len(body), e.appendState)
			s.mu.Unlock()
			if err := <-state.firstTry; err != nil {
				s.mu.Lock()
				if s.isCurrent(item) && item.segment == nil {
					s.link(item, oldest, offset, int32(len(body)))
				}
				s.mu.Unlock()
				return false, err
			}
			budget -= len(body) + 64
		}
		s.mu.Lock()
		if budget <= 0 && oldest.firstItem != nil {
			s.mu.Unlock()
			return true, nil
		}
	}
	s.mu.Unlock()
	return true, s.removeOldest(oldest)
}

// removeOldest removes the oldest segment, which holds no live record. One that cannot be removed stays the oldest:
// the completion records of its events are in later segments, which must not be removed before it.
func (s *Store) removeOldest(oldest *segment) error {
	if err := s.fs.Remove(oldest.fileName()); err != nil && !errors.Is(err, fs.ErrNotExist) {
		s.mu.Lock()
		defer s.mu.Unlock()
		oldest.stale = true
		return fmt.Errorf("store: remove %s: %w", oldest.fileName(), err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segments = s.segments[1:]
	return nil
}

// relink restores an item's location after its state could not be rewritten.
func (s *Store) relink(item *indexItem, seg *segment, err error) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isCurrent(item) && item.segment == nil {
		s.link(item, seg, 0, 0)
	}
	return false, err
}

// Flush syncs the active segment, so that its records survive a power failure.
func (s *Store) Flush() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errClosed
	}
	return s.file.Sync()
}

// ReadBody reads the body of a pending event from its segment.
func (s *Store) ReadBody(id string) ([]byte, error) {
	s.mu.Lock()
	item := s.events[id]
	if item == nil || item.segment == nil {
		s.mu.Unlock()
		return nil, ErrNotPending
	}
	name, offset, body := item.segment.fileName(), item.bodyOffset, make([]byte, item.bodySize)
	s.mu.Unlock()
	return body, s.fs.ReadAt(name, offset, body)
}

// Empty reports whether no event is pending and no record is waiting to be written.
func (s *Store) Empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events) == 0 && s.unwritten == 0
}

// UnwrittenCount returns the number of records that are still being retried until written.
func (s *Store) UnwrittenCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unwritten
}

// Close writes the queued records and releases the lock on the folder. It returns an error if records could not be
// written.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	close(s.closing)
	s.workAvailable.Signal()
	s.mu.Unlock()
	<-s.writerDone
	s.mu.Lock()
	defer s.mu.Unlock()
	err := errors.Join(s.closeErr, s.file.Close())
	if s.mirror != nil {
		err = errors.Join(err, s.mirror.Close())
	}
	s.unlock()
	return err
}

func newEpoch() uint64 { return rand.Uint64() | 1 }
