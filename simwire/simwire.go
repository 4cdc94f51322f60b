// Package simwire implements the simulator's wire protocol: it reads batches of events, passes them to the scheduler of
// each simulated delivery node and writes the schedulers' actions back. It makes no decisions itself.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"jaspersill/delivery"
	"jaspersill/idmap"
	"jaspersill/peermsg"
	"jaspersill/settings"
)

// Event codes, under the protocol's names.
const (
	eventLaunch = 1 + iota
	eventTopology
	eventKnock
	eventBegun
	eventFinished
	eventAbandoned
	eventReminder
	eventProbed
	eventMemo
	eventDown
	eventCatalog
	eventTo
)

// Action codes, under the protocol's names.
const (
	actionIssue = 65 + iota
	actionBounce
	actionSurrender
	actionRevoke
	actionRemind
	actionSample
	actionFreeLinks
	actionMemoTo
	actionWriteLog
	actionBailOut
	actionKeepInformed
	actionGetList
	actionOnBehalf
)

const (
	headerSize      = 20
	eventSize       = 48
	actionSize      = 24
	entrySize       = 22
	maxCatalogs     = 16
	allPeers        = 0xffff
	maxIDBits       = 52
	maxDelayMS      = 71 * 60 * 1000 // longer delays of a Remind are cut to this
	topologyCached  = 0
	topologyChanges = 1
	topologyFailed  = 2
	topologyFull    = 3
)

var le = binary.LittleEndian

func msToNs(ms float64) int64           { return int64(math.Round(ms * 1e6)) }
func nsToMs(ns int64) float64           { return float64(ns) / 1e6 }
func readFloat64(b []byte) float64      { return math.Float64frombits(le.Uint64(b)) }
func readFloat32(b []byte) float64      { return float64(math.Float32frombits(le.Uint32(b))) }
func withinLimit(f, limit float64) bool { return f >= -limit && f <= limit } // false for NaN

// outcomes maps the protocol's result codes.
var outcomes = map[uint16]delivery.Outcome{200: delivery.Acked, 502: delivery.Errored, 429: delivery.Refused,
	408: delivery.TimedOut, 521: delivery.ConnectFailed, 520: delivery.Reset, 444: delivery.Cancelled, 409: delivery.Unsent}

// Serve replies to each batch until the input ends. It creates a scheduler with newScheduler for each Launch event.
func Serve(in io.Reader, out io.Writer, newScheduler func(seed uint64, s settings.Settings) delivery.Scheduler) error {
	s := session{newScheduler: newScheduler, in: bufio.NewReaderSize(in, 1<<16), out: bufio.NewWriterSize(out, 1<<16),
		nodes: make(map[uint16]*instance)}
	for {
		more, err := s.handleBatch()
		if err != nil {
			return err
		}
		if !more {
			return nil
		}
	}
}

type session struct {
	newScheduler   func(uint64, settings.Settings) delivery.Scheduler
	in             *bufio.Reader
	out            *bufio.Writer
	body           bytes.Buffer
	catalogs       [maxCatalogs][]byte
	catalogDefined [maxCatalogs]bool
	nodes          map[uint16]*instance
	active         []*instance // instances with an event in this batch, in order of first mention
	records        []byte
	tail           []byte
}

// instance is one simulated delivery node: its scheduler and the mapping between the protocol's ids and indices.
type instance struct {
	number    uint16
	session   *session
	scheduler delivery.Scheduler
	pending   []inputEvent
	active    bool // has an event in this batch

	events     idmap.Table[uint64]
	openSends  []int32 // sends in progress, by event index
	ended      []bool  // by event index
	releasable []int32 // ended events that may have no sends in progress left

	endpoints, destinations    idmap.Table[uint32]
	hasRates                   bool // endpoint lists contain rates
	freeShareIndex, limitIndex int  // positions in a load report, -1 if it does not contain them
}

// inputEvent is one event of a batch.
type inputEvent struct {
	offset  int    // of its record
	payload []byte // list entries of a Topology, data of a Memo
}

