package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"

	"jaspersill/logs"
	"jaspersill/metrics"
)

const (
	noticeWithin = 250 * time.Millisecond // a notice is answered at once; a repeat does no harm
	noticeAgain  = 50 * time.Millisecond  // between tries: a notice is overdue after 300 ms
	noticePart   = 200                    // lines in one notice: some 12 kB
	spareEvery   = time.Second            // between looks at whether the unused connection still stands
	noticeBuffer = 1024                   // bytes: an answer is a line or two

	noticeTold   = "told"
	noticeUnsure = "unsure"
	noticeFailed = "failed"
)

var (
	noticePosts = metrics.NewFamily("jaspersill_notice_posts_total", "Posts of notices to the platform, by what came of them.",
		"result", noticeTold, noticeUnsure, noticeFailed)
	noticeConnections = metrics.New("jaspersill_notice_connections_total", "Connections opened to the platform for notices.")
)

// notice tells the platform how an event ended that was taken on and not delivered.
type notice struct {
	id      string
	verdict verdict
	after   int64  // when to come back, 0 for nothing told
	told    func() // is called once the platform has surely read it
}

// notices tells the platform of ends until it has surely heard.
//
// An answer to a notice names none, so only the first one on a connection is believed: a connection carries one post
// that counts, and the next one stands open before it is needed. The connection used last is kept for the time in which
// no other can be opened. A post on it most likely reaches the platform, and is made again on a new one.
type notices struct {
	bell chan struct{}

	mu       sync.Mutex
	within   time.Duration // that the platform has to answer
	again    time.Duration // until one that failed is told again
	queue    []notice
	address  string
	lifetime context.Context // of the connections to this address
	leave    context.CancelFunc
	spare    *platformConn // open, and never used
	used     *platformConn // what was used last
	unsure   int           // notices at the head of the queue that were posted on a connection used before
}

// platformConn is a connection to the platform for notices.
type platformConn struct {
	*retryConn
	id      uint64
	address string
	in      *bufio.Reader
	stop    func() bool
}

func (c *platformConn) Close() error {
	c.stop()
	return c.retryConn.Close()
}

func openNotices(address string) *notices {
	n := &notices{bell: make(chan struct{}, 1), within: noticeWithin, again: noticeAgain, leave: func() {}}
	n.move(address)
	return n
}

// times changes how long a notice may take, from the next one on.
func (n *notices) times(within, again time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.within, n.again = within, again
}

// move tells the platform at another address from now on. What hangs at the old one is broken off, and told again.
func (n *notices) move(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.address == address {
		return
	}
	n.leave()
	n.lifetime, n.leave = context.WithCancel(context.Background())
	n.address, n.spare, n.used, n.unsure = address, nil, nil, 0
}

// post queues a notice.
func (n *notices) post(next notice) {
	n.mu.Lock()
	n.queue = append(n.queue, next)
	n.mu.Unlock()
	select {
	case n.bell <- struct{}{}:
	default:
	}
}

// run sends notices for as long as the process lasts.
func (n *notices) run(stop <-chan struct{}) {
	telling := trouble{part: "notices", what: "telling the platform"}
	look := time.NewTicker(spareEvery)
	defer look.Stop()
	go n.renewSpare()
	for {
		select {
		case <-stop:
			return
		case <-look.C:
			go n.renewSpare()
			continue
		case <-n.bell:
		}
		for {
			part, again := n.next()
			if len(part) == 0 {
				break
			}
			err := n.tell(part)
			telling.note(err)
			if err == nil {
				n.done(part)
				continue
			}
			select {
			case <-stop:
				return
			case <-time.After(again):
			}
		}
	}
}

// next is what is told next, and how long to wait if that fails.
func (n *notices) next() (part []notice, again time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.queue[:min(len(n.queue), noticePart)], n.again
}

// done notes that notices at the head of the queue are told.
func (n *notices) done(part []notice) {
	for _, told := range part {
		told.told()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.queue = append([]notice(nil), n.queue[len(part):]...)
	n.unsure = max(0, n.unsure-len(part))
}

// tell posts notices on a connection that was never used. Where none stands open, they go out on the one used last
// meanwhile, since opening one may take too long, or fail.
func (n *notices) tell(part []notice) error {
	conn := n.takeSpare()
	if conn == nil {
		go n.tellUnsurely(part)
		var err error
		if conn, err = n.connect(); err != nil {
			return err
		}
	}
	sent, err := n.exchange(conn, part)
	if err != nil {
		n.log(conn, part, noticeFailed, err)
		if !sent {
			n.keepSpare(conn)
			return err
		}
		conn.Close()
		go n.renewSpare()
		return err
	}
	n.log(conn, part, noticeTold, nil)
	n.keepUsed(conn)
	go n.renewSpare()
	return nil
}

// tellUnsurely posts those notices on the connection used last that have not gone out on it yet. They count as not told.
func (n *notices) tellUnsurely(part []notice) {
	n.mu.Lock()
	conn := n.used
	if conn == nil || n.unsure >= len(part) {
		n.mu.Unlock()
		return
	}
	part = part[n.unsure:]
	n.unsure += len(part)
	n.used = nil
	n.mu.Unlock()
	sent, err := n.exchange(conn, part)
	n.log(conn, part, noticeUnsure, err)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.unsure = 0
	}
	if (err != nil && sent) || n.used != nil || conn.address != n.address {
		conn.Close()
		return
	}
	n.used = conn
}

