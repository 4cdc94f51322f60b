package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"jaspersill/delivery"
)

// kind is the type of a record.
type kind byte

const (
	recState          kind = 1 + iota // complete state of an event
	recAttemptStarted                 // an attempt starts
	recAttemptEnded                   // an attempt ended
	recResolution                     // the event's resolution is decided; its notice is still to be delivered
	recCompleted                      // the event needs nothing more; its ID may be retained for a time
	recBackoff                        // a destination asked for no calls until a given time
	recOutage                         // a destination is unavailable since a given time, or available again if 0
)

const (
	headerSize      = 40      // size of a segment's header
	frameHeaderSize = 16      // size of what precedes a record's payload: length, checksum, sequence number
	maxPayload      = 1 << 20 // bytes; a greater length is treated as damage
	magic           = "JSPRSTR1"
)

var (
	le               = binary.LittleEndian
	crcTable         = crc32.MakeTable(crc32.Castagnoli)
	errInvalidHeader = errors.New("invalid segment header")
)

// segmentHeader is at the start of each segment and of the mirror.
type segmentHeader struct {
	epoch    uint64 // identifies the store, so that a file of another store is not taken for one of this one
	number   uint64
	firstSeq uint64 // sequence number of the segment's first record

	// previousSize is where the previous segment ends. Data after that offset was never acknowledged and is ignored.
	// 0 means that the whole file is valid.
	previousSize uint32
}

func (h segmentHeader) encode() []byte {
	b := make([]byte, headerSize)
	copy(b, magic)
	le.PutUint64(b[8:], h.epoch)
	le.PutUint64(b[16:], h.number)
	le.PutUint64(b[24:], h.firstSeq)
	le.PutUint32(b[32:], h.previousSize)
	le.PutUint32(b[36:], crc32.Checksum(b[:36], crcTable))
	return b
}

func decodeHeader(b []byte) (h segmentHeader, err error) {
	if len(b) < headerSize || string(b[:8]) != magic || le.Uint32(b[36:]) != crc32.Checksum(b[:36], crcTable) {
		return h, errInvalidHeader
	}
	return segmentHeader{le.Uint64(b[8:]), le.Uint64(b[16:]), le.Uint64(b[24:]), le.Uint32(b[32:])}, nil
}

// appendFrame appends a record with the given payload, whose first byte is the kind.
func appendFrame(to []byte, seq uint64, payload []byte) []byte {
	at := len(to)
	to = append(to, make([]byte, frameHeaderSize)...)
	to = append(to, payload...)
	le.PutUint32(to[at:], uint32(len(payload)))
	le.PutUint64(to[at+8:], seq)
	le.PutUint32(to[at+4:], checksum(to[at:], payload))
	return to
}

// checksum covers the sequence number in the frame header, and the payload.
func checksum(frame, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(frame[8:frameHeaderSize], crcTable), crcTable, payload)
}

// decodeFrame decodes the record at the start of b. torn is true if b ends within the record. With an error, size is
// that of the damaged record, or 0 if it is unknown.
func decodeFrame(b []byte) (payload []byte, seq uint64, size int, torn bool, err error) {
	if len(b) < frameHeaderSize {
		return nil, 0, 0, true, nil
	}
	n := int(le.Uint32(b))
	if n < 1 || n > maxPayload {
		return nil, 0, 0, false, fmt.Errorf("invalid record length %d, expected 1 to %d bytes", n, maxPayload)
	}
	if len(b) < frameHeaderSize+n {
		return nil, 0, 0, true, nil
	}
	payload = b[frameHeaderSize : frameHeaderSize+n]
	if le.Uint32(b[4:]) != checksum(b, payload) {
		return nil, 0, frameHeaderSize + n, false, errors.New("record has a wrong checksum")
	}
	return payload, le.Uint64(b[8:]), frameHeaderSize + n, false, nil
}

func appendText(to []byte, text string) []byte {
	return append(binary.AppendUvarint(to, uint64(len(text))), text...)
}

// Decoder decodes the fields of a payload. It becomes invalid on a read past the end or of a malformed value.
type Decoder struct {
	rest    []byte
	invalid bool
}

func (d *Decoder) readByte() byte {
	if len(d.rest) == 0 {
		d.invalid = true
		return 0
	}
	b := d.rest[0]
	d.rest = d.rest[1:]
	return b
}

func (d *Decoder) readVarint() int64 {
	v, n := binary.Varint(d.rest)
	if n <= 0 {
		d.invalid = true
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *Decoder) readUvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.invalid = true
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *Decoder) readBytes() []byte {
	size, n := binary.Uvarint(d.rest)
	if n <= 0 || size > uint64(len(d.rest)-n) {
		d.invalid = true
		return nil
	}
	b := d.rest[n : n+int(size)]
	d.rest = d.rest[n+int(size):]
	return b
}

func (d *Decoder) readText() string { return string(d.readBytes()) }

