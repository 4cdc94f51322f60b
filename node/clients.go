package node

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"jaspersill/lifecycle"
	"jaspersill/logs"
	"jaspersill/membudget"
	"jaspersill/metrics"
)

const (
	defaultRequestTimeout      = 2 * time.Second         // well above the 400 ms that a client waits for its response
	defaultFirstRequestTimeout = 2500 * time.Millisecond // counts from accepting; an error response is due within 3 s
	defaultClientIdleTimeout   = 5 * time.Second         // clients reconnect for later requests, and some send only one
	clientWriteTimeout         = 2 * time.Second         // well above the 400 ms that a client waits for its response
	maxIDBytes                 = 64                      // the journal relies on this limit
	maxIdempotencyKeyBytes     = 256
	maxClientDeadline          = 24 * time.Hour // longest time that an event may remain deliverable
	retryAfterDecimals         = 3              // Retry-After has millisecond resolution
	contentTypeText            = "text/plain; charset=utf-8"
	pathReady                  = "/up"
	pathSubmit                 = "/api"
	pathMetrics                = "/metrics"
	contentTypeMetrics         = "text/plain; version=0.0.4; charset=utf-8"
	envelopeDestKey            = "dest"
)

// clientServer is the HTTP server that clients submit events to.
type clientServer struct {
	node           *Node
	listener       *listener
	handler        func(*fasthttp.RequestCtx) // handles each request that was read successfully
	badRequests    throttledLog
	recentRequests *recentRequests
	reclaiming     atomic.Bool // incomplete requests are being ended to give memory back
	throttle       *throttle
}

// Buffers are pooled and held only while a request is read and answered, since most connections are idle most of
// the time.
var (
	readerPool  = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxHeaderBytes) }}
	contextPool = sync.Pool{New: func() any { return new(fasthttp.RequestCtx) }}
)

// fasthttpLogger writes the log lines of fasthttp at debug level: fasthttp logs one for each failing connection, so
// misbehaving clients could otherwise flood the log.
type fasthttpLogger struct{}

func (fasthttpLogger) Printf(format string, args ...any) {
	logs.Part("clients").Debugf(format, args...)
}

func newClientServer(n *Node, address string, times ClientTimeouts, plan membudget.Plan, maxIdle int) (*clientServer, error) {
	buffers := socketBuffers{receive: plan.ClientReceiveBuffer, send: plan.ClientSendBuffer}
	l, err := openSocket(func() (net.Listener, error) { return listenTCP(address, buffers, plan.ClientBacklog) })
	if err != nil {
		return nil, err
	}
	c := &clientServer{node: n, listener: newListener(l, plan.ClientConns, min(maxIdle, plan.ClientConns)), throttle: newThrottle(),
		recentRequests: newRecentRequests(plan.RememberedIDs),
		badRequests:    throttledLog{part: "clients", message: "rejected invalid requests"}}
	c.listener.firstRequestTimeout, c.listener.idleTimeout = cmp.Or(times.FirstRequest, defaultFirstRequestTimeout),
		cmp.Or(times.Idle, defaultClientIdleTimeout)
	c.listener.requestTimeout = cmp.Or(times.Request, defaultRequestTimeout)
	c.listener.receiveBuffer, c.listener.acceptTimes = plan.ClientReceiveBuffer, newAcceptTimes(plan.ClientBacklog)
	c.handler = c.handle
	return c, nil
}

// serve accepts connections until the listener closes.
func (c *clientServer) serve() error {
	for {
		conn, err := c.listener.acceptConn()
		if err != nil {
			return err
		}
		go c.serveConn(conn)
	}
}

