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
	noticeTimeout        = 250 * time.Millisecond // a notice is answered at once; a repeat does no harm
	noticeRetryInterval  = 50 * time.Millisecond  // between tries: a notice is overdue after 300 ms
	maxNoticesPerPost    = 200                    // lines in one notice: some 12 kB
	spareCheckInterval   = time.Second            // between looks at whether the unused connection still stands
	noticeReadBufferSize = 1024                   // bytes: an answer is a line or two

	noticeAcknowledged = "told"
	noticeUnverified   = "unsure"
	noticeFailed       = "failed"
)

var (
	noticePosts = metrics.NewFamily("jaspersill_notice_posts_total", "Posts of notices to the platform, by what came of them.",
		"result", noticeAcknowledged, noticeUnverified, noticeFailed)
	noticeConnections = metrics.New("jaspersill_notice_connections_total", "Connections opened to the platform for notices.")
)

// notice tells the platform how an event ended that was taken on and not delivered.
type notice struct {
	id             string
	verdict        resolution
	retryAfter     int64  // when to come back, 0 for nothing told
	onAcknowledged func() // is called once the platform has surely read it
}

// noticeSender tells the platform of ends until it has surely heard.
//
// An answer to a notice names none, so only the first one on a connection is believed: a connection carries one post
// that counts, and the next one stands open before it is needed. The connection used last is kept for the time in which
// no other can be opened. A post on it most likely reaches the platform, and is made again on a new one.
type noticeSender struct {
	wake chan struct{}

	mu            sync.Mutex
	timeout       time.Duration // that the platform has to answer
	retryInterval time.Duration // until one that failed is told again
	queue         []notice
	address       string
	addressCtx    context.Context // of the connections to this address
	cancelAddress context.CancelFunc
	spare         *platformConn // open, and never used
	lastUsed      *platformConn // what was used last
	unverified    int           // notices at the head of the queue that were posted on a connection used before
}

// platformConn is a connection to the platform for notices.
type platformConn struct {
	*retryConn
	id              uint64
	address         string
	reader          *bufio.Reader
	stopCloseOnMove func() bool
}

func (c *platformConn) Close() error {
	c.stopCloseOnMove()
	return c.retryConn.Close()
}

func newNoticeSender(address string) *noticeSender {
	n := &noticeSender{wake: make(chan struct{}, 1), timeout: noticeTimeout, retryInterval: noticeRetryInterval, cancelAddress: func() {}}
	n.setAddress(address)
	return n
}

// setTimeouts changes how long a notice may take, from the next one on.
func (n *noticeSender) setTimeouts(within, again time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.timeout, n.retryInterval = within, again
}

// setAddress tells the platform at another address from now on. What hangs at the old one is broken off, and told again.
func (n *noticeSender) setAddress(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.address == address {
		return
	}
	n.cancelAddress()
	n.addressCtx, n.cancelAddress = context.WithCancel(context.Background())
	n.address, n.spare, n.lastUsed, n.unverified = address, nil, nil, 0
}

