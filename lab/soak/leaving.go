package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

const (
	leavingClientsPerNode = 4
	pipelinedRequests     = 150                   // far more than a node's socket buffer holds
	fewRequests           = 2                     // they fit into the smallest one
	leavingBodySize       = 100                   // bytes
	maxStay               = 60 * time.Millisecond // between writing the requests and leaving
	leavingPause          = 200 * time.Millisecond
	resubmitShare         = 0.3 // of the requests that a client left behind
)

// leavingClient writes many requests at once and closes its connection without reading a response. It submits some of the
// requests again, under their ids, on a new connection to the same node.
type leavingClient struct{ client }

// run repeats this until ctx ends. isAccepting reports whether the platform directs new connections to the node.
func (c *leavingClient) run(ctx context.Context, isAccepting func() bool) {
	for ctx.Err() == nil {
		if isAccepting() {
			c.submitAndLeave(ctx)
		}
		sleep(ctx, leavingPause)
	}
}

// submitAndLeave writes requests, leaves, and submits some of them again.
func (c *leavingClient) submitAndLeave(ctx context.Context) {
	connectedAt := c.history.now()
	conn, err := net.DialTimeout("tcp", c.address, connectTimeout)
	if err != nil {
		return
	}
	var requests []*request
	var text strings.Builder
	count := fewRequests
	if c.random.IntN(2) == 0 {
		count = pipelinedRequests
	}
	for range count {
		r := c.newRequest(Once)
		requests = append(requests, r)
		text.WriteString(c.requestText(r))
	}
	conn.SetDeadline(time.Now().Add(responseTimeout))
	io.WriteString(conn, text.String())
	sleep(ctx, time.Duration(c.random.Int64N(int64(maxStay))))
	conn.Close() // resets the connection if a response is unread by now
	c.history.recordLeft(requests, connectedAt)
	c.history.count("connections left with unanswered requests")
	c.resubmit(requests)
}

// resubmit submits some requests again, one at a time, on one connection.
func (c *leavingClient) resubmit(requests []*request) {
	if c.connect() != nil {
		return
	}
	defer c.closeConn()
	for _, i := range rand.Perm(len(requests))[:int(resubmitShare*float64(len(requests)))] {
		r := requests[i]
		c.history.recordResubmitted(r)
		status, err := c.exchange(c.requestText(r))
		if err != nil {
			return
		}
		c.history.recordResponse(r, status, "")
		if c.closing {
			return
		}
	}
}

// newRequest records a request of a class to a random destination.
func (c *client) newRequest(class Class) *request {
	id := fmt.Sprintf("%016x", c.random.Uint64())
	timeout := minDeadline + time.Duration(c.random.Int64N(int64(c.history.longestDeadline-minDeadline)))
	return c.history.recordRequest(id, class, c.node, c.random.IntN(c.destinations), timeout)
}

// requestText returns the bytes of a request.
func (c *client) requestText(r *request) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: acme\r\nReq-Deadline-Ms: %d\r\n"+
		"Idempotency-Key: key-%s\r\nX-Envelope: dest=%d\r\nContent-Length: %d\r\n\r\n%s", r.id, r.class,
		(r.deadline - r.sentAt).Milliseconds(), r.id, r.dest, c.bodySize, strings.Repeat("b", c.bodySize))
}
