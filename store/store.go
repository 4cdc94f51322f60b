package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"sync"
)

// SyncPolicy says when what was written is made to outlast a loss of power. A killed process loses nothing in any
// case.
type SyncPolicy uint8

const (
	SyncNever  SyncPolicy = iota // the system writes when it likes
	SyncAlways                   // before a call that writes returns
)

const (
	blockSize          = 512       // bytes in which files are counted
	overheadSize       = 8 << 10   // bytes of the folder left alone: heads, last blocks, the lock
	maxPendingEighths  = 3         // eighths of the folder that owed events may take: the rest is for what is dead
	segmentsPerStore   = 16        // parts of the folder that a segment is
	minSegmentSize     = 16 << 10  // bytes of a segment at least
	maxSegmentSize     = 4 << 20   // and at most: emptying one takes so long
	compactionDivisor  = 2         // the folder is compacted from this part of it on
	attemptRecordsSize = 96        // bytes that the two records of a send take, without the event's id
	maxMirrorSize      = 64 << 10  // bytes of the mirror, from which it is written anew
	defaultMaxBytes    = 256 << 20 // bytes of the folder where none is told
)

// Errors that callers tell apart.
var (
	ErrFull             = errors.New("store: no room for another event")
	ErrAlreadyPending   = errors.New("store: the event is owed already")
	ErrAlreadyCompleted = errors.New("store: an event of this id has ended")
	ErrNotPending       = errors.New("store: nothing is owed for the event")
	errClosed           = errors.New("store: closed")
)

// indexItem is one thing that the store keeps: its newest state stands in a segment.
type indexItem struct {
	event         *Event // without its body, nil for what is no event
	name          string // of a wait, an outage or an id that is over
	value         int64
	segment       *segment   // nil while its state is being written
	prev, next    *indexItem // in its segment
	bodyOffset    int64      // where its body stands in the segment
	bodySize      int32      // bytes of it
	reservedBytes int32      // bytes that it may take, all its sends included
	kind          kind       // recState, recOver, recWait or recOutage
}

// segment is one file of the log.
type segment struct {
	number        uint64
	size          int64
	firstItem     *indexItem
	recoveredName string // its file's name, where a former process left it
	stale         bool   // of a former process, or one that could not be removed: it goes as soon as it can
}

func (g *segment) fileName() string {
	if g.recoveredName != "" {
		return g.recoveredName
	}
	return fmt.Sprintf("seg-%016x", g.number)
}

// Store is a store that is open. Its methods may be called by any goroutine.
type Store struct {
	fs                  FS
	unlock              func()
	maxBytes            int64
	segmentSize         int64
	compactionThreshold int64 // bytes used from which it is compacted
	sync                SyncPolicy
	maxAttempts         int // of an event at most
	clock               func() int64

	compactionMu  sync.Mutex // one compaction at a time
	mu            sync.Mutex
	epoch         uint64
	seq           uint64
	lastArrival   uint64
	segments      []*segment // the last is written to
	file          File
	mirror        File
	mirrorSize    int64 // bytes of the mirror
	events        map[string]*indexItem
	completed     map[string]*indexItem // ids that are over, and known until a time
	backoffs      map[string]*indexItem
	outages       map[string]*indexItem
	reservedBytes int64           // bytes that what is kept may take
	queuedBytes   int64           // bytes on their way
	writeQueue    []*queuedRecord // on their way to the log, in order
	unwritten     int             // of them, and of those being written, those that are tried until they are written
	closed        bool

	workAvailable sync.Cond // there are entries, or the store is closed
	closing       chan struct{}
	writerDone    chan struct{}
	closeErr      error // why records are not written at the end
	sealed        bool  // nothing more is appended to the last segment; the writer's, as the file is
}

func roundUpToBlock(size int64) int64 { return (size + blockSize - 1) / blockSize * blockSize }

// usedBytes is what the files take; the lock is held.
func (s *Store) usedBytes() (total int64) {
	for _, g := range s.segments {
		total += roundUpToBlock(g.size)
	}
	return total + roundUpToBlock(s.mirrorSize) + s.queuedBytes
}

// UsedBytes is how many bytes the files take.
func (s *Store) UsedBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usedBytes()
}

// reservationFor is what may be written of an event, all its sends included.
func (s *Store) reservationFor(e *Event) int64 {
	return int64(frameHeaderSize+64+len(e.ID)+len(e.Kind)+len(e.Owner)+len(e.IdempotencyKey)+len(e.Body)) + s.attemptsReservation(e.ID)
}

func (s *Store) attemptsReservation(id string) int64 {
	return int64(s.maxAttempts+2) * int64(attemptRecordsSize+2*len(id))
}

