package peermsg

import (
	"testing"
	"time"
)

// Guards against a report that seems newer than it is, and against a fleet in which nodes of two versions do not hear each
// other.
func TestHealthyHostCarriesAge(t *testing.T) {
	sequence := Sequence{Incarnation: 7, Number: 9}
	earlierVersion := append([]byte{kindHealthyHostNoAge, 7, 0, 0, 0, 0, 0, 0, 0, 9, 0, 0, 0}, "s-1"...)
	for _, c := range []struct {
		name string
		data []byte
		want time.Duration
	}{
		{"age", EncodeHealthyHost("s-1", 1500*time.Millisecond, sequence), 1500 * time.Millisecond},
		{"age between two units", EncodeHealthyHost("s-1", 1500*time.Microsecond, sequence), 2 * time.Millisecond},
		{"age beyond the largest", EncodeHealthyHost("s-1", time.Hour, sequence), 65535 * time.Millisecond},
		{"earlier version", earlierVersion, 0},
	} {
		host, sentAgo, s, ok := DecodeHealthyHost(c.data)
		if host != "s-1" || sentAgo != c.want || s != sequence || !ok {
			t.Errorf("%s: got %q, %v, %v, %v", c.name, host, sentAgo, s, ok)
		}
		for size := range len(c.data) - len("s-1") + 1 {
			if _, _, _, ok := DecodeHealthyHost(c.data[:size]); ok {
				t.Errorf("%s: decoded from its first %d bytes", c.name, size)
			}
		}
	}
}
