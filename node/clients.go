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
	headSize     = 4096                    // bytes of a request's head; a longer one is answered 431
	readWithin   = 2 * time.Second         // a request not whole by then is nobody's: its client waits 400 ms
	firstWithin  = 2500 * time.Millisecond // the first counts from the connection: an error is owed within 3 s
	clientIdle   = 5 * time.Second         // clients open another when they come again; some never do
	writeWithin  = 2 * time.Second         // a client that does not read is long gone: it waits 400 ms
	longestID    = 64                      // bytes; the journal counts on it
	longestMark  = 256                     // bytes
	longestLeft  = 24 * time.Hour          // no event may be delivered for longer
	retryDigits  = 3                       // Retry-After is told to the millisecond
	typePlain    = "text/plain; charset=utf-8"
	pathReady    = "/up"
	pathHandIn   = "/api"
	pathMetrics  = "/metrics"
	typeMetrics  = "text/plain; version=0.0.4; charset=utf-8"
	envelopeDest = "dest"
)

// clients serves those who hand events in.
type clients struct {
	node     *Node
	listener *listener
	answer   func(*fasthttp.RequestCtx) // a request that could be read
	bad      tally
	received recentRequests
}

// Buffers are only held while a request is read and answered: most connections rest most of the time.
var (
	readers  = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, headSize) }}
	contexts = sync.Pool{New: func() any { return new(fasthttp.RequestCtx) }}
)

// quiet takes fasthttp's lines, one for each connection that fails. Danger: bad clients would fill the log.
type quiet struct{}

func (quiet) Printf(format string, args ...any) { logs.Part("clients").Debugf(format, args...) }

func openClients(n *Node, address string, times ClientTimes, most, keep int) (*clients, error) {
	l, err := openSocket(func() (net.Listener, error) { return net.Listen("tcp", address) })
	if err != nil {
		return nil, err
	}
	c := &clients{node: n, listener: newListener(l, most, keep),
		bad: tally{part: "clients", what: "refused what is no event"}}
	c.listener.first, c.listener.between = cmp.Or(times.First, firstWithin), cmp.Or(times.Between, clientIdle)
	c.listener.request = cmp.Or(times.Whole, readWithin)
	c.answer = c.handle
	return c, nil
}

// serve accepts connections until the listener closes.
func (c *clients) serve() error {
	for {
		g, err := c.listener.accept()
		if err != nil {
			return err
		}
		go c.attend(g)
	}
}

// attend serves one connection to its end.
func (c *clients) attend(g *clientConn) {
	defer g.end()
	for g.rest() && c.answerAll(g) {
		g.idle()
	}
}

// answerAll answers a request that begins to come, and those that were read along with it: what was read is
// not left unanswered. It tells whether the connection stays open.
func (c *clients) answerAll(g *clientConn) bool {
	in, ctx := readers.Get().(*bufio.Reader), contexts.Get().(*fasthttp.RequestCtx)
	defer readers.Put(in)
	defer contexts.Put(ctx)
	in.Reset(g)
	defer in.Reset(nil)
	ctx.Init2(g, quiet{}, true)
	for {
		if !c.answerOne(ctx, in, g) {
			return false
		}
		if in.Buffered() == 0 {
			return true
		}
		g.next()
	}
}

