package admission

import (
	"testing"

	"jaspersill/delivery"
	"jaspersill/lifecycle"
)

const (
	second   = int64(1e9)
	now      = 10 * second
	deadline = 20 * second
	address  = "127.0.0.1:1"
	dest     = uint32(7)
	zone     = 1
)

// Guards against a permission that is not looked at right before the first byte, or that is held against an attempt to which it does not
// apply. The attempt goes to endpoint 0 of the destination, which also has endpoint 1.
func TestJudgeLooksAtEachPermission(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Controller, *Attempt)
		want   Denial
	}{
		{"nothing has changed", func(*Controller, *Attempt) {}, Allowed},
		{"the scheduler took it back", func(_ *Controller, a *Attempt) { a.Revoked = true }, Revoked},
		{"the end of the event is decided", func(_ *Controller, a *Attempt) { a.Request.DecideEnd(lifecycle.Undelivered) }, EventEnded},
		{"the event has ended provisionally", func(_ *Controller, a *Attempt) { a.Request.EndProvisionally(lifecycle.Delivered, true) }, EventEnded},
		{"its client has left", func(_ *Controller, a *Attempt) {
			a.Request = lifecycle.NewRequest("x", deadline, true)
			a.Request.Withdraw()
		}, EventEnded},
		{"the deadline is now", func(_ *Controller, a *Attempt) { a.Request = lifecycle.RestoreRequest("x", now, true, false) }, DeadlinePassed},
		{"the deadline is near", func(_ *Controller, a *Attempt) { a.Request = lifecycle.RestoreRequest("x", now+1, true, false) }, Allowed},
		{"the window ends now", func(_ *Controller, a *Attempt) { a.Terms.WindowEnd = now }, WindowOver},
		{"the window is nearly over", func(_ *Controller, a *Attempt) { a.Terms.WindowEnd = now + 1 }, Allowed},
		{"bound to the endpoint's group", func(_ *Controller, a *Attempt) { a.Terms.Grouped, a.Terms.Zone = true, zone }, Allowed},
		{"bound to another group", func(_ *Controller, a *Attempt) { a.Terms.Grouped, a.Terms.Zone = true, zone+1 }, OtherGroup},
		{"the endpoint has changed its group", func(c *Controller, a *Attempt) {
			a.Terms.Grouped, a.Terms.Zone = true, zone
			c.List(0, Listing{Dest: dest, Zone: zone + 1, Ready: true})
		}, OtherGroup},
		{"the endpoint drains or is gone", func(c *Controller, _ *Attempt) { c.List(0, Listing{Dest: dest, Zone: zone}) }, EndpointNotReady},
		{"another endpoint drains", func(c *Controller, _ *Attempt) { c.List(1, Listing{Dest: dest, Zone: zone}) }, Allowed},
		{"the endpoint was never listed", func(_ *Controller, a *Attempt) { a.Endpoint = 5 }, EndpointNotReady},
		{"the endpoint is forgotten", func(c *Controller, _ *Attempt) { c.Forget(0) }, EndpointNotReady},
		{"the endpoint drained and is ready again", func(c *Controller, _ *Attempt) {
			c.List(0, Listing{Dest: dest, Zone: zone})
			c.List(0, Listing{Dest: dest, Zone: zone, Ready: true})
		}, Allowed},
		{"the endpoint has moved", func(c *Controller, _ *Attempt) { c.SetAddress(0, "127.0.0.1:2") }, EndpointMoved},
		{"the endpoint has moved, and there is no connection yet", func(c *Controller, a *Attempt) {
			c.SetAddress(0, "127.0.0.1:2")
			a.Address = ""
		}, Allowed},
		{"the endpoint asked for a wait", func(c *Controller, _ *Attempt) { c.HoldUntil(0, now+1) }, RetryAfter},
		{"another endpoint under the same limit asked for a wait", func(c *Controller, _ *Attempt) { c.HoldUntil(1, now+1) }, RetryAfter},
		{"a wait is over", func(c *Controller, _ *Attempt) { c.HoldUntil(0, now) }, Allowed},
		{"a shorter wait follows a longer one", func(c *Controller, _ *Attempt) {
			c.HoldUntil(0, now+second)
			c.HoldUntil(1, now-second)
		}, RetryAfter},
		{"another endpoint asked for a wait, and each has its own limit", func(c *Controller, _ *Attempt) {
			for index := range int32(2) {
				c.List(index, Listing{Dest: dest, Zone: zone, OwnLimit: true, Ready: true})
			}
			c.HoldUntil(1, now+1)
		}, Allowed},
		{"it asked for a wait, and each has its own limit", func(c *Controller, _ *Attempt) {
			c.List(0, Listing{Dest: dest, Zone: zone, OwnLimit: true, Ready: true})
			c.HoldUntil(0, now+1)
		}, RetryAfter},
		{"the slow start has gone on", func(_ *Controller, a *Attempt) { a.Terms.AdmittedUntil = now }, SlowStartLapsed},
		{"admitted by a slow start just before", func(_ *Controller, a *Attempt) { a.Terms.AdmittedUntil = now + 1 }, Allowed},
		{"a response cannot be read", func(c *Controller, _ *Attempt) { c.SetUnreadable(dest, true) }, ResponseUnreadable},
		{"a response of another destination cannot be read", func(c *Controller, _ *Attempt) { c.SetUnreadable(dest+1, true) }, Allowed},
		{"of two responses one can be read again", func(c *Controller, _ *Attempt) {
			c.SetUnreadable(dest, true)
			c.SetUnreadable(dest, true)
			c.SetUnreadable(dest, false)
		}, ResponseUnreadable},
		{"all responses can be read again", func(c *Controller, _ *Attempt) {
			c.SetUnreadable(dest, true)
			c.SetUnreadable(dest, false)
		}, Allowed},
		{"the last heartbeat is recent", func(c *Controller, _ *Attempt) { c.Heartbeat(now - maxHeartbeatAge) }, Allowed},
		{"the process was suspended", func(c *Controller, _ *Attempt) { c.Heartbeat(now - maxHeartbeatAge - 1) }, InputOverdue},
		{"it was suspended and has just gone on", func(c *Controller, _ *Attempt) {
			c.Heartbeat(now - second)
			c.Heartbeat(now - catchUpTime + 1)
		}, InputOverdue},
		{"it was suspended and has gone on", func(c *Controller, _ *Attempt) {
			c.Heartbeat(now - second)
			c.Heartbeat(now - catchUpTime)
		}, Allowed},
	} {
		var controller Controller
		for index := range int32(2) {
			controller.SetAddress(index, address)
			controller.List(index, Listing{Dest: dest, Zone: zone, Ready: true})
		}
		a := Attempt{Request: lifecycle.RestoreRequest("x", deadline, true, false), Dest: dest, Address: address, Terms: delivery.Terms{}}
		c.change(&controller, &a)
		if got := controller.Judge(a, now); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}
