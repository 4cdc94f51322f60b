package node

import (
	"bufio"
	"errors"
	"io"
	"syscall"

	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"

	"jaspersill/logs"
)

// serveConn serves one connection until it closes.
func (c *clientServer) serveConn(conn *clientConn) {
	defer conn.closeGracefully()
	for conn.awaitRequest() && c.serveBuffered(conn) {
		conn.markIdle()
	}
}

// serveBuffered answers the request that has started to arrive and any pipelined requests that were read into the
// buffer with it, so that no request that was read is left unanswered. It reports whether the connection stays open.
func (c *clientServer) serveBuffered(conn *clientConn) bool {
	in := readerPool.Get().(*bufio.Reader)
	defer readerPool.Put(in)
	in.Reset(conn)
	defer in.Reset(nil)
	for {
		if !c.serveRequest(in, conn) {
			return false
		}
		if in.Buffered() == 0 {
			return !conn.isEvicted()
		}
		conn.startNextRequest()
	}
}

// serveRequest reads and answers one request. It reports whether the connection stays open.
func (c *clientServer) serveRequest(in *bufio.Reader, conn *clientConn) bool {
	out := bytebufferpool.Get()
	defer bytebufferpool.Put(out)
	answer := c.answerRequest(out, in, conn)
	if answer.none {
		return false
	}
	if answer.unproductive { // nothing but the response is held meanwhile
		c.throttle.pause(conn, answer.closes != "")
	}
	if err := conn.respond(out.B); err != nil {
		conn.setCloseReason(clientCloseNotWritten)
		return false
	}
	conn.setCloseReason(answer.closes)
	return answer.closes == ""
}

// answer is how a request was answered.
type answer struct {
	none         bool              // no response is due, as the client has left
	unproductive bool              // no event was accepted
	closes       clientCloseReason // why the connection closes after the response, empty if it stays open
}

// answerRequest reads a request and writes the response to it into a buffer. While the node drains, a connection closes after the
// last request that was already read from it.
func (c *clientServer) answerRequest(out *bytebufferpool.ByteBuffer, in *bufio.Reader, conn *clientConn) answer {
	header, err := awaitHeader(in)
	if err == nil {
		err = c.reserveMemory(conn, header)
	}
	defer c.releaseMemory(conn)
	ctx := contextPool.Get().(*fasthttp.RequestCtx)
	defer releaseContext(ctx)
	ctx.Init2(conn, fasthttpLogger{}, true)
	if err == nil {
		err = readRequest(&ctx.Request, in, conn)
	}
	var result answer
	switch {
	case err == nil:
		if c.handler(ctx); conn.departed {
			conn.setCloseReason(clientCloseByClient)
			return answer{none: true}
		}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET):
		conn.setCloseReason(clientCloseByClient)
		return answer{none: true}
	default:
		conn.framingLost = true
		result.closes = c.rejectUnreadable(ctx, err)
	}
	switch draining := c.node.Phase() != Serving && in.Buffered() == 0; {
	case result.closes != "":
	case ctx.Request.Header.ConnectionClose(), !ctx.Request.Header.IsHTTP11(), ctx.Response.ConnectionClose():
		result.closes = clientCloseByHeader
	case draining:
		result.closes = clientCloseDraining
	}
	if result.closes != "" {
		ctx.SetConnectionClose()
	}
	result.unproductive = ctx.Response.StatusCode() != statusAccepted
	ctx.Response.SkipBody = ctx.IsHead()
	if _, err := ctx.Response.WriteTo(out); err != nil {
		logs.Part("clients").WithError(err).Error("failed to serialize the HTTP response")
		return answer{none: true}
	}
	return result
}

// releaseContext gives a context back to the pool, with nothing of its request.
func releaseContext(ctx *fasthttp.RequestCtx) {
	ctx.Request.Reset()
	ctx.Response.Reset()
	contextPool.Put(ctx)
}

// readRequest reads a request whose header is in the buffer. It answers "Expect: 100-continue" with 100 Continue.
func readRequest(req *fasthttp.Request, in *bufio.Reader, conn *clientConn) error {
	if err := req.Header.Read(in); err != nil {
		return err
	}
	if req.MayContinue() {
		if _, err := io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	return req.ContinueReadBody(in, maxBodyBytes, false)
}