func (c *clientServer) handle(ctx *fasthttp.RequestCtx) {
	path, framed := string(ctx.Path()), hasValidFraming(ctx.Request.Header.RawHeaders())
	if conn, ok := ctx.Conn().(*clientConn); ok {
		conn.markRequestRead(framed && (path == pathReady || path == pathSubmit))
	}
	switch {
	case !framed:
		// The bytes that follow may belong to this request's body and must not be parsed as another request
		// (request smuggling).
		if conn, ok := ctx.Conn().(*clientConn); ok {
			conn.framingLost = true
		}
		ctx.SetConnectionClose()
		c.rejectRequest(ctx, fasthttp.StatusBadRequest, "the request has two lengths, or one that cannot be read")
	case path == pathReady && ctx.IsGet():
		if c.node.Phase() == Serving {
			ctx.SetStatusCode(fasthttp.StatusOK)
		} else {
			respondText(ctx, fasthttp.StatusServiceUnavailable, c.node.Phase().String())
		}
	case path == pathSubmit && ctx.IsPost():
		c.submit(ctx)
	case path == pathMetrics && ctx.IsGet():
		ctx.SetContentType(contentTypeMetrics)
		metrics.WriteText(ctx)
	case path == pathReady || path == pathSubmit:
		c.rejectRequest(ctx, fasthttp.StatusMethodNotAllowed, "wrong method")
	default:
		c.rejectRequest(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

// hasValidFraming reports whether a header states the body's length in only one way that HTTP/1.1 allows. fasthttp
// rejects all other faulty lengths, but accepts Transfer-Encoding where Content-Length is given as well.
func hasValidFraming(header []byte) bool {
	hasLength, hasCoding := false, false
	for line := range bytes.Lines(header) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			hasLength = true
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if hasCoding = true; !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return false
			}
		}
	}
	return !hasLength || !hasCoding
}

// submit parses an event, processes it unless its id was submitted recently, and responds to the client.
func (c *clientServer) submit(ctx *fasthttp.RequestCtx) {
	e, status, problem := c.node.parseEvent(ctx)
	if problem != "" {
		c.rejectRequest(ctx, status, problem)
		return
	}
	conn, isClientConn := ctx.Conn().(*clientConn)
	if isClientConn {
		e.clientHasLeft = func() bool { return conn.hasLeft(ctx.Request.Header.IsHTTP11()) }
	}
	response := c.acceptOnce(ctx, e)
	if response.abandoned {
		conn.markDeparted()
		departedRequests.Inc()
		return
	}
	c.respond(ctx, response)
}

// acceptOnce processes an event unless its id was submitted recently, and returns the response for its client. A request whose
// client has left is abandoned; another one under its id, which waits meanwhile, takes its place.
func (c *clientServer) acceptOnce(ctx *fasthttp.RequestCtx, e *event) clientResponse {
	for {
		if e.hasClientLeft() {
			return clientResponse{abandoned: true}
		}
		request, first := c.recentRequests.add(e.id)
		if first {
			response := c.acceptEvent(ctx, e)
			c.recentRequests.complete(request, response)
			return response
		}
		if <-request.done; !request.response.abandoned {
			return request.response
		}
	}
}

// acceptEvent starts processing an event or refuses it, and returns the response for the client.
func (c *clientServer) acceptEvent(ctx *fasthttp.RequestCtx, e *event) clientResponse {
	conn, ok := ctx.Conn().(*clientConn)
	reason := ""
	if ok && !c.sharesIDs(conn) {
		reason = refusedIDShare
	} else {
		reason = c.node.refusalReason(e)
	}
	if reason != "" {
		recordRefusal(e.id, reason)
		return clientResponse{status: statusDeclined, retryAfter: c.node.decisions.fullRetryAfter()}
	}
	if ok && logs.DebugEnabled() {
		logs.Event("clients", e.id).WithField("connection", conn.id).Debug("request received")
	}
	go c.node.runEvent(e)
	return <-e.response
}

// sharesIDs reports whether a connection may have one more event accepted. While many ids are remembered, each connection gets its
// share of those that expire.
func (c *clientServer) sharesIDs(conn *clientConn) bool {
	remembered, limit := c.node.journal.store.CompletedIDs()
	perSecond, limited := membudget.IDRate(remembered, limit, c.listener.connCount(), completedIDRetention)
	if !limited {
		return true
	}
	conn.acceptances.SetLimit(rate.Limit(perSecond))
	return conn.acceptances.Allow()
}

// refuse tells the client of a request that was not read to come again.
func (c *clientServer) refuse(ctx *fasthttp.RequestCtx, reason string) {
	recordRefusal("", reason)
	c.respond(ctx, clientResponse{status: statusDeclined, retryAfter: c.node.decisions.fullRetryAfter()})
}

// respond tells the client that its event was accepted, or when to retry.
func (c *clientServer) respond(ctx *fasthttp.RequestCtx, response clientResponse) {
	ctx.SetStatusCode(response.status)
	if response.status == statusDeclined {
		ctx.Response.Header.Set(headerRetryAfter,
			strconv.FormatFloat(float64(response.retryAfter)/1e9, 'f', retryAfterDecimals, 64))
	}
}