// link has an item's state stand in a segment; the lock is held, as for unlink.
func (s *Store) link(it *indexItem, g *segment, at int64, body int32) {
	it.segment, it.bodyOffset, it.bodySize = g, at, body
	it.prev, it.next = nil, g.firstItem
	if g.firstItem != nil {
		g.firstItem.prev = it
	}
	g.firstItem = it
}

func (s *Store) unlink(it *indexItem) {
	if it.segment == nil {
		return
	}
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		it.segment.firstItem = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	}
	it.segment, it.prev, it.next = nil, nil, nil
}

// table is the table in which things table a kind are kept.
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

func (it *indexItem) key() string {
	if it.event != nil {
		return it.event.ID
	}
	return it.name
}

// isCurrent tells whether an item is still the one that is kept under its name; the lock is held.
func (s *Store) isCurrent(it *indexItem) bool { return s.table(it.kind)[it.key()] == it }

func (s *Store) remove(it *indexItem) {
	if s.isCurrent(it) {
		delete(s.table(it.kind), it.key())
		s.reservedBytes -= int64(it.reservedBytes)
		s.unlink(it)
	}
}

func (s *Store) insert(it *indexItem) {
	if old := s.table(it.kind)[it.key()]; old != nil {
		s.remove(old)
	}
	s.table(it.kind)[it.key()] = it
	s.reservedBytes += int64(it.reservedBytes)
}

// Accept writes that an event was taken on. Its body is not kept in memory. The error is ErrKnown for one that
// is owed already, ErrEnded while one of its id is known to be over, and ErrFull where there is no room for all that may be written of it.
//
// What it returns tells this event from another of the same id, in the calls about it: 0 stands for whichever
// is owed.
func (s *Store) Accept(e Event) (came uint64, err error) {
	need := s.reservationFor(&e)
	s.makeRoom(need)
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return 0, errClosed
	}
	if s.events[e.ID] != nil {
		s.mu.Unlock()
		return 0, ErrAlreadyPending
	}
	if past := s.completed[e.ID]; past != nil && past.value > s.clock() {
		s.mu.Unlock()
		return 0, ErrAlreadyCompleted
	}
	if (s.reservedBytes+need)*8/maxPendingEighths > s.maxBytes || s.usedBytes()+need > s.maxBytes-s.segmentSize {
		s.mu.Unlock()
		return 0, ErrFull
	}
	s.lastArrival++
	kept := e
	kept.Body, kept.ArrivalSeq = nil, s.lastArrival
	it := &indexItem{event: &kept, kind: recState, reservedBytes: int32(need)}
	s.insert(it)
	e.ArrivalSeq = s.lastArrival
	state := s.enqueueOnce(it, recState, len(e.Body), e.appendState)
	s.mu.Unlock()
	if err = <-state.firstTry; err != nil {
		s.mu.Lock()
		s.remove(it)
		s.mu.Unlock()
		return 0, err
	}
	return e.ArrivalSeq, nil
}

// makeRoom makes room for a record where dead ones fill the folder faster than Compact is called. Danger: over
// its limit, even for a moment, the node counts as crashed. What is owed takes no more than its part, so
// there is room.
func (s *Store) makeRoom(size int64) {
	for range 2 * segmentsPerStore { // danger: where what is owed does not fit, it would go on for ever
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

// pendingItem is an event that is pendingItem, nil where none is, or only another of that id; the lock is held.
func (s *Store) pendingItem(id string, came uint64) *indexItem {
	if it := s.events[id]; it != nil && (came == 0 || it.event.ArrivalSeq == came) {
		return it
	}
	return nil
}

// RecordAttempt writes that an attempt goes out. Where it fails, nothing may go.
func (s *Store) RecordAttempt(id string, came uint64, number int, at int64, zone string) error {
	s.makeRoom(attemptRecordsSize)
	s.mu.Lock()
	it := s.pendingItem(id, came)
	if it == nil || s.closed {
		defer s.mu.Unlock()
		return missingRecordError(it)
	}
	it.event.BeginAttempt(number, Attempt{StartedAt: at, Zone: zone})
	record := s.enqueueOnce(nil, recAttemptStarted, 0, func(to []byte) []byte {
		return appendText(binary.AppendVarint(append(appendText(to, id), byte(number)), at), zone)
	})
	s.mu.Unlock()
	err := <-record.firstTry
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		it.event.markUnsent(number)
	}
	return err
}

// missingRecordError is why there is no record to write: the event is over, or else the store is closed.
func missingRecordError(it *indexItem) error {
	if it == nil {
		return ErrNotPending
	}
	return errClosed
}

// RecordOutcome writes how an attempt ended.
func (s *Store) RecordOutcome(id string, came uint64, number int, how outcome) *PendingWrite {
	return s.updateEvent(id, came, recAttemptEnded, func(e *Event) {
		if number < len(e.Attempts) {
			e.Attempts[number].Ended, e.Attempts[number].Outcome = true, how
		}
	}, func(to []byte) []byte { return append(to, byte(number), byte(how)) })
}

// RecordVerdict writes how an event ends whose notice is still owed.
func (s *Store) RecordVerdict(id string, came uint64, v Verdict, comeBack int64) *PendingWrite {
	return s.updateEvent(id, came, recVerdict, func(e *Event) { e.Verdict, e.RetryAfter = v, comeBack },
		func(to []byte) []byte { return binary.AppendVarint(append(to, byte(v)), comeBack) })
}

// RecordVerdictAndTrim writes how an event ends of which nothing but its notice may still be needed. Its body and its sends are
// dropped, so that it takes little room for as long as it is kept.
func (s *Store) RecordVerdictAndTrim(id string, came uint64, v Verdict) *PendingWrite {
	s.makeRoom(attemptRecordsSize)
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.pendingItem(id, came)
	if it == nil || s.closed {
		return noPendingWrite(missingRecordError(it))
	}
	brief := *it.event
	brief.IdempotencyKey, brief.Attempts, brief.Body, brief.Verdict = "", nil, nil, v
	size := frameHeaderSize + len(brief.appendState([]byte{byte(recState)})) + frameHeaderSize + trimmedCompletionSize + len(id)
	next := &indexItem{event: &brief, kind: recState, reservedBytes: int32(size)}
	s.insert(next)
	return s.enqueueUntilWritten(next, recState, brief.appendState)
}

// trimmedCompletionSize is what the record of an event's end takes, without the event's id and the frame.
const trimmedCompletionSize = 16

// PendingCount counts the events that are owed an end.
func (s *Store) PendingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events)
}

