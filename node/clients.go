package node

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"

	"jaspersill/lifecycle"
	"jaspersill/logs"
	"jaspersill/metrics"
)

const (
	maxHeaderBytes             = 4096                    // bytes of a request's head; a longer one is answered 431
	defaultRequestTimeout      = 2 * time.Second         // a request not whole by then is nobody's: its client waits 400 ms
	defaultFirstRequestTimeout = 2500 * time.Millisecond // the first counts from the connection: an error is owed within 3 s
	defaultClientIdleTimeout   = 5 * time.Second         // clients open another when they come again; some never do
	clientWriteTimeout         = 2 * time.Second         // a client that does not read is long gone: it waits 400 ms
	maxIDBytes                 = 64                      // bytes; the journal counts on it
	maxIdempotencyKeyBytes     = 256                     // bytes
	maxClientDeadline          = 24 * time.Hour          // no event may be delivered for longer
	retryAfterDecimals         = 3                       // Retry-After is told to the millisecond
	contentTypeText            = "text/plain; charset=utf-8"
	pathReady                  = "/up"
	pathSubmit                 = "/api"
	pathMetrics                = "/metrics"
	contentTypeMetrics         = "text/plain; version=0.0.4; charset=utf-8"
	envelopeDestKey            = "dest"
)

// clientServer serves those who hand events in.
type clientServer struct {
	node           *Node
	listener       *listener
	handler        func(*fasthttp.RequestCtx) // a request that could be read
	badRequests    throttledLog
	recentRequests recentRequests
}

// Buffers are only held while a request is read and answered: most connections rest most of the time.
var (
	readerPool  = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxHeaderBytes) }}
	contextPool = sync.Pool{New: func() any { return new(fasthttp.RequestCtx) }}
)

// fasthttpLogger takes fasthttp's lines, one for each connection that fails. Danger: bad clients would fill the log.
type fasthttpLogger struct{}

func (fasthttpLogger) Printf(format string, args ...any) {
	logs.Part("clients").Debugf(format, args...)
}

func newClientServer(n *Node, address string, times ClientTimeouts, most, keep int) (*clientServer, error) {
	l, err := openSocket(func() (net.Listener, error) { return net.Listen("tcp", address) })
	if err != nil {
		return nil, err
	}
	c := &clientServer{node: n, listener: newListener(l, most, keep),
		badRequests: throttledLog{part: "clients", message: "refused what is no event"}}
	c.listener.firstRequestTimeout, c.listener.idleTimeout = cmp.Or(times.FirstRequest, defaultFirstRequestTimeout), cmp.Or(times.Idle, defaultClientIdleTimeout)
	c.listener.requestTimeout = cmp.Or(times.Request, defaultRequestTimeout)
	c.handler = c.handle
	return c, nil
}

// serve accepts connections until the listener closes.
func (c *clientServer) serve() error {
	for {
		g, err := c.listener.acceptConn()
		if err != nil {
			return err
		}
		go c.serveConn(g)
	}
}

// serveConn serves one connection to its end.
func (c *clientServer) serveConn(g *clientConn) {
	defer g.closeGracefully()
	for g.awaitRequest() && c.serveBuffered(g) {
		g.markIdle()
	}
}

// serveBuffered answers a request that begins to come, and those that were read along with it: what was read is
// not left unanswered. It tells whether the connection stays open.
func (c *clientServer) serveBuffered(g *clientConn) bool {
	in, ctx := readerPool.Get().(*bufio.Reader), contextPool.Get().(*fasthttp.RequestCtx)
	defer readerPool.Put(in)
	defer contextPool.Put(ctx)
	in.Reset(g)
	defer in.Reset(nil)
	ctx.Init2(g, fasthttpLogger{}, true)
	for {
		if !c.serveRequest(ctx, in, g) {
			return false
		}
		if in.Buffered() == 0 {
			return true
		}
		g.startNextRequest()
	}
}

