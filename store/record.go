package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"jaspersill/delivery"
)

// kind is what a record says.
type kind byte

const (
	recState  kind = 1 + iota // all that is known of an event
	recBegan                  // a send goes out
	recEnded                  // it ended
	recDecide                 // the event's end is decided, and its notice owed
	recOver                   // nothing more is owed; its id may be known until a time
	recWait                   // a destination told to wait until a time
	recOutage                 // a destination is out since a time, or back with 0
)

const (
	headSize   = 40      // bytes of a segment's head
	frameSize  = 16      // bytes of a record before its payload: length, checksum, sequence number
	mostRecord = 1 << 20 // bytes of a payload; a longer one is none
	magic      = "JSPRSTR1"
)

var (
	le       = binary.LittleEndian
	crcTable = crc32.MakeTable(crc32.Castagnoli)
	errHead  = errors.New("no head of a segment")
)

// head begins a segment.
type head struct {
	epoch  uint64 // of the store: an old file is never taken for one of a new store
	number uint64
	first  uint64 // sequence number of its first record

	// previousSize is where the segment before ends: what stands behind was not written, for all that anybody was
	// told. 0 stands for all of it.
	previousSize uint32
}

func (h head) bytes() []byte {
	b := make([]byte, headSize)
	copy(b, magic)
	le.PutUint64(b[8:], h.epoch)
	le.PutUint64(b[16:], h.number)
	le.PutUint64(b[24:], h.first)
	le.PutUint32(b[32:], h.previousSize)
	le.PutUint32(b[36:], crc32.Checksum(b[:36], crcTable))
	return b
}

func readHead(b []byte) (h head, err error) {
	if len(b) < headSize || string(b[:8]) != magic || le.Uint32(b[36:]) != crc32.Checksum(b[:36], crcTable) {
		return h, errHead
	}
	return head{le.Uint64(b[8:]), le.Uint64(b[16:]), le.Uint64(b[24:]), le.Uint32(b[32:])}, nil
}

// frame appends a record of a payload, whose first byte is its kind.
func frame(to []byte, seq uint64, payload []byte) []byte {
	at := len(to)
	to = append(to, make([]byte, frameSize)...)
	to = append(to, payload...)
	le.PutUint32(to[at:], uint32(len(payload)))
	le.PutUint64(to[at+8:], seq)
	le.PutUint32(to[at+4:], checksum(to[at:], payload))
	return to
}

// checksum covers a record's sequence number, which stands in its frame, and its payload.
func checksum(frame, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(frame[8:frameSize], crcTable), crcTable, payload)
}

// next reads the record at the beginning of some bytes. torn tells that they end within it.
func next(b []byte) (payload []byte, seq uint64, size int, torn bool, err error) {
	if len(b) < frameSize {
		return nil, 0, 0, true, nil
	}
	n := int(le.Uint32(b))
	if n < 1 || n > mostRecord {
		return nil, 0, 0, false, fmt.Errorf("a record of %d bytes: want 1 to %d", n, mostRecord)
	}
	if len(b) < frameSize+n {
		return nil, 0, 0, true, nil
	}
	payload = b[frameSize : frameSize+n]
	if le.Uint32(b[4:]) != checksum(b, payload) {
		return nil, 0, frameSize + n, false, errors.New("a record whose checksum is wrong")
	}
	return payload, le.Uint64(b[8:]), frameSize + n, false, nil
}

func putText(to []byte, text string) []byte {
	return append(binary.AppendUvarint(to, uint64(len(text))), text...)
}

// Decoder reads a payload; past its end, or at what is no value, it turns bad.
type Decoder struct {
	rest []byte
	bad  bool
}

func (f *Decoder) byte() byte {
	if len(f.rest) == 0 {
		f.bad = true
		return 0
	}
	b := f.rest[0]
	f.rest = f.rest[1:]
	return b
}

func (f *Decoder) number() int64 {
	v, n := binary.Varint(f.rest)
	if n <= 0 {
		f.bad = true
		return 0
	}
	f.rest = f.rest[n:]
	return v
}

func (f *Decoder) count() uint64 {
	v, n := binary.Uvarint(f.rest)
	if n <= 0 {
		f.bad = true
		return 0
	}
	f.rest = f.rest[n:]
	return v
}

func (f *Decoder) bytes() []byte {
	size, n := binary.Uvarint(f.rest)
	if n <= 0 || size > uint64(len(f.rest)-n) {
		f.bad = true
		return nil
	}
	b := f.rest[n : n+int(size)]
	f.rest = f.rest[n+int(size):]
	return b
}

func (f *Decoder) text() string { return string(f.bytes()) }

