package store

import (
	"errors"
	"fmt"
	"time"

	"jaspersill/errclass"
)

const (
	writeAgain    = 10 * time.Millisecond  // between tries to write what is kept
	settleAgain   = 5 * time.Millisecond   // between tries to take a failed write back
	settleWithin  = 250 * time.Millisecond // a refusal is held so long for it: clients wait 400 ms for their answer
	closeWithin   = 300 * time.Millisecond // for the last records at the end of the process
	startWithin   = 10 * time.Second       // for calls that fail at the start
	startAgain    = 20 * time.Millisecond
	batchCapacity = 64 // entries, to begin with
)

// ErrDeferred tells that a record could not be written yet. The store keeps it and tries again.
var ErrDeferred = errors.New("store: the record is written later")

// entry is a record on its way to the log.
type entry struct {
	payload []byte
	item    *item // whose state it is, nil for a record that is no state
	body    int   // bytes of the body at its end
	tried   chan error
	written chan struct{} // nil for a record that is refused when its first write fails
}

func (e *entry) size() int64 { return int64(frameSize + len(e.payload)) }

// keeps tells whether the record stays queued until it is written.
func (e *entry) keeps() bool { return e.written != nil }

// PendingWrite follows a record that the store keeps until it is written.
type PendingWrite struct {
	tried   chan error
	written chan struct{}
	err     error
}

// Written is closed once the record stands in the log, or no record is needed. It never is in a store that is closed.
func (r *PendingWrite) Written() <-chan struct{} { return r.written }

// Wait waits for the first try to write the record. The error wraps ErrDeferred where it is tried again later.
func (r *PendingWrite) Wait() error {
	if r.tried == nil {
		return r.err
	}
	if err := <-r.tried; err != nil {
		return fmt.Errorf("%w: %w", ErrDeferred, err)
	}
	return nil
}

// noRecord is the receipt of a call that leads to no record. With ErrOver none is needed.
func noRecord(err error) *PendingWrite {
	r := &PendingWrite{err: err, written: make(chan struct{})}
	if errors.Is(err, ErrNotPending) {
		close(r.written)
	}
	return r
}

// queue hands an entry to the writer; the lock is held.
func (s *Store) queue(e *entry) {
	s.pending += e.size()
	s.entries = append(s.entries, e)
	s.work.Signal()
}

// put queues a record that is refused when its first write fails; the lock is held.
func (s *Store) put(it *item, k kind, body int, fill func([]byte) []byte) *entry {
	e := &entry{payload: fill([]byte{byte(k)}), item: it, body: body, tried: make(chan error, 1)}
	s.queue(e)
	return e
}

// putKept queues a record that is tried until it is written; the lock is held.
func (s *Store) putKept(it *item, k kind, fill func([]byte) []byte) *PendingWrite {
	e := &entry{payload: fill([]byte{byte(k)}), item: it, tried: make(chan error, 1), written: make(chan struct{})}
	s.kept++
	s.queue(e)
	return &PendingWrite{tried: e.tried, written: e.written}
}

// runWriter is the only goroutine that writes to the log. It takes what is queued in order, many records to a write.
// What it may not refuse it keeps at the head of the queue until it is written.
func (s *Store) runWriter() {
	defer close(s.writerDone)
	var shutSince time.Time
	for {
		batch, shut := s.nextBatch()
		if batch == nil {
			return
		}
		kept, err := s.writeBatch(batch)
		if err == nil {
			continue
		}
		if shut && shutSince.IsZero() {
			shutSince = time.Now()
		}
		if shut && (errclass.File(err) != errclass.Transient || time.Since(shutSince) > closeWithin) {
			s.mu.Lock()
			s.closeError = err
			s.mu.Unlock()
			return
		}
		if kept {
			s.restBeforeNextTry(shut)
		}
	}
}

// restBeforeNextTry waits for a moment, which the closing of the store cuts short once.
func (s *Store) restBeforeNextTry(shut bool) {
	if shut {
		time.Sleep(writeAgain)
		return
	}
	select {
	case <-s.closing:
	case <-time.After(writeAgain):
	}
}

