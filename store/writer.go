package store

import (
	"errors"
	"fmt"
	"time"

	"jaspersill/errclass"
)

const (
	writeRetryInterval = 10 * time.Millisecond  // between attempts to write records that must be retried
	undoRetryInterval  = 5 * time.Millisecond   // between attempts to undo a failed write
	undoTimeout        = 250 * time.Millisecond // how long undoing may delay an error; clients wait 400 ms for their response
	closeTimeout       = 300 * time.Millisecond // for writing the last records on Close
	startRetryTimeout  = 10 * time.Second       // for file operations that fail during Open
	startRetryInterval = 20 * time.Millisecond
	batchCapacity      = 64 // initial buffer capacity, in records
)

// ErrDeferred means that a record could not be written yet. The store retries it until it is written.
var ErrDeferred = errors.New("store: record not written yet, will be retried")

// queuedRecord is a record that is to be written to the log.
type queuedRecord struct {
	payload  []byte
	item     *indexItem // whose state the record holds; nil for other records
	body     int        // bytes of the event body at the end of the payload
	firstTry chan error
	written  chan struct{} // nil for a record that is dropped if its first write fails
}

func (e *queuedRecord) size() int64 { return int64(frameHeaderSize + len(e.payload)) }

// retriesUntilWritten reports whether the record stays queued until it is written.
func (e *queuedRecord) retriesUntilWritten() bool { return e.written != nil }

// PendingWrite tracks a record that the store retries until it is written.
type PendingWrite struct {
	firstTry chan error
	written  chan struct{}
	err      error
}

// Written returns a channel that is closed once the record is in the log, or if no record is needed. It is never closed
// if the store is closed first.
func (r *PendingWrite) Written() <-chan struct{} { return r.written }

// Wait waits for the first attempt to write the record. The error wraps ErrDeferred if the store will retry.
func (r *PendingWrite) Wait() error {
	if r.firstTry == nil {
		return r.err
	}
	if err := <-r.firstTry; err != nil {
		return fmt.Errorf("%w: %w", ErrDeferred, err)
	}
	return nil
}

// noPendingWrite returns the PendingWrite of a call that writes no record. With ErrNotPending, none is needed, so it
// counts as written.
func noPendingWrite(err error) *PendingWrite {
	r := &PendingWrite{err: err, written: make(chan struct{})}
	if errors.Is(err, ErrNotPending) {
		close(r.written)
	}
	return r
}

// enqueue hands a record to the writer goroutine. The caller holds mu.
func (s *Store) enqueue(e *queuedRecord) {
	s.queuedBytes += e.size()
	s.writeQueue = append(s.writeQueue, e)
	s.workAvailable.Signal()
}

// enqueueOnce queues a record that is dropped if its first write fails. The caller holds mu.
func (s *Store) enqueueOnce(item *indexItem, k kind, body int, fill func([]byte) []byte) *queuedRecord {
	e := &queuedRecord{payload: fill([]byte{byte(k)}), item: item, body: body, firstTry: make(chan error, 1)}
	s.enqueue(e)
	return e
}

// enqueueUntilWritten queues a record that is retried until it is written. The caller holds mu.
func (s *Store) enqueueUntilWritten(item *indexItem, k kind, fill func([]byte) []byte) *PendingWrite {
	e := &queuedRecord{payload: fill([]byte{byte(k)}), item: item, firstTry: make(chan error, 1), written: make(chan struct{})}
	s.unwritten++
	s.enqueue(e)
	return &PendingWrite{firstTry: e.firstTry, written: e.written}
}

// runWriter is the only goroutine that writes to the log. It writes queued records in order, in batches. Records that
// must be retried stay at the front of the queue until they are written.
func (s *Store) runWriter() {
	defer close(s.writerDone)
	var closedSince time.Time
	for {
		batch, closed := s.nextBatch()
		if batch == nil {
			return
		}
		mustRetry, err := s.writeBatch(batch)
		if err == nil {
			continue
		}
		if closed && closedSince.IsZero() {
			closedSince = time.Now()
		}
		if closed && (errclass.File(err) != errclass.Transient || time.Since(closedSince) > closeTimeout) {
			s.mu.Lock()
			s.closeErr = err
			s.mu.Unlock()
			return
		}
		if mustRetry {
			s.waitBeforeRetry(closed)
		}
	}
}

// waitBeforeRetry waits for the retry interval. Close cuts one such wait short.
func (s *Store) waitBeforeRetry(closed bool) {
	if closed {
		time.Sleep(writeRetryInterval)
		return
	}
	select {
	case <-s.closing:
	case <-time.After(writeRetryInterval):
	}
}

