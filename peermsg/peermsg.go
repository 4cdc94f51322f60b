// Package note encodes what delivery nodes tell each other: the ids of
// endpoints that answer well, as numbers or as names.
package peermsg

import "encoding/binary"

const (
	kindGood     = 1
	kindGoodHost = 3 // 2 had no order
)

const orderSize = 8 + 4 // bytes

// Sequence places a datagram among those of its sender, over all its processes. Datagrams may come late, twice and in
// another order than they were sent.
type Sequence struct {
	Incarnation uint64 // when the sending process started; greater for a later one
	Number      uint32 // of the datagram in that process
}

// After tells whether a datagram was sent after another one.
func (o Sequence) After(other Sequence) bool {
	if o.Incarnation != other.Incarnation {
		return o.Incarnation > other.Incarnation
	}
	return o.Number > other.Number
}

// MaxSize is the most bytes that a note may have.
const MaxSize = 256

// EncodeHealthy encodes that an endpoint answers well.
func EncodeHealthy(endpoint uint32) []byte {
	return binary.LittleEndian.AppendUint32([]byte{kindGood}, endpoint)
}

// DecodeHealthy decodes a note made by Good; ok is false for any other text.
func DecodeHealthy(data []byte) (endpoint uint32, ok bool) {
	if len(data) != 5 || data[0] != kindGood {
		return 0, false
	}
	return binary.LittleEndian.Uint32(data[1:]), true
}

// EncodeHealthyHost is Good where endpoints have names.
func EncodeHealthyHost(host string, o Sequence) []byte {
	data := binary.LittleEndian.AppendUint64([]byte{kindGoodHost}, o.Incarnation)
	return append(binary.LittleEndian.AppendUint32(data, o.Number), host...)
}

// DecodeHealthyHost decodes a note made by GoodHost; ok is false for any other text.
func DecodeHealthyHost(data []byte) (host string, o Sequence, ok bool) {
	if len(data) < 1+orderSize+1 || len(data) > MaxSize || data[0] != kindGoodHost {
		return "", Sequence{}, false
	}
	o = Sequence{Incarnation: binary.LittleEndian.Uint64(data[1:]), Number: binary.LittleEndian.Uint32(data[9:])}
	return string(data[1+orderSize:]), o, true
}
