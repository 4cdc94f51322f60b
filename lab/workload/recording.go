package workload

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/zstd"

	"jaspersill/lab/scenario"
)

// RecordingVersion is the version of the format; a recording of another is refused.
const RecordingVersion = 1

const (
	maxLineBytes  = 1 << 20 // bytes of a recording's line
	recordingKind = "jaspersill recording"
)

// header is a recording's first line.
type header struct {
	Kind     string `json:"kind"`
	Version  int    `json:"version"`
	Scenario string `json:"scenario"` // the text of the day that it was made on
}

// Record is one line of a recording: what was asked for, and what came of it where that is known.
type Record struct {
	At       int64  `json:"at"`   // ns from the beginning
	TimeLeft int64  `json:"left"` // ns until its time is up
	Work     int64  `json:"work"`
	Type     int32  `json:"type"`
	Customer int32  `json:"owner"`
	Dest     int32  `json:"dest"`
	Key      uint64 `json:"key,omitempty"`
	End      string `json:"end,omitempty"`
	Latency  int64  `json:"took,omitempty"`
}

// Writer writes a recording: lines of JSON, compressed with zstd.
type Writer struct {
	compressor *zstd.Encoder
	encoder    *json.Encoder
}

// NewWriter begins a recording of a day.
func NewWriter(to io.Writer, day *scenario.Scenario) (*Writer, error) {
	text, err := day.Write()
	if err != nil {
		return nil, err
	}
	z, err := zstd.NewWriter(to)
	if err != nil {
		return nil, err
	}
	w := &Writer{compressor: z, encoder: json.NewEncoder(z)}
	return w, w.encoder.Encode(header{recordingKind, RecordingVersion, string(text)})
}

// Write writes what came of an asking; took is ns from its time to its end.
func (w *Writer) Write(a Arrival, end string, took int64) error {
	return w.encoder.Encode(
		Record{At: a.At, TimeLeft: a.Deadline - a.At, Work: a.Work, Type: a.Type, Customer: a.Customer, Dest: a.Dest,
			Key: a.Key, End: end, Latency: took},
	)
}

// Close ends the recording; what it writes to stays open.
func (w *Writer) Close() error { return w.compressor.Close() }

// Recording is a recording that is read; it is a Source.
type Recording struct {
	Scenario     *scenario.Scenario
	Err          error // why it ended before its end, if it did
	decompressor *zstd.Decoder
	lines        *bufio.Scanner
	lineNumber   int
	lastArrival  int64
}

// Open reads a recording's head.
func Open(from io.Reader) (*Recording, error) {
	z, err := zstd.NewReader(from, zstd.WithDecoderMaxMemory(64<<20))
	if err != nil {
		return nil, err
	}
	r := &Recording{decompressor: z, lines: bufio.NewScanner(z), lineNumber: 1}
	r.lines.Buffer(nil, maxLineBytes)
	var h header
	if !r.lines.Scan() {
		return nil, fmt.Errorf(
			"recording: line 1: want a head, got %v",
			errors.Join(r.lines.Err(), io.ErrUnexpectedEOF),
		)
	}
	if err := json.Unmarshal(r.lines.Bytes(), &h); err != nil || h.Kind != recordingKind {
		return nil, fmt.Errorf("recording: line 1: want a head of kind %q, got %.60q", recordingKind, r.lines.Text())
	}
	if h.Version != RecordingVersion {
		return nil, fmt.Errorf("recording: version: want %d, got %d", RecordingVersion, h.Version)
	}
	if r.Scenario, err = scenario.Read("recording", []byte(h.Scenario), nil); err != nil {
		return nil, err
	}
	return r, nil
}

// Next implements Source. A line that cannot be used ends the recording and is told in Err.
func (r *Recording) Next() (Arrival, bool) {
	if r.Err != nil || !r.lines.Scan() {
		if r.Err == nil {
			r.Err = r.lines.Err()
		}
		return Arrival{}, false
	}
	r.lineNumber++
	var at Record
	if err := json.Unmarshal(r.lines.Bytes(), &at); err != nil {
		r.Err = fmt.Errorf("recording: line %d: %w", r.lineNumber, err)
		return Arrival{}, false
	}
	dests := 0
	for _, p := range r.Scenario.DestinationKinds {
		dests += p.Destinations
	}
	switch {
	case at.At < r.lastArrival:
		r.Err = fmt.Errorf("recording: line %d: at: want no less than %d, got %d", r.lineNumber, r.lastArrival, at.At)
	case at.TimeLeft <= 0 || at.Work < 0:
		r.Err = fmt.Errorf(
			"recording: line %d: left and work: want times, got %d and %d",
			r.lineNumber,
			at.TimeLeft,
			at.Work,
		)
	case at.Type < 0 || int(at.Type) >= len(r.Scenario.Types) || at.Customer < 0 || int(at.Customer) >= len(r.Scenario.Customers) ||
		at.Dest < 0 || int(at.Dest) >= dests:
		r.Err = fmt.Errorf(
			"recording: line %d: type %d, owner %d, dest %d: want ones of its scenario",
			r.lineNumber,
			at.Type,
			at.Customer,
			at.Dest,
		)
	}
	if r.Err != nil {
		return Arrival{}, false
	}
	r.lastArrival = at.At
	return Arrival{
		At:       at.At,
		Deadline: at.At + at.TimeLeft,
		Work:     at.Work,
		Type:     at.Type,
		Customer: at.Customer,
		Dest:     at.Dest,
		Key:      at.Key,
	}, true
}

// Close lets go of what reading took.
func (r *Recording) Close() { r.decompressor.Close() }
