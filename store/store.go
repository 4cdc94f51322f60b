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
	blockSize   = 512       // bytes in which files are counted
	slackSize   = 8 << 10   // bytes of the folder left alone: heads, last blocks, the lock
	liveEighth  = 3         // eighths of the folder that owed events may take: the rest is for what is dead
	segments    = 16        // parts of the folder that a segment is
	leastSeg    = 16 << 10  // bytes of a segment at least
	mostSeg     = 4 << 20   // and at most: emptying one takes so long
	compactFrom = 2         // the folder is compacted from this part of it on
	sendSize    = 96        // bytes that the two records of a send take, without the event's id
	mirrorMost  = 64 << 10  // bytes of the mirror, from which it is written anew
	noLimit     = 256 << 20 // bytes of the folder where none is told
)

// Errors that callers tell apart.
var (
	ErrFull             = errors.New("store: no room for another event")
	ErrAlreadyPending   = errors.New("store: the event is owed already")
	ErrAlreadyCompleted = errors.New("store: an event of this id has ended")
	ErrNotPending       = errors.New("store: nothing is owed for the event")
	errShut             = errors.New("store: closed")
)

// item is one thing that the store keeps: its newest state stands in a segment.
type item struct {
	event      *Event // without its body, nil for what is no event
	name       string // of a wait, an outage or an id that is over
	until      int64
	seg        *segment // nil while its state is being written
	prev, next *item    // in its segment
	at         int64    // where its body stands in the segment
	body       int32    // bytes of it
	need       int32    // bytes that it may take, all its sends included
	kind       kind     // recState, recOver, recWait or recOutage
}

// segment is one file of the log.
type segment struct {
	number uint64
	size   int64
	first  *item
	former string // its file's name, where a former process left it
	stale  bool   // of a former process, or one that could not be removed: it goes as soon as it can
}

func (g *segment) name() string {
	if g.former != "" {
		return g.former
	}
	return fmt.Sprintf("seg-%016x", g.number)
}

// Store is a store that is open. Its methods may be called by any goroutine.
type Store struct {
	folder  FS
	release func()
	most    int64
	segSize int64
	from    int64 // bytes used from which it is compacted
	sync    SyncPolicy
	sends   int // of an event at most
	clock   func() int64

	sweep   sync.Mutex // one compaction at a time
	mu      sync.Mutex
	epoch   uint64
	seq     uint64
	came    uint64
	segs    []*segment // the last is written to
	file    File
	mirror  File
	mirrors int64 // bytes of the mirror
	events  map[string]*item
	past    map[string]*item // ids that are over, and known until a time
	waits   map[string]*item
	outages map[string]*item
	live    int64    // bytes that what is kept may take
	pending int64    // bytes on their way
	entries []*entry // on their way to the log, in order
	kept    int      // of them, and of those being written, those that are tried until they are written
	shut    bool

	work       sync.Cond // there are entries, or the store is closed
	closing    chan struct{}
	writerDone chan struct{}
	closeError error // why records are not written at the end
	sealed     bool  // nothing more is appended to the last segment; the writer's, as the file is
}

func blocks(size int64) int64 { return (size + blockSize - 1) / blockSize * blockSize }

// used is what the files take; the lock is held.
func (s *Store) used() (total int64) {
	for _, g := range s.segs {
		total += blocks(g.size)
	}
	return total + blocks(s.mirrors) + s.pending
}

// UsedBytes is how many bytes the files take.
func (s *Store) UsedBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used()
}

// need is what may be written of an event, all its sends included.
func (s *Store) need(e *Event) int64 {
	return int64(frameSize+64+len(e.ID)+len(e.Kind)+len(e.Owner)+len(e.IdempotencyKey)+len(e.Body)) + s.reserve(e.ID)
}

func (s *Store) reserve(id string) int64 { return int64(s.sends+2) * int64(sendSize+2*len(id)) }

// link has an item's state stand in a segment; the lock is held, as for unlink.
func (s *Store) link(it *item, g *segment, at int64, body int32) {
	it.seg, it.at, it.body = g, at, body
	it.prev, it.next = nil, g.first
	if g.first != nil {
		g.first.prev = it
	}
	g.first = it
}

func (s *Store) unlink(it *item) {
	if it.seg == nil {
		return
	}
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		it.seg.first = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	}
	it.seg, it.prev, it.next = nil, nil, nil
}

// of is the table in which things of a kind are kept.
func (s *Store) of(k kind) map[string]*item {
	switch k {
	case recState:
		return s.events
	case recOver:
		return s.past
	case recWait:
		return s.waits
	}
	return s.outages
}

func (it *item) key() string {
	if it.event != nil {
		return it.event.ID
	}
	return it.name
}

