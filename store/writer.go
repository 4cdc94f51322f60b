package store

import (
	"errors"
	"fmt"
	"time"

	"jaspersill/errclass"
)

const (
	writeRetryInterval = 10 * time.Millisecond  // between tries to write what is kept
	undoRetryInterval  = 5 * time.Millisecond   // between tries to take a failed write back
	undoTimeout        = 250 * time.Millisecond // a refusal is held so long for it: clients wait 400 ms for their answer
	closeTimeout       = 300 * time.Millisecond // for the last records at the end of the process
	startRetryTimeout  = 10 * time.Second       // for calls that fail at the start
	startRetryInterval = 20 * time.Millisecond
	batchCapacity      = 64 // entries, to begin with
)

// ErrDeferred tells that a record could not be written yet. The store keeps it and tries again.
var ErrDeferred = errors.New("store: the record is written later")

// queuedRecord is a record on its way to the log.
type queuedRecord struct {
	payload  []byte
	item     *indexItem // whose state it is, nil for a record that is no state
	body     int        // bytes of the body at its end
	firstTry chan error
	written  chan struct{} // nil for a record that is refused when its first write fails
}

func (e *queuedRecord) size() int64 { return int64(frameHeaderSize + len(e.payload)) }

// retriesUntilWritten tells whether the record stays queued until it is written.
func (e *queuedRecord) retriesUntilWritten() bool { return e.written != nil }

// PendingWrite follows a record that the store keeps until it is written.
type PendingWrite struct {
	firstTry chan error
	written  chan struct{}
	err      error
}

// Written is closed once the record stands in the log, or no record is needed. It never is in a store that is closed.
func (r *PendingWrite) Written() <-chan struct{} { return r.written }

// Wait waits for the first try to write the record. The error wraps ErrDeferred where it is tried again later.
func (r *PendingWrite) Wait() error {
	if r.firstTry == nil {
		return r.err
	}
	if err := <-r.firstTry; err != nil {
		return fmt.Errorf("%w: %w", ErrDeferred, err)
	}
	return nil
}

// noPendingWrite is the receipt of a call that leads to no record. With ErrOver none is needed.
func noPendingWrite(err error) *PendingWrite {
	r := &PendingWrite{err: err, written: make(chan struct{})}
	if errors.Is(err, ErrNotPending) {
		close(r.written)
	}
	return r
}

// enqueue hands an entry to the writer; the lock is held.
func (s *Store) enqueue(e *queuedRecord) {
	s.queuedBytes += e.size()
	s.writeQueue = append(s.writeQueue, e)
	s.workAvailable.Signal()
}

// enqueueOnce queues a record that is refused when its first write fails; the lock is held.
func (s *Store) enqueueOnce(it *indexItem, k kind, body int, fill func([]byte) []byte) *queuedRecord {
	e := &queuedRecord{payload: fill([]byte{byte(k)}), item: it, body: body, firstTry: make(chan error, 1)}
	s.enqueue(e)
	return e
}

// enqueueUntilWritten queues a record that is tried until it is written; the lock is held.
func (s *Store) enqueueUntilWritten(it *indexItem, k kind, fill func([]byte) []byte) *PendingWrite {
	e := &queuedRecord{payload: fill([]byte{byte(k)}), item: it, firstTry: make(chan error, 1), written: make(chan struct{})}
	s.unwritten++
	s.enqueue(e)
	return &PendingWrite{firstTry: e.firstTry, written: e.written}
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
		if shut && (errclass.File(err) != errclass.Momentary || time.Since(shutSince) > closeTimeout) {
			s.mu.Lock()
			s.closeErr = err
			s.mu.Unlock()
			return
		}
		if kept {
			s.waitBeforeRetry(shut)
		}
	}
}

// waitBeforeRetry waits for a moment, which the closing of the store cuts short once.
func (s *Store) waitBeforeRetry(shut bool) {
	if shut {
		time.Sleep(writeRetryInterval)
		return
	}
	select {
	case <-s.closing:
	case <-time.After(writeRetryInterval):
	}
}

// nextBatch waits for records and takes all that are queued; nil once the store is closed and all is written.
func (s *Store) nextBatch() (batch []*queuedRecord, shut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.writeQueue) == 0 && !s.closed {
		s.workAvailable.Wait()
	}
	batch, s.writeQueue = s.writeQueue, nil
	return batch, s.closed
}

