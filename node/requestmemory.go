package node

import (
	"errors"
	"time"

	"jaspersill/membudget"
	"jaspersill/metrics"
)

const (
	memoryWait            = 250 * time.Millisecond // for which a request waits until others give memory back: a client waits 400 ms
	memoryReclaimInterval = 10 * time.Millisecond
	memoryEvictions       = 8 // incomplete requests that are ended at once to make room

	largeBodyBytes    = 4 << 10  // a longer body is read through a larger receive buffer, which saves CPU time
	bodyReceiveBuffer = 32 << 10 // bytes; the charge of a large body covers what the kernel holds of it
)

var (
	errNoMemory = errors.New("no memory for the request at present")

	requestMemory = metrics.NewGauge("jaspersill_request_memory_bytes",
		"Memory charged to requests that are read or answered, and to events without an end.")
	requestMemoryLimit = metrics.NewGauge("jaspersill_request_memory_limit_bytes", "Memory that requests and events may take together.")
)

// reserveMemory charges a request to its connection before its body is read, so that all requests together stay within the
// budget. While there is no room, incomplete requests that others have left waiting are ended, the oldest first.
func (c *clientServer) reserveMemory(conn *clientConn, header headerSummary) error {
	size := 0 // a body over the limit is not read
	switch {
	case header.chunked:
		size = maxBodyBytes
	case header.contentLength <= maxBodyBytes:
		size = int(header.contentLength)
	}
	charge := membudget.ReadCharge(size, header.chunked)
	if !c.node.memory.TryAcquire(charge) {
		c.startReclaiming()
		conn.setAwaitingMemory(true)
		granted := c.node.memory.Acquire(charge, memoryWait)
		conn.setAwaitingMemory(false)
		if !granted {
			return errNoMemory
		}
	}
	conn.setCharge(charge)
	if size > largeBodyBytes {
		conn.resizeReceiveBuffer(bodyReceiveBuffer)
	}
	return nil
}

// startReclaiming ends incomplete requests in the background for as long as others wait for memory.
func (c *clientServer) startReclaiming() {
	if !c.reclaiming.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.reclaiming.Store(false)
		for idle := 0; idle < 2; idle++ {
			c.listener.evictForMemory(time.Now())
			time.Sleep(memoryReclaimInterval)
			if c.node.memory.IsAwaited() {
				idle = 0
			}
		}
	}()
}

// releaseMemory gives back what the connection's request was charged.
func (c *clientServer) releaseMemory(conn *clientConn) {
	conn.resizeReceiveBuffer(c.listener.receiveBuffer)
	c.node.memory.Release(conn.setCharge(membudget.Charge{}))
}

// setAwaitingMemory records that the connection's request waits for memory, through no fault of its client.
func (c *clientConn) setAwaitingMemory(awaiting bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.awaitingMemory, c.stateSince = awaiting, time.Now()
}

// setCharge sets what the connection's request is charged, and returns what it was before.
func (c *clientConn) setCharge(charge membudget.Charge) (before membudget.Charge) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	before, c.charge = c.charge, charge
	return before
}

// evictForMemory ends the incomplete requests that have held memory for longest.
func (l *listener) evictForMemory(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range memoryEvictions {
		var oldest *clientConn
		for c := range l.conns {
			if c.charge.Bytes > 0 && c.busy && !c.requestRead && !c.evicted && now.Sub(c.stateSince) >= requestReadGrace &&
				(oldest == nil || c.stateSince.Before(oldest.stateSince)) {
				oldest = c
			}
		}
		if oldest == nil {
			return
		}
		oldest.evict()
		memoryEvictionCount.Inc()
	}
}

var memoryEvictionCount = metrics.NewCounter("jaspersill_requests_ended_for_memory_total",
	"Incomplete requests that were ended so that others could be read.")
