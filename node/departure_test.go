package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// submitAndLeave writes requests and closes the connection before the node reads any of them.
func (env *testEnv) submitAndLeave(requests ...string) {
	env.clients.listener.mu.Lock()
	defer env.clients.listener.mu.Unlock()
	c := env.dial()
	for _, text := range requests {
		io.WriteString(c, text)
	}
	c.Close()
	time.Sleep(10 * time.Millisecond) // the end of the stream arrives
}

// Guards against requests that are forwarded although their client has left, and run twice when it comes again elsewhere.
func TestRequestOfDepartedClientIsNotAccepted(t *testing.T) {
	env := newTestEnv(t)
	endpoint := env.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
	env.startNode()
	before := departedRequests.Value()
	first, second := submitRequest("a", "charge", "1", 8000, ""), submitRequest("b", "charge", "1", 8000, "")
	env.submitAndLeave(first, second)
	env.waitFor("the request is dropped", func() bool { return departedRequests.Value() > before })
	env.waitFor("the connection is closed", env.clients.listener.isEmpty)
	if calls, _ := endpoint.counts(); calls != 0 || !env.journal.empty() {
		t.Errorf("%d calls for a client that has left, want none", calls)
	}
	for _, text := range []string{first, second, first} { // it comes again
		if status, _ := env.dial().submit(text); status != statusAccepted {
			t.Errorf("request that comes again: status %d", status)
		}
	}
	env.waitFor("both are delivered", func() bool { calls, _ := endpoint.counts(); return calls >= 2 && env.journal.empty() })
	if calls, _ := endpoint.counts(); calls != 2 {
		t.Errorf("%d calls for two requests that came again", calls)
	}
}

// Guards against a client that has ended only its sending and is taken for one that has left.
func TestClientThatEndsItsSendingIsAnswered(t *testing.T) {
	env := newTestEnv(t)
	env.addEndpoint(1, respond(httpResponse("200 OK", "", "")))
	env.startNode()
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		c := env.dial()
		io.WriteString(c, fmt.Sprintf("POST /api %s%s", version, submitRequest(version[5:], "alert", "1", 8000, "")[len("POST /api HTTP/1.1"):]))
		c.Conn.(*net.TCPConn).CloseWrite()
		response, err := http.ReadResponse(c.reader, nil)
		for err == nil && response.StatusCode == http.StatusContinue {
			response, err = http.ReadResponse(c.reader, nil)
		}
		if err != nil || response.StatusCode != statusAccepted {
			t.Errorf("%s: %v, %v", version, response, err)
		}
	}
}

// Guards against a request that waits for the answer to an earlier one under its id, and is dropped with it when that one's client
// has left.
func TestRequestTakesThePlaceOfAnAbandonedOne(t *testing.T) {
	r := newRecentRequests(10)
	abandoned, _ := r.add("a")
	waiting, first := r.add("a")
	if first {
		t.Fatal("a second request counts as the first one")
	}
	r.complete(abandoned, clientResponse{abandoned: true})
	if <-waiting.done; !waiting.response.abandoned {
		t.Error("the waiting request got a response")
	}
	if _, first := r.add("a"); !first {
		t.Error("an abandoned request is still known")
	}
}
