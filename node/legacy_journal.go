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

// legacyJournal reads the one file in which nodes kept what they owed before there was a store: a row of
// records, each its payload's length and checksum, then the payload. Long bodies have files of their own. It
// is read once, and removed when all that it owed stands in the store.
type legacyJournal struct {
	name     string
	pending  map[string]*legacyEvent
	accepted []*legacyEvent // as taken on
}

// legacyEvent is one event that the file has.
type legacyEvent struct {
	store.Event
	bodyFile  int64 // number of its body's own file, 0 for none
	completed bool
}

const (
	legacyAccepted = 1 + iota
	legacyAttemptStarted
	legacyAttemptEnded
	legacyVerdict
	legacyCompleted
	legacyAcceptedLongBody // as oldTake, with the number of the body's file
)

const (
	legacyFrameSize     = 8
	legacyMaxPayload    = 1 << 20   // bytes; a longer one is no record
	legacyName          = "journal" // in the folder
	legacyRewriteSuffix = ".written"
	legacyBodyInfix     = ".body-" // behind the name, then the number
)

var (
	crcTable = crc32.MakeTable(crc32.Castagnoli)
	le       = binary.LittleEndian
)

const (
	legacyRetryTimeout  = 5 * time.Second // for a step of the carrying over that fails for a moment
	legacyRetryInterval = 20 * time.Millisecond
)

// readLegacyJournal reads a folder's old file; nil for none. damaged hears where a record is.
func readLegacyJournal(folder string, damaged func(offset int, reason string)) (*legacyJournal, error) {
	j := &legacyJournal{name: filepath.Join(folder, legacyName), pending: make(map[string]*legacyEvent)}
	text, err := errclass.ReadFile(os.ReadFile, j.name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	j.replay(text, damaged)
	return j, nil
}

// pendingEvents are those that are owed, in the order of their coming. One whose body is gone is discarded: nothing
// is guessed.
func (j *legacyJournal) pendingEvents(damaged func(offset int, reason string)) (list []store.Event) {
	for _, o := range j.accepted {
		if o.completed {
			continue
		}
		if o.bodyFile > 0 {
			var err error
			if o.Body, err = errclass.ReadFile(os.ReadFile, j.bodyPath(o.bodyFile)); err != nil {
				damaged(0, "owed event "+o.ID+" without its body is discarded: "+err.Error())
				o.Verdict = store.Discarded
			}
		}
		list = append(list, o.Event)
	}
	return list
}

func (j *legacyJournal) bodyPath(number int64) string {
	return j.name + legacyBodyInfix + strconv.FormatInt(number, 10)
}

// remove removes the old file, and only then those of long bodies: without its file an event would be discarded. While
// the old file stands, the next start would take its events on again, also those that have ended since.
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

// removeWithRetry removes a file, and tries again while that fails for a moment. One that is gone counts as removed.
func removeWithRetry(name string) error {
	err := errclass.Retry(errclass.File, legacyRetryTimeout, legacyRetryInterval, func() error { return os.Remove(name) })
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// replay reads the records of a file and tells where one is damaged. Only a last one that was cut off is
// dropped without a word. It returns how many records were read and the bytes at the end that were cut off.
func (j *legacyJournal) replay(text []byte, damaged func(offset int, reason string)) (records, torn int) {
	for at := 0; at < len(text); {
		rest := text[at:]
		if len(rest) < legacyFrameSize {
			return records, len(rest)
		}
		size := int(le.Uint32(rest))
		end := legacyFrameSize + size
		if size > legacyMaxPayload {
			damaged(at, "no record can be read from here on")
			return records, 0
		}
		if end > len(rest) {
			return records, len(rest)
		}
		payload := rest[legacyFrameSize:end]
		if crc32.Checksum(payload, crcTable) != le.Uint32(rest[4:]) || !j.apply(payload) {
			if at+end == len(text) {
				return records, len(rest)
			}
			damaged(at, "a damaged record was passed over")
		} else {
			records++
		}
		at += end
	}
	return records, 0
}

// apply takes one record in; false for one that makes no sense.
func (j *legacyJournal) apply(payload []byte) bool {
	f := store.NewDecoder(payload)
	what, id := f.Byte(), f.Text()
	o := j.pending[id]
	switch what {
	case legacyAccepted, legacyAcceptedLongBody:
		fresh := &legacyEvent{Event: store.Event{ID: id, Kind: f.Text(), Owner: f.Text()}}
		fresh.Dest, fresh.Deadline, fresh.IdempotencyKey = uint32(f.Varint()), f.Varint(), f.Text()
		if what == legacyAccepted {
			fresh.Body = []byte(f.Text())
		} else {
			fresh.bodyFile, _ = f.Varint(), f.Varint()
		}
		if f.Invalid() || o != nil {
			return false
		}
		j.pending[id], j.accepted = fresh, append(j.accepted, fresh)
	case legacyAttemptStarted:
		number, s := int(f.Byte()), store.Attempt{StartedAt: f.Varint(), Zone: f.Text()}
		if f.Invalid() {
			return false
		}
		if o != nil {
			o.BeginAttempt(number, s)
		}
	case legacyAttemptEnded:
		number, how := int(f.Byte()), delivery.Outcome(f.Byte())
		if f.Invalid() {
			return false
		}
		if o != nil && number < len(o.Attempts) {
			o.Attempts[number].Ended, o.Attempts[number].Outcome = true, how
		}
	case legacyVerdict:
		v, comeBack := store.Verdict(f.Byte()), f.Varint()
		if f.Invalid() || v > store.Discarded {
			return false
		}
		if o != nil {
			o.Verdict, o.RetryAfter = v, comeBack
		}
	case legacyCompleted:
		if o != nil {
			o.completed = true
			delete(j.pending, id)
		}
	default:
		return false
	}
	return !f.Invalid()
}