// nextBatch waits for records and takes all that are queued. It returns nil once the store is closed and the queue is
// empty.
func (s *Store) nextBatch() (batch []*queuedRecord, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.writeQueue) == 0 && !s.closed {
		s.workAvailable.Wait()
	}
	batch, s.writeQueue = s.writeQueue, nil
	return batch, s.closed
}

// writeBatch writes records in order. Those that could not be written go back to the front of the queue if they must be
// retried, and are dropped otherwise. It reports whether any must be retried.
func (s *Store) writeBatch(batch []*queuedRecord) (mustRetry bool, err error) {
	written, err := s.appendBatch(batch)
	if err == nil {
		return false, nil
	}
	rest := batch[written:]
	var retried []*queuedRecord
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range rest {
		select {
		case e.firstTry <- err:
		default: // the result of the first attempt was already reported
		}
		if e.retriesUntilWritten() {
			retried = append(retried, e)
		} else {
			s.queuedBytes -= e.size()
		}
	}
	s.writeQueue = append(retried, s.writeQueue...)
	return len(retried) > 0, err
}

// appendBatch appends records to the active segment. It returns how many of them are in the log, which is all of them
// if there is no error. Whatever was written of the others is undone.
func (s *Store) appendBatch(batch []*queuedRecord) (written int, err error) {
	if err := s.prepareSegment(); err != nil {
		return 0, err
	}
	data := make([]byte, 0, batchCapacity*frameHeaderSize)
	ends := make([]int, len(batch))
	for i, e := range batch {
		data = appendFrame(data, s.seq+uint64(i)+1, e.payload)
		ends[i] = len(data)
	}
	size, err := s.file.Write(data)
	if err == nil && s.sync == SyncAlways {
		if err = s.file.Sync(); err != nil { // which data reached the disk is unknown, even after a later sync succeeds
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

// commit notes that records were written to the active segment.
func (s *Store) commit(batch []*queuedRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seg := s.segments[len(s.segments)-1]
	for _, e := range batch {
		s.seq++
		seg.size += e.size()
		s.queuedBytes -= e.size()
		if e.item != nil && s.isCurrent(e.item) {
			s.unlink(e.item)
			s.link(e.item, seg, seg.size-int64(e.body), int32(e.body))
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

// undoFailedWrite discards what a failed write left after the last complete record: it truncates the file there, or
// starts a new segment whose header says where this one ends. The write's error must not be reported before that, or a
// restart would recover an event that was refused.
func (s *Store) undoFailedWrite() {
	for began := time.Now(); ; time.Sleep(undoRetryInterval) {
		seg := s.activeSegment()
		err := s.file.Truncate(seg.size)
		if err == nil {
			return
		}
		s.sealed = true
		if s.rollSegment() == nil {
			return
		}
		if errclass.File(err) != errclass.Transient || time.Since(began) > undoTimeout {
			return
		}
	}
}

// prepareSegment starts a new segment if the active one is full or sealed.
func (s *Store) prepareSegment() error {
	if last := s.activeSegment(); !s.sealed && last.size < s.segmentSize {
		return nil
	}
	return s.rollSegment()
}

// activeSegment returns the segment that records are appended to.
func (s *Store) activeSegment() *segment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.segments[len(s.segments)-1]
}

// rollSegment starts a new segment. Its header records where the previous one ends, regardless of what a failed write
// left after that. Once rollSegment was attempted, nothing more is appended to the previous segment: the new header may
// be on disk even though writing it failed.
func (s *Store) rollSegment() error {
	s.sealed = true
	last := s.activeSegment()
	next := &segment{number: last.number + 1, size: headerSize}
	file, err := s.fs.Create(next.fileName())
	if err != nil {
		return err
	}
	data := segmentHeader{epoch: s.epoch, number: next.number, firstSeq: s.seq + 1, previousSize: uint32(last.size)}.encode()
	if _, err = file.Write(data); err == nil && s.sync == SyncAlways {
		if err = file.Sync(); err == nil {
			err = s.fs.Sync()
		}
	}
	if err != nil {
		file.Close()
		s.fs.Remove(next.fileName()) // if this fails, the next attempt truncates the file
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

// retryAtStart retries a step of Open while it fails with a transient error, for up to startRetryTimeout.
func retryAtStart(call func() error) error {
	return errclass.Retry(errclass.File, startRetryTimeout, startRetryInterval, call)
}
