package node

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"jaspersill/delivery"
	"jaspersill/logs"
	"jaspersill/metrics"
	"jaspersill/settings"
)

const (
	watchHeartbeatInterval = 2 * time.Second                               // the protocol sends data or an empty line at least this often
	defaultWatchSilence    = watchHeartbeatInterval + 500*time.Millisecond // a watch that is silent for longer has failed
	hostsPath              = "/discovery/hosts"

	// directoryConnectTimeout limits connecting to the directory. The node is expected to know any change 6 s after a watch
	// fell silent: that leaves time for the silence timeout, two retry delays, two connects that time out, and a response.
	directoryConnectTimeout = time.Second
)

// directory keeps the list of endpoints up to date from the discovery service. It holds a watch open while the scheduler
// wants one.
type directory struct {
	address              string
	silenceTimeout       atomic.Int64 // ns; a call that receives nothing for this long has failed
	decisions            *decisionLoop
	endpoints            *endpointPool
	destinationKindNames []string // names of the destination kinds, by index; a list gives them as "class"
	zoneNames            []string
	useRates             bool // lists contain the rate limits of endpoints
	maxListBytes         int  // a longer list is not read

	watchErrors failureLog

	mu          sync.Mutex
	seq         uint64
	olderStarts int                 // consecutive watches that started with an older version than the known one
	newest      *watch              // nil if no watch is wanted
	openWatches map[*watch]struct{} // the newest, and earlier ones until the newest has received something
	knownDests  map[uint32]struct{} // all destinations that have ever been listed
}

// watch is one long-lived call to the discovery service.
type watch struct {
	cancel       context.CancelFunc
	connectionID uint64 // identifies its connection in logs
	receivedList bool   // it has received at least one list
}

// zoneIndex maps the name of a zone to its index. Unknown zones share the index after the last.
func (d *directory) zoneIndex(name string) int {
	if i := slices.Index(d.zoneNames, settings.NormalizeName(name)); i >= 0 {
		return i
	}
	return len(d.zoneNames)
}

// setWatching opens a watch, which replaces any earlier one, or ends all watches.
func (d *directory) setWatching(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if on {
		d.openWatch()
		return
	}
	d.newest = nil
	d.cancelOlderWatches()
}

// setAddress changes the address of the discovery service, and opens a watch there if it is a new one.
func (d *directory) setAddress(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if address != d.address {
		d.address = address
		d.openWatch()
	}
}

// openWatch opens a watch that starts from the known version. Each watch runs in its own goroutine, because an earlier
// one may hang, and earlier watches end only once the newest has received something, so that no change is missed in
// between. The lock is held.
func (d *directory) openWatch() {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watch{cancel: cancel, connectionID: newConnectionID()}
	d.newest = w
	d.openWatches[w] = struct{}{}
	address, path := d.address, hostsPath+"?watch=1&from="+strconv.FormatUint(d.seq, 10)
	silence := time.Duration(d.silenceTimeout.Load())
	go func() {
		defer cancel()
		err := d.follow(ctx, w, address, path, silence)
		d.mu.Lock()
		delete(d.openWatches, w)
		failed := d.isNewest(w)
		d.mu.Unlock()
		logs.Part("directory").WithError(err).WithFields(logrus.Fields{"connection": w.connectionID, "replaced": !failed}).
			Debug("discovery call ended")
		if failed { // the end of a watch that was replaced or cancelled is no failure
			d.reportFailure(err)
		}
	}()
}

// cancelOlderWatches ends all watches except the newest. The lock is held.
func (d *directory) cancelOlderWatches() {
	for w := range d.openWatches {
		if w != d.newest {
			w.cancel()
			delete(d.openWatches, w)
		}
	}
}

// isKnownDest reports whether a destination was ever listed, or no list was received yet. An event for a destination
// that does not exist would be held until its deadline.
func (d *directory) isKnownDest(dest uint32) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known := d.knownDests[dest]
	return known || len(d.knownDests) == 0
}