// updateEvent writes a record about an event that is owed, and keeps it until it is written.
func (s *Store) updateEvent(id string, came uint64, k kind, change func(*Event), fill func([]byte) []byte) *PendingWrite {
	s.makeRoom(attemptRecordsSize)
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.pendingItem(id, came)
	if it == nil || s.closed {
		return noPendingWrite(missingRecordError(it))
	}
	change(it.event)
	return s.enqueueUntilWritten(nil, k, func(to []byte) []byte { return fill(appendText(to, id)) })
}

// Complete writes that nothing more is owed for an event. Its id is known as over until a time of day, 0 for not at
// all.
func (s *Store) Complete(id string, came uint64, until int64) *PendingWrite {
	s.makeRoom(attemptRecordsSize)
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.pendingItem(id, came)
	if it == nil || s.closed {
		return noPendingWrite(missingRecordError(it))
	}
	s.remove(it)
	var past *indexItem
	if until > s.clock() {
		past = &indexItem{name: id, value: until, kind: recCompleted, reservedBytes: int32(frameHeaderSize + 24 + len(id))}
		s.insert(past)
	}
	return s.enqueueUntilWritten(past, recCompleted, func(to []byte) []byte { return binary.AppendVarint(appendText(to, id), until) })
}

// IsCompleted tells whether an event of this id ended, as far as that is still known.
func (s *Store) IsCompleted(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.completed[id]
	return it != nil && it.value > s.clock()
}

// RecordBackoff writes that a destination, or a route of it, told to wait until a time of day. It never makes a wait
// shorter.
func (s *Store) RecordBackoff(name string, until int64) error {
	s.mu.Lock()
	if old := s.backoffs[name]; old != nil && old.value >= until {
		s.mu.Unlock()
		return nil
	}
	return s.recordMark(recBackoff, name, until)
}

// RecordOutage writes that a destination is out since a time of day, or with 0 that it is back.
func (s *Store) RecordOutage(name string, since int64) error {
	s.mu.Lock()
	if old := s.outages[name]; (old == nil && since == 0) || (old != nil && old.value == since) {
		s.mu.Unlock()
		return nil
	}
	return s.recordMark(recOutage, name, since)
}

// recordMark writes a wait or an outage, into the log and the mirror; the lock is held, and given up.
func (s *Store) recordMark(k kind, name string, value int64) error {
	if s.closed {
		s.mu.Unlock()
		return errClosed
	}
	it := &indexItem{name: name, value: value, kind: k, reservedBytes: int32(2 * (frameHeaderSize + 24 + len(name)))}
	s.insert(it)
	fill := func(to []byte) []byte { return binary.AppendVarint(appendText(to, name), value) }
	// Danger: with the one file that has a wait, the wait would be gone. Waits and outages stand in two.
	err := s.appendToMirror(appendFrame(nil, s.seq+1, fill([]byte{byte(k)})))
	record := s.enqueueUntilWritten(it, k, fill)
	if k == recOutage && value == 0 {
		s.remove(it)
	}
	s.mu.Unlock()
	return errors.Join(record.Wait(), err)
}

const (
	mirrorName    = "mirror"
	mirrorNewName = "mirror.new"
)

