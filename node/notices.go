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
	noticeTimeout        = 250 * time.Millisecond // the platform answers a notice immediately; repeating one does no harm
	noticeRetryInterval  = 50 * time.Millisecond  // between tries; a notice is overdue after 300 ms
	maxNoticesPerPost    = 200                    // lines in one request body, about 12 kB
	spareCheckInterval   = time.Second            // between checks that the spare connection is still open
	noticeReadBufferSize = 1024                   // bytes; a response is a line or two

	noticeAcknowledged = "told"
	noticeUnverified   = "unsure"
	noticeFailed       = "failed"
)

var (
	noticePosts = metrics.NewCounterVec("jaspersill_notice_posts_total", "Posts of notices to the platform, by what came of them.",
		"result", noticeAcknowledged, noticeUnverified, noticeFailed)
	noticeConnections = metrics.NewCounter("jaspersill_notice_connections_total", "Connections opened to the platform for notices.")
)

// notice tells the platform how an event ended that was accepted but not delivered.
type notice struct {
	id             string
	resolution     resolution
	retryAfter     int64  // ns after which the client may retry, 0 if none is given
	onAcknowledged func() // called once the platform has certainly read the notice
}

// noticeSender posts notices to the platform and repeats each one until it is certainly acknowledged.
//
// A response does not name the notices it acknowledges, so only the first response on a connection is trusted. Each
// acknowledged post therefore needs a connection of its own, and the next one, the spare, is opened before it is needed.
// The last used connection is kept for times when no new one can be opened: a post on it most likely reaches the
// platform, and is repeated on a new connection.
type noticeSender struct {
	wake chan struct{}

	mu            sync.Mutex
	timeout       time.Duration // for the platform's response
	retryInterval time.Duration // before a failed post is repeated
	queue         []notice
	address       string
	addressCtx    context.Context // lifetime of the connections to this address
	cancelAddress context.CancelFunc
	spare         *platformConn // open and unused, nil if there is none
	lastUsed      *platformConn // the connection used last, nil if there is none
	unverified    int           // notices at the head of the queue that were posted on a reused connection only
}

