package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"jaspersill/lab/faultproxy"
)

// client hands in requests at one node, one after another, on a connection that it keeps for as long as it stands.
type client struct {
	history      *history
	random       *rand.Rand
	node         int
	destinations int
	bodySize     int // bytes at most
	address      string
	proxy        *faultproxy.Proxy
	conn         net.Conn
	reader       *bufio.Reader
	responses    int  // answers heard on the connection
	closing      bool // the node said that it closes the connection

	crowded bool // its node is full of others: the page lets new connections be shut unread then
}

const (
	connectTimeout        = 300 * time.Millisecond
	minDeadline           = 300 * time.Millisecond
	maxDeadline           = 3 * time.Second
	unavailableRetryDelay = 50 * time.Millisecond
	lingerTime            = 1200 * time.Millisecond // more than a path holds a piece back
)

// run hands in a request each so often until ctx ends. accepts tells whether new connections go to the node.
func (c *client) run(ctx context.Context, every time.Duration, accepts func() bool) {
	defer c.closeConn()
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(c.random.Int64N(int64(2*every))))
		if ctx.Err() != nil {
			return
		}
		if c.conn == nil {
			if !accepts() || c.connect() != nil {
				sleep(ctx, unavailableRetryDelay)
				continue
			}
		}
		c.submit()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *client) connect() error {
	conn, err := net.DialTimeout("tcp", c.address, connectTimeout)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.responses, c.closing = conn, bufio.NewReader(conn), 0, false
	return nil
}

func (c *client) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// submit hands in one request. Where a close of the resting connection crosses it, it is sent once more on a new one.
func (c *client) submit() {
	class := []Class{Repeatable, Once, Keyed}[c.random.IntN(3)]
	id := fmt.Sprintf("%016x", c.random.Uint64())
	left := minDeadline + time.Duration(c.random.Int64N(int64(maxDeadline-minDeadline)))
	dest := c.random.IntN(c.destinations)
	r := c.history.recordRequest(id, class, c.node, dest, left)
	text := fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: acme\r\nReq-Deadline-Ms: %d\r\n"+
		"Idempotency-Key: key-%s\r\nX-Envelope: dest=%d\r\nContent-Length: %d\r\n\r\n%s", id, class, left.Milliseconds(), id, dest,
		c.bodySize, strings.Repeat("b", c.bodySize))
	status, err := c.exchange(text)
	if c.disturbed() {
		c.finishDisturbed(r, status, err)
		return
	}
	if errors.Is(err, errNoResponse) && c.proxy.ConnFromClient(c.conn.LocalAddr()) == nil { // the node refuses connections
		c.closeConn()
		c.history.recordResponse(r, 0, "")
		return
	}
	if errors.Is(err, errNoResponse) && (c.responses > 0 || c.crowded) {
		c.history.count("sent once more")
		c.closeConn()
		if c.connect() != nil {
			c.history.recordResponse(r, 0, "") // nobody is there
			return
		}
		status, err = c.exchange(text)
		if errors.Is(err, errNoResponse) && c.proxy.ConnFromClient(c.conn.LocalAddr()) == nil {
			c.closeConn()
			c.history.recordResponse(r, 0, "")
			return
		}
	}
	switch {
	case err == nil:
		c.history.recordResponse(r, status, "")
		c.responses++
		if c.closing {
			c.closeConn()
		}
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.history.count("gave up waiting")
		c.history.recordResponse(r, 0, "")
		c.closeConn()
	default:
		c.history.recordResponse(r, 0, err.Error())
		c.closeConn()
	}
}

// disturbed tells whether a fault has struck the connection on its way.
func (c *client) disturbed() bool {
	return c.conn != nil && c.proxy.ConnFromClient(c.conn.LocalAddr()).Disturbed()
}

// finishDisturbed notes what came of a request on a connection that was disturbed, and uses it no more: which answer
// belongs to which request cannot be told there.
func (c *client) finishDisturbed(r *request, status int, err error) {
	c.history.count("on a disturbed connection")
	c.history.recordDisturbedRequest(r)
	if err != nil {
		status = 0
	}
	c.history.recordResponse(r, status, "")
	if conn := c.conn; conn != nil { // what the path still holds back may reach the node
		c.conn = nil
		time.AfterFunc(lingerTime, func() { conn.Close() })
	}
}

// errNoResponse is a connection that ended before the first byte of an answer.
var errNoResponse = errors.New("the connection ended with no answer")

// exchange writes a request and reads its answer.
func (c *client) exchange(text string) (status int, err error) {
	c.conn.SetDeadline(time.Now().Add(responseTimeout))
	if _, err := io.WriteString(c.conn, text); err != nil {
		return 0, errNoResponse
	}
	if _, err := c.reader.Peek(1); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err
		}
		return 0, errNoResponse
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		return 0, fmt.Errorf("an answer that is not whole: %w", err)
	}
	if response.Close {
		c.closing = true
	}
	return response.StatusCode, nil
}

// holdIdleConnections holds many connections to a node that say nothing, or begin a request and never end it.
func holdIdleConnections(ctx context.Context, address string, size int) {
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	for i := range size {
		conn, err := net.DialTimeout("tcp", address, connectTimeout)
		if err != nil || ctx.Err() != nil {
			break
		}
		conns = append(conns, conn)
		if i%2 == 0 {
			io.WriteString(conn, "POST /api HTTP/1.1\r\nHost: x\r\n")
		}
	}
	<-ctx.Done()
}
