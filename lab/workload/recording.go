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

// RecordingVersion is the version of the recording format. Recordings of other versions are rejected.
const RecordingVersion = 1

const (
	maxLineBytes  = 1 << 20 // bytes per line of a recording
	recordingKind = "jaspersill recording"
)

// header is a recording's first line.
type header struct {
	Kind     string `json:"kind"`
	Version  int    `json:"version"`
	Scenario string `json:"scenario"` // text of the scenario that was recorded
}

// Record is one line of a recording: an arrival, and its end if that is known.
type Record struct {
	At       int64  `json:"at"`   // ns from the start of the run
	TimeLeft int64  `json:"left"` // ns from the arrival to the deadline
	Work     int64  `json:"work"`
	Type     int32  `json:"type"`
	Customer int32  `json:"owner"`
	Dest     int32  `json:"dest"`
	Key      uint64 `json:"key,omitempty"`
	End      string `json:"end,omitempty"`
	Latency  int64  `json:"took,omitempty"`
}

// Writer writes a recording as zstd-compressed lines of JSON.
type Writer struct {
	compressor *zstd.Encoder
	encoder    *json.Encoder
}

// NewWriter starts a recording of a scenario.
func NewWriter(to io.Writer, scn *scenario.Scenario) (*Writer, error) {
	text, err := scn.Write()
	if err != nil {
		return nil, err
	}
	compressor, err := zstd.NewWriter(to)
	if err != nil {
		return nil, err
	}
	w := &Writer{compressor: compressor, encoder: json.NewEncoder(compressor)}
	return w, w.encoder.Encode(header{recordingKind, RecordingVersion, string(text)})
}

// Write writes an arrival and its end; latency is in ns from the arrival to the end.
func (w *Writer) Write(a Arrival, end string, latency int64) error {
	return w.encoder.Encode(
		Record{At: a.At, TimeLeft: a.Deadline - a.At, Work: a.Work, Type: a.Type, Customer: a.Customer, Dest: a.Dest,
			Key: a.Key, End: end, Latency: latency},
	)
}

// Close ends the recording. It does not close the underlying writer.
func (w *Writer) Close() error { return w.compressor.Close() }

// Recording reads a recording. It is a Source.
type Recording struct {
	Scenario     *scenario.Scenario
	Err          error // why reading stopped early, if it did
	decompressor *zstd.Decoder
	lines        *bufio.Scanner
	lineNumber   int
	lastArrival  int64
}

// Open reads the header of a recording.
func Open(from io.Reader) (*Recording, error) {
	decompressor, err := zstd.NewReader(from, zstd.WithDecoderMaxMemory(64<<20))
	if err != nil {
		return nil, err
	}
	r := &Recording{decompressor: decompressor, lines: bufio.NewScanner(decompressor), lineNumber: 1}
	r.lines.Buffer(nil, maxLineBytes)
	var head header
	if !r.lines.Scan() {
		return nil, fmt.Errorf(
			"recording: line 1: want a header, got %v",
			errors.Join(r.lines.Err(), io.ErrUnexpectedEOF),
		)
	}
	if err := json.Unmarshal(r.lines.Bytes(), &head); err != nil || head.Kind != recordingKind {
		return nil, fmt.Errorf("recording: line 1: want a header of kind %q, got %.60q", recordingKind, r.lines.Text())
	}
	if head.Version != RecordingVersion {
		return nil, fmt.Errorf("recording: version: want %d, got %d", RecordingVersion, head.Version)
	}
	if r.Scenario, err = scenario.Read("recording", []byte(head.Scenario), nil); err != nil {
		return nil, err
	}
	return r, nil
}

// Next implements Source. An invalid line ends the recording and is reported in Err.
func (r *Recording) Next() (Arrival, bool) {
	if r.Err != nil || !r.lines.Scan() {
		if r.Err == nil {
			r.Err = r.lines.Err()
		}
		return Arrival{}, false
	}
	r.lineNumber++
	var record Record
	if err := json.Unmarshal(r.lines.Bytes(), &record); err != nil {
		r.Err = fmt.Errorf("recording: line %d: %w", r.lineNumber, err)
		return Arrival{}, false
	}
	dests := 0
	for _, dk := range r.Scenario.DestinationKinds {
		dests += dk.Destinations
	}
	switch {
	case record.At < r.lastArrival:
		r.Err = fmt.Errorf(
			"recording: line %d: at: want at least %d, got %d",
			r.lineNumber,
			r.lastArrival,
			record.At,
		)
	case record.TimeLeft <= 0 || record.Work < 0:
		r.Err = fmt.Errorf(
			"recording: line %d: left and work: want positive durations, got %d and %d",
			r.lineNumber,
			record.TimeLeft,
			record.Work,
		)
	case record.Type < 0 || int(record.Type) >= len(r.Scenario.Types) ||
		record.Customer < 0 || int(record.Customer) >= len(r.Scenario.Customers) ||
		record.Dest < 0 || int(record.Dest) >= dests:
		r.Err = fmt.Errorf(
			"recording: line %d: type %d, owner %d, dest %d: not all of them exist in the recorded scenario",
			r.lineNumber,
			record.Type,
			record.Customer,
			record.Dest,
		)
	}
	if r.Err != nil {
		return Arrival{}, false
	}
	r.lastArrival = record.At
	return Arrival{
		At:       record.At,
		Deadline: record.At + record.TimeLeft,
		Work:     record.Work,
		Type:     record.Type,
		Customer: record.Customer,
		Dest:     record.Dest,
		Key:      record.Key,
	}, true
}

// Close releases the resources of the reader. It does not close the underlying reader.
func (r *Recording) Close() { r.decompressor.Close() }
