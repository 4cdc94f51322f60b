package node

import (
	"errors"
	"time"

	"jaspersill/membudget"
	"jaspersill/metrics"
)

const (
	memoryWait         = 100 * time.Millisecond // for which a request waits until others give memory back: a client waits 400 ms
	memoryPollInterval = 5 * time.Millisecond
	memoryEvictions    = 8 // incomplete requests that are ended at once to make room
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
	charge := membudget.ReadCharge(0, false) // a body over the limit is not read
	switch {
	case header.chunked:
		charge = membudget.ReadCharge(maxBodyBytes, true)
	case header.contentLength <= maxBodyBytes:
		charge = membudget.ReadCharge(int(header.contentLength), false)
	}
	for waitUntil := time.Now().Add(memoryWait); !c.node.memory.TryAcquire(charge); {
		now := time.Now()
		if now.After(waitUntil) {
			return errNoMemory
		}
		c.listener.evictForMemory(now)
		time.Sleep(memoryPollInterval)
	}
	conn.setCharge(charge)
	return nil
}

// releaseMemory gives back what the connection's request was charged.
func (c *clientServer) releaseMemory(conn *clientConn) {
	c.node.memory.Release(conn.setCharge(membudget.Charge{}))
}

// setCharge sets what the connection's request is charged, and returns what it was before.
func (c *clientConn) setCharge(charge membudget.Charge) (before membudget.Charge) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	before, c.charge = c.charge, charge
	return before
}

// evictForMemory ends the incomplete requests that have held memory for longest, unless that was done a moment ago.
func (l *listener) evictForMemory(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.memoryEvictedAt) < memoryPollInterval {
		return
	}
	l.memoryEvictedAt = now
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