// isKept tells whether an item is still the one that is kept under its name; the lock is held.
func (s *Store) isKept(it *item) bool { return s.of(it.kind)[it.key()] == it }

func (s *Store) drop(it *item) {
	if s.isKept(it) {
		delete(s.of(it.kind), it.key())
		s.live -= int64(it.need)
		s.unlink(it)
	}
}

func (s *Store) keep(it *item) {
	if old := s.of(it.kind)[it.key()]; old != nil {
		s.drop(old)
	}
	s.of(it.kind)[it.key()] = it
	s.live += int64(it.need)
}

// Accept writes that an event was taken on. Its body is not kept in memory. The error is ErrKnown for one that
// is owed already, ErrEnded while one of its id is known to be over, and ErrFull where there is no room for all that may be written of it.
//
// What it returns tells this event from another of the same id, in the calls about it: 0 stands for whichever
// is owed.
func (s *Store) Accept(e Event) (came uint64, err error) {
	need := s.need(&e)
	s.squeeze(need)
	s.mu.Lock()
	if s.shut {
		s.mu.Unlock()
		return 0, errShut
	}
	if s.events[e.ID] != nil {
		s.mu.Unlock()
		return 0, ErrAlreadyPending
	}
	if past := s.past[e.ID]; past != nil && past.until > s.clock() {
		s.mu.Unlock()
		return 0, ErrAlreadyCompleted
	}
	if (s.live+need)*8/liveEighth > s.most || s.used()+need > s.most-s.segSize {
		s.mu.Unlock()
		return 0, ErrFull
	}
	s.came++
	kept := e
	kept.Body, kept.ArrivalSeq = nil, s.came
	it := &item{event: &kept, kind: recState, need: int32(need)}
	s.keep(it)
	e.ArrivalSeq = s.came
	state := s.put(it, recState, len(e.Body), e.state)
	s.mu.Unlock()
	if err = <-state.tried; err != nil {
		s.mu.Lock()
		s.drop(it)
		s.mu.Unlock()
		return 0, err
	}
	return e.ArrivalSeq, nil
}

// squeeze makes room for a record where dead ones fill the folder faster than Compact is called. Danger: over
// its limit, even for a moment, the node counts as crashed. What is owed takes no more than its part, so
// there is room.
func (s *Store) squeeze(size int64) {
	for range 2 * segments { // danger: where what is owed does not fit, it would go on for ever
		s.mu.Lock()
		enough := s.used()+size <= s.most-s.segSize
		s.mu.Unlock()
		if enough {
			return
		}
		if more, err := s.Compact(int(s.segSize)); err != nil || !more {
			return
		}
	}
}

// owed is an event that is owed, nil where none is, or only another of that id; the lock is held.
func (s *Store) owed(id string, came uint64) *item {
	if it := s.events[id]; it != nil && (came == 0 || it.event.ArrivalSeq == came) {
		return it
	}
	return nil
}

// RecordAttempt writes that an attempt goes out. Where it fails, nothing may go.
func (s *Store) RecordAttempt(id string, came uint64, number int, at int64, zone string) error {
	s.squeeze(sendSize)
	s.mu.Lock()
	it := s.owed(id, came)
	if it == nil || s.shut {
		defer s.mu.Unlock()
		return absence(it)
	}
	it.event.BeginAttempt(number, Attempt{StartedAt: at, Zone: zone})
	record := s.put(nil, recBegan, 0, func(to []byte) []byte {
		return putText(binary.AppendVarint(append(putText(to, id), byte(number)), at), zone)
	})
	s.mu.Unlock()
	err := <-record.tried
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		it.event.unbegin(number)
	}
	return err
}

// absence is why there is no record to write: the event is over, or else the store is closed.
func absence(it *item) error {
	if it == nil {
		return ErrNotPending
	}
	return errShut
}

// RecordOutcome writes how an attempt ended.
func (s *Store) RecordOutcome(id string, came uint64, number int, how outcome) *PendingWrite {
	return s.keepRecord(id, came, recEnded, func(e *Event) {
		if number < len(e.Attempts) {
			e.Attempts[number].Ended, e.Attempts[number].Outcome = true, how
		}
	}, func(to []byte) []byte { return append(to, byte(number), byte(how)) })
}

// RecordVerdict writes how an event ends whose notice is still owed.
func (s *Store) RecordVerdict(id string, came uint64, v Verdict, comeBack int64) *PendingWrite {
	return s.keepRecord(id, came, recDecide, func(e *Event) { e.Verdict, e.RetryAfter = v, comeBack },
		func(to []byte) []byte { return binary.AppendVarint(append(to, byte(v)), comeBack) })
}

