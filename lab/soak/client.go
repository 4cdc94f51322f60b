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
	ledger *ledger
	random *rand.Rand
	node   int
	dests  int
	body   int // bytes at most
	at     string
	path   *faultproxy.Proxy
	conn   net.Conn
	in     *bufio.Reader
	used   int  // answers heard on the connection
	ending bool // the node said that it closes the connection

	crowded bool // its node is full of others: the page lets new connections be shut unread then
}

const (
	connectPatience = 300 * time.Millisecond
	leastDeadline   = 300 * time.Millisecond
	mostDeadline    = 3 * time.Second
	awayRest        = 50 * time.Millisecond
	lingerTime      = 1200 * time.Millisecond // more than a path holds a piece back
)

// run hands in a request each so often until ctx ends. accepts tells whether new connections go to the node.
func (c *client) run(ctx context.Context, every time.Duration, accepts func() bool) {
	defer c.drop()
	for ctx.Err() == nil {
		pause(ctx, time.Duration(c.random.Int64N(int64(2*every))))
		if ctx.Err() != nil {
			return
		}
		if c.conn == nil {
			if !accepts() || c.connect() != nil {
				pause(ctx, awayRest)
				continue
			}
		}
		c.hand()
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *client) connect() error {
	conn, err := net.DialTimeout("tcp", c.at, connectPatience)
	if err != nil {
		return err
	}
	c.conn, c.in, c.used, c.ending = conn, bufio.NewReader(conn), 0, false
	return nil
}

func (c *client) drop() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// hand hands in one request. Where a close of the resting connection crosses it, it is sent once more on a new one.
func (c *client) hand() {
	class := []Class{Repeatable, Once, Keyed}[c.random.IntN(3)]
	id := fmt.Sprintf("%016x", c.random.Uint64())
	left := leastDeadline + time.Duration(c.random.Int64N(int64(mostDeadline-leastDeadline)))
	dest := c.random.IntN(c.dests)
	r := c.ledger.sends(id, class, c.node, dest, left)
	text := fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: acme\r\nReq-Deadline-Ms: %d\r\n"+
		"Idempotency-Key: key-%s\r\nX-Envelope: dest=%d\r\nContent-Length: %d\r\n\r\n%s", id, class, left.Milliseconds(), id, dest,
		c.body, strings.Repeat("b", c.body))
	status, err := c.exchange(text)
	if c.disturbed() {
		c.handDisturbed(r, status, err)
		return
	}
	if errors.Is(err, errUnread) && c.path.ConnFromClient(c.conn.LocalAddr()) == nil { // the node refuses connections
		c.drop()
		c.ledger.hears(r, 0, "")
		return
	}
	if errors.Is(err, errUnread) && (c.used > 0 || c.crowded) {
		c.ledger.count("sent once more")
		c.drop()
		if c.connect() != nil {
			c.ledger.hears(r, 0, "") // nobody is there
			return
		}
		status, err = c.exchange(text)
		if errors.Is(err, errUnread) && c.path.ConnFromClient(c.conn.LocalAddr()) == nil {
			c.drop()
			c.ledger.hears(r, 0, "")
			return
		}
	}
	switch {
	case err == nil:
		c.ledger.hears(r, status, "")
		c.used++
		if c.ending {
			c.drop()
		}
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.ledger.count("gave up waiting")
		c.ledger.hears(r, 0, "")
		c.drop()
	default:
		c.ledger.hears(r, 0, err.Error())
		c.drop()
	}
}

// disturbed tells whether a fault has struck the connection on its way.
func (c *client) disturbed() bool {
	return c.conn != nil && c.path.ConnFromClient(c.conn.LocalAddr()).Disturbed()
}

// handDisturbed notes what came of a request on a connection that was disturbed, and uses it no more: which answer
// belongs to which request cannot be told there.
func (c *client) handDisturbed(r *request, status int, err error) {
	c.ledger.count("on a disturbed connection")
	c.ledger.disturbs(r)
	if err != nil {
		status = 0
	}
	c.ledger.hears(r, status, "")
	if conn := c.conn; conn != nil { // what the path still holds back may reach the node
		c.conn = nil
		time.AfterFunc(lingerTime, func() { conn.Close() })
	}
}

// errUnread is a connection that ended before the first byte of an answer.
var errUnread = errors.New("the connection ended with no answer")

// exchange writes a request and reads its answer.
func (c *client) exchange(text string) (status int, err error) {
	c.conn.SetDeadline(time.Now().Add(answerPatience))
	if _, err := io.WriteString(c.conn, text); err != nil {
		return 0, errUnread
	}
	if _, err := c.in.Peek(1); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err
		}
		return 0, errUnread
	}
	response, err := http.ReadResponse(c.in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		return 0, fmt.Errorf("an answer that is not whole: %w", err)
	}
	if response.Close {
		c.ending = true
	}
	return response.StatusCode, nil
}

// crowd holds many connections to a node that say nothing, or begin a request and never end it.
func crowd(ctx context.Context, address string, size int) {
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	for i := range size {
		conn, err := net.DialTimeout("tcp", address, connectPatience)
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