// enqueue queues a notice.
func (n *noticeSender) enqueue(next notice) {
	n.mu.Lock()
	n.queue = append(n.queue, next)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// run sends notices for as long as the process lasts.
func (n *noticeSender) run(stop <-chan struct{}) {
	telling := failureLog{part: "notices", operation: "telling the platform"}
	look := time.NewTicker(spareCheckInterval)
	defer look.Stop()
	go n.ensureSpare()
	for {
		select {
		case <-stop:
			return
		case <-look.C:
			go n.ensureSpare()
			continue
		case <-n.wake:
		}
		for {
			part, again := n.nextBatch()
			if len(part) == 0 {
				break
			}
			err := n.postBatch(part)
			telling.record(err)
			if err == nil {
				n.acknowledge(part)
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

// nextBatch is what is told nextBatch, and how long to wait if that fails.
func (n *noticeSender) nextBatch() (part []notice, again time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.queue[:min(len(n.queue), maxNoticesPerPost)], n.retryInterval
}

// acknowledge notes that notices at the head of the queue are told.
func (n *noticeSender) acknowledge(part []notice) {
	for _, told := range part {
		told.onAcknowledged()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.queue = append([]notice(nil), n.queue[len(part):]...)
	n.unverified = max(0, n.unverified-len(part))
}

// postBatch posts notices on a connection that was never used. Where none stands open, they go out on the one used last
// meanwhile, since opening one may take too long, or fail.
func (n *noticeSender) postBatch(part []notice) error {
	conn := n.takeSpare()
	if conn == nil {
		go n.postUnverified(part)
		var err error
		if conn, err = n.connect(); err != nil {
			return err
		}
	}
	sent, err := n.exchange(conn, part)
	if err != nil {
		n.logPost(conn, part, noticeFailed, err)
		if !sent {
			n.keepSpare(conn)
			return err
		}
		conn.Close()
		go n.ensureSpare()
		return err
	}
	n.logPost(conn, part, noticeAcknowledged, nil)
	n.keepLastUsed(conn)
	go n.ensureSpare()
	return nil
}

// postUnverified posts those notices on the connection used last that have not gone out on it yet. They count as not told.
func (n *noticeSender) postUnverified(part []notice) {
	n.mu.Lock()
	conn := n.lastUsed
	if conn == nil || n.unverified >= len(part) {
		n.mu.Unlock()
		return
	}
	part = part[n.unverified:]
	n.unverified += len(part)
	n.lastUsed = nil
	n.mu.Unlock()
	sent, err := n.exchange(conn, part)
	n.logPost(conn, part, noticeUnverified, err)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.unverified = 0
	}
	if (err != nil && sent) || n.lastUsed != nil || conn.address != n.address {
		conn.Close()
		return
	}
	n.lastUsed = conn
}

func (n *noticeSender) logPost(conn *platformConn, part []notice, result string, err error) {
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

// keepLastUsed keeps a connection for the time in which no other can be opened.
func (n *noticeSender) keepLastUsed(conn *platformConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lastUsed != nil {
		n.lastUsed.Close()
		n.lastUsed = nil
	}
	if conn.address == n.address {
		n.lastUsed = conn
	} else {
		conn.Close()
	}
}

// takeSpare takes the connection that stands open unused, nil for none.
func (n *noticeSender) takeSpare() *platformConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	conn := n.spare
	n.spare = nil
	if conn != nil && inspectIdleConn(conn.retryConn) != idleConnOpen {
		conn.Close()
		return nil
	}
	return conn
}

// ensureSpare opens the connection that the next post takes, unless one stands.
func (n *noticeSender) ensureSpare() {
	n.mu.Lock()
	if conn := n.spare; conn != nil {
		if inspectIdleConn(conn.retryConn) == idleConnOpen {
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
func (n *noticeSender) keepSpare(conn *platformConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.spare != nil || conn.address != n.address {
		conn.Close()
		return
	}
	n.spare = conn
}

// connect opens a connection to the platform, which ends with the address that it goes to.
func (n *noticeSender) connect() (*platformConn, error) {
	n.mu.Lock()
	address, lifetime, within := n.address, n.addressCtx, n.timeout
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(lifetime, within)
	defer cancel()
	dialer := net.Dialer{KeepAlive: -1}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
	conn, err := dialWithRetry(ctx, dial, address)
	if err != nil {
		return nil, err
	}
	noticeConnections.Add()
	return &platformConn{retryConn: conn, id: newConnectionID(), address: address,
		reader: bufio.NewReaderSize(conn, noticeReadBufferSize), stopCloseOnMove: context.AfterFunc(lifetime, func() { conn.Close() })}, nil
}

type statusError int

func (s statusError) Error() string { return "status " + strconv.Itoa(int(s)) }

// exchange posts notices and reads the answer. It tells whether a byte of them may have gone out, or the connection has
// ended.
func (n *noticeSender) exchange(conn *platformConn, part []notice) (sent bool, err error) {
	n.mu.Lock()
	within := n.timeout
	n.mu.Unlock()
	if state := inspectIdleConn(conn.retryConn); state != idleConnOpen {
		return true, fmt.Errorf("the connection is %s", state.closeReason())
	}
	conn.SetDeadline(time.Now().Add(within))
	defer conn.SetDeadline(time.Time{})
	out := bytebufferpool.Get()
	defer bytebufferpool.Put(out)
	if err := writeNoticeRequest(out, conn.address, part); err != nil {
		return false, err
	}
	if written, err := conn.Write(out.B); err != nil {
		return written > 0 || !errors.Is(err, os.ErrDeadlineExceeded), err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.ReadLimitBody(conn.reader, maxResponseBytes); err != nil {
		return true, err
	}
	if resp.StatusCode() != fasthttp.StatusNoContent {
		return true, statusError(resp.StatusCode())
	}
	return true, nil
}

// writeNoticeRequest writes a post of notices, one to a line.
func writeNoticeRequest(out *bytebufferpool.ByteBuffer, address string, part []notice) error {
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
			if one.retryAfter > 0 {
				body = strconv.AppendInt(append(body, `,"again_ms":`...), (one.retryAfter+999_999)/1e6, 10)
			}
			body = append(body, '}')
		}
		body = append(body, '\n')
	}
	req.SetBody(body)
	_, err := req.WriteTo(out)
	return err
}
