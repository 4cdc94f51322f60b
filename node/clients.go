package node

import (
	"errors"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

const (
	headSize     = 4096             // bytes of a request's head; a longer one is answered 431
	refuseBody   = 4 * mostBody     // a body up to this is read and answered; a longer one ends its connection
	readWithin   = 2 * time.Second  // a request still not whole is nobody's any more: its client waits 400 ms
	clientIdle   = 10 * time.Minute // clients keep their connections
	writeWithin  = 2 * time.Second  // a client that does not read is long gone: it waits 400 ms
	longestID    = 64               // bytes; the journal counts on it
	longestMark  = 256              // bytes
	longestLeft  = 24 * time.Hour   // no event may be delivered for longer
	retryDigits  = 3                // Retry-After is told to the millisecond
	typePlain    = "text/plain; charset=utf-8"
	pathReady    = "/up"
	pathHandIn   = "/api"
	envelopeDest = "dest"
)

// clients serves those who hand events in.
type clients struct {
	node   *Node
	server *fasthttp.Server
	door   *doorman
}

func openClients(n *Node, listen string, most int) (*clients, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	c := &clients{node: n, door: newDoorman(l, most)}
	c.server = &fasthttp.Server{
		Handler: c.handle, ErrorHandler: c.refuse, ReadBufferSize: headSize, WriteBufferSize: 1024,
		ReadTimeout: readWithin, WriteTimeout: writeWithin, IdleTimeout: clientIdle, MaxRequestBodySize: refuseBody,
		ReduceMemoryUsage: true, NoDefaultServerHeader: true, NoDefaultDate: true,
		DisablePreParseMultipartForm: true,
		Concurrency:                  most + 16, Logger: logrus.StandardLogger(),
		ConnState: func(conn net.Conn, s fasthttp.ConnState) {
			if g, ok := conn.(*guest); ok && s == fasthttp.StateIdle {
				g.idle()
			}
		},
	}
	return c, nil
}

func (c *clients) serve() error { return c.server.Serve(c.door) }

func (c *clients) handle(ctx *fasthttp.RequestCtx) {
	if c.node.Phase() != Serving { // what comes while draining is answered, and told to go elsewhere
		ctx.SetConnectionClose()
	}
	switch path := string(ctx.Path()); {
	case path == pathReady && ctx.IsGet():
		if c.node.Phase() == Serving {
			ctx.SetStatusCode(fasthttp.StatusOK)
		} else {
			plain(ctx, fasthttp.StatusServiceUnavailable, c.node.Phase().String())
		}
	case path == pathHandIn && ctx.IsPost():
		c.handIn(ctx)
	case path == pathReady || path == pathHandIn:
		plain(ctx, fasthttp.StatusMethodNotAllowed, "wrong method")
	default:
		plain(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

// handIn reads an event and waits for its life to say what its client hears.
func (c *clients) handIn(ctx *fasthttp.RequestCtx) {
	e, status, problem := c.node.readEvent(ctx)
	if problem != "" {
		plain(ctx, status, problem)
		return
	}
	if !c.node.admit() {
		c.reply(ctx, answer{status: statusDeclined, comeBack: c.node.desk.full()})
		return
	}
	go c.node.life(e)
	c.reply(ctx, <-e.answer)
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
		plain(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, "the head is too long")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		plain(ctx, fasthttp.StatusRequestEntityTooLarge, "the body is too long")
	case errors.As(err, &timeout) && timeout.Timeout():
		plain(ctx, fasthttp.StatusRequestTimeout, "the request did not come")
	default:
		plain(ctx, fasthttp.StatusBadRequest, "the request cannot be read")
	}
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
	left, err := strconv.ParseFloat(head(headDeadline), 64)
	if err != nil || math.IsNaN(left) || left < 0 || left > float64(longestLeft/time.Millisecond) {
		return nil, bad, headDeadline + ": want milliseconds"
	}
	if e.dest, ok = readDest(head(headEnvelope)); !ok {
		return nil, bad, headEnvelope + ": want dest=NUMBER"
	}
	body := ctx.PostBody()
	if len(body) > mostBody {
		return nil, fasthttp.StatusRequestEntityTooLarge, "the body is over 64 KiB"
	}
	e.body = append([]byte(nil), body...)
	e.due, e.deadline = n.clock.now()+int64(left*1e6), wall()+int64(left*1e6)
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