// RecordVerdictAndTrim writes how an event ends of which nothing but its notice may still be needed. Its body and its sends are
// dropped, so that it takes little room for as long as it is kept.
func (s *Store) RecordVerdictAndTrim(id string, came uint64, v Verdict) *PendingWrite {
	s.squeeze(sendSize)
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.owed(id, came)
	if it == nil || s.shut {
		return noRecord(absence(it))
	}
	brief := *it.event
	brief.IdempotencyKey, brief.Attempts, brief.Body, brief.Verdict = "", nil, nil, v
	size := frameSize + len(brief.state([]byte{byte(recState)})) + frameSize + briefEndSize + len(id)
	next := &item{event: &brief, kind: recState, need: int32(size)}
	s.keep(next)
	return s.putKept(next, recState, brief.state)
}

// briefEndSize is what the record of an event's end takes, without the event's id and the frame.
const briefEndSize = 16

// PendingCount counts the events that are owed an end.
func (s *Store) PendingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events)
}

// keepRecord writes a record about an event that is owed, and keeps it until it is written.
func (s *Store) keepRecord(id string, came uint64, k kind, change func(*Event), fill func([]byte) []byte) *PendingWrite {
	s.squeeze(sendSize)
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.owed(id, came)
	if it == nil || s.shut {
		return noRecord(absence(it))
	}
	change(it.event)
	return s.putKept(nil, k, func(to []byte) []byte { return fill(putText(to, id)) })
}

// Complete writes that nothing more is owed for an event. Its id is known as over until a time of day, 0 for not at
// all.
func (s *Store) Complete(id string, came uint64, until int64) *PendingWrite {
	s.squeeze(sendSize)
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.owed(id, came)
	if it == nil || s.shut {
		return noRecord(absence(it))
	}
	s.drop(it)
	var past *item
	if until > s.clock() {
		past = &item{name: id, until: until, kind: recOver, need: int32(frameSize + 24 + len(id))}
		s.keep(past)
	}
	return s.putKept(past, recOver, func(to []byte) []byte { return binary.AppendVarint(putText(to, id), until) })
}

// IsCompleted tells whether an event of this id ended, as far as that is still known.
func (s *Store) IsCompleted(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.past[id]
	return it != nil && it.until > s.clock()
}

// RecordBackoff writes that a destination, or a route of it, told to wait until a time of day. It never makes a wait
// shorter.
func (s *Store) RecordBackoff(name string, until int64) error {
	s.mu.Lock()
	if old := s.waits[name]; old != nil && old.until >= until {
		s.mu.Unlock()
		return nil
	}
	return s.mark(recWait, name, until)
}

// RecordOutage writes that a destination is out since a time of day, or with 0 that it is back.
func (s *Store) RecordOutage(name string, since int64) error {
	s.mu.Lock()
	if old := s.outages[name]; (old == nil && since == 0) || (old != nil && old.until == since) {
		s.mu.Unlock()
		return nil
	}
	return s.mark(recOutage, name, since)
}

// mark writes a wait or an outage, into the log and the mirror; the lock is held, and given up.
func (s *Store) mark(k kind, name string, value int64) error {
	if s.shut {
		s.mu.Unlock()
		return errShut
	}
	it := &item{name: name, until: value, kind: k, need: int32(2 * (frameSize + 24 + len(name)))}
	s.keep(it)
	fill := func(to []byte) []byte { return binary.AppendVarint(putText(to, name), value) }
	// Danger: with the one file that has a wait, the wait would be gone. Waits and outages stand in two.
	err := s.mirrored(frame(nil, s.seq+1, fill([]byte{byte(k)})))
	record := s.putKept(it, k, fill)
	if k == recOutage && value == 0 {
		s.drop(it)
	}
	s.mu.Unlock()
	return errors.Join(record.Wait(), err)
}

const (
	mirrorName = "mirror"
	mirrorNext = "mirror.new"
)

// mirrored appends a record to the mirror, and writes it anew when it is long; the lock is held.
func (s *Store) mirrored(rec []byte) error {
	if s.mirror != nil && s.mirrors+int64(len(rec)) <= mirrorMost {
		_, err := s.mirror.Write(rec)
		if err == nil && s.sync == SyncAlways {
			err = s.mirror.Sync()
		}
		if err == nil {
			s.mirrors += int64(len(rec))
			return nil
		}
		s.mirror.Truncate(s.mirrors)
		return err
	}
	return s.rewriteMirror()
}