func (s *session) handleBatch() (bool, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(s.in, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return false, nil
		}
		return false, fmt.Errorf("batch header: input ends inside it: %v", err)
	}
	seq, size, count := le.Uint32(header[0:]), le.Uint32(header[4:]), le.Uint32(header[8:])
	clock := readFloat64(header[12:])
	if !withinLimit(clock, 1e12) {
		return false, fmt.Errorf("batch %d: clock %v is not a usable time", seq, clock)
	}
	if uint64(count)*eventSize > uint64(size) {
		return false, fmt.Errorf("batch %d: %d records do not fit in %d bytes", seq, count, size)
	}
	s.body.Reset()
	// CopyN grows the buffer as bytes arrive, so a wrong length does not allocate memory.
	if got, err := io.CopyN(&s.body, s.in, int64(size)); err != nil {
		return false, fmt.Errorf("batch %d: input ends after %d of %d bytes", seq, got, size)
	}
	body := s.body.Bytes()
	s.records, s.tail = body[:count*eventSize], body[count*eventSize:]
	if err := s.dispatch(seq, int(count)); err != nil {
		return false, err
	}
	now := msToNs(clock)
	var reply replyWriter
	for _, n := range s.active {
		if n.scheduler == nil {
			continue
		}
		if text := n.runRound(now, &reply); text != "" {
			reply = replyWriter{}
			reply.beginInstance(n)
			reply.textRecord(actionBailOut, text)
			break
		}
	}
	var replyHeader [12]byte
	le.PutUint32(replyHeader[0:], seq)
	le.PutUint32(replyHeader[4:], uint32(len(reply.records)/actionSize))
	le.PutUint32(replyHeader[8:], uint32(len(reply.records)+len(reply.tail)))
	for _, part := range [][]byte{replyHeader[:], reply.records, reply.tail} {
		if _, err := s.out.Write(part); err != nil {
			return false, fmt.Errorf("reply %d: %w", seq, err)
		}
	}
	if err := s.out.Flush(); err != nil {
		return false, fmt.Errorf("reply %d: %w", seq, err)
	}
	return true, nil
}

// tailSlice returns the part of the tail that a record's offset and length fields refer to.
func (s *session) tailSlice(field []byte, unit int) ([]byte, error) {
	offset, size := uint64(le.Uint32(field)), uint64(le.Uint32(field[4:]))*uint64(unit)
	if offset+size > uint64(len(s.tail)) {
		return nil, fmt.Errorf("offset %d and length %d exceed the tail's %d bytes", offset, size, len(s.tail))
	}
	return s.tail[offset : offset+size], nil
}

