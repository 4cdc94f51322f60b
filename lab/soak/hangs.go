package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	minHang, maxHang   = 500 * time.Millisecond, 12 * time.Second
	minCopyGap         = time.Millisecond
	maxCopyGap         = 16 * time.Millisecond // the jitter of a link of 22 ms
	minCopyShare       = 0.02
	maxCopyShare       = 0.3
	hangAfterCopyShare = 0.5
	maxDrainsPerNode   = 2
)

// hangEnd is how an endpoint ends the call under which it hung. It has not executed the call.
type hangEnd string

const (
	hangEnd429   hangEnd = "429 Too Many Requests"
	hangEnd503   hangEnd = "503 Service Unavailable"
	hangEndReset hangEnd = "reset"
	hangEndClose hangEnd = "close" // as a reset arrives through some proxies
)

// hangs says how often responses come twice, and an endpoint hangs under the next call after that.
type hangs struct{ copyShare float64 }

// addHangs lets endpoints, which answer with the latency of remote hosts, hang after copies of their responses. Nodes are terminated
// meanwhile.
func (p *plan) addHangs(nodes int) {
	p.remote = true
	p.hangs = &hangs{copyShare: minCopyShare + (maxCopyShare-minCopyShare)*p.random.Float64()}
	for node := range nodes {
		for range p.random.IntN(maxDrainsPerNode + 1) {
			p.addStep(p.length/8+p.randomDuration(p.length*3/4), func(ctx context.Context, r *run) {
				r.restart(ctx, node, nil, (*process).terminate)
			})
		}
	}
}

// repeat writes a response a second time, or not, as drawn. Half of the copies make the endpoint hang under its next call.
func (e *endpoint) repeat(c *incomingCall, response string) {
	if e.hangs == nil {
		return
	}
	e.mu.Lock()
	copied := e.random.Float64() < e.hangs.copyShare
	gap := minCopyGap + time.Duration(e.random.Int64N(int64(maxCopyGap-minCopyGap)))
	e.hangNext = e.hangNext || (copied && e.random.Float64() < hangAfterCopyShare)
	e.mu.Unlock()
	if !copied {
		return
	}
	c.proxyConn.MarkDisturbed()
	time.Sleep(gap)
	io.WriteString(c.conn, response)
	e.history.count("responses repeated by their endpoint")
}

// nextHang returns for how long the endpoint hangs under the call that has arrived, 0 for not at all, and how it ends.
func (e *endpoint) nextHang() (length time.Duration, end hangEnd) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.hangNext {
		return 0, ""
	}
	e.hangNext = false
	return minHang + time.Duration(e.random.Int64N(int64(maxHang-minHang))), e.drawHangEnd()
}

// drawHangEnd draws how the endpoint ends a call under which it hangs. The caller holds e.mu.
func (e *endpoint) drawHangEnd() hangEnd {
	ends := []hangEnd{hangEnd429, hangEnd503, hangEndReset, hangEndClose}
	return ends[e.random.IntN(len(ends))]
}

// endHang hangs under a call and ends it. It reports whether the connection stays open.
func (e *endpoint) endHang(c *incomingCall, length time.Duration, end hangEnd) (open bool) {
	e.record(c, fmt.Sprintf("hangs for %v, then %s", length.Round(time.Millisecond), end), false)
	e.history.count("hangs")
	time.Sleep(length)
	switch end {
	case hangEndReset:
		if tcp, ok := c.conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		return false
	case hangEndClose:
		return false
	}
	return e.respond(c, string(end), "")
}