// reportFailure tells the scheduler that a discovery call failed.
func (d *directory) reportFailure(err error) {
	d.watchErrors.record(err)
	d.decisions.enqueue(func(to delivery.Handler) { to.ListFailed() })
}

// reportSuccess ends the logged failure of the watch, if it is the newest that has received a list. The scheduler learns of it
// from the list.
func (d *directory) reportSuccess(w *watch) {
	d.mu.Lock()
	newest := d.isNewest(w)
	d.mu.Unlock()
	if newest {
		d.watchErrors.record(nil)
	}
}

// follow makes one discovery call and applies each list that it receives, until the call ends.
func (d *directory) follow(ctx context.Context, w *watch, address, path string, silence time.Duration) error {
	connectCtx, cancelConnect := context.WithTimeout(ctx, min(directoryConnectTimeout, silence))
	defer cancelConnect()
	dialer := net.Dialer{KeepAlive: -1}
	connect := func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
	conn, err := dialWithRetry(connectCtx, connect, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()

	// A directory whose machine vanished closes no connection, so the deadline is extended only by what is received.
	conn.SetDeadline(time.Now().Add(silence))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: directory\r\n\r\n", path); err != nil {
		return err
	}
	reader := bufio.NewReaderSize(conn, 4096)
	var header fasthttp.ResponseHeader
	if err := header.Read(reader); err != nil {
		return err
	}
	if header.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("discovery service answered with status %d", header.StatusCode())
	}
	var body io.Reader = reader
	switch size := header.ContentLength(); {
	case size == -1:
		body = httputil.NewChunkedReader(reader)
	case size >= 0:
		body = io.LimitReader(reader, int64(size))
	}
	heartbeats := &heartbeatReader{body: body, remaining: d.maxListBytes, onRead: func(blank bool) {
		conn.SetDeadline(time.Now().Add(silence))
		if blank {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.markAlive(w)
		}
	}}
	// A list may span several lines and may be split at any byte, so each is applied once it is complete.
	decoder := json.NewDecoder(heartbeats)
	for ctx.Err() == nil {
		var list json.RawMessage
		if err := decoder.Decode(&list); err == io.EOF {
			return errors.New("watch ended by the discovery service")
		} else if err != nil {
			return fmt.Errorf("cannot parse the list of endpoints: %w", err)
		}
		if err := d.applyList(w, list); err != nil {
			return fmt.Errorf("cannot parse the list of endpoints: %w", err)
		}
		heartbeats.remaining = d.maxListBytes
		d.reportSuccess(w)
	}
	return ctx.Err()
}

// heartbeatReader calls onRead after each read, and tells it whether the data were only white space, as a heartbeat is. It
// fails once remaining bytes are read, so that a list that never ends cannot exhaust the memory.
type heartbeatReader struct {
	body      io.Reader
	remaining int
	onRead    func(blank bool)
}

func (r *heartbeatReader) Read(b []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errors.New("list exceeds the size limit")
	}
	n, err := r.body.Read(b[:min(len(b), r.remaining)])
	r.remaining -= n
	if n > 0 {
		r.onRead(len(bytes.TrimSpace(b[:n])) == 0)
	}
	return n, err
}

