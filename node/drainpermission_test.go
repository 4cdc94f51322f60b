package node

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// lateEnv is a node with one endpoint. The connections after the first ones come up only once they are let through.
type lateEnv struct {
	*testEnv
	endpoint *testEndpoint
	answers  chan string  // for the calls that were made in time
	late     atomic.Int32 // connections that have not come up
	letPass  chan struct{}
}

// newLateEnv starts a node whose first connections come up at once. Their calls wait for an answer.
func newLateEnv(t *testing.T, inTime int) *lateEnv {
	env := &lateEnv{testEnv: newTestEnv(t), answers: make(chan string), letPass: make(chan struct{})}
	env.endpoint = env.addEndpoint(1, func(conn net.Conn, body string) bool { return respond(<-env.answers)(conn, body) })
	env.laterLists = make(chan string)
	env.beforeRun = func(n *Node) {
		dial, dials := n.endpoints.dial, new(atomic.Int32)
		n.endpoints.dial = func(ctx context.Context, address string) (net.Conn, error) {
			if int(dials.Add(1)) > inTime {
				env.late.Add(1)
				select {
				case <-env.letPass:
				case <-ctx.Done():
					return nil, ctx.Err()
				}
			}
			return dial(ctx, address)
		}
	}
	env.startNode()
	return env
}

// submitEach submits events one after another, each once the call of the one before is under way.
func (env *lateEnv) submitEach(inTime int, ids ...string) {
	env.t.Helper()
	for i, id := range ids {
		env.dial().submit(submitRequest(id, "charge", "1", 8000, id))
		env.waitFor("the call of "+id+" is under way", func() bool {
			calls, _ := env.endpoint.counts()
			return calls+int(env.late.Load()) == i+1
		})
	}
	if calls, _ := env.endpoint.counts(); calls != inTime {
		env.t.Fatalf("%d calls, want %d", calls, inTime)
	}
}

// Guards against permissions that end unnoticed in one of the node's phases, while a send waits for its connection: as rounds decide
// nothing more in a drain, they used to revoke nothing either.
func TestPermissionsEndInEachPhase(t *testing.T) {
	const serverError = "500 Internal Server Error"
	for _, permission := range []struct {
		name   string
		phases []Phase
		inTime int // calls whose connections come up in time
		end    func(*lateEnv)
	}{
		{"list", []Phase{Serving, Draining}, 0, func(env *lateEnv) { env.laterLists <- strings.ReplaceAll(listOf(5, env.hosts), "Ready", "Terminating") }},
		{"wait", []Phase{Serving, Draining}, 1, func(env *lateEnv) { env.answers <- httpResponse("429 Full", "Retry-After: 60\r\n", "") }},
		{"slow start", []Phase{Draining}, 2, func(env *lateEnv) {
			env.answers <- httpResponse(serverError, "", "")
			env.answers <- httpResponse(serverError, "", "")
		}},
	} {
		for _, phase := range permission.phases {
			t.Run(permission.name+"/"+phase.String(), func(t *testing.T) {
				t.Parallel()
				env := newLateEnv(t, permission.inTime)
				env.submitEach(permission.inTime, []string{"first", "second", "third"}[:permission.inTime+1]...)
				if phase == Draining {
					env.SetDrainTimes(0, 50*time.Millisecond, time.Second)
					env.stop()
					env.waitFor("the node has stopped sending", env.decisions.hasStoppedSending)
				}
				permission.end(env)
				time.Sleep(200 * time.Millisecond)
				close(env.letPass)
				time.Sleep(200 * time.Millisecond)
				if calls, _ := env.endpoint.counts(); calls != permission.inTime {
					t.Errorf("the endpoint got %d calls, want %d", calls, permission.inTime)
				}
			})
		}
	}
}

// Guards against a drain that keeps back calls which are still allowed when their connections come up.
func TestDrainMakesAllowedCallsOnLateConnections(t *testing.T) {
	env := newLateEnv(t, 0)
	env.submitEach(0, "x")
	env.SetDrainTimes(0, 50*time.Millisecond, testTimeout)
	env.stop()
	env.waitFor("the node has stopped sending", env.decisions.hasStoppedSending)
	close(env.letPass)
	env.answers <- httpResponse("200 OK", "", "")
	env.waitFor("the event is complete", env.journal.empty)
}
