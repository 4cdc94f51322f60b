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
	"jaspersill/start"
)

const (
	watchHeartbeatInterval = 2 * time.Second                               // a watch shows a sign of life so often: the protocol's
	defaultWatchSilence    = watchHeartbeatInterval + 500*time.Millisecond // without one for longer it is broken
	hostsPath              = "/discovery/hosts"
	maxListBytes           = 16 << 20 // bytes of one list: far above the largest fleet

	// directoryConnectTimeout is how long a connection to the directory may take to come up. What is missed counts as told 6 s
	// after a watch fell silent: silence, two delays and two connects that never come up fit in, and an answer.
	directoryConnectTimeout = time.Second
)

// directory follows the list of endpoints: a watch while the module wants one, and the whole list when asked.
type directory struct {
	address        string
	silenceTimeout atomic.Int64 // ns; without a sign for so long, a call is broken
	desk           *decisionLoop
	endpoints      *endpointPool
	partnerNames   []string
	zoneNames      []string
	useRates       bool

	watchErrors failureLog

	mu          sync.Mutex
	seq         uint64
	olderStarts int                 // watches in a row that began with an older version than is known
	newest      *watch              // nil for none wanted
	openWatches map[*watch]struct{} // the newest, and those before it until it stands
	knownDests  map[uint32]struct{} // destinations that were ever listed
}

// watch is one call for changes, with what ends it.
type watch struct {
	cancel       context.CancelFunc
	connectionID uint64 // its connection's id in the log
	receivedList bool   // it brought a list
}

// zoneIndex maps a zoneIndex's name to its index; an unknown one is one more.
func (d *directory) zoneIndex(name string) int {
	if i := slices.Index(d.zoneNames, start.Name(name)); i >= 0 {
		return i
	}
	return len(d.zoneNames)
}

// setWatching opens a setWatching or ends all. One that is asked for again replaces the one before.
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

// setAddress asks at another address from now on.
func (d *directory) setAddress(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if address != d.address {
		d.address = address
		d.openWatch()
	}
}

// openWatch opens a watch from the version that is known. Danger: nothing is told while none stands, and the one
// before, or the call for it, may hang. Each goes by itself, and the others end only once the newest stands.
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
		failed := d.newest == w
		d.mu.Unlock()
		logs.Part("directory").WithError(err).WithFields(logrus.Fields{"connection": w.connectionID, "replaced": !failed}).
			Debug("a call ended")
		if failed { // one that was replaced, or ended on purpose, tells nothing
			d.reportFailure(err)
		}
	}()
}

// cancelOlderWatches ends all watches but the newest.
func (d *directory) cancelOlderWatches() {
	for w := range d.openWatches {
		if w != d.newest {
			w.cancel()
			delete(d.openWatches, w)
		}
	}
}

// isKnownDest tells whether a destination was ever listed; before there is a list, all may be. Danger: an event for
// one that does not exist would be held for all its time.
func (d *directory) isKnownDest(dest uint32) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known := d.knownDests[dest]
	return known || len(d.knownDests) == 0
}

// reportFailure tells the module that a call reportFailure or the watch broke.
func (d *directory) reportFailure(err error) {
	d.watchErrors.record(err)
	d.desk.enqueue(func(to delivery.Handler) { to.ListFailed() })
}

// follow makes one call and hands in each list that it brings, until it ends.
func (d *directory) follow(ctx context.Context, w *watch, address, path string, silence time.Duration) error {
	connecting, connected := context.WithTimeout(ctx, min(directoryConnectTimeout, silence))
	defer connected()
	dialer := net.Dialer{KeepAlive: -1}
	connect := func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
	conn, err := dialWithRetry(connecting, connect, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()

	// Danger: a directory that vanished gives no sign. Nothing is waited for longer than a sign of life takes.
	conn.SetDeadline(time.Now().Add(silence))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: directory\r\n\r\n", path); err != nil {
		return err
	}
	in := bufio.NewReaderSize(conn, 4096)
	var head fasthttp.ResponseHeader
	if err := head.Read(in); err != nil {
		return err
	}
	if head.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("status %d", head.StatusCode())
	}
	var body io.Reader = in
	switch size := head.ContentLength(); {
	case size == -1:
		body = httputil.NewChunkedReader(in)
	case size >= 0:
		body = io.LimitReader(in, int64(size))
	}
	signs := &heartbeatReader{body: body, remaining: maxListBytes, onRead: func(alone bool) {
		conn.SetDeadline(time.Now().Add(silence))
		if alone {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.markAlive(w)
		}
	}}
	// Danger: lists may be indented, over many lines, and may be cut anywhere. Each is taken once it is whole.
	lists := json.NewDecoder(signs)
	for ctx.Err() == nil {
		var list json.RawMessage
		if err := lists.Decode(&list); err == io.EOF {
			return errors.New("the watch ended")
		} else if err != nil {
			return fmt.Errorf("a list cannot be read: %w", err)
		}
		if err := d.applyList(w, list); err != nil {
			return fmt.Errorf("a list cannot be read: %w", err)
		}
		signs.remaining = maxListBytes
		d.watchErrors.record(nil)
	}
	return ctx.Err()
}

