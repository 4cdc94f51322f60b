// Package peermsg encodes the datagrams that delivery nodes send to their peers to report healthy endpoints,
// identified by number or by host name.
package peermsg

import (
	"encoding/binary"
	"math"
	"time"
)

const (
	kindHealthyHostNoAge = 3 // from nodes of earlier versions; kinds 1 and 2 were earlier formats too
	kindHealthy          = 4
	kindHealthyHost      = 5
)

// Sizes in bytes.
const (
	kindSize     = 1
	ageSize      = 2
	sequenceSize = 8 + 4
)

// ageUnit is the unit of an encoded age. An age beyond the largest is encoded as the largest.
const ageUnit = time.Millisecond

// Sequence is the position of a datagram in its sender's stream, across restarts of the sender. Datagrams may
// arrive late, duplicated or out of order.
type Sequence struct {
	Incarnation uint64 // start time of the sending process; a later process has a greater value
	Number      uint32 // number of the datagram within that process
}

// After reports whether s was sent after other.
func (s Sequence) After(other Sequence) bool {
	if s.Incarnation != other.Incarnation {
		return s.Incarnation > other.Incarnation
	}
	return s.Number > other.Number
}

// MaxSize is the maximum size of a datagram in bytes.
const MaxSize = 256

// EncodeHealthy encodes a report that the endpoint with this number answered a call that was sent this long ago.
func EncodeHealthy(endpoint uint32, sentAgo time.Duration) []byte {
	return binary.LittleEndian.AppendUint32(appendAge([]byte{kindHealthy}, sentAgo), endpoint)
}

// DecodeHealthy decodes a datagram made by EncodeHealthy; ok is false for any other data.
func DecodeHealthy(data []byte) (endpoint uint32, sentAgo time.Duration, ok bool) {
	if len(data) != kindSize+ageSize+4 || data[0] != kindHealthy {
		return 0, 0, false
	}
	return binary.LittleEndian.Uint32(data[kindSize+ageSize:]), decodeAge(data[kindSize:]), true
}

// appendAge appends an age, rounded up so that a report never seems newer than it is.
func appendAge(data []byte, age time.Duration) []byte {
	units := (max(age, 0) + ageUnit - 1) / ageUnit
	return binary.LittleEndian.AppendUint16(data, uint16(min(units, math.MaxUint16)))
}

func decodeAge(data []byte) time.Duration {
	return time.Duration(binary.LittleEndian.Uint16(data)) * ageUnit
}

// EncodeHealthyHost encodes a report that the endpoint with this host name answered a call that was sent this long ago.
func EncodeHealthyHost(host string, sentAgo time.Duration, s Sequence) []byte {
	data := binary.LittleEndian.AppendUint64(appendAge([]byte{kindHealthyHost}, sentAgo), s.Incarnation)
	return append(binary.LittleEndian.AppendUint32(data, s.Number), host...)
}

// DecodeHealthyHost decodes a datagram made by EncodeHealthyHost; ok is false for any other data. One of an earlier version
// tells no age, which is taken for 0.
func DecodeHealthyHost(data []byte) (host string, sentAgo time.Duration, s Sequence, ok bool) {
	if len(data) < kindSize || len(data) > MaxSize {
		return "", 0, Sequence{}, false
	}
	kind, rest := data[0], data[kindSize:]
	switch {
	case kind == kindHealthyHost && len(rest) > ageSize:
		sentAgo, rest = decodeAge(rest), rest[ageSize:]
	case kind != kindHealthyHostNoAge:
		return "", 0, Sequence{}, false
	}
	if len(rest) < sequenceSize+1 {
		return "", 0, Sequence{}, false
	}
	s = Sequence{Incarnation: binary.LittleEndian.Uint64(rest), Number: binary.LittleEndian.Uint32(rest[8:])}
	return string(rest[sequenceSize:]), sentAgo, s, true
}