// NewDecoder returns a Decoder for a payload.
func NewDecoder(payload []byte) *Decoder { return &Decoder{rest: payload} }

// Byte reads one byte. Like the methods below, it returns a zero value if the read fails.
func (d *Decoder) Byte() byte { return d.readByte() }

// Varint reads a signed varint.
func (d *Decoder) Varint() int64 { return d.readVarint() }

// Text reads a length-prefixed string.
func (d *Decoder) Text() string { return d.readText() }

// Invalid reports whether any read failed.
func (d *Decoder) Invalid() bool { return d.invalid }

type outcome = delivery.Outcome

const unsent = delivery.Unsent

// Attempt is an attempt to deliver an event, as recorded.
type Attempt struct {
	StartedAt int64 // time of day in ns
	Zone      string
	Ended     bool
	Outcome   delivery.Outcome
}

// MayHaveRun reports whether the attempt may have taken effect, as far as is known.
func (a *Attempt) MayHaveRun() bool { return !a.Ended || a.Outcome.MayHaveRun() }

// Resolution is the final state of an event that is not delivered.
type Resolution uint8

// The resolutions. Unresolved means that there is none yet.
const (
	Unresolved Resolution = iota
	Declined
	Discarded
)

// Event is a pending event.
type Event struct {
	ID, Kind, Owner, IdempotencyKey string
	Dest                            uint32
	Deadline                        int64 // time of day in ns
	Body                            []byte
	Attempts                        []Attempt
	Resolution                      Resolution
	RetryAfter                      int64  // ns; set with Declined
	ArrivalSeq                      uint64 // position in order of arrival, from 1; assigned by the store
}

// MayHaveRun reports whether any attempt may have taken effect.
func (e *Event) MayHaveRun() bool {
	for i := range e.Attempts {
		if e.Attempts[i].MayHaveRun() {
			return true
		}
	}
	return false
}

// BeginAttempt adds an attempt, or replaces one of the same number that was never sent. Attempts with lower numbers that
// were never started are filled in as unsent, since they cannot have taken effect.
func (e *Event) BeginAttempt(number int, a Attempt) {
	for len(e.Attempts) < number {
		e.Attempts = append(e.Attempts, Attempt{StartedAt: a.StartedAt, Zone: a.Zone, Ended: true, Outcome: delivery.Unsent})
	}
	switch {
	case len(e.Attempts) == number:
		e.Attempts = append(e.Attempts, a)
	case e.Attempts[number].Ended && e.Attempts[number].Outcome == unsent:
		e.Attempts[number] = a
	}
}

// markUnsent marks an attempt as never sent.
func (e *Event) markUnsent(number int) {
	if number < len(e.Attempts) {
		e.Attempts[number].Ended, e.Attempts[number].Outcome = true, unsent
	}
}

// appendState appends an event's state payload. The body is last, so that it can be located without decoding the rest.
func (e *Event) appendState(to []byte) []byte {
	to = appendText(appendText(appendText(appendText(to, e.ID), e.Kind), e.Owner), e.IdempotencyKey)
	to = binary.AppendVarint(binary.AppendVarint(to, int64(e.Dest)), e.Deadline)
	to = binary.AppendUvarint(to, e.ArrivalSeq)
	to = binary.AppendVarint(append(to, byte(e.Resolution)), e.RetryAfter)
	to = binary.AppendVarint(to, int64(len(e.Attempts)))
	for i := range e.Attempts {
		a := &e.Attempts[i]
		ended := byte(0)
		if a.Ended {
			ended = 1
		}
		to = append(appendText(binary.AppendVarint(to, a.StartedAt), a.Zone), ended, byte(a.Outcome))
	}
	return append(binary.AppendUvarint(to, uint64(len(e.Body))), e.Body...)
}

const maxRecordedAttempts = 256 // limit on what a decoded record may claim

func decodeState(d *Decoder) *Event {
	e := &Event{ID: d.readText(), Kind: d.readText(), Owner: d.readText(), IdempotencyKey: d.readText()}
	e.Dest, e.Deadline = uint32(d.readVarint()), d.readVarint()
	e.ArrivalSeq = d.readUvarint()
	e.Resolution, e.RetryAfter = Resolution(d.readByte()), d.readVarint()
	n := d.readVarint()
	if d.invalid || n < 0 || n > maxRecordedAttempts || e.Resolution > Discarded || e.ID == "" {
		d.invalid = true
		return nil
	}
	for range n {
		a := Attempt{StartedAt: d.readVarint(), Zone: d.readText()}
		a.Ended, a.Outcome = d.readByte() == 1, delivery.Outcome(d.readByte())
		e.Attempts = append(e.Attempts, a)
	}
	e.Body = d.readBytes()
	if d.invalid {
		return nil
	}
	return e
}

func encodeVarint(v int64) []byte { return binary.AppendVarint(nil, v) }
