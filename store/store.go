package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"sync"
)

// Sync says when what was written is made to outlast a loss of power. A killed process loses nothing in any
// case.
type Sync uint8

const (
	Never  Sync = iota // the system writes when it likes
	Always             // before a call that writes returns
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
	ErrFull  = errors.New("store: no room for another event")
	ErrKnown = errors.New("store: the event is owed already")
	ErrOver  = errors.New("store: nothing is owed for the event")
	errShut  = errors.New("store: closed")
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
}

func (g *segment) name() string { return fmt.Sprintf("seg-%016x", g.number) }

// op is a record on its way to the log.
type op struct {
	item *item // whose state it is, nil for a record that is no state
	rec  []byte
	body int // bytes of the body at its end
}

// batch is what one write carries.
type batch struct {
	ops  []op
	done chan struct{}
	lead chan struct{} // one of those who wait is told to write
	err  error
}

// Store is a store that is open. Its methods may be called by any goroutine.
type Store struct {
	folder  Folder
	release func()
	most    int64
	segSize int64
	from    int64 // bytes used from which it is compacted
	sync    Sync
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
	live    int64 // bytes that what is kept may take
	pending int64 // bytes on their way
	cur     *batch
	writing bool
	shut    bool
	broken  error // the log cannot be written to any more
}

func newBatch() *batch { return &batch{done: make(chan struct{}), lead: make(chan struct{}, 1)} }

func blocks(size int64) int64 { return (size + blockSize - 1) / blockSize * blockSize }

// used is what the files take; the lock is held.
func (s *Store) used() (total int64) {
	for _, g := range s.segs {
		total += blocks(g.size)
	}
	return total + blocks(s.mirrors) + s.pending
}

// Used is how many bytes the files take.
func (s *Store) Used() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used()
}

// need is what may be written of an event, all its sends included.
func (s *Store) need(e *Event) int64 {
	return int64(frameSize+64+len(e.ID)+len(e.Kind)+len(e.Owner)+len(e.Mark)+len(e.Body)) + s.reserve(e.ID)
}

func (s *Store) reserve(id string) int64 { return int64(s.sends+2) * int64(sendSize+2*len(id)) }

// put queues a record; the lock is held. It returns the batch whose end to wait for.
func (s *Store) put(it *item, k kind, body int, fill func([]byte) []byte) *batch {
	s.seq++
	rec := frame(nil, s.seq, k, fill)
	s.pending += int64(len(rec))
	s.cur.ops = append(s.cur.ops, op{it, rec, body})
	return s.cur
}

// wait waits until a batch is written. One of those who wait writes it, for all.
func (s *Store) wait(b *batch) error {
	s.mu.Lock()
	if !s.writing && b == s.cur {
		s.writing = true
		s.mu.Unlock()
		s.write()
		<-b.done
		return b.err
	}
	s.mu.Unlock()
	select {
	case <-b.done:
	case <-b.lead:
		s.write()
		<-b.done
	}
	return b.err
}

// write writes the batch of the moment, and hands the pen to one who waits for the next.
func (s *Store) write() {
	s.mu.Lock()
	b := s.cur
	s.cur = newBatch()
	size := 0
	for i := range b.ops {
		size += len(b.ops[i].rec)
	}
	err := s.broken
	if last := s.segs[len(s.segs)-1]; err == nil && last.size >= s.segSize {
		err = s.roll(b.ops[0].seq())
	}
	g, file := s.segs[len(s.segs)-1], s.file
	s.mu.Unlock()
	if err == nil {
		buf := make([]byte, 0, size)
		for i := range b.ops {
			buf = append(buf, b.ops[i].rec...)
		}
		if _, err = file.Write(buf); err == nil && s.sync == Always {
			err = file.Sync()
		}
	}
	s.mu.Lock()
	s.pending -= int64(size)
	if err != nil {
		// Danger: half a record, and the sequence numbers of the batch, would pass for a gap in which anything may
		// have stood. What was written of it is taken back.
		if s.broken == nil {
			if bad := file.Truncate(g.size); bad != nil {
				s.broken = fmt.Errorf("store: a record was half written and cannot be taken back: %w", bad)
			} else {
				s.renumber(b)
			}
		}
	} else {
		at := g.size
		for i := range b.ops {
			o := &b.ops[i]
			at += int64(len(o.rec))
			if o.item != nil && s.kept(o.item) {
				s.unlink(o.item)
				s.link(o.item, g, at-int64(o.body), int32(o.body))
			}
		}
		g.size = at
	}
	b.err = err
	close(b.done)
	if len(s.cur.ops) > 0 {
		s.cur.lead <- struct{}{}
	} else {
		s.writing = false
	}
	s.mu.Unlock()
}

func (o *op) seq() uint64 { return le.Uint64(o.rec[8:]) }

// renumber gives the sequence numbers of a batch that was not written to those that come after it; the lock
// is held.
func (s *Store) renumber(lost *batch) {
	s.seq = lost.ops[0].seq() - 1
	for i := range s.cur.ops {
		o := &s.cur.ops[i]
		s.seq++
		payload := append([]byte(nil), o.rec[frameSize:]...)
		o.rec = frame(
			o.rec[:0],
			s.seq,
			kind(payload[0]),
			func(b []byte) []byte { return append(b, payload[1:]...) },
		)
	}
}