// dispatch validates a batch and queues each instance's events, in order.
func (s *session) dispatch(seq uint32, count int) error {
	for _, n := range s.active {
		n.pending, n.active = n.pending[:0], false
	}
	s.active = s.active[:0]
	var current *instance
	for i := range count {
		offset := i * eventSize
		r := s.records[offset : offset+eventSize]
		invalid := func(format string, a ...any) error {
			return fmt.Errorf("batch %d, record %d: %s", seq, i, fmt.Sprintf(format, a...))
		}
		code := r[0]
		switch {
		case code == eventTo:
			num := le.Uint16(r[1:])
			current = s.nodes[num]
			if current == nil {
				current = &instance{number: num, session: s}
				s.nodes[num] = current
			}
			continue
		case code == eventCatalog:
			table := le.Uint16(r[1:])
			if table >= maxCatalogs {
				return invalid("Catalog number %d is above 15", table)
			}
			entries, err := s.tailSlice(r[3:], entrySize)
			if err != nil {
				return invalid("Catalog: %v", err)
			}
			for e := entries; len(e) > 0; e = e[entrySize:] {
				if e[9] < 1 || e[9] > 3 {
					return invalid("Catalog: endpoint %d has unknown state %d", le.Uint32(e), e[9])
				}
			}
			s.catalogs[table], s.catalogDefined[table] = bytes.Clone(entries), true
			continue
		case code < eventLaunch || code > eventTo:
			return invalid("unknown event code %d", code)
		}
		if current == nil {
			return invalid("event code %d before any To", code)
		}
		if !current.active {
			current.active = true
			s.active = append(s.active, current)
		}
		input := inputEvent{offset: offset}
		switch code {
		case eventDown:
			current.scheduler, current.pending = nil, current.pending[:0]
			continue
		case eventLaunch:
			text, err := s.tailSlice(r[9:], 1)
			if err != nil {
				return invalid("Launch: %v", err)
			}
			parsed, err := settings.ParseLines(string(text))
			if err != nil {
				return invalid("Launch: %v", err)
			}
			*current = instance{number: current.number, session: s, active: true, pending: current.pending[:0],
				hasRates: parsed.HasRates, freeShareIndex: parsed.FreeShareIndex, limitIndex: parsed.LimitIndex,
				scheduler: s.newScheduler(le.Uint64(r[1:]), parsed)}
			continue
		case eventTopology:
			kind, table := r[1], le.Uint16(r[10:])
			if kind > topologyFull {
				return invalid("Topology: unknown kind %d", kind)
			}
			if kind != topologyFailed {
				if table >= maxCatalogs || !s.catalogDefined[table] {
					return invalid("Topology: Catalog %d was never defined", table)
				}
				input.payload = s.catalogs[table]
			}
		case eventKnock:
			if id := le.Uint64(r[1:]); id >= 1<<maxIDBits {
				return invalid("Knock: id %d is not below 2^52", id)
			}
			if left, dest := readFloat64(r[21:]), readFloat32(r[37:]); !withinLimit(left, 1e12) || !(dest >= 0 && dest < 1<<24) {
				return invalid("Knock: left_ms %v or to_dest %v is not usable", left, dest)
			}
		case eventFinished:
			if _, ok := outcomes[le.Uint16(r[13:])]; !ok || !withinLimit(readFloat64(r[15:]), 1e12) || r[30] > 4 {
				return invalid("Finished: code %d, lag_ms %v or report size %d is unknown",
					le.Uint16(r[13:]), readFloat64(r[15:]), r[30])
			}
		case eventProbed:
			if _, ok := outcomes[le.Uint16(r[5:])]; !ok || !withinLimit(readFloat64(r[7:]), 1e12) || r[15] > 4 {
				return invalid("Probed: code %d, lag_ms %v or report size %d is unknown",
					le.Uint16(r[5:]), readFloat64(r[7:]), r[15])
			}
		case eventMemo:
			data, err := s.tailSlice(r[3:], 1)
			if err != nil {
				return invalid("Memo: %v", err)
			}
			input.payload = data
		}
		if current.scheduler != nil {
			current.pending = append(current.pending, input)
		}
	}
	return nil
}

// runRound runs one scheduling round of an instance. If the scheduler panics, it returns the panic as text.
func (n *instance) runRound(now int64, reply *replyWriter) (failure string) {
	defer func() {
		if p := recover(); p != nil {
			failure = fmt.Sprint("panic in the decisions: ", p)
		}
	}()
	reply.beginInstance(n)
	n.scheduler.Round(now, n, reply)
	reply.endInstance()
	for _, e := range n.releasable {
		if n.ended[e] && n.openSends[e] == 0 {
			n.events.Release(e)
		}
	}
	n.releasable = n.releasable[:0]
	return ""
}