// platformConn is a connection to the platform for notices.
type platformConn struct {
	*retryConn
	id              uint64
	address         string
	reader          *bufio.Reader
	stopCloseOnMove func() bool // cancels closing it when the platform's address changes
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

// setTimeouts sets the response timeout and the retry interval, starting with the next post.
func (n *noticeSender) setTimeouts(timeout, retryInterval time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.timeout, n.retryInterval = timeout, retryInterval
}

// setAddress changes the address of the platform. Posts in progress to the old address are aborted and repeated at the
// new one.
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

func (n *noticeSender) enqueue(next notice) {
	n.mu.Lock()
	n.queue = append(n.queue, next)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// run posts queued notices until stop is closed.
func (n *noticeSender) run(stop <-chan struct{}) {
	failures := failureLog{part: "notices", operation: "posting notices to the platform"}
	spareCheck := time.NewTicker(spareCheckInterval)
	defer spareCheck.Stop()
	go n.ensureSpare()
	for {
		select {
		case <-stop:
			return
		case <-spareCheck.C:
			go n.ensureSpare()
			continue
		case <-n.wake:
		}
		for {
			batch, retryInterval := n.nextBatch()
			if len(batch) == 0 {
				break
			}
			err := n.postBatch(batch)
			failures.record(err)
			if err == nil {
				n.acknowledge(batch)
				continue
			}
			select {
			case <-stop:
				return
			case <-time.After(retryInterval):
			}
		}
	}
}

// nextBatch returns the notices to post next, and how long to wait before a retry if that fails.
func (n *noticeSender) nextBatch() (batch []notice, retryInterval time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.queue[:min(len(n.queue), maxNoticesPerPost)], n.retryInterval
}

// acknowledge removes acknowledged notices from the head of the queue and runs their callbacks.
func (n *noticeSender) acknowledge(batch []notice) {
	for _, acknowledged := range batch {
		acknowledged.onAcknowledged()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.queue = append([]notice(nil), n.queue[len(batch):]...)
	n.unverified = max(0, n.unverified-len(batch))
}

// postBatch posts notices on an unused connection. If there is no spare one, they are meanwhile also posted on the last
// used connection, since opening a new one may take too long or fail.
func (n *noticeSender) postBatch(batch []notice) error {
	conn := n.takeSpare()
	if conn == nil {
		go n.postUnverified(batch)
		var err error
		if conn, err = n.connect(); err != nil {
			return err
		}
	}
	sent, err := n.exchange(conn, batch)
	if err != nil {
		n.logPost(conn, batch, noticeFailed, err)
		if !sent {
			n.keepSpare(conn)
			return err
		}
		conn.Close()
		go n.ensureSpare()
		return err
	}
	n.logPost(conn, batch, noticeAcknowledged, nil)
	n.keepLastUsed(conn)
	go n.ensureSpare()
	return nil
}

// postUnverified posts those notices on the last used connection that were not yet posted on it. They do not count as
// acknowledged, since the response may be a copy of an earlier one.
func (n *noticeSender) postUnverified(batch []notice) {
	n.mu.Lock()
	conn := n.lastUsed
	if conn == nil || n.unverified >= len(batch) {
		n.mu.Unlock()
		return
	}
	batch = batch[n.unverified:]
	n.unverified += len(batch)
	n.lastUsed = nil
	n.mu.Unlock()
	sent, err := n.exchange(conn, batch)
	n.logPost(conn, batch, noticeUnverified, err)
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

func (n *noticeSender) logPost(conn *platformConn, batch []notice, result string, err error) {
	noticePosts.With(result).Inc()
	if !logs.DebugEnabled() {
		return
	}
	for _, posted := range batch {
		line := logs.Event("notices", posted.id).WithFields(logrus.Fields{"connection": conn.id, "result": result})
		if err != nil {
			line = line.WithError(err)
		}
		line.Debug("posted notice")
	}
}

// keepLastUsed keeps a used connection for times when no new one can be opened.
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

// takeSpare takes the spare connection. It returns nil if there is none or it is not open any more.
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

// ensureSpare opens the spare connection for the next post unless one is already open.
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

// keepSpare keeps an unused connection for the next post.
func (n *noticeSender) keepSpare(conn *platformConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.spare != nil || conn.address != n.address {
		conn.Close()
		return
	}
	n.spare = conn
}

// connect opens a connection to the platform. The connection is closed when the platform's address changes.
func (n *noticeSender) connect() (*platformConn, error) {
	n.mu.Lock()
	address, addressCtx, timeout := n.address, n.addressCtx, n.timeout
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(addressCtx, timeout)
	defer cancel()
	dialer := net.Dialer{KeepAlive: -1}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
	conn, err := dialWithRetry(ctx, dial, address)
	if err != nil {
		return nil, err
	}
	noticeConnections.Inc()
	return &platformConn{retryConn: conn, id: newConnectionID(), address: address,
		reader: bufio.NewReaderSize(conn, noticeReadBufferSize), stopCloseOnMove: context.AfterFunc(addressCtx, func() { conn.Close() })}, nil
}

type statusError int

func (s statusError) Error() string { return "platform answered with status " + strconv.Itoa(int(s)) }

// exchange posts notices and reads the response. sent tells whether any byte may have been sent or the connection is
// unusable.
func (n *noticeSender) exchange(conn *platformConn, batch []notice) (sent bool, err error) {
	n.mu.Lock()
	timeout := n.timeout
	n.mu.Unlock()
	if state := inspectIdleConn(conn.retryConn); state != idleConnOpen {
		return true, fmt.Errorf("idle connection is unusable: %s", state.closeReason())
	}
	conn.SetDeadline(time.Now().Add(timeout))
	defer conn.SetDeadline(time.Time{})
	out := bytebufferpool.Get()
	defer bytebufferpool.Put(out)
	if err := writeNoticeRequest(out, conn.address, batch); err != nil {
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

// writeNoticeRequest serializes a POST request with one notice per line.
func writeNoticeRequest(out *bytebufferpool.ByteBuffer, address string, batch []notice) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/v1/outcomes")
	req.Header.SetHost(address)
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetContentType("application/x-ndjson")
	body := req.Body()
	for _, next := range batch {
		body = append(body, `{"id":`...)
		body = strconv.AppendQuote(body, next.id)
		if next.resolution == discarded {
			body = append(body, `,"status":"undeliverable"}`...)
		} else {
			body = append(body, `,"status":"deferred"`...)
			if next.retryAfter > 0 {
				body = strconv.AppendInt(append(body, `,"again_ms":`...), (next.retryAfter+999_999)/1e6, 10)
			}
			body = append(body, '}')
		}
		body = append(body, '\n')
	}
	req.SetBody(body)
	_, err := req.WriteTo(out)
	return err
}