// appendToMirror appends a record to the mirror, and writes it anew when it is long; the lock is held.
func (s *Store) appendToMirror(rec []byte) error {
	if s.mirror != nil && s.mirrorSize+int64(len(rec)) <= maxMirrorSize {
		_, err := s.mirror.Write(rec)
		if err == nil && s.sync == SyncAlways {
			err = s.mirror.Sync()
		}
		if err == nil {
			s.mirrorSize += int64(len(rec))
			return nil
		}
		s.mirror.Truncate(s.mirrorSize)
		return err
	}
	return s.rewriteMirror()
}

// rewriteMirror writes what is in force into a new mirror; the lock is held.
func (s *Store) rewriteMirror() error {
	text := segmentHeader{epoch: s.epoch}.encode()
	now := s.clock()
	for _, k := range []kind{recBackoff, recOutage} {
		for _, it := range s.table(k) {
			if k == recOutage || it.value > now {
				text = appendFrame(text, s.seq, binary.AppendVarint(appendText([]byte{byte(k)}, it.name), it.value))
			}
		}
	}
	file, err := s.fs.Create(mirrorNewName)
	if err != nil {
		return err
	}
	if _, err = file.Write(text); err == nil && s.sync == SyncAlways {
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
	s.mirror, s.mirrorSize = file, int64(len(text))
	return nil
}

// Compact goes on with emptying the oldest segment, by so many bytes at most, where the folder is full
// enough. It tells whether there is more to do. It is meant for a goroutine of its own; others go on
// meanwhile.
func (s *Store) Compact(most int) (more bool, err error) {
	s.compactionMu.Lock()
	defer s.compactionMu.Unlock()
	s.mu.Lock()
	if s.closed || len(s.segments) < 2 || (s.usedBytes() < s.compactionThreshold && !s.segments[0].stale) {
		defer s.mu.Unlock()
		return false, nil
	}
	oldest := s.segments[0]
	now := s.clock()
	for it := oldest.firstItem; it != nil; it = oldest.firstItem {
		if it.kind != recState {
			if it.kind != recOutage && it.value <= now { // it stands for nothing any more
				s.remove(it)
				continue
			}
			s.unlink(it)
			state := s.enqueueOnce(it, it.kind, 0, func(to []byte) []byte {
				return binary.AppendVarint(appendText(to, it.name), it.value)
			})
			s.mu.Unlock()
			if err := <-state.firstTry; err != nil {
				return s.relink(it, oldest, err)
			}
			most -= 64
		} else {
			at, body := it.bodyOffset, make([]byte, it.bodySize)
			s.mu.Unlock()
			if len(body) > 0 {
				if err := s.fs.ReadAt(oldest.fileName(), at, body); err != nil {
					return false, err
				}
			}
			s.mu.Lock()
			if !s.isCurrent(it) || it.segment != oldest { // over, meanwhile
				continue
			}
			s.unlink(it)
			e := *it.event
			e.Body = body
			state := s.enqueueOnce(it, recState, len(body), e.appendState)
			s.mu.Unlock()
			if err := <-state.firstTry; err != nil {
				s.mu.Lock()
				if s.isCurrent(it) && it.segment == nil {
					s.link(it, oldest, at, int32(len(body)))
				}
				s.mu.Unlock()
				return false, err
			}
			most -= len(body) + 64
		}
		s.mu.Lock()
		if most <= 0 && oldest.firstItem != nil {
			s.mu.Unlock()
			return true, nil
		}
	}
	s.mu.Unlock()
	return true, s.removeOldest(oldest)
}

// removeOldest removes the oldest segment, of which nothing counts any more. One that cannot be removed stays the
// oldest: the records that end its events stand in later ones, which must not be removed before it.
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

// relink has an item stand where it stood, after its state could not be written anew.
func (s *Store) relink(it *indexItem, g *segment, err error) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isCurrent(it) && it.segment == nil {
		s.link(it, g, 0, 0)
	}
	return false, err
}

// Flush makes all that was written outlast a loss of power.
func (s *Store) Flush() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errClosed
	}
	return s.file.Sync()
}

// ReadBody reads an event's body anew.
func (s *Store) ReadBody(id string) ([]byte, error) {
	s.mu.Lock()
	it := s.events[id]
	if it == nil || it.segment == nil {
		s.mu.Unlock()
		return nil, ErrNotPending
	}
	name, at, body := it.segment.fileName(), it.bodyOffset, make([]byte, it.bodySize)
	s.mu.Unlock()
	return body, s.fs.ReadAt(name, at, body)
}

// Empty tells whether nothing is owed, and all that was is written.
func (s *Store) Empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events) == 0 && s.unwritten == 0
}

// UnwrittenCount counts the records that are kept until they are written.
func (s *Store) UnwrittenCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unwritten
}

// Close writes what is queued and lets go of the folder. The error tells what could not be written.
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