// Deliver implements delivery.Feed.
func (n *instance) Deliver(to delivery.Handler) {
	for _, input := range n.pending {
		r := n.session.records[input.offset : input.offset+eventSize]
		switch r[0] {
		case eventTopology:
			n.deliverList(r[1], input.payload, to)
		case eventKnock:
			n.deliverKnock(r, to)
		case eventBegun:
			if e, ok := n.events.Lookup(le.Uint64(r[1:])); ok {
				to.ProcessingStarted(e, int(le.Uint16(r[9:])))
			}
		case eventFinished:
			n.deliverFinished(r, to)
		case eventAbandoned:
			if e, ok := n.events.Lookup(le.Uint64(r[1:])); ok {
				n.markEnded(e)
				to.Withdrawn(e)
			}
		case eventReminder:
			to.Woken()
		case eventProbed:
			if ep, ok := n.endpoints.Lookup(le.Uint32(r[1:])); ok {
				to.Probed(ep, outcomes[le.Uint16(r[5:])], msToNs(readFloat64(r[7:])),
					n.reportValue(r[15:], n.freeShareIndex), n.reportValue(r[15:], n.limitIndex))
			}
		case eventMemo:
			if id, sentAgo, ok := peermsg.DecodeHealthy(input.payload); ok {
				if ep, known := n.endpoints.Lookup(id); known {
					to.PeerReportedHealthy(int(le.Uint16(r[1:])), ep, int64(sentAgo))
				}
			}
		}
	}
}

func (n *instance) deliverList(kind byte, entries []byte, to delivery.Handler) {
	if kind == topologyFailed {
		to.ListFailed()
		return
	}
	to.ListStarted(kind != topologyChanges)
	for e := entries; len(e) > 0; e = e[entrySize:] {
		ep, _ := n.endpoints.Acquire(le.Uint32(e))
		rate := readFloat32(e[10:])
		if !n.hasRates || !withinLimit(rate, 1e9) {
			rate = 0
		}
		to.EndpointListed(ep, n.destIndex(uint32(le.Uint16(e[7:]))), int(e[6]), int(le.Uint16(e[4:])), delivery.EndpointState(e[9]), rate)
	}
	to.ListEnded(kind != topologyCached)
}

func (n *instance) destIndex(number uint32) int32 {
	d, _ := n.destinations.Acquire(number)
	return d
}

func (n *instance) deliverKnock(r []byte, to delivery.Handler) {
	e, fresh := n.events.Acquire(le.Uint64(r[1:]))
	if !fresh {
		return
	}
	if int(e) == len(n.openSends) {
		n.openSends, n.ended = append(n.openSends, 0), append(n.ended, false)
	}
	n.openSends[e], n.ended[e] = 0, false
	var work int64
	if hint := readFloat64(r[29:]); r[41]&1 != 0 && withinLimit(hint, 1e9) {
		work = msToNs(hint)
	}
	to.Event(e, int(le.Uint16(r[9:])), int(le.Uint16(r[11:])), le.Uint64(r[13:]), msToNs(readFloat64(r[21:])),
		work, n.destIndex(uint32(readFloat32(r[37:]))))
}

func (n *instance) deliverFinished(r []byte, to delivery.Handler) {
	e, ok := n.events.Lookup(le.Uint64(r[1:]))
	ep, known := n.endpoints.Lookup(le.Uint32(r[26:]))
	if !ok || !known {
		return
	}
	if n.openSends[e] > 0 {
		n.openSends[e]--
	}
	ended := r[25] != 0
	if ended {
		n.markEnded(e)
	} else if n.ended[e] {
		n.releasable = append(n.releasable, e)
	}
	outcome := outcomes[le.Uint16(r[13:])]
	var retryAfter int64
	if outcome == delivery.Refused {
		retryAfter = int64(le.Uint32(r[9:])) * 1e6
	}
	to.Outcome(e, int(le.Uint16(r[23:])), ep, outcome, retryAfter, msToNs(readFloat64(r[15:])), ended,
		n.reportValue(r[30:], n.freeShareIndex), n.reportValue(r[30:], n.limitIndex))
}

func (n *instance) markEnded(e int32) {
	n.ended[e] = true
	n.releasable = append(n.releasable, e)
}

// reportValue returns one value of a load report, or 0 if the report does not contain it.
func (n *instance) reportValue(r []byte, index int) float64 {
	if index < 0 || index >= int(r[0]) {
		return 0
	}
	f := readFloat32(r[1+4*index:])
	if !withinLimit(f, 1e9) {
		return 0
	}
	return f
}