// writeBatch writes records in order. Those that it could not write go back to the head of the queue if they are
// kept, and are refused if not. It tells whether there are any of the former.
func (s *Store) writeBatch(batch []*queuedRecord) (keeps bool, err error) {
	written, err := s.appendBatch(batch)
	if err == nil {
		return false, nil
	}
	rest := batch[written:]
	var kept []*queuedRecord
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range rest {
		select {
		case e.firstTry <- err:
		default: // it was tried before
		}
		if e.retriesUntilWritten() {
			kept = append(kept, e)
		} else {
			s.queuedBytes -= e.size()
		}
	}
	s.writeQueue = append(kept, s.writeQueue...)
	return len(kept) > 0, err
}

// appendBatch appends records to the last segment. It tells how many of them stand there, which are all if there is
// no error. What was written of the others is taken back.
func (s *Store) appendBatch(batch []*queuedRecord) (written int, err error) {
	if err := s.prepareSegment(); err != nil {
		return 0, err
	}
	text := make([]byte, 0, batchCapacity*frameHeaderSize)
	ends := make([]int, len(batch))
	for i, e := range batch {
		text = appendFrame(text, s.seq+uint64(i)+1, e.payload)
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
		s.undoFailedWrite()
	}
	return written, err
}

// commit notes that records stand in the last segment.
func (s *Store) commit(batch []*queuedRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	segment := s.segments[len(s.segments)-1]
	for _, e := range batch {
		s.seq++
		segment.size += e.size()
		s.queuedBytes -= e.size()
		if e.item != nil && s.isCurrent(e.item) {
			s.unlink(e.item)
			s.link(e.item, segment, segment.size-int64(e.body), int32(e.body))
		}
		select {
		case e.firstTry <- nil:
		default:
		}
		if e.retriesUntilWritten() {
			s.unwritten--
			close(e.written)
		}
	}
}

// undoFailedWrite takes back what a failed write left behind the last whole record: the file is cut there, or a new segment
// says that nothing behind it counts. A refusal must not be told before, for a restart would find what was refused.
func (s *Store) undoFailedWrite() {
	for began := time.Now(); ; time.Sleep(undoRetryInterval) {
		segment := s.activeSegment()
		err := s.file.Truncate(segment.size)
		if err == nil {
			return
		}
		s.sealed = true
		if s.rollSegment() == nil {
			return
		}
		if errclass.File(err) != errclass.Momentary || time.Since(began) > undoTimeout {
			return
		}
	}
}

// prepareSegment makes sure that the last segment takes records.
func (s *Store) prepareSegment() error {
	if last := s.activeSegment(); !s.sealed && last.size < s.segmentSize {
		return nil
	}
	return s.rollSegment()
}

// activeSegment is the segment that is written to.
func (s *Store) activeSegment() *segment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.segments[len(s.segments)-1]
}

// rollSegment begins a new segment. Its head says where the one before ends, whatever a failed write left behind that. Once
// it was tried, nothing more is appended to the one before: the new head may stand on the disk although it failed.
func (s *Store) rollSegment() error {
	s.sealed = true
	last := s.activeSegment()
	next := &segment{number: last.number + 1, size: headerSize}
	file, err := s.fs.Create(next.fileName())
	if err != nil {
		return err
	}
	text := segmentHeader{epoch: s.epoch, number: next.number, firstSeq: s.seq + 1, previousSize: uint32(last.size)}.encode()
	if _, err = file.Write(text); err == nil && s.sync == SyncAlways {
		if err = file.Sync(); err == nil {
			err = s.fs.Sync()
		}
	}
	if err != nil {
		file.Close()
		s.fs.Remove(next.fileName()) // a file that stays is begun anew by the next try
		return err
	}
	if s.file != nil {
		s.file.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.file, s.sealed, s.segments = file, false, append(s.segments, next)
	return nil
}

// retryAtStart repeats a call of the start for as long as it fails for a moment.
func retryAtStart(call func() error) error {
	return errclass.Retry(errclass.File, startRetryTimeout, startRetryInterval, call)
}
