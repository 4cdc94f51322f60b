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
	"jaspersill/door"
	"jaspersill/note"
	"jaspersill/start"
)

const (
	evLaunch = 1 + iota
	evTopology
	evKnock
	evBegun
	evFinished
	evAbandoned
	evReminder
	evProbed
	evMemo
	evDown
	evCatalog
	evTo
)

const (
	acIssue = 65 + iota
	acBounce
	acSurrender
	acRevoke
	acRemind
	acSample
	acFreeLinks
	acMemoTo
	acWriteLog
	acBailOut
	acKeepInformed
	acGetList
	acOnBehalf
)

const (
	headerSize  = 20
	eventSize   = 48
	actionSize  = 24
	entrySize   = 22
	tables      = 16
	allPeers    = 0xffff
	maxIDBits   = 52
	maxDelayMS  = 71 * 60 * 1000
	topoCached  = 0
	topoChanges = 1
	topoFailed  = 2
	topoFull    = 3
)

var le = binary.LittleEndian

func nanos(ms float64) int64      { return int64(math.Round(ms * 1e6)) }
func millis(ns int64) float64     { return float64(ns) / 1e6 }
func float(b []byte) float64      { return math.Float64frombits(le.Uint64(b)) }
func single(b []byte) float64     { return float64(math.Float32frombits(le.Uint32(b))) }
func usable(f, most float64) bool { return f >= -most && f <= most }

// outcomes maps the wire's codes.
var outcomes = map[uint16]delivery.Outcome{200: delivery.Acked, 502: delivery.Errored, 429: delivery.Refused,
	408: delivery.TimedOut, 521: delivery.ConnectFailed, 520: delivery.Reset, 444: delivery.Cancelled, 409: delivery.Unsent}

// Serve answers batches until the input ends.
func Serve(in io.Reader, out io.Writer, launch func(seed uint64, s start.Start) delivery.Scheduler) error {
	l := link{launch: launch, in: bufio.NewReaderSize(in, 1<<16), out: bufio.NewWriterSize(out, 1<<16),
		nodes: make(map[uint16]*instance)}
	for {
		more, err := l.batch()
		if err != nil {
			return err
		}
		if !more {
			return nil
		}
	}
}

type link struct {
	launch  func(uint64, start.Start) delivery.Scheduler
	in      *bufio.Reader
	out     *bufio.Writer
	body    bytes.Buffer
	catalog [tables][]byte
	defined [tables]bool
	nodes   map[uint16]*instance
	order   []*instance // instances with an event in this batch, as first named
	records []byte
	tail    []byte
}

// instance is one delivery node: its decisions and its ids at the door.
type instance struct {
	number  uint16
	link    *link
	decider delivery.Scheduler
	news    []item
	listed  bool // has an event in this batch

	evts  door.Table[uint64]
	sends []int32
	ended []bool
	done  []int32 // ended events whose sends may all be over

	eps, dests      door.Table[uint32]
	rated           bool // the list tells rates
	leftAt, limitAt int  // where a load report holds the share left and the limit, -1 for nowhere
}

// item is one event of a batch: where its record is and, for a list, its entries.
type item struct {
	at      int
	entries []byte
}

