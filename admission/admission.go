// Package admission decides, right before the bytes of a call are written, whether its attempts may still be sent. The scheduler
// decides a send by what it knows then, and the send may wait after that: for its connection, for the record in the journal, for room
// in the socket. What allowed it may end meanwhile. The controller keeps the newest state of everything that allows a send, in every
// phase of the node, and is asked again wherever a send has waited.
package admission

import (
	"sync"

	"jaspersill/delivery"
	"jaspersill/lifecycle"
)

// Denial is why an attempt may not be sent. Its values are metric labels.
type Denial string

// The denials. An attempt for which several hold gets the first of them.
const (
	Allowed            Denial = ""
	Revoked            Denial = "revoked"             // the scheduler took the send back
	EventEnded         Denial = "event_ended"         // the end of the event is decided
	DeadlinePassed     Denial = "deadline"            // the event's deadline has passed
	WindowOver         Denial = "dedup_window"        // the destination may no longer recognize the event as a duplicate
	OtherGroup         Denial = "dedup_group"         // the endpoint would not recognize it
	EndpointNotReady   Denial = "endpoint_not_ready"  // the endpoint drains or is gone
	EndpointMoved      Denial = "endpoint_moved"      // the connection leads to an address that is no longer the endpoint's
	RetryAfter         Denial = "retry_after"         // the destination asked for a wait
	SlowStartLapsed    Denial = "slow_start"          // the send was admitted by a slow start that has gone on
	ResponseUnreadable Denial = "response_unreadable" // a response that may ask for a wait has arrived and cannot be read yet
	InputOverdue       Denial = "input_overdue"       // the process was suspended: what it was told meanwhile may not have been read yet
)

// Denials lists all denials.
func Denials() []Denial {
	return []Denial{Revoked, EventEnded, DeadlinePassed, WindowOver, OtherGroup, EndpointNotReady, EndpointMoved, RetryAfter,
		SlowStartLapsed, ResponseUnreadable, InputOverdue}
}

// IsTemporary reports whether the attempt may be sent on the same connection as soon as the reason is gone.
func (d Denial) IsTemporary() bool { return d == ResponseUnreadable || d == InputOverdue }

const (
	maxHeartbeatAge = int64(50e6) // ns; the scheduler's rounds, which send heartbeats, are a fraction of that apart
	catchUpTime     = int64(10e6) // ns from the first heartbeat after a suspension, until what has arrived is read
)

// Attempt describes an attempt that waits to be sent.
type Attempt struct {
	Request  *lifecycle.Request
	Endpoint int32
	Dest     uint32
	Address  string // that its connection leads to; empty if it has none yet
	Terms    delivery.Terms
	Revoked  bool
}

// Controller keeps what allows sends. The zero value knows no endpoint. It is safe for concurrent use, and calls nothing that blocks.
type Controller struct {
	mu         sync.Mutex
	endpoints  []endpoint           // by index
	heldUntil  map[limiterKey]int64 // ends of the waits that destinations asked for
	unreadable map[uint32]int       // by destination, connections on which reads fail for a reason local to this machine
	beatAt     int64                // of the last heartbeat; 0 for none yet
	catchingUp int64                // until then what arrived during a suspension may not have been read
}

// endpoint is the newest state of an endpoint.
type endpoint struct {
	address  string
	dest     uint32
	zone     int
	ownLimit bool
	ready    bool
}

// limiterKey identifies what a wait applies to: a destination, or one of its endpoints if each has a rate limit of its own.
type limiterKey struct {
	dest     uint32
	endpoint int32
}

// sharedLimit stands for the endpoint in the key of a destination whose endpoints share a limit.
const sharedLimit int32 = -1

func (e *endpoint) limiter(index int32) limiterKey {
	if e.ownLimit {
		return limiterKey{e.dest, index}
	}
	return limiterKey{e.dest, sharedLimit}
}

// Listing is what the directory says of an endpoint.
type Listing struct {
	Dest     uint32
	Zone     int
	OwnLimit bool // the endpoint has a rate limit of its own
	Ready    bool
}

// List records the newest listing of an endpoint.
func (c *Controller) List(index int32, l Listing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoint(index)
	e.dest, e.zone, e.ownLimit, e.ready = l.Dest, l.Zone, l.OwnLimit, l.Ready
}

// SetAddress records the address of an endpoint, empty if it has none any more. It reports whether the address changed.
func (c *Controller) SetAddress(index int32, address string) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoint(index)
	changed = e.address != address
	e.address = address
	return changed
}

// Address returns the address of an endpoint.
func (c *Controller) Address(index int32) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endpoint(index).address
}

// Forget drops the state of an endpoint whose index may be assigned again.
func (c *Controller) Forget(index int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoint(index)
	if e.ownLimit {
		delete(c.heldUntil, e.limiter(index))
	}
	*e = endpoint{}
}

// endpoint returns the state of an endpoint. The caller holds the lock.
func (c *Controller) endpoint(index int32) *endpoint {
	for int(index) >= len(c.endpoints) {
		c.endpoints = append(c.endpoints, endpoint{})
	}
	return &c.endpoints[index]
}

// Heartbeat records that the process runs and reads its input. Sends wait for the next one if the last is too old.
func (c *Controller) Heartbeat(now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isOverdue(now) {
		c.catchingUp = now + catchUpTime
	}
	c.beatAt = now
}

// isOverdue reports whether the last heartbeat is too old. The caller holds the lock.
func (c *Controller) isOverdue(now int64) bool {
	return c.beatAt != 0 && now-c.beatAt > maxHeartbeatAge
}

// HoldUntil records that an endpoint asked for a wait. It never shortens one.
func (c *Controller) HoldUntil(index int32, until int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heldUntil == nil {
		c.heldUntil = make(map[limiterKey]int64)
	}
	key := c.endpoint(index).limiter(index)
	c.heldUntil[key] = max(c.heldUntil[key], until)
}

// SetUnreadable records that a response from a destination has arrived and cannot be read for the time being, or that it can be
// read again.
func (c *Controller) SetUnreadable(dest uint32, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreadable == nil {
		c.unreadable = make(map[uint32]int)
	}
	if on {
		c.unreadable[dest]++
	} else if c.unreadable[dest]--; c.unreadable[dest] <= 0 {
		delete(c.unreadable, dest)
	}
}

// HasUnreadable reports whether a response from a destination cannot be read for the time being.
func (c *Controller) HasUnreadable(dest uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreadable[dest] > 0
}

// Judge returns whether an attempt may be sent now, and otherwise why not.
func (c *Controller) Judge(a Attempt, now int64) Denial {
	if a.Revoked {
		return Revoked
	}
	switch a.Request.MaySend(now) {
	case nil:
	case lifecycle.ErrDeadlinePassed:
		return DeadlinePassed
	default:
		return EventEnded
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoint(a.Endpoint)
	switch {
	case a.Terms.WindowEnd != 0 && now >= a.Terms.WindowEnd:
		return WindowOver
	case a.Terms.Grouped && e.zone != a.Terms.Zone:
		return OtherGroup
	case !e.ready:
		return EndpointNotReady
	case a.Address != "" && a.Address != e.address:
		return EndpointMoved
	case now < c.heldUntil[e.limiter(a.Endpoint)]:
		return RetryAfter
	case a.Terms.AdmittedUntil != 0 && now >= a.Terms.AdmittedUntil:
		return SlowStartLapsed
	case c.unreadable[a.Dest] > 0:
		return ResponseUnreadable
	case c.isOverdue(now) || now < c.catchingUp:
		return InputOverdue
	}
	return Allowed
}
