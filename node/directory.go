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

	"jaspersill/logs"
	"jaspersill/metrics"
	"jaspersill/port"
	"jaspersill/start"
)

const (
	lineEvery   = 2 * time.Second                  // a watch shows a sign of life so often: the protocol's
	silentAfter = lineEvery + 500*time.Millisecond // without one for longer it is broken
	listPath    = "/discovery/hosts"
	mostList    = 16 << 20 // bytes of one list: far above the largest fleet

	// connectTo is how long a connection to the directory may take to come up. What is missed counts as told 6 s
	// after a watch fell silent: silence, two delays and two connects that never come up fit in, and an answer.
	connectTo = time.Second
)

// directory follows the list of endpoints: a watch while the module wants one, and the whole list when asked.
type directory struct {
	address   string
	silence   atomic.Int64 // ns; without a sign for so long, a call is broken
	desk      *desk
	endpoints *endpointPool
	partners  []string
	zones     []string
	rated     bool

	answers trouble

	mu     sync.Mutex
	seq    uint64
	older  int                 // watches in a row that began with an older version than is known
	newest *watch              // nil for none wanted
	open   map[*watch]struct{} // the newest, and those before it until it stands
	dests  map[uint32]struct{} // destinations that were ever listed
}

// watch is one call for changes, with what ends it.
type watch struct {
	cancel     context.CancelFunc
	connection uint64 // its connection's id in the log
	told       bool   // it brought a list
}

// zone maps a zone's name to its index; an unknown one is one more.
func (d *directory) zone(name string) int {
	if i := slices.Index(d.zones, start.Name(name)); i >= 0 {
		return i
	}
	return len(d.zones)
}

// watch opens a watch or ends all. One that is asked for again replaces the one before.
func (d *directory) watch(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if on {
		d.begin()
		return
	}
	d.newest = nil
	d.endOthers()
}

// move asks at another address from now on.
func (d *directory) move(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if address != d.address {
		d.address = address
		d.begin()
	}
}

// begin opens a watch from the version that is known. Danger: nothing is told while none stands, and the one
// before, or the call for it, may hang. Each goes by itself, and the others end only once the newest stands.
func (d *directory) begin() {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watch{cancel: cancel, connection: newConnectionID()}
	d.newest = w
	d.open[w] = struct{}{}
	address, path := d.address, listPath+"?watch=1&from="+strconv.FormatUint(d.seq, 10)
	silence := time.Duration(d.silence.Load())
	go func() {
		defer cancel()
		err := d.follow(ctx, w, address, path, silence)
		d.mu.Lock()
		delete(d.open, w)
		failed := d.newest == w
		d.mu.Unlock()
		logs.Part("directory").WithError(err).WithFields(logrus.Fields{"connection": w.connection, "replaced": !failed}).
			Debug("a call ended")
		if failed { // one that was replaced, or ended on purpose, tells nothing
			d.failed(err)
		}
	}()
}

// endOthers ends all watches but the newest.
func (d *directory) endOthers() {
	for w := range d.open {
		if w != d.newest {
			w.cancel()
			delete(d.open, w)
		}
	}
}

// knows tells whether a destination was ever listed; before there is a list, all may be. Danger: an event for
// one that does not exist would be held for all its time.
func (d *directory) knows(dest uint32) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known := d.dests[dest]
	return known || len(d.dests) == 0
}

// failed tells the module that a call failed or the watch broke.
func (d *directory) failed(err error) {
	d.answers.note(err)
	d.desk.hear(func(to port.Intake) { to.ListFailed() })
}

