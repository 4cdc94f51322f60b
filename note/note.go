// Package note encodes what delivery nodes tell each other: the ids of
// endpoints that answer well, as numbers or as names.
package note

import "encoding/binary"

const (
	kindGood     = 1
	kindGoodHost = 2
)

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
func GoodHost(host string) []byte { return append([]byte{kindGoodHost}, host...) }

// ReadGoodHost decodes a note made by GoodHost; ok is false for any other text.
func ReadGoodHost(data []byte) (host string, ok bool) {
	if len(data) < 2 || len(data) > Longest || data[0] != kindGoodHost {
		return "", false
	}
	return string(data[1:]), true
}