// applyList parses a full list or a list of changes and passes it to the scheduler. The watch is nil for the list that is
// known at startup.
func (d *directory) applyList(w *watch, text []byte) error {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return err
	}
	hosts := v.Get("hosts")
	if hosts == nil || hosts.Type() != fastjson.TypeArray {
		return errors.New("no array \"hosts\"")
	}
	whole := v.GetBool("whole")
	var list []listEntry
	for _, h := range hosts.GetArray() {
		e := listEntry{address: string(h.GetStringBytes("dial")), zone: string(h.GetStringBytes("site")),
			endpointIdentity: endpointIdentity{host: string(h.GetStringBytes("host")), dest: uint32(h.GetUint64("block")),
				startedAt: max(0, h.GetInt64("born_ms"))},
			kind: slices.Index(d.destinationKindNames, settings.NormalizeName(string(h.GetStringBytes("class"))))}
		if e.host == "" || !h.Exists("block") { // skipping one bad entry keeps the others usable
			logs.Part("directory").WithField("entry", fmt.Sprintf("%.200s", h)).
				Warn("skipped a list entry without a host or a block")
			continue
		}
		if e.kind < 0 {
			e.kind = len(d.destinationKindNames)
		}
		if d.useRates {
			e.rate = h.GetFloat64("share")
		}
		switch state := string(h.GetStringBytes("health")); state {
		case "Ready":
			e.state = delivery.Ready
		case "Gone":
			e.state = delivery.Gone
		default: // an endpoint not known to be ready may not accept new events
			e.state = delivery.Draining
		}
		list = append(list, e)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isOpen(w) { // a watch that was replaced may deliver older data than the new one has
		return nil
	}
	switch seq := v.GetUint64("seq"); d.checkVersion(w, seq, whole) {
	case applyListed:
		d.seq = seq
		if d.isNewest(w) { // an older watch may be at another address
			d.olderStarts = 0
		}
	case ignoreOlder: // a copy that arrived after a later version
		list, whole = nil, false
	case rejectUnconfirmed:
		return errOlderList
	}
	d.markAlive(w)
	fromNewestWatch := d.isNewest(w)
	for _, e := range list {
		d.knownDests[e.dest] = struct{}{}
	}
	d.decisions.enqueue(func(to delivery.Handler) {
		to.ListStarted(whole)
		d.decisions.registry.beginList(whole)
		for i := range list {
			d.decisions.applyEntry(&list[i], to)
		}
		if whole {
			d.decisions.removeUnlisted(to)
		}
		to.ListEnded(fromNewestWatch)
	})
	return nil
}

// listDecision says what to do with a received list, according to its version.
type listDecision uint8

const (
	applyListed       listDecision = iota
	ignoreOlder                    // a copy: the same watch has delivered a later version before
	rejectUnconfirmed              // a new watch starts with an older version: either a copy, or the discovery service was set back
)

// olderStartsToAccept is the number of consecutive watches that must start with an older version before the discovery
// service is taken to have gone back to it.
const olderStartsToAccept = 2

var (
	errOlderList = errors.New("new watch starts with an older version of the list")
	olderLists   = metrics.NewCounter("jaspersill_older_lists_total",
		"Lists from discovery that were passed over, as a later one had come.")
)

// checkVersion decides what to do with a list by its version. Versions never decrease within a watch, so a list with an
// older version is a copy. Where a new watch starts with an older full list, that is applied only once the next watch starts
// with an older one too. The lock is held.
func (d *directory) checkVersion(w *watch, seq uint64, whole bool) listDecision {
	isFirst := w == nil || !w.receivedList
	if w != nil {
		w.receivedList = true
	}
	if seq >= d.seq || w == nil {
		return applyListed
	}
	if isFirst && whole {
		if d.olderStarts++; d.olderStarts >= olderStartsToAccept {
			return applyListed
		}
		olderLists.Inc()
		return rejectUnconfirmed
	}
	olderLists.Inc()
	return ignoreOlder
}

// isOpen reports whether a watch has not been ended. It is true for nil, the list known at startup.
func (d *directory) isOpen(w *watch) bool {
	_, open := d.openWatches[w]
	return w == nil || open
}

// isNewest reports whether a watch is the one that was opened last. The lock is held.
func (d *directory) isNewest(w *watch) bool { return w != nil && w == d.newest }

// markAlive records that a watch received something. If it is the newest, it replaces the earlier ones. The lock is held.
func (d *directory) markAlive(w *watch) {
	if d.isNewest(w) && d.isOpen(w) {
		d.cancelOlderWatches()
	}
}

func (d *directory) close() { d.setWatching(false) }
