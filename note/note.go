// Package note encodes what delivery nodes tell each other: the ids of
// endpoints that answer well.
package note

import "encoding/binary"

const kindGood = 1

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