// NewDecoder begins to read a payload.
func NewDecoder(payload []byte) *Decoder { return &Decoder{rest: payload} }

// Byte reads one byte, as the methods below read theirs.
func (f *Decoder) Byte() byte { return f.byte() }

// Varint reads a number with a sign.
func (f *Decoder) Varint() int64 { return f.number() }

// Text reads a text with its length before it.
func (f *Decoder) Text() string { return f.text() }

// Invalid tells whether something was read that is not there.
func (f *Decoder) Invalid() bool { return f.bad }

type outcome = delivery.Outcome

const unsent = delivery.Unsent

// Attempt is one send of an event as the store has it.
type Attempt struct {
	StartedAt int64 // time of day in ns
	Zone      string
	Ended     bool
	Outcome   delivery.Outcome
}

// MayHaveRun tells whether the send may have taken effect, for all that is known.
func (s *Attempt) MayHaveRun() bool { return !s.Ended || s.Outcome.MayHaveRun() }

// Verdict is how an event ends that is not delivered.
type Verdict uint8

// The verdicts; an event that is Undecided has none yet.
const (
	Undecided Verdict = iota
	Declined
	Discarded
)

// Event is an event that is owed its end.
type Event struct {
	ID, Kind, Owner, IdempotencyKey string
	Dest                            uint32
	Deadline                        int64 // time of day in ns
	Body                            []byte
	Attempts                        []Attempt
	Verdict                         Verdict
	RetryAfter                      int64  // ns, with Declined
	ArrivalSeq                      uint64 // its place in the order of coming, from 1; the store gives it
}

// MayHaveRun tells whether one of its sends may have taken effect.
func (e *Event) MayHaveRun() bool {
	for i := range e.Attempts {
		if e.Attempts[i].MayHaveRun() {
			return true
		}
	}
	return false
}

// BeginAttempt adds an attempt, or goes on with one that did not go out after all. One before it that never began cannot
// have run.
func (e *Event) BeginAttempt(number int, s Attempt) {
	for len(e.Attempts) < number {
		e.Attempts = append(e.Attempts, Attempt{StartedAt: s.StartedAt, Zone: s.Zone, Ended: true, Outcome: delivery.Unsent})
	}
	switch {
	case len(e.Attempts) == number:
		e.Attempts = append(e.Attempts, s)
	case e.Attempts[number].Ended && e.Attempts[number].Outcome == unsent:
		e.Attempts[number] = s
	}
}

// unbegin notes that an attempt did not go out.
func (e *Event) unbegin(number int) {
	if number < len(e.Attempts) {
		e.Attempts[number].Ended, e.Attempts[number].Outcome = true, unsent
	}
}

// state is an event's payload; the body stands last, so that it can be found without reading the rest.
func (e *Event) state(to []byte) []byte {
	to = putText(putText(putText(putText(to, e.ID), e.Kind), e.Owner), e.IdempotencyKey)
	to = binary.AppendVarint(binary.AppendVarint(to, int64(e.Dest)), e.Deadline)
	to = binary.AppendUvarint(to, e.ArrivalSeq)
	to = binary.AppendVarint(append(to, byte(e.Verdict)), e.RetryAfter)
	to = binary.AppendVarint(to, int64(len(e.Attempts)))
	for i := range e.Attempts {
		s := &e.Attempts[i]
		ended := byte(0)
		if s.Ended {
			ended = 1
		}
		to = append(putText(binary.AppendVarint(to, s.StartedAt), s.Zone), ended, byte(s.Outcome))
	}
	return append(binary.AppendUvarint(to, uint64(len(e.Body))), e.Body...)
}

const mostSends = 256 // that a record may claim

func readState(f *Decoder) *Event {
	e := &Event{ID: f.text(), Kind: f.text(), Owner: f.text(), IdempotencyKey: f.text()}
	e.Dest, e.Deadline = uint32(f.number()), f.number()
	e.ArrivalSeq = f.count()
	e.Verdict, e.RetryAfter = Verdict(f.byte()), f.number()
	n := f.number()
	if f.bad || n < 0 || n > mostSends || e.Verdict > Discarded || e.ID == "" {
		f.bad = true
		return nil
	}
	for range n {
		s := Attempt{StartedAt: f.number(), Zone: f.text()}
		s.Ended, s.Outcome = f.byte() == 1, delivery.Outcome(f.byte())
		e.Attempts = append(e.Attempts, s)
	}
	e.Body = f.bytes()
	if f.bad {
		return nil
	}
	return e
}

func varint(v int64) []byte { return binary.AppendVarint(nil, v) }