// follow makes one call and hands in each list that it brings, until it ends.
func (d *directory) follow(ctx context.Context, w *watch, address, path string, silence time.Duration) error {
	connecting, connected := context.WithTimeout(ctx, min(connectTo, silence))
	defer connected()
	dialer := net.Dialer{KeepAlive: -1}
	connect := func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
	conn, err := dialAgain(connecting, connect, address)
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
	signs := &signs{body: body, left: mostList, sign: func(alone bool) {
		conn.SetDeadline(time.Now().Add(silence))
		if alone {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.stands(w)
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
		if err := d.list(w, list); err != nil {
			return fmt.Errorf("a list cannot be read: %w", err)
		}
		signs.left = mostList
		d.answers.note(nil)
	}
	return ctx.Err()
}

// signs tells of the signs of life on a watch, and of those with nothing but an empty line. Danger: a list
// that never ends would fill the memory, so there is an end to what is read of one.
type signs struct {
	body io.Reader
	left int
	sign func(alone bool)
}

func (s *signs) Read(b []byte) (int, error) {
	if s.left <= 0 {
		return 0, errors.New("it does not end")
	}
	n, err := s.body.Read(b[:min(len(b), s.left)])
	s.left -= n
	if n > 0 {
		s.sign(len(bytes.TrimSpace(b[:n])) == 0)
	}
	return n, err
}

// list reads one version of the list, or what changed since the last, and hands it in; of is nil for the
// list that is known at the start.
func (d *directory) list(of *watch, text []byte) error {
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
		state      port.State
		rate       float64
	}
	var list []entry
	for _, h := range hosts.GetArray() {
		e := entry{host: string(h.GetStringBytes("host")), dial: string(h.GetStringBytes("dial")),
			dest: uint32(h.GetUint64("block")), site: string(h.GetStringBytes("site")),
			partner: slices.Index(d.partners, start.Name(string(h.GetStringBytes("class"))))}
		if e.host == "" || !h.Exists("block") { // danger: for the sake of one, no other would be known
			logs.Part("directory").WithField("entry", fmt.Sprintf("%.200s", h)).
				Warn("passed over an entry without a name or a destination")
			continue
		}
		if e.partner < 0 {
			e.partner = len(d.partners)
		}
		if d.rated {
			e.rate = h.GetFloat64("share")
		}
		switch state := string(h.GetStringBytes("health")); state {
		case "Ready":
			e.state = port.Ready
		case "Gone":
			e.state = port.Gone
		default: // danger: what is not known to be ready may want nothing new
			e.state = port.Draining
		}
		list = append(list, e)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isOpen(of) { // what a watch says that was replaced may be older than what the new one said
		return nil
	}
	switch seq := v.GetUint64("seq"); d.takes(of, seq, whole) {
	case listApplied:
		d.seq, d.older = seq, 0
	case listOlder: // it came again behind a later one
		list, whole = nil, false
	case listUnproven:
		return errOlderList
	}
	d.stands(of)
	for _, e := range list {
		d.dests[e.dest] = struct{}{}
	}
	d.desk.hear(func(to port.Intake) {
		to.ListBegins(whole)
		for _, e := range list {
			ep, fresh := d.desk.listed(e.host, e.partner)
			if e.dial != "" || fresh {
				d.endpoints.updateEndpoint(ep, e.host, e.site, e.dial)
			}
			if e.state == port.Gone { // danger: what answers there from now on may be another
				d.endpoints.updateEndpoint(ep, e.host, e.site, "")
			}
			dest, _ := d.desk.dests.Take(e.dest)
			to.Listed(ep, dest, e.partner, d.zone(e.site), e.state, e.rate)
		}
		to.ListEnds()
	})
	return nil
}

// listOrder is what becomes of a list, by its version.
type listOrder uint8

const (
	listApplied  listOrder = iota
	listOlder              // it is a copy: its watch told a later version before
	listUnproven           // a new watch begins with an older version: a copy, or discovery has gone back
)

// olderProven is how many watches in a row have to begin with an older version until that counts as discovery's own.
const olderProven = 2

var (
	errOlderList = errors.New("a new watch begins with an older list")
	olderLists   = metrics.New("jaspersill_older_lists_total", "Lists from discovery that were passed over, as a later one had come.")
)

// takes decides by its version what becomes of a list. The version of a watch never goes back, so an older one on it is a
// copy. Where a new watch begins with an older whole list, the next one has to say so too. The lock is held.
func (d *directory) takes(of *watch, seq uint64, whole bool) listOrder {
	fresh := of == nil || !of.told
	if of != nil {
		of.told = true
	}
	if seq >= d.seq || of == nil {
		return listApplied
	}
	if fresh && whole {
		if d.older++; d.older >= olderProven {
			return listApplied
		}
		olderLists.Add()
		return listUnproven
	}
	olderLists.Add()
	return listOlder
}

// isOpen tells whether a watch was not ended, or what it told is the list from before the start.
func (d *directory) isOpen(of *watch) bool {
	_, open := d.open[of]
	return of == nil || open
}

// stands notes a sign of life of a watch: the newest replaces those before it.
func (d *directory) stands(of *watch) {
	if of != nil && of == d.newest && d.isOpen(of) {
		d.endOthers()
	}
}

func (d *directory) close() { d.watch(false) }