func (n *notices) log(conn *platformConn, part []notice, result string, err error) {
	noticePosts.With(result).Add()
	if !logs.Debugging() {
		return
	}
	for _, one := range part {
		line := logs.Event("notices", one.id).WithFields(logrus.Fields{"connection": conn.id, "result": result})
		if err != nil {
			line = line.WithError(err)
		}
		line.Debug("a notice was posted")
	}
}

// keepUsed keeps a connection for the time in which no other can be opened.
func (n *notices) keepUsed(conn *platformConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.used != nil {
		n.used.Close()
		n.used = nil
	}
	if conn.address == n.address {
		n.used = conn
	} else {
		conn.Close()
	}
}

// takeSpare takes the connection that stands open unused, nil for none.
func (n *notices) takeSpare() *platformConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	conn := n.spare
	n.spare = nil
	if conn != nil && stateAtRest(conn.retryConn) != restQuiet {
		conn.Close()
		return nil
	}
	return conn
}

// renewSpare opens the connection that the next post takes, unless one stands.
func (n *notices) renewSpare() {
	n.mu.Lock()
	if conn := n.spare; conn != nil {
		if stateAtRest(conn.retryConn) == restQuiet {
			n.mu.Unlock()
			return
		}
		conn.Close()
		n.spare = nil
	}
	n.mu.Unlock()
	conn, err := n.connect()
	if err != nil {
		return
	}
	n.keepSpare(conn)
}

// keepSpare keeps a connection on which nothing was written for the next post.
func (n *notices) keepSpare(conn *platformConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.spare != nil || conn.address != n.address {
		conn.Close()
		return
	}
	n.spare = conn
}

// connect opens a connection to the platform, which ends with the address that it goes to.
func (n *notices) connect() (*platformConn, error) {
	n.mu.Lock()
	address, lifetime, within := n.address, n.lifetime, n.within
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(lifetime, within)
	defer cancel()
	dialer := net.Dialer{KeepAlive: -1}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
	conn, err := dialAgain(ctx, dial, address)
	if err != nil {
		return nil, err
	}
	noticeConnections.Add()
	return &platformConn{retryConn: conn, id: newConnectionID(), address: address,
		in: bufio.NewReaderSize(conn, noticeBuffer), stop: context.AfterFunc(lifetime, func() { conn.Close() })}, nil
}

type statusError int

func (s statusError) Error() string { return "status " + strconv.Itoa(int(s)) }

// exchange posts notices and reads the answer. It tells whether a byte of them may have gone out, or the connection has
// ended.
func (n *notices) exchange(conn *platformConn, part []notice) (sent bool, err error) {
	n.mu.Lock()
	within := n.within
	n.mu.Unlock()
	if state := stateAtRest(conn.retryConn); state != restQuiet {
		return true, fmt.Errorf("the connection is %s", state.closeReason())
	}
	conn.SetDeadline(time.Now().Add(within))
	defer conn.SetDeadline(time.Time{})
	out := bytebufferpool.Get()
	defer bytebufferpool.Put(out)
	if err := writeNotices(out, conn.address, part); err != nil {
		return false, err
	}
	if written, err := conn.Write(out.B); err != nil {
		return written > 0 || !errors.Is(err, os.ErrDeadlineExceeded), err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.ReadLimitBody(conn.in, maxResponseBytes); err != nil {
		return true, err
	}
	if resp.StatusCode() != fasthttp.StatusNoContent {
		return true, statusError(resp.StatusCode())
	}
	return true, nil
}

// writeNotices writes a post of notices, one to a line.
func writeNotices(out *bytebufferpool.ByteBuffer, address string, part []notice) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/v1/outcomes")
	req.Header.SetHost(address)
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetContentType("application/x-ndjson")
	body := req.Body()
	for _, one := range part {
		body = append(body, `{"id":`...)
		body = strconv.AppendQuote(body, one.id)
		if one.verdict == discarded {
			body = append(body, `,"status":"undeliverable"}`...)
		} else {
			body = append(body, `,"status":"deferred"`...)
			if one.after > 0 {
				body = strconv.AppendInt(append(body, `,"again_ms":`...), (one.after+999_999)/1e6, 10)
			}
			body = append(body, '}')
		}
		body = append(body, '\n')
	}
	req.SetBody(body)
	_, err := req.WriteTo(out)
	return err
}