// heartbeatReader tells of the heartbeatReader of life on a watch, and of those with nothing but an empty line. Danger: a list
// that never ends would fill the memory, so there is an end to what is read of one.
type heartbeatReader struct {
	body      io.Reader
	remaining int
	onRead    func(alone bool)
}

func (s *heartbeatReader) Read(b []byte) (int, error) {
	if s.remaining <= 0 {
		return 0, errors.New("it does not end")
	}
	n, err := s.body.Read(b[:min(len(b), s.remaining)])
	s.remaining -= n
	if n > 0 {
		s.onRead(len(bytes.TrimSpace(b[:n])) == 0)
	}
	return n, err
}

// applyList reads one version of the applyList, or what changed since the last, and hands it in; of is nil for the
// applyList that is known at the start.
func (d *directory) applyList(of *watch, text []byte) error {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return err
	}
	hosts := v.Get("hosts")
	if hosts == nil || hosts.Type() != fastjson.TypeArray {
		return errors.New("no hosts in it")
	}
	whole := v.GetBool("whole")
	type entry struct {
		host, dial string
		site       string
		dest       uint32
		partner    int
		state      delivery.EndpointState
		rate       float64
	}
	var list []entry
	for _, h := range hosts.GetArray() {
		e := entry{host: string(h.GetStringBytes("host")), dial: string(h.GetStringBytes("dial")),
			dest: uint32(h.GetUint64("block")), site: string(h.GetStringBytes("site")),
			partner: slices.Index(d.partnerNames, start.Name(string(h.GetStringBytes("class"))))}
		if e.host == "" || !h.Exists("block") { // danger: for the sake of one, no other would be known
			logs.Part("directory").WithField("entry", fmt.Sprintf("%.200s", h)).
				Warn("passed over an entry without a name or a destination")
			continue
		}
		if e.partner < 0 {
			e.partner = len(d.partnerNames)
		}
		if d.useRates {
			e.rate = h.GetFloat64("share")
		}
		switch state := string(h.GetStringBytes("health")); state {
		case "Ready":
			e.state = delivery.Ready
		case "Gone":
			e.state = delivery.Gone
		default: // danger: what is not known to be ready may want nothing new
			e.state = delivery.Draining
		}
		list = append(list, e)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isOpen(of) { // what a watch says that was replaced may be older than what the new one said
		return nil
	}
	switch seq := v.GetUint64("seq"); d.checkVersion(of, seq, whole) {
	case applyListed:
		d.seq, d.olderStarts = seq, 0
	case ignoreOlder: // it came again behind a later one
		list, whole = nil, false
	case rejectUnconfirmed:
		return errOlderList
	}
	d.markAlive(of)
	for _, e := range list {
		d.knownDests[e.dest] = struct{}{}
	}
	d.desk.enqueue(func(to delivery.Handler) {
		to.ListStarted(whole)
		for _, e := range list {
			ep, fresh := d.desk.registerEndpoint(e.host, e.partner)
			if e.dial != "" || fresh {
				d.endpoints.updateEndpoint(ep, e.host, e.site, e.dial)
			}
			if e.state == delivery.Gone { // danger: what answers there from now on may be another
				d.endpoints.updateEndpoint(ep, e.host, e.site, "")
			}
			dest, _ := d.desk.destIndex.Take(e.dest)
			to.EndpointListed(ep, dest, e.partner, d.zoneIndex(e.site), e.state, e.rate)
		}
		to.ListEnded()
	})
	return nil
}

// listDecision is what becomes of a list, by its version.
type listDecision uint8

const (
	applyListed       listDecision = iota
	ignoreOlder                    // it is a copy: its watch told a later version before
	rejectUnconfirmed              // a new watch begins with an older version: a copy, or discovery has gone back
)

// olderStartsToAccept is how many watches in a row have to begin with an older version until that counts as discovery's own.
const olderStartsToAccept = 2

var (
	errOlderList = errors.New("a new watch begins with an older list")
	olderLists   = metrics.New("jaspersill_older_lists_total", "Lists from discovery that were passed over, as a later one had come.")
)

// checkVersion decides by its version what becomes of a list. The version of a watch never goes back, so an older one on it is a
// copy. Where a new watch begins with an older whole list, the next one has to say so too. The lock is held.
func (d *directory) checkVersion(of *watch, seq uint64, whole bool) listDecision {
	fresh := of == nil || !of.receivedList
	if of != nil {
		of.receivedList = true
	}
	if seq >= d.seq || of == nil {
		return applyListed
	}
	if fresh && whole {
		if d.olderStarts++; d.olderStarts >= olderStartsToAccept {
			return applyListed
		}
		olderLists.Add()
		return rejectUnconfirmed
	}
	olderLists.Add()
	return ignoreOlder
}

// isOpen tells whether a watch was not ended, or what it told is the list from before the start.
func (d *directory) isOpen(of *watch) bool {
	_, open := d.openWatches[of]
	return of == nil || open
}

// markAlive notes a sign of life of a watch: the newest replaces those before it.
func (d *directory) markAlive(of *watch) {
	if of != nil && of == d.newest && d.isOpen(of) {
		d.cancelOlderWatches()
	}
}

func (d *directory) close() { d.setWatching(false) }
