package node

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"sync"

	"jaspersill/logs"
	"jaspersill/port"
)

// journal holds what the delivery node has taken on and not ended, in a folder that outlasts the process. A
// record is its payload's length and checksum, then the payload. What was written outlasts a killed process.
// When the file would leave no room to write what is owed anew, that is done, and the new file takes its
// place. A long body has a file of its own: it is written once, and gone with its event.
type journal struct {
	name string

	disk trouble

	mu    sync.Mutex
	file  *os.File
	size  int64 // of the file
	most  int64 // bytes that all files may hold
	owed  map[string]*entry
	order []*entry // as taken on; ended ones are left out now and then
	live  int64    // bytes that what is owed may take in the file
	long  int64    // bytes that long bodies' files take
	next  int64    // number of the next such file
	sends int      // of an event, at most
}

// entry is one event that is owed.
type entry struct {
	e        *event
	kind     string // names, as indices may change between starts
	owner    string
	past     []sent
	verdict  verdict
	comeBack int64
	need     int64 // bytes it may take in the file, all its sends included
	file     int64 // number of its body's own file, 0 for none
	long     int64 // bytes that this file takes
	over     bool
}

const (
	recTake = 1 + iota
	recBegan
	recEnded
	recDecide
	recOver
	recTakeLong // as recTake, with the number of the body's file
)

const (
	frameSize  = 8
	blockSize  = 512        // bytes in which files are counted
	longBody   = 8 << 10    // bytes from which a body has its own file: a page or two are cheaper copied
	slackSize  = 4096       // bytes of the folder left alone: both files' last blocks
	liveEighth = 3          // eighths of the rest that owed events may take: twice that, and room to write on
	sendSize   = 96         // bytes that the two records of a send take, without the event's id
	mostRecord = 1 << 20    // bytes; a longer one is no record
	noLimit    = 256 * 1e6  // bytes of the folder where none is told
	fileMode   = 0o600      // the bodies are nobody else's
	fileName   = "journal"  // in the folder
	nextName   = ".written" // behind the name while it is written anew
	bodyName   = ".body-"   // behind the name, then the number
)

var (
	errFull  = errors.New("journal: no room for another event")
	errOver  = errors.New("journal: nothing is owed for the event")
	errKnown = errors.New("journal: the event is owed already")
	crcTable = crc32.MakeTable(crc32.Castagnoli)
	le       = binary.LittleEndian
)

// openJournal opens the folder's journal and returns the events that it still owes, in the order of their
// coming. find maps the names of a stream type and a customer to their indices.
func openJournal(folder string, limitMB float64, sends int, find func(kind, owner string) (int, int, bool)) (
	*journal, []*event, error) {
	j := &journal{name: filepath.Join(folder, fileName), most: noLimit, sends: sends, next: 1,
		owed: make(map[string]*entry), disk: trouble{part: "journal", what: "writing a record"}}
	if limitMB > 0 {
		j.most = int64(limitMB*1e6) - slackSize
	}
	if err := os.Remove(j.name + nextName); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, nil, err
	}
	text, err := os.ReadFile(j.name)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, nil, err
	}
	j.replay(text, func(offset int, reason string) {
		logs.Part("journal").WithField("offset", offset).Error(reason)
	})
	if err := j.sweepBodies(); err != nil {
		return nil, nil, err
	}
	var events []*event
	for _, o := range j.order {
		if o.over {
			continue
		}
		typ, customer, ok := find(o.kind, o.owner)
		if !ok { // danger: an event of a stream type that is no longer known still gets its end
			logs.Event("journal", o.e.id).WithField("kind", o.kind).Error("owed event of an unknown stream type is discarded")
			o.verdict = discarded
		}
		if o.file > 0 {
			if o.e.body, err = os.ReadFile(j.body(o.file)); err != nil {
				logs.Event("journal", o.e.id).WithError(err).Error("owed event without its body is discarded")
				o.verdict = discarded
			}
		}
		o.e.typ, o.e.customer, o.e.past, o.e.sends = typ, customer, o.past, len(o.past)
		o.e.verdict, o.e.comeBack = o.verdict, o.comeBack
		events = append(events, o.e)
	}
	// Danger: what is appended behind a torn record would be lost with it. The file is written anew.
	return j, events, j.rewrite()
}

