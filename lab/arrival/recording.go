package arrival

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
	mostLine  = 1 << 20 // bytes of a recording's line
	magicKind = "jaspersill recording"
)

// header is a recording's first line.
type header struct {
	Kind     string `json:"kind"`
	Version  int    `json:"version"`
	Scenario string `json:"scenario"` // the text of the day that it was made on
}

// Record is one line of a recording: what was asked for, and what came of it where that is known.
type Record struct {
	At    int64  `json:"at"`   // ns from the beginning
	Left  int64  `json:"left"` // ns until its time is up
	Work  int64  `json:"work"`
	Type  int32  `json:"type"`
	Owner int32  `json:"owner"`
	Dest  int32  `json:"dest"`
	Key   uint64 `json:"key,omitempty"`
	End   string `json:"end,omitempty"`
	Took  int64  `json:"took,omitempty"`
}

// Writer writes a recording: lines of JSON, compressed with zstd.
type Writer struct {
	z *zstd.Encoder
	e *json.Encoder
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
	w := &Writer{z: z, e: json.NewEncoder(z)}
	return w, w.e.Encode(header{magicKind, RecordingVersion, string(text)})
}

// Write writes what came of an asking; took is ns from its time to its end.
func (w *Writer) Write(a Asking, end string, took int64) error {
	return w.e.Encode(
		Record{At: a.At, Left: a.Deadline - a.At, Work: a.Work, Type: a.Type, Owner: a.Owner, Dest: a.Dest,
			Key: a.Key, End: end, Took: took},
	)
}

// Close ends the recording; what it writes to stays open.
func (w *Writer) Close() error { return w.z.Close() }

// Recording is a recording that is read; it is a Source.
type Recording struct {
	Day  *scenario.Scenario
	Err  error // why it ended before its end, if it did
	z    *zstd.Decoder
	in   *bufio.Scanner
	line int
	last int64
}

// Open reads a recording's head.
func Open(from io.Reader) (*Recording, error) {
	z, err := zstd.NewReader(from, zstd.WithDecoderMaxMemory(64<<20))
	if err != nil {
		return nil, err
	}
	r := &Recording{z: z, in: bufio.NewScanner(z), line: 1}
	r.in.Buffer(nil, mostLine)
	var h header
	if !r.in.Scan() {
		return nil, fmt.Errorf(
			"recording: line 1: want a head, got %v",
			errors.Join(r.in.Err(), io.ErrUnexpectedEOF),
		)
	}
	if err := json.Unmarshal(r.in.Bytes(), &h); err != nil || h.Kind != magicKind {
		return nil, fmt.Errorf("recording: line 1: want a head of kind %q, got %.60q", magicKind, r.in.Text())
	}
	if h.Version != RecordingVersion {
		return nil, fmt.Errorf("recording: version: want %d, got %d", RecordingVersion, h.Version)
	}
	if r.Day, err = scenario.Read("recording", []byte(h.Scenario), nil); err != nil {
		return nil, err
	}
	return r, nil
}

// Next implements Source. A line that cannot be used ends the recording and is told in Err.
func (r *Recording) Next() (Asking, bool) {
	if r.Err != nil || !r.in.Scan() {
		if r.Err == nil {
			r.Err = r.in.Err()
		}
		return Asking{}, false
	}
	r.line++
	var at Record
	if err := json.Unmarshal(r.in.Bytes(), &at); err != nil {
		r.Err = fmt.Errorf("recording: line %d: %w", r.line, err)
		return Asking{}, false
	}
	dests := 0
	for _, p := range r.Day.Partners {
		dests += p.Destinations
	}
	switch {
	case at.At < r.last:
		r.Err = fmt.Errorf("recording: line %d: at: want no less than %d, got %d", r.line, r.last, at.At)
	case at.Left <= 0 || at.Work < 0:
		r.Err = fmt.Errorf(
			"recording: line %d: left and work: want times, got %d and %d",
			r.line,
			at.Left,
			at.Work,
		)
	case at.Type < 0 || int(at.Type) >= len(r.Day.Types) || at.Owner < 0 || int(at.Owner) >= len(r.Day.Owners) ||
		at.Dest < 0 || int(at.Dest) >= dests:
		r.Err = fmt.Errorf(
			"recording: line %d: type %d, owner %d, dest %d: want ones of its scenario",
			r.line,
			at.Type,
			at.Owner,
			at.Dest,
		)
	}
	if r.Err != nil {
		return Asking{}, false
	}
	r.last = at.At
	return Asking{
		At:       at.At,
		Deadline: at.At + at.Left,
		Work:     at.Work,
		Type:     at.Type,
		Owner:    at.Owner,
		Dest:     at.Dest,
		Key:      at.Key,
	}, true
}

// Close lets go of what reading took.
func (r *Recording) Close() { r.z.Close() }
