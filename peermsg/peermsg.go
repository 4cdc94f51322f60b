// Package peermsg encodes the datagrams that delivery nodes send to their peers to report healthy endpoints,
// identified by number or by host name.
package peermsg

import "encoding/binary"

const (
	kindHealthy     = 1
	kindHealthyHost = 3 // kind 2 was an earlier format without a sequence
)

const sequenceSize = 8 + 4 // bytes

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

// EncodeHealthy encodes a report that the endpoint with this number is healthy.
func EncodeHealthy(endpoint uint32) []byte {
	return binary.LittleEndian.AppendUint32([]byte{kindHealthy}, endpoint)
}

// DecodeHealthy decodes a datagram made by EncodeHealthy; ok is false for any other data.
func DecodeHealthy(data []byte) (endpoint uint32, ok bool) {
	if len(data) != 5 || data[0] != kindHealthy {
		return 0, false
	}
	return binary.LittleEndian.Uint32(data[1:]), true
}

// EncodeHealthyHost encodes a report that the endpoint with this host name is healthy.
func EncodeHealthyHost(host string, s Sequence) []byte {
	data := binary.LittleEndian.AppendUint64([]byte{kindHealthyHost}, s.Incarnation)
	return append(binary.LittleEndian.AppendUint32(data, s.Number), host...)
}

// DecodeHealthyHost decodes a datagram made by EncodeHealthyHost; ok is false for any other data.
func DecodeHealthyHost(data []byte) (host string, s Sequence, ok bool) {
	if len(data) < 1+sequenceSize+1 || len(data) > MaxSize || data[0] != kindHealthyHost {
		return "", Sequence{}, false
	}
	s = Sequence{Incarnation: binary.LittleEndian.Uint64(data[1:]), Number: binary.LittleEndian.Uint32(data[9:])}
	return string(data[1+sequenceSize:]), s, true
}
