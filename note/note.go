// Package note encodes what delivery nodes tell each other: the ids of
// endpoints that answer well, as numbers or as names.
package note

import "encoding/binary"

const (
	kindGood     = 1
	kindGoodHost = 3 // 2 had no order
)

const orderSize = 8 + 4 // bytes

// Order places a datagram among those of its sender, over all its processes. Datagrams may come late, twice and in
// another order than they were sent.
type Order struct {
	Process uint64 // when the sending process started; greater for a later one
	Number  uint32 // of the datagram in that process
}

// After tells whether a datagram was sent after another one.
func (o Order) After(other Order) bool {
	if o.Process != other.Process {
		return o.Process > other.Process
	}
	return o.Number > other.Number
}

// Longest is the most bytes that a note may have.
const Longest = 256

// Good encodes that an endpoint answers well.
func Good(endpoint uint32) []byte {
	return binary.LittleEndian.AppendUint32([]byte{kindGood}, endpoint)
}

// ReadGood decodes a note made by Good; ok is false for any other text.
func ReadGood(data []byte) (endpoint uint32, ok bool) {
	if len(data) != 5 || data[0] != kindGood {
		return 0, false
	}
	return binary.LittleEndian.Uint32(data[1:]), true
}

// GoodHost is Good where endpoints have names.
func GoodHost(host string, o Order) []byte {
	data := binary.LittleEndian.AppendUint64([]byte{kindGoodHost}, o.Process)
	return append(binary.LittleEndian.AppendUint32(data, o.Number), host...)
}

// ReadGoodHost decodes a note made by GoodHost; ok is false for any other text.
func ReadGoodHost(data []byte) (host string, o Order, ok bool) {
	if len(data) < 1+orderSize+1 || len(data) > Longest || data[0] != kindGoodHost {
		return "", Order{}, false
	}
	o = Order{Process: binary.LittleEndian.Uint64(data[1:]), Number: binary.LittleEndian.Uint32(data[9:])}
	return string(data[1+orderSize:]), o, true
}