// serveRequest reads and answers one request. It tells whether the connection stays open: one that is busy
// while the delivery node drains ends with the last request that was read from it.
func (c *clientServer) serveRequest(ctx *fasthttp.RequestCtx, in *bufio.Reader, g *clientConn) bool {
	ctx.Request.Reset()
	ctx.Response.Reset()
	switch err := readRequest(&ctx.Request, in, g); {
	case err == nil:
		c.handler(ctx)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET):
		g.setCloseReason(clientCloseByClient)
		return false
	default:
		g.setCloseReason(clientCloseUnreadable)
		g.framingLost = true
		c.rejectUnreadable(ctx, err)
		ctx.SetConnectionClose()
	}
	draining := c.node.Phase() != Serving && in.Buffered() == 0
	if ctx.Request.Header.ConnectionClose() || !ctx.Request.Header.IsHTTP11() || draining {
		ctx.SetConnectionClose()
	}
	ctx.Response.SkipBody = ctx.IsHead()
	out := bytebufferpool.Get()
	defer bytebufferpool.Put(out)
	if _, err := ctx.Response.WriteTo(out); err != nil {
		logs.Part("clients").WithError(err).Error("an answer cannot be written as HTTP")
		return false
	}
	g.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	_, err := g.Write(out.B)
	g.state.MarkAnswered() // whole, or its client has gone
	switch {
	case err != nil:
		g.setCloseReason(clientCloseNotWritten)
	case !ctx.Response.ConnectionClose():
		return true
	case draining:
		g.setCloseReason(clientCloseDraining)
	default:
		g.setCloseReason(clientCloseByHeader)
	}
	return false
}

