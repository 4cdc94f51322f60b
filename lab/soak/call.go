package soak

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"jaspersill/lab/faultproxy"
)

// incomingCall is a call that an endpoint has read completely.
type incomingCall struct {
	request   *http.Request
	body      []byte
	conn      net.Conn
	unread    *bufio.Reader // what else arrived on the connection
	proxyConn *faultproxy.Connection
	node      int
	parts     []part
}

// part is one request of a call.
type part struct {
	request *request
	attempt int // index into request.attempts
}

// requestIDs returns the IDs of the requests in the call.
func (c *incomingCall) requestIDs() (list []string) {
	if !c.isBulk() {
		return []string{c.request.Header.Get("Req-Id")}
	}
	body := c.body
	for len(body) > 0 {
		line, rest, _ := bytes.Cut(body, []byte("\r\n"))
		words := strings.Fields(string(line))
		if len(words) != 3 {
			return list
		}
		size, err := strconv.Atoi(words[2])
		if err != nil || size+2 > len(rest) {
			return list
		}
		list = append(list, words[0])
		body = rest[size+2:]
	}
	return list
}

// isBulk reports whether the call may carry several requests, each of which is answered on its own.
func (c *incomingCall) isBulk() bool { return strings.HasSuffix(c.request.URL.Path, bulkPathSuffix) }

// handleCall handles one call. It returns the requests that it answered with success, and whether the connection stays
// open.
func (e *endpoint) handleCall(c *incomingCall, use connUse) (answered []part, open bool) {
	if !e.recordArrival(c, use) {
		return nil, false
	}
	for _, draw := range []func() (time.Duration, hangEnd){e.nextHang, e.drawCallHang} {
		if hang, end := draw(); hang > 0 {
			return nil, e.endHang(c, hang, end)
		}
	}
	m, delay, refused := e.admit(c.parts[0].request, c.proxyConn)
	if open, handled := e.misbehave(c, m); handled {
		return nil, open
	}
	if open, handled := e.failCall(c); handled {
		return nil, open
	}
	if refused {
		time.Sleep(delay)
		e.record(c, "503", false)
		return nil, e.respond(c, "503 Full", e.loadReport())
	}
	return e.answer(c, delay)
}

// recordArrival records an attempt of each request of a call. It returns false if the call names a request that no client sent, or none.
func (e *endpoint) recordArrival(c *incomingCall, use connUse) bool {
	c.node, c.proxyConn = e.proxyConn(c.conn)
	for _, id := range c.requestIDs() {
		r := e.history.recordAttempt(id, c.node, e.number, c.proxyConn, use)
		if r == nil {
			e.respond(c, "400 Bad Request", "")
			return false
		}
		c.parts = append(c.parts, part{r, e.history.attemptCount(r) - 1})
	}
	if len(c.parts) == 0 {
		return false
	}
	if c.proxyConn == nil { // it has ended meanwhile
		c.node = c.parts[0].request.node
	}
	return true
}

// record records what became of a call as a whole, none of whose requests is delivered by it.
func (e *endpoint) record(c *incomingCall, outcome string, ran bool) {
	for _, p := range c.parts {
		e.history.recordOutcome(p.request, p.attempt, outcome, ran, false)
	}
}

// respond writes a response without a body. It reports whether the connection stays open.
func (e *endpoint) respond(c *incomingCall, status, headers string) (open bool) {
	_, err := fmt.Fprintf(c.conn, "HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n", status, headers)
	return err == nil
}

// loadReport returns the header field in which the endpoint reports its load.
func (e *endpoint) loadReport() string { return fmt.Sprintf("Srv-Load: x0=0.5,x1=%g\r\n", e.capacity) }

// misbehave treats a call as a mode of the endpoint says. It reports whether the mode decides about the call, and whether the connection
// stays open then.
func (e *endpoint) misbehave(c *incomingCall, m mode) (open, handled bool) {
	switch m {
	case failing:
		e.record(c, "500", true)
		return e.respond(c, "500 Error", e.loadReport()), true
	case limited:
		e.record(c, "429", false)
		open = e.respond(c, "429 Wait", fmt.Sprintf("%sRetry-After: %.3f\r\n", e.loadReport(), retryAfter.Seconds()))
		e.recordRetryAfter(c.node, c.proxyConn)
		return open, true
	case hanging:
		e.record(c, "no response", true)
		c.conn.SetReadDeadline(time.Time{})
		io.Copy(io.Discard, c.conn)
		return false, true
	case resetting, unavailable:
		e.record(c, "connection reset", true)
		if tcp, ok := c.conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		return false, true
	case garbling:
		e.record(c, "malformed response", true)
		io.WriteString(c.conn, "HTTP/1.1 2\x00\x01\r\nContent-Length: 9999999\r\n\r\n?")
		return false, true
	}
	return false, false
}

// answer executes the requests of a call, but for those that are gone, and answers it.
func (e *endpoint) answer(c *incomingCall, delay time.Duration) (answered []part, open bool) {
	gone := e.drawGone(c.parts)
	record := func(outcome string, delivered bool) {
		for i, p := range c.parts {
			e.history.recordOutcome(p.request, p.attempt, outcome, !gone[i], delivered && !gone[i])
		}
	}
	record("executing", false)
	time.Sleep(delay)
	if !c.isOpen() {
		record("abandoned by the node", false)
		return nil, false
	}
	response := e.responseText(c, gone)
	_, err := io.WriteString(c.conn, response)
	record(outcomeDelivered, err == nil)
	for i, p := range c.parts {
		if gone[i] && err == nil {
			e.history.recordGone(p)
		}
	}
	if err == nil && c.unread.Buffered() == 0 {
		e.repeat(c, response)
	}
	return c.parts, err == nil && !e.closesBehindResponse()
}

// isOpen reports whether the peer has not closed the connection. Buffered input means that it is open: the peer has sent
// its next call already, because it took another response for the one to this call.
func (c *incomingCall) isOpen() (open bool) {
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	if c.unread.Buffered() > 0 {
		return true
	}
	raw.Control(func(descriptor uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN) || n > 0
	})
	return open
}

// wasReset reports whether the peer of a closed connection answered the last response with a reset, because it had
// closed the connection before and did not read it.
func wasReset(conn net.Conn) (unread bool) {
	time.Sleep(resetDelay)
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(descriptor uintptr) {
		code, err := unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_ERROR)
		unread = err == nil && code != 0
	})
	return unread
}