func (j *journal) close() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.file.Close()
}

// take writes that an event was taken on.
func (j *journal) take(e *event, kind, owner string) error {
	o := &entry{e: e, kind: kind, owner: owner}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.owed[e.id] != nil {
		return errKnown
	}
	if len(e.body) >= longBody {
		o.file, o.long = j.next, blocks(len(e.body))
	}
	rec := o.takeRecord(nil)
	o.need = int64(len(rec)) + j.reserve(e.id)
	if (j.live+o.need)*8/liveEighth > j.most-j.long-o.long {
		return errFull
	}
	if err := j.room(len(rec), o.need+o.long); err != nil {
		return err
	}
	if o.file > 0 {
		if err := os.WriteFile(j.body(o.file), e.body, fileMode); err != nil {
			os.Remove(j.body(o.file))
			return err
		}
		j.next++
	}
	if err := j.append(rec); err != nil {
		if o.file > 0 {
			os.Remove(j.body(o.file))
		}
		return err
	}
	j.add(o)
	return nil
}

func (j *journal) body(number int64) string { return j.name + bodyName + strconv.FormatInt(number, 10) }

func blocks(size int) int64 { return int64(size+blockSize-1) / blockSize * blockSize }

// sweepBodies removes the files of bodies whose events are over: the process may end before that is done.
func (j *journal) sweepBodies() error {
	names, err := filepath.Glob(j.name + bodyName + "*")
	if err != nil {
		return err
	}
	kept := make(map[string]bool)
	for _, o := range j.owed {
		if o.file > 0 {
			kept[j.body(o.file)] = true
		}
	}
	for _, name := range names {
		if !kept[name] {
			if err := os.Remove(name); err != nil {
				return err
			}
		}
	}
	return nil
}

func (j *journal) reserve(id string) int64 { return int64(j.sends+2) * int64(sendSize+2*len(id)) }

func (j *journal) add(o *entry) {
	j.owed[o.e.id] = o
	j.order = append(j.order, o)
	j.live, j.long = j.live+o.need, j.long+o.long
}

// began writes that a send goes out. Where it fails, nothing may go.
func (j *journal) began(e *event, number int, at int64, zone string) error {
	return j.note(e, errOver, func(o *entry) []byte {
		o.begin(number, sent{at: at, zone: zone})
		return beganRecord(nil, e.id, number, o.past[number])
	})
}

// begin adds a send. One before it that never began cannot have run.
func (o *entry) begin(number int, s sent) {
	for len(o.past) < number {
		o.past = append(o.past, sent{at: s.at, zone: s.zone, ended: true, how: port.Unsent})
	}
	if len(o.past) == number {
		o.past = append(o.past, s)
	}
}

// ended writes how a send ended.
func (j *journal) ended(e *event, number int, how port.Outcome) {
	j.must(j.note(e, nil, func(o *entry) []byte {
		if number >= len(o.past) {
			return nil // it never began
		}
		o.past[number].ended, o.past[number].how = true, how
		return endedRecord(nil, e.id, number, how)
	}))
}

// decide writes how an event ends whose notice is still owed.
func (j *journal) decide(e *event) {
	j.must(j.note(e, nil, func(o *entry) []byte {
		o.verdict, o.comeBack = e.verdict, e.comeBack
		return decideRecord(nil, e.id, e.verdict, e.comeBack)
	}))
}