// readRequest reads a request whole; a client that asks first whether it may send its body is told to.
func readRequest(req *fasthttp.Request, in *bufio.Reader, g *clientConn) error {
	if err := req.Header.Read(in); err != nil {
		return err
	}
	if req.MayContinue() {
		if _, err := io.WriteString(g, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	return req.ContinueReadBody(in, maxBodyBytes, false)
}

func (c *clientServer) handle(ctx *fasthttp.RequestCtx) {
	path, framed := string(ctx.Path()), hasValidFraming(ctx.Request.Header.RawHeaders())
	if g, ok := ctx.Conn().(*clientConn); ok {
		g.markRequestRead(framed && (path == pathReady || path == pathSubmit))
	}
	switch {
	case !framed:
		// What stands behind it may be of its body, and pass for a request that nobody made.
		if g, ok := ctx.Conn().(*clientConn); ok {
			g.framingLost = true
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
		metrics.Write(ctx)
	case path == pathReady || path == pathSubmit:
		c.rejectRequest(ctx, fasthttp.StatusMethodNotAllowed, "wrong method")
	default:
		c.rejectRequest(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

// hasValidFraming tells whether a head names its body's length in one way only, and as HTTP/1.1 has it. fasthttp
// refuses all else that is wrong with lengths, but takes the coding where both are given.
func hasValidFraming(head []byte) bool {
	length, coding := false, false
	for line := range bytes.Lines(head) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			length = true
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if coding = true; !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return false
			}
		}
	}
	return !length || !coding
}

// submit reads an event and answers its client.
func (c *clientServer) submit(ctx *fasthttp.RequestCtx) {
	e, status, problem := c.node.parseEvent(ctx)
	if problem != "" {
		c.rejectRequest(ctx, status, problem)
		return
	}
	request, first := c.recentRequests.add(e.id)
	if first {
		c.recentRequests.complete(request, c.acceptEvent(ctx, e))
	}
	<-request.done
	c.respond(ctx, request.answer)
}

// acceptEvent takes an event on, or refuses it, and returns what its client hears.
func (c *clientServer) acceptEvent(ctx *fasthttp.RequestCtx, e *event) clientResponse {
	if reason := c.node.refusalReason(e); reason != "" {
		recordRefusal(e.id, reason)
		return clientResponse{status: statusDeclined, retryAfter: c.node.decisions.fullRetryAfter()}
	}
	if g, ok := ctx.Conn().(*clientConn); ok && logs.Debugging() {
		logs.Event("clients", e.id).WithField("connection", g.id).Debug("a request came")
	}
	go c.node.runEvent(e)
	return <-e.response
}

// respond tells a client that its event is taken on, or when to come back.
func (c *clientServer) respond(ctx *fasthttp.RequestCtx, a clientResponse) {
	ctx.SetStatusCode(a.status)
	if a.status == statusDeclined {
		ctx.Response.Header.Set(headerRetryAfter, strconv.FormatFloat(float64(a.retryAfter)/1e9, 'f', retryAfterDecimals, 64))
	}
}

// rejectUnreadable answers what is no request.
func (c *clientServer) rejectUnreadable(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		c.rejectRequest(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, "the head is too long")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		c.rejectRequest(ctx, fasthttp.StatusRequestEntityTooLarge, "the body is over 64 KiB")
	case errors.As(err, &timeout) && timeout.Timeout():
		c.rejectRequest(ctx, fasthttp.StatusRequestTimeout, "the request did not come")
	default:
		c.rejectRequest(ctx, fasthttp.StatusBadRequest, "the request cannot be read")
	}
}

// rejectRequest answers a client's mistake.
func (c *clientServer) rejectRequest(ctx *fasthttp.RequestCtx, status int, text string) {
	c.badRequests.record(text)
	respondText(ctx, status, text)
}

func respondText(ctx *fasthttp.RequestCtx, status int, text string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentTypeText)
	ctx.SetBodyString(text + "\n")
}

// parseEvent takes out of a request what decisions and the journal need; the body is kept as it came.
func (n *Node) parseEvent(ctx *fasthttp.RequestCtx) (e *event, status int, problem string) {
	head := func(name string) string { return string(ctx.Request.Header.Peek(name)) }
	bad := fasthttp.StatusBadRequest
	e = &event{id: head(headerID), idempotencyKey: head(headerIdempotencyKey)}
	if !isValidIdentifier(e.id, maxIDBytes) {
		return nil, bad, headerID + ": want 1 to 64 plain characters"
	}
	var ok bool
	if e.typ, e.customer, ok = n.resolveNames(head(headerKind), head(headerOwner)); !ok {
		return nil, bad, headerKind + " or " + headerOwner + " is unknown"
	}
	if e.idempotencyKey != "" && !isValidIdentifier(e.idempotencyKey, maxIdempotencyKeyBytes) {
		return nil, bad, headerIdempotencyKey + ": want at most 256 plain characters"
	}
	if e.idempotencyKey == "" && n.requiresIdempotencyKey(e.typ) {
		return nil, bad, headerIdempotencyKey + " is missing"
	}
	left, err := strconv.ParseUint(head(headerDeadline), 10, 63)
	if err != nil || left > uint64(maxClientDeadline/time.Millisecond) {
		return nil, bad, headerDeadline + ": want whole milliseconds"
	}
	if e.dest, ok = parseDest(head(headerEnvelope)); !ok {
		return nil, bad, headerEnvelope + ": want dest=NUMBER"
	}
	e.body = append([]byte(nil), ctx.PostBody()...)
	if g, ok := ctx.Conn().(*clientConn); ok { // the time counts from when the request came
		left -= uint64(min(g.receiveDelay().Milliseconds(), int64(left)))
	}
	e.monoDeadline, e.wallDeadline = n.clock.now()+int64(left)*1e6, n.clock.timeOfDay()+int64(left)*1e6
	e.safety = n.safetyOf(e.typ)
	e.request = lifecycle.NewRequest(e.id, e.monoDeadline, n.repeatable(e.typ))
	e.updates, e.response = make(chan eventUpdate, updateBuffer), make(chan clientResponse, 1)
	return e, 0, ""
}

func parseDest(envelope string) (uint32, bool) {
	between := func(r rune) bool { return strings.ContainsRune(",; ", r) }
	for part := range strings.FieldsFuncSeq(envelope, between) {
		if value, ok := strings.CutPrefix(part, envelopeDestKey+"="); ok {
			dest, err := strconv.ParseUint(value, 10, 32)
			return uint32(dest), err == nil
		}
	}
	return 0, false
}

// isValidIdentifier: danger: ids and marks go into lines and JSON, where other characters would mean something else.
func isValidIdentifier(text string, most int) bool {
	for i := range len(text) {
		if b := text[i]; b <= ' ' || b > '~' || b == '"' || b == '\\' {
			return false
		}
	}
	return len(text) > 0 && len(text) <= most
}