// roll begins a new segment; the lock is held.
func (s *Store) roll(first uint64) error {
	number := uint64(1)
	if len(s.segs) > 0 {
		number = s.segs[len(s.segs)-1].number + 1
	}
	g := &segment{number: number, size: headSize}
	file, err := s.folder.Create(g.name())
	if err != nil {
		return err
	}
	if _, err = file.Write(head{s.epoch, number, first}.bytes()); err == nil && s.sync == Always {
		if err = file.Sync(); err == nil {
			err = s.folder.Sync()
		}
	}
	if err != nil {
		file.Close()
		s.folder.Remove(g.name())
		return err
	}
	if s.file != nil {
		s.file.Close()
	}
	s.file, s.segs = file, append(s.segs, g)
	return nil
}

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

// kept tells whether an item is still the one that is kept under its name; the lock is held.
func (s *Store) kept(it *item) bool { return s.of(it.kind)[it.key()] == it }

func (s *Store) drop(it *item) {
	if s.kept(it) {
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

// Take writes that an event was taken on. Its body is not kept in memory. The error is ErrKnown for one that
// is owed already and ErrFull where there is no room for all that may be written of it.
//
// What it returns tells this event from another of the same id, in the calls about it: 0 stands for whichever
// is owed.
func (s *Store) Take(e Event) (came uint64, err error) {
	need := s.need(&e)
	s.squeeze(need)
	s.mu.Lock()
	if s.shut || s.broken != nil {
		defer s.mu.Unlock()
		return 0, errors.Join(s.broken, shutError(s.shut))
	}
	if s.events[e.ID] != nil {
		s.mu.Unlock()
		return 0, ErrKnown
	}
	if (s.live+need)*8/liveEighth > s.most || s.used()+need > s.most-s.segSize {
		s.mu.Unlock()
		return 0, ErrFull
	}
	s.came++
	kept := e
	kept.Body, kept.Came = nil, s.came
	it := &item{event: &kept, kind: recState, need: int32(need)}
	s.keep(it)
	e.Came = s.came
	b := s.put(it, recState, len(e.Body), e.state)
	s.mu.Unlock()
	if err = s.wait(b); err != nil {
		s.mu.Lock()
		s.drop(it)
		s.mu.Unlock()
		return 0, err
	}
	return e.Came, nil
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

func shutError(shut bool) error {
	if shut {
		return errShut
	}
	return nil
}

// owed is an event that is owed, nil where none is, or only another of that id; the lock is held.
func (s *Store) owed(id string, came uint64) *item {
	if it := s.events[id]; it != nil && (came == 0 || it.event.Came == came) {
		return it
	}
	return nil
}

// note writes a record about an event that is owed.
func (s *Store) note(id string, came uint64, k kind, change func(*Event), fill func([]byte) []byte) error {
	s.squeeze(sendSize)
	s.mu.Lock()
	it := s.owed(id, came)
	if it == nil || s.shut || s.broken != nil {
		defer s.mu.Unlock()
		if it == nil {
			return ErrOver
		}
		return errors.Join(s.broken, shutError(s.shut))
	}
	change(it.event)
	b := s.put(nil, k, 0, func(to []byte) []byte { return fill(putText(to, id)) })
	s.mu.Unlock()
	return s.wait(b)
}

// Began writes that a send goes out. Where it fails, nothing may go.
func (s *Store) Began(id string, came uint64, number int, at int64, zone string) error {
	err := s.note(id, came, recBegan,
		func(e *Event) { e.Begin(number, Send{At: at, Zone: zone}) },
		func(to []byte) []byte { return putText(binary.AppendVarint(append(to, byte(number)), at), zone) })
	if err != nil && !errors.Is(err, ErrOver) {
		s.mu.Lock()
		if it := s.owed(id, came); it != nil &&
			number < len(it.event.Sends) { // it did not go, and must not pass for out
			it.event.Sends[number].Ended, it.event.Sends[number].How = true, unsent
		}
		s.mu.Unlock()
	}
	return err
}

// Ended writes how a send ended.
func (s *Store) Ended(id string, came uint64, number int, how outcome) error {
	return s.note(id, came, recEnded, func(e *Event) {
		if number < len(e.Sends) {
			e.Sends[number].Ended, e.Sends[number].How = true, how
		}
	}, func(to []byte) []byte { return append(to, byte(number), byte(how)) })
}

// Decide writes how an event ends whose notice is still owed.
func (s *Store) Decide(id string, came uint64, v Verdict, comeBack int64) error {
	return s.note(id, came, recDecide, func(e *Event) { e.Verdict, e.ComeBack = v, comeBack },
		func(to []byte) []byte { return binary.AppendVarint(append(to, byte(v)), comeBack) })
}

// Over writes that nothing more is owed for an event. Its id is known as over until a time of day, 0 for not
// at all.
func (s *Store) Over(id string, came uint64, until int64) error {
	s.squeeze(sendSize)
	s.mu.Lock()
	it := s.owed(id, came)
	if it == nil || s.shut || s.broken != nil {
		defer s.mu.Unlock()
		return errors.Join(s.broken, shutError(s.shut))
	}
	s.drop(it)
	var past *item
	if until > s.clock() {
		past = &item{name: id, until: until, kind: recOver, need: int32(frameSize + 24 + len(id))}
		s.keep(past)
	}
	b := s.put(
		past,
		recOver,
		0,
		func(to []byte) []byte { return binary.AppendVarint(putText(to, id), until) },
	)
	s.mu.Unlock()
	return s.wait(b)
}

// IsOver tells whether an event of this id ended, as far as that is still known.
func (s *Store) IsOver(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.past[id]
	return it != nil && it.until > s.clock()
}

// Wait writes that a destination, or a route of it, told to wait until a time of day. It never makes a wait
// shorter.
func (s *Store) Wait(name string, until int64) error {
	s.mu.Lock()
	if old := s.waits[name]; old != nil && old.until >= until {
		s.mu.Unlock()
		return nil
	}
	return s.mark(recWait, name, until)
}

// Outage writes that a destination is out since a time of day, or with 0 that it is back.
func (s *Store) Outage(name string, since int64) error {
	s.mu.Lock()
	if old := s.outages[name]; (old == nil && since == 0) || (old != nil && old.until == since) {
		s.mu.Unlock()
		return nil
	}
	return s.mark(recOutage, name, since)
}

// mark writes a wait or an outage, into the log and the mirror; the lock is held, and given up.
func (s *Store) mark(k kind, name string, value int64) error {
	if s.shut || s.broken != nil {
		defer s.mu.Unlock()
		return errors.Join(s.broken, shutError(s.shut))
	}
	it := &item{name: name, until: value, kind: k, need: int32(2 * (frameSize + 24 + len(name)))}
	s.keep(it)
	fill := func(to []byte) []byte { return binary.AppendVarint(putText(to, name), value) }
	// Danger: with the one file that has a wait, the wait would be gone. Waits and outages stand in two.
	err := s.mirrored(frame(nil, s.seq+1, k, fill))
	b := s.put(it, k, 0, fill)
	if k == recOutage && value == 0 {
		s.drop(it)
	}
	s.mu.Unlock()
	return errors.Join(s.wait(b), err)
}

const (
	mirrorName = "mirror"
	mirrorNext = "mirror.new"
)

// mirrored appends a record to the mirror, and writes it anew when it is long; the lock is held.
func (s *Store) mirrored(rec []byte) error {
	if s.mirror != nil && s.mirrors+int64(len(rec)) <= mirrorMost {
		_, err := s.mirror.Write(rec)
		if err == nil && s.sync == Always {
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
				text = frame(
					text,
					s.seq,
					k,
					func(to []byte) []byte { return binary.AppendVarint(putText(to, it.name), it.until) },
				)
			}
		}
	}
	file, err := s.folder.Create(mirrorNext)
	if err != nil {
		return err
	}
	if _, err = file.Write(text); err == nil && s.sync == Always {
		err = file.Sync()
	}
	if err == nil {
		err = s.folder.Rename(mirrorNext, mirrorName)
	}
	if err == nil && s.sync == Always {
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
	if s.shut || s.broken != nil || len(s.segs) < 2 || s.used() < s.from {
		defer s.mu.Unlock()
		return false, s.broken
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
			b := s.put(it, it.kind, 0, func(to []byte) []byte {
				return binary.AppendVarint(putText(to, it.name), it.until)
			})
			s.mu.Unlock()
			if err := s.wait(b); err != nil {
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
			if !s.kept(it) || it.seg != oldest { // over, meanwhile
				continue
			}
			s.unlink(it)
			e := *it.event
			e.Body = body
			b := s.put(it, recState, len(body), e.state)
			s.mu.Unlock()
			if err := s.wait(b); err != nil {
				s.mu.Lock()
				if s.kept(it) && it.seg == nil {
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
	if s.kept(it) && it.seg == nil {
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

// Body reads an event's body anew.
func (s *Store) Body(id string) ([]byte, error) {
	s.mu.Lock()
	it := s.events[id]
	if it == nil || it.seg == nil {
		s.mu.Unlock()
		return nil, ErrOver
	}
	name, at, body := it.seg.name(), it.at, make([]byte, it.body)
	s.mu.Unlock()
	return body, s.folder.ReadAt(name, at, body)
}

// Empty tells whether nothing is owed.
func (s *Store) Empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events) == 0
}

// Close waits for what is being written and lets go of the folder.
func (s *Store) Close() error {
	s.mu.Lock()
	s.shut = true
	b, writing := s.cur, s.writing
	s.mu.Unlock()
	if writing && len(b.ops) > 0 {
		<-b.done
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.file.Close()
	if s.mirror != nil {
		err = errors.Join(err, s.mirror.Close())
	}
	s.release()
	return err
}

func newEpoch() uint64 { return rand.Uint64() | 1 }
