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

// oldJournal reads the one file in which nodes kept what they owed before there was a store: a row of
// records, each its payload's length and checksum, then the payload. Long bodies have files of their own. It
// is read once, and removed when all that it owed stands in the store.
type oldJournal struct {
	name  string
	owed  map[string]*oldEntry
	order []*oldEntry // as taken on
}

// oldEntry is one event that the file has.
type oldEntry struct {
	store.Event
	file int64 // number of its body's own file, 0 for none
	over bool
}

const (
	oldTake = 1 + iota
	oldBegan
	oldEnded
	oldDecide
	oldOver
	oldTakeLong // as oldTake, with the number of the body's file
)

const (
	oldFrame  = 8
	oldRecord = 1 << 20   // bytes; a longer one is no record
	oldName   = "journal" // in the folder
	oldNext   = ".written"
	oldBody   = ".body-" // behind the name, then the number
)

var (
	crcTable = crc32.MakeTable(crc32.Castagnoli)
	le       = binary.LittleEndian
)

const (
	carryWithin = 5 * time.Second // for a step of the carrying over that fails for a moment
	carryAgain  = 20 * time.Millisecond
)

// readOld reads a folder's old file; nil for none. damaged hears where a record is.
func readOld(folder string, damaged func(offset int, reason string)) (*oldJournal, error) {
	j := &oldJournal{name: filepath.Join(folder, oldName), owed: make(map[string]*oldEntry)}
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

// events are those that are owed, in the order of their coming. One whose body is gone is discarded: nothing
// is guessed.
func (j *oldJournal) events(damaged func(offset int, reason string)) (list []store.Event) {
	for _, o := range j.order {
		if o.over {
			continue
		}
		if o.file > 0 {
			var err error
			if o.Body, err = errclass.ReadFile(os.ReadFile, j.body(o.file)); err != nil {
				damaged(0, "owed event "+o.ID+" without its body is discarded: "+err.Error())
				o.Verdict = store.Discarded
			}
		}
		list = append(list, o.Event)
	}
	return list
}

func (j *oldJournal) body(number int64) string {
	return j.name + oldBody + strconv.FormatInt(number, 10)
}

// remove removes the old file, and only then those of long bodies: without its file an event would be discarded. While
// the old file stands, the next start would take its events on again, also those that have ended since.
func (j *oldJournal) remove() error {
	if err := removeSettled(j.name); err != nil {
		return err
	}
	names, err := filepath.Glob(j.name + ".*")
	for _, name := range names {
		err = errors.Join(err, removeSettled(name))
	}
	return err
}

// removeSettled removes a file, and tries again while that fails for a moment. One that is gone counts as removed.
func removeSettled(name string) error {
	err := errclass.Retry(errclass.File, carryWithin, carryAgain, func() error { return os.Remove(name) })
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// replay reads the records of a file and tells where one is damaged. Only a last one that was cut off is
// dropped without a word. It returns how many records were read and the bytes at the end that were cut off.
func (j *oldJournal) replay(text []byte, damaged func(offset int, reason string)) (records, torn int) {
	for at := 0; at < len(text); {
		rest := text[at:]
		if len(rest) < oldFrame {
			return records, len(rest)
		}
		size := int(le.Uint32(rest))
		end := oldFrame + size
		if size > oldRecord {
			damaged(at, "no record can be read from here on")
			return records, 0
		}
		if end > len(rest) {
			return records, len(rest)
		}
		payload := rest[oldFrame:end]
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
func (j *oldJournal) apply(payload []byte) bool {
	f := store.Read(payload)
	what, id := f.Byte(), f.Text()
	o := j.owed[id]
	switch what {
	case oldTake, oldTakeLong:
		fresh := &oldEntry{Event: store.Event{ID: id, Kind: f.Text(), Owner: f.Text()}}
		fresh.Dest, fresh.Deadline, fresh.Mark = uint32(f.Number()), f.Number(), f.Text()
		if what == oldTake {
			fresh.Body = []byte(f.Text())
		} else {
			fresh.file, _ = f.Number(), f.Number()
		}
		if f.Bad() || o != nil {
			return false
		}
		j.owed[id], j.order = fresh, append(j.order, fresh)
	case oldBegan:
		number, s := int(f.Byte()), store.Send{At: f.Number(), Zone: f.Text()}
		if f.Bad() {
			return false
		}
		if o != nil {
			o.Begin(number, s)
		}
	case oldEnded:
		number, how := int(f.Byte()), delivery.Outcome(f.Byte())
		if f.Bad() {
			return false
		}
		if o != nil && number < len(o.Sends) {
			o.Sends[number].Ended, o.Sends[number].How = true, how
		}
	case oldDecide:
		v, comeBack := store.Verdict(f.Byte()), f.Number()
		if f.Bad() || v > store.Discarded {
			return false
		}
		if o != nil {
			o.Verdict, o.ComeBack = v, comeBack
		}
	case oldOver:
		if o != nil {
			o.over = true
			delete(j.owed, id)
		}
	default:
		return false
	}
	return !f.Bad()
}