// replyWriter collects the records of a reply. It implements delivery.Executor for one instance at a time.
type replyWriter struct {
	instance *instance
	records  []byte
	tail     []byte
	start    int // offset of the instance's first record
}

func (w *replyWriter) beginInstance(n *instance) {
	w.instance, w.start = n, len(w.records)
	le.PutUint16(w.record(actionOnBehalf)[1:], n.number)
}

// endInstance removes the OnBehalf record if no action follows it.
func (w *replyWriter) endInstance() {
	if len(w.records) == w.start+actionSize {
		w.records = w.records[:w.start]
	}
}

func (w *replyWriter) record(code byte) []byte {
	at := len(w.records)
	w.records = append(w.records, make([]byte, actionSize)...)
	w.records[at] = code
	return w.records[at:]
}

// tailRecord adds a record whose offset and length fields, starting at field, refer to data in the tail.
func (w *replyWriter) tailRecord(code byte, field int, data []byte) []byte {
	r := w.record(code)
	le.PutUint32(r[field:], uint32(len(w.tail)))
	le.PutUint32(r[field+4:], uint32(len(data)))
	w.tail = append(w.tail, data...)
	return r
}

func (w *replyWriter) textRecord(code byte, text string) { w.tailRecord(code, 1, []byte(text)) }

func (w *replyWriter) eventRecord(code byte, evt int32) []byte {
	r := w.record(code)
	le.PutUint64(r[1:], w.instance.events.ID(evt))
	return r
}

// Send and the methods below implement delivery.Executor.
func (w *replyWriter) Send(evt, endpoint int32, timeout int64, _ delivery.Terms) {
	r := w.eventRecord(actionIssue, evt)
	le.PutUint32(r[9:], w.instance.endpoints.ID(endpoint))
	le.PutUint64(r[13:], math.Float64bits(nsToMs(timeout)))
	w.instance.openSends[evt]++
}

func (w *replyWriter) Decline(evt int32, retryAfter int64) {
	le.PutUint64(w.eventRecord(actionBounce, evt)[9:], math.Float64bits(nsToMs(retryAfter)))
	w.instance.markEnded(evt)
}

func (w *replyWriter) Discard(evt int32) {
	w.eventRecord(actionSurrender, evt)
	w.instance.markEnded(evt)
}

func (w *replyWriter) Cancel(evt int32, send int) {
	le.PutUint16(w.eventRecord(actionRevoke, evt)[9:], uint16(send))
}

// CancelUnsent does nothing: in the simulator a send leaves at once, so none is ever unsent.
func (w *replyWriter) CancelUnsent(evt int32, send int) {}

func (w *replyWriter) Wake(after int64) {
	le.PutUint64(w.record(actionRemind)[1:], math.Float64bits(min(nsToMs(after), maxDelayMS)))
}

func (w *replyWriter) Watch(on bool) {
	if r := w.record(actionKeepInformed); on {
		r[1] = 1
	}
}

func (w *replyWriter) Probe(ep int32) {
	le.PutUint32(w.record(actionSample)[1:], w.instance.endpoints.ID(ep))
}
func (w *replyWriter) Forget(ep int32) { w.instance.endpoints.Release(ep) }
func (w *replyWriter) CloseIdle(ep int32) {
	le.PutUint32(w.record(actionFreeLinks)[1:], w.instance.endpoints.ID(ep))
}

func (w *replyWriter) Log(text string, ep int32) {
	w.textRecord(actionWriteLog, fmt.Sprintf("%s: %d", text, w.instance.endpoints.ID(ep)))
}

func (w *replyWriter) AnnounceHealthy(ep int32, sentAgo int64) {
	report := peermsg.EncodeHealthy(w.instance.endpoints.ID(ep), time.Duration(sentAgo))
	le.PutUint16(w.tailRecord(actionMemoTo, 3, report)[1:], allPeers)
}
