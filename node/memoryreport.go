package node

import (
	"bytes"
	"os"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"jaspersill/logs"
	"jaspersill/metrics"
)

const (
	memoryCheckInterval = 250 * time.Millisecond
	highMemoryShare     = 0.85 // of the limit: above it, what the node holds is logged
)

var (
	residentMemory    = metrics.NewGauge("jaspersill_resident_memory_bytes", "Resident memory of the process, without its files and sockets.")
	clientConnections = metrics.NewGauge("jaspersill_client_connections", "Open connections of clients.")
	activeEventCount  = metrics.NewGauge("jaspersill_active_events", "Events that are accepted and not ended.")
)

// residentBytes returns the resident memory of this process, or 0 if it cannot be read.
func residentBytes() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	fields := bytes.Fields(text)
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// reportMemory logs when the resident memory rises above highMemoryShare of the limit, with what the node holds, and when it
// falls below again. The platform kills a process over its limit without a word, so this is the last that is heard of it.
func (n *Node) reportMemory(limit int64, stop <-chan struct{}) {
	if limit <= 0 {
		return
	}
	tick := time.NewTicker(memoryCheckInterval)
	defer tick.Stop()
	high := false
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		resident := residentBytes()
		if above := float64(resident) > highMemoryShare*float64(limit); above != high {
			high = above
			n.logMemory(high, resident, limit)
		}
	}
}

func (n *Node) logMemory(high bool, resident, limit int64) {
	line := logs.Part("node").WithFields(logrus.Fields{"resident_bytes": resident, "limit_bytes": limit,
		"client_connections": n.clients.listener.connCount(), "active_events": n.activeEvents.Load(),
		"endpoint_calls": n.endpoints.activeCalls.Load(), "idle_endpoint_connections": n.endpoints.idleConnCount()})
	if high {
		line.Warn("memory is close to the limit")
	} else {
		line.Info("memory is well below the limit again")
	}
}
