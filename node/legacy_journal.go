package node

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"jaspersill/delivery"
	"jaspersill/errclass"
	"jaspersill/store"
)

// legacyJournal is the single-file journal that nodes used before package store. It is a sequence of records, each with
// the length and checksum of its payload followed by the payload. Long bodies are in separate files. The journal is read
// once, and removed when all its pending events are in the store.
type legacyJournal struct {
	name     string
	pending  map[string]*legacyEvent
	accepted []*legacyEvent // in order of acceptance
}

// legacyEvent is an event in the legacy journal.
type legacyEvent struct {
	store.Event
	bodyFile  int64 // number of the file with its body, 0 if the body is in the record
	completed bool
}

const (
	legacyAccepted = 1 + iota
	legacyAttemptStarted
	legacyAttemptEnded
	legacyResolution
	legacyCompleted
	legacyAcceptedLongBody // like legacyAccepted, with the number of the body file in place of the body
)

const (
	legacyFrameSize     = 8
	legacyMaxPayload    = 1 << 20   // bytes; a greater length is treated as damage
	legacyName          = "journal" // file name within the folder
	legacyRewriteSuffix = ".written"
	legacyBodyInfix     = ".body-" // between the journal's name and the number of a body file
)

var (
	crcTable = crc32.MakeTable(crc32.Castagnoli)
	le       = binary.LittleEndian
)

const (
	legacyRetryTimeout  = 5 * time.Second // for an import step that fails with a transient error
	legacyRetryInterval = 20 * time.Millisecond
)

// readLegacyJournal reads the legacy journal in a folder, and returns nil if there is none. reportDamage is called for
// each damaged record.
func readLegacyJournal(folder string, reportDamage func(offset int, reason string)) (*legacyJournal, error) {
	j := &legacyJournal{name: filepath.Join(folder, legacyName), pending: make(map[string]*legacyEvent)}
	data, err := errclass.ReadFile(os.ReadFile, j.name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	j.replay(data, reportDamage)
	return j, nil
}

// pendingEvents returns the pending events in order of arrival. One whose body cannot be read is marked as discarded,
// since its body cannot be reconstructed.
func (j *legacyJournal) pendingEvents(reportDamage func(offset int, reason string)) (events []store.Event) {
	for _, entry := range j.accepted {
		if entry.completed {
			continue
		}
		if entry.bodyFile > 0 {
			var err error
			if entry.Body, err = errclass.ReadFile(os.ReadFile, j.bodyPath(entry.bodyFile)); err != nil {
				reportDamage(0, "discarding pending event "+entry.ID+", its body cannot be read: "+err.Error())
				entry.Resolution = store.Discarded
			}
		}
		events = append(events, entry.Event)
	}
	return events
}

func (j *legacyJournal) bodyPath(number int64) string {
	return j.name + legacyBodyInfix + strconv.FormatInt(number, 10)
}

// remove removes the journal file, and only then the body files: an event whose body file is missing would be discarded.
// As long as the journal file exists, the next start imports its events again, including those completed since.
func (j *legacyJournal) remove() error {
	if err := removeWithRetry(j.name); err != nil {
		return err
	}
	names, err := filepath.Glob(j.name + ".*")
	for _, name := range names {
		err = errors.Join(err, removeWithRetry(name))
	}
	return err
}

// removeWithRetry removes a file, retrying on transient errors. A file that does not exist counts as removed.
func removeWithRetry(name string) error {
	err := errclass.Retry(errclass.File, legacyRetryTimeout, legacyRetryInterval, func() error { return os.Remove(name) })
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// replay applies the records of the journal file and reports damaged ones. Only an incomplete or unreadable last record
// is dropped without a report. It returns the number of records read and the size of the dropped last record.
func (j *legacyJournal) replay(data []byte, reportDamage func(offset int, reason string)) (records, torn int) {
	for at := 0; at < len(data); {
		rest := data[at:]
		if len(rest) < legacyFrameSize {
			return records, len(rest)
		}
		size := int(le.Uint32(rest))
		end := legacyFrameSize + size
		if size > legacyMaxPayload {
			reportDamage(at, "invalid record length, the rest of the file cannot be read")
			return records, 0
		}
		if end > len(rest) {
			return records, len(rest)
		}
		payload := rest[legacyFrameSize:end]
		if crc32.Checksum(payload, crcTable) != le.Uint32(rest[4:]) || !j.apply(payload) {
			if at+end == len(data) {
				return records, len(rest)
			}
			reportDamage(at, "skipped a damaged record")
		} else {
			records++
		}
		at += end
	}
	return records, 0
}

// apply applies one record. It returns false if the record cannot be decoded.
func (j *legacyJournal) apply(payload []byte) bool {
	d := store.NewDecoder(payload)
	kind, id := d.Byte(), d.Text()
	entry := j.pending[id]
	switch kind {
	case legacyAccepted, legacyAcceptedLongBody:
		accepted := &legacyEvent{Event: store.Event{ID: id, Kind: d.Text(), Owner: d.Text()}}
		accepted.Dest, accepted.Deadline, accepted.IdempotencyKey = uint32(d.Varint()), d.Varint(), d.Text()
		if kind == legacyAccepted {
			accepted.Body = []byte(d.Text())
		} else {
			accepted.bodyFile, _ = d.Varint(), d.Varint()
		}
		if d.Invalid() || entry != nil {
			return false
		}
		j.pending[id], j.accepted = accepted, append(j.accepted, accepted)
	case legacyAttemptStarted:
		number, attempt := int(d.Byte()), store.Attempt{StartedAt: d.Varint(), Zone: d.Text()}
		if d.Invalid() {
			return false
		}
		if entry != nil {
			entry.BeginAttempt(number, attempt)
		}
	case legacyAttemptEnded:
		number, outcome := int(d.Byte()), delivery.Outcome(d.Byte())
		if d.Invalid() {
			return false
		}
		if entry != nil && number < len(entry.Attempts) {
			entry.Attempts[number].Ended, entry.Attempts[number].Outcome = true, outcome
		}
	case legacyResolution:
		resolution, retryAfter := store.Resolution(d.Byte()), d.Varint()
		if d.Invalid() || resolution > store.Discarded {
			return false
		}
		if entry != nil {
			entry.Resolution, entry.RetryAfter = resolution, retryAfter
		}
	case legacyCompleted:
		if entry != nil {
			entry.completed = true
			delete(j.pending, id)
		}
	default:
		return false
	}
	return !d.Invalid()
}
