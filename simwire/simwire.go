// Package simwire is the bench's wire: it reads batches, hands each instance
// its part and writes the replies. It decides nothing.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"jaspersill/delivery"
	"jaspersill/idmap"
	"jaspersill/peermsg"
	"jaspersill/settings"
)

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
	maxDelayMS      = 71 * 60 * 1000
	topologyCached  = 0
	topologyChanges = 1
	topologyFailed  = 2
	topologyFull    = 3
)

var le = binary.LittleEndian

func msToNs(ms float64) int64          { return int64(math.Round(ms * 1e6)) }
func nsToMs(ns int64) float64          { return float64(ns) / 1e6 }
func readFloat64(b []byte) float64     { return math.Float64frombits(le.Uint64(b)) }
func readFloat32(b []byte) float64     { return float64(math.Float32frombits(le.Uint32(b))) }
func withinLimit(f, most float64) bool { return f >= -most && f <= most }

// outcomes maps the wire's codes.
var outcomes = map[uint16]delivery.Outcome{200: delivery.Acked, 502: delivery.Errored, 429: delivery.Refused,
	408: delivery.TimedOut, 521: delivery.ConnectFailed, 520: delivery.Reset, 444: delivery.Cancelled, 409: delivery.Unsent}

// Serve answers batches until the input ends.
func Serve(in io.Reader, out io.Writer, launch func(seed uint64, s settings.Settings) delivery.Scheduler) error {
	l := session{newScheduler: launch, in: bufio.NewReaderSize(in, 1<<16), out: bufio.NewWriterSize(out, 1<<16),
		nodes: make(map[uint16]*instance)}
	for {
		more, err := l.handleBatch()
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
	active         []*instance // instances with an event in this batch, as first named
	records        []byte
	tail           []byte
}

// instance is one delivery node: its decisions and its ids at the door.
type instance struct {
	number    uint16
	session   *session
	scheduler delivery.Scheduler
	pending   []inputEvent
	active    bool // has an event in this batch

	events     idmap.Table[uint64]
	openSends  []int32
	ended      []bool
	releasable []int32 // ended events whose sends may all be over

	endpoints, destinations    idmap.Table[uint32]
	hasRates                   bool // the list tells rates
	freeShareIndex, limitIndex int  // where a load report holds the share left and the limit, -1 for nowhere
}

// inputEvent is one event of a batch: where its record is and, for a list, its entries.
type inputEvent struct {
	offset  int
	payload []byte
}

func (l *session) handleBatch() (bool, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(l.in, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return false, nil
		}
		return false, fmt.Errorf("batch header: input ends inside it: %v", err)
	}
	seq, size, count := le.Uint32(head[0:]), le.Uint32(head[4:]), le.Uint32(head[8:])
	clock := readFloat64(head[12:])
	if !withinLimit(clock, 1e12) {
		return false, fmt.Errorf("batch %d: clock %v is not a usable time", seq, clock)
	}
	if uint64(count)*eventSize > uint64(size) {
		return false, fmt.Errorf("batch %d: %d records do not fit in %d bytes", seq, count, size)
	}
	l.body.Reset()
	// CopyN grows the buffer as bytes arrive, so a false length takes no memory.
	if got, err := io.CopyN(&l.body, l.in, int64(size)); err != nil {
		return false, fmt.Errorf("batch %d: input ends after %d of %d bytes", seq, got, size)
	}
	all := l.body.Bytes()
	l.records, l.tail = all[:count*eventSize], all[count*eventSize:]
	if err := l.dispatch(seq, int(count)); err != nil {
		return false, err
	}
	now := msToNs(clock)
	var reply replyWriter
	for _, n := range l.active {
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
	var back [12]byte
	le.PutUint32(back[0:], seq)
	le.PutUint32(back[4:], uint32(len(reply.records)/actionSize))
	le.PutUint32(back[8:], uint32(len(reply.records)+len(reply.tail)))
	for _, part := range [][]byte{back[:], reply.records, reply.tail} {
		if _, err := l.out.Write(part); err != nil {
			return false, fmt.Errorf("reply %d: %w", seq, err)
		}
	}
	if err := l.out.Flush(); err != nil {
		return false, fmt.Errorf("reply %d: %w", seq, err)
	}
	return true, nil
}

// tailSlice returns a record's slice of the tail.
func (l *session) tailSlice(field []byte, unit int) ([]byte, error) {
	at, n := uint64(le.Uint32(field)), uint64(le.Uint32(field[4:]))*uint64(unit)
	if at+n > uint64(len(l.tail)) {
		return nil, fmt.Errorf("offset %d and length %d pass the tail's %d bytes", at, n, len(l.tail))
	}
	return l.tail[at : at+n], nil
}

// dispatch checks a batch and gives each instance its events, in order.
func (l *session) dispatch(seq uint32, count int) error {
	for _, n := range l.active {
		n.pending, n.active = n.pending[:0], false
	}
	l.active = l.active[:0]
	var cur *instance
	for i := range count {
		at := i * eventSize
		r := l.records[at : at+eventSize]
		bad := func(format string, a ...any) error {
			return fmt.Errorf("batch %d, record %d: %s", seq, i, fmt.Sprintf(format, a...))
		}
		code := r[0]
		switch {
		case code == eventTo:
			num := le.Uint16(r[1:])
			cur = l.nodes[num]
			if cur == nil {
				cur = &instance{number: num, session: l}
				l.nodes[num] = cur
			}
			continue
		case code == eventCatalog:
			table := le.Uint16(r[1:])
			if table >= maxCatalogs {
				return bad("Catalog number %d is above 15", table)
			}
			entries, err := l.tailSlice(r[3:], entrySize)
			if err != nil {
				return bad("Catalog: %v", err)
			}
			for e := entries; len(e) > 0; e = e[entrySize:] {
				if e[9] < 1 || e[9] > 3 {
					return bad("Catalog: endpoint %d has unknown state %d", le.Uint32(e), e[9])
				}
			}
			l.catalogs[table], l.catalogDefined[table] = bytes.Clone(entries), true
			continue
		case code < eventLaunch || code > eventTo:
			return bad("unknown event code %d", code)
		}
		if cur == nil {
			return bad("event code %d before any To", code)
		}
		if !cur.active {
			cur.active = true
			l.active = append(l.active, cur)
		}
		it := inputEvent{offset: at}
		switch code {
		case eventDown:
			cur.scheduler, cur.pending = nil, cur.pending[:0]
			continue
		case eventLaunch:
			text, err := l.tailSlice(r[9:], 1)
			if err != nil {
				return bad("Launch: %v", err)
			}
			s, err := settings.ParseLines(string(text))
			if err != nil {
				return bad("Launch: %v", err)
			}
			*cur = instance{number: cur.number, session: l, active: true, pending: cur.pending[:0],
				hasRates: s.HasRates, freeShareIndex: s.FreeShareIndex, limitIndex: s.LimitIndex, scheduler: l.newScheduler(le.Uint64(r[1:]), s)}
			continue
		case eventTopology:
			how, table := r[1], le.Uint16(r[10:])
			if how > topologyFull {
				return bad("Topology: unknown kind %d", how)
			}
			if how != topologyFailed {
				if table >= maxCatalogs || !l.catalogDefined[table] {
					return bad("Topology: Catalog %d was never defined", table)
				}
				it.payload = l.catalogs[table]
			}
		case eventKnock:
			if id := le.Uint64(r[1:]); id >= 1<<maxIDBits {
				return bad("Knock: id %d is not below 2^52", id)
			}
			if left, dest := readFloat64(r[21:]), readFloat32(r[37:]); !withinLimit(left, 1e12) || !(dest >= 0 && dest < 1<<24) {
				return bad("Knock: left_ms %v or to_dest %v is not usable", left, dest)
			}
		case eventFinished:
			if _, ok := outcomes[le.Uint16(r[13:])]; !ok || !withinLimit(readFloat64(r[15:]), 1e12) || r[30] > 4 {
				return bad("Finished: code %d, lag_ms %v or report size %d is unknown",
					le.Uint16(r[13:]), readFloat64(r[15:]), r[30])
			}
		case eventProbed:
			if _, ok := outcomes[le.Uint16(r[5:])]; !ok || !withinLimit(readFloat64(r[7:]), 1e12) || r[15] > 4 {
				return bad("Probed: code %d, lag_ms %v or report size %d is unknown",
					le.Uint16(r[5:]), readFloat64(r[7:]), r[15])
			}
		case eventMemo:
			data, err := l.tailSlice(r[3:], 1)
			if err != nil {
				return bad("Memo: %v", err)
			}
			it.payload = data
		}
		if cur.scheduler != nil {
			cur.pending = append(cur.pending, it)
		}
	}
	return nil
}

// runRound runs the decisions of one instance; a panic there is returned as text.
func (n *instance) runRound(now int64, reply *replyWriter) (broken string) {
	defer func() {
		if p := recover(); p != nil {
			broken = fmt.Sprint("panic in the decisions: ", p)
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

// Deliver implements port.Feed.
func (n *instance) Deliver(to delivery.Handler) {
	for _, it := range n.pending {
		r := n.session.records[it.offset : it.offset+eventSize]
		switch r[0] {
		case eventTopology:
			n.deliverList(r[1], it.payload, to)
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
			if id, ok := peermsg.DecodeHealthy(it.payload); ok {
				if ep, known := n.endpoints.Lookup(id); known {
					to.PeerReportedHealthy(int(le.Uint16(r[1:])), ep)
				}
			}
		}
	}
}

func (n *instance) deliverList(how byte, entries []byte, to delivery.Handler) {
	if how == topologyFailed {
		to.ListFailed()
		return
	}
	to.ListStarted(how != topologyChanges)
	for e := entries; len(e) > 0; e = e[entrySize:] {
		ep, _ := n.endpoints.Acquire(le.Uint32(e))
		rate := readFloat32(e[10:])
		if !n.hasRates || !withinLimit(rate, 1e9) {
			rate = 0
		}
		to.EndpointListed(ep, n.destIndex(uint32(le.Uint16(e[7:]))), int(e[6]), int(le.Uint16(e[4:])), delivery.EndpointState(e[9]), rate)
	}
	to.ListEnded()
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
	how := outcomes[le.Uint16(r[13:])]
	var wait int64
	if how == delivery.Refused {
		wait = int64(le.Uint32(r[9:])) * 1e6
	}
	to.Outcome(e, int(le.Uint16(r[23:])), ep, how, wait, msToNs(readFloat64(r[15:])), ended,
		n.reportValue(r[30:], n.freeShareIndex), n.reportValue(r[30:], n.limitIndex))
}

func (n *instance) markEnded(e int32) {
	n.ended[e] = true
	n.releasable = append(n.releasable, e)
}

// reportValue reads one value of a load report, 0 where the report lacks it.
func (n *instance) reportValue(r []byte, at int) float64 {
	if at < 0 || at >= int(r[0]) {
		return 0
	}
	f := readFloat32(r[1+4*at:])
	if !withinLimit(f, 1e9) {
		return 0
	}
	return f
}

// replyWriter gathers the records of a reply.
type replyWriter struct {
	instance *instance
	records  []byte
	tail     []byte
	start    int
}

func (w *replyWriter) beginInstance(n *instance) {
	w.instance, w.start = n, len(w.records)
	le.PutUint16(w.record(actionOnBehalf)[1:], n.number)
}

// endInstance takes the OnBehalf back where the instance did nothing.
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

// Send implements port.Writer, as do the methods below.
func (w *replyWriter) Send(evt, endpoint int32, timeout int64) {
	r := w.eventRecord(actionIssue, evt)
	le.PutUint32(r[9:], w.instance.endpoints.ID(endpoint))
	le.PutUint64(r[13:], math.Float64bits(nsToMs(timeout)))
	w.instance.openSends[evt]++
}

func (w *replyWriter) Decline(evt int32, comeBack int64) {
	le.PutUint64(w.eventRecord(actionBounce, evt)[9:], math.Float64bits(nsToMs(comeBack)))
	w.instance.markEnded(evt)
}

func (w *replyWriter) Discard(evt int32) {
	w.eventRecord(actionSurrender, evt)
	w.instance.markEnded(evt)
}

func (w *replyWriter) Cancel(evt int32, send int) {
	le.PutUint16(w.eventRecord(actionRevoke, evt)[9:], uint16(send))
}

// CancelUnsent has no action of its own: the simulator's sends leave at once.
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

func (w *replyWriter) AnnounceHealthy(ep int32) {
	le.PutUint16(w.tailRecord(actionMemoTo, 3, peermsg.EncodeHealthy(w.instance.endpoints.ID(ep)))[1:], allPeers)
}