// answerOne reads and answers one request. It tells whether the connection stays open: one that is busy
// while the delivery node drains ends with the last request that was read from it.
func (c *clients) answerOne(ctx *fasthttp.RequestCtx, in *bufio.Reader, g *clientConn) bool {
	ctx.Request.Reset()
	ctx.Response.Reset()
	switch err := readRequest(&ctx.Request, in, g); {
	case err == nil:
		c.answer(ctx)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET):
		g.endsFor(endClient)
		return false
	default:
		g.endsFor(endUnreadable)
		g.unframed = true
		c.refuse(ctx, err)
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
	g.SetWriteDeadline(time.Now().Add(writeWithin))
	_, err := g.Write(out.B)
	g.state.Answer() // whole, or its client has gone
	switch {
	case err != nil:
		g.endsFor(endUnwritten)
	case !ctx.Response.ConnectionClose():
		return true
	case draining:
		g.endsFor(endDraining)
	default:
		g.endsFor(endByHeader)
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
	return req.ContinueReadBody(in, mostBody, false)
}

func (c *clients) handle(ctx *fasthttp.RequestCtx) {
	path, framed := string(ctx.Path()), isFramed(ctx.Request.Header.RawHeaders())
	if g, ok := ctx.Conn().(*clientConn); ok {
		g.read(framed && (path == pathReady || path == pathHandIn))
	}
	switch {
	case !framed:
		// What stands behind it may be of its body, and pass for a request that nobody made.
		if g, ok := ctx.Conn().(*clientConn); ok {
			g.unframed = true
		}
		ctx.SetConnectionClose()
		c.turnAway(ctx, fasthttp.StatusBadRequest, "the request has two lengths, or one that cannot be read")
	case path == pathReady && ctx.IsGet():
		if c.node.Phase() == Serving {
			ctx.SetStatusCode(fasthttp.StatusOK)
		} else {
			plain(ctx, fasthttp.StatusServiceUnavailable, c.node.Phase().String())
		}
	case path == pathHandIn && ctx.IsPost():
		c.handIn(ctx)
	case path == pathMetrics && ctx.IsGet():
		ctx.SetContentType(typeMetrics)
		metrics.Write(ctx)
	case path == pathReady || path == pathHandIn:
		c.turnAway(ctx, fasthttp.StatusMethodNotAllowed, "wrong method")
	default:
		c.turnAway(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

// isFramed tells whether a head names its body's length in one way only, and as HTTP/1.1 has it. fasthttp
// refuses all else that is wrong with lengths, but takes the coding where both are given.
func isFramed(head []byte) bool {
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

// handIn reads an event and answers its client.
func (c *clients) handIn(ctx *fasthttp.RequestCtx) {
	e, status, problem := c.node.readEvent(ctx)
	if problem != "" {
		c.turnAway(ctx, status, problem)
		return
	}
	request, first := c.received.add(e.id)
	if first {
		c.received.complete(request, c.takeOn(ctx, e))
	}
	<-request.done
	c.reply(ctx, request.answer)
}

// takeOn takes an event on, or refuses it, and returns what its client hears.
func (c *clients) takeOn(ctx *fasthttp.RequestCtx, e *event) answer {
	if reason := c.node.refuses(e); reason != "" {
		logRefusal(e.id, reason)
		return answer{status: statusDeclined, comeBack: c.node.desk.full()}
	}
	if g, ok := ctx.Conn().(*clientConn); ok && logs.Debugging() {
		logs.Event("clients", e.id).WithField("connection", g.id).Debug("a request came")
	}
	go c.node.life(e)
	return <-e.answer
}

// reply tells a client that its event is taken on, or when to come back.
func (c *clients) reply(ctx *fasthttp.RequestCtx, a answer) {
	ctx.SetStatusCode(a.status)
	if a.status == statusDeclined {
		ctx.Response.Header.Set(headRetry, strconv.FormatFloat(float64(a.comeBack)/1e9, 'f', retryDigits, 64))
	}
}

// refuse answers what is no request.
func (c *clients) refuse(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		c.turnAway(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, "the head is too long")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		c.turnAway(ctx, fasthttp.StatusRequestEntityTooLarge, "the body is over 64 KiB")
	case errors.As(err, &timeout) && timeout.Timeout():
		c.turnAway(ctx, fasthttp.StatusRequestTimeout, "the request did not come")
	default:
		c.turnAway(ctx, fasthttp.StatusBadRequest, "the request cannot be read")
	}
}

// turnAway answers a client's mistake.
func (c *clients) turnAway(ctx *fasthttp.RequestCtx, status int, text string) {
	c.bad.note(text)
	plain(ctx, status, text)
}

func plain(ctx *fasthttp.RequestCtx, status int, text string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType(typePlain)
	ctx.SetBodyString(text + "\n")
}

// readEvent takes out of a request what decisions and the journal need; the body is kept as it came.
func (n *Node) readEvent(ctx *fasthttp.RequestCtx) (e *event, status int, problem string) {
	head := func(name string) string { return string(ctx.Request.Header.Peek(name)) }
	bad := fasthttp.StatusBadRequest
	e = &event{id: head(headID), mark: head(headMark)}
	if !isWord(e.id, longestID) {
		return nil, bad, headID + ": want 1 to 64 plain characters"
	}
	var ok bool
	if e.typ, e.customer, ok = n.find(head(headKind), head(headOwner)); !ok {
		return nil, bad, headKind + " or " + headOwner + " is unknown"
	}
	if e.mark != "" && !isWord(e.mark, longestMark) {
		return nil, bad, headMark + ": want at most 256 plain characters"
	}
	if e.mark == "" && n.marked(e.typ) {
		return nil, bad, headMark + " is missing"
	}
	left, err := strconv.ParseUint(head(headDeadline), 10, 63)
	if err != nil || left > uint64(longestLeft/time.Millisecond) {
		return nil, bad, headDeadline + ": want whole milliseconds"
	}
	if e.dest, ok = readDest(head(headEnvelope)); !ok {
		return nil, bad, headEnvelope + ": want dest=NUMBER"
	}
	e.body = append([]byte(nil), ctx.PostBody()...)
	if g, ok := ctx.Conn().(*clientConn); ok { // the time counts from when the request came
		left -= uint64(min(g.delay().Milliseconds(), int64(left)))
	}
	e.due, e.deadline = n.clock.now()+int64(left)*1e6, n.clock.day()+int64(left)*1e6
	e.safety = n.safety(e.typ)
	e.request = lifecycle.NewRequest(e.id, e.due, n.repeatable(e.typ))
	e.steps, e.answer = make(chan step, maxSteps), make(chan answer, 1)
	return e, 0, ""
}

func readDest(envelope string) (uint32, bool) {
	between := func(r rune) bool { return strings.ContainsRune(",; ", r) }
	for part := range strings.FieldsFuncSeq(envelope, between) {
		if value, ok := strings.CutPrefix(part, envelopeDest+"="); ok {
			dest, err := strconv.ParseUint(value, 10, 32)
			return uint32(dest), err == nil
		}
	}
	return 0, false
}

// isWord: danger: ids and marks go into lines and JSON, where other characters would mean something else.
func isWord(text string, most int) bool {
	for i := range len(text) {
		if b := text[i]; b <= ' ' || b > '~' || b == '"' || b == '\\' {
			return false
		}
	}
	return len(text) > 0 && len(text) <= most
}