func (l *link) batch() (bool, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(l.in, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return false, nil
		}
		return false, fmt.Errorf("batch header: input ends inside it: %v", err)
	}
	seq, size, count := le.Uint32(head[0:]), le.Uint32(head[4:]), le.Uint32(head[8:])
	clock := float(head[12:])
	if !usable(clock, 1e12) {
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
	if err := l.sort(seq, int(count)); err != nil {
		return false, err
	}
	now := nanos(clock)
	var reply writer
	for _, n := range l.order {
		if n.decider == nil {
			continue
		}
		if text := n.round(now, &reply); text != "" {
			reply = writer{}
			reply.begin(n)
			reply.text(acBailOut, text)
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

// span returns a record's slice of the tail.
func (l *link) span(field []byte, unit int) ([]byte, error) {
	at, n := uint64(le.Uint32(field)), uint64(le.Uint32(field[4:]))*uint64(unit)
	if at+n > uint64(len(l.tail)) {
		return nil, fmt.Errorf("offset %d and length %d pass the tail's %d bytes", at, n, len(l.tail))
	}
	return l.tail[at : at+n], nil
}

// sort checks a batch and gives each instance its events, in order.
func (l *link) sort(seq uint32, count int) error {
	for _, n := range l.order {
		n.news, n.listed = n.news[:0], false
	}
	l.order = l.order[:0]
	var cur *instance
	for i := range count {
		at := i * eventSize
		r := l.records[at : at+eventSize]
		bad := func(format string, a ...any) error {
			return fmt.Errorf("batch %d, record %d: %s", seq, i, fmt.Sprintf(format, a...))
		}
		code := r[0]
		switch {
		case code == evTo:
			num := le.Uint16(r[1:])
			cur = l.nodes[num]
			if cur == nil {
				cur = &instance{number: num, link: l}
				l.nodes[num] = cur
			}
			continue
		case code == evCatalog:
			table := le.Uint16(r[1:])
			if table >= tables {
				return bad("Catalog number %d is above 15", table)
			}
			entries, err := l.span(r[3:], entrySize)
			if err != nil {
				return bad("Catalog: %v", err)
			}
			for e := entries; len(e) > 0; e = e[entrySize:] {
				if e[9] < 1 || e[9] > 3 {
					return bad("Catalog: endpoint %d has unknown state %d", le.Uint32(e), e[9])
				}
			}
			l.catalog[table], l.defined[table] = bytes.Clone(entries), true
			continue
		case code < evLaunch || code > evTo:
			return bad("unknown event code %d", code)
		}
		if cur == nil {
			return bad("event code %d before any To", code)
		}
		if !cur.listed {
			cur.listed = true
			l.order = append(l.order, cur)
		}
		it := item{at: at}
		switch code {
		case evDown:
			cur.decider, cur.news = nil, cur.news[:0]
			continue
		case evLaunch:
			text, err := l.span(r[9:], 1)
			if err != nil {
				return bad("Launch: %v", err)
			}
			s, err := start.Lines(string(text))
			if err != nil {
				return bad("Launch: %v", err)
			}
			*cur = instance{number: cur.number, link: l, listed: true, news: cur.news[:0],
				rated: s.Rated, leftAt: s.LeftAt, limitAt: s.LimitAt, decider: l.launch(le.Uint64(r[1:]), s)}
			continue
		case evTopology:
			how, table := r[1], le.Uint16(r[10:])
			if how > topoFull {
				return bad("Topology: unknown kind %d", how)
			}
			if how != topoFailed {
				if table >= tables || !l.defined[table] {
					return bad("Topology: Catalog %d was never defined", table)
				}
				it.entries = l.catalog[table]
			}
		case evKnock:
			if id := le.Uint64(r[1:]); id >= 1<<maxIDBits {
				return bad("Knock: id %d is not below 2^52", id)
			}
			if left, dest := float(r[21:]), single(r[37:]); !usable(left, 1e12) || !(dest >= 0 && dest < 1<<24) {
				return bad("Knock: left_ms %v or to_dest %v is not usable", left, dest)
			}
		case evFinished:
			if _, ok := outcomes[le.Uint16(r[13:])]; !ok || !usable(float(r[15:]), 1e12) || r[30] > 4 {
				return bad("Finished: code %d, lag_ms %v or report size %d is unknown",
					le.Uint16(r[13:]), float(r[15:]), r[30])
			}
		case evProbed:
			if _, ok := outcomes[le.Uint16(r[5:])]; !ok || !usable(float(r[7:]), 1e12) || r[15] > 4 {
				return bad("Probed: code %d, lag_ms %v or report size %d is unknown",
					le.Uint16(r[5:]), float(r[7:]), r[15])
			}
		case evMemo:
			data, err := l.span(r[3:], 1)
			if err != nil {
				return bad("Memo: %v", err)
			}
			it.entries = data
		}
		if cur.decider != nil {
			cur.news = append(cur.news, it)
		}
	}
	return nil
}

// round runs the decisions of one instance; a panic there is returned as text.
func (n *instance) round(now int64, reply *writer) (broken string) {
	defer func() {
		if p := recover(); p != nil {
			broken = fmt.Sprint("panic in the decisions: ", p)
		}
	}()
	reply.begin(n)
	n.decider.Round(now, n, reply)
	reply.finish()
	for _, e := range n.done {
		if n.ended[e] && n.sends[e] == 0 {
			n.evts.Release(e)
		}
	}
	n.done = n.done[:0]
	return ""
}

// Deliver implements port.Feed.
func (n *instance) Deliver(to delivery.Handler) {
	for _, it := range n.news {
		r := n.link.records[it.at : it.at+eventSize]
		switch r[0] {
		case evTopology:
			n.list(r[1], it.entries, to)
		case evKnock:
			n.knock(r, to)
		case evBegun:
			if e, ok := n.evts.Find(le.Uint64(r[1:])); ok {
				to.ProcessingStarted(e, int(le.Uint16(r[9:])))
			}
		case evFinished:
			n.finished(r, to)
		case evAbandoned:
			if e, ok := n.evts.Find(le.Uint64(r[1:])); ok {
				n.end(e)
				to.Withdrawn(e)
			}
		case evReminder:
			to.Woken()
		case evProbed:
			if ep, ok := n.eps.Find(le.Uint32(r[1:])); ok {
				to.Probed(ep, outcomes[le.Uint16(r[5:])], nanos(float(r[7:])),
					n.figure(r[15:], n.leftAt), n.figure(r[15:], n.limitAt))
			}
		case evMemo:
			if id, ok := note.ReadGood(it.entries); ok {
				if ep, known := n.eps.Find(id); known {
					to.PeerReportedHealthy(int(le.Uint16(r[1:])), ep)
				}
			}
		}
	}
}

func (n *instance) list(how byte, entries []byte, to delivery.Handler) {
	if how == topoFailed {
		to.ListFailed()
		return
	}
	to.ListStarted(how != topoChanges)
	for e := entries; len(e) > 0; e = e[entrySize:] {
		ep, _ := n.eps.Take(le.Uint32(e))
		rate := single(e[10:])
		if !n.rated || !usable(rate, 1e9) {
			rate = 0
		}
		to.EndpointListed(ep, n.dest(uint32(le.Uint16(e[7:]))), int(e[6]), int(le.Uint16(e[4:])), delivery.EndpointState(e[9]), rate)
	}
	to.ListEnded()
}

func (n *instance) dest(number uint32) int32 {
	d, _ := n.dests.Take(number)
	return d
}

func (n *instance) knock(r []byte, to delivery.Handler) {
	e, fresh := n.evts.Take(le.Uint64(r[1:]))
	if !fresh {
		return
	}
	if int(e) == len(n.sends) {
		n.sends, n.ended = append(n.sends, 0), append(n.ended, false)
	}
	n.sends[e], n.ended[e] = 0, false
	var work int64
	if hint := float(r[29:]); r[41]&1 != 0 && usable(hint, 1e9) {
		work = nanos(hint)
	}
	to.Event(e, int(le.Uint16(r[9:])), int(le.Uint16(r[11:])), le.Uint64(r[13:]), nanos(float(r[21:])),
		work, n.dest(uint32(single(r[37:]))))
}

func (n *instance) finished(r []byte, to delivery.Handler) {
	e, ok := n.evts.Find(le.Uint64(r[1:]))
	ep, known := n.eps.Find(le.Uint32(r[26:]))
	if !ok || !known {
		return
	}
	if n.sends[e] > 0 {
		n.sends[e]--
	}
	ended := r[25] != 0
	if ended {
		n.end(e)
	} else if n.ended[e] {
		n.done = append(n.done, e)
	}
	how := outcomes[le.Uint16(r[13:])]
	var wait int64
	if how == delivery.Refused {
		wait = int64(le.Uint32(r[9:])) * 1e6
	}
	to.Outcome(e, int(le.Uint16(r[23:])), ep, how, wait, nanos(float(r[15:])), ended,
		n.figure(r[30:], n.leftAt), n.figure(r[30:], n.limitAt))
}

func (n *instance) end(e int32) {
	n.ended[e] = true
	n.done = append(n.done, e)
}

// figure reads one value of a load report, 0 where the report lacks it.
func (n *instance) figure(r []byte, at int) float64 {
	if at < 0 || at >= int(r[0]) {
		return 0
	}
	f := single(r[1+4*at:])
	if !usable(f, 1e9) {
		return 0
	}
	return f
}

// writer gathers the records of a reply.
type writer struct {
	node    *instance
	records []byte
	tail    []byte
	started int
}

func (w *writer) begin(n *instance) {
	w.node, w.started = n, len(w.records)
	le.PutUint16(w.record(acOnBehalf)[1:], n.number)
}

// finish takes the OnBehalf back where the instance did nothing.
func (w *writer) finish() {
	if len(w.records) == w.started+actionSize {
		w.records = w.records[:w.started]
	}
}

func (w *writer) record(code byte) []byte {
	at := len(w.records)
	w.records = append(w.records, make([]byte, actionSize)...)
	w.records[at] = code
	return w.records[at:]
}

func (w *writer) bytes(code byte, field int, data []byte) []byte {
	r := w.record(code)
	le.PutUint32(r[field:], uint32(len(w.tail)))
	le.PutUint32(r[field+4:], uint32(len(data)))
	w.tail = append(w.tail, data...)
	return r
}

func (w *writer) text(code byte, text string) { w.bytes(code, 1, []byte(text)) }

func (w *writer) about(code byte, evt int32) []byte {
	r := w.record(code)
	le.PutUint64(r[1:], w.node.evts.ID(evt))
	return r
}

// Send implements port.Writer, as do the methods below.
func (w *writer) Send(evt, endpoint int32, timeout int64) {
	r := w.about(acIssue, evt)
	le.PutUint32(r[9:], w.node.eps.ID(endpoint))
	le.PutUint64(r[13:], math.Float64bits(millis(timeout)))
	w.node.sends[evt]++
}

func (w *writer) Decline(evt int32, comeBack int64) {
	le.PutUint64(w.about(acBounce, evt)[9:], math.Float64bits(millis(comeBack)))
	w.node.end(evt)
}

func (w *writer) Discard(evt int32) {
	w.about(acSurrender, evt)
	w.node.end(evt)
}

func (w *writer) Cancel(evt int32, send int) { le.PutUint16(w.about(acRevoke, evt)[9:], uint16(send)) }

// CancelUnsent has no action of its own: the simulator's sends leave at once.
func (w *writer) CancelUnsent(evt int32, send int) {}

func (w *writer) Wake(after int64) {
	le.PutUint64(w.record(acRemind)[1:], math.Float64bits(min(millis(after), maxDelayMS)))
}

func (w *writer) Watch(on bool) {
	if r := w.record(acKeepInformed); on {
		r[1] = 1
	}
}

func (w *writer) Probe(ep int32)     { le.PutUint32(w.record(acSample)[1:], w.node.eps.ID(ep)) }
func (w *writer) Forget(ep int32)    { w.node.eps.Release(ep) }
func (w *writer) CloseIdle(ep int32) { le.PutUint32(w.record(acFreeLinks)[1:], w.node.eps.ID(ep)) }

func (w *writer) Log(text string, ep int32) {
	w.text(acWriteLog, fmt.Sprintf("%s: %d", text, w.node.eps.ID(ep)))
}

func (w *writer) AnnounceHealthy(ep int32) {
	le.PutUint16(w.bytes(acMemoTo, 3, note.Good(w.node.eps.ID(ep)))[1:], allPeers)
}
