// Package hostile plays clients that misbehave against one delivery node: they write slowly, stop in the middle of a
// request, send at full speed, do not read their responses, or leave. Only loopback addresses are accepted.
package hostile

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Pattern is one way in which clients misbehave.
type Pattern string

// The patterns.
const (
	SlowHeads       Pattern = "slow-heads"       // the header arrives a few bytes at a time and never ends
	StalledBodies   Pattern = "stalled-bodies"   // a large body stops half way
	ManyFields      Pattern = "many-fields"      // the header has as many short fields as fit, and the body stops half way
	StalledChunks   Pattern = "stalled-chunks"   // a large chunked body stops half way
	UnreadResponses Pattern = "unread-responses" // requests at full speed, and no response is read
	InvalidRequests Pattern = "invalid-requests" // invalid requests at full speed, pipelined
	ReadyChecks     Pattern = "ready-checks"     // small valid requests at full speed, pipelined
	NewIDs          Pattern = "new-ids"          // valid events at full speed, each under a new id, pipelined
	NewNames        Pattern = "new-names"        // events at full speed, each of a new stream type and customer, pipelined
	LargeBodies     Pattern = "large-bodies"     // complete large events, one after another
	HugeBodies      Pattern = "huge-bodies"      // bodies far over the limit, at full speed
	IdleConnections Pattern = "idle"             // connections that carry one request and stay open
)

// Patterns returns all patterns.
func Patterns() []Pattern {
	return []Pattern{SlowHeads, StalledBodies, ManyFields, StalledChunks, UnreadResponses, InvalidRequests, ReadyChecks, NewIDs,
		NewNames, LargeBodies, HugeBodies, IdleConnections}
}

// Load says which clients to play.
type Load struct {
	Pattern     Pattern
	Address     string
	Connections int
	Reconnect   bool // a connection that ends is opened again
	Template    Event
}

// Event describes the events that clients send.
type Event struct {
	Kind, Owner string
	Dest        int
	Deadline    time.Duration
}

// Result counts what the clients did and met.
type Result struct {
	Connected, Failed int64 // connections opened, and those that could not be
	Requests          int64 // requests written in full
	Responses         int64 // responses read
}

const (
	maxConnections  = 4096
	connectTimeout  = time.Second
	reconnectPause  = 5 * time.Millisecond
	writeBufferSize = 64 << 10
)

// Run plays a load until ctx ends.
func Run(ctx context.Context, load Load) (Result, error) {
	host, _, err := net.SplitHostPort(load.Address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return Result{}, fmt.Errorf("address: want a loopback address, got %q", load.Address)
	}
	if load.Connections < 1 || load.Connections > maxConnections {
		return Result{}, fmt.Errorf("connections: want 1 to %d, got %d", maxConnections, load.Connections)
	}
	behave := behaviors[load.Pattern]
	if behave == nil {
		return Result{}, errors.New("unknown pattern " + string(load.Pattern))
	}
	var counts counters
	var running sync.WaitGroup
	for number := range load.Connections {
		running.Go(func() {
			for ctx.Err() == nil {
				c := &client{Load: load, number: number, counts: &counts}
				c.connectAndRun(ctx, behave)
				if !load.Reconnect {
					return
				}
				sleep(ctx, reconnectPause)
			}
		})
	}
	running.Wait()
	return Result{counts.connected.Load(), counts.failed.Load(), counts.requests.Load(), counts.responses.Load()}, nil
}

type counters struct{ connected, failed, requests, responses atomic.Int64 }

// client is one misbehaving client with its connection.
type client struct {
	Load
	number int
	counts *counters
	conn   net.Conn
}

// connectAndRun opens the connection and plays a behavior on it until that ends, the node closes or ctx ends.
func (c *client) connectAndRun(ctx context.Context, behave func(context.Context, *client)) {
	conn, err := net.DialTimeout("tcp", c.Address, connectTimeout)
	if err != nil {
		c.counts.failed.Add(1)
		return
	}
	c.counts.connected.Add(1)
	c.conn = conn
	if tcp, ok := conn.(*net.TCPConn); ok { // hundreds of connections must not take gigabytes of this machine
		tcp.SetWriteBuffer(writeBufferSize)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	behave(ctx, c)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