// rewriteMirror writes what is in force into a new mirror; the lock is held.
func (s *Store) rewriteMirror() error {
	text := head{epoch: s.epoch}.bytes()
	now := s.clock()
	for _, k := range []kind{recWait, recOutage} {
		for _, it := range s.of(k) {
			if k == recOutage || it.until > now {
				text = frame(text, s.seq, binary.AppendVarint(putText([]byte{byte(k)}, it.name), it.until))
			}
		}
	}
	file, err := s.folder.Create(mirrorNext)
	if err != nil {
		return err
	}
	if _, err = file.Write(text); err == nil && s.sync == SyncAlways {
		err = file.Sync()
	}
	if err == nil {
		err = s.folder.Rename(mirrorNext, mirrorName)
	}
	if err == nil && s.sync == SyncAlways {
		err = s.folder.Sync()
	}
	if err != nil {
		file.Close()
		s.folder.Remove(mirrorNext)
		return err
	}
	if s.mirror != nil {
		s.mirror.Close()
	}
	s.mirror, s.mirrors = file, int64(len(text))
	return nil
}

// Compact goes on with emptying the oldest segment, by so many bytes at most, where the folder is full
// enough. It tells whether there is more to do. It is meant for a goroutine of its own; others go on
// meanwhile.
func (s *Store) Compact(most int) (more bool, err error) {
	s.sweep.Lock()
	defer s.sweep.Unlock()
	s.mu.Lock()
	if s.shut || len(s.segs) < 2 || (s.used() < s.from && !s.segs[0].stale) {
		defer s.mu.Unlock()
		return false, nil
	}
	oldest := s.segs[0]
	now := s.clock()
	for it := oldest.first; it != nil; it = oldest.first {
		if it.kind != recState {
			if it.kind != recOutage && it.until <= now { // it stands for nothing any more
				s.drop(it)
				continue
			}
			s.unlink(it)
			state := s.put(it, it.kind, 0, func(to []byte) []byte {
				return binary.AppendVarint(putText(to, it.name), it.until)
			})
			s.mu.Unlock()
			if err := <-state.tried; err != nil {
				return s.back(it, oldest, err)
			}
			most -= 64
		} else {
			at, body := it.at, make([]byte, it.body)
			s.mu.Unlock()
			if len(body) > 0 {
				if err := s.folder.ReadAt(oldest.name(), at, body); err != nil {
					return false, err
				}
			}
			s.mu.Lock()
			if !s.isKept(it) || it.seg != oldest { // over, meanwhile
				continue
			}
			s.unlink(it)
			e := *it.event
			e.Body = body
			state := s.put(it, recState, len(body), e.state)
			s.mu.Unlock()
			if err := <-state.tried; err != nil {
				s.mu.Lock()
				if s.isKept(it) && it.seg == nil {
					s.link(it, oldest, at, int32(len(body)))
				}
				s.mu.Unlock()
				return false, err
			}
			most -= len(body) + 64
		}
		s.mu.Lock()
		if most <= 0 && oldest.first != nil {
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
	if err := s.folder.Remove(oldest.name()); err != nil && !errors.Is(err, fs.ErrNotExist) {
		s.mu.Lock()
		defer s.mu.Unlock()
		oldest.stale = true
		return fmt.Errorf("store: remove %s: %w", oldest.name(), err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segs = s.segs[1:]
	return nil
}

// back has an item stand where it stood, after its state could not be written anew.
func (s *Store) back(it *item, g *segment, err error) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isKept(it) && it.seg == nil {
		s.link(it, g, 0, 0)
	}
	return false, err
}

// Flush makes all that was written outlast a loss of power.
func (s *Store) Flush() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shut {
		return errShut
	}
	return s.file.Sync()
}

// ReadBody reads an event's body anew.
func (s *Store) ReadBody(id string) ([]byte, error) {
	s.mu.Lock()
	it := s.events[id]
	if it == nil || it.seg == nil {
		s.mu.Unlock()
		return nil, ErrNotPending
	}
	name, at, body := it.seg.name(), it.at, make([]byte, it.body)
	s.mu.Unlock()
	return body, s.folder.ReadAt(name, at, body)
}

// Empty tells whether nothing is owed, and all that was is written.
func (s *Store) Empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events) == 0 && s.kept == 0
}

// UnwrittenCount counts the records that are kept until they are written.
func (s *Store) UnwrittenCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kept
}

// Close writes what is queued and lets go of the folder. The error tells what could not be written.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.shut {
		s.mu.Unlock()
		return nil
	}
	s.shut = true
	close(s.closing)
	s.work.Signal()
	s.mu.Unlock()
	<-s.writerDone
	s.mu.Lock()
	defer s.mu.Unlock()
	err := errors.Join(s.closeError, s.file.Close())
	if s.mirror != nil {
		err = errors.Join(err, s.mirror.Close())
	}
	s.release()
	return err
}

func newEpoch() uint64 { return rand.Uint64() | 1 }