// over writes that nothing more is owed for an event.
func (j *journal) over(e *event) {
	j.must(j.note(e, nil, func(*entry) []byte { return overRecord(nil, e.id) }))
	j.mu.Lock()
	defer j.mu.Unlock()
	if o := j.owed[e.id]; o != nil && o.e == e {
		j.drop(o)
		if o.file > 0 {
			j.must(os.Remove(j.body(o.file)))
		}
	}
}

func (j *journal) drop(o *entry) {
	o.over = true
	delete(j.owed, o.e.id)
	j.live, j.long = j.live-o.need, j.long-o.long
	if len(j.order) > 2*len(j.owed)+16 {
		keep := j.order[:0]
		for _, o := range j.order {
			if !o.over {
				keep = append(keep, o)
			}
		}
		clear(j.order[len(keep):])
		j.order = keep
	}
}

// must: danger: an end that was not written is told twice after a restart; stopping would lose more.
func (j *journal) must(err error) {
	j.disk.note(err)
}

// note writes a record about an event that is owed; missing is returned for any other.
func (j *journal) note(e *event, missing error, rec func(*entry) []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	o := j.owed[e.id]
	if o == nil || o.e != e { // danger: an id may come again while the former event's last send is still out
		return missing
	}
	text := rec(o)
	if err := j.room(len(text), 0); err != nil {
		return err
	}
	return j.append(text)
}

// room writes the file anew if with so many bytes more, and with more needed later, there would be no room
// left to do so. Danger: over its limit, even for a moment, the delivery node counts as crashed.
func (j *journal) room(size int, more int64) error {
	if j.size+int64(size) <= j.most-j.live-j.long-more {
		return nil
	}
	return j.rewrite()
}

func (j *journal) append(rec []byte) error {
	if n, err := j.file.Write(rec); err != nil {
		if n > 0 { // danger: half a record in the middle takes all behind it along
			j.must(j.file.Truncate(j.size))
		}
		return err
	}
	j.size += int64(len(rec))
	return nil
}

// rewrite writes what is owed into a new file, which then takes the old one's place.
func (j *journal) rewrite() error {
	var text []byte
	for _, o := range j.order {
		if o.over {
			continue
		}
		text = o.takeRecord(text)
		for i, s := range o.past {
			text = beganRecord(text, o.e.id, i, s)
			if s.ended {
				text = endedRecord(text, o.e.id, i, s.how)
			}
		}
		if o.verdict != open {
			text = decideRecord(text, o.e.id, o.verdict, o.comeBack)
		}
	}
	next, err := os.OpenFile(j.name+nextName, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return err
	}
	if _, err = next.Write(text); err == nil {
		err = os.Rename(j.name+nextName, j.name)
	}
	if err != nil {
		next.Close()
		os.Remove(j.name + nextName)
		return err
	}
	if j.file != nil {
		j.file.Close()
	}
	j.file, j.size = next, int64(len(text))
	return nil
}

