package node

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// Guards against a client that takes all CPU time with invalid requests at full speed.
func TestUnproductiveRequestsAreThrottled(t *testing.T) {
	env := newTestEnv(t)
	env.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
	env.startNode()
	env.clients.throttle.shared.SetBurst(0) // as if other connections had used up what all share
	env.clients.throttle.shared.SetLimit(1)
	c := env.dial()
	const requests = ownUnproductiveBurst + 8
	io.WriteString(c, strings.Repeat("GET /else HTTP/1.1\r\nHost: x\r\n\r\n", requests))
	begin := time.Now()
	for i := range requests {
		if status, _ := c.readResponse(""); status != 404 {
			t.Fatalf("response %d: status %d", i, status)
		}
	}
	if took := time.Since(begin); took < 2*maxThrottlePause {
		t.Errorf("%d invalid requests took %v, want %v or more", requests, took, 2*maxThrottlePause)
	}
	begin = time.Now()
	for i := range requests {
		text := submitRequest(fmt.Sprint("x", i), "alert", "1", 8000, "")
		if status, _ := env.dial().submit(text); status != statusAccepted {
			t.Errorf("accepted request %d: status %d", i, status)
		}
	}
	if took := time.Since(begin); took > testTimeout/2 {
		t.Errorf("%d valid requests took %v", requests, took)
	}
}

// Guards against connections that are throttled, or whose client reads no response, and keep others from being accepted.
func TestThrottledConnectionsMakeRoom(t *testing.T) {
	env := newTestEnv(t)
	env.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
	env.startNode()
	env.clients.throttle.shared.SetBurst(0)
	env.clients.throttle.shared.SetLimit(1)
	env.clients.listener.mu.Lock()
	env.clients.listener.maxConns = 4
	env.clients.listener.mu.Unlock()
	invalid := strings.Repeat("GET /else HTTP/1.1\r\nHost: x\r\n\r\n", 2*ownUnproductiveBurst)
	for range 8 {
		c := env.dial()
		go io.WriteString(c, invalid)
	}
	begin := time.Now()
	if status, _ := env.dial().submit(submitRequest("x", "alert", "1", 8000, "")); status != statusAccepted {
		t.Errorf("new client: status %d", status)
	}
	if took := time.Since(begin); took > maxThrottlePause {
		t.Errorf("a new client waited %v", took)
	}
}

// Guards against a flood that holds back the responses to others long after its end.
func TestThrottlingEndsWithTheFlood(t *testing.T) {
	throttle, now := newThrottle(), time.Now()
	for range 10 * sharedUnproductiveRate {
		if delay := throttle.reserve(now); delay > maxThrottlePause {
			t.Fatalf("a response waits %v", delay)
		}
	}
	if delay := throttle.reserve(now.Add(2 * maxThrottlePause)); delay > 0 {
		t.Errorf("a response waits %v after the flood has ended", delay)
	}
}