// nextBatch waits for records and takes all that are queued; nil once the store is closed and all is written.
func (s *Store) nextBatch() (batch []*entry, shut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.entries) == 0 && !s.shut {
		s.work.Wait()
	}
	batch, s.entries = s.entries, nil
	return batch, s.shut
}

// writeBatch writes records in order. Those that it could not write go back to the head of the queue if they are
// kept, and are refused if not. It tells whether there are any of the former.
func (s *Store) writeBatch(batch []*entry) (keeps bool, err error) {
	written, err := s.appendBatch(batch)
	if err == nil {
		return false, nil
	}
	rest := batch[written:]
	var kept []*entry
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range rest {
		select {
		case e.tried <- err:
		default: // it was tried before
		}
		if e.keeps() {
			kept = append(kept, e)
		} else {
			s.pending -= e.size()
		}
	}
	s.entries = append(kept, s.entries...)
	return len(kept) > 0, err
}

// appendBatch appends records to the last segment. It tells how many of them stand there, which are all if there is
// no error. What was written of the others is taken back.
func (s *Store) appendBatch(batch []*entry) (written int, err error) {
	if err := s.prepareSegment(); err != nil {
		return 0, err
	}
	text := make([]byte, 0, batchCapacity*frameSize)
	ends := make([]int, len(batch))
	for i, e := range batch {
		text = frame(text, s.seq+uint64(i)+1, e.payload)
		ends[i] = len(text)
	}
	size, err := s.file.Write(text)
	if err == nil && s.sync == SyncAlways {
		if err = s.file.Sync(); err != nil { // what the system has of it is unknown, now and after a later sync
			size, s.sealed = 0, true
		}
	}
	for written < len(batch) && ends[written] <= size {
		written++
	}
	s.commit(batch[:written])
	if err != nil {
		s.settle()
	}
	return written, err
}

// commit notes that records stand in the last segment.
func (s *Store) commit(batch []*entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	segment := s.segs[len(s.segs)-1]
	for _, e := range batch {
		s.seq++
		segment.size += e.size()
		s.pending -= e.size()
		if e.item != nil && s.isKept(e.item) {
			s.unlink(e.item)
			s.link(e.item, segment, segment.size-int64(e.body), int32(e.body))
		}
		select {
		case e.tried <- nil:
		default:
		}
		if e.keeps() {
			s.kept--
			close(e.written)
		}
	}
}

// settle takes back what a failed write left behind the last whole record: the file is cut there, or a new segment
// says that nothing behind it counts. A refusal must not be told before, for a restart would find what was refused.
func (s *Store) settle() {
	for began := time.Now(); ; time.Sleep(settleAgain) {
		segment := s.last()
		err := s.file.Truncate(segment.size)
		if err == nil {
			return
		}
		s.sealed = true
		if s.roll() == nil {
			return
		}
		if errclass.File(err) != errclass.Transient || time.Since(began) > settleWithin {
			return
		}
	}
}

// prepareSegment makes sure that the last segment takes records.
func (s *Store) prepareSegment() error {
	if last := s.last(); !s.sealed && last.size < s.segSize {
		return nil
	}
	return s.roll()
}

// last is the segment that is written to.
func (s *Store) last() *segment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.segs[len(s.segs)-1]
}

// roll begins a new segment. Its head says where the one before ends, whatever a failed write left behind that. Once
// it was tried, nothing more is appended to the one before: the new head may stand on the disk although it failed.
func (s *Store) roll() error {
	s.sealed = true
	last := s.last()
	next := &segment{number: last.number + 1, size: headSize}
	file, err := s.folder.Create(next.name())
	if err != nil {
		return err
	}
	text := head{epoch: s.epoch, number: next.number, first: s.seq + 1, previousSize: uint32(last.size)}.bytes()
	if _, err = file.Write(text); err == nil && s.sync == SyncAlways {
		if err = file.Sync(); err == nil {
			err = s.folder.Sync()
		}
	}
	if err != nil {
		file.Close()
		s.folder.Remove(next.name()) // a file that stays is begun anew by the next try
		return err
	}
	if s.file != nil {
		s.file.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.file, s.sealed, s.segs = file, false, append(s.segs, next)
	return nil
}

// again repeats a call of the start for as long as it fails for a moment.
func again(call func() error) error {
	return errclass.Retry(errclass.File, startWithin, startAgain, call)
}
