package hostile

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// behaviors holds what a client does on its connection, by pattern.
var behaviors = map[Pattern]func(context.Context, *client){
	SlowHeads:       writeHeaderSlowly,
	StalledBodies:   stallInBody,
	ManyFields:      stallBehindManyFields,
	StalledChunks:   stallInChunks,
	UnreadResponses: neverReadResponses,
	InvalidRequests: pipelined(invalidRequest),
	ReadyChecks:     pipelined(readyCheck),
	NewIDs:          pipelined(func(c *client) string { return c.event(smallBody) }),
	NewNames:        pipelined(eventOfNewNames),
	LargeBodies:     pipelined(func(c *client) string { return c.event(largeBody) }),
	HugeBodies:      writeHugeBody,
	IdleConnections: sendOnceAndStay,
}

const (
	largeBody        = 64 << 10 // bytes, the largest body that the protocol allows
	smallBody        = 100
	hugeBody         = 60 << 20
	pipelineDepth    = 64   // requests written without waiting for a response
	maxHeader        = 4000 // bytes; fits into the header size that the node accepts
	slowWriteSize    = 8    // bytes
	slowWritePause   = 20 * time.Millisecond
	stalledBodyShare = 0.97 // of a large body that is written before it stops
)

// lastID makes ids unique in the process.
var lastID atomic.Uint64

// idPrefix marks the ids of hostile clients.
const idPrefix = "hostile-"

// newID returns an id that no client of this process used before.
func newID() string { return fmt.Sprintf("%s%015x", idPrefix, lastID.Add(1)) }

// IsID reports whether an id is one of a hostile client.
func IsID(id string) bool { return strings.HasPrefix(id, idPrefix) }

// header returns the header of an event, up to the last field.
func (c *client) header(id string) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: node\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: %s\r\nReq-Deadline-Ms: %d\r\n"+
		"Idempotency-Key: k-%s\r\nX-Envelope: dest=%d\r\n", id, c.Template.Kind, c.Template.Owner,
		c.Template.Deadline.Milliseconds(), id, c.Template.Dest)
}

// event returns a complete event with a new id.
func (c *client) event(size int) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", c.header(newID()), size, strings.Repeat("b", size))
}

func invalidRequest(c *client) string {
	return "POST /api HTTP/1.1\r\nHost: node\r\nReq-Id: " + newID() + "\r\nContent-Length: 2\r\n\r\n{}"
}

func readyCheck(*client) string { return "GET /up HTTP/1.1\r\nHost: node\r\n\r\n" }

func eventOfNewNames(c *client) string {
	id := newID()
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: node\r\nReq-Id: %s\r\nReq-Kind: kind-%s\r\nReq-Owner: owner-%s\r\n"+
		"Req-Deadline-Ms: 1000\r\nX-Envelope: dest=%d\r\nContent-Length: 2\r\n\r\n{}", id, id, id, c.Template.Dest)
}

// writeHeaderSlowly writes the fields of a header a few bytes at a time, until the node closes the connection.
func writeHeaderSlowly(ctx context.Context, c *client) {
	text := c.header(newID())
	for i := 0; ; i++ {
		text += fmt.Sprintf("X-%d: y\r\n", i)
		for len(text) > slowWriteSize {
			if _, err := io.WriteString(c.conn, text[:slowWriteSize]); err != nil {
				return
			}
			text = text[slowWriteSize:]
			if sleep(ctx, slowWritePause); ctx.Err() != nil {
				return
			}
		}
	}
}

// writeAndWait writes the beginning of a request and then waits until the node closes the connection.
func (c *client) writeAndWait(text string) {
	if _, err := io.WriteString(c.conn, text); err != nil {
		return
	}
	io.Copy(io.Discard, c.conn)
}

// stalledBody returns the part of a large body that is written before it stops.
func stalledBody() string {
	size := float64(largeBody) * stalledBodyShare
	return strings.Repeat("b", int(size))
}

func stallInBody(_ context.Context, c *client) {
	c.writeAndWait(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", c.header(newID()), largeBody, stalledBody()))
}

// stallBehindManyFields fills the header with fields of four bytes, "a:" and the end of the line.
func stallBehindManyFields(_ context.Context, c *client) {
	text := c.header(newID()) + fmt.Sprintf("Content-Length: %d\r\n", largeBody)
	text += strings.Repeat("a:\r\n", (maxHeader-len(text))/4) + "\r\n"
	c.writeAndWait(text + "b")
}

func stallInChunks(_ context.Context, c *client) {
	const chunkSize = 1024
	text := c.header(newID()) + "Transfer-Encoding: chunked\r\n\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkSize, strings.Repeat("b", chunkSize))
	c.writeAndWait(text + strings.Repeat(chunk, len(stalledBody())/chunkSize))
}

// neverReadResponses writes invalid requests for as long as the node takes them.
func neverReadResponses(_ context.Context, c *client) {
	text := strings.Repeat(invalidRequest(c), pipelineDepth)
	for {
		if _, err := io.WriteString(c.conn, text); err != nil {
			return
		}
		c.counts.requests.Add(pipelineDepth)
	}
}

// pipelined returns a behavior that keeps pipelineDepth requests outstanding and reads all responses.
func pipelined(request func(*client) string) func(context.Context, *client) {
	return func(_ context.Context, c *client) {
		slots := make(chan struct{}, pipelineDepth)
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			in := bufio.NewReader(c.conn)
			for c.readResponse(in) == nil {
				<-slots
			}
		}()
		for {
			select {
			case <-closed:
				return
			case slots <- struct{}{}:
			}
			if _, err := io.WriteString(c.conn, request(c)); err != nil {
				return
			}
			c.counts.requests.Add(1)
		}
	}
}

func (c *client) readResponse(in *bufio.Reader) error {
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	c.counts.responses.Add(1)
	return err
}

// writeHugeBody writes a body over the limit for as long as the node takes it.
func writeHugeBody(_ context.Context, c *client) {
	if _, err := io.WriteString(c.conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", c.header(newID()), hugeBody)); err != nil {
		return
	}
	part := strings.Repeat("b", largeBody)
	for range hugeBody / largeBody {
		if _, err := io.WriteString(c.conn, part); err != nil {
			return
		}
	}
}

func sendOnceAndStay(_ context.Context, c *client) {
	c.writeAndWait(c.event(smallBody))
}
