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
	"time"

	"jaspersill/lab/faultproxy"
)

// client sends requests to one node, one at a time, on a connection that it reuses while it is open.
type client struct {
	history      *history
	random       *rand.Rand
	node         int
	destinations int
	bodySize     int // bytes
	address      string
	proxy        *faultproxy.Proxy
	conn         net.Conn
	reader       *bufio.Reader
	responses    int  // number of responses read on the connection
	closing      bool // the node announced that it closes the connection

	repeats bool // it submits some accepted requests again
	crowded bool // its node is at its socket limit, where the protocol permits it to close new connections unread
}

const (
	connectTimeout        = 300 * time.Millisecond
	minDeadline           = 300 * time.Millisecond
	maxDeadline           = 3 * time.Second
	shortDeadline         = time.Second
	unavailableRetryDelay = 50 * time.Millisecond
	lingerTime            = 1200 * time.Millisecond // longer than the proxy holds back a chunk
)

// run sends requests at random intervals until ctx ends. isAccepting reports whether the platform directs new
// connections to the node.
func (c *client) run(ctx context.Context, meanInterval time.Duration, isAccepting func() bool) {
	defer c.closeConn()
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(c.random.Int64N(int64(2*meanInterval))))
		if ctx.Err() != nil {
			return
		}
		if c.conn == nil {
			if !isAccepting() || c.connect() != nil {
				sleep(ctx, unavailableRetryDelay)
				continue
			}
		}
		c.submit(ctx)
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

// submit sends one request. If the node closed the idle connection at the same time, it sends the request once more on
// a new one.
func (c *client) submit(ctx context.Context) {
	r := c.newRequest([]Class{Repeatable, Once, Keyed}[c.random.IntN(3)])
	text := c.requestText(r)
	status, err := c.exchange(text)
	if c.disturbed() {
		c.finishDisturbed(r, status, err)
		return
	}
	if errors.Is(err, errNoResponse) && c.proxy.ConnFromClient(c.conn.LocalAddr()) == nil {
		// The node refuses connections.
		c.closeConn()
		c.history.recordResponse(r, 0, "")
		return
	}
	if errors.Is(err, errNoResponse) && (c.responses > 0 || c.crowded) {
		c.history.count("retransmitted by the client")
		c.closeConn()
		if c.connect() != nil {
			c.history.recordResponse(r, 0, "") // the node is not listening
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
	case errors.Is(err, errNoResponse) && c.crowded && c.responses == 0: // the new connection was shut unread too
		c.history.recordResponse(r, 0, "")
		c.closeConn()
	case err == nil:
		c.history.recordResponse(r, status, "")
		c.responses++
		if c.repeats && r.accepted() && c.random.Float64() < repeatShare {
			go c.repeatLater(ctx, text, time.Duration(c.random.Int64N(int64(maxRepeatDelay))))
		}
		if c.closing {
			c.closeConn()
		}
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.history.count("timed out at the client")
		c.history.recordResponse(r, 0, "")
		c.closeConn()
	default:
		c.history.recordResponse(r, 0, err.Error())
		c.closeConn()
	}
}

// disturbed reports whether a fault was injected into the connection.
func (c *client) disturbed() bool {
	return c.conn != nil && c.proxy.ConnFromClient(c.conn.LocalAddr()).Disturbed()
}

// finishDisturbed records the result of a request on a disturbed connection and abandons the connection, because
// responses on it can no longer be matched to requests.
func (c *client) finishDisturbed(r *request, status int, err error) {
	c.history.count("on a disturbed connection")
	c.history.recordDisturbedRequest(r)
	if err != nil {
		status = 0
	}
	c.history.recordResponse(r, status, "")
	if conn := c.conn; conn != nil { // lets chunks that the proxy holds back reach the node
		c.conn = nil
		time.AfterFunc(lingerTime, func() { conn.Close() })
	}
}

// errNoResponse reports that a connection was closed before the first byte of a response.
var errNoResponse = errors.New("connection closed before a response")

// exchange writes a request and reads its response.
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
		return 0, fmt.Errorf("incomplete response: %w", err)
	}
	if response.Close {
		c.closing = true
	}
	return response.StatusCode, nil
}

// holdIdleConnections keeps connections to a node open, half of them silent and half with an incomplete request.
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