// replay reads the records of a file and tells where one is damaged. Only a last one that was cut off is dropped
// without a word. It returns how many records were read and the bytes at the end that were cut off.
func (j *journal) replay(text []byte, damaged func(offset int, reason string)) (records, torn int) {
	for at := 0; at < len(text); {
		rest := text[at:]
		if len(rest) < frameSize {
			return records, len(rest)
		}
		size := int(le.Uint32(rest))
		end := frameSize + size
		if size > mostRecord {
			damaged(at, "no record can be read from here on")
			return records, 0
		}
		if end > len(rest) {
			return records, len(rest)
		}
		payload := rest[frameSize:end]
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
func (j *journal) apply(payload []byte) bool {
	f := fields{rest: payload}
	what, id := f.byte(), f.text()
	o := j.owed[id]
	switch what {
	case recTake, recTakeLong:
		e := &event{id: id, steps: make(chan step, maxSteps)}
		fresh := &entry{e: e, kind: f.text(), owner: f.text()}
		e.dest, e.deadline, e.mark = uint32(f.number()), f.number(), f.text()
		if what == recTake {
			e.body = []byte(f.text())
		} else {
			fresh.file, fresh.long = f.number(), blocks(int(f.number()))
			j.next = max(j.next, fresh.file+1)
		}
		if f.bad || o != nil {
			return false
		}
		fresh.need = int64(len(payload)) + frameSize + j.reserve(id)
		j.add(fresh)
	case recBegan:
		number, s := int(f.byte()), sent{at: f.number(), zone: f.text()}
		if f.bad {
			return false
		}
		if o != nil {
			o.begin(number, s)
		}
	case recEnded:
		number, how := int(f.byte()), port.Outcome(f.byte())
		if f.bad {
			return false
		}
		if o != nil && number < len(o.past) {
			o.past[number].ended, o.past[number].how = true, how
		}
	case recDecide:
		v, comeBack := verdict(f.byte()), f.number()
		if f.bad || v > discarded {
			return false
		}
		if o != nil {
			o.verdict, o.comeBack = v, comeBack
		}
	case recOver:
		if o != nil {
			j.drop(o)
		}
	default:
		return false
	}
	return !f.bad
}

func (o *entry) takeRecord(to []byte) []byte {
	what := byte(recTake)
	if o.file > 0 {
		what = recTakeLong
	}
	return frame(to, what, o.e.id, func(b []byte) []byte {
		b = appendText(appendText(b, o.kind), o.owner)
		b = binary.AppendVarint(binary.AppendVarint(b, int64(o.e.dest)), o.e.deadline)
		if b = appendText(b, o.e.mark); o.file > 0 {
			return binary.AppendVarint(binary.AppendVarint(b, o.file), int64(len(o.e.body)))
		}
		return appendText(b, string(o.e.body))
	})
}

func beganRecord(to []byte, id string, number int, s sent) []byte {
	return frame(to, recBegan, id, func(b []byte) []byte {
		return appendText(binary.AppendVarint(append(b, byte(number)), s.at), s.zone)
	})
}

func endedRecord(to []byte, id string, number int, how port.Outcome) []byte {
	return frame(to, recEnded, id, func(b []byte) []byte { return append(b, byte(number), byte(how)) })
}

func decideRecord(to []byte, id string, v verdict, comeBack int64) []byte {
	return frame(to, recDecide, id, func(b []byte) []byte {
		return binary.AppendVarint(append(b, byte(v)), comeBack)
	})
}

func overRecord(to []byte, id string) []byte {
	return frame(to, recOver, id, func(b []byte) []byte { return b })
}

// frame appends a record: length, checksum, what it says and of which event, and the rest.
func frame(to []byte, what byte, id string, rest func([]byte) []byte) []byte {
	at := len(to)
	to = append(to, make([]byte, frameSize)...)
	to = rest(appendText(append(to, what), id))
	payload := to[at+frameSize:]
	le.PutUint32(to[at:], uint32(len(payload)))
	le.PutUint32(to[at+4:], crc32.Checksum(payload, crcTable))
	return to
}

func appendText(to []byte, text string) []byte {
	return append(binary.AppendUvarint(to, uint64(len(text))), text...)
}

// fields reads a payload; past its end, or at what is no value, it turns bad.
type fields struct {
	rest []byte
	bad  bool
}

func (f *fields) byte() byte {
	if len(f.rest) == 0 {
		f.bad = true
		return 0
	}
	b := f.rest[0]
	f.rest = f.rest[1:]
	return b
}

func (f *fields) number() int64 {
	v, n := binary.Varint(f.rest)
	if n <= 0 {
		f.bad = true
		return 0
	}
	f.rest = f.rest[n:]
	return v
}

func (f *fields) text() string {
	size, n := binary.Uvarint(f.rest)
	if n <= 0 || size > uint64(len(f.rest)-n) {
		f.bad = true
		return ""
	}
	text := string(f.rest[n : n+int(size)])
	f.rest = f.rest[n+int(size):]
	return text
}

// empty tells whether nothing is owed.
func (j *journal) empty() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.owed) == 0
}