// rejectUnreadable responds to input that could not be read as a request, and returns why its connection closes.
func (c *clientServer) rejectUnreadable(ctx *fasthttp.RequestCtx, err error) clientCloseReason {
	var timeout net.Error
	switch {
	case errors.Is(err, errNoMemory):
		c.refuse(ctx, refusedNoMemory)
		return clientCloseNoMemory
	case errors.Is(err, errHeaderTooLong), errors.Is(err, errTooManyFields):
		c.rejectRequest(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, err.Error())
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		c.rejectRequest(ctx, fasthttp.StatusRequestEntityTooLarge, "the body is over 64 KiB")
	case errors.As(err, &timeout) && timeout.Timeout():
		c.rejectRequest(ctx, fasthttp.StatusRequestTimeout, "the request did not come")
	default:
		c.rejectRequest(ctx, fasthttp.StatusBadRequest, "the request cannot be read")
	}
	return clientCloseUnreadable
}

// rejectRequest responds to an invalid request and counts it for the log.
func (c *clientServer) rejectRequest(ctx *fasthttp.RequestCtx, status int, text string) {
	c.badRequests.record(text)
	respondText(ctx, status, text)
}

func respondText(ctx *fasthttp.RequestCtx, status int, text string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentTypeText)
	ctx.SetBodyString(text + "\n")
}

// parseEvent extracts from a request what the scheduler and the journal need. The body is kept unchanged. Where the
// request is invalid, it returns an HTTP status and a non-empty problem.
func (n *Node) parseEvent(ctx *fasthttp.RequestCtx) (e *event, status int, problem string) {
	header := func(name string) string { return string(ctx.Request.Header.Peek(name)) }
	bad := fasthttp.StatusBadRequest
	e = &event{id: header(headerID), idempotencyKey: header(headerIdempotencyKey)}
	if !isValidIdentifier(e.id, maxIDBytes) {
		return nil, bad, headerID + ": want 1 to 64 plain characters"
	}
	var ok bool
	if e.typ, e.customer, ok = n.resolveNames(header(headerKind), header(headerOwner)); !ok {
		return nil, bad, headerKind + " or " + headerOwner + " is unknown"
	}
	if e.idempotencyKey != "" && !isValidIdentifier(e.idempotencyKey, maxIdempotencyKeyBytes) {
		return nil, bad, headerIdempotencyKey + ": want at most 256 plain characters"
	}
	if e.idempotencyKey == "" && n.requiresIdempotencyKey(e.typ) {
		return nil, bad, headerIdempotencyKey + " is missing"
	}
	left, err := strconv.ParseUint(header(headerDeadline), 10, 63)
	if err != nil || left > uint64(maxClientDeadline/time.Millisecond) {
		return nil, bad, headerDeadline + ": want whole milliseconds"
	}
	if e.dest, ok = parseDest(header(headerEnvelope)); !ok {
		return nil, bad, headerEnvelope + ": want dest=NUMBER"
	}
	e.body = append([]byte(nil), ctx.PostBody()...)
	if conn, ok := ctx.Conn().(*clientConn); ok { // the deadline counts from the arrival of the request
		left -= uint64(min(conn.receiveDelay().Milliseconds(), int64(left)))
	}
	e.monoDeadline, e.deadlineTimeOfDay = n.clock.now()+int64(left)*1e6, n.clock.timeOfDay()+int64(left)*1e6
	e.safety = n.safetyOf(e.typ)
	e.reopenable = n.reopenable(e)
	e.request = lifecycle.NewRequest(e.id, e.monoDeadline, n.repeatable(e.typ))
	e.updates, e.response = make(chan eventUpdate, updateBuffer), make(chan clientResponse, 1)
	return e, 0, ""
}

func parseDest(envelope string) (uint32, bool) {
	isSeparator := func(r rune) bool { return strings.ContainsRune(",; ", r) }
	for part := range strings.FieldsFuncSeq(envelope, isSeparator) {
		if value, ok := strings.CutPrefix(part, envelopeDestKey+"="); ok {
			dest, err := strconv.ParseUint(value, 10, 32)
			return uint32(dest), err == nil
		}
	}
	return 0, false
}

// isValidIdentifier reports whether an id or idempotency key has 1 to maxBytes allowed characters. Both are written
// into line-based formats and JSON, where space, quotes, backslashes and control characters have a meaning of their own.
func isValidIdentifier(text string, maxBytes int) bool {
	for i := range len(text) {
		if b := text[i]; b <= ' ' || b > '~' || b == '"' || b == '\\' {
			return false
		}
	}
	return len(text) > 0 && len(text) <= maxBytes
}
